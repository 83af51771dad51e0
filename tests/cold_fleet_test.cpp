// A plain model of a whole fleet around cold media servers: many instances of the module, each with uneven
// traffic, bursts over one title, fronts that restart or are told late, and servers replaced in bulk. A plain
// counter beside each server, which shares no code with the module, holds every span against the rule.
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

struct Shape {
    std::string name;
    int fronts, servers, places, holders;
    double perServer;  // set-ups a second asked for, for each media server, on a calm day
    double rush;       // of all at once over one title, for each front
    ColdStartLimits cold;
    unsigned seeds;
};

void PrintTo(const Shape& s, std::ostream* to) {  // else a failure prints its bytes
    *to << s.name;
}

class ColdFleet {
  public:
    ColdFleet(const Shape& shape, unsigned seed) : shape_(shape), dice_(seed) {
        for (int i = 0; i < shape.servers; ++i) {
            line_.push_back(
                {SfuId{100u + unsigned(i)}, ServerState::On, 0, Cell{unsigned(i)}, MachineKindId{0}, 1, {}});
            running_[line_.back().id] = {};
        }
        history_.emplace_back(0, line_);
        for (int i = 0; i < shape.fronts; ++i) {
            weights_.push_back(i % 5 == 0 ? 4 : .25);
            fronts_.push_back(start(i));
            fronts_.back()->logic->onServerList(now, line_, false);
        }
    }

    void play() {
        const Micros end = 26 * kSecond;
        calm();
        const Micros first = 4 * kSecond + within(kSecond);
        for (int i = 0; i < shape_.servers; ++i)
            if (chance() < .5) at(first + within(3 * kSecond), [=, this] { replace(i); });
        for (int i = 0; i < shape_.fronts; ++i)
            if (chance() < .3) at(first + within(8 * kSecond), [=, this] { restart(i); });
        // Rushes come when quiet fronts have long had nothing for the fresh servers, and twice in a row.
        for (int n = 0; n < 3; ++n) {
            const Micros when = first + 2 * kSecond + within(shape_.cold.warmUp);
            const int title = pick(shape_.servers);
            for (const Micros again : {Micros(0), shape_.cold.tipAfter * 3 / 4})
                at(when + again, [=, this] {
                    for (double k = 0; k < shape_.rush * shape_.fronts; ++k)
                        at(now + within(kSecond / 5), [=, this] { ask(someFront(), title, 3); });
                });
        }
        while (!todo_.empty() && todo_.begin()->first <= end) {
            auto next = todo_.extract(todo_.begin());
            now = next.key();
            next.mapped()();
        }
    }

    double worst = 0;  // the fullest span of a cold server, in parts of what it bears
    int broken = 0;    // servers that were pushed over
    int asked = 0, played = 0, lost = 0, onCold = 0, coldOnly = 0, coldOnlyPlaced = 0, starts = 0;

  private:
    struct Front : Host {
        Front(ColdFleet& f, int n) : fleet(f), no(n), bornAt(f.now) {}
        void join(SubId id, SfuId to, Micros) override { fleet.join(*this, id, to); }
        void setRung(SubId, int) override {}
        void throttle(SubId id, Micros retryAfter) override { fleet.refused(id, retryAfter); }
        void terminate(SubId) override { ++fleet.lost; }
        void wakeAfter(Micros after, const std::string& why) override {
            fleet.at(fleet.now + after, [this, why] {
                if (!dead) logic->onWake(fleet.now, why);
            });
        }
        void followList() override {}
        void log(const std::string&) override {}

        ColdFleet& fleet;
        int no;
        Micros bornAt;
        bool dead = false;
        std::map<SfuId, Micros> told;  // the latest start of each media server
        std::unique_ptr<Logic> logic;
    };
    struct Asked {
        int title, tries;
        Micros takenAt;
        int joins = 0;
        bool coldOnly = false;
    };
    struct Running {
        Micros startedAt = 0;
        bool off = false, fell = false;
        std::deque<std::pair<Micros, bool>> arrived;  // while cold; whether its front knew
        std::map<SubId, Front*> sessions;
    };

    void at(Micros when, std::function<void()> what) { todo_.emplace(when, std::move(what)); }
    double chance() { return std::uniform_real_distribution<double>(0, 1)(dice_); }
    Micros within(Micros span) { return std::uniform_int_distribution<Micros>(0, span)(dice_); }
    int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(dice_); }
    int someFront() { return std::discrete_distribution<int>(weights_.begin(), weights_.end())(dice_); }

    Front* start(int no) {
        all_.push_back(std::make_unique<Front>(*this, no));
        Front& f = *all_.back();
        const RoomType room{"room", kSecond, 1, false, false, true, 0, 1, 0, 2, 0, false};
        Fleet fleet;
        fleet.cells = shape_.servers;
        fleet.linksKb = 1e6 * shape_.servers;
        fleet.linkKbPerSize = 1e6;
        fleet.hasSizes = true;
        fleet.places = {shape_.places};
        f.logic = std::make_unique<Logic>(f, now, dice_(), shape_.fronts,
                                          Ladder{{100, 300, 900}, {.3, .7, 1}, 8, .5, 1}, std::vector{room},
                                          fleet, shape_.cold, nullptr, ReportTiming{kSecond, 2 * kSecond},
                                          SubscriptionLimits{3, true, kSecond});
        return &f;
    }

    // The list as it was some seconds ago, as of a file, and a fresh one a while after.
    void restart(int no) {
        fronts_[no]->dead = true;
        Front* f = fronts_[no] = start(no);
        const auto later = std::upper_bound(history_.begin(), history_.end(), now - 5 * kSecond,
                                            [](Micros t, const auto& entry) { return t < entry.first; });
        f->logic->onServerList(now, std::prev(std::max(later, history_.begin() + 1))->second, true);
        at(now + kSecond / 5 + within(2 * kSecond), [=, this] {
            if (f->dead) return;
            for (const SfuEntry& l : line_) f->told[l.id] = l.launched;
            f->logic->onServerList(now, line_, false);
        });
    }

    // Half of the fresh servers keep their ids, as after a crash. One front in five is told late.
    void replace(int i) {
        ++starts;
        SfuEntry& l = line_[std::size_t(i)];
        SfuEntry old = l;
        old.state = ServerState::Off;
        Running& gone = running_[l.id];
        gone.off = true;
        for (const auto& [id, f] : gone.sessions) {
            if (f->dead) continue;
            at(now + kSecond / 50, [=, this] {
                if (!f->dead)
                    f->logic->onJoinEnded(now, id, subs_[id].joins - 1, old.id, JoinResult::Reset, true, 0,
                                          {});
            });
            const int title = subs_[id].title;
            at(now + kSecond / 4 + within(kSecond), [=, this] { ask(someFront(), title, 3); });
        }
        gone.sessions.clear();
        const bool sameId = chance() < .5;
        if (!sameId) l.id = SfuId{nextServer_++};
        l.launched = now;
        running_[l.id] = Running{now, false, false, {}, {}};
        history_.emplace_back(now, line_);
        std::vector<SfuEntry> news{l};
        if (!sameId) news.insert(news.begin(), old);
        for (Front* f : fronts_) {
            const Micros late =
                chance() < .2 ? kSecond + within(3 * kSecond) : kSecond / 20 + within(kSecond / 3);
            at(now + late, [=, this] {
                if (f->dead || f->told[news.back().id] >= news.back().launched) return;
                f->told[news.back().id] = news.back().launched;
                f->logic->onServerListChange(now, news);
            });
        }
    }

    void calm() {
        const double rate = shape_.perServer * shape_.servers;
        at(now + static_cast<Micros>(std::exponential_distribution<double>(rate)(dice_) * 1e6), [this] {
            // Half of all ask for the most popular tenth of the titles.
            const int title = chance() < .5 ? pick(std::max(1, shape_.servers / 10)) : pick(shape_.servers);
            ask(someFront(), title, 3);
            calm();
        });
    }

    bool cold(const Running& r) const { return r.startedAt > 0 && now - r.startedAt < shape_.cold.warmUp; }

    void ask(int no, int title, int tries) {
        ++asked;
        const SubId id{next_++};
        Asked& a = subs_[id] = {title, tries, now};
        a.coldOnly = true;
        for (int k = 0; k < shape_.holders; ++k)
            a.coldOnly &= cold(running_[line_[std::size_t((title + k) % shape_.servers)].id]);
        coldOnly += a.coldOnly;
        SubscriptionRequest w;
        w.title = TitleId{std::to_string(title)};
        w.deadline = now + 3 * kSecond;
        w.firstCell = Cell{unsigned(title)};
        w.holders = shape_.holders;
        w.maxRung = 0;
        fronts_[std::size_t(no)]->logic->onSubscribe(now, id, w);
    }

    void refused(SubId id, Micros retryAfter) {
        const Asked a = subs_[id];
        if (a.tries == 0) {
            ++lost;
            return;
        }
        at(now + retryAfter, [=, this] { ask(someFront(), a.title, a.tries - 1); });
    }

    void join(Front& f, SubId id, SfuId to) {
        Running& r = running_[to];
        const int joinNo = subs_[id].joins++;
        Front* front = &f;
        if (r.off) {
            at(now + kSecond / 20, [=, this] {
                if (!front->dead)
                    front->logic->onJoinEnded(now, id, joinNo, to, JoinResult::NoConnection, false, 0, {});
            });
            return;
        }
        if (cold(r)) arrive(r, f.told[to] >= r.startedAt || f.bornAt >= r.startedAt);
        if (cold(r) && subs_[id].coldOnly) ++coldOnlyPlaced;
        r.sessions[id] = front;
        const Micros startedAt = r.startedAt;
        at(now + kSecond / 16, [=, this] {
            Running& there = running_[to];
            if (front->dead || there.startedAt != startedAt || there.off) return;
            ++played;
            front->logic->onPlaying(now, id, joinNo, to, kSecond / 16);
        });
        at(now + 5 * kSecond + within(20 * kSecond), [=, this] {
            Running& there = running_[to];
            if (there.sessions.erase(id) && !front->dead)
                front->logic->onJoinEnded(now, id, joinNo, to, JoinResult::Played, true, 0, {});
        });
    }

    // The rule, with the share of the first moment throughout.
    void arrive(Running& r, bool knew) {
        ++onCold;
        r.arrived.emplace_back(now, knew);
        while (r.arrived.front().first <= now - shape_.cold.tipAfter) r.arrived.pop_front();
        const double n = shape_.cold.fallMultiple * shape_.places / seconds(shape_.cold.warmUp) *
                         shape_.cold.firstShare * seconds(shape_.cold.tipAfter);
        const auto all = static_cast<double>(r.arrived.size());
        const auto known = static_cast<double>(
            std::count_if(r.arrived.begin(), r.arrived.end(), [](const auto& a) { return a.second; }));
        if (known * 3 <= all * 2) return;
        const double bears = n + 2 * std::sqrt(n) + 2;
        worst = std::max(worst, all / bears);
        if (all > bears && !r.fell) {
            r.fell = true;
            ++broken;
        }
    }

    Shape shape_;
    std::mt19937 dice_;
    Micros now = 1;
    std::vector<SfuEntry> line_;
    std::vector<std::pair<Micros, std::vector<SfuEntry>>> history_;
    std::map<SfuId, Running> running_;
    std::vector<double> weights_;
    std::vector<std::unique_ptr<Front>> all_;
    std::vector<Front*> fronts_;
    std::map<SubId, Asked> subs_;
    std::multimap<Micros, std::function<void()>> todo_;
    unsigned next_ = 1, nextServer_ = 10'000;
};

class ColdFleetDays : public testing::TestWithParam<Shape> {};

TEST_P(ColdFleetDays, NoColdServerIsPushedOverByAllFrontsTogether) {
    double worst = 0;
    int broken = 0, asked = 0, played = 0, lost = 0, onCold = 0, coldOnly = 0, coldOnlyPlaced = 0, starts = 0;
    std::string which;
    for (unsigned seed = 1; seed <= GetParam().seeds; ++seed) {
        ColdFleet fleet(GetParam(), seed);
        fleet.play();
        worst = std::max(worst, fleet.worst);
        if (fleet.broken) which += " " + std::to_string(seed);
        broken += fleet.broken;
        asked += fleet.asked;
        played += fleet.played;
        lost += fleet.lost;
        onCold += fleet.onCold;
        coldOnly += fleet.coldOnly;
        coldOnlyPlaced += fleet.coldOnlyPlaced;
        starts += fleet.starts;
    }
    std::cout << "model of " << GetParam().name << ": broken " << broken << " of " << starts
              << " starts, fullest " << worst << ", asked " << asked << ", played " << played << ", lost "
              << lost << ", on cold " << onCold << ", with cold holders alone " << coldOnly
              << ", of those placed " << coldOnlyPlaced << std::endl;
    EXPECT_EQ(broken, 0) << "seeds" << which << ", the fullest span at " << worst << " of what is borne";
    // A module that sends nothing to a cold server keeps the rule as well.
    EXPECT_GE(onCold, 2 * starts) << "fresh servers are starved";
    EXPECT_GT(coldOnlyPlaced, 0) << "titles whose holders are all cold are never served";
}

INSTANTIATE_TEST_SUITE_P(
    Shapes, ColdFleetDays,
    testing::Values(Shape{"hundreds-small", 300, 60, 9, 4, .3, 2, {8 * kSecond, .5, 2.5, 3 * kSecond}, 6},
                    Shape{"hundreds-large", 300, 20, 200, 3, 3, 8, {6 * kSecond, .5, 2.5, 3 * kSecond}, 3},
                    Shape{"thirty", 30, 30, 40, 4, .5, 6, {10 * kSecond, .4, 2, 1'500'000}, 24},
                    Shape{"twenty", 20, 12, 200, 3, 2, 30, {6 * kSecond, .5, 4, kSecond}, 12}),
    [](const auto& info) {
        std::string name = info.param.name;
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    });

}  // namespace
}  // namespace valekeel
