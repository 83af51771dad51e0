#include "workload/viewer.hpp"

#include <algorithm>
#include <cmath>

namespace valekeel::workload {

// The hazard rises evenly with the time waited: its sum is w squared over two scales.
Patience::Patience(Micros half, double stallWeight, double threshold)
    : scale_(seconds(std::max<Micros>(1, half)) * seconds(std::max<Micros>(1, half)) / std::log(2.0)),
      stallWeight_(stallWeight),
      threshold_(threshold) {}

bool Patience::gone(Micros waited, Micros stalled) const {
    const double w = seconds(waited) + stallWeight_ * seconds(stalled);
    return w * w / scale_ >= threshold_;
}
Micros Patience::bears(Micros waited, Micros stalled) const {
    const double w = seconds(waited) + stallWeight_ * seconds(stalled);
    const double all = std::sqrt(threshold_ * scale_);
    return static_cast<Micros>(std::ceil(std::max(0.0, std::min(all - w, 1e6)) * 1e6));
}

void Playout::advance(Micros now) {
    const Micros past = std::max<Micros>(0, now - at_);
    at_ = std::max(at_, now);
    if (!startedAt_) return;
    if (!plays_) {
        stalled_ += past;
        return;
    }
    const Micros played = std::min(past, held_);
    held_ -= played;
    if (held_ > 0) return;
    if (played < past || held_ == 0) {
        plays_ = false;
        ++stalls_;
        stalled_ += past - played;
    }
}
void Playout::came(Micros now, Micros duration) {
    advance(now);
    held_ += duration;
    if (!plays_ && held_ >= startWith_) {
        plays_ = true;
        if (!startedAt_) startedAt_ = now;
    }
}
Micros Playout::buffered(Micros now) {
    advance(now);
    return held_;
}
Micros Playout::roomIn(Micros now, Micros duration) {
    advance(now);
    if (!plays_) return 0;
    return std::max<Micros>(0, held_ + duration - most_);
}
Micros Playout::stalled(Micros now) {
    advance(now);
    return stalled_;
}

void Abr::measured(double kilobytes, Micros took) {
    const double now = kilobytes / std::max(1e-6, seconds(took));
    seen_ = seen_ ? 1 / (0.7 / *seen_ + 0.3 / std::max(1e-9, now)) : now;
}
int Abr::choose(Micros buffered, Micros bufferMost, int now) const {
    const int top = static_cast<int>(kb_.size()) - 1;
    if (!seen_) return std::clamp(now, 0, top);
    const double fill = static_cast<double>(buffered) / static_cast<double>(std::max<Micros>(1, bufferMost));
    const double may = *seen_ * (fill < 0.25 ? 0.6 : 0.85);
    int out = 0;
    while (out < top && kb_[static_cast<std::size_t>(out) + 1] <= may) ++out;
    if (fill > 0.8) out = std::max(out, std::min(now, top));  // it lasts: no step down for one slow segment
    return std::min(out, now + 1);
}

std::optional<Micros> comesAgain(const Returning& r, int returned, std::optional<Micros> told,
                                 double spread) {
    if (returned >= r.times) return std::nullopt;
    if (r.atOnce) return static_cast<Micros>(spread * 50'000);
    const Micros wait = told && r.honours ? *told : r.back;
    return wait + static_cast<Micros>(spread * 100'000);
}

}  // namespace valekeel::workload
