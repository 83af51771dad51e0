#include "sip/prefilter.hpp"

#include <algorithm>

namespace valekeel::sip {
namespace {

constexpr std::size_t kMaxBytes = 8'192;

bool sameName(std::string_view a, std::string_view lowerName) {
    if (a.size() != lowerName.size()) return false;
    for (std::size_t i = 0; i < a.size(); ++i) {
        const char c = a[i] >= 'A' && a[i] <= 'Z' ? static_cast<char>(a[i] + 32) : a[i];
        if (c != lowerName[i]) return false;
    }
    return true;
}
std::string_view trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}
// Returns the value of the parameter that `prefix` (";name=") begins, up to the next semicolon.
std::string_view parameter(std::string_view value, std::string_view prefix) {
    const auto at = value.find(prefix);
    if (at == std::string_view::npos) return {};
    const auto from = at + prefix.size();
    return value.substr(from, value.find(';', from) - from);
}

// Looks only behind the address's brackets, so that text in a display name is not taken for a tag.
bool hasTag(std::string_view address) {
    const auto close = address.rfind('>');
    return address.find(";tag=", close == std::string_view::npos ? 0 : close) != std::string_view::npos;
}

}  // namespace

std::string PrefilteredRequest::inviteKey() const {
    const auto colon = sentBy.rfind(':');
    const std::string_view port = colon == std::string_view::npos ? "5060" : sentBy.substr(colon + 1);
    return std::string(branch) + "|" + std::string(sentBy.substr(0, colon)) + ":" + std::string(port) +
           "|INVITE";
}

std::optional<PrefilteredRequest> prefilter(std::string_view bytes) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos || bytes.size() > kMaxBytes) return std::nullopt;
    const std::string_view head = bytes.substr(0, end);
    // Messages with a lone CR or LF, a control character or non-ASCII text are left to parse().
    for (std::size_t i = 0; i < head.size(); ++i) {
        const auto c = static_cast<unsigned char>(head[i]);
        if (c == '\r' && i + 1 < head.size() && head[i + 1] == '\n') {
            ++i;
            continue;
        }
        if (c < 0x20 || c > 0x7e) return std::nullopt;
    }
    PrefilteredRequest out;
    auto lineEnd = head.find("\r\n");
    const std::string_view first = head.substr(0, lineEnd);
    const auto space = first.find(' ');
    if (space == std::string_view::npos || first.size() < 8 || first.substr(first.size() - 8) != " SIP/2.0" ||
        first.find(' ', space + 1) != first.size() - 8)
        return std::nullopt;
    out.method = first.substr(0, space);
    if (out.method != "INVITE" && out.method != "ACK") return std::nullopt;
    while (lineEnd != std::string_view::npos) {
        const auto from = lineEnd + 2;
        lineEnd = head.find("\r\n", from);
        const std::string_view line =
            head.substr(from, lineEnd == std::string_view::npos ? std::string_view::npos : lineEnd - from);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || colon < 2 || line[0] == ' ' || line[colon - 1] == ' ')
            return std::nullopt;
        const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
        std::string_view* target = sameName(name, "via")       ? &out.via
                                   : sameName(name, "from")    ? &out.from
                                   : sameName(name, "to")      ? &out.to
                                   : sameName(name, "call-id") ? &out.callId
                                   : sameName(name, "cseq")    ? &out.cseq
                                                               : nullptr;
        if (sameName(name, "resource-priority") || sameName(name, "record-route")) return std::nullopt;
        if (!target) continue;
        if (!target->empty() || value.empty()) return std::nullopt;
        *target = value;
    }
    for (const std::string_view value : {out.via, out.from, out.to, out.callId, out.cseq})
        if (value.empty()) return std::nullopt;
    if (out.via.substr(0, 12) != "SIP/2.0/UDP " || out.via.find_first_of(",\"") != std::string_view::npos ||
        out.from.find('\\') != std::string_view::npos || out.to.find('\\') != std::string_view::npos ||
        !hasTag(out.from) || out.callId.find(' ') != std::string_view::npos)
        return std::nullopt;
    const std::string_view viaValue = out.via.substr(12);
    const auto semicolon = viaValue.find(';');
    if (semicolon == std::string_view::npos) return std::nullopt;
    out.sentBy = viaValue.substr(0, semicolon);
    out.branch = parameter(out.via, ";branch=");
    const auto consistsOf = [](std::string_view text, std::string_view punctuation) {
        return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                   punctuation.find(c) != std::string_view::npos;
        });
    };
    const auto colon = out.sentBy.find(':');
    if (colon != std::string_view::npos) {  // without leading zeros: it becomes part of the key
        const std::string_view port = out.sentBy.substr(colon + 1);
        if (port.empty() || port.size() > 5 || port[0] == '0' ||
            port.find_first_not_of("0123456789") != std::string_view::npos)
            return std::nullopt;
    }
    if (!consistsOf(out.sentBy.substr(0, colon), ".-") || out.branch.substr(0, 7) != "z9hG4bK" ||
        !consistsOf(out.branch, "-._~+!*%'`"))
        return std::nullopt;
    const auto methodAt = out.cseq.find(' ');
    if (methodAt == std::string_view::npos || methodAt > 9 || out.cseq.substr(methodAt + 1) != out.method ||
        !std::all_of(out.cseq.begin(), out.cseq.begin() + static_cast<std::ptrdiff_t>(methodAt),
                     [](char c) { return c >= '0' && c <= '9'; }))
        return std::nullopt;
    out.toHasTag = hasTag(out.to);
    return out;
}

std::string refusal(const PrefilteredRequest& request, std::string_view statusLine, std::string_view toTag,
                    std::string_view viaParameters, long retryAfterSeconds, const net::Endpoint& from) {
    std::string out;
    out.reserve(request.via.size() + request.from.size() + request.to.size() + request.callId.size() +
                viaParameters.size() + 220);
    const auto append = [&](std::initializer_list<std::string_view> parts) {
        for (const std::string_view p : parts) out += p;
    };
    append({"SIP/2.0 ", statusLine, "\r\nVia: "});
    const auto rport = request.via.find(";rport");
    const bool wantsRport = rport != std::string_view::npos &&
                            (rport + 6 == request.via.size() || request.via[rport + 6] == ';');  // RFC 3581
    const std::string ip = from.ip.to_string();
    if (wantsRport)
        append({request.via.substr(0, rport), ";rport=", std::to_string(from.port), ";received=", ip,
                request.via.substr(rport + 6)});
    else
        append({request.via,
                request.sentBy.substr(0, request.sentBy.rfind(':')) == ip ? "" : ";received=" + ip});
    append({viaParameters, "\r\nFrom: ", request.from, "\r\nTo: ", request.to, ";tag=", toTag,
            "\r\nCall-ID: ", request.callId, "\r\nCSeq: ", request.cseq,
            "\r\nRetry-After: ", std::to_string(retryAfterSeconds), "\r\nContent-Length: 0\r\n\r\n"});
    return out;
}

}  // namespace valekeel::sip
