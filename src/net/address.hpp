// IP endpoints and their text form. Host names are not resolved: a front only talks to configured addresses.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::net {

using IpAddress = boost::asio::ip::address;

// An IP address and a port, ordered by address, then by port.
struct Endpoint {
    IpAddress ip;
    std::uint16_t port = 0;
    bool operator==(const Endpoint&) const = default;
    auto operator<=>(const Endpoint& other) const {
        if (ip < other.ip) return std::strong_ordering::less;
        if (other.ip < ip) return std::strong_ordering::greater;
        return port <=> other.port;
    }
};

// Parses "127.0.0.1:8080" or "[::1]:8080"; port 0 lets the kernel choose one. Empty if `text` is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);
// Returns the form that parseEndpoint() reads.
std::string toString(const Endpoint&);

}  // namespace valekeel::net
