#include <gtest/gtest.h>
#include <sys/resource.h>

#include <map>
#include <random>

#include "loop_fixture.hpp"
#include "net/process.hpp"

namespace valekeel {
namespace {

TEST(Address, ParsesIpv4AndIpv6AndRejectsOthers) {
    EXPECT_EQ(net::toString(*net::parseEndpoint("127.0.0.1:80")), "127.0.0.1:80");
    EXPECT_EQ(net::toString(*net::parseEndpoint("[::1]:8080")), "[::1]:8080");
    for (const char* invalid : {"", "127.0.0.1", "127.0.0.1:", ":80", "::1:80", "127.0.0.1:65536",
                                "127.0.0.1:-1", "localhost:80", "1.2.3:4", "127.0.0.1:80x"})
        EXPECT_FALSE(net::parseEndpoint(invalid)) << invalid;
}

// Guards against timers that are lost, early or late: compares the wheel with an ordered map of due times.
TEST(TimerWheel, FiresWhatAMapOfDueTimesExpects) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](Micros lo, Micros hi) {
            return std::uniform_int_distribution<Micros>(lo, hi)(random);
        };
        Micros now = pick(0, 1LL << 40);
        std::vector<net::TimerNode> nodes(200);
        net::TimerWheel wheel(now);
        std::map<const net::TimerNode*, Micros> expected;
        for (int step = 0; step < 3'000; ++step) {
            net::TimerNode& node = nodes[static_cast<std::size_t>(pick(0, 199))];
            const auto action = pick(0, 9);
            if (action < 5) {
                const Micros range = Micros{1} << pick(5, 42);
                const Micros at = now + pick(0, range);
                wheel.add(node, at);
                expected[&node] = at;
            } else if (action < 7) {
                wheel.remove(node);
                expected.erase(&node);
            } else {
                const auto next = wheel.nextCheck();
                ASSERT_EQ(next.has_value() || expected.empty(), true);
                Micros earliest = -1;
                for (const auto& [n, at] : expected) earliest = earliest < 0 ? at : std::min(earliest, at);
                if (next && earliest >= 0) {
                    ASSERT_LE(*next, earliest + 1024) << "nextCheck() is later than a timer";
                }
                now += pick(0, 3) == 0 ? pick(0, Micros{1} << pick(10, 41)) : pick(0, 5'000);
                while (net::TimerNode* due = wheel.popDue(now)) {
                    ASSERT_EQ(expected.count(due), 1u) << "fired, but was not pending";
                    ASSERT_LE(expected[due], now) << "fired early";
                    expected.erase(due);
                }
                for (const auto& [n, at] : expected) ASSERT_GT(at + 1024, now) << "not fired, seed " << seed;
            }
            ASSERT_EQ(wheel.size(), expected.size());
        }
    }
}

// A timer that sets itself again for the present keeps the event loop in one pass over its timers, and no
// socket is polled meanwhile. Seen at times that are a whole number of ticks.
TEST(TimerWheel, TimerThatIsAddedAgainFromItsCallbackWaitsForTheNextPass) {
    for (const Micros offset : {0, 1, 512, 1023}) {
        const Micros now = 1'024'000 + offset;
        net::TimerWheel wheel(now - 50'000);
        net::TimerNode repeating, other;
        wheel.add(repeating, now - 20'000);
        wheel.add(other, now);
        int firings = 0;
        bool hasOtherFired = false;
        while (net::TimerNode* due = wheel.popDue(now)) {
            hasOtherFired |= due == &other;
            if (due != &repeating) continue;
            ASSERT_LT(++firings, 10) << offset;
            wheel.add(repeating, now);
        }
        EXPECT_EQ(hasOtherFired, offset == 0);  // else it is due in the next tick
        ASSERT_NE(wheel.popDue(now + 1'024), nullptr);
    }
}

TEST(TimerWheel, TimersOfOneTickFireInOrderAdded) {
    std::vector<net::TimerNode> nodes(5);
    net::TimerWheel wheel(0);
    for (auto& n : nodes) wheel.add(n, 700'000);
    for (auto& n : nodes) EXPECT_EQ(wheel.popDue(800'000), &n);
    EXPECT_EQ(wheel.popDue(800'000), nullptr);
}

TEST(Timer, CanCancelATimerDueAtTheSameTick) {
    Loop loop;
    int fired = 0;
    net::Timer second(loop.net, [&] { ++fired; });
    net::Timer first(loop.net, [&] { second.cancel(); });
    first.after(2'000);
    second.after(2'000);
    loop.run(20'000);
    EXPECT_EQ(fired, 0);
}

struct Peer : net::StreamHandler {
    std::unique_ptr<net::Stream> stream;
    bool open = false, ended = false, broken = false;
    std::optional<net::ConnectError> failure;
    std::string received;
    void onConnected() override { open = true; }
    void onConnectFailed(net::ConnectError why) override { failure = why; }
    void onReadable() override {
        char buffer[4096];
        for (;;) {
            const net::IoResult result = stream->read(buffer);
            received.append(buffer, result.bytes);
            if (result.status == net::IoResult::Status::WouldBlock) return;
            if (result.status == net::IoResult::Status::EndOfStream) ended = true;
            if (result.status == net::IoResult::Status::Broken) broken = true;
            if (result.status != net::IoResult::Status::Ready) return;
        }
    }
    void onWritable() override {}
};

struct Acceptor : net::ListenerHandler {
    std::vector<std::unique_ptr<Peer>> peers;
    void onAccepted(std::unique_ptr<net::Stream> s) override {
        peers.push_back(std::make_unique<Peer>());
        peers.back()->stream = std::move(s);
        peers.back()->stream->setHandler(*peers.back());
    }
};

TEST(Epoll, DistinguishesDataHalfCloseAndReset) {
    Loop loop;
    Acceptor server;
    auto listener = loop.net.listen(Loop::any(), server);
    Peer client;
    client.stream = loop.net.connect(listener->endpoint(), client);
    ASSERT_TRUE(loop.until([&] { return client.open && server.peers.size() == 1; }));
    client.stream->write("hello");
    client.stream->shutdownWrite();
    ASSERT_TRUE(loop.until([&] { return server.peers[0]->ended; }));
    EXPECT_EQ(server.peers[0]->received, "hello");
    server.peers[0]->stream->write("still answered");
    ASSERT_TRUE(loop.until([&] { return client.received == "still answered"; }));
    server.peers[0]->stream->reset();
    ASSERT_TRUE(loop.until([&] { return client.broken; }));
}

TEST(Epoll, ConnectToAClosedPortIsRefused) {
    Loop loop;
    net::Endpoint at;
    {
        Acceptor acceptor;
        at = loop.net.listen(Loop::any(), acceptor)->endpoint();
    }
    Peer client;
    client.stream = loop.net.connect(at, client);
    ASSERT_TRUE(loop.until([&] { return client.failure.has_value(); }));
    EXPECT_EQ(*client.failure, net::ConnectError::Refused);
}

TEST(Epoll, AcceptsAllSimultaneousConnections) {
    Loop loop;
    Acceptor server;
    auto listener = loop.net.listen(Loop::any(), server);
    std::vector<std::unique_ptr<Peer>> clients;
    for (int i = 0; i < 300; ++i) {
        clients.push_back(std::make_unique<Peer>());
        clients.back()->stream = loop.net.connect(listener->endpoint(), *clients.back());
    }
    EXPECT_TRUE(loop.until([&] { return server.peers.size() == 300; }));
}

TEST(Epoll, RecoversFromRunningOutOfDescriptors) {
#ifdef __SANITIZE_ADDRESS__
    GTEST_SKIP() << "the sanitizer needs descriptors for its own checks";
#endif
    Loop loop;
    Acceptor server;
    auto listener = loop.net.listen(Loop::any(), server);
    std::vector<std::unique_ptr<Peer>> clients;
    for (int i = 0; i < 5; ++i) {
        clients.push_back(std::make_unique<Peer>());
        clients.back()->stream = loop.net.connect(listener->endpoint(), *clients.back());
    }
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    rlimit noneFree = before;
    noneFree.rlim_cur = 3;  // below the descriptors already open: no new one can be opened
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &noneFree), 0);
    loop.run(30'000);
    Peer extra;
    extra.stream = loop.net.connect(listener->endpoint(), extra);
    const bool failed = loop.until([&] { return extra.failure.has_value(); }, kSecond);
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_TRUE(failed);
    EXPECT_EQ(extra.failure, net::ConnectError::OutOfDescriptors);
    EXPECT_EQ(server.peers.size(), 0u);
    EXPECT_TRUE(loop.until([&] { return server.peers.size() == 5; }))
        << "queued connections are accepted later";
}

TEST(Process, KillEndsTheChildAndStartFailureThrows) {
    net::Process p({"/bin/sleep", "30"});
    EXPECT_TRUE(p.running());
    p.kill();
    EXPECT_FALSE(p.running());
    EXPECT_THROW(net::Process({"/nowhere/at/all"}), std::runtime_error);
}

}  // namespace
}  // namespace valekeel
