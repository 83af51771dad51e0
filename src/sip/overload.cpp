#include "sip/overload.hpp"

#include <algorithm>
#include <cmath>

namespace valekeel::sip {

void Overload::look(Micros now, double fill, std::uint64_t came, std::uint64_t served) {
    const double span = seconds(std::max<Micros>(1, now - lookedAt_));
    lookedAt_ = now;
    ++sequence_;
    const double before = loss_;
    if (fill > terms_.targetFill) {
        // What is over the target, and what came beyond what was served, both ask for shedding.
        const double over = (fill - terms_.targetFill) / std::max(0.05, 1 - terms_.targetFill);
        const double beyond = came > served ? 1 - static_cast<double>(served) /
                                                      static_cast<double>(std::max<std::uint64_t>(1, came))
                                            : 0;
        const double asked = loss_ + (1 - loss_) * std::max(0.25 * over, 0.5 * beyond * over);
        loss_ = std::min(terms_.most, asked);
    } else {
        loss_ *= 0.85;
        if (loss_ < 0.01) loss_ = 0;
    }
    const double rateServed = static_cast<double>(served) / span;
    rate_ = loss_ > 0 ? std::max(1.0, rateServed * (loss_ > before ? 0.9 : 1.05)) : terms_.ratePerSecond;
}

bool Overload::shed(double draw, bool listens, bool emergency, double fill) const {
    if (emergency) return false;
    if (fill >= 1) return true;
    if (listens) return fill > (1 + terms_.targetFill) / 2 && draw < loss_;
    return draw < loss_;
}

std::string Overload::viaParameters(const std::string& algorithms) const {
    const bool rate = algorithms.find("rate") != std::string::npos;
    const bool loss = algorithms.empty() || algorithms.find("loss") != std::string::npos;
    if (!rate && !loss) return "";
    // oc-seq grows with each look; RFC 7339 lets it be any number that does.
    const std::string tail = ";oc-validity=" + std::to_string(loss_ > 0 ? terms_.validFor / 1000 : 0) +
                             ";oc-seq=" + std::to_string(sequence_) + ".0";
    if (loss) return ";oc=" + std::to_string(std::lround(loss_ * 100)) + ";oc-algo=\"loss\"" + tail;
    return ";oc=" + std::to_string(std::lround(rate_)) + ";oc-algo=\"rate\"" + tail;
}

}  // namespace valekeel::sip
