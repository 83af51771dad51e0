// The media servers' side of the front node: sends joins, rungs and releases in the platform's protocol and
// receives answers, notices and ends. It chooses no server. One table (`meaningOfCause`) says what a refused
// join proves. Servers that vanished silently are found by opening connections, never by the protocol's test
// message, which sites may forbid.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "node/attempt_history.hpp"
#include "node/expiring_map.hpp"
#include "node/line_connection.hpp"
#include "node/message.hpp"

namespace valekeel::node {

struct ServerLimits {
    std::size_t maxConnections = 64;          // to all media servers together
    std::size_t maxJoinsPerConnection = 32;   // unanswered at once
    Micros connectTimeout = 250'000;          // how long a join waits for a connection
    Micros idleTimeout = 15'000'000;          // an unneeded connection is closed after
    Micros maxIdleForPaidJoin = 8'000'000;    // a paid join uses no connection that was idle for longer
    Micros silenceTimeout = 4'000'000;        // a server with playing subscriptions is probed after
    Micros probeDelayAfterRefusal = 150'000;  // after a refused connect
    Micros probeInterval = 400'000;           // between other probes
    Micros probeConnectTimeout = 1'200'000;   // connections may open this late without a loss
    Micros lostAfter = 2'500'000;             // of failed probes; then the server counts as lost
    // At the limit of connections, servers with playing subscriptions share them in turn.
    Micros minOpenTime = 500'000;             // a connection is kept open for: what is due arrives at once
    Micros revisitInterval = 3'000'000;       // a server without a connection is connected to again after
    std::size_t maxUnsentBytes = 256 * 1024;  // per connection
    std::size_t maxBufferedBytes = 16 * 1024 * 1024;  // unfinished and unsent, of all connections
    Micros lineTimeout = 400'000;                     // how long a line may stay incomplete
    std::size_t maxQueuedEnds = 512;                  // per server; the oldest sent ones are dropped first
    Micros queuedEndTimeout = 30'000'000;             // an undelivered end is dropped after
    std::size_t maxUnusedAttempts = 512;      // per server; given-up attempts of set-ups that are over
    Micros unusedAttemptTimeout = 8'000'000;  // such an attempt is forgotten after
};

// The parts of a viewer's set-up that are forwarded unchanged.
struct SetupRequest {
    std::string tag, room, title, description;
};

// Receives what media servers report of subscriptions. Must outlive Servers.
class ServersHandler {
  public:
    virtual ~ServersHandler() = default;
    // Returns null for an unknown subscription. The pointer is not kept.
    virtual const SetupRequest* findSetupRequest(SubId) = 0;
    virtual void onAnswer(SubId, const std::string& description) = 0;  // before the core hears of it
    // A subscription that played has ended at its media server, or with it.
    virtual void onPlaybackEnded(SubId, JoinResult, int cause, const LoadReport&) = 0;
};

// Totals since the start.
struct ServerCounts {
    std::uint64_t connects = 0, refused = 0, noConnect = 0, broken = 0, garbled = 0, unknown = 0, probes = 0,
                  foundLost = 0, earlyNotices = 0, loadReports = 0, withdrawn = 0, endsSentLate = 0,
                  endsDropped = 0, aboutEarlierAttempts = 0;
    std::array<std::uint64_t, 4> notices{};  // served, at_rung, link_use, rack_use
};

class Servers final : public core::JoinSender {
  public:
    Servers(net::Net&, const ServerLimits&, ServersHandler&);
    ~Servers() override;
    // Called with the anomaly and the part of the message that shows it; for the log.
    void setAnomalyHandler(std::function<void(const char* what, std::string_view detail)> handler) {
        reportAnomaly_ = std::move(handler);
    }
    void setCore(core::Core& core) { core_ = &core; }

    // Changes of the list of media servers, each after the core has heard of it. A server that is removed or
    // has restarted has lost what it played. Joins that were not sent yet to a server that is removed, drains
    // or has restarted are withdrawn.
    void setAddress(SfuId, const net::Endpoint&);  // a new server may be set before the core hears of it
    void remove(SfuId);
    void onDraining(SfuId);
    void onRestarted(SfuId, Micros launched);
    bool isKnown(SfuId id) const { return servers_.count(id) > 0; }

    // Takes over a subscription that already plays there. If its release has arrived before, reports that to
    // the handler before it returns.
    void adopt(SubId, SfuId);
    void setRung(SubId, int rung);  // of a playing subscription
    void endPlayback(SubId);        // ServersHandler::onPlaybackEnded() follows when the server confirms
    void forget(SubId);             // the core no longer holds it

    // core::JoinSender
    void join(SubId, int joinNo, SfuId, int rung, Micros timeOut, bool paid) override;
    void cancel(SubId, int joinNo) override;
    void withdraw(SubId, int joinNo) override;
    void release(SubId, int joinNo, SfuId) override;
    void followList() override {}

    std::size_t connectionCount() const { return openConnections_; }
    std::size_t playingCount() const;
    std::size_t pendingJoinCount() const;
    std::size_t queuedEndCount() const;       // ends to be sent or confirmed
    std::size_t givenUpAttemptCount() const;  // set-ups with attempts that may still report
    std::size_t unclaimedReleaseCount() const { return unclaimedReleases_.size(); }
    const ServerCounts& counts() const { return counts_; }

  private:
    class Connection;
    struct Server;
    struct Session;
    Server* find(SfuId);
    Connection* connectionForJoin(Server&, const std::string& tag, bool isPaid);
    template <class IsUsable>
    Connection* connectionFor(Server&, IsUsable&&);
    Connection* openConnection(Server&);
    void closeLeastNeededConnection();
    bool hasUndeliveredEnd(const Connection&) const;
    bool isAtConnectionLimit() const { return openConnections_ >= limits_.maxConnections; }
    bool hasLiveConnection(const Server&) const;
    void sendLine(Server&, const std::string& line);
    void sendUnsentJoins(Connection&);
    void withdrawUnsent(SubId, JoinResult, const char* why);
    void withdrawAllUnsent(Server&, const char* why);
    void queueEnd(Server&, const std::string& tag, Connection* sentOn);
    void sendQueuedEnds(Server&);
    void removeDeliveredEnds(Server&);
    void connectForQueuedEnds(Server&);
    void onMessage(Connection&, const Message&);
    void onFinish(Connection&, const Message&, MessageSubject);
    void onUnknownTag(Server&, const Message&);
    void onJoinMessage(SubId, Session&, Server&, const Message&);
    void onSessionMessage(SubId, Session&, const Message&);
    void onConnectionClosed(Connection&, DisconnectReason);
    void abandonJoin(SubId, JoinResult, const char* why);
    void finishJoin(SubId, core::JoinOutcome);
    void recordGivenUp(SubId, const Session&);
    void expireAttempts(Server&, Micros givenUpBefore);
    void closeConnection(Connection&);
    void closeConnections(Server&, std::optional<Micros> openedBefore);
    void deferOutcome(SubId, int joinNo, core::JoinOutcome);
    void endAllPlayback(Server&, Micros startedBefore);
    void probe(Server&);
    void cleanUp();
    void deleteLater(std::unique_ptr<Connection>);

    net::Net& net_;
    ServerLimits limits_;
    ServersHandler& handler_;
    std::function<void(const char*, std::string_view)> reportAnomaly_ = [](const char*, std::string_view) {};
    core::Core* core_ = nullptr;
    net::TurnQueue turns_;  // of connections to media servers, as is the next
    net::BufferBudget buffers_;
    std::map<SfuId, std::unique_ptr<Server>> servers_;
    std::map<SubId, Session> sessions_;
    std::map<std::string, SubId, std::less<>> byTag_;
    // Releases of sessions that are not held here: one may be handed over after its release. A media server
    // sends that as soon as a connection is open, and only once.
    struct UnclaimedRelease {
        SfuId server;
        int cause;
        LoadReport load;
    };
    ExpiringMap<UnclaimedRelease> unclaimedReleases_;
    // An outcome that is reported in the next turn, as join() must not call the core.
    struct DeferredOutcome {
        SubId id;
        int joinNo;
        core::JoinOutcome outcome;
    };
    std::deque<DeferredOutcome> deferredOutcomes_;
    std::optional<SubId> justEnded_;  // the abandoned join whose FINISH was just sent
    std::vector<std::unique_ptr<Connection>> closedConnections_;
    std::size_t openConnections_ = 0;
    ConnectionNumber newestConnection_ = 0;
    ServerCounts counts_;
    net::Timer deferredTimer_, deletionTimer_, cleanupTimer_;
};

// Parses the "load" option, such as "x0:12;x1:0.4": x0, else "utilization", is the link use, x1 the uplink
// use. Other names and unusable values are skipped.
LoadReport parseLoadReport(const Message&);

}  // namespace valekeel::node
