// Spreads the retries of refused viewers over time, and limits how many attempts reach the decision module
// under overload. Pure logic: no I/O, no clock of its own.
//
// Viewers that are throttled at once and given the same retry time come back at once, and most of them are
// throttled again. So each refused viewer gets a retry time of its own, spaced at the rate at which places
// become free. And while nearly all attempts fail, only as many reach the module as may find a place; the
// rest are refused at once, with such a retry time. A viewer that ignores it then costs a refusal but no
// decision.
#pragma once

#include <cstdint>

#include "model/ids.hpp"

namespace valekeel::admission {

struct RetryLimiterSettings {
    Micros maxRetryAfter = 30'000'000;  // 0: the limiter is off, and the module's retry times stand
    double retriesPerPlacement = 1.5;   // viewers asked to retry for each place that becomes free
    double attemptsPerPlacement = 4;    // passed to the module while it throttles nearly all
    double minAttemptsPerSecond = 20;   // passed to the module in any case
    Micros window = 2'000'000;          // over which rates are measured
};

// Times are microseconds and must not decrease from call to call.
class RetryLimiter {
  public:
    explicit RetryLimiter(const RetryLimiterSettings& settings) : settings_(settings) {}
    void onPlaced(Micros now);
    void onThrottled(Micros now);  // by the module
    // Whether one more attempt may reach the module. Each true uses up one attempt under overload.
    bool mayAttempt(Micros now);
    // Time from now after which a viewer who is refused now should retry; at least `minWait`. Each call
    // reserves the next retry time.
    Micros retryAfter(Micros now, Micros minWait);
    double placedPerSecond() const { return placedPerSecond_; }
    bool isOverloaded() const { return overloaded_; }  // the module throttles nearly all attempts

  private:
    void updateRates(Micros now);
    RetryLimiterSettings settings_;
    Micros windowStart_ = 0;
    std::uint64_t placed_ = 0, throttled_ = 0;  // in this window
    double placedPerSecond_ = 0, tokens_ = 0;
    bool overloaded_ = false, hasRate_ = false;
    Micros refilledAt_ = 0, lastRetryAt_ = 0;
};

}  // namespace valekeel::admission
