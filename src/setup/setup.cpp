#include "setup/setup.hpp"

#include <algorithm>

namespace valekeel::setup {

Names parseNames(const Json& settings, const std::string& where) {
    Names names;
    names.kinds = texts(settings, "host_types", where);
    if (find(settings, "zones")) names.zones = texts(settings, "zones", where);
    return names;
}

Ladder parseLadder(const Json& settings, const std::string& where) {
    const Json& video = objectAt(settings, "specifics", where);
    Ladder ladder{numbers(video, "ladder_kb", where), numbers(video, "ladder_worth", where),
                  numberOr(video, "stall", 0, where), numberOr(video, "switch_cost_s", 0, where),
                  numberOr(video, "join", 1, where)};
    if (ladder.sharedRateFraction < 0 || ladder.sharedRateFraction > 1)
        throwInvalid(where, "'join' must be between 0 and 1");
    if (ladder.kb.empty() || ladder.kb.size() != ladder.worth.size())
        throwInvalid(where,
                     "'ladder_kb' and 'ladder_worth' must have the same number of entries, at least one");
    return ladder;
}

std::vector<RoomType> parseRoomTypes(const Json& settings, const Ladder& ladder, const std::string& where) {
    const Json& video = objectAt(settings, "specifics", where);
    const auto factors = numbers(video, "rate_factor", where);
    const auto floors = numbers(video, "lowest_rung", where);
    const auto tops = numbers(video, "highest_rung", where);
    const auto seats = numbers(video, "licence_cap", where);
    const auto isLive = flags(video, "is_live", where);
    std::vector<RoomType> rooms;
    for (const Json& room : array(settings, "request_classes", where)) {
        const std::size_t index = rooms.size();
        if (index >= factors.size() || index >= floors.size() || index >= tops.size() ||
            index >= seats.size())
            throwInvalid(where, "'specifics' has fewer entries than there are request classes");
        const std::string idempotency = text(room, "idempotency", where);
        if (idempotency != "pure" && idempotency != "token" && idempotency != "side_effect")
            throwInvalid(where, "idempotency '" + idempotency + "' is unknown");
        rooms.push_back({text(room, "name", where), duration(room, "promise", where),
                         number(room, "importance", where), idempotency == "side_effect",
                         idempotency == "token", textOr(room, "group", "all", where) == "all",
                         durationOrZero(room, "repeat_window", where), factors[index],
                         static_cast<int>(floors[index]),
                         std::min(static_cast<int>(tops[index]), static_cast<int>(ladder.kb.size()) - 1),
                         static_cast<int>(seats[index]), index < isLive.size() && isLive[index]});
    }
    return rooms;
}

Fleet parseFleet(const Json& settings, const Names& names, const std::string& where) {
    const Json& video = objectAt(settings, "specifics", where);
    Fleet fleet;
    fleet.cells = intValue(video, "cells", where);
    fleet.racks = intValue(video, "racks", where);
    if (fleet.cells < 1 || fleet.racks < 1) throwInvalid(where, "'cells' and 'racks' must be at least 1");
    fleet.linksKb = number(video, "links_kb", where);
    fleet.linkKbPerSize = numberOr(video, "weight_kb", 0, where);
    fleet.uplinkKb = numberOr(video, "rack_link_kb", 0, where);
    fleet.fullThreshold = numberOr(video, "full_from", 0, where);
    const std::string weights = textOr(settings, "weights", "none", where);
    fleet.listOnRequest = textOr(settings, "discovery", "push", where) == "ask";
    fleet.hasSizes = weights == "nominal" || weights == "rough";
    for (double places : numbers(video, "places_by_kind", where))
        fleet.places.push_back(static_cast<int>(places));
    if (fleet.places.size() != names.kinds.size())
        throwInvalid(where, "'places_by_kind' must have one entry for each of 'host_types'");
    if (find(settings, "zone"))
        fleet.zone = ZoneId{indexOf(names.zones, text(settings, "zone", where), where)};
    return fleet;
}

ColdStartLimits parseColdStartLimits(const Json& settings, const std::string& where) {
    const Json& rules = objectAt(settings, "rules", where);
    return {duration(rules, "cold", where), number(rules, "start_capacity", where),
            number(rules, "fall_multiple", where), duration(rules, "tip_after", where)};
}

std::optional<JoinBudget> parseJoinBudget(const Json& settings, const std::string& where) {
    const Json& rules = objectAt(settings, "rules", where);
    if (!find(rules, "spare_attempts") && !find(rules, "resend_ratio")) return std::nullopt;
    return JoinBudget{numberOr(rules, "spare_attempts", 0, where), numberOr(rules, "resend_ratio", 0, where),
                      duration(rules, "look_back", where)};
}

ReportTiming parseReportTiming(const Json& settings, const std::string& where) {
    const Json& video = objectAt(settings, "specifics", where);
    return {durationOrZero(video, "told_late", where), durationOrZero(video, "told_every", where)};
}

SubscriptionLimits parseSubscriptionLimits(const Json& settings, const std::string& where) {
    const Json& allowed = objectAt(settings, "allowed", where);
    return {intValue(allowed, "attempts_cap", where), flag(allowed, "retry_after", where),
            durationOrZero(allowed, "max_retry_after", where)};
}

ServingCosts parseServingCosts(const Json& settings, const std::string& where) {
    ServingCosts costs;
    if (const Json* prices = find(settings, "prices"))
        costs.crossZone = numberOr(*prices, "cross_zone", 0, where);
    return costs;
}

}  // namespace valekeel::setup
