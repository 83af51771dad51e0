// The viewers' side of the front node, and its end: every path that ends something, with what is still owed
// then.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

#include "node/line_connection.hpp"
#include "node_fixture.hpp"

namespace valekeel {
namespace {

using namespace nodetest;

// Reads only when it is told to.
struct LateReader final : net::StreamHandler {
    LateReader(net::Net& net, const net::Endpoint& at) : stream(net.connect(at, *this)) {}
    void onConnected() override {
        ready = true;
        onWritable();
    }
    void onReadable() override {}
    void onWritable() override {
        if (ready) out.erase(0, stream->write(out).bytes);
    }
    void say(const std::string& bytes) {
        out += bytes;
        onWritable();
    }
    // False once nothing more comes.
    bool readOn() {
        std::array<char, 4096> buffer;
        for (;;) {
            const net::IoResult now = stream->read(buffer);
            if (now.status != net::IoResult::Status::Ready) {
                broken = now.status == net::IoResult::Status::Broken;
                return now.status == net::IoResult::Status::WouldBlock;
            }
            got.append(buffer.data(), now.bytes);
        }
    }
    std::ptrdiff_t lines() const { return std::count(got.begin(), got.end(), '\n'); }
    bool ready = false, broken = false;
    std::string out, got;
    std::unique_ptr<net::Stream> stream;
};

const std::string kTest = R"({"verb":"ECHO","tag":"0000000000000063","opts":{},"rc":0})"
                          "\n";

// Guards against a close that throws away what the other side has no room for yet.
TEST(NodeViewers, WhatIsUnsentOutlivesTheClose) {
    VirtualDay day;
    LateReader late(day.machine(13), day.front->endpoint());
    std::string all;
    for (int i = 0; i < 6000; ++i) all += kTest;
    late.say(all + "noise\n");
    day.run(300'000);
    while (late.readOn()) day.run(1'000);
    EXPECT_EQ(late.lines(), 6000);
    EXPECT_FALSE(late.broken);
}

// Guards against a close with unread bytes: it resets the connection, and with it what was just answered.
TEST(NodeViewers, ARefusalOutlivesWhatLiesUnreadBehindIt) {
    VirtualDay day;
    LateReader late(day.machine(13), day.front->endpoint());
    const std::string bad = VirtualDay::start(77, "unheard").dump() + "\n";
    late.say(bad + bad + bad + bad + std::string(12'000, 'x'));
    day.run(300'000);
    EXPECT_FALSE(late.readOn());
    EXPECT_EQ(late.lines(), 4);
    EXPECT_FALSE(late.broken);
}

// No descriptor is held for one that neither reads nor closes.
TEST(NodeViewers, ALingeringCloseEnds) {
    VirtualDay day;
    LateReader endless(day.machine(13), day.front->endpoint());
    const std::string bad = VirtualDay::start(77, "unheard").dump() + "\n";
    endless.say(bad + bad + bad + bad);
    day.run(100'000);
    for (int i = 0; i < 100; ++i) {
        endless.say(std::string(10'000, 'x'));
        day.run(1'000);
    }
    endless.readOn();
    EXPECT_TRUE(endless.broken);  // it talks on
    LateReader still(day.machine(13), day.front->endpoint());
    still.say(bad + bad + bad + bad);
    day.run(1'500'000);
    still.say("x");
    day.run(100'000);
    still.readOn();
    EXPECT_TRUE(still.broken);  // nobody is there any more
}

// Where all are needed, one that comes is heard and refused: it is not just closed.
TEST(NodeViewers, OneTooManyIsRefusedAndNotCutOff) {
    VirtualDay day;
    for (const auto& s : day.servers)
        s->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
    std::vector<std::unique_ptr<fakes::PlatformConnection>> all;
    for (int n = 1; n <= 130; ++n) {
        all.push_back(day.line());
        all.back()->send(VirtualDay::start(n, "talk", "t" + std::to_string(n)));
        day.run(1'000);
    }
    for (int n = 121; n <= 130; ++n) EXPECT_EQ(day.said(n), "42") << n;
    day.run(100'000);
    EXPECT_TRUE(all.back()->ended());
    EXPECT_FALSE(all.front()->ended());
}

// A set-up that lies unread while a new connection asks for room: the connection that brought it stays.
TEST(NodeViewers, WhatLiesUnreadIsReadBeforeItsConnectionIsClosedForRoom) {
    Day<Sockets> day;
    std::vector<std::unique_ptr<fakes::PlatformConnection>> silent;
    for (int i = 0; i < 119; ++i) {
        silent.push_back(day.line());
        day.run(1'000);
    }
    const auto next = day.line();  // waits to be accepted, and the set-up to be read behind that
    day.viewers->send(VirtualDay::start(1));
    EXPECT_TRUE(day.loop.until([&] { return day.said(1) == "+"; }, 2 * kSecond));
}

// Idle connections, tests and a change log that is away: the list, media servers and viewers get theirs.
TEST(NodeViewers, ACrowdLeavesDescriptorsForTheChangeLogAndMediaServers) {
    VirtualDay day;
    const net::Endpoint at = day.log->endpoint();
    day.log.reset();
    std::vector<std::unique_ptr<fakes::PlatformConnection>> crowd;
    for (int i = 0; i < 600; ++i) {
        crowd.push_back(std::make_unique<fakes::PlatformConnection>(day.machine(13), day.front->endpoint(),
                                                                    [](auto&, const Json&) {}));
        if (i % 2) crowd.back()->bytes(kTest);
        if (i % 20 == 0) day.run(10'000);
    }
    day.log = std::make_unique<fakes::PlatformChangeLog>(day.machine(10), at);
    day.log->last = 1;
    day.log->add({{0, day.servers[0]->endpoint(), 1, 0}});
    day.run(500'000);
    ASSERT_FALSE(day.log->asked.empty());
    day.viewers = day.line();
    for (int n = 1; n <= 10; ++n) day.ask(n, "talk", "t" + std::to_string(n));
    day.run(kSecond);
    for (int n = 1; n <= 10; ++n) EXPECT_EQ(day.said(n), "+") << n;
    EXPECT_TRUE(day.servers[0]->setups.empty());
    EXPECT_LE(day.nodes[11]->peakStreamCount(), 256u / 2 + 256 / 3 + 2);
}

// A process that had no turn for a while comes to its timers before it reads what has come meanwhile.
TEST(NodeViewers, WhatCameWhileItHadNoTurnIsReadBeforeItsConnectionIsClosed) {
    VirtualDay day;
    const auto silent = day.line();
    const auto half = day.line();
    const std::string whole = VirtualDay::start(2, "talk", "u").dump() + "\n";
    half->bytes(whole.substr(0, 100));
    day.run(1'500'000);
    day.nodes[11]->pause();
    silent->send(VirtualDay::start(1));
    half->bytes(whole.substr(100));
    day.run(kSecond);
    day.nodes[11]->resume();
    day.run(500'000);
    EXPECT_EQ(day.said(1), "+");
    EXPECT_EQ(day.said(2), "+");
}

TEST(NodeViewers, ARequestInPiecesIsServedWithWhatStandsBehindIt) {
    VirtualDay day;
    std::string all;
    for (int n = 1; n <= 3; ++n)
        all += VirtualDay::start(n, "talk", "t" + std::to_string(n)).dump() + "\n" + kTest;
    for (const char c : all) {
        day.viewers->bytes(std::string(1, c));
        day.run(2'000);
    }
    day.run(500'000);
    for (int n = 1; n <= 3; ++n) EXPECT_EQ(day.said(n), "+") << n;
    EXPECT_EQ(day.said(99), "1 1 1");
    day.viewers = day.line();
    day.viewers->bytes(VirtualDay::start(4, "talk", "x").dump() + "\n" +
                       VirtualDay::start(5, "talk", "y").dump() + "\n");
    day.run(500'000);
    EXPECT_EQ(day.said(4), "+");
    EXPECT_EQ(day.said(5), "+");
}

// A viewer that has gone is not served: whichever way its connection ended, its set-ups are called off at
// once.
TEST(NodeViewers, WhateverEndsAConnectionGivesUpItsSetups) {
    for (int how = 0; how < 6; ++how) {
        VirtualDay day(1);
        day.servers[0]->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
        day.ask(1);
        day.ask(2, "talk", "u");
        day.run(200'000);
        ASSERT_EQ(day.setupsOf(1) + day.setupsOf(2), 2);
        if (how == 0) day.viewers->close(false);
        if (how == 1) day.viewers->close(true);
        if (how == 2) day.viewers->bytes("noise\n");
        if (how == 3) day.viewers->bytes(std::string(20'000, 'x'));
        if (how == 4) day.ask(1);  // one id twice
        if (how == 5)
            for (int i = 0; i < 4; ++i) day.viewers->send(VirtualDay::start(77, "unheard"));
        day.run(20'000);
        EXPECT_EQ(day.servers[0]->cuts, 2) << how;
        EXPECT_EQ(day.front->tableEntryCount(), 0u) << how;
    }
    VirtualDay day(1);  // a set-up and the close in one segment: nothing of it is left
    LateReader both(day.machine(13), day.front->endpoint());
    both.say(VirtualDay::start(1).dump() + "\n");
    day.world.step(day.world.now() + kSecond);
    both.stream.reset();
    day.run(kSecond);
    EXPECT_EQ(day.front->tableEntryCount(), 0u);
}

// A release that went out on a connection which was broken already, unseen, is told on another.
TEST(NodeViewers, AReleaseLostWithItsConnectionIsToldAgain) {
    VirtualDay day(1);
    day.ask(1);
    const auto other = day.line();
    other->send(VirtualDay::start(2, "talk", "u"));
    day.run(kSecond);
    day.servers[0]->end(idOf(1), 16);
    day.run(250);  // the front says it while the reset is on its way
    day.viewers->close(true);
    day.run(500'000);
    EXPECT_EQ(day.said(1), "+ 16");
}

// Guards against releases in a burst that look like a viewer who does not read.
TEST(NodeViewers, ManyReleasesForOneConnectionDoNotCloseIt) {
    VirtualDay day;
    const int many = 4000;
    for (int n = 1; n <= many; ++n) {
        Json m = VirtualDay::start(n);
        m["opts"]["extras"] = "home:0;copies:3;top:2;at:s-00000000";
        day.viewers->send(m);
        if (n % 200 == 0) day.run(20'000);
    }
    day.run(100'000);
    day.viewers->close(true);
    day.run(100'000);
    day.servers[0]->die();
    day.run(500'000);
    LateReader late(day.machine(13), day.front->endpoint());
    std::string all = VirtualDay::start(5000).dump() + "\n";
    for (int i = 0; i < 5200; ++i) all += kTest;  // what is on its way to it fills its buffer already
    late.say(all);
    day.run(500'000);
    for (int i = 0; i < 300; ++i) {
        late.readOn();
        day.run(10'000);
    }
    EXPECT_EQ(late.lines(), many + 1 + 5200);
    EXPECT_FALSE(late.broken);
}

// Thousands of set-ups, given up, broken off, left, handed over: nothing of them is left in any table.
TEST(NodeViewers, ChurnLeavesNothingBehind) {
    VirtualDay day;
    std::mt19937 chance(11);
    for (const auto& s : day.servers)
        s->reaction = [&](const std::string&) {
            const auto drawn = chance() % 12;
            return drawn == 0   ? SetupReaction::RefuseFull
                   : drawn == 1 ? SetupReaction::NoAnswer
                   : drawn == 2 ? SetupReaction::Reset
                   : drawn == 3 ? SetupReaction::Garbage
                                : SetupReaction::Play;
        };
    std::vector<std::unique_ptr<fakes::PlatformConnection>> lines(6);
    for (int n = 1; n <= 4000; ++n) {
        auto& line = lines[chance() % lines.size()];
        if (!line || line->ended()) line = day.line();
        Json m = VirtualDay::start(n, n % 5 ? "talk" : "paid", "t" + std::to_string(n % 50));
        if (n % 7 == 0) m["opts"]["extras"] = "home:0;copies:3;top:2;at:s-0000000" + std::to_string(n % 3);
        line->send(m);
        day.run(2'000);
        if (n > 100 && chance() % 3) {
            const int old = n - static_cast<int>(chance() % 100);
            line->send({{"verb", "FINISH"}, {"tag", idOf(old)}, {"opts", Json::object()}, {"rc", 16}});
        }
        if (chance() % 20 == 0) line->close(chance() % 2);
        if (chance() % 60 == 0 && !line->ended()) line->bytes("noise\n");
        if (chance() % 90 == 0) day.servers[chance() % 3]->resetConnections();
    }
    day.run(4 * kSecond);
    day.viewers = day.line();
    for (int n = 1; n <= 4000; ++n) day.end(n);
    day.run(kSecond);
    for (const auto& line : lines)
        if (line) line->close(false);
    day.viewers->close(false);
    day.run(12 * kSecond);
    EXPECT_EQ(day.front->tableEntryCount(), 0u);
    EXPECT_EQ(day.front->connectionCount(), 0u);
    for (const auto& s : day.servers) EXPECT_TRUE(s->playing.empty());
}

// Guards against connects that fail together and are tried again at once: each held two descriptors then.
TEST(NodeViewers, AConnectGivenUpFreesItsDescriptorAtOnce) {
    struct Nobody final : node::LineConnectionHandler {
        void onLine(std::string_view) override {}
        void onDisconnect(node::DisconnectReason) override {}
    } nobody;
    net::VirtualNetwork world{5};
    net::VirtualNode& here = world.node("here", VirtualMachines::place(0).ip);
    std::vector<std::unique_ptr<node::LineConnection>> wires;
    for (int i = 0; i < 10; ++i) {
        wires.push_back(
            std::make_unique<node::LineConnection>(here, VirtualMachines::place(1), kSecond,
                                                   node::LineConnection::Limits{100, 100, kSecond}, nobody));
        wires.back()->close();
    }
    EXPECT_EQ(here.peakStreamCount(), 1u);
    world.runUntil(world.now() + kSecond);
}

// ================= the end of the process =================

// Asks it to end, and ends it at the very event at which it says that it is done.
struct Ending {
    explicit Ending(VirtualDay& day) : day(day), asked(day.world.now()) {
        day.front->stop([this] { over = true; });
    }
    void until(Micros since) {
        while (day.world.step(asked + since))
            if (over) day.front.reset();
    }
    VirtualDay& day;
    Micros asked;
    bool over = false;
};

// The same front with other settings, instead of the day's own.
void restart(VirtualDay& day, const std::function<void(Json&)>& change) {
    Json all = Json::parse(day.configuration());
    all["listen"] = net::toString(VirtualMachines::place(15));
    change(all);
    day.front = std::make_unique<node::Node>(day.machine(15), "config.json", all.dump(), day.record);
    day.viewers = day.line();
    day.run(50'000);
}

// Guards against an end that comes between a set-up and the turn of the loop that reads it.
TEST(NodeEnd, ASetupThatLiesUnreadAtTheEarliestEndIsAnswered) {
    for (const bool newConnection : {false, true}) {
        VirtualDay day;
        Ending end(day);
        end.until(550'000);
        day.nodes[11]->pause();
        if (newConnection) day.viewers = day.line();
        day.ask(1);
        end.until(750'000);
        day.nodes[11]->resume();
        end.until(2 * kSecond);
        EXPECT_EQ(day.said(1), "+");
    }
}

TEST(NodeEnd, WithNothingOpenItEndsSoon) {
    VirtualDay day;
    Ending end(day);
    end.until(690'000);
    EXPECT_FALSE(end.over);
    end.until(kSecond);
    EXPECT_TRUE(end.over);
    EXPECT_TRUE(day.viewers->ended());
}

// SIGKILL may come as soon as the longest client timeout, counted as 3 s where it is longer, and 0.7 s are
// over.
TEST(NodeEnd, AllIsAnsweredAndReleasedBeforeTheEarliestKill) {
    for (const double deadline : {8.0, 3.0, 1.5}) {
        VirtualDay day;
        restart(day, [&](Json& all) {
            for (Json& room : all["settings"]["request_classes"]) room["deadline"] = deadline;
        });
        for (const auto& s : day.servers)
            s->reaction = [](const std::string& tag) {
                return tag == idOf(2) ? SetupReaction::NoAnswer : SetupReaction::Play;
            };
        day.ask(1);
        day.run(500'000);
        Ending end(day);
        const Micros kill = static_cast<Micros>(std::min(deadline, 3.0) * 1e6) + 700'000;
        end.until(600'000);
        Json last = VirtualDay::start(2, "talk", "u");
        last["opts"]["left"] = std::to_string(static_cast<int>(deadline * 1000));
        day.viewers->send(last);
        end.until(kill - 500'000);
        EXPECT_EQ(day.said(1), "+") << deadline;  // no sooner than has to be
        end.until(kill - 300'000);
        EXPECT_EQ(day.said(1), "+ 41") << deadline;
        day.ask(3);
        end.until(kill);
        EXPECT_TRUE(end.over) << deadline;
        EXPECT_EQ(day.said(2), "41") << deadline;
        EXPECT_EQ(day.said(3), "42") << deadline;
        for (const auto& s : day.servers) EXPECT_TRUE(s->playing.empty()) << deadline;
    }
}

// A release that its viewer has no room for yet is waited for.
TEST(NodeEnd, WaitsUntilWhatItSaidIsTaken) {
    VirtualDay day;
    LateReader late(day.machine(13), day.front->endpoint());
    late.say(VirtualDay::start(1).dump() + "\n");
    day.run(500'000);
    std::string tests;
    for (int i = 0; i < 5000; ++i) tests += kTest;
    late.say(tests);
    Ending end(day);
    end.until(3'450'000);
    for (Micros at = 3'450'000; at < 4 * kSecond; at += 10'000) {
        end.until(at);
        if (!late.readOn()) break;
    }
    EXPECT_NE(late.got.find(R"("FINISH")"), std::string::npos);
    EXPECT_EQ(late.lines(), 5002);
    EXPECT_FALSE(late.broken);
}

// A fresh process is handed what plays as soon as it has passed its first test.
TEST(NodeViewers, HandedOverRightBehindTheFirstTest) {
    VirtualDay day;
    Json m = VirtualDay::start(1);
    m["opts"]["extras"] = "home:0;copies:3;top:2;at:s-00000001";
    const Json test = {{"verb", "ECHO"}, {"tag", idOf(99)}, {"opts", Json::object()}, {"rc", 0}};
    day.viewers->bytes(test.dump() + "\n" + m.dump() + "\n");
    day.run(100'000);
    EXPECT_EQ(day.said(99), "1");
    day.servers[1]->playing.insert(idOf(1));
    day.servers[1]->end(idOf(1), 16);
    day.run(500'000);
    EXPECT_EQ(day.said(1), "16");
}

}  // namespace
}  // namespace valekeel
