#include "admission/prefix_trie.hpp"

#include <algorithm>
#include <bit>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace valekeel::admission {
namespace {

bool bitAt(const Prefix& p, int index) {
    return (p.bits[static_cast<std::size_t>(index / 8)] >> (7 - index % 8)) & 1;
}

// Returns how many leading bits the two have in common, up to `limit`.
int commonBits(const Prefix& a, const Prefix& b, int limit) {
    for (std::size_t byte = 0; byte < 16 && static_cast<int>(byte) * 8 < limit; ++byte) {
        const auto differs = static_cast<std::uint8_t>(a.bits[byte] ^ b.bits[byte]);
        if (differs) return std::min(limit, static_cast<int>(byte) * 8 + std::countl_zero(differs));
    }
    return limit;
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
    for (int bit = out.length; bit < 128; ++bit)
        out.bits[static_cast<std::size_t>(bit / 8)] &= static_cast<std::uint8_t>(~(1 << (7 - bit % 8)));
    return out;
}

std::optional<Prefix> parsePrefix(std::string_view text) {
    boost::system::error_code error;
    const std::string input(text);
    const auto v4 = boost::asio::ip::make_network_v4(input, error);
    if (!error) {
        if (v4.canonical() != v4) return std::nullopt;
        Prefix out = hostPrefix(v4.address());
        out.length = 96 + v4.prefix_length();
        return out;
    }
    const auto v6 = boost::asio::ip::make_network_v6(input, error);
    if (error || v6.canonical() != v6) return std::nullopt;
    Prefix out = hostPrefix(v6.address());
    out.length = v6.prefix_length();
    return out;
}

std::string toString(const Prefix& p) {
    boost::asio::ip::address_v6::bytes_type bytes;
    std::copy(p.bits.begin(), p.bits.end(), bytes.begin());
    const boost::asio::ip::address_v6 v6(bytes);
    if (v6.is_v4_mapped() && p.length >= 96)
        return boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, v6).to_string() + "/" +
               std::to_string(p.length - 96);
    return v6.to_string() + "/" + std::to_string(p.length);
}

void PrefixTrie::insert(const Prefix& prefix, std::uint32_t value) {
    const auto addNode = [&](const Prefix& p, std::optional<std::uint32_t> v) {
        nodes_.push_back(Node{p, v, {-1, -1}});
        return static_cast<std::int32_t>(nodes_.size()) - 1;
    };
    std::int32_t parent = -1, node = root_;
    int side = 0;
    const auto link = [&](std::int32_t to) {
        if (parent < 0)
            root_ = to;
        else
            nodes_[static_cast<std::size_t>(parent)].child[side] = to;
    };
    while (node >= 0) {
        const Prefix current = nodes_[static_cast<std::size_t>(node)].prefix;
        const int common = commonBits(current, prefix, std::min(current.length, prefix.length));
        if (common < current.length) {  // the new prefix branches off, or ends, within this edge
            const bool endsHere = common == prefix.length;
            const std::int32_t fork =
                addNode(truncated(prefix, common), endsHere ? std::optional(value) : std::nullopt);
            nodes_[static_cast<std::size_t>(fork)].child[bitAt(current, common)] = node;
            if (!endsHere) {
                const std::int32_t end = addNode(prefix, value);
                nodes_[static_cast<std::size_t>(fork)].child[bitAt(prefix, common)] = end;
            }
            link(fork);
            ++size_;
            return;
        }
        if (current.length == prefix.length) {
            Node& existing = nodes_[static_cast<std::size_t>(node)];
            if (!existing.value) ++size_;
            existing.value = value;
            return;
        }
        parent = node;
        side = bitAt(prefix, current.length);
        node = nodes_[static_cast<std::size_t>(node)].child[side];
    }
    const std::int32_t end = addNode(prefix, value);
    link(end);
    ++size_;
}

std::optional<std::uint32_t> PrefixTrie::find(const Prefix& host) const {
    std::optional<std::uint32_t> best;
    std::int32_t index = root_;
    while (index >= 0) {
        const Node& node = nodes_[static_cast<std::size_t>(index)];
        if (node.prefix.length > host.length ||
            commonBits(node.prefix, host, node.prefix.length) < node.prefix.length)
            break;
        if (node.value) best = node.value;
        if (node.prefix.length >= host.length) break;
        index = node.child[bitAt(host, node.prefix.length)];
    }
    return best;
}

}  // namespace valekeel::admission
