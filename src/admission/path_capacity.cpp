#include "admission/path_capacity.hpp"

#include <algorithm>

namespace valekeel::admission {

void PathCapacity::look(Micros now, Way& way) {
    if (now - way.begun < terms_.window) return;
    const Seen seen = way.seen;
    way.seen = {};
    way.begun = now;
    if (seen.of < terms_.minSegments) {
        // Nobody watches there any more, so nothing can be told: a few are let in to see.
        if (way.narrow && now - way.heardAt >= 3 * terms_.window) {
            way.narrow = false;
            way.opening = true;
            way.perSecond = terms_.initialAdmitsPerSecond;
        }
        return;
    }
    // The others, without its own part.
    Seen others = allBefore_;
    others.sum = std::max(0.0, others.sum - seen.sum);
    others.of -= std::min(others.of, seen.of);
    const bool alone = others.of < terms_.minSegments || others.mean() > seen.mean() + 0.1 ||
                       others.mean() >= terms_.sufficientShare;
    const bool lowest = seen.lowest * 4 >= seen.of * 3;
    const bool starved =
        seen.mean() < terms_.sufficientShare / 2;  // no rung would be low enough, whichever plays now
    if (((seen.mean() < terms_.sufficientShare && lowest) || starved) && alone) {
        way.narrow = true;
        way.opening = false;
    } else if (way.narrow && seen.mean() >= terms_.sufficientShare) {
        way.narrow = false;
        way.opening = true;
        way.perSecond = terms_.initialAdmitsPerSecond;
        way.tokens = 0;
    } else if (way.opening && seen.mean() >= terms_.sufficientShare) {
        way.perSecond *= 2;
        if (way.perSecond > 64) way.opening = false;
    }
}

void PathCapacity::onDelivered(Micros now, std::uint32_t network, double share, bool lowest) {
    if (!terms_.enabled) return;
    if (now - allBegun_ >= terms_.window) {
        allBefore_ = all_;
        all_ = {};
        allBegun_ = now;
    }
    Way& way = ways_[network];
    way.heardAt = now;
    for (Seen* seen : {&way.seen, &all_}) {
        seen->sum += std::clamp(share, 0.0, 1.0);
        ++seen->of;
        seen->lowest += lowest;
    }
    look(now, way);
    // What was not heard of for long says nothing any more.
    if (now - tidied_ < 30 * terms_.window) return;
    tidied_ = now;
    std::erase_if(ways_, [&](const auto& w) { return now - w.second.heardAt > 30 * terms_.window; });
}

bool PathCapacity::mayAdmit(Micros now, std::uint32_t network) {
    if (!terms_.enabled) return true;
    const auto it = ways_.find(network);
    if (it == ways_.end()) return true;
    Way& way = it->second;
    look(now, way);
    if (way.narrow) return false;
    if (!way.opening) return true;
    way.tokens =
        std::min(std::max(1.0, way.perSecond), way.tokens + way.perSecond * seconds(now - way.filledAt));
    way.filledAt = now;
    if (way.tokens < 1) return false;
    way.tokens -= 1;
    return true;
}

bool PathCapacity::isLimitedToLowestRung(std::uint32_t network) const {
    const auto it = ways_.find(network);
    return it != ways_.end() && (it->second.narrow || it->second.opening);
}

bool PathCapacity::narrow(std::uint32_t network) const {
    const auto it = ways_.find(network);
    return it != ways_.end() && it->second.narrow;
}

}  // namespace valekeel::admission
