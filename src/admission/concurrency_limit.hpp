// How many requests may wait for an answer at once, found from how long answers take: as many as keep the
// median wait at the target. Decides only: no I/O, no clock.
//
// More waiting than media servers can set up in time costs their work twice over: what is given up on or sent
// again runs there all the same. So the bound falls while answers take longer than they should, and rises
// again while it is reached and they don't. What is slow without a crowd is no reason to turn anybody away:
// the target is never under twice the median that was seen while few waited.
#pragma once

#include <cstddef>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::admission {

struct ConcurrencyLimitSettings {
    std::size_t minLimit = 64, maxLimit = 1'000;  // each decision looks at all that wait: more cost more each
    Micros targetWait = 300'000;                  // 0: the bound stays at `most`
    Micros interval = 200'000;                    // between looks
};

class ConcurrencyLimit {
  public:
    explicit ConcurrencyLimit(const ConcurrencyLimitSettings& terms);
    // One was answered by a placement, or its set-up came to nothing. `held`: those that wait now.
    void onAnswered(Micros now, Micros took, std::size_t held);
    std::size_t now() const { return bound_; }

  private:
    void look(Micros now, std::size_t held);
    static constexpr std::size_t kSeen = 512;  // of a look: enough for a median
    ConcurrencyLimitSettings terms_;
    std::size_t bound_;
    std::vector<Micros> seen_;
    Micros lookedAt_ = 0, quiet_ = 0;
};

}  // namespace valekeel::admission
