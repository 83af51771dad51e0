// A front on strings: the module with a host that writes down what it does, and a clock that fires its wakes.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "logic.hpp"

namespace valekeel {

struct Site {
    int sfus = 4;
    int fronts = 2;
    bool paid = false;
    bool keyed = false;
    Micros repeatWithin = 5 * kSecond;
    int floor = 0;
    int seats = 0;
    bool retryAfter = true;
    std::optional<JoinBudget> budget{};
    Micros every = 2 * kSecond;
    Micros launched = 0;
    bool stale = false;
    bool listOnRequest = false;
    unsigned seed = 11;
    double sharedRateFraction = 1;  // below 1: the room type "room" is live, and its viewers share streams
    double fullThreshold = 0;
    double crossZone = 0;  // above 0: every second server stands in another zone
};

struct Sent {
    SubId id;
    SfuId at;
    Micros when, timeOut;
    int no;
};

class Rig : public Host {
  public:
    explicit Rig(const Site& s) : site(s) {
        const RoomType room{"room",         800'000, 1,       s.paid, s.keyed, true,
                            s.repeatWithin, 1,       s.floor, 2,      s.seats, s.sharedRateFraction < 1};
        const RoomType other{"other", 800'000, 2, false, false, true, 0, 1.4, 0, 2, 0};
        rooms = {room, other};
        logic = std::make_unique<Logic>(
            *this, now, s.seed, s.fronts, Ladder{{100, 300, 900}, {.3, .7, 1}, 8, .5, s.sharedRateFraction},
            rooms,
            Fleet{s.sfus,
                  2,
                  10'000.0 * s.sfus,
                  10'000,
                  10'000.0 * s.sfus / 2,
                  true,
                  s.listOnRequest,
                  {24},
                  ZoneId{},
                  s.fullThreshold},
            ColdStartLimits{12 * kSecond, .4, 2.5, 3 * kSecond}, s.budget ? &*s.budget : nullptr,
            ReportTiming{kSecond, s.every}, SubscriptionLimits{3, s.retryAfter, kSecond / 2},
            ServingCosts{s.crossZone});
        std::vector<SfuEntry> list;
        for (int i = 0; i < s.sfus; ++i) {
            list.push_back(entry(i, ServerState::On, s.launched));
            if (s.crossZone > 0) list.back().zone = ZoneId{static_cast<unsigned>(i % 2)};
        }
        logic->onServerList(now, list, s.stale);
    }
    static SfuEntry entry(int i, ServerState state, Micros launched = 0) {
        return {SfuId{100u + static_cast<unsigned>(i)},
                state,
                launched,
                Cell{static_cast<unsigned>(i)},
                MachineKindId{0},
                1};
    }
    void subscribe(unsigned id, Micros giveUpIn = 3 * kSecond, unsigned room = 0,
                   const std::string& title = "t") {
        SubscriptionRequest w;
        w.room = RoomTypeId{room};
        w.title = TitleId{title};
        w.deadline = now + giveUpIn;
        w.holders = site.sfus;
        w.maxRung = 2;
        logic->onSubscribe(now, SubId{id}, w);
    }
    void run(Micros span) {  // fires the wakes that fall due
        const Micros until = now + span;
        while (!wakes.empty() && wakes.begin()->first <= until) {
            auto [at, why] = *wakes.begin();
            wakes.erase(wakes.begin());
            now = std::max(now, at);
            logic->onWake(now, why);
        }
        now = until;
    }
    const Sent& last(unsigned id) const {
        for (auto it = joins.rbegin(); it != joins.rend(); ++it)
            if (it->id == SubId{id}) return *it;
        throw std::out_of_range("never joined");
    }
    void end(unsigned id, JoinResult how, bool over = false) {
        const Sent sent = last(id);
        logic->onJoinEnded(now, sent.id, sent.no, sent.at, how, over, now - sent.when, LoadReport{});
    }
    void play(unsigned id) {
        const Sent sent = last(id);
        logic->onPlaying(now, sent.id, sent.no, sent.at, now - sent.when);
    }

    void join(SubId id, SfuId at, Micros timeOut) override {
        joins.push_back({id, at, now, timeOut, static_cast<int>(count[id]++)});
    }
    void setRung(SubId id, int rung) override { rungs[id] = rung; }
    void throttle(SubId id, Micros retryAfter) override { throttled[id] = retryAfter; }
    void terminate(SubId id) override { terminated.insert(id); }
    void wakeAfter(Micros after, const std::string& why) override { wakes.emplace(now + after, why); }
    void followList() override { ++follows; }
    void log(const std::string&) override {}
    void recordPlacement(SubId, SfuId at, const double* score, int among) override {
        choices.push_back({at, score != nullptr, among});
    }

    Site site;
    std::vector<RoomType> rooms;
    Micros now = 100 * kSecond;
    std::unique_ptr<Logic> logic;
    std::vector<Sent> joins;
    struct Choice {
        SfuId at;
        bool fits;
        int among;
    };
    std::vector<Choice> choices;
    std::map<SubId, unsigned> count;
    std::map<SubId, int> rungs;
    std::map<SubId, Micros> throttled;
    std::set<SubId> terminated;
    int follows = 0;
    std::multimap<Micros, std::string> wakes;
};

}  // namespace valekeel
