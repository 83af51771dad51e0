// Plays a day: on loopback sockets with fronts as processes of their own, or on a virtual clock with all of
// them in this one; boxes, list and players as stand-ins. Tells what came of it, and which rules were broken,
// from the stand-ins' ledgers.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "fakes/ledger.hpp"
#include "simulation/scenario.hpp"

namespace valekeel::simulation {

struct DrillResult {
    std::uint64_t asked = 0, firstAsks = 0, played = 0, throttled = 0, terminated = 0, never = 0, twice = 0;
    std::uint64_t paidSubs = 0, paidSetUps = 0, excused = 0, segments = 0, lost = 0, gaps = 0;
    double service = 0;  // benefit answered within the join objective over benefit asked, first tries
    // Of the benefit of all that players wanted to watch (until the day's end), what came: segments weighed
    // by the worth of their rung, less the stall loss for each point by which they came too slowly.
    double quality = 0;
    std::map<int, std::uint64_t> calls;  // final answers that callers got, by status; 0: none came
    // As users judge it: benefit answered within the join objective over benefit asked, of first asks.
    double worstTenSeconds = 1;
    std::string worstRoom;
    double worstRoomService = 1;
    std::map<std::string, std::pair<double, double>> byMember;  // service, and quality of what was wanted
    std::uint64_t stalls = 0, switches = 0, abandoned = 0, returns = 0, throttledTold = 0,
                  throttledUntold = 0;
    double stallSeconds = 0;
    double secondsTaken = 0;  // of real time, for all of it
    struct Second {           // of the day
        std::uint64_t asked = 0, firstAsks = 0, played = 0, throttled = 0;
    };
    std::vector<Second> course;
    struct Times {
        Micros p50 = 0, p99 = 0, max = 0;
        std::uint64_t count = 0;
    };
    std::map<std::string, Times> toAnswer;      // by room type
    std::map<int, std::uint64_t> joinsAt;       // by box
    std::uint64_t liedTo = 0, joinsInLies = 0;  // joins to boxes while they lied, and all in that time
    std::vector<audit::RuleViolation> breaches;
    double frontCpu = 0;
    std::size_t troublesAtOnce = 0;
};

struct DrillOptions {
    bool real = true;       // on sockets and the real clock
    std::string program;    // that serves
    std::string folder;     // for settings, logs and kept lists; must exist
    std::string decisions;  // "", "random" or "least-load": what decides in the fronts
    std::function<void(const std::string&)> say = [](const std::string&) {};
};

DrillResult drill(const Scenario&, const DrillOptions&, fakes::Ledger&);

// What the ledger says of answers and service; used by drill().
void judge(const Scenario&, const fakes::Ledger&, DrillResult&);
std::string summary(const DrillResult&);
// One object, names in our words; what an experiment keeps.
std::string asJson(const DrillResult&);

}  // namespace valekeel::simulation
