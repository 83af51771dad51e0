// Tests of the front node's media servers' side: joins that wait for a connection, and ends that must be
// delivered although no connection is open. What the fakes recorded is checked.
#include <gtest/gtest.h>

#include "node/servers.hpp"
#include "node_fixture.hpp"
#include "setup/setup.hpp"

namespace valekeel {
namespace {

using namespace nodetest;

// Connects to media servers take `time`, messages half of it.
void setConnectTime(VirtualNodeFixture& fixture, Micros time) {
    fixture.world.latency = [&fixture, time](const net::VirtualNode& a, const net::VirtualNode& b) -> Micros {
        for (std::size_t i = 0; i < fixture.servers.size(); ++i)
            if (&a == fixture.nodes[static_cast<int>(i)] || &b == fixture.nodes[static_cast<int>(i)])
                return time / 2;
        return 200;
    };
}

// Lets media server 0 react to the first set-up in one way and to all others in another.
void reactToFirstSetup(VirtualNodeFixture& fixture, SetupReaction first,
                       SetupReaction others = SetupReaction::Play) {
    int setups = 0;
    fixture.servers[0]->reaction = [=](const std::string&) mutable { return setups++ == 0 ? first : others; };
}
// Both run for two seconds at most and return whether it came to that.
bool runUntilAnswered(VirtualNodeFixture& fixture, int n) {
    for (int step = 0; step < 40 && fixture.responses(n).empty(); ++step) fixture.run(50'000);
    return !fixture.responses(n).empty();
}
bool runUntilSetUpTwice(VirtualNodeFixture& fixture, int n) {
    for (int step = 0; step < 200 && fixture.setupCount(n) < 2; ++step) fixture.run(10'000);
    return fixture.setupCount(n) == 2;
}

// ================= joins that wait for a connection =================

// Nothing is set up for a viewer that leaves while the connection is opening, even if others wait for it too.
TEST(NodeServers, SetupIsNotSentIfItsViewerLeavesWhileConnecting) {
    for (const char* room : {"talk", "paid"}) {
        VirtualNodeFixture fixture(1);
        setConnectTime(fixture, 200'000);
        fixture.request(1, room, "a");
        fixture.request(2, "talk", "b");
        fixture.run(60'000);  // both are placed, and the connection is opening
        fixture.sendFinish(1);
        fixture.run(kSecond);
        EXPECT_EQ(fixture.setupCount(1), 0) << room;
        EXPECT_EQ(fixture.servers[0]->finishCount, 0) << room;
        EXPECT_EQ(fixture.responses(1), "") << room;
        EXPECT_EQ(fixture.responses(2), "+") << room;
    }
}

// The same for a viewer that closes its connection.
TEST(NodeServers, SetupIsNotSentIfItsViewerDisconnectsWhileConnecting) {
    VirtualNodeFixture fixture(1);
    setConnectTime(fixture, 200'000);
    const auto other = fixture.connectViewer();
    other->send(VirtualNodeFixture::startMessage(1, "paid", "a"));
    fixture.request(2, "talk", "b");
    fixture.run(60'000);
    other->close(false);
    fixture.run(kSecond);
    EXPECT_EQ(fixture.setupCount(1), 0);
    EXPECT_EQ(fixture.responses(2), "+");
}

TEST(NodeServers, DrainWhileConnectingIsApplied) {
    VirtualNodeFixture fixture(2);
    setConnectTime(fixture, 200'000);
    for (int n = 1; n <= 8; ++n) fixture.request(n, "talk", "t" + std::to_string(n));
    fixture.run(60'000);
    fixture.changeLog->add({{0, fixture.servers[0]->endpoint(), 1, 0}});
    fixture.run(kSecond);
    EXPECT_TRUE(fixture.servers[0]->setups.empty());
    for (int n = 1; n <= 8; ++n) EXPECT_EQ(fixture.responses(n), "+") << n;
}

// If the peer does not read, set-ups fill the kernel's buffer and then wait in the node, where they can be
// withdrawn.
TEST(NodeServers, WithdrawsSetupsThatTheKernelHasNotTaken) {
    VirtualNodeFixture fixture(1);
    fixture.request(50);
    fixture.run(kSecond);  // the connection is open
    fixture.nodes[0]->pause();
    for (int n = 1; n <= 24; ++n) {
        Json setup = VirtualNodeFixture::startMessage(n, "talk", "t" + std::to_string(n));
        setup["blob"] = std::string(15'000, 'x');
        fixture.viewer->send(setup);
        if (n % 8 == 0) fixture.run(30'000);
    }
    for (int n = 1; n <= 24; ++n) fixture.sendFinish(n);
    fixture.run(100'000);
    fixture.nodes[0]->resume();
    fixture.run(kSecond);
    int received = 0;
    for (int n = 1; n <= 24; ++n) received += fixture.setupCount(n);
    EXPECT_GE(received, 15);
    EXPECT_LE(received * 15'000, static_cast<int>(net::VirtualNetwork::kBuffer) + 15'000);
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);  // only the first
}

// ================= queued ends =================

TEST(NodeServers, EndIsSentOnTheNextConnectionIfNoneIsOpen) {
    VirtualNodeFixture fixture(1);
    fixture.request(1);
    fixture.run(kSecond);
    fixture.servers[0]->resetConnections();
    fixture.run(1'000);
    fixture.nodes[0]->pause();  // no connection opens for a while
    fixture.sendFinish(1);
    fixture.run(700'000);
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
    fixture.nodes[0]->resume();
    fixture.run(kSecond);
    EXPECT_TRUE(fixture.servers[0]->playing.empty());
}

// A media server hangs for longer than an end is expected to take, and then resets the connection unread.
TEST(NodeServers, EndThatAHungServerNeverReadIsSentAgain) {
    VirtualNodeFixture fixture(1);
    fixture.request(1);
    fixture.run(kSecond);
    fixture.servers[0]->openConnections().at(0)->holdInput();
    fixture.sendFinish(1);
    fixture.run(3 * kSecond);
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
    fixture.servers[0]->resetConnections();
    fixture.run(3 * kSecond);
    EXPECT_TRUE(fixture.servers[0]->playing.empty());
}

// The network is cut for some seconds: viewers are released, and the playback that continued at the server is
// ended there.
TEST(NodeServers, PlaybackBehindANetworkCutIsEndedAfterwards) {
    VirtualNodeFixture fixture(1);
    for (int n = 1; n <= 3; ++n) fixture.request(n, "talk", "t" + std::to_string(n));
    fixture.run(kSecond);
    fixture.nodes[0]->pause();
    fixture.run(8 * kSecond);
    for (int n = 1; n <= 3; ++n) EXPECT_EQ(fixture.responses(n), "+ 41") << n;
    EXPECT_EQ(fixture.servers[0]->playing.size(), 3u);
    fixture.nodes[0]->resume();
    fixture.run(3 * kSecond);
    EXPECT_TRUE(fixture.servers[0]->playing.empty());
}

// A media server that takes no more connections is not dead: refused connects end nothing while an open
// connection brings notices. What is over at last is ended on the connection that stands.
TEST(NodeServers, RefusedConnectsDoNotEndWhatALiveConnectionCarries) {
    VirtualNodeFixture fixture(1);
    fakes::PlatformServer& server = *fixture.servers[0];
    fixture.request(1);
    fixture.run(kSecond);
    server.refuseConnections();
    server.reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
    for (int n = 2; n <= 9; ++n) {  // tried again on connections of their own, which are refused
        fixture.request(n);
        fixture.run(kSecond);
        server.sendNotice(idOf(1), "link_use", 0.4);
    }
    fixture.run(kSecond);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(server.playing.size(), 1u);
    fixture.run(8 * kSecond);  // silent: taken for lost
    EXPECT_EQ(fixture.responses(1), "+ 41");
    EXPECT_TRUE(server.playing.empty());
}

// A queued end of the first attempt must not end the second with the same tag at the same server.
TEST(NodeServers, EndOfAnEarlierAttemptDoesNotEndTheNext) {
    VirtualNodeFixture fixture(1);
    reactToFirstSetup(fixture, SetupReaction::Reset);
    fixture.request(1);
    fixture.run(3 * kSecond);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.setupCount(1), 2);
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
}

// The same if the first attempt timed out and the connection that carried its end breaks later.
TEST(NodeServers, ResentEndDoesNotEndTheNextAttempt) {
    VirtualNodeFixture fixture(1);
    reactToFirstSetup(fixture, SetupReaction::NoAnswer);
    fixture.request(1);
    ASSERT_TRUE(runUntilAnswered(fixture, 1));
    ASSERT_EQ(fixture.responses(1), "+");
    ASSERT_EQ(fixture.setupCount(1), 2);
    fixture.servers[0]->resetConnections();
    fixture.run(kSecond);
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
}

// ================= successive attempts with the same tag at the same server =================

// Lets the path of the connection that carries the first set-up deliver nothing.
void holdFirstSetup(VirtualNodeFixture& fixture) {
    int setups = 0;
    fixture.servers[0]->holdsOutput = [setups](const std::string&) mutable { return setups++ == 0; };
}

// An answer and a release that come late are taken for those of the next attempt: the viewer is told that it
// is over, and the session of the next attempt is left standing.
TEST(NodeServers, LateAnswerAndReleaseOfAnEarlierAttemptDoNotEndTheNext) {
    VirtualNodeFixture fixture(1);
    holdFirstSetup(fixture);
    fixture.request(1);
    ASSERT_TRUE(runUntilSetUpTwice(fixture, 1));
    fixture.servers[0]->releaseOutput();
    fixture.run(2 * kSecond);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
    fixture.servers[0]->end(idOf(1), 16);
    fixture.run(kSecond);
    EXPECT_EQ(fixture.responses(1), "+ 16");
}

// The same if the late messages arrive while the next attempt plays already.
TEST(NodeServers, LateReleaseOfAnEarlierAttemptDoesNotEndTheNextOnePlaying) {
    VirtualNodeFixture fixture(1);
    holdFirstSetup(fixture);
    fixture.request(1);
    ASSERT_TRUE(runUntilAnswered(fixture, 1));
    fixture.run(300'000);
    fixture.servers[0]->releaseOutput();
    fixture.run(2 * kSecond);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
}

// A late refusal is taken for proof that the next attempt never ran, which is then left standing.
TEST(NodeServers, LateRefusalOfAnEarlierAttemptDoesNotEndTheNext) {
    VirtualNodeFixture fixture(1);
    holdFirstSetup(fixture);
    reactToFirstSetup(fixture, SetupReaction::RefuseFull, SetupReaction::NoAnswer);
    fixture.request(1);
    ASSERT_TRUE(runUntilSetUpTwice(fixture, 1));
    const int endsBefore = fixture.servers[0]->finishCount;
    fixture.servers[0]->releaseOutput();
    fixture.run(5 * kSecond);
    EXPECT_GT(fixture.servers[0]->finishCount, endsBefore);  // the second attempt was ended, too
    EXPECT_NE(fixture.responses(1), "");
}

// An answer is lost: the release that confirms the end of the attempt is taken for a reset of the next one.
TEST(NodeServers, ReleaseOfAnUnansweredAttemptDoesNotEndTheNext) {
    VirtualNodeFixture fixture(1);
    fixture.request(50);
    fixture.run(kSecond);
    int setups = 0;
    fixture.servers[0]->reaction = [&](const std::string& tag) {
        return tag == idOf(1) && setups++ == 0 ? SetupReaction::PlayUnanswered : SetupReaction::Play;
    };
    fixture.request(1);
    fixture.run(100'000);
    fixture.servers[0]->sendNotice(idOf(50), "link_use", 0.4);  // the connection works
    ASSERT_TRUE(runUntilAnswered(fixture, 1));
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.setupCount(1), 2);
    EXPECT_EQ(fixture.servers[0]->playing.size(), 2u);
}

// Media servers repeat a release on the next connection that opens, which may be after the next attempt
// plays.
TEST(NodeServers, RepeatedReleaseOfAnEarlierAttemptDoesNotEndTheNext) {
    VirtualNodeFixture fixture(1);
    fixture.servers[0]->repeatsReleases = true;
    holdFirstSetup(fixture);
    fixture.request(1);
    ASSERT_TRUE(runUntilAnswered(fixture, 1));
    fixture.servers[0]->releaseOutput();
    fixture.run(kSecond);
    ASSERT_EQ(fixture.responses(1), "+");
    const int connections = fixture.servers[0]->connectionCount;
    fixture.servers[0]->resetConnections();
    fixture.run(3 * kSecond);
    ASSERT_GT(fixture.servers[0]->connectionCount, connections);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
}

// A release that may belong to either attempt ends both: nothing is left standing.
TEST(NodeServers, UnclearReleaseLeavesNothingStanding) {
    VirtualNodeFixture fixture(1);
    reactToFirstSetup(fixture, SetupReaction::NoAnswer);
    fixture.request(1);
    ASSERT_TRUE(runUntilAnswered(fixture, 1));
    ASSERT_EQ(fixture.responses(1), "+");
    ASSERT_EQ(fixture.setupCount(1), 2);
    fixture.servers[0]->resetConnections();
    fixture.run(kSecond);
    fixture.servers[0]->end(idOf(1), 41);
    fixture.servers[0]->playing.insert(idOf(1));  // it was the release of the first attempt
    fixture.run(kSecond);
    EXPECT_EQ(fixture.responses(1), "+ 41");
    EXPECT_TRUE(fixture.servers[0]->playing.empty());
}

// A viewer's set-up comes again with its tag after its connection broke: another subscription, but the late
// messages of its attempt name the same tag.
TEST(NodeServers, LateAnswerToAViewersEarlierSetupDoesNotEndItsNext) {
    VirtualNodeFixture fixture(1);
    holdFirstSetup(fixture);
    const auto other = fixture.connectViewer();
    other->send(VirtualNodeFixture::startMessage(1));
    fixture.run(100'000);
    ASSERT_EQ(fixture.setupCount(1), 1);
    other->close(true);
    fixture.run(10'000);
    fixture.request(1);
    ASSERT_TRUE(runUntilSetUpTwice(fixture, 1));
    fixture.servers[0]->releaseOutput();
    fixture.run(2 * kSecond);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.servers[0]->playing.size(), 1u);
}

TEST(NodeServers, ConnectionsToAServersOldAddressAreClosed) {
    VirtualNodeFixture fixture(1);
    fixture.request(1);
    fixture.run(kSecond);
    fakes::PlatformServer moved(fixture.machine(20), VirtualMachines::place(20));
    fixture.changeLog->add({{0, moved.endpoint(), 0, 0}});
    fixture.run(100'000);
    fixture.request(2);
    fixture.run(kSecond);
    EXPECT_EQ(fixture.responses(2), "+");
    EXPECT_EQ(fixture.setupCount(2), 0);
    ASSERT_EQ(moved.setups.size(), 1u);
    EXPECT_EQ(moved.setups[0].tag, idOf(2));
}

// Same id and address but a new process: a machine that vanished does not close its connections.
TEST(NodeServers, ConnectionsToAServersOldProcessAreClosed) {
    VirtualNodeFixture fixture(1);
    fixture.request(1);
    fixture.run(kSecond);
    ASSERT_EQ(fixture.servers[0]->connectionCount, 1);
    const auto startedMs = static_cast<std::uint64_t>(fixture.machine(11).wallNow() / 1000);
    fixture.changeLog->add({{0, fixture.servers[0]->endpoint(), 0, 0, startedMs}});
    fixture.run(500'000);
    EXPECT_EQ(fixture.responses(1), "+ 41");
    for (int n = 2; n <= 9; ++n) {  // a cold server is chosen seldom
        fixture.request(n);
        fixture.run(kSecond);
    }
    EXPECT_GE(fixture.servers[0]->connectionCount, 2);
}

// A new media server comes up at the address of one that is gone, whose end is told later: set-ups for the
// old one went to the new one, which must not get them, and sessions of the old one were taken to stand.
TEST(NodeServers, ServerAtTheAddressOfAnotherReplacesIt) {
    for (const bool isFullList : {false, true}) {
        VirtualNodeFixture fixture(1);
        fakes::PlatformServer& server = *fixture.servers[0];
        fixture.request(1);
        fixture.run(kSecond);
        ASSERT_EQ(fixture.responses(1), "+");
        server.playing.clear();  // from here on it is the new process
        server.resetConnections();
        const std::size_t setupsBefore = server.setups.size();
        const int otherCell = 1;
        fixture.changeLog->add({{7, server.endpoint(), 0, otherCell}}, isFullList);
        fixture.run(500'000);
        EXPECT_EQ(fixture.responses(1), "+ 41");
        Json setup = VirtualNodeFixture::startMessage(2);
        setup["opts"]["extras"] = "home:0;copies:1;top:2";  // only in the cell of the old one
        fixture.viewer->send(setup);
        fixture.run(4 * kSecond);
        EXPECT_EQ(server.setups.size(), setupsBefore);
        setup = VirtualNodeFixture::startMessage(3);
        fixture.viewer->send(setup);
        fixture.run(kSecond);
        EXPECT_EQ(fixture.responses(3), "+");
        fixture.changeLog->add({{0, server.endpoint(), 2, 0}});  // the end of the old one, told late
        fixture.run(kSecond);
        EXPECT_EQ(fixture.responses(3), "+");
        EXPECT_EQ(server.playing.count(idOf(3)), 1u);
    }
}

// Ends one subscription when another one terminates, whose connection has just closed.
struct UnsubscribingHandler final : core::SubscriptionHandler, node::ServersHandler {
    core::Core* core = nullptr;
    SubId subscriptionToEnd{};
    std::vector<SubId> terminated;
    std::map<SubId, node::SetupRequest> requests;
    void onPlaying(SubId, SfuId, int) override {}
    void onThrottled(SubId, Micros) override {}
    void onTerminated(SubId id, core::TerminationReason) override {
        terminated.push_back(id);
        core->unsubscribe(subscriptionToEnd);
    }
    void onRungChanged(SubId, int) override {}
    void onServerLost(SubId) override {}
    const node::SetupRequest* findSetupRequest(SubId id) override { return &requests.at(id); }
    void onAnswer(SubId, const std::string&) override {}
    void onPlaybackEnded(SubId, JoinResult, int, const LoadReport&) override {}
};

TEST(NodeServers, AnotherJoinMayBeCancelledWhileItsConnectionCloses) {
    VirtualNodeFixture fixture(1);
    fixture.servers[0]->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
    net::Net& net = fixture.machine(21);
    UnsubscribingHandler handler;
    core::CoreObserver observer;
    node::Servers servers(net, {}, handler);
    const Json nodeSettings = settings();
    core::Core core(net, setup::parseRoomTypes(nodeSettings, setup::parseLadder(nodeSettings, "s"), "s"), {},
                    kSecond, servers, observer, [&](Host& host, Micros now) {
                        return setup::makeDecider<core::LogicModule>(host, now, 7, nodeSettings, "s");
                    });
    handler.core = &core;
    servers.setCore(core);
    servers.setAddress(SfuId{0}, fixture.servers[0]->endpoint());
    SfuEntry entry;
    entry.state = ServerState::On;
    core.onServerList(std::span(&entry, 1), false);
    const auto subscribe = [&](std::uint32_t room, int n) {
        SubscriptionRequest request;
        request.room = RoomTypeId{room};
        request.title = TitleId{"t"};
        request.holders = 3;
        const SubId id = *core.subscribe(handler, request, 3 * kSecond);
        handler.requests[id] = {idOf(n), room ? "paid" : "talk", "t", "offer"};
        core.start(id);
        return id;
    };
    const SubId paid = subscribe(1, 1);
    handler.subscriptionToEnd = subscribe(0, 2);
    fixture.run(200'000);
    ASSERT_EQ(fixture.servers[0]->setups.size(), 2u);
    fixture.servers[0]->resetConnections();
    fixture.run(kSecond);
    EXPECT_EQ(handler.terminated, std::vector<SubId>{paid});
    EXPECT_EQ(core.subscriptionCount(), 0u);
}

// ================= sessions that are handed over =================

void handOver(VirtualNodeFixture& fixture, int n) {
    Json message = VirtualNodeFixture::startMessage(n);
    message["opts"]["extras"] = "home:0;copies:3;top:2;at:s-00000000";
    fixture.viewer->send(message);
}

// A session ends just before it is handed over: its release comes on the connection that is opened for the
// first ones. The release is forgotten, and the session is taken for one that plays.
TEST(NodeServers, ReleaseThatArrivesBeforeTheHandoverReachesTheViewer) {
    for (const int cause : {16, 41}) {
        VirtualNodeFixture fixture(1);
        fixture.servers[0]->repeatsReleases = true;
        for (int n = 1; n <= 3; ++n) fixture.servers[0]->playing.insert(idOf(n));
        fixture.servers[0]->end(idOf(2), cause);  // no connection is open
        handOver(fixture, 1);
        fixture.run(500'000);
        ASSERT_EQ(fixture.servers[0]->connectionCount, 1);
        handOver(fixture, 2);
        handOver(fixture, 3);
        fixture.run(kSecond);
        EXPECT_EQ(fixture.responses(1), "");
        EXPECT_EQ(fixture.responses(2), std::to_string(cause));
        EXPECT_EQ(fixture.responses(3), "");
        fixture.servers[0]->end(idOf(3), 16);
        fixture.run(kSecond);
        EXPECT_EQ(fixture.responses(3), "16");
    }
}

// ================= limits =================

// Has a set-up for every subscription.
struct AnySetupHandler : node::ServersHandler {
    node::SetupRequest request{"", "talk", "t", "offer"};
    std::set<std::uint32_t> ended;  // the subscriptions whose playback has ended
    const node::SetupRequest* findSetupRequest(SubId id) override {
        request.tag = idOf(static_cast<int>(id.v));
        return &request;
    }
    void onAnswer(SubId, const std::string&) override {}
    void onPlaybackEnded(SubId id, JoinResult, int, const LoadReport&) override { ended.insert(id.v); }
};

// A front that holds one session, with the number of the server, at each of several media servers, more of
// them than it may have connections.
struct FewConnections {
    static constexpr std::size_t kLimit = 4;
    VirtualMachines machines;
    std::vector<std::unique_ptr<fakes::PlatformServer>> mediaServers;
    AnySetupHandler handler;
    std::unique_ptr<node::Servers> servers;
    std::size_t mostConnections = 0;
    explicit FewConnections(std::uint32_t count) {
        node::ServerLimits limits;
        limits.maxConnections = kLimit;
        servers = std::make_unique<node::Servers>(machines.machine(20), limits, handler);
        for (std::uint32_t i = 0; i < count; ++i) {
            const int number = static_cast<int>(i);
            mediaServers.push_back(std::make_unique<fakes::PlatformServer>(machines.machine(number),
                                                                           VirtualMachines::place(number)));
            mediaServers.back()->repeatsReleases = true;
            mediaServers.back()->playing.insert(idOf(number));
            servers->setAddress(SfuId{i}, mediaServers.back()->endpoint());
            servers->adopt(SubId{i}, SfuId{i});
        }
    }
    void run(Micros time) {
        for (Micros done = 0; done < time; done += 50'000) {
            machines.run(50'000);
            mostConnections = std::max(mostConnections, servers->connectionCount());
        }
    }
};

// Machines vanish while all connections to media servers are in use: their loss is never noticed, as no
// connection can be opened to probe them.
TEST(NodeServers, VanishedServersAreNoticedAtTheConnectionLimit) {
    FewConnections front(FewConnections::kLimit);
    front.run(3 * kSecond);
    ASSERT_EQ(front.servers->connectionCount(), FewConnections::kLimit);
    for (const int vanished : {0, 2}) front.machines.nodes[vanished]->pause();
    front.run(8 * kSecond);
    EXPECT_EQ(front.handler.ended, (std::set<std::uint32_t>{0, 2}));
    EXPECT_LE(front.mostConnections, FewConnections::kLimit);
}

// Sessions at more media servers than there may be connections: the release of one without a connection never
// arrives.
TEST(NodeServers, ReleasesArriveFromMoreServersThanConnections) {
    constexpr std::uint32_t kServers = 3 * FewConnections::kLimit;
    FewConnections front(kServers);
    front.run(5 * kSecond);
    EXPECT_TRUE(front.handler.ended.empty());
    std::set<std::uint32_t> all;
    for (std::uint32_t i = 0; i < kServers; ++i) {
        front.mediaServers[i]->end(idOf(static_cast<int>(i)), 16);
        all.insert(i);
    }
    front.run(8 * kSecond);
    EXPECT_EQ(front.handler.ended, all);
    EXPECT_LE(front.mostConnections, FewConnections::kLimit);
}

// The connection of an unanswered set-up is closed to make room: nobody knows then whether it ran.
TEST(NodeServers, ConnectionOfAnUnansweredSetupIsNotClosedToMakeRoom) {
    FewConnections front(3 * FewConnections::kLimit);
    front.run(kSecond);
    for (std::uint32_t i = 0; i + 1 < FewConnections::kLimit; ++i) {
        front.mediaServers[i]->setupTime = 20 * kSecond;
        front.servers->join(SubId{100 + i}, 0, SfuId{i}, 0, 15 * kSecond, true);
    }
    front.run(8 * kSecond);
    EXPECT_EQ(front.servers->pendingJoinCount(), FewConnections::kLimit - 1);
    for (std::uint32_t i = 0; i + 1 < FewConnections::kLimit; ++i)
        EXPECT_EQ(front.mediaServers[i]->setups.size(), 1u) << i;
    EXPECT_LE(front.mostConnections, FewConnections::kLimit);
}

// Guards against unbounded memory use and against hundreds of fronts that reconnect to a dead server all the
// time.
TEST(NodeServers, QueuedEndsForADeadServerAreBounded) {
    VirtualMachines machines;
    AnySetupHandler handler;
    node::ServerLimits limits;
    node::Servers servers(machines.machine(1), limits, handler);
    servers.setAddress(SfuId{0}, VirtualMachines::place(0));  // nobody listens there
    const auto limit = static_cast<std::uint32_t>(limits.maxQueuedEnds);
    for (std::uint32_t n = 1; n <= limit + 88; ++n) servers.release(SubId{n}, 0, SfuId{0});
    EXPECT_EQ(servers.queuedEndCount(), limits.maxQueuedEnds);
    EXPECT_EQ(servers.counts().endsDropped, 88u);
    machines.run(limits.queuedEndTimeout + kSecond);
    EXPECT_EQ(servers.queuedEndCount(), 0u);
    EXPECT_LE(servers.counts().refused, 22u);  // the backoff doubles up to two seconds
    EXPECT_GE(servers.counts().refused, 10u);
}

TEST(NodeServers, ConfirmedEndsAreRemoved) {
    VirtualNodeFixture fixture(1);
    AnySetupHandler handler;
    node::Servers servers(fixture.machine(21), {}, handler);
    servers.setAddress(SfuId{0}, fixture.servers[0]->endpoint());
    for (int n = 1; n <= 20; ++n) fixture.servers[0]->playing.insert(idOf(n));
    for (std::uint32_t n = 1; n <= 20; ++n) servers.release(SubId{n}, 0, SfuId{0});
    EXPECT_EQ(servers.queuedEndCount(), 20u);
    fixture.run(100'000);
    EXPECT_EQ(servers.queuedEndCount(), 0u);
    EXPECT_EQ(fixture.servers[0]->finishCount, 20);
}

// Ends of unknown sessions are not confirmed: they were read if the media server sends something later.
TEST(NodeServers, UnconfirmedEndsAreRemovedOnceTheServerIsHeardLater) {
    VirtualNodeFixture fixture(1);
    AnySetupHandler handler;
    node::Servers servers(fixture.machine(21), {}, handler);
    servers.setAddress(SfuId{0}, fixture.servers[0]->endpoint());
    for (std::uint32_t n = 1; n <= 20; ++n) servers.release(SubId{n}, 0, SfuId{0});
    fixture.run(3 * kSecond);
    EXPECT_EQ(servers.queuedEndCount(), 20u);
    fixture.servers[0]->sendNotice(idOf(99), "link_use", 0.4);
    fixture.run(200'000);
    EXPECT_EQ(servers.queuedEndCount(), 0u);
    EXPECT_EQ(fixture.servers[0]->finishCount, 20);
}

// The front node's own close of an idle connection delivers them, so nothing is sent again.
TEST(NodeServers, UnconfirmedEndsAreRemovedWithTheirIdleConnection) {
    VirtualNodeFixture fixture(1);
    AnySetupHandler handler;
    node::ServerLimits limits;
    node::Servers servers(fixture.machine(21), limits, handler);
    servers.setAddress(SfuId{0}, fixture.servers[0]->endpoint());
    for (std::uint32_t n = 1; n <= 20; ++n) servers.release(SubId{n}, 0, SfuId{0});
    fixture.run(limits.idleTimeout + kSecond);
    EXPECT_EQ(servers.queuedEndCount(), 0u);
    EXPECT_EQ(servers.connectionCount(), 0u);
    EXPECT_EQ(fixture.servers[0]->finishCount, 20);
    EXPECT_EQ(servers.counts().endsDropped, 0u);
}

}  // namespace
}  // namespace valekeel
