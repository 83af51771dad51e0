// Max-min fair sharing of link capacity among the flows that cross the links, each flow capped by its demand:
// no flow can get more unless a flow with no higher rate gets less. No I/O, no clock.
//
// Flows with the same path and cap get the same rate and form one bundle with a count. Each link has a level,
// the highest rate that it gives to any flow. A change recomputes the levels of the links involved, lowest
// first, and propagates to the links whose flows changed rate, until nothing changes; other links are not
// visited. Exact up to rounding (1e-9 of a rate), whatever the order of the changes.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::workload {

// Index of a link in a FairShare.
struct LinkNo {
    std::uint32_t v = 0;
    auto operator<=>(const LinkNo&) const = default;
};
// Index of a bundle in a FairShare.
struct BundleNo {
    std::uint32_t v = 0;
    auto operator<=>(const BundleNo&) const = default;
};

// Links, bundles of flows and their rates. Rates are valid after settle().
class FairShare {
  public:
    static constexpr std::size_t kMaxPathLength = 4;

    // Adds a link. Capacities and caps share one unit of rate, 0 or more.
    LinkNo addLink(double capacity);
    void setCapacity(LinkNo, double);
    double capacity(LinkNo n) const { return links_[n.v].capacity; }

    // Adds a flow to, or removes one from, the bundle of this path and cap. A path names each link once, at
    // most kMaxPathLength links (std::invalid_argument otherwise). An empty bundle is deleted and its number
    // reused.
    BundleNo join(std::span<const LinkNo> path, double cap);
    void leave(BundleNo);

    // Recomputes the rates after changes; must be called before reading them.
    void settle();
    // Returns the rate of each flow of the bundle.
    double rate(BundleNo n) const { return bundles_[n.v].rate; }
    // Returns the sum of the rates of all flows over the link.
    double used(LinkNo) const;
    // Returns the bundles whose rate the last settle() changed, including new ones.
    const std::vector<BundleNo>& changed() const { return changed_; }
    std::size_t flows() const { return flows_; }
    std::size_t bundles() const { return keys_.size(); }
    // Returns how many link levels were computed so far: a measure of the work done.
    std::uint64_t levelComputations() const { return levelComputations_; }

  private:
    struct Bundle {
        std::array<std::uint32_t, kMaxPathLength> links{};
        std::array<std::uint32_t, kMaxPathLength> positions{};  // in each link's bundle list
        std::size_t length = 0, count = 0;
        double cap = 0, rate = 0;
        bool isChanged = false;
    };
    struct Link {
        double capacity = 0, level = 0;
        std::vector<std::uint32_t> bundles;
        bool isDirty = false;
    };
    using Key = std::pair<std::array<std::uint32_t, kMaxPathLength>, double>;
    void markDirty(std::uint32_t link);
    void computeLevel(std::uint32_t link);
    double rateOf(const Bundle&) const;

    std::vector<Link> links_;
    std::vector<Bundle> bundles_;
    std::vector<std::uint32_t> freeBundles_;
    std::map<Key, std::uint32_t> keys_;
    std::set<std::pair<double, std::uint32_t>> dirty_;  // by the previous level, lowest first
    std::vector<BundleNo> changed_;
    std::vector<std::pair<double, std::size_t>> scratch_;
    std::size_t flows_ = 0;
    std::uint64_t levelComputations_ = 0;
};

// Transfers of a given size over the links of a FairShare. The flows of a bundle progress alike, so a bundle
// keeps one cumulative amount per flow, and its transfers sorted by the amount at which they end: the cost of
// a rate change doesn't depend on their number. `links` must outlive it. `now` must not decrease.
class Transfers {
  public:
    using Id = std::uint64_t;
    explicit Transfers(FairShare& links) : links_(links) {}

    // Starts a transfer; `amount` is in units of rate times seconds.
    Id start(Micros now, std::span<const LinkNo> path, double cap, double amount);
    // Cancels a transfer and returns the remaining amount; 0 for an unknown id.
    double cancel(Micros now, Id);
    // Returns the remaining amount; 0 for an unknown id.
    double remaining(Micros now, Id);
    void setCapacity(Micros now, LinkNo, double);
    // Returns when the next transfer ends at the current rates, empty if none does.
    std::optional<Micros> nextEnd();
    // Removes and returns the transfers that have ended by `now`, earliest first.
    std::vector<Id> takeEnded(Micros now);
    std::size_t size() const { return transfers_.size(); }

  private:
    struct Progress {
        double sum = 0, rate = 0;  // amount that each flow has got, and its current rate
        Micros updatedAt = 0;
        std::set<std::pair<double, Id>> ends;  // by the sum at which each transfer ends
    };
    struct Transfer {
        BundleNo bundle;
        double end = 0;
    };
    void advance(Progress&, Micros now);
    void settle(Micros now);
    void scheduleEnd(std::uint32_t bundle);
    FairShare& links_;
    std::vector<Progress> progress_;
    std::map<Id, Transfer> transfers_;
    std::set<std::pair<Micros, std::uint32_t>> due_;  // when the first transfer of each bundle ends
    std::vector<Micros> dueAt_;
    Id nextId_ = 1;
};

}  // namespace valekeel::workload
