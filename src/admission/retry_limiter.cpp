#include "admission/retry_limiter.hpp"

#include <algorithm>

namespace valekeel::admission {

void RetryLimiter::updateRates(Micros now) {
    if (now - windowStart_ < settings_.window) return;
    const double elapsed = seconds(now - windowStart_);
    const double rate = static_cast<double>(placed_) / elapsed;
    // Averaged with the previous rate: an initial burst says little about how places become free later.
    placedPerSecond_ = hasRate_ ? (placedPerSecond_ + rate) / 2 : rate;
    hasRate_ = true;
    const std::uint64_t total = placed_ + throttled_;
    // Two thresholds (hysteresis), so that the state does not flap.
    if (total >= 10) overloaded_ = throttled_ * 10 >= total * (overloaded_ ? 5 : 8);
    if (throttled_ == 0) overloaded_ = false;
    placed_ = throttled_ = 0;
    windowStart_ = now;
}

void RetryLimiter::onPlaced(Micros now) {
    updateRates(now);
    ++placed_;
}
void RetryLimiter::onThrottled(Micros now) {
    updateRates(now);
    ++throttled_;
}

bool RetryLimiter::mayAttempt(Micros now) {
    updateRates(now);
    const double rate =
        std::max(settings_.minAttemptsPerSecond, settings_.attemptsPerPlacement * placedPerSecond_);
    tokens_ = std::min(rate, tokens_ + rate * seconds(now - refilledAt_));  // capped at one second's worth
    refilledAt_ = now;
    if (settings_.maxRetryAfter <= 0 || !overloaded_) return true;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

Micros RetryLimiter::retryAfter(Micros now, Micros minWait) {
    updateRates(now);
    if (settings_.maxRetryAfter <= 0) return minWait;
    const double rate = std::max(1.0, placedPerSecond_ * settings_.retriesPerPlacement);
    const Micros spacing = static_cast<Micros>(1e6 / rate);
    // The first viewer gets `minWait`, each later one a time `spacing` after the previous.
    lastRetryAt_ = std::max(lastRetryAt_ + spacing, now + minWait);
    const Micros latest = now + std::max(minWait, settings_.maxRetryAfter);
    // Past the longest wait, the times start again at half of it, so that they do not all pile up at its end.
    if (lastRetryAt_ > latest) lastRetryAt_ = now + std::max(minWait, settings_.maxRetryAfter / 2);
    return lastRetryAt_ - now;
}

}  // namespace valekeel::admission
