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

constexpr Micros kStatusInterval = 5 * kSecond;
constexpr Micros kAnswerMargin = 30'000;  // the core acts on a client timeout this much before it

// Planned restart. By the platform's rules connections arrive for up to 0.4 s after SIGTERM and requests for
// 0.2 s more; SIGKILL ("kill") comes no sooner than 0.7 s plus the longest client timeout, of which at most
// 3 s count. From when SIGTERM was received:
//   0 to 0.7 s     everything is accepted as before, so that nothing is lost if SIGKILL finds it open.
//   from 0.7 s     the stop completes once nothing is open, plays or waits to be sent, and kIdleChecks checks
//                  in a row saw no input: anything unread has been read by then.
//   kill - 0.4 s   playing subscriptions are released, to their viewers and at their media servers, which
//                  have 0.25 s to confirm; later ones are released as soon as they play; new set-ups are
//                  refused.
//   kill - 0.15 s  open set-ups are answered as failed: those that came last and have the longest client
//                  timeout had all of it but 0.05 s. Then all connections are half-closed.
//   kill - 0.05 s  the stop completes even if a peer has not closed its side.
// The margins allow for a fraction of a CPU core, on which a few milliseconds of work take ten times as long.
constexpr Micros kAcceptAfterStop = 700'000;
constexpr Micros kMaxCountedTimeout = 3 * kSecond;
constexpr Micros kReleaseMargin = 400'000, kAnswerMarginAtStop = 150'000, kEndMargin = 50'000;  // before kill
constexpr Micros kStopCheckInterval = 20'000;
constexpr int kIdleChecks = 3;

net::Endpoint endpointAt(const Json& object, const char* key, const std::string& where) {
    const std::string text = setup::text(object, key, where);
    if (const auto endpoint = net::parseEndpoint(text)) return *endpoint;
    setup::throwInvalid(where,
                        std::string("'") + key + "' is '" + text + "'; expected an address and a port");
}

// Refuses port 0, to which nobody can connect.
net::Endpoint changeLogEndpoint(const Json& configuration, const std::string& file) {
    const net::Endpoint endpoint = endpointAt(configuration, "changelog", file);
    if (endpoint.port == 0)
        setup::throwInvalid(
            file, "'changelog' is '" + net::toString(endpoint) + "'; expected an address and a port");
    return endpoint;
}

// Returns a part of the configuration; the error for a missing one suggests the most similar key.
const Json& section(const Json& configuration, const char* key, const std::string& file) {
    if (configuration.contains(key)) return setup::objectAt(configuration, key, file);
    std::set<std::string, std::less<>> names;
    for (const auto& [name, value] : configuration.items()) names.insert(name);
    const std::string near = settings::nearest(key, names);
    setup::throwInvalid(
        file, std::string("'") + key + "' is missing" + (near.empty() ? "" : "; there is a '" + near + "'"));
}

std::size_t maxDescriptors(const Json& configuration, const std::string& file) {
    const auto count = setup::integer(section(configuration, "limits", file), "sockets", file + ": limits");
    if (count < 64)
        setup::throwInvalid(file + ": limits",
                            "'sockets' is " + std::to_string(count) + "; at least 64 is required");
    return static_cast<std::size_t>(std::min<std::int64_t>(count, 100'000));
}

// The parts of the process's memory that viewers can fill: buffers of their connections, and set-ups that
// wait for their answer. Media servers are trusted with less: what is sent to them waits as a set-up until it
// can leave.
constexpr std::size_t kViewerMemoryParts = 4, kServerMemoryParts = 8;
constexpr std::size_t kDefaultMemoryMb = 64;

std::size_t maxMemoryBytes(const Json& configuration, const std::string& file) {
    const Json& limits = section(configuration, "limits", file);
    const auto megabytes = limits.contains("memory_mb")
                               ? setup::integer(limits, "memory_mb", file + ": limits")
                               : static_cast<std::int64_t>(kDefaultMemoryMb);
    if (megabytes < 16)
        setup::throwInvalid(file + ": limits",
                            "'memory_mb' is " + std::to_string(megabytes) + "; at least 16 is required");
    return static_cast<std::size_t>(std::min<std::int64_t>(megabytes, 1'000'000)) * 1024 * 1024;
}

Micros longestTimeout(const Json& settings, const std::string& where) {
    Micros longest = 0;
    for (const Json& room : setup::array(settings, "request_classes", where))
        longest = std::max(longest, setup::duration(room, "deadline", where));
    return longest;
}

ServerLimits serverLimits(const Json& settings, std::size_t maxDescriptors, std::size_t maxMemory,
                          const std::string& where) {
    const Json& allowed = setup::objectAt(settings, "allowed", where);
    ServerLimits limits;
    limits.maxConnections = maxDescriptors / 3;
    limits.maxBufferedBytes = maxMemory / kServerMemoryParts;
    limits.maxJoinsPerConnection = static_cast<std::size_t>(
        std::clamp<double>(setup::numberOr(allowed, "max_streams", 32, where), 1, 1024));
    if (const Micros timeout = setup::durationOrZero(allowed, "connect_timeout", where); timeout > 0)
        limits.connectTimeout = timeout;
    if (const Micros timeout = setup::durationOrZero(allowed, "conn_idle", where); timeout > 0) {
        limits.idleTimeout = timeout / 2;
        limits.maxIdleForPaidJoin = timeout / 4;
    }
    // Servers that send notices at an interval are silent if several are missing.
    if (const Micros interval = setup::parseReportTiming(settings, where).every; interval > 0)
        limits.silenceTimeout = std::clamp<Micros>(3 * interval / 2, 1'500'000, 4'000'000);
    return limits;
}

ViewerLimits viewerLimits(const Json& settings, std::size_t maxDescriptors, std::size_t maxMemory,
                          const std::string& where) {
    ViewerLimits limits;
    limits.maxConnections = maxDescriptors / 2;
    limits.maxBufferedBytes = limits.maxSetupBytes = maxMemory / kViewerMemoryParts;
    limits.maxClientTimeout = 10 * longestTimeout(settings, where);
    return limits;
}

SetupConstraints setupConstraints(const Json& settings, const std::string& where) {
    SetupConstraints constraints;
    const Ladder ladder = setup::parseLadder(settings, where);
    for (const RoomType& room : setup::parseRoomTypes(settings, ladder, where)) {
        constraints.roomNames.push_back(room.name);
        constraints.isPaid.push_back(room.paid);
    }
    constraints.rungCount = static_cast<int>(ladder.kb.size());
    constraints.cellCount = setup::parseFleet(settings, setup::parseNames(settings, where), where).cells;
    return constraints;
}

}  // namespace

Json parseConfiguration(const std::string& file, const std::string& text) {
    try {
        Json configuration = Json::parse(text);
        if (!configuration.is_object()) setup::throwInvalid(file, "an object is expected");
        return configuration;
    } catch (const Json::parse_error& error) {
        const std::size_t offset = std::min(error.byte > 0 ? error.byte - 1 : 0, text.size());
        const auto line =
            std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n') + 1;
        const auto lineBreak = offset == 0 ? std::string::npos : text.rfind('\n', offset - 1);
        const std::size_t column = offset - (lineBreak == std::string::npos ? 0 : lineBreak + 1) + 1;
        setup::throwInvalid(file + ":" + std::to_string(line) + ":" + std::to_string(column), "invalid JSON");
    }
}

std::uint64_t parseSeed(const Json& configuration) {
    const std::string text = setup::text(configuration, "seed", "configuration");
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        setup::throwInvalid("configuration", "'seed' is not a hexadecimal number");
    return seed;
}

// Owns the parts, applies changes of the list to them, and observes the core for the log.
struct Node::Impl final : core::CoreObserver, ChangeLogHandler {
    Impl(net::Net& net, const std::string& file, const Json& configuration, logging::Log& log)
        : net(net),
          file(file),
          log(log),
          settings(section(configuration, "settings", file)),
          where(file + ": settings"),
          names(setup::parseNames(settings, where)),
          listNames(names.kinds, names.zones),
          killAfter(std::min(kMaxCountedTimeout, longestTimeout(settings, where)) + kAcceptAfterStop),
          changeLogAddress(changeLogEndpoint(configuration, file)),
          known(parseKnownEvents(section(configuration, "known", file), listNames)),
          viewers(net, endpointAt(configuration, "listen", file),
                  viewerLimits(settings, maxDescriptors(configuration, file),
                               maxMemoryBytes(configuration, file), where),
                  setupConstraints(settings, where)),
          servers(net,
                  serverLimits(settings, maxDescriptors(configuration, file),
                               maxMemoryBytes(configuration, file), where),
                  viewers),
          core(net, setup::parseRoomTypes(settings, setup::parseLadder(settings, where), where),
               core::CoreLimits{20'000, kAnswerMargin, 0}, kSecond, servers, *this,
               [&](Host& host, Micros now) {
                   return setup::makeDecider<core::LogicModule>(host, now, parseSeed(configuration), settings,
                                                                where);
               }),
          changeLog(net, changeLogAddress, known.empty() ? 0 : known.back().sequenceNumber,
                    FrameReader(names.kinds.size(), names.zones.size(), 4096), ChangeLogTimings{}, *this),
          statusTimer(net, [this] { logStatus(); }),
          stopTimer(net, [this] { continueStop(); }) {
        const auto reportAnomaly = [this](const char* what, std::string_view detail) {
            writeLog(logging::Level::Warning, what, {{"seen", detail.substr(0, 400)}});
        };
        viewers.setAnomalyHandler(reportAnomaly);
        servers.setAnomalyHandler(reportAnomaly);
        viewers.attach(core, servers);
        servers.setCore(core);
        for (const ChangeEvent& event : known) applyEvent(event, true);
        known.clear();
        viewers.listen();
        changeLog.start();
        statusTimer.after(kStatusInterval);
    }

    // ---- the list of media servers ----
    // Converts a Unix time to the loop's clock; 0, the unknown time, stays 0.
    Micros toMonotonic(Micros unixTime) const {
        return unixTime <= 0 ? 0 : std::max<Micros>(1, net.now() - (net.wallNow() - unixTime));
    }
    // Removes the listed servers whose address the event gives to others, and returns them as off.
    std::vector<SfuEntry> takeReplaced(const ChangeEvent& event) {
        std::vector<discovery::ServerListEntry> all;
        for (const auto& [id, server] : listed) all.push_back({server.entry, server.endpoint});
        std::vector<SfuEntry> replaced;
        for (const discovery::ServerListEntry& server : discovery::replacedServers(all, event.entries)) {
            listed.erase(server.sfu.id);
            replaced.push_back(server.sfu);
        }
        return replaced;
    }
    void applyEvent(const ChangeEvent& event, bool isStale) {
        std::vector<SfuEntry> entries = takeReplaced(event);
        std::vector<std::pair<SfuId, Micros>> restarted;
        std::set<SfuId> present;
        for (const discovery::ServerListEntry& listEntry : event.entries) {
            SfuEntry entry = listEntry.sfu;
            const Micros started = listEntry.sfu.launched;
            const auto it = listed.find(entry.id);
            const bool isListed = it != listed.end();
            // A repeated start time keeps its converted value. Guards against taking it for a restart because
            // the two clocks drifted apart or the wall clock was set in between.
            entry.launched =
                isListed && started == it->second.started ? it->second.entry.launched : toMonotonic(started);
            entries.push_back(entry);
            present.insert(entry.id);
            if (entry.state != ServerState::Off && !servers.isKnown(entry.id))
                servers.setAddress(entry.id, listEntry.endpoint);
            if (isListed && started > it->second.started) restarted.emplace_back(entry.id, entry.launched);
            if (entry.state == ServerState::Off)
                listed.erase(entry.id);
            else
                listed[entry.id] = {entry, started, listEntry.endpoint};
        }
        std::vector<SfuId> removed;
        if (event.isFullList) {
            for (const auto& [id, server] : listed)
                if (!present.count(id)) removed.push_back(id);
            for (const SfuId id : removed) listed.erase(id);
            core.onServerList(entries, isStale);
        } else {
            core.onServerListChange(entries);
        }
        // After the core: joins that are withdrawn here are placed again at once, by the new list.
        for (const discovery::ServerListEntry& listEntry : event.entries)
            if (listEntry.sfu.state != ServerState::Off)
                servers.setAddress(listEntry.sfu.id, listEntry.endpoint);
        for (const auto& [id, launched] : restarted) servers.onRestarted(id, launched);
        for (const SfuEntry& entry : entries) {
            if (entry.state == ServerState::Off) removed.push_back(entry.id);
            if (entry.state == ServerState::Draining) servers.onDraining(entry.id);
        }
        for (const SfuId id : removed) servers.remove(id);
    }
    void onChange(const ChangeEvent& event) override {
        nlohmann::ordered_json fields{{"number", event.sequenceNumber}, {"whole", event.isFullList}};
        for (const discovery::ServerListEntry& listEntry : event.entries)
            fields["boxes"].push_back({listEntry.sfu.id.v, static_cast<int>(listEntry.sfu.state)});
        writeLog(logging::Level::Info, "list", std::move(fields));
        applyEvent(event, false);
    }
    // The list from the configuration is up to date once the change log has no further events.
    void onCurrent() override {
        if (isCurrent) return;
        isCurrent = true;
        std::vector<SfuEntry> entries;
        for (const auto& [id, server] : listed) entries.push_back(server.entry);
        core.onServerList(entries, false);
        writeLog(logging::Level::Info, "list current", {{"boxes", entries.size()}});
    }
    void onUnreachable(const std::string& why) override {
        writeLog(logging::Level::Warning, "change log lost",
                 {{"why", why}, {"last", changeLog.lastSequenceNumber()}});
        core.onServerListFailure();
    }

    // ---- core::CoreObserver ----
    void onClosed(SubId id, std::string_view) override {
        servers.forget(id);
        viewers.forget(id);
    }
    void onGuardTriggered(SubId id) override {
        writeLog(logging::Level::Error, "answered by the guard", {{"sub", id.v}});
    }
    void onPlacement(SubId, SfuId, const double* score, int candidates, std::uint64_t) override {
        withScore += score != nullptr;
        placements += 1;
        candidateTotal += candidates;
    }
    void onJoinSent(SubId id, int joinNo, SfuId server, int rung, Micros timeOut) override {
        if (log.isEnabled(logging::Level::Debug))
            writeLog(
                logging::Level::Debug, "join",
                {{"sub", id.v}, {"no", joinNo}, {"at", server.v}, {"rung", rung}, {"time_out", timeOut}});
    }
    void onJoinEnded(SubId id, int joinNo, SfuId server, const core::JoinOutcome& outcome) override {
        ++joinResults[static_cast<std::size_t>(outcome.result)];
        if (!outcome.neverRan) viewers.onJoinMayHaveRun(id);
        if (outcome.result != JoinResult::Played && log.isEnabled(logging::Level::Debug))
            writeLog(logging::Level::Debug, "join ended",
                     {{"sub", id.v},
                      {"no", joinNo},
                      {"at", server.v},
                      {"why", outcome.why},
                      {"took", outcome.took}});
    }

    void writeLog(logging::Level level, std::string_view what, nlohmann::ordered_json fields) {
        log.write(level, net.now(), net.wallNow(), what, std::move(fields));
    }
    void logStatus() {
        statusTimer.after(kStatusInterval);
        const auto& c = core.counts();
        const auto& v = viewers.counts();
        const auto& s = servers.counts();
        writeLog(logging::Level::Info, "status",
                 {{"held", core.subscriptionCount()},
                  {"unanswered", core.unansweredCount()},
                  {"conns", viewers.connectionCount()},
                  {"viewers_held_kb", viewers.heldBytes() / 1024},
                  {"links", servers.connectionCount()},
                  {"out", servers.pendingJoinCount()},
                  {"standing", servers.playingCount()},
                  {"boxes", listed.size()},
                  {"asked", c.requested},
                  {"played", c.played},
                  {"throttled", c.throttled},
                  {"terminated", c.terminated},
                  {"left", c.left},
                  {"broke", c.lost},
                  {"joins", c.joins},
                  {"guarded", c.guardAnswers},
                  {"chosen", placements},
                  {"fits", withScore},
                  {"among", placements ? candidateTotal / static_cast<double>(placements) : 0},
                  {"ends", joinResults},
                  {"viewers",
                   {{"accepted", v.accepted},
                    {"evicted", v.evicted},
                    {"silent", v.silent},
                    {"unreadable", v.unreadable},
                    {"unusable", v.unusable},
                    {"twice", v.duplicateTags},
                    {"handed_over", v.handedOver},
                    {"given_up", v.givenUp},
                    {"left_standing", v.leftPlaying},
                    {"released", v.released},
                    {"untold", v.undelivered}}},
                  {"servers",
                   {{"connects", s.connects},
                    {"refused", s.refused},
                    {"no_connect", s.noConnect},
                    {"broken", s.broken},
                    {"garbled", s.garbled},
                    {"unknown", s.unknown},
                    {"earlier_attempts", s.aboutEarlierAttempts},
                    {"early", s.earlyNotices},
                    {"figures", s.loadReports},
                    {"withdrawn", s.withdrawn},
                    {"owed", servers.queuedEndCount()},
                    {"ends_paid_late", s.endsSentLate},
                    {"ends_dropped", s.endsDropped},
                    {"notes", s.notices},
                    {"looked_for", s.probes},
                    {"found_gone", s.foundLost}}}});
    }

    // ---- the planned stop ----
    void continueStop() {
        stopTimer.after(kStopCheckInterval);
        const Micros elapsed = net.now() - stopRequestedAt;
        const auto isPast = [&](Micros margin) {
            return elapsed >= std::max(kAcceptAfterStop, killAfter - margin);
        };
        // Only checks after that time count: a process that was not scheduled for a while runs its timers
        // before it reads.
        idleChecks =
            elapsed >= kAcceptAfterStop && lastArrivalCount == viewers.arrivalCount() ? idleChecks + 1 : 0;
        lastArrivalCount = viewers.arrivalCount();
        const bool isIdle = core.unansweredCount() == 0 && core.subscriptionCount() == 0 &&
                            viewers.undeliveredReleaseCount() == 0;
        if (isPast(kReleaseMargin)) viewers.releaseAll();
        if (isPast(kAnswerMarginAtStop)) viewers.failOpenSetups();
        isClosing |= isPast(kAnswerMarginAtStop) ||
                     (elapsed >= kAcceptAfterStop && isIdle && idleChecks >= kIdleChecks);
        if (!isClosing) return;
        viewers.closeAll();
        if (viewers.connectionCount() + viewers.lingeringCount() > 0 && !isPast(kEndMargin)) return;
        stopTimer.cancel();
        writeLog(logging::Level::Info, "stopped", {{"after", elapsed}});
        if (done) std::exchange(done, {})();
    }

    net::Net& net;
    std::string file;
    logging::Log& log;
    Json settings;
    std::string where;
    setup::Names names;
    discovery::ListNames listNames;
    Micros killAfter;  // from SIGTERM to the earliest SIGKILL
    net::Endpoint changeLogAddress;
    std::vector<ChangeEvent> known;
    struct Listed {
        SfuEntry entry;      // `launched` on the loop's clock
        Micros started = 0;  // as received, in Unix microseconds
        net::Endpoint endpoint;
    };
    std::map<SfuId, Listed> listed;
    bool isCurrent = false;
    std::uint64_t placements = 0, withScore = 0;
    double candidateTotal = 0;
    std::array<std::uint64_t, 8> joinResults{};  // of joins, by JoinResult
    Viewers viewers;
    Servers servers;
    core::Core core;
    ChangeLogClient changeLog;
    net::Timer statusTimer, stopTimer;
    Micros stopRequestedAt = 0;
    std::uint64_t lastArrivalCount = 0;
    int idleChecks = 0;
    bool isClosing = false;
    std::function<void()> done;
};

Node::Node(net::Net& net, const std::string& file, const std::string& text, logging::Log& log)
    : impl_(std::make_unique<Impl>(net, file, parseConfiguration(file, text), log)) {}
Node::~Node() = default;

net::Endpoint Node::endpoint() const {
    return impl_->viewers.endpoint();
}

std::size_t Node::tableEntryCount() const {
    const Impl& impl = *impl_;
    return impl.core.subscriptionCount() + impl.viewers.tableEntryCount() + impl.servers.pendingJoinCount() +
           impl.servers.playingCount();
}
std::size_t Node::givenUpAttemptCount() const {
    return impl_->servers.givenUpAttemptCount();
}
std::size_t Node::viewersHeldBytes() const {
    return impl_->viewers.heldBytes();
}
std::size_t Node::connectionCount() const {
    return impl_->viewers.connectionCount() + impl_->viewers.lingeringCount();
}

void Node::reloadConfiguration(const std::string& text) {
    try {
        const Json configuration = parseConfiguration(impl_->file, text);
        const net::Endpoint endpoint = changeLogEndpoint(configuration, impl_->file);
        impl_->writeLog(logging::Level::Info, "configuration replaced",
                        {{"changelog", net::toString(endpoint)}});
        impl_->changeLog.switchTo(endpoint);
    } catch (const setup::InvalidValue& error) {
        impl_->writeLog(logging::Level::Error, "configuration passed over", {{"why", error.what()}});
    }
}

void Node::stop(std::function<void()> done) {
    if (impl_->done) return;
    impl_->done = std::move(done);
    impl_->stopRequestedAt = impl_->net.now();
    impl_->writeLog(logging::Level::Info, "stopping", {});
    impl_->continueStop();
}

}  // namespace valekeel::node
