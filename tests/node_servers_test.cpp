// The front node towards media servers, at the instants in which something is still owed there: what waits
// for a connection, and what is to be ended where none stands. Judged from the ledgers of the stand-ins.
#include <gtest/gtest.h>

#include "node/servers.hpp"
#include "node_fixture.hpp"
#include "setup/setup.hpp"

namespace valekeel {
namespace {

using namespace nodetest;

// A connect to a media server takes so long; what is said on it half of that.
void connectsTake(VirtualDay& day, Micros time) {
    day.world.latency = [&day, time](const net::VirtualNode& a, const net::VirtualNode& b) -> Micros {
        for (std::size_t i = 0; i < day.servers.size(); ++i)
            if (&a == day.nodes[static_cast<int>(i)] || &b == day.nodes[static_cast<int>(i)]) return time / 2;
        return 200;
    };
}

// ================= what waits for a connection =================

// A viewer who goes while the connection is still coming up gets nothing set up, whoever else waits for it.
TEST(NodeServers, ASetupWhoseViewerLeavesBeforeItsConnectionIsUpNeverLeaves) {
    for (const char* room : {"talk", "paid"}) {
        VirtualDay day(1);
        connectsTake(day, 200'000);
        day.ask(1, room, "a");
        day.ask(2, "talk", "b");
        day.run(60'000);  // both are decided, and the connection is on its way
        day.end(1);
        day.run(kSecond);
        EXPECT_EQ(day.setupsOf(1), 0) << room;
        EXPECT_EQ(day.servers[0]->cuts, 0) << room;
        EXPECT_EQ(day.said(1), "") << room;
        EXPECT_EQ(day.said(2), "+") << room;
    }
}

// The same for one that hangs up.
TEST(NodeServers, ASetupWhoseViewerHangsUpBeforeItsConnectionIsUpNeverLeaves) {
    VirtualDay day(1);
    connectsTake(day, 200'000);
    const auto other = day.line();
    other->send(VirtualDay::start(1, "paid", "a"));
    day.ask(2, "talk", "b");
    day.run(60'000);
    other->close(false);
    day.run(kSecond);
    EXPECT_EQ(day.setupsOf(1), 0);
    EXPECT_EQ(day.said(2), "+");
}

TEST(NodeServers, ADrainToldWhileTheConnectionComesUpIsKept) {
    VirtualDay day(2);
    connectsTake(day, 200'000);
    for (int n = 1; n <= 8; ++n) day.ask(n, "talk", "t" + std::to_string(n));
    day.run(60'000);
    day.log->add({{0, day.servers[0]->endpoint(), 1, 0}});
    day.run(kSecond);
    EXPECT_TRUE(day.servers[0]->setups.empty());
    for (int n = 1; n <= 8; ++n) EXPECT_EQ(day.said(n), "+") << n;
}

// What its peer doesn't read lies in the kernel, and behind that here: there it can still be taken back.
TEST(NodeServers, WhatAPeerThatDoesNotReadHasNotTakenIsTakenBack) {
    VirtualDay day(1);
    day.ask(50);
    day.run(kSecond);  // the connection is up
    day.nodes[0]->pause();
    for (int n = 1; n <= 24; ++n) {
        Json setup = VirtualDay::start(n, "talk", "t" + std::to_string(n));
        setup["blob"] = std::string(15'000, 'x');
        day.viewers->send(setup);
        if (n % 8 == 0) day.run(30'000);
    }
    for (int n = 1; n <= 24; ++n) day.end(n);
    day.run(100'000);
    day.nodes[0]->resume();
    day.run(kSecond);
    int arrived = 0;
    for (int n = 1; n <= 24; ++n) arrived += day.setupsOf(n);
    EXPECT_GE(arrived, 15);
    EXPECT_LE(arrived * 15'000, static_cast<int>(net::VirtualNetwork::kBuffer) + 15'000);
    EXPECT_EQ(day.servers[0]->playing.size(), 1u);  // the first alone
}

// ================= what is owed to a server =================

TEST(NodeServers, AnEndIsSaidAtTheNextConnectionWhereNoneStands) {
    VirtualDay day(1);
    day.ask(1);
    day.run(kSecond);
    day.servers[0]->resetConnections();
    day.run(1'000);
    day.nodes[0]->pause();  // no connection comes up for a while
    day.end(1);
    day.run(700'000);
    EXPECT_EQ(day.servers[0]->playing.size(), 1u);
    day.nodes[0]->resume();
    day.run(kSecond);
    EXPECT_TRUE(day.servers[0]->playing.empty());
}

// A network that is cut for some seconds: the viewers are told, and what played on at the server is ended
// there.
TEST(NodeServers, WhatPlaysOnBehindACutIsEndedWhenThatIsOver) {
    VirtualDay day(1);
    for (int n = 1; n <= 3; ++n) day.ask(n, "talk", "t" + std::to_string(n));
    day.run(kSecond);
    day.nodes[0]->pause();
    day.run(8 * kSecond);
    for (int n = 1; n <= 3; ++n) EXPECT_EQ(day.said(n), "+ 41") << n;
    EXPECT_EQ(day.servers[0]->playing.size(), 3u);
    day.nodes[0]->resume();
    day.run(3 * kSecond);
    EXPECT_TRUE(day.servers[0]->playing.empty());
}

// An end that is owed to the first try must not end the second of the same id at the same server.
TEST(NodeServers, AnEndOwedToAnEarlierTryDoesNotEndTheNext) {
    VirtualDay day(1);
    int bad = 0;
    day.servers[0]->reaction = [&](const std::string&) {
        return bad++ == 0 ? SetupReaction::Reset : SetupReaction::Play;
    };
    day.ask(1);
    day.run(3 * kSecond);
    EXPECT_EQ(day.said(1), "+");
    EXPECT_EQ(day.setupsOf(1), 2);
    EXPECT_EQ(day.servers[0]->playing.size(), 1u);
}

// The same where the first try timed out, and the connection on which its end was said breaks after that.
TEST(NodeServers, AnEndThatIsSaidOnceMoreDoesNotEndTheNextTry) {
    VirtualDay day(1);
    int bad = 0;
    day.servers[0]->reaction = [&](const std::string&) {
        return bad++ == 0 ? SetupReaction::NoAnswer : SetupReaction::Play;
    };
    day.ask(1);
    for (int turn = 0; turn < 40 && day.said(1).empty(); ++turn) day.run(50'000);
    ASSERT_EQ(day.said(1), "+");
    ASSERT_EQ(day.setupsOf(1), 2);
    day.servers[0]->resetConnections();
    day.run(kSecond);
    EXPECT_EQ(day.servers[0]->playing.size(), 1u);
}

TEST(NodeServers, ConnectionsToAnEarlierPlaceOfAServerAreClosed) {
    VirtualDay day(1);
    day.ask(1);
    day.run(kSecond);
    fakes::PlatformServer moved(day.machine(20), VirtualMachines::place(20));
    day.log->add({{0, moved.endpoint(), 0, 0}});
    day.run(100'000);
    day.ask(2);
    day.run(kSecond);
    EXPECT_EQ(day.said(2), "+");
    EXPECT_EQ(day.setupsOf(2), 0);
    ASSERT_EQ(moved.setups.size(), 1u);
    EXPECT_EQ(moved.setups[0].tag, idOf(2));
}

// Same id and address, new process: a machine that vanished closed no connection.
TEST(NodeServers, ConnectionsToAnEarlierProcessOfAServerAreClosed) {
    VirtualDay day(1);
    day.ask(1);
    day.run(kSecond);
    ASSERT_EQ(day.servers[0]->connections, 1);
    const auto startedMs = static_cast<std::uint64_t>(day.machine(11).wallNow() / 1000);
    day.log->add({{0, day.servers[0]->endpoint(), 0, 0, startedMs}});
    day.run(500'000);
    EXPECT_EQ(day.said(1), "+ 41");
    for (int n = 2; n <= 9; ++n) {  // it is cold: its turn comes
        day.ask(n);
        day.run(kSecond);
    }
    EXPECT_GE(day.servers[0]->connections, 2);
}

// A face that ends one subscription as it hears of another's end, on the connection that has just gone.
struct Follows final : core::SubscriptionHandler, node::ServersHandler {
    core::Core* core = nullptr;
    SubId other{};
    std::vector<SubId> ended;
    std::map<SubId, node::SetupRequest> words;
    void onPlaying(SubId, SfuId, int) override {}
    void onThrottled(SubId, Micros) override {}
    void onTerminated(SubId id, core::TerminationReason) override {
        ended.push_back(id);
        core->unsubscribe(other);
    }
    void onRungChanged(SubId, int) override {}
    void onServerLost(SubId) override {}
    const node::SetupRequest* findSetupRequest(SubId id) override { return &words.at(id); }
    void onAnswer(SubId, const std::string&) override {}
    void onPlaybackEnded(SubId, JoinResult, int, const LoadReport&) override {}
};

TEST(NodeServers, OneMayBeCalledOffWhileItsConnectionGoes) {
    VirtualDay day(1);
    day.servers[0]->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
    net::Net& net = day.machine(21);
    Follows user;
    core::CoreObserver watcher;
    node::Servers servers(net, {}, user);
    const Json told = settings();
    core::Core core(net, setup::parseRoomTypes(told, setup::parseLadder(told, "s"), "s"), {}, kSecond,
                    servers, watcher, [&](Host& host, Micros now) {
                        return setup::makeDecider<core::LogicModule>(host, now, 7, told, "s");
                    });
    user.core = &core;
    servers.setCore(core);
    servers.setAddress(SfuId{0}, day.servers[0]->endpoint());
    SfuEntry one;
    one.state = ServerState::On;
    core.onServerList(std::span(&one, 1), false);
    const auto ask = [&](std::uint32_t room, int n) {
        SubscriptionRequest wish;
        wish.room = RoomTypeId{room};
        wish.title = TitleId{"t"};
        wish.holders = 3;
        const SubId id = *core.subscribe(user, wish, 3 * kSecond);
        user.words[id] = {idOf(n), room ? "paid" : "talk", "t", "offer"};
        core.start(id);
        return id;
    };
    const SubId paid = ask(1, 1);
    user.other = ask(0, 2);
    day.run(200'000);
    ASSERT_EQ(day.servers[0]->setups.size(), 2u);
    day.servers[0]->resetConnections();
    day.run(kSecond);
    EXPECT_EQ(user.ended, std::vector<SubId>{paid});
    EXPECT_EQ(core.subscriptionCount(), 0u);
}

// ================= limits =================

struct Words : node::ServersHandler {
    node::SetupRequest words{"", "talk", "t", "offer"};
    const node::SetupRequest* findSetupRequest(SubId id) override {
        words.tag = idOf(static_cast<int>(id.v));
        return &words;
    }
    void onAnswer(SubId, const std::string&) override {}
    void onPlaybackEnded(SubId, JoinResult, int, const LoadReport&) override {}
};

// Guards against a dead server that fills the memory, and is knocked at by hundreds of fronts all the time.
TEST(NodeServers, EndsOwedToAServerThatNeverComesBackAreBounded) {
    VirtualMachines machines;
    Words user;
    node::ServerLimits limits;
    node::Servers servers(machines.machine(1), limits, user);
    servers.setAddress(SfuId{0}, VirtualMachines::place(0));  // nobody listens there
    const auto most = static_cast<std::uint32_t>(limits.maxQueuedEnds);
    for (std::uint32_t n = 1; n <= most + 88; ++n) servers.release(SubId{n}, SfuId{0});
    EXPECT_EQ(servers.queuedEndCount(), limits.maxQueuedEnds);
    EXPECT_EQ(servers.counts().endsDropped, 88u);
    machines.run(limits.queuedEndTimeout + kSecond);
    EXPECT_EQ(servers.queuedEndCount(), 0u);
    EXPECT_LE(servers.counts().refused, 22u);  // the pause doubles up to two seconds
    EXPECT_GE(servers.counts().refused, 10u);
}

TEST(NodeServers, AnEndThatWasSaidAndHeardIsOwedNoMore) {
    VirtualDay day(1);
    Words user;
    node::Servers servers(day.machine(21), {}, user);
    servers.setAddress(SfuId{0}, day.servers[0]->endpoint());
    for (std::uint32_t n = 1; n <= 20; ++n) servers.release(SubId{n}, SfuId{0});
    EXPECT_EQ(servers.queuedEndCount(), 20u);
    day.run(3 * kSecond);
    EXPECT_EQ(servers.queuedEndCount(), 0u);
    EXPECT_EQ(day.servers[0]->cuts, 20);
}

}  // namespace
}  // namespace valekeel
