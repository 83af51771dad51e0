// The site's own figures out of the settings: what is played, on which terms, by which machines. Each reader
// takes its own nodes and gives the records that the module is handed; no record holds them all.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/types.hpp"
#include "settings/document.hpp"

namespace valekeel::settings {

Ladder readLadder(Cursor& top);

struct RoomTypes {
    std::vector<RoomType> types;
    std::vector<Micros> clientTimeouts;  // of each
    std::optional<RoomTypeId> find(std::string_view name) const;
};
RoomTypes readRoomTypes(Cursor& top, const Ladder&);

struct Machines {
    Fleet fleet;
    std::vector<std::string> kinds, zones;  // no zone is named where there is one only
};
Machines readMachines(Cursor& top);

ColdStartLimits readColdTerms(Cursor& top);
std::optional<JoinBudget> readJoinBudget(Cursor& top);
ServingCosts readPrices(Cursor& top);
ReportTiming readTidings(Cursor& top);
SubscriptionLimits readAllowed(Cursor& top);

struct Talk {  // where its holders begin, and how many there are
    Cell firstCell;
    int holders = 1;
};
using Talks = std::map<std::string, Talk, std::less<>>;
Talks readTalks(Cursor& top, const Fleet&);

}  // namespace valekeel::settings
