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

constexpr Micros kHour = 3'600 * kSecond;  // upper limit of most durations

// All settings of a front. Read and checked completely before anything starts.
struct FrontSettings {
    std::string name;
    int fronts = 1;
    Ladder ladder;
    settings::RoomTypes roomTypes;
    settings::Machines machines;
    ColdStartLimits coldStart;
    std::optional<JoinBudget> joinBudget;
    ReportTiming reportTiming;
    SubscriptionLimits subscriptionLimits;
    ServingCosts servingCosts;
    settings::Talks talks;
    net::Endpoint httpEndpoint;
    std::optional<net::Endpoint> sipEndpoint;
    frontends::SipFrontendSettings sipSettings;
    http::HttpLimits httpLimits;
    hints::HintLimits hintLimits;
    frontends::HttpFrontendSettings httpSettings;
    upstream::UpstreamLimits upstreamLimits;
    core::CoreLimits coreLimits;
    Micros deliveryWindow = kSecond;
    discovery::ServerListLimits listLimits;
    discovery::FollowTimings listTimings;
    std::string listFilePath, listUrlPath, listSavePath;
    std::string evidencePath;
    Micros evidenceSaveInterval = 2 * kSecond, evidenceMaxAge = 60 * kSecond;
    std::optional<net::Endpoint> listEndpoint;
    admission::ConcurrencyLimitSettings concurrencyLimit;
    admission::RetryLimiterSettings retryLimiter;
    admission::PathCapacitySettings pathCapacity;
    std::size_t maxConnectionsPerNetwork = 2'000;
    int prefix4 = 24, prefix6 = 56;
    std::vector<std::pair<admission::Prefix, std::string>> networks;
    std::string logPath = "-";
    logging::Level logLevel = logging::Level::Info;
    int logWarningsPerSecond = 20;
    Micros stopTimeout = 10 * kSecond;
};

constexpr std::size_t kMegabyte = 1024 * 1024;

void readHttp(NodeReader& top, FrontSettings& settings) {
    if (auto node = top.optionalChild("http")) {
        settings.httpEndpoint = node->address("listen");
        http::HttpLimits& w = settings.httpLimits;
        w.headBytes = static_cast<std::uint32_t>(node->integer("head-bytes", 1'024, 1'000'000, w.headBytes));
        w.fields = static_cast<std::uint32_t>(node->integer("fields", 8, 10'000, w.fields));
        w.targetBytes =
            static_cast<std::uint32_t>(node->integer("target-bytes", 128, 100'000, w.targetBytes));
        w.bodyBytes = static_cast<std::uint64_t>(node->integer("body-bytes", 0, 100'000'000, 65'536));
        w.outBytes = static_cast<std::uint32_t>(node->integer("out-bytes", 4'096, 100'000'000, w.outBytes));
        w.bufferedBytes =
            kMegabyte * static_cast<std::uint64_t>(node->integer("buffered-mb", 1, 1'000'000, 64));
        w.headTimeout = node->duration("head-within", 10'000, kHour, w.headTimeout);
        w.idleTimeout = node->duration("idle-for", 100'000, kHour, w.idleTimeout);
        w.stallTimeout = node->duration("stalled-for", 100'000, kHour, w.stallTimeout);
        w.connections =
            static_cast<std::uint32_t>(node->integer("connections", 1, 10'000'000, w.connections));
        node->rejectUnread();
    } else {
        top.fail("the node 'http' is missing; example: http listen=\"127.0.0.1:8080\"");
    }
    {
        NodeReader node = top.childOrDefaults("hints");
        settings.hintLimits.fieldBytes =
            static_cast<std::size_t>(node.integer("field-bytes", 64, 100'000, 4'096));
        settings.hintLimits.keys = static_cast<std::size_t>(node.integer("keys", 1, 1'000, 64));
        settings.hintLimits.customBytes =
            static_cast<std::size_t>(node.integer("custom-bytes", 1, 10'000, 128));
        node.rejectUnread();
    }
    {
        NodeReader node = top.childOrDefaults("viewers");
        frontends::HttpFrontendSettings& v = settings.httpSettings;
        v.window.ahead = node.duration("ahead", 0, kHour, v.window.ahead);
        v.window.behind = node.duration("behind", 0, kHour, v.window.behind);
        v.idleTimeout = node.duration("silent-after", 100'000, kHour, v.idleTimeout);
        v.disconnectedTimeout = node.duration("closed-after", 0, kHour, v.disconnectedTimeout);
        v.pausedTimeout = node.duration("paused-after", 100'000, kHour, v.pausedTimeout);
        v.segmentTimeout = node.duration("segment-within", 100'000, kHour, v.segmentTimeout);
        v.maxFetchesPerViewer = static_cast<std::size_t>(node.integer("fetches-each", 1, 100, 4));
        v.maxUnsentBytes = static_cast<std::size_t>(node.integer("relay-bytes", 4'096, 100'000'000, 131'072));
        v.maxCachedPlaylists = static_cast<std::size_t>(node.integer("cached-playlists", 1, 1'000'000, 512));
        v.retryAfterWhenFull = node.duration("retry-when-full", kSecond, kHour, v.retryAfterWhenFull);
        settings.coreLimits.subscriptions =
            static_cast<std::size_t>(node.integer("at-most", 1, 10'000'000, 100'000));
        settings.coreLimits.answerMargin =
            node.duration("answer-margin", 1'000, kSecond, settings.coreLimits.answerMargin);
        settings.deliveryWindow =
            node.duration("delivery-window", 100'000, 60 * kSecond, settings.deliveryWindow);
        node.rejectUnread();
    }
    for (const Micros timeout : settings.roomTypes.clientTimeouts)
        if (timeout <= 2 * settings.coreLimits.answerMargin)
            top.fail(
                "each client-timeout of a room-type must be greater than twice answer-margin= of 'viewers'");
    {
        NodeReader node = top.childOrDefaults("boxes");
        upstream::UpstreamLimits& b = settings.upstreamLimits;
        b.connections = static_cast<std::size_t>(node.integer("connections", 1, 100'000, 256));
        b.pendingRequests = static_cast<std::size_t>(node.integer("waiting", 0, 1'000'000, 1'024));
        b.connectTimeout = node.duration("connect-within", 1'000, 60 * kSecond, b.connectTimeout);
        b.idleTimeout = node.duration("keep-idle", 0, kHour, b.idleTimeout);
        b.recentUse = node.duration("sure-for", 0, kHour, b.recentUse);
        b.releases = static_cast<std::size_t>(node.integer("releases", 1, 10'000'000, b.releases));
        b.releaseAttempts = static_cast<int>(node.integer("release-tries", 1, 100, b.releaseAttempts));
        node.rejectUnread();
    }
    settings.coreLimits.reportInterval = settings.reportTiming.every;
}

void readSip(NodeReader& top, FrontSettings& settings) {
    auto node = top.optionalChild("sip");
    if (!node) return;
    settings.sipEndpoint = node->address("listen");
    frontends::SipFrontendSettings& s = settings.sipSettings;
    s.limits.bytes = static_cast<std::size_t>(node->integer("message-bytes", 1'024, 65'535, 65'535));
    s.limits.headers = static_cast<std::size_t>(node->integer("headers", 16, 10'000, 100));
    s.transactions = static_cast<std::size_t>(node->integer("transactions", 1, 10'000'000, 20'000));
    s.calls = static_cast<std::size_t>(node->integer("calls", 1, 10'000'000, 20'000));
    s.streams = static_cast<std::size_t>(node->integer("streams", 0, 1'000'000, 2'000));
    s.maxBufferedBytes = kMegabyte * static_cast<std::size_t>(node->integer("buffered-mb", 1, 1'000'000, 64));
    s.times.t1 = node->duration("t1", 1'000, 10 * kSecond, s.times.t1);
    s.times.t2 = node->duration("t2", s.times.t1, 60 * kSecond, std::max(s.times.t1, s.times.t2));
    s.times.t4 = node->duration("t4", 1'000, 60 * kSecond, s.times.t4);
    s.minSe = node->duration("min-session", kSecond, kHour, s.minSe);
    s.sessionExpires = node->duration("session", s.minSe, 24 * kHour, std::max(s.minSe, s.sessionExpires));
    s.probeInterval = node->duration("hold-every", 100'000, kHour, s.probeInterval);
    s.probeTimeout = node->duration("hold-within", 100'000, kHour, s.probeTimeout);
    s.streamIdleTimeout = node->duration("stream-idle", kSecond, kHour, s.streamIdleTimeout);
    s.retryAfterWhenFull = node->duration("retry-when-full", kSecond, kHour, s.retryAfterWhenFull);
    s.maxRememberedRefusals = static_cast<std::size_t>(node->integer("refused-kept", 2, 10'000'000, 65'536));
    s.shed = node->flag("shed", true);
    s.overload.targetFill = node->number("target-fill", 0.05, 0.95, s.overload.targetFill);
    s.overload.targetQueueingDelay =
        node->duration("target-unread", 1'000, 10 * kSecond, s.overload.targetQueueingDelay);
    s.overload.updateInterval = node->duration("look-every", 10'000, 10 * kSecond, s.overload.updateInterval);
    s.overload.ratePerSecond = node->number("rate", 1, 1e6, s.overload.ratePerSecond);
    node->rejectUnread();
}

void readList(NodeReader& top, FrontSettings& settings) {
    NodeReader node = top.requiredChild("list");
    settings.listFilePath = node.text("file", "");
    if (node.has("stream")) settings.listEndpoint = node.address("stream");
    settings.listUrlPath = node.text("path", "/boxes");
    if (settings.listFilePath.empty() == !settings.listEndpoint)
        node.fail(
            "'list' takes either file=\"boxes.kdl\" or stream=\"127.0.0.1:9000\", and exactly one of them");
    settings.listSavePath = node.text("keep", "");
    settings.listTimings.pollInterval =
        node.duration("look-every", 1'000, kHour, settings.listTimings.pollInterval);
    settings.listTimings.connectTimeout =
        node.duration("connect-within", 1'000, 60 * kSecond, settings.listTimings.connectTimeout);
    settings.listTimings.silenceTimeout =
        node.duration("silent-for", 100'000, kHour, settings.listTimings.silenceTimeout);
    settings.listLimits.boxes = static_cast<std::size_t>(node.integer("boxes", 1, 1'000'000, 4'096));
    settings.listLimits.bytes =
        static_cast<std::size_t>(node.integer("bytes", 1'024, 100'000'000, 1'000'000));
    node.rejectUnread();
}

void readAdmission(NodeReader& top, FrontSettings& settings) {
    NodeReader node = top.childOrDefaults("admission");
    settings.concurrencyLimit.maxLimit =
        static_cast<std::size_t>(node.integer("waiting", 1, 1'000'000, 1'000));
    settings.concurrencyLimit.minLimit =
        static_cast<std::size_t>(node.integer("waiting-least", 1, 1'000'000, 64));
    settings.concurrencyLimit.targetWait =
        node.duration("target-wait", 0, kHour, settings.concurrencyLimit.targetWait);
    admission::RetryLimiterSettings& r = settings.retryLimiter;
    r.maxRetryAfter = node.duration("come-back-most", 0, kHour, r.maxRetryAfter);
    r.retriesPerPlacement = node.number("returns-for-each", 0.1, 100, r.retriesPerPlacement);
    r.attemptsPerPlacement = node.number("asks-for-each", 1, 1e6, r.attemptsPerPlacement);
    r.minAttemptsPerSecond = node.number("asks-least", 1, 1e6, r.minAttemptsPerSecond);
    admission::PathCapacitySettings& w = settings.pathCapacity;
    w.enabled = node.flag("narrow-ways", true);
    w.sufficientShare = node.number("way-enough", 0.1, 1, w.sufficientShare);
    w.window = node.duration("way-window", 100'000, kHour, w.window);
    settings.maxConnectionsPerNetwork =
        static_cast<std::size_t>(node.integer("connections-each", 1, 1'000'000, 2'000));
    settings.prefix4 = static_cast<int>(node.integer("prefix4", 1, 32, 24));
    settings.prefix6 = static_cast<int>(node.integer("prefix6", 1, 128, 56));
    for (NodeReader& network : node.childrenNamed("network")) {
        const std::string text = network.argument("its prefix");
        const auto prefix = admission::parsePrefix(text);
        if (!prefix)
            network.fail(
                "a network must be a prefix such as \"10.1.0.0/16\" or \"2001:db8::/32\", without bits set "
                "after its "
                "length");
        settings.networks.emplace_back(*prefix, network.text("member"));
        network.rejectUnread();
    }
    node.rejectUnread();
}

FrontSettings readSettings(const settings::Document& document) {
    FrontSettings settings;
    NodeReader top(document);
    NodeReader front = top.requiredChild("front");
    settings.name = front.argument("its name");
    if (settings.name.empty() || settings.name.size() > 64 ||
        settings.name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") !=
            std::string::npos)
        front.fail("a front's name must be 1 to 64 letters, digits, '-' or '_'");
    settings.fronts = static_cast<int>(front.integer("fronts", 1, 100'000, 1));
    settings.stopTimeout = front.duration("stop-within", 0, kHour, settings.stopTimeout);
    settings.ladder = settings::readLadder(top);
    settings.roomTypes = settings::readRoomTypes(top, settings.ladder);
    settings.machines = settings::readMachines(top);
    settings.machines.fleet.zone =
        ZoneId{front.indexOf("zone", settings.machines.zones, "", "a zone", "among those of 'fleet'")};
    front.rejectUnread();
    settings.coldStart = settings::readColdStartLimits(top);
    settings.joinBudget = settings::readJoinBudget(top);
    settings.reportTiming = settings::readReportTiming(top);
    settings.subscriptionLimits = settings::readSubscriptionLimits(top);
    settings.servingCosts = settings::readServingCosts(top);
    settings.talks = settings::readTalks(top, settings.machines.fleet);
    readHttp(top, settings);
    readSip(top, settings);
    readList(top, settings);
    readAdmission(top, settings);
    {
        NodeReader node = top.childOrDefaults("learnt");
        settings.evidencePath = node.text("file", "");
        settings.evidenceSaveInterval = node.duration("every", 100'000, kHour, settings.evidenceSaveInterval);
        settings.evidenceMaxAge = node.duration("keep-for", 0, kHour, settings.evidenceMaxAge);
        node.rejectUnread();
    }
    NodeReader log = top.childOrDefaults("log");
    settings.logPath = log.text("file", "-");
    settings.logLevel =
        logging::parseLevel(log.choice("level", {"debug", "info", "warning", "error"}, "info"));
    settings.logWarningsPerSecond = static_cast<int>(log.integer("warnings-a-second", 1, 100'000, 20));
    log.rejectUnread();
    top.rejectUnread();
    return settings;
}

}  // namespace

// The components of a front and the call-backs that connect them. Members are constructed in this order.
struct Front::Parts final : core::CoreObserver, discovery::ServerListHandler {
    net::Net& net;
    FrontSettings settings;
    logging::Log log;
    Micros wallOffset;  // wall clock minus the front's clock, taken at the start
    upstream::UpstreamClient upstreamClient;
    upstream::JoinClient joinClient;
    admission::AdmissionController admissionController;
    std::unique_ptr<core::Core> core;
    std::unique_ptr<frontends::HttpFrontend> httpFrontend;
    std::unique_ptr<frontends::SipFrontend> sipFrontend;
    std::unique_ptr<discovery::ListFollower> follower;
    discovery::ServerList currentList;
    evidence::EvidenceFile restoredEvidence;  // saved by an earlier process, until the first list arrives
    net::Timer stopTimer, flushTimer, saveTimer;
    std::function<void()> onStopped;
    Micros stopDeadline = 0;

    Parts(net::Net& net, FrontSettings frontSettings, std::uint64_t seed, std::uint64_t epoch,
          const ModuleOverride& moduleOverride)
        : net(net),
          settings(std::move(frontSettings)),
          log(settings.logPath, settings.logLevel, settings.logWarningsPerSecond),
          wallOffset(net.wallNow() - net.now()),
          upstreamClient(net, settings.httpLimits, settings.upstreamLimits),
          joinClient(net, upstreamClient, settings.name + "." + std::to_string(epoch),
                     settings.ladder.kb.size(), {},
                     [this] {
                         if (follower) follower->follow();
                     }),
          admissionController(settings.concurrencyLimit, settings.maxConnectionsPerNetwork, settings.prefix4,
                              settings.prefix6, settings.retryLimiter, settings.pathCapacity),
          stopTimer(net, [this] { continueStopping(); }),
          flushTimer(net,
                     [this] {
                         log.flush();
                         flushTimer.after(kSecond);
                     }),
          saveTimer(net, [this] {
              saveEvidence();
              saveTimer.after(settings.evidenceSaveInterval);
          }) {
        for (const auto& [prefix, member] : settings.networks)
            admissionController.addNamedNetwork(prefix, member);
        follower = settings.listEndpoint
                       ? discovery::followStream(net, *settings.listEndpoint, settings.listUrlPath, names(),
                                                 settings.listLimits, settings.listTimings, *this)
                       : discovery::followFile(net, settings.listFilePath, names(), settings.listLimits,
                                               settings.listTimings, *this);
        core = std::make_unique<core::Core>(
            net, settings.roomTypes.types, settings.coreLimits, settings.deliveryWindow, joinClient, *this,
            [&](Host& host, Micros now) -> std::unique_ptr<core::DecisionModule> {
                if (moduleOverride)
                    return moduleOverride(host, now, seed, settings.roomTypes.types, settings.machines.fleet,
                                          settings.ladder, settings.subscriptionLimits);
                return std::make_unique<core::LogicModule>(
                    host, now, seed, settings.fronts, settings.ladder, settings.roomTypes.types,
                    settings.machines.fleet, settings.coldStart,
                    settings.joinBudget ? &*settings.joinBudget : nullptr, settings.reportTiming,
                    settings.subscriptionLimits, settings.servingCosts);
            });
        joinClient.connect(*core);
        loadEvidence();
        loadSavedList();
        const frontends::FrontendContext context{net,
                                                 settings.name,
                                                 settings.talks,
                                                 settings.roomTypes,
                                                 settings.ladder,
                                                 admissionController,
                                                 *core,
                                                 upstreamClient,
                                                 joinClient,
                                                 log};
        httpFrontend = std::make_unique<frontends::HttpFrontend>(
            context, settings.httpEndpoint, settings.httpLimits, settings.httpSettings, settings.hintLimits);
        if (settings.sipEndpoint)
            sipFrontend = std::make_unique<frontends::SipFrontend>(context, *settings.sipEndpoint,
                                                                   settings.sipSettings, seed);
        flushTimer.after(kSecond);
        if (!settings.evidencePath.empty()) saveTimer.after(settings.evidenceSaveInterval);
        writeLog(
            logging::Level::Info, "started",
            {{"front", settings.name}, {"http", net::toString(httpFrontend->endpoint())}, {"seed", seed}});
    }

    void writeLog(logging::Level level, std::string_view what, nlohmann::ordered_json fields) {
        log.write(level, net.now(), net.wallNow(), what, std::move(fields));
    }

    discovery::ListNames names() const { return {settings.machines.kinds, settings.machines.zones}; }

    // ---- core::CoreObserver ----
    nlohmann::ordered_json traceFields(SubId id) const {
        nlohmann::ordered_json out;
        if (httpFrontend)
            if (const auto* trace = httpFrontend->traceOf(id)) out["trace"] = trace->trace;
        if (sipFrontend)
            if (const auto* trace = sipFrontend->traceOf(id)) out["trace"] = trace->trace;
        out["sub"] = id.v;
        return out;
    }
    void onPlacement(SubId id, SfuId at, const double* score, int candidates, std::uint64_t slot) override {
        auto fields = traceFields(id);
        fields["box"] = at.v;
        fields["slot"] = slot;
        fields["among"] = candidates;
        if (score)
            fields["score"] = std::round(*score * 1e4) / 1e4;
        else
            fields["fits"] = false;
        writeLog(logging::Level::Info, "chosen", std::move(fields));
    }
    void onJoinSent(SubId id, int joinNo, SfuId at, int rung, Micros timeout) override {
        auto fields = traceFields(id);
        fields["join"] = joinNo;
        fields["box"] = at.v;
        fields["rung"] = rung;
        fields["within_us"] = timeout;
        writeLog(logging::Level::Info, "join-sent", std::move(fields));
    }
    void onJoinEnded(SubId id, int joinNo, SfuId at, const core::JoinOutcome& outcome) override {
        auto fields = traceFields(id);
        fields["join"] = joinNo;
        fields["box"] = at.v;
        fields["outcome"] = outcome.why;
        fields["never_ran"] = outcome.neverRan;
        fields["took_us"] = outcome.took;
        writeLog(logging::Level::Info, "join-ended", std::move(fields));
    }
    void onAnswer(SubId id, std::string_view how, Micros took) override {
        if (how == "throttled")
            admissionController.onThrottled(net.now());
        else
            admissionController.onAnswerTime(net.now(), took);
        if (how == "plays") admissionController.onPlaced(net.now());
        auto fields = traceFields(id);
        fields["how"] = how;
        fields["took_us"] = took;
        writeLog(logging::Level::Info, "answered", std::move(fields));
    }
    void onGuardTriggered(SubId id) override {
        writeLog(logging::Level::Error, "guard-answered", traceFields(id));
    }
    void onModuleLog(const std::string& message) override {
        writeLog(logging::Level::Debug, "module", {{"words", message}});
    }

    // ---- discovery::ServerListHandler ----
    // Registers the addresses of listed servers and returns the entries for the core, with launch times on
    // the front's clock. Entries with an unknown cell are dropped.
    std::vector<SfuEntry> acceptEntries(const std::vector<discovery::ServerListEntry>& entries) {
        std::vector<SfuEntry> out;
        for (const discovery::ServerListEntry& entry : entries) {
            SfuEntry sfu = entry.sfu;
            // The list uses the wall clock. A launch time in the future is taken as now.
            if (sfu.launched > 0)
                sfu.launched =
                    std::clamp<Micros>(sfu.launched - wallOffset, 1, std::max<Micros>(1, net.now()));
            if (sfu.cell.v >= static_cast<std::uint32_t>(settings.machines.fleet.cells)) {
                writeLog(logging::Level::Warning, "list-odd",
                         {{"why", "box " + std::to_string(sfu.id.v) +
                                      " is in a cell that the settings do not define"}});
                continue;
            }
            if (entry.endpoint.port != 0) {
                upstreamClient.setAddress(sfu.id, entry.endpoint);
                joinClient.releaseEarlierSessions(sfu.id);
            }
            out.push_back(sfu);
        }
        return out;
    }
    // Applies a complete list or a change to the current list and saves it, if a path is set.
    void updateCurrentList(const std::vector<discovery::ServerListEntry>& entries, bool isComplete) {
        if (isComplete) currentList.servers.clear();
        for (const discovery::ServerListEntry& entry : entries) {
            const auto matching =
                std::find_if(currentList.servers.begin(), currentList.servers.end(),
                             [&](const discovery::ServerListEntry& b) { return b.sfu.id == entry.sfu.id; });
            if (matching == currentList.servers.end())
                currentList.servers.push_back(entry);
            else if (entry.sfu.state == ServerState::Off)
                currentList.servers.erase(matching);
            else
                *matching = entry;
        }
        if (settings.listSavePath.empty()) return;
        try {
            discovery::saveServerList(settings.listSavePath, currentList, names());
        } catch (const std::exception& e) {
            writeLog(logging::Level::Warning, "list-not-kept", {{"why", e.what()}});
        }
    }
    void onList(const std::vector<discovery::ServerListEntry>& entries, bool stale) override {
        writeLog(logging::Level::Info, "list", {{"boxes", entries.size()}, {"stale", stale}});
        core->onServerList(acceptEntries(entries), stale);
        if (stale) return;
        updateCurrentList(entries, true);
        restoreEvidence();
    }
    void onListChange(const std::vector<discovery::ServerListEntry>& changed) override {
        std::vector<discovery::ServerListEntry> entries =
            discovery::replacedServers(currentList.servers, changed);
        entries.insert(entries.end(), changed.begin(), changed.end());
        writeLog(logging::Level::Info, "list-changed", {{"boxes", entries.size()}});
        core->onServerListChange(acceptEntries(entries));
        updateCurrentList(entries, false);
    }
    void onListUnreachable(const std::string& why) override {
        writeLog(logging::Level::Warning, "list-unreachable", {{"why", why}});
        core->onServerListFailure();
    }
    void onListAnomaly(const std::string& why) override {
        writeLog(logging::Level::Warning, "list-odd", {{"why", why}});
    }

    // Loads the saved server evidence. A file that is missing, truncated, of another version or too old is
    // logged and ignored.
    void loadEvidence() {
        if (settings.evidencePath.empty()) return;
        try {
            if (!std::filesystem::exists(settings.evidencePath))
                throw std::runtime_error("the file does not exist");
            evidence::EvidenceFile evidenceFile = evidence::parseEvidenceFile(
                settings.evidencePath, settings::readFile(settings.evidencePath), settings.listLimits.boxes);
            const Micros fileAge = net.wallNow() - evidenceFile.savedAt;
            if (fileAge < 0 || fileAge > settings.evidenceMaxAge)
                throw std::runtime_error("the file is older than keep-for or dated in the future");
            for (evidence::EvidenceEntry& b : evidenceFile.servers) b.evidence.age += fileAge;
            restoredEvidence = std::move(evidenceFile);
        } catch (const std::exception& e) {
            writeLog(logging::Level::Warning, "learnt-not-taken", {{"why", e.what()}});
        }
    }
    std::map<SfuId, Micros> launchTimes() const {  // of all listed servers, by the wall clock
        std::map<SfuId, Micros> out;
        for (const discovery::ServerListEntry& box : currentList.servers)
            out.emplace(box.sfu.id, box.sfu.launched);
        return out;
    }
    // Restores the evidence of those servers that are listed now and have not been restarted since.
    void restoreEvidence() {
        if (restoredEvidence.servers.empty()) return;
        const auto launched = launchTimes();
        std::vector<ServerEvidence> matching;
        for (const evidence::EvidenceEntry& b : restoredEvidence.servers)
            if (const auto listed = launched.find(b.evidence.id);
                listed != launched.end() && listed->second == b.launched)
                matching.push_back(b.evidence);
        writeLog(
            logging::Level::Info, "learnt-taken",
            {{"boxes", matching.size()}, {"passed_over", restoredEvidence.servers.size() - matching.size()}});
        restoredEvidence.servers.clear();
        core->restoreServerEvidence(matching);
    }
    void saveEvidence() {
        if (!restoredEvidence.servers.empty()) return;  // no list yet: the saved file is still the best data
        evidence::EvidenceFile evidenceFile{net.wallNow(), {}};
        const auto launched = launchTimes();
        for (const ServerEvidence& what : core->serverEvidence())
            if (const auto listed = launched.find(what.id); listed != launched.end())
                evidenceFile.servers.push_back({what, listed->second});
        try {
            evidence::saveEvidenceFile(settings.evidencePath, evidenceFile);
        } catch (const std::exception& e) {
            writeLog(logging::Level::Warning, "learnt-not-kept", {{"why", e.what()}});
        }
    }

    void loadSavedList() {
        if (settings.listSavePath.empty() || !std::filesystem::exists(settings.listSavePath)) return;
        try {
            currentList =
                discovery::parseServerList(settings.listSavePath, settings::readFile(settings.listSavePath),
                                           names(), settings.listLimits);
            onList(currentList.servers, true);
        } catch (const std::exception& e) {
            writeLog(logging::Level::Warning, "kept-list-odd", {{"why", e.what()}});
        }
    }

    // Polls until everything is answered and playback has ended or reached its deadline, then shuts down.
    void continueStopping() {
        const bool isPlaying = httpFrontend->viewers() > 0 || (sipFrontend && sipFrontend->calls() > 0);
        if (core->unansweredCount() > 0 || (isPlaying && net.now() < stopDeadline)) {
            stopTimer.after(20'000);
            return;
        }
        if (!settings.evidencePath.empty()) saveEvidence();
        if (sipFrontend) sipFrontend->shutDown();
        httpFrontend->shutDown([this] {
            const core::CoreCounts& c = core->counts();
            writeLog(logging::Level::Info, "stopped",
                     {{"asked", c.requested},
                      {"played", c.played},
                      {"throttled", c.throttled},
                      {"terminated", c.terminated}});
            log.flush();
            if (onStopped) onStopped();
        });
    }
};

Front::Front(net::Net& net, const settings::Document& document, std::uint64_t seed, std::uint64_t epoch,
             const ModuleOverride& moduleOverride)
    : parts_(std::make_unique<Parts>(net, readSettings(document), seed, epoch, moduleOverride)) {}
Front::~Front() {
    if (parts_) {
        parts_->sipFrontend.reset();
        parts_->httpFrontend.reset();
        parts_->core.reset();
    }
}

net::Endpoint Front::http() const {
    return parts_->httpFrontend->endpoint();
}
frontends::HttpFrontend& Front::httpFrontend() {
    return *parts_->httpFrontend;
}
frontends::SipFrontend* Front::sipFrontend() {
    return parts_->sipFrontend.get();
}
core::Core& Front::core() {
    return *parts_->core;
}
void Front::stop(Micros playOn, std::function<void()> done) {
    parts_->writeLog(logging::Level::Info, "stopping", {{"play_on_us", playOn}});
    parts_->httpFrontend->stopAccepting();
    if (parts_->sipFrontend) parts_->sipFrontend->stopAccepting();
    parts_->onStopped = std::move(done);
    parts_->stopDeadline = parts_->net.now() + playOn;
    parts_->stopTimer.after(0);
}
Micros Front::stopTimeout() const {
    return parts_->settings.stopTimeout;
}
void Front::flush() {
    parts_->log.flush();
}
void Front::check(const settings::Document& document) {
    readSettings(document);
}

}  // namespace valekeel::front
