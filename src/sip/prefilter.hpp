// A minimal parser for INVITE and ACK, to refuse a request under load, or to recognize one that was refused,
// without copying or building lists. Accepts only the plain form that common callers send: full header names,
// one Via, no folded lines. All other requests go through parse().
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/net.hpp"

namespace valekeel::sip {

// Views into the message, which must outlive them.
struct PrefilteredRequest {
    std::string_view method, via, from, to, callId, cseq;  // header values as written
    std::string_view branch, sentBy;                       // of the Via
    bool toHasTag = false;
    // Returns Transactions::keyOf() of the INVITE that this request is or acknowledges.
    std::string inviteKey() const;
};

// Empty if the message is not an INVITE or ACK in the plain form.
std::optional<PrefilteredRequest> prefilter(std::string_view bytes);

// Returns a whole refusal response. `statusLine` is the status and its reason phrase; `viaParameters` are
// appended to the Via, each with its semicolon; `from` is the source of the request.
std::string refusal(const PrefilteredRequest& request, std::string_view statusLine, std::string_view toTag,
                    std::string_view viaParameters, long retryAfterSeconds, const net::Endpoint& from);

}  // namespace valekeel::sip
