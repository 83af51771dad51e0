// Interface of the decision module as the core calls it. Implemented by the production module (LogicModule),
// by the baselines that the drill compares it with, and by scripted and deliberately broken ones in tests.
// The methods mirror those of Logic (logic.hpp), one for each kind of event; see there for their meaning.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "logic.hpp"

namespace valekeel::core {

// Notified of events; replies through the Host that its factory was given (Core::ModuleFactory). `now` and
// all durations are microseconds.
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
    virtual void onLinkUse(Micros now, SubId, SfuId, double demandOverCapacity) = 0;
    virtual void onUplinkUse(Micros now, SubId, SfuId, double demandOverCapacity) = 0;
    virtual void onWake(Micros now, const std::string& why) = 0;
    virtual std::vector<ServerEvidence> serverEvidence(Micros) const { return {}; }
    virtual void restoreServerEvidence(Micros, std::span<const ServerEvidence>) {}
};

// The production module: forwards each call to Logic.
class LogicModule final : public DecisionModule {
  public:
    template <class... Args>
    explicit LogicModule(Args&&... args) : logic_(std::forward<Args>(args)...) {}
    void onServerList(Micros now, std::span<const SfuEntry> all, bool stale) override {
        logic_.onServerList(now, all, stale);
    }
    void onServerListChange(Micros now, std::span<const SfuEntry> changed) override {
        logic_.onServerListChange(now, changed);
    }
    void onServerListFailure(Micros now) override { logic_.onServerListFailure(now); }
    void onSubscribe(Micros now, SubId id, const SubscriptionRequest& request) override {
        logic_.onSubscribe(now, id, request);
    }
    void onAdopted(Micros now, SubId id, const SubscriptionRequest& request, SfuId server) override {
        logic_.onAdopted(now, id, request, server);
    }
    void onPlaying(Micros now, SubId id, int joinNo, SfuId server, Micros took) override {
        logic_.onPlaying(now, id, joinNo, server, took);
    }
    void onJoinEnded(Micros now, SubId id, int joinNo, SfuId server, JoinResult end, bool over, Micros took,
                     const LoadReport& load) override {
        logic_.onJoinEnded(now, id, joinNo, server, end, over, took, load);
    }
    void onViewerLeft(Micros now, SubId id) override { logic_.onViewerLeft(now, id); }
    void onShareDelivered(Micros now, SubId id, SfuId server, double share) override {
        logic_.onShareDelivered(now, id, server, share);
    }
    void onRungInForce(Micros now, SubId id, int rung) override { logic_.onRungInForce(now, id, rung); }
    void onLinkUse(Micros now, SubId id, SfuId server, double use) override {
        logic_.onLinkUse(now, id, server, use);
    }
    void onUplinkUse(Micros now, SubId id, SfuId server, double use) override {
        logic_.onUplinkUse(now, id, server, use);
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
