#include "admission/concurrency_limit.hpp"

#include <algorithm>

namespace valekeel::admission {

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& settings)
    : settings_(settings), limit_(settings.maxLimit) {
    settings_.minLimit = std::min(settings_.minLimit, settings_.maxLimit);
    answerTimes_.reserve(kMaxSamples);
}

void ConcurrencyLimit::onAnswered(Micros now, Micros answerTime, std::size_t pending) {
    if (settings_.targetWait <= 0) return;
    // The first answer after an idle period starts a new interval.
    if (answerTimes_.empty() && now - adjustedAt_ >= settings_.interval) adjustedAt_ = now;
    if (answerTimes_.size() < kMaxSamples) answerTimes_.push_back(answerTime);
    if (now - adjustedAt_ >= settings_.interval) adjust(now, pending);
}

void ConcurrencyLimit::adjust(Micros now, std::size_t pending) {
    adjustedAt_ = now;
    const auto middle = answerTimes_.begin() + static_cast<std::ptrdiff_t>(answerTimes_.size() / 2);
    std::nth_element(answerTimes_.begin(), middle, answerTimes_.end());
    const Micros median = *middle;
    answerTimes_.clear();
    // Learnt only while few requests are pending: queueing under load must not raise the baseline.
    if (pending <= std::max(settings_.minLimit, limit_ / 8))
        baselineMedian_ = baselineMedian_ == 0 ? median : (4 * baselineMedian_ + median) / 5;
    const Micros target = std::max(settings_.targetWait, 2 * baselineMedian_);
    if (median > target) {
        // Reduced from the number pending if that is lower: the limit may be far above the load.
        const double factor =
            std::clamp(static_cast<double>(target) / static_cast<double>(median), 0.7, 0.95);
        const auto reduced =
            static_cast<std::size_t>(static_cast<double>(std::min(limit_, pending + 1)) * factor);
        if (pending * 2 >= std::min(limit_, 2 * settings_.minLimit))
            limit_ = std::max(settings_.minLimit, reduced);
    } else if (pending * 5 >= limit_ * 4) {
        limit_ = std::min(settings_.maxLimit, limit_ + std::max<std::size_t>(1, limit_ / 10));
    } else if (pending * 2 < limit_) {
        limit_ = std::min(settings_.maxLimit, limit_ + std::max<std::size_t>(1, limit_ / 50));
    }
}

}  // namespace valekeel::admission
