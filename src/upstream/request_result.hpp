// What a join's end on the wire comes to: one table, and for each way the reason why it is, or is not, proof
// that nothing ran. Whether a paid set-up may be sent again rests on this table alone.
#pragma once

#include <string_view>

#include "model/types.hpp"

namespace valekeel::upstream {

enum class RequestResult {
    Answered200,       // the playlist came, whole
    ConnectRefused,    // nobody listens
    ConnectFailed,     // no route, or no connection in time
    NoDescriptor,      // this front could open no socket
    NoFreeConnection,  // the box's connections were all taken until time ran out
    NeverWritten,      // connected, broken before a byte of the request left
    RejectedUnseen,    // 503 that names itself unseen
    Rejected,          // 503 that does not
    ErrorStatus,       // any other status
    BadAnswer,         // no HTTP, over a limit, or no playlist in it
    BrokenOnReused,    // a kept connection closed as the request went out
    BrokenOnFresh,     // a fresh connection broken after bytes of the request left
    BrokenAnswer,      // the answer was cut short
    TimedOut,          // no whole answer in time
    CancelledUnsent,   // called off before a byte left
    CancelledSent,     // called off after
    kCount
};

struct ResultMeaning {
    JoinResult end;
    bool neverRan;  // proof
    std::string_view name, why;
};

const ResultMeaning& meaningOf(RequestResult);

}  // namespace valekeel::upstream
