#include "net/turn_queue.hpp"

#include <algorithm>

namespace valekeel::net {

void TurnQueue::Member::wait() {
    if (isWaiting_) return;
    isWaiting_ = true;
    place_ = queue_.waiting_.insert(queue_.waiting_.end(), this);
    queue_.timer_.soon();
}

void TurnQueue::Member::cancel() {
    if (!isWaiting_) return;
    isWaiting_ = false;
    queue_.waiting_.erase(place_);
}

// Each member gets one turn at most: one that waits again is served in the next round.
void TurnQueue::runRound() {
    std::size_t workLeft = kWorkPerRound;
    for (std::size_t turns = waiting_.size(); turns > 0 && workLeft > 0 && !waiting_.empty(); --turns) {
        Member& member = *waiting_.front();
        member.cancel();
        workLeft -= std::min(workLeft, std::max(member.takeTurn_(), kWorkPerMessage));
    }
    if (!waiting_.empty()) timer_.soon();
}

}  // namespace valekeel::net
