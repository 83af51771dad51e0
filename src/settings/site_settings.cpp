#include "settings/site_settings.hpp"

#include <algorithm>

namespace valekeel::settings {
namespace {

constexpr Micros kHour = 3'600 * kSecond;  // upper limit of most durations

}  // namespace

Ladder readLadder(NodeReader& top) {
    NodeReader node = top.requiredChild("ladder");
    Ladder ladder;
    ladder.stallLoss = node.number("stall-loss", 0, 1'000, 5);
    ladder.switchSeconds = seconds(node.duration("switch", 0, 60 * kSecond, 500'000));
    ladder.sharedRateFraction = node.number("join", 0, 1, 1);
    for (NodeReader& rung : node.childrenNamed("rung")) {
        const double kb = rung.number("kb", 0.01, 1e7), worth = rung.number("worth", 0, 1);
        if (!ladder.kb.empty() && kb <= ladder.kb.back())
            rung.failProperty("kb", "each rung must have a higher kb= than the one before");
        if (!ladder.worth.empty() && worth < ladder.worth.back())
            rung.failProperty("worth", "a rung must not have a lower worth= than the one before");
        ladder.kb.push_back(kb);
        ladder.worth.push_back(worth);
        rung.rejectUnread();
    }
    if (ladder.kb.empty()) node.fail("'ladder' has no rungs; example: rung kb=10 worth=0.5");
    if (ladder.kb.size() > 32) node.fail("'ladder' has more than 32 rungs");
    node.rejectUnread();
    return ladder;
}

std::optional<RoomTypeId> RoomTypes::find(std::string_view name) const {
    for (std::size_t i = 0; i < types.size(); ++i)
        if (types[i].name == name) return RoomTypeId{static_cast<std::uint32_t>(i)};
    return std::nullopt;
}

RoomTypes readRoomTypes(NodeReader& top, const Ladder& ladder) {
    RoomTypes out;
    const auto last = static_cast<std::int64_t>(ladder.kb.size()) - 1;
    for (NodeReader& node : top.childrenNamed("room-type")) {
        RoomType room;
        room.name = node.argument("its name");
        if (room.name.empty() || out.find(room.name))
            node.fail("the name of a room type must be unique and not empty");
        const Micros timeout = node.duration("client-timeout", 100'000, kHour);
        room.joinObjective = node.duration("join-objective", 10'000, kHour);
        if (room.joinObjective > timeout)
            node.failProperty("join-objective", "join-objective must not exceed client-timeout");
        room.benefit = node.number("benefit", 0.0001, 1e6, 1);
        const std::string setUp = node.choice("set-up", {"free", "paid", "keyed"}, "free");
        room.paid = setUp == "paid";
        room.keyed = setUp == "keyed";
        if (room.keyed) room.repeatWithin = node.duration("repeat-within", 0, kHour, timeout);
        room.rateFactor = node.number("rate-factor", 0.01, 100, 1);
        room.floor = static_cast<int>(node.integer("floor", 0, last, 0));
        room.top = static_cast<int>(node.integer("top", room.floor, last, last));
        room.seats = static_cast<int>(node.integer("seats", 0, 1'000'000, 0));
        room.live = node.flag("live", false);
        node.rejectUnread();
        out.types.push_back(std::move(room));
        out.clientTimeouts.push_back(timeout);
    }
    if (out.types.empty()) top.fail("at least one 'room-type' is required");
    return out;
}

Machines readMachines(NodeReader& top) {
    Machines out;
    NodeReader node = top.requiredChild("fleet");
    Fleet& fleet = out.fleet;
    fleet.cells = static_cast<int>(node.integer("cells", 1, 100'000));
    fleet.racks = static_cast<int>(node.integer("racks", 1, 10'000, 1));
    fleet.linksKb = node.number("links-kb", 0, 1e12);
    fleet.linkKbPerSize = node.number("link-kb-per-size", 0, 1e9, 0);
    fleet.uplinkKb = node.number("uplink-kb", 0, 1e12, 0);
    fleet.hasSizes = fleet.linkKbPerSize > 0;
    fleet.listOnRequest = true;
    fleet.fullThreshold = node.number("full-from", 0, 100, 0);
    for (NodeReader& zone : node.childrenNamed("zone")) {
        const std::string name = zone.argument("its name");
        if (name.empty() || std::find(out.zones.begin(), out.zones.end(), name) != out.zones.end())
            zone.fail("the name of a zone must be unique and not empty");
        if (out.zones.size() >= 1'000) zone.fail("'fleet' has more than 1000 zones");
        out.zones.push_back(name);
        zone.rejectUnread();
    }
    for (NodeReader& kind : node.childrenNamed("kind")) {
        out.kinds.push_back(kind.argument("its name"));
        fleet.places.push_back(static_cast<int>(kind.integer("places", 1, 1'000'000)));
        kind.rejectUnread();
    }
    if (out.kinds.empty()) node.fail("'fleet' has no machine kinds; example: kind \"NAME\" places=20");
    node.rejectUnread();
    return out;
}

ColdStartLimits readColdStartLimits(NodeReader& top) {
    ColdStartLimits out;
    auto node = top.optionalChild("cold");
    if (!node) return out;
    out.warmUp = node->duration("warm-up", 0, kHour);
    out.firstShare = node->number("first-share", 0.01, 1);
    out.fallMultiple = node->number("fall-multiple", 0.1, 100);
    out.tipAfter = node->duration("tip-after", 1'000, kHour);
    node->rejectUnread();
    return out;
}

std::optional<JoinBudget> readJoinBudget(NodeReader& top) {
    auto node = top.optionalChild("join-budget");
    if (!node) return std::nullopt;
    JoinBudget out;
    out.free = node->number("free", 0, 1e6);
    out.share = node->number("share", 0, 10);
    out.window = node->duration("window", 100'000, kHour);
    node->rejectUnread();
    return out;
}

ReportTiming readReportTiming(NodeReader& top) {
    ReportTiming out;
    NodeReader node = top.childOrDefaults("tidings");
    out.late = 100'000;
    out.every = kSecond;
    out.late = node.duration("late", 0, 60 * kSecond, out.late);
    out.every = node.duration("every", 0, 60 * kSecond, out.every);
    if (out.every > 0 && out.every < 100'000)
        node.failProperty("every",
                          "every must be \"0s\" (media servers send no reports) or at least \"100ms\"");
    node.rejectUnread();
    return out;
}

ServingCosts readServingCosts(NodeReader& top) {
    ServingCosts out;
    NodeReader node = top.childOrDefaults("prices");
    out.crossZone = node.number("cross-zone", 0, 1, 0);
    node.rejectUnread();
    return out;
}

SubscriptionLimits readSubscriptionLimits(NodeReader& top) {
    SubscriptionLimits out;
    out.maxJoins = 3;
    out.retryAfter = true;
    out.maxRetryAfter = 2 * kSecond;
    NodeReader node = top.childOrDefaults("allowed");
    out.maxJoins = static_cast<int>(node.integer("joins", 1, 100, out.maxJoins));
    out.maxRetryAfter = node.duration("come-back-at-most", 0, kHour, out.maxRetryAfter);
    out.retryAfter = out.maxRetryAfter > 0;
    node.rejectUnread();
    return out;
}

Talks readTalks(NodeReader& top, const Fleet& fleet) {
    Talks out;
    for (NodeReader& node : top.childrenNamed("talk")) {
        const std::string name = node.argument("its title");
        if (name.empty() || name.find('/') != std::string::npos || out.count(name))
            node.fail("the title of a talk must be unique, not empty and without '/'");
        Talk talk;
        talk.firstCell = Cell{static_cast<std::uint32_t>(node.integer("first-cell", 0, fleet.cells - 1, 0))};
        talk.holders = static_cast<int>(node.integer("holders", 1, fleet.cells, fleet.cells));
        node.rejectUnread();
        out.emplace(name, talk);
    }
    if (out.empty()) top.fail("at least one 'talk' is required");
    return out;
}

}  // namespace valekeel::settings
