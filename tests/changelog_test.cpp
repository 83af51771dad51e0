// The connection to the change log, driven by hand: each test forces one crossing of what may happen to it at
// once, on a virtual clock (descriptors: on sockets), against a change log of the test's own. The bounds are
// those of the platform's page: what there is to tell counts as told 2 s after a break, 4 s after a silence
// or a SIGHUP began.
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

// A change log that does nothing by itself but beat: the test says what it writes, on which connection.
class HandLog final : net::ListenerHandler {
  public:
    struct Link final : net::StreamHandler {
        Link(HandLog& log, std::unique_ptr<net::Stream> stream) : log(log), stream(std::move(stream)) {
            this->stream->setHandler(*this);
        }
        void onReadable() override {
            std::array<char, 64> buffer;
            while (stream) {
                const net::IoResult got = stream->read(buffer);
                if (got.status == net::IoResult::Status::WouldBlock) return;
                if (got.status != net::IoResult::Status::Ready) return stream.reset();
                in.append(buffer.data(), got.bytes);
                if (asked || in.size() < 8) continue;
                asked = true;
                std::uint64_t from = 0;
                for (std::size_t i = 0; i < 8; ++i) from = from << 8 | static_cast<unsigned char>(in[i]);
                log.asked.push_back(from);
                if (log.onAsk) log.onAsk(*this, from);
            }
        }
        void onWritable() override {}
        void say(const std::string& bytes) {
            if (stream) stream->write(bytes);
        }
        HandLog& log;
        std::unique_ptr<net::Stream> stream;
        std::string in;
        bool asked = false;
    };

    HandLog(net::Net& net, const net::Endpoint& at) : net_(net), place(at), beat_(net, [this] { beat(); }) {
        up();
        beat_.after(kSecond);
    }
    net::Endpoint endpoint() const { return place; }
    void up() {
        listener_ = net_.listen(place, *this);
        place = listener_->endpoint();
    }
    void down() {  // takes no new connection; those that stand stay
        listener_.reset();
    }
    void breakAll() {
        for (const auto& link : links) link->stream.reset();
    }
    std::size_t open() const {
        std::size_t count = 0;
        for (const auto& link : links) count += link->stream != nullptr;
        return count;
    }
    Link& newest() { return *links.back(); }
    // What a sound one says when it is asked, and each second after.
    void tells(const std::map<std::uint64_t, std::string>& events) {
        onAsk = [events](Link& link, std::uint64_t from) {
            for (const auto& [number, bytes] : events)
                if (number > from) link.say(bytes);
        };
    }
    std::function<void(Link&, std::uint64_t from)> onAsk;
    bool beats = true;
    std::uint64_t last = 1;
    std::vector<std::uint64_t> asked;
    std::vector<std::unique_ptr<Link>> links;

  private:
    void onAccepted(std::unique_ptr<net::Stream> stream) override {
        links.push_back(std::make_unique<Link>(*this, std::move(stream)));
    }
    void beat() {
        beat_.after(kSecond);
        if (!beats) return;
        for (const auto& link : links)
            if (link->asked) link->say(PlatformChangeLog::frame(last, 0, {}));
    }
    net::Net& net_;
    net::Endpoint place;
    std::unique_ptr<net::Listener> listener_;
    net::Timer beat_;
};

struct Heard final : node::ChangeLogHandler {
    void onChange(const node::ChangeEvent& event) override {
        numbers.push_back(event.sequenceNumber);
        if (onChanged) onChanged(event);
    }
    void onCurrent() override { ++currents; }
    void onUnreachable(const std::string& why) override { whys.push_back(why); }
    std::vector<std::uint64_t> numbers;
    std::function<void(const node::ChangeEvent&)> onChanged;
    std::vector<std::string> whys;
    int currents = 0;
};

net::Endpoint place(int n) {
    return *net::parseEndpoint("10.0.1." + std::to_string(n) + ":2379");
}
std::string drain(std::uint64_t number) {
    return PlatformChangeLog::frame(number, 2, {{7, place(9), 1}});
}

struct ChangeLogDay : testing::Test {
    net::VirtualNetwork world{11};
    net::VirtualNode& front = world.node("front", place(1).ip);
    net::VirtualNode& there = world.node("log", place(2).ip);
    net::VirtualNode& elsewhere = world.node("other", place(3).ip);
    HandLog log{there, place(2)};
    Heard user;
    node::ChangeLogClient follows{front, place(2), 1, node::FrameReader(1, 1, 4096), node::ChangeLogTimings{}, user};
    void run(Micros time) { world.runUntil(world.now() + time); }
    // How long until it holds, at most so long.
    Micros until(const std::function<bool()>& holds, Micros atMost = 20 * kSecond) {
        const Micros from = world.now();
        while (!holds() && world.now() < from + atMost && world.step(from + atMost)) {
        }
        return world.now() - from;
    }
    bool has(std::uint64_t number) const {
        return std::find(user.numbers.begin(), user.numbers.end(), number) != user.numbers.end();
    }
};

// A connection may come up late, by up to a second: also after it was given up on, while the next try waits.
TEST_F(ChangeLogDay, AConnectionThatComesUpLateIsUsed) {
    for (const Micros oneWay : {240'000, 260'000, 290'000, 400'000, 490'000}) {
        Heard heard;
        node::ChangeLogClient one(front, place(2), 1, node::FrameReader(1, 1, 16), node::ChangeLogTimings{}, heard);
        world.latency = [&](const auto&, const auto&) { return oneWay; };
        log.onAsk = [](HandLog::Link& link, std::uint64_t) { link.say(drain(2)); };
        one.start();
        EXPECT_LE(until([&] { return !heard.numbers.empty(); }), kAfterBreak) << oneWay;
    }
}

// A reload just as the connect to the old address succeeds: what has come up then belongs to nobody.
TEST_F(ChangeLogDay, AReloadWhileAConnectIsUnderWay) {
    HandLog other(elsewhere, place(3));
    other.tells({{2, drain(2)}});
    for (const Micros into : {0, 100, 300, 390, 410, 700}) {
        Heard heard;
        node::ChangeLogClient one(front, place(2), 1, node::FrameReader(1, 1, 16), node::ChangeLogTimings{}, heard);
        one.start();
        run(into);
        one.switchTo(other.endpoint());
        EXPECT_LE(until([&] { return !heard.numbers.empty(); }), kAfterReload) << into;
        run(3 * kSecond);
        EXPECT_EQ(heard.numbers, std::vector<std::uint64_t>{2}) << into;
        EXPECT_EQ(log.open(), 0u) << into;
    }
}

TEST_F(ChangeLogDay, AReloadDuringBackOffAsksAtOnce) {
    follows.start();
    run(1'500'000);
    log.down();
    log.breakAll();
    HandLog other(elsewhere, place(3));
    other.tells({{2, drain(2)}});
    run(700'000);  // refused again and again
    follows.switchTo(other.endpoint());
    EXPECT_LE(until([&] { return has(2); }), 110'000);
}

// Nobody listens at the new address yet, and it is named twice, another one between.
TEST_F(ChangeLogDay, AReloadToAnAddressThatComesUpLater) {
    follows.start();
    run(1'500'000);
    log.down();
    HandLog other(elsewhere, place(3));
    other.down();
    other.tells({{2, drain(2)}});
    follows.switchTo(other.endpoint());
    run(200'000);
    follows.switchTo(place(2));
    follows.switchTo(other.endpoint());
    run(2'800'000);
    other.up();
    EXPECT_LE(until([&] { return has(2); }), kSecond);
    run(5 * kSecond);
    EXPECT_EQ(log.asked.size(), 1u);  // nothing of the old one lives on
    EXPECT_EQ(other.asked.size(), 1u);
    EXPECT_EQ(other.open(), 1u);
}

// A drain that the old one told before the reload counts as told by then, though nobody may answer at the new
// address for seconds.
TEST_F(ChangeLogDay, WhatTheOldOneToldJustBeforeAReloadIsTaken) {
    follows.start();
    run(1'500'000);
    log.newest().say(drain(2));
    follows.switchTo(place(3));  // the drain is on its way
    run(500'000);
    EXPECT_TRUE(has(2));
    HandLog other(elsewhere, place(3));
    run(kSecond);
    EXPECT_EQ(other.asked, std::vector<std::uint64_t>{2});
}

TEST_F(ChangeLogDay, AReloadABreakAndADrainInOneMoment) {
    for (const bool breakFirst : {true, false}) {
        Heard heard;
        node::ChangeLogClient one(front, place(2), 1, node::FrameReader(1, 1, 16), node::ChangeLogTimings{}, heard);
        HandLog other(elsewhere, place(3));
        other.tells({{2, drain(2)}, {3, drain(3)}});
        one.start();
        run(1'500'000);
        log.newest().say(drain(2));
        if (breakFirst) log.breakAll();
        run(200);  // both have arrived, or arrive in this moment
        one.switchTo(other.endpoint());
        if (!breakFirst) log.breakAll();
        EXPECT_LE(until([&] { return heard.numbers.size() == 2; }), kAfterBreak);
        run(3 * kSecond);
        EXPECT_EQ(heard.numbers, (std::vector<std::uint64_t>{2, 3}));
        EXPECT_EQ(other.asked, std::vector<std::uint64_t>{2});
    }
}

// Whoever hears of a change may move the connection from within.
TEST_F(ChangeLogDay, AReloadFromWithinAnEvent) {
    HandLog other(elsewhere, place(3));
    other.tells({{4, drain(4)}});
    user.onChanged = [&](const node::ChangeEvent& event) {
        if (event.sequenceNumber == 2) follows.switchTo(other.endpoint());
    };
    log.onAsk = [](HandLog::Link& link, std::uint64_t) { link.say(drain(2) + drain(3)); };
    follows.start();
    run(3 * kSecond);
    EXPECT_EQ(user.numbers, (std::vector<std::uint64_t>{2, 3, 4}));
}

// More lay unread on the connection that is left than is read at once, and nobody answers at the new address.
TEST_F(ChangeLogDay, WhatLiesUnreadWhenAReloadComesIsTaken) {
    const std::vector<PlatformChangeLog::Box> boxes(4096, {7, place(9)});
    node::ChangeLogTimings timings;
    timings.reconnectDelay = 1;  // the move comes before the rest is read
    Heard heard;
    node::ChangeLogClient one(front, place(2), 1, node::FrameReader(1, 1, 4096), timings, heard);
    heard.onChanged = [&](const node::ChangeEvent& event) {
        if (event.sequenceNumber == 2) one.switchTo(place(3));
    };
    log.onAsk = [&](HandLog::Link& link, std::uint64_t) {
        link.say(PlatformChangeLog::frame(2, 1, boxes) + PlatformChangeLog::frame(3, 1, boxes) + drain(4));
    };
    one.start();
    run(kSecond);
    EXPECT_EQ(heard.numbers, (std::vector<std::uint64_t>{2, 3, 4}));
}

// A configuration that names the address held already costs no connection where one stands, and is found out
// where that one is about to be closed.
TEST_F(ChangeLogDay, AReloadToTheSameAddressKeepsTheConnection) {
    follows.start();
    run(1'500'000);
    follows.switchTo(log.endpoint());
    run(2 * kSecond);
    EXPECT_EQ(log.asked.size(), 1u);
    follows.switchTo(log.endpoint());
    log.beats = false;  // from here on the old process tells nothing, and closes after 1.5 s
    const Micros from = world.now();
    run(1'500'000);
    log.breakAll();
    log.beats = true;
    log.tells({{2, drain(2)}});
    until([&] { return has(2); });
    EXPECT_LE(world.now() - from, kAfterReload);
}

// A silence is judged by whole frames. Bytes that never become one keep nobody waiting.
TEST_F(ChangeLogDay, AByteAtATimeIsASilence) {
    follows.start();
    run(1'500'000);
    log.beats = false;
    const std::string event =
        PlatformChangeLog::frame(2, 2, std::vector<PlatformChangeLog::Box>(40, {7, place(9), 1}));
    HandLog::Link& first = log.newest();
    log.tells({{2, drain(2)}});
    const Micros from = world.now();
    for (std::size_t i = 0; i < event.size() && !has(2) && world.now() < from + 6 * kSecond; ++i) {
        first.say(event.substr(i, 1));
        run(400'000);
    }
    until([&] { return has(2); });
    EXPECT_LE(world.now() - from, kAfterSilence);
    EXPECT_EQ(first.stream, nullptr);
}

TEST_F(ChangeLogDay, HalfAFrameAndThenNothingIsASilence) {
    follows.start();
    for (int times = 0; times < 3; ++times) {  // and more than once, late
        log.onAsk = nullptr;
        run(7'300'000);
        log.beats = false;
        const std::uint64_t next = follows.lastSequenceNumber() + 1;
        log.newest().say(drain(next).substr(0, 20));
        log.tells({{next, drain(next)}});
        EXPECT_LE(until([&] { return has(next); }), kAfterSilence);
        log.beats = true;
        log.last = next;
    }
}

// A list as long as may be comes through, however slowly, and one that is late with its first word.
TEST_F(ChangeLogDay, AWholeListThatComesSlowlyIsTaken) {
    std::vector<PlatformChangeLog::Box> boxes;
    for (std::uint32_t i = 0; i < 4096; ++i) boxes.push_back({i, place(9)});
    const std::string all = PlatformChangeLog::frame(2, 1, boxes);
    log.beats = false;
    follows.start();
    HandLog::Link* to = nullptr;
    std::size_t at = 0;
    const Micros from = world.now();
    while (!has(2) && world.now() < from + 20 * kSecond) {
        run(50'000);  // 25 kB a second
        if (log.links.empty()) continue;
        if (to != &log.newest()) at = 0;
        to = &log.newest();
        to->say(all.substr(at, 1250));
        at = std::min(all.size(), at + 1250);
    }
    EXPECT_TRUE(has(2));
}
TEST_F(ChangeLogDay, AnAnswerThatIsAlwaysLateIsHeard) {
    log.beats = false;
    std::vector<std::pair<Micros, HandLog::Link*>> due;
    log.onAsk = [&](HandLog::Link& link, std::uint64_t) {
        due.emplace_back(world.now() + 2 * kSecond, &link);
    };
    follows.start();
    const Micros from = world.now();
    while (!has(2) && world.now() < from + 20 * kSecond) {
        run(50'000);
        for (auto& [when, link] : due)
            if (world.now() >= when) link->say(drain(2));
    }
    EXPECT_TRUE(has(2));
}

// It takes the connection and never says a word: after 4 s it has been asked again, and hears the rest.
TEST_F(ChangeLogDay, OneThatTakesConnectionsAndSaysNothing) {
    follows.start();
    run(1'500'000);
    log.beats = false;
    run(kAfterSilence);
    EXPECT_GE(log.asked.size(), 3u);
    EXPECT_LE(log.asked.size(), 4u);
    log.tells({{2, drain(2)}});
    EXPECT_LE(until([&] { return has(2); }), kAfterSilence);
    EXPECT_EQ(user.whys, std::vector<std::string>{"silent"});
}

// Handshakes are paid for over all fronts: one that breaks as often as it is asked costs a few a second.
TEST_F(ChangeLogDay, OneThatBreaksAsSoonAsItHasToldIsNotRushed) {
    std::uint64_t next = 2;
    log.onAsk = [&](HandLog::Link& link, std::uint64_t) {
        link.say(drain(next++));
        link.stream.reset();
    };
    follows.start();
    run(10 * kSecond);
    EXPECT_LE(log.asked.size(), 35u);
    EXPECT_GE(log.asked.size(), 15u);
    EXPECT_EQ(user.numbers.size(), log.asked.size());
}

// All fronts lose the change log in the same moment, and must not all be back in the same one.
TEST(ChangeLogClient, FrontsThatLoseItTogetherAskAgainApart) {
    net::VirtualNetwork world{3};
    net::VirtualNode& there = world.node("log", place(2).ip);
    HandLog log(there, place(2));
    std::vector<std::unique_ptr<Heard>> heard;
    std::vector<std::unique_ptr<node::ChangeLogClient>> fronts;
    for (int i = 0; i < 100; ++i) {
        auto& front = world.node("f" + std::to_string(i), place(10 + i).ip);
        heard.push_back(std::make_unique<Heard>());
        fronts.push_back(std::make_unique<node::ChangeLogClient>(front, place(2), 1, node::FrameReader(1, 1, 16),
                                                           node::ChangeLogTimings{}, *heard.back()));
        fronts.back()->start();
    }
    world.runUntil(world.now() + 1'500'000);
    for (const bool reload : {false, true}) {
        std::map<Micros, int> byMilli;
        HandLog other(there, place(3));
        (reload ? other : log).onAsk = [&](HandLog::Link&, std::uint64_t) { ++byMilli[world.now() / 5'000]; };
        if (reload) {
            for (const auto& front : fronts) front->switchTo(other.endpoint());
        } else {
            log.breakAll();
        }
        world.runUntil(world.now() + kAfterBreak);
        int all = 0;
        for (const auto& [at, count] : byMilli) {
            EXPECT_LE(count, 25) << reload;
            all += count;
        }
        EXPECT_EQ(all, 100) << reload;
    }
}

// ---- numbers ----

TEST_F(ChangeLogDay, WhatIsToldTwiceIsTakenOnce) {
    log.onAsk = [](HandLog::Link& link, std::uint64_t) {
        link.say(drain(2) + drain(2) + drain(3) + drain(2) + drain(3) + PlatformChangeLog::frame(2, 1, {}) +
                 drain(4));
    };
    follows.start();
    run(kSecond);
    EXPECT_EQ(user.numbers, (std::vector<std::uint64_t>{2, 3, 4}));
    EXPECT_EQ(log.asked.size(), 1u);
}

TEST_F(ChangeLogDay, ANumberThatIsMissingIsAskedForOnceMore) {
    bool told = false;
    log.onAsk = [&](HandLog::Link& link, std::uint64_t) {
        link.say((std::exchange(told, true) ? drain(2) : "") + drain(3) + drain(4));
    };
    follows.start();
    run(kSecond);
    EXPECT_EQ(user.numbers, (std::vector<std::uint64_t>{2, 3, 4}));
    EXPECT_EQ(log.asked, (std::vector<std::uint64_t>{1, 1}));
}

// One that no change log has does not keep back what follows it.
TEST_F(ChangeLogDay, ANumberThatDoesNotExistIsPassedOver) {
    log.onAsk = [&](HandLog::Link& link, std::uint64_t from) {
        if (from < 3) link.say(drain(3));
        if (from < 9) link.say(drain(9));
    };
    log.last = 9;
    follows.start();
    run(3 * kSecond);
    EXPECT_EQ(user.numbers, (std::vector<std::uint64_t>{3, 9}));
    EXPECT_LE(log.asked.size(), 3u);
    EXPECT_GE(user.currents, 1);
}

TEST_F(ChangeLogDay, AWholeListStandsForAllThatCameBefore) {
    log.onAsk = [&](HandLog::Link& link, std::uint64_t) {
        link.say(PlatformChangeLog::frame(30, 1, {{7, place(9)}}) + drain(31) +
                 PlatformChangeLog::frame(30, 1, {}) + drain(32));
    };
    follows.start();
    run(500'000);
    EXPECT_EQ(user.numbers, (std::vector<std::uint64_t>{30, 31, 32}));
    EXPECT_EQ(log.asked.size(), 1u);
}

// ---- from the start ----

// It is away when the front comes up: that is said once, it is asked on, and tells all there was.
TEST_F(ChangeLogDay, AwayFromTheStartItIsAskedUntilItIsThere) {
    log.down();
    follows.start();
    run(8 * kSecond);
    EXPECT_EQ(user.whys, std::vector<std::string>{"no connection"});
    follows.switchTo(place(3));  // nor is anybody there: said of each address
    run(kSecond);
    EXPECT_EQ(user.whys.size(), 2u);
    follows.switchTo(place(2));
    run(kSecond);
    log.tells({{2, drain(2)}, {3, drain(3)}});
    log.up();
    EXPECT_LE(until([&] { return has(3); }), kAfterBreak / 2);
    EXPECT_EQ(log.asked, std::vector<std::uint64_t>{1});
}

// Without a descriptor left it goes on trying, and hears all there was to tell once there is one.
TEST(ChangeLogClient, OutOfDescriptorsItTriesAgain) {
    Loop loop;
    HandLog log(loop.net, Loop::any());
    log.tells({{2, drain(2)}, {3, drain(3)}});
    Heard user;
    node::ChangeLogClient follows(loop.net, log.endpoint(), 1, node::FrameReader(1, 1, 16), node::ChangeLogTimings{},
                            user);
    {  // the same failure with descriptors to spare: a sanitizer needs one where it meets a class first
        Heard heard;
        node::ChangeLogClient nobody(loop.net, *net::parseEndpoint("255.255.255.255:9"), 1,
                               node::FrameReader(1, 1, 16), node::ChangeLogTimings{}, heard);
        nobody.start();
        EXPECT_TRUE(loop.until([&] { return !heard.whys.empty(); }));
    }
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
    const int nextFree = ::dup(STDERR_FILENO);
    ASSERT_GE(nextFree, 0);
    ::close(nextFree);
    const rlimit none{static_cast<rlim_t>(nextFree), before.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
    follows.start();
    loop.run(kSecond);
    const auto asked = log.asked.size();
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_EQ(asked, 0u);
    EXPECT_EQ(user.whys, std::vector<std::string>{"no connection"});
    EXPECT_TRUE(loop.until([&] { return user.numbers.size() == 2; }, kAfterBreak));
}

// ================= the front node around it =================

// A front node with two media servers and its change log; what was said to its viewers, by subscription.
struct NodeListDay : testing::Test {
    net::VirtualNetwork world{5};
    std::map<int, net::VirtualNode*> nodes;
    net::VirtualNode& machine(int n) {
        auto& node = nodes[n];
        if (!node) node = &world.node("m" + std::to_string(n), place(n).ip);
        return *node;
    }
    std::vector<std::unique_ptr<fakes::PlatformServer>> servers;
    std::unique_ptr<PlatformChangeLog> log;
    std::string logFile = testing::TempDir() + "changelog_test." + std::to_string(::getpid()) + ".log";
    logging::Log record{logFile, logging::Level::Info, 1};
    std::unique_ptr<node::Node> front;
    std::unique_ptr<fakes::PlatformConnection> viewers;
    std::map<std::string, std::string> said;

    NodeListDay() {
        for (int i = 0; i < 2; ++i)
            servers.push_back(std::make_unique<fakes::PlatformServer>(machine(i), place(i)));
        log = std::make_unique<PlatformChangeLog>(machine(10), place(10));
        log->last = 1;
    }
    ~NodeListDay() override { std::remove(logFile.c_str()); }
    void come() {
        front = std::make_unique<node::Node>(machine(11), "config.json", configuration().dump(), record);
        connect();
        run(50'000);
    }
    void connect() {
        viewers = std::make_unique<fakes::PlatformConnection>(
            machine(12), front->endpoint(), [this](fakes::PlatformConnection&, const Json& m) {
                std::string& all = said[m.value("tag", "")];
                all += (all.empty() ? "" : " ") +
                       (m["verb"] == "STARTED" ? std::string("+") : std::to_string(m.value("rc", 0)));
            });
    }
    std::uint64_t wallMs() { return static_cast<std::uint64_t>(machine(11).wallNow() / 1000); }
    Json configuration() {
        std::vector<net::Endpoint> places;
        for (const auto& server : servers) places.push_back(server->endpoint());
        return nodetest::configurationOf(
            places, place(11), log->endpoint(),
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
    void ask(int n) {
        viewers->send({{"verb", "START"},
                       {"tag", nodetest::idOf(n)},
                       {"opts",
                        {{"class", "talk"},
                         {"left", "3000"},
                         {"key", "t" + std::to_string(n)},
                         {"extras", "home:0;copies:3;top:2"}}},
                       {"blob", "offer"}});
    }
    // Until each of so many plays, from `from` on.
    void play(int from, int count) {
        if (viewers->ended()) connect();  // closed for idleness
        for (int n = from; n < from + count; ++n) ask(n);
        run(kSecond);
        for (int n = from; n < from + count; ++n) EXPECT_EQ(said[nodetest::idOf(n)], "+") << n;
    }
    int standing(int n) const {
        for (std::size_t i = 0; i < servers.size(); ++i)
            if (servers[i]->playing.count(nodetest::idOf(n))) return static_cast<int>(i);
        return -1;
    }
    void run(Micros time) { world.runUntil(world.now() + time); }
    std::string logged() {
        record.flush();
        std::ifstream in(logFile);
        return {std::istreambuf_iterator<char>(in), {}};
    }
};
// A whole list in mid-course: who is missing in it is gone, with what it played.
TEST_F(NodeListDay, AWholeListInMidCourseLeavesOutWhoIsGone) {
    come();
    play(1, 12);
    ASSERT_FALSE(servers[0]->playing.empty());
    log->add({{1, servers[1]->endpoint(), 0, 1}}, true);
    run(500'000);
    const std::size_t before = servers[0]->setups.size();
    for (int n = 1; n <= 12; ++n) EXPECT_EQ(said[nodetest::idOf(n)], standing(n) == 1 ? "+" : "+ 41") << n;
    play(20, 10);
    EXPECT_EQ(servers[0]->setups.size(), before);
}

// One that a later whole list gives a new start is new: what stood there before is over, the rest goes on.
TEST_F(NodeListDay, AWholeListInMidCourseTellsOfNewStarts) {
    come();
    play(1, 12);
    log->add({{0, servers[0]->endpoint(), 0, 0}, {1, servers[1]->endpoint(), 0, 1, wallMs()}}, true);
    run(500'000);
    for (int n = 1; n <= 12; ++n) EXPECT_EQ(said[nodetest::idOf(n)], standing(n) == 0 ? "+" : "+ 41") << n;
}

// The start of a media server is told in Unix time. Told again it is no new start, though the wall clock was
// set back meanwhile and another moment of the front's own clock comes out.
TEST_F(NodeListDay, TheSameStartToldAgainIsNoNewOne) {
    come();
    const std::uint64_t started = wallMs();
    log->add({{1, servers[1]->endpoint(), 0, 1, started}});
    run(12 * kSecond);  // warm
    play(1, 12);
    ASSERT_FALSE(servers[1]->playing.empty());
    machine(11).wallSkew -= 20 * kSecond;
    log->add({{0, servers[0]->endpoint(), 0, 0}, {1, servers[1]->endpoint(), 0, 1, started}}, true);
    log->add({{1, servers[1]->endpoint(), 0, 1, started}});
    run(kSecond);
    for (int n = 1; n <= 12; ++n) EXPECT_EQ(said[nodetest::idOf(n)], "+") << n;
}

// A whole list with a number that is over says nothing new, whatever it holds.
TEST_F(NodeListDay, AnOldWholeListTakesNothingBack) {
    come();
    play(1, 6);
    log->add({{0, servers[0]->endpoint(), 1, 0}});
    run(200'000);
    const std::size_t before = servers[0]->setups.size();
    for (const std::uint64_t number : {0u, 1u, 2u})
        log->bytes(PlatformChangeLog::frame(number, 1, {{0, servers[0]->endpoint(), 0, 0}}));
    play(20, 10);
    EXPECT_EQ(servers[0]->setups.size(), before);
    for (int n = 1; n <= 6; ++n) EXPECT_EQ(said[nodetest::idOf(n)], "+") << n;
}

// The front comes up while the change log is away, with an old list: it serves at once, and knows of the
// drain as soon as the change log is there.
TEST_F(NodeListDay, ComesUpOnAnOldListWhileTheChangeLogIsAway) {
    const Json configured = configuration();
    log.reset();
    front = std::make_unique<node::Node>(machine(11), "config.json", configured.dump(), record);
    connect();
    viewers->send({{"verb", "ECHO"}, {"tag", nodetest::idOf(99)}, {"opts", Json::object()}, {"rc", 0}});
    run(50'000);
    EXPECT_EQ(said[nodetest::idOf(99)], "1");  // passed: ready, though nobody has told it anything
    play(1, 4);
    EXPECT_NE(logged().find("change log lost"), std::string::npos);
    run(7 * kSecond);
    log = std::make_unique<PlatformChangeLog>(machine(10), place(10));
    log->last = 1;
    log->add({{0, servers[0]->endpoint(), 1, 0}});
    run(kAfterBreak / 2);
    const std::size_t before = servers[0]->setups.size();
    play(20, 10);
    EXPECT_EQ(servers[0]->setups.size(), before);
}

// What replaces the configuration may be wrong in any way: it is said, and the change log held stays.
TEST_F(NodeListDay, AWrongConfigurationIsPassedOverAndSaysWhy) {
    come();
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
             {noPort.dump(),
              "config.json: 'changelog' is '10.0.0.1:0'; expected an address and a port"}}) {
        front->reloadConfiguration(text);
        run(1'100'000);  // one a second is written
        EXPECT_NE(logged().find(why), std::string::npos) << why;
    }
    EXPECT_EQ(log->asked.size(), 1u);
    log->add({{0, servers[0]->endpoint(), 1, 0}});
    run(200'000);
    play(1, 10);
    EXPECT_TRUE(servers[0]->setups.empty());
}

// Reloads while a drain is told, and after SIGTERM: requests still come then, and none may go to who drains.
TEST_F(NodeListDay, ADrainToldWhereAReloadLeadsCountsAlsoDuringThePlannedEnd) {
    come();
    PlatformChangeLog other(machine(13), place(13));
    other.last = 1;
    bool over = false;
    front->stop([&] { over = true; });
    Json all = configuration();
    all["changelog"] = net::toString(other.endpoint());
    front->reloadConfiguration(all.dump());
    other.add({{0, servers[0]->endpoint(), 1, 0}});
    run(300'000);
    for (int n = 1; n <= 10; ++n) ask(n);
    run(kSecond);
    EXPECT_FALSE(over);
    for (int n = 1; n <= 10; ++n) EXPECT_EQ(said[nodetest::idOf(n)], "+") << n;
    EXPECT_TRUE(servers[0]->setups.empty());
    run(4 * kSecond);
    EXPECT_TRUE(over);
}

}  // namespace
}  // namespace valekeel
