// Longest-prefix match of IP addresses: a path-compressed binary trie (Patricia trie) from prefixes to
// values, searched in one walk along the bits of the address. bench/ compares it with a linear scan. Prefixes
// are parsed with Boost's ip::network types.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.hpp"

namespace valekeel::admission {

// A prefix of an IPv6 address. IPv4 is stored as IPv4-mapped IPv6, so that one trie holds both.
struct Prefix {
    std::array<std::uint8_t, 16> bits{};
    int length = 0;  // in bits, 0 to 128
    bool operator==(const Prefix&) const = default;
    auto operator<=>(const Prefix&) const = default;
};
// Parses "10.1.0.0/16" or "2001:db8::/32". Returns nullopt if malformed or if bits are set beyond its length.
std::optional<Prefix> parsePrefix(std::string_view text);
Prefix hostPrefix(const net::IpAddress&);     // the address as a prefix of 128 bits
Prefix truncated(const Prefix&, int length);  // its first `length` bits, or all if it is shorter
std::string toString(const Prefix&);

// Maps prefixes to values. Prefixes cannot be removed.
class PrefixTrie {
  public:
    // Replaces the value of an equal prefix.
    void insert(const Prefix&, std::uint32_t value);
    // Returns the value of the longest prefix that contains the host, if any.
    std::optional<std::uint32_t> find(const Prefix& host) const;
    std::size_t size() const { return size_; }  // prefixes with a value

  private:
    struct Node {
        Prefix prefix;
        std::optional<std::uint32_t> value;
        std::int32_t child[2] = {-1, -1};  // indices into nodes_, by the next bit; -1: none
    };
    std::vector<Node> nodes_;
    std::int32_t root_ = -1;
    std::size_t size_ = 0;
};

}  // namespace valekeel::admission
