// Address prefixes and what belongs to them: the longest that holds an address is found in one walk along its
// bits, over a trie whose edges are cut short where nothing branches (a Patricia trie). Measured in bench/
// against going through a list. Prefixes are read by Boost's ip::network types.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.hpp"

namespace valekeel::admission {

// An IPv4 address is taken as its mapped IPv6 one, so that one trie holds both.
struct Prefix {
    std::array<std::uint8_t, 16> bits{};
    int length = 0;  // of 128
    bool operator==(const Prefix&) const = default;
    auto operator<=>(const Prefix&) const = default;
};
// "10.1.0.0/16", "2001:db8::/32"; nothing if it is none, or has bits set behind its length.
std::optional<Prefix> parsePrefix(std::string_view text);
Prefix hostPrefix(const net::IpAddress&);
Prefix truncated(const Prefix&, int length);
std::string toString(const Prefix&);

class PrefixTrie {
  public:
    // Replaces what stood there.
    void insert(const Prefix&, std::uint32_t value);
    // Of the longest prefix that holds it.
    std::optional<std::uint32_t> find(const Prefix& host) const;
    std::size_t size() const { return size_; }

  private:
    struct Node {
        Prefix prefix;
        std::optional<std::uint32_t> value;
        std::int32_t child[2] = {-1, -1};
    };
    std::vector<Node> nodes_;
    std::int32_t root_ = -1;
    std::size_t size_ = 0;
};

}  // namespace valekeel::admission
