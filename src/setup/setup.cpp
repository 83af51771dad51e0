#include "setup/setup.hpp"

#include <algorithm>

namespace valekeel::setup {

Names parseNames(const Json& setup, const std::string& where) {
    Names names;
    names.kinds = texts(setup, "host_types", where);
    if (find(setup, "zones")) names.zones = texts(setup, "zones", where);
    return names;
}

Ladder parseLadder(const Json& setup, const std::string& where) {
    const Json& video = objectAt(setup, "specifics", where);
    Ladder ladder{numbers(video, "ladder_kb", where), numbers(video, "ladder_worth", where),
                  numberOr(video, "stall", 0, where), numberOr(video, "switch_cost_s", 0, where),
                  numberOr(video, "join", 1, where)};
    if (ladder.sharedRateFraction < 0 || ladder.sharedRateFraction > 1)
        throwInvalid(where, "'join' is no part of a rate");
    if (ladder.kb.empty() || ladder.kb.size() != ladder.worth.size())
        throwInvalid(where, "'ladder_kb' and 'ladder_worth' do not match");
    return ladder;
}

std::vector<RoomType> parseRoomTypes(const Json& setup, const Ladder& ladder, const std::string& where) {
    const Json& video = objectAt(setup, "specifics", where);
    const auto factors = numbers(video, "rate_factor", where);
    const auto floors = numbers(video, "lowest_rung", where);
    const auto tops = numbers(video, "highest_rung", where);
    const auto seats = numbers(video, "licence_cap", where);
    const auto lives = flags(video, "is_live", where);
    std::vector<RoomType> rooms;
    for (const Json& room : array(setup, "request_classes", where)) {
        const std::size_t at = rooms.size();
        if (at >= factors.size() || at >= floors.size() || at >= tops.size() || at >= seats.size())
            throwInvalid(where, "'specifics' lacks figures of a room type");
        const std::string repeat = text(room, "idempotency", where);
        if (repeat != "pure" && repeat != "token" && repeat != "side_effect")
            throwInvalid(where, "idempotency '" + repeat + "' is unknown");
        rooms.push_back(
            {text(room, "name", where), duration(room, "promise", where), number(room, "importance", where),
             repeat == "side_effect", repeat == "token", textOr(room, "group", "all", where) == "all",
             durationOrZero(room, "repeat_window", where), factors[at], static_cast<int>(floors[at]),
             std::min(static_cast<int>(tops[at]), static_cast<int>(ladder.kb.size()) - 1),
             static_cast<int>(seats[at]), at < lives.size() && lives[at]});
    }
    return rooms;
}

Fleet parseFleet(const Json& setup, const Names& names, const std::string& where) {
    const Json& video = objectAt(setup, "specifics", where);
    Fleet fleet;
    fleet.cells = intValue(video, "cells", where);
    fleet.racks = intValue(video, "racks", where);
    if (fleet.cells < 1 || fleet.racks < 1) throwInvalid(where, "'cells' and 'racks' start at 1");
    fleet.linksKb = number(video, "links_kb", where);
    fleet.linkKbPerSize = numberOr(video, "weight_kb", 0, where);
    fleet.uplinkKb = numberOr(video, "rack_link_kb", 0, where);
    fleet.fullThreshold = numberOr(video, "full_from", 0, where);
    const std::string weights = textOr(setup, "weights", "none", where);
    fleet.listOnRequest = textOr(setup, "discovery", "push", where) == "ask";
    fleet.hasSizes = weights == "nominal" || weights == "rough";
    for (double places : numbers(video, "places_by_kind", where))
        fleet.places.push_back(static_cast<int>(places));
    if (fleet.places.size() != names.kinds.size())
        throwInvalid(where, "'places_by_kind' does not match 'host_types'");
    if (find(setup, "zone")) fleet.zone = ZoneId{indexOf(names.zones, text(setup, "zone", where), where)};
    return fleet;
}

ColdStartLimits parseColdStartLimits(const Json& setup, const std::string& where) {
    const Json& rules = objectAt(setup, "rules", where);
    return {duration(rules, "cold", where), number(rules, "start_capacity", where),
            number(rules, "fall_multiple", where), duration(rules, "tip_after", where)};
}

std::optional<JoinBudget> parseJoinBudget(const Json& setup, const std::string& where) {
    const Json& rules = objectAt(setup, "rules", where);
    if (!find(rules, "spare_attempts") && !find(rules, "resend_ratio")) return std::nullopt;
    return JoinBudget{numberOr(rules, "spare_attempts", 0, where), numberOr(rules, "resend_ratio", 0, where),
                      duration(rules, "look_back", where)};
}

ReportTiming parseReportTiming(const Json& setup, const std::string& where) {
    const Json& video = objectAt(setup, "specifics", where);
    return {durationOrZero(video, "told_late", where), durationOrZero(video, "told_every", where)};
}

SubscriptionLimits parseSubscriptionLimits(const Json& setup, const std::string& where) {
    const Json& allowed = objectAt(setup, "allowed", where);
    return {intValue(allowed, "attempts_cap", where), flag(allowed, "retry_after", where),
            durationOrZero(allowed, "max_retry_after", where)};
}

ServingCosts parseServingCosts(const Json& setup, const std::string& where) {
    ServingCosts prices;
    if (const Json* told = find(setup, "prices")) prices.crossZone = numberOr(*told, "cross_zone", 0, where);
    return prices;
}

}  // namespace valekeel::setup
