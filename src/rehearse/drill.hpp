// Plays a day on loopback sockets: fronts as processes of their own, boxes, list and players as stand-ins in
// this one. Tells what came of it, and which rules were broken, from the stand-ins' ledgers.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "rehearse/day.hpp"
#include "standins/ledger.hpp"

namespace valekeel::rehearse {

struct DrillResult {
    std::uint64_t asked = 0, played = 0, throttled = 0, terminated = 0, never = 0, twice = 0;
    std::uint64_t paidSubs = 0, paidSetUps = 0, excused = 0, segments = 0, lost = 0, gaps = 0;
    double service = 0;  // benefit answered within the join objective over benefit asked, first tries
    // Of the benefit of all that players wanted to watch (until the day's end), what came: segments weighed
    // by the worth of their rung, less the stall loss for each point by which they came too slowly.
    double quality = 0;
    struct Times {
        Micros p50 = 0, p99 = 0, max = 0;
        std::uint64_t count = 0;
    };
    std::map<std::string, Times> toAnswer;      // by room type
    std::map<int, std::uint64_t> joinsAt;       // by box
    std::uint64_t liedTo = 0, joinsInLies = 0;  // joins to boxes while they lied, and all in that time
    std::vector<audit::Breach> breaches;
    double frontCpu = 0;
    std::size_t troublesAtOnce = 0;
};

struct DrillWays {
    std::string program;    // that serves
    std::string folder;     // for settings, logs and kept lists; must exist
    std::string decisions;  // "", "random" or "least-load": what decides in the fronts
    std::function<void(const std::string&)> say = [](const std::string&) {};
};

DrillResult drill(const Day&, const DrillWays&, standins::Ledger&);

// What the ledger says of answers and service; used by drill().
void judge(const Day&, const standins::Ledger&, DrillResult&);
std::string told(const DrillResult&);

}  // namespace valekeel::rehearse
