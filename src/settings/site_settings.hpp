// The site's own figures out of the settings: what is played, on which terms, by which machines. Each reader
// takes its own nodes and gives the records that the module is handed; no record holds them all.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/types.hpp"
#include "settings/document.hpp"

namespace valekeel::settings {

Ladder readLadder(NodeReader& top);

struct RoomTypes {
    std::vector<RoomType> types;
    std::vector<Micros> clientTimeouts;  // of each
    std::optional<RoomTypeId> find(std::string_view name) const;
};
RoomTypes readRoomTypes(NodeReader& top, const Ladder&);

struct Machines {
    Fleet fleet;
    std::vector<std::string> kinds, zones;  // no zone is named where there is one only
};
Machines readMachines(NodeReader& top);

ColdStartLimits readColdStartLimits(NodeReader& top);
std::optional<JoinBudget> readJoinBudget(NodeReader& top);
ServingCosts readServingCosts(NodeReader& top);
ReportTiming readReportTiming(NodeReader& top);
SubscriptionLimits readSubscriptionLimits(NodeReader& top);

struct Talk {  // where its holders begin, and how many there are
    Cell firstCell;
    int holders = 1;
};
using Talks = std::map<std::string, Talk, std::less<>>;
Talks readTalks(NodeReader& top, const Fleet&);

}  // namespace valekeel::settings
