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
    const auto [end, parseError] = std::from_chars(port.data(), port.data() + port.size(), out.port);
    if (parseError != std::errc{} || end != port.data() + port.size()) return std::nullopt;
    boost::system::error_code addressError;
    out.ip = boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError) return std::nullopt;
    return out;
}

std::string toString(const Endpoint& endpoint) {
    const std::string ip = endpoint.ip.to_string();
    return (endpoint.ip.is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(endpoint.port);
}

}  // namespace valekeel::net
