// Overload control between SIP hops (RFC 7339, loss based; RFC 7415, rate based): the feedback that this
// server sends to its clients, and which requests it sheds itself from clients that ignore the feedback. No
// I/O, no clock.
//
// Two inputs: the fill ratio of the admission queue, whose limit the admission controller derives from answer
// times, and the queueing delay of messages before they are read. Above the target of either, the share to
// shed rises; below both it falls slowly, so that it settles without oscillating.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::sip {

// Settings of Overload. Shares are parts of 1; times are in microseconds.
struct OverloadSettings {
    double targetFill = 0.5;              // fill ratio of the admission queue above which shedding begins
    Micros targetQueueingDelay = 20'000;  // queueing delay of messages above which shedding begins
    Micros updateInterval = 200'000;      // between calls of update()
    Micros validity = 1'000'000;          // how long clients may use the feedback (oc-validity)
    double maxLoss = 0.98;  // below 1, since some requests must pass to detect that the overload is over
    double ratePerSecond = 1'000;  // rate sent to rate-based clients without overload
};

// The requests that were refused without a transaction, by a hash, so that their retransmissions are refused
// too and no request gets two final responses. A table of fixed size: a new entry replaces at most one older
// one.
class RefusedRequests {
  public:
    explicit RefusedRequests(std::size_t slots);  // rounded up to a power of two
    void insert(std::uint64_t hash) { slots_[hash & (slots_.size() - 1)] = hash | 1; }
    bool contains(std::uint64_t hash) const { return slots_[hash & (slots_.size() - 1)] == (hash | 1); }

  private:
    std::vector<std::uint64_t> slots_;
};

// The control loop: computes the share of new INVITEs to shed from periodic measurements.
class Overload {
  public:
    explicit Overload(const OverloadSettings& settings) : settings_(settings) {}

    // Takes the measurements since the last update: the fill ratio of the admission queue, the queueing delay
    // of messages, the new INVITEs that arrived, and those answered with a placement or a reasoned
    // refusal.
    void update(Micros now, double fill, Micros queueingDelay, std::uint64_t arrived, std::uint64_t served);
    // Returns the share of new INVITEs to shed, 0 to 1.
    double loss() const { return loss_; }
    // Returns the rate for rate-based clients, in requests per second.
    double rate() const { return rate_; }
    // Returns whether to shed a new INVITE. `draw` is random, in 0 to 1. `supportsControl`: its Via offered
    // oc, so the client sheds by itself, and this server sheds only if `fill` is more than halfway from the
    // target to 1. A full queue sheds every INVITE but emergency calls, which are never shed.
    bool shouldShed(double draw, bool supportsControl, bool emergency, double fill) const;
    // Returns parameters for the topmost Via of a response to a client that offered oc with these algorithms.
    // Empty if none of them is supported.
    std::string viaParameters(const std::string& algorithms) const;

  private:
    OverloadSettings settings_;
    double loss_ = 0, rate_ = 1e9;
    Micros lastUpdate_ = 0;
    std::uint64_t sequence_ = 0;
};

}  // namespace valekeel::sip
