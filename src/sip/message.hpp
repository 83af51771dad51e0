// SIP messages (RFC 3261) and their SDP (RFC 8866, RFC 3264). Parsed by osip2 into plain values. Responses
// are serialized by this module's own code, since they copy several headers of the request unchanged (section
// 8.2.6.2).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.hpp"

namespace valekeel::sip {

// One Via value.
struct Via {
    std::string written;  // the whole value as text
    std::string transport, host, branch;
    int port = 5060;
    bool rport = false;                         // whether it has the parameter rport (RFC 3581)
    std::map<std::string, std::string> params;  // names in lower case
};

// The value of From, To or Contact: as text, its URI, and its tag (empty if none).
struct NameAddr {
    std::string written, uri, tag;
};

// A request or response. Strings are empty and optionals unset where the message has no such header.
struct Message {
    bool request = true;                           // or a response
    std::string method;                            // of a response: the method in its CSeq
    int status = 0;                                // of a response
    std::string requestUri, user;                  // `user`: user part of the request URI, unescaped
    std::map<std::string, std::string> uriParams;  // of the request URI, names in lower case
    std::vector<Via> vias;
    NameAddr from, to;
    std::optional<NameAddr> contact;
    std::string callId;
    std::uint32_t cseq = 0;
    std::optional<int> maxForwards, expires, sessionExpires, minSe;    // all but maxForwards in seconds
    std::string refresher;                                             // of Session-Expires: uac or uas
    std::vector<std::string> recordRoutes, require, supported, allow;  // all but the routes in lower case
    // Headers that osip does not parse itself: names in lower case, first value of each.
    std::map<std::string, std::string> others;
    std::string contentType, body;
};

// Limits on one message.
struct SipLimits {
    std::size_t bytes = 65'535;
    std::size_t headers = 100;
};

// The parsed message or, if it is malformed, how to answer it.
struct ParseResult {
    std::optional<Message> message;
    int status = 400;                // the status to answer a malformed request with; 0: it can't be answered
    std::string why;                 // the error as text
    std::optional<Message> partial;  // what was parsed of a malformed request, sufficient to answer it
};
// Parses one whole message.
ParseResult parse(std::string_view bytes, const SipLimits& = {});

// A caller's SDP offer.
struct Offer {
    std::string address;
    int videoPort = 0;
    bool hasVideo = false, wantsVideo = true;  // wantsVideo: the video is neither sendonly nor inactive
    std::vector<std::string> formats;          // payload types of the video
    std::optional<std::uint64_t> maxBitrate;   // bit/s, from b=TIAS, or else b=AS
    std::size_t mediaCount = 0;
    std::vector<std::string> mediaLines;  // the m= line of each media, without "m=" and with port 0
    std::size_t videoIndex = 0;           // of the video in `mediaLines`
};
// Returns the offer, with its first video that has a port; empty if the SDP is malformed.
std::optional<Offer> parseOffer(std::string_view sdp);
// Returns the answer (RFC 3264, section 6): the same media in the same order, all but the video rejected with
// port 0. `bits` is the bitrate in bit/s; `session` and `version` go into the origin line.
std::string writeAnswer(const Offer&, const net::Endpoint& media, std::uint64_t bits, std::uint64_t session,
                        std::uint64_t version);

// Serializes a response: Vias, From, To (with the tag), Call-ID, CSeq and Record-Route copied from the
// request, then `more` headers and an SDP body. With `received`, the source of the request, the topmost Via
// gets the parameters received and rport.
std::string response(const Message& request, int status, std::string_view toTag,
                     const std::vector<std::pair<std::string, std::string>>& more, std::string_view body = {},
                     const net::Endpoint* received = nullptr);
std::string_view reasonPhrase(int status);  // "Status" if unknown
std::string headerSafe(std::string_view);   // replaces control characters by spaces

// Splits a byte stream into messages by their Content-Length (section 18.3).
class Framer {
  public:
    explicit Framer(std::size_t maxMessageBytes) : maxMessageBytes_(maxMessageBytes) {}
    // Appends received bytes. Returns false if the stream can't be split any more, or if more than twice the
    // message limit is buffered.
    bool feed(std::string_view bytes);
    // Returns the next complete message; empty if there is none yet.
    std::optional<std::string> next();
    std::size_t heldBytes() const { return in_.capacity(); }  // of memory

  private:
    std::size_t maxMessageBytes_;
    std::string in_;
    bool outOfSync_ = false;
};

}  // namespace valekeel::sip
