// Tests of the core (answers, joins, releases, load reports) and of the delivery meter.
#include "core/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "manual_net.hpp"

namespace valekeel {
namespace {

// A decision module that runs a script, faulty or not, for each subscription and records its events.
struct ScriptedModule : core::DecisionModule {
    Host& host;
    std::function<void(ScriptedModule&, SubId)> script = [](ScriptedModule&, SubId) {};
    std::vector<std::string> events;
    explicit ScriptedModule(Host& h) : host(h) {}
    void record(std::string event) { events.push_back(std::move(event)); }
    void onServerList(Micros, std::span<const SfuEntry>, bool) override { record("listed"); }
    void onServerListChange(Micros, std::span<const SfuEntry>) override { record("changed"); }
    void onServerListFailure(Micros) override { record("failed"); }
    void onSubscribe(Micros, SubId id, const SubscriptionRequest&) override {
        record("subscribe");
        script(*this, id);
    }
    void onPlaying(Micros, SubId, int, SfuId, Micros) override { record("playing"); }
    void onJoinEnded(Micros, SubId, int, SfuId, JoinResult end, bool over, Micros,
                     const LoadReport&) override {
        record("ended " + std::to_string(static_cast<int>(end)) + (over ? " over" : ""));
    }
    void onViewerLeft(Micros, SubId) override { record("left"); }
    void onShareDelivered(Micros, SubId, SfuId, double) override { record("share"); }
    void onRungInForce(Micros, SubId, int rung) override { record("rung " + std::to_string(rung)); }
    void onLinkUse(Micros, SubId, SfuId, double) override { record("link"); }
    void onUplinkUse(Micros, SubId, SfuId, double) override { record("uplink"); }
    void onWake(Micros, const std::string& why) override { record("woken " + why); }
};

// A core with a scripted module; records the answers and what is sent to media servers.
struct CoreFixture : core::SubscriptionHandler, core::JoinSender, core::CoreObserver {
    ManualNet net;
    ScriptedModule* module = nullptr;
    std::unique_ptr<core::Core> core;
    std::vector<int> releasedJoins;
    std::vector<std::string> notifications, sent;
    int guards = 0;
    bool unsubscribeOnAnswer = false, joinUnsent = false;
    explicit CoreFixture(core::CoreLimits limits = {}) {
        RoomType paid{"paid", 500'000, 3, true, false, true, 0, 1, 0, 0, 0},
            open{"open", 500'000, 1, false, false, true, 0, 1, 0, 0, 0};
        core = std::make_unique<core::Core>(net, std::vector<RoomType>{paid, open}, limits, kSecond, *this,
                                            *this, [&](Host& host, Micros) {
                                                auto made = std::make_unique<ScriptedModule>(host);
                                                module = made.get();
                                                return made;
                                            });
    }
    SubId subscribe(std::uint32_t room = 1) {
        SubscriptionRequest request;
        request.room = RoomTypeId{room};
        const SubId id = *core->subscribe(*this, request, 3 * kSecond);
        core->start(id);
        return id;
    }
    void onPlaying(SubId id, SfuId, int rung) override {
        notifications.push_back("plays " + std::to_string(rung));
        if (unsubscribeOnAnswer) core->unsubscribe(id);
    }
    std::function<void()> throttledHook = [] {};
    void onThrottled(SubId id, Micros) override {
        notifications.push_back("throttled");
        throttledHook();
        if (unsubscribeOnAnswer) core->unsubscribe(id);
    }
    void onTerminated(SubId, core::TerminationReason) override { notifications.push_back("terminated"); }
    void onRungChanged(SubId, int rung) override { notifications.push_back("rung " + std::to_string(rung)); }
    void onServerLost(SubId) override { notifications.push_back("broke"); }
    void join(SubId, int joinNo, SfuId server, int, Micros, bool) override {
        sent.push_back("join " + std::to_string(joinNo) + " at " + std::to_string(server.v));
    }
    void cancel(SubId id, int joinNo) override {
        sent.push_back("cancel");
        core->onJoinOutcome(id, joinNo, {JoinResult::Cancelled, false, 0, {}, "cancelled"});
    }
    void withdraw(SubId id, int joinNo) override {
        sent.push_back("withdraw");
        if (joinUnsent) core->onJoinOutcome(id, joinNo, {JoinResult::Cancelled, true, 0, {}, "withdrawn"});
    }
    void release(SubId, int joinNo, SfuId) override {
        sent.push_back("release");
        releasedJoins.push_back(joinNo);
    }
    void followList() override { sent.push_back("follow"); }
    void onGuardTriggered(SubId) override { ++guards; }
    int count(const std::vector<std::string>& entries, const std::string& entry) const {
        return static_cast<int>(std::count(entries.begin(), entries.end(), entry));
    }
};

TEST(Core, ReportsEachEventOfAPlayingSubscriptionOnce) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.setRung(id, 2);
        module.host.join(id, SfuId{7}, kSecond);
    };
    const SubId id = fixture.subscribe();
    EXPECT_EQ(fixture.sent, (std::vector<std::string>{"join 0 at 7"}));
    fixture.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 50'000, {0.5, {}}, "played"});
    // A repeated outcome is ignored.
    fixture.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 50'000, {}, "played"});
    EXPECT_EQ(fixture.notifications, (std::vector<std::string>{"plays 2"}));
    EXPECT_EQ(fixture.count(fixture.module->events, "playing"), 1);
    EXPECT_EQ(fixture.count(fixture.module->events, "link"), 1);
    fixture.module->host.setRung(id, 1);
    EXPECT_EQ(fixture.notifications.back(), "rung 1");
    fixture.core->onRungFetched(id, 2);  // not the rung in force
    fixture.core->onRungFetched(id, 1);
    EXPECT_EQ(fixture.module->events.back(), "rung 1");
    fixture.core->unsubscribe(id);
    fixture.core->unsubscribe(id);
    EXPECT_EQ(fixture.count(fixture.module->events, "ended 0 over"), 1);
    EXPECT_EQ(fixture.count(fixture.sent, "release"), 1);
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

// Guards against the release of a failed join that ends the session of the next one.
TEST(Core, ReleasesNameTheJoinThatTheyEnd) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.join(id, SfuId{7}, kSecond);
    };
    const SubId id = fixture.subscribe();
    fixture.core->onJoinOutcome(id, 0, {JoinResult::TimedOut, false, 50'000, {}, "timed out"});
    fixture.module->host.join(id, SfuId{7}, kSecond);
    fixture.core->onJoinOutcome(id, 1, {JoinResult::Played, false, 50'000, {}, "played"});
    fixture.core->unsubscribe(id);
    EXPECT_EQ(fixture.releasedJoins, (std::vector<int>{0, 1}));
}

// Whatever a faulty module does, a viewer gets one answer, in time, and at most one join is in flight.
TEST(Core, FirstAnswerOfTheModuleWins) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.throttle(id, 0);
        module.host.throttle(id, 0);
        module.host.terminate(id);
        module.host.join(id, SfuId{1}, kSecond);
    };
    fixture.subscribe();
    EXPECT_EQ(fixture.notifications, (std::vector<std::string>{"throttled"}));
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

TEST(Core, GuardTimerAnswersBeforeTheClientTimeout) {
    CoreFixture fixture;
    fixture.subscribe();
    fixture.net.advance(3 * kSecond - 61'000);
    EXPECT_TRUE(fixture.notifications.empty());
    fixture.net.advance(61'000);
    EXPECT_EQ(fixture.notifications, (std::vector<std::string>{"terminated"}));
    EXPECT_EQ(fixture.guards, 1);
    EXPECT_EQ(fixture.core->unansweredCount(), 0u);
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

TEST(Core, KeepsOneJoinInFlight) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.join(id, SfuId{1}, kSecond);
        module.host.join(id, SfuId{2}, kSecond);
    };
    fixture.subscribe();
    EXPECT_EQ(fixture.sent, (std::vector<std::string>{"join 0 at 1"}));
}

TEST(Core, CancelsTheFreeJoinOfALeftViewerAndLetsAPaidOneFinish) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.join(id, SfuId{1}, kSecond);
    };
    fixture.core->unsubscribe(fixture.subscribe(1));
    EXPECT_EQ(fixture.count(fixture.sent, "cancel"), 1);
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
    const SubId paid = fixture.subscribe(0);
    fixture.core->unsubscribe(paid);
    EXPECT_EQ(fixture.count(fixture.sent, "cancel"), 1);
    EXPECT_EQ(fixture.core->subscriptionCount(), 1u);
    const int releases = fixture.count(fixture.sent, "release");
    fixture.core->onJoinOutcome(paid, 0, {JoinResult::Played, false, 1, {}, "played"});
    EXPECT_EQ(fixture.count(fixture.sent, "release"), releases + 1) << "its place is released";
    EXPECT_EQ(fixture.notifications.size(), 0u) << "no answer to a viewer who left";
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

// Guards against a set-up that waits for a connection and is sent long after its viewer left.
TEST(Core, WithdrawsAnUnsentPaidJoinWhenItsViewerLeaves) {
    CoreFixture fixture;
    fixture.joinUnsent = true;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.join(id, SfuId{1}, kSecond);
    };
    fixture.core->unsubscribe(fixture.subscribe(0));
    EXPECT_EQ(fixture.count(fixture.sent, "withdraw"), 1);
    EXPECT_EQ(fixture.count(fixture.sent, "release"), 0) << "it never ran";
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

TEST(Core, DoesNotSendAJoinWhoseViewerLeftAfterTheDecision) {
    CoreFixture fixture;
    const SubId first = fixture.subscribe();
    fixture.module->script = [&](ScriptedModule& module, SubId id) {
        // Both subscriptions share one connection, which is closed when the first is refused.
        fixture.throttledHook = [&fixture, id] { fixture.core->unsubscribe(id); };
        module.host.throttle(first, 0);
        module.host.join(id, SfuId{1}, kSecond);
    };
    fixture.subscribe();
    EXPECT_EQ(fixture.count(fixture.sent, "join 0 at 1"), 0);
    EXPECT_EQ(fixture.count(fixture.module->events, "ended 7 over"), 1)
        << "the module is notified that the join was never sent";
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

// State about a media server is dropped with it, also if only a complete list without it shows its removal.
TEST(Core, ForgetsReportTimesOfAServerMissingFromACompleteList) {
    CoreFixture fixture;
    const SubId id = fixture.subscribe();
    SfuEntry entry;
    entry.id = SfuId{7};
    fixture.core->onServerList(std::span(&entry, 1), false);
    fixture.core->onLoadReport(id, entry.id, 0.5, {});
    fixture.core->onLoadReport(id, entry.id, 0.5, {});  // within the second: suppressed
    EXPECT_EQ(fixture.count(fixture.module->events, "link"), 1);
    fixture.core->onServerList({}, false);
    fixture.core->onServerList(std::span(&entry, 1), false);
    fixture.core->onLoadReport(id, entry.id, 0.5, {});
    EXPECT_EQ(fixture.count(fixture.module->events, "link"), 2);
}

TEST(Core, UnsubscribeWithinTheAnswerIsHandled) {
    CoreFixture fixture;
    fixture.unsubscribeOnAnswer = true;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.join(id, SfuId{1}, kSecond);
    };
    const SubId id = fixture.subscribe();
    fixture.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 1, {}, "played"});
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
    EXPECT_EQ(fixture.count(fixture.module->events, "ended 0 over"), 1);
    fixture.module->script = [](ScriptedModule& module, SubId id) { module.host.throttle(id, 0); };
    fixture.subscribe();
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

TEST(Core, NotifiesTheModuleOnlyAfterStart) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) { module.host.throttle(id, 0); };
    SubscriptionRequest request;
    request.room = RoomTypeId{1};
    const auto id = fixture.core->subscribe(fixture, request, kSecond);
    EXPECT_TRUE(fixture.notifications.empty() && fixture.module->events.empty());
    fixture.core->start(*id);
    fixture.core->start(*id);
    EXPECT_EQ(fixture.notifications.size(), 1u);
    EXPECT_EQ(fixture.module->events.size(), 1u);
}

TEST(Core, ALostServerEndsPlaybackAndIsReportedOnce) {
    CoreFixture fixture;
    fixture.module->script = [](ScriptedModule& module, SubId id) {
        module.host.join(id, SfuId{1}, kSecond);
    };
    const SubId id = fixture.subscribe();
    fixture.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 1, {}, "played"});
    fixture.core->onPlaybackEnded(id, JoinResult::Reset);
    fixture.core->onPlaybackEnded(id, JoinResult::Reset);
    EXPECT_EQ(fixture.count(fixture.notifications, "broke"), 1);
    EXPECT_EQ(fixture.count(fixture.module->events, "ended 5 over"), 1);
    EXPECT_EQ(fixture.core->subscriptionCount(), 0u);
}

TEST(Core, RejectsSubscriptionsAboveTheLimit) {
    core::CoreLimits limits;
    limits.subscriptions = 2;
    CoreFixture fixture(limits);
    fixture.subscribe();
    fixture.subscribe();
    SubscriptionRequest request;
    request.room = RoomTypeId{1};
    EXPECT_FALSE(fixture.core->subscribe(fixture, request, kSecond));
    EXPECT_EQ(fixture.core->counts().rejectedAtLimit, 1u);
}

TEST(Core, ForwardsLoadReportsOfAServerAtMostOncePerInterval) {
    CoreFixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.core->onLoadReport(SubId{1}, SfuId{3}, 0.5, 0.4);
        fixture.net.advance(200'000);
    }
    EXPECT_EQ(fixture.count(fixture.module->events, "link"), 2);
    EXPECT_EQ(fixture.count(fixture.module->events, "uplink"), 2);
}

// Random order of events and a module that answers at random: one answer for each subscription, in time, and
// none left unanswered.
TEST(Core, AnswersEachSubscriptionAtMostOnceOnAnyOrderOfEvents) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CoreFixture fixture;
        std::mt19937 generator(seed);
        const auto pick = [&](int lo, int hi) {
            return std::uniform_int_distribution<int>(lo, hi)(generator);
        };
        struct Sub {
            int joins = 0, answers = 0;
            bool out = false, left = false, plays = false, over = false;
        };
        std::map<SubId, Sub> subs;
        fixture.module->script = [&](ScriptedModule& module, SubId id) {
            const int action = pick(0, 5);
            if (action <= 3) module.host.join(id, SfuId{static_cast<std::uint32_t>(pick(1, 4))}, kSecond);
            if (action == 4) module.host.throttle(id, 0);
            if (action == 5) module.host.terminate(id);
        };
        std::size_t requested = 0;
        for (int step = 0; step < 400; ++step) {
            if (pick(0, 2) == 0) {
                fixture.subscribe(static_cast<std::uint32_t>(pick(0, 1)));
                ++requested;
            }
            const SubId id{static_cast<std::uint32_t>(pick(1, static_cast<int>(requested) + 1))};
            switch (pick(0, 5)) {
                case 0:
                    fixture.core->onJoinOutcome(id, 0, {JoinResult::Played, false, 1, {}, "played"});
                    break;
                case 1:
                    fixture.core->onJoinOutcome(id, 0, {JoinResult::Full, true, 1, {}, "unseen"});
                    break;
                case 2:
                    fixture.core->unsubscribe(id);
                    break;
                case 3:
                    fixture.core->onPlaybackEnded(id, JoinResult::Reset);
                    break;
                case 4:
                    fixture.module->host.throttle(id, 0);
                    break;
                default:
                    fixture.net.advance(pick(0, 300'000));
            }
        }
        fixture.net.advance(10 * kSecond);
        const core::CoreCounts& counts = fixture.core->counts();
        EXPECT_EQ(counts.requested, requested);
        const auto answers = counts.played + counts.throttled + counts.terminated;
        EXPECT_LE(answers, requested);
        EXPECT_EQ(static_cast<std::uint64_t>(fixture.notifications.size()) -
                      static_cast<std::uint64_t>(fixture.count(fixture.notifications, "broke")),
                  answers)
            << "seed " << seed;
        EXPECT_EQ(fixture.core->unansweredCount(), 0u);
    }
}

TEST(DeliveryMeter, ReportsALateSegmentAndTheRecovery) {
    core::DeliveryMeter meter(kSecond);
    const core::FetchId first{1}, second{2};
    meter.start(0, first, SubId{1}, SfuId{3}, kSecond, 1'000);
    meter.finish(900'000, first);
    EXPECT_TRUE(meter.takeReports(kSecond).empty()) << "in time: no report";
    meter.start(kSecond, second, SubId{1}, SfuId{3}, kSecond, 1'000);
    meter.finish(3 * kSecond, second);
    auto reports = meter.takeReports(3 * kSecond);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_DOUBLE_EQ(reports[0].share, 0.5);
    meter.start(3 * kSecond, first, SubId{1}, SfuId{3}, kSecond, 1'000);
    meter.finish(4 * kSecond, first);
    reports = meter.takeReports(4 * kSecond);
    ASSERT_EQ(reports.size(), 1u) << "one more report on recovery";
    EXPECT_DOUBLE_EQ(reports[0].share, 1);
    EXPECT_TRUE(meter.takeReports(5 * kSecond).empty());
}

TEST(DeliveryMeter, ReportsAStalledSegmentBeforeItEnds) {
    core::DeliveryMeter meter(kSecond);
    meter.start(0, core::FetchId{1}, SubId{1}, SfuId{3}, kSecond, 1'000);
    meter.addBytes(core::FetchId{1}, 100);
    auto reports = meter.takeReports(2 * kSecond);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_NEAR(reports[0].share, 0.05, 1e-9);
}

TEST(DeliveryMeter, DoesNotCountPausesOfTheViewer) {
    core::DeliveryMeter meter(kSecond);
    const core::FetchId fetch{1};
    meter.start(0, fetch, SubId{1}, SfuId{3}, kSecond, 1'000);
    meter.pause(200'000, fetch);
    meter.pause(300'000, fetch);
    EXPECT_TRUE(meter.takeReports(5 * kSecond).empty());
    meter.resume(8 * kSecond, fetch);
    meter.finish(8'500'000, fetch);
    EXPECT_TRUE(meter.takeReports(9 * kSecond).empty());
    meter.start(0, fetch, SubId{1}, SfuId{3}, kSecond, 1'000);
    meter.discard(fetch);
    EXPECT_EQ(meter.openCount(), 0u);
}

}  // namespace
}  // namespace valekeel
