#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "discovery/list_follower.hpp"
#include "fakes/list_server.hpp"
#include "loop_fixture.hpp"
#include "settings/kdl.hpp"

namespace valekeel {
namespace {

using namespace discovery;

const std::vector<std::string> kKinds{"small", "large"};

TEST(List, ALineNamesOneOfTheSettingsZones) {
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

TEST(List, ReadsAndWritesItsOwnForm) {
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

TEST(List, RefusesWhatItCannotMean) {
    for (const char* bad :
         {"box", "box 1", "box 1 at=\"x\"", "box 1.5 at=\"127.0.0.1:1\"", "box -1 at=\"127.0.0.1:1\"",
          "box 1 at=\"127.0.0.1:1\"\nbox 1 at=\"127.0.0.1:2\"", "box 1 at=\"127.0.0.1:1\" kind=\"lage\"",
          "box 1 at=\"127.0.0.1:1\" launched=\"yesterday\"", "bix 1", "box 1 at=\"127.0.0.1:1\" x=1"})
        EXPECT_THROW(parseServerList("t", bad, kKinds, {}), settings::SettingsError) << bad;
    EXPECT_THROW(
        parseServerList("t", "box 1 at=\"127.0.0.1:1\"\nbox 2 at=\"127.0.0.1:1\"", kKinds, {1, 1'000}),
        settings::SettingsError);
}

TEST(Events, FollowTheStandard) {
    std::vector<SseEvent> heard;
    SseReader reader(1'000, [&](const SseEvent& e) { heard.push_back(e); });
    reader.feed("\xef\xbb\xbf:comment\r\nevent: list\r\nid: 7\r\ndata: a\r\ndata:b\r\n\r\n");
    reader.feed("data: second\n");
    EXPECT_EQ(heard.size(), 1u) << "told before its blank line";
    reader.feed("\nevent: nothing\n\nretry: 50\nid\ndata\r\r");
    ASSERT_EQ(heard.size(), 3u);
    EXPECT_EQ(heard[0].type, "list");
    EXPECT_EQ(heard[0].data, "a\nb");
    EXPECT_EQ(heard[0].id, "7");
    EXPECT_EQ(heard[1].type, "message");
    EXPECT_EQ(heard[1].id, "7") << "an id stays until it is changed";
    EXPECT_EQ(heard[2].id, "");
    EXPECT_EQ(heard[2].data, "");
    EXPECT_EQ(reader.retryMs(), 50);
    reader.feed("data: " + std::string(2'000, 'x') + "\n\ndata: ok\n\n");
    ASSERT_EQ(heard.size(), 4u);
    EXPECT_EQ(heard[3].data, "ok");
    EXPECT_EQ(reader.tooLong(), 1u);
    reader.feed("data: cut");
    reader.reset();
    reader.feed("data: whole\n\n");
    EXPECT_EQ(heard.back().data, "whole");
}

TEST(Events, BytesMayComeInAnyPieces) {
    const std::string text = "event: list\r\nid: 1\r\ndata: x\r\n\r\nid: 2\rdata: y\r\r";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        std::vector<std::string> heard;
        SseReader reader(100, [&](const SseEvent& e) { heard.push_back(e.type + e.id + e.data); });
        reader.feed(std::string_view(text).substr(0, cut));
        reader.feed(std::string_view(text).substr(cut));
        EXPECT_EQ(heard, (std::vector<std::string>{"list1x", "message2y"})) << cut;
    }
}

struct Hears : ServerListHandler {
    std::vector<std::string> heard;
    void onList(const std::vector<ServerListEntry>& b, bool stale) override {
        heard.push_back("list " + std::to_string(b.size()) + (stale ? " stale" : ""));
    }
    void onListChange(const std::vector<ServerListEntry>& b) override {
        heard.push_back("change " + std::to_string(b.size()));
    }
    void onListUnreachable(const std::string&) override { heard.push_back("unreachable"); }
    void onListAnomaly(const std::string&) override { heard.push_back("odd"); }
    bool has(const std::string& what) const {
        return std::find(heard.begin(), heard.end(), what) != heard.end();
    }
    std::string last() const { return heard.empty() ? "" : heard.back(); }
};

struct StreamRig : Loop {
    fakes::Ledger ledger;
    fakes::ListServer server{net, any(), ledger};
    Hears hears;
    std::unique_ptr<ListFollower> follower;
    StreamRig() {
        put(1);
        put(2);
        FollowTimings times;
        times.silenceTimeout = 3 * kSecond;
        follower = followStream(net, server.endpoint(), "/boxes?front=a", {"small"}, {}, times, hears);
        follower->follow();
        EXPECT_TRUE(until([&] { return hears.last() == "list 2"; }));
    }
    void put(int id, const std::string& standing = "on") {
        fakes::ListedBox b;
        b.id = id;
        b.at = "127.0.0.1:1";
        b.kind = "small";
        b.standing = standing;
        server.put({b});
    }
};

TEST(Stream, ChangesAreHeardAndTheLedgerSaysWhenTheyLeft) {
    StreamRig rig;
    rig.put(1, "fading");
    ASSERT_TRUE(rig.until([&] { return rig.hears.last() == "change 1"; }));
    const auto& l = rig.ledger.lines().back();
    EXPECT_EQ(l.what, "told");
    EXPECT_EQ(l.front, "a");
    EXPECT_EQ(l.status, 1);
}

TEST(Stream, WhatComesTwiceIsPassedOver) {
    StreamRig rig;
    rig.server.repeats = true;
    rig.put(3);
    ASSERT_TRUE(rig.until([&] { return rig.hears.last() == "odd"; }));
    EXPECT_EQ(std::count(rig.hears.heard.begin(), rig.hears.heard.end(), "change 1"), 1);
}

TEST(Stream, AGapMakesItAskForTheWhole) {
    StreamRig rig;
    rig.server.skips = true;
    rig.put(3);
    rig.put(4);
    rig.server.skips = false;
    ASSERT_TRUE(rig.until([&] { return rig.hears.last() == "list 4"; }));
    rig.put(5);
    EXPECT_TRUE(rig.until([&] { return rig.hears.last() == "change 1"; }));
}

TEST(Stream, CutShortAndUnreachableAreFailuresAndItResumes) {
    StreamRig rig;
    rig.server.cutShort();
    ASSERT_TRUE(rig.until([&] { return rig.hears.last() == "unreachable"; }));
    EXPECT_FALSE(rig.hears.has("change 1")) << "half an event was taken for one";
    rig.server.unreachable(true);
    rig.follower->follow();
    ASSERT_TRUE(rig.until(
        [&] { return std::count(rig.hears.heard.begin(), rig.hears.heard.end(), "unreachable") == 2; }));
    rig.put(6);
    rig.server.unreachable(false);
    rig.follower->follow();
    ASSERT_TRUE(rig.until([&] { return rig.hears.last() == "list 3"; }));
}

TEST(Stream, FollowersThatDieBetweenTwoBeatsAreNoTrouble) {
    StreamRig rig;
    std::vector<std::unique_ptr<Hears>> others;
    std::vector<std::unique_ptr<ListFollower>> followers;
    for (int i = 0; i < 8; ++i) {
        others.push_back(std::make_unique<Hears>());
        followers.push_back(followStream(rig.net, rig.server.endpoint(), "/boxes?front=b", {"small"}, {}, {},
                                         *others.back()));
        followers.back()->follow();
    }
    ASSERT_TRUE(rig.until([&] { return others.back()->last() == "list 2"; }));
    followers.clear();
    rig.run(1'300'000);
    rig.put(9);
    EXPECT_TRUE(rig.until([&] { return rig.hears.last() == "change 1"; }));
}

TEST(Stream, SilenceIsAFailure) {
    Loop loop;
    struct Mute : http::Handler, http::ExchangeHandler {
        void onRequest(http::Exchange& e) override { e.setHandler(this); }
        void onConnectionLost() override {}
    } mute;
    http::Server server(loop.net, Loop::any(), {}, mute);
    Hears hears;
    FollowTimings times;
    times.silenceTimeout = 150'000;
    auto follower = followStream(loop.net, server.endpoint(), "/", kKinds, {}, times, hears);
    follower->follow();
    EXPECT_TRUE(loop.until([&] { return hears.last() == "unreachable"; }));
}

TEST(File, IsWatchedAndMistakesKeepTheOldOne) {
    Loop loop;
    const auto folder = std::filesystem::path(testing::TempDir()) / "valekeel-list-test";
    std::filesystem::create_directories(folder);
    const std::string path = (folder / "boxes.kdl").string();
    std::filesystem::remove(path);
    Hears hears;
    FollowTimings times;
    times.pollInterval = 5'000;
    auto follower = followFile(loop.net, path, kKinds, {}, times, hears);
    follower->follow();
    ASSERT_TRUE(loop.until([&] { return hears.last() == "unreachable"; }));
    ServerList list;
    list.version = 1;
    list.servers.push_back({{SfuId{1}, ServerState::On, 0, Cell{0}, MachineKindId{0}, 1}, Loop::any()});
    list.servers[0].endpoint.port = 5;
    saveServerList(path, list, kKinds);
    ASSERT_TRUE(loop.until([&] { return hears.last() == "list 1"; }));
    std::ofstream(path) << "box 1 at=";
    ASSERT_TRUE(loop.until([&] { return hears.last() == "odd"; }));
    list.version = 1;
    list.servers[0].sfu.size = 2;
    saveServerList(path, list, kKinds);
    ASSERT_TRUE(loop.until([&] { return hears.heard.size() >= 4 && hears.last() == "odd"; }))
        << "an old version";
    list.version = 2;
    saveServerList(path, list, kKinds);
    ASSERT_TRUE(loop.until([&] { return hears.last() == "list 1"; }));
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace valekeel
