// The least that must be read of a request to turn it away, or to know that it was: no copy is made and no
// list built. Only of the plainest form, as all common callers write it: full header names, one Via, nothing
// folded. What is written otherwise is read whole by parse().
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/net.hpp"

namespace valekeel::sip {

struct PrefilteredRequest {                                // views into the message
    std::string_view method, via, from, to, callId, cseq;  // values, as written
    std::string_view branch, sentBy;
    bool toHasTag = false;
    // As Transactions::keyOf() names the INVITE that this is, or belongs to.
    std::string inviteKey() const;
};

// Nothing where it is no such request, or anything about it is out of the ordinary.
std::optional<PrefilteredRequest> prefilter(std::string_view bytes);

// A refusal of it, whole. `viaMore`: parameters for the Via, each with its semicolon.
std::string refusal(const PrefilteredRequest&, std::string_view statusLine, std::string_view toTag,
                    std::string_view viaMore, long retryAfterSeconds, const net::Endpoint& from);

}  // namespace valekeel::sip
