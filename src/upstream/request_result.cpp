#include "upstream/request_result.hpp"

#include <array>

namespace valekeel::upstream {
namespace {

using E = JoinResult;
constexpr std::array<ResultMeaning, static_cast<std::size_t>(RequestResult::kCount)> kTable{{
    {E::Played, false, "played", "the box says that it plays"},
    {E::NoConnection, true, "refused-connect", "the kernel there turned the connect away: nothing was sent"},
    {E::NoConnection, true, "no-connection", "no connection stood, so no byte was sent"},
    {E::NeverSent, true, "no-descriptor", "this front had no socket for it; says nothing of the box"},
    {E::NeverSent, true, "no-room", "it waited here for a connection; says nothing of the box"},
    {E::NoConnection, true, "never-written", "the kernel took no byte of the request from us"},
    {E::Full, true, "unseen", "the box vouches that it turned it away before looking at it"},
    {E::Error, false, "503", "a box, or something before it, that does not say it was unseen may have begun"},
    {E::Error, false, "error-status", "it was looked at, and may have been charged before it failed"},
    {E::Error, false, "bad-answer", "something answered: what it did can't be told"},
    {E::Reset, false, "kept-closed", "most likely closed for idleness, but the request may have been read"},
    {E::Reset, false, "broken-out", "the request may have been read before the connection broke"},
    {E::Reset, false, "broken-answer", "the answer had begun: it ran"},
    {E::TimedOut, false, "timed-out", "it may have run, and may still run"},
    {E::NeverSent, true, "cancelled-unsent", "called off before a byte left"},
    {E::Cancelled, false, "cancelled", "called off, but the box may have begun"},
}};

}  // namespace

const ResultMeaning& meaningOf(RequestResult end) {
    return kTable[static_cast<std::size_t>(end)];
}

}  // namespace valekeel::upstream
