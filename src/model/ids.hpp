// Identifiers and times of the model. Each kind of identifier is a type of its own; times and durations are
// whole microseconds.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace valekeel {

// A strongly typed identifier. `Tag` only distinguishes the types.
template <class Tag, class Value>
struct Id {
    Value v{};
    auto operator<=>(const Id&) const = default;
};

using SubId = Id<struct SubTag, std::uint32_t>;           // one request for a subscription
using SfuId = Id<struct SfuTag, std::uint32_t>;           // a media server
using RoomTypeId = Id<struct RoomTag, std::uint32_t>;     // index in the list of room types
using MachineKindId = Id<struct KindTag, std::uint32_t>;  // index in the list of machine kinds
using TitleId = Id<struct TitleTag, std::string>;         // name of the content
using ZoneId = Id<struct ZoneTag, std::uint32_t>;         // index in the list of zones
using Cell = Id<struct CellTag, std::uint32_t>;           // position of a media server in the fleet

using Micros = std::int64_t;  // a time or a duration in microseconds
constexpr Micros kSecond = 1'000'000;
// Converts to seconds.
constexpr double seconds(Micros t) {
    return static_cast<double>(t) / 1e6;
}

}  // namespace valekeel
