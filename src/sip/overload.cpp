#include "sip/overload.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace valekeel::sip {

RefusedRequests::RefusedRequests(std::size_t places)
    : places_(std::bit_ceil(std::max<std::size_t>(2, places))) {}

void Overload::update(Micros now, double fill, Micros unread, std::uint64_t came, std::uint64_t served) {
    const double span = seconds(std::max<Micros>(1, now - lookedAt_));
    lookedAt_ = now;
    ++sequence_;
    const double before = loss_;
    const double late = seconds(unread) / std::max(1e-6, seconds(terms_.targetQueueingDelay));
    if (fill > terms_.targetFill || late > 1) {
        const double over = std::max((fill - terms_.targetFill) / std::max(0.05, 1 - terms_.targetFill),
                                     std::min(1.0, (late - 1) / 4));
        // Let through what was served of what came; if that is what is let through already, a little less.
        const double pass = 1 - loss_;
        const double was = came > 0 ? static_cast<double>(served) / static_cast<double>(came) : pass;
        const double less = was < pass ? pass + 0.5 * over * (was - pass) : pass * (1 - 0.1 * over);
        loss_ = std::min(terms_.maxLoss, 1 - less);
    } else if (loss_ > 0) {
        // Back by parts of what passes, so that a tenfold flood is not let in again at a stroke; faster where
        // little comes.
        const bool quiet = fill < terms_.targetFill / 2 && came <= served * 2;
        loss_ = std::max(0.0, 1 - (1 - loss_) * (quiet ? 1.5 : 1.1));
        if (loss_ < 0.01) loss_ = 0;
    }
    const double rateServed = static_cast<double>(served) / span;
    rate_ = loss_ > 0 ? std::max(1.0, rateServed * (loss_ > before ? 0.9 : 1.05)) : terms_.ratePerSecond;
}

bool Overload::shouldShed(double draw, bool listens, bool emergency, double fill) const {
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
    const std::string tail = ";oc-validity=" + std::to_string(loss_ > 0 ? terms_.validity / 1000 : 0) +
                             ";oc-seq=" + std::to_string(sequence_) + ".0";
    if (loss) return ";oc=" + std::to_string(std::lround(loss_ * 100)) + ";oc-algo=\"loss\"" + tail;
    return ";oc=" + std::to_string(std::lround(rate_)) + ";oc-algo=\"rate\"" + tail;
}

}  // namespace valekeel::sip
