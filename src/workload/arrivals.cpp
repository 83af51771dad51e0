#include "workload/arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace valekeel::workload {

double unit(std::knuth_b& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

Arrivals::Arrivals(double rate, Micros from, Micros until, double swing, Micros period,
                   std::vector<Flash> flashes)
    : rate_(std::max(0.0, rate)),
      swing_(std::clamp(swing, 0.0, 1.0)),
      from_(from),
      until_(until),
      period_(std::max<Micros>(1, period)),
      flashes_(std::move(flashes)),
      maxRate_(rate_ * (1 + swing_)) {
    for (const Flash& f : flashes_) maxRate_ += rate_ * std::max(0.0, f.peakFactor);
}

double Arrivals::rateAt(Micros t) const {
    if (t < from_ || t >= until_) return 0;
    double out = rate_ * (1 - swing_ * std::cos(2 * std::numbers::pi * static_cast<double>(t - from_) /
                                                static_cast<double>(period_)));
    for (const Flash& f : flashes_)
        if (t >= f.at && t < f.at + f.duration)
            out +=
                rate_ * f.peakFactor * (1 - static_cast<double>(t - f.at) / static_cast<double>(f.duration));
    return std::max(0.0, out);
}

std::optional<Micros> Arrivals::next(Micros t, std::knuth_b& random) const {
    if (maxRate_ <= 0) return std::nullopt;
    double at = static_cast<double>(std::max(t, from_));
    for (;;) {
        at += std::exponential_distribution<double>(maxRate_)(random) * 1e6;
        if (at >= static_cast<double>(until_)) return std::nullopt;
        const auto when = static_cast<Micros>(at);
        if (unit(random) * maxRate_ < rateAt(when)) return when;
    }
}

Zipf::Zipf(std::size_t count, double exponent, double hot) {
    double sum = 0;
    for (std::size_t i = 0; i < std::max<std::size_t>(1, count); ++i) {
        sum += 1 / std::pow(static_cast<double>(i + 1), exponent);
        cumulative_.push_back(sum);
    }
    for (double& v : cumulative_) v = hot + (1 - hot) * v / sum;
    cumulative_.back() = 1;
}
std::size_t Zipf::draw(std::knuth_b& random) const {
    const auto it = std::upper_bound(cumulative_.begin(), cumulative_.end(), unit(random));
    return std::min<std::size_t>(static_cast<std::size_t>(it - cumulative_.begin()), cumulative_.size() - 1);
}
double Zipf::probability(std::size_t rank) const {
    return cumulative_[rank] - (rank ? cumulative_[rank - 1] : 0);
}

Micros lognormal(Micros median, double sigma, double maxFactor, std::knuth_b& random) {
    const double factor = std::exp(sigma * std::normal_distribution<double>(0, 1)(random));
    return static_cast<Micros>(static_cast<double>(median) * std::min(factor, maxFactor));
}

}  // namespace valekeel::workload
