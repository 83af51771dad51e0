// The interface of the decision module: what a front tells it, and the Host through which it acts. It knows
// no wire; src/adapter drives it on the bench, a session front will drive it in service.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "model/ids.hpp"
#include "model/types.hpp"

namespace valekeel {

// What the module may do. It is handed one at start and calls it as it decides.
class Host {
  public:
    virtual ~Host() = default;
    virtual void join(SubId, SfuId, Micros timeOut) = 0;  // joins of a subscription are numbered from 0
    virtual void setRung(SubId, int rung) = 0;
    virtual void throttle(SubId, Micros retryAfter) = 0;  // final; 0 names no time
    virtual void terminate(SubId) = 0;                    // final
    virtual void wakeAfter(Micros, const std::string& why) = 0;
    virtual void
    followList() = 0;  // where the list must be asked for; onServerListFailure() says if that failed
    virtual void log(const std::string&) = 0;
    // For the record, just before a join: what decided it. The lowest score wins; none: nothing fits, and the
    // lowest rung goes to the roomiest of so many.
    virtual void recordPlacement(SubId, SfuId, const double* /*score*/, int /*among*/) {}
};

// One front's decisions. Each method is one thing that can happen; `now` never goes back.
class Logic {
  public:
    Logic(Host&, Micros now, std::uint64_t seed, int fronts, const Ladder&, const std::vector<RoomType>&,
          const Fleet&, const ColdStartLimits&, const JoinBudget* budget, const ReportTiming&,
          const SubscriptionLimits&, const ServingCosts& = {});
    ~Logic();
    Logic(const Logic&) = delete;
    Logic& operator=(const Logic&) = delete;

    // The list of media servers: the whole of it (`stale` if it is only what this front last saw), or
    // changes.
    void onServerList(Micros now, std::span<const SfuEntry>, bool stale);
    void onServerListChange(Micros now, std::span<const SfuEntry>);
    void onServerListFailure(Micros now);

    void onSubscribe(Micros now, SubId, const SubscriptionRequest&);       // a viewer asks
    void onAdopted(Micros now, SubId, const SubscriptionRequest&, SfuId);  // it plays already
    void onPlaying(Micros now, SubId, int joinNo, SfuId, Micros took);
    void onJoinEnded(Micros now, SubId, int joinNo, SfuId, JoinResult, bool over, Micros took,
                     const LoadReport&);
    void onViewerLeft(Micros now, SubId);

    void onShareDelivered(Micros now, SubId, SfuId, double share);
    void onRungInForce(Micros now, SubId, int rung);
    void onLinkUse(Micros now, SubId, SfuId, double askedOverGiven);
    void onUplinkUse(Micros now, SubId, SfuId, double askedOverGiven);

    void onWake(Micros now, const std::string& why);

    // What is worth handing to the next life of this front, and what an earlier one had: told after the list,
    // of media servers whose process is still the same.
    std::vector<ServerEvidence> serverEvidence(Micros now) const;
    void restoreServerEvidence(Micros now, std::span<const ServerEvidence>);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace valekeel
