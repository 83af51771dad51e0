// Who is let in when many come at once: how many requests may wait for the module together, and how many of
// them from one network. Decides only: no I/O, no clock.
//
// Under half of the bound everybody is let in, so a quiet front refuses nobody. Over it, a network may hold
// no more than the bound shared by the networks that now hold something, and one more for whoever comes next.
// The last tenth is kept for networks that hold little: a flood from one member leaves room for all others.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission/networks.hpp"
#include "model/ids.hpp"

namespace valekeel::admission {

class Gate {
  public:
    // `waiting`: requests that may wait at once; `connections`: open at once from one network.
    Gate(std::size_t waiting, std::size_t connectionsEach, int prefix4, int prefix6)
        : waiting_(waiting), connectionsEach_(connectionsEach), prefix4_(prefix4), prefix6_(prefix6) {}

    // Networks of members, told in the settings; other addresses are grouped by the prefix lengths above.
    void name(const Prefix& network, const std::string& name);
    // Addresses of one name, or of one prefix, share one share.
    std::uint32_t networkOf(const net::IpAddress&);
    const std::string& nameOf(std::uint32_t network) const { return networks_[network].name; }

    bool connect(std::uint32_t network);  // false: turned away
    void disconnect(std::uint32_t network);

    enum class Let { In, Full, OverShare };
    Let ask(std::uint32_t network);
    void answered(std::uint32_t network);

    std::size_t held() const { return held_; }
    std::size_t bound() const { return waiting_; }
    double fill() const { return static_cast<double>(held_) / static_cast<double>(waiting_); }
    std::size_t holding() const { return holding_; }  // networks that hold something
    std::size_t networks() const { return networks_.size(); }

  private:
    struct Network {
        std::string name;
        std::size_t waiting = 0, connections = 0;
        bool told = false;
        Prefix prefix;
    };
    void forgetIfIdle(std::uint32_t);
    std::size_t waiting_, connectionsEach_;
    int prefix4_, prefix6_;
    PrefixTrie told_;
    std::map<std::string, std::uint32_t> names_;
    std::map<Prefix, std::uint32_t> untold_;
    std::vector<Network> networks_;
    std::vector<std::uint32_t> free_;
    std::size_t held_ = 0, holding_ = 0;
};

}  // namespace valekeel::admission
