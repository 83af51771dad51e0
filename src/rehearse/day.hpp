// A day as a script: the site, the fleet, the crowd, and troubles at their times, in KDL and in our words.
#pragma once

#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "settings/reading.hpp"
#include "settings/site.hpp"
#include "standins/box.hpp"
#include "standins/player.hpp"

namespace valekeel::rehearse {

struct TroubleKind {
    std::string name, what, benchName;
    std::vector<std::string> takes;
};
// Every kind that a day may name, with its counterpart on the bench where it has one.
const std::vector<TroubleKind>& troubleKinds();

struct DayTrouble {
    std::string kind;
    Micros at = 0, lasts = 0;
    std::vector<int> boxes;  // or racks, or fronts, as the kind has it
    double size = 0;
    Micros time = 0;
};

struct Crowd {
    int players = 0;
    Micros over = 0, at = 0;                                     // they come within this time, from then on
    std::vector<std::pair<double, standins::PlayerRoom>> rooms;  // with their parts
    std::vector<std::pair<double, std::string>> titles;          // with their weights
    Micros watchLeast = 0, watchMost = 0;
    double badHints = 0, smallScreens = 0, honours = 1;
    int returns = 1;
};

struct Day {
    std::string name;
    Micros length = 0;
    std::uint64_t seed = 1;
    int fronts = 1, boxes = 1;
    double linkKb = 0;
    standins::BoxMake make;
    Ladder ladder;
    settings::RoomTypes rooms;
    settings::Machines machines;
    audit::Terms terms;
    std::vector<Crowd> crowds;
    std::vector<DayTrouble> troubles;
    std::vector<settings::Node> siteNodes;  // handed on to each front's settings as they are
};

// Throws settings::Wrong.
Day readDay(const settings::Document&);

}  // namespace valekeel::rehearse
