// Means with their confidence intervals, and differences told from noise. By Student's t, over seeds.
#pragma once

#include <string>
#include <vector>

namespace valekeel::experiment {

struct Estimate {
    double mean = 0;
    double half = 0;  // of the 95% interval; 0 where one value alone says nothing of its spread
    std::size_t of = 0;
    double low() const { return mean - half; }
    double high() const { return mean + half; }
};
Estimate estimate(const std::vector<double>&);

struct Difference {
    Estimate change;       // of b less a: of the pairs where they are paired
    bool paired = false;   // the same seeds were run in both
    double p = 1;          // of as great a difference by chance alone
    bool differs = false;  // p under 0.05
};
// Paired where both are as long, in the order of their seeds; else by Welch's test.
Difference difference(const std::vector<double>& a, const std::vector<double>& b, bool paired);

}  // namespace valekeel::experiment
