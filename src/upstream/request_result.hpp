// The possible results of a request to a media server, and one table that says for each, with the reason,
// whether it proves that the media server ran nothing. Whether a paid set-up may be repeated rests on this
// table alone.
#pragma once

#include <string_view>

#include "model/types.hpp"

namespace valekeel::upstream {

enum class RequestResult {
    Answered200,       // the complete playlist arrived
    ConnectRefused,    // nobody listens at the address
    ConnectFailed,     // no route, or no connection in time
    NoDescriptor,      // this front could not open a socket
    NoFreeConnection,  // no free connection in time, or the queue for one is full
    NeverWritten,      // connected, but broken before a byte of the request was sent
    RejectedUnseen,    // 503 that says the request was rejected unseen
    Rejected,          // 503 that does not say so
    ErrorStatus,       // any other status
    BadAnswer,         // not HTTP, over a limit, or without a valid playlist
    BrokenOnReused,    // a kept connection was closed as the request was sent
    BrokenOnFresh,     // a new connection broke after bytes of the request were sent
    BrokenAnswer,      // the response was cut short
    TimedOut,          // no complete response in time
    CancelledUnsent,   // cancelled before a byte was sent
    CancelledSent,     // cancelled after bytes were sent
    kCount
};

struct ResultMeaning {
    JoinResult end;         // as the decision module sees it
    bool neverRan;          // proof that the media server ran nothing
    std::string_view name;  // in log events
    std::string_view why;   // why it is, or is not, a proof
};

const ResultMeaning& meaningOf(RequestResult);

}  // namespace valekeel::upstream
