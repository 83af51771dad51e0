// Simulation of a whole fleet with cold media servers: many instances of the module with uneven traffic,
// bursts of requests for one title, fronts that restart or get the list late, and servers replaced in bulk. A
// counter for each server, overloadedSeeds shares no code with the module, checks every time window against
// the cold start limit.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>

#include "logic.hpp"

namespace valekeel {
namespace {

// The shape of a fleet, its traffic, and the number of seeds to run it with.
struct FleetScenario {
    std::string name;
    int fronts, servers, places, holders;  // places of each server, holders of each title
    double perServer;                      // requests a second for each media server, outside bursts
    double burstPerFront;                  // size of a burst of requests for one title, for each front
    ColdStartLimits cold;
    unsigned seeds;
};

void PrintTo(const FleetScenario& s, std::ostream* to) {  // otherwise a failure prints raw bytes
    *to << s.name;
}

// Runs one scenario with one seed, in virtual time.
class ColdFleet {
  public:
    ColdFleet(const FleetScenario& scenario, unsigned seed) : scenario_(scenario), random_(seed) {
        for (int i = 0; i < scenario.servers; ++i) {
            list_.push_back(
                {SfuId{100u + unsigned(i)}, ServerState::On, 0, Cell{unsigned(i)}, MachineKindId{0}, 1, {}});
            processes_[list_.back().id] = {};
        }
        history_.emplace_back(0, list_);
        for (int i = 0; i < scenario.fronts; ++i) {
            weights_.push_back(i % 5 == 0 ? 4 : .25);
            fronts_.push_back(start(i));
            fronts_.back()->logic->onServerList(now, list_, false);
        }
    }

    // Runs the scenario.
    void run() {
        const Micros end = 26 * kSecond;
        scheduleRegularRequests();
        const Micros first = 4 * kSecond + randomTime(kSecond);
        for (int i = 0; i < scenario_.servers; ++i)
            if (uniform() < .5) schedule(first + randomTime(3 * kSecond), [=, this] { replace(i); });
        for (int i = 0; i < scenario_.fronts; ++i)
            if (uniform() < .3) schedule(first + randomTime(8 * kSecond), [=, this] { restart(i); });
        // Bursts come in pairs, after quiet fronts have sent nothing to the fresh servers for long.
        for (int n = 0; n < 3; ++n) {
            const Micros when = first + 2 * kSecond + randomTime(scenario_.cold.warmUp);
            const int title = randomIndex(scenario_.servers);
            for (const Micros again : {Micros(0), scenario_.cold.tipAfter * 3 / 4})
                schedule(when + again, [=, this] {
                    for (double k = 0; k < scenario_.burstPerFront * scenario_.fronts; ++k)
                        schedule(now + randomTime(kSecond / 5),
                                 [=, this] { request(randomFront(), title, 3); });
                });
        }
        while (!events_.empty() && events_.begin()->first <= end) {
            auto next = events_.extract(events_.begin());
            now = next.key();
            next.mapped()();
        }
    }

    double worst = 0;    // most joins of a cold server in a window, over its limit
    int overloaded = 0;  // servers that were overloaded
    int requests = 0, played = 0, lost = 0, joinsOnCold = 0, coldOnly = 0, coldOnlyPlaced = 0, starts = 0;

  private:
    struct Front : Host {
        Front(ColdFleet& f, int n) : fleet(f), no(n), startedAt(f.now) {}
        void join(SubId id, SfuId server, Micros) override { fleet.join(*this, id, server); }
        void setRung(SubId, int) override {}
        void throttle(SubId id, Micros retryAfter) override { fleet.onThrottled(id, retryAfter); }
        void terminate(SubId) override { ++fleet.lost; }
        void wakeAfter(Micros after, const std::string& why) override {
            fleet.schedule(fleet.now + after, [this, why] {
                if (!isDead) logic->onWake(fleet.now, why);
            });
        }
        void followList() override {}
        void log(const std::string&) override {}

        ColdFleet& fleet;
        int no;
        Micros startedAt;
        bool isDead = false;
        std::map<SfuId, Micros> knownStart;  // of each media server, by the lists so far
        std::unique_ptr<Logic> logic;
    };
    struct Request {
        int title, retries;
        Micros requestedAt;
        int joinCount = 0;
        bool coldOnly = false;
    };
    struct ServerProcess {
        Micros startedAt = 0;
        bool isOff = false, isOverloaded = false;
        std::deque<std::pair<Micros, bool>> arrived;  // joins while cold; whether the front knew the start
        std::map<SubId, Front*> sessions;
    };

    void schedule(Micros when, std::function<void()> action) { events_.emplace(when, std::move(action)); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Micros randomTime(Micros span) { return std::uniform_int_distribution<Micros>(0, span)(random_); }
    int randomIndex(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
    int randomFront() { return std::discrete_distribution<int>(weights_.begin(), weights_.end())(random_); }

    Front* start(int no) {
        allFronts_.push_back(std::make_unique<Front>(*this, no));
        Front& f = *allFronts_.back();
        const RoomType room{"room", kSecond, 1, false, false, true, 0, 1, 0, 2, 0, false};
        Fleet fleet;
        fleet.cells = scenario_.servers;
        fleet.linksKb = 1e6 * scenario_.servers;
        fleet.linkKbPerSize = 1e6;
        fleet.hasSizes = true;
        fleet.places = {scenario_.places};
        f.logic = std::make_unique<Logic>(f, now, random_(), scenario_.fronts,
                                          Ladder{{100, 300, 900}, {.3, .7, 1}, 8, .5, 1}, std::vector{room},
                                          fleet, scenario_.cold, nullptr, ReportTiming{kSecond, 2 * kSecond},
                                          SubscriptionLimits{3, true, kSecond});
        return &f;
    }

    // Restarts a front: it starts with a list that is some seconds old, as if stored, and gets the current
    // one later.
    void restart(int no) {
        fronts_[no]->isDead = true;
        Front* f = fronts_[no] = start(no);
        const auto later = std::upper_bound(history_.begin(), history_.end(), now - 5 * kSecond,
                                            [](Micros t, const auto& entry) { return t < entry.first; });
        f->logic->onServerList(now, std::prev(std::max(later, history_.begin() + 1))->second, true);
        schedule(now + kSecond / 5 + randomTime(2 * kSecond), [=, this] {
            if (f->isDead) return;
            for (const SfuEntry& entry : list_) f->knownStart[entry.id] = entry.launched;
            f->logic->onServerList(now, list_, false);
        });
    }

    // Replaces a media server. Half of the new processes keep the id, as after a crash. One front in five
    // gets the changed list late.
    void replace(int i) {
        ++starts;
        SfuEntry& entry = list_[std::size_t(i)];
        SfuEntry old = entry;
        old.state = ServerState::Off;
        ServerProcess& oldProcess = processes_[entry.id];
        oldProcess.isOff = true;
        for (const auto& [id, f] : oldProcess.sessions) {
            if (f->isDead) continue;
            schedule(now + kSecond / 50, [=, this] {
                if (!f->isDead)
                    f->logic->onJoinEnded(now, id, subs_[id].joinCount - 1, old.id, JoinResult::Reset, true,
                                          0, {});
            });
            const int title = subs_[id].title;
            schedule(now + kSecond / 4 + randomTime(kSecond),
                     [=, this] { request(randomFront(), title, 3); });
        }
        oldProcess.sessions.clear();
        const bool sameId = uniform() < .5;
        if (!sameId) entry.id = SfuId{nextServer_++};
        entry.launched = now;
        processes_[entry.id] = ServerProcess{now, false, false, {}, {}};
        history_.emplace_back(now, list_);
        std::vector<SfuEntry> changes{entry};
        if (!sameId) changes.insert(changes.begin(), old);
        for (Front* f : fronts_) {
            const Micros delay =
                uniform() < .2 ? kSecond + randomTime(3 * kSecond) : kSecond / 20 + randomTime(kSecond / 3);
            schedule(now + delay, [=, this] {
                if (f->isDead || f->knownStart[changes.back().id] >= changes.back().launched) return;
                f->knownStart[changes.back().id] = changes.back().launched;
                f->logic->onServerListChange(now, changes);
            });
        }
    }

    void scheduleRegularRequests() {
        const double rate = scenario_.perServer * scenario_.servers;
        schedule(now + static_cast<Micros>(std::exponential_distribution<double>(rate)(random_) * 1e6),
                 [this] {
                     // Half of all requests are for the most popular tenth of the titles.
                     const int title = uniform() < .5 ? randomIndex(std::max(1, scenario_.servers / 10))
                                                      : randomIndex(scenario_.servers);
                     request(randomFront(), title, 3);
                     scheduleRegularRequests();
                 });
    }

    bool isCold(const ServerProcess& process) const {
        return process.startedAt > 0 && now - process.startedAt < scenario_.cold.warmUp;
    }

    void request(int no, int title, int retries) {
        ++requests;
        const SubId id{next_++};
        Request& request = subs_[id] = {title, retries, now};
        request.coldOnly = true;
        for (int k = 0; k < scenario_.holders; ++k)
            request.coldOnly &= isCold(processes_[list_[std::size_t((title + k) % scenario_.servers)].id]);
        coldOnly += request.coldOnly;
        SubscriptionRequest subscription;
        subscription.title = TitleId{std::to_string(title)};
        subscription.deadline = now + 3 * kSecond;
        subscription.firstCell = Cell{unsigned(title)};
        subscription.holders = scenario_.holders;
        subscription.maxRung = 0;
        fronts_[std::size_t(no)]->logic->onSubscribe(now, id, subscription);
    }

    void onThrottled(SubId id, Micros retryAfter) {
        const Request throttled = subs_[id];
        if (throttled.retries == 0) {
            ++lost;
            return;
        }
        schedule(now + retryAfter,
                 [=, this] { request(randomFront(), throttled.title, throttled.retries - 1); });
    }

    void join(Front& f, SubId id, SfuId server) {
        ServerProcess& process = processes_[server];
        const int joinNo = subs_[id].joinCount++;
        Front* front = &f;
        if (process.isOff) {
            schedule(now + kSecond / 20, [=, this] {
                if (!front->isDead)
                    front->logic->onJoinEnded(now, id, joinNo, server, JoinResult::NoConnection, false, 0,
                                              {});
            });
            return;
        }
        if (isCold(process))
            checkArrival(process,
                         f.knownStart[server] >= process.startedAt || f.startedAt >= process.startedAt);
        if (isCold(process) && subs_[id].coldOnly) ++coldOnlyPlaced;
        process.sessions[id] = front;
        const Micros startedAt = process.startedAt;
        schedule(now + kSecond / 16, [=, this] {
            ServerProcess& current = processes_[server];
            if (front->isDead || current.startedAt != startedAt || current.isOff) return;
            ++played;
            front->logic->onPlaying(now, id, joinNo, server, kSecond / 16);
        });
        schedule(now + 5 * kSecond + randomTime(20 * kSecond), [=, this] {
            ServerProcess& current = processes_[server];
            if (current.sessions.erase(id) && !front->isDead)
                front->logic->onJoinEnded(now, id, joinNo, server, JoinResult::Played, true, 0, {});
        });
    }

    // Checks the cold start limit at the arrival of a join, with the capacity at the start throughout.
    // Windows in which at most two thirds of the joins come from fronts that know of the start are
    // exempt.
    void checkArrival(ServerProcess& process, bool knewStart) {
        ++joinsOnCold;
        process.arrived.emplace_back(now, knewStart);
        while (process.arrived.front().first <= now - scenario_.cold.tipAfter) process.arrived.pop_front();
        const double expected = scenario_.cold.fallMultiple * scenario_.places /
                                seconds(scenario_.cold.warmUp) * scenario_.cold.firstShare *
                                seconds(scenario_.cold.tipAfter);
        const auto all = static_cast<double>(process.arrived.size());
        const auto known = static_cast<double>(std::count_if(process.arrived.begin(), process.arrived.end(),
                                                             [](const auto& a) { return a.second; }));
        if (known * 3 <= all * 2) return;
        const double limit = expected + 2 * std::sqrt(expected) + 2;
        worst = std::max(worst, all / limit);
        if (all > limit && !process.isOverloaded) {
            process.isOverloaded = true;
            ++overloaded;
        }
    }

    FleetScenario scenario_;
    std::mt19937 random_;
    Micros now = 1;
    std::vector<SfuEntry> list_;
    std::vector<std::pair<Micros, std::vector<SfuEntry>>> history_;
    std::map<SfuId, ServerProcess> processes_;
    std::vector<double> weights_;
    std::vector<std::unique_ptr<Front>> allFronts_;
    std::vector<Front*> fronts_;
    std::map<SubId, Request> subs_;
    std::multimap<Micros, std::function<void()>> events_;
    unsigned next_ = 1, nextServer_ = 10'000;
};

class ColdFleetSimulation : public testing::TestWithParam<FleetScenario> {};

TEST_P(ColdFleetSimulation, AllFrontsTogetherKeepTheColdStartLimit) {
    double worst = 0;
    int overloaded = 0, requests = 0, played = 0, lost = 0, joinsOnCold = 0, coldOnly = 0, coldOnlyPlaced = 0,
        starts = 0;
    std::string overloadedSeeds;
    for (unsigned seed = 1; seed <= GetParam().seeds; ++seed) {
        ColdFleet fleet(GetParam(), seed);
        fleet.run();
        worst = std::max(worst, fleet.worst);
        if (fleet.overloaded) overloadedSeeds += " " + std::to_string(seed);
        overloaded += fleet.overloaded;
        requests += fleet.requests;
        played += fleet.played;
        lost += fleet.lost;
        joinsOnCold += fleet.joinsOnCold;
        coldOnly += fleet.coldOnly;
        coldOnlyPlaced += fleet.coldOnlyPlaced;
        starts += fleet.starts;
    }
    std::cout << "scenario " << GetParam().name << ": overloaded " << overloaded << " of " << starts
              << " started servers, highest load " << worst << " of the limit, requests " << requests
              << ", played " << played << ", lost " << lost << ", joins of cold servers " << joinsOnCold
              << ", requests with cold holders only " << coldOnly << ", of those placed " << coldOnlyPlaced
              << std::endl;
    EXPECT_EQ(overloaded, 0) << "seeds" << overloadedSeeds << ", highest load " << worst << " of the limit";
    // Guards against a module that keeps the limit by sending nothing to cold servers.
    EXPECT_GE(joinsOnCold, 2 * starts) << "cold servers get too few joins";
    EXPECT_GT(coldOnlyPlaced, 0) << "titles whose holders are all cold are never served";
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, ColdFleetSimulation,
    testing::Values(
        FleetScenario{"hundreds-small", 300, 60, 9, 4, .3, 2, {8 * kSecond, .5, 2.5, 3 * kSecond}, 6},
        FleetScenario{"hundreds-large", 300, 20, 200, 3, 3, 8, {6 * kSecond, .5, 2.5, 3 * kSecond}, 3},
        FleetScenario{"thirty", 30, 30, 40, 4, .5, 6, {10 * kSecond, .4, 2, 1'500'000}, 24},
        FleetScenario{"twenty", 20, 12, 200, 3, 2, 30, {6 * kSecond, .5, 4, kSecond}, 12}),
    [](const auto& info) {
        std::string name = info.param.name;
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    });

}  // namespace
}  // namespace valekeel
