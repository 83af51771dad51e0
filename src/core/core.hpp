// The protocol-independent core of a front. Holds the table of subscriptions and the joins in flight, acts as
// the decision module's Host, and guarantees exactly one answer to each subscription before its client
// timeout. Front ends call it and are called back through SubscriptionHandler; joins leave through
// JoinSender. It opens no socket and decides nothing itself: the decision module chooses servers and rungs.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/decision_module.hpp"
#include "core/delivery_meter.hpp"
#include "net/net.hpp"

namespace valekeel::core {

// Why a subscription was answered "terminated".
enum class TerminationReason {
    SetupFailed,  // the set-up failed, and may have run on the media server
    TimedOut,     // the same, and the deadline for the answer has passed
};

// Implemented by the protocol front end that owns the viewer's connection. Called once the decision module
// has returned, never from within a call to the module.
class SubscriptionHandler {
  public:
    virtual ~SubscriptionHandler() = default;
    // The three answers. Exactly one of them is called for each accepted subscription, unless the front end
    // calls unsubscribe() first.
    virtual void onPlaying(SubId, SfuId, int rung) = 0;
    virtual void onThrottled(SubId, Micros retryAfter) = 0;  // 0: no retry time is given
    virtual void onTerminated(SubId, TerminationReason) = 0;
    virtual void onRungChanged(SubId, int rung) = 0;  // while the subscription plays
    virtual void onServerLost(SubId) = 0;             // playback broke off; the subscription is closed next
    virtual void onFinished(SubId) {}  // the title played to its end; the subscription is closed next
};

// How one join ended, as its sender observed it.
struct JoinOutcome {
    JoinResult result = JoinResult::Error;
    bool neverRan = false;  // proven: the media server did not start it
    Micros took = 0;        // from sending the join to its end
    LoadReport load;        // as reported in the response
    std::string_view why;   // for the log; not owned
};

class Core;

// Sends joins to media servers and reports each outcome with Core::onJoinOutcome(), never from within join().
// A join that waits for a connection, or for a peer that does not read, must stay unsent until it can really
// leave, so that it can still be withdrawn when the reason for it no longer holds.
class JoinSender {
  public:
    virtual ~JoinSender() = default;
    // `paid`: the set-up must not run twice.
    virtual void join(SubId, int joinNo, SfuId, int rung, Micros timeOut, bool paid) = 0;
    // Aborts the join. Its outcome is still reported.
    virtual void cancel(SubId, int joinNo) = 0;
    // Like cancel(), but only if provably no byte of the join has left this front; otherwise does nothing.
    virtual void withdraw(SubId, int joinNo) = 0;
    // Ends the session that this join set up, or may have, on the media server and frees its place there. A
    // session that a later join sets up on the same media server is not affected.
    virtual void release(SubId, int joinNo, SfuId) = 0;
    // Starts, or restarts, following the server list.
    virtual void followList() = 0;
};

// Notified of each step of a subscription's lifecycle, for logs and metrics.
class CoreObserver {
  public:
    virtual ~CoreObserver() = default;
    virtual void onRequest(SubId, const SubscriptionRequest&) {}
    // A media server was chosen: the winning score (null if none fitted), the number of candidates, and the
    // number of decision slots that had ended.
    virtual void onPlacement(SubId, SfuId, const double* /*score*/, int /*candidates*/,
                             std::uint64_t /*slot*/) {}
    virtual void onJoinSent(SubId, int /*joinNo*/, SfuId, int /*rung*/, Micros /*timeOut*/) {}
    virtual void onJoinEnded(SubId, int /*joinNo*/, SfuId, const JoinOutcome&) {}
    // `how`: "plays", "throttled" or "terminated"; `took`: since the request.
    virtual void onAnswer(SubId, std::string_view /*how*/, Micros /*took*/) {}
    virtual void onClosed(SubId, std::string_view /*why*/) {}  // the subscription is about to be removed
    // The guard timer answered because the module had not: a bug in the module.
    virtual void onGuardTriggered(SubId) {}
    virtual void onModuleLog(const std::string&) {}
};

struct CoreLimits {
    std::size_t subscriptions = 100'000;  // subscriptions held at once; further ones are rejected
    Micros answerMargin = 120'000;        // the module's deadline is this much before the client timeout
    Micros reportInterval = 1'000'000;    // minimum interval between load reports of one server to the module
};

// Counters since the start.
struct CoreCounts {
    // Subscriptions: requested, playing, throttled, terminated, left by the viewer, lost by the media server;
    // joins decided; answers given by the guard timer; subscriptions rejected at the limit.
    std::uint64_t requested = 0, played = 0, throttled = 0, terminated = 0, left = 0, lost = 0, joins = 0,
                  guardAnswers = 0, rejectedAtLimit = 0;
};

// Owns the subscriptions and the decision module.
class Core final : public Host {
  public:
    // Creates the decision module. Receives this core as its Host and must not call it before it returns.
    using ModuleFactory = std::function<std::unique_ptr<DecisionModule>(Host&, Micros now)>;
    // Network, sender and observer must outlive the core. `deliveryWindow`: see DeliveryMeter.
    Core(net::Net&, const std::vector<RoomType>&, const CoreLimits&, Micros deliveryWindow, JoinSender&,
         CoreObserver&, const ModuleFactory&);
    ~Core() override;

    // ---- Called by front ends ----
    // Registers a subscription. Returns nullopt at the limit; the front end then throttles. `clientTimeout`
    // counts from now. The module is notified by start(), which may call the handler before it returns, so
    // the handler must know the id by then.
    std::optional<SubId> subscribe(SubscriptionHandler&, SubscriptionRequest, Micros clientTimeout);
    void start(SubId);
    void unsubscribe(SubId);              // the viewer left; its handler is not called again
    void onRungFetched(SubId, int rung);  // the first segment of a rung was requested
    // JoinResult::Played: the title played to its end; any other: playback broke off at the media server.
    void onPlaybackEnded(SubId, JoinResult, const LoadReport& = {});
    // Takes over a subscription that already plays on the server and needs no answer. Nullopt at the limit.
    std::optional<SubId> adopt(SubscriptionHandler&, const SubscriptionRequest&, SfuId);

    // ---- Called by the senders of joins and fetches ----
    void onJoinOutcome(SubId, int joinNo, const JoinOutcome&);
    // Link and uplink use: demand over capacity.
    void onLoadReport(SubId, SfuId, std::optional<double> linkUse, std::optional<double> uplinkUse);
    DeliveryMeter& delivery() { return delivery_; }
    // For media servers that report these themselves. `share`: delivered part of the rung's rate, 0 to 1.
    void onShareDelivered(SubId, SfuId, double share);
    void onRungInForce(SubId, int rung);

    // ---- Called by the follower of the server list ----
    void onServerList(std::span<const SfuEntry>, bool stale);
    void onServerListChange(std::span<const SfuEntry>);
    void onServerListFailure();
    // What the module has learnt about media servers, to be saved; and what an earlier process of this front
    // saved, to be restored after the server list has arrived.
    std::vector<ServerEvidence> serverEvidence() const;
    void restoreServerEvidence(std::span<const ServerEvidence>);

    const CoreCounts& counts() const { return counts_; }
    std::size_t subscriptionCount() const { return subs_.size(); }
    std::size_t unansweredCount() const { return unanswered_; }  // still without one of the three answers

  private:
    enum class State { Pending, Answered };
    struct Subscription {
        SubscriptionHandler* handler;
        SubscriptionRequest request;
        State state = State::Pending;
        Micros requestedAt = 0;
        int joins = 0;  // sent so far; the last one is number joins - 1
        bool started = false, joinInFlight = false, playing = false, left = false;
        SfuId server;  // of the last join
        int rung = 0;
        Micros playingSince = 0, joinedAt = 0;
        std::unique_ptr<net::Timer> guardTimer;  // set until the answer
    };

    // ---- Host ----
    void join(SubId, SfuId, Micros timeOut) override;
    void setRung(SubId, int rung) override;
    void throttle(SubId, Micros retryAfter) override;
    void terminate(SubId) override;
    void wakeAfter(Micros, const std::string& why) override;
    void followList() override;
    void log(const std::string&) override;
    void recordPlacement(SubId id, SfuId server, const double* score, int candidates) override {
        observer_.onPlacement(id, server, score, candidates, endedSlots_);
    }

    template <class Call>
    void callModule(Call&&);
    void defer(std::function<void()>);  // until no call to the module is on the stack
    bool answer(SubId, Subscription&, std::string_view how);
    void close(SubId, std::string_view why);
    void onGuardTimer(SubId);
    void reportShares();

    net::Net& net_;
    std::vector<RoomType> rooms_;
    CoreLimits limits_;
    DeliveryMeter delivery_;
    JoinSender& sender_;
    CoreObserver& observer_;
    std::map<SubId, Subscription> subs_;
    std::uint32_t nextSub_ = 1;
    std::size_t unanswered_ = 0;
    CoreCounts counts_;
    std::map<SfuId, std::pair<Micros, Micros>> lastLoadReportAt_;  // link, uplink
    struct Wake {
        std::unique_ptr<net::Timer> timer;
        std::string why;
    };
    std::list<Wake> wakes_;
    Wake firedWake_;
    std::deque<std::function<void()>> deferred_;
    int moduleCallDepth_ = 0;
    std::uint64_t endedSlots_ = 0;  // decision slots of the module that have ended
    bool runningDeferred_ = false;
    net::Timer reportTimer_;
    std::unique_ptr<DecisionModule> module_;
};

}  // namespace valekeel::core
