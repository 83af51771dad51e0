// The module without the bench.
#include <gtest/gtest.h>

#include <algorithm>

#include "rig.hpp"

namespace valekeel {
namespace {

TEST(Joins, APaidOneThatTimedOutIsTerminatedNotRepeated) {
    Rig rig(Site{.paid = true});
    rig.subscribe(1);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 1u);
    rig.end(1, JoinEnd::TimedOut);
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
    rig.end(1, JoinEnd::Full);
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
    Rig rig(Site{.listAsked = true});
    EXPECT_EQ(rig.follows, 1);
    rig.logic->listFailed(rig.now);
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
    rig.logic->linkUse(rig.now, SubId{1}, told, 1.5);
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
        rig.logic->listChanged(rig.now, std::vector{Rig::entry(other, Standing::Fading)});
    rig.logic->uplinkUse(rig.now, SubId{0}, SfuId{100}, 0.97);
    rig.logic->linkUse(rig.now, SubId{0}, SfuId{100}, 0.85);
    rig.logic->linkUse(rig.now, SubId{0}, SfuId{102}, 0.1);
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
            rig.logic->linkUse(rig.now, SubId{0}, SfuId{100 + n}, n == i % 6 ? 0.2 : 0.7);
        rig.subscribe(i);
        rig.run(kSecond + kSecond / 2);  // past the age of the figures
        rig.play(i);
    }
    const SfuId weak = rig.last(1).at;
    const auto before = rig.rungs;
    for (int n = 0; n < 3; ++n) {
        rig.run(kSecond);
        for (unsigned i = 0; i < 6; ++i) rig.logic->linkUse(rig.now, SubId{0}, SfuId{100 + i}, 0.7);
        rig.logic->shareDelivered(rig.now, SubId{1}, weak, 0.4);
        rig.logic->linkUse(rig.now, SubId{1}, weak, 0.7);
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
TEST(Cold, AServerThatAnswersAgainAfterBreaksIsTakenToBeCold) {
    Rig rig(Site{.sfus = 1, .fronts = 1});
    for (unsigned id = 1; id < 6; ++id) {
        rig.subscribe(id);
        rig.run(kSecond / 10);
        if (rig.count.count(SubId{id})) rig.end(id, JoinEnd::NoConnection);
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
            all[std::size_t(i)]->logic->listChanged(all[0]->now,
                                                    std::vector{Rig::entry(0, Standing::On, all[0]->now)});
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
    Wish w;
    w.title = TitleId{"t"};
    w.giveUpAt = rig.now;
    w.holders = 4;
    w.maxRung = 2;
    rig.logic->handedOver(rig.now, SubId{1}, w, SfuId{100});
    for (int n = 0; n < 6; ++n) {
        rig.run(7 * kSecond);
        const double rate[] = {100, 300, 900};
        rig.logic->linkUse(rig.now, SubId{1}, SfuId{100}, rate[rig.rungs[SubId{1}]] / 10'000);
    }
    rig.run(kSecond);
    EXPECT_EQ(rig.rungs[SubId{1}], 2);
}

// A link over by a few percent made every front that heard of it step down, the whole fleet at once.
TEST(Room, ALittleTooMuchMakesFewOfManyFrontsStepDown) {
    int drops = 0;
    for (unsigned i = 0; i < 100; ++i) {
        Rig rig(Site{.sfus = 4, .fronts = 100, .seed = i + 1});
        Wish w;
        w.title = TitleId{"t"};
        w.holders = 4;
        w.maxRung = 2;
        rig.logic->handedOver(rig.now, SubId{1}, w, SfuId{100});
        rig.logic->rungInForce(rig.now, SubId{1}, 2);
        rig.run(11 * kSecond);
        rig.logic->linkUse(rig.now, SubId{1}, SfuId{100}, 1.1);
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
    rig.end(1, JoinEnd::Reset);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 2u) << "tried again at once, with no cold pace";
}

}  // namespace
}  // namespace valekeel
