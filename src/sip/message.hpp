// SIP messages (RFC 3261) and their SDP (RFC 8866, RFC 3264), parsed by osip2 and held as plain values.
// Written by hand: an answer copies what it must of the request to the letter (section 8.2.6.2).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.hpp"

namespace valekeel::sip {

struct Via {
    std::string written;  // the whole value, as it came
    std::string transport, host, branch;
    int port = 5060;
    bool rport = false;
    std::map<std::string, std::string> params;  // names in lower case
};

struct NameAddr {
    std::string written, uri, tag;
};

struct Message {
    bool request = true;
    std::string method;  // of the request, or of the CSeq for an answer
    int status = 0;
    std::string requestUri, user;                  // user part of the request URI, unescaped
    std::map<std::string, std::string> uriParams;  // of the request URI
    std::vector<Via> vias;
    NameAddr from, to;
    std::optional<NameAddr> contact;
    std::string callId;
    std::uint32_t cseq = 0;
    std::optional<int> maxForwards, expires, sessionExpires, minSe;
    std::string refresher;  // of Session-Expires
    std::vector<std::string> recordRoutes, require, supported, allow;
    std::map<std::string, std::string> others;  // further headers, names in lower case
    std::string contentType, body;
};

struct SipLimits {
    std::size_t bytes = 65'535;
    std::size_t headers = 100;
};

struct ParseResult {
    std::optional<Message> message;
    int status = 400;  // what a request that is broken is answered, if it can be answered
    std::string why;
    std::optional<Message> partial;  // what could be read of a broken request: enough to answer it
};
// Of one whole message. A status of 0 means that silence is owed: nothing of it can be answered.
ParseResult parse(std::string_view bytes, const SipLimits& = {});

struct Offer {  // what a caller's SDP asks for
    std::string address;
    int videoPort = 0;
    bool hasVideo = false, wantsVideo = true;  // wantsVideo: not recvonly/inactive the wrong way about
    std::vector<std::string> formats;
    std::optional<std::uint64_t> maxBitrate;  // b=TIAS, or b=AS as bits
    std::size_t medias = 0;
    std::vector<std::string> mediaLines;  // m= of each, to be refused where it is not the video's
    std::size_t videoAt = 0;
};
std::optional<Offer> parseOffer(std::string_view sdp);
// The answer of RFC 3264, section 6: the same media in the same order, all but the video refused by port 0.
std::string writeAnswer(const Offer&, const net::Endpoint& media, std::uint64_t bits, std::uint64_t session,
                        std::uint64_t version);

// An answer's head: Vias, From, To (with the tag), Call-ID, CSeq and Record-Route copied from the request.
std::string response(const Message& request, int status, std::string_view toTag,
                     const std::vector<std::pair<std::string, std::string>>& more, std::string_view body = {},
                     const net::Endpoint* received = nullptr);
std::string_view reasonOf(int status);
std::string headerSafe(std::string_view);  // control characters replaced

// Streams carry messages one behind the other; Content-Length parts them (section 18.3).
class Framer {
  public:
    explicit Framer(std::size_t most) : most_(most) {}
    // False once the stream can't be followed any more.
    bool feed(std::string_view bytes);
    std::optional<std::string> next();
    std::size_t waiting() const { return in_.size(); }

  private:
    std::size_t most_;
    std::string in_;
    bool lost_ = false;
};

}  // namespace valekeel::sip
