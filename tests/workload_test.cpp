// Workload model without sockets: fair sharing compared with progressive filling on random networks,
// transfers compared with a simulation in small time steps, arrivals, and the viewer model.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "workload/arrivals.hpp"
#include "workload/fairshare.hpp"
#include "workload/viewer.hpp"

namespace valekeel {
namespace {

using namespace workload;

// Reference model by progressive filling: all rates rise together; a flow stops at its cap or at a full link.
std::vector<double> progressiveFilling(
    const std::vector<double>& capacities,
    const std::vector<std::pair<std::vector<std::uint32_t>, double>>& flows) {
    std::vector<double> rate(flows.size(), 0);
    std::vector<bool> fixed(flows.size(), false);
    for (;;) {
        double step = 1e300;
        for (std::size_t f = 0; f < flows.size(); ++f)
            if (!fixed[f]) step = std::min(step, flows[f].second - rate[f]);
        for (std::size_t l = 0; l < capacities.size(); ++l) {
            double used = 0;
            int rising = 0;
            for (std::size_t f = 0; f < flows.size(); ++f) {
                const auto& path = flows[f].first;
                if (std::find(path.begin(), path.end(), l) == path.end()) continue;
                used += rate[f];
                rising += !fixed[f];
            }
            if (rising > 0) step = std::min(step, std::max(0.0, capacities[l] - used) / rising);
        }
        if (std::all_of(fixed.begin(), fixed.end(), [](bool h) { return h; })) return rate;
        for (std::size_t f = 0; f < flows.size(); ++f)
            if (!fixed[f]) rate[f] += step;
        for (std::size_t f = 0; f < flows.size(); ++f) {
            if (fixed[f]) continue;
            if (rate[f] >= flows[f].second * (1 - 1e-12)) fixed[f] = true;
            for (const std::uint32_t l : flows[f].first) {
                double used = 0;
                for (std::size_t o = 0; o < flows.size(); ++o)
                    if (std::find(flows[o].first.begin(), flows[o].first.end(), l) != flows[o].first.end())
                        used += rate[o];
                if (used >= capacities[l] * (1 - 1e-12)) fixed[f] = true;
            }
        }
    }
}

TEST(FairShare, MatchesProgressiveFillingAfterRandomChanges) {
    std::mt19937 chance(7);
    for (int round = 0; round < 150; ++round) {
        FairShare share;
        std::vector<double> capacities;
        const int links = 1 + static_cast<int>(chance() % 8);
        for (int l = 0; l < links; ++l) {
            capacities.push_back(static_cast<double>(chance() % 100));
            share.addLink(capacities.back());
        }
        std::vector<std::pair<std::vector<std::uint32_t>, double>> flows;
        std::vector<BundleNo> bundles;
        for (int step = 0; step < 40; ++step) {
            const auto operation = chance() % 10;
            if (operation < 6 || flows.empty()) {
                std::vector<std::uint32_t> path;
                for (std::uint32_t l = 0; l < static_cast<std::uint32_t>(links) && path.size() < 3; ++l)
                    if (chance() % 3 == 0) path.push_back(l);
                const double cap = 1 + static_cast<double>(chance() % 6) * 4;
                std::vector<LinkNo> named;
                for (const std::uint32_t l : path) named.push_back({l});
                std::shuffle(named.begin(), named.end(), chance);
                bundles.push_back(share.join(named, cap));
                flows.emplace_back(path, cap);
            } else if (operation < 9) {
                const std::size_t i = chance() % flows.size();
                share.leave(bundles[i]);
                flows.erase(flows.begin() + static_cast<std::ptrdiff_t>(i));
                bundles.erase(bundles.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                const std::size_t l = chance() % capacities.size();
                capacities[l] = static_cast<double>(chance() % 100);
                share.setCapacity({static_cast<std::uint32_t>(l)}, capacities[l]);
            }
            if (chance() % 2) continue;  // sometimes several changes at once
            share.settle();
            const std::vector<double> plain = progressiveFilling(capacities, flows);
            for (std::size_t f = 0; f < flows.size(); ++f)
                ASSERT_NEAR(share.rate(bundles[f]), plain[f], 1e-6) << "round " << round << ", step " << step;
            for (std::size_t l = 0; l < capacities.size(); ++l)
                ASSERT_LE(share.used({static_cast<std::uint32_t>(l)}), capacities[l] + 1e-6);
        }
    }
}

TEST(FairShare, ChangeRecomputesOnlyAffectedLinks) {
    FairShare share;
    for (int i = 0; i < 1'000; ++i) {
        const LinkNo link = share.addLink(10);
        for (int k = 0; k < 3; ++k) share.join(std::array{link}, 5 + k);
    }
    share.settle();
    const auto before = share.levelComputations();
    share.join(std::array{LinkNo{500}}, 9);
    share.settle();
    EXPECT_EQ(share.levelComputations() - before, 1u);
}

TEST(Transfers, EndAsInSimulationWithSmallSteps) {
    std::mt19937 chance(11);
    for (int round = 0; round < 30; ++round) {
        FairShare share;
        Transfers transfers(share);
        std::vector<double> capacities;
        for (int l = 0; l < 4; ++l) {
            capacities.push_back(20 + static_cast<double>(chance() % 80));
            share.addLink(capacities.back());
        }
        struct Plain {
            Transfers::Id id;
            std::vector<std::uint32_t> path;
            double cap, left;
            Micros ended = -1;
        };
        std::vector<Plain> plain;
        std::map<Transfers::Id, Micros> ended;
        constexpr Micros kStep = 1'000;
        for (Micros now = 0; now < 40 * kSecond; now += kStep) {
            for (const Transfers::Id id : transfers.takeEnded(now)) ended[id] = now;
            if (now < 3 * kSecond && chance() % 60 == 0) {
                std::vector<std::uint32_t> path{static_cast<std::uint32_t>(chance() % 2),
                                                2 + static_cast<std::uint32_t>(chance() % 2)};
                const double cap = 5 + static_cast<double>(chance() % 3) * 10;
                const double amount = 1 + static_cast<double>(chance() % 8);
                const std::array<LinkNo, 2> named{LinkNo{path[0]}, LinkNo{path[1]}};
                plain.push_back({transfers.start(now, named, cap, amount), path, cap, amount});
            }
            if (now == 2 * kSecond) {
                capacities[0] /= 3;
                transfers.setCapacity(now, {0}, capacities[0]);
            }
            std::vector<std::pair<std::vector<std::uint32_t>, double>> flows;
            std::vector<std::size_t> active;
            for (std::size_t i = 0; i < plain.size(); ++i)
                if (plain[i].ended < 0) {
                    flows.emplace_back(plain[i].path, plain[i].cap);
                    active.push_back(i);
                }
            if (flows.empty()) {
                if (now > 4 * kSecond && transfers.size() == 0) break;
                continue;
            }
            const std::vector<double> rates = progressiveFilling(capacities, flows);
            for (std::size_t k = 0; k < active.size(); ++k) {
                Plain& p = plain[active[k]];
                p.left -= rates[k] * seconds(kStep);
                if (p.left <= 0) p.ended = now + kStep;
            }
        }
        for (const Plain& p : plain) {
            ASSERT_TRUE(ended.count(p.id)) << "every transfer ends";
            EXPECT_NEAR(static_cast<double>(ended[p.id]), static_cast<double>(p.ended), 15'000)
                << "round " << round;
        }
        EXPECT_EQ(transfers.size(), 0u);
        EXPECT_EQ(share.flows(), 0u);
        EXPECT_FALSE(transfers.nextEnd());
    }
}

TEST(Transfers, CancelReturnsRemainderAndFreesShare) {
    FairShare share;
    const LinkNo link = share.addLink(10);
    Transfers t(share);
    const auto a = t.start(0, std::array{link}, 100, 20);
    const auto b = t.start(0, std::array{link}, 100, 20);
    EXPECT_NEAR(t.cancel(2 * kSecond, a), 10, 1e-6);
    EXPECT_EQ(*t.nextEnd(), 3 * kSecond);
    t.setCapacity(2'500'000, link, 0);
    EXPECT_FALSE(t.nextEnd()) << "no transfer ends over a link of capacity 0";
    t.setCapacity(9 * kSecond, link, 5);
    EXPECT_EQ(t.takeEnded(10 * kSecond), std::vector{b});
}

TEST(Arrivals, FollowRateWithinTimeRange) {
    std::knuth_b chance(3);
    const Arrivals a(50, 10 * kSecond, 110 * kSecond, 0.5, 100 * kSecond, {{40 * kSecond, 10 * kSecond, 4}});
    std::map<Micros, int> perTen;
    int all = 0;
    for (auto t = a.next(0, chance); t; t = a.next(*t, chance)) {
        ASSERT_GE(*t, 10 * kSecond);
        ASSERT_LT(*t, 110 * kSecond);
        EXPECT_LE(a.rateAt(*t), a.maxRate());
        ++perTen[*t / (10 * kSecond)];
        ++all;
    }
    EXPECT_NEAR(all, 50 * 100 + 50 * 4 * 10 / 2, 300);
    EXPECT_GT(perTen[4], perTen[3] * 2) << "flash crowd";
    EXPECT_GT(perTen[6], perTen[1]) << "rate swing";
    EXPECT_FALSE(Arrivals(0, 0, kSecond, 0, kSecond, {}).next(0, chance));
}

TEST(Zipf, HotShareIsAddedToFirstRank) {
    const Zipf plain(10, 1, 0), hot(10, 1, 0.5);
    EXPECT_NEAR(plain.probability(0) / plain.probability(1), 2, 1e-9);
    EXPECT_NEAR(hot.probability(0), 0.5 + 0.5 * plain.probability(0), 1e-9);
    std::knuth_b chance(1);
    std::vector<int> seen(10, 0);
    for (int i = 0; i < 20'000; ++i) ++seen[hot.draw(chance)];
    EXPECT_NEAR(seen[0] / 20'000.0, hot.probability(0), 0.02);
}

TEST(Patience, HalfGiveUpAtHalfTimeAndStallsCount) {
    std::knuth_b chance(2);
    int givenUp = 0;
    for (int i = 0; i < 4'000; ++i) {
        const Patience p(4 * kSecond, 2, -std::log(1 - unit(chance)));
        givenUp += p.hasGivenUp(4 * kSecond, 0);
        EXPECT_EQ(p.hasGivenUp(4 * kSecond, 0), p.hasGivenUp(2 * kSecond, kSecond));
        const Micros remaining = p.remaining(kSecond, 0);
        EXPECT_TRUE(p.hasGivenUp(kSecond + remaining + 2, 0) || remaining > 900 * kSecond);
        if (remaining > 2) {
            EXPECT_FALSE(p.hasGivenUp(kSecond + remaining - 2, 0));
        }
    }
    EXPECT_NEAR(givenUp, 2'000, 120);
}

TEST(Playout, StartsStallsAndRestarts) {
    Playout p(2 * kSecond, 6 * kSecond);
    p.addSegment(kSecond, kSecond);
    EXPECT_FALSE(p.startedAt());
    p.addSegment(2 * kSecond, kSecond);
    EXPECT_EQ(p.startedAt(), 2 * kSecond);
    EXPECT_EQ(p.buffered(3 * kSecond), kSecond);
    EXPECT_EQ(p.stalled(6 * kSecond), 2 * kSecond) << "the buffer ran empty at 4 s";
    EXPECT_EQ(p.stalls(), 1u);
    p.addSegment(7 * kSecond, kSecond);
    EXPECT_EQ(p.stalled(8 * kSecond), 4 * kSecond) << "one second of media is below the restart threshold";
    p.addSegment(8 * kSecond, kSecond);
    EXPECT_EQ(p.stalled(9 * kSecond), 4 * kSecond);
    for (int i = 0; i < 4; ++i) p.addSegment(9 * kSecond, kSecond);
    EXPECT_EQ(p.timeUntilRoom(9 * kSecond, kSecond), 0);
    p.addSegment(9 * kSecond, kSecond);
    EXPECT_EQ(p.timeUntilRoom(9 * kSecond, 2 * kSecond), 2 * kSecond);
}

TEST(Abr, FollowsThroughputAndKeepsRungWithFullBuffer) {
    Abr abr({5, 14, 26, 40});
    EXPECT_EQ(abr.chooseRung(0, 8 * kSecond, 2), 2) << "nothing measured: keeps the current rung";
    for (int i = 0; i < 10; ++i) abr.addMeasurement(20, kSecond);
    EXPECT_EQ(abr.chooseRung(4 * kSecond, 8 * kSecond, 1), 1);
    EXPECT_EQ(abr.chooseRung(4 * kSecond, 8 * kSecond, 3), 1);
    EXPECT_EQ(abr.chooseRung(7 * kSecond, 8 * kSecond, 2), 2) << "a full buffer prevents a step down";
    for (int i = 0; i < 10; ++i) abr.addMeasurement(60, kSecond);
    EXPECT_EQ(abr.chooseRung(4 * kSecond, 8 * kSecond, 0), 1) << "one step at a time";
}

TEST(RetryBehavior, ImmediateByRetryAfterOrByOwnDelay) {
    EXPECT_FALSE(retryDelay({0, 1, true, false}, 0, std::nullopt, 0));
    EXPECT_EQ(retryDelay({1, 500, true, false}, 0, 7'000, 0), 7'000);
    EXPECT_EQ(retryDelay({1, 500, false, false}, 0, 7'000, 0), 500);
    EXPECT_EQ(retryDelay({1, 500, true, true}, 0, 7'000, 0), 0);
    EXPECT_FALSE(retryDelay({1, 500, true, true}, 1, 7'000, 0));
}

}  // namespace
}  // namespace valekeel
