// The decision module of one front: placement, rung selection, rules on joins and health of media servers.
// The interface is src/logic.hpp: the owner (src/adapter, or a front) makes one Logic for each front and
// calls one method for each event, in order, with the time. The module acts through the Host that it was
// given, at once or from onWake().
//
// Normal operation is ES-HAS (docs/design.md): onSubscribe() collects requests for a time slot, place() gives
// each the media server and rung of lowest score, and sweep() steps playing subscriptions down and up. Each
// join passes mayJoin(), which holds every rule; each final answer passes reject().
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

// Utilization ("use") is the demand on a link or uplink over its capacity: 1 is full. A link belongs to one
// media server, an uplink to the rack in front of several.

// ---- placement and rung selection ----
constexpr Micros kSlotLength = 20'000;      // theta; harmless under 52 ms (paper), and a join takes longer
constexpr Micros kSweepInterval = 250'000;  // between adjustments of playing subscriptions
// Weights of the score, the paper's a1 to a3. a1 and a3 are the initial values of docs/design.md. Its 0.1 for
// a2 would penalize the upper rungs of expensive ladders twice, as a1 does so already.
constexpr double kAlphaTime = 0.1;             // a1: fetch time
constexpr double kAlphaGap = 0.02;             // a2: distance from the lowest rung
constexpr double kAlphaRate = 0.8;             // a3: benefit of the rung
constexpr double kMaxHeadroomFill = 0.9;       // part of the free capacity that one placement may take
constexpr double kMinFreeFraction = 0.02;      // lower bound of a link's free part where it is a divisor
constexpr double kCrossZoneWeight = 3;         // weight of the cross-zone cost relative to kAlphaRate
constexpr double kScoreJitter = 0.02;          // largest random term of a score: breaks near ties
constexpr double kFallbackLinkWeight = 0.3;    // if no rung fits: weight of the link beside max(link, uplink)
constexpr double kMaxFallbackUse = 1.0;        // a request whose lowest rung exceeds this is throttled
constexpr double kStepDownAboveUse = 1.02;     // utilization above which rungs are stepped down ...
constexpr double kStepDownTargetUse = 0.95;    // ... to this one: true rates vary by some tens of percent
constexpr double kStepUpMaxUse = 0.8;          // a step up must leave 20% spare
constexpr double kMinFreeableFraction = 0.5;   // lower bound of freeableFraction_ where it is a divisor
constexpr double kStepValueSmoothing = 0.02;   // smoothing factor of typicalStepValue_, for each sweep
constexpr double kOthersReliefFraction = 0.5;  // assumed part that other fronts free at once
constexpr Micros kStepDownInterval = 10 * kSecond;  // from a rung change of a subscription to its step down
constexpr Micros kStepUpInterval = 6 * kSecond;     // from a rung change or a short delivery to a step up
// Times this front's proportional part of the free capacity: some of the subscriptions there can't step up.
constexpr double kStepUpShareFactor = 1.5;
constexpr double kMinSwitchReturn = 4;  // a step up must earn the cost of the switch this many times over

// ---- estimates of link use ----
constexpr double kUseHalfLifeSeconds = 8;   // half-life of the weight of a reported utilization
constexpr double kDefaultLinkUse = 0.6;     // assumed of a link while nothing is known
constexpr double kMaxAssumedLinkUse = 0.9;  // a link assumed to be full would get no join to disprove it
constexpr Micros kAnswerLoadAge = 400'000;  // load values in answers are about this old
// A link that is used less than this part of the demand behind a short delivery is not its cause.
constexpr double kLinkClearFraction = 0.92;
constexpr double kAnswerLoadSmoothing = 0.4;  // smoothing factor of the noisy load values in answers
constexpr double kReportSmoothing = 0.8;      // smoothing factor of load reports on playing subscriptions
constexpr double kUplinkRecoveryPerSecond = 0.05;  // growth of an uplink estimate while used and not short
constexpr double kDefaultRemainingSeconds = 25;    // assumed of a subscription without a watch time hint
constexpr double kFullShare = 0.98;                // delivered share from which delivery is not short
constexpr Micros kMaxReportAge = 6 * kSecond;      // older reports do not count for the mean of the fleet
constexpr double kUplinkRecoveryMinUse = 0.5;      // for growth of an estimate up to the configured capacity
constexpr double kUplinkGrowthMinUse = 0.9;        // for growth of an estimate beyond it
constexpr Micros kUplinkRecoveryDelay = 3 * kSecond;  // from a short delivery to the recovery of an estimate
constexpr Micros kShortageFresh = 2 * kSecond;   // a media server counts as short this long after a report
constexpr Micros kChangeHistory = 20 * kSecond;  // how long own rate changes are kept
constexpr Micros kFullHoldoff = kSecond;         // no join this long after a media server answered "full"
constexpr Micros kLongAgo = -1'000 * kSecond;    // "never" of time stamps

// ---- deployments without periodic load reports ----
constexpr double kDefaultUplinkUse = 0.75;          // assumed of an uplink, ...
constexpr double kUplinkUsePerShortFraction = 0.4;  // ... plus this times shortFraction_, ...
constexpr double kMaxAssumedUplinkUse = 0.92;       // ... but no more than this
constexpr double kShortFractionSmoothing = 0.15;    // smoothing factor of shortFraction_, for each sweep
constexpr Micros kUplinkFullMemory = 3 * kSecond;   // a short delivery marks an uplink as full this long
constexpr Micros kStepUpIntervalUnreported = 15 * kSecond;  // this long without a short delivery is a report
constexpr double kLinkUseTieWeight = 0.3;  // weight of the link's use among servers that get the same rung

// ---- live streams that viewers share ----
constexpr double kGatherFraction = 0.15;      // part of a live title's holders that get all its viewers ...
constexpr std::size_t kMinGatherServers = 2;  // ... and the least number of them
constexpr int kGatherRungStep = 2;            // gathered viewers use every second rung, to share streams
constexpr double kAloneProbability = 0.2;     // of finding no other viewer at the rung where a title gathers

// ---- health: a sequential test, H1 "half of its joins fail" against H0 "two in a hundred do" ----
const double kFailureEvidence = std::log(0.5 / 0.02);
const double kSuccessEvidence = std::log(0.5 / 0.98);
constexpr double kUnhealthyEvidence = 4.0;  // evidence at which the circuit breaker of a media server opens
constexpr double kMaxEvidence = 6.5;
constexpr double kEvidencePenalty = 0.15;        // weight of evidence below that threshold in the score
constexpr Micros kTitleKnownFor = 60 * kSecond;  // a title that played this recently does exist
constexpr Micros kMinProbeBackoff = 1 * kSecond, kMaxProbeBackoff = 8 * kSecond;

// ---- timeouts, retries and cold start ----
constexpr Micros kSetupTimeEdges[] = {60'000,  100'000, 150'000, 200'000,   300'000,
                                      400'000, 600'000, 900'000, 1'500'000, 3'000'000};
constexpr double kMinSetupSamples = 8;
constexpr int kMaxSetupSamples = 64;  // above this all samples lose half of their weight
constexpr Micros kMinJoinTimeout = 250'000;
constexpr Micros kMinListRetryDelay = 500'000;  // the longest is twice this
constexpr double kColdPaceFraction = 0.6;       // of the pace that the rules allow a cold media server
// Length of a turn in tipAfters: any one tipAfter overlaps 1 + 1/3 times as many turns.
constexpr double kColdTurnTipAfters = 3;

}  // namespace

class Logic::Impl {
  public:
    Impl(Host& host, Micros now, std::uint64_t seed, int fronts, const Ladder& ladder,
         const std::vector<RoomType>& rooms, const Fleet& fleet, const ColdStartLimits& cold,
         const JoinBudget* budget, const ReportTiming& reportTiming, const SubscriptionLimits& limits,
         const ServingCosts& costs)
        : host_(host),
          startedAt_(now),
          random_(static_cast<std::knuth_b::result_type>(seed)),
          seed_(seed),
          frontCount_(std::max(1, fronts)),
          ladder_(ladder),
          rooms_(rooms),
          fleet_(fleet),
          cold_(cold),
          reportTiming_(reportTiming),
          limits_(limits),
          costs_(costs),
          setupTimes_(kSetupTimeEdges) {
        if (budget) budget_ = *budget;
        for (const RoomType& room : rooms_) meanBenefit_ += room.benefit / static_cast<double>(rooms_.size());
        uplinks_.resize(static_cast<std::size_t>(fleet_.racks));
        host_.wakeAfter(kSweepInterval, "sweep");
        if (fleet_.listOnRequest) host_.followList();
    }

    // ================= events =================

    void onServerList(std::span<const SfuEntry> entries, bool stale) {
        for (auto& [id, sfu] : sfus_) sfu.state = ServerState::Off;
        isListStale_ = stale;
        onServerListChange(entries);
    }

    void onServerListChange(std::span<const SfuEntry> entries) {
        for (const SfuEntry& entry : entries) {
            Sfu& sfu = sfus_[entry.id];
            if (entry.launched > sfu.startedAt) {  // a new process: what was known of the old one is void
                sfu.startedAt = entry.launched;
                sfu.evidence = 0;
                sfu.link = UseEstimate{};
            }
            sfu.state = entry.state;
            sfu.cell = entry.cell;
            sfu.kind = entry.kind;
            sfu.size = entry.size;
            sfu.zone = entry.zone;
        }
        double places = 0;
        for (const auto& [id, sfu] : sfus_)
            if (sfu.state != ServerState::Off) places += placesOf(sfu);
        if (places > 0 && kbPerPlace_ == 0) {
            kbPerPlace_ = fleet_.linksKb / places;
            estimateUplinkCapacities();
        }
    }

    // Estimates the capacity of each uplink. Only the mean is configured. Uplinks are built for the links
    // behind them, so capacities are in proportion to those links; equal ones would make all fronts take the
    // rack of the smallest links for the emptiest.
    void estimateUplinkCapacities() {
        std::vector<double> rackLinksKb(uplinks_.size(), 0);
        double totalKb = 0;
        for (const auto& [id, sfu] : sfus_) {
            rackLinksKb[rackOf(sfu)] += nominalKb(sfu);
            totalKb += nominalKb(sfu);
        }
        for (std::size_t rack = 0; rack < rackLinksKb.size(); ++rack)
            uplinks_[rack].capacityKb = uplinks_[rack].nominalKb = fleet_.uplinkKb * rackLinksKb[rack] *
                                                                   static_cast<double>(rackLinksKb.size()) /
                                                                   std::max(1.0, totalKb);
    }

    // The list held so far still applies. All fronts may have failed at once, so retries are spread out.
    void onServerListFailure() {
        if (fleet_.listOnRequest)
            host_.wakeAfter(
                std::uniform_int_distribution<Micros>(kMinListRetryDelay, 2 * kMinListRetryDelay)(random_),
                "list");
    }

    void onSubscribe(Micros now, SubId id, const SubscriptionRequest& request) {
        Subscription& sub = subs_[id] = Subscription{};
        sub.request = request;
        sub.requestedAt = now;
        sub.rung = roomOf(sub).floor;
        if (budget_) requestTimes_.push_back(now);
        waiting_.push_back(id);
        if (cannotWaitForSlot(now, sub))
            placeWaiting(now);
        else
            openSlot();
    }

    void onAdopted(Micros now, SubId id, const SubscriptionRequest& request, SfuId server) {
        Subscription& sub = subs_[id] = Subscription{};
        sub.request = request;
        sub.requestedAt = sub.playingSince = now;
        sub.state = State::Playing;
        sub.joinCount = 1;
        sub.rung = roomOf(sub).floor;
        sub.server = server;
        hasAdopted_ = true;
        lastPlayedAt_[titleOf(sub)] = now;
        book(now, sub, +1);
        discardRateChanges(sfus_[server]);
    }

    void onPlaying(Micros now, SubId id, int, SfuId server, Micros setupTime) {
        auto it = subs_.find(id);
        if (it == subs_.end()) return;
        Subscription& sub = it->second;
        if (sub.state == State::Joining) --sfus_[server].joinsInFlight;
        sub.state = State::Playing;
        sub.playingSince = now;
        recordSetupTime(setupTime);
        lastPlayedAt_[titleOf(sub)] = now;
        // A server that answers again after failures or silence may have just restarted, even if the list
        // does not say so yet. Guards against a rush onto a cold server; after a mere network outage it costs
        // one warm-up.
        Sfu& sfu = sfus_[server];
        if (sfu.evidence >= kUnhealthyEvidence && sfu.mayHaveRestartedAt > sfu.startedAt)
            sfu.mayHaveRestartedAt = now;
        addEvidence(now, sfus_[server], kSuccessEvidence);
    }

    void onJoinEnded(Micros now, SubId id, SfuId server, JoinResult result, bool isOver,
                     const LoadReport& load) {
        Sfu& sfu = sfus_[server];
        if (load.linkUse) updateLinkUse(now, sfu, *load.linkUse, kAnswerLoadAge, kAnswerLoadSmoothing);
        if (load.uplinkUse)
            updateUplinkUse(now, rackOf(sfu), *load.uplinkUse, kAnswerLoadAge, kAnswerLoadSmoothing);
        auto it = subs_.find(id);
        const bool wasPlaying = it != subs_.end() && it->second.state == State::Playing;
        const bool alreadyCounted = it != subs_.end() && it->second.countedAsFailure;
        // An error for a title that has not been seen to play may be the caller's own: guards against callers
        // who request titles that no media server has. It hides a failing server while only such titles are
        // requested.
        const bool isCallersFault =
            result == JoinResult::Error && it != subs_.end() && !lastPlayedAt_.contains(titleOf(it->second));
        switch (result) {
            case JoinResult::Error:
            case JoinResult::Reset:
            case JoinResult::NoConnection:
            case JoinResult::TimedOut:
                if (!alreadyCounted && !isCallersFault) addEvidence(now, sfu, kFailureEvidence);
                // A playing session that breaks, or a refused connection, means that the process is lost. A
                // missing answer may be a lost message: a single one must not make a whole fleet count as
                // cold.
                if (wasPlaying || result == JoinResult::NoConnection || sfu.evidence >= kUnhealthyEvidence)
                    sfu.mayHaveRestartedAt = now;
                break;
            case JoinResult::Full:
                sfu.fullUntil = now + kFullHoldoff;
                if (fleet_.fullThreshold > 0 && lacksLoadReports())
                    updateLinkUse(now, sfu, std::max(fleet_.fullThreshold, estimateLinkUse(now, sfu)), 0, 1);
                break;
            default:
                break;
        }
        if (it == subs_.end()) return;
        Subscription& sub = it->second;
        book(now, sub, -1);
        if (isOver || wasPlaying || sub.hasLeft) {
            subs_.erase(it);
            return;
        }
        if (result != JoinResult::Full && result != JoinResult::NoConnection &&
            result != JoinResult::NeverSent)
            sub.mayHaveRun = true;
        sub.state = State::Waiting;
        sub.countedAsFailure = false;
        // A paid set-up that may have run must not be repeated, and a retry past the objective is too late.
        if ((roomOf(sub).paid && sub.mayHaveRun) || result == JoinResult::NeverSent ||
            (isCallersFault && sub.joinCount > 1) || now >= sub.requestedAt + roomOf(sub).joinObjective) {
            reject(now, id);
            return;
        }
        waiting_.push_back(id);
        placeWaiting(now);
    }

    void onViewerLeft(Micros, SubId id) {
        auto it = subs_.find(id);
        if (it == subs_.end()) return;
        if (it->second.state == State::Joining)
            it->second.hasLeft = true;  // its result is pending, and it holds its seat until then
        else if (it->second.state == State::Waiting)
            subs_.erase(it);
    }

    void onShareDelivered(Micros now, SfuId server, double share) {
        Sfu& sfu = sfus_[server];
        if (share >= kFullShare) {
            Uplink& uplink = uplinks_[rackOf(sfu)];
            sfu.shortageRatio = 0;
            if (sfu.link.hasReport) sfu.link.use = std::min(sfu.link.use, 0.97);
            if (uplink.estimate.hasReport) uplink.estimate.use = std::min(uplink.estimate.use, 0.97);
            return;
        }
        // A report of short delivery marks the link as full. The next report of link use, which is as old as
        // this one, shows whether the link or the uplink was the bottleneck.
        sfu.lastShortAt = now;
        sfu.shortageRatio = 1 / std::max(0.05, share);
        // Without periodic load reports the current estimate takes its place.
        if (lacksLoadReports() && estimateLinkUse(now, sfu) < kLinkClearFraction * sfu.shortageRatio &&
            detectUplinkBottleneck(now, sfu))
            updateUplinkUse(now, rackOf(sfu), sfu.shortageRatio, reportTiming_.late, 1);
        else
            updateLinkUse(now, sfu, std::max(sfu.shortageRatio, estimateLinkUse(now, sfu)),
                          reportTiming_.late, 1);
    }

    void onRungInForce(Micros now, SubId id, int rung) {
        auto it = subs_.find(id);
        if (it == subs_.end()) return;
        applyRung(now, it->second, rung);
        discardRateChanges(sfus_[it->second.server]);
    }

    void onLinkUse(Micros now, SubId id, SfuId server, double use) {
        Sfu& sfu = sfus_[server];
        const Micros age = reportAge(now, id);
        if (age > 0 && sfu.shortageRatio > 0 && now - sfu.lastShortAt < kShortageFresh &&
            use < kLinkClearFraction * sfu.shortageRatio)
            detectUplinkBottleneck(now, sfu);
        updateLinkUse(now, sfu, use, age, kReportSmoothing);
    }
    void onUplinkUse(Micros now, SubId id, SfuId server, double use) {
        updateUplinkUse(now, rackOf(sfus_[server]), use, reportAge(now, id), kReportSmoothing);
    }

    // The knowledge that stays valid across a restart of this front. Set-up times, short deliveries and
    // uplinks belong to routes and racks that may have changed.
    std::vector<ServerEvidence> serverEvidence(Micros now) const {
        std::vector<ServerEvidence> entries;
        for (const auto& [id, sfu] : sfus_) {
            if (sfu.state == ServerState::Off || (!sfu.link.hasReport && sfu.evidence == 0)) continue;
            const UseEstimate& link = sfu.link;
            entries.push_back({id, sfu.evidence, link.hasReport ? std::optional(link.use) : std::nullopt,
                               link.hasReport ? now - link.reportedAt : 0});
        }
        return entries;
    }
    // Keeps a restarted front from learning the same again at the viewers' expense. Ids that are not listed
    // are ignored.
    void restoreServerEvidence(Micros now, std::span<const ServerEvidence> entries) {
        for (const ServerEvidence& entry : entries) {
            const auto it = sfus_.find(entry.id);
            if (it == sfus_.end() || it->second.state == ServerState::Off) continue;
            Sfu& sfu = it->second;
            if (sfu.evidence == 0) addEvidence(now, sfu, entry.evidence);
            if (entry.linkUse && !sfu.link.hasReport) updateLinkUse(now, sfu, *entry.linkUse, entry.age, 1);
        }
    }

    void onWake(Micros now, const std::string& why) {
        if (why == "sweep") {
            sweep(now);
            host_.wakeAfter(kSweepInterval, "sweep");
        } else if (why == "slot") {
            isSlotOpen_ = false;
            placeWaiting(now);
        } else if (why == "list") {
            host_.followList();
        }
    }

  private:
    enum class State { Waiting, Joining, Playing };

    struct Subscription {
        SubscriptionRequest request;
        State state = State::Waiting;
        Micros requestedAt = 0, joinedAt = 0, playingSince = 0, rungChangedAt = 0;
        int joinCount = 0;
        int rung = 0;
        SfuId server;
        bool mayHaveRun = false;        // an earlier join is not proven never to have run
        bool countedAsFailure = false;  // its missing answer is already evidence against the server
        bool hasLeft = false;           // the viewer left while the join was in flight
        bool isGathered = false;        // placed where all fronts gather the viewers of its title
        double bookedKb = 0;            // kB/s that it is booked with on its link
    };

    // Reported utilization of a link or an uplink, and the rate changes since.
    struct UseEstimate {
        bool hasReport = false;
        double use = 0;  // demand over capacity, at time `reportedAt`
        Micros reportedAt = 0;
        struct Change {
            Micros at;
            double ownKb, othersKb;  // kB/s: of this front's own rates, and assumed of the other fronts
        };
        std::deque<Change> changes;  // oldest first
    };

    struct Uplink {
        UseEstimate estimate;
        double capacityKb = 0, nominalKb = 0;  // capacity in kB/s: estimated and configured; 0: not modelled
        Micros lastShortAt = kLongAgo;
    };

    struct Sfu {
        ServerState state = ServerState::Off;
        Cell cell;
        MachineKindId kind;
        double size = 1;
        ZoneId zone;
        Micros startedAt = 0, mayHaveRestartedAt = 0;
        UseEstimate link;
        double ownKb = 0;     // kB/s booked by this front
        double evidence = 0;  // of the sequential test
        // Circuit breaker: current backoff, and when the next join may probe the server.
        Micros probeBackoff = 0, nextProbeAt = 0;
        // Demand over capacity by the last short delivery; 0: none, or full delivery since.
        double shortageRatio = 0;
        Micros steppedUpAt = 0, fullUntil = 0, lastShortAt = kLongAgo;
        Micros lastJoinAt = kLongAgo;
        int joinsInFlight = 0;
    };

    static std::pair<RoomTypeId, TitleId> titleOf(const Subscription& sub) {
        return {sub.request.room, sub.request.title};
    }
    const RoomType& roomOf(const Subscription& sub) const { return rooms_[sub.request.room.v]; }
    double rateKb(const Subscription& sub, int rung) const {
        return ladder_.kb[static_cast<std::size_t>(rung)] * roomOf(sub).rateFactor;
    }
    double benefitOf(const Subscription& sub, int rung) const {
        return ladder_.worth[static_cast<std::size_t>(rung)] * roomOf(sub).benefit;
    }
    int maxRungOf(const Subscription& sub) const {
        return std::max(minRungOf(sub), std::min(roomOf(sub).top, sub.request.maxRung));
    }
    int minRungOf(const Subscription& sub) const { return roomOf(sub).floor; }
    double placesOf(const Sfu& sfu) const {
        return sfu.kind.v < fleet_.places.size() ? std::max(1, fleet_.places[sfu.kind.v]) : 1;
    }
    std::size_t rackOf(const Sfu& sfu) const { return sfu.cell.v % uplinks_.size(); }

    // ================= shared streams =================

    bool isShared(const Subscription& sub) const {
        return roomOf(sub).live && ladder_.sharedRateFraction < 1;
    }

    // Returns the kB/s that a subscription adds to a link: a further viewer of a shared live stream adds only
    // a part of its rate. The viewers of other fronts are not reported; where all fronts gather a title, one
    // is likely to be there.
    double marginalKb(const Subscription& sub, SfuId server, int rung, bool isGathered) const {
        if (!isShared(sub)) return rateKb(sub, rung);
        if (streamViewers_.contains({server, sub.request.room, sub.request.title, rung}))
            return ladder_.sharedRateFraction * rateKb(sub, rung);
        return (isGathered ? ladder_.sharedRateFraction + kAloneProbability * (1 - ladder_.sharedRateFraction)
                           : 1) *
               rateKb(sub, rung);
    }
    // Adds a viewer to the shared stream of a subscription (sign +1), or removes one (-1).
    void countViewer(const Subscription& sub, int sign) {
        if (!isShared(sub)) return;
        const auto it =
            streamViewers_.try_emplace({sub.server, sub.request.room, sub.request.title, sub.rung}, 0).first;
        if ((it->second += sign) <= 0) streamViewers_.erase(it);
    }

    // Mixes the bits of a 64-bit value, to hash ids.
    static std::uint64_t mixBits(std::uint64_t v) {
        v *= 0x9E3779B97F4A7C15u;
        v = (v ^ (v >> 29)) * 0xBF58476D1CE4E5B9u;
        return v ^ (v >> 32);
    }

    // Returns the media servers at which all fronts gather the viewers of a live title: in the order of a
    // hash of title and id, the first few that are on, warm and whose circuit breaker is closed. So fronts
    // agree without shared state (rendezvous hashing).
    std::vector<SfuId> gatherServers(Micros now, const Subscription& sub) {
        std::vector<std::pair<std::uint64_t, SfuId>> ranked;
        if (!isShared(sub)) return {};
        std::uint64_t titleHash = 14695981039346656037u;
        for (const char c : sub.request.title.v)
            titleHash = (titleHash ^ static_cast<unsigned char>(c)) * 1099511628211u;
        for (const auto& [id, sfu] : sfus_) {
            if (!holdsTitle(sub, sfu) || sfu.state != ServerState::On || warmFraction(now, sfu) < 1 ||
                isCircuitOpen(now, sfu))
                continue;
            ranked.emplace_back(mixBits(titleHash ^ id.v), id);
        }
        const auto wanted =
            static_cast<std::size_t>(kGatherFraction * std::min(sub.request.holders, fleet_.cells));
        const std::size_t taken = std::min(ranked.size(), std::max(kMinGatherServers, wanted));
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end());
        std::vector<SfuId> servers;
        for (std::size_t i = 0; i < taken; ++i) servers.push_back(ranked[i].second);
        return servers;
    }

    // ================= link and uplink estimates =================

    // Configured capacity of a media server's link in kB/s, and the capacity now: less while the server is
    // cold.
    double nominalKb(const Sfu& sfu) const {
        return fleet_.hasSizes ? fleet_.linkKbPerSize * sfu.size : kbPerPlace_ * placesOf(sfu);
    }
    double linkKb(Micros now, const Sfu& sfu) const {
        return std::max(1.0, nominalKb(sfu) * warmFraction(now, sfu));
    }

    // Returns the part of its capacity that a media server has since its last start: 1 once it is warm.
    double warmFraction(Micros now, const Sfu& sfu) const {
        const Micros since = std::max(sfu.startedAt, sfu.mayHaveRestartedAt);
        if (since <= 0 || now - since >= cold_.warmUp) return 1;
        return cold_.firstShare + (1 - cold_.firstShare) * seconds(now - since) / seconds(cold_.warmUp);
    }

    // Projects a reported utilization to `until`: adds the rate changes of this front since the report, and
    // the relief that other fronts are assumed to have given. Their other changes are unknown and not
    // estimated.
    double projectUse(const UseEstimate& estimate, double capacityKb,
                      Micros until = std::numeric_limits<Micros>::max()) const {
        double changedKb = 0;
        for (const UseEstimate::Change& change : estimate.changes)
            if (change.at > estimate.reportedAt && change.at <= until)
                changedKb += change.ownKb + change.othersKb;
        return std::max(0.0, estimate.use + changedKb / capacityKb);
    }

    // Estimates the utilization of a link. A report loses weight with its age to the mean of the fleet; the
    // estimate is never less than this front's own rates.
    double estimateLinkUse(Micros now, const Sfu& sfu) const {
        const double capacityKb = linkKb(now, sfu);
        const double useWithoutReport =
            sfu.ownKb / capacityKb + (1 - 1.0 / frontCount_) * std::min(meanLinkUse_, kMaxAssumedLinkUse);
        double use = useWithoutReport;
        if (sfu.link.hasReport) {
            const double weight = std::exp2(-seconds(now - sfu.link.reportedAt) / kUseHalfLifeSeconds);
            use = weight * projectUse(sfu.link, capacityKb) + (1 - weight) * useWithoutReport;
        }
        return std::max(use, sfu.ownKb / capacityKb);
    }

    // Estimates the utilization of all uplinks in one pass: with hundreds of servers, one sum for each
    // candidate would dominate the cost of a placement.
    std::vector<double> estimateUplinkUse(Micros now) const {
        std::vector<double> use(uplinks_.size(), 0);
        for (const auto& [id, sfu] : sfus_)
            if (!lacksLoadReports() && sfu.state != ServerState::Off)
                use[rackOf(sfu)] += estimateLinkUse(now, sfu) * linkKb(now, sfu);
        // Without load reports all uplinks get the same estimate. Separate ones would be no better, and alike
        // on all fronts: the rack that looked emptiest would get everyone's joins.
        const double assumedUse =
            std::min(kMaxAssumedUplinkUse, kDefaultUplinkUse + kUplinkUsePerShortFraction * shortFraction_);
        for (std::size_t rack = 0; rack < use.size(); ++rack) {
            const Uplink& uplink = uplinks_[rack];
            use[rack] = uplink.capacityKb <= 0 ? 0
                        : lacksLoadReports()   ? assumedUse
                                               : use[rack] / uplink.capacityKb;
            if (uplink.capacityKb <= 0 || !uplink.estimate.hasReport) continue;
            const double weight = std::exp2(-seconds(now - uplink.estimate.reportedAt) / kUseHalfLifeSeconds);
            use[rack] = weight * projectUse(uplink.estimate, uplink.capacityKb) + (1 - weight) * use[rack];
        }
        return use;
    }

    // Returns the utilization that is certain, the larger of link and uplink. Used for steps down: they cost
    // benefit, so no assumption about other fronts may cause one.
    double certainUse(Micros now, const Sfu& sfu) const {
        auto knownUse = [&](const Sfu& other) {
            const double capacityKb = linkKb(now, other);
            return std::max(other.link.hasReport ? projectUse(other.link, capacityKb) : 0,
                            other.ownKb / capacityKb);
        };
        const std::size_t rack = rackOf(sfu);
        const Uplink& uplink = uplinks_[rack];
        if (uplink.capacityKb <= 0) return knownUse(sfu);
        double rackKb = 0;
        for (const auto& [id, other] : sfus_)
            if (other.state != ServerState::Off && rackOf(other) == rack)
                rackKb += knownUse(other) * linkKb(now, other);
        return std::max(knownUse(sfu), uplink.estimate.hasReport
                                           ? projectUse(uplink.estimate, uplink.capacityKb)
                                           : rackKb / uplink.capacityKb);
    }

    // Merges a report of `age` into an estimate, with the smoothing factor `weight`. Ignores one that is
    // older than the last.
    void updateEstimate(Micros now, UseEstimate& estimate, double capacityKb, double use, Micros age,
                        double weight) {
        const Micros measuredAt = now - age;
        if (measuredAt < estimate.reportedAt) return;
        estimate.use =
            estimate.hasReport ? weight * use + (1 - weight) * projectUse(estimate, capacityKb) : use;
        estimate.hasReport = true;
        estimate.reportedAt = measuredAt;
        while (!estimate.changes.empty() && estimate.changes.front().at <= measuredAt)
            estimate.changes.pop_front();
    }
    void updateLinkUse(Micros now, Sfu& sfu, double use, Micros age, double weight) {
        updateEstimate(now, sfu.link, linkKb(now, sfu), use, age, weight);
    }
    void updateUplinkUse(Micros now, std::size_t rack, double use, Micros age, double weight) {
        if (uplinks_[rack].capacityKb > 0)
            updateEstimate(now, uplinks_[rack].estimate, uplinks_[rack].capacityKb, use, age, weight);
    }

    // True if the site sends no periodic load reports: short deliveries, "full" answers and the absence of
    // short deliveries take their place.
    bool lacksLoadReports() const { return reportTiming_.every == 0; }

    // True if the use of the uplink is reported. If not, only short deliveries mark it as full.
    bool hasLoadReports(const Uplink& uplink) const {
        return uplink.estimate.hasReport && !lacksLoadReports();
    }

    // Called when delivery is shorter than the link explains. Returns true if the uplink is the bottleneck,
    // and lowers its estimated capacity.
    bool detectUplinkBottleneck(Micros now, const Sfu& sfu) {
        const std::size_t rack = rackOf(sfu);
        Uplink& uplink = uplinks_[rack];
        if (hasLoadReports(uplink) || uplink.capacityKb <= 0) return false;  // reported, or not modelled
        // A saturated uplink makes every media server behind it short; a majority with full delivery clears
        // it.
        int shortCount = 0, servedCount = 0;
        for (const auto& [id, other] : sfus_)
            if (other.state != ServerState::Off && rackOf(other) == rack && other.ownKb > 0)
                ++(now - other.lastShortAt < kShortageFresh ? shortCount : servedCount);
        if (servedCount > shortCount || (lacksLoadReports() && servedCount == shortCount)) return false;
        uplink.lastShortAt = now;
        // The report is late, so the demand is taken at that time too: steps down since then have freed
        // capacity.
        double demandKb = 0;
        for (const auto& [id, other] : sfus_) {
            if (other.state == ServerState::Off || rackOf(other) != rack) continue;
            const double capacityKb = linkKb(now, other);
            demandKb += other.link.hasReport
                            ? capacityKb * projectUse(other.link, capacityKb, now - reportTiming_.late)
                            : capacityKb * estimateLinkUse(now, other);
        }
        uplink.capacityKb =
            std::clamp(demandKb / sfu.shortageRatio, 0.1 * uplink.nominalKb, uplink.capacityKb);
        return true;
    }

    // Returns the age of a report on a subscription: one at set-up is current, later ones are delayed.
    Micros reportAge(Micros now, SubId id) const {
        auto it = subs_.find(id);
        const bool isAtSetup = it != subs_.end() && it->second.joinedAt > 0 &&
                               now - it->second.playingSince < reportTiming_.late / 2;
        return isAtSetup ? 0 : reportTiming_.late;
    }

    // Books a subscription's rate and seat on its media server (sign +1), or frees them (-1).
    void book(Micros now, Subscription& sub, int sign) {
        Sfu& sfu = sfus_[sub.server];
        if (sign > 0) {
            if (lacksLoadReports() && sfu.ownKb <= 0)
                sfu.steppedUpAt = now;  // the time without shortage starts with the first session here
            sub.bookedKb = marginalKb(sub, sub.server, sub.rung, sub.isGathered);
            countViewer(sub, +1);
        }
        addOwnRate(now, sfu, sign * sub.bookedKb);
        if (sign < 0) countViewer(sub, -1);
        const auto seat = seatsInUse_.try_emplace(titleOf(sub), 0).first;
        if ((seat->second += sign) <= 0) seatsInUse_.erase(seat);
        if (sub.state == State::Joining || (sign > 0 && sub.state == State::Waiting))
            sfu.joinsInFlight += sign;
    }

    // Adds `kb` kB/s, which may be negative, to the rates that this front has booked on a media server.
    void addOwnRate(Micros now, Sfu& sfu, double kb) {
        sfu.ownKb = std::max(0.0, sfu.ownKb + kb);
        sfu.link.changes.push_back({now, kb, 0});
        uplinks_[rackOf(sfu)].estimate.changes.push_back({now, kb, 0});
    }

    // An adopted subscription or a reported rung is already part of the reported use: it is no change.
    void discardRateChanges(Sfu& sfu) {
        sfu.link.changes.clear();
        uplinks_[rackOf(sfu)].estimate.changes.clear();
    }

    // Books a subscription with another rung, limited to the ladder.
    void applyRung(Micros now, Subscription& sub, int rung) {
        const int newRung = std::clamp(rung, 0, static_cast<int>(ladder_.kb.size()) - 1);
        countViewer(sub, -1);
        sub.rung = newRung;
        const double kb = marginalKb(sub, sub.server, newRung, sub.isGathered);
        countViewer(sub, +1);
        addOwnRate(now, sfus_[sub.server], kb - sub.bookedKb);
        sub.bookedKb = kb;
    }

    // ================= rules on joins =================

    // Returns whether a join of this subscription at this media server, sent by `sendBy`, keeps every rule.
    bool mayJoin(Micros now, const Subscription& sub, SfuId id, const Sfu& sfu, Micros sendBy) {
        const RoomType& room = roomOf(sub);
        if (sub.state != State::Waiting || sub.hasLeft) return false;  // one join in flight, no final answer
        if (now >= sub.request.deadline || sub.joinCount >= limits_.maxJoins) return false;
        if (sfu.state != ServerState::On) return false;  // a draining server gets no joins
        if (!holdsTitle(sub, sfu)) return false;
        if (room.paid && sub.mayHaveRun) return false;  // never set up twice
        if (room.keyed && sub.mayHaveRun &&
            ((!room.anyServer && id != sub.server) || now - sub.joinedAt >= room.repeatWithin))
            return false;
        if (seatsLeft(sub) <= 0) return false;
        if (sub.joinCount > 0 && !hasJoinBudget(now)) return false;
        return earliestColdJoin(now, id, sfu) <= sendBy;
    }

    // A title is held in `holders` consecutive cells from `firstCell`, wrapping round.
    bool holdsTitle(const Subscription& sub, const Sfu& sfu) const {
        const auto cells = static_cast<std::uint32_t>(fleet_.cells);
        return (sfu.cell.v + cells - sub.request.firstCell.v % cells) % cells <
               static_cast<std::uint32_t>(std::max(0, sub.request.holders));
    }

    // Returns the free seats of the title for this front; 1 where seats are unlimited.
    int seatsLeft(const Subscription& sub) const {
        const int seats = roomOf(sub).seats;
        if (seats <= 0) return 1;
        auto it = seatsInUse_.find(titleOf(sub));
        return seats - (it == seatsInUse_.end() ? 0 : it->second);
    }

    // Discards what lies before the window of the join budget.
    void discardOldRequestTimes(Micros now) {
        if (!budget_) return;
        while (!requestTimes_.empty() && requestTimes_.front() <= now - budget_->window)
            requestTimes_.pop_front();
        while (!retryTimes_.empty() && retryTimes_.front() < now - budget_->window) retryTimes_.pop_front();
    }

    // True if a join beyond the first of its subscription is within the budget of the window.
    bool hasJoinBudget(Micros now) {
        if (!budget_) return true;
        discardOldRequestTimes(now);
        return static_cast<double>(retryTimes_.size() + 1) <=
               budget_->free + budget_->share * static_cast<double>(requestTimes_.size());
    }

    // Returns when this front may next join a media server that may be cold; 0 if at any time. All fronts
    // together keep to a part of the joins that the server can take in one tipAfter at its start, whatever
    // the traffic of each: every front has an equal share of them, as its number of joins in a tipAfter. The
    // fractional part of a share becomes a turn of one join that lasts kColdTurnTipAfters and recurs after
    // that time divided by the fraction, at a phase given by a hash, as fronts cannot agree on one. An unused
    // turn does not carry over.
    Micros earliestColdJoin(Micros now, SfuId id, const Sfu& sfu) const {
        // A front that has just started with a stale list: any media server may have restarted meanwhile.
        const bool listMayBeOutdated = isListStale_ && !hasAdopted_ && now - startedAt_ < cold_.warmUp;
        if (warmFraction(now, sfu) >= 1 && !listMayBeOutdated) return 0;
        const double tipAfter = static_cast<double>(cold_.tipAfter),
                     turnLength = kColdTurnTipAfters * tipAfter;
        const double share = kColdPaceFraction * cold_.fallMultiple * cold_.firstShare * placesOf(sfu) *
                             tipAfter / static_cast<double>(cold_.warmUp) / frontCount_;
        const double turnPeriod = turnLength / std::max(1e-6, share - std::floor(share));
        const double phase = static_cast<double>(mixBits(mixBits(seed_) ^ id.v) >> 11) * 0x1p-53;
        const double sinceTurnStart = std::fmod(static_cast<double>(now) + phase * turnPeriod, turnPeriod);
        const double joinsInTipAfter = std::floor(share) + (sinceTurnStart < turnLength ? 1 : 0);
        if (joinsInTipAfter > 0)
            return sfu.lastJoinAt + static_cast<Micros>(std::ceil(tipAfter / joinsInTipAfter));
        return now + static_cast<Micros>(turnPeriod - sinceTurnStart) + 1;
    }

    // ================= placement =================

    void openSlot() {
        if (isSlotOpen_) return;
        isSlotOpen_ = true;
        host_.wakeAfter(kSlotLength, "slot");
    }

    // Compares with the client timeout, not the room type's objective: it may expire before the slot ends,
    // and the wake that ends a slot may be late.
    static bool cannotWaitForSlot(Micros now, const Subscription& sub) {
        return sub.request.deadline - now <= 2 * kSlotLength;
    }

    // Returns the penalty in the score for serving from another zone, which is charged by the second like the
    // benefit.
    double crossZonePenalty(const Sfu& sfu) const {
        return sfu.zone == fleet_.zone ? 0 : kCrossZoneWeight * kAlphaRate * costs_.crossZone;
    }

    // True while the circuit breaker of a media server is open, or half-open with a probe in flight.
    bool isCircuitOpen(Micros now, const Sfu& sfu) const {
        return sfu.evidence >= kUnhealthyEvidence && (now < sfu.nextProbeAt || sfu.joinsInFlight > 0);
    }

    // Places all waiting requests, those of the highest benefit first.
    void placeWaiting(Micros now) {
        std::vector<SubId> queue;
        queue.swap(waiting_);
        std::stable_sort(queue.begin(), queue.end(), [&](SubId a, SubId b) {
            auto benefit = [&](SubId id) {
                auto it = subs_.find(id);
                return it == subs_.end() ? 0.0 : roomOf(it->second).benefit;
            };
            return benefit(a) > benefit(b);
        });
        for (SubId id : queue) place(now, id);
        if (!waiting_.empty()) openSlot();
    }

    // Joins the media server and rung of lowest score, keeps the request waiting, or rejects it.
    void place(Micros now, SubId id) {
        auto found = subs_.find(id);
        if (found == subs_.end() || found->second.state != State::Waiting) return;
        Subscription& sub = found->second;
        double bestScore = 1e18, leastLoaded = 1e18, fallbackUse = 0;
        const std::vector<double> uplinkUses = estimateUplinkUse(now);
        const std::vector<SfuId> gatherIds = gatherServers(now, sub);
        const auto isGatherServer = [&](SfuId server) {
            return std::find(gatherIds.begin(), gatherIds.end(), server) != gatherIds.end();
        };
        std::optional<SfuId> chosen, fallback;
        int chosenRung = minRungOf(sub), candidateCount = 0;
        const double middleRungKb = ladder_.kb[ladder_.kb.size() / 2];
        for (auto& [sfuId, sfu] : sfus_) {
            if (!mayJoin(now, sub, sfuId, sfu, now) || isCircuitOpen(now, sfu) || now < sfu.fullUntil)
                continue;
            if (roomOf(sub).paid && sfu.evidence >= kUnhealthyEvidence) continue;  // not repeatable: no probe
            ++candidateCount;
            const bool gathersHere = isGatherServer(sfuId);
            const double linkUse = estimateLinkUse(now, sfu), uplinkUse = uplinkUses[rackOf(sfu)];
            // The random term spreads fronts over the media servers that they know nothing of; else all would
            // take the first.
            const double penalty = kEvidencePenalty * std::max(0.0, sfu.evidence) + crossZonePenalty(sfu) +
                                   std::uniform_real_distribution<double>(0, kScoreJitter)(random_);
            // Link and uplink are in series, so their fetch times add up. The larger alone would score
            // all servers of a saturated rack the same, however idle some of their links are.
            const double plannedUse = lacksLoadReports() ? std::max(linkUse, meanLinkUse_) : linkUse;
            const double slowness = (1 / std::max(kMinFreeFraction, 1 - plannedUse) +
                                     1 / std::max(kMinFreeFraction, 1 - uplinkUse)) /
                                        2 +
                                    (lacksLoadReports() ? kLinkUseTieWeight * linkUse : 0);
            const double fallbackScore =
                std::max(linkUse, uplinkUse) + kFallbackLinkWeight * linkUse + penalty;
            if (fallbackScore < leastLoaded) {
                leastLoaded = fallbackScore;
                // An uplink that is only estimated throttles nobody: a throttled viewer retries and earns
                // nothing.
                const bool uplinkIsKnown =
                    !lacksLoadReports() ||
                    (uplinks_[rackOf(sfu)].estimate.hasReport &&
                     now - uplinks_[rackOf(sfu)].estimate.reportedAt < kUplinkFullMemory);
                fallbackUse = std::max(linkUse, uplinkIsKnown ? uplinkUse : 0) +
                              marginalKb(sub, sfuId, minRungOf(sub), gathersHere) / linkKb(now, sfu);
                fallback = sfuId;
            }
            const double linkFreeKb = (1 - linkUse) * linkKb(now, sfu);
            const double uplinkFreeKb = (1 - uplinkUse) * uplinks_[rackOf(sfu)].capacityKb;
            for (int rung = minRungOf(sub); rung <= maxRungOf(sub); ++rung) {
                if (gathersHere && (rung - minRungOf(sub)) % kGatherRungStep != 0) continue;
                const double kb = marginalKb(sub, sfuId, rung, gathersHere);
                if (kb > kMaxHeadroomFill * linkFreeKb ||
                    (uplinks_[rackOf(sfu)].capacityKb > 0 && kb > kMaxHeadroomFill * uplinkFreeKb))
                    continue;
                const double fetchTime = kb / middleRungKb * slowness;
                const double rungGap = (rung - minRungOf(sub)) / static_cast<double>(ladder_.kb.size());
                const double score = kAlphaTime * fetchTime + kAlphaGap * rungGap -
                                     kAlphaRate * benefitOf(sub, rung) / meanBenefit_ + penalty;
                if (score < bestScore) {
                    bestScore = score;
                    chosen = sfuId;
                    chosenRung = rung;
                }
            }
        }
        // No rung fits: use the lowest on the least loaded server, unless even that would overload it.
        const bool fits = chosen.has_value();
        if (!chosen && fallback && fallbackUse <= kMaxFallbackUse) chosen = fallback;
        if (chosen) {
            host_.recordPlacement(id, *chosen, fits ? &bestScore : nullptr, candidateCount);
            sub.isGathered = isGatherServer(*chosen);
            sendJoin(now, id, sub, *chosen, chosenRung);
            return;
        }
        const Micros waitUntil = sub.requestedAt + roomOf(sub).joinObjective / 2;
        if (now < waitUntil && !cannotWaitForSlot(now, sub) && holderMayBecomeFree(now, sub, waitUntil))
            waiting_.push_back(id);
        else
            reject(now, id);
    }

    // True if some media server that holds the title may accept this request by time `by`.
    bool holderMayBecomeFree(Micros now, const Subscription& sub, Micros by) {
        return std::any_of(sfus_.begin(), sfus_.end(), [&](const auto& entry) {
            const Sfu& sfu = entry.second;
            const Micros freeAt =
                std::max(sfu.evidence >= kUnhealthyEvidence ? sfu.nextProbeAt : 0, sfu.fullUntil);
            return freeAt <= by && mayJoin(now, sub, entry.first, sfu, by);
        });
    }

    void sendJoin(Micros now, SubId id, Subscription& sub, SfuId server, int rung) {
        Sfu& sfu = sfus_[server];
        if (!mayJoin(now, sub, server, sfu, now)) return;
        if (budget_ && sub.joinCount > 0) retryTimes_.push_back(now);
        sub.server = server;
        sub.rung = rung;
        sub.joinedAt = now;
        book(now, sub, +1);
        ++sub.joinCount;
        sub.state = State::Joining;
        sfu.lastJoinAt = now;
        host_.setRung(id, rung);
        host_.join(id, server, joinTimeout(now, sub));
    }

    // Returns how long to wait for the answer to a join. A paid set-up gets all the time left, as it must not
    // be repeated; another only as long as a retry can still meet the objective.
    Micros joinTimeout(Micros now, const Subscription& sub) {
        const Micros remaining = sub.request.deadline - now;
        const Micros objective = sub.requestedAt + roomOf(sub).joinObjective;
        if (roomOf(sub).paid || sub.joinCount >= limits_.maxJoins || now + 2 * slowSetupTime() > objective ||
            !hasJoinBudget(now))
            return remaining;
        return std::min(remaining, slowSetupTime());
    }

    // Time after which an unanswered join is unusually slow: twice the 95th percentile of set-up times.
    Micros slowSetupTime() const {
        if (setupTimes_.total() < kMinSetupSamples) return 2 * kMinJoinTimeout;
        return std::max(kMinJoinTimeout, 2 * setupTimes_.quantile(0.95));
    }

    void recordSetupTime(Micros setupTime) {
        setupTimes_.add(setupTime);
        if (setupTimes_.total() > kMaxSetupSamples) setupTimes_.halve();
    }

    // Ends a request that does not play: sends its final answer at once. Nothing else throttles or
    // terminates.
    void reject(Micros now, SubId id) {
        auto it = subs_.find(id);
        if (it == subs_.end() || it->second.state != State::Waiting) return;
        const Subscription& sub = it->second;
        const RoomType& room = roomOf(sub);
        const bool mayThrottle = now < sub.request.deadline &&
                                 (!sub.mayHaveRun || !(room.paid || (room.keyed && !room.anyServer)));
        if (mayThrottle)
            host_.throttle(id, retryAfter());
        else
            host_.terminate(id);
        subs_.erase(it);
    }

    Micros retryAfter() {  // random, so that viewers throttled together do not retry together
        if (!limits_.retryAfter) return 0;
        return std::uniform_int_distribution<Micros>(limits_.maxRetryAfter / 2,
                                                     limits_.maxRetryAfter)(random_);
    }

    // ================= health =================

    // Adds evidence of failure (above 0) or success (below 0), and opens or closes the circuit breaker.
    void addEvidence(Micros now, Sfu& sfu, double step) {
        // The lower bound lets a few failures outweigh any number of successes.
        sfu.evidence = std::clamp(sfu.evidence + step, -2.0, kMaxEvidence);
        if (sfu.evidence < kUnhealthyEvidence) {
            sfu.probeBackoff = 0;
            return;
        }
        if (step > 0 && now >= sfu.nextProbeAt) {  // the failures of one crash come together and count once
            sfu.probeBackoff = std::clamp(2 * sfu.probeBackoff, kMinProbeBackoff, kMaxProbeBackoff);
            sfu.nextProbeAt = now + sfu.probeBackoff;
        }
    }

    // ================= playing subscriptions =================

    // Refreshes the estimates and adjusts the rungs of all playing subscriptions. Runs every kSweepInterval.
    void sweep(Micros now) {
        std::erase_if(sfus_, [](const auto& entry) {  // not listed, and no session of this front
            return entry.second.state == ServerState::Off && entry.second.ownKb <= 0 &&
                   entry.second.joinsInFlight <= 0;
        });
        std::erase_if(lastPlayedAt_, [&](const auto& entry) { return entry.second < now - kTitleKnownFor; });
        discardOldRequestTimes(now);
        double useSum = 0, linkCount = 0;
        for (auto& [id, sfu] : sfus_) {
            while (!sfu.link.changes.empty() && sfu.link.changes.front().at < now - kChangeHistory)
                sfu.link.changes.pop_front();
            if (sfu.state != ServerState::On || !sfu.link.hasReport ||
                now - sfu.link.reportedAt > kMaxReportAge)
                continue;
            useSum += projectUse(sfu.link, linkKb(now, sfu));
            ++linkCount;
        }
        if (!lacksLoadReports()) meanLinkUse_ = linkCount > 0 ? useSum / linkCount : kDefaultLinkUse;
        const std::vector<double> uplinkUses = estimateUplinkUse(now);
        for (std::size_t rack = 0; rack < uplinks_.size(); ++rack) {
            Uplink& uplink = uplinks_[rack];
            while (!uplink.estimate.changes.empty() &&
                   uplink.estimate.changes.front().at < now - kChangeHistory)
                uplink.estimate.changes.pop_front();
            // An estimate lowered by short deliveries recovers while the uplink is used and nothing is short:
            // up to the configured capacity at moderate use, beyond it only if the uplink is nearly full by
            // that.
            const double use = hasLoadReports(uplink) ? 0 : uplinkUses[rack];
            if (now - uplink.lastShortAt > kUplinkRecoveryDelay &&
                use > (uplink.capacityKb < uplink.nominalKb ? kUplinkRecoveryMinUse : kUplinkGrowthMinUse))
                uplink.capacityKb *= 1 + kUplinkRecoveryPerSecond * seconds(kSweepInterval);
        }
        std::map<SfuId, std::vector<SubId>> playingAt;
        double totalKb = 0, freeableKb = 0, stepValueSum = 0, stepCount = 0, playingCount = 1, shortCount = 0;
        for (auto& [id, sub] : subs_) {
            if (sub.state == State::Playing) {
                playingAt[sub.server].push_back(id);
                totalKb += rateKb(sub, sub.rung);
                ++playingCount;
                if (now - sfus_[sub.server].lastShortAt < kShortageFresh) ++shortCount;
                for (int rung = std::max(1, sub.rung); rung <= std::min(sub.rung + 1, maxRungOf(sub));
                     ++rung) {
                    stepValueSum += stepValue(sub, rung);
                    ++stepCount;
                }
                if (now - sub.rungChangedAt >= kStepDownInterval)
                    freeableKb += rateKb(sub, sub.rung) - rateKb(sub, minRungOf(sub));
            }
            if (sub.state == State::Joining && !sub.countedAsFailure &&
                now - sub.joinedAt > slowSetupTime()) {
                sub.countedAsFailure = true;  // a failure long before the timeout
                addEvidence(now, sfus_[sub.server], kFailureEvidence);
            }
        }
        if (stepCount > 0)
            typicalStepValue_ += (stepValueSum / stepCount - typicalStepValue_) *
                                 (typicalStepValue_ > 0 ? kStepValueSmoothing : 1);
        shortFraction_ += kShortFractionSmoothing * (shortCount / playingCount - shortFraction_);
        freeableFraction_ = totalKb > 0 ? freeableKb / totalKb : 1;
        for (auto& [server, ids] : playingAt) {
            const double use = certainUse(now, sfus_[server]);
            if (use > kStepDownAboveUse)
                stepDown(now, sfus_[server], ids, use);
            else
                stepUp(now, sfus_[server], ids, uplinkUses[rackOf(sfus_[server])]);
        }
    }

    // Lowers rungs until this front's part of the excess demand is freed, the least benefit per kB first. The
    // last step, which that part does not fill, is drawn at random. Other fronts get the same reports and do
    // the same: together they free the excess, and this front's estimates assume that they have.
    void stepDown(Micros now, Sfu& sfu, const std::vector<SubId>& ids, double use) {
        const double excess = 1 - kStepDownTargetUse / use;
        double kbToFree = sfu.ownKb * excess / std::max(kMinFreeableFraction, freeableFraction_);
        const double othersFreedKb = std::max(0.0, use * linkKb(now, sfu) - sfu.ownKb) *
                                     std::min(excess, kOthersReliefFraction * freeableFraction_);
        sfu.link.changes.push_back({now, 0, -othersFreedKb});
        uplinks_[rackOf(sfu)].estimate.changes.push_back({now, 0, -othersFreedKb});
        while (kbToFree > 0) {
            std::optional<SubId> pick;
            double lowestCost = 1e18;
            for (SubId id : ids) {
                const Subscription& sub = subs_.at(id);
                if (sub.rung <= minRungOf(sub) || now - sub.rungChangedAt < kStepDownInterval) continue;
                if (kbFreedByStepDown(sub) <= 0)
                    continue;  // it would leave a shared stream for one of its own
                const double cost =
                    (benefitOf(sub, sub.rung) - benefitOf(sub, sub.rung - 1)) / kbFreedByStepDown(sub);
                if (cost < lowestCost) {
                    lowestCost = cost;
                    pick = id;
                }
            }
            if (!pick) return;
            Subscription& sub = subs_.at(*pick);
            const double freedKb = kbFreedByStepDown(sub);
            if (!drawStep(kbToFree, freedKb, typicalStepValue_ / lowestCost)) return;
            kbToFree -= freedKb;
            changeRung(now, *pick, sub, sub.rung - 1);
        }
    }

    // Raises rungs into the free capacity after a load report, the most benefit per kB first. All fronts with
    // sessions there get the same report: each takes the part of the free capacity that its own rates are of
    // the demand, and draws the last step, which that part does not hold, at random. It
    // then waits for the next report.
    void stepUp(Micros now, Sfu& sfu, const std::vector<SubId>& ids, double uplinkUse) {
        if (now - sfu.lastShortAt < (lacksLoadReports() ? kStepUpIntervalUnreported : kStepUpInterval) ||
            sfu.evidence >= kUnhealthyEvidence || sfu.state == ServerState::Off)
            return;
        // Without load reports, a time without short delivery takes the place of one.
        const Micros reportedAt = lacksLoadReports()   ? now - kStepUpIntervalUnreported
                                  : sfu.link.hasReport ? sfu.link.reportedAt
                                                       : sfu.steppedUpAt;
        if (reportedAt <= sfu.steppedUpAt) return;
        sfu.steppedUpAt = lacksLoadReports() ? now : reportedAt;
        const Uplink& uplink = uplinks_[rackOf(sfu)];
        // The free capacity of the uplink is for all servers behind it: own rates count against its whole
        // demand.
        const auto ownPartOf = [&](double freeKb, double demandKb) {
            return freeKb * std::min(1.0, kStepUpShareFactor * sfu.ownKb / std::max(1.0, demandKb));
        };
        const double use = estimateLinkUse(now, sfu), capacityKb = linkKb(now, sfu);
        double freeKb = (kStepUpMaxUse - use) * capacityKb, ownPartKb = ownPartOf(freeKb, use * capacityKb);
        if (uplink.capacityKb > 0) {
            freeKb = std::min(freeKb, (kStepUpMaxUse - uplinkUse) * uplink.capacityKb);
            ownPartKb = std::min(ownPartKb, ownPartOf((kStepUpMaxUse - uplinkUse) * uplink.capacityKb,
                                                      uplinkUse * uplink.capacityKb));
        }
        for (;;) {
            std::optional<SubId> pick;
            double bestGainPerKb = 0;
            for (SubId id : ids) {
                const Subscription& sub = subs_.at(id);
                if (sub.rung >= maxRungOf(sub) ||
                    (sub.rungChangedAt > 0 && now - sub.rungChangedAt < kStepUpInterval))
                    continue;
                const double addedKb = kbAddedByStepUp(sub);
                if (addedKb > freeKb) continue;
                const double gain = benefitOf(sub, sub.rung + 1) - benefitOf(sub, sub.rung);
                if (gain * remainingSeconds(now, sub) <
                    kMinSwitchReturn * ladder_.switchSeconds * roomOf(sub).benefit)
                    continue;
                if (gain / addedKb > bestGainPerKb) {
                    bestGainPerKb = gain / addedKb;
                    pick = id;
                }
            }
            if (!pick) return;
            Subscription& sub = subs_.at(*pick);
            const double addedKb = kbAddedByStepUp(sub);
            if (!drawStep(ownPartKb, addedKb, bestGainPerKb / typicalStepValue_)) return;
            ownPartKb -= addedKb;
            changeRung(now, *pick, sub, sub.rung + 1);
        }
    }

    // Return the kB/s that a step down frees and that a step up adds.
    double kbFreedByStepDown(const Subscription& sub) const {
        const double releasedKb =
            sub.isGathered ? ladder_.sharedRateFraction * rateKb(sub, sub.rung) : sub.bookedKb;
        return releasedKb - marginalKb(sub, sub.server, sub.rung - 1, false);
    }
    double kbAddedByStepUp(const Subscription& sub) const {
        return std::max(1.0, marginalKb(sub, sub.server, sub.rung + 1, false) - sub.bookedKb);
    }
    // Benefit per kB/s of the step up to this rung.
    double stepValue(const Subscription& sub, int rung) const {
        return (benefitOf(sub, rung) - benefitOf(sub, rung - 1)) /
               (rateKb(sub, rung) - rateKb(sub, rung - 1));
    }
    // Returns whether to take a step: always if `budgetKb` holds it, else with the probability budgetKb /
    // stepKb times the square of `weight`, the value of the step relative to a typical one. The weight
    // replaces the order by value, which a single subscription at a server does not have.
    bool drawStep(double budgetKb, double stepKb, double weight) {
        const double sample = std::uniform_real_distribution<double>(0, 1)(random_);
        return budgetKb >= stepKb || budgetKb * weight * weight >= sample * stepKb;
    }

    double remainingSeconds(Micros now, const Subscription& sub) const {
        if (!sub.request.watchSeconds) return kDefaultRemainingSeconds;
        return std::max(0.0, *sub.request.watchSeconds - seconds(now - sub.requestedAt));
    }

    void changeRung(Micros now, SubId id, Subscription& sub, int rung) {
        applyRung(now, sub, rung);
        sub.rungChangedAt = now;
        sub.isGathered = false;
        host_.setRung(id, rung);
    }

    Host& host_;
    Micros startedAt_;
    std::knuth_b random_;
    std::uint64_t seed_;
    int frontCount_;
    Ladder ladder_;
    std::vector<RoomType> rooms_;
    Fleet fleet_;
    ColdStartLimits cold_;
    std::optional<JoinBudget> budget_;
    ReportTiming reportTiming_;
    SubscriptionLimits limits_;
    ServingCosts costs_;

    std::map<SfuId, Sfu> sfus_;
    std::map<SubId, Subscription> subs_;
    std::vector<Uplink> uplinks_;
    std::vector<SubId> waiting_;                                     // requests to place when the slot ends
    std::map<std::pair<RoomTypeId, TitleId>, int> seatsInUse_;       // by this front alone
    std::map<std::pair<RoomTypeId, TitleId>, Micros> lastPlayedAt_;  // titles that do exist
    // Own viewers of each shared stream, by server, room type, title and rung.
    std::map<std::tuple<SfuId, RoomTypeId, TitleId, int>, int> streamViewers_;
    // For the join budget: times of requests, and of joins beyond the first of each, within its window.
    std::deque<Micros> requestTimes_, retryTimes_;
    Histogram setupTimes_;
    // Of room types; link capacity in kB/s for each place; of links with a recent report.
    double meanBenefit_ = 0, kbPerPlace_ = 0, meanLinkUse_ = kDefaultLinkUse;
    // Means over own subscriptions; those of other fronts are assumed to be similar.
    double typicalStepValue_ = 0;  // benefit per kB/s of one step
    double freeableFraction_ = 1;  // part of the rates that steps down may free now
    double shortFraction_ = 0;     // part of the subscriptions with short delivery
    bool isSlotOpen_ = false, isListStale_ = false, hasAdopted_ = false;
};

Logic::Logic(Host& host, Micros now, std::uint64_t seed, int fronts, const Ladder& ladder,
             const std::vector<RoomType>& rooms, const Fleet& fleet, const ColdStartLimits& cold,
             const JoinBudget* budget, const ReportTiming& reportTiming, const SubscriptionLimits& limits,
             const ServingCosts& costs)
    : impl_(std::make_unique<Impl>(host, now, seed, fronts, ladder, rooms, fleet, cold, budget, reportTiming,
                                   limits, costs)) {}
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
void Logic::onSubscribe(Micros now, SubId id, const SubscriptionRequest& request) {
    impl_->onSubscribe(now, id, request);
}
void Logic::onAdopted(Micros now, SubId id, const SubscriptionRequest& request, SfuId server) {
    impl_->onAdopted(now, id, request, server);
}
void Logic::onPlaying(Micros now, SubId id, int joinNo, SfuId server, Micros took) {
    impl_->onPlaying(now, id, joinNo, server, took);
}
void Logic::onJoinEnded(Micros now, SubId id, int, SfuId server, JoinResult result, bool isOver, Micros,
                        const LoadReport& load) {
    impl_->onJoinEnded(now, id, server, result, isOver, load);
}
void Logic::onViewerLeft(Micros now, SubId id) {
    impl_->onViewerLeft(now, id);
}
void Logic::onShareDelivered(Micros now, SubId, SfuId server, double share) {
    impl_->onShareDelivered(now, server, share);
}
void Logic::onRungInForce(Micros now, SubId id, int rung) {
    impl_->onRungInForce(now, id, rung);
}
void Logic::onLinkUse(Micros now, SubId id, SfuId server, double use) {
    impl_->onLinkUse(now, id, server, use);
}
void Logic::onUplinkUse(Micros now, SubId id, SfuId server, double use) {
    impl_->onUplinkUse(now, id, server, use);
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
