#include "hls/playlist.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace valekeel::hls {
namespace {

template <class T>
std::optional<T> parseNumber(std::string_view text) {
    T value{};
    const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parseError != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

// Parses "<length>[@<offset>]"; without an offset the range starts at `defaultOffset`.
std::optional<Range> parseRange(std::string_view text, std::uint64_t defaultOffset) {
    const auto at = text.find('@');
    const auto length = parseNumber<std::uint64_t>(text.substr(0, at));
    if (!length) return std::nullopt;
    Range range{*length, defaultOffset};
    if (at != std::string_view::npos) {
        const auto offset = parseNumber<std::uint64_t>(text.substr(at + 1));
        if (!offset) return std::nullopt;
        range.offset = *offset;
    }
    if (range.offset + range.length < range.offset) return std::nullopt;
    return range;
}

// Returns one attribute of an attribute list (section 4.2), without its quotes.
std::optional<std::string> attribute(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const auto equals = list.find('=');
        if (equals == std::string_view::npos) return std::nullopt;
        std::string_view key = list.substr(0, equals);
        while (!key.empty() && key.front() == ' ') key.remove_prefix(1);
        list.remove_prefix(equals + 1);
        std::string_view value;
        if (!list.empty() && list.front() == '"') {
            const auto close = list.find('"', 1);
            if (close == std::string_view::npos) return std::nullopt;
            value = list.substr(1, close - 1);
            list.remove_prefix(close + 1);
        } else {
            value = list.substr(0, list.find(','));
            list.remove_prefix(value.size());
        }
        if (key == name) return std::string(value);
        if (!list.empty() && list.front() == ',') list.remove_prefix(1);
    }
    return std::nullopt;
}

// Calls `handleLine` for each line after the first that is not empty, until it returns an error text. Returns
// that text with the line number, an error about the playlist as a whole, or an empty string.
template <class LineHandler>
std::string forEachLine(std::string_view text, const PlaylistLimits& limits, LineHandler&& handleLine) {
    if (text.size() > limits.bytes) return "it is longer than " + std::to_string(limits.bytes) + " bytes";
    bool first = true;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        ++number;
        if (std::exchange(first, false)) {
            if (line != "#EXTM3U") return "its first line is not #EXTM3U";
            continue;
        }
        if (line.empty()) continue;
        const std::string why = handleLine(line);
        if (!why.empty()) return "line " + std::to_string(number) + ": " + why;
    }
    return first ? "it is empty" : "";
}

std::string formatSeconds(Micros t) {
    char out[32];
    std::snprintf(out, sizeof out, "%.6g", seconds(t));
    return out;
}

}  // namespace

ParseResult<MediaPlaylist> parseMediaPlaylist(std::string_view text, const PlaylistLimits& limits) {
    MediaPlaylist out;
    Segment nextSegment;
    int map = -1;
    bool hasDuration = false, hasTargetDuration = false;
    std::uint64_t nextOffset = 0;
    std::string lastUri;
    std::optional<std::string_view> byteRange;
    const std::string why = forEachLine(text, limits, [&](std::string_view line) -> std::string {
        const auto tag = [&](std::string_view name) -> std::optional<std::string_view> {
            if (line.substr(0, name.size()) != name) return std::nullopt;
            return line.substr(name.size());
        };
        if (line.front() != '#') {
            if (!hasDuration) return "a segment without #EXTINF";
            if (out.segments.size() >= limits.entries) return "more segments than are read";
            nextSegment.uri = line;
            if (byteRange) {
                nextSegment.range = parseRange(*byteRange, lastUri == nextSegment.uri ? nextOffset : 0);
                if (!nextSegment.range) return "#EXT-X-BYTERANGE is broken";
                nextOffset = nextSegment.range->offset + nextSegment.range->length;
                lastUri = nextSegment.uri;
            }
            nextSegment.map = map;
            out.segments.push_back(nextSegment);
            nextSegment = Segment{};
            hasDuration = false;
            byteRange.reset();
            return "";
        }
        if (const auto v = tag("#EXTINF:")) {
            const auto duration = parseNumber<double>(v->substr(0, v->find(',')));
            if (!duration || !(*duration >= 0 && *duration < 86'400)) return "#EXTINF is broken";
            nextSegment.duration = std::llround(*duration * 1e6);
            hasDuration = true;
        } else if (const auto t = tag("#EXT-X-TARGETDURATION:")) {
            const auto duration = parseNumber<std::int64_t>(*t);
            if (!duration || *duration < 0 || *duration > 86'400) return "#EXT-X-TARGETDURATION is broken";
            out.targetDuration = *duration * kSecond;
            hasTargetDuration = true;
        } else if (const auto s = tag("#EXT-X-MEDIA-SEQUENCE:")) {
            const auto number = parseNumber<std::uint64_t>(*s);
            if (!number) return "#EXT-X-MEDIA-SEQUENCE is broken";
            out.mediaSequence = *number;
        } else if (const auto r = tag("#EXT-X-BYTERANGE:")) {
            byteRange = *r;
        } else if (const auto m = tag("#EXT-X-MAP:")) {
            Map newMap;
            const auto uri = attribute(*m, "URI");
            if (!uri) return "#EXT-X-MAP names no URI";
            newMap.uri = *uri;
            if (const auto bytes = attribute(*m, "BYTERANGE")) {
                newMap.range = parseRange(*bytes, 0);
                if (!newMap.range) return "the BYTERANGE of #EXT-X-MAP is broken";
            }
            if (out.maps.size() >= limits.entries) return "more maps than are read";
            out.maps.push_back(std::move(newMap));
            map = static_cast<int>(out.maps.size()) - 1;
        } else if (line == "#EXT-X-DISCONTINUITY") {
            nextSegment.discontinuity = true;
        } else if (line == "#EXT-X-ENDLIST") {
            out.ended = true;
        }
        return "";
    });
    if (!why.empty()) return {std::nullopt, why};
    if (!hasTargetDuration) return {std::nullopt, "#EXT-X-TARGETDURATION is missing"};
    return {std::move(out), ""};
}

ParseResult<Multivariant> parseMultivariantPlaylist(std::string_view text, const PlaylistLimits& limits) {
    Multivariant out;
    std::optional<Variant> next;
    const std::string why = forEachLine(text, limits, [&](std::string_view line) -> std::string {
        if (line.front() != '#') {
            if (!next) return "a variant without #EXT-X-STREAM-INF";
            if (out.variants.size() >= limits.entries) return "more variants than are read";
            next->uri = line;
            out.variants.push_back(std::move(*next));
            next.reset();
            return "";
        }
        constexpr std::string_view kTag = "#EXT-X-STREAM-INF:";
        if (line.substr(0, kTag.size()) != kTag) return "";
        const std::string_view list = line.substr(kTag.size());
        Variant variant;
        const auto bandwidth = attribute(list, "BANDWIDTH");
        const auto number = bandwidth ? parseNumber<std::uint64_t>(*bandwidth) : std::nullopt;
        if (!number) return "#EXT-X-STREAM-INF names no BANDWIDTH";
        variant.bandwidth = *number;
        if (const auto average = attribute(list, "AVERAGE-BANDWIDTH"))
            variant.average = parseNumber<std::uint64_t>(*average);
        variant.codecs = attribute(list, "CODECS").value_or("");
        variant.resolution = attribute(list, "RESOLUTION").value_or("");
        next = std::move(variant);
        return "";
    });
    if (!why.empty()) return {std::nullopt, why};
    if (out.variants.empty()) return {std::nullopt, "it names no variant"};
    return {std::move(out), ""};
}

std::string write(const MediaPlaylist& p) {
    std::string out = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-TARGETDURATION:" +
                      std::to_string((p.targetDuration + kSecond - 1) / kSecond) + "\n";
    if (p.mediaSequence > 0) out += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(p.mediaSequence) + "\n";
    int map = -1;
    for (const Segment& s : p.segments) {
        if (s.discontinuity) out += "#EXT-X-DISCONTINUITY\n";
        if (s.map != map && s.map >= 0) {
            map = s.map;
            const Map& m = p.maps[static_cast<std::size_t>(map)];
            out += "#EXT-X-MAP:URI=\"" + m.uri + "\"";
            if (m.range)
                out += ",BYTERANGE=\"" + std::to_string(m.range->length) + "@" +
                       std::to_string(m.range->offset) + "\"";
            out += "\n";
        }
        if (s.range)
            out += "#EXT-X-BYTERANGE:" + std::to_string(s.range->length) + "@" +
                   std::to_string(s.range->offset) + "\n";
        out += "#EXTINF:" + formatSeconds(s.duration) + ",\n" + s.uri + "\n";
    }
    if (p.ended) out += "#EXT-X-ENDLIST\n";
    return out;
}

std::string write(const Multivariant& p) {
    std::string out = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n";
    for (const Variant& v : p.variants) {
        out += "#EXT-X-STREAM-INF:BANDWIDTH=" + std::to_string(v.bandwidth);
        if (v.average) out += ",AVERAGE-BANDWIDTH=" + std::to_string(*v.average);
        if (!v.codecs.empty()) out += ",CODECS=\"" + v.codecs + "\"";
        if (!v.resolution.empty()) out += ",RESOLUTION=" + v.resolution;
        out += "\n" + v.uri + "\n";
    }
    return out;
}

std::optional<std::string> resolveReference(std::string_view base, std::string_view reference) {
    if (reference.empty() || reference.substr(0, 2) == "//" ||
        reference.find(':') < reference.find_first_of("/?#"))
        return std::nullopt;
    std::string joined;
    if (reference.front() == '/')
        joined = reference;
    else
        joined = std::string(base.substr(0, base.substr(0, base.find('?')).rfind('/') + 1)) +
                 std::string(reference);
    const auto query = joined.find('?');
    const std::string queryPart = query == std::string::npos ? "" : joined.substr(query);
    std::string_view path = std::string_view(joined).substr(0, query);
    std::vector<std::string_view> segments;
    bool directory = false;
    while (!path.empty()) {
        path.remove_prefix(1);  // the slash
        const auto next = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, next);
        path.remove_prefix(next);
        directory = segment == "." || segment == ".." || segment.empty();
        if (segment == "..") {
            if (!segments.empty()) segments.pop_back();
        } else if (segment != "." && !(segment.empty() && path.empty())) {
            segments.push_back(segment);
        }
    }
    std::string out;
    for (const std::string_view segment : segments) out += "/" + std::string(segment);
    if (directory || out.empty()) out += "/";
    return out + queryPart;
}

}  // namespace valekeel::hls
