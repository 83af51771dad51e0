#include "sip/message.hpp"

#include <osipparser2/osip_parser.h>
#include <osipparser2/sdp_message.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <memory>
#include <mutex>

namespace valekeel::sip {
namespace {

void initializeParser() {
    static std::once_flag once;
    std::call_once(once, [] {
        parser_init();
        // osip's own traces are off: errors are reported by this module's callers.
        for (int level = 0; level < END_TRACE_LEVEL; ++level)
            osip_trace_disable_level(static_cast<osip_trace_level_t>(level));
        osip_trace_initialize_func(TRACE_LEVEL0,
                                   [](const char*, int, osip_trace_level_t, const char*, va_list) {});
        for (int level = 0; level < END_TRACE_LEVEL; ++level)
            osip_trace_disable_level(static_cast<osip_trace_level_t>(level));
    });
}

std::string toLower(std::string_view text) {
    std::string out(text);
    for (char& c : out)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
    return out;
}
std::string trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) return "";
    return std::string(text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}
std::string toString(const char* text) {
    return text ? text : "";
}
std::optional<int> parseNumber(std::string_view text) {
    const std::string clean = trimmed(text.substr(0, text.find(';')));
    int value = 0;
    const auto [end, error] = std::from_chars(clean.data(), clean.data() + clean.size(), value);
    if (error != std::errc{} || end != clean.data() + clean.size() || value < 0) return std::nullopt;
    return value;
}
void appendListItems(std::vector<std::string>& out, std::string_view list) {
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (const std::string item = toLower(trimmed(list.substr(0, comma))); !item.empty())
            out.push_back(item);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

struct OsipDeleter {
    void operator()(osip_message_t* m) const { osip_message_free(m); }
    void operator()(sdp_message_t* m) const { sdp_message_free(m); }
    void operator()(char* text) const { osip_free(text); }
};
using OsipText = std::unique_ptr<char, OsipDeleter>;

template <class Element, class ToStr>
std::string serialized(const Element* element, ToStr toStr) {
    char* out = nullptr;
    if (!element || toStr(element, &out) != 0 || !out) return "";
    return OsipText(out).get();
}

std::map<std::string, std::string> parseParams(const osip_list_t& list) {
    std::map<std::string, std::string> out;
    for (int i = 0; i < osip_list_size(&list); ++i) {
        const auto* p = static_cast<const osip_generic_param_t*>(osip_list_get(&list, i));
        if (p && p->gname) out.emplace(toLower(p->gname), toString(p->gvalue));
    }
    return out;
}

NameAddr parseNameAddr(osip_from_t* from) {
    NameAddr out;
    out.written = serialized(from, [](const osip_from_t* f, char** to) { return osip_from_to_str(f, to); });
    if (from->url)
        out.uri =
            serialized(from->url, [](const osip_uri_t* u, char** to) { return osip_uri_to_str(u, to); });
    osip_generic_param_t* tag = nullptr;
    char name[] = "tag";  // osip's macro passes a string literal as char*, which clang rejects
    osip_generic_param_get_byname(&from->gen_params, name, &tag);
    if (tag) out.tag = toString(tag->gvalue);
    return out;
}

// Checks what RFC 3261 requires and osip does not check. Returns the error, or an empty string.
std::string headerError(const Message& m) {
    if (m.vias.empty()) return "Via is missing";
    if (m.callId.empty()) return "Call-ID is missing";
    if (m.from.tag.empty() && m.request) return "From has no tag";
    if (m.cseq == 0xffffffff) return "CSeq is out of range";
    return "";
}

}  // namespace

std::string headerSafe(std::string_view text) {
    std::string out;
    for (const char c : text) out += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? ' ' : c;
    return out;
}

ParseResult parse(std::string_view bytes, const SipLimits& limits) {
    initializeParser();
    ParseResult out;
    if (bytes.size() > limits.bytes) {
        out.status = 0;
        out.why = "longer than " + std::to_string(limits.bytes) + " bytes";
        return out;
    }
    if (bytes.find('\0') < bytes.find("\r\n\r\n")) {
        out.status = 0;
        out.why = "a NUL in the head";
        return out;
    }
    osip_message_t* raw = nullptr;
    if (osip_message_init(&raw) != 0) {
        out.status = 0;
        return out;
    }
    const std::unique_ptr<osip_message_t, OsipDeleter> owner(raw);
    const std::string copy(bytes);  // osip requires a terminating NUL
    const bool parsed = osip_message_parse(raw, copy.c_str(), copy.size()) == 0;

    Message m;
    m.request = MSG_IS_REQUEST(raw);
    m.method = toString(raw->sip_method);
    m.status = raw->status_code;
    if (raw->req_uri) {
        m.requestUri =
            serialized(raw->req_uri, [](const osip_uri_t* u, char** to) { return osip_uri_to_str(u, to); });
        m.user = toString(raw->req_uri->username);
        for (int i = 0; i < osip_list_size(&raw->req_uri->url_params); ++i) {
            const auto* p = static_cast<const osip_uri_param_t*>(osip_list_get(&raw->req_uri->url_params, i));
            if (p && p->gname) m.uriParams.emplace(toLower(p->gname), toString(p->gvalue));
        }
    }
    for (int i = 0; i < osip_list_size(&raw->vias); ++i) {
        auto* via = static_cast<osip_via_t*>(osip_list_get(&raw->vias, i));
        Via v;
        v.written = serialized(via, [](const osip_via_t* o, char** to) { return osip_via_to_str(o, to); });
        v.transport = toLower(toString(via->protocol));
        v.host = toString(via->host);
        if (via->port) v.port = parseNumber(via->port).value_or(0);
        v.params = parseParams(via->via_params);
        v.rport = v.params.count("rport") > 0;
        if (const auto b = v.params.find("branch"); b != v.params.end()) v.branch = b->second;
        m.vias.push_back(std::move(v));
    }
    if (raw->from) m.from = parseNameAddr(raw->from);
    if (raw->to) m.to = parseNameAddr(raw->to);
    if (raw->call_id)
        m.callId = serialized(raw->call_id,
                              [](const osip_call_id_t* c, char** to) { return osip_call_id_to_str(c, to); });
    std::string cseqMethod;
    bool isCseqValid = false;
    if (raw->cseq) {
        cseqMethod = toString(raw->cseq->method);
        std::uint32_t number = 0;
        const std::string digits = toString(raw->cseq->number);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        isCseqValid = error == std::errc{} && end == digits.data() + digits.size() && number < 0x80000000u;
        m.cseq = number;
    }
    if (!m.request) m.method = cseqMethod;
    if (osip_list_size(&raw->contacts) > 0)
        m.contact = parseNameAddr(static_cast<osip_contact_t*>(osip_list_get(&raw->contacts, 0)));
    for (int i = 0; i < osip_list_size(&raw->record_routes); ++i)
        m.recordRoutes.push_back(serialized(
            static_cast<osip_record_route_t*>(osip_list_get(&raw->record_routes, i)),
            [](const osip_record_route_t* r, char** to) { return osip_record_route_to_str(r, to); }));
    for (int i = 0; i < osip_list_size(&raw->allows); ++i)
        if (const auto* a = static_cast<const osip_allow_t*>(osip_list_get(&raw->allows, i)))
            appendListItems(m.allow, toString(a->value));
    const int others = osip_list_size(&raw->headers);
    for (int i = 0; i < others; ++i) {
        const auto* h = static_cast<const osip_header_t*>(osip_list_get(&raw->headers, i));
        if (!h || !h->hname) continue;
        std::string name = toLower(h->hname);
        const std::string value = toString(h->hvalue);
        if (name == "x") name = "session-expires";  // compact forms that osip does not expand
        if (name == "k") name = "supported";
        if (name == "max-forwards") m.maxForwards = parseNumber(value);
        if (name == "expires") m.expires = parseNumber(value);
        if (name == "min-se") m.minSe = parseNumber(value);
        if (name == "session-expires") {
            m.sessionExpires = parseNumber(value);
            const auto at = toLower(value).find("refresher=");
            if (at != std::string::npos) m.refresher = trimmed(toLower(value).substr(at + 10, 3));
        }
        if (name == "require") appendListItems(m.require, value);
        if (name == "supported") appendListItems(m.supported, value);
        m.others.emplace(std::move(name), value);
    }
    if (raw->content_type)
        m.contentType = toLower(serialized(raw->content_type, [](const osip_content_type_t* c, char** to) {
            return osip_content_type_to_str(c, to);
        }));
    if (osip_list_size(&raw->bodies) > 0) {
        const auto* body = static_cast<const osip_body_t*>(osip_list_get(&raw->bodies, 0));
        if (body && body->body) m.body.assign(body->body, body->length);
    }

    std::string why = parsed ? headerError(m) : "not a SIP message";
    if (why.empty() && (!raw->from || !raw->to)) why = "From or To is missing";
    if (why.empty() && !isCseqValid) why = "CSeq is malformed";
    if (why.empty() && m.request && cseqMethod != m.method) why = "CSeq names another method";
    if (why.empty() && m.request && m.maxForwards && *m.maxForwards > 255)
        why = "Max-Forwards is out of range";
    if (why.empty() && raw->sip_version && std::strcmp(raw->sip_version, "SIP/2.0") != 0) {
        why = "unsupported SIP version";
        out.status = 505;
    }
    if (why.empty() && others > static_cast<int>(limits.headers)) why = "too many headers";
    if (why.empty()) {
        out.message = std::move(m);
        return out;
    }
    out.why = why;
    // A response needs a Via to be routed by and headers to be matched by. An ACK or a response is never
    // answered.
    if (m.request && m.method != "ACK" && !m.method.empty() && !m.vias.empty() && !m.callId.empty() &&
        raw->cseq && raw->from && raw->to)
        out.partial = std::move(m);
    else
        out.status = 0;
    return out;
}

std::optional<Offer> parseOffer(std::string_view sdp) {
    initializeParser();
    sdp_message_t* raw = nullptr;
    if (sdp_message_init(&raw) != 0) return std::nullopt;
    const std::unique_ptr<sdp_message_t, OsipDeleter> owner(raw);
    const std::string copy(sdp);
    if (copy.find('\0') != std::string::npos || sdp_message_parse(raw, copy.c_str()) != 0)
        return std::nullopt;
    Offer out;
    if (const char* address = sdp_message_c_addr_get(raw, -1, 0)) out.address = address;
    const auto bandwidth = [&](int media) {
        for (int i = 0;; ++i) {
            const char* kind = sdp_message_b_bwtype_get(raw, media, i);
            const char* value = sdp_message_b_bandwidth_get(raw, media, i);
            if (!kind || !value) return;
            std::uint64_t number = 0;
            const auto [end, error] = std::from_chars(value, value + std::strlen(value), number);
            (void)end;
            if (error != std::errc{}) continue;
            const std::string name = toLower(kind);
            if (name == "tias") out.maxBitrate = number;
            if (name == "as" && !out.maxBitrate && number < 1'000'000'000) out.maxBitrate = number * 1'000;
        }
    };
    bandwidth(-1);
    for (int media = 0; !sdp_message_endof_media(raw, media) && media < 64; ++media) {
        const std::string kind = toString(sdp_message_m_media_get(raw, media));
        std::string line = kind + " " + "0 " + toString(sdp_message_m_proto_get(raw, media));
        std::vector<std::string> formats;
        for (int i = 0; const char* payload = sdp_message_m_payload_get(raw, media, i); ++i)
            formats.push_back(payload);
        for (const std::string& f : formats) line += " " + f;
        out.mediaLines.push_back(line);
        if (kind != "video" || out.hasVideo) continue;
        const int port = parseNumber(toString(sdp_message_m_port_get(raw, media))).value_or(0);
        if (port <= 0 || port > 65'535) continue;
        out.hasVideo = true;
        out.videoIndex = static_cast<std::size_t>(media);
        out.videoPort = port;
        out.formats = formats;
        if (const char* address = sdp_message_c_addr_get(raw, media, 0)) out.address = address;
        bandwidth(media);
        for (int i = 0; const char* field = sdp_message_a_att_field_get(raw, media, i); ++i) {
            const std::string name = toLower(field);
            if (name == "sendonly" || name == "inactive") out.wantsVideo = false;
        }
    }
    out.mediaCount = out.mediaLines.size();
    return out;
}

std::string writeAnswer(const Offer& offer, const net::Endpoint& media, std::uint64_t bits,
                        std::uint64_t session, std::uint64_t version) {
    const std::string family = media.ip.is_v6() ? "IP6 " : "IP4 ";
    std::string out = "v=0\r\no=valekeel " + std::to_string(session) + " " + std::to_string(version) +
                      " IN " + family + media.ip.to_string() + "\r\ns=-\r\nc=IN " + family +
                      media.ip.to_string() + "\r\nt=0 0\r\n";
    for (std::size_t i = 0; i < offer.mediaLines.size(); ++i) {
        std::string line = offer.mediaLines[i];
        if (i != offer.videoIndex || !offer.hasVideo) {
            out += "m=" + line + "\r\n";
            continue;
        }
        line.replace(line.find(" 0 "), 3, " " + std::to_string(media.port) + " ");
        out += "m=" + line + "\r\nb=AS:" + std::to_string((bits + 999) / 1'000) +
               "\r\nb=TIAS:" + std::to_string(bits) + "\r\na=sendonly\r\n";
    }
    return out;
}

std::string response(const Message& request, int status, std::string_view toTag,
                     const std::vector<std::pair<std::string, std::string>>& more, std::string_view body,
                     const net::Endpoint* received) {
    std::string out = "SIP/2.0 " + std::to_string(status) + " ";
    out += reasonPhrase(status);
    out += "\r\n";
    bool first = true;
    for (const Via& via : request.vias) {
        std::string value = headerSafe(via.written);
        if (std::exchange(first, false) && received) {
            // The actual source of the request (section 18.2.1; RFC 3581).
            if (via.host != received->ip.to_string()) value += ";received=" + received->ip.to_string();
            if (via.rport && via.params.at("rport").empty()) {
                const auto at = toLower(value).find(";rport");
                if (at != std::string::npos) value.insert(at + 6, "=" + std::to_string(received->port));
            }
        }
        out += "Via: " + value + "\r\n";
    }
    if (status > 100)
        for (const std::string& route : request.recordRoutes)
            out += "Record-Route: " + headerSafe(route) + "\r\n";
    out += "From: " + headerSafe(request.from.written) + "\r\nTo: " + headerSafe(request.to.written);
    if (status > 100 && request.to.tag.empty() && !toTag.empty()) out += ";tag=" + std::string(toTag);
    out += "\r\nCall-ID: " + headerSafe(request.callId) + "\r\nCSeq: " + std::to_string(request.cseq) + " " +
           headerSafe(request.method) + "\r\n";
    for (const auto& [name, value] : more) out += name + ": " + headerSafe(value) + "\r\n";
    if (!body.empty()) out += "Content-Type: application/sdp\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

std::string_view reasonPhrase(int status) {
    switch (status) {
        case 100:
            return "Trying";
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 415:
            return "Unsupported Media Type";
        case 420:
            return "Bad Extension";
        case 422:
            return "Session Interval Too Small";
        case 480:
            return "Temporarily Unavailable";
        case 481:
            return "Call/Transaction Does Not Exist";
        case 482:
            return "Loop Detected";
        case 483:
            return "Too Many Hops";
        case 486:
            return "Busy Here";
        case 487:
            return "Request Terminated";
        case 488:
            return "Not Acceptable Here";
        case 491:
            return "Request Pending";
        case 500:
            return "Server Internal Error";
        case 501:
            return "Not Implemented";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Server Time-out";
        case 505:
            return "Version Not Supported";
        case 513:
            return "Message Too Large";
        default:
            return "Status";
    }
}

constexpr std::size_t kKeptBytes = 4 * 1024;  // of an empty buffer

bool Framer::feed(std::string_view bytes) {
    if (outOfSync_) return false;
    in_ += bytes;
    return in_.size() <= 2 * maxMessageBytes_;
}

std::optional<std::string> Framer::next() {
    while (!outOfSync_) {
        // CRLFs between messages are ignored (section 7.5); peers use them as keep-alives.
        const auto from = in_.find_first_not_of("\r\n");
        if (from == std::string::npos) {
            in_.clear();
            if (in_.capacity() > kKeptBytes) in_.shrink_to_fit();
            return std::nullopt;
        }
        in_.erase(0, from);
        const auto end = in_.find("\r\n\r\n");
        if (end == std::string::npos) {
            outOfSync_ = in_.size() > maxMessageBytes_;
            return std::nullopt;
        }
        std::optional<std::size_t> length;
        std::size_t at = 0;
        while (at < end) {
            const auto next = std::min(in_.find("\r\n", at), end);
            const std::string_view line = std::string_view(in_).substr(at, next - at);
            const auto colon = line.find(':');
            const std::string name =
                colon == std::string_view::npos ? "" : toLower(trimmed(line.substr(0, colon)));
            if (name == "content-length" || name == "l") {
                const auto number = parseNumber(line.substr(colon + 1));
                if (!number || (length && *length != static_cast<std::size_t>(*number))) {
                    outOfSync_ = true;  // the start of the next message is unknown
                    return std::nullopt;
                }
                length = static_cast<std::size_t>(*number);
            }
            at = next + 2;
        }
        if (!length || end + 4 + *length > maxMessageBytes_) {  // required on a stream (section 20.14)
            outOfSync_ = true;
            return std::nullopt;
        }
        const std::size_t messageBytes = end + 4 + *length;
        if (in_.size() < messageBytes) return std::nullopt;
        std::string out = in_.substr(0, messageBytes);
        in_.erase(0, messageBytes);
        return out;
    }
    return std::nullopt;
}

}  // namespace valekeel::sip
