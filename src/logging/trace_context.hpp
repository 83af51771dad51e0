// W3C Trace Context (level 1): one id from the player's first byte to the box and back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::logging {

struct TraceContext {
    std::string trace;   // 32 hex digits
    std::string parent;  // 16 hex digits
    std::uint8_t flags = 1;
};

// Of a "traceparent" header; nothing if it is broken or all zero (section 3.2.2): then a new one is begun.
std::optional<TraceContext> parseTraceParent(std::string_view);
std::string write(const TraceContext&);
std::string toHex(std::uint64_t);
TraceContext newTrace(std::uint64_t a, std::uint64_t b, std::uint64_t c);

}  // namespace valekeel::logging
