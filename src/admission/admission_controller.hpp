// Who is let in when many come at once: how many requests may wait for the module together, and how many of
// them from one network. Decides only: no I/O, no clock.
//
// Under half of the bound everybody is let in, so a quiet front refuses nobody. Over it, a network may hold
// no more than the bound shared by the networks that now hold something, and one more for whoever comes next.
// The last tenth is kept for networks that hold little: a flood from one member leaves room for all others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/concurrency_limit.hpp"
#include "admission/path_capacity.hpp"
#include "admission/prefix_trie.hpp"
#include "admission/retry_limiter.hpp"
#include "model/ids.hpp"

namespace valekeel::admission {

class AdmissionController {
  public:
    // Requests that may wait at once by `bound`; `connections`: open at once from one network.
    AdmissionController(const ConcurrencyLimitSettings& bound, std::size_t connectionsEach, int prefix4,
                        int prefix6, const RetryLimiterSettings& returns = {},
                        const PathCapacitySettings& ways = {})
        : bound_(bound),
          connectionsEach_(connectionsEach),
          prefix4_(prefix4),
          prefix6_(prefix6),
          returns_(returns),
          ways_(ways) {}

    // Networks of members, told in the settings; other addresses are grouped by the prefix lengths above.
    void addNamedNetwork(const Prefix& network, const std::string& name);
    // Addresses of one name, or of one prefix, share one share.
    std::uint32_t networkOf(const net::IpAddress&);
    const std::string& nameOf(std::uint32_t network) const { return networks_[network].name; }

    bool openConnection(std::uint32_t network);  // false: turned away
    void closeConnection(std::uint32_t network);

    enum class Decision {
        Admitted,
        Full,
        OverFairShare,
        PathSaturated,   // the network's own way is short: one more would only take from those who watch
        TooManyRetries,  // nearly all asks come to nothing, and enough of them have been put to the module
    };
    Decision admit(Micros now, std::uint32_t network);
    static const char* reasonText(Decision);
    // When whoever is turned away now should come again, from now; not before `least`.
    Micros retryAfter(Micros now, Micros least) { return returns_.retryAfter(now, least); }
    void onPlaced(Micros now) { returns_.onPlaced(now); }
    void onThrottled(Micros now) { returns_.onThrottled(now); }
    bool isLimitedToLowestRung(std::uint32_t network) const { return ways_.isLimitedToLowestRung(network); }
    // A segment reached a viewer of that network whole: see Ways.
    void onDelivered(Micros now, std::uint32_t network, double share, bool lowest) {
        ways_.onDelivered(now, network, share, lowest);
    }
    // What admit() would say to a request from there, now; nothing is kept of it.
    bool wouldAdmit(const net::IpAddress&) const;
    void onAnswered(std::uint32_t network);
    // How long a placement took, or a set-up that came to nothing: what the bound is found from.
    void onAnswerTime(Micros now, Micros time) { bound_.onAnswered(now, time, held_); }

    std::size_t pendingCount() const { return held_; }
    std::size_t limit() const { return bound_.now(); }
    double fillRatio() const { return static_cast<double>(held_) / static_cast<double>(limit()); }
    std::size_t holding() const { return holding_; }  // networks that hold something
    std::size_t networks() const { return networks_.size(); }

  private:
    struct Network {
        std::string name;
        std::size_t waiting = 0, connections = 0;
        bool told = false;
        Prefix prefix;
    };
    Prefix prefixOf(const net::IpAddress&) const;  // the group of an address that nobody told of
    std::optional<std::uint32_t> known(const net::IpAddress&) const;
    void forgetIfIdle(std::uint32_t);
    Decision letFor(std::size_t waitingOfIt) const;
    ConcurrencyLimit bound_;
    std::size_t connectionsEach_;
    int prefix4_, prefix6_;
    RetryLimiter returns_;
    PathCapacity ways_;
    PrefixTrie told_;
    std::map<std::string, std::uint32_t> names_;
    std::map<Prefix, std::uint32_t> untold_;
    std::vector<Network> networks_;
    std::vector<std::uint32_t> free_;
    std::size_t held_ = 0, holding_ = 0;
};

}  // namespace valekeel::admission
