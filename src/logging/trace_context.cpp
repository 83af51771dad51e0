#include "logging/trace_context.hpp"

#include <algorithm>

namespace valekeel::logging {
namespace {

bool isLowerHex(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}
bool isZero(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c == '0'; });
}
int hexDigitValue(char c) {
    return c <= '9' ? c - '0' : c - 'a' + 10;
}

}  // namespace

std::string toHex(std::uint64_t v) {
    static constexpr char kHex[] = "0123456789abcdef";
    std::string out(16, '0');
    for (std::size_t i = 16; i-- > 0; v >>= 4) out[i] = kHex[v & 15];
    return out;
}

std::optional<TraceContext> parseTraceParent(std::string_view text) {
    if (text.size() < 55 || text[2] != '-' || text[35] != '-' || text[52] != '-') return std::nullopt;
    const auto version = text.substr(0, 2), trace = text.substr(3, 32), parent = text.substr(36, 16),
               flags = text.substr(53, 2);
    if (!isLowerHex(version) || !isLowerHex(trace) || !isLowerHex(parent) || !isLowerHex(flags))
        return std::nullopt;
    if (version == "ff" || (version == "00" && text.size() != 55)) return std::nullopt;
    if (text.size() > 55 && text[55] != '-') return std::nullopt;  // later versions may append fields
    if (isZero(trace) || isZero(parent)) return std::nullopt;
    return TraceContext{std::string(trace), std::string(parent),
                        static_cast<std::uint8_t>(hexDigitValue(flags[0]) * 16 + hexDigitValue(flags[1]))};
}

std::string write(const TraceContext& context) {
    return "00-" + context.trace + "-" + context.parent + "-" + toHex(context.flags).substr(14);
}

TraceContext newTrace(std::uint64_t traceHigh, std::uint64_t traceLow, std::uint64_t parent) {
    if (traceHigh == 0 && traceLow == 0) traceHigh = 1;
    if (parent == 0) parent = 1;
    return {toHex(traceHigh) + toHex(traceLow), toHex(parent), 1};
}

}  // namespace valekeel::logging
