// Which connection to a box a request takes. Decides only: no I/O, no clock. A kept connection that the box
// closes for idleness just as a request goes out leaves that request in doubt, which costs a paid set-up its
// subscription; so what must not be in doubt takes only connections used a moment ago, or a fresh one.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "model/ids.hpp"

namespace valekeel::upstream {

using ConnId = Id<struct ConnTag, std::uint64_t>;

class ConnectionReusePolicy {
  public:
    // At most so many connections to this box; idle ones are kept for `keepIdle`; `sureFor`: how lately one
    // must have been used for a request that must not be in doubt.
    ConnectionReusePolicy(std::size_t most, Micros keepIdle, Micros sureFor)
        : most_(most), keepIdle_(keepIdle), sureFor_(sureFor) {}

    enum class Need { Any, Sure };
    struct Choice {
        enum class What { Use, Open, CloseAndOpen, Wait } what;
        ConnId conn;  // to use, or to close for the sake of a fresh one
    };
    Choice choose(Micros now, Need) const;

    void opened(ConnId) { ++busy_; }  // it is taken by the request that wanted it
    void taken(ConnId);
    void idle(Micros now, ConnId);  // its request is done, and it is kept
    void closed(ConnId, bool wasBusy);
    // The one that has been idle for longer than it is kept, if there is one.
    std::optional<ConnId> stale(Micros now) const;
    std::size_t open() const { return busy_ + idle_.size(); }
    std::size_t busy() const { return busy_; }

  private:
    std::size_t most_;
    Micros keepIdle_, sureFor_;
    std::size_t busy_ = 0;
    std::set<std::pair<Micros, ConnId>> idle_;  // by when they became idle
};

}  // namespace valekeel::upstream
