// Links that split their rate max-min fairly among the flows that cross them, each flow capped by what it
// asks for: no flow can get more without one that has no more than it getting less. No I/O, no clock.
//
// Flows of one path and one cap all get the same rate, so they are kept as one bundle with a count. Each link
// has a level, the most that it gives to any flow; a change makes the levels of the links it touches be found
// anew, lowest first, and goes on to those whose flows' rates changed, until nothing does. What is far from
// the change is not looked at. Exact up to rounding (1e-9 of a rate), whatever the order of the changes.
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

struct LinkNo {
    std::uint32_t v = 0;
    auto operator<=>(const LinkNo&) const = default;
};
struct BundleNo {
    std::uint32_t v = 0;
    auto operator<=>(const BundleNo&) const = default;
};

class FairShare {
  public:
    static constexpr std::size_t kPathMost = 4;

    LinkNo addLink(double capacity);  // any unit of rate, 0 or more
    void setCapacity(LinkNo, double);
    double capacity(LinkNo n) const { return links_[n.v].capacity; }

    // One flow more, or one less, of those with this path and cap. A path names each link once. A bundle that
    // has no flows left is gone; its number may be given again.
    BundleNo join(std::span<const LinkNo> path, double cap);
    void leave(BundleNo);

    // Brings all rates in order; called by whoever reads them after a change.
    void settle();
    double rate(BundleNo n) const { return bundles_[n.v].rate; }  // of each of its flows
    double used(LinkNo) const;
    // Bundles whose rate the last settle() changed, those that are new among them.
    const std::vector<BundleNo>& changed() const { return changed_; }
    std::size_t flows() const { return flows_; }
    std::size_t bundles() const { return keys_.size(); }
    std::uint64_t looks() const { return looks_; }  // levels found since the start: the work done

  private:
    struct Bundle {
        std::array<std::uint32_t, kPathMost> links{};
        std::array<std::uint32_t, kPathMost> places{};  // of it in each link's list
        std::size_t length = 0, count = 0;
        double cap = 0, rate = 0;
        bool told = false;
    };
    struct Link {
        double capacity = 0, level = 0;
        std::vector<std::uint32_t> bundles;
        bool due = false;
    };
    using Key = std::pair<std::array<std::uint32_t, kPathMost>, double>;
    void mark(std::uint32_t link);
    void findLevel(std::uint32_t link);
    double rateOf(const Bundle&) const;

    std::vector<Link> links_;
    std::vector<Bundle> bundles_;
    std::vector<std::uint32_t> free_;
    std::map<Key, std::uint32_t> keys_;
    std::set<std::pair<double, std::uint32_t>> due_;  // by the level it had: low ones settle first
    std::vector<BundleNo> changed_;
    std::vector<std::pair<double, std::size_t>> scratch_;
    std::size_t flows_ = 0;
    std::uint64_t looks_ = 0;
};

// What is sent over such links: each transfer has so many bytes to go, and ends when they are through. The
// flows of a bundle progress alike, so a bundle keeps one sum of what each of them got, and its transfers by
// the sum at which they end: a change of rate costs the same however many there are.
class Transfers {
  public:
    using Id = std::uint64_t;
    explicit Transfers(FairShare& links) : links_(links) {}

    // `amount` in units of rate times seconds.
    Id begin(Micros now, std::span<const LinkNo> path, double cap, double amount);
    double cancel(Micros now, Id);  // what was left of it
    double left(Micros now, Id);
    void capacity(Micros now, LinkNo, double);
    // When the next one ends, as things stand; nothing if none ever does.
    std::optional<Micros> next();
    // Those that have ended by now, oldest end first; each is told once.
    std::vector<Id> ended(Micros now);
    std::size_t size() const { return all_.size(); }

  private:
    struct Progress {
        double sum = 0, rate = 0;
        Micros at = 0;
        std::set<std::pair<double, Id>> ends;  // by the sum at which they end
    };
    struct One {
        BundleNo bundle;
        double end = 0;
    };
    void advance(Progress&, Micros now);
    void settle(Micros now);
    void note(std::uint32_t bundle);
    FairShare& links_;
    std::vector<Progress> progress_;
    std::map<Id, One> all_;
    std::set<std::pair<Micros, std::uint32_t>> due_;  // when each bundle's first one ends
    std::vector<Micros> dueAt_;
    Id next_ = 1;
};

}  // namespace valekeel::workload
