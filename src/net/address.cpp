#include "net/address.hpp"

#include <charconv>

namespace valekeel::net {

std::optional<Endpoint> parseEndpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size()) return std::nullopt;
    std::string_view host = text.substr(0, colon), port = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) host = host.substr(1, host.size() - 2);
    if (!bracketed && host.find(':') != std::string_view::npos) return std::nullopt;
    Endpoint out;
    const auto [end, wrong] = std::from_chars(port.data(), port.data() + port.size(), out.port);
    if (wrong != std::errc{} || end != port.data() + port.size()) return std::nullopt;
    boost::system::error_code bad;
    out.ip = boost::asio::ip::make_address(std::string(host), bad);
    if (bad) return std::nullopt;
    return out;
}

std::string toString(const Endpoint& at) {
    const std::string ip = at.ip.to_string();
    return (at.ip.is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(at.port);
}

}  // namespace valekeel::net
