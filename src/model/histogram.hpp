// A small histogram with a few coarse bins. The edges come from whoever measures.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "model/ids.hpp"

namespace valekeel {

class Histogram {
  public:
    explicit Histogram(std::span<const Micros> upperEdges)
        : edges_(upperEdges.begin(), upperEdges.end()), counts_(edges_.size() + 1, 0.0) {}

    void add(Micros value) {
        std::size_t bin = 0;
        while (bin < edges_.size() && value > edges_[bin]) ++bin;
        counts_[bin] += 1;
        total_ += 1;
    }
    void halve() {
        for (double& c : counts_) c /= 2;
        total_ /= 2;
    }
    double total() const { return total_; }
    // The upper edge of the bin that holds this part of what was measured; the last edge if it lies beyond.
    Micros quantile(double part) const {
        double seen = 0;
        for (std::size_t bin = 0; bin < edges_.size(); ++bin) {
            seen += counts_[bin];
            if (seen >= part * total_) return edges_[bin];
        }
        return edges_.back();
    }

  private:
    std::vector<Micros> edges_;
    std::vector<double> counts_;
    double total_ = 0;
};

}  // namespace valekeel
