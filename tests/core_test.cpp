#include "core/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "manual_net.hpp"

namespace valekeel {
namespace {

// Decides by a script, and may be as bad as a test needs.
struct Scripted : core::DecisionModule {
    Host& host;
    std::function<void(Scripted&, SubId)> onAsk = [](Scripted&, SubId) {};
    std::vector<std::string> heard;
    explicit Scripted(Host& h) : host(h) {}
    void note(std::string s) { heard.push_back(std::move(s)); }
    void onServerList(Micros, std::span<const SfuEntry>, bool) override { note("listed"); }
    void onServerListChange(Micros, std::span<const SfuEntry>) override { note("changed"); }
    void onServerListFailure(Micros) override { note("failed"); }
    void onSubscribe(Micros, SubId id, const SubscriptionRequest&) override {
        note("subscribe");
        onAsk(*this, id);
    }
    void onPlaying(Micros, SubId, int, SfuId, Micros) override { note("playing"); }
    void onJoinEnded(Micros, SubId, int, SfuId, JoinResult end, bool over, Micros,
                     const LoadReport&) override {
        note("ended " + std::to_string(static_cast<int>(end)) + (over ? " over" : ""));
    }
    void onViewerLeft(Micros, SubId) override { note("left"); }
    void onShareDelivered(Micros, SubId, SfuId, double) override { note("share"); }
    void onRungInForce(Micros, SubId, int rung) override { note("rung " + std::to_string(rung)); }
    void onLinkUse(Micros, SubId, SfuId, double) override { note("link"); }
    void onUplinkUse(Micros, SubId, SfuId, double) override { note("uplink"); }
    void onWake(Micros, const std::string& why) override { note("woken " + why); }
};

struct Rig : core::SubscriptionHandler, core::JoinSender, core::CoreObserver {
    ManualNet net;
    Scripted* decides = nullptr;
    std::unique_ptr<core::Core> core;
    std::vector<std::string> said, sent;
    int guards = 0;
    bool hangUpAtOnce = false, unsent = false;
    explicit Rig(core::CoreLimits limits = {}) {
        RoomType paid{"paid", 500'000, 3, true, false, true, 0, 1, 0, 0, 0},
            open{"open", 500'000, 1, false, false, true, 0, 1, 0, 0, 0};
        core = std::make_unique<core::Core>(net, std::vector<RoomType>{paid, open}, limits, kSecond, *this,
                                            *this, [&](Host& host, Micros) {
                                                auto d = std::make_unique<Scripted>(host);
                                                decides = d.get();
                                                return d;
                                            });
    }
    SubId ask(std::uint32_t room = 1) {
        SubscriptionRequest w;
        w.room = RoomTypeId{room};
        const SubId id = *core->subscribe(*this, w, 3 * kSecond);
        core->start(id);
        return id;
    }
    void onPlaying(SubId id, SfuId, int rung) override {
        said.push_back("plays " + std::to_string(rung));
        if (hangUpAtOnce) core->unsubscribe(id);
    }
    std::function<void()> whenThrottled = [] {};
    void onThrottled(SubId id, Micros) override {
        said.push_back("throttled");
        whenThrottled();
        if (hangUpAtOnce) core->unsubscribe(id);
    }
    void onTerminated(SubId, core::TerminationReason) override { said.push_back("terminated"); }
    void onRungChanged(SubId, int rung) override { said.push_back("rung " + std::to_string(rung)); }
    void onServerLost(SubId) override { said.push_back("broke"); }
    void join(SubId, int no, SfuId at, int, Micros, bool) override {
        sent.push_back("join " + std::to_string(no) + " at " + std::to_string(at.v));
    }
    void cancel(SubId id, int no) override {
        sent.push_back("cancel");
        core->onJoinOutcome(id, no, {JoinResult::Cancelled, false, 0, {}, "cancelled"});
    }
    void withdraw(SubId id, int no) override {
        sent.push_back("withdraw");
        if (unsent) core->onJoinOutcome(id, no, {JoinResult::Cancelled, true, 0, {}, "withdrawn"});
    }
    void release(SubId, SfuId) override { sent.push_back("release"); }
    void followList() override { sent.push_back("follow"); }
    void onGuardTriggered(SubId) override { ++guards; }
    int count(const std::vector<std::string>& in, const std::string& what) const {
        return static_cast<int>(std::count(in.begin(), in.end(), what));
    }
};

TEST(Core, OnePlaysAndIsToldEachThingOnce) {
    Rig rig;
    rig.decides->onAsk = [](Scripted& d, SubId id) {
        d.host.setRung(id, 2);
        d.host.join(id, SfuId{7}, kSecond);
    };
    const SubId id = rig.ask();
    EXPECT_EQ(rig.sent, (std::vector<std::string>{"join 0 at 7"}));
    rig.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 50'000, {0.5, {}}, "played"});
    rig.core->onJoinOutcome(id, 0,
                            {JoinResult::Played, false, 50'000, {}, "played"});  // told twice: heard once
    EXPECT_EQ(rig.said, (std::vector<std::string>{"plays 2"}));
    EXPECT_EQ(rig.count(rig.decides->heard, "playing"), 1);
    EXPECT_EQ(rig.count(rig.decides->heard, "link"), 1);
    rig.decides->host.setRung(id, 1);
    EXPECT_EQ(rig.said.back(), "rung 1");
    rig.core->onRungFetched(id, 2);  // an old one
    rig.core->onRungFetched(id, 1);
    EXPECT_EQ(rig.decides->heard.back(), "rung 1");
    rig.core->unsubscribe(id);
    rig.core->unsubscribe(id);
    EXPECT_EQ(rig.count(rig.decides->heard, "ended 0 over"), 1);
    EXPECT_EQ(rig.count(rig.sent, "release"), 1);
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

// Whatever a module does wrong, a viewer gets one answer, in time, and one join is out.
TEST(Core, AModuleThatAnswersTwiceIsHeardOnce) {
    Rig rig;
    rig.decides->onAsk = [](Scripted& d, SubId id) {
        d.host.throttle(id, 0);
        d.host.throttle(id, 0);
        d.host.terminate(id);
        d.host.join(id, SfuId{1}, kSecond);
    };
    rig.ask();
    EXPECT_EQ(rig.said, (std::vector<std::string>{"throttled"}));
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

TEST(Core, AModuleThatNeverAnswersIsGuardedBeforeTheClientTimeout) {
    Rig rig;
    rig.ask();
    rig.net.advance(3 * kSecond - 61'000);
    EXPECT_TRUE(rig.said.empty());
    rig.net.advance(61'000);
    EXPECT_EQ(rig.said, (std::vector<std::string>{"terminated"}));
    EXPECT_EQ(rig.guards, 1);
    EXPECT_EQ(rig.core->unansweredCount(), 0u);
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

TEST(Core, TwoJoinsAreNeverOutAtOnce) {
    Rig rig;
    rig.decides->onAsk = [](Scripted& d, SubId id) {
        d.host.join(id, SfuId{1}, kSecond);
        d.host.join(id, SfuId{2}, kSecond);
    };
    rig.ask();
    EXPECT_EQ(rig.sent, (std::vector<std::string>{"join 0 at 1"}));
}

TEST(Core, AFreeJoinOfAViewerWhoLeftIsCalledOffAPaidOneRunsToItsEnd) {
    Rig rig;
    rig.decides->onAsk = [](Scripted& d, SubId id) { d.host.join(id, SfuId{1}, kSecond); };
    rig.core->unsubscribe(rig.ask(1));
    EXPECT_EQ(rig.count(rig.sent, "cancel"), 1);
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
    const SubId paid = rig.ask(0);
    rig.core->unsubscribe(paid);
    EXPECT_EQ(rig.count(rig.sent, "cancel"), 1);
    EXPECT_EQ(rig.core->subscriptionCount(), 1u);
    const int releases = rig.count(rig.sent, "release");
    rig.core->onJoinOutcome(paid, 0, {JoinResult::Played, false, 1, {}, "played"});
    EXPECT_EQ(rig.count(rig.sent, "release"), releases + 1) << "its place is given back";
    EXPECT_EQ(rig.said.size(), 0u) << "nobody is told";
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

// Guards against a set-up that lies somewhere for a connection and goes out when its viewer has long gone.
TEST(Core, APaidJoinThatHasNotLeftYetIsWithdrawnWithItsViewer) {
    Rig rig;
    rig.unsent = true;
    rig.decides->onAsk = [](Scripted& d, SubId id) { d.host.join(id, SfuId{1}, kSecond); };
    rig.core->unsubscribe(rig.ask(0));
    EXPECT_EQ(rig.count(rig.sent, "withdraw"), 1);
    EXPECT_EQ(rig.count(rig.sent, "release"), 0) << "it never ran";
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

TEST(Core, AJoinDecidedForAViewerWhoIsGoneBeforeItIsSentIsNotSent) {
    Rig rig;
    const SubId first = rig.ask();
    rig.decides->onAsk = [&](Scripted& d, SubId id) {
        rig.whenThrottled = [&rig, id] {
            rig.core->unsubscribe(id);
        };  // one connection, closed at the refusal
        d.host.throttle(first, 0);
        d.host.join(id, SfuId{1}, kSecond);
    };
    rig.ask();
    EXPECT_EQ(rig.count(rig.sent, "join 0 at 1"), 0);
    EXPECT_EQ(rig.count(rig.decides->heard, "ended 7 over"), 1) << "the module hears that it never left";
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

// What is kept of a media server goes with it, also where only a whole list shows that it is gone.
TEST(Core, FiguresOfAServerThatAWholeListLeavesOutAreForgotten) {
    Rig rig;
    const SubId id = rig.ask();
    SfuEntry seven;
    seven.id = SfuId{7};
    rig.core->onServerList(std::span(&seven, 1), false);
    rig.core->onLoadReport(id, seven.id, 0.5, {});
    rig.core->onLoadReport(id, seven.id, 0.5, {});  // no more often than each second
    EXPECT_EQ(rig.count(rig.decides->heard, "link"), 1);
    rig.core->onServerList({}, false);
    rig.core->onServerList(std::span(&seven, 1), false);
    rig.core->onLoadReport(id, seven.id, 0.5, {});
    EXPECT_EQ(rig.count(rig.decides->heard, "link"), 2);
}

TEST(Core, AFaceThatHangsUpWithinItsAnswerIsNoTrouble) {
    Rig rig;
    rig.hangUpAtOnce = true;
    rig.decides->onAsk = [](Scripted& d, SubId id) { d.host.join(id, SfuId{1}, kSecond); };
    const SubId id = rig.ask();
    rig.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 1, {}, "played"});
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
    EXPECT_EQ(rig.count(rig.decides->heard, "ended 0 over"), 1);
    rig.decides->onAsk = [](Scripted& d, SubId i) { d.host.throttle(i, 0); };
    rig.ask();
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

TEST(Core, TheModuleHearsOfNothingBeforeTheFaceIsReady) {
    Rig rig;
    rig.decides->onAsk = [](Scripted& d, SubId id) { d.host.throttle(id, 0); };
    SubscriptionRequest w;
    w.room = RoomTypeId{1};
    const auto id = rig.core->subscribe(rig, w, kSecond);
    EXPECT_TRUE(rig.said.empty() && rig.decides->heard.empty());
    rig.core->start(*id);
    rig.core->start(*id);
    EXPECT_EQ(rig.said.size(), 1u);
    EXPECT_EQ(rig.decides->heard.size(), 1u);
}

TEST(Core, ABreakEndsWhatPlaysAndIsToldOnce) {
    Rig rig;
    rig.decides->onAsk = [](Scripted& d, SubId id) { d.host.join(id, SfuId{1}, kSecond); };
    const SubId id = rig.ask();
    rig.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 1, {}, "played"});
    rig.core->onPlaybackEnded(id, JoinResult::Reset);
    rig.core->onPlaybackEnded(id, JoinResult::Reset);
    EXPECT_EQ(rig.count(rig.said, "broke"), 1);
    EXPECT_EQ(rig.count(rig.decides->heard, "ended 5 over"), 1);
    EXPECT_EQ(rig.core->subscriptionCount(), 0u);
}

TEST(Core, HoldsNoMoreThanItsBound) {
    core::CoreLimits limits;
    limits.subs = 2;
    Rig rig(limits);
    rig.ask();
    rig.ask();
    SubscriptionRequest w;
    w.room = RoomTypeId{1};
    EXPECT_FALSE(rig.core->subscribe(rig, w, kSecond));
    EXPECT_EQ(rig.core->counts().refusedFull, 1u);
}

TEST(Core, FiguresOfABoxArePassedOnAtTheStatedPace) {
    Rig rig;
    for (int i = 0; i < 10; ++i) {
        rig.core->onLoadReport(SubId{1}, SfuId{3}, 0.5, 0.4);
        rig.net.advance(200'000);
    }
    EXPECT_EQ(rig.count(rig.decides->heard, "link"), 2);
    EXPECT_EQ(rig.count(rig.decides->heard, "uplink"), 2);
}

// Any order of events, and a module that throws answers about: one answer each, in time, nothing left over.
TEST(Core, KeepsItsPromiseOnAnyOrderOfEvents) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Rig rig;
        std::mt19937 chance(seed);
        const auto pick = [&](int lo, int hi) { return std::uniform_int_distribution<int>(lo, hi)(chance); };
        struct Sub {
            int joins = 0, answers = 0;
            bool out = false, left = false, plays = false, over = false;
        };
        std::map<SubId, Sub> subs;
        rig.decides->onAsk = [&](Scripted& d, SubId id) {
            const int what = pick(0, 5);
            if (what <= 3) d.host.join(id, SfuId{static_cast<std::uint32_t>(pick(1, 4))}, kSecond);
            if (what == 4) d.host.throttle(id, 0);
            if (what == 5) d.host.terminate(id);
        };
        std::size_t asked = 0;
        for (int step = 0; step < 400; ++step) {
            if (pick(0, 2) == 0) {
                rig.ask(static_cast<std::uint32_t>(pick(0, 1)));
                ++asked;
            }
            const SubId id{static_cast<std::uint32_t>(pick(1, static_cast<int>(asked) + 1))};
            switch (pick(0, 5)) {
                case 0:
                    rig.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 1, {}, "played"});
                    break;
                case 1:
                    rig.core->onJoinOutcome(id, 0, {JoinResult::Full, true, 1, {}, "unseen"});
                    break;
                case 2:
                    rig.core->unsubscribe(id);
                    break;
                case 3:
                    rig.core->onPlaybackEnded(id, JoinResult::Reset);
                    break;
                case 4:
                    rig.decides->host.throttle(id, 0);
                    break;
                default:
                    rig.net.advance(pick(0, 300'000));
            }
        }
        rig.net.advance(10 * kSecond);
        const core::CoreCounts& c = rig.core->counts();
        EXPECT_EQ(c.asked, asked);
        const auto answers = c.played + c.throttled + c.terminated;
        EXPECT_LE(answers, asked);
        EXPECT_EQ(static_cast<std::uint64_t>(rig.said.size()) -
                      static_cast<std::uint64_t>(rig.count(rig.said, "broke")),
                  answers)
            << "seed " << seed;
        EXPECT_EQ(rig.core->unansweredCount(), 0u);
    }
}

TEST(DeliveryMeter, MeasuresWhatCameOfWhatPlays) {
    core::DeliveryMeter d(kSecond);
    const core::FetchId a{1}, b{2};
    d.start(0, a, SubId{1}, SfuId{3}, kSecond, 1'000);
    d.finish(900'000, a);
    EXPECT_TRUE(d.takeReports(kSecond).empty()) << "in time: nothing is told";
    d.start(kSecond, b, SubId{1}, SfuId{3}, kSecond, 1'000);
    d.finish(3 * kSecond, b);
    auto told = d.takeReports(3 * kSecond);
    ASSERT_EQ(told.size(), 1u);
    EXPECT_DOUBLE_EQ(told[0].share, 0.5);
    d.start(3 * kSecond, a, SubId{1}, SfuId{3}, kSecond, 1'000);
    d.finish(4 * kSecond, a);
    told = d.takeReports(4 * kSecond);
    ASSERT_EQ(told.size(), 1u) << "once more when it is well again";
    EXPECT_DOUBLE_EQ(told[0].share, 1);
    EXPECT_TRUE(d.takeReports(5 * kSecond).empty());
}

TEST(DeliveryMeter, ASegmentThatHangsIsShortLongBeforeItEnds) {
    core::DeliveryMeter d(kSecond);
    d.start(0, core::FetchId{1}, SubId{1}, SfuId{3}, kSecond, 1'000);
    d.addBytes(core::FetchId{1}, 100);
    auto told = d.takeReports(2 * kSecond);
    ASSERT_EQ(told.size(), 1u);
    EXPECT_NEAR(told[0].share, 0.05, 1e-9);
}

TEST(DeliveryMeter, TimeThatTheViewerTookNothingIsNotTheBoxs) {
    core::DeliveryMeter d(kSecond);
    const core::FetchId a{1};
    d.start(0, a, SubId{1}, SfuId{3}, kSecond, 1'000);
    d.pause(200'000, a);
    d.pause(300'000, a);
    EXPECT_TRUE(d.takeReports(5 * kSecond).empty());
    d.resume(8 * kSecond, a);
    d.finish(8'500'000, a);
    EXPECT_TRUE(d.takeReports(9 * kSecond).empty());
    d.start(0, a, SubId{1}, SfuId{3}, kSecond, 1'000);
    d.discard(a);
    EXPECT_EQ(d.openCount(), 0u);
}

}  // namespace
}  // namespace valekeel
