// HLS playlists (RFC 8216): what the boxes hand out is read, what viewers get is written. Only what a front
// needs is kept; tags that it does not know are passed over, as section 6.3.1 asks of clients.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::hls {

struct Range {  // EXT-X-BYTERANGE, section 4.3.2.2
    std::uint64_t length = 0, offset = 0;
    bool operator==(const Range&) const = default;
};
struct Segment {
    std::string uri;
    Micros duration = 0;
    std::optional<Range> range;
    int map = -1;  // place in the list of maps; -1: none
    bool discontinuity = false;
    bool operator==(const Segment&) const = default;
};
struct Map {  // EXT-X-MAP: how the segments behind it begin
    std::string uri;
    std::optional<Range> range;
    bool operator==(const Map&) const = default;
};
struct MediaPlaylist {
    Micros targetDuration = 0;
    std::uint64_t mediaSequence = 0;  // EXT-X-MEDIA-SEQUENCE
    std::vector<Map> maps;
    std::vector<Segment> segments;
    bool ended = false;
    bool operator==(const MediaPlaylist&) const = default;
};
struct Variant {
    std::string uri;
    std::uint64_t bandwidth = 0;  // bit/s, the peak
    std::optional<std::uint64_t> average;
    std::string codecs, resolution;
    bool operator==(const Variant&) const = default;
};
struct Multivariant {
    std::vector<Variant> variants;
    bool operator==(const Multivariant&) const = default;
};

struct PlaylistLimits {
    std::size_t bytes = 262'144, entries = 10'000;
};

// Nothing, with why, if it is none: the first line, a needed tag or a number is missing or broken.
template <class What>
struct ParseResult {
    std::optional<What> playlist;
    std::string why;
};
ParseResult<MediaPlaylist> parseMediaPlaylist(std::string_view text, const PlaylistLimits& = {});
ParseResult<Multivariant> parseMultivariantPlaylist(std::string_view text, const PlaylistLimits& = {});
std::string write(const MediaPlaylist&);
std::string write(const Multivariant&);

// A reference against the path it was found at (RFC 3986, section 5, for paths alone). Nothing if it leads to
// another host.
std::optional<std::string> resolveReference(std::string_view base, std::string_view reference);

}  // namespace valekeel::hls
