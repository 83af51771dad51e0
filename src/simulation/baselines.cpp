#include "simulation/baselines.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <stdexcept>

namespace valekeel::simulation {
namespace {

class Baseline final : public core::DecisionModule {
  public:
    Baseline(Host& host, std::uint64_t seed, bool byLoad, const std::vector<RoomType>& rooms,
             const Fleet& fleet, const Ladder& ladder, const SubscriptionLimits& allowed)
        : host_(host),
          chance_(static_cast<std::knuth_b::result_type>(seed)),
          byLoad_(byLoad),
          rooms_(rooms),
          fleet_(fleet),
          rung_(static_cast<int>(ladder.kb.size()) / 2),
          allowed_(allowed) {
        host_.followList();
    }
    void onServerList(Micros now, std::span<const SfuEntry> all, bool) override {
        on_.clear();
        onServerListChange(now, all);
    }
    void onServerListChange(Micros, std::span<const SfuEntry> some) override {
        for (const SfuEntry& s : some) {
            if (s.state == ServerState::On)
                on_[s.id] = s.cell;
            else
                on_.erase(s.id);
        }
    }
    void onServerListFailure(Micros) override { host_.wakeAfter(500'000, "list"); }
    void onSubscribe(Micros now, SubId id, const SubscriptionRequest& wish) override {
        subs_[id] = Sub{wish, 0, false, {}};
        place(now, id);
    }
    void onPlaying(Micros, SubId id, int, SfuId, Micros) override { subs_[id].plays = true; }
    void onJoinEnded(Micros now, SubId id, int, SfuId at, JoinResult end, bool over, Micros,
                     const LoadReport& load) override {
        if (load.linkUse) use_[at] = *load.linkUse;
        const auto it = subs_.find(id);
        if (it == subs_.end()) return;
        hold(it->second, -1);
        if (over || it->second.plays) {
            subs_.erase(it);
            return;
        }
        const bool neverRan =
            end == JoinResult::Full || end == JoinResult::NoConnection || end == JoinResult::NeverSent;
        if (!neverRan) it->second.mayHaveRun = true;
        if (it->second.mayHaveRun && rooms_[it->second.wish.room.v].paid) {
            subs_.erase(it);
            host_.terminate(id);
            return;
        }
        place(now, id);
    }
    void onViewerLeft(Micros, SubId id) override {
        const auto it = subs_.find(id);
        if (it != subs_.end() && !it->second.out) subs_.erase(it);
    }
    void onShareDelivered(Micros, SubId, SfuId, double) override {}
    void onRungInForce(Micros, SubId, int) override {}
    void onLinkUse(Micros, SubId, SfuId at, double use) override { use_[at] = use; }
    void onUplinkUse(Micros, SubId, SfuId, double) override {}
    void onWake(Micros, const std::string&) override { host_.followList(); }

  private:
    struct Sub {
        SubscriptionRequest wish;
        int joins = 0;
        bool out = false;
        SfuId at;
        bool plays = false, mayHaveRun = false;
    };
    void hold(Sub& sub, int sign) {
        sub.out = sign > 0;
        seats_[{sub.wish.room.v, sub.wish.title.v}] += sign;
    }
    void place(Micros now, SubId id) {
        Sub& sub = subs_.at(id);
        const RoomType& room = rooms_[sub.wish.room.v];
        const auto cells = static_cast<std::uint32_t>(fleet_.cells);
        std::vector<SfuId> may;
        for (const auto& [sfu, cell] : on_)
            if ((cell.v + cells - sub.wish.firstCell.v) % cells <
                static_cast<std::uint32_t>(sub.wish.holders))
                may.push_back(sfu);
        const bool seat = room.seats <= 0 || seats_[{sub.wish.room.v, sub.wish.title.v}] < room.seats;
        if (may.empty() || !seat || sub.joins >= allowed_.maxJoins || now >= sub.wish.deadline) {
            const bool mayThrottle = !(room.paid && sub.mayHaveRun) && now < sub.wish.deadline;
            subs_.erase(id);
            if (mayThrottle)
                host_.throttle(id, allowed_.maxRetryAfter);
            else
                host_.terminate(id);
            return;
        }
        std::shuffle(may.begin(), may.end(), chance_);
        SfuId chosen = may.front();
        if (byLoad_)
            for (const SfuId one : may)
                if (use_[one] < use_[chosen]) chosen = one;
        ++sub.joins;
        sub.at = chosen;
        hold(sub, +1);
        host_.setRung(
            id, std::clamp(rung_, room.floor, std::max(room.floor, std::min(room.top, sub.wish.maxRung))));
        host_.join(id, chosen, sub.wish.deadline - now);
    }

    Host& host_;
    std::knuth_b chance_;
    bool byLoad_;
    std::vector<RoomType> rooms_;
    Fleet fleet_;
    int rung_;
    SubscriptionLimits allowed_;
    std::map<SfuId, Cell> on_;
    std::map<SfuId, double> use_;
    std::map<SubId, Sub> subs_;
    std::map<std::pair<std::uint32_t, std::string>, int> seats_;
};

}  // namespace

front::ModuleOverride baseline(const std::string& name) {
    if (name != "random" && name != "least-load") throw std::invalid_argument("no such baseline: " + name);
    return [byLoad = name == "least-load"](Host& host, Micros, std::uint64_t seed,
                                           const std::vector<RoomType>& rooms, const Fleet& fleet,
                                           const Ladder& ladder, const SubscriptionLimits& allowed) {
        return std::make_unique<Baseline>(host, seed, byLoad, rooms, fleet, ladder, allowed);
    };
}

}  // namespace valekeel::simulation
