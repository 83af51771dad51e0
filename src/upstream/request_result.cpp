#include "upstream/request_result.hpp"

#include <array>

namespace valekeel::upstream {
namespace {

// In the order of RequestResult.
constexpr std::array<ResultMeaning, static_cast<std::size_t>(RequestResult::kCount)> kTable{{
    {JoinResult::Played, false, "played", "the media server answered that it plays"},
    {JoinResult::NoConnection, true, "refused-connect",
     "the peer's kernel refused the connection: nothing was sent"},
    {JoinResult::NoConnection, true, "no-connection", "no connection was established: no byte was sent"},
    {JoinResult::NeverSent, true, "no-descriptor",
     "this front had no socket for it; says nothing about the media server"},
    {JoinResult::NeverSent, true, "no-room",
     "it was queued here for a connection; says nothing about the media server"},
    {JoinResult::NoConnection, true, "never-written", "the local kernel accepted no byte of the request"},
    {JoinResult::Full, true, "unseen", "the media server states that it rejected the request unread"},
    {JoinResult::Error, false, "503",
     "a media server, or a proxy, that does not state that it was unseen may have started it"},
    {JoinResult::Error, false, "error-status",
     "it was processed, and may have been charged before it failed"},
    {JoinResult::Error, false, "bad-answer", "something answered, but what it did is unknown"},
    {JoinResult::Reset, false, "kept-closed",
     "most likely closed for idleness, but the request may have been read"},
    {JoinResult::Reset, false, "broken-out", "the request may have been read before the connection broke"},
    {JoinResult::Reset, false, "broken-answer", "the response had started: it ran"},
    {JoinResult::TimedOut, false, "timed-out", "it may have run, and may still be running"},
    {JoinResult::NeverSent, true, "cancelled-unsent", "cancelled before a byte was sent"},
    {JoinResult::Cancelled, false, "cancelled", "cancelled, but the media server may have started it"},
}};

}  // namespace

const ResultMeaning& meaningOf(RequestResult result) {
    return kTable[static_cast<std::size_t>(result)];
}

}  // namespace valekeel::upstream
