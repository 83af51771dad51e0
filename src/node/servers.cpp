#include "node/servers.hpp"

#include <algorithm>
#include <tuple>

namespace valekeel::node {
namespace {

// What a FINISH in place of an answer proves about a join. Whether a paid set-up may be retried depends on
// this one table.
struct FinishMeaning {
    JoinResult end;
    bool neverRan;
    const char* why;
};
FinishMeaning meaningOfCause(int cause) {
    switch (cause) {
        case kCauseFull:
            return {JoinResult::Full, true, "full: the protocol guarantees that it never ran"};
        case kCauseError:
            return {JoinResult::Error, false, "error: the media server looked at it"};
        case kCauseMoot:
            return {JoinResult::NeverSent, true, "moot: it was never sent"};
        default:
            return {JoinResult::Reset, false, "reset: it may have run"};
    }
}
JoinResult resultOfPlayback(int cause) {
    return cause == kCauseNormal      ? JoinResult::Played
           : cause == kCauseCancelled ? JoinResult::Cancelled
                                      : JoinResult::Reset;
}

std::string finishLine(const std::string& tag) {
    Message end;
    end.verb = "FINISH";
    end.tag = tag;
    end.cause = kCauseNormal;
    return formatMessage(end);
}

constexpr std::size_t kMaxEarlyNotices = 4;
constexpr Micros kCleanupInterval = 100'000;
// A message received this long after a FINISH was sent on the same connection shows that it was read.
constexpr Micros kEndDeliveredAfter = 2 * kSecond;
constexpr std::size_t kMaxUnclaimedReleases = 4'096;
constexpr Micros kUnclaimedReleaseLifetime = 30 * kSecond;  // hand-overs come in the first seconds
constexpr Micros kMaxConnectBackoff = 2 * kSecond;
constexpr std::ptrdiff_t kMaxProbesAtLimit = 2;  // connects under way to one server

}  // namespace

LoadReport parseLoadReport(const Message& message) {
    LoadReport load;
    const std::string* text = message.textOption("load");
    if (!text) return load;
    std::string_view rest = *text;
    while (!rest.empty()) {
        const auto end = rest.find(';');
        const std::string_view field = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const auto colon = field.find(':');
        if (colon == std::string_view::npos) continue;
        const auto value = parseNumber(field.substr(colon + 1));
        if (!value || *value < 0 || *value > 1e6) continue;
        const std::string_view name = field.substr(0, colon);
        if (name == "x0" || (name == "utilization" && !load.linkUse)) load.linkUse = *value;
        if (name == "x1") load.uplinkUse = *value;
    }
    return load;
}

class Servers::Connection final : public LineConnectionHandler {
  public:
    Connection(Servers& owner, Server& server, ConnectionNumber number, const net::Endpoint& endpoint,
               const LineConnection::Limits& limits)
        : owner(owner),
          server(&server),
          number(number),
          connectStartedAt(owner.net_.now()),
          transport(owner.net_, {owner.turns_, owner.buffers_}, endpoint,
                    std::max(owner.limits_.connectTimeout, owner.limits_.probeConnectTimeout), limits,
                    *this) {}
    void onOpen() override;
    void onDrained() override { owner.sendUnsentJoins(*this); }
    void onLine(std::string_view bytes) override {
        const auto message = parseMessage(bytes);
        // After an unreadable line the boundaries of later ones cannot be trusted.
        if (!message) {
            owner.reportAnomaly_("a media server's line can't be read", bytes.substr(0, 200));
            transport.close(true);
            return onDisconnect(DisconnectReason::Malformed);
        }
        owner.onMessage(*this, *message);
    }
    void onDisconnect(DisconnectReason reason) override {
        if (server) owner.onConnectionClosed(*this, reason);
    }

    Servers& owner;
    Server* server;                 // null once closed
    const ConnectionNumber number;  // in the order of opening
    std::set<SubId> pendingJoins;   // without an answer yet
    std::deque<SubId> unsentJoins;  // those of them that wait in this process
    bool isSuspect = false;         // silent for too long: takes no more joins
    Micros connectStartedAt, openedAt = 0;
    bool isConnecting() const { return !transport.isOpen() && !transport.isClosed(); }
    LineConnection transport;
};

struct Servers::Server {
    SfuId id;
    net::Endpoint endpoint;
    std::vector<std::unique_ptr<Connection>> connections;
    std::set<SubId> playing;  // this front's subscriptions there
    Micros lastReceivedAt = 0, nextProbeAt = 0;
    Micros probingSince = 0;  // first probe since the last sign of life; 0: none
    int refusals = 0;         // of connects, in a row
    void markAlive(Micros now) {
        lastReceivedAt = now;
        probingSince = 0;
        refusals = 0;
    }
    // A FINISH for an abandoned join or an ended playback: not sent yet, or sent and not confirmed yet.
    struct QueuedEnd {
        std::string tag;
        Micros queuedAt;
        Connection* sentOn;  // null: to be sent (again)
        Micros sentAt;
    };
    std::deque<QueuedEnd> queuedEnds;
    AttemptHistory attempts;
    Micros nextConnectAt = 0, connectBackoff = 0;  // of connections opened for queued ends
};

// A pending join, or a subscription that plays.
struct Servers::Session {
    SfuId serverId;
    std::string tag;
    int joinNo = 0;
    bool isPlaying = false, isEnding = false;
    Micros playingSince = 0;           // 0 for an adopted one
    Connection* connection = nullptr;  // of the set-up; null once closed, and if adopted
    AttemptProgress progress = AttemptProgress::Unanswered;
    bool isSent = false;             // handed to the kernel; until then it waits in unsentJoins
    std::uint64_t streamOffset = 0;  // of its START on the connection, in bytes
    int rung = 0;
    Micros requestedAt = 0, deadline = 0;
    std::unique_ptr<net::Timer> timer;  // until the join's deadline
    std::vector<Message> earlyNotices;  // notices that arrived before the answer
};

void Servers::Connection::onOpen() {
    ++owner.counts_.connects;
    openedAt = owner.net_.now();
    server->markAlive(openedAt);
    server->connectBackoff = 0;
    owner.sendQueuedEnds(*server);  // before new joins, which may reuse a tag
    owner.sendUnsentJoins(*this);
}

Servers::Servers(net::Net& net, const ServerLimits& limits, ServersHandler& handler)
    : net_(net),
      limits_(limits),
      handler_(handler),
      turns_(net),
      buffers_(net, limits.maxBufferedBytes),
      unclaimedReleases_({kMaxUnclaimedReleases, kUnclaimedReleaseLifetime}),
      deferredTimer_(net,
                     [this] {
                         std::deque<DeferredOutcome> outcomes;
                         outcomes.swap(deferredOutcomes_);
                         for (DeferredOutcome& deferred : outcomes)
                             core_->onJoinOutcome(deferred.id, deferred.joinNo, deferred.outcome);
                     }),
      deletionTimer_(net, [this] { closedConnections_.clear(); }),
      cleanupTimer_(net, [this] { cleanUp(); }) {
    cleanupTimer_.after(kCleanupInterval);
}
Servers::~Servers() = default;

Servers::Server* Servers::find(SfuId id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : it->second.get();
}
std::size_t Servers::playingCount() const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) count += server->playing.size();
    return count;
}
std::size_t Servers::pendingJoinCount() const {
    return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                  [](const auto& entry) { return !entry.second.isPlaying; }));
}
std::size_t Servers::queuedEndCount() const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) count += server->queuedEnds.size();
    return count;
}

std::size_t Servers::givenUpAttemptCount() const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) count += server->attempts.size();
    return count;
}

// ================= the list of media servers =================

void Servers::setAddress(SfuId id, const net::Endpoint& endpoint) {
    auto& server = servers_[id];
    if (!server) {
        server = std::make_unique<Server>();
        server->id = id;
    }
    if (server->endpoint == endpoint) return;
    server->endpoint = endpoint;
    // Another process may have the old address by now.
    closeConnections(*server, std::nullopt);
}

void Servers::remove(SfuId id) {
    const auto it = servers_.find(id);
    if (it == servers_.end()) return;
    const std::unique_ptr<Server> server = std::move(it->second);  // from here on nothing is sent to it
    servers_.erase(it);
    server->queuedEnds.clear();
    withdrawAllUnsent(*server, "its media server is off");
    closeConnections(*server, std::nullopt);
    endAllPlayback(*server, net_.now() + 1);
}

void Servers::onDraining(SfuId id) {
    if (Server* server = find(id)) withdrawAllUnsent(*server, "its media server is draining");
}

void Servers::onRestarted(SfuId id, Micros launched) {
    Server* server = find(id);
    if (!server) return;
    // The new process knows none of the old one's subscriptions and does not serve its connections, which
    // stay open if the machine vanished. Unsent joins were admitted while the server counted as warm.
    std::erase_if(server->queuedEnds, [&](const Server::QueuedEnd& end) { return end.queuedAt < launched; });
    server->attempts.expire(launched, [](const std::string&, SubId) { return false; });
    withdrawAllUnsent(*server, "its media server has restarted");
    closeConnections(*server, launched);
    endAllPlayback(*server, launched);
}

// Closes the connections that opened before `openedBefore`, or all if none is given, including those that are
// still connecting.
void Servers::closeConnections(Server& server, std::optional<Micros> openedBefore) {
    std::vector<Connection*> old;
    for (const auto& connection : server.connections)
        if (!openedBefore || (connection->transport.isOpen() && connection->openedAt < *openedBefore))
            old.push_back(connection.get());
    for (Connection* connection : old) closeConnection(*connection);
}

// ================= connections =================

// At the limit another connection is closed for it. Returns null if none can be spared.
Servers::Connection* Servers::openConnection(Server& server) {
    if (isAtConnectionLimit()) closeLeastNeededConnection();
    // Checked again: an end that was sent on the closed one may have opened the next at once.
    if (isAtConnectionLimit()) return nullptr;
    ++openConnections_;
    server.connections.push_back(std::make_unique<Connection>(
        *this, server, ++newestConnection_, server.endpoint,
        LineConnection::Limits{kMaxLineBytes, limits_.maxUnsentBytes, limits_.lineTimeout}));
    return server.connections.back().get();
}

bool Servers::hasUndeliveredEnd(const Connection& connection) const {
    const auto& ends = connection.server->queuedEnds;
    return std::any_of(ends.begin(), ends.end(),
                       [&](const Server::QueuedEnd& end) { return end.sentOn == &connection; });
}

// Closes a connection that carries nothing now: best a suspect one, else one that its server can do without,
// else the one that has been open the longest. A playing subscription needs no connection of its own: its
// media server reports what is due on the next one that opens (probe()). Does nothing if none can be closed.
void Servers::closeLeastNeededConnection() {
    const Micros now = net_.now();
    const auto isSpare = [](const Connection& connection) {
        const Server& server = *connection.server;
        return server.playing.empty() ||
               std::count_if(server.connections.begin(), server.connections.end(), [](const auto& other) {
                   return other->transport.isOpen() && !other->isSuspect;
               }) > 1;
    };
    const auto rank = [&](const Connection& connection) {
        return std::tuple(connection.isSuspect, isSpare(connection), now - connection.openedAt);
    };
    Connection* least = nullptr;
    for (const auto& [id, server] : servers_)
        for (const auto& connection : server->connections) {
            if (!connection->transport.isOpen() || !connection->pendingJoins.empty()) continue;
            if (!connection->isSuspect &&
                (now - connection->openedAt < limits_.minOpenTime || hasUndeliveredEnd(*connection)))
                continue;
            if (!least || rank(*connection) > rank(*least)) least = connection.get();
        }
    if (least) closeConnection(*least);
}

// Returns the best of the usable connections, else a new one; null if there are too many.
template <class IsUsable>
Servers::Connection* Servers::connectionFor(Server& server, IsUsable&& isUsable) {
    Connection* best = nullptr;
    for (const auto& connection : server.connections) {
        if (connection->transport.isClosed() || connection->isSuspect || !isUsable(*connection)) continue;
        // It may still open, late; but a new connection has better chances for a request made now.
        if (connection->isConnecting() &&
            net_.now() - connection->connectStartedAt >= limits_.connectTimeout / 2)
            continue;
        if (!best || (connection->transport.isOpen() && !best->transport.isOpen())) best = connection.get();
    }
    return best ? best : openConnection(server);
}

Servers::Connection* Servers::connectionForJoin(Server& server, const std::string& tag, bool isPaid) {
    return connectionFor(server, [&](const Connection& connection) {
        if (connection.pendingJoins.size() >= limits_.maxJoinsPerConnection) return false;
        // Late messages about an earlier attempt of this set-up may still arrive there.
        if (server.attempts.mayReportOn(connection.number, tag)) return false;
        // If the peer closes an idle connection just as a paid set-up is sent, nobody knows whether that ran.
        const Micros lastUsedAt =
            std::max(connection.transport.lastReceivedAt(), connection.transport.lastSentAt());
        return !isPaid || !connection.transport.isOpen() ||
               net_.now() - lastUsedAt <= limits_.maxIdleForPaidJoin;
    });
}

// Whether a connection is open that has brought something within the silence timeout.
bool Servers::hasLiveConnection(const Server& server) const {
    return std::any_of(server.connections.begin(), server.connections.end(), [&](const auto& connection) {
        return connection->transport.isOpen() &&
               net_.now() - connection->transport.lastReceivedAt() <= limits_.silenceTimeout;
    });
}

void Servers::sendLine(Server& server, const std::string& line) {
    if (Connection* connection = connectionFor(server, [](const Connection&) { return true; }))
        connection->transport.send(line);
}

void Servers::closeConnection(Connection& connection) {
    if (!connection.server) return;  // closed meanwhile, to make room for another
    connection.transport.close();
    onConnectionClosed(connection, DisconnectReason::Closed);
}

void Servers::onConnectionClosed(Connection& connection, DisconnectReason reason) {
    Server& server = *connection.server;
    if (reason == DisconnectReason::Refused) ++counts_.refused;
    if (reason == DisconnectReason::Unreachable) ++counts_.noConnect;
    if (reason == DisconnectReason::Reset) ++counts_.broken;
    if (reason == DisconnectReason::Malformed) ++counts_.garbled;
    const auto it = std::find_if(server.connections.begin(), server.connections.end(),
                                 [&](const auto& other) { return other.get() == &connection; });
    std::unique_ptr<Connection> closed = std::move(*it);
    server.connections.erase(it);
    closed->server = nullptr;
    --openConnections_;
    server.attempts.onConnectionClosed(closed->number);
    for (const SubId id : server.playing)
        if (const auto session = sessions_.find(id); session != sessions_.end())
            if (session->second.connection == closed.get()) session->second.connection = nullptr;
    const std::set<SubId> pendingJoins = std::move(closed->pendingJoins);
    const std::uint64_t writtenBytes = closed->transport.writtenBytes();
    bool mustResend = false;
    for (Server::QueuedEnd& end : server.queuedEnds)
        if (end.sentOn == closed.get()) {  // it may not have arrived
            end.sentOn = nullptr;
            mustResend = true;
        }
    deleteLater(std::move(closed));
    if (mustResend) sendQueuedEnds(server);
    if (reason == DisconnectReason::Refused || reason == DisconnectReason::Unreachable) {
        const Micros now = net_.now();
        server.refusals = reason == DisconnectReason::Refused ? server.refusals + 1 : 0;
        if (reason == DisconnectReason::Refused) server.nextProbeAt = now + limits_.probeDelayAfterRefusal;
        // Refused twice in a row: nobody listens, so the process has died, and its subscriptions with it. A
        // process that only takes no more connections keeps those that stand; a dying one resets them.
        const bool isLost = (server.refusals >= 2 && !hasLiveConnection(server)) ||
                            (server.probingSince > 0 && now - server.probingSince >= limits_.lostAfter);
        if (isLost && !server.playing.empty()) {
            ++counts_.foundLost;
            // If only the network is cut, the server still plays: end that when it can be reached again.
            for (const SubId id : std::set<SubId>(server.playing))
                if (const auto session = sessions_.find(id); session != sessions_.end())
                    queueEnd(server, session->second.tag, nullptr);
            endAllPlayback(server, net_.now() + 1);
        }
    } else if (reason != DisconnectReason::OutOfDescriptors) {
        server.nextProbeAt = net_.now();  // the whole server may be down: probe at once
    }
    for (const SubId id : pendingJoins) {
        const auto session = sessions_.find(id);
        if (session == sessions_.end() || session->second.isPlaying) continue;
        core::JoinOutcome outcome;
        outcome.why = nameOf(reason);
        // What the local kernel never took was not read by the server.
        outcome.neverRan = !session->second.isSent || writtenBytes <= session->second.streamOffset;
        outcome.result = reason == DisconnectReason::OutOfDescriptors ? JoinResult::NeverSent
                         : outcome.neverRan                           ? JoinResult::NoConnection
                                                                      : JoinResult::Reset;
        finishJoin(id, outcome);
    }
}

void Servers::deleteLater(std::unique_ptr<Connection> connection) {
    closedConnections_.push_back(std::move(connection));
    deletionTimer_.soon();
}

// ================= joins =================

void Servers::deferOutcome(SubId id, int joinNo, core::JoinOutcome outcome) {
    deferredOutcomes_.push_back({id, joinNo, outcome});
    deferredTimer_.soon();
}

void Servers::join(SubId id, int joinNo, SfuId serverId, int rung, Micros timeOut, bool paid) {
    const SetupRequest* request = handler_.findSetupRequest(id);
    Server* server = find(serverId);
    Connection* connection = request && server ? connectionForJoin(*server, request->tag, paid) : nullptr;
    if (!connection || timeOut <= 0)
        return deferOutcome(
            id, joinNo,
            {JoinResult::NeverSent, true, 0, {}, "not sent: no usable connection, or no time left"});
    Session& session = sessions_[id];
    session.serverId = serverId;
    session.tag = request->tag;
    session.joinNo = joinNo;
    session.isPlaying = session.isEnding = session.isSent = false;
    session.progress = AttemptProgress::Unanswered;
    session.earlyNotices.clear();
    session.connection = connection;
    session.rung = rung;
    session.requestedAt = net_.now();
    session.deadline = net_.now() + timeOut;
    session.timer = std::make_unique<net::Timer>(net_, [this, id] {
        const auto it = sessions_.find(id);
        if (it == sessions_.end() || it->second.isPlaying) return;
        const Session& pending = it->second;
        if (!pending.isSent && pending.connection->isConnecting())
            return withdrawUnsent(id, JoinResult::NoConnection, "no connection in time");
        // Nothing was received since the request: the connection may be dead.
        if (pending.connection->transport.lastReceivedAt() <= pending.requestedAt)
            pending.connection->isSuspect = true;
        abandonJoin(id, JoinResult::TimedOut, "timed out");
    });
    // While connecting it waits no longer than the settings' connect timeout.
    session.timer->after(connection->isConnecting() ? std::min(timeOut, limits_.connectTimeout) : timeOut);
    byTag_[session.tag] = id;
    connection->pendingJoins.insert(id);
    connection->unsentJoins.push_back(id);
    sendUnsentJoins(*connection);
}

// The only place that sends set-ups. One is handed to the kernel only when the connection is open and nothing
// before it is unsent. Until then it can be withdrawn: its viewer leaves, its time runs out, or its server
// drains, restarts or disappears. Guards against a set-up that reaches the server long after the decision,
// because the connection opens late or the peer does not read.
void Servers::sendUnsentJoins(Connection& connection) {
    while (!connection.unsentJoins.empty() && connection.transport.canSend()) {
        const SubId id = connection.unsentJoins.front();
        connection.unsentJoins.pop_front();
        const auto it = sessions_.find(id);
        const SetupRequest* request = handler_.findSetupRequest(id);
        if (it == sessions_.end() || !request || net_.now() >= it->second.deadline)
            continue;  // its timer handles it
        Session& session = it->second;
        // A queued end of an earlier attempt with the same tag must not end this one.
        auto& queuedEnds = connection.server->queuedEnds;
        const auto earlier =
            std::find_if(queuedEnds.begin(), queuedEnds.end(),
                         [&](const Server::QueuedEnd& end) { return end.tag == session.tag; });
        if (earlier != queuedEnds.end()) {
            if (earlier->sentOn != &connection) connection.transport.send(finishLine(session.tag));
            queuedEnds.erase(earlier);
        }
        Message setup;
        setup.verb = "START";
        setup.tag = request->tag;
        setup.options["class"] = request->room;
        setup.options["key"] = request->title;
        setup.options["left"] =
            std::to_string((std::max<Micros>(1, session.deadline - net_.now()) + 999) / 1000);
        setup.options["rung"] = std::to_string(session.rung);
        setup.description = request->description;
        session.isSent = true;
        session.timer->at(session.deadline);
        session.streamOffset = connection.transport.send(formatMessage(setup));
    }
}

// Ends a join that was never sent.
void Servers::withdrawUnsent(SubId id, JoinResult end, const char* why) {
    const Session& session = sessions_.at(id);
    std::erase(session.connection->unsentJoins, id);
    ++counts_.withdrawn;
    finishJoin(id, {end, true, net_.now() - session.requestedAt, {}, why});
}

void Servers::withdrawAllUnsent(Server& server, const char* why) {
    std::vector<SubId> unsent;
    for (const auto& connection : server.connections)
        unsent.insert(unsent.end(), connection->unsentJoins.begin(), connection->unsentJoins.end());
    for (const SubId id : unsent) {
        const auto it = sessions_.find(id);  // ending one join may have ended another
        if (it != sessions_.end() && !it->second.isPlaying && !it->second.isSent &&
            it->second.serverId == server.id)
            withdrawUnsent(id, JoinResult::NoConnection, why);
    }
}

void Servers::withdraw(SubId id, int joinNo) {
    const auto it = sessions_.find(id);
    if (it != sessions_.end() && !it->second.isPlaying && !it->second.isSent && it->second.joinNo == joinNo)
        withdrawUnsent(id, JoinResult::Cancelled, "its viewer has left");
}

void Servers::cancel(SubId id, int joinNo) {
    const auto it = sessions_.find(id);
    if (it != sessions_.end() && !it->second.isPlaying && it->second.joinNo == joinNo)
        abandonJoin(id, JoinResult::Cancelled, "cancelled");
}

// A join that was sent may run, so its FINISH follows on the same connection. One that was not sent is
// withdrawn; a timeout then means that the connection did not open in time or that its peer does not read.
void Servers::abandonJoin(SubId id, JoinResult end, const char* why) {
    const Session& session = sessions_.at(id);
    if (!session.isSent)
        return withdrawUnsent(id, end == JoinResult::TimedOut ? JoinResult::NoConnection : end, why);
    Connection& connection = *session.connection;
    if (!connection.server) return;  // the connection has just closed, which ends this join
    connection.transport.send(finishLine(session.tag));
    queueEnd(*connection.server, session.tag, &connection);
    justEnded_ = id;
    finishJoin(id, {end, false, net_.now() - session.requestedAt, {}, why});
    justEnded_ = {};
}

// The only end of an unanswered join. Removes it first, because the core may send the next one at once.
void Servers::finishJoin(SubId id, core::JoinOutcome outcome) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    const int joinNo = it->second.joinNo;
    if (!outcome.neverRan) recordGivenUp(id, it->second);
    if (it->second.connection) it->second.connection->pendingJoins.erase(id);
    byTag_.erase(it->second.tag);
    sessions_.erase(it);
    core_->onJoinOutcome(id, joinNo, outcome);
}

// Its answer and its release may arrive while the next attempt with its tag is out.
void Servers::recordGivenUp(SubId id, const Session& session) {
    Server* server = find(session.serverId);
    if (!server) return;
    if (server->attempts.size() >= limits_.maxUnusedAttempts) expireAttempts(*server, net_.now());
    AttemptHistory::GivenUpAttempt attempt;
    if (session.connection->server) attempt.connection = session.connection->number;
    attempt.progress = session.progress;
    server->attempts.add(session.tag, id, attempt, newestConnection_, net_.now());
}

// Keeps the attempts of set-ups that may be tried again.
void Servers::expireAttempts(Server& server, Micros givenUpBefore) {
    server.attempts.expire(givenUpBefore, [this](const std::string& tag, SubId id) {
        return byTag_.count(tag) > 0 || handler_.findSetupRequest(id);
    });
}

// Ends an abandoned set-up or a playing subscription, unless its FINISH is queued already.
void Servers::release(SubId id, int /*joinNo*/, SfuId serverId) {
    const SetupRequest* request = handler_.findSetupRequest(id);
    Server* server = find(serverId);
    const auto it = sessions_.find(id);
    const bool alreadySent = it != sessions_.end() ? it->second.isEnding : justEnded_ == id;
    if (server && request && !alreadySent) queueEnd(*server, request->tag, nullptr);
    if (it != sessions_.end() && it->second.isPlaying) forget(id);
}

void Servers::endPlayback(SubId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.isPlaying || it->second.isEnding) return;
    it->second.isEnding = true;
    if (Server* server = find(it->second.serverId)) queueEnd(*server, it->second.tag, nullptr);
}

// ================= queued ends =================

// Queues a FINISH for a subscription that may play for nobody, also if no connection is open now or the one
// that carried the FINISH breaks: a lost FINISH would keep its seat and its share of the link occupied
// forever.
void Servers::queueEnd(Server& server, const std::string& tag, Connection* sentOn) {
    if (server.queuedEnds.size() >= limits_.maxQueuedEnds) {
        ++counts_.endsDropped;
        const auto sent = std::find_if(server.queuedEnds.begin(), server.queuedEnds.end(),
                                       [](const Server::QueuedEnd& end) { return end.sentOn; });
        server.queuedEnds.erase(sent != server.queuedEnds.end() ? sent : server.queuedEnds.begin());
    }
    server.queuedEnds.push_back({tag, net_.now(), sentOn, net_.now()});
    if (!sentOn) sendQueuedEnds(server);
}

void Servers::sendQueuedEnds(Server& server) {
    const auto isUnsent = [](const Server::QueuedEnd& end) { return !end.sentOn; };
    if (std::none_of(server.queuedEnds.begin(), server.queuedEnds.end(), isUnsent)) return;
    // On a suspect connection only for want of another: an end that is not read there is sent again later.
    const auto rank = [](const Connection& connection) {
        return std::pair(!connection.isSuspect, connection.transport.lastReceivedAt());
    };
    Connection* target = nullptr;
    for (const auto& connection : server.connections)
        if (connection->transport.isOpen() && (!target || rank(*connection) > rank(*target)))
            target = connection.get();
    if (!target) return connectForQueuedEnds(server);
    for (Server::QueuedEnd& end : server.queuedEnds) {
        if (end.sentOn) continue;
        target->transport.send(finishLine(end.tag));
        counts_.endsSentLate += end.queuedAt < net_.now();
        end.sentOn = target;
        end.sentAt = net_.now();
    }
    // Last, as it may close the suspect connection to make room.
    if (target->isSuspect) connectForQueuedEnds(server);
}

// Opens a connection for queued ends, with a backoff that doubles while none opens.
void Servers::connectForQueuedEnds(Server& server) {
    const Micros now = net_.now();
    const bool isConnecting = std::any_of(server.connections.begin(), server.connections.end(),
                                          [](const auto& connection) { return connection->isConnecting(); });
    if (isConnecting || now < server.nextConnectAt) return;
    server.connectBackoff =
        std::clamp(2 * server.connectBackoff, limits_.probeDelayAfterRefusal, kMaxConnectBackoff);
    server.nextConnectAt = now + server.connectBackoff;
    openConnection(server);
}

void Servers::setRung(SubId id, int rung) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || !it->second.isPlaying) return;
    Server* server = find(it->second.serverId);
    if (!server) return;
    Message rate;
    rate.verb = "RATE";
    rate.tag = it->second.tag;
    rate.options["rung"] = std::to_string(rung);
    sendLine(*server, formatMessage(rate));
}

void Servers::adopt(SubId id, SfuId serverId) {
    Server* server = find(serverId);
    const SetupRequest* request = handler_.findSetupRequest(id);
    if (!server || !request) return;
    Session& session = sessions_[id];
    session.serverId = serverId;
    session.tag = request->tag;
    session.isPlaying = true;
    byTag_[session.tag] = id;
    if (server->playing.empty()) server->lastReceivedAt = net_.now();
    server->playing.insert(id);
    const UnclaimedRelease* found = unclaimedReleases_.find(session.tag);
    if (!found || found->server != serverId) return;
    const UnclaimedRelease release = *found;
    unclaimedReleases_.remove(session.tag);
    handler_.onPlaybackEnded(id, resultOfPlayback(release.cause), release.cause, release.load);
    forget(id);
}

void Servers::forget(SubId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    if (Server* server = find(it->second.serverId)) server->playing.erase(id);
    if (it->second.connection) it->second.connection->pendingJoins.erase(id);
    byTag_.erase(it->second.tag);
    sessions_.erase(it);
}

// ================= received messages =================

void Servers::onMessage(Connection& connection, const Message& message) {
    Server& server = *connection.server;
    server.markAlive(net_.now());
    const auto tagged = byTag_.find(message.tag);
    const auto it = tagged == byTag_.end() ? sessions_.end() : sessions_.find(tagged->second);
    const bool isOut = it != sessions_.end() && it->second.serverId == server.id &&
                       (it->second.isPlaying || it->second.isSent);
    AttemptHistory::CurrentAttempt current;
    if (isOut && it->second.connection) current.connection = it->second.connection->number;
    current.isPlaying = isOut && it->second.isPlaying;
    const MessageSubject subject =
        server.attempts.classify(connection.number, message, isOut ? &current : nullptr);
    if (message.verb == "FINISH") onFinish(connection, message, subject);
    if (subject == MessageSubject::Earlier) {
        ++counts_.aboutEarlierAttempts;
        return reportAnomaly_("about an attempt that was given up", formatMessage(message));
    }
    if (!isOut) return onUnknownTag(server, message);
    if (it->second.isPlaying) return onSessionMessage(it->first, it->second, message);
    onJoinMessage(it->first, it->second, server, message);
}

// About a duplicate, an ended subscription, one that is still to be handed over, or a tag never sent to this
// server. A release is confirmed, so it does not come again: it is kept for a hand-over that follows it.
void Servers::onUnknownTag(Server& server, const Message& message) {
    ++counts_.unknown;
    if (message.verb == "FINISH" && !byTag_.count(message.tag) && isValidTag(message.tag))
        unclaimedReleases_.add(message.tag, {server.id, message.cause.value_or(0), parseLoadReport(message)},
                               net_.now());
    reportAnomaly_("about no subscription held there", formatMessage(message));
}

// Confirms a release or refusal, and removes the queued end that it answers.
void Servers::onFinish(Connection& connection, const Message& message, MessageSubject subject) {
    Message reply;
    reply.verb = "FINISHED";
    reply.tag = message.tag;
    connection.transport.send(formatMessage(reply));
    Server& server = *connection.server;
    // An earlier attempt's release says nothing of a later attempt's end that was sent elsewhere.
    std::erase_if(server.queuedEnds, [&](const Server::QueuedEnd& end) {
        return end.sentOn && end.tag == message.tag &&
               (subject != MessageSubject::Earlier || end.sentOn == &connection);
    });
    // If this was an earlier attempt's release, the current one still plays: end that too.
    if (subject == MessageSubject::Unclear) queueEnd(server, message.tag, nullptr);
}

void Servers::onJoinMessage(SubId id, Session& session, Server& server, const Message& message) {
    const Micros took = net_.now() - session.requestedAt;
    // Notices may overtake the answer; they are kept, as they hold the latest load of this server.
    if (message.verb == "NOTICE") {
        ++counts_.earlyNotices;
        if (session.earlyNotices.size() < kMaxEarlyNotices) session.earlyNotices.push_back(message);
        return;
    }
    if (message.verb == "STARTED") {
        session.progress = AttemptProgress::Answered;
        if (!message.description) {  // it has run, but there is nothing to pass on to the viewer
            finishJoin(id, {JoinResult::Reset, false, took, {}, "response without a description"});
            return;
        }
        const int joinNo = session.joinNo;
        session.isPlaying = true;
        session.playingSince = net_.now();
        session.timer.reset();
        session.connection->pendingJoins.erase(id);
        server.playing.insert(id);
        const std::vector<Message> notices = std::exchange(session.earlyNotices, {});
        handler_.onAnswer(id, *message.description);
        core_->onJoinOutcome(id, joinNo, {JoinResult::Played, false, took, {}, "played"});
        for (const Message& notice : notices) {
            const auto current = sessions_.find(id);
            if (current != sessions_.end()) onSessionMessage(id, current->second, notice);
        }
    } else if (message.verb == "FINISH") {
        session.progress = AttemptProgress::Ended;
        const FinishMeaning meaning = meaningOfCause(message.cause.value_or(0));
        if (meaning.end == JoinResult::Error)
            if (const SetupRequest* request = handler_.findSetupRequest(id))
                reportAnomaly_(
                    "a media server could not use a set-up",
                    request->tag + " " + request->room + " " + request->title + " " + request->description);
        finishJoin(id, {meaning.end, meaning.neverRan, took, parseLoadReport(message), meaning.why});
    }
}

void Servers::onSessionMessage(SubId id, Session& session, const Message& message) {
    const SfuId serverId = session.serverId;
    if (message.verb == "FINISH") {
        const int cause = message.cause.value_or(0);
        if (message.textOption("load")) ++counts_.loadReports;
        handler_.onPlaybackEnded(id, resultOfPlayback(cause), cause, parseLoadReport(message));
        return forget(id);
    }
    if (message.verb != "NOTICE") return;
    const std::string* note = message.textOption("note");
    const auto value = message.numberOption("value");
    if (!note || !value) return;
    if (*note == "served") {
        ++counts_.notices[0];
        core_->onShareDelivered(id, serverId, *value);
    } else if (*note == "at_rung") {
        ++counts_.notices[1];
        core_->onRungInForce(id, static_cast<int>(*value));
    } else if (*note == "link_use") {
        ++counts_.notices[2];
        core_->onLoadReport(id, serverId, *value, std::nullopt);
    } else if (*note == "rack_use") {
        ++counts_.notices[3];
        core_->onLoadReport(id, serverId, std::nullopt, *value);
    }
}

// Ends all that began to play before `startedBefore`; what began later belongs to a newer process.
void Servers::endAllPlayback(Server& server, Micros startedBefore) {
    const std::set<SubId> playing = server.playing;
    for (const SubId id : playing) {
        const auto it = sessions_.find(id);
        if (it == sessions_.end() || it->second.playingSince >= startedBefore) continue;
        handler_.onPlaybackEnded(id, JoinResult::Reset, kCauseCut, LoadReport{});
        forget(id);
    }
}

// ================= probes and cleanup =================

// A machine that vanished sends nothing, and its connections stay open; viewers must learn that what it
// played is over. So a server that plays for this front and is silent, or has no open connection, is probed
// with new connections, one after another; if none opens within limits_.lostAfter, the server counts as lost.
// The connect timeout of set-ups is no measure of that: some connections open late, and a few never do.
// At the limit of connections, servers that have none are connected to in turn, as their releases arrive only
// on a connection.
void Servers::probe(Server& server) {
    const Micros now = net_.now();
    if (server.playing.empty() || now < server.nextProbeAt) return;
    const auto connecting = std::count_if(server.connections.begin(), server.connections.end(),
                                          [](const auto& connection) { return connection->isConnecting(); });
    const bool isAtLimit = isAtConnectionLimit();
    if (connecting >=
        (isAtLimit ? kMaxProbesAtLimit : limits_.probeConnectTimeout / limits_.probeInterval + 1))
        return;
    const bool isSilent = now - server.lastReceivedAt > limits_.silenceTimeout;
    const bool hasNoConnection = std::none_of(
        server.connections.begin(), server.connections.end(),
        [](const auto& connection) { return connection->transport.isOpen() && !connection->isSuspect; });
    if (!isSilent && !hasNoConnection) return;
    if (isSilent)
        for (const auto& connection : server.connections) connection->isSuspect = true;
    else if (isAtLimit && now - server.lastReceivedAt < limits_.revisitInterval)
        return;
    if (!openConnection(server)) return;  // nothing is tested, so this must not count towards a loss
    ++counts_.probes;
    if (server.probingSince == 0) server.probingSince = now;
    server.nextProbeAt = now + limits_.probeInterval;
}

// Removes the ends that were read, and those that nobody has confirmed for too long.
void Servers::removeDeliveredEnds(Server& server) {
    std::erase_if(server.queuedEnds, [&](const Server::QueuedEnd& end) {
        const bool isDelivered =
            end.sentOn && end.sentOn->transport.lastReceivedAt() - end.sentAt > kEndDeliveredAfter;
        const bool isExpired = net_.now() - end.queuedAt > limits_.queuedEndTimeout;
        counts_.endsDropped += isExpired && !end.sentOn;
        return isDelivered || isExpired;
    });
}

void Servers::cleanUp() {
    cleanupTimer_.after(kCleanupInterval);
    const Micros now = net_.now();
    unclaimedReleases_.expire(now);
    // The server not heard for the longest comes first, as connections may not suffice for all.
    std::vector<std::pair<Micros, SfuId>> ids;
    for (const auto& [id, server] : servers_) ids.emplace_back(server->lastReceivedAt, id);
    std::sort(ids.begin(), ids.end());
    for (const auto& [lastReceivedAt, id] : ids) {
        Server* server = find(id);
        if (!server) continue;
        probe(*server);
        removeDeliveredEnds(*server);
        sendQueuedEnds(*server);
        expireAttempts(*server, now - limits_.unusedAttemptTimeout);
        std::vector<Connection*> idle;
        std::size_t usable = 0;
        for (const auto& connection : server->connections)
            usable += connection->transport.isOpen() && !connection->isSuspect;
        for (const auto& connection : server->connections) {
            if (!connection->pendingJoins.empty() || !connection->transport.isOpen()) continue;
            const bool isUnused =
                now - std::max(connection->transport.lastReceivedAt(), connection->transport.lastSentAt()) >
                limits_.idleTimeout;
            // One is kept open to a server that plays: it carries notices and the end of the playback.
            if ((connection->isSuspect && usable > 0) ||
                (isUnused && (server->playing.empty() || usable > 1))) {
                idle.push_back(connection.get());
                usable -= !connection->isSuspect;
            }
        }
        for (Connection* connection : idle) {
            // What was sent on it arrives before the close, unless its peer reads nothing.
            if (!connection->isSuspect)
                std::erase_if(server->queuedEnds, [&](const auto& end) { return end.sentOn == connection; });
            closeConnection(*connection);
        }
    }
}

}  // namespace valekeel::node
