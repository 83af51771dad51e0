#include "rehearse/day.hpp"

#include <cmath>
#include <set>

namespace valekeel::rehearse {

using settings::Cursor;

const std::vector<TroubleKind>& troubleKinds() {
    static const std::vector<TroubleKind> kKinds = {
        {"box-dies", "boxes die at once and come back cold", "crash", {"box", "for"}},
        {"box-silent", "boxes neither answer nor reset, and come back cold", "vanish", {"box", "for"}},
        {"box-pauses", "boxes stand still, then answer everything at once", "", {"box", "for"}},
        {"box-drains", "boxes are listed as fading, then go", "deploy", {"box", "for", "time"}},
        {"rolling-deploy",
         "boxes drain, go and come back cold, batch after batch",
         "deploy",
         {"box", "for", "time"}},
        {"boxes-taken", "boxes are taken away a second after a notice", "preempt", {"box", "for"}},
        {"boxes-age", "set-ups grow slower and slower, then one crash", "ageing", {"box", "for", "size"}},
        {"fails-fast", "boxes fail a part of the set-ups quickly", "fast_errors", {"box", "for", "size"}},
        {"lies-idle",
         "boxes fail set-ups while their CMSD says that they are idle",
         "",
         {"box", "for", "size"}},
        {"answers-lost",
         "set-ups play, but a part of the answers is lost",
         "answer_lost",
         {"box", "for", "size"}},
        {"answers-late", "boxes answer each request so much later", "", {"box", "for", "time"}},
        {"set-ups-slow",
         "a neighbour takes the boxes' time: set-ups take longer",
         "neighbour",
         {"box", "for", "size"}},
        {"link-weak", "links of boxes give so many times less", "slow", {"box", "for", "size"}},
        {"all-links-weak", "all links give so many times less", "shared_slow", {"for", "size"}},
        {"uplink-weak", "uplinks of racks give so many times less", "origin_slow", {"rack", "for", "size"}},
        {"reports-late", "figures of use are so old", "report_late", {"for", "time"}},
        {"list-unreachable", "the list of boxes is out of reach", "discovery_down", {"for"}},
        {"list-late", "the list's news come so much later", "", {"for", "time"}},
        {"list-repeats", "the list's news come twice, the second time late", "", {"for"}},
        {"list-skips", "every other piece of the list's news is lost", "", {"for"}},
        {"list-cut", "the list's stream is cut in the middle of an event", "", {}},
        {"front-dies", "fronts are killed and started again", "balancer_roll", {"front", "for"}},
        {"front-stops", "fronts are asked to stop, and started again", "", {"front", "for"}},
        {"front-stalls", "fronts stand still, then go on", "balancer_stall", {"front", "for"}},
        {"rush", "so many more players come within this time", "burst", {"for", "size"}},
        {"messages-lost",
         "messages between fronts are lost: there are none, so nothing happens",
         "peer_down",
         {"for"}},
    };
    return kKinds;
}

namespace {

constexpr Micros kDay = 86'400 * kSecond;

std::vector<int> numbersOf(Cursor& node, const char* name, int most) {
    std::vector<int> out;
    for (Cursor& child : node.each(name)) {
        for (const double v : child.numbers(name, 0, most - 1)) out.push_back(static_cast<int>(v));
        child.finish();
    }
    return out;
}

}  // namespace

Day readDay(const settings::Document& document) {
    Day day;
    Cursor top(document);
    Cursor head = top.need("day");
    day.name = head.argument("its name");
    day.length = head.time("length", kSecond, kDay);
    day.seed = static_cast<std::uint64_t>(head.whole("seed", 0, 1'000'000'000, 1));
    day.fronts = static_cast<int>(head.whole("fronts", 1, 64, 1));
    day.boxes = static_cast<int>(head.whole("boxes", 1, 10'000));
    day.linkKb = head.number("link-kb", 0.1, 1e9);
    head.finish();

    Cursor site = top.need("site");
    day.siteNodes = site.node()->children;
    day.ladder = settings::readLadder(site);
    day.rooms = settings::readRoomTypes(site, day.ladder);
    day.machines = settings::readMachines(site);
    const ColdTerms cold = settings::readColdTerms(site);
    const auto budget = settings::readJoinBudget(site);
    settings::readTidings(site);
    settings::readAllowed(site);
    const settings::Talks talks = settings::readTalks(site, day.machines.fleet);
    for (const char* passed : {"viewers", "boxes", "hints", "admission"})
        site.one(passed);  // a front reads them
    site.finish();

    standins::BoxMake& make = day.make;
    if (auto node = top.one("box-make")) {
        make.segment = node->time("segment", 100'000, 60 * kSecond, kSecond);
        make.segments = static_cast<int>(node->whole("segments", 1, 100'000, 600));
        make.setUp = node->time("set-up", 0, 60 * kSecond, 60'000);
        make.setUpsAtOnce = static_cast<int>(node->whole("set-ups-at-once", 1, 10'000, 8));
        make.forgetAfter = node->time("forget-after", kSecond, kDay, make.forgetAfter);
        make.byteRanges = node->flag("byte-ranges", false);
        node->finish();
    }
    make.rungKb = day.ladder.kb;
    make.warmUp = day.terms.warmUp = cold.warmUp;
    make.firstShare = day.terms.firstShare = cold.firstShare;
    if (cold.warmUp > 0) {
        make.fallMultiple = day.terms.fallMultiple = cold.fallMultiple;
        make.tipAfter = day.terms.tipAfter = cold.tipAfter;
    }
    for (std::size_t i = 0; i < day.rooms.types.size(); ++i) {
        const RoomType& r = day.rooms.types[i];
        make.rateFactors[r.name] = r.rateFactor;
        make.floors[r.name] = r.floor;
        day.terms.rooms[r.name] = {day.rooms.clientTimeouts[i], r.paid, r.floor, r.seats};
    }
    if (budget) {
        day.terms.budgeted = true;
        day.terms.budgetFree = budget->free;
        day.terms.budgetShare = budget->share;
        day.terms.budgetWindow = budget->window;
    }

    for (Cursor& node : top.each("crowd")) {
        Crowd crowd;
        crowd.players = static_cast<int>(node.whole("players", 0, 1'000'000));
        crowd.at = node.time("at", 0, kDay, 0);
        crowd.over = node.time("over", 1, kDay);
        crowd.watchLeast = node.time("watch-least", 0, kDay);
        crowd.watchMost = node.time("watch-most", crowd.watchLeast, kDay);
        crowd.badHints = node.number("bad-hints", 0, 1, 0);
        crowd.smallScreens = node.number("small-screens", 0, 1, 0);
        crowd.honours = node.number("honours", 0, 1, 1);
        crowd.returns = static_cast<int>(node.whole("returns", 0, 1'000, 1));
        for (Cursor& room : node.each("room")) {
            const std::string name = room.argument("a room type");
            const auto id = day.rooms.find(name);
            if (!id) room.wrong("room type '" + name + "' is not among the site's");
            const RoomType& r = day.rooms.types[id->v];
            crowd.rooms.push_back(
                {room.number("part", 0, 1e6, 1),
                 {name, day.rooms.clientTimeouts[id->v], r.joinObjective, r.paid, r.benefit}});
            room.finish();
        }
        if (crowd.rooms.empty()) node.wrong("a crowd is expected to name rooms: room \"NAME\" part=...");
        const double zipf = node.number("zipf", 0, 5, 0.8);
        std::size_t rank = 1;
        for (const auto& [title, talk] : talks)
            crowd.titles.emplace_back(1 / std::pow(static_cast<double>(rank++), zipf), title);
        node.finish();
        day.crowds.push_back(std::move(crowd));
    }

    std::set<std::string, std::less<>> names;
    for (const TroubleKind& k : troubleKinds()) names.insert(k.name);
    for (Cursor& node : top.each("trouble")) {
        DayTrouble t;
        t.kind = node.argument("its kind");
        if (!names.count(t.kind)) {
            const std::string near = settings::nearest(t.kind, names);
            node.wrong("'" + t.kind + "' is no kind of trouble" +
                       (near.empty() ? "" : "; did you mean '" + near + "'?"));
        }
        t.at = node.time("at", 0, day.length);
        t.lasts = node.time("for", 0, kDay, 0);
        t.size = node.number("size", 0, 1e6, 1);
        t.time = node.time("time", 0, kDay, 0);
        for (const int box : numbersOf(node, "box", day.boxes)) t.boxes.push_back(box);
        for (const int rack : numbersOf(node, "rack", day.machines.fleet.racks)) t.boxes.push_back(rack);
        for (const int front : numbersOf(node, "front", day.fronts)) t.boxes.push_back(front);
        node.finish();
        day.troubles.push_back(std::move(t));
    }
    top.finish();
    return day;
}

}  // namespace valekeel::rehearse
