// When viewers come: a Poisson stream whose rate changes over the day, and trains, many together from one
// building. Decides only: no I/O, no clock; chance by the generator that is handed in.
#pragma once

#include <optional>
#include <random>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::workload {

struct Flash {  // a crowd on top: its rate rises at once and falls away evenly
    Micros at = 0, lasts = 0;
    double times = 1;  // of the base rate, at its height
};

class Arrivals {
  public:
    // `rate`: a second, in the mean, between `from` and `until`. With `swing` over 0 (to 1) it goes up and
    // down around it as a sine of that `period`, lowest at `from`.
    Arrivals(double rate, Micros from, Micros until, double swing, Micros period, std::vector<Flash> flashes);
    double rateAt(Micros t) const;
    double most() const { return most_; }  // no moment has a higher rate
    // The next one after `t`; nothing once the time is over. By thinning of a stream of the highest rate.
    std::optional<Micros> next(Micros t, std::knuth_b&) const;

  private:
    double rate_, swing_;
    Micros from_, until_, period_;
    std::vector<Flash> flashes_;
    double most_;
};

// A Zipf law over so many, by their rank from 0; `hot` of them all go to the first on top of it.
class Zipf {
  public:
    Zipf(std::size_t many, double exponent, double hot);
    std::size_t draw(std::knuth_b&) const;
    double probability(std::size_t rank) const;

  private:
    std::vector<double> upTo_;
};

// Lognormal, by its median and the sigma of its logarithm; cut at so many times the median.
Micros lognormal(Micros median, double sigma, double most, std::knuth_b&);
double unit(std::knuth_b&);  // 0 to 1, without 1

}  // namespace valekeel::workload
