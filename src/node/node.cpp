#include "node/node.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>

#include "node/changelog.hpp"
#include "node/servers.hpp"
#include "node/viewers.hpp"
#include "settings/document.hpp"
#include "setup/setup.hpp"

namespace valekeel::node {
namespace {

using setup::Json;

constexpr Micros kStatusEvery = 5 * kSecond;
constexpr Micros kAnswerMargin = 30'000;  // before a client timeout

// A planned restart, by the platform's page: after SIGTERM connections go on coming for up to 0.4 s and
// requests for 0.2 s more; SIGKILL comes no sooner than the longest client timeout, counted as 3 s where it
// is longer, and 0.7 s after SIGTERM. From that, counted from when SIGTERM was heard here:
//   0 to 0.7 s     all is taken as before. What has come by then is not lost if SIGKILL finds it open.
//   from 0.7 s     the end comes once nothing is open, plays or waits to be told, and some turns of the loop
//                  brought nothing: what lay unread has been read by then.
//   kill - 0.4 s   what plays is released, here and at its media server, which has 0.25 s to confirm; what
//                  begins to play later is released at once; what still asks is refused.
//   kill - 0.15 s  what is still open is answered as failed: those that came last and wait longest have had
//                  all but 0.05 s of their time. Then all connections are closed, by half-closes.
//   kill - 0.05 s  the end, also where somebody has not closed his side.
// The margins are for a slice of a core, where some milliseconds of work are ten times as many of the clock.
constexpr Micros kStopComing = 700'000;
constexpr Micros kMostCounted = 3 * kSecond;
constexpr Micros kReleaseBefore = 400'000, kAnswerBefore = 150'000, kEndBefore = 50'000;
constexpr Micros kStopLook = 20'000;
constexpr int kQuietLooks = 3;  // on end, at which nothing had come since the one before

net::Endpoint endpointAt(const Json& object, const char* key, const std::string& where) {
    const std::string told = setup::text(object, key, where);
    if (const auto at = net::parseEndpoint(told)) return *at;
    setup::throwInvalid(where,
                        std::string("'") + key + "' is '" + told + "', and should be an address and a port");
}

// Where it is to connect to; nobody can be at port 0.
net::Endpoint changeLogOf(const Json& all, const std::string& file) {
    const net::Endpoint at = endpointAt(all, "changelog", file);
    if (at.port == 0)
        setup::throwInvalid(
            file, "'changelog' is '" + net::toString(at) + "', and should be an address and a port");
    return at;
}

// A part of the configuration; where it is missing, the nearest name that is there.
const Json& partOf(const Json& all, const char* key, const std::string& file) {
    if (all.contains(key)) return setup::objectAt(all, key, file);
    std::set<std::string, std::less<>> names;
    for (const auto& [name, value] : all.items()) names.insert(name);
    const std::string near = settings::nearest(key, names);
    setup::throwInvalid(
        file, std::string("'") + key + "' is missing" + (near.empty() ? "" : "; there is a '" + near + "'"));
}

std::size_t descriptors(const Json& all, const std::string& file) {
    const auto told = setup::integer(partOf(all, "limits", file), "sockets", file + ": limits");
    if (told < 64)
        setup::throwInvalid(file + ": limits", "'sockets' is " + std::to_string(told) + ", and 64 at least");
    return static_cast<std::size_t>(std::min<std::int64_t>(told, 100'000));
}

Micros longestTimeout(const Json& settings, const std::string& where) {
    Micros longest = 0;
    for (const Json& room : setup::array(settings, "request_classes", where))
        longest = std::max(longest, setup::duration(room, "deadline", where));
    return longest;
}

ServerLimits serverLimits(const Json& settings, std::size_t descriptors, const std::string& where) {
    const Json& allowed = setup::objectAt(settings, "allowed", where);
    ServerLimits out;
    out.links = descriptors / 3;
    out.joinsOnLink = static_cast<std::size_t>(
        std::clamp<double>(setup::numberOr(allowed, "max_streams", 32, where), 1, 1024));
    if (const Micros told = setup::durationOrZero(allowed, "connect_timeout", where); told > 0)
        out.connectWithin = told;
    if (const Micros told = setup::durationOrZero(allowed, "conn_idle", where); told > 0) {
        out.idle = told / 2;
        out.sureFor = told / 4;
    }
    // Where notes come by themselves, a silence of several of them is a sign.
    if (const Micros every = setup::parseReportTiming(settings, where).every; every > 0)
        out.silent = std::clamp<Micros>(3 * every / 2, 1'500'000, 4'000'000);
    return out;
}

ViewerLimits viewerLimits(const Json& settings, std::size_t descriptors, const std::string& where) {
    ViewerLimits out;
    out.connections = descriptors / 2;
    out.longestWait = 10 * longestTimeout(settings, where);
    return out;
}

Asked askedOf(const Json& settings, const std::string& where) {
    Asked out;
    const Ladder ladder = setup::parseLadder(settings, where);
    for (const RoomType& room : setup::parseRoomTypes(settings, ladder, where))
        out.rooms.push_back(room.name);
    out.rungs = static_cast<int>(ladder.kb.size());
    out.cells = setup::parseFleet(settings, setup::parseNames(settings, where), where).cells;
    return out;
}

}  // namespace

Json readConfiguration(const std::string& file, const std::string& text) {
    try {
        Json all = Json::parse(text);
        if (!all.is_object()) setup::throwInvalid(file, "an object is expected");
        return all;
    } catch (const Json::parse_error& e) {
        const std::size_t at = std::min(e.byte > 0 ? e.byte - 1 : 0, text.size());
        const auto line = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n') + 1;
        const auto before = at == 0 ? std::string::npos : text.rfind('\n', at - 1);
        const std::size_t column = at - (before == std::string::npos ? 0 : before + 1) + 1;
        setup::throwInvalid(file + ":" + std::to_string(line) + ":" + std::to_string(column),
                            "no valid JSON here");
    }
}

std::uint64_t seedOf(const Json& all) {
    const std::string told = setup::text(all, "seed", "configuration");
    std::uint64_t seed = 0;
    const auto [end, wrong] = std::from_chars(told.data(), told.data() + told.size(), seed, 16);
    if (wrong != std::errc{} || end != told.data() + told.size())
        setup::throwInvalid("configuration", "'seed' is no hex number");
    return seed;
}

struct Node::Parts final : core::CoreObserver, ChangeLogHandler {
    Parts(net::Net& net, const std::string& file, const Json& all, logging::Log& log)
        : net(net),
          file(file),
          log(log),
          settings(partOf(all, "settings", file)),
          where(file + ": settings"),
          names(setup::parseNames(settings, where)),
          listNames(names.kinds, names.zones),
          killed(std::min(kMostCounted, longestTimeout(settings, where)) + kStopComing),
          changelogAt(changeLogOf(all, file)),
          known(knownEvents(partOf(all, "known", file), listNames)),
          viewers(net, endpointAt(all, "listen", file), viewerLimits(settings, descriptors(all, file), where),
                  askedOf(settings, where)),
          servers(net, serverLimits(settings, descriptors(all, file), where), viewers),
          core(net, setup::parseRoomTypes(settings, setup::parseLadder(settings, where), where),
               core::CoreLimits{20'000, kAnswerMargin, 0}, kSecond, servers, *this,
               [&](Host& host, Micros now) {
                   return setup::makeDecider<core::LogicModule>(host, now, seedOf(all), settings, where);
               }),
          log_(net, changelogAt, known.empty() ? 0 : known.back().number,
               FrameReader(names.kinds.size(), names.zones.size(), 4096), ChangeLogTimes{}, *this),
          status(net, [this] { tellStatus(); }),
          stopping(net, [this] { mayStop(); }) {
        const auto odd = [this](const char* what, std::string_view detail) {
            say(logging::Level::Warning, what, {{"seen", detail.substr(0, 400)}});
        };
        viewers.onOdd(odd);
        servers.onOdd(odd);
        viewers.connect(core, servers);
        servers.connect(core);
        for (const ChangeEvent& event : known) take(event, true);
        known.clear();
        viewers.listen();
        log_.start();
        status.after(kStatusEvery);
    }

    // ---- the list ----
    Micros onOurClock(Micros unix) const {
        return unix <= 0 ? 0 : std::max<Micros>(1, net.now() - (net.wallNow() - unix));
    }
    void take(const ChangeEvent& event, bool stale) {
        std::vector<SfuEntry> entries;
        std::vector<std::pair<SfuId, Micros>> anew;
        std::set<SfuId> named;
        for (const discovery::ServerListEntry& line : event.boxes) {
            SfuEntry entry = line.sfu;
            const Micros started = line.sfu.launched;
            const auto it = listed.find(entry.id);
            const bool held = it != listed.end();
            // A start that is told again is the same moment. Guards against taking it for a new start by what
            // the two clocks have drifted apart, or the wall clock was set, in between.
            entry.launched =
                held && started == it->second.started ? it->second.entry.launched : onOurClock(started);
            entries.push_back(entry);
            named.insert(entry.id);
            if (entry.standing != ServerState::Off && !servers.knows(entry.id))
                servers.setAddress(entry.id, line.endpoint);
            if (held && started > it->second.started) anew.emplace_back(entry.id, entry.launched);
            if (entry.standing == ServerState::Off)
                listed.erase(entry.id);
            else
                listed[entry.id] = {entry, started};
        }
        std::vector<SfuId> off;
        if (event.whole) {
            for (const auto& [id, one] : listed)
                if (!named.count(id)) off.push_back(id);
            for (const SfuId id : off) listed.erase(id);
            core.onServerList(entries, stale);
        } else {
            core.onServerListChange(entries);
        }
        // Only now: what the servers' side takes back is placed again at once, by what the module has just
        // heard.
        for (const discovery::ServerListEntry& line : event.boxes)
            if (line.sfu.standing != ServerState::Off) servers.setAddress(line.sfu.id, line.endpoint);
        for (const auto& [id, launched] : anew) servers.onRestarted(id, launched);
        for (const SfuEntry& entry : entries) {
            if (entry.standing == ServerState::Off) off.push_back(entry.id);
            if (entry.standing == ServerState::Draining) servers.onDraining(entry.id);
        }
        for (const SfuId id : off) servers.remove(id);
    }
    void changed(const ChangeEvent& event) override {
        nlohmann::ordered_json told{{"number", event.number}, {"whole", event.whole}};
        for (const discovery::ServerListEntry& line : event.boxes)
            told["boxes"].push_back({line.sfu.id.v, static_cast<int>(line.sfu.standing)});
        say(logging::Level::Info, "list", std::move(told));
        take(event, false);
    }
    // What was known at the start is as new as the change log, once that has nothing more to tell.
    void current() override {
        if (isCurrent) return;
        isCurrent = true;
        std::vector<SfuEntry> all;
        for (const auto& [id, one] : listed) all.push_back(one.entry);
        core.onServerList(all, false);
        say(logging::Level::Info, "list current", {{"boxes", all.size()}});
    }
    void unreachable(const std::string& why) override {
        say(logging::Level::Warning, "change log lost", {{"why", why}, {"last", log_.last()}});
        core.onServerListFailure();
    }

    // ---- core::Watcher ----
    void onClosed(SubId id, std::string_view) override {
        servers.forget(id);
        viewers.forget(id);
    }
    void onGuardTriggered(SubId id) override {
        say(logging::Level::Error, "answered by the guard", {{"sub", id.v}});
    }
    void onPlacement(SubId, SfuId, const double* score, int among, std::uint64_t) override {
        fits += score != nullptr;
        chosen += 1;
        holders += among;
    }
    void onJoinSent(SubId id, int no, SfuId at, int rung, Micros timeOut) override {
        if (log.isEnabled(logging::Level::Debug))
            say(logging::Level::Debug, "join",
                {{"sub", id.v}, {"no", no}, {"at", at.v}, {"rung", rung}, {"time_out", timeOut}});
    }
    void onJoinEnded(SubId id, int no, SfuId at, const core::JoinOutcome& how) override {
        ++ends[static_cast<std::size_t>(how.result)];
        if (how.result != JoinResult::Played && log.isEnabled(logging::Level::Debug))
            say(logging::Level::Debug, "join ended",
                {{"sub", id.v}, {"no", no}, {"at", at.v}, {"why", how.why}, {"took", how.took}});
    }

    void say(logging::Level level, std::string_view what, nlohmann::ordered_json fields) {
        log.write(level, net.now(), net.wallNow(), what, std::move(fields));
    }
    void tellStatus() {
        status.after(kStatusEvery);
        const auto& c = core.counts();
        const auto& v = viewers.counts();
        const auto& s = servers.counts();
        say(logging::Level::Info, "status",
            {{"held", core.subscriptionCount()},
             {"unanswered", core.unansweredCount()},
             {"conns", viewers.connections()},
             {"links", servers.links()},
             {"out", servers.out()},
             {"standing", servers.standing()},
             {"boxes", listed.size()},
             {"asked", c.requested},
             {"played", c.played},
             {"throttled", c.throttled},
             {"terminated", c.terminated},
             {"left", c.left},
             {"broke", c.lost},
             {"joins", c.joins},
             {"guarded", c.guardAnswers},
             {"chosen", chosen},
             {"fits", fits},
             {"among", chosen ? holders / static_cast<double>(chosen) : 0},
             {"ends", ends},
             {"viewers",
              {{"accepted", v.accepted},
               {"evicted", v.evicted},
               {"silent", v.silent},
               {"unreadable", v.unreadable},
               {"unusable", v.unusable},
               {"twice", v.twice},
               {"handed_over", v.handedOver},
               {"given_up", v.givenUp},
               {"left_standing", v.leftStanding},
               {"released", v.released},
               {"untold", v.untold}}},
             {"servers",
              {{"connects", s.connects},
               {"refused", s.refused},
               {"no_connect", s.noConnect},
               {"broken", s.broken},
               {"garbled", s.garbled},
               {"unknown", s.unknown},
               {"early", s.early},
               {"figures", s.figures},
               {"withdrawn", s.withdrawn},
               {"owed", servers.owed()},
               {"ends_paid_late", s.endsPaidLate},
               {"ends_dropped", s.endsDropped},
               {"notes", s.notes},
               {"looked_for", s.lookedFor},
               {"found_gone", s.foundGone}}}});
    }

    // ---- the end ----
    void mayStop() {
        stopping.after(kStopLook);
        const Micros since = net.now() - stopAt;
        const auto past = [&](Micros before) { return since >= std::max(kStopComing, killed - before); };
        // Only looks after that time count: a process that had no turn for a while looks before it reads.
        quietLooks = since >= kStopComing && arrivals == viewers.arrivals() ? quietLooks + 1 : 0;
        arrivals = viewers.arrivals();
        const bool nothing =
            core.unansweredCount() == 0 && core.subscriptionCount() == 0 && viewers.untold() == 0;
        if (past(kReleaseBefore)) viewers.releaseAll();
        if (past(kAnswerBefore)) viewers.answerAll();
        closing |= past(kAnswerBefore) || (since >= kStopComing && nothing && quietLooks >= kQuietLooks);
        if (!closing) return;
        viewers.closeAll();
        if (viewers.connections() + viewers.lingering() > 0 && !past(kEndBefore)) return;
        stopping.cancel();
        say(logging::Level::Info, "stopped", {{"after", since}});
        if (done) std::exchange(done, {})();
    }

    net::Net& net;
    std::string file;
    logging::Log& log;
    Json settings;
    std::string where;
    setup::Names names;
    discovery::ListNames listNames;
    Micros killed;  // no sooner, after SIGTERM
    net::Endpoint changelogAt;
    std::vector<ChangeEvent> known;
    struct Listed {
        SfuEntry entry;      // its start on our clock
        Micros started = 0;  // ... and as told, since 1970
    };
    std::map<SfuId, Listed> listed;
    bool isCurrent = false;
    std::uint64_t chosen = 0, fits = 0;
    double holders = 0;
    std::array<std::uint64_t, 8> ends{};  // of joins, by JoinResult
    Viewers viewers;
    Servers servers;
    core::Core core;
    ChangeLog log_;
    net::Timer status, stopping;
    Micros stopAt = 0;
    std::uint64_t arrivals = 0;
    int quietLooks = 0;
    bool closing = false;
    std::function<void()> done;
};

Node::Node(net::Net& net, const std::string& file, const std::string& text, logging::Log& log)
    : parts_(std::make_unique<Parts>(net, file, readConfiguration(file, text), log)) {}
Node::~Node() = default;

net::Endpoint Node::endpoint() const {
    return parts_->viewers.endpoint();
}

std::size_t Node::remembered() const {
    const Parts& p = *parts_;
    return p.core.subscriptionCount() + p.viewers.remembered() + p.servers.out() + p.servers.standing();
}
std::size_t Node::connections() const {
    return parts_->viewers.connections() + parts_->viewers.lingering();
}

void Node::reread(const std::string& text) {
    try {
        const Json all = readConfiguration(parts_->file, text);
        const net::Endpoint to = changeLogOf(all, parts_->file);
        parts_->say(logging::Level::Info, "configuration replaced", {{"changelog", net::toString(to)}});
        parts_->log_.moveTo(to);
    } catch (const setup::InvalidValue& wrong) {
        parts_->say(logging::Level::Error, "configuration passed over", {{"why", wrong.what()}});
    }
}

void Node::stop(std::function<void()> done) {
    if (parts_->done) return;
    parts_->done = std::move(done);
    parts_->stopAt = parts_->net.now();
    parts_->say(logging::Level::Info, "stopping", {});
    parts_->mayStop();
}

}  // namespace valekeel::node
