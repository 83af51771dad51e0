// Generates the load of a simulation: viewer arrivals as a Poisson process with a rate that varies over the
// day, Zipf popularity and lognormal durations. No I/O and no clock; the caller passes the random generator.
#pragma once

#include <optional>
#include <random>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::workload {

// A flash crowd on top of the base rate: the extra rate jumps to its peak at `at` and falls linearly to 0.
struct Flash {
    Micros at = 0, duration = 0;
    double peakFactor = 1;  // extra rate at the peak, as a multiple of the base rate
};

// A non-homogeneous Poisson process of arrivals.
class Arrivals {
  public:
    // `rate`: mean arrivals per second between `from` and `until`, without the flashes. A `swing` over 0 (at
    // most 1) makes the rate follow a sine of that `period` and relative amplitude, lowest at `from`.
    Arrivals(double rate, Micros from, Micros until, double swing, Micros period, std::vector<Flash> flashes);
    // Returns the arrivals per second at `t`; 0 outside [from, until).
    double rateAt(Micros t) const;
    // Returns an upper bound of rateAt() over all times.
    double maxRate() const { return maxRate_; }
    // Returns the first arrival after `t`, empty once `until` is reached. Thins a process of rate maxRate().
    std::optional<Micros> next(Micros t, std::knuth_b&) const;

  private:
    double rate_, swing_;
    Micros from_, until_, period_;
    std::vector<Flash> flashes_;
    double maxRate_;
};

// Zipf distribution over the ranks 0 to count - 1, with an additional share `hot` for rank 0.
class Zipf {
  public:
    Zipf(std::size_t count, double exponent, double hot);
    // Returns a random rank.
    std::size_t draw(std::knuth_b&) const;
    double probability(std::size_t rank) const;

  private:
    std::vector<double> cumulative_;
};

// Returns a lognormal duration; `sigma` is that of its logarithm, `maxFactor` limits it to so many medians.
Micros lognormal(Micros median, double sigma, double maxFactor, std::knuth_b&);
// Returns a uniform number in [0, 1).
double unit(std::knuth_b&);

}  // namespace valekeel::workload
