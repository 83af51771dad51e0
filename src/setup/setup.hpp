// Reads the platform's JSON settings into the arguments of the decision module, for the simulator adapter and
// the front node alike. `where` is the place in error messages. All functions throw InvalidValue.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "logic.hpp"
#include "setup/values.hpp"

namespace valekeel::setup {

// The names of machine kinds and zones that messages use. Their indices are the ids of the model.
struct Names {
    std::vector<std::string> kinds, zones;
};

// Each of these reads its part of the settings object. parseJoinBudget() returns nothing if it sets no
// budget.
Names parseNames(const Json& settings, const std::string& where);
Ladder parseLadder(const Json& settings, const std::string& where);
std::vector<RoomType> parseRoomTypes(const Json& settings, const Ladder&, const std::string& where);
Fleet parseFleet(const Json& settings, const Names&, const std::string& where);
ColdStartLimits parseColdStartLimits(const Json& settings, const std::string& where);
std::optional<JoinBudget> parseJoinBudget(const Json& settings, const std::string& where);
ReportTiming parseReportTiming(const Json& settings, const std::string& where);
SubscriptionLimits parseSubscriptionLimits(const Json& settings, const std::string& where);
ServingCosts parseServingCosts(const Json& settings, const std::string& where);

// Creates a decision module from the settings: a Logic, or another class with the same constructor. `host`
// must outlive it.
template <class Decider>
std::unique_ptr<Decider> makeDecider(Host& host, Micros now, std::uint64_t seed, const Json& settings,
                                     const std::string& where) {
    const Names names = parseNames(settings, where);
    const Ladder ladder = parseLadder(settings, where);
    const std::optional<JoinBudget> budget = parseJoinBudget(settings, where);
    return std::make_unique<Decider>(
        host, now, seed, intValue(settings, "balancers", where), ladder,
        parseRoomTypes(settings, ladder, where), parseFleet(settings, names, where),
        parseColdStartLimits(settings, where), budget ? &*budget : nullptr,
        parseReportTiming(settings, where), parseSubscriptionLimits(settings, where),
        parseServingCosts(settings, where));
}

}  // namespace valekeel::setup
