// A test fixture for the decision module of one front: a host that records its actions, and a manual clock
// that fires its wakes.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "logic.hpp"

namespace valekeel {

// Configuration of the site, and of the front under test.
struct SiteConfig {
    int sfus = 4;  // one in each cell, in two racks, with links of 10,000 kB/s
    int fronts = 2;
    bool paid = false;  // these five: of the room type "room"
    bool keyed = false;
    Micros repeatWithin = 5 * kSecond;
    int floor = 0;
    int seats = 0;
    bool retryAfter = true;
    std::optional<JoinBudget> budget{};
    Micros every = 2 * kSecond;  // interval of load reports; 0: none
    Micros launched = 0;         // start of all media servers; 0: long ago
    bool stale = false;          // the first list is a stored one
    bool listOnRequest = false;
    unsigned seed = 11;
    double sharedRateFraction = 1;  // below 1: the room type "room" is live, and its viewers share streams
    double fullThreshold = 0;
    double crossZone = 0;  // above 0: every second media server is in another zone
};

// A join that the module has sent. `no`: its number within the subscription, from 0.
struct SentJoin {
    SubId id;
    SfuId server;
    Micros when, timeout;
    int no;
};

class LogicFixture : public Host {
  public:
    explicit LogicFixture(const SiteConfig& s) : site(s) {
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
    // Requests a title that all media servers hold.
    void subscribe(unsigned id, Micros timeout = 3 * kSecond, unsigned room = 0,
                   const std::string& title = "t") {
        SubscriptionRequest request;
        request.room = RoomTypeId{room};
        request.title = TitleId{title};
        request.deadline = now + timeout;
        request.holders = site.sfus;
        request.maxRung = 2;
        logic->onSubscribe(now, SubId{id}, request);
    }
    // Advances the clock and fires the wakes that fall due.
    void run(Micros span) {
        const Micros until = now + span;
        while (!wakes.empty() && wakes.begin()->first <= until) {
            auto [dueAt, why] = *wakes.begin();
            wakes.erase(wakes.begin());
            now = std::max(now, dueAt);
            logic->onWake(now, why);
        }
        now = until;
    }
    // Returns the last join of a subscription; throws std::out_of_range if there is none.
    const SentJoin& lastJoin(unsigned id) const {
        for (auto it = joins.rbegin(); it != joins.rend(); ++it)
            if (it->id == SubId{id}) return *it;
        throw std::out_of_range("no join was sent");
    }
    // Reports the end of the last join of a subscription to the module.
    void endJoin(unsigned id, JoinResult result, bool isOver = false) {
        const SentJoin sent = lastJoin(id);
        logic->onJoinEnded(now, sent.id, sent.no, sent.server, result, isOver, now - sent.when, LoadReport{});
    }
    // Reports to the module that the last join of a subscription has succeeded.
    void play(unsigned id) {
        const SentJoin sent = lastJoin(id);
        logic->onPlaying(now, sent.id, sent.no, sent.server, now - sent.when);
    }

    // Host
    void join(SubId id, SfuId server, Micros timeout) override {
        joins.push_back({id, server, now, timeout, static_cast<int>(joinCounts[id]++)});
    }
    void setRung(SubId id, int rung) override { rungs[id] = rung; }
    void throttle(SubId id, Micros retryAfter) override { throttled[id] = retryAfter; }
    void terminate(SubId id) override { terminated.insert(id); }
    void wakeAfter(Micros after, const std::string& why) override { wakes.emplace(now + after, why); }
    void followList() override { ++listRequests; }
    void log(const std::string&) override {}
    void recordPlacement(SubId, SfuId server, const double* score, int among) override {
        placements.push_back({server, score != nullptr, among});
    }

    SiteConfig site;
    std::vector<RoomType> rooms;
    Micros now = 100 * kSecond;
    std::unique_ptr<Logic> logic;
    std::vector<SentJoin> joins;
    struct Placement {
        SfuId server;
        bool fits;  // some rung fits there
        int candidateCount;
    };
    std::vector<Placement> placements;
    std::map<SubId, unsigned> joinCounts;
    std::map<SubId, int> rungs;
    std::map<SubId, Micros> throttled;
    std::set<SubId> terminated;
    int listRequests = 0;
    std::multimap<Micros, std::string> wakes;
};

}  // namespace valekeel
