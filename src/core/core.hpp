// The core of a front: the table of subscriptions, the module's Host, the joins that are out, and the promise
// of exactly one answer before the client timeout. It knows no protocol and opens no socket: faces call it
// and are called back, boxes send for it. It decides nothing: the module does.
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

enum class TerminationReason {
    SetupFailed,  // its set-up failed, and may have run
    TimedOut,     // the same, with the client timeout at hand
};

// The protocol side, which owns the viewer's end of subscriptions. Called after the call that caused it has
// returned.
class SubscriptionHandler {
  public:
    virtual ~SubscriptionHandler() = default;
    // The three answers. Exactly one of them for each subscription that is taken, unless the face said
    // unsubscribe() before.
    virtual void onPlaying(SubId, SfuId, int rung) = 0;
    virtual void onThrottled(SubId, Micros retryAfter) = 0;  // 0: no time is named
    virtual void onTerminated(SubId, TerminationReason) = 0;
    virtual void onRungChanged(SubId, int rung) = 0;  // while it plays
    virtual void onServerLost(SubId) = 0;             // it played, and its media server lost it
    virtual void onFinished(SubId) {}                 // it played to its end
};

// How one join ended, as the sender of it found.
struct JoinOutcome {
    JoinResult end = JoinResult::Error;
    bool neverRan = false;  // proven
    Micros took = 0;
    LoadReport load;
    std::string_view why;
};

class Core;

// Who sends joins. Never calls back within join(). What waits there, for a connection or for a peer that does
// not read, must be held back until it can leave: until then whatever allowed it may cease to hold.
class JoinSender {
  public:
    virtual ~JoinSender() = default;
    virtual void join(SubId, int joinNo, SfuId, int rung, Micros timeOut, bool paid) = 0;
    virtual void cancel(SubId, int joinNo) = 0;  // its outcome comes all the same
    // The same, but only where provably nothing of it has left this front; else it runs on.
    virtual void withdraw(SubId, int joinNo) = 0;
    // What plays, or may, is to end there: the place is given back.
    virtual void release(SubId, SfuId) = 0;
    virtual void followList() = 0;
};

// For the record, at each step of a subscription's way.
class CoreObserver {
  public:
    virtual ~CoreObserver() = default;
    virtual void onRequest(SubId, const SubscriptionRequest&) {}
    // What decided a join: the score that won, if anything fitted, among so many boxes, in which slot.
    virtual void onPlacement(SubId, SfuId, const double* /*score*/, int /*among*/, std::uint64_t /*slot*/) {}
    virtual void onJoinSent(SubId, int /*joinNo*/, SfuId, int /*rung*/, Micros /*timeOut*/) {}
    virtual void onJoinEnded(SubId, int /*joinNo*/, SfuId, const JoinOutcome&) {}
    virtual void onAnswer(SubId, std::string_view /*how*/, Micros /*took*/) {}
    virtual void onClosed(SubId, std::string_view /*why*/) {}
    virtual void onGuardTriggered(SubId) {}  // the core had to answer where the module had not: a bug
    virtual void onModuleLog(const std::string&) {}
};

struct CoreLimits {
    std::size_t subs = 100'000;      // subscriptions held at once; more are not taken
    Micros answerMargin = 120'000;   // the module is told of a client timeout this much before it is
    Micros reportEvery = 1'000'000;  // a media server's figures of its load are passed on no more often
};

struct CoreCounts {
    std::uint64_t asked = 0, played = 0, throttled = 0, terminated = 0, left = 0, broke = 0, joins = 0,
                  guarded = 0, refusedFull = 0;
};

class Core final : public Host {
  public:
    // `decide` is handed this core as its Host and must not call it before it returns.
    using ModuleFactory = std::function<std::unique_ptr<DecisionModule>(Host&, Micros now)>;
    Core(net::Net&, const std::vector<RoomType>&, const CoreLimits&, Micros deliveryWindow, JoinSender&,
         CoreObserver&, const ModuleFactory&);
    ~Core() override;

    // ---- from a face ----
    // Nothing if no more can be held: the face throttles. `clientTimeout` counts from now. The module hears
    // of it with start(), which may call the handler back before it returns: the handler must know the id by
    // then.
    std::optional<SubId> subscribe(SubscriptionHandler&, SubscriptionRequest, Micros clientTimeout);
    void start(SubId);
    void unsubscribe(SubId);              // the viewer is gone; nothing more is said of it
    void onRungFetched(SubId, int rung);  // the first segment of a rung was asked for
    void onPlaybackEnded(SubId, JoinResult,
                         const LoadReport& = {});  // its media server broke, or played it to its end
    // It plays already, and no answer is owed. Nothing if no more can be held.
    std::optional<SubId> adopt(SubscriptionHandler&, const SubscriptionRequest&, SfuId);

    // ---- from what is sent ----
    void onJoinOutcome(SubId, int joinNo, const JoinOutcome&);
    void onLoadReport(SubId, SfuId, std::optional<double> linkUse, std::optional<double> uplinkUse);
    DeliveryMeter& delivery() { return delivery_; }
    // Where media servers tell of these by themselves.
    void onShareDelivered(SubId, SfuId, double share);
    void onRungInForce(SubId, int rung);

    // ---- from the list ----
    void onServerList(std::span<const SfuEntry>, bool stale);
    void onServerListChange(std::span<const SfuEntry>);
    void onServerListFailure();
    // What the module has learnt of boxes, and what an earlier life of this front had; after the list has
    // come.
    std::vector<ServerEvidence> serverEvidence() const;
    void restoreServerEvidence(std::span<const ServerEvidence>);

    const CoreCounts& counts() const { return counts_; }
    std::size_t subscriptionCount() const { return subs_.size(); }
    std::size_t unansweredCount() const { return unanswered_; }

  private:
    enum class State { Asked, Answered };
    struct Sub {
        SubscriptionHandler* handler;
        SubscriptionRequest wish;
        State state = State::Asked;
        Micros askedAt = 0;
        int joins = 0;
        bool begun = false, joinOut = false, plays = false, left = false;
        SfuId at;
        int rung = 0;
        Micros playsSince = 0, joinedAt = 0;
        std::unique_ptr<net::Timer> guard;
    };

    // ---- Host ----
    void join(SubId, SfuId, Micros timeOut) override;
    void setRung(SubId, int rung) override;
    void throttle(SubId, Micros retryAfter) override;
    void terminate(SubId) override;
    void wakeAfter(Micros, const std::string& why) override;
    void followList() override;
    void log(const std::string&) override;
    void recordPlacement(SubId id, SfuId at, const double* score, int among) override {
        observer_.onPlacement(id, at, score, among, slot_);
    }

    template <class Call>
    void callModule(Call&&);
    void after(std::function<void()>);
    bool answer(SubId, Sub&, std::string_view how);
    void drop(SubId, std::string_view why);
    void guard(SubId);
    void report();

    net::Net& net_;
    std::vector<RoomType> rooms_;
    CoreLimits limits_;
    DeliveryMeter delivery_;
    JoinSender& sender_;
    CoreObserver& observer_;
    std::map<SubId, Sub> subs_;
    std::uint32_t nextSub_ = 1;
    std::size_t unanswered_ = 0;
    CoreCounts counts_;
    std::map<SfuId, std::pair<Micros, Micros>> figuresAt_;  // link, uplink
    struct Wake {
        std::unique_ptr<net::Timer> timer;
        std::string why;
    };
    std::list<Wake> wakes_;
    Wake spent_;
    std::deque<std::function<void()>> after_;
    int telling_ = 0;
    std::uint64_t slot_ = 0;  // slots of the module that have ended
    bool draining_ = false;
    net::Timer reportTimer_;
    std::unique_ptr<DecisionModule> module_;
};

}  // namespace valekeel::core
