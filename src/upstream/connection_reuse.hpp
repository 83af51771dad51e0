// Chooses which connection to a media server a request uses. Pure logic: no I/O, no clock of its own. If the
// server closes a kept connection for idleness just as a request is sent, nobody knows whether the request
// ran, and a paid set-up then costs its subscription. So requests that must not end in doubt use only
// connections that were in use a moment ago, or new ones.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "model/ids.hpp"

namespace valekeel::upstream {

using ConnId = Id<struct ConnTag, std::uint64_t>;

// Tracks the connections to one media server. The owner of the connections reports each change.
class ConnectionReusePolicy {
  public:
    // `maxOpen`: connections at once. `idleTimeout`: how long an idle one is kept. `recentUse`: how long ago
    // a connection may have been used for Need::RecentlyUsed.
    ConnectionReusePolicy(std::size_t maxOpen, Micros idleTimeout, Micros recentUse)
        : maxOpen_(maxOpen), idleTimeout_(idleTimeout), recentUse_(recentUse) {}

    enum class Need { Any, RecentlyUsed };
    struct Choice {
        enum class Action { Use, Open, CloseAndOpen, Wait } action;
        ConnId connection;  // to use, or to close so that a new one can be opened
    };
    // Changes no state: the owner carries out the choice and reports it.
    Choice choose(Micros now, Need) const;

    void onOpened(ConnId) { ++busy_; }  // for a request, so it is busy
    void onTaken(ConnId);               // an idle one, by a request
    void onIdle(Micros now, ConnId);    // its request is done, and it is kept
    void onClosed(ConnId, bool wasBusy);
    // Returns a connection that has been idle for at least the idle timeout, if any.
    std::optional<ConnId> expired(Micros now) const;
    std::size_t openCount() const { return busy_ + idle_.size(); }
    std::size_t busyCount() const { return busy_; }

  private:
    std::size_t maxOpen_;
    Micros idleTimeout_, recentUse_;
    std::size_t busy_ = 0;
    std::set<std::pair<Micros, ConnId>> idle_;  // by the time at which they became idle
};

}  // namespace valekeel::upstream
