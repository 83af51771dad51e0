// Who decides, seen from the core: the accepted module in service, a baseline in the drill, a deliberately
// broken one in tests. The methods are those of logic.hpp, one for each thing that can happen.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "logic.hpp"

namespace valekeel::core {

class DecisionModule {
  public:
    virtual ~DecisionModule() = default;
    virtual void onServerList(Micros now, std::span<const SfuEntry>, bool stale) = 0;
    virtual void onServerListChange(Micros now, std::span<const SfuEntry>) = 0;
    virtual void onServerListFailure(Micros now) = 0;
    virtual void onSubscribe(Micros now, SubId, const SubscriptionRequest&) = 0;
    virtual void onAdopted(Micros, SubId, const SubscriptionRequest&, SfuId) {}
    virtual void onPlaying(Micros now, SubId, int joinNo, SfuId, Micros took) = 0;
    virtual void onJoinEnded(Micros now, SubId, int joinNo, SfuId, JoinResult, bool over, Micros took,
                             const LoadReport&) = 0;
    virtual void onViewerLeft(Micros now, SubId) = 0;
    virtual void onShareDelivered(Micros now, SubId, SfuId, double share) = 0;
    virtual void onRungInForce(Micros now, SubId, int rung) = 0;
    virtual void onLinkUse(Micros now, SubId, SfuId, double askedOverGiven) = 0;
    virtual void onUplinkUse(Micros now, SubId, SfuId, double askedOverGiven) = 0;
    virtual void onWake(Micros now, const std::string& why) = 0;
    virtual std::vector<ServerEvidence> serverEvidence(Micros) const { return {}; }
    virtual void restoreServerEvidence(Micros, std::span<const ServerEvidence>) {}
};

// The module, as it is.
class LogicModule final : public DecisionModule {
  public:
    template <class... Given>
    explicit LogicModule(Given&&... given) : logic_(std::forward<Given>(given)...) {}
    void onServerList(Micros now, std::span<const SfuEntry> all, bool stale) override {
        logic_.onServerList(now, all, stale);
    }
    void onServerListChange(Micros now, std::span<const SfuEntry> some) override {
        logic_.onServerListChange(now, some);
    }
    void onServerListFailure(Micros now) override { logic_.onServerListFailure(now); }
    void onSubscribe(Micros now, SubId id, const SubscriptionRequest& wish) override {
        logic_.onSubscribe(now, id, wish);
    }
    void onAdopted(Micros now, SubId id, const SubscriptionRequest& wish, SfuId at) override {
        logic_.onAdopted(now, id, wish, at);
    }
    void onPlaying(Micros now, SubId id, int joinNo, SfuId at, Micros took) override {
        logic_.onPlaying(now, id, joinNo, at, took);
    }
    void onJoinEnded(Micros now, SubId id, int joinNo, SfuId at, JoinResult end, bool over, Micros took,
                     const LoadReport& load) override {
        logic_.onJoinEnded(now, id, joinNo, at, end, over, took, load);
    }
    void onViewerLeft(Micros now, SubId id) override { logic_.onViewerLeft(now, id); }
    void onShareDelivered(Micros now, SubId id, SfuId at, double share) override {
        logic_.onShareDelivered(now, id, at, share);
    }
    void onRungInForce(Micros now, SubId id, int rung) override { logic_.onRungInForce(now, id, rung); }
    void onLinkUse(Micros now, SubId id, SfuId at, double use) override {
        logic_.onLinkUse(now, id, at, use);
    }
    void onUplinkUse(Micros now, SubId id, SfuId at, double use) override {
        logic_.onUplinkUse(now, id, at, use);
    }
    void onWake(Micros now, const std::string& why) override { logic_.onWake(now, why); }
    std::vector<ServerEvidence> serverEvidence(Micros now) const override {
        return logic_.serverEvidence(now);
    }
    void restoreServerEvidence(Micros now, std::span<const ServerEvidence> all) override {
        logic_.restoreServerEvidence(now, all);
    }

  private:
    Logic logic_;
};

}  // namespace valekeel::core
