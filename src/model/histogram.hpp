// A histogram of durations with a few bins, used by the decision module for set-up times. The caller chooses
// the edges of the bins.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "model/ids.hpp"

namespace valekeel {

class Histogram {
  public:
    // `upperEdges`: upper edges of the bins, ascending, at least one. Values above the last are counted as
    // well.
    explicit Histogram(std::span<const Micros> upperEdges)
        : edges_(upperEdges.begin(), upperEdges.end()), counts_(edges_.size() + 1, 0.0) {}

    void add(Micros value) {
        std::size_t bin = 0;
        while (bin < edges_.size() && value > edges_[bin]) ++bin;
        counts_[bin] += 1;
        total_ += 1;
    }
    // Halves the weight of all values so far, so that later ones count more.
    void halve() {
        for (double& count : counts_) count /= 2;
        total_ /= 2;
    }
    // Returns the number of values, with weights.
    double total() const { return total_; }
    // Returns the upper edge of the bin with this quantile (0 to 1); the last edge if it lies beyond.
    Micros quantile(double fraction) const {
        double cumulated = 0;
        for (std::size_t bin = 0; bin < edges_.size(); ++bin) {
            cumulated += counts_[bin];
            if (cumulated >= fraction * total_) return edges_[bin];
        }
        return edges_.back();
    }

  private:
    std::vector<Micros> edges_;
    std::vector<double> counts_;
    double total_ = 0;
};

}  // namespace valekeel
