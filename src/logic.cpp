// valekeel's decisions: all of them, with every table and tuned value. The interface is src/logic.hpp; the
// adapter (src/adapter) makes one Logic for each front and calls one method for each thing that happens, in
// order, with the time. The module answers by calling the Host that it was handed, at once or from onWake().
//
// The ordinary path is ES-HAS (docs/design.md): onSubscribe() gathers requests for a slot, place() gives each
// the holder and rung of least score, and sweep() steps playing subscriptions down and up. Each join passes
// mayJoin(), which holds every rule; each final answer passes giveUp().
#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <tuple>

#include "model/histogram.hpp"

namespace valekeel {
namespace {

// ---- the ordinary path ----
constexpr Micros kSlot = 20'000;    // theta; the paper finds under 52 ms harmless, and a join takes longer
constexpr Micros kRound = 250'000;  // between looks at what plays
constexpr double kAlphaTime = 0.1;  // a1 and a3: the design page's starting values
constexpr double kAlphaGap = 0.02;  // a2: the page's 0.1 holds dear ladders down twice, beside a1
constexpr double kAlphaRate = 0.8;
constexpr double kFill = 0.9;        // a pair that would fill more of the room than this is skipped
constexpr double kLeastFree = 0.02;  // part of a link that is never taken to be gone, to divide by
constexpr double kCrossing = 3;      // how the price of crossing zones weighs beside the rate
constexpr double kNearTie = 0.02;    // scores so near each other are settled by chance
constexpr double kLinkTie = 0.3;   // how the link weighs beside the narrower of link and uplink, if none fits
constexpr double kOverfull = 1.0;  // a lowest rung that fills a link beyond this is throttled
constexpr double kDropOver = 1.02;      // a link asked for more than this is relieved ...
constexpr double kDropTo = 0.95;        // ... down to this: true rates wander by some tens of percent
constexpr double kSpare = 0.8;          // a rise must leave 20% spare
constexpr double kLeastFreeable = 0.5;  // part of all rates that can be given up, taken at least
constexpr double kNewValue = 0.02;      // part that a look at what plays moves the typical value of a step
constexpr double kReliefTaken = 0.5;    // of what others can give up, so much is taken to be given at once
constexpr Micros kDropPause = 10 * kSecond;
constexpr Micros kQuiet = 6 * kSecond;
constexpr double kRiseMore = 1.5;  // times its part of the room: some of those that play there can't rise
constexpr double kEarnBack = 4;    // a rise must earn the switch this many times over

// ---- what is believed of links ----
constexpr double kUseHalfLife = 8;      // seconds after which a told figure counts half
constexpr double kUseUntold = 0.6;      // what a link of which nothing is known is taken to be asked
constexpr double kUntoldMost = 0.9;     // at most so: one join there tells, a guess of full never would
constexpr Micros kAnswerAge = 400'000;  // load figures in answers are about this old
constexpr double kLinkClear = 0.92;     // a link asked for under so much of a shortness is not its cause
constexpr double kNoisyShare = 0.4;     // part that a noisy figure in an answer moves the belief
constexpr double kUplinkBack = 0.05;  // an uplink found narrow widens by so much a second while used and well
constexpr double kLikelyLeft = 25;    // seconds that a subscription without a hint is taken to go on

// ---- where no figures of load come by themselves ----
constexpr double kUplinkUntold = 0.75;  // what an uplink is taken to be asked, ...
constexpr double kUplinkShort = 0.4;  // ... more by the part of own subscriptions that get short delivery ...
constexpr double kUplinkMost = 0.92;  // ... and at most
constexpr double kShortMoves = 0.15;  // part that a look moves that part
constexpr Micros kFullTold = 3 * kSecond;      // a short note says so long that an uplink is full
constexpr Micros kQuietUntold = 15 * kSecond;  // so long without a short note stands in for a figure
constexpr double kEmptier = 0.3;               // how a link counts among those that get the same rung

// ---- live streams that viewers share ----
constexpr double kGather = 0.15;  // part of a live title's holders that all fronts bring its viewers to ...
constexpr int kShareSteps = 2;    // gathered viewers are set up at every second rung, to meet at it
constexpr double kAlone = 0.2;    // how often one finds nobody at its rung where its title gathers
constexpr std::size_t kGatherLeast = 2;  // ... and so many at least

// ---- health: a sequential test, H1 "half of its joins fail" against H0 "two in a hundred do" ----
const double kFailStep = std::log(0.5 / 0.02);
const double kGoodStep = std::log(0.5 / 0.98);
constexpr double kVerdict = 4.0;  // evidence at which a media server is set aside
constexpr double kMostEvidence = 6.5;
constexpr double kDoubtWeight = 0.15;         // how a doubt short of a verdict weighs in the score
constexpr Micros kTitleKnown = 60 * kSecond;  // a title seen to play so lately is no asker's invention
constexpr Micros kFirstPause = 1 * kSecond, kLongestPause = 8 * kSecond;

// ---- time-outs ----
constexpr Micros kSetupEdges[] = {60'000,  100'000, 150'000, 200'000,   300'000,
                                  400'000, 600'000, 900'000, 1'500'000, 3'000'000};
constexpr double kEnoughSetups = 8;
constexpr Micros kLeastPatience = 250'000;
constexpr Micros kAskAgain = 500'000;
constexpr double kColdPart = 0.6;  // of the pace that the rules allow a cold media server
constexpr double kTurn =
    3;  // tipAfters that a turn lasts: any one tipAfter meets 1 + 1/3 times as many turns

}  // namespace

class Logic::Impl {
  public:
    Impl(Host& host, Micros now, std::uint64_t seed, int fronts, const Ladder& ladder,
         const std::vector<RoomType>& rooms, const Fleet& fleet, const ColdStartLimits& cold,
         const JoinBudget* budget, const ReportTiming& tidings, const SubscriptionLimits& allowed,
         const ServingCosts& prices)
        : host_(host),
          bornAt_(now),
          chance_(static_cast<std::knuth_b::result_type>(seed)),
          seed_(seed),
          fronts_(std::max(1, fronts)),
          ladder_(ladder),
          rooms_(rooms),
          fleet_(fleet),
          cold_(cold),
          tidings_(tidings),
          allowed_(allowed),
          prices_(prices),
          setups_(kSetupEdges) {
        if (budget) budget_ = *budget;
        for (const RoomType& r : rooms_) meanBenefit_ += r.benefit / static_cast<double>(rooms_.size());
        uplinks_.resize(static_cast<std::size_t>(fleet_.racks));
        host_.wakeAfter(kRound, "sweep");
        if (fleet_.listOnRequest) host_.followList();
    }

    // ================= what happens =================

    void onServerList(std::span<const SfuEntry> entries, bool stale) {
        for (auto& [id, s] : sfus_) s.state = ServerState::Off;
        listStale_ = stale;
        onServerListChange(entries);
    }

    void onServerListChange(std::span<const SfuEntry> entries) {
        for (const SfuEntry& e : entries) {
            Sfu& s = sfus_[e.id];
            if (e.launched > s.startedAt) {  // a new process: what was held against the old one is void
                s.startedAt = e.launched;
                s.evidence = 0;
                s.link = Pipe{};
            }
            s.state = e.state;
            s.cell = e.cell;
            s.kind = e.kind;
            s.size = e.size;
            s.zone = e.zone;
        }
        double places = 0;
        for (const auto& [id, s] : sfus_)
            if (s.state != ServerState::Off) places += placesOf(s);
        if (places > 0 && kbPerPlace_ == 0) {
            kbPerPlace_ = fleet_.linksKb / places;
            sizeUplinks();
        }
    }

    // Only the mean uplink is told. Uplinks are built for the links behind them, so each is taken to be that
    // part of the mean; else all fronts would take the rack of the smallest links for the emptiest.
    void sizeUplinks() {
        std::vector<double> links(uplinks_.size(), 0);
        double all = 0;
        for (const auto& [id, s] : sfus_) {
            links[rackOf(s)] += nominalKb(s);
            all += nominalKb(s);
        }
        for (std::size_t rack = 0; rack < links.size(); ++rack)
            uplinks_[rack].kb = uplinks_[rack].nominalKb =
                fleet_.uplinkKb * links[rack] * static_cast<double>(links.size()) / std::max(1.0, all);
    }

    // The list held still applies. All fronts may have failed together, so they ask again apart.
    void onServerListFailure() {
        if (fleet_.listOnRequest)
            host_.wakeAfter(std::uniform_int_distribution<Micros>(kAskAgain, 2 * kAskAgain)(chance_), "list");
    }

    void onSubscribe(Micros now, SubId id, const SubscriptionRequest& wish) {
        Sub& sub = subs_[id] = Sub{};
        sub.wish = wish;
        sub.takenAt = now;
        sub.rung = roomOf(sub).floor;
        if (budget_) taken_.push_back(now);
        waiting_.push_back(id);
        if (tooLateToWait(now, sub))
            placeAll(now);
        else
            openSlot();
    }

    void onAdopted(Micros now, SubId id, const SubscriptionRequest& wish, SfuId at) {
        Sub& sub = subs_[id] = Sub{};
        sub.wish = wish;
        sub.takenAt = sub.playsSince = now;
        sub.state = State::Playing;
        sub.joins = 1;
        sub.rung = roomOf(sub).floor;
        sub.at = at;
        handedOver_ = true;
        playedAt_[titleOf(sub)] = now;
        hold(now, sub, +1);
        forgetChanges(sfus_[at]);
    }

    void onPlaying(Micros now, SubId id, int, SfuId at, Micros took) {
        auto it = subs_.find(id);
        if (it == subs_.end()) return;
        Sub& sub = it->second;
        if (sub.state == State::Joining) --sfus_[at].joinsOut;
        sub.state = State::Playing;
        sub.playsSince = now;
        learnSetup(took);
        playedAt_[titleOf(sub)] = now;
        // It answers again after breaks or silence: it may have started just now, whatever the list says yet.
        // Guards against a rush onto a cold server; after a mere cut of the network it costs one warm-up.
        Sfu& s = sfus_[at];
        if (s.evidence >= kVerdict && s.mayHaveRestartedAt > s.startedAt) s.mayHaveRestartedAt = now;
        judge(now, sfus_[at], kGoodStep);
    }

    void onJoinEnded(Micros now, SubId id, SfuId at, JoinResult end, bool over, const LoadReport& load) {
        Sfu& s = sfus_[at];
        if (load.linkUse) hearLink(now, s, *load.linkUse, kAnswerAge, kNoisyShare);
        if (load.uplinkUse) hearUplink(now, rackOf(s), *load.uplinkUse, kAnswerAge, kNoisyShare);
        auto it = subs_.find(id);
        const bool played = it != subs_.end() && it->second.state == State::Playing;
        const bool suspected = it != subs_.end() && it->second.overdue;
        // An error over a title that was not seen to play may be the asker's own: guards against callers who
        // ask for what no media server has. It hides a sick one while nothing but unseen titles is asked for.
        const bool askers =
            end == JoinResult::Error && it != subs_.end() && !playedAt_.contains(titleOf(it->second));
        switch (end) {
            case JoinResult::Error:
            case JoinResult::Reset:
            case JoinResult::NoConnection:
            case JoinResult::TimedOut:
                if (!suspected && !askers) judge(now, s, kFailStep);
                // A break of what plays, or nobody there, says that the process is lost. An answer that did
                // not come may be no more than that: one alone must not make a whole fleet count as cold.
                if (played || end == JoinResult::NoConnection || s.evidence >= kVerdict)
                    s.mayHaveRestartedAt = now;
                break;
            case JoinResult::Full:
                s.fullUntil = now + kSecond;
                if (fleet_.fullThreshold > 0 && untold())
                    hearLink(now, s, std::max(fleet_.fullThreshold, linkAsked(now, s)), 0, 1);
                break;
            default:
                break;
        }
        if (it == subs_.end()) return;
        Sub& sub = it->second;
        hold(now, sub, -1);
        if (over || played || sub.gone) {
            subs_.erase(it);
            return;
        }
        if (end != JoinResult::Full && end != JoinResult::NoConnection && end != JoinResult::NeverSent)
            sub.mayHaveRun = true;
        sub.state = State::Waiting;
        sub.overdue = false;
        // A paid set-up that may have run can't be tried again, and no other try can still be in time.
        if ((roomOf(sub).paid && sub.mayHaveRun) || end == JoinResult::NeverSent ||
            (askers && sub.joins > 1) || now >= sub.takenAt + roomOf(sub).joinObjective) {
            giveUp(now, id);
            return;
        }
        waiting_.push_back(id);
        placeAll(now);
    }

    void onViewerLeft(Micros, SubId id) {
        auto it = subs_.find(id);
        if (it == subs_.end()) return;
        if (it->second.state == State::Joining)
            it->second.gone = true;  // its Result is still to come, and holds its seat until then
        else if (it->second.state == State::Waiting)
            subs_.erase(it);
    }

    void onShareDelivered(Micros now, SfuId at, double share) {
        Sfu& s = sfus_[at];
        if (share >= 0.98) {
            Uplink& up = uplinks_[rackOf(s)];
            s.shortBy = 0;
            if (s.link.told) s.link.use = std::min(s.link.use, 0.97);
            if (up.pipe.told) up.pipe.use = std::min(up.pipe.use, 0.97);
            return;
        }
        // A short note marks the link full. Whether it was the link or the uplink shows when the next figure
        // of the link comes, which is as old as the note.
        s.shortAt = now;
        s.shortBy = 1 / std::max(0.05, share);
        // Where no figure will come, the one believed stands in for it.
        if (untold() && linkAsked(now, s) < kLinkClear * s.shortBy && uplinkShort(now, s))
            hearUplink(now, rackOf(s), s.shortBy, tidings_.late, 1);
        else
            hearLink(now, s, std::max(s.shortBy, linkAsked(now, s)), tidings_.late, 1);
    }

    void onRungInForce(Micros now, SubId id, int rung) {
        auto it = subs_.find(id);
        if (it == subs_.end()) return;
        setRung(now, it->second, rung);
        forgetChanges(sfus_[it->second.at]);
    }

    void onLinkUse(Micros now, SubId id, SfuId at, double use) {
        Sfu& s = sfus_[at];
        const Micros age = noteAge(now, id);
        if (age > 0 && s.shortBy > 0 && now - s.shortAt < 2 * kSecond && use < kLinkClear * s.shortBy)
            uplinkShort(now, s);
        hearLink(now, s, use, age, 0.8);
    }
    void onUplinkUse(Micros now, SubId id, SfuId at, double use) {
        hearUplink(now, rackOf(sfus_[at]), use, noteAge(now, id), 0.8);
    }

    // What of this front's knowledge still means the same to its next life. Set-up times, shortness and
    // uplinks belong to routes and racks that may have changed.
    std::vector<ServerEvidence> serverEvidence(Micros now) const {
        std::vector<ServerEvidence> out;
        for (const auto& [id, s] : sfus_) {
            if (s.state == ServerState::Off || (!s.link.told && s.evidence == 0)) continue;
            const Pipe& link = s.link;
            out.push_back({id, s.evidence, link.told ? std::optional(link.use) : std::nullopt,
                           link.told ? now - link.at : 0});
        }
        return out;
    }
    // Guards against a next life that pays again for what is known; an id that is not listed tells nothing.
    void restoreServerEvidence(Micros now, std::span<const ServerEvidence> all) {
        for (const ServerEvidence& one : all) {
            const auto it = sfus_.find(one.id);
            if (it == sfus_.end() || it->second.state == ServerState::Off) continue;
            Sfu& s = it->second;
            if (s.evidence == 0) judge(now, s, one.evidence);
            if (one.linkUse && !s.link.told) hearLink(now, s, *one.linkUse, one.age, 1);
        }
    }

    void onWake(Micros now, const std::string& why) {
        if (why == "sweep") {
            sweep(now);
            host_.wakeAfter(kRound, "sweep");
        } else if (why == "slot") {
            slotOpen_ = false;
            placeAll(now);
        } else if (why == "list") {
            host_.followList();
        }
    }

  private:
    enum class State { Waiting, Joining, Playing };

    struct Sub {
        SubscriptionRequest wish;
        State state = State::Waiting;
        Micros takenAt = 0, joinedAt = 0, playsSince = 0, changedAt = 0;
        int joins = 0;
        int rung = 0;
        SfuId at;
        bool mayHaveRun = false;  // some earlier join is not proven never to have run
        bool overdue = false;     // its silence has been held against the media server
        bool gone = false;
        bool gathered = false;  // it plays where all fronts bring its title's viewers
        double bookedKb = 0;    // what it is taken to add to its link
    };

    struct Pipe {  // a link or an uplink, as told
        bool told = false;
        double use = 0;  // asked over given, at `at`
        Micros at = 0;
        struct Change {
            Micros at;
            double ownKb, othersKb;  // of this front's own rates, and what others are taken to have changed
        };
        std::deque<Change> changes;
    };

    struct Uplink {
        Pipe pipe;
        double kb = 0, nominalKb = 0;
        Micros shortAt = -1'000 * kSecond;
    };

    struct Sfu {
        ServerState state = ServerState::Off;
        Cell cell;
        MachineKindId kind;
        double size = 1;
        ZoneId zone;
        Micros startedAt = 0, mayHaveRestartedAt = 0;
        Pipe link;
        double ownKb = 0;
        double evidence = 0;  // of the sequential test
        Micros pause = 0, askAgainAt = 0;
        double shortBy = 0;  // asked over given, by the last short note
        Micros risenAt = 0, fullUntil = 0, shortAt = -1'000 * kSecond;
        Micros lastJoinAt = -1'000 * kSecond;
        int joinsOut = 0;
    };

    static std::pair<RoomTypeId, TitleId> titleOf(const Sub& sub) { return {sub.wish.room, sub.wish.title}; }
    const RoomType& roomOf(const Sub& sub) const { return rooms_[sub.wish.room.v]; }
    double kbOf(const Sub& sub, int rung) const {
        return ladder_.kb[static_cast<std::size_t>(rung)] * roomOf(sub).rateFactor;
    }
    double earns(const Sub& sub, int rung) const {
        return ladder_.worth[static_cast<std::size_t>(rung)] * roomOf(sub).benefit;
    }
    int topOf(const Sub& sub) const {
        return std::max(floorOf(sub), std::min(roomOf(sub).top, sub.wish.maxRung));
    }
    int floorOf(const Sub& sub) const { return roomOf(sub).floor; }
    double placesOf(const Sfu& s) const {
        return s.kind.v < fleet_.places.size() ? std::max(1, fleet_.places[s.kind.v]) : 1;
    }
    std::size_t rackOf(const Sfu& s) const { return s.cell.v % uplinks_.size(); }

    // ================= shared streams =================

    bool shares(const Sub& sub) const { return roomOf(sub).live && ladder_.sharedRateFraction < 1; }

    // What a subscription adds to a link: a further viewer of a shared live stream only a part of its rate.
    // Nothing is told of what plays there through others; where all gather, one mostly finds company.
    double addsKb(const Sub& sub, SfuId at, int rung, bool gathered) const {
        if (!shares(sub)) return kbOf(sub, rung);
        if (streams_.contains({at, sub.wish.room, sub.wish.title, rung}))
            return ladder_.sharedRateFraction * kbOf(sub, rung);
        return (gathered ? ladder_.sharedRateFraction + kAlone * (1 - ladder_.sharedRateFraction) : 1) *
               kbOf(sub, rung);
    }
    void count(const Sub& sub, int sign) {
        if (!shares(sub)) return;
        const auto it = streams_.try_emplace({sub.at, sub.wish.room, sub.wish.title, sub.rung}, 0).first;
        if ((it->second += sign) <= 0) streams_.erase(it);
    }

    static std::uint64_t mixed(std::uint64_t v) {
        v *= 0x9E3779B97F4A7C15u;
        v = (v ^ (v >> 29)) * 0xBF58476D1CE4E5B9u;
        return v ^ (v >> 32);
    }

    // Fronts share nothing, yet all rank the holders of a title alike, by a hash of title and id. Its viewers
    // gather at the first few that are on, warm and not set aside.
    std::vector<SfuId> gathering(Micros now, const Sub& sub) {
        std::vector<std::pair<std::uint64_t, SfuId>> order;
        if (!shares(sub)) return {};
        std::uint64_t title = 14695981039346656037u;
        for (const char c : sub.wish.title.v)
            title = (title ^ static_cast<unsigned char>(c)) * 1099511628211u;
        for (const auto& [id, s] : sfus_) {
            if (!holds(sub, s) || s.state != ServerState::On || warmShare(now, s) < 1 || setAside(now, s))
                continue;
            order.emplace_back(mixed(title ^ id.v), id);
        }
        const auto part = static_cast<std::size_t>(kGather * std::min(sub.wish.holders, fleet_.cells));
        const std::size_t few = std::min(order.size(), std::max(kGatherLeast, part));
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(few), order.end());
        std::vector<SfuId> out;
        for (std::size_t i = 0; i < few; ++i) out.push_back(order[i].second);
        return out;
    }

    // ================= room =================

    // What a media server's link gives, as told; less while it is young, as its link is cold too.
    double nominalKb(const Sfu& s) const {
        return fleet_.hasSizes ? fleet_.linkKbPerSize * s.size : kbPerPlace_ * placesOf(s);
    }
    double linkKb(Micros now, const Sfu& s) const { return std::max(1.0, nominalKb(s) * warmShare(now, s)); }

    double warmShare(Micros now, const Sfu& s) const {
        const Micros since = std::max(s.startedAt, s.mayHaveRestartedAt);
        if (since <= 0 || now - since >= cold_.warmUp) return 1;
        return cold_.firstShare + (1 - cold_.firstShare) * seconds(now - since) / seconds(cold_.warmUp);
    }

    // A told figure, carried forward by what this front has changed since, and by the relief that others are
    // taken to have given. Of what else they change nothing is known, and nothing is guessed.
    double carried(const Pipe& p, double kb, Micros until = std::numeric_limits<Micros>::max()) const {
        double moved = 0;
        for (const Pipe::Change& c : p.changes)
            if (c.at > p.at && c.at <= until) moved += c.ownKb + c.othersKb;
        return std::max(0.0, p.use + moved / kb);
    }

    // What is asked of a link over what it gives. A figure counts for less with its age; in its place comes
    // what is known of the fleet, and never less than this front's own rates.
    double linkAsked(Micros now, const Sfu& s) const {
        const double kb = linkKb(now, s);
        const double untold = s.ownKb / kb + (1 - 1.0 / fronts_) * std::min(fleetUse_, kUntoldMost);
        double asked = untold;
        if (s.link.told) {
            const double trust = std::exp2(-seconds(now - s.link.at) / kUseHalfLife);
            asked = trust * carried(s.link, kb) + (1 - trust) * untold;
        }
        return std::max(asked, s.ownKb / kb);
    }

    // Of all uplinks in one pass: with hundreds of servers a sum for each would cost more than all else.
    std::vector<double> uplinksAsked(Micros now) const {
        std::vector<double> use(uplinks_.size(), 0);
        for (const auto& [id, s] : sfus_)
            if (!untold() && s.state != ServerState::Off)
                use[rackOf(s)] += linkAsked(now, s) * linkKb(now, s);
        // Where no figure comes, what could be guessed of one uplink is no better than what is guessed of
        // all, and all fronts would guess alike: the rack that looked emptiest would get everyone's joins.
        const double guess = std::min(kUplinkMost, kUplinkUntold + kUplinkShort * shortPart_);
        for (std::size_t rack = 0; rack < use.size(); ++rack) {
            const Uplink& up = uplinks_[rack];
            use[rack] = up.kb <= 0 ? 0 : untold() ? guess : use[rack] / up.kb;
            if (up.kb <= 0 || !up.pipe.told) continue;
            const double trust = std::exp2(-seconds(now - up.pipe.at) / kUseHalfLife);
            use[rack] = trust * carried(up.pipe, up.kb) + (1 - trust) * use[rack];
        }
        return use;
    }

    // What is known to be asked, for drops: they are paid for, so no guess about others causes one.
    double knownAsked(Micros now, const Sfu& s) const {
        auto known = [&](const Sfu& one) {
            const double kb = linkKb(now, one);
            return std::max(one.link.told ? carried(one.link, kb) : 0, one.ownKb / kb);
        };
        const std::size_t rack = rackOf(s);
        const Uplink& up = uplinks_[rack];
        if (up.kb <= 0) return known(s);
        double rackKb = 0;
        for (const auto& [id, one] : sfus_)
            if (one.state != ServerState::Off && rackOf(one) == rack) rackKb += known(one) * linkKb(now, one);
        return std::max(known(s), up.pipe.told ? carried(up.pipe, up.kb) : rackKb / up.kb);
    }

    void hear(Micros now, Pipe& p, double kb, double use, Micros age, double part) {
        const Micros at = now - age;
        if (at < p.at) return;
        p.use = p.told ? part * use + (1 - part) * carried(p, kb) : use;
        p.told = true;
        p.at = at;
        while (!p.changes.empty() && p.changes.front().at <= at) p.changes.pop_front();
    }
    void hearLink(Micros now, Sfu& s, double use, Micros age, double part) {
        hear(now, s.link, linkKb(now, s), use, age, part);
    }
    void hearUplink(Micros now, std::size_t rack, double use, Micros age, double part) {
        if (uplinks_[rack].kb > 0) hear(now, uplinks_[rack].pipe, uplinks_[rack].kb, use, age, part);
    }

    // No figure of load comes by itself: short notes, "full" and quiet stand in for it.
    bool untold() const { return tidings_.every == 0; }

    // Its figures come by themselves; where none do, short notes alone mark it full.
    bool speaks(const Uplink& up) const { return up.pipe.told && !untold(); }

    // Delivery is short by more than the link explains: the uplink is the narrow one.
    bool uplinkShort(Micros now, const Sfu& s) {
        const std::size_t rack = rackOf(s);
        Uplink& up = uplinks_[rack];
        if (speaks(up) || up.kb <= 0) return false;  // one that is told speaks for itself
        // A narrow uplink makes every media server behind it short; one that is well clears it.
        int alsoShort = 0, well = 0;
        for (const auto& [id, one] : sfus_)
            if (one.state != ServerState::Off && rackOf(one) == rack && one.ownKb > 0)
                ++(now - one.shortAt < 2 * kSecond ? alsoShort : well);
        if (well > alsoShort || (untold() && well == alsoShort)) return false;
        up.shortAt = now;
        // The shortness is of a while ago, and so must be what was asked: drops since then have made room.
        double then = 0;
        for (const auto& [id, one] : sfus_) {
            if (one.state == ServerState::Off || rackOf(one) != rack) continue;
            const double kb = linkKb(now, one);
            then +=
                one.link.told ? kb * carried(one.link, kb, now - tidings_.late) : kb * linkAsked(now, one);
        }
        up.kb = std::clamp(then / s.shortBy, 0.1 * up.nominalKb, up.kb);
        return true;
    }

    // A note at set-up speaks of now, the others of a while ago.
    Micros noteAge(Micros now, SubId id) const {
        auto it = subs_.find(id);
        const bool fresh =
            it != subs_.end() && it->second.joinedAt > 0 && now - it->second.playsSince < tidings_.late / 2;
        return fresh ? 0 : tidings_.late;
    }

    // Books a subscription's rate and seat on its media server, or frees them.
    void hold(Micros now, Sub& sub, int sign) {
        Sfu& s = sfus_[sub.at];
        if (sign > 0) {
            if (untold() && s.ownKb <= 0) s.risenAt = now;  // quiet counts from when this front plays here
            sub.bookedKb = addsKb(sub, sub.at, sub.rung, sub.gathered);
            count(sub, +1);
        }
        shift(now, s, sign * sub.bookedKb);
        if (sign < 0) count(sub, -1);
        const auto seat = seats_.try_emplace(titleOf(sub), 0).first;
        if ((seat->second += sign) <= 0) seats_.erase(seat);
        if (sub.state == State::Joining || (sign > 0 && sub.state == State::Waiting)) s.joinsOut += sign;
    }

    void shift(Micros now, Sfu& s, double kb) {
        s.ownKb = std::max(0.0, s.ownKb + kb);
        s.link.changes.push_back({now, kb, 0});
        uplinks_[rackOf(s)].pipe.changes.push_back({now, kb, 0});
    }

    // What was handed over has long been part of what is told of a link: it is no change.
    void forgetChanges(Sfu& s) {
        s.link.changes.clear();
        uplinks_[rackOf(s)].pipe.changes.clear();
    }

    void setRung(Micros now, Sub& sub, int rung) {
        const int kept = std::clamp(rung, 0, static_cast<int>(ladder_.kb.size()) - 1);
        count(sub, -1);
        sub.rung = kept;
        const double kb = addsKb(sub, sub.at, kept, sub.gathered);
        count(sub, +1);
        shift(now, sfus_[sub.at], kb - sub.bookedKb);
        sub.bookedKb = kb;
    }

    // ================= the rules: the one place that every join passes =================

    bool mayJoin(Micros now, const Sub& sub, SfuId id, const Sfu& s, Micros turnBy) {
        const RoomType& room = roomOf(sub);
        if (sub.state != State::Waiting || sub.gone) return false;  // one join out, no answer given
        if (now >= sub.wish.deadline || sub.joins >= allowed_.maxJoins) return false;
        if (s.state != ServerState::On) return false;  // drains are kept
        if (!holds(sub, s)) return false;
        if (room.paid && sub.mayHaveRun) return false;  // no set-up twice
        if (room.keyed && sub.mayHaveRun &&
            ((!room.anyServer && id != sub.at) || now - sub.joinedAt >= room.repeatWithin))
            return false;
        if (seatsLeft(sub) <= 0) return false;
        if (sub.joins > 0 && !budgetLeft(now)) return false;
        return coldTurn(now, id, s) <= turnBy;
    }

    bool holds(const Sub& sub, const Sfu& s) const {
        const auto cells = static_cast<std::uint32_t>(fleet_.cells);
        return (s.cell.v + cells - sub.wish.firstCell.v % cells) % cells <
               static_cast<std::uint32_t>(std::max(0, sub.wish.holders));
    }

    int seatsLeft(const Sub& sub) const {
        const int seats = roomOf(sub).seats;
        if (seats <= 0) return 1;
        auto it = seats_.find(titleOf(sub));
        return seats - (it == seats_.end() ? 0 : it->second);
    }

    bool budgetLeft(Micros now) {
        if (!budget_) return true;
        while (!taken_.empty() && taken_.front() <= now - budget_->window) taken_.pop_front();
        while (!further_.empty() && further_.front() < now - budget_->window) further_.pop_front();
        return static_cast<double>(further_.size() + 1) <=
               budget_->free + budget_->share * static_cast<double>(taken_.size());
    }

    // When this front may next join a media server that may be cold. Whatever traffic each front has, all of
    // them together keep to a part of what the server bears in a tipAfter at its start: each has the same
    // share of that part as its own number of joins in such a time. A share is mostly a fraction: it is had
    // as a turn that lasts some tipAfters and comes back after that many divided by the fraction, at a phase
    // that a hash gives, as fronts can't agree on one. A turn that passes unused is gone.
    Micros coldTurn(Micros now, SfuId id, const Sfu& s) const {
        // A front that has just come up knows an old list: any media server may have restarted meanwhile.
        const bool blind = listStale_ && !handedOver_ && now - bornAt_ < cold_.warmUp;
        if (warmShare(now, s) >= 1 && !blind) return 0;
        const double span = static_cast<double>(cold_.tipAfter), lasts = kTurn * span;
        const double share = kColdPart * cold_.fallMultiple * cold_.firstShare * placesOf(s) * span /
                             static_cast<double>(cold_.warmUp) / fronts_;
        const double gap = lasts / std::max(1e-6, share - std::floor(share));
        const double phase = static_cast<double>(mixed(mixed(seed_) ^ id.v) >> 11) * 0x1p-53;
        const double since = std::fmod(static_cast<double>(now) + phase * gap, gap);
        const double joins = std::floor(share) + (since < lasts ? 1 : 0);
        if (joins > 0) return s.lastJoinAt + static_cast<Micros>(std::ceil(span / joins));
        return now + static_cast<Micros>(gap - since) + 1;
    }

    // ================= placing =================

    void openSlot() {
        if (slotOpen_) return;
        slotOpen_ = true;
        host_.wakeAfter(kSlot, "slot");
    }

    // What counts is the viewer's own time, not the room type's: it may end before the slot does, and the
    // wake that ends a slot may come late.
    static bool tooLateToWait(Micros now, const Sub& sub) { return sub.wish.deadline - now <= 2 * kSlot; }

    // Serving from another zone is paid for by the second, so a slot's score counts it beside the rate.
    double crossing(const Sfu& s) const {
        return s.zone == fleet_.zone ? 0 : kCrossing * kAlphaRate * prices_.crossZone;
    }

    bool setAside(Micros now, const Sfu& s) const {
        return s.evidence >= kVerdict && (now < s.askAgainAt || s.joinsOut > 0);
    }

    void placeAll(Micros now) {
        std::vector<SubId> queue;
        queue.swap(waiting_);
        std::stable_sort(queue.begin(), queue.end(), [&](SubId a, SubId b) {
            auto worth = [&](SubId id) {
                auto it = subs_.find(id);
                return it == subs_.end() ? 0.0 : roomOf(it->second).benefit;
            };
            return worth(a) > worth(b);
        });
        for (SubId id : queue) place(now, id);
        if (!waiting_.empty()) openSlot();
    }

    void place(Micros now, SubId id) {
        auto found = subs_.find(id);
        if (found == subs_.end() || found->second.state != State::Waiting) return;
        Sub& sub = found->second;
        double best = 1e18, roomiest = 1e18, askedThere = 0;
        const std::vector<double> uplinks = uplinksAsked(now);
        const std::vector<SfuId> gather = gathering(now, sub);
        const auto gathersAt = [&](SfuId at) {
            return std::find(gather.begin(), gather.end(), at) != gather.end();
        };
        std::optional<SfuId> chosen, fallback;
        int chosenRung = floorOf(sub), among = 0;
        const double middle = ladder_.kb[ladder_.kb.size() / 2];
        for (auto& [sfuId, s] : sfus_) {
            if (!mayJoin(now, sub, sfuId, s, now) || setAside(now, s) || now < s.fullUntil) continue;
            if (roomOf(sub).paid && s.evidence >= kVerdict) continue;  // no trial with what can't be repeated
            ++among;
            const bool here = gathersAt(sfuId);
            const double link = linkAsked(now, s), uplink = uplinks[rackOf(s)];
            // A front knows nothing of most media servers: all would take the first of those alike.
            const double doubt = kDoubtWeight * std::max(0.0, s.evidence) + crossing(s) +
                                 std::uniform_real_distribution<double>(0, kNearTie)(chance_);
            // Link and uplink lie one behind the other: their fetch times add up. The larger alone would
            // leave the media servers of a crowded rack alike, however empty some of their links are.
            const double planned = untold() ? std::max(link, fleetUse_) : link;
            const double slowness =
                (1 / std::max(kLeastFree, 1 - planned) + 1 / std::max(kLeastFree, 1 - uplink)) / 2 +
                (untold() ? kEmptier * link : 0);
            const double crowd = std::max(link, uplink) + kLinkTie * link + doubt;
            if (crowd < roomiest) {
                roomiest = crowd;
                // No guess about an uplink turns a viewer away: a refused one asks again and earns nothing.
                const bool told = !untold() || (uplinks_[rackOf(s)].pipe.told &&
                                                now - uplinks_[rackOf(s)].pipe.at < kFullTold);
                askedThere = std::max(link, told ? uplink : 0) +
                             addsKb(sub, sfuId, floorOf(sub), here) / linkKb(now, s);
                fallback = sfuId;
            }
            const double room = (1 - link) * linkKb(now, s);
            const double rackRoom = (1 - uplink) * uplinks_[rackOf(s)].kb;
            for (int rung = floorOf(sub); rung <= topOf(sub); ++rung) {
                if (here && (rung - floorOf(sub)) % kShareSteps != 0) continue;
                const double kb = addsKb(sub, sfuId, rung, here);
                if (kb > kFill * room || (uplinks_[rackOf(s)].kb > 0 && kb > kFill * rackRoom)) continue;
                const double fetch = kb / middle * slowness;
                const double gap = (rung - floorOf(sub)) / static_cast<double>(ladder_.kb.size());
                const double score = kAlphaTime * fetch + kAlphaGap * gap -
                                     kAlphaRate * earns(sub, rung) / meanBenefit_ + doubt;
                if (score < best) {
                    best = score;
                    chosen = sfuId;
                    chosenRung = rung;
                }
            }
        }
        // None fits: the lowest rung on the roomiest, unless even that would overfill.
        const bool fits = chosen.has_value();
        if (!chosen && fallback && askedThere <= kOverfull) chosen = fallback;
        if (chosen) {
            host_.recordPlacement(id, *chosen, fits ? &best : nullptr, among);
            sub.gathered = gathersAt(*chosen);
            sendJoin(now, id, sub, *chosen, chosenRung);
            return;
        }
        const Micros waitUntil = sub.takenAt + roomOf(sub).joinObjective / 2;
        if (now < waitUntil && !tooLateToWait(now, sub) && holderMayComeFree(now, sub, waitUntil))
            waiting_.push_back(id);
        else
            giveUp(now, id);
    }

    bool holderMayComeFree(Micros now, const Sub& sub, Micros by) {
        return std::any_of(sfus_.begin(), sfus_.end(), [&](const auto& entry) {
            const Sfu& s = entry.second;
            const Micros free = std::max(s.evidence >= kVerdict ? s.askAgainAt : 0, s.fullUntil);
            return free <= by && mayJoin(now, sub, entry.first, s, by);
        });
    }

    void sendJoin(Micros now, SubId id, Sub& sub, SfuId at, int rung) {
        Sfu& s = sfus_[at];
        if (!mayJoin(now, sub, at, s, now)) return;
        if (budget_ && sub.joins > 0) further_.push_back(now);
        sub.at = at;
        sub.rung = rung;
        sub.joinedAt = now;
        hold(now, sub, +1);
        ++sub.joins;
        sub.state = State::Joining;
        s.lastJoinAt = now;
        host_.setRung(id, rung);
        host_.join(id, at, timeOut(now, sub));
    }

    // A paid set-up is waited for to the end, as it can't be repeated; a free one while another is in time.
    Micros timeOut(Micros now, const Sub& sub) {
        const Micros left = sub.wish.deadline - now;
        const Micros objective = sub.takenAt + roomOf(sub).joinObjective;
        if (roomOf(sub).paid || sub.joins >= allowed_.maxJoins || now + 2 * patience() > objective ||
            !budgetLeft(now))
            return left;
        return std::min(left, patience());
    }

    Micros patience() const {
        if (setups_.total() < kEnoughSetups) return 2 * kLeastPatience;
        return std::max(kLeastPatience, 2 * setups_.quantile(0.95));
    }

    void learnSetup(Micros took) {
        setups_.add(took);
        if (setups_.total() > 64) setups_.halve();
    }

    // The one place that ends a request without its playing. It is answered at once.
    void giveUp(Micros now, SubId id) {
        auto it = subs_.find(id);
        if (it == subs_.end() || it->second.state != State::Waiting) return;
        const Sub& sub = it->second;
        const RoomType& room = roomOf(sub);
        const bool mayThrottle =
            now < sub.wish.deadline && (!sub.mayHaveRun || !(room.paid || (room.keyed && !room.anyServer)));
        if (mayThrottle)
            host_.throttle(id, retryAfter());
        else
            host_.terminate(id);
        subs_.erase(it);
    }

    Micros retryAfter() {  // spread, so that those sent away together don't return together
        if (!allowed_.retryAfter) return 0;
        return std::uniform_int_distribution<Micros>(allowed_.maxRetryAfter / 2,
                                                     allowed_.maxRetryAfter)(chance_);
    }

    // ================= health =================

    void judge(Micros now, Sfu& s, double step) {
        s.evidence = std::clamp(s.evidence + step, -2.0, kMostEvidence);
        if (s.evidence < kVerdict) {
            s.pause = 0;
            return;
        }
        if (step > 0 && now >= s.askAgainAt) {  // the breaks of one loss come together and count once
            s.pause = std::clamp(2 * s.pause, kFirstPause, kLongestPause);
            s.askAgainAt = now + s.pause;
        }
    }

    // ================= what plays =================

    void sweep(Micros now) {
        std::erase_if(sfus_, [](const auto& entry) {  // gone, and nothing of this front left there
            return entry.second.state == ServerState::Off && entry.second.ownKb <= 0 &&
                   entry.second.joinsOut <= 0;
        });
        std::erase_if(playedAt_, [&](const auto& entry) { return entry.second < now - kTitleKnown; });
        double sum = 0, count = 0;
        for (auto& [id, s] : sfus_) {
            while (!s.link.changes.empty() && s.link.changes.front().at < now - 20 * kSecond)
                s.link.changes.pop_front();
            if (s.state != ServerState::On || !s.link.told || now - s.link.at > 6 * kSecond) continue;
            sum += carried(s.link, linkKb(now, s));
            ++count;
        }
        if (!untold()) fleetUse_ = count > 0 ? sum / count : kUseUntold;
        const std::vector<double> uplinks = uplinksAsked(now);
        for (std::size_t rack = 0; rack < uplinks_.size(); ++rack) {
            Uplink& up = uplinks_[rack];
            while (!up.pipe.changes.empty() && up.pipe.changes.front().at < now - 20 * kSecond)
                up.pipe.changes.pop_front();
            // A width learnt from a shortness fades while the uplink is used and nothing is short: quickly to
            // what was told, beyond it only if the uplink is nearly full by that.
            const double used = speaks(up) ? 0 : uplinks[rack];
            if (now - up.shortAt > 3 * kSecond && used > (up.kb < up.nominalKb ? 0.5 : 0.9))
                up.kb *= 1 + kUplinkBack * seconds(kRound);
        }
        std::map<SfuId, std::vector<SubId>> mine;
        double kbAll = 0, kbFree = 0, value = 0, steps = 0, inAll = 1, inShort = 0;
        for (auto& [id, sub] : subs_) {
            if (sub.state == State::Playing) {
                mine[sub.at].push_back(id);
                kbAll += kbOf(sub, sub.rung);
                ++inAll;
                if (now - sfus_[sub.at].shortAt < 2 * kSecond) ++inShort;
                for (int rung = std::max(1, sub.rung); rung <= std::min(sub.rung + 1, topOf(sub)); ++rung) {
                    value += stepValue(sub, rung);
                    ++steps;
                }
                if (now - sub.changedAt >= kDropPause)
                    kbFree += kbOf(sub, sub.rung) - kbOf(sub, floorOf(sub));
            }
            if (sub.state == State::Joining && !sub.overdue && now - sub.joinedAt > patience()) {
                sub.overdue = true;  // silence counts like a failure, long before a time-out says so
                judge(now, sfus_[sub.at], kFailStep);
            }
        }
        if (steps > 0) typicalValue_ += (value / steps - typicalValue_) * (typicalValue_ > 0 ? kNewValue : 1);
        shortPart_ += kShortMoves * (inShort / inAll - shortPart_);
        freeable_ = kbAll > 0 ? kbFree / kbAll : 1;
        for (auto& [at, ids] : mine) {
            const double use = knownAsked(now, sfus_[at]);
            if (use > kDropOver)
                stepDown(now, sfus_[at], ids, use);
            else
                stepUp(now, sfus_[at], ids, uplinks[rackOf(sfus_[at])]);
        }
    }

    // Own subscriptions give up this front's part of what is too much, the cheapest benefit per kB first. The
    // last step, which that part does not fill, is taken by chance, as are those of the others who hear the
    // same: together they give up what is too much, and this front takes them to have done so.
    void stepDown(Micros now, Sfu& s, const std::vector<SubId>& ids, double use) {
        const double excess = 1 - kDropTo / use;
        double toFree = s.ownKb * excess / std::max(kLeastFreeable, freeable_);
        const double others =
            std::max(0.0, use * linkKb(now, s) - s.ownKb) * std::min(excess, kReliefTaken * freeable_);
        s.link.changes.push_back({now, 0, -others});
        uplinks_[rackOf(s)].pipe.changes.push_back({now, 0, -others});
        while (toFree > 0) {
            std::optional<SubId> pick;
            double least = 1e18;
            for (SubId id : ids) {
                const Sub& sub = subs_.at(id);
                if (sub.rung <= floorOf(sub) || now - sub.changedAt < kDropPause) continue;
                if (lessBy(sub) <= 0) continue;  // it leaves a shared stream for one of its own
                const double cost = (earns(sub, sub.rung) - earns(sub, sub.rung - 1)) / lessBy(sub);
                if (cost < least) {
                    least = cost;
                    pick = id;
                }
            }
            if (!pick) return;
            Sub& sub = subs_.at(*pick);
            const double less = lessBy(sub);
            if (!byLot(toFree, less, typicalValue_ / least)) return;
            toFree -= less;
            retune(now, *pick, sub, sub.rung - 1);
        }
    }

    // Room that a told figure leaves is taken up in steps, the most benefit per kB first. All fronts that
    // play there hear the same figure: each takes the part of the room that its own rates are of what is
    // asked, and the last step, which that part does not hold, by chance. Then it waits for the next figure.
    void stepUp(Micros now, Sfu& s, const std::vector<SubId>& ids, double rackUse) {
        if (now - s.shortAt < (untold() ? kQuietUntold : kQuiet) || s.evidence >= kVerdict ||
            s.state == ServerState::Off)
            return;
        // Where no figures come, every quiet time without a short note stands in for one.
        const Micros news = untold() ? now - kQuietUntold : s.link.told ? s.link.at : s.risenAt;
        if (news <= s.risenAt) return;
        s.risenAt = untold() ? now : news;
        const Uplink& up = uplinks_[rackOf(s)];
        // The room of the uplink is for all behind it: own rates count against what is asked of the whole.
        const auto partOf = [&](double room, double askedKb) {
            return room * std::min(1.0, kRiseMore * s.ownKb / std::max(1.0, askedKb));
        };
        const double use = linkAsked(now, s), kb = linkKb(now, s);
        double room = (kSpare - use) * kb, part = partOf(room, use * kb);
        if (up.kb > 0) {
            room = std::min(room, (kSpare - rackUse) * up.kb);
            part = std::min(part, partOf((kSpare - rackUse) * up.kb, rackUse * up.kb));
        }
        for (;;) {
            std::optional<SubId> pick;
            double most = 0;
            for (SubId id : ids) {
                const Sub& sub = subs_.at(id);
                if (sub.rung >= topOf(sub) || (sub.changedAt > 0 && now - sub.changedAt < kQuiet)) continue;
                const double more = moreBy(sub);
                if (more > room) continue;
                const double gain = earns(sub, sub.rung + 1) - earns(sub, sub.rung);
                if (gain * secondsLeft(now, sub) < kEarnBack * ladder_.switchSeconds * roomOf(sub).benefit)
                    continue;
                if (gain / more > most) {
                    most = gain / more;
                    pick = id;
                }
            }
            if (!pick) return;
            Sub& sub = subs_.at(*pick);
            const double more = moreBy(sub);
            if (!byLot(part, more, most / typicalValue_)) return;
            part -= more;
            retune(now, *pick, sub, sub.rung + 1);
        }
    }

    // What a step down frees, and what one up adds.
    double lessBy(const Sub& sub) const {
        const double frees = sub.gathered ? ladder_.sharedRateFraction * kbOf(sub, sub.rung) : sub.bookedKb;
        return frees - addsKb(sub, sub.at, sub.rung - 1, false);
    }
    double moreBy(const Sub& sub) const {
        return std::max(1.0, addsKb(sub, sub.at, sub.rung + 1, false) - sub.bookedKb);
    }
    // Benefit per kB of the step up to this rung.
    double stepValue(const Sub& sub, int rung) const {
        return (earns(sub, rung) - earns(sub, rung - 1)) / (kbOf(sub, rung) - kbOf(sub, rung - 1));
    }
    // A step that its part holds is taken; one that it doesn't at that chance, weighed by its worth beside
    // the usual one: with one subscription at a server there is no order to keep.
    bool byLot(double part, double step, double weight) {
        const double lot = std::uniform_real_distribution<double>(0, 1)(chance_);
        return part >= step || part * weight * weight >= lot * step;
    }

    double secondsLeft(Micros now, const Sub& sub) const {
        if (!sub.wish.watchSeconds) return kLikelyLeft;
        return std::max(0.0, *sub.wish.watchSeconds - seconds(now - sub.takenAt));
    }

    void retune(Micros now, SubId id, Sub& sub, int rung) {
        setRung(now, sub, rung);
        sub.changedAt = now;
        sub.gathered = false;
        host_.setRung(id, rung);
    }

    Host& host_;
    Micros bornAt_;
    std::knuth_b chance_;
    std::uint64_t seed_;
    int fronts_;
    Ladder ladder_;
    std::vector<RoomType> rooms_;
    Fleet fleet_;
    ColdStartLimits cold_;
    std::optional<JoinBudget> budget_;
    ReportTiming tidings_;
    SubscriptionLimits allowed_;
    ServingCosts prices_;

    std::map<SfuId, Sfu> sfus_;
    std::map<SubId, Sub> subs_;
    std::vector<Uplink> uplinks_;
    std::vector<SubId> waiting_;
    std::map<std::pair<RoomTypeId, TitleId>, int> seats_;
    std::map<std::pair<RoomTypeId, TitleId>, Micros> playedAt_;
    std::map<std::tuple<SfuId, RoomTypeId, TitleId, int>, int> streams_;  // own viewers of a shared stream
    std::deque<Micros> taken_, further_;
    Histogram setups_;
    double meanBenefit_ = 0, kbPerPlace_ = 0, fleetUse_ = kUseUntold;
    double typicalValue_ = 0;  // benefit per kB of a step of own subscriptions; others are taken to be alike
    double freeable_ = 1;   // part of own rates above the floor that may be given up now; others fare alike
    double shortPart_ = 0;  // of own subscriptions that get short delivery
    bool slotOpen_ = false, listStale_ = false, handedOver_ = false;
};

Logic::Logic(Host& host, Micros now, std::uint64_t seed, int fronts, const Ladder& ladder,
             const std::vector<RoomType>& rooms, const Fleet& fleet, const ColdStartLimits& cold,
             const JoinBudget* budget, const ReportTiming& tidings, const SubscriptionLimits& allowed,
             const ServingCosts& prices)
    : impl_(std::make_unique<Impl>(host, now, seed, fronts, ladder, rooms, fleet, cold, budget, tidings,
                                   allowed, prices)) {}
Logic::~Logic() = default;

void Logic::onServerList(Micros, std::span<const SfuEntry> entries, bool stale) {
    impl_->onServerList(entries, stale);
}
void Logic::onServerListChange(Micros, std::span<const SfuEntry> entries) {
    impl_->onServerListChange(entries);
}
void Logic::onServerListFailure(Micros) {
    impl_->onServerListFailure();
}
void Logic::onSubscribe(Micros now, SubId id, const SubscriptionRequest& wish) {
    impl_->onSubscribe(now, id, wish);
}
void Logic::onAdopted(Micros now, SubId id, const SubscriptionRequest& wish, SfuId at) {
    impl_->onAdopted(now, id, wish, at);
}
void Logic::onPlaying(Micros now, SubId id, int joinNo, SfuId at, Micros took) {
    impl_->onPlaying(now, id, joinNo, at, took);
}
void Logic::onJoinEnded(Micros now, SubId id, int, SfuId at, JoinResult end, bool over, Micros,
                        const LoadReport& load) {
    impl_->onJoinEnded(now, id, at, end, over, load);
}
void Logic::onViewerLeft(Micros now, SubId id) {
    impl_->onViewerLeft(now, id);
}
void Logic::onShareDelivered(Micros now, SubId, SfuId at, double share) {
    impl_->onShareDelivered(now, at, share);
}
void Logic::onRungInForce(Micros now, SubId id, int rung) {
    impl_->onRungInForce(now, id, rung);
}
void Logic::onLinkUse(Micros now, SubId id, SfuId at, double use) {
    impl_->onLinkUse(now, id, at, use);
}
void Logic::onUplinkUse(Micros now, SubId id, SfuId at, double use) {
    impl_->onUplinkUse(now, id, at, use);
}
std::vector<ServerEvidence> Logic::serverEvidence(Micros now) const {
    return impl_->serverEvidence(now);
}
void Logic::restoreServerEvidence(Micros now, std::span<const ServerEvidence> all) {
    impl_->restoreServerEvidence(now, all);
}
void Logic::onWake(Micros now, const std::string& why) {
    impl_->onWake(now, why);
}

}  // namespace valekeel
