#include "admission/prefix_trie.hpp"

#include <algorithm>
#include <bit>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace valekeel::admission {
namespace {

bool bitOf(const Prefix& p, int at) {
    return (p.bits[static_cast<std::size_t>(at / 8)] >> (7 - at % 8)) & 1;
}

// How many of the first bits are the same, at most `most`.
int sameBits(const Prefix& a, const Prefix& b, int most) {
    for (std::size_t byte = 0; byte < 16 && static_cast<int>(byte) * 8 < most; ++byte) {
        const auto differs = static_cast<std::uint8_t>(a.bits[byte] ^ b.bits[byte]);
        if (differs) return std::min(most, static_cast<int>(byte) * 8 + std::countl_zero(differs));
    }
    return most;
}

}  // namespace

Prefix hostPrefix(const net::IpAddress& ip) {
    Prefix out;
    out.length = 128;
    if (ip.is_v6()) {
        const auto bytes = ip.to_v6().to_bytes();
        std::copy(bytes.begin(), bytes.end(), out.bits.begin());
    } else {
        const auto bytes = ip.to_v4().to_bytes();
        out.bits[10] = out.bits[11] = 0xff;
        std::copy(bytes.begin(), bytes.end(), out.bits.begin() + 12);
    }
    return out;
}

Prefix truncated(const Prefix& p, int length) {
    Prefix out = p;
    out.length = std::min(length, p.length);
    for (int at = out.length; at < 128; ++at)
        out.bits[static_cast<std::size_t>(at / 8)] &= static_cast<std::uint8_t>(~(1 << (7 - at % 8)));
    return out;
}

std::optional<Prefix> parsePrefix(std::string_view text) {
    boost::system::error_code bad;
    const std::string whole(text);
    const auto four = boost::asio::ip::make_network_v4(whole, bad);
    if (!bad) {
        if (four.canonical() != four) return std::nullopt;
        Prefix out = hostPrefix(four.address());
        out.length = 96 + four.prefix_length();
        return out;
    }
    const auto six = boost::asio::ip::make_network_v6(whole, bad);
    if (bad || six.canonical() != six) return std::nullopt;
    Prefix out = hostPrefix(six.address());
    out.length = six.prefix_length();
    return out;
}

std::string toString(const Prefix& p) {
    boost::asio::ip::address_v6::bytes_type bytes;
    std::copy(p.bits.begin(), p.bits.end(), bytes.begin());
    const boost::asio::ip::address_v6 six(bytes);
    if (six.is_v4_mapped() && p.length >= 96)
        return boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, six).to_string() + "/" +
               std::to_string(p.length - 96);
    return six.to_string() + "/" + std::to_string(p.length);
}

void PrefixTrie::insert(const Prefix& prefix, std::uint32_t value) {
    const auto leaf = [&](const Prefix& p, std::optional<std::uint32_t> v) {
        nodes_.push_back(Node{p, v, {-1, -1}});
        return static_cast<std::int32_t>(nodes_.size()) - 1;
    };
    std::int32_t parent = -1, at = root_;
    int side = 0;
    const auto link = [&](std::int32_t to) {
        if (parent < 0)
            root_ = to;
        else
            nodes_[static_cast<std::size_t>(parent)].child[side] = to;
    };
    while (at >= 0) {
        const Prefix here = nodes_[static_cast<std::size_t>(at)].prefix;
        const int same = sameBits(here, prefix, std::min(here.length, prefix.length));
        if (same < here.length) {  // it branches off, or ends, within this edge
            const bool ends = same == prefix.length;
            const std::int32_t fork =
                leaf(truncated(prefix, same), ends ? std::optional(value) : std::nullopt);
            nodes_[static_cast<std::size_t>(fork)].child[bitOf(here, same)] = at;
            if (!ends) {
                const std::int32_t end = leaf(prefix, value);
                nodes_[static_cast<std::size_t>(fork)].child[bitOf(prefix, same)] = end;
            }
            link(fork);
            ++size_;
            return;
        }
        if (here.length == prefix.length) {
            Node& node = nodes_[static_cast<std::size_t>(at)];
            if (!node.value) ++size_;
            node.value = value;
            return;
        }
        parent = at;
        side = bitOf(prefix, here.length);
        at = nodes_[static_cast<std::size_t>(at)].child[side];
    }
    const std::int32_t end = leaf(prefix, value);
    link(end);
    ++size_;
}

std::optional<std::uint32_t> PrefixTrie::find(const Prefix& host) const {
    std::optional<std::uint32_t> best;
    std::int32_t at = root_;
    while (at >= 0) {
        const Node& node = nodes_[static_cast<std::size_t>(at)];
        if (node.prefix.length > host.length ||
            sameBits(node.prefix, host, node.prefix.length) < node.prefix.length)
            break;
        if (node.value) best = node.value;
        if (node.prefix.length >= host.length) break;
        at = node.child[bitOf(host, node.prefix.length)];
    }
    return best;
}

}  // namespace valekeel::admission
