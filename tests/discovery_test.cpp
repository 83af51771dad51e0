// Tests of the server list, of the reader of server-sent events and of the list followers.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "discovery/list_follower.hpp"
#include "fakes/list_server.hpp"
#include "loop_fixture.hpp"
#include "settings/kdl.hpp"
#include "temporary_folder.hpp"

namespace valekeel {
namespace {

using namespace discovery;

const std::vector<std::string> kKinds{"small", "large"};

// A new process at the address of one whose end is told later, or never, was taken for both.
TEST(ServerList, ServerAtTheAddressOfAnotherReplacesIt) {
    const ListNames names({"small"});
    const auto parse = [&](const std::string& text) { return parseServerList("t", text, names, {}).servers; };
    const auto listed = parse("box 1 at=\"127.0.0.1:1\"\nbox 2 at=\"127.0.0.1:2\"");
    const auto replaced = replacedServers(listed, parse("box 3 at=\"127.0.0.1:1\""));
    ASSERT_EQ(replaced.size(), 1u);
    EXPECT_EQ(replaced[0].sfu.id, SfuId{1});
    EXPECT_EQ(replaced[0].sfu.state, ServerState::Off);
    EXPECT_TRUE(replacedServers(listed, parse("box 1 at=\"127.0.0.1:1\"\nbox 3 at=\"127.0.0.1:3\"")).empty());
    // Two that change places: both are named.
    EXPECT_TRUE(replacedServers(listed, parse("box 1 at=\"127.0.0.1:2\"\nbox 2 at=\"127.0.0.1:1\"")).empty());
    EXPECT_TRUE(replacedServers(listed, parse("box 3 at=\"127.0.0.1:1\" standing=\"off\"")).empty());
}

TEST(ServerList, AcceptsOnlyZonesOfTheSettings) {
    const ListNames names({"small"}, {"east", "west"});
    const ServerList read =
        parseServerList("t", "box 1 at=\"127.0.0.1:1\" zone=\"west\"\nbox 2 at=\"127.0.0.1:2\"", names, {});
    EXPECT_EQ(read.servers[0].sfu.zone.v, 1u);
    EXPECT_EQ(read.servers[1].sfu.zone.v, 0u);
    EXPECT_EQ(parseServerList("t", formatServerList(read, names), names, {}).servers[0].sfu.zone.v, 1u);
    try {
        parseServerList("t", "box 1 at=\"127.0.0.1:1\" zone=\"wets\"", names, {});
        ADD_FAILURE();
    } catch (const settings::SettingsError& e) {
        EXPECT_NE(
            std::string(e.what()).find("t:1:29: a zone 'wets' is not in the settings; did you mean 'west'?"),
            std::string::npos)
            << e.what();
    }
}

TEST(ServerList, RoundTripsItsTextForm) {
    const ServerList read =
        parseServerList("t",
                        "version 3\nbox 1 at=\"127.0.0.1:9\" kind=\"large\" cell=2 size=1.5 "
                        "launched=\"2026-12-01T09:00:00.25Z\"\n"
                        "box 2 standing=\"off\"\n",
                        kKinds, {});
    ASSERT_EQ(read.servers.size(), 2u);
    EXPECT_EQ(read.servers[0].sfu.launched, 1796115600250000);
    EXPECT_EQ(read.servers[0].sfu.kind.v, 1u);
    EXPECT_EQ(read.servers[1].sfu.state, ServerState::Off);
    const ServerList back = parseServerList("t", formatServerList(read, kKinds), kKinds, {});
    EXPECT_EQ(back.version, 3);
    EXPECT_EQ(back.servers[0].sfu.launched, read.servers[0].sfu.launched);
    EXPECT_EQ(back.servers[0].endpoint, read.servers[0].endpoint);
    EXPECT_DOUBLE_EQ(back.servers[0].sfu.size, 1.5);
}

TEST(ServerList, RejectsInvalidEntries) {
    for (const char* bad :
         {"box", "box 1", "box 1 at=\"x\"", "box 1.5 at=\"127.0.0.1:1\"", "box -1 at=\"127.0.0.1:1\"",
          "box 1 at=\"127.0.0.1:1\"\nbox 1 at=\"127.0.0.1:2\"", "box 1 at=\"127.0.0.1:1\" kind=\"lage\"",
          "box 1 at=\"127.0.0.1:1\" launched=\"yesterday\"", "bix 1", "box 1 at=\"127.0.0.1:1\" x=1"})
        EXPECT_THROW(parseServerList("t", bad, kKinds, {}), settings::SettingsError) << bad;
    EXPECT_THROW(
        parseServerList("t", "box 1 at=\"127.0.0.1:1\"\nbox 2 at=\"127.0.0.1:1\"", kKinds, {1, 1'000}),
        settings::SettingsError);
}

TEST(SseReader, FollowsTheStandard) {
    std::vector<SseEvent> events;
    SseReader reader(1'000, [&](const SseEvent& event) { events.push_back(event); });
    reader.feed("\xef\xbb\xbf:comment\r\nevent: list\r\nid: 7\r\ndata: a\r\ndata:b\r\n\r\n");
    reader.feed("data: second\n");
    EXPECT_EQ(events.size(), 1u) << "reported before its blank line";
    reader.feed("\nevent: nothing\n\nretry: 50\nid\ndata\r\r");
    ASSERT_EQ(events.size(), 3u);
    EXPECT_EQ(events[0].type, "list");
    EXPECT_EQ(events[0].data, "a\nb");
    EXPECT_EQ(events[0].id, "7");
    EXPECT_EQ(events[1].type, "message");
    EXPECT_EQ(events[1].id, "7") << "an id stays until it is changed";
    EXPECT_EQ(events[2].id, "");
    EXPECT_EQ(events[2].data, "");
    EXPECT_EQ(reader.retryMs(), 50);
    reader.feed("data: " + std::string(2'000, 'x') + "\n\ndata: ok\n\n");
    ASSERT_EQ(events.size(), 4u);
    EXPECT_EQ(events[3].data, "ok");
    EXPECT_EQ(reader.tooLong(), 1u);
    reader.feed("data: cut");
    reader.reset();
    reader.feed("data: whole\n\n");
    EXPECT_EQ(events.back().data, "whole");
}

TEST(SseReader, AcceptsBytesSplitAnywhere) {
    const std::string text = "event: list\r\nid: 1\r\ndata: x\r\n\r\nid: 2\rdata: y\r\r";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        std::vector<std::string> events;
        SseReader reader(
            100, [&](const SseEvent& event) { events.push_back(event.type + event.id + event.data); });
        reader.feed(std::string_view(text).substr(0, cut));
        reader.feed(std::string_view(text).substr(cut));
        EXPECT_EQ(events, (std::vector<std::string>{"list1x", "message2y"})) << cut;
    }
}

// Records what a follower reports.
struct RecordingHandler : ServerListHandler {
    std::vector<std::string> events;
    void onList(const std::vector<ServerListEntry>& entries, bool stale) override {
        events.push_back("list " + std::to_string(entries.size()) + (stale ? " stale" : ""));
    }
    void onListChange(const std::vector<ServerListEntry>& entries) override {
        events.push_back("change " + std::to_string(entries.size()));
    }
    void onListUnreachable(const std::string&) override { events.push_back("unreachable"); }
    void onListAnomaly(const std::string&) override { events.push_back("anomaly"); }
    bool has(const std::string& event) const {
        return std::find(events.begin(), events.end(), event) != events.end();
    }
    std::string last() const { return events.empty() ? "" : events.back(); }
};

// A follower of a fake list server's stream that has received the first list, of two media servers.
struct StreamFixture : Loop {
    fakes::Ledger ledger;
    fakes::ListServer server{net, any(), ledger};
    RecordingHandler handler;
    std::unique_ptr<ListFollower> follower;
    StreamFixture() {
        put(1);
        put(2);
        FollowTimings timings;
        timings.silenceTimeout = 3 * kSecond;
        follower = followStream(net, server.endpoint(), "/boxes?front=a", {"small"}, {}, timings, handler);
        follower->follow();
        EXPECT_TRUE(until([&] { return handler.last() == "list 2"; }));
    }
    void put(int id, const std::string& standing = "on") {
        fakes::ListedBox entry;
        entry.id = id;
        entry.at = "127.0.0.1:1";
        entry.kind = "small";
        entry.standing = standing;
        server.put({entry});
    }
};

TEST(StreamFollower, ReceivesChangesThatTheLedgerRecords) {
    StreamFixture fixture;
    fixture.put(1, "fading");
    ASSERT_TRUE(fixture.until([&] { return fixture.handler.last() == "change 1"; }));
    const auto& line = fixture.ledger.lines().back();
    EXPECT_EQ(line.what, "told");
    EXPECT_EQ(line.front, "a");
    EXPECT_EQ(line.status, 1);
}

TEST(StreamFollower, IgnoresRepeatedEvents) {
    StreamFixture fixture;
    fixture.server.repeats = true;
    fixture.put(3);
    ASSERT_TRUE(fixture.until([&] { return fixture.handler.last() == "anomaly"; }));
    EXPECT_EQ(std::count(fixture.handler.events.begin(), fixture.handler.events.end(), "change 1"), 1);
}

TEST(StreamFollower, RequestsTheCompleteListAfterAGap) {
    StreamFixture fixture;
    fixture.server.skips = true;
    fixture.put(3);
    fixture.put(4);
    fixture.server.skips = false;
    ASSERT_TRUE(fixture.until([&] { return fixture.handler.last() == "list 4"; }));
    fixture.put(5);
    EXPECT_TRUE(fixture.until([&] { return fixture.handler.last() == "change 1"; }));
}

TEST(StreamFollower, ReportsATruncatedStreamAndAnUnreachableServerAndResumes) {
    StreamFixture fixture;
    fixture.server.cutShort();
    ASSERT_TRUE(fixture.until([&] { return fixture.handler.last() == "unreachable"; }));
    EXPECT_FALSE(fixture.handler.has("change 1")) << "a truncated event was taken for a complete one";
    fixture.server.unreachable(true);
    fixture.follower->follow();
    ASSERT_TRUE(fixture.until([&] {
        return std::count(fixture.handler.events.begin(), fixture.handler.events.end(), "unreachable") == 2;
    }));
    fixture.put(6);
    fixture.server.unreachable(false);
    fixture.follower->follow();
    ASSERT_TRUE(fixture.until([&] { return fixture.handler.last() == "list 3"; }));
}

TEST(StreamFollower, ServerSurvivesFollowersThatDisconnect) {
    StreamFixture fixture;
    std::vector<std::unique_ptr<RecordingHandler>> others;
    std::vector<std::unique_ptr<ListFollower>> followers;
    for (int i = 0; i < 8; ++i) {
        others.push_back(std::make_unique<RecordingHandler>());
        followers.push_back(followStream(fixture.net, fixture.server.endpoint(), "/boxes?front=b", {"small"},
                                         {}, {}, *others.back()));
        followers.back()->follow();
    }
    ASSERT_TRUE(fixture.until([&] { return others.back()->last() == "list 2"; }));
    followers.clear();
    fixture.run(1'300'000);
    fixture.put(9);
    EXPECT_TRUE(fixture.until([&] { return fixture.handler.last() == "change 1"; }));
}

TEST(StreamFollower, ReportsASilentStream) {
    Loop loop;
    struct SilentHandler : http::Handler, http::ExchangeHandler {
        void onRequest(http::Exchange& exchange) override { exchange.setHandler(this); }
        void onConnectionLost() override {}
    } silent;
    http::Server server(loop.net, Loop::any(), {}, silent);
    RecordingHandler handler;
    FollowTimings timings;
    timings.silenceTimeout = 150'000;
    auto follower = followStream(loop.net, server.endpoint(), "/", kKinds, {}, timings, handler);
    follower->follow();
    EXPECT_TRUE(loop.until([&] { return handler.last() == "unreachable"; }));
}

TEST(FileFollower, ReportsChangesAndKeepsTheLastListOnErrors) {
    Loop loop;
    const auto folder = temporaryFolder("list-test");
    std::filesystem::create_directories(folder);
    const std::string path = (folder / "boxes.kdl").string();
    std::filesystem::remove(path);
    RecordingHandler handler;
    FollowTimings timings;
    timings.pollInterval = 5'000;
    auto follower = followFile(loop.net, path, kKinds, {}, timings, handler);
    follower->follow();
    ASSERT_TRUE(loop.until([&] { return handler.last() == "unreachable"; }));
    ServerList list;
    list.version = 1;
    list.servers.push_back({{SfuId{1}, ServerState::On, 0, Cell{0}, MachineKindId{0}, 1}, Loop::any()});
    list.servers[0].endpoint.port = 5;
    saveServerList(path, list, kKinds);
    ASSERT_TRUE(loop.until([&] { return handler.last() == "list 1"; }));
    std::ofstream(path) << "box 1 at=";
    ASSERT_TRUE(loop.until([&] { return handler.last() == "anomaly"; }));
    list.version = 1;
    list.servers[0].sfu.size = 2;
    saveServerList(path, list, kKinds);
    ASSERT_TRUE(loop.until([&] { return handler.events.size() >= 4 && handler.last() == "anomaly"; }))
        << "a version that is not newer";
    list.version = 2;
    saveServerList(path, list, kKinds);
    ASSERT_TRUE(loop.until([&] { return handler.last() == "list 1"; }));
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace valekeel
