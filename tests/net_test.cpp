#include <gtest/gtest.h>
#include <sys/resource.h>

#include <map>
#include <random>

#include "loop_fixture.hpp"
#include "net/process.hpp"

namespace valekeel {
namespace {

TEST(Address, ReadsBothKindsAndNothingElse) {
    EXPECT_EQ(net::toString(*net::parseEndpoint("127.0.0.1:80")), "127.0.0.1:80");
    EXPECT_EQ(net::toString(*net::parseEndpoint("[::1]:8080")), "[::1]:8080");
    for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", ":80", "::1:80", "127.0.0.1:65536", "127.0.0.1:-1",
                            "localhost:80", "1.2.3:4", "127.0.0.1:80x"})
        EXPECT_FALSE(net::parseEndpoint(bad)) << bad;
}

// Beside the wheel runs a plain ordered map: what is due, and when, must agree.
TEST(TimerWheel, AgreesWithAnOrderedMap) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 chance(seed);
        const auto pick = [&](Micros lo, Micros hi) {
            return std::uniform_int_distribution<Micros>(lo, hi)(chance);
        };
        Micros now = pick(0, 1LL << 40);
        std::vector<net::TimerNode> nodes(200);
        net::TimerWheel wheel(now);
        std::map<const net::TimerNode*, Micros> plain;
        for (int step = 0; step < 3'000; ++step) {
            net::TimerNode& node = nodes[static_cast<std::size_t>(pick(0, 199))];
            const auto what = pick(0, 9);
            if (what < 5) {
                const Micros reach = Micros{1} << pick(5, 42);
                const Micros at = now + pick(0, reach);
                wheel.add(node, at);
                plain[&node] = at;
            } else if (what < 7) {
                wheel.remove(node);
                plain.erase(&node);
            } else {
                const auto next = wheel.nextCheck();
                ASSERT_EQ(next.has_value() || plain.empty(), true);
                Micros earliest = -1;
                for (const auto& [n, at] : plain) earliest = earliest < 0 ? at : std::min(earliest, at);
                if (next && earliest >= 0) {
                    ASSERT_LE(*next, earliest + 1024) << "it would sleep past a timer";
                }
                now += pick(0, 3) == 0 ? pick(0, Micros{1} << pick(10, 41)) : pick(0, 5'000);
                while (net::TimerNode* due = wheel.popDue(now)) {
                    ASSERT_EQ(plain.count(due), 1u) << "fired, and was not waiting";
                    ASSERT_LE(plain[due], now) << "fired early";
                    plain.erase(due);
                }
                for (const auto& [n, at] : plain) ASSERT_GT(at + 1024, now) << "not fired, seed " << seed;
            }
            ASSERT_EQ(wheel.size(), plain.size());
        }
    }
}

TEST(TimerWheel, TimersOfOneTickComeInOrder) {
    std::vector<net::TimerNode> nodes(5);
    net::TimerWheel wheel(0);
    for (auto& n : nodes) wheel.add(n, 700'000);
    for (auto& n : nodes) EXPECT_EQ(wheel.popDue(800'000), &n);
    EXPECT_EQ(wheel.popDue(800'000), nullptr);
}

TEST(Timer, OneThatCancelsAnotherIsObeyed) {
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
    std::string got;
    void onConnected() override { open = true; }
    void onConnectFailed(net::ConnectError why) override { failure = why; }
    void onReadable() override {
        char buffer[4096];
        for (;;) {
            const net::IoResult m = stream->read(buffer);
            got.append(buffer, m.bytes);
            if (m.status == net::IoResult::Status::WouldBlock) return;
            if (m.status == net::IoResult::Status::EndOfStream) ended = true;
            if (m.status == net::IoResult::Status::Broken) broken = true;
            if (m.status != net::IoResult::Status::Ready) return;
        }
    }
    void onWritable() override {}
};

struct Accepts : net::ListenerHandler {
    std::vector<std::unique_ptr<Peer>> peers;
    void onAccepted(std::unique_ptr<net::Stream> s) override {
        peers.push_back(std::make_unique<Peer>());
        peers.back()->stream = std::move(s);
        peers.back()->stream->setHandler(*peers.back());
    }
};

TEST(Epoll, BytesHalfClosesAndResetsAreToldApart) {
    Loop loop;
    Accepts server;
    auto listener = loop.net.listen(Loop::any(), server);
    Peer client;
    client.stream = loop.net.connect(listener->endpoint(), client);
    ASSERT_TRUE(loop.until([&] { return client.open && server.peers.size() == 1; }));
    client.stream->write("hello");
    client.stream->shutdownWrite();
    ASSERT_TRUE(loop.until([&] { return server.peers[0]->ended; }));
    EXPECT_EQ(server.peers[0]->got, "hello");
    server.peers[0]->stream->write("still answered");
    ASSERT_TRUE(loop.until([&] { return client.got == "still answered"; }));
    server.peers[0]->stream->reset();
    ASSERT_TRUE(loop.until([&] { return client.broken; }));
}

TEST(Epoll, NobodyThereIsARefusal) {
    Loop loop;
    net::Endpoint at;
    {
        Accepts none;
        at = loop.net.listen(Loop::any(), none)->endpoint();
    }
    Peer client;
    client.stream = loop.net.connect(at, client);
    ASSERT_TRUE(loop.until([&] { return client.failure.has_value(); }));
    EXPECT_EQ(*client.failure, net::ConnectError::Refused);
}

TEST(Epoll, ManyThatComeAtOnceAreAllAccepted) {
    Loop loop;
    Accepts server;
    auto listener = loop.net.listen(Loop::any(), server);
    std::vector<std::unique_ptr<Peer>> clients;
    for (int i = 0; i < 300; ++i) {
        clients.push_back(std::make_unique<Peer>());
        clients.back()->stream = loop.net.connect(listener->endpoint(), *clients.back());
    }
    EXPECT_TRUE(loop.until([&] { return server.peers.size() == 300; }));
}

TEST(Epoll, OutOfDescriptorsItGoesOnOnceThereAreSome) {
#ifdef __SANITIZE_ADDRESS__
    GTEST_SKIP() << "the sanitizer needs descriptors of its own for its checks";
#endif
    Loop loop;
    Accepts server;
    auto listener = loop.net.listen(Loop::any(), server);
    std::vector<std::unique_ptr<Peer>> clients;
    for (int i = 0; i < 5; ++i) {
        clients.push_back(std::make_unique<Peer>());
        clients.back()->stream = loop.net.connect(listener->endpoint(), *clients.back());
    }
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    rlimit none = before;
    none.rlim_cur = 3;  // all that are open are beyond it: not one more can be had
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    loop.run(30'000);
    Peer late;
    late.stream = loop.net.connect(listener->endpoint(), late);
    const bool told = loop.until([&] { return late.failure.has_value(); }, kSecond);
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_TRUE(told);
    EXPECT_EQ(late.failure, net::ConnectError::OutOfDescriptors);
    EXPECT_EQ(server.peers.size(), 0u);
    EXPECT_TRUE(loop.until([&] { return server.peers.size() == 5; })) << "those that wait are taken later";
}

TEST(Process, IsEndedByItsId) {
    net::Process p({"/bin/sleep", "30"});
    EXPECT_TRUE(p.running());
    p.kill();
    EXPECT_FALSE(p.running());
    EXPECT_THROW(net::Process({"/nowhere/at/all"}), std::runtime_error);
}

}  // namespace
}  // namespace valekeel
