#include "simulation/scenario.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <stdexcept>

namespace valekeel::simulation {

using settings::NodeReader;

const std::vector<FaultKind>& faultKinds() {
    static const std::vector<FaultKind> kKinds = {
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
        {"member-weak", "links of members give so many times less", "", {"member", "for", "size"}},
        {"member-cut", "links of members give nothing", "", {"member", "for"}},
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

std::vector<int> numbersOf(NodeReader& node, const char* name, int most) {
    std::vector<int> out;
    for (NodeReader& child : node.childrenNamed(name)) {
        for (const double v : child.numbers(name, 0, most - 1)) out.push_back(static_cast<int>(v));
        child.rejectUnread();
    }
    return out;
}

std::vector<std::pair<double, fakes::PlayerRoom>> roomsOf(NodeReader& node, const Scenario& day) {
    std::vector<std::pair<double, fakes::PlayerRoom>> out;
    for (NodeReader& room : node.childrenNamed("room")) {
        const std::string name = room.argument("a room type");
        const auto id = day.rooms.find(name);
        if (!id) room.fail("room type '" + name + "' is not among the site's");
        const RoomType& r = day.rooms.types[id->v];
        out.push_back({room.number("part", 0, 1e6, 1),
                       {name, day.rooms.clientTimeouts[id->v], r.joinObjective, r.paid, r.benefit}});
        room.rejectUnread();
    }
    if (out.empty()) node.fail("rooms are expected: room \"NAME\" part=...");
    return out;
}

// Wanted by a Zipf law, in the order of their names.
std::vector<std::pair<double, std::string>> titlesOf(NodeReader& node, const settings::Talks& talks) {
    const workload::Zipf wanted(talks.size(), node.number("zipf", 0, 5, 0.8), 0);
    std::vector<std::pair<double, std::string>> out;
    for (const auto& [title, talk] : talks) out.emplace_back(wanted.probability(out.size()), title);
    return out;
}

int memberNamed(NodeReader& node, const Scenario& day) {
    const std::string member = node.text("member");
    const auto it = std::find_if(day.members.begin(), day.members.end(),
                                 [&](const Member& m) { return m.name == member; });
    if (it == day.members.end()) node.failProperty("member", "'" + member + "' is none of the members");
    return static_cast<int>(it - day.members.begin());
}

Audience readAudience(NodeReader& node, const Scenario& day, const settings::Talks& talks) {
    Audience a;
    node.argumentsAsText();  // a name, for who changes its settings
    const double rate = node.number("rate", 0, 1e6), swing = node.number("swing", 0, 1, 0);
    const Micros from = node.duration("at", 0, kDay, 0);
    const Micros until = node.duration("until", from, kDay, day.length);
    const Micros period = node.duration("period", kSecond, kDay, std::max<Micros>(kSecond, until - from));
    a.watchMedian = node.duration("watch", 1, kDay);
    a.watchSigma = node.number("watch-sigma", 0, 5, 0.6);
    a.patience = node.duration("patience", 100'000, kDay, 5 * kSecond);
    a.stallWeight = node.number("stall-weight", 0, 100, 1);
    a.returns = static_cast<int>(node.integer("returns", 0, 1'000, 1));
    a.back = node.duration("back", 0, kDay, 500'000);
    a.honours = node.number("honours", 0, 1, 1);
    a.atOnce = node.number("at-once", 0, 1, 0);
    a.badHints = node.number("bad-hints", 0, 1, 0);
    a.smallScreens = node.number("small-screens", 0, 1, 0);
    a.ownAbr = node.number("own-abr", 0, 1, 0);
    a.startWith = node.duration("start-with", 0, kDay, kSecond);
    a.bufferMost = node.duration("buffer", kSecond, kDay, 8 * kSecond);
    const double zipf = node.number("zipf", 0, 5, 0.8), hot = node.number("hot", 0, 1, 0);
    a.wanted = workload::Zipf(talks.size(), zipf, hot);
    if (node.has("member")) a.member = memberNamed(node, day);
    a.rooms = roomsOf(node, day);
    for (const auto& [title, talk] : talks) a.titles.push_back(title);
    std::vector<workload::Flash> flashes;
    for (NodeReader& one : node.childrenNamed("flash")) {
        flashes.push_back(
            {one.duration("at", 0, kDay), one.duration("for", 1, kDay), one.number("times", 0, 1e4)});
        one.rejectUnread();
    }
    a.stream = workload::Arrivals(rate, from, until, swing, period, std::move(flashes));
    for (NodeReader& one : node.childrenNamed("train")) {
        Audience::Train t;
        t.viewers = static_cast<int>(one.integer("viewers", 0, 1'000'000));
        t.at = one.duration("at", 0, kDay);
        t.over = one.duration("over", 0, kDay, kSecond);
        t.member = memberNamed(one, day);
        one.rejectUnread();
        a.trains.push_back(t);
    }
    node.rejectUnread();
    return a;
}

}  // namespace

std::string withSettings(const std::string& file, const std::string& text,
                         const std::vector<std::pair<std::string, std::string>>& changes) {
    std::vector<settings::Node> nodes = settings::parseKdl(file, text);
    for (const auto& [path, value] : changes) {
        const auto at = path.find('@');
        if (at == std::string::npos || at == 0 || at + 1 == path.size())
            throw std::invalid_argument("'" + path + "': a setting is named as NODE/NODE@PROPERTY");
        settings::Value now;
        const auto read = settings::parseDuration(value) ? std::vector<settings::Node>{}
                                                         : settings::parseKdl("a value", "v " + value);
        if (read.size() == 1 && read[0].arguments.size() == 1)
            now = read[0].arguments[0];
        else
            now.data = value;
        std::vector<settings::Node*> here;
        for (settings::Node& n : nodes) here.push_back(&n);
        std::string rest = path.substr(0, at);
        for (;;) {
            const auto slash = rest.find('/');
            std::string name = rest.substr(0, slash);
            std::optional<std::string> only;
            if (const auto bracket = name.find('['); bracket != std::string::npos && name.back() == ']') {
                only = name.substr(bracket + 1, name.size() - bracket - 2);
                name.resize(bracket);
            }
            std::erase_if(here, [&](const settings::Node* n) {
                if (n->name != name) return true;
                if (!only) return false;
                const auto* text =
                    n->arguments.empty() ? nullptr : std::get_if<std::string>(&n->arguments.front().data);
                return !text || *text != *only;
            });
            if (slash == std::string::npos) break;
            rest = rest.substr(slash + 1);
            std::vector<settings::Node*> within;
            for (settings::Node* n : here)
                for (settings::Node& child : n->children) within.push_back(&child);
            here = std::move(within);
        }
        if (here.empty()) throw std::invalid_argument("'" + path + "': " + file + " has no such node");
        for (settings::Node* n : here) {
            const std::string property = path.substr(at + 1);
            const auto it = std::find_if(n->properties.begin(), n->properties.end(),
                                         [&](const auto& p) { return p.first == property; });
            if (it == n->properties.end())
                n->properties.emplace_back(property, now);
            else
                it->second = now;
        }
    }
    return settings::printKdl(nodes);
}

Scenario readScenario(const settings::Document& document) {
    Scenario day;
    NodeReader top(document);
    NodeReader head = top.requiredChild("day");
    day.name = head.argument("its name");
    day.length = head.duration("length", kSecond, kDay);
    day.seed = static_cast<std::uint64_t>(head.integer("seed", 0, 1'000'000'000, 1));
    day.fronts = static_cast<int>(head.integer("fronts", 1, 64, 1));
    day.boxes = static_cast<int>(head.integer("boxes", 1, 10'000));
    day.linkKb = head.number("link-kb", 0.1, 1e9);
    head.rejectUnread();

    NodeReader site = top.requiredChild("site");
    day.siteNodes = site.node()->children;
    day.ladder = settings::readLadder(site);
    day.rooms = settings::readRoomTypes(site, day.ladder);
    day.machines = settings::readMachines(site);
    const ColdStartLimits cold = settings::readColdStartLimits(site);
    const auto budget = settings::readJoinBudget(site);
    settings::readReportTiming(site);
    settings::readSubscriptionLimits(site);
    const settings::Talks talks = settings::readTalks(site, day.machines.fleet);
    for (const char* passed : {"viewers", "boxes", "hints", "admission"})
        site.optionalChild(passed);  // a front reads them
    site.rejectUnread();

    fakes::BoxConfig& make = day.make;
    if (auto node = top.optionalChild("box-make")) {
        make.segment = node->duration("segment", 100'000, 60 * kSecond, kSecond);
        make.segments = static_cast<int>(node->integer("segments", 1, 100'000, 600));
        make.setUp = node->duration("set-up", 0, 60 * kSecond, 60'000);
        make.setUpsAtOnce = static_cast<int>(node->integer("set-ups-at-once", 1, 10'000, 8));
        make.forgetAfter = node->duration("forget-after", kSecond, kDay, make.forgetAfter);
        make.byteRanges = node->flag("byte-ranges", false);
        node->rejectUnread();
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

    for (NodeReader& node : top.childrenNamed("crowd")) {
        Crowd crowd;
        crowd.players = static_cast<int>(node.integer("players", 0, 1'000'000));
        crowd.at = node.duration("at", 0, kDay, 0);
        crowd.over = node.duration("over", 1, kDay);
        crowd.watchLeast = node.duration("watch-least", 0, kDay);
        crowd.watchMost = node.duration("watch-most", crowd.watchLeast, kDay);
        crowd.badHints = node.number("bad-hints", 0, 1, 0);
        crowd.smallScreens = node.number("small-screens", 0, 1, 0);
        crowd.honours = node.number("honours", 0, 1, 1);
        crowd.returns = static_cast<int>(node.integer("returns", 0, 1'000, 1));
        crowd.rooms = roomsOf(node, day);
        crowd.titles = titlesOf(node, talks);
        node.rejectUnread();
        day.crowds.push_back(std::move(crowd));
    }

    if (auto node = top.optionalChild("members")) {
        for (NodeReader& one : node->childrenNamed("member")) {
            Member m;
            m.name = one.argument("its name");
            m.linkKb = one.number("link-kb", 0.1, 1e9);
            m.part = one.number("part", 0, 1e6, 1);
            one.rejectUnread();
            day.members.push_back(m);
        }
        node->rejectUnread();
    }
    for (NodeReader& node : top.childrenNamed("audience"))
        day.audiences.push_back(readAudience(node, day, talks));

    for (NodeReader& node : top.childrenNamed("callers")) {
        Callers c;
        c.callers = static_cast<int>(node.integer("callers", 0, 1'000'000));
        c.at = node.duration("at", 0, kDay, 0);
        c.over = node.duration("over", 1, kDay);
        c.talkLeast = node.duration("talk-least", 0, kDay);
        c.talkMost = node.duration("talk-most", c.talkLeast, kDay);
        c.t1 = node.duration("t1", 10'000, kSecond, 500'000);
        c.cancels = node.number("cancels", 0, 1, 0);
        c.weather.lose = node.number("lose", 0, 1, 0);
        c.weather.twice = node.number("twice", 0, 1, 0);
        c.weather.delayMost = node.duration("delay", 0, 10 * kSecond, 0);
        c.rooms = roomsOf(node, day);
        c.titles = titlesOf(node, talks);
        node.rejectUnread();
        day.callers.push_back(std::move(c));
    }

    std::set<std::string, std::less<>> names;
    for (const FaultKind& k : faultKinds()) names.insert(k.name);
    for (NodeReader& node : top.childrenNamed("trouble")) {
        ScheduledFault t;
        t.kind = node.argument("its kind");
        if (!names.count(t.kind))
            node.fail("'" + t.kind + "' is no kind of trouble" + settings::suggestionFor(t.kind, names));
        t.at = node.duration("at", 0, day.length);
        t.lasts = node.duration("for", 0, kDay, 0);
        t.size = node.number("size", 0, 1e6, 1);
        t.time = node.duration("time", 0, kDay, 0);
        for (const int box : numbersOf(node, "box", day.boxes)) t.boxes.push_back(box);
        for (const int rack : numbersOf(node, "rack", day.machines.fleet.racks)) t.boxes.push_back(rack);
        for (const int front : numbersOf(node, "front", day.fronts)) t.boxes.push_back(front);
        if (!day.members.empty())
            for (const int member : numbersOf(node, "member", static_cast<int>(day.members.size())))
                t.boxes.push_back(member);
        node.rejectUnread();
        day.troubles.push_back(std::move(t));
    }
    top.rejectUnread();
    return day;
}

}  // namespace valekeel::simulation
