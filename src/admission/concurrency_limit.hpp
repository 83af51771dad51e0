// Adaptive concurrency limit: how many requests may wait for an answer at once, adjusted so that the median
// answer time stays at a target. Pure logic: no I/O, no clock of its own.
//
// More pending requests than media servers can set up in time waste their work: joins that time out or are
// repeated run there all the same. So the limit falls while answers take longer than the target, and rises
// again while they do not: by a tenth while it is nearly reached, by a fiftieth while less than half is used.
// Slow answers without load are no reason to refuse anyone: the effective target is at least twice the median
// that was measured while few requests were pending.
#pragma once

#include <cstddef>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::admission {

struct ConcurrencyLimitSettings {
    // Each decision of the module scans all pending requests, so a higher limit makes each one slower.
    std::size_t minLimit = 64, maxLimit = 1'000;
    Micros targetWait = 300'000;  // median answer time; 0: the limit stays at `maxLimit`
    Micros interval = 200'000;    // between adjustments
};

// Starts at `maxLimit` and stays between `minLimit` and `maxLimit`.
class ConcurrencyLimit {
  public:
    explicit ConcurrencyLimit(const ConcurrencyLimitSettings&);
    // A request was answered by a placement, or its set-up failed, after `answerTime`. `pending`: requests
    // that wait now.
    void onAnswered(Micros now, Micros answerTime, std::size_t pending);
    std::size_t current() const { return limit_; }

  private:
    void adjust(Micros now, std::size_t pending);
    static constexpr std::size_t kMaxSamples = 512;  // per interval: enough for a median
    ConcurrencyLimitSettings settings_;
    std::size_t limit_;
    std::vector<Micros> answerTimes_;  // of this interval
    // `baselineMedian_`: smoothed median answer time with few requests pending, 0 until measured.
    Micros adjustedAt_ = 0, baselineMedian_ = 0;
};

}  // namespace valekeel::admission
