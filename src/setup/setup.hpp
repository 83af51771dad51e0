// The platform's settings object, as the arguments that the module is made from: for the adapter on the bench
// and for the front node alike. Throws Bad.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "logic.hpp"
#include "setup/values.hpp"

namespace valekeel::setup {

// The names that messages use; their places are the ids of the model.
struct Names {
    std::vector<std::string> kinds, zones;
};
Names parseNames(const Json& setup, const std::string& where);
Ladder parseLadder(const Json& setup, const std::string& where);
std::vector<RoomType> parseRoomTypes(const Json& setup, const Ladder&, const std::string& where);
Fleet parseFleet(const Json& setup, const Names&, const std::string& where);
ColdStartLimits parseColdStartLimits(const Json& setup, const std::string& where);
std::optional<JoinBudget> parseJoinBudget(const Json& setup, const std::string& where);
ReportTiming parseReportTiming(const Json& setup, const std::string& where);
SubscriptionLimits parseSubscriptionLimits(const Json& setup, const std::string& where);
ServingCosts parseServingCosts(const Json& setup, const std::string& where);

// Whoever decides, made from all of these: the module, or the module behind another interface.
template <class Decider>
std::unique_ptr<Decider> makeDecider(Host& host, Micros now, std::uint64_t seed, const Json& setup,
                                     const std::string& where) {
    const Names names = parseNames(setup, where);
    const Ladder ladder = parseLadder(setup, where);
    const std::optional<JoinBudget> budget = parseJoinBudget(setup, where);
    return std::make_unique<Decider>(host, now, seed, intValue(setup, "balancers", where), ladder,
                                     parseRoomTypes(setup, ladder, where), parseFleet(setup, names, where),
                                     parseColdStartLimits(setup, where), budget ? &*budget : nullptr,
                                     parseReportTiming(setup, where), parseSubscriptionLimits(setup, where),
                                     parseServingCosts(setup, where));
}

}  // namespace valekeel::setup
