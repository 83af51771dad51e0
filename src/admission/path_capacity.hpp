// Detects networks whose own path to the media servers is saturated: all viewers there get less than the rate
// of their rungs, even of the lowest one. No choice of server or rung helps then; another viewer would only
// take bandwidth from the present ones. So no new viewer is admitted from such a network until the path has
// recovered, and then only a few at a time. Pure logic: no I/O, no clock of its own.
//
// A saturated path is distinguished from an overloaded media server by comparison: if all other networks
// together get their rates while one network alone does not, the servers are not the bottleneck.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::admission {

struct PathCapacitySettings {
    double sufficientShare = 0.95;      // of the rung's rate
    Micros window = 2'000'000;          // over which shares are averaged
    std::size_t minSegments = 4;        // in a window, for its mean to count
    double initialAdmitsPerSecond = 1;  // once the path has recovered; doubles every window
    bool enabled = true;
};

// Networks are numbered by the caller (AdmissionController::networkOf).
class PathCapacity {
  public:
    explicit PathCapacity(const PathCapacitySettings& settings) : settings_(settings) {}
    // A segment arrived completely. `share`: delivered rate over the rung's rate, clamped to 0 to 1;
    // `lowest`: no lower rung is allowed.
    void onDelivered(Micros now, std::uint32_t network, double share, bool lowest);
    // Whether one more viewer may be admitted from the network. Each true uses up one admission.
    bool mayAdmit(Micros now, std::uint32_t network);
    bool isSaturated(std::uint32_t network) const;
    // True while the path is saturated or recovering: new viewers may then request the lowest rung only.
    bool isLimitedToLowestRung(std::uint32_t network) const;

  private:
    struct ShareStats {
        double sum = 0;
        std::size_t count = 0, lowest = 0;  // segments; those at the lowest rung
        double mean() const { return count ? sum / static_cast<double>(count) : 1; }
    };
    struct Path {
        ShareStats stats;  // of this window
        Micros windowStart = 0, refilledAt = 0, lastSegmentAt = 0;
        bool saturated = false, recovering = false;
        double admitsPerSecond = 0, tokens = 0;  // while recovering
    };
    void update(Micros now, Path&);
    PathCapacitySettings settings_;
    std::map<std::uint32_t, Path> paths_;
    ShareStats all_, allPrevious_;  // of all networks together, in this window and the previous one
    Micros allWindowStart_ = 0, cleanedUpAt_ = 0;
};

}  // namespace valekeel::admission
