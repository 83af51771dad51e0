#include "admission/path_capacity.hpp"

#include <algorithm>

namespace valekeel::admission {

void PathCapacity::update(Micros now, Path& path) {
    if (now - path.windowStart < settings_.window) return;
    const ShareStats stats = path.stats;
    path.stats = {};
    path.windowStart = now;
    if (stats.count < settings_.minSegments) {
        // Nobody watches there any more, so nothing can be measured: a few viewers are admitted to find out.
        if (path.saturated && now - path.lastSegmentAt >= 3 * settings_.window) {
            path.saturated = false;
            path.recovering = true;
            path.admitsPerSecond = settings_.initialAdmitsPerSecond;
        }
        return;
    }
    // All other networks, without this one.
    ShareStats others = allPrevious_;
    others.sum = std::max(0.0, others.sum - stats.sum);
    others.count -= std::min(others.count, stats.count);
    const bool onlyHere = others.count < settings_.minSegments || others.mean() > stats.mean() + 0.1 ||
                          others.mean() >= settings_.sufficientShare;
    const bool lowest = stats.lowest * 4 >= stats.count * 3;
    // No rung would be low enough, whichever ones play now.
    const bool starved = stats.mean() < settings_.sufficientShare / 2;
    if (((stats.mean() < settings_.sufficientShare && lowest) || starved) && onlyHere) {
        path.saturated = true;
        path.recovering = false;
    } else if (path.saturated && stats.mean() >= settings_.sufficientShare) {
        path.saturated = false;
        path.recovering = true;
        path.admitsPerSecond = settings_.initialAdmitsPerSecond;
        path.tokens = 0;
    } else if (path.recovering && stats.mean() >= settings_.sufficientShare) {
        path.admitsPerSecond *= 2;
        if (path.admitsPerSecond > 64) path.recovering = false;
    }
}

void PathCapacity::onDelivered(Micros now, std::uint32_t network, double share, bool lowest) {
    if (!settings_.enabled) return;
    if (now - allWindowStart_ >= settings_.window) {
        allPrevious_ = all_;
        all_ = {};
        allWindowStart_ = now;
    }
    Path& path = paths_[network];
    path.lastSegmentAt = now;
    for (ShareStats* stats : {&path.stats, &all_}) {
        stats->sum += std::clamp(share, 0.0, 1.0);
        ++stats->count;
        stats->lowest += lowest;
    }
    update(now, path);
    // Paths over which no segment has come for long are forgotten.
    if (now - cleanedUpAt_ < 30 * settings_.window) return;
    cleanedUpAt_ = now;
    std::erase_if(
        paths_, [&](const auto& entry) { return now - entry.second.lastSegmentAt > 30 * settings_.window; });
}

bool PathCapacity::mayAdmit(Micros now, std::uint32_t network) {
    if (!settings_.enabled) return true;
    const auto it = paths_.find(network);
    if (it == paths_.end()) return true;
    Path& path = it->second;
    update(now, path);
    if (path.saturated) return false;
    if (!path.recovering) return true;
    path.tokens = std::min(std::max(1.0, path.admitsPerSecond),
                           path.tokens + path.admitsPerSecond * seconds(now - path.refilledAt));
    path.refilledAt = now;
    if (path.tokens < 1) return false;
    path.tokens -= 1;
    return true;
}

bool PathCapacity::isLimitedToLowestRung(std::uint32_t network) const {
    const auto it = paths_.find(network);
    return it != paths_.end() && (it->second.saturated || it->second.recovering);
}

bool PathCapacity::isSaturated(std::uint32_t network) const {
    const auto it = paths_.find(network);
    return it != paths_.end() && it->second.saturated;
}

}  // namespace valekeel::admission
