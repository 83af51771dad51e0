#include "simulation/drill.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "fakes/list_server.hpp"
#include "simulation/environment.hpp"

namespace valekeel::simulation {
namespace {

using fakes::Line;

// One front under a name that stays over its lives.
struct FrontHere {
    std::string name;
    std::unique_ptr<FrontProcess> life;
    std::optional<net::Endpoint> at, sip;
    Micros downSince = 0;
    bool down = true;
    int lives = 0;
};

class Drill {
  public:
    Drill(const Scenario& day, const DrillOptions& ways, fakes::Ledger& ledger)
        : day_(day),
          ways_(ways),
          ledger_(ledger),
          environment_(ways.real ? makeSocketEnvironment(ways.program, ways.folder, day.seed)
                                 : makeVirtualEnvironment(ways.folder, day.seed)),
          net_(environment_->net()),
          chance_(day.seed),
          crowdChance_(static_cast<std::knuth_b::result_type>(day.seed + 77)),
          fleet_(net_, day.make, day.machines.fleet.racks, day.machines.fleet.uplinkKb, day.seed + 1, ledger),
          list_(net_, environment_->boxAt(), ledger),
          watch_(net_, [this] { watch(); }) {}

    DrillResult run() {
        for (int id = 0; id < day_.boxes; ++id) {
            const double link =
                day_.machines.fleet.hasSizes ? day_.machines.fleet.linkKbPerSize : day_.linkKb;
            fleet_.add(id, id % day_.machines.fleet.cells, link, day_.machines.fleet.places.front(),
                       environment_->boxAt());
            tell(id, "on");
        }
        if (!day_.members.empty()) {
            std::vector<double> links;
            for (const Member& m : day_.members) links.push_back(m.linkKb);
            fleet_.useLinkModel(links, [this](const std::string& trace) {
                const auto it = memberOf_.find(trace);
                return it == memberOf_.end() ? -1 : it->second;
            });
        }
        fronts_.resize(static_cast<std::size_t>(day_.fronts));
        for (std::size_t i = 0; i < fronts_.size(); ++i) startFront(i);
        watch_.after(0);
        const Micros limit = net_.now() + 20 * kSecond;
        while (net_.now() < limit &&
               !std::all_of(fronts_.begin(), fronts_.end(), [](const auto& f) { return f.at.has_value(); }))
            environment_->runOnce(20'000);
        for (Micros settle = net_.now() + 500'000; net_.now() < settle;) environment_->runOnce(50'000);

        begun_ = net_.now();
        plan();
        const Micros end = begun_ + day_.length;
        while (net_.now() < end) {
            environment_->runOnce(100'000);
            const auto second = (net_.now() - begun_) / (5 * kSecond);
            if (second != lastSaid_) {
                lastSaid_ = second;
                ways_.say(std::to_string(second * 5) + " s: " + std::to_string(active_) + " players, " +
                          std::to_string(ledger_.lines().size()) + " lines");
            }
        }
        // Who is still watching goes; nobody comes any more. What is asked for is still answered.
        closing_ = true;
        for (auto& player : players_) player->endSoon();
        const Micros last = net_.now() + (day_.callers.empty() ? 8 : 20) * kSecond;
        while (net_.now() < last && active_ > 0) environment_->runOnce(50'000);
        for (FrontHere& f : fronts_) f.life->requestStop();
        const Micros until = net_.now() + 5 * kSecond;
        while (net_.now() < until &&
               std::any_of(fronts_.begin(), fronts_.end(), [](auto& f) { return f.life->running(); }))
            environment_->runOnce(50'000);
        DrillResult result;
        result.secondsTaken =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - startedReal_).count();
        for (FrontHere& f : fronts_) {
            f.life->kill();
            result.frontCpu += f.life->cpuSeconds();
            if (f.down) down_.emplace(f.name, std::pair{f.downSince, net_.now()});
        }
        result.troublesAtOnce = mostAtOnce();
        judge(day_, ledger_, result);
        for (const auto& [from, until2, boxes] : lies_) {
            for (const Line& l : ledger_.lines()) {
                if (l.what != "arrive" || l.at < from || l.at > until2) continue;
                ++result.joinsInLies;
                if (boxes.count(l.box)) ++result.liedTo;
            }
        }
        result.breaches = audit::checkAllRules(ledger_, day_.terms, down_);
        for (const audit::RuleViolation& b : result.breaches)
            if (b.rule == 1 && b.what.find("no answer") != std::string::npos) ++result.never;
        return result;
    }

  private:
    // ---- fronts ----
    void startFront(std::size_t i) {
        FrontHere& f = fronts_[i];
        f.name = "front" + std::to_string(i);
        if (!f.life) f.life = environment_->front(static_cast<int>(i), f.name);
        const std::string base = ways_.folder + "/" + f.name;
        const std::string here = net::toString(environment_->boxAt());
        std::ostringstream out;
        out << "front \"" << f.name << "\" fronts=" << day_.fronts << " stop-within=\"2s\"\n"
            << settings::printKdl(day_.siteNodes) << "http listen=\"" << here << "\"\n"
            << "list stream=\"" << net::toString(list_.endpoint()) << "\" path=\"/boxes?front=" << f.name
            << "\" keep=\"" << base << ".list\" silent-for=\"4s\"\n"
            << "log file=\"" << base << ".log\"" << (ways_.real ? "" : " level=\"warning\"") << "\n";
        if (!day_.callers.empty())
            out << "sip listen=\"" << here << "\" t1=\"" << day_.callers.front().t1 / 1000 << "ms\" t2=\""
                << 8 * day_.callers.front().t1 / 1000
                << "ms\" min-session=\"4s\" session=\"8s\" hold-every=\"1s\" hold-within=\"1s\"\n";
        f.life->start(out.str(), day_.seed * 100 + i * 10 + static_cast<std::uint64_t>(++f.lives),
                      ways_.decisions);
        f.at.reset();
    }
    void watch() {
        watch_.after(50'000);
        for (FrontHere& f : fronts_) {
            if (f.at) continue;
            if (!day_.callers.empty()) f.sip = f.life->sip();
            if ((f.at = f.life->http()) && f.down) {
                if (f.downSince > 0) down_.emplace(f.name, std::pair{f.downSince, net_.now()});
                f.down = false;
            }
        }
    }
    void frontIsDown(FrontHere& f) {
        f.downSince = net_.now();
        f.down = true;
        f.at.reset();
        f.sip.reset();
    }

    // ---- the list ----
    void tell(int id, const std::string& standing) {
        fakes::Box& box = fleet_.box(id);
        fakes::ListedBox listed;
        listed.id = id;
        listed.cell = box.cell();
        listed.at = net::toString(box.endpoint());
        listed.kind = day_.machines.kinds.front();
        listed.standing = standing;
        listed.size = 1;
        if (launched_.count(id)) listed.launchedWall = launched_[id];
        list_.put({listed});
    }

    // ---- players ----
    // One of the fronts that listen there, by chance; none where nobody is to come any more.
    const FrontHere* pick(std::optional<net::Endpoint> FrontHere::*where) {
        std::vector<const FrontHere*> up;
        for (const FrontHere& f : fronts_)
            if (f.*where) up.push_back(&f);
        if (up.empty() || closing_) return nullptr;
        return up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(chance_)];
    }
    std::optional<fakes::Player::FrontAt> pickFront() {
        const FrontHere* f = pick(&FrontHere::at);
        if (!f) return std::nullopt;
        return fakes::Player::FrontAt{f->name, *f->at};
    }

    fakes::PlayerPlan planOf(const Crowd& crowd) {
        const auto roll = [&] { return std::uniform_real_distribution<double>(0, 1)(chance_); };
        fakes::PlayerPlan plan;
        plan.room = oneOf(crowd.rooms, chance_);
        plan.title = oneOf(crowd.titles, chance_);
        plan.watch = std::uniform_int_distribution<Micros>(crowd.watchLeast, crowd.watchMost)(chance_);
        plan.returns = crowd.returns;
        plan.honours = roll() < crowd.honours;
        if (roll() < crowd.badHints) {
            constexpr fakes::HintStyle kBad[] = {fakes::HintStyle::None, fakes::HintStyle::Broken,
                                                 fakes::HintStyle::Doubled, fakes::HintStyle::Oversized,
                                                 fakes::HintStyle::Contradicting};
            plan.hints = kBad[std::uniform_int_distribution<std::size_t>(0, 4)(chance_)];
        } else {
            plan.hints = roll() < 0.5 ? fakes::HintStyle::Headers : fakes::HintStyle::Query;
        }
        if (roll() < crowd.smallScreens && day_.ladder.kb.size() > 1)
            plan.topKbits = std::llround(day_.ladder.kb[day_.ladder.kb.size() - 2] * 8);
        return plan;
    }

    fakes::PlayerPlan planOf(const Audience& a, int member) {
        const auto roll = [&] { return workload::unit(crowdChance_); };
        fakes::PlayerPlan plan;
        plan.room = oneOf(a.rooms, crowdChance_);
        plan.title = a.titles[a.wanted.draw(crowdChance_)];
        plan.watch = workload::lognormal(a.watchMedian, a.watchSigma, 6, crowdChance_);
        plan.returns = a.returns;
        plan.back = a.back;
        plan.honours = roll() < a.honours;
        plan.atOnce = roll() < a.atOnce;
        plan.member = member;
        plan.patience.emplace(a.patience, a.stallWeight, -std::log(1 - roll()));
        plan.startWith = a.startWith;
        plan.bufferMost = a.bufferMost;
        plan.hints = roll() < a.badHints ? fakes::HintStyle::None
                     : roll() < 0.5      ? fakes::HintStyle::Headers
                                         : fakes::HintStyle::Query;
        if (roll() < a.smallScreens && day_.ladder.kb.size() > 1)
            plan.topKbits = std::llround(day_.ladder.kb[day_.ladder.kb.size() - 2] * 8);
        if (roll() < a.ownAbr) plan.ownLadderKb = day_.ladder.kb;
        if (member >= 0)
            plan.asking = [this, member](const std::string& trace) { memberOf_[trace] = member; };
        return plan;
    }
    int someMember() {
        if (day_.members.empty()) return -1;
        std::vector<double> parts;
        for (const Member& m : day_.members) parts.push_back(m.part);
        return static_cast<int>(
            std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(crowdChance_));
    }
    void come(net::Net& net, const fakes::PlayerPlan& plan, std::uint64_t seed) {
        players_.push_back(std::make_unique<fakes::Player>(
            net, static_cast<int>(players_.size()), plan, [this] { return pickFront(); }, seed,
            day_.ladder.worth, ledger_, [this](fakes::Player&) { --active_; }));
        ++active_;
        players_.back()->start();
    }
    void comeOne(const Audience& a, int member) {
        const std::uint64_t seed = crowdChance_();
        come(environment_->netOf(member), planOf(a, member), seed);
    }
    void nextOf(const Audience& a, Micros after) {
        const auto when = a.stream.next(after, crowdChance_);
        if (!when) return;
        at(*when, [this, &a, when] {
            comeOne(a, a.member >= 0 ? a.member : someMember());
            nextOf(a, *when);
        });
    }

    void comeOne(const Crowd& crowd) {
        const std::uint64_t seed = chance_();
        come(net_, planOf(crowd), seed);
    }

    void callOne(const Callers& some) {
        const FrontHere* f = pick(&FrontHere::sip);
        if (!f) return;
        const auto roll = [&] { return std::uniform_real_distribution<double>(0, 1)(chance_); };
        const fakes::PlayerRoom& room = oneOf(some.rooms, chance_);
        fakes::CallPlan plan;
        plan.title = oneOf(some.titles, chance_);
        plan.room = room.name;
        plan.timeout = room.clientTimeout;
        plan.talk = std::uniform_int_distribution<Micros>(some.talkLeast, some.talkMost)(chance_);
        plan.t1 = some.t1;
        plan.sessionExpires = 8 * kSecond;
        if (roll() < some.cancels)
            plan.cancelAfter = std::uniform_int_distribution<Micros>(1, kSecond)(chance_);
        ++active_;
        // Their numbers lie behind those of all players.
        callers_.push_back(std::make_unique<fakes::Caller>(
            net_, 1'000'000 + static_cast<int>(callers_.size()), *f->sip, f->name, plan, some.weather,
            chance_(), ledger_, [this] { --active_; }));
        callers_.back()->start();
    }

    template <class What, class Chance>
    static const What& oneOf(const std::vector<std::pair<double, What>>& all, Chance& chance) {
        std::vector<double> parts;
        for (const auto& [part, what] : all) parts.push_back(part);
        return all[std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(chance)].second;
    }

    void at(Micros when, std::function<void()> what) {
        timers_.push_back(std::make_unique<net::Timer>(net_, std::move(what)));
        timers_.back()->at(begun_ + when);
    }

    // ---- the script ----
    void plan() {
        for (const Crowd& crowd : day_.crowds)
            for (int i = 0; i < crowd.players; ++i)
                at(crowd.at + std::uniform_int_distribution<Micros>(0, crowd.over)(chance_),
                   [this, &crowd] { comeOne(crowd); });
        for (const Audience& a : day_.audiences) {
            nextOf(a, 0);
            for (const Audience::Train& t : a.trains)
                for (int i = 0; i < t.viewers; ++i)
                    at(t.at + static_cast<Micros>(workload::unit(crowdChance_) * static_cast<double>(t.over)),
                       [this, &a, &t] { comeOne(a, t.member); });
        }
        for (const Callers& some : day_.callers)
            for (int i = 0; i < some.callers; ++i)
                at(some.at + std::uniform_int_distribution<Micros>(0, some.over)(chance_),
                   [this, &some] { callOne(some); });
        for (const ScheduledFault& t : day_.troubles) {
            at(t.at, [this, &t] {
                ways_.say("trouble: " + t.kind);
                begin(t);
            });
            if (t.lasts > 0 && t.kind != "rolling-deploy") at(t.at + t.lasts, [this, &t] { end(t); });
        }
    }

    template <class Do>
    void each(const ScheduledFault& t, Do&& what) {
        for (const int id : t.boxes) what(fleet_.box(id));
    }

    // A box's process is replaced: it drains where told, goes, and comes back cold.
    void takeAway(int id, const char* why) { fleet_.box(id).die(why); }
    void bringBack(int id) {
        fakes::Box& box = fleet_.box(id);
        if (box.up()) return;
        box.start(true);
        launched_[id] = net_.wallNow();
        at(net_.now() - begun_ + 600'000, [this, id] {  // the list learns of it a little later
            if (fleet_.box(id).up()) tell(id, "on");
        });
    }

    void begin(const ScheduledFault& t) {
        const std::string& k = t.kind;
        if (k == "box-dies") each(t, [&](auto& b) { takeAway(b.id(), "died"); });
        if (k == "box-silent") each(t, [&](auto& b) { b.trouble.silent = true; });
        if (k == "box-pauses") each(t, [&](auto& b) { b.trouble.pausedUntil = net_.now() + t.lasts; });
        if (k == "box-drains" || k == "boxes-taken") {
            const Micros drain = k == "boxes-taken" ? kSecond : std::max<Micros>(t.time, 1);
            each(t, [&](auto& b) {
                b.trouble.draining = true;
                tell(b.id(), "fading");
                at(net_.now() - begun_ + drain, [this, id = b.id()] { takeAway(id, "died"); });
            });
        }
        if (k == "rolling-deploy") {
            const Micros step = t.lasts / std::max<Micros>(1, static_cast<Micros>(t.boxes.size()));
            Micros when = net_.now() - begun_;
            for (const int id : t.boxes) {
                at(when, [this, id] {
                    fleet_.box(id).trouble.draining = true;
                    tell(id, "fading");
                });
                at(when + t.time, [this, id] { takeAway(id, "died"); });
                at(when + t.time + kSecond, [this, id] { bringBack(id); });
                when += step;
            }
        }
        if (k == "boxes-age") {
            for (int part = 1; part <= 10; ++part)
                at(net_.now() - begun_ + t.lasts * (part - 1) / 10, [this, &t, part] {
                    each(t, [&](auto& b) { b.trouble.setUpFactor = 1 + (t.size - 1) * part / 10; });
                });
        }
        if (k == "fails-fast" || k == "lies-idle")
            each(t, [&](auto& b) {
                b.trouble.failPart = t.size;
                b.trouble.liesIdle = k == "lies-idle";
            });
        if (k == "lies-idle")
            lies_.emplace_back(net_.now(), net_.now() + t.lasts,
                               std::set<int>(t.boxes.begin(), t.boxes.end()));
        if (k == "answers-lost") each(t, [&](auto& b) { b.trouble.losePart = t.size; });
        if (k == "answers-late") each(t, [&](auto& b) { b.trouble.answersLate = t.time; });
        if (k == "set-ups-slow") each(t, [&](auto& b) { b.trouble.setUpFactor = t.size; });
        if (k == "link-weak") each(t, [&](auto& b) { b.trouble.linkFactor = 1 / t.size; });
        if (k == "all-links-weak")
            for (auto& [id, b] : fleet_.boxes()) b->trouble.linkFactor = 1 / t.size;
        if (k == "uplink-weak")
            for (const int rack : t.boxes) fleet_.uplinkFactor[static_cast<std::size_t>(rack)] = 1 / t.size;
        if (k == "member-weak" || k == "member-cut")
            for (const int m : t.boxes)
                fleet_.memberFactor[static_cast<std::size_t>(m)] = k == "member-cut" ? 0 : 1 / t.size;
        if (k == "reports-late")
            for (auto& [id, b] : fleet_.boxes()) b->trouble.reportsLate = t.time;
        if (k == "list-unreachable") list_.unreachable(true);
        if (k == "list-late") list_.late = t.time;
        if (k == "list-repeats") list_.repeats = true;
        if (k == "list-skips") list_.skips = true;
        if (k == "list-cut") list_.cutShort();
        if (k == "front-dies")
            for (const int i : t.boxes) {
                FrontHere& f = fronts_[static_cast<std::size_t>(i)];
                f.life->kill();
                frontIsDown(f);
            }
        if (k == "front-stops")
            for (const int i : t.boxes) {
                FrontHere& f = fronts_[static_cast<std::size_t>(i)];
                f.life->requestStop();
                frontIsDown(f);  // it answers what it took, and is not asked any more; it ends by itself
            }
        if (k == "front-stalls")
            for (const int i : t.boxes) fronts_[static_cast<std::size_t>(i)].life->pause();
        if (k == "rush" && !day_.crowds.empty()) {
            const auto more = static_cast<int>(t.size);
            for (int i = 0; i < more; ++i)
                at(net_.now() - begun_ +
                       std::uniform_int_distribution<Micros>(0, std::max<Micros>(1, t.lasts))(chance_),
                   [this] { comeOne(day_.crowds.front()); });
        }
    }

    void end(const ScheduledFault& t) {
        const std::string& k = t.kind;
        if (k == "box-dies" || k == "box-drains" || k == "boxes-taken")
            each(t, [&](auto& b) { bringBack(b.id()); });
        if (k == "box-silent")
            each(t, [&](auto& b) {
                takeAway(b.id(), "died");
                bringBack(b.id());
            });
        if (k == "box-pauses") each(t, [&](auto& b) { b.resume(); });
        if (k == "boxes-age")
            each(t, [&](auto& b) {
                b.trouble.setUpFactor = 1;
                takeAway(b.id(), "died");
                at(net_.now() - begun_ + 2 * kSecond, [this, id = b.id()] { bringBack(id); });
            });
        if (k == "fails-fast" || k == "lies-idle")
            each(t, [&](auto& b) {
                b.trouble.failPart = 0;
                b.trouble.liesIdle = false;
            });
        if (k == "answers-lost") each(t, [&](auto& b) { b.trouble.losePart = 0; });
        if (k == "answers-late") each(t, [&](auto& b) { b.trouble.answersLate = 0; });
        if (k == "set-ups-slow") each(t, [&](auto& b) { b.trouble.setUpFactor = 1; });
        if (k == "link-weak") each(t, [&](auto& b) { b.trouble.linkFactor = 1; });
        if (k == "all-links-weak")
            for (auto& [id, b] : fleet_.boxes()) b->trouble.linkFactor = 1;
        if (k == "uplink-weak")
            for (const int rack : t.boxes) fleet_.uplinkFactor[static_cast<std::size_t>(rack)] = 1;
        if (k == "member-weak" || k == "member-cut")
            for (const int m : t.boxes) fleet_.memberFactor[static_cast<std::size_t>(m)] = 1;
        if (k == "reports-late")
            for (auto& [id, b] : fleet_.boxes()) b->trouble.reportsLate = 0;
        if (k == "list-unreachable") list_.unreachable(false);
        if (k == "list-late") list_.late = 0;
        if (k == "list-repeats") list_.repeats = false;
        if (k == "list-skips") list_.skips = false;
        if (k == "front-dies" || k == "front-stops")
            for (const int i : t.boxes) {
                FrontHere& f = fronts_[static_cast<std::size_t>(i)];
                if (k == "front-stops") {
                    f.life->kill();  // it had its time to stop
                }
                startFront(static_cast<std::size_t>(i));
            }
        if (k == "front-stalls")
            for (const int i : t.boxes) {
                FrontHere& f = fronts_[static_cast<std::size_t>(i)];
                f.life->resume();
                down_.emplace(f.name, std::pair{begun_ + t.at, net_.now()});
            }
    }

    std::size_t mostAtOnce() const {
        std::size_t most = 0;
        for (const ScheduledFault& t : day_.troubles) {
            std::size_t now = 0;
            for (const ScheduledFault& o : day_.troubles)
                now += o.at <= t.at && t.at < o.at + std::max<Micros>(1, o.lasts);
            most = std::max(most, now);
        }
        return most;
    }

    const Scenario& day_;
    const DrillOptions& ways_;
    fakes::Ledger& ledger_;
    std::unique_ptr<Environment> environment_;
    net::Net& net_;
    std::mt19937_64 chance_;
    std::knuth_b crowdChance_;
    std::map<std::string, int> memberOf_;  // by trace
    std::chrono::steady_clock::time_point startedReal_ = std::chrono::steady_clock::now();
    fakes::BoxFleet fleet_;
    fakes::ListServer list_;
    net::Timer watch_;
    std::vector<FrontHere> fronts_;
    std::map<int, Micros> launched_;
    std::vector<std::unique_ptr<fakes::Player>> players_;
    std::vector<std::unique_ptr<fakes::Caller>> callers_;
    std::deque<std::unique_ptr<net::Timer>> timers_;
    std::vector<std::tuple<Micros, Micros, std::set<int>>> lies_;
    audit::Downtimes down_;
    Micros begun_ = 0, lastSaid_ = -1;
    int active_ = 0;
    bool closing_ = false;
};

}  // namespace

DrillResult drill(const Scenario& day, const DrillOptions& ways, fakes::Ledger& ledger) {
    return Drill(day, ways, ledger).run();
}

void judge(const Scenario& day, const fakes::Ledger& ledger, DrillResult& result) {
    namespace bh = boost::histogram;
    // A log axis from 0.1 ms to 100 s, 40 bins a decade: within 6% of the true value.
    using Histogram =
        decltype(bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(240, 1e2, 1e8)));
    std::map<std::string, Histogram> times;
    std::map<std::string, const Line*> asked;
    double benefitAsked = 0, benefitServed = 0;
    std::map<std::string, double> benefit;
    for (const RoomType& r : day.rooms.types) benefit[r.name] = r.benefit;
    std::set<std::string> paidSubs;
    double wanted = 0, got = 0;
    struct Part {
        double asked = 0, served = 0, wanted = 0, got = 0;
    };
    std::map<int, Part> members;
    std::map<std::string, Part> roomParts;
    std::map<Micros, Part> tens;
    const Micros begin = ledger.lines().empty() ? 0 : ledger.lines().front().at;
    const auto second = [&](const Line& l) -> DrillResult::Second& {
        const auto i = static_cast<std::size_t>((l.at - begin) / kSecond);
        if (result.course.size() <= i) result.course.resize(i + 1);
        return result.course[i];
    };
    const auto askedNow = [&](const Line& l) {
        members[l.member].asked += benefit[l.room];
        roomParts[l.room].asked += benefit[l.room];
        tens[l.at / (10 * kSecond)].asked += benefit[l.room];
        benefitAsked += benefit[l.room];
    };
    const auto servedNow = [&](const Line& ask) {
        members[ask.member].served += benefit[ask.room];
        roomParts[ask.room].served += benefit[ask.room];
        tens[ask.at / (10 * kSecond)].served += benefit[ask.room];
        benefitServed += benefit[ask.room];
    };
    const Micros dayEnd = ledger.lines().empty() ? 0 : ledger.lines().back().at;
    for (const Line& l : ledger.lines()) {
        const auto room = day.terms.rooms.find(l.room);
        const bool paid = room != day.terms.rooms.end() && room->second.paid;
        if (l.what == "ask") {
            ++result.asked;
            asked[l.trace] = &l;
            ++second(l).asked;
            if (l.attempt == 1) {
                ++result.firstAsks;
                askedNow(l);
            }
        } else if (l.what == "answer" && l.face == "sip") {
            // How long it took says nothing of the front: the weather is in it.
            ++result.calls[l.status];
            const auto ask = asked.find(l.trace);
            if (l.status == 200) {
                ++result.played;
                if (paid) paidSubs.insert(l.trace);
                if (ask != asked.end()) servedNow(*ask->second);
            } else {
                ++(l.status == 486 || l.status == 503 ? result.throttled : result.terminated);
            }
        } else if (l.what == "answer") {
            auto& h = times
                          .try_emplace(
                              l.room, bh::make_histogram(
                                          bh::axis::regular<double, bh::axis::transform::log>(240, 1e2, 1e8)))
                          .first->second;
            h(std::max(1.0, l.number));
            auto& t = result.toAnswer[l.room];
            ++t.count;
            t.max = std::max(t.max, static_cast<Micros>(l.number));
            if (l.status == 200) {
                ++result.played;
                ++second(l).played;
                if (paid) paidSubs.insert(l.trace);
                const auto ask = asked.find(l.trace);
                if (ask != asked.end() && l.attempt == 1 && l.number <= ask->second->number)
                    servedNow(*ask->second);
            } else if (l.status == 503) {
                ++result.throttled;
                ++second(l).throttled;
                ++(l.told ? result.throttledTold : result.throttledUntold);
            } else {
                ++result.terminated;
            }
        } else if (l.what == "second-answer") {
            ++result.twice;
        } else if (l.what == "no-answer") {
            ++result.excused;
            if (l.face == "sip") ++result.calls[0];
        } else if (l.what == "charged" && paid) {
            ++result.paidSetUps;
        } else if (l.what == "arrive") {
            ++result.joinsAt[l.box];
        } else if (l.what == "wants") {
            const double much = benefit[l.room] *
                                std::min(l.number, static_cast<double>(std::max<Micros>(0, dayEnd - l.at))) /
                                1e6;
            wanted += much;
            members[l.member].wanted += much;
        } else if (l.what == "segment" && l.player >= 0) {
            ++result.segments;
            const double missing =
                std::max(0.0, 1 - static_cast<double>(day.make.segment) / std::max(1.0, l.number));
            const double worth = l.rung >= 0 && l.rung < static_cast<int>(day.ladder.worth.size())
                                     ? day.ladder.worth[static_cast<std::size_t>(l.rung)]
                                     : 0;
            const double much = benefit[l.room] * seconds(day.make.segment) * worth *
                                std::max(0.0, 1 - day.ladder.stallLoss * missing);
            got += much;
            members[l.member].got += much;
        } else if (l.what == "stall") {
            ++result.stalls;
            result.stallSeconds += l.number / 1e6;
        } else if (l.what == "switch") {
            ++result.switches;
        } else if (l.what == "abandon") {
            ++result.abandoned;
        } else if (l.what == "return") {
            ++result.returns;
        } else if (l.what == "segment-lost") {
            ++result.lost;
        } else if (l.what == "gap") {
            ++result.gaps;
        }
    }
    result.quality = wanted > 0 ? got / wanted : 0;
    result.paidSubs = paidSubs.size();
    for (const auto& [number, part] : members) {
        if (number < 0 || part.asked <= 0) continue;
        result.byMember[day.members[static_cast<std::size_t>(number)].name] = {
            part.served / part.asked, part.wanted > 0 ? part.got / part.wanted : 0};
    }
    for (const auto& [room, part] : roomParts) {
        const double service = part.asked > 0 ? part.served / part.asked : 1;
        if (!result.worstRoom.empty() && service >= result.worstRoomService) continue;
        result.worstRoom = room;
        result.worstRoomService = service;
    }
    for (const auto& [ten, part] : tens)
        if (part.asked > 0)
            result.worstTenSeconds = std::min(result.worstTenSeconds, part.served / part.asked);
    result.service = benefitAsked > 0 ? benefitServed / benefitAsked : 0;
    for (auto& [room, h] : times) {
        double total = 0;
        for (auto&& bin : bh::indexed(h, bh::coverage::all)) total += *bin;
        const auto quantile = [&](double part) {
            double seen = 0;
            for (auto&& bin : bh::indexed(h, bh::coverage::all)) {
                seen += *bin;
                if (seen >= part * total) return static_cast<Micros>(std::min(bin.bin().upper(), 1e8));
            }
            return Micros{0};
        };
        auto& t = result.toAnswer[room];
        t.p50 = std::min(quantile(0.5), t.max);
        t.p99 = std::min(quantile(0.99), t.max);
    }
}

std::string summary(const DrillResult& r) {
    std::ostringstream out;
    out << "asked " << r.asked << ", played " << r.played << ", throttled " << r.throttled << ", terminated "
        << r.terminated << "\nanswered twice " << r.twice << ", never " << r.never << " (" << r.excused
        << " connections of asks broke or ran out, those of killed fronts among them)\npaid set-ups "
        << r.paidSetUps << " over paid subscriptions played " << r.paidSubs << "\nservice " << std::fixed;
    out.precision(3);
    out << r.service << ", quality " << r.quality << ", segments " << r.segments << ", lost " << r.lost
        << ", gaps " << r.gaps << ", CPU of all fronts " << r.frontCpu << " s\n";
    out << "worst 10 s " << r.worstTenSeconds << ", worst served room type " << r.worstRoom << " "
        << r.worstRoomService << ", stalls " << r.stalls << " (" << r.stallSeconds << " s), switches "
        << r.switches << ", given up " << r.abandoned << ", returns " << r.returns
        << ", throttled with a time " << r.throttledTold << ", without " << r.throttledUntold << "\n";
    for (const auto& [member, part] : r.byMember)
        out << "member " << member << ": service " << part.first << ", quality " << part.second << "\n";
    if (!r.calls.empty()) {
        out << "calls:";
        const char* part = " ";
        for (const auto& [status, many] : r.calls) {
            out << part << many << (status ? " answered " + std::to_string(status) : " not answered");
            part = ", ";
        }
        out << "\n";
    }
    for (const auto& [room, t] : r.toAnswer)
        out << "time to answer, " << room << ": p50 " << t.p50 / 1000 << " ms, p99 " << t.p99 / 1000
            << " ms, max " << t.max / 1000 << " ms (" << t.count << ")\n";
    if (r.joinsInLies > 0)
        out << "joins to boxes that lied: " << r.liedTo << " of " << r.joinsInLies << " while they did\n";
    out << "troubles at the same time, at most: " << r.troublesAtOnce << "\n";
    out << (r.breaches.empty() ? "rules: all six kept\n" : "RULES BROKEN:\n");
    std::size_t shown = 0;
    for (const audit::RuleViolation& b : r.breaches) {
        if (++shown > 20) {
            out << "  ... " << r.breaches.size() << " in all\n";
            break;
        }
        out << "  rule " << b.rule << ": " << b.what << "\n";
    }
    return out.str();
}

std::string asJson(const DrillResult& r) {
    nlohmann::ordered_json j{
        {"asked", r.asked},
        {"played", r.played},
        {"throttled", r.throttled},
        {"terminated", r.terminated},
        {"twice", r.twice},
        {"never", r.never},
        {"paid-set-ups", r.paidSetUps},
        {"paid-subscriptions", r.paidSubs},
        {"service", r.service},
        {"quality", r.quality},
        {"worst-10s", r.worstTenSeconds},
        {"worst-room", r.worstRoomService},
        {"segments", r.segments},
        {"lost", r.lost},
        {"stalls", r.stalls},
        {"stall-seconds", r.stallSeconds},
        {"switches", r.switches},
        {"given-up", r.abandoned},
        {"returns", r.returns},
        {"throttled-told", r.throttledTold},
        {"throttled-untold", r.throttledUntold},
        {"front-cpu", r.frontCpu},
        {"cpu-us-an-ask", r.asked ? r.frontCpu * 1e6 / static_cast<double>(r.asked) : 0},
        {"asks-a-viewer", r.firstAsks ? static_cast<double>(r.asked) / static_cast<double>(r.firstAsks) : 0},
        {"breaches", r.breaches.size()},
        {"real-seconds", r.secondsTaken}};
    for (const auto& [member, part] : r.byMember) {
        j["service." + member] = part.first;
        j["quality." + member] = part.second;
    }
    for (const auto& [room, t] : r.toAnswer) {
        j["p50-ms." + room] = static_cast<double>(t.p50) / 1000;
        j["p99-ms." + room] = static_cast<double>(t.p99) / 1000;
    }
    auto& course = j["course"] = nlohmann::ordered_json::array();
    for (const auto& s : r.course) course.push_back({s.asked, s.played, s.throttled});
    return j.dump();
}

}  // namespace valekeel::simulation
