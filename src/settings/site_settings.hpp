// Reads the site's settings for the decision module: ladder, room types, fleet, limits and talks. Each
// function reads its own nodes from the top level of the document and throws SettingsError if they are
// invalid.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/types.hpp"
#include "settings/document.hpp"

namespace valekeel::settings {

// Reads 'ladder': 1 to 32 rungs with rising rates (kB/s) and non-falling worth (0 to 1).
Ladder readLadder(NodeReader& top);

// The room types, in the order of the settings; a RoomTypeId is an index.
struct RoomTypes {
    std::vector<RoomType> types;
    std::vector<Micros> clientTimeouts;  // of each type, in microseconds
    // Empty if there is no type of that name.
    std::optional<RoomTypeId> find(std::string_view name) const;
};
// Reads the 'room-type' nodes; at least one is required.
RoomTypes readRoomTypes(NodeReader& top, const Ladder&);

// The fleet, and the names of its machine kinds and zones by index.
struct Machines {
    Fleet fleet;
    std::vector<std::string> kinds, zones;  // zones is empty if there is a single, unnamed one
};
// Reads 'fleet' with its kinds and zones.
Machines readMachines(NodeReader& top);

// Each reads one optional node: 'cold', 'join-budget', 'prices', 'tidings' and 'allowed'.
ColdStartLimits readColdStartLimits(NodeReader& top);
std::optional<JoinBudget> readJoinBudget(NodeReader& top);
ServingCosts readServingCosts(NodeReader& top);
ReportTiming readReportTiming(NodeReader& top);
SubscriptionLimits readSubscriptionLimits(NodeReader& top);

// A talk: the cells that hold it are `holders` consecutive ones from `firstCell`, wrapping around.
struct Talk {
    Cell firstCell;
    int holders = 1;
};
// Talks by title.
using Talks = std::map<std::string, Talk, std::less<>>;
// Reads the 'talk' nodes; at least one is required.
Talks readTalks(NodeReader& top, const Fleet&);

}  // namespace valekeel::settings
