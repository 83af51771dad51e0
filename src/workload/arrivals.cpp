#include "workload/arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace valekeel::workload {

double unit(std::knuth_b& chance) {
    return std::uniform_real_distribution<double>(0, 1)(chance);
}

Arrivals::Arrivals(double rate, Micros from, Micros until, double swing, Micros period,
                   std::vector<Flash> flashes)
    : rate_(std::max(0.0, rate)),
      swing_(std::clamp(swing, 0.0, 1.0)),
      from_(from),
      until_(until),
      period_(std::max<Micros>(1, period)),
      flashes_(std::move(flashes)),
      most_(rate_ * (1 + swing_)) {
    for (const Flash& f : flashes_) most_ += rate_ * std::max(0.0, f.times);
}

double Arrivals::rateAt(Micros t) const {
    if (t < from_ || t >= until_) return 0;
    double out = rate_ * (1 - swing_ * std::cos(2 * std::numbers::pi * static_cast<double>(t - from_) /
                                                static_cast<double>(period_)));
    for (const Flash& f : flashes_)
        if (t >= f.at && t < f.at + f.lasts)
            out += rate_ * f.times * (1 - static_cast<double>(t - f.at) / static_cast<double>(f.lasts));
    return std::max(0.0, out);
}

std::optional<Micros> Arrivals::next(Micros t, std::knuth_b& chance) const {
    if (most_ <= 0) return std::nullopt;
    double at = static_cast<double>(std::max(t, from_));
    for (;;) {
        at += std::exponential_distribution<double>(most_)(chance) * 1e6;
        if (at >= static_cast<double>(until_)) return std::nullopt;
        const auto when = static_cast<Micros>(at);
        if (unit(chance) * most_ < rateAt(when)) return when;
    }
}

Zipf::Zipf(std::size_t many, double exponent, double hot) {
    double sum = 0;
    for (std::size_t i = 0; i < std::max<std::size_t>(1, many); ++i) {
        sum += 1 / std::pow(static_cast<double>(i + 1), exponent);
        upTo_.push_back(sum);
    }
    for (double& v : upTo_) v = hot + (1 - hot) * v / sum;
    upTo_.back() = 1;
}
std::size_t Zipf::draw(std::knuth_b& chance) const {
    const auto it = std::upper_bound(upTo_.begin(), upTo_.end(), unit(chance));
    return std::min<std::size_t>(static_cast<std::size_t>(it - upTo_.begin()), upTo_.size() - 1);
}
double Zipf::probability(std::size_t rank) const {
    return upTo_[rank] - (rank ? upTo_[rank - 1] : 0);
}

Micros lognormal(Micros median, double sigma, double most, std::knuth_b& chance) {
    const double times = std::exp(sigma * std::normal_distribution<double>(0, 1)(chance));
    return static_cast<Micros>(static_cast<double>(median) * std::min(times, most));
}

}  // namespace valekeel::workload
