// Addresses as text and back. Name look-up is left out on purpose: a front speaks to addresses it is told.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::net {

using IpAddress = boost::asio::ip::address;

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

// "127.0.0.1:8080" or "[::1]:8080"; port 0 lets the kernel choose. Empty if it is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint&);

}  // namespace valekeel::net
