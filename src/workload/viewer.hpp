// Model of a viewer and its player, without I/O or a clock: how long it waits, the playout buffer,
// client-side rung adaptation and retries. Times passed as `now` must not decrease.
#pragma once

#include <optional>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::workload {

// When a viewer gives up. The hazard grows with the time waited for the start and with the time stalled. The
// viewer gives up when the cumulative hazard reaches `threshold`, drawn once from an exponential distribution
// with mean 1.
class Patience {
  public:
    // `half`: waiting time after which half of all viewers have given up. A second of stalling counts as
    // `stallWeight` seconds of waiting.
    Patience(Micros half, double stallWeight, double threshold);
    bool hasGivenUp(Micros waited, Micros stalled) const;
    // Returns how much longer the viewer waits, given the time waited and stalled so far.
    Micros remaining(Micros waited, Micros stalled) const;

  private:
    double scale_, stallWeight_, threshold_;
};

// The playout buffer, measured in microseconds of media. Playback starts, also after a stall, once it holds
// `startWith`.
class Playout {
  public:
    Playout(Micros startWith, Micros maxBuffered) : startWith_(startWith), maxBuffered_(maxBuffered) {}
    // Adds a segment of that duration.
    void addSegment(Micros now, Micros duration);
    Micros buffered(Micros now);
    // Returns how long to wait until a segment of that duration fits; 0 while not playing.
    Micros timeUntilRoom(Micros now, Micros duration);
    // Returns the total time stalled, without the wait before the first start.
    Micros stalled(Micros now);
    std::uint64_t stalls() const { return stalls_; }
    std::optional<Micros> startedAt() const { return startedAt_; }

  private:
    void advance(Micros now);
    Micros startWith_, maxBuffered_;
    Micros buffered_ = 0, updatedAt_ = 0, stalled_ = 0;
    bool isPlaying_ = false;
    std::optional<Micros> startedAt_;
    std::uint64_t stalls_ = 0;
};

// Client-side adaptive bitrate: chooses a rung by the measured throughput less a safety margin, which is
// larger when the buffer runs low. A nearly full buffer prevents a step down.
class Abr {
  public:
    // `rungKb`: kB/s of each rung, ascending, not empty.
    explicit Abr(std::vector<double> rungKb) : rungKb_(std::move(rungKb)) {}
    // Adds a download of that size and duration to the throughput estimate.
    void addMeasurement(double kilobytes, Micros took);
    // Returns the rung to use, at most one above `current`; `current` while nothing is measured.
    int chooseRung(Micros buffered, Micros maxBuffered, int current) const;
    // Returns the estimate in kB/s, empty before the first measurement.
    std::optional<double> throughputKb() const { return throughputKb_; }

  private:
    std::vector<double> rungKb_;
    std::optional<double> throughputKb_;  // exponentially smoothed harmonic mean: slow segments weigh most
};

// How a viewer retries after it was throttled or cut off.
struct RetryBehavior {
    int maxRetries = 1;
    Micros delay = 500'000;  // used without a Retry-After
    bool honoursRetryAfter = true;
    bool isImmediate = false;  // retries at once, whatever Retry-After says
};
// Returns the delay before the next retry, empty if the viewer gives up. `retries`: made so far; `spread`: 0
// to 1, scales the random extra delay.
std::optional<Micros> retryDelay(const RetryBehavior&, int retries, std::optional<Micros> retryAfter,
                                 double spread);

}  // namespace valekeel::workload
