// The module without the bench.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "logic_fixture.hpp"

namespace valekeel {
namespace {

TEST(Joins, APaidOneThatTimedOutIsTerminatedNotRepeated) {
    Rig rig(Site{.paid = true});
    rig.subscribe(1);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 1u);
    rig.end(1, JoinResult::TimedOut);
    rig.run(kSecond);
    EXPECT_EQ(rig.joins.size(), 1u);
    EXPECT_EQ(rig.terminated.count(SubId{1}), 1u);
    EXPECT_EQ(rig.throttled.count(SubId{1}), 0u);
}

TEST(Joins, ATurnedAwayPaidOneGoesElsewhere) {
    Rig rig(Site{.paid = true});
    rig.subscribe(1);
    rig.run(kSecond / 10);
    const SfuId first = rig.joins.at(0).at;
    rig.end(1, JoinResult::Full);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 2u);
    EXPECT_NE(rig.joins[1].at, first);
}

// What is told for the record is what is done: the same box, just before each join, among those that it may.
TEST(Joins, WhatDecidedEachIsTold) {
    Rig rig(Site{.sfus = 3});
    for (unsigned id = 1; id <= 5; ++id) rig.subscribe(id);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.choices.size(), rig.joins.size());
    for (std::size_t i = 0; i < rig.joins.size(); ++i) {
        EXPECT_EQ(rig.choices[i].at, rig.joins[i].at);
        EXPECT_TRUE(rig.choices[i].fits);
        EXPECT_EQ(rig.choices[i].among, 3);
    }
}

TEST(List, IsAskedForAgainWhereItMustBeAndFailed) {
    Rig rig(Site{.listOnRequest = true});
    EXPECT_EQ(rig.follows, 1);
    rig.logic->onServerListFailure(rig.now);
    rig.run(2 * kSecond);
    EXPECT_EQ(rig.follows, 2);
    EXPECT_EQ(Rig(Site{}).follows, 0);
}

// A rack that nobody joins is never told of; a guess of "full" would keep it idle for good (incident
// i133630).
TEST(Room, AnUntoldLinkIsTriedWhileTheToldOnesAreCrowded) {
    Rig rig(Site{.sfus = 4, .fronts = 1});
    rig.subscribe(1);
    rig.run(kSecond);
    rig.play(1);
    const SfuId told = rig.last(1).at;
    rig.run(2 * kSecond);
    rig.logic->onLinkUse(rig.now, SubId{1}, told, 1.5);
    rig.run(kSecond / 2);
    rig.subscribe(2);
    rig.run(kSecond / 10);
    EXPECT_NE(rig.last(2).at, told);
    EXPECT_TRUE(rig.throttled.empty());
}

// On a crowded rack every link looked alike and the first id got everything (incident ie12cff).
TEST(Room, OnACrowdedRackTheEmptierLinkIsTaken) {
    Rig rig(Site{.sfus = 4, .fronts = 1});
    for (int other : {1, 3})
        rig.logic->onServerListChange(rig.now, std::vector{Rig::entry(other, ServerState::Draining)});
    rig.logic->onUplinkUse(rig.now, SubId{0}, SfuId{100}, 0.97);
    rig.logic->onLinkUse(rig.now, SubId{0}, SfuId{100}, 0.85);
    rig.logic->onLinkUse(rig.now, SubId{0}, SfuId{102}, 0.1);
    rig.run(kSecond / 2);
    rig.subscribe(1);
    rig.run(kSecond / 10);
    EXPECT_EQ(rig.last(1).at, SfuId{102});
}

// One weak link must not narrow a rack: the others behind the uplink are well (hunted slow days of
// pakad-rennes).
TEST(Room, OneWeakLinkDoesNotCondemnItsRack) {
    Rig rig(Site{.sfus = 6, .fronts = 1});
    for (unsigned i = 1; i <= 18; ++i) {
        for (unsigned n = 0; n < 6; ++n)
            rig.logic->onLinkUse(rig.now, SubId{0}, SfuId{100 + n}, n == i % 6 ? 0.2 : 0.7);
        rig.subscribe(i);
        rig.run(kSecond + kSecond / 2);  // past the age of the figures
        rig.play(i);
    }
    const SfuId weak = rig.last(1).at;
    const auto before = rig.rungs;
    for (int n = 0; n < 3; ++n) {
        rig.run(kSecond);
        for (unsigned i = 0; i < 6; ++i) rig.logic->onLinkUse(rig.now, SubId{0}, SfuId{100 + i}, 0.7);
        rig.logic->onShareDelivered(rig.now, SubId{1}, weak, 0.4);
        rig.logic->onLinkUse(rig.now, SubId{1}, weak, 0.7);
    }
    for (const auto& [id, rung] : before)
        EXPECT_TRUE(rig.rungs[id] >= rung || rig.last(id.v).at == weak)
            << "stepped down beside the weak link";
}

// A silent media server gets no second join after the first went unanswered for long.
TEST(Health, SilenceCountsBeforeTheTimeOut) {
    Rig rig(Site{.sfus = 2, .fronts = 1, .paid = true});
    rig.subscribe(1, 5 * kSecond);
    rig.run(kSecond / 10);
    rig.subscribe(2, 5 * kSecond);
    rig.run(kSecond / 10);
    const SfuId silent = rig.last(1).at;
    rig.run(2 * kSecond);
    for (unsigned id = 3; id < 9; ++id) {
        rig.subscribe(id, 5 * kSecond);
        rig.run(kSecond / 10);
        if (rig.last(id).at != silent) rig.play(id);
    }
    int later = 0;
    for (const Sent& s : rig.joins) later += s.at == silent && s.id.v > 2;
    EXPECT_LE(later, 1);
}

// A server that was silent for longer than a warm-up comes back cold, and the list may not say so yet.
// Guards against callers who ask for titles that no media server has: their errors set good servers aside.
TEST(Health, AnErrorOverATitleThatNeverPlayedIsTheAskersOwn) {
    Rig rig(Site{.sfus = 2});
    for (unsigned id = 1; id <= 40; ++id) {
        rig.subscribe(id, 3 * kSecond, 0, "unheard " + std::to_string(id));
        rig.run(kSecond / 10);
        for (int join = 0; join < 2; ++join) rig.end(id, JoinResult::Error);
        rig.run(kSecond / 10);
        EXPECT_EQ(rig.throttled.count(SubId{id}), 1u);  // two have said so: no third join is spent on it
    }
    EXPECT_EQ(rig.joins.size(), 80u);
    rig.subscribe(100);
    rig.run(kSecond / 10);
    EXPECT_EQ(rig.choices.back().among, 2);  // nobody is set aside
    rig.play(100);
    // Of a title that has played here an error is the media server's, and sets it aside as before.
    std::map<SfuId, int> errors;
    for (unsigned id = 101; id <= 120 && rig.choices.back().among == 2; ++id) {
        rig.subscribe(id);
        rig.run(kSecond / 10);
        rig.end(id, JoinResult::Error);
        rig.run(kSecond / 10);
        if (rig.last(id).no == 1) rig.play(id);
    }
    EXPECT_EQ(rig.choices.back().among, 1);
}

TEST(Cold, AServerThatAnswersAgainAfterBreaksIsTakenToBeCold) {
    Rig rig(Site{.sfus = 1, .fronts = 1});
    for (unsigned id = 1; id < 6; ++id) {
        rig.subscribe(id);
        rig.run(kSecond / 10);
        if (rig.count.count(SubId{id})) rig.end(id, JoinResult::NoConnection);
        rig.run(4 * kSecond);
    }
    rig.run(20 * kSecond);  // longer than the warm-up
    const std::size_t before = rig.joins.size();
    for (unsigned id = 10; id < 40; ++id) {
        rig.subscribe(id);
        rig.run(kSecond / 20);
        if (rig.count.count(SubId{id})) rig.play(id);
    }
    EXPECT_GE(rig.joins.size(), before + 1);
    EXPECT_LE(rig.joins.size(), before + 3);  // 1.5 s at 60% of 2 a second
}

// Hundreds of fronts, each with a first join free, pushed a fresh server over (incidents i846e38, iff1dfc).
// All of them want it here, over and over; summed they must keep the rules' pace in each window, the first
// included.
TEST(Cold, HundredsOfFrontsTogetherKeepThePace) {
    for (const int fronts : {2, 300}) {
        std::vector<std::unique_ptr<Rig>> all;
        std::vector<Micros> joins;
        for (int i = 0; i < fronts; ++i) {
            all.push_back(
                std::make_unique<Rig>(Site{.sfus = 1, .fronts = fronts, .seed = 17u + unsigned(i)}));
            all[std::size_t(i)]->logic->onServerListChange(
                all[0]->now, std::vector{Rig::entry(0, ServerState::On, all[0]->now)});
        }
        for (unsigned id = 1; id <= 50; ++id)
            for (auto& rig : all) {
                rig->subscribe(id);
                rig->run(kSecond / 5);
            }
        for (const auto& rig : all)
            for (const Sent& s : rig->joins) joins.push_back(s.when);
        std::sort(joins.begin(), joins.end());
        EXPECT_GE(joins.size(), 4u) << "a fresh server is starved";
        const double allowed = 2.5 * .4 * 24 / 12 * 3;  // in any 3 s, as it starts
        for (std::size_t first = 0; first < joins.size(); ++first) {
            std::size_t last = first;
            while (last + 1 < joins.size() && joins[last + 1] < joins[first] + 3 * kSecond) ++last;
            EXPECT_LE(static_cast<double>(last - first + 1), 1.5 * allowed) << fronts << " fronts";
        }
    }
}

// All fronts of a large fleet took the lowest id of those that they knew nothing of.
TEST(Room, FrontsThatKnowNothingSpreadOverTheServers) {
    std::map<SfuId, int> taken;
    for (unsigned i = 0; i < 100; ++i) {
        Rig rig(Site{.sfus = 20, .fronts = 100, .seed = i + 1});
        rig.subscribe(1);
        rig.run(kSecond / 10);
        ++taken[rig.last(1).at];
    }
    EXPECT_GE(taken.size(), 15u);
    for (const auto& [at, n] : taken) EXPECT_LE(n, 20) << at.v;
}

// Room over the number of fronts let nobody rise among hundreds; own rates over all that is asked do.
TEST(Room, ALoneSubscriptionOnAnEmptyLinkRisesHoweverManyFrontsThereAre) {
    Rig rig(Site{.sfus = 4, .fronts = 300});
    SubscriptionRequest w;
    w.title = TitleId{"t"};
    w.deadline = rig.now;
    w.holders = 4;
    w.maxRung = 2;
    rig.logic->onAdopted(rig.now, SubId{1}, w, SfuId{100});
    for (int n = 0; n < 6; ++n) {
        rig.run(7 * kSecond);
        const double rate[] = {100, 300, 900};
        rig.logic->onLinkUse(rig.now, SubId{1}, SfuId{100}, rate[rig.rungs[SubId{1}]] / 10'000);
    }
    rig.run(kSecond);
    EXPECT_EQ(rig.rungs[SubId{1}], 2);
}

// A link over by a few percent made every front that heard of it step down, the whole fleet at once.
TEST(Room, ALittleTooMuchMakesFewOfManyFrontsStepDown) {
    int drops = 0;
    for (unsigned i = 0; i < 100; ++i) {
        Rig rig(Site{.sfus = 4, .fronts = 100, .seed = i + 1});
        SubscriptionRequest w;
        w.title = TitleId{"t"};
        w.holders = 4;
        w.maxRung = 2;
        rig.logic->onAdopted(rig.now, SubId{1}, w, SfuId{100});
        rig.logic->onRungInForce(rig.now, SubId{1}, 2);
        rig.run(11 * kSecond);
        rig.logic->onLinkUse(rig.now, SubId{1}, SfuId{100}, 1.1);
        rig.run(2 * kSecond);
        drops += rig.rungs.count(SubId{1}) && rig.rungs[SubId{1}] == 1;
    }
    EXPECT_GE(drops, 5);
    EXPECT_LE(drops, 50);
}

// Answers that get lost are no restart: with most servers dropping some, viewers must still find a place.
TEST(Health, OneLostAnswerDoesNotMakeAServerCountAsCold) {
    Rig rig(Site{.sfus = 1, .fronts = 300});
    rig.subscribe(1);
    rig.run(kSecond / 10);
    rig.end(1, JoinResult::Reset);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 2u) << "tried again at once, with no cold pace";
}

// ---- another shape of deployment: no figures come, live streams are shared, zones have a price ----

// Fronts share nothing, and each has one viewer; with streams shared they must meet all the same.
TEST(Shared, HundredsOfFrontsBringTheViewersOfALiveTitleTogether) {
    std::set<SfuId> live, recorded;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        Rig rig(Site{.sfus = 40, .fronts = 100, .every = 0, .seed = seed, .sharedRateFraction = .3});
        rig.subscribe(1);
        rig.subscribe(2, 3 * kSecond, 1);
        rig.run(kSecond / 10);
        ASSERT_EQ(rig.joins.size(), 2u);
        for (const Sent& sent : rig.joins) (sent.id == SubId{1} ? live : recorded).insert(sent.at);
    }
    EXPECT_LE(live.size(), 6u) << "15 of 100 holders";
    EXPECT_GE(recorded.size(), 25u) << "what is not shared is spread";
}

TEST(Shared, AnotherTitleGathersElsewhereAndADrainingServerIsLeftOut) {
    std::set<SfuId> a, b;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        Rig rig(Site{.sfus = 40, .fronts = 100, .every = 0, .seed = seed, .sharedRateFraction = .3});
        rig.subscribe(1, 3 * kSecond, 0, "one");
        rig.subscribe(2, 3 * kSecond, 0, "two");
        rig.run(kSecond / 10);
        a.insert(rig.last(1).at);
        b.insert(rig.last(2).at);
    }
    EXPECT_NE(a, b);
    Rig rig(Site{.sfus = 40, .fronts = 100, .every = 0, .sharedRateFraction = .3});
    std::vector<SfuEntry> fading;
    for (const SfuId id : a)
        fading.push_back(Rig::entry(static_cast<int>(id.v - 100), ServerState::Draining));
    rig.logic->onServerListChange(rig.now, fading);
    rig.subscribe(1, 3 * kSecond, 0, "one");
    rig.run(kSecond / 10);
    EXPECT_FALSE(a.contains(rig.last(1).at));
}

// One alone that steps down leaves the stream for one of its own, and frees nothing.
TEST(Shared, NoneStepsDownOutOfAStreamThatOthersShare) {
    int shared = 0, alone = 0;
    for (unsigned seed = 1; seed <= 30; ++seed)
        for (const double part : {.3, 1.}) {
            Rig rig(Site{.sfus = 1, .fronts = 50, .every = 0, .seed = seed, .sharedRateFraction = part});
            rig.subscribe(1);
            rig.run(kSecond / 10);
            rig.play(1);
            rig.logic->onRungInForce(rig.now, SubId{1}, 2);
            rig.rungs[SubId{1}] = 2;
            rig.run(10 * kSecond);
            rig.logic->onShareDelivered(rig.now, SubId{1}, rig.last(1).at, .7);
            rig.run(kSecond);
            (part < 1 ? shared : alone) += rig.rungs[SubId{1}] < 2;
        }
    EXPECT_EQ(shared, 0);
    EXPECT_GT(alone, 5);
}

TEST(Untold, QuietStandsInForAFigureAndRungsRiseAgain) {
    int soon = 0, later = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Rig rig(Site{.sfus = 2, .fronts = 1, .every = 0, .seed = seed});
        for (unsigned id = 1; id <= 8; ++id) {
            rig.subscribe(id);
            rig.run(kSecond / 10);
            rig.play(id);
            rig.logic->onRungInForce(rig.now, SubId{id}, 0);
            rig.rungs[SubId{id}] = 0;
        }
        const auto risen = [&] {
            int n = 0;
            for (const auto& [id, rung] : rig.rungs) n += rung > 0;
            return n;
        };
        rig.run(12 * kSecond);
        soon += risen();
        rig.run(40 * kSecond);
        later += risen();
    }
    EXPECT_EQ(soon, 0) << "it has not been quiet for long enough";
    EXPECT_GT(later, 10);
}

// Without figures all fronts guess alike: a guess must not make one rack everybody's first choice.
TEST(Untold, ManyFrontsSpreadOverTheRacks) {
    int odd = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        Rig rig(Site{.sfus = 21, .fronts = 200, .every = 0, .seed = seed});
        rig.subscribe(1);
        rig.run(kSecond / 10);
        odd += rig.last(1).at.v % 2;
    }
    EXPECT_GT(odd, 60);
    EXPECT_LT(odd, 140);
}

TEST(Untold, OneThatTurnsAwayAsFullIsNotTheNextOnesFirstChoice) {
    int again = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        Rig rig(Site{.sfus = 3, .fronts = 50, .every = 0, .seed = seed, .fullThreshold = 1});
        rig.subscribe(1);
        rig.run(kSecond / 10);
        const SfuId first = rig.last(1).at;
        rig.end(1, JoinResult::Full);
        rig.run(1'500'000);
        rig.subscribe(2);
        rig.run(kSecond / 10);
        again += rig.last(2).at == first;
    }
    EXPECT_LE(again, 2);
}

// One short server beside one that is well, with no figure of either: the link is the likelier cause, and
// what plays on the other must not pay for a step down.
TEST(Untold, OneShortServerDoesNotBringDownItsNeighbourInTheRack) {
    int there = 0, neighbour = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        Rig rig(Site{.sfus = 4, .fronts = 50, .every = 0, .seed = seed});
        std::map<SfuId, unsigned> at;
        for (unsigned id = 1; id < 40 && at.size() < 4; ++id) {
            rig.subscribe(id, 3 * kSecond, 1);
            rig.run(kSecond / 20);
            rig.play(id);
            if (!at.emplace(rig.last(id).at, id).second) rig.end(id, JoinResult::Played, true);
        }
        ASSERT_EQ(at.size(), 4u);
        for (const auto& [sfu, id] : at) {
            rig.logic->onRungInForce(rig.now, SubId{id}, 2);
            rig.rungs[SubId{id}] = 2;
        }
        rig.run(2 * kSecond);
        for (int second = 0; second < 3; ++second) {
            rig.logic->onShareDelivered(rig.now, SubId{at[SfuId{102}]}, SfuId{102}, .7);
            rig.run(kSecond);
        }
        there += rig.rungs[SubId{at[SfuId{102}]}] < 2;
        neighbour += rig.rungs[SubId{at[SfuId{100}]}] < 2;
    }
    EXPECT_GT(there, 10);
    EXPECT_EQ(neighbour, 0);
}

// Given up on is answered at once: no request is held so that its viewer can't ask again.
TEST(Untold, WhatNobodyCanServeIsAnsweredLongBeforeItsClientTimeout) {
    Rig rig(Site{.sfus = 2, .every = 0});
    rig.logic->onServerListChange(
        rig.now, std::vector{Rig::entry(0, ServerState::Off), Rig::entry(1, ServerState::Draining)});
    rig.subscribe(1);
    rig.run(50'000);
    EXPECT_EQ(rig.throttled.count(SubId{1}), 1u);
}

TEST(Zones, AServerAcrossIsTakenOnlyWhereItsRoomIsWorthThePrice) {
    int across = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Rig rig(Site{.sfus = 8, .fronts = 20, .seed = seed, .crossZone = .04});
        rig.subscribe(1);
        rig.run(kSecond / 10);
        across += rig.last(1).at.v % 2;
    }
    EXPECT_EQ(across, 0);
    Rig rig(Site{.sfus = 8, .fronts = 20, .crossZone = .04});
    std::vector<SfuEntry> gone;
    for (int i = 0; i < 8; i += 2) gone.push_back(Rig::entry(i, ServerState::Off));
    rig.logic->onServerListChange(rig.now, gone);
    rig.subscribe(1);
    rig.run(kSecond / 10);
    EXPECT_EQ(rig.last(1).at.v % 2, 1u) << "better served across than not at all";
}

// What is handed on to a next life: evidence and told links, of the same process only.
TEST(Recall, AFailingServerStaysSetAsideAndARestartedOneDoesNot) {
    Rig first(Site{.sfus = 2, .fronts = 1});
    const auto evidence = [&] {
        for (const ServerEvidence& l : first.logic->serverEvidence(first.now))
            if (l.id == SfuId{100}) return l.evidence;
        return 0.0;
    };
    for (unsigned id = 1; evidence() < 4; ++id) {
        ASSERT_LT(id, 60u);
        first.subscribe(id);
        first.run(kSecond / 10);
        if (first.last(id).at == SfuId{100}) first.end(id, JoinResult::Error);
        first.play(id);
    }
    const auto learnt = first.logic->serverEvidence(first.now);
    for (const bool restarted : {false, true}) {
        int there = 0;
        for (unsigned seed = 1; seed <= 20; ++seed) {
            Rig next(Site{.sfus = 2, .fronts = 1, .seed = seed});
            next.logic->restoreServerEvidence(next.now, learnt);
            if (restarted)
                next.logic->onServerListChange(next.now, std::vector{Rig::entry(0, ServerState::On, 1)});
            next.subscribe(1);
            next.run(kSecond / 10);
            there += next.last(1).at == SfuId{100};
        }
        if (restarted) {
            EXPECT_GT(there, 3);
        } else {
            EXPECT_EQ(there, 0);
        }
    }
    Rig other(Site{.sfus = 2});
    other.logic->restoreServerEvidence(
        other.now, std::vector<ServerEvidence>{{SfuId{999}, 6, 3, 0}});  // of a box that is not listed
    other.subscribe(1);
    other.run(kSecond / 10);
    EXPECT_EQ(other.joins.size(), 1u);
}

}  // namespace
}  // namespace valekeel
