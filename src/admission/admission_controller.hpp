// Admission control for new subscriptions: limits how many requests may wait for the decision module at once,
// in total and per network, and combines that with the retry limiter and the path capacity check. Pure logic:
// no I/O, no clock of its own.
//
// Below half of the limit every request is admitted, so a quiet front refuses nobody. Above it, a network may
// have at most its fair share pending: the limit divided by the number of networks with pending requests plus
// one for the next newcomer. The last tenth is reserved for networks with few pending requests, so a flood
// from one network leaves room for all others.
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

// Networks are numbered by networkOf(). Every admit() that returns Admitted must be followed by one
// onAnswered(), every successful openConnection() by one closeConnection().
class AdmissionController {
  public:
    // `maxConnections`: open at once from one network. `prefix4`, `prefix6`: lengths of the IPv4 and IPv6
    // prefixes by which addresses outside the named networks are grouped.
    AdmissionController(const ConcurrencyLimitSettings& limit, std::size_t maxConnections, int prefix4,
                        int prefix6, const RetryLimiterSettings& retries = {},
                        const PathCapacitySettings& paths = {})
        : limit_(limit),
          maxConnections_(maxConnections),
          prefix4_(prefix4),
          prefix6_(prefix6),
          retries_(retries),
          paths_(paths) {}

    // Adds a prefix of a member's network, as configured. Prefixes of one name form one network.
    void addNamedNetwork(const Prefix& network, const std::string& name);
    // Returns the network of an address, registering its prefix as a new one if there is none yet. Valid
    // until the network has neither connections nor pending requests, unless it is a named one.
    std::uint32_t networkOf(const net::IpAddress&);
    const std::string& nameOf(std::uint32_t network) const { return networks_[network].name; }

    // Counts a connection; false if the network has too many open already.
    bool openConnection(std::uint32_t network);
    void closeConnection(std::uint32_t network);

    enum class Decision {
        Admitted,
        Full,            // the limit is reached
        OverFairShare,   // the network has its fair share of the limit pending
        PathSaturated,   // one more viewer on the network's path would only take from the others
        TooManyRetries,  // nearly all attempts fail, and enough of them have reached the module
    };
    // An admitted request counts as pending until onAnswered().
    Decision admit(Micros now, std::uint32_t network);
    // Text for the viewer.
    static const char* reasonText(Decision);
    // Time from now after which a viewer who is refused now should retry; at least `minWait`.
    Micros retryAfter(Micros now, Micros minWait) { return retries_.retryAfter(now, minWait); }
    void onPlaced(Micros now) { retries_.onPlaced(now); }
    void onThrottled(Micros now) { retries_.onThrottled(now); }
    bool isLimitedToLowestRung(std::uint32_t network) const { return paths_.isLimitedToLowestRung(network); }
    // A complete segment reached a viewer of the network; see PathCapacity::onDelivered.
    void onDelivered(Micros now, std::uint32_t network, double share, bool lowest) {
        paths_.onDelivered(now, network, share, lowest);
    }
    // Whether the limit and the fair share would admit a request from the address now. Changes no state and
    // leaves out the checks of the path and of retries.
    bool wouldAdmit(const net::IpAddress&) const;
    // An admitted request has been answered, or its viewer has left.
    void onAnswered(std::uint32_t network);
    // How long a placement, or a set-up that failed, took: the input of the concurrency limit.
    void onAnswerTime(Micros now, Micros time) { limit_.onAnswered(now, time, pending_); }

    std::size_t pendingCount() const { return pending_; }
    std::size_t limit() const { return limit_.current(); }
    double fillRatio() const { return static_cast<double>(pending_) / static_cast<double>(limit()); }
    std::size_t activeNetworks() const { return activeNetworks_; }  // with pending requests
    std::size_t networkCount() const { return networks_.size(); }   // slots of forgotten networks included

  private:
    struct Network {
        std::string name;
        std::size_t pending = 0, connections = 0;
        bool named = false;
        Prefix prefix;
    };
    Prefix groupPrefixOf(const net::IpAddress&) const;  // for an address outside the named networks
    std::optional<std::uint32_t> findNetwork(const net::IpAddress&) const;
    void forgetIfIdle(std::uint32_t);
    Decision checkLimits(std::size_t pendingOfNetwork) const;
    ConcurrencyLimit limit_;
    std::size_t maxConnections_;
    int prefix4_, prefix6_;
    RetryLimiter retries_;
    PathCapacity paths_;
    PrefixTrie namedPrefixes_;
    std::map<std::string, std::uint32_t> names_;
    std::map<Prefix, std::uint32_t> groups_;  // networks that are not named
    std::vector<Network> networks_;
    std::vector<std::uint32_t> freeIds_;
    std::size_t pending_ = 0, activeNetworks_ = 0;
};

}  // namespace valekeel::admission
