#include "admission/retry_limiter.hpp"

#include <algorithm>

namespace valekeel::admission {

void RetryLimiter::look(Micros now) {
    if (now - lookedAt_ < terms_.window) return;
    const double span = seconds(now - lookedAt_);
    const double rate = static_cast<double>(placedNow_) / span;
    // What came in a burst at the opening says little of how places come free later: half by half.
    placedRate_ = seen_ ? (placedRate_ + rate) / 2 : rate;
    seen_ = true;
    const std::uint64_t all = placedNow_ + throttledNow_;
    // With two bounds, so that it does not go to and fro.
    if (all >= 10) crowded_ = throttledNow_ * 10 >= all * (crowded_ ? 5 : 8);
    if (throttledNow_ == 0) crowded_ = false;
    placedNow_ = throttledNow_ = 0;
    lookedAt_ = now;
}

void RetryLimiter::onPlaced(Micros now) {
    look(now);
    ++placedNow_;
}
void RetryLimiter::onThrottled(Micros now) {
    look(now);
    ++throttledNow_;
}

bool RetryLimiter::mayAttempt(Micros now) {
    look(now);
    const double rate = std::max(terms_.minAttemptsPerSecond, terms_.attemptsPerPlacement * placedRate_);
    tokens_ = std::min(rate, tokens_ + rate * seconds(now - filledAt_));  // a second's worth at most
    filledAt_ = now;
    if (terms_.maxRetryAfter <= 0 || !crowded_) return true;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

Micros RetryLimiter::retryAfter(Micros now, Micros least) {
    look(now);
    if (terms_.maxRetryAfter <= 0) return least;
    const double rate = std::max(1.0, placedRate_ * terms_.retriesPerPlacement);
    const Micros apart = static_cast<Micros>(1e6 / rate);
    // The first is told `least`; each later one comes behind those who were told before.
    nextSlot_ = std::max(nextSlot_ + apart, now + least);
    const Micros latest = now + std::max(least, terms_.maxRetryAfter);
    // Beyond the longest wait the row begins anew, over the last half of it: not all at its very end.
    if (nextSlot_ > latest) nextSlot_ = now + std::max(least, terms_.maxRetryAfter / 2);
    return nextSlot_ - now;
}

}  // namespace valekeel::admission
