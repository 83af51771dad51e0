// When those who are turned away come again, and how many asks are worth a decision. Decides only: no I/O, no
// clock.
//
// Told alike, they come back alike: a crowd that was throttled at one moment asks again at one moment, and
// most of it is throttled again. So each is told a moment of its own, as far apart as places come free. And
// while nearly all asks come to nothing, only so many are put to the module as may find a place; the rest are
// turned away at once, with such a moment. Who comes at once all the same then costs a refusal and no
// decision.
#pragma once

#include <cstdint>

#include "model/ids.hpp"

namespace valekeel::admission {

struct RetryLimiterSettings {
    Micros maxRetryAfter =
        30'000'000;  // nobody is told to wait longer; 0: everybody is told what the module says
    double retriesPerPlacement = 1.5;  // so many are told to come for each place that comes free
    double attemptsPerPlacement =
        4;  // asks put to the module for each that it places, while it throttles nearly all
    double minAttemptsPerSecond = 20;  // and never fewer than so many a second
    Micros window = 2'000'000;         // over which rates are found
};

class RetryLimiter {
  public:
    explicit RetryLimiter(const RetryLimiterSettings& terms) : terms_(terms) {}
    void onPlaced(Micros now);
    void onThrottled(Micros now);  // by the module
    // Whether one more ask is worth a decision.
    bool mayAttempt(Micros now);
    // When one that is turned away now should come again, from now: not before `least`.
    Micros retryAfter(Micros now, Micros least);
    double placedPerSecond() const { return placedRate_; }
    bool crowded() const { return crowded_; }

  private:
    void look(Micros now);
    RetryLimiterSettings terms_;
    Micros lookedAt_ = 0;
    std::uint64_t placedNow_ = 0, throttledNow_ = 0;
    double placedRate_ = 0, tokens_ = 0;
    bool crowded_ = false, seen_ = false;
    Micros filledAt_ = 0, nextSlot_ = 0;
};

}  // namespace valekeel::admission
