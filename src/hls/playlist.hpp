// HLS playlists (RFC 8216): parses those of the media servers and serializes those for viewers. Keeps only
// what a front needs; unknown tags are ignored, as section 6.3.1 requires of clients.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::hls {

// EXT-X-BYTERANGE, section 4.3.2.2, in bytes.
struct Range {
    std::uint64_t length = 0, offset = 0;
    bool operator==(const Range&) const = default;
};
// A media segment with the tags that apply to it.
struct Segment {
    std::string uri;
    Micros duration = 0;
    std::optional<Range> range;
    int map = -1;  // index into MediaPlaylist::maps; -1: none
    bool discontinuity = false;
    bool operator==(const Segment&) const = default;
};
// EXT-X-MAP: the initialization section of the segments that follow it.
struct Map {
    std::string uri;
    std::optional<Range> range;
    bool operator==(const Map&) const = default;
};
// The playlist of one rung: a list of segments.
struct MediaPlaylist {
    Micros targetDuration = 0;
    std::uint64_t mediaSequence = 0;  // EXT-X-MEDIA-SEQUENCE
    std::vector<Map> maps;
    std::vector<Segment> segments;
    bool ended = false;  // EXT-X-ENDLIST
    bool operator==(const MediaPlaylist&) const = default;
};
// EXT-X-STREAM-INF with its URI.
struct Variant {
    std::string uri;
    std::uint64_t bandwidth = 0;           // peak, bit/s
    std::optional<std::uint64_t> average;  // bit/s
    std::string codecs, resolution;
    bool operator==(const Variant&) const = default;
};
// A multivariant playlist: the rungs to choose from.
struct Multivariant {
    std::vector<Variant> variants;
    bool operator==(const Multivariant&) const = default;
};

// Limits on one playlist: its size, and its number of segments, maps or variants.
struct PlaylistLimits {
    std::size_t bytes = 262'144, entries = 10'000;
};

// The playlist; or empty with the reason, such as a missing or malformed first line, tag or number.
template <class Playlist>
struct ParseResult {
    std::optional<Playlist> playlist;
    std::string why;
};
// Parse a whole playlist.
ParseResult<MediaPlaylist> parseMediaPlaylist(std::string_view text, const PlaylistLimits& = {});
ParseResult<Multivariant> parseMultivariantPlaylist(std::string_view text, const PlaylistLimits& = {});
// Serialize a playlist.
std::string write(const MediaPlaylist&);
std::string write(const Multivariant&);

// Resolves a reference against the path of the playlist that contains it (RFC 3986, section 5, paths only).
// Empty if the reference is empty or names another host or a scheme.
std::optional<std::string> resolveReference(std::string_view base, std::string_view reference);

}  // namespace valekeel::hls
