// W3C Trace Context (level 1): parses and writes the "traceparent" header, which carries one trace id from
// the player through the front to the media server.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::logging {

// The content of a "traceparent" header.
struct TraceContext {
    std::string trace;   // 32 hex digits
    std::string parent;  // 16 hex digits
    std::uint8_t flags = 1;
};

// Parses a "traceparent" header. Empty if it is malformed or an id is all zero (section 3.2.2); the caller
// then starts a new trace.
std::optional<TraceContext> parseTraceParent(std::string_view);
// Returns the header's value, in version 00.
std::string write(const TraceContext&);
// Returns 16 lower-case hex digits.
std::string toHex(std::uint64_t);
// Starts a trace from random bits: the trace id from `traceHigh` and `traceLow`, the parent id from `parent`.
// Replaces ids that would be all zero.
TraceContext newTrace(std::uint64_t traceHigh, std::uint64_t traceLow, std::uint64_t parent);

}  // namespace valekeel::logging
