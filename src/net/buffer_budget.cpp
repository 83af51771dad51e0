#include "net/buffer_budget.hpp"

namespace valekeel::net {

void BufferBudget::Holder::set(std::size_t bytes) {
    if (bytes == bytes_) return;
    if (bytes_ > 0) budget_.holders_.erase({bytes_, this});
    budget_.bytes_ = budget_.bytes_ - bytes_ + bytes;
    bytes_ = bytes;
    if (bytes_ > 0) budget_.holders_.insert({bytes_, this});
    // Later, as the connection may be in the middle of an operation.
    if (budget_.bytes_ > budget_.maxBytes_) budget_.timer_.soon();
}

void BufferBudget::closeLargest() {
    while (bytes_ > maxBytes_) {
        Holder& largest = *holders_.rbegin()->second;
        ++closedCount_;
        largest.onOverLimit_();
        largest.set(0);
    }
}

}  // namespace valekeel::net
