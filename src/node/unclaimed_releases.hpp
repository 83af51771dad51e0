// Releases of sessions that this front does not hold. A session that already plays may be handed over just
// after it has ended: its media server reports the release once, as soon as a connection is open, and the
// hand-over follows. Without I/O or clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "model/types.hpp"

namespace valekeel::node {

class UnclaimedReleases {
  public:
    struct Limits {
        std::size_t maxCount = 4'096;  // the oldest is dropped first
        Micros lifetime = 30'000'000;  // hand-overs come in the first seconds of a front
    };
    struct Release {
        SfuId server;
        int cause = 0;
        LoadReport load;
        Micros receivedAt = 0;
    };

    explicit UnclaimedReleases(const Limits& limits) : limits_(limits) {}
    // Keeps the first release of each tag. `receivedAt` must not decrease from call to call.
    void add(const std::string& tag, const Release&);
    // Removes and returns the release of this tag by this media server; nothing if there is none.
    std::optional<Release> take(const std::string& tag, SfuId server);
    void expire(Micros now);
    std::size_t size() const { return releases_.size(); }

  private:
    void dropOldest();
    Limits limits_;
    std::map<std::string, Release, std::less<>> releases_;  // by tag
    struct Arrival {
        std::string tag;
        Micros receivedAt;
    };
    std::deque<Arrival> arrivals_;  // of those in `releases_` and of some that were taken, oldest first
};

}  // namespace valekeel::node
