#include "workload/viewer.hpp"

#include <algorithm>
#include <cmath>

namespace valekeel::workload {

// The hazard rises linearly with the effective waiting time w: the cumulative hazard is w^2 / scale_.
Patience::Patience(Micros half, double stallWeight, double threshold)
    : scale_(seconds(std::max<Micros>(1, half)) * seconds(std::max<Micros>(1, half)) / std::log(2.0)),
      stallWeight_(stallWeight),
      threshold_(threshold) {}

bool Patience::hasGivenUp(Micros waited, Micros stalled) const {
    const double w = seconds(waited) + stallWeight_ * seconds(stalled);
    return w * w / scale_ >= threshold_;
}
Micros Patience::remaining(Micros waited, Micros stalled) const {
    const double w = seconds(waited) + stallWeight_ * seconds(stalled);
    const double total = std::sqrt(threshold_ * scale_);
    return static_cast<Micros>(std::ceil(std::max(0.0, std::min(total - w, 1e6)) * 1e6));
}

void Playout::advance(Micros now) {
    const Micros elapsed = std::max<Micros>(0, now - updatedAt_);
    updatedAt_ = std::max(updatedAt_, now);
    if (!startedAt_) return;
    if (!isPlaying_) {
        stalled_ += elapsed;
        return;
    }
    const Micros played = std::min(elapsed, buffered_);
    buffered_ -= played;
    if (buffered_ > 0) return;
    if (played < elapsed || buffered_ == 0) {
        isPlaying_ = false;
        ++stalls_;
        stalled_ += elapsed - played;
    }
}
void Playout::addSegment(Micros now, Micros duration) {
    advance(now);
    buffered_ += duration;
    if (!isPlaying_ && buffered_ >= startWith_) {
        isPlaying_ = true;
        if (!startedAt_) startedAt_ = now;
    }
}
Micros Playout::buffered(Micros now) {
    advance(now);
    return buffered_;
}
Micros Playout::timeUntilRoom(Micros now, Micros duration) {
    advance(now);
    if (!isPlaying_) return 0;
    return std::max<Micros>(0, buffered_ + duration - maxBuffered_);
}
Micros Playout::stalled(Micros now) {
    advance(now);
    return stalled_;
}

void Abr::addMeasurement(double kilobytes, Micros took) {
    const double throughput = kilobytes / std::max(1e-6, seconds(took));
    throughputKb_ =
        throughputKb_ ? 1 / (0.7 / *throughputKb_ + 0.3 / std::max(1e-9, throughput)) : throughput;
}
int Abr::chooseRung(Micros buffered, Micros maxBuffered, int current) const {
    const int top = static_cast<int>(rungKb_.size()) - 1;
    if (!throughputKb_) return std::clamp(current, 0, top);
    const double fill = static_cast<double>(buffered) / static_cast<double>(std::max<Micros>(1, maxBuffered));
    const double usable = *throughputKb_ * (fill < 0.25 ? 0.6 : 0.85);
    int out = 0;
    while (out < top && rungKb_[static_cast<std::size_t>(out) + 1] <= usable) ++out;
    if (fill > 0.8) out = std::max(out, std::min(current, top));  // no step down for one slow segment
    return std::min(out, current + 1);
}

std::optional<Micros> retryDelay(const RetryBehavior& behavior, int retries, std::optional<Micros> retryAfter,
                                 double spread) {
    if (retries >= behavior.maxRetries) return std::nullopt;
    if (behavior.isImmediate) return static_cast<Micros>(spread * 50'000);
    const Micros wait = retryAfter && behavior.honoursRetryAfter ? *retryAfter : behavior.delay;
    return wait + static_cast<Micros>(spread * 100'000);
}

}  // namespace valekeel::workload
