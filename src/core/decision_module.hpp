// Who decides, seen from the core: the accepted module in service, a baseline in the drill, a deliberately
// broken one in tests. The methods are those of logic.hpp, one for each thing that can happen.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "logic.hpp"

namespace valekeel::core {

class Decides {
  public:
    virtual ~Decides() = default;
    virtual void listed(Micros now, std::span<const ListedSfu>, bool stale) = 0;
    virtual void listChanged(Micros now, std::span<const ListedSfu>) = 0;
    virtual void listFailed(Micros now) = 0;
    virtual void subscribe(Micros now, SubId, const Wish&) = 0;
    virtual void handedOver(Micros, SubId, const Wish&, SfuId) {}
    virtual void playing(Micros now, SubId, int joinNo, SfuId, Micros took) = 0;
    virtual void joinEnded(Micros now, SubId, int joinNo, SfuId, JoinEnd, bool over, Micros took,
                           const Load&) = 0;
    virtual void viewerLeft(Micros now, SubId) = 0;
    virtual void shareDelivered(Micros now, SubId, SfuId, double share) = 0;
    virtual void rungInForce(Micros now, SubId, int rung) = 0;
    virtual void linkUse(Micros now, SubId, SfuId, double askedOverGiven) = 0;
    virtual void uplinkUse(Micros now, SubId, SfuId, double askedOverGiven) = 0;
    virtual void woken(Micros now, const std::string& why) = 0;
    virtual std::vector<Learnt> learnt(Micros) const { return {}; }
    virtual void recall(Micros, std::span<const Learnt>) {}
};

// The module, as it is.
class ModuleDecides final : public Decides {
  public:
    template <class... Given>
    explicit ModuleDecides(Given&&... given) : logic_(std::forward<Given>(given)...) {}
    void listed(Micros now, std::span<const ListedSfu> all, bool stale) override {
        logic_.listed(now, all, stale);
    }
    void listChanged(Micros now, std::span<const ListedSfu> some) override { logic_.listChanged(now, some); }
    void listFailed(Micros now) override { logic_.listFailed(now); }
    void subscribe(Micros now, SubId id, const Wish& wish) override { logic_.subscribe(now, id, wish); }
    void handedOver(Micros now, SubId id, const Wish& wish, SfuId at) override {
        logic_.handedOver(now, id, wish, at);
    }
    void playing(Micros now, SubId id, int joinNo, SfuId at, Micros took) override {
        logic_.playing(now, id, joinNo, at, took);
    }
    void joinEnded(Micros now, SubId id, int joinNo, SfuId at, JoinEnd end, bool over, Micros took,
                   const Load& load) override {
        logic_.joinEnded(now, id, joinNo, at, end, over, took, load);
    }
    void viewerLeft(Micros now, SubId id) override { logic_.viewerLeft(now, id); }
    void shareDelivered(Micros now, SubId id, SfuId at, double share) override {
        logic_.shareDelivered(now, id, at, share);
    }
    void rungInForce(Micros now, SubId id, int rung) override { logic_.rungInForce(now, id, rung); }
    void linkUse(Micros now, SubId id, SfuId at, double use) override { logic_.linkUse(now, id, at, use); }
    void uplinkUse(Micros now, SubId id, SfuId at, double use) override {
        logic_.uplinkUse(now, id, at, use);
    }
    void woken(Micros now, const std::string& why) override { logic_.woken(now, why); }
    std::vector<Learnt> learnt(Micros now) const override { return logic_.learnt(now); }
    void recall(Micros now, std::span<const Learnt> all) override { logic_.recall(now, all); }

  private:
    Logic logic_;
};

}  // namespace valekeel::core
