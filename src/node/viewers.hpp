// The viewers' side of the front node: accepts connections in the platform's protocol, receives set-ups,
// their ends and test messages, and sends answers and releases. Unreadable or unusable input is refused here
// and never reaches the core. Makes no other decision.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "node/expiring_map.hpp"
#include "node/line_connection.hpp"
#include "node/message.hpp"
#include "node/servers.hpp"

namespace valekeel::node {

struct ViewerLimits {
    std::size_t maxConnections = 340;
    std::size_t maxOpenSetups = 512;             // without an answer, per connection
    Micros firstMessageTimeout = 2'200'000;      // closes a connection that brought nothing usable
    Micros idleTimeout = 6'000'000;              // closes a connection without open set-ups or playback
    Micros lineTimeout = 2'000'000;              // how long a line may stay incomplete
    std::size_t maxUnsentBytes = 256 * 1024;     // per connection
    Micros maxClientTimeout = 60'000'000;        // that a viewer may ask for
    Micros releaseTimeout = 8'000'000;           // an undelivered release is dropped after
    Micros anyConnectionAfter = 3'000'000;       // and goes out on any usable connection after
    std::size_t maxUndeliveredReleases = 4'096;  // also of those sent but not confirmed
    // A release that is not confirmed when its connection ends this soon after it may be lost: it is sent
    // again.
    Micros confirmationTimeout = kSecond;
    Micros lingerTimeout = kSecond;  // see LingeringCloser
    std::size_t maxLingerBytes = 256 * 1024;
    std::size_t maxBufferedBytes = 16 * 1024 * 1024;  // unfinished and unsent, of all connections
    std::size_t maxSetupBytes = 16 * 1024 * 1024;     // of all set-ups without an answer
    Micros endTimeout = 400'000;  // for a media server to confirm the end of what a viewer left
};

// Totals since the start.
struct ViewerCounts {
    std::uint64_t accepted = 0, evicted = 0, silent = 0, unreadable = 0, unusable = 0, tests = 0, setups = 0,
                  handedOver = 0, played = 0, throttled = 0, terminated = 0, released = 0, givenUp = 0,
                  leftPlaying = 0, undelivered = 0, duplicateTags = 0;
};

// The values that a set-up may use, from the platform's settings.
struct SetupConstraints {
    std::vector<std::string> roomNames;  // by RoomTypeId
    std::vector<bool> isPaid;            // by RoomTypeId
    int cellCount = 1, rungCount = 1;
};

class Viewers final : public core::SubscriptionHandler, public ServersHandler, private net::ListenerHandler {
  public:
    Viewers(net::Net&, const net::Endpoint& listenAddress, const ViewerLimits&, SetupConstraints);
    ~Viewers() override;
    // Called with the anomaly and the part of the message that shows it; for the log.
    void setAnomalyHandler(std::function<void(const char* what, std::string_view detail)> handler) {
        reportAnomaly_ = std::move(handler);
    }
    // Must be called before listen(); both must outlive this object.
    void attach(core::Core& core, Servers& servers) {
        core_ = &core;
        servers_ = &servers;
    }
    // Throws std::runtime_error if the address can't be bound.
    void listen();
    net::Endpoint endpoint() const { return endpoint_; }  // after listen(): with the actual port
    void forget(SubId);                                   // the core no longer holds it
    void onJoinMayHaveRun(SubId);  // an attempt of the set-up ended, and its media server may have run it
    // The steps of a planned stop. The first releases all that plays, to its viewer and at its media server,
    // which has endTimeout to confirm; from then on set-ups are refused.
    void releaseAll();
    void failOpenSetups();  // answers every open set-up as failed
    // Closes the listener and all connections, by lingering closes; input that has arrived is read first.
    void closeAll();
    // Connections accepted and lines received so far.
    std::uint64_t arrivalCount() const { return counts_.accepted + lineCount_; }
    std::size_t undeliveredReleaseCount() const { return undeliveredReleases_.size(); }
    // Entries in all tables that grow with what viewers do; 0 once they have all left.
    std::size_t tableEntryCount() const {
        return subscriptions_.size() + byTag_.size() + undeliveredReleases_.size() +
               unconfirmedReleases_.size() + closedConnections_.size();
    }
    std::size_t connectionCount() const { return connections_.size(); }
    // What viewers fill: unfinished input, unsent output and set-ups without an answer, in bytes.
    std::size_t heldBytes() const { return buffers_.bytes() + setupBytes_; }
    std::size_t lingeringCount() const { return lingering_.size(); }
    const ViewerCounts& counts() const { return counts_; }

  private:
    class Connection;
    struct Subscription;
    // ---- core::SubscriptionHandler ----
    void onPlaying(SubId, SfuId, int rung) override;
    void onThrottled(SubId, Micros retryAfter) override;
    void onTerminated(SubId, core::TerminationReason) override;
    void onRungChanged(SubId, int rung) override;
    void onServerLost(SubId) override;
    void onFinished(SubId) override;
    // ---- ServersHandler ----
    const SetupRequest* findSetupRequest(SubId) override;
    void onAnswer(SubId, const std::string& description) override;
    void onPlaybackEnded(SubId, JoinResult, int cause, const LoadReport&) override;

    void onAccepted(std::unique_ptr<net::Stream>) override;
    void onLine(Connection&, std::string_view line);
    void onSetup(Connection&, const Message&);
    void onFinishMessage(Connection&, const Message&);
    void endPlayback(SubId, Subscription&);
    void rejectUnusable(Connection&, const Message&, const char* why);
    void onConnectionClosed(Connection&);
    void giveUpOpenSetups(Connection&);
    void refuseRepeated(Connection&, const Message&);
    void closeConnection(Connection&);
    void sendToViewer(SubId, const Message&, bool isRelease);
    void release(SubId, int cause);
    void sendUndelivered();
    void sendRelease(Connection&, const std::string& tag, const std::string& line);
    void queueRelease(Micros releasedAt, std::string tag, std::string line);
    void discardDescription(Subscription&);
    bool evictUntilBelow(std::size_t limit, bool includeOverflow);
    void cleanUp();

    net::Net& net_;
    net::Endpoint listenAddress_, endpoint_;
    ViewerLimits limits_;
    SetupConstraints constraints_;
    std::function<void(const char*, std::string_view)> reportAnomaly_ = [](const char*, std::string_view) {};
    core::Core* core_ = nullptr;
    Servers* servers_ = nullptr;
    std::unique_ptr<net::Listener> listener_;
    net::TurnQueue turns_;  // of viewers' connections, as is the next
    net::BufferBudget buffers_;
    LingeringCloser lingering_;  // counts towards maxConnections; its connections are closed first
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::uint64_t nextConnectionKey_ = 1;
    std::map<SubId, Subscription> subscriptions_;
    std::map<std::string, SubId, std::less<>> byTag_;
    struct MayHaveRun {};
    ExpiringMap<MayHaveRun> spentPaidTags_;  // of paid set-ups that are over: they must not run again
    // A release whose own connection is closed.
    struct UndeliveredRelease {
        Micros releasedAt;
        std::string tag, line;
    };
    std::deque<UndeliveredRelease> undeliveredReleases_;
    // A release that was just sent; kept until it is confirmed, or confirmationTimeout.
    struct UnconfirmedRelease {
        Micros sentAt;
        std::uint64_t connectionKey;
        std::string line;
    };
    std::map<std::string, UnconfirmedRelease, std::less<>> unconfirmedReleases_;  // by tag
    std::vector<std::unique_ptr<Connection>> closedConnections_;
    ViewerCounts counts_;
    std::uint64_t lineCount_ = 0;
    std::size_t setupBytes_ = 0;  // of the set-ups without an answer
    bool isDraining_ = false;
    net::Timer deletionTimer_, cleanupTimer_;
};

}  // namespace valekeel::node
