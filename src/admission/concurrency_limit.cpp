#include "admission/concurrency_limit.hpp"

#include <algorithm>

namespace valekeel::admission {

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& terms)
    : terms_(terms), bound_(terms.maxLimit) {
    terms_.minLimit = std::min(terms_.minLimit, terms_.maxLimit);
    seen_.reserve(kSeen);
}

void ConcurrencyLimit::onAnswered(Micros now, Micros took, std::size_t held) {
    if (terms_.targetWait <= 0) return;
    if (seen_.empty() && now - lookedAt_ >= terms_.interval) lookedAt_ = now;  // the first after a silence
    if (seen_.size() < kSeen) seen_.push_back(took);
    if (now - lookedAt_ >= terms_.interval) look(now, held);
}

void ConcurrencyLimit::look(Micros now, std::size_t held) {
    lookedAt_ = now;
    const auto middle = seen_.begin() + static_cast<std::ptrdiff_t>(seen_.size() / 2);
    std::nth_element(seen_.begin(), middle, seen_.end());
    const Micros median = *middle;
    seen_.clear();
    // Learnt only while few wait: a crowd's own waiting must not become what is taken for normal.
    if (held <= std::max(terms_.minLimit, bound_ / 8))
        quiet_ = quiet_ == 0 ? median : (4 * quiet_ + median) / 5;
    const Micros bears = std::max(terms_.targetWait, 2 * quiet_);
    if (median > bears) {
        // From what is held, not from a bound that nothing came near.
        const double by = std::clamp(static_cast<double>(bears) / static_cast<double>(median), 0.7, 0.95);
        const auto less = static_cast<std::size_t>(static_cast<double>(std::min(bound_, held + 1)) * by);
        if (held * 2 >= std::min(bound_, 2 * terms_.minLimit)) bound_ = std::max(terms_.minLimit, less);
    } else if (held * 5 >= bound_ * 4) {
        bound_ = std::min(terms_.maxLimit, bound_ + std::max<std::size_t>(1, bound_ / 10));
    } else if (held * 2 < bound_) {
        bound_ = std::min(terms_.maxLimit, bound_ + std::max<std::size_t>(1, bound_ / 50));
    }
}

}  // namespace valekeel::admission
