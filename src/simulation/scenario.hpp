// A day as a script: the site, the fleet, the crowd, and troubles at their times, in KDL and in our words.
#pragma once

#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "fakes/box.hpp"
#include "fakes/caller.hpp"
#include "fakes/player.hpp"
#include "settings/document.hpp"
#include "settings/site_settings.hpp"
#include "workload/arrivals.hpp"

namespace valekeel::simulation {

struct FaultKind {
    std::string name, what, benchName;
    std::vector<std::string> takes;
};
// Every kind that a day may name, with its counterpart on the bench where it has one.
const std::vector<FaultKind>& faultKinds();

struct ScheduledFault {
    std::string kind;
    Micros at = 0, lasts = 0;
    std::vector<int> boxes;  // or racks, or fronts, as the kind has it
    double size = 0;
    Micros time = 0;
};

struct Crowd {
    int players = 0;
    Micros over = 0, at = 0;                                  // they come within this time, from then on
    std::vector<std::pair<double, fakes::PlayerRoom>> rooms;  // with their parts
    std::vector<std::pair<double, std::string>> titles;       // with their weights
    Micros watchLeast = 0, watchMost = 0;
    double badHints = 0, smallScreens = 0, honours = 1;
    int returns = 1;
};

// Callers, who speak SIP over datagrams through a network of their own.
struct Callers {
    int callers = 0;
    Micros over = 0, at = 0;
    std::vector<std::pair<double, fakes::PlayerRoom>> rooms;
    std::vector<std::pair<double, std::string>> titles;
    Micros talkLeast = 0, talkMost = 0, t1 = 0;
    double cancels = 0;  // the part of them that cancel, within a second
    fakes::NetworkConditions weather;
};

struct Member {
    std::string name;
    double linkKb = 0, part = 1;  // of the audience
};

// A modelled crowd: viewers who come by a stream, watch through their member's link, and have a patience.
struct Audience {
    workload::Arrivals stream{0, 0, 0, 0, 1, {}};
    struct Train {
        int viewers = 0, member = 0;
        Micros at = 0, over = 0;
    };
    std::vector<Train> trains;
    int member = -1;  // all of them watch through this one's link; -1: by the members' parts
    std::vector<std::pair<double, fakes::PlayerRoom>> rooms;
    std::vector<std::string> titles;
    workload::Zipf wanted{1, 0, 0};  // of the titles
    Micros watchMedian = 0, patience = 0, back = 0;
    double watchSigma = 0, stallWeight = 0;
    double badHints = 0, smallScreens = 0, honours = 1, atOnce = 0, ownAbr = 0;
    int returns = 1;
    Micros startWith = 0, bufferMost = 0;
};

struct Scenario {
    std::string name;
    Micros length = 0;
    std::uint64_t seed = 1;
    int fronts = 1, boxes = 1;
    double linkKb = 0;
    fakes::BoxConfig make;
    Ladder ladder;
    settings::RoomTypes rooms;
    settings::Machines machines;
    audit::AuditSettings terms;
    std::vector<Crowd> crowds;
    std::vector<Callers> callers;
    std::vector<Member> members;
    std::vector<Audience> audiences;
    std::vector<ScheduledFault> troubles;
    std::vector<settings::Node> siteNodes;  // handed on to each front's settings as they are
};

// A day's text with some of its settings changed: "crowd@players" is a property of each node crowd at the
// top, "site/fleet@uplink-kb" one of a node within, "members/member[far]@link-kb" one of those whose first
// argument is that. Throws std::invalid_argument where nothing of that name is there, settings::Wrong where
// the text is no KDL.
std::string withSettings(const std::string& file, const std::string& text,
                         const std::vector<std::pair<std::string, std::string>>& changes);

// Throws settings::Wrong.
Scenario readScenario(const settings::Document&);

}  // namespace valekeel::simulation
