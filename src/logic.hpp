// The interface of the decision module: the events that its owner reports, and the Host through which it
// acts. It does no I/O and knows no protocol: src/adapter drives it in the simulator, a front drives it in
// service.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "model/ids.hpp"
#include "model/types.hpp"

namespace valekeel {

// The actions of the module. Its owner implements them; the module calls them from within its own methods,
// the constructor included.
class Host {
  public:
    virtual ~Host() = default;
    // Joins a media server. The joins of a subscription are numbered from 0. Called after setRung().
    virtual void join(SubId, SfuId, Micros timeout) = 0;
    // Sets the rung of a subscription, before a join or while it plays.
    virtual void setRung(SubId, int rung) = 0;
    // Final answer: the viewer may retry after this time; 0: no time is given.
    virtual void throttle(SubId, Micros retryAfter) = 0;
    // Final answer: the request has failed.
    virtual void terminate(SubId) = 0;
    // Requests a call of onWake() with `why` after the given time.
    virtual void wakeAfter(Micros, const std::string& why) = 0;
    // Requests the list of media servers, where it comes only on request. onServerListFailure() reports a
    // failure.
    virtual void followList() = 0;
    virtual void log(const std::string&) = 0;  // for operators
    // Called just before a join, for logs: the score that decided it, the lowest of `candidateCount`. No
    // score: no rung fits, and the least loaded candidate gets the lowest rung. The pointer is valid during
    // the call.
    virtual void recordPlacement(SubId, SfuId, const double* /*score*/, int /*candidateCount*/) {}
};

// The decisions of one front. Each method reports one event; `now` never decreases. The host must outlive the
// module; all other arguments are copied.
class Logic {
  public:
    // `fronts`: number of fronts at the site, as fronts share no state. `budget`: null if only
    // SubscriptionLimits limits joins.
    Logic(Host&, Micros now, std::uint64_t seed, int fronts, const Ladder&, const std::vector<RoomType>&,
          const Fleet&, const ColdStartLimits&, const JoinBudget* budget, const ReportTiming&,
          const SubscriptionLimits&, const ServingCosts& = {});
    ~Logic();
    Logic(const Logic&) = delete;
    Logic& operator=(const Logic&) = delete;

    // The whole list of media servers (`stale`: the last one that this front has stored), changes to it, or a
    // failure of the request for it.
    void onServerList(Micros now, std::span<const SfuEntry>, bool stale);
    void onServerListChange(Micros now, std::span<const SfuEntry>);
    void onServerListFailure(Micros now);

    // A viewer requests a subscription.
    void onSubscribe(Micros now, SubId, const SubscriptionRequest&);
    // This front takes over a subscription that already plays.
    void onAdopted(Micros now, SubId, const SubscriptionRequest&, SfuId);
    // A join has succeeded, `took` after it was sent.
    void onPlaying(Micros now, SubId, int joinNo, SfuId, Micros took);
    // A join has failed, or what it set up has ended. `isOver`: the subscription is over and needs no answer.
    void onJoinEnded(Micros now, SubId, int joinNo, SfuId, JoinResult, bool isOver, Micros took,
                     const LoadReport&);
    // The viewer left before an answer. The result of a join in flight is still expected.
    void onViewerLeft(Micros now, SubId);

    // Reports on playing subscriptions: delivered share of the rate (1: all), rung in use, and utilization of
    // the link and the uplink (demand over capacity; above 1: overloaded).
    void onShareDelivered(Micros now, SubId, SfuId, double share);
    void onRungInForce(Micros now, SubId, int rung);
    void onLinkUse(Micros now, SubId, SfuId, double demandOverCapacity);
    void onUplinkUse(Micros now, SubId, SfuId, double demandOverCapacity);

    // The time given to Host::wakeAfter() has passed.
    void onWake(Micros now, const std::string& why);

    // The knowledge of media servers that is worth storing for a restart of this front, and its restoration.
    // To restore, call after onServerList(), only for media servers whose process is still the same.
    std::vector<ServerEvidence> serverEvidence(Micros now) const;
    void restoreServerEvidence(Micros now, std::span<const ServerEvidence>);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace valekeel
