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

class Gate {
  public:
    // Requests that may wait at once by `bound`; `connections`: open at once from one network.
    Gate(const BoundTerms& bound, std::size_t connectionsEach, int prefix4, int prefix6,
         const ReturnTerms& returns = {}, const WayTerms& ways = {})
        : bound_(bound),
          connectionsEach_(connectionsEach),
          prefix4_(prefix4),
          prefix6_(prefix6),
          returns_(returns),
          ways_(ways) {}

    // Networks of members, told in the settings; other addresses are grouped by the prefix lengths above.
    void name(const Prefix& network, const std::string& name);
    // Addresses of one name, or of one prefix, share one share.
    std::uint32_t networkOf(const net::IpAddress&);
    const std::string& nameOf(std::uint32_t network) const { return networks_[network].name; }

    bool connect(std::uint32_t network);  // false: turned away
    void disconnect(std::uint32_t network);

    enum class Let {
        In,
        Full,
        OverShare,
        Narrow,   // the network's own way is short: one more would only take from those who watch
        Crowded,  // nearly all asks come to nothing, and enough of them have been put to the module
    };
    Let ask(Micros now, std::uint32_t network);
    static const char* why(Let);
    // When whoever is turned away now should come again, from now; not before `least`.
    Micros retryAfter(Micros now, Micros least) { return returns_.tell(now, least); }
    void placed(Micros now) { returns_.placed(now); }
    void throttled(Micros now) { returns_.throttled(now); }
    bool lowestOnly(std::uint32_t network) const { return ways_.lowestOnly(network); }
    // A segment reached a viewer of that network whole: see Ways.
    void delivered(Micros now, std::uint32_t network, double share, bool lowest) {
        ways_.delivered(now, network, share, lowest);
    }
    // What ask() would say to a request from there, now; nothing is kept of it.
    bool wouldLet(const net::IpAddress&) const;
    void answered(std::uint32_t network);
    // How long a placement took, or a set-up that came to nothing: what the bound is found from.
    void took(Micros now, Micros time) { bound_.answered(now, time, held_); }

    std::size_t held() const { return held_; }
    std::size_t bound() const { return bound_.now(); }
    double fill() const { return static_cast<double>(held_) / static_cast<double>(bound()); }
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
    Let letFor(std::size_t waitingOfIt) const;
    Bound bound_;
    std::size_t connectionsEach_;
    int prefix4_, prefix6_;
    Returns returns_;
    Ways ways_;
    PrefixTrie told_;
    std::map<std::string, std::uint32_t> names_;
    std::map<Prefix, std::uint32_t> untold_;
    std::vector<Network> networks_;
    std::vector<std::uint32_t> free_;
    std::size_t held_ = 0, holding_ = 0;
};

}  // namespace valekeel::admission
