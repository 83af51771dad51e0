// Overload control between SIP hops (RFC 7339, loss based; RFC 7415, rate based): what this server tells
// those who send to it, and what it turns away itself from those who don't listen. Decides only: no I/O, no
// clock.
//
// Two measures: how much of what may wait for an answer is taken (which the gate finds from how long answers
// take), and how long messages lay unread before this front came to them. Over either's target the share to
// be shed rises; under both it falls slowly, so that it settles without swinging.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::sip {

struct OverloadSettings {
    double targetFill = 0.5;              // of what may wait, at which shedding begins
    Micros targetQueueingDelay = 20'000;  // for which messages may lie unread, likewise
    Micros updateInterval = 200'000;      // between looks
    Micros validity = 1'000'000;          // what is told holds so long (oc-validity)
    double maxLoss = 0.98;                // never all: some must come for it to be seen that it is over
    double ratePerSecond = 1'000;         // what is told to rate-based clients at no load
};

// What was turned away without a transaction, so that each copy of it is turned away too and no request has
// two final answers. A table of fixed size: a newcomer takes the place of an older one, never of more than
// one.
class RefusedRequests {
  public:
    explicit RefusedRequests(std::size_t places);  // rounded up to a power of two
    void insert(std::uint64_t name) { places_[name & (places_.size() - 1)] = name | 1; }
    bool contains(std::uint64_t name) const { return places_[name & (places_.size() - 1)] == (name | 1); }

  private:
    std::vector<std::uint64_t> places_;
};

class Overload {
  public:
    explicit Overload(const OverloadSettings& terms) : terms_(terms) {}

    // What was seen since the last look: how full the waiting room is, how long messages lay unread, new
    // INVITEs that came, and those that the front brought to an end with a placement or a reasoned refusal.
    void update(Micros now, double fill, Micros unread, std::uint64_t came, std::uint64_t served);
    // The share of new INVITEs to be shed, 0 to 1.
    double loss() const { return loss_; }
    double rate() const { return rate_; }
    // Whether this new INVITE is shed here. `draw` in 0 to 1; `listens`: its Via offered oc, so its sender
    // sheds by itself, and only what is over twice the bound is shed here too. Emergencies are never shed.
    bool shouldShed(double draw, bool listens, bool emergency, double fill) const;
    // Parameters for the topmost Via of an answer, to one that offered oc; empty if it named no algorithm of
    // ours.
    std::string viaParameters(const std::string& algorithms) const;

  private:
    OverloadSettings terms_;
    double loss_ = 0, rate_ = 1e9;
    Micros lookedAt_ = 0;
    std::uint64_t sequence_ = 0;
};

}  // namespace valekeel::sip
