// The sliding window of a talk's media playlist that one viewer sees: which segments are listed, and at which
// rung each. A listed segment keeps its rung, so a change of rung never breaks a fetch in progress. Does no
// I/O and reads no clock.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "hls/playlist.hpp"

namespace valekeel::frontends {

// Extent of the window around the playback position, in microseconds.
struct PlaylistWindowSettings {
    Micros ahead = 8'000'000;    // how far ahead of playback segments are listed
    Micros behind = 12'000'000;  // how long segments stay listed behind playback
};

// The window of one viewer. Segments are numbered from 0 at the start of the talk.
class PlaylistWindow {
  public:
    explicit PlaylistWindow(const PlaylistWindowSettings& settings) : settings_(settings) {}
    struct Listed {
        std::uint64_t no;
        int rung;
    };
    // Moves the window to `played` microseconds after the viewer's start: lists new segments at `rung` and
    // removes old ones. `durations` holds the duration of each segment of the talk, in microseconds.
    void extend(Micros played, int rung, const std::vector<Micros>& durations);
    // Records that segment `no` was requested. Segments before the highest one requested may leave the list;
    // later ones stay, so that a viewer whose segments arrive slowly does not lose its position.
    void fetched(std::uint64_t no) { lastFetched_ = std::max(lastFetched_, no); }
    // Returns the list entry of a segment, or nullptr if it is not listed. Invalidated by extend().
    const Listed* find(std::uint64_t no) const;
    // Returns the media playlist of the window, with the relative URIs "init-RUNG.mp4" and "NO.m4s".
    hls::MediaPlaylist playlist(const std::vector<Micros>& durations) const;
    // The number of listed segments.
    std::size_t size() const { return listed_.size(); }
    // The number of the first segment that has not been listed yet.
    std::uint64_t next() const { return next_; }

  private:
    PlaylistWindowSettings settings_;
    std::deque<Listed> listed_;
    std::uint64_t next_ = 0, lastFetched_ = 0;
    Micros nextStart_ = 0, firstStart_ = 0;  // start times within the talk, in microseconds
};

}  // namespace valekeel::frontends
