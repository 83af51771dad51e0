// What a viewer and its player do, without I/O or a clock: how long it waits, what its buffer holds, which
// rung its own measure would take, when it comes again.
#pragma once

#include <optional>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::workload {

// A viewer's patience: the hazard of giving up grows with what it has waited for a start, and with each
// second that playing stood still. Drawn once: `threshold` is exponential with mean 1, and the viewer goes
// when the hazard's sum passes it.
class Patience {
  public:
    // `half`: after this much waiting half of all viewers are gone. A second of stalls weighs as
    // `stallWeight` seconds of waiting.
    Patience(Micros half, double stallWeight, double threshold);
    bool gone(Micros waited, Micros stalled) const;
    // How much more waiting it bears before it goes, if nothing comes.
    Micros bears(Micros waited, Micros stalled) const;

  private:
    double scale_, stallWeight_, threshold_;
};

// The playout buffer. Playing starts, and starts again after a stall, with `startWith` in it.
class Playout {
  public:
    Playout(Micros startWith, Micros holdAtMost) : startWith_(startWith), most_(holdAtMost) {}
    void came(Micros now, Micros duration);
    Micros buffered(Micros now);
    // How long the next fetch may wait until there is room for it.
    Micros roomIn(Micros now, Micros duration);
    Micros stalled(Micros now);  // in all, without the start
    std::uint64_t stalls() const { return stalls_; }
    std::optional<Micros> startedAt() const { return startedAt_; }

  private:
    void advance(Micros now);
    Micros startWith_, most_;
    Micros held_ = 0, at_ = 0, stalled_ = 0;
    bool plays_ = false;
    std::optional<Micros> startedAt_;
    std::uint64_t stalls_ = 0;
};

// The rung that a player would take of itself: by the throughput it measured, less a margin, and by its
// buffer: one that runs low takes a lower rung, one that is full may try the next.
class Abr {
  public:
    explicit Abr(std::vector<double> rungKb) : kb_(std::move(rungKb)) {}
    void measured(double kilobytes, Micros took);
    int choose(Micros buffered, Micros bufferMost, int now) const;
    std::optional<double> throughputKb() const { return seen_; }

  private:
    std::vector<double> kb_;
    std::optional<double> seen_;  // a harmonic mean that forgets: slow segments count most
};

// When one comes again that was turned away or cut off.
struct Returning {
    int times = 1;
    Micros back = 500'000;  // where no time was told
    bool honours = true;    // a time that was told
    bool atOnce = false;    // comes again at once, whatever was told
};
// Nothing: it doesn't. `spread` 0 to 1: of the viewer's own delay.
std::optional<Micros> comesAgain(const Returning&, int returned, std::optional<Micros> told, double spread);

}  // namespace valekeel::workload
