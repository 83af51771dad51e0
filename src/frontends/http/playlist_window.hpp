// The window of a talk that one viewer is shown: which segments were listed, and at which rung each. What was
// listed once stays as it was, so that a change of rung never breaks what is being fetched. No I/O, no clock.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "hls/playlist.hpp"

namespace valekeel::frontends {

struct PlaylistWindowSettings {
    Micros ahead = 8'000'000;    // of playing, that a viewer may fetch and keep
    Micros behind = 12'000'000;  // that stays listed
};

class PlaylistWindow {
  public:
    explicit PlaylistWindow(const PlaylistWindowSettings& terms) : terms_(terms) {}
    struct Listed {
        std::uint64_t no;
        int rung;
    };
    // Lists what a viewer may have, `played` after its start, and what is new at the rung given. `durations`:
    // of the talk's segments.
    void extend(Micros played, int rung, const std::vector<Micros>& durations);
    // Segments before it are taken to have been seen. What lies behind stays listed until then: a viewer
    // whose segments come slowly must not lose its place.
    void fetched(std::uint64_t no) { seen_ = std::max(seen_, no); }
    // The rung that a segment was listed at, if it was.
    const Listed* find(std::uint64_t no) const;
    // With URIs "init-RUNG.mp4" and "NO.m4s", relative to it.
    hls::MediaPlaylist playlist(const std::vector<Micros>& durations) const;
    std::size_t size() const { return listed_.size(); }
    std::uint64_t next() const { return next_; }

  private:
    PlaylistWindowSettings terms_;
    std::deque<Listed> listed_;
    std::uint64_t next_ = 0, seen_ = 0;
    Micros nextAt_ = 0, firstAt_ = 0;  // where in the talk the next and the first listed one begin
};

}  // namespace valekeel::frontends
