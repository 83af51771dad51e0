// Ids and times. Every kind of id is a type of its own; every time is in whole microseconds.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace valekeel {

template <class Tag, class Value>
struct Id {
    Value v{};
    auto operator<=>(const Id&) const = default;
};

using SubId = Id<struct SubTag, std::uint32_t>;           // one request for a subscription
using SfuId = Id<struct SfuTag, std::uint32_t>;           // a media server
using RoomTypeId = Id<struct RoomTag, std::uint32_t>;     // place in the list of room types
using MachineKindId = Id<struct KindTag, std::uint32_t>;  // place in the list of machine kinds
using TitleId = Id<struct TitleTag, std::string>;         // what is watched
using ZoneId = Id<struct ZoneTag, std::uint32_t>;         // place in the list of zones
using Cell = Id<struct CellTag, std::uint32_t>;

using Micros = std::int64_t;
constexpr Micros kSecond = 1'000'000;
constexpr double seconds(Micros t) {
    return static_cast<double>(t) / 1e6;
}

}  // namespace valekeel
