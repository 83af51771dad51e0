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
Names namesOf(const Json& setup, const std::string& where);
Ladder ladderOf(const Json& setup, const std::string& where);
std::vector<RoomType> roomTypesOf(const Json& setup, const Ladder&, const std::string& where);
Fleet fleetOf(const Json& setup, const Names&, const std::string& where);
ColdTerms coldOf(const Json& setup, const std::string& where);
std::optional<JoinBudget> budgetOf(const Json& setup, const std::string& where);
Tidings tidingsOf(const Json& setup, const std::string& where);
Allowed allowedOf(const Json& setup, const std::string& where);
Prices pricesOf(const Json& setup, const std::string& where);

// Whoever decides, made from all of these: the module, or the module behind another interface.
template <class Decider>
std::unique_ptr<Decider> made(Host& host, Micros now, std::uint64_t seed, const Json& setup,
                              const std::string& where) {
    const Names names = namesOf(setup, where);
    const Ladder ladder = ladderOf(setup, where);
    const std::optional<JoinBudget> budget = budgetOf(setup, where);
    return std::make_unique<Decider>(
        host, now, seed, smallInt(setup, "balancers", where), ladder, roomTypesOf(setup, ladder, where),
        fleetOf(setup, names, where), coldOf(setup, where), budget ? &*budget : nullptr,
        tidingsOf(setup, where), allowedOf(setup, where), pricesOf(setup, where));
}

}  // namespace valekeel::setup
