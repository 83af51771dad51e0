#include "front/front.hpp"

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "admission/admission_controller.hpp"
#include "evidence/evidence_file.hpp"
#include "logging/log.hpp"

namespace valekeel::front {
namespace {

using settings::NodeReader;

constexpr Micros kHour = 3'600 * kSecond;

struct Told {  // all that the settings say, checked whole before anything starts
    std::string name;
    int fronts = 1;
    Ladder ladder;
    settings::RoomTypes rooms;
    settings::Machines machines;
    ColdStartLimits cold;
    std::optional<JoinBudget> budget;
    ReportTiming tidings;
    SubscriptionLimits allowed;
    ServingCosts prices;
    settings::Talks talks;
    net::Endpoint http;
    std::optional<net::Endpoint> sip;
    frontends::SipFrontendSettings sipTerms;
    http::HttpLimits wire;
    hints::HintLimits hints;
    frontends::HttpFrontendSettings terms;
    upstream::UpstreamLimits boxes;
    core::CoreLimits core;
    Micros deliveryWindow = kSecond;
    discovery::ServerListLimits listLimits;
    discovery::FollowTimings listTimes;
    std::string listFile, listPath, listKept;
    std::string learntFile;
    Micros learntEvery = 2 * kSecond, learntFor = 60 * kSecond;
    std::optional<net::Endpoint> listAt;
    admission::ConcurrencyLimitSettings gateBound;
    admission::RetryLimiterSettings gateReturns;
    admission::PathCapacitySettings gateWays;
    std::size_t gateConnections = 2'000;
    int prefix4 = 24, prefix6 = 56;
    std::vector<std::pair<admission::Prefix, std::string>> networks;
    std::string logFile = "-";
    logging::Level logLevel = logging::Level::Info;
    int logWarnings = 20;
    Micros stopWithin = 10 * kSecond;
};

void readWire(NodeReader& top, Told& t) {
    if (auto node = top.optionalChild("http")) {
        t.http = node->address("listen");
        http::HttpLimits& w = t.wire;
        w.headBytes = static_cast<std::uint32_t>(node->integer("head-bytes", 1'024, 1'000'000, w.headBytes));
        w.fields = static_cast<std::uint32_t>(node->integer("fields", 8, 10'000, w.fields));
        w.targetBytes =
            static_cast<std::uint32_t>(node->integer("target-bytes", 128, 100'000, w.targetBytes));
        w.bodyBytes = static_cast<std::uint64_t>(node->integer("body-bytes", 0, 100'000'000, 65'536));
        w.outBytes = static_cast<std::uint32_t>(node->integer("out-bytes", 4'096, 100'000'000, w.outBytes));
        w.headTimeout = node->duration("head-within", 10'000, kHour, w.headTimeout);
        w.idleTimeout = node->duration("idle-for", 100'000, kHour, w.idleTimeout);
        w.stallTimeout = node->duration("stalled-for", 100'000, kHour, w.stallTimeout);
        w.connections =
            static_cast<std::uint32_t>(node->integer("connections", 1, 10'000'000, w.connections));
        node->rejectUnread();
    } else {
        top.fail("a node 'http' is expected: http listen=\"127.0.0.1:8080\"");
    }
    {
        NodeReader node = top.childOrDefaults("hints");
        t.hints.fieldBytes = static_cast<std::size_t>(node.integer("field-bytes", 64, 100'000, 4'096));
        t.hints.keys = static_cast<std::size_t>(node.integer("keys", 1, 1'000, 64));
        t.hints.customBytes = static_cast<std::size_t>(node.integer("custom-bytes", 1, 10'000, 128));
        node.rejectUnread();
    }
    {
        NodeReader node = top.childOrDefaults("viewers");
        frontends::HttpFrontendSettings& v = t.terms;
        v.window.ahead = node.duration("ahead", 0, kHour, v.window.ahead);
        v.window.behind = node.duration("behind", 0, kHour, v.window.behind);
        v.silentAfter = node.duration("silent-after", 100'000, kHour, v.silentAfter);
        v.closedAfter = node.duration("closed-after", 0, kHour, v.closedAfter);
        v.pausedAfter = node.duration("paused-after", 100'000, kHour, v.pausedAfter);
        v.segmentWithin = node.duration("segment-within", 100'000, kHour, v.segmentWithin);
        v.fetchesEach = static_cast<std::size_t>(node.integer("fetches-each", 1, 100, 4));
        v.relayBytes = static_cast<std::size_t>(node.integer("relay-bytes", 4'096, 100'000'000, 131'072));
        v.cachedPlaylists = static_cast<std::size_t>(node.integer("cached-playlists", 1, 1'000'000, 512));
        v.retryWhenFull = node.duration("retry-when-full", kSecond, kHour, v.retryWhenFull);
        t.core.subscriptions = static_cast<std::size_t>(node.integer("at-most", 1, 10'000'000, 100'000));
        t.core.answerMargin = node.duration("answer-margin", 1'000, kSecond, t.core.answerMargin);
        t.deliveryWindow = node.duration("delivery-window", 100'000, 60 * kSecond, t.deliveryWindow);
        node.rejectUnread();
    }
    for (const Micros timeout : t.rooms.clientTimeouts)
        if (timeout <= 2 * t.core.answerMargin)
            top.fail("a client timeout of a room type is expected to be over twice viewers answer-margin=");
    {
        NodeReader node = top.childOrDefaults("boxes");
        upstream::UpstreamLimits& b = t.boxes;
        b.connections = static_cast<std::size_t>(node.integer("connections", 1, 100'000, 256));
        b.pendingRequests = static_cast<std::size_t>(node.integer("waiting", 0, 1'000'000, 1'024));
        b.connectTimeout = node.duration("connect-within", 1'000, 60 * kSecond, b.connectTimeout);
        b.idleTimeout = node.duration("keep-idle", 0, kHour, b.idleTimeout);
        b.recentUse = node.duration("sure-for", 0, kHour, b.recentUse);
        b.releases = static_cast<std::size_t>(node.integer("releases", 1, 10'000'000, b.releases));
        b.releaseAttempts = static_cast<int>(node.integer("release-tries", 1, 100, b.releaseAttempts));
        node.rejectUnread();
    }
    t.core.reportInterval = t.tidings.every;
}

void readSip(NodeReader& top, Told& t) {
    auto node = top.optionalChild("sip");
    if (!node) return;
    t.sip = node->address("listen");
    frontends::SipFrontendSettings& s = t.sipTerms;
    s.limits.bytes = static_cast<std::size_t>(node->integer("message-bytes", 1'024, 65'535, 65'535));
    s.limits.headers = static_cast<std::size_t>(node->integer("headers", 16, 10'000, 100));
    s.transactions = static_cast<std::size_t>(node->integer("transactions", 1, 10'000'000, 20'000));
    s.calls = static_cast<std::size_t>(node->integer("calls", 1, 10'000'000, 20'000));
    s.streams = static_cast<std::size_t>(node->integer("streams", 0, 1'000'000, 2'000));
    s.times.t1 = node->duration("t1", 1'000, 10 * kSecond, s.times.t1);
    s.times.t2 = node->duration("t2", s.times.t1, 60 * kSecond, std::max(s.times.t1, s.times.t2));
    s.times.t4 = node->duration("t4", 1'000, 60 * kSecond, s.times.t4);
    s.minSe = node->duration("min-session", kSecond, kHour, s.minSe);
    s.sessionExpires = node->duration("session", s.minSe, 24 * kHour, std::max(s.minSe, s.sessionExpires));
    s.holdEvery = node->duration("hold-every", 100'000, kHour, s.holdEvery);
    s.holdWithin = node->duration("hold-within", 100'000, kHour, s.holdWithin);
    s.streamIdle = node->duration("stream-idle", kSecond, kHour, s.streamIdle);
    s.retryWhenFull = node->duration("retry-when-full", kSecond, kHour, s.retryWhenFull);
    s.refusedKept = static_cast<std::size_t>(node->integer("refused-kept", 2, 10'000'000, 65'536));
    s.shed = node->flag("shed", true);
    s.overload.targetFill = node->number("target-fill", 0.05, 0.95, s.overload.targetFill);
    s.overload.targetQueueingDelay =
        node->duration("target-unread", 1'000, 10 * kSecond, s.overload.targetQueueingDelay);
    s.overload.updateInterval = node->duration("look-every", 10'000, 10 * kSecond, s.overload.updateInterval);
    s.overload.ratePerSecond = node->number("rate", 1, 1e6, s.overload.ratePerSecond);
    node->rejectUnread();
}

void readList(NodeReader& top, Told& t) {
    NodeReader node = top.requiredChild("list");
    t.listFile = node.text("file", "");
    if (node.has("stream")) t.listAt = node.address("stream");
    t.listPath = node.text("path", "/boxes");
    if (t.listFile.empty() == !t.listAt)
        node.fail("'list' is expected to have either file=\"boxes.kdl\" or stream=\"127.0.0.1:9000\"");
    t.listKept = node.text("keep", "");
    t.listTimes.pollInterval = node.duration("look-every", 1'000, kHour, t.listTimes.pollInterval);
    t.listTimes.connectTimeout =
        node.duration("connect-within", 1'000, 60 * kSecond, t.listTimes.connectTimeout);
    t.listTimes.silenceTimeout = node.duration("silent-for", 100'000, kHour, t.listTimes.silenceTimeout);
    t.listLimits.boxes = static_cast<std::size_t>(node.integer("boxes", 1, 1'000'000, 4'096));
    t.listLimits.bytes = static_cast<std::size_t>(node.integer("bytes", 1'024, 100'000'000, 1'000'000));
    node.rejectUnread();
}

void readAdmission(NodeReader& top, Told& t) {
    NodeReader node = top.childOrDefaults("admission");
    t.gateBound.maxLimit = static_cast<std::size_t>(node.integer("waiting", 1, 1'000'000, 1'000));
    t.gateBound.minLimit = static_cast<std::size_t>(node.integer("waiting-least", 1, 1'000'000, 64));
    t.gateBound.targetWait = node.duration("target-wait", 0, kHour, t.gateBound.targetWait);
    admission::RetryLimiterSettings& r = t.gateReturns;
    r.maxRetryAfter = node.duration("come-back-most", 0, kHour, r.maxRetryAfter);
    r.retriesPerPlacement = node.number("returns-for-each", 0.1, 100, r.retriesPerPlacement);
    r.attemptsPerPlacement = node.number("asks-for-each", 1, 1e6, r.attemptsPerPlacement);
    r.minAttemptsPerSecond = node.number("asks-least", 1, 1e6, r.minAttemptsPerSecond);
    admission::PathCapacitySettings& w = t.gateWays;
    w.enabled = node.flag("narrow-ways", true);
    w.sufficientShare = node.number("way-enough", 0.1, 1, w.sufficientShare);
    w.window = node.duration("way-window", 100'000, kHour, w.window);
    t.gateConnections = static_cast<std::size_t>(node.integer("connections-each", 1, 1'000'000, 2'000));
    t.prefix4 = static_cast<int>(node.integer("prefix4", 1, 32, 24));
    t.prefix6 = static_cast<int>(node.integer("prefix6", 1, 128, 56));
    for (NodeReader& network : node.childrenNamed("network")) {
        const std::string text = network.argument("its prefix");
        const auto prefix = admission::parsePrefix(text);
        if (!prefix)
            network.fail(
                "a network is expected as \"10.1.0.0/16\" or \"2001:db8::/32\", with no bits behind its "
                "length");
        t.networks.emplace_back(*prefix, network.text("member"));
        network.rejectUnread();
    }
    node.rejectUnread();
}

Told readAll(const settings::Document& document) {
    Told t;
    NodeReader top(document);
    NodeReader front = top.requiredChild("front");
    t.name = front.argument("its name");
    if (t.name.empty() || t.name.size() > 64 ||
        t.name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") !=
            std::string::npos)
        front.fail("a front's name is of letters, digits, '-' and '_', 64 at most");
    t.fronts = static_cast<int>(front.integer("fronts", 1, 100'000, 1));
    t.stopWithin = front.duration("stop-within", 0, kHour, t.stopWithin);
    t.ladder = settings::readLadder(top);
    t.rooms = settings::readRoomTypes(top, t.ladder);
    t.machines = settings::readMachines(top);
    t.machines.fleet.zone =
        ZoneId{front.indexOf("zone", t.machines.zones, "", "a zone", "among those of 'fleet'")};
    front.rejectUnread();
    t.cold = settings::readColdStartLimits(top);
    t.budget = settings::readJoinBudget(top);
    t.tidings = settings::readReportTiming(top);
    t.allowed = settings::readSubscriptionLimits(top);
    t.prices = settings::readServingCosts(top);
    t.talks = settings::readTalks(top, t.machines.fleet);
    readWire(top, t);
    readSip(top, t);
    readList(top, t);
    readAdmission(top, t);
    {
        NodeReader node = top.childOrDefaults("learnt");
        t.learntFile = node.text("file", "");
        t.learntEvery = node.duration("every", 100'000, kHour, t.learntEvery);
        t.learntFor = node.duration("keep-for", 0, kHour, t.learntFor);
        node.rejectUnread();
    }
    NodeReader log = top.childOrDefaults("log");
    t.logFile = log.text("file", "-");
    t.logLevel = logging::parseLevel(log.choice("level", {"debug", "info", "warning", "error"}, "info"));
    t.logWarnings = static_cast<int>(log.integer("warnings-a-second", 1, 100'000, 20));
    log.rejectUnread();
    top.rejectUnread();
    return t;
}

}  // namespace

struct Front::Parts final : core::CoreObserver, discovery::ServerListHandler {
    net::Net& net;
    Told told;
    logging::Log log;
    Micros wallOffset;  // of the wall clock over the front's own, as at the start
    upstream::UpstreamClient boxes;
    upstream::JoinClient joins;
    admission::AdmissionController gate;
    std::unique_ptr<core::Core> core;
    std::unique_ptr<frontends::HttpFrontend> face;
    std::unique_ptr<frontends::SipFrontend> sip;
    std::unique_ptr<discovery::ListFollower> follower;
    discovery::ServerList held;
    evidence::EvidenceFile earlier;  // what an earlier life had learnt, until the list has come
    net::Timer stopping, flushing, keeping;
    std::function<void()> stopped;
    Micros stopBy = 0;

    Parts(net::Net& net, Told given, std::uint64_t seed, std::uint64_t epoch, const ModuleOverride& other)
        : net(net),
          told(std::move(given)),
          log(told.logFile, told.logLevel, told.logWarnings),
          wallOffset(net.wallNow() - net.now()),
          boxes(net, told.wire, told.boxes),
          joins(net, boxes, told.name + "." + std::to_string(epoch), told.ladder.kb.size(), {},
                [this] {
                    if (follower) follower->follow();
                }),
          gate(told.gateBound, told.gateConnections, told.prefix4, told.prefix6, told.gateReturns,
               told.gateWays),
          stopping(net, [this] { lookWhetherDone(); }),
          flushing(net,
                   [this] {
                       log.flush();
                       flushing.after(kSecond);
                   }),
          keeping(net, [this] {
              keepLearnt();
              keeping.after(told.learntEvery);
          }) {
        for (const auto& [prefix, member] : told.networks) gate.addNamedNetwork(prefix, member);
        follower = told.listAt ? discovery::followStream(net, *told.listAt, told.listPath, names(),
                                                         told.listLimits, told.listTimes, *this)
                               : discovery::followFile(net, told.listFile, names(), told.listLimits,
                                                       told.listTimes, *this);
        core = std::make_unique<core::Core>(
            net, told.rooms.types, told.core, told.deliveryWindow, joins, *this,
            [&](Host& host, Micros now) -> std::unique_ptr<core::DecisionModule> {
                if (other)
                    return other(host, now, seed, told.rooms.types, told.machines.fleet, told.ladder,
                                 told.allowed);
                return std::make_unique<core::LogicModule>(host, now, seed, told.fronts, told.ladder,
                                                           told.rooms.types, told.machines.fleet, told.cold,
                                                           told.budget ? &*told.budget : nullptr,
                                                           told.tidings, told.allowed, told.prices);
            });
        joins.connect(*core);
        readLearnt();
        readKept();
        const frontends::FrontendContext around{net,  told.name, told.talks, told.rooms, told.ladder,
                                                gate, *core,     boxes,      joins,      log};
        face =
            std::make_unique<frontends::HttpFrontend>(around, told.http, told.wire, told.terms, told.hints);
        if (told.sip) sip = std::make_unique<frontends::SipFrontend>(around, *told.sip, told.sipTerms, seed);
        flushing.after(kSecond);
        if (!told.learntFile.empty()) keeping.after(told.learntEvery);
        line(logging::Level::Info, "started",
             {{"front", told.name}, {"http", net::toString(face->endpoint())}, {"seed", seed}});
    }

    void line(logging::Level level, std::string_view what, nlohmann::ordered_json fields) {
        log.write(level, net.now(), net.wallNow(), what, std::move(fields));
    }

    discovery::ListNames names() const { return {told.machines.kinds, told.machines.zones}; }

    // ---- core::Watcher ----
    nlohmann::ordered_json of(SubId id) const {
        nlohmann::ordered_json out;
        if (face)
            if (const auto* trace = face->traceOf(id)) out["trace"] = trace->trace;
        if (sip)
            if (const auto* trace = sip->traceOf(id)) out["trace"] = trace->trace;
        out["sub"] = id.v;
        return out;
    }
    void onPlacement(SubId id, SfuId at, const double* score, int among, std::uint64_t slot) override {
        auto fields = of(id);
        fields["box"] = at.v;
        fields["slot"] = slot;
        fields["among"] = among;
        if (score)
            fields["score"] = std::round(*score * 1e4) / 1e4;
        else
            fields["fits"] = false;
        line(logging::Level::Info, "chosen", std::move(fields));
    }
    void onJoinSent(SubId id, int joinNo, SfuId at, int rung, Micros timeOut) override {
        auto fields = of(id);
        fields["join"] = joinNo;
        fields["box"] = at.v;
        fields["rung"] = rung;
        fields["within_us"] = timeOut;
        line(logging::Level::Info, "join-sent", std::move(fields));
    }
    void onJoinEnded(SubId id, int joinNo, SfuId at, const core::JoinOutcome& outcome) override {
        auto fields = of(id);
        fields["join"] = joinNo;
        fields["box"] = at.v;
        fields["outcome"] = outcome.why;
        fields["never_ran"] = outcome.neverRan;
        fields["took_us"] = outcome.took;
        line(logging::Level::Info, "join-ended", std::move(fields));
    }
    void onAnswer(SubId id, std::string_view how, Micros took) override {
        if (how == "throttled")
            gate.onThrottled(net.now());
        else
            gate.onAnswerTime(net.now(), took);
        if (how == "plays") gate.onPlaced(net.now());
        auto fields = of(id);
        fields["how"] = how;
        fields["took_us"] = took;
        line(logging::Level::Info, "answered", std::move(fields));
    }
    void onGuardTriggered(SubId id) override { line(logging::Level::Error, "guard-answered", of(id)); }
    void onModuleLog(const std::string& words) override {
        line(logging::Level::Debug, "module", {{"words", words}});
    }

    // ---- list::ListUser ----
    std::vector<SfuEntry> taken(const std::vector<discovery::ServerListEntry>& lines) {
        std::vector<SfuEntry> out;
        for (const discovery::ServerListEntry& one : lines) {
            SfuEntry sfu = one.sfu;
            // The list speaks of the wall clock. A start that seems to lie ahead is one of just now.
            if (sfu.launched > 0)
                sfu.launched =
                    std::clamp<Micros>(sfu.launched - wallOffset, 1, std::max<Micros>(1, net.now()));
            if (sfu.cell.v >= static_cast<std::uint32_t>(told.machines.fleet.cells)) {
                line(logging::Level::Warning, "list-odd",
                     {{"why", "box " + std::to_string(sfu.id.v) +
                                  " stands in a cell that the settings do not have"}});
                continue;
            }
            if (one.endpoint.port != 0) {
                boxes.setAddress(sfu.id, one.endpoint);
                joins.releaseEarlierSessions(sfu.id);
            }
            out.push_back(sfu);
        }
        return out;
    }
    void merge(const std::vector<discovery::ServerListEntry>& lines, bool whole) {
        if (whole) held.servers.clear();
        for (const discovery::ServerListEntry& one : lines) {
            const auto same =
                std::find_if(held.servers.begin(), held.servers.end(),
                             [&](const discovery::ServerListEntry& b) { return b.sfu.id == one.sfu.id; });
            if (same == held.servers.end())
                held.servers.push_back(one);
            else if (one.sfu.state == ServerState::Off)
                held.servers.erase(same);
            else
                *same = one;
        }
        if (told.listKept.empty()) return;
        try {
            discovery::saveServerList(told.listKept, held, names());
        } catch (const std::exception& e) {
            line(logging::Level::Warning, "list-not-kept", {{"why", e.what()}});
        }
    }
    void onList(const std::vector<discovery::ServerListEntry>& lines, bool stale) override {
        line(logging::Level::Info, "list", {{"boxes", lines.size()}, {"stale", stale}});
        core->onServerList(taken(lines), stale);
        if (stale) return;
        merge(lines, true);
        recall();
    }
    void onListChange(const std::vector<discovery::ServerListEntry>& lines) override {
        line(logging::Level::Info, "list-changed", {{"boxes", lines.size()}});
        core->onServerListChange(taken(lines));
        merge(lines, false);
    }
    void onListUnreachable(const std::string& why) override {
        line(logging::Level::Warning, "list-unreachable", {{"why", why}});
        core->onServerListFailure();
    }
    void onListAnomaly(const std::string& why) override {
        line(logging::Level::Warning, "list-odd", {{"why", why}});
    }

    // A file that is missing, torn, of another version or too old is said, and all begins afresh.
    void readLearnt() {
        if (told.learntFile.empty()) return;
        try {
            if (!std::filesystem::exists(told.learntFile)) throw std::runtime_error("there is none");
            evidence::EvidenceFile kept = evidence::parseEvidenceFile(
                told.learntFile, settings::readFile(told.learntFile), told.listLimits.boxes);
            const Micros since = net.wallNow() - kept.savedAt;
            if (since < 0 || since > told.learntFor) throw std::runtime_error("it is of another time");
            for (evidence::EvidenceEntry& b : kept.servers) b.evidence.age += since;
            earlier = std::move(kept);
        } catch (const std::exception& e) {
            line(logging::Level::Warning, "learnt-not-taken", {{"why", e.what()}});
        }
    }
    std::map<SfuId, Micros> launchedOf() const {  // of all boxes listed, on the wall clock
        std::map<SfuId, Micros> out;
        for (const discovery::ServerListEntry& box : held.servers) out.emplace(box.sfu.id, box.sfu.launched);
        return out;
    }
    // Only of boxes that the list has now, and whose process is still the same.
    void recall() {
        if (earlier.servers.empty()) return;
        const auto launched = launchedOf();
        std::vector<ServerEvidence> same;
        for (const evidence::EvidenceEntry& b : earlier.servers)
            if (const auto now = launched.find(b.evidence.id);
                now != launched.end() && now->second == b.launched)
                same.push_back(b.evidence);
        line(logging::Level::Info, "learnt-taken",
             {{"boxes", same.size()}, {"passed_over", earlier.servers.size() - same.size()}});
        earlier.servers.clear();
        core->restoreServerEvidence(same);
    }
    void keepLearnt() {
        if (!earlier.servers.empty()) return;  // no list has come yet: what was kept is all that is known
        evidence::EvidenceFile kept{net.wallNow(), {}};
        const auto launched = launchedOf();
        for (const ServerEvidence& what : core->serverEvidence())
            if (const auto now = launched.find(what.id); now != launched.end())
                kept.servers.push_back({what, now->second});
        try {
            evidence::saveEvidenceFile(told.learntFile, kept);
        } catch (const std::exception& e) {
            line(logging::Level::Warning, "learnt-not-kept", {{"why", e.what()}});
        }
    }

    void readKept() {
        if (told.listKept.empty() || !std::filesystem::exists(told.listKept)) return;
        try {
            held = discovery::parseServerList(told.listKept, settings::readFile(told.listKept), names(),
                                              told.listLimits);
            onList(held.servers, true);
        } catch (const std::exception& e) {
            line(logging::Level::Warning, "kept-list-odd", {{"why", e.what()}});
        }
    }

    void lookWhetherDone() {
        const bool plays = face->viewers() > 0 || (sip && sip->calls() > 0);
        if (core->unansweredCount() > 0 || (plays && net.now() < stopBy)) {
            stopping.after(20'000);
            return;
        }
        if (!told.learntFile.empty()) keepLearnt();
        if (sip) sip->shutDown();
        face->shutDown([this] {
            const core::CoreCounts& c = core->counts();
            line(logging::Level::Info, "stopped",
                 {{"asked", c.requested},
                  {"played", c.played},
                  {"throttled", c.throttled},
                  {"terminated", c.terminated}});
            log.flush();
            if (stopped) stopped();
        });
    }
};

Front::Front(net::Net& net, const settings::Document& document, std::uint64_t seed, std::uint64_t epoch,
             const ModuleOverride& other)
    : parts_(std::make_unique<Parts>(net, readAll(document), seed, epoch, other)) {}
Front::~Front() {
    if (parts_) {
        parts_->sip.reset();
        parts_->face.reset();
        parts_->core.reset();
    }
}

net::Endpoint Front::http() const {
    return parts_->face->endpoint();
}
frontends::HttpFrontend& Front::httpFrontend() {
    return *parts_->face;
}
frontends::SipFrontend* Front::sipFrontend() {
    return parts_->sip.get();
}
core::Core& Front::core() {
    return *parts_->core;
}
void Front::stop(Micros playOn, std::function<void()> done) {
    parts_->line(logging::Level::Info, "stopping", {{"play_on_us", playOn}});
    parts_->face->stopAccepting();
    if (parts_->sip) parts_->sip->stopAccepting();
    parts_->stopped = std::move(done);
    parts_->stopBy = parts_->net.now() + playOn;
    parts_->stopping.after(0);
}
Micros Front::stopTimeout() const {
    return parts_->told.stopWithin;
}
void Front::flush() {
    parts_->log.flush();
}
void Front::check(const settings::Document& document) {
    readAll(document);
}

}  // namespace valekeel::front
