// Members whose own way to the media servers is short: all that watch there get less than their rungs ask
// for, even the lowest. No choice of server or rung helps then; one viewer more only takes from those who
// watch. So while a network's way is short, nobody new is let in over it, and then a few at a time. Decides
// only: no I/O, no clock.
//
// A network's own way is told from a media server that is short by the others: servers that do well
// elsewhere, and badly for one network alone, are not what is short.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::admission {

struct PathCapacitySettings {
    double sufficientShare = 0.95;  // of what the rung asks for
    Micros window = 2'000'000;      // over which shares are averaged
    std::size_t minSegments = 4;    // segments in a window that say something
    double initialAdmitsPerSecond =
        1;  // let in a second, first, once it is wide enough again; doubles a window
    bool enabled = true;
};

class PathCapacity {
  public:
    explicit PathCapacity(const PathCapacitySettings& terms) : terms_(terms) {}
    // A segment came whole: its share of what its rung asks for, 1 at most; `lowest`: no lower rung is
    // allowed.
    void onDelivered(Micros now, std::uint32_t network, double share, bool lowest);
    // Whether one more from there may watch. What it says true to is counted as let in.
    bool mayAdmit(Micros now, std::uint32_t network);
    bool narrow(std::uint32_t network) const;
    // While it is narrow, and while it opens again: the lowest rung is all that one more may ask for.
    bool isLimitedToLowestRung(std::uint32_t network) const;

  private:
    struct Seen {
        double sum = 0;
        std::size_t of = 0, lowest = 0;
        double mean() const { return of ? sum / static_cast<double>(of) : 1; }
    };
    struct Way {
        Seen seen;
        Micros begun = 0, filledAt = 0, heardAt = 0;
        bool narrow = false, opening = false;
        double perSecond = 0, tokens = 0;
    };
    void look(Micros now, Way&);
    PathCapacitySettings terms_;
    std::map<std::uint32_t, Way> ways_;
    Seen all_, allBefore_;  // of all networks together, this window and the last
    Micros allBegun_ = 0, tidied_ = 0;
};

}  // namespace valekeel::admission
