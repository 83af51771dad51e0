// Tests of the front node's viewers' side and of its planned stop: each way in which a connection, a set-up
// or the process ends, and what must still be delivered then.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

#include "node/line_connection.hpp"
#include "node_fixture.hpp"

namespace valekeel {
namespace {

using namespace nodetest;

// Reads only when readAvailable() is called.
struct LateReader final : net::StreamHandler {
    LateReader(net::Net& net, const net::Endpoint& endpoint) : stream(net.connect(endpoint, *this)) {}
    void onConnected() override {
        isOpen = true;
        onWritable();
    }
    void onReadable() override {}
    void onWritable() override {
        if (isOpen) output.erase(0, stream->write(output).bytes);
    }
    void send(const std::string& bytes) {
        output += bytes;
        onWritable();
    }
    // Returns false once the connection has ended.
    bool readAvailable() {
        std::array<char, 4096> buffer;
        for (;;) {
            const net::IoResult result = stream->read(buffer);
            if (result.status != net::IoResult::Status::Ready) {
                isBroken = result.status == net::IoResult::Status::Broken;
                return result.status == net::IoResult::Status::WouldBlock;
            }
            input.append(buffer.data(), result.bytes);
        }
    }
    std::ptrdiff_t lineCount() const { return std::count(input.begin(), input.end(), '\n'); }
    bool isOpen = false, isBroken = false;
    std::string output, input;
    std::unique_ptr<net::Stream> stream;
};

const std::string kTestLine = R"({"verb":"ECHO","tag":"0000000000000063","opts":{},"rc":0})"
                              "\n";

// Guards against a close that discards responses which the peer has no room for yet.
TEST(NodeViewers, UnsentResponsesSurviveTheClose) {
    VirtualNodeFixture fixture;
    LateReader reader(fixture.machine(13), fixture.front->endpoint());
    std::string tests;
    for (int i = 0; i < 6000; ++i) tests += kTestLine;
    reader.send(tests + "noise\n");
    fixture.run(300'000);
    while (reader.readAvailable()) fixture.run(1'000);
    EXPECT_EQ(reader.lineCount(), 6000);
    EXPECT_FALSE(reader.isBroken);
}

// Guards against a close with unread input, which resets the connection and destroys the last response.
TEST(NodeViewers, RefusalSurvivesUnreadInputBehindIt) {
    VirtualNodeFixture fixture;
    LateReader reader(fixture.machine(13), fixture.front->endpoint());
    const std::string bad = VirtualNodeFixture::startMessage(77, "unheard").dump() + "\n";
    reader.send(bad + bad + bad + bad + std::string(12'000, 'x'));
    fixture.run(300'000);
    EXPECT_FALSE(reader.readAvailable());
    EXPECT_EQ(reader.lineCount(), 4);
    EXPECT_FALSE(reader.isBroken);
}

// Guards against a descriptor that is held for a peer that neither reads nor closes.
TEST(NodeViewers, LingeringCloseEnds) {
    VirtualNodeFixture fixture;
    LateReader sender(fixture.machine(13), fixture.front->endpoint());
    const std::string bad = VirtualNodeFixture::startMessage(77, "unheard").dump() + "\n";
    sender.send(bad + bad + bad + bad);
    fixture.run(100'000);
    for (int i = 0; i < 100; ++i) {
        sender.send(std::string(10'000, 'x'));
        fixture.run(1'000);
    }
    sender.readAvailable();
    EXPECT_TRUE(sender.isBroken);  // it kept sending: the byte limit
    LateReader idleReader(fixture.machine(13), fixture.front->endpoint());
    idleReader.send(bad + bad + bad + bad);
    fixture.run(1'500'000);
    idleReader.send("x");
    fixture.run(100'000);
    idleReader.readAvailable();
    EXPECT_TRUE(idleReader.isBroken);  // the time limit
}

// If all connections are needed, the set-up on a further one is refused, not just disconnected.
TEST(NodeViewers, SetupBeyondTheConnectionLimitIsRefused) {
    VirtualNodeFixture fixture;
    for (const auto& s : fixture.servers)
        s->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
    std::vector<std::unique_ptr<fakes::PlatformConnection>> connections;
    for (int n = 1; n <= 130; ++n) {
        connections.push_back(fixture.connectViewer());
        connections.back()->send(VirtualNodeFixture::startMessage(n, "talk", "t" + std::to_string(n)));
        fixture.run(1'000);
    }
    for (int n = 121; n <= 130; ++n) EXPECT_EQ(fixture.responses(n), "42") << n;
    fixture.run(100'000);
    EXPECT_TRUE(connections.back()->isClosed());
    EXPECT_FALSE(connections.front()->isClosed());
}

// A connection with an unread set-up is not closed to make room for a new one.
TEST(NodeViewers, UnreadInputIsReadBeforeEviction) {
    NodeFixture<SocketMachines> fixture;
    std::vector<std::unique_ptr<fakes::PlatformConnection>> silent;
    for (int i = 0; i < 119; ++i) {
        silent.push_back(fixture.connectViewer());
        fixture.run(1'000);
    }
    const auto next = fixture.connectViewer();  // to be accepted before the set-up is read
    fixture.viewer->send(VirtualNodeFixture::startMessage(1));
    EXPECT_TRUE(fixture.loop.until([&] { return fixture.responses(1) == "+"; }, 2 * kSecond));
}

// Many idle connections and tests while the change log is down: descriptors are left for the change log,
// media servers and viewers.
TEST(NodeViewers, ManyConnectionsLeaveDescriptorsForOthers) {
    VirtualNodeFixture fixture;
    const net::Endpoint endpoint = fixture.changeLog->endpoint();
    fixture.changeLog.reset();
    std::vector<std::unique_ptr<fakes::PlatformConnection>> connections;
    for (int i = 0; i < 600; ++i) {
        connections.push_back(std::make_unique<fakes::PlatformConnection>(
            fixture.machine(13), fixture.front->endpoint(), [](auto&, const Json&) {}));
        if (i % 2) connections.back()->sendBytes(kTestLine);
        if (i % 20 == 0) fixture.run(10'000);
    }
    fixture.changeLog = std::make_unique<fakes::PlatformChangeLog>(fixture.machine(10), endpoint);
    fixture.changeLog->last = 1;
    fixture.changeLog->add({{0, fixture.servers[0]->endpoint(), 1, 0}});
    fixture.run(500'000);
    ASSERT_FALSE(fixture.changeLog->requests.empty());
    fixture.viewer = fixture.connectViewer();
    for (int n = 1; n <= 10; ++n) fixture.request(n, "talk", "t" + std::to_string(n));
    fixture.run(kSecond);
    for (int n = 1; n <= 10; ++n) EXPECT_EQ(fixture.responses(n), "+") << n;
    EXPECT_TRUE(fixture.servers[0]->setups.empty());
    EXPECT_LE(fixture.nodes[11]->peakStreamCount(), 256u / 2 + 256 / 3 + 2);
}

// A process that was not scheduled for a while runs its timers before it reads what has arrived meanwhile.
TEST(NodeViewers, InputThatArrivedDuringAPauseIsReadBeforeTimeouts) {
    VirtualNodeFixture fixture;
    const auto silent = fixture.connectViewer();
    const auto partial = fixture.connectViewer();
    const std::string line = VirtualNodeFixture::startMessage(2, "talk", "u").dump() + "\n";
    partial->sendBytes(line.substr(0, 100));
    fixture.run(1'500'000);
    fixture.nodes[11]->pause();
    silent->send(VirtualNodeFixture::startMessage(1));
    partial->sendBytes(line.substr(100));
    fixture.run(kSecond);
    fixture.nodes[11]->resume();
    fixture.run(500'000);
    EXPECT_EQ(fixture.responses(1), "+");
    EXPECT_EQ(fixture.responses(2), "+");
}

TEST(NodeViewers, RequestsSplitIntoBytesAreServed) {
    VirtualNodeFixture fixture;
    std::string all;
    for (int n = 1; n <= 3; ++n)
        all += VirtualNodeFixture::startMessage(n, "talk", "t" + std::to_string(n)).dump() + "\n" + kTestLine;
    for (const char c : all) {
        fixture.viewer->sendBytes(std::string(1, c));
        fixture.run(2'000);
    }
    fixture.run(500'000);
    for (int n = 1; n <= 3; ++n) EXPECT_EQ(fixture.responses(n), "+") << n;
    EXPECT_EQ(fixture.responses(99), "1 1 1");
    fixture.viewer = fixture.connectViewer();
    fixture.viewer->sendBytes(VirtualNodeFixture::startMessage(4, "talk", "x").dump() + "\n" +
                              VirtualNodeFixture::startMessage(5, "talk", "y").dump() + "\n");
    fixture.run(500'000);
    EXPECT_EQ(fixture.responses(4), "+");
    EXPECT_EQ(fixture.responses(5), "+");
}

// However a viewer's connection ends, its set-ups are cancelled at once.
TEST(NodeViewers, EndOfAConnectionCancelsItsSetups) {
    for (int how = 0; how < 6; ++how) {
        VirtualNodeFixture fixture(1);
        fixture.servers[0]->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
        fixture.request(1);
        fixture.request(2, "talk", "u");
        fixture.run(200'000);
        ASSERT_EQ(fixture.setupCount(1) + fixture.setupCount(2), 2);
        if (how == 0) fixture.viewer->close(false);
        if (how == 1) fixture.viewer->close(true);
        if (how == 2) fixture.viewer->sendBytes("noise\n");
        if (how == 3) fixture.viewer->sendBytes(std::string(20'000, 'x'));
        if (how == 4) fixture.request(1);  // a duplicate tag
        if (how == 5)
            for (int i = 0; i < 4; ++i) fixture.viewer->send(VirtualNodeFixture::startMessage(77, "unheard"));
        fixture.run(20'000);
        EXPECT_EQ(fixture.servers[0]->finishCount, 2) << how;
        EXPECT_EQ(fixture.front->tableEntryCount(), 0u) << how;
    }
    VirtualNodeFixture fixture(1);  // a set-up and the close in one segment leave nothing behind
    LateReader reader(fixture.machine(13), fixture.front->endpoint());
    reader.send(VirtualNodeFixture::startMessage(1).dump() + "\n");
    fixture.world.step(fixture.world.now() + kSecond);
    reader.stream.reset();
    fixture.run(kSecond);
    EXPECT_EQ(fixture.front->tableEntryCount(), 0u);
}

// A release sent on a connection that was already reset, unnoticed, is sent again on another.
TEST(NodeViewers, ReleaseLostWithItsConnectionIsSentAgain) {
    VirtualNodeFixture fixture(1);
    fixture.request(1);
    const auto other = fixture.connectViewer();
    other->send(VirtualNodeFixture::startMessage(2, "talk", "u"));
    fixture.run(kSecond);
    fixture.servers[0]->end(idOf(1), 16);
    fixture.run(250);  // the front sends it while the reset is in flight
    fixture.viewer->close(true);
    fixture.run(500'000);
    EXPECT_EQ(fixture.responses(1), "+ 16");
}

// Guards against a burst of releases that makes a viewer look like a slow reader.
TEST(NodeViewers, BurstOfReleasesDoesNotCloseAConnection) {
    VirtualNodeFixture fixture;
    const int count = 4000;
    for (int n = 1; n <= count; ++n) {
        Json message = VirtualNodeFixture::startMessage(n);
        message["opts"]["extras"] = "home:0;copies:3;top:2;at:s-00000000";
        fixture.viewer->send(message);
        if (n % 200 == 0) fixture.run(20'000);
    }
    fixture.run(100'000);
    fixture.viewer->close(true);
    fixture.run(100'000);
    fixture.servers[0]->crash();
    fixture.run(500'000);
    LateReader reader(fixture.machine(13), fixture.front->endpoint());
    std::string input = VirtualNodeFixture::startMessage(5000).dump() + "\n";
    for (int i = 0; i < 5200; ++i) input += kTestLine;  // their responses fill its buffer already
    reader.send(input);
    fixture.run(500'000);
    for (int i = 0; i < 300; ++i) {
        reader.readAvailable();
        fixture.run(10'000);
    }
    EXPECT_EQ(reader.lineCount(), count + 1 + 5200);
    EXPECT_FALSE(reader.isBroken);
}

// Thousands of set-ups that are abandoned, reset, left or handed over leave no entry in any table.
TEST(NodeViewers, ChurnLeavesNoTableEntries) {
    VirtualNodeFixture fixture;
    std::mt19937 random(11);
    for (const auto& s : fixture.servers)
        s->reaction = [&](const std::string&) {
            const auto choice = random() % 12;
            return choice == 0   ? SetupReaction::RefuseFull
                   : choice == 1 ? SetupReaction::NoAnswer
                   : choice == 2 ? SetupReaction::Reset
                   : choice == 3 ? SetupReaction::Garbage
                                 : SetupReaction::Play;
        };
    std::vector<std::unique_ptr<fakes::PlatformConnection>> viewers(6);
    for (int n = 1; n <= 4000; ++n) {
        auto& viewer = viewers[random() % viewers.size()];
        if (!viewer || viewer->isClosed()) viewer = fixture.connectViewer();
        Json message =
            VirtualNodeFixture::startMessage(n, n % 5 ? "talk" : "paid", "t" + std::to_string(n % 50));
        if (n % 7 == 0)
            message["opts"]["extras"] = "home:0;copies:3;top:2;at:s-0000000" + std::to_string(n % 3);
        viewer->send(message);
        fixture.run(2'000);
        if (n > 100 && random() % 3) {
            const int earlier = n - static_cast<int>(random() % 100);
            viewer->send({{"verb", "FINISH"}, {"tag", idOf(earlier)}, {"opts", Json::object()}, {"rc", 16}});
        }
        if (random() % 20 == 0) viewer->close(random() % 2);
        if (random() % 60 == 0 && !viewer->isClosed()) viewer->sendBytes("noise\n");
        if (random() % 90 == 0) fixture.servers[random() % 3]->resetConnections();
    }
    fixture.run(4 * kSecond);
    fixture.viewer = fixture.connectViewer();
    for (int n = 1; n <= 4000; ++n) fixture.sendFinish(n);
    fixture.run(kSecond);
    for (const auto& viewer : viewers)
        if (viewer) viewer->close(false);
    fixture.viewer->close(false);
    fixture.run(12 * kSecond);
    EXPECT_EQ(fixture.front->tableEntryCount(), 0u);
    EXPECT_EQ(fixture.front->givenUpAttemptCount(), 0u);
    EXPECT_EQ(fixture.front->connectionCount(), 0u);
    for (const auto& s : fixture.servers) EXPECT_TRUE(s->playing.empty());
}

// Guards against connects that fail together and are retried at once: each used two descriptors.
TEST(NodeViewers, AbandonedConnectFreesItsDescriptorAtOnce) {
    struct NullHandler final : node::LineConnectionHandler {
        void onLine(std::string_view) override {}
        void onDisconnect(node::DisconnectReason) override {}
    } handler;
    net::VirtualNetwork world{5};
    net::VirtualNode& machine = world.node("here", VirtualMachines::place(0).ip);
    net::TurnQueue turns(machine);
    net::BufferBudget buffers(machine, 1'000);
    std::vector<std::unique_ptr<node::LineConnection>> connections;
    for (int i = 0; i < 10; ++i) {
        connections.push_back(std::make_unique<node::LineConnection>(
            machine, node::LineConnection::Shared{turns, buffers}, VirtualMachines::place(1), kSecond,
            node::LineConnection::Limits{100, 100, kSecond}, handler));
        connections.back()->close();
    }
    EXPECT_EQ(machine.peakStreamCount(), 1u);
    world.runUntil(world.now() + kSecond);
}

// ================= planned stop =================

// Starts a planned stop, and destroys the node at the very event at which it reports that it has stopped.
struct PlannedStop {
    explicit PlannedStop(VirtualNodeFixture& fixture) : fixture(fixture), requestedAt(fixture.world.now()) {
        fixture.front->stop([this] { isStopped = true; });
    }
    void runUntil(Micros elapsed) {
        while (fixture.world.step(requestedAt + elapsed))
            if (isStopped) fixture.front.reset();
    }
    VirtualNodeFixture& fixture;
    Micros requestedAt;
    bool isStopped = false;
};

// Replaces the fixture's node by one with a changed configuration.
void restart(VirtualNodeFixture& fixture, const std::function<void(Json&)>& change) {
    Json configuration = Json::parse(fixture.configuration());
    configuration["listen"] = net::toString(VirtualMachines::place(15));
    change(configuration);
    fixture.front = std::make_unique<node::Node>(fixture.machine(15), "config.json", configuration.dump(),
                                                 fixture.logger);
    fixture.viewer = fixture.connectViewer();
    fixture.run(50'000);
}

// Guards against a stop that completes between the arrival of a set-up and the turn that reads it.
TEST(NodeStop, UnreadSetupAtTheEarliestStopIsAnswered) {
    for (const bool newConnection : {false, true}) {
        VirtualNodeFixture fixture;
        PlannedStop stop(fixture);
        stop.runUntil(550'000);
        fixture.nodes[11]->pause();
        if (newConnection) fixture.viewer = fixture.connectViewer();
        fixture.request(1);
        stop.runUntil(750'000);
        fixture.nodes[11]->resume();
        stop.runUntil(2 * kSecond);
        EXPECT_EQ(fixture.responses(1), "+");
    }
}

TEST(NodeStop, StopsSoonIfNothingIsOpen) {
    VirtualNodeFixture fixture;
    PlannedStop stop(fixture);
    stop.runUntil(690'000);
    EXPECT_FALSE(stop.isStopped);
    stop.runUntil(kSecond);
    EXPECT_TRUE(stop.isStopped);
    EXPECT_TRUE(fixture.viewer->isClosed());
}

// SIGKILL may come 0.7 s plus the longest client timeout, of which at most 3 s count, after SIGTERM.
TEST(NodeStop, AnswersAndReleasesAllBeforeTheEarliestKill) {
    for (const double deadline : {8.0, 3.0, 1.5}) {
        VirtualNodeFixture fixture;
        restart(fixture, [&](Json& configuration) {
            for (Json& room : configuration["settings"]["request_classes"]) room["deadline"] = deadline;
        });
        for (const auto& s : fixture.servers)
            s->reaction = [](const std::string& tag) {
                return tag == idOf(2) ? SetupReaction::NoAnswer : SetupReaction::Play;
            };
        fixture.request(1);
        fixture.run(500'000);
        PlannedStop stop(fixture);
        const Micros kill = static_cast<Micros>(std::min(deadline, 3.0) * 1e6) + 700'000;
        stop.runUntil(600'000);
        Json last = VirtualNodeFixture::startMessage(2, "talk", "u");
        last["opts"]["left"] = std::to_string(static_cast<int>(deadline * 1000));
        fixture.viewer->send(last);
        stop.runUntil(kill - 500'000);
        EXPECT_EQ(fixture.responses(1), "+") << deadline;  // not before it must be
        stop.runUntil(kill - 300'000);
        EXPECT_EQ(fixture.responses(1), "+ 41") << deadline;
        fixture.request(3);
        stop.runUntil(kill);
        EXPECT_TRUE(stop.isStopped) << deadline;
        EXPECT_EQ(fixture.responses(2), "41") << deadline;
        EXPECT_EQ(fixture.responses(3), "42") << deadline;
        for (const auto& s : fixture.servers) EXPECT_TRUE(s->playing.empty()) << deadline;
    }
}

// The node waits for a viewer that has no room yet for its release.
TEST(NodeStop, WaitsUntilItsOutputIsTaken) {
    VirtualNodeFixture fixture;
    LateReader reader(fixture.machine(13), fixture.front->endpoint());
    reader.send(VirtualNodeFixture::startMessage(1).dump() + "\n");
    fixture.run(500'000);
    std::string tests;
    for (int i = 0; i < 5000; ++i) tests += kTestLine;
    reader.send(tests);
    PlannedStop stop(fixture);
    stop.runUntil(3'450'000);
    for (Micros elapsed = 3'450'000; elapsed < 4 * kSecond; elapsed += 10'000) {
        stop.runUntil(elapsed);
        if (!reader.readAvailable()) break;
    }
    EXPECT_NE(reader.input.find(R"("FINISH")"), std::string::npos);
    EXPECT_EQ(reader.lineCount(), 5002);
    EXPECT_FALSE(reader.isBroken);
}

// A new process is handed over playing subscriptions as soon as it has answered its first test.
TEST(NodeViewers, HandoverRightAfterTheFirstTest) {
    VirtualNodeFixture fixture;
    Json handover = VirtualNodeFixture::startMessage(1);
    handover["opts"]["extras"] = "home:0;copies:3;top:2;at:s-00000001";
    const Json test = {{"verb", "ECHO"}, {"tag", idOf(99)}, {"opts", Json::object()}, {"rc", 0}};
    fixture.viewer->sendBytes(test.dump() + "\n" + handover.dump() + "\n");
    fixture.run(100'000);
    EXPECT_EQ(fixture.responses(99), "1");
    fixture.servers[1]->playing.insert(idOf(1));
    fixture.servers[1]->end(idOf(1), 16);
    fixture.run(500'000);
    EXPECT_EQ(fixture.responses(1), "16");
}

// ================= viewers that have left =================

// A viewer that sends faster than its input is handled: what is read ahead must not grow without end.
TEST(NodeViewers, InputOfABusyViewerIsBounded) {
    VirtualNodeFixture fixture;
    LateReader busy(fixture.machine(13), fixture.front->endpoint());
    std::string input;
    while (input.size() < 20'000'000)
        input += R"({"verb":"PENDING","tag":"0000000000000063"})"
                 "\n";
    busy.send(input);
    std::size_t most = 0;
    for (int i = 0; i < 3'000; ++i) {
        fixture.run(1'000);
        most = std::max(most, fixture.front->viewersHeldBytes());
    }
    EXPECT_GT(most, 2'000'000u);
    EXPECT_LT(most, 9'000'000u);  // 4 MiB, in a buffer that grows by doubling
    EXPECT_FALSE(busy.isBroken);
}

// A paid set-up comes again with its id after its viewer left: it ran twice, or its connection was closed
// without an answer.
TEST(NodeViewers, PaidSetupThatComesAgainAfterItsViewerLeftRunsOnce) {
    for (const Micros pause : {10'000, 50'000, 150'000, 500'000, 5'000'000}) {
        VirtualNodeFixture fixture;
        for (const auto& server : fixture.servers) server->setupTime = 200'000;
        const auto leaving = fixture.connectViewer();
        leaving->send(VirtualNodeFixture::startMessage(1, "paid"));
        fixture.run(100'000);
        ASSERT_EQ(fixture.setupCount(1), 1) << pause;
        leaving->close(false);
        fixture.run(pause);
        fixture.viewer = fixture.connectViewer();
        fixture.request(1, "paid");
        fixture.run(2 * kSecond);
        EXPECT_EQ(fixture.setupCount(1), 1) << pause;
        EXPECT_EQ(fixture.responses(1), "41") << pause;  // failed: a refusal would say that it never ran
        EXPECT_EQ(fixture.serverPlaying(1), nullptr) << pause;
        fixture.request(2, "paid");
        fixture.run(kSecond);
        EXPECT_EQ(fixture.responses(2), "+") << pause;
    }
}

// The same after it has played and come to its end.
TEST(NodeViewers, PaidSetupThatHasPlayedDoesNotRunAgain) {
    VirtualNodeFixture fixture;
    fixture.request(1, "paid");
    fixture.run(kSecond);
    ASSERT_EQ(fixture.responses(1), "+");
    fixture.serverPlaying(1)->end(idOf(1), 16);
    fixture.run(kSecond);
    fixture.request(1, "paid");
    fixture.run(kSecond);
    EXPECT_EQ(fixture.setupCount(1), 1);
    EXPECT_EQ(fixture.responses(1), "+ 16 41");
}

// One that provably never ran may come again.
TEST(NodeViewers, PaidSetupThatNeverRanMayComeAgain) {
    VirtualNodeFixture fixture;
    for (const auto& server : fixture.servers)
        server->reaction = [](const std::string&) { return SetupReaction::RefuseFull; };
    fixture.request(1, "paid");
    fixture.run(4 * kSecond);
    ASSERT_NE(fixture.responses(1), "");
    fixture.messages.clear();
    for (const auto& server : fixture.servers)
        server->reaction = [](const std::string&) { return SetupReaction::Play; };
    fixture.run(20 * kSecond);  // the media servers count as usable again
    fixture.viewer = fixture.connectViewer();
    fixture.request(1, "paid");
    fixture.run(kSecond);
    EXPECT_EQ(fixture.responses(1), "+");
}

}  // namespace
}  // namespace valekeel
