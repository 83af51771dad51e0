// Tests of the change log's client: each forces one combination of faults, reloads and events, on a virtual
// clock (the one on descriptors: on sockets), against a scripted change log. The bounds are the platform's:
// events must be known 2 s after a break, and 4 s after the start of a silence or after SIGHUP.
#include "node/changelog.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "fakes/platform.hpp"
#include "loop_fixture.hpp"
#include "net/virtual.hpp"
#include "node/node.hpp"
#include "node_fixture.hpp"

namespace valekeel {
namespace {

using Json = nlohmann::json;
using fakes::PlatformChangeLog;

constexpr Micros kAfterBreak = 2 * kSecond, kAfterSilence = 4 * kSecond, kAfterReload = 4 * kSecond;

// A change log that by itself only sends heartbeats; the test decides what it sends on which connection.
class ScriptedChangeLog final : net::ListenerHandler {
  public:
    struct Connection final : net::StreamHandler {
        Connection(ScriptedChangeLog& log, std::unique_ptr<net::Stream> stream)
            : log(log), stream(std::move(stream)) {
            this->stream->setHandler(*this);
        }
        void onReadable() override {
            std::array<char, 64> buffer;
            while (stream) {
                const net::IoResult result = stream->read(buffer);
                if (result.status == net::IoResult::Status::WouldBlock) return;
                if (result.status != net::IoResult::Status::Ready) return stream.reset();
                input.append(buffer.data(), result.bytes);
                if (hasRequested || input.size() < 8) continue;
                hasRequested = true;
                std::uint64_t from = 0;
                for (std::size_t i = 0; i < 8; ++i) from = from << 8 | static_cast<unsigned char>(input[i]);
                log.requests.push_back(from);
                if (log.onRequest) log.onRequest(*this, from);
            }
        }
        void onWritable() override {}
        void send(const std::string& bytes) {
            if (stream) stream->write(bytes);
        }
        ScriptedChangeLog& log;
        std::unique_ptr<net::Stream> stream;
        std::string input;
        bool hasRequested = false;
    };

    ScriptedChangeLog(net::Net& net, const net::Endpoint& endpoint)
        : net_(net), endpoint_(endpoint), heartbeatTimer_(net, [this] { sendHeartbeat(); }) {
        startListening();
        heartbeatTimer_.after(kSecond);
    }
    net::Endpoint endpoint() const { return endpoint_; }
    void startListening() {
        listener_ = net_.listen(endpoint_, *this);
        endpoint_ = listener_->endpoint();
    }
    void stopListening() {  // refuses new connections; open ones stay
        listener_.reset();
    }
    void closeAll() {
        for (const auto& connection : connections) connection->stream.reset();
    }
    std::size_t openCount() const {
        std::size_t count = 0;
        for (const auto& connection : connections) count += connection->stream != nullptr;
        return count;
    }
    Connection& latest() { return *connections.back(); }
    // Makes it answer each request like a working change log: with all later events.
    void sendOnRequest(const std::map<std::uint64_t, std::string>& events) {
        onRequest = [events](Connection& connection, std::uint64_t from) {
            for (const auto& [sequenceNumber, bytes] : events)
                if (sequenceNumber > from) connection.send(bytes);
        };
    }
    std::function<void(Connection&, std::uint64_t from)> onRequest;
    bool sendsHeartbeats = true;
    std::uint64_t last = 1;
    std::vector<std::uint64_t> requests;
    std::vector<std::unique_ptr<Connection>> connections;

  private:
    void onAccepted(std::unique_ptr<net::Stream> stream) override {
        connections.push_back(std::make_unique<Connection>(*this, std::move(stream)));
    }
    void sendHeartbeat() {
        heartbeatTimer_.after(kSecond);
        if (!sendsHeartbeats) return;
        for (const auto& connection : connections)
            if (connection->hasRequested) connection->send(PlatformChangeLog::makeFrame(last, 0, {}));
    }
    net::Net& net_;
    net::Endpoint endpoint_;
    std::unique_ptr<net::Listener> listener_;
    net::Timer heartbeatTimer_;
};

struct RecordingHandler final : node::ChangeLogHandler {
    void onChange(const node::ChangeEvent& event) override {
        sequenceNumbers.push_back(event.sequenceNumber);
        if (onChanged) onChanged(event);
    }
    void onCurrent() override { ++currentCount; }
    void onUnreachable(const std::string& why) override { errors.push_back(why); }
    std::vector<std::uint64_t> sequenceNumbers;
    std::function<void(const node::ChangeEvent&)> onChanged;
    std::vector<std::string> errors;
    int currentCount = 0;
};

net::Endpoint endpointOf(int n) {
    return *net::parseEndpoint("10.0.1." + std::to_string(n) + ":2379");
}
std::string drainEvent(std::uint64_t number) {
    return PlatformChangeLog::makeFrame(number, 2, {{7, endpointOf(9), 1}});
}

struct ChangeLogTest : testing::Test {
    net::VirtualNetwork world{11};
    net::VirtualNode& front = world.node("front", endpointOf(1).ip);
    net::VirtualNode& logMachine = world.node("log", endpointOf(2).ip);
    net::VirtualNode& otherMachine = world.node("other", endpointOf(3).ip);
    ScriptedChangeLog log{logMachine, endpointOf(2)};
    RecordingHandler handler;
    node::ChangeLogClient client{
        front, endpointOf(2), 1, node::FrameReader(1, 1, 4096), node::ChangeLogTimings{}, handler};
    void run(Micros time) { world.runUntil(world.now() + time); }
    // Runs until `holds`, at most for `atMost`. Returns the time that passed.
    Micros timeUntil(const std::function<bool()>& holds, Micros atMost = 20 * kSecond) {
        const Micros start = world.now();
        while (!holds() && world.now() < start + atMost && world.step(start + atMost)) {
        }
        return world.now() - start;
    }
    bool hasEvent(std::uint64_t number) const {
        return std::find(handler.sequenceNumbers.begin(), handler.sequenceNumbers.end(), number) !=
               handler.sequenceNumbers.end();
    }
};

// A connection may open up to a second late, which must not make the client give it up and start over.
TEST_F(ChangeLogTest, LateConnectionIsUsed) {
    for (const Micros oneWay : {240'000, 260'000, 290'000, 400'000, 490'000}) {
        RecordingHandler handler;
        node::ChangeLogClient client(front, endpointOf(2), 1, node::FrameReader(1, 1, 16),
                                     node::ChangeLogTimings{}, handler);
        world.latency = [&](const auto&, const auto&) { return oneWay; };
        log.onRequest = [](ScriptedChangeLog::Connection& connection, std::uint64_t) {
            connection.send(drainEvent(2));
        };
        client.start();
        EXPECT_LE(timeUntil([&] { return !handler.sequenceNumbers.empty(); }), kAfterBreak) << oneWay;
    }
}

// A reload while the connect to the old address is in progress or just succeeds: that connection must not
// stay open.
TEST_F(ChangeLogTest, ReloadWhileConnecting) {
    ScriptedChangeLog other(otherMachine, endpointOf(3));
    other.sendOnRequest({{2, drainEvent(2)}});
    for (const Micros into : {0, 100, 300, 390, 410, 700}) {
        RecordingHandler handler;
        node::ChangeLogClient client(front, endpointOf(2), 1, node::FrameReader(1, 1, 16),
                                     node::ChangeLogTimings{}, handler);
        client.start();
        run(into);
        client.switchTo(other.endpoint());
        EXPECT_LE(timeUntil([&] { return !handler.sequenceNumbers.empty(); }), kAfterReload) << into;
        run(3 * kSecond);
        EXPECT_EQ(handler.sequenceNumbers, std::vector<std::uint64_t>{2}) << into;
        EXPECT_EQ(log.openCount(), 0u) << into;
    }
}

TEST_F(ChangeLogTest, ReloadDuringBackoffConnectsAtOnce) {
    client.start();
    run(1'500'000);
    log.stopListening();
    log.closeAll();
    ScriptedChangeLog other(otherMachine, endpointOf(3));
    other.sendOnRequest({{2, drainEvent(2)}});
    run(700'000);  // refused repeatedly
    client.switchTo(other.endpoint());
    EXPECT_LE(timeUntil([&] { return hasEvent(2); }), 110'000);
}

// Nobody listens at the new address yet, and reloads switch away from it and back.
TEST_F(ChangeLogTest, ReloadToAnAddressThatListensLater) {
    client.start();
    run(1'500'000);
    log.stopListening();
    ScriptedChangeLog other(otherMachine, endpointOf(3));
    other.stopListening();
    other.sendOnRequest({{2, drainEvent(2)}});
    client.switchTo(other.endpoint());
    run(200'000);
    client.switchTo(endpointOf(2));
    client.switchTo(other.endpoint());
    run(2'800'000);
    other.startListening();
    EXPECT_LE(timeUntil([&] { return hasEvent(2); }), kSecond);
    run(5 * kSecond);
    EXPECT_EQ(log.requests.size(), 1u);  // nothing of the old connection continues
    EXPECT_EQ(other.requests.size(), 1u);
    EXPECT_EQ(other.openCount(), 1u);
}

// A drain that the old change log sent before the reload must be known in time, though nobody may answer at
// the new address for seconds.
TEST_F(ChangeLogTest, EventInFlightAtAReloadIsReceived) {
    client.start();
    run(1'500'000);
    log.latest().send(drainEvent(2));
    client.switchTo(endpointOf(3));  // the drain is in flight
    run(500'000);
    EXPECT_TRUE(hasEvent(2));
    ScriptedChangeLog other(otherMachine, endpointOf(3));
    run(kSecond);
    EXPECT_EQ(other.requests, std::vector<std::uint64_t>{2});
}

TEST_F(ChangeLogTest, ReloadBreakAndDrainAtOnce) {
    for (const bool breakFirst : {true, false}) {
        RecordingHandler handler;
        node::ChangeLogClient client(front, endpointOf(2), 1, node::FrameReader(1, 1, 16),
                                     node::ChangeLogTimings{}, handler);
        ScriptedChangeLog other(otherMachine, endpointOf(3));
        other.sendOnRequest({{2, drainEvent(2)}, {3, drainEvent(3)}});
        client.start();
        run(1'500'000);
        log.latest().send(drainEvent(2));
        if (breakFirst) log.closeAll();
        run(200);  // both have arrived or are arriving
        client.switchTo(other.endpoint());
        if (!breakFirst) log.closeAll();
        EXPECT_LE(timeUntil([&] { return handler.sequenceNumbers.size() == 2; }), kAfterBreak);
        run(3 * kSecond);
        EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{2, 3}));
        EXPECT_EQ(other.requests, std::vector<std::uint64_t>{2});
    }
}

// switchTo() may be called from within onChange().
TEST_F(ChangeLogTest, ReloadFromWithinAnEvent) {
    ScriptedChangeLog other(otherMachine, endpointOf(3));
    other.sendOnRequest({{4, drainEvent(4)}});
    handler.onChanged = [&](const node::ChangeEvent& event) {
        if (event.sequenceNumber == 2) client.switchTo(other.endpoint());
    };
    log.onRequest = [](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        connection.send(drainEvent(2) + drainEvent(3));
    };
    client.start();
    run(3 * kSecond);
    EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{2, 3, 4}));
}

// The old connection holds more unread bytes than are read at once, and nobody answers at the new address.
TEST_F(ChangeLogTest, UnreadEventsAtAReloadAreReceived) {
    const std::vector<PlatformChangeLog::Server> servers(4096, {7, endpointOf(9)});
    node::ChangeLogTimings timings;
    timings.reconnectDelay = 1;  // the switch comes before the rest is read
    RecordingHandler handler;
    node::ChangeLogClient client(front, endpointOf(2), 1, node::FrameReader(1, 1, 4096), timings, handler);
    handler.onChanged = [&](const node::ChangeEvent& event) {
        if (event.sequenceNumber == 2) client.switchTo(endpointOf(3));
    };
    log.onRequest = [&](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        connection.send(PlatformChangeLog::makeFrame(2, 1, servers) +
                        PlatformChangeLog::makeFrame(3, 1, servers) + drainEvent(4));
    };
    client.start();
    run(kSecond);
    EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{2, 3, 4}));
}

// A reload to the current address keeps an open connection; if that one is about to close, its loss is
// noticed.
TEST_F(ChangeLogTest, ReloadToTheSameAddressKeepsTheConnection) {
    client.start();
    run(1'500'000);
    client.switchTo(log.endpoint());
    run(2 * kSecond);
    EXPECT_EQ(log.requests.size(), 1u);
    client.switchTo(log.endpoint());
    log.sendsHeartbeats = false;  // the old process sends nothing more and closes after 1.5 s
    const Micros from = world.now();
    run(1'500'000);
    log.closeAll();
    log.sendsHeartbeats = true;
    log.sendOnRequest({{2, drainEvent(2)}});
    timeUntil([&] { return hasEvent(2); });
    EXPECT_LE(world.now() - from, kAfterReload);
}

// Silence is measured by complete frames; bytes that never complete one must not extend it.
TEST_F(ChangeLogTest, SingleBytesCountAsSilence) {
    client.start();
    run(1'500'000);
    log.sendsHeartbeats = false;
    const std::string event =
        PlatformChangeLog::makeFrame(2, 2, std::vector<PlatformChangeLog::Server>(40, {7, endpointOf(9), 1}));
    ScriptedChangeLog::Connection& first = log.latest();
    log.sendOnRequest({{2, drainEvent(2)}});
    const Micros from = world.now();
    for (std::size_t i = 0; i < event.size() && !hasEvent(2) && world.now() < from + 6 * kSecond; ++i) {
        first.send(event.substr(i, 1));
        run(400'000);
    }
    timeUntil([&] { return hasEvent(2); });
    EXPECT_LE(world.now() - from, kAfterSilence);
    EXPECT_EQ(first.stream, nullptr);
}

TEST_F(ChangeLogTest, PartialFrameCountsAsSilence) {
    client.start();
    for (int times = 0; times < 3; ++times) {  // repeatedly, and late in a connection's life
        log.onRequest = nullptr;
        run(7'300'000);
        log.sendsHeartbeats = false;
        const std::uint64_t next = client.lastSequenceNumber() + 1;
        log.latest().send(drainEvent(next).substr(0, 20));
        log.sendOnRequest({{next, drainEvent(next)}});
        EXPECT_LE(timeUntil([&] { return hasEvent(next); }), kAfterSilence);
        log.sendsHeartbeats = true;
        log.last = next;
    }
}

// The longest list is received even over a slow path, and so is a response that is always late.
TEST_F(ChangeLogTest, SlowFullListIsReceived) {
    std::vector<PlatformChangeLog::Server> servers;
    for (std::uint32_t i = 0; i < 4096; ++i) servers.push_back({i, endpointOf(9)});
    const std::string frame = PlatformChangeLog::makeFrame(2, 1, servers);
    log.sendsHeartbeats = false;
    client.start();
    ScriptedChangeLog::Connection* target = nullptr;
    std::size_t offset = 0;
    const Micros from = world.now();
    while (!hasEvent(2) && world.now() < from + 20 * kSecond) {
        run(50'000);  // 25 kB/s
        if (log.connections.empty()) continue;
        if (target != &log.latest()) offset = 0;
        target = &log.latest();
        target->send(frame.substr(offset, 1250));
        offset = std::min(frame.size(), offset + 1250);
    }
    EXPECT_TRUE(hasEvent(2));
}
TEST_F(ChangeLogTest, AlwaysLateResponseIsReceived) {
    log.sendsHeartbeats = false;
    std::vector<std::pair<Micros, ScriptedChangeLog::Connection*>> due;
    log.onRequest = [&](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        due.emplace_back(world.now() + 2 * kSecond, &connection);
    };
    client.start();
    const Micros from = world.now();
    while (!hasEvent(2) && world.now() < from + 20 * kSecond) {
        run(50'000);
        for (auto& [when, connection] : due)
            if (world.now() >= when) connection->send(drainEvent(2));
    }
    EXPECT_TRUE(hasEvent(2));
}

// The change log accepts connections and sends nothing: the client must request again within 4 s.
TEST_F(ChangeLogTest, SilentChangeLogIsRequestedAgain) {
    client.start();
    run(1'500'000);
    log.sendsHeartbeats = false;
    run(kAfterSilence);
    EXPECT_GE(log.requests.size(), 3u);
    EXPECT_LE(log.requests.size(), 4u);
    log.sendOnRequest({{2, drainEvent(2)}});
    EXPECT_LE(timeUntil([&] { return hasEvent(2); }), kAfterSilence);
    EXPECT_EQ(handler.errors, std::vector<std::string>{"silent"});
}

// Guards against a reconnect storm of all fronts at a change log that closes each connection after its
// response.
TEST_F(ChangeLogTest, BacksOffFromAChangeLogThatCloses) {
    std::uint64_t next = 2;
    log.onRequest = [&](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        connection.send(drainEvent(next++));
        connection.stream.reset();
    };
    client.start();
    run(10 * kSecond);
    EXPECT_LE(log.requests.size(), 35u);
    EXPECT_GE(log.requests.size(), 15u);
    EXPECT_EQ(handler.sequenceNumbers.size(), log.requests.size());
}

// All fronts lose the change log at the same time and must not all reconnect at the same time.
TEST(ChangeLogClient, FrontsReconnectAtDifferentTimes) {
    net::VirtualNetwork world{3};
    net::VirtualNode& logMachine = world.node("log", endpointOf(2).ip);
    ScriptedChangeLog log(logMachine, endpointOf(2));
    std::vector<std::unique_ptr<RecordingHandler>> handlers;
    std::vector<std::unique_ptr<node::ChangeLogClient>> fronts;
    for (int i = 0; i < 100; ++i) {
        auto& front = world.node("f" + std::to_string(i), endpointOf(10 + i).ip);
        handlers.push_back(std::make_unique<RecordingHandler>());
        fronts.push_back(std::make_unique<node::ChangeLogClient>(front, endpointOf(2), 1,
                                                                 node::FrameReader(1, 1, 16),
                                                                 node::ChangeLogTimings{}, *handlers.back()));
        fronts.back()->start();
    }
    world.runUntil(world.now() + 1'500'000);
    for (const bool reload : {false, true}) {
        std::map<Micros, int> requestsPer5ms;
        ScriptedChangeLog other(logMachine, endpointOf(3));
        (reload ? other : log).onRequest = [&](ScriptedChangeLog::Connection&, std::uint64_t) {
            ++requestsPer5ms[world.now() / 5'000];
        };
        if (reload) {
            for (const auto& front : fronts) front->switchTo(other.endpoint());
        } else {
            log.closeAll();
        }
        world.runUntil(world.now() + kAfterBreak);
        int total = 0;
        for (const auto& [slot, count] : requestsPer5ms) {
            EXPECT_LE(count, 25) << reload;
            total += count;
        }
        EXPECT_EQ(total, 100) << reload;
    }
}

// ---- sequence numbers ----

TEST_F(ChangeLogTest, DuplicateEventsAreDropped) {
    log.onRequest = [](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        connection.send(drainEvent(2) + drainEvent(2) + drainEvent(3) + drainEvent(2) + drainEvent(3) +
                        PlatformChangeLog::makeFrame(2, 1, {}) + drainEvent(4));
    };
    client.start();
    run(kSecond);
    EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{2, 3, 4}));
    EXPECT_EQ(log.requests.size(), 1u);
}

TEST_F(ChangeLogTest, MissingEventIsRequestedOnceMore) {
    bool isRepeated = false;
    log.onRequest = [&](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        connection.send((std::exchange(isRepeated, true) ? drainEvent(2) : "") + drainEvent(3) +
                        drainEvent(4));
    };
    client.start();
    run(kSecond);
    EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{2, 3, 4}));
    EXPECT_EQ(log.requests, (std::vector<std::uint64_t>{1, 1}));
}

// An event that no change log has does not block later events.
TEST_F(ChangeLogTest, NonexistentEventIsSkipped) {
    log.onRequest = [&](ScriptedChangeLog::Connection& connection, std::uint64_t from) {
        if (from < 3) connection.send(drainEvent(3));
        if (from < 9) connection.send(drainEvent(9));
    };
    log.last = 9;
    client.start();
    run(3 * kSecond);
    EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{3, 9}));
    EXPECT_LE(log.requests.size(), 3u);
    EXPECT_GE(handler.currentCount, 1);
}

TEST_F(ChangeLogTest, FullListReplacesEarlierEvents) {
    log.onRequest = [&](ScriptedChangeLog::Connection& connection, std::uint64_t) {
        connection.send(PlatformChangeLog::makeFrame(30, 1, {{7, endpointOf(9)}}) + drainEvent(31) +
                        PlatformChangeLog::makeFrame(30, 1, {}) + drainEvent(32));
    };
    client.start();
    run(500'000);
    EXPECT_EQ(handler.sequenceNumbers, (std::vector<std::uint64_t>{30, 31, 32}));
    EXPECT_EQ(log.requests.size(), 1u);
}

// ---- start ----

// The change log is down when the front starts: that is reported once, and the client retries until it is up.
TEST_F(ChangeLogTest, RetriesIfDownAtTheStart) {
    log.stopListening();
    client.start();
    run(8 * kSecond);
    EXPECT_EQ(handler.errors, std::vector<std::string>{"no connection"});
    client.switchTo(endpointOf(3));  // nobody listens there either: reported for each address
    run(kSecond);
    EXPECT_EQ(handler.errors.size(), 2u);
    client.switchTo(endpointOf(2));
    run(kSecond);
    log.sendOnRequest({{2, drainEvent(2)}, {3, drainEvent(3)}});
    log.startListening();
    EXPECT_LE(timeUntil([&] { return hasEvent(3); }), kAfterBreak / 2);
    EXPECT_EQ(log.requests, std::vector<std::uint64_t>{1});
}

// Without a free descriptor the client keeps trying and receives all events once there is one.
TEST(ChangeLogClient, RetriesWhenOutOfDescriptors) {
    Loop loop;
    ScriptedChangeLog log(loop.net, Loop::any());
    log.sendOnRequest({{2, drainEvent(2)}, {3, drainEvent(3)}});
    RecordingHandler handler;
    node::ChangeLogClient client(loop.net, log.endpoint(), 1, node::FrameReader(1, 1, 16),
                                 node::ChangeLogTimings{}, handler);
    {  // the same failure with descriptors free: a sanitizer needs one when it first meets a class
        RecordingHandler handler;
        node::ChangeLogClient nobody(loop.net, *net::parseEndpoint("255.255.255.255:9"), 1,
                                     node::FrameReader(1, 1, 16), node::ChangeLogTimings{}, handler);
        nobody.start();
        EXPECT_TRUE(loop.until([&] { return !handler.errors.empty(); }));
    }
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
    const int nextFree = ::dup(STDERR_FILENO);
    ASSERT_GE(nextFree, 0);
    ::close(nextFree);
    const rlimit none{static_cast<rlim_t>(nextFree), before.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
    client.start();
    loop.run(kSecond);
    const auto requestCount = log.requests.size();
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_EQ(requestCount, 0u);
    EXPECT_EQ(handler.errors, std::vector<std::string>{"no connection"});
    EXPECT_TRUE(loop.until([&] { return handler.sequenceNumbers.size() == 2; }, kAfterBreak));
}

// ================= the whole front node =================

// A front node with two media servers and its change log.
struct NodeListTest : testing::Test {
    net::VirtualNetwork world{5};
    std::map<int, net::VirtualNode*> nodes;
    net::VirtualNode& machine(int n) {
        auto& node = nodes[n];
        if (!node) node = &world.node("m" + std::to_string(n), endpointOf(n).ip);
        return *node;
    }
    std::vector<std::unique_ptr<fakes::PlatformServer>> servers;
    std::unique_ptr<PlatformChangeLog> changeLog;
    std::string logFile = testing::TempDir() + "changelog_test." + std::to_string(::getpid()) + ".log";
    logging::Log logger{logFile, logging::Level::Info, 1};
    std::unique_ptr<node::Node> front;
    std::unique_ptr<fakes::PlatformConnection> viewer;
    std::map<std::string, std::string> responses;

    NodeListTest() {
        for (int i = 0; i < 2; ++i)
            servers.push_back(std::make_unique<fakes::PlatformServer>(machine(i), endpointOf(i)));
        changeLog = std::make_unique<PlatformChangeLog>(machine(10), endpointOf(10));
        changeLog->last = 1;
    }
    ~NodeListTest() override { std::remove(logFile.c_str()); }
    void start() {
        front = std::make_unique<node::Node>(machine(11), "config.json", configuration().dump(), logger);
        connect();
        run(50'000);
    }
    void connect() {
        viewer = std::make_unique<fakes::PlatformConnection>(
            machine(12), front->endpoint(), [this](fakes::PlatformConnection&, const Json& message) {
                std::string& text = responses[message.value("tag", "")];
                text += (text.empty() ? "" : " ") + (message["verb"] == "STARTED"
                                                         ? std::string("+")
                                                         : std::to_string(message.value("rc", 0)));
            });
    }
    std::uint64_t wallMs() { return static_cast<std::uint64_t>(machine(11).wallNow() / 1000); }
    Json configuration() {
        std::vector<net::Endpoint> places;
        for (const auto& server : servers) places.push_back(server->endpoint());
        return nodetest::makeConfiguration(
            places, endpointOf(11), changeLog->endpoint(),
            Json::parse(R"({"balancers":2,"host_types":["k"],"zones":["z"],"zone":"z",
      "weights":"nominal","allowed":{"attempts_cap":3,"max_retry_after":0.5,"retry_after":true,
        "max_streams":32,"connect_timeout":0.25,"conn_idle":30},
      "request_classes":[{"name":"talk","promise":1.5,"deadline":3,"idempotency":"pure","importance":1}],
      "rules":{"cold":10.0,"start_capacity":0.4,"fall_multiple":2.0,"tip_after":1.5,"spare_attempts":5,
        "resend_ratio":0.1,"look_back":10},
      "specifics":{"cells":3,"racks":1,"ladder_kb":[100,300,900],"ladder_worth":[0.3,0.7,1],
        "rate_factor":[1],"lowest_rung":[0],"highest_rung":[2],"licence_cap":[0],"links_kb":60000,
        "rack_link_kb":60000,"places_by_kind":[200],"weight_kb":20000,"stall":8,"switch_cost_s":0.5,
        "told_late":1,"told_every":2}})"));
    }
    void request(int n) {
        viewer->send({{"verb", "START"},
                      {"tag", nodetest::idOf(n)},
                      {"opts",
                       {{"class", "talk"},
                        {"left", "3000"},
                        {"key", "t" + std::to_string(n)},
                        {"extras", "home:0;copies:3;top:2"}}},
                      {"blob", "offer"}});
    }
    // Sets up `count` subscriptions from number `first` on and expects each to play.
    void play(int first, int count) {
        if (viewer->isClosed()) connect();  // closed as idle
        for (int n = first; n < first + count; ++n) request(n);
        run(kSecond);
        for (int n = first; n < first + count; ++n) EXPECT_EQ(responses[nodetest::idOf(n)], "+") << n;
    }
    int serverPlaying(int n) const {
        for (std::size_t i = 0; i < servers.size(); ++i)
            if (servers[i]->playing.count(nodetest::idOf(n))) return static_cast<int>(i);
        return -1;
    }
    void run(Micros time) { world.runUntil(world.now() + time); }
    std::string logText() {
        logger.flush();
        std::ifstream in(logFile);
        return {std::istreambuf_iterator<char>(in), {}};
    }
};

// A later full list: a server that is missing from it is removed, and its playback is over.
TEST_F(NodeListTest, ServerMissingFromALaterFullListIsRemoved) {
    start();
    play(1, 12);
    ASSERT_FALSE(servers[0]->playing.empty());
    changeLog->add({{1, servers[1]->endpoint(), 0, 1}}, true);
    run(500'000);
    const std::size_t before = servers[0]->setups.size();
    for (int n = 1; n <= 12; ++n)
        EXPECT_EQ(responses[nodetest::idOf(n)], serverPlaying(n) == 1 ? "+" : "+ 41") << n;
    play(20, 10);
    EXPECT_EQ(servers[0]->setups.size(), before);
}

// A later full list with a new start time for a server: its playback is over, the rest continues.
TEST_F(NodeListTest, LaterFullListReportsRestarts) {
    start();
    play(1, 12);
    changeLog->add({{0, servers[0]->endpoint(), 0, 0}, {1, servers[1]->endpoint(), 0, 1, wallMs()}}, true);
    run(500'000);
    for (int n = 1; n <= 12; ++n)
        EXPECT_EQ(responses[nodetest::idOf(n)], serverPlaying(n) == 0 ? "+" : "+ 41") << n;
}

// Start times are Unix times. A repeated one is no restart, although the wall clock was set back meanwhile
// and it converts to another time of the front's own clock.
TEST_F(NodeListTest, RepeatedStartTimeIsNoRestart) {
    start();
    const std::uint64_t started = wallMs();
    changeLog->add({{1, servers[1]->endpoint(), 0, 1, started}});
    run(12 * kSecond);  // warm
    play(1, 12);
    ASSERT_FALSE(servers[1]->playing.empty());
    machine(11).wallSkew -= 20 * kSecond;
    changeLog->add({{0, servers[0]->endpoint(), 0, 0}, {1, servers[1]->endpoint(), 0, 1, started}}, true);
    changeLog->add({{1, servers[1]->endpoint(), 0, 1, started}});
    run(kSecond);
    for (int n = 1; n <= 12; ++n) EXPECT_EQ(responses[nodetest::idOf(n)], "+") << n;
}

// A full list with an old sequence number is ignored, whatever it holds.
TEST_F(NodeListTest, OldFullListIsIgnored) {
    start();
    play(1, 6);
    changeLog->add({{0, servers[0]->endpoint(), 1, 0}});
    run(200'000);
    const std::size_t before = servers[0]->setups.size();
    for (const std::uint64_t number : {0u, 1u, 2u})
        changeLog->sendBytes(PlatformChangeLog::makeFrame(number, 1, {{0, servers[0]->endpoint(), 0, 0}}));
    play(20, 10);
    EXPECT_EQ(servers[0]->setups.size(), before);
    for (int n = 1; n <= 6; ++n) EXPECT_EQ(responses[nodetest::idOf(n)], "+") << n;
}

// The front starts with an old list while the change log is down: it serves at once and applies the drain as
// soon as the change log is up.
TEST_F(NodeListTest, StartsWithAnOldListWhileTheChangeLogIsDown) {
    const Json configured = configuration();
    changeLog.reset();
    front = std::make_unique<node::Node>(machine(11), "config.json", configured.dump(), logger);
    connect();
    viewer->send({{"verb", "ECHO"}, {"tag", nodetest::idOf(99)}, {"opts", Json::object()}, {"rc", 0}});
    run(50'000);
    EXPECT_EQ(responses[nodetest::idOf(99)], "1");  // test answered: ready without the change log
    play(1, 4);
    EXPECT_NE(logText().find("change log lost"), std::string::npos);
    run(7 * kSecond);
    changeLog = std::make_unique<PlatformChangeLog>(machine(10), endpointOf(10));
    changeLog->last = 1;
    changeLog->add({{0, servers[0]->endpoint(), 1, 0}});
    run(kAfterBreak / 2);
    const std::size_t before = servers[0]->setups.size();
    play(20, 10);
    EXPECT_EQ(servers[0]->setups.size(), before);
}

// An invalid new configuration is logged with its error, and the current change log stays.
TEST_F(NodeListTest, InvalidConfigurationIsLoggedAndIgnored) {
    start();
    const std::string whole = configuration().dump(2);
    Json missing = configuration(), number = missing, nowhere = missing, noPort = missing;
    missing.erase("changelog");
    number["changelog"] = 7;
    nowhere["changelog"] = "nowhere";
    noPort["changelog"] = "10.0.0.1:0";
    for (const auto& [text, why] : std::vector<std::pair<std::string, std::string>>{
             {"", "config.json:1:1: invalid JSON"},
             {whole.substr(0, whole.size() / 2), "invalid JSON"},
             {whole + "}", "invalid JSON"},
             {"[]", "config.json: an object is expected"},
             {missing.dump(), "config.json: 'changelog' is missing"},
             {number.dump(), "config.json: 'changelog' is no text"},
             {nowhere.dump(), "config.json: 'changelog' is 'nowhere'; expected an address and a port"},
             {noPort.dump(), "config.json: 'changelog' is '10.0.0.1:0'; expected an address and a port"}}) {
        front->reloadConfiguration(text);
        run(1'100'000);  // the log writes one such line per second
        EXPECT_NE(logText().find(why), std::string::npos) << why;
    }
    EXPECT_EQ(changeLog->requests.size(), 1u);
    changeLog->add({{0, servers[0]->endpoint(), 1, 0}});
    run(200'000);
    play(1, 10);
    EXPECT_TRUE(servers[0]->setups.empty());
}

// A reload after SIGTERM, with a drain on the new change log: set-ups still arrive, and none may go to the
// draining server.
TEST_F(NodeListTest, DrainAfterAReloadAppliesDuringThePlannedStop) {
    start();
    PlatformChangeLog other(machine(13), endpointOf(13));
    other.last = 1;
    bool isStopped = false;
    front->stop([&] { isStopped = true; });
    Json all = configuration();
    all["changelog"] = net::toString(other.endpoint());
    front->reloadConfiguration(all.dump());
    other.add({{0, servers[0]->endpoint(), 1, 0}});
    run(300'000);
    for (int n = 1; n <= 10; ++n) request(n);
    run(kSecond);
    EXPECT_FALSE(isStopped);
    for (int n = 1; n <= 10; ++n) EXPECT_EQ(responses[nodetest::idOf(n)], "+") << n;
    EXPECT_TRUE(servers[0]->setups.empty());
    run(4 * kSecond);
    EXPECT_TRUE(isStopped);
}

}  // namespace
}  // namespace valekeel
