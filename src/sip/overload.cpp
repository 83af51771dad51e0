#include "sip/overload.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace valekeel::sip {

RefusedRequests::RefusedRequests(std::size_t slots)
    : slots_(std::bit_ceil(std::max<std::size_t>(2, slots))) {}

void Overload::update(Micros now, double fill, Micros queueingDelay, std::uint64_t arrived,
                      std::uint64_t served) {
    const double elapsed = seconds(std::max<Micros>(1, now - lastUpdate_));
    lastUpdate_ = now;
    ++sequence_;
    const double previousLoss = loss_;
    const double delayRatio = seconds(queueingDelay) / std::max(1e-6, seconds(settings_.targetQueueingDelay));
    if (fill > settings_.targetFill || delayRatio > 1) {
        const double excess =
            std::max((fill - settings_.targetFill) / std::max(0.05, 1 - settings_.targetFill),
                     std::min(1.0, (delayRatio - 1) / 4));
        // Moves the passed share towards the share of arrivals that was served. If that is not below the
        // passed share, lowers the passed share a little.
        const double passed = 1 - loss_;
        const double servedShare =
            arrived > 0 ? static_cast<double>(served) / static_cast<double>(arrived) : passed;
        const double newPassed = servedShare < passed ? passed + 0.5 * excess * (servedShare - passed)
                                                      : passed * (1 - 0.1 * excess);
        loss_ = std::min(settings_.maxLoss, 1 - newPassed);
    } else if (loss_ > 0) {
        // Raises the passed share by a factor, so that a tenfold flood is not let in again at once; faster at
        // light load.
        const bool lightLoad = fill < settings_.targetFill / 2 && arrived <= served * 2;
        loss_ = std::max(0.0, 1 - (1 - loss_) * (lightLoad ? 1.5 : 1.1));
        if (loss_ < 0.01) loss_ = 0;
    }
    const double servedPerSecond = static_cast<double>(served) / elapsed;
    rate_ = loss_ > 0 ? std::max(1.0, servedPerSecond * (loss_ > previousLoss ? 0.9 : 1.05))
                      : settings_.ratePerSecond;
}

bool Overload::shouldShed(double draw, bool supportsControl, bool emergency, double fill) const {
    if (emergency) return false;
    if (fill >= 1) return true;
    if (supportsControl) return fill > (1 + settings_.targetFill) / 2 && draw < loss_;
    return draw < loss_;
}

std::string Overload::viaParameters(const std::string& algorithms) const {
    const bool supportsRate = algorithms.find("rate") != std::string::npos;
    const bool supportsLoss = algorithms.empty() || algorithms.find("loss") != std::string::npos;
    if (!supportsRate && !supportsLoss) return "";
    // oc-seq grows with each update; RFC 7339 allows any growing number.
    const std::string commonParameters =
        ";oc-validity=" + std::to_string(loss_ > 0 ? settings_.validity / 1000 : 0) +
        ";oc-seq=" + std::to_string(sequence_) + ".0";
    if (supportsLoss)
        return ";oc=" + std::to_string(std::lround(loss_ * 100)) + ";oc-algo=\"loss\"" + commonParameters;
    return ";oc=" + std::to_string(std::lround(rate_)) + ";oc-algo=\"rate\"" + commonParameters;
}

}  // namespace valekeel::sip
