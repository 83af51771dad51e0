// Integration tests: a complete front on loopback sockets with simulated media servers in the same event
// loop, with faults injected; and a short scenario with fronts as processes.
#include "front/front.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "audit/audit.hpp"
#include "experiment/experiment.hpp"
#include "fakes/caller.hpp"
#include "fakes/list_server.hpp"
#include "fakes/player.hpp"
#include "loop_fixture.hpp"
#include "simulation/drill.hpp"
#include "temporary_folder.hpp"

namespace valekeel {
namespace {

namespace fs = std::filesystem;

const char* const kSite = R"(
ladder stall-loss=7 { rung kb=10 worth=0.3; rung kb=30 worth=0.7; rung kb=60 worth=1; }
room-type "open" client-timeout="1500ms" join-objective="700ms" benefit=1
room-type "paid" client-timeout="1500ms" join-objective="700ms" benefit=3 set-up="paid" seats=3
fleet cells=3 racks=1 links-kb=3000 link-kb-per-size=1000 { kind "k" places=50; }
cold warm-up="2s" first-share=0.5 fall-multiple=2.5 tip-after="1s"
join-budget free=5 share=0.1 window="10s"
tidings late="100ms" every="500ms"
allowed joins=3 come-back-at-most="1s"
viewers silent-after="3s" closed-after="150ms" segment-within="1500ms" ahead="2s" behind="2s"
http listen="127.0.0.1:0" head-within="500ms"
talk "t" first-cell=0 holders=3
talk "odd ü \"name\"" first-cell=0 holders=3
)";

// A front, its simulated media servers and server list, and the players of a test. Restarting the front with
// startFront() keeps the servers, the folder and the ledger.
struct FrontFixture : Loop {
    fakes::Ledger ledger;
    fakes::BoxConfig boxConfig;
    std::unique_ptr<fakes::BoxFleet> fleet;
    fakes::ListServer list{net, any(), ledger};
    std::unique_ptr<front::Front> front;
    std::vector<std::unique_ptr<fakes::Player>> players;
    fs::path folder = temporaryFolder(
        "front-" + std::string(testing::UnitTest::GetInstance()->current_test_info()->name()));
    int active = 0;
    std::uint64_t epoch = 1;
    std::string site = kSite;
    std::function<std::string(int)> zoneOf{};
    Micros launchedWall = 0;

    explicit FrontFixture(int boxes = 3, const std::function<void(fakes::BoxConfig&)>& configure = {}) {
        fs::remove_all(folder);
        fs::create_directories(folder);
        boxConfig.rungKb = {10, 30, 60};
        boxConfig.rateFactors = {{"open", 1}, {"paid", 1}};
        boxConfig.segment = 200'000;
        boxConfig.segments = 400;
        boxConfig.setUp = 20'000;
        boxConfig.warmUp = 2 * kSecond;
        boxConfig.firstShare = 0.5;
        boxConfig.fallMultiple = 2.5;
        if (configure) configure(boxConfig);
        fleet = std::make_unique<fakes::BoxFleet>(net, boxConfig, 1, 0, 3, ledger);
        for (int id = 0; id < boxes; ++id) {
            fleet->add(id, id, 1'000, 50, any());
            publishBox(id, "on");
        }
        startFront();
    }
    // Lists or updates a media server on the list server.
    void publishBox(int id, const std::string& standing) {
        fakes::ListedBox b;
        b.id = id;
        b.cell = fleet->box(id).cell();
        b.at = net::toString(fleet->box(id).endpoint());
        b.kind = "k";
        b.standing = standing;
        if (zoneOf) b.zone = zoneOf(id);
        b.launchedWall = launchedWall;
        list.put({b});
    }
    void startFront(const std::string& moreSettings = "", const front::ModuleOverride& moduleOverride = {},
                    const std::string& frontProperties = "") {
        const std::string text = "front \"a\"" + frontProperties + "\nlist stream=\"" +
                                 net::toString(list.endpoint()) + "\" path=\"/boxes?front=a\" keep=\"" +
                                 (folder / "kept.kdl").string() + "\" silent-for=\"2s\"\nlog file=\"" +
                                 (folder / "front.log").string() + "\"\n" + site + moreSettings;
        front = std::make_unique<front::Front>(net, settings::Document::fromText("site.kdl", text), 5,
                                               epoch++, moduleOverride);
        run(100'000);
    }
    fakes::Player& play(const std::string& room, Micros watch, int returns = 0,
                        fakes::HintStyle hints = fakes::HintStyle::Headers, const std::string& title = "t") {
        fakes::PlayerPlan plan;
        plan.title = title;
        plan.room = {room, 1'500'000, 700'000, room == "paid", 1};
        plan.watch = watch;
        plan.hints = hints;
        plan.returns = returns;
        ++active;
        const int number = static_cast<int>(players.size());
        players.push_back(std::make_unique<fakes::Player>(
            net, number, plan,
            [this] {
                return fakes::Player::FrontAt{"a", front->http()};
            },
            1000 + static_cast<std::uint64_t>(number), std::vector<double>{}, ledger,
            [this](fakes::Player&) { --active; }));
        players.back()->start();
        return *players.back();
    }
    // The number of ledger lines of a kind, optionally with a status.
    int count(const std::string& what, int status = -1) const {
        return static_cast<int>(std::count_if(
            ledger.lines().begin(), ledger.lines().end(),
            [&](const auto& l) { return l.what == what && (status < 0 || l.status == status); }));
    }
    void expectNoViolations() {
        for (const audit::RuleViolation& b : violations())
            ADD_FAILURE() << "rule " << b.rule << ": " << b.what;
    }
    std::set<int> violatedRules() {
        std::set<int> out;
        for (const audit::RuleViolation& b : violations()) out.insert(b.rule);
        return out;
    }
    std::vector<audit::RuleViolation> violations() {
        audit::AuditSettings t;
        t.rooms["open"] = {1'500'000, false, 0, 0};
        t.rooms["paid"] = {1'500'000, true, 0, 3};
        t.warmUp = boxConfig.warmUp;
        t.firstShare = boxConfig.firstShare;
        t.fallMultiple = boxConfig.fallMultiple;
        t.tipAfter = boxConfig.tipAfter;
        t.budgeted = true;
        t.budgetFree = 5;
        t.budgetShare = 0.1;
        t.budgetWindow = 10 * kSecond;
        return audit::checkAllRules(ledger, t, {});
    }
};

TEST(Front, PlayerJoinsWatchesAndLeaves) {
    FrontFixture fixture;
    fixture.play("paid", kSecond);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 1);
    EXPECT_GE(fixture.count("segment"), 6);
    EXPECT_EQ(fixture.count("gap"), 0);
    EXPECT_EQ(fixture.count("charged"), 1);
    ASSERT_TRUE(fixture.until([&] { return fixture.count("release") == 1; }))
        << "the session is released once the viewer is idle";
    EXPECT_EQ(fixture.front->httpFrontend().viewers(), 0u);
    fixture.expectNoViolations();
}

TEST(Front, TraceIdReachesServerAndLog) {
    FrontFixture fixture;
    fixture.play("open", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    fixture.front->flush();
    std::string trace, atBox;
    for (const auto& l : fixture.ledger.lines()) {
        if (l.what == "ask") trace = l.trace;
        if (l.what == "arrive") atBox = l.trace;
    }
    EXPECT_EQ(trace, atBox);
    std::ifstream in(fixture.folder / "front.log");
    std::string log((std::istreambuf_iterator<char>(in)), {});
    for (const char* step : {"\"what\":\"asked\"", "\"what\":\"join-sent\"", "\"what\":\"join-ended\"",
                             "\"what\":\"answered\""}) {
        const auto at = log.find(step);
        ASSERT_NE(at, std::string::npos) << step;
        EXPECT_NE(log.substr(at, log.find('\n', at) - at).find(trace), std::string::npos) << step;
    }
}

TEST(Front, InvalidHintsDoNotFailTheSubscription) {
    using fakes::HintStyle;
    FrontFixture fixture;
    for (const auto style : {HintStyle::Query, HintStyle::None, HintStyle::Broken, HintStyle::Doubled,
                             HintStyle::Oversized, HintStyle::Contradicting, HintStyle::Json})
        fixture.play("open", 500'000, 0, style);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 7);
    EXPECT_EQ(fixture.count("segment-lost"), 0);
    const auto& dropped = fixture.front->httpFrontend().hintsDropped();
    for (const auto why :
         {hints::DropReason::Malformed, hints::DropReason::Duplicate, hints::DropReason::TooLong,
          hints::DropReason::Contradictory, hints::DropReason::OutOfRange})
        EXPECT_GT(dropped[static_cast<std::size_t>(why)], 0u) << hints::nameOf(why);
    fixture.expectNoViolations();
}

TEST(Front, TitlesWithSpecialCharactersWork) {
    FrontFixture fixture;
    fixture.play("open", 300'000, 0, fakes::HintStyle::Headers, "odd ü \"name\"");
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 1);
}

TEST(Front, ByteRangePlaylistIsRelayed) {
    FrontFixture fixture(3, [](fakes::BoxConfig& m) { m.byteRanges = true; });
    fixture.play("open", kSecond);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_GE(fixture.count("segment"), 6);
    EXPECT_EQ(fixture.count("segment-lost"), 0);
}

TEST(Front, RejectedJoinIsRetriedOnAnotherServer) {
    FrontFixture fixture;
    fixture.fleet->box(0).trouble.draining = true;  // rejects joins although the server list does not say so
    fixture.fleet->box(1).trouble.draining = true;
    for (int i = 0; i < 3; ++i) fixture.play("paid", 400'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 3);
    EXPECT_EQ(fixture.count("charged"), 3);
    fixture.expectNoViolations();
}

TEST(Front, PaidSetUpWithLostAnswerIsTerminatedAndNotRetried) {
    FrontFixture fixture;
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.losePart = 1;
    fixture.play("paid", 400'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 502) + fixture.count("answer", 504), 1);
    EXPECT_EQ(fixture.count("charged"), 1);
    fixture.play("open", 400'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_GE(fixture.count("charged"), 3) << "a free set-up is retried on another server";
    fixture.expectNoViolations();
}

TEST(Front, UnresponsiveServersStillLeadToAnswers) {
    FrontFixture fixture;
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.silent = true;
    fixture.play("paid", 400'000);
    fixture.play("open", 400'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer"), 2);
    EXPECT_EQ(fixture.count("no-answer"), 0);
    fixture.expectNoViolations();
}

TEST(Front, LateAnswersAfterAServerPauseAreHarmless) {
    FrontFixture fixture;
    for (int id = 0; id < 3; ++id)
        fixture.fleet->box(id).trouble.pausedUntil = fixture.net.now() + 10 * kSecond;
    for (int i = 0; i < 6; ++i) fixture.play(i % 2 ? "paid" : "open", 400'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).resume();
    fixture.run(300'000);
    EXPECT_EQ(fixture.count("answer"), 6);
    fixture.expectNoViolations();
}

// The release of an attempt that failed reaches the box after the next attempt there, and must not end that.
TEST(Front, LateReleaseOfAnEarlierAttemptDoesNotEndTheNext) {
    FrontFixture fixture(1);
    fakes::Box& box = fixture.fleet->box(0);
    box.trouble.losePart = 1;
    box.trouble.releasesLate = 400'000;
    fixture.play("open", 3 * kSecond);
    ASSERT_TRUE(fixture.until([&] { return fixture.count("answer-lost") == 1; }));
    box.trouble.losePart = 0;
    ASSERT_TRUE(fixture.until([&] { return fixture.count("plays") == 1; }));
    fixture.run(kSecond);
    EXPECT_EQ(fixture.count("release"), 0);
    EXPECT_EQ(box.playing(), 1u);
}

TEST(Front, ViewersOfACrashedServerMoveElsewhere) {
    FrontFixture fixture;
    for (int i = 0; i < 9; ++i) fixture.play("open", 3 * kSecond, 3);
    ASSERT_TRUE(fixture.until([&] { return fixture.count("answer", 200) == 9; }));
    fixture.fleet->box(0).die("died");
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 10 * kSecond));
    EXPECT_GT(fixture.count("segment-lost"), 0);
    EXPECT_GT(fixture.count("answer", 200), 9);
    fixture.expectNoViolations();
}

TEST(Front, DrainingServersGetNoNewSessions) {
    FrontFixture fixture;
    fixture.publishBox(0, "fading");
    fixture.publishBox(1, "fading");
    fixture.run(100'000);
    for (int i = 0; i < 6; ++i) fixture.play("open", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    for (const auto& l : fixture.ledger.lines())
        if (l.what == "arrive") {
            EXPECT_EQ(l.box, 2);
        }
    fixture.expectNoViolations();
}

TEST(Front, SeatLimitHoldsAndSeatsAreReleased) {
    FrontFixture fixture;
    for (int i = 0; i < 8; ++i) fixture.play("paid", 700'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 3);
    EXPECT_EQ(fixture.count("answer", 503), 5);
    ASSERT_TRUE(fixture.until([&] { return fixture.front->httpFrontend().viewers() == 0; }));
    fixture.play("paid", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 4);
    fixture.expectNoViolations();
}

TEST(Front, ServerThatReportsIdleButFailsIsAvoided) {
    FrontFixture fixture;
    fixture.fleet->box(1).trouble.liesIdle = true;
    fixture.fleet->box(1).trouble.failPart = 1;
    for (int i = 0; i < 60; ++i) {
        fixture.play("open", 300'000, 1);
        fixture.run(25'000);
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 20 * kSecond));
    std::map<int, int> joins;
    for (const auto& l : fixture.ledger.lines())
        if (l.what == "arrive") ++joins[l.box];
    EXPECT_LT(joins[1] * 4, joins[0] + joins[2]) << "join outcomes must outweigh the reported load";
    fixture.expectNoViolations();
}

TEST(Front, RungDropsOnASaturatedLinkWithoutLostSegments) {
    FrontFixture fixture(1);
    for (int i = 0; i < 12; ++i) fixture.play("open", 6 * kSecond);
    fixture.run(kSecond);
    fixture.fleet->box(0).trouble.linkFactor = 0.2;
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 15 * kSecond));
    std::map<std::string, std::set<int>> rungs;
    for (const auto& l : fixture.ledger.lines())
        if (l.what == "segment" && l.box >= 0) rungs[l.sub].insert(l.rung);
    const auto changed =
        std::count_if(rungs.begin(), rungs.end(), [](const auto& r) { return r.second.size() > 1; });
    EXPECT_GT(changed, 3);
    EXPECT_EQ(fixture.count("gap"), 0);
    EXPECT_EQ(fixture.count("segment-lost"), 0);
    fixture.expectNoViolations();
}

TEST(Front, PendingRequestsAreAnsweredOnStop) {
    FrontFixture fixture;
    for (int i = 0; i < 5; ++i) fixture.play("open", 5 * kSecond);
    fixture.run(5'000);
    bool stopped = false;
    fixture.front->stop(200'000, [&] { stopped = true; });
    ASSERT_TRUE(fixture.until([&] { return stopped; }));
    fixture.run(50'000);
    EXPECT_EQ(fixture.count("answer"), 5);
    EXPECT_EQ(fixture.count("no-answer"), 0);
    fixture.expectNoViolations();
}

TEST(Front, StartsOnTheSavedListWhenTheListIsUnreachable) {
    FrontFixture fixture;
    fixture.list.unreachable(true);
    fixture.front.reset();
    fixture.startFront();
    fixture.play("open", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 1);
}

// A killed front cannot release its sessions, whose seats would count beside those of its successor.
TEST(Front, RestartReleasesSessionsOfTheEarlierProcess) {
    FrontFixture fixture;
    for (int i = 0; i < 3; ++i) fixture.play("paid", 20 * kSecond);
    ASSERT_TRUE(fixture.until([&] { return fixture.count("answer", 200) == 3; }));
    const auto playingAtBoxes = [&] {
        std::size_t sum = 0;
        for (int id = 0; id < 3; ++id) sum += fixture.fleet->box(id).playing();
        return sum;
    };
    EXPECT_EQ(playingAtBoxes(), 3u);
    fixture.front.reset();
    fixture.run(100'000);
    EXPECT_EQ(playingAtBoxes(), 3u) << "no server has been notified yet";
    fixture.startFront();
    ASSERT_TRUE(fixture.until([&] { return playingAtBoxes() == 0; }, kSecond));
    for (int i = 0; i < 3; ++i) fixture.play("paid", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.count("answer", 200) >= 6; }));
    EXPECT_EQ(fixture.front->core().counts().played, 3u) << "sessions of this process stay";
    fixture.expectNoViolations();
}

// ---- other deployments ----

// The site settings with some text replaced.
std::string siteWith(std::initializer_list<std::pair<const char*, const char*>> changes) {
    std::string text = kSite;
    for (const auto& [from, to] : changes) text.replace(text.find(from), std::string(from).size(), to);
    return text;
}

TEST(Front, PrefersItsOwnZoneIfCrossingZonesHasACost) {
    FrontFixture fixture;
    fixture.site =
        siteWith({{"places=50; }", "places=50; zone \"east\"; zone \"west\"; }\nprices cross-zone=0.05"}});
    fixture.zoneOf = [](int id) { return id == 1 ? "west" : "east"; };
    for (int id = 0; id < 3; ++id) fixture.publishBox(id, "on");
    fixture.front.reset();
    fixture.startFront("", {}, " zone=\"west\"");
    for (int i = 0; i < 4; ++i) fixture.play("open", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    for (const auto& l : fixture.ledger.lines())
        if (l.what == "arrive") {
            EXPECT_EQ(l.box, 1);
        }
    fixture.fleet->box(1).die("died");  // service from another zone is better than none
    fixture.run(100'000);
    fixture.play("open", 300'000, 3);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 5);
    fixture.expectNoViolations();
}

TEST(Front, ViewersOfALiveTalkShareServers) {
    FrontFixture fixture(6);
    fixture.site = siteWith({{"stall-loss=7 {", "stall-loss=7 join=0.3 {"},
                             {"benefit=1\n", "benefit=1 live=#true\n"},
                             {"every=\"500ms\"", "every=\"0s\""}});
    fixture.front.reset();
    fixture.startFront();
    for (int i = 0; i < 12; ++i) fixture.play("open", 500'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    std::set<int> at;
    for (const auto& l : fixture.ledger.lines())
        if (l.what == "plays") at.insert(l.box);
    EXPECT_LE(at.size(), 2u);
    EXPECT_EQ(fixture.count("answer", 200), 12);
    fixture.expectNoViolations();
}

// Saved evidence spares a restarted front from probing a failing server again. It must not be applied to a
// server process that started since.
TEST(Front, ServerEvidenceSurvivesARestart) {
    FrontFixture fixture;
    const std::string evidenceSetting =
        "learnt file=\"" + (fixture.folder / "learnt.kdl").string() + "\" every=\"100ms\"\n";
    fixture.front.reset();
    fixture.startFront(evidenceSetting);
    fixture.fleet->box(1).trouble.failPart = 1;
    const auto joinsAtBox1 = [&] {
        int n = 0;
        for (const auto& l : fixture.ledger.lines()) n += l.what == "arrive" && l.box == 1;
        return n;
    };
    for (int i = 0; i < 30 && joinsAtBox1() < 3; ++i) {
        fixture.play("open", 200'000, 1);
        fixture.run(50'000);
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 10 * kSecond));
    fixture.run(300'000);
    const int before = joinsAtBox1();
    fixture.front.reset();
    fixture.startFront(evidenceSetting);
    for (int i = 0; i < 8; ++i) fixture.play("open", 200'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_LE(joinsAtBox1() - before, 1) << "at most one probe";
    // A server process that started since begins without evidence.
    fixture.launchedWall = fixture.net.wallNow();
    fixture.fleet->box(1).trouble.failPart = 0;
    for (int id = 0; id < 3; ++id) fixture.publishBox(id, "on");
    fixture.front.reset();
    fixture.startFront(evidenceSetting);
    fixture.front->flush();
    std::ifstream in(fixture.folder / "front.log");
    const std::string log((std::istreambuf_iterator<char>(in)), {});
    EXPECT_NE(log.find("\"what\":\"learnt-taken\",\"boxes\":0"), std::string::npos)
        << log.substr(log.size() / 2);
    fixture.expectNoViolations();
}

TEST(Front, TruncatedEvidenceFileIsLoggedAndIgnored) {
    FrontFixture fixture;
    fixture.front.reset();
    std::ofstream(fixture.folder / "learnt.kdl") << "learnt 1 saved-us=1\nbox 3 evid";
    fixture.startFront("learnt file=\"" + (fixture.folder / "learnt.kdl").string() + "\"\n");
    fixture.play("open", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 1);
    fixture.front->flush();
    std::ifstream in(fixture.folder / "front.log");
    const std::string log((std::istreambuf_iterator<char>(in)), {});
    EXPECT_NE(log.find("learnt-not-taken"), std::string::npos);
}

// A front is stopped while viewers send requests, and one with other settings takes over.
TEST(Front, ReconfigurationUnderLoadLosesNoRequest) {
    FrontFixture fixture;
    for (int i = 0; i < 6; ++i) fixture.play(i % 3 ? "open" : "paid", 2 * kSecond, 3);
    fixture.run(5'000);
    bool stopped = false;
    fixture.front->stop(200'000, [&] { stopped = true; });
    ASSERT_TRUE(fixture.until([&] { return stopped; }));
    EXPECT_EQ(fixture.front->core().unansweredCount(), 0u);
    fixture.front.reset();
    fixture.site = siteWith({{"stall-loss=7 {", "stall-loss=7 join=0.3 {"},
                             {"benefit=1\n", "benefit=1 live=#true\n"},
                             {"every=\"500ms\"", "every=\"0s\""},
                             {"places=50; }", "places=50; zone \"east\"; }\nprices cross-zone=0.05"}});
    fixture.startFront("", {}, " zone=\"east\"");
    for (int i = 0; i < 6; ++i) fixture.play("open", 300'000, 2);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 12 * kSecond));
    EXPECT_EQ(fixture.count("no-answer"), 0);
    EXPECT_EQ(fixture.front->core().unansweredCount(), 0u);
    EXPECT_GE(fixture.front->core().counts().played, 6u);
    fixture.expectNoViolations();
}

TEST(Front, StartsDespiteAnInvalidSavedList) {
    FrontFixture fixture;
    fixture.front.reset();
    std::ofstream(fixture.folder / "kept.kdl") << "box one at=";
    fixture.startFront();
    fixture.play("open", 300'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 1);
}

TEST(Front, SameSidOnASecondConnectionIsTheSameSubscription) {
    FrontFixture fixture;
    struct FetchRecorder : http::FetchHandler {
        http::ResponseHead head;
        std::string body;
        bool done = false;
        void onHead(const http::ResponseHead& h) override { head = h; }
        void onBody(std::string_view b) override { body += b; }
        void onFetched(bool) override { done = true; }
        void onFailed(http::FetchError) override { done = true; }
    } first, second, third;
    http::Fields fields;
    fields.add("CMCD-Session", "sid=\"same\"");
    const std::string bytes =
        http::requestBytes("GET", "/talk/t/main.m3u8?room=paid", fixture.front->http(), fields);
    http::Connection a(fixture.net, fixture.front->http(), {}, kSecond),
        b(fixture.net, fixture.front->http(), {}, kSecond);
    a.fetch(bytes, false, first);
    b.fetch(bytes, false, second);
    ASSERT_TRUE(fixture.until([&] { return first.done && second.done; }));
    EXPECT_EQ(first.head.status, 200);
    EXPECT_EQ(first.body, second.body);
    b.fetch(bytes, false, third);
    ASSERT_TRUE(fixture.until([&] { return third.done; }));
    EXPECT_EQ(third.body, first.body);
    EXPECT_EQ(fixture.count("charged"), 1);
    // CMSD: the media server's entry is kept and the front's own is appended.
    const auto entries = hints::parseCmsdDynamic(first.head.fields.joined("CMSD-Dynamic").value_or(""));
    ASSERT_EQ(entries.size(), 2u);
    EXPECT_EQ(entries[0].server.substr(0, 4), "box-");
    EXPECT_EQ(entries[1].server, "a");
    EXPECT_TRUE(entries[1].mb && entries[1].rd);
}

// One request for the talk with a sid, on a connection of its own.
struct SidRequest final : http::FetchHandler {
    http::Connection connection;
    http::ResponseHead head;
    int answers = 0;
    bool hasFailed = false;
    explicit SidRequest(FrontFixture& fixture, const std::string& room = "paid")
        : connection(fixture.net, fixture.front->http(), {}, kSecond) {
        http::Fields fields;
        fields.add("CMCD-Session", "sid=\"same\"");
        connection.fetch(
            http::requestBytes("GET", "/talk/t/main.m3u8?room=" + room, fixture.front->http(), fields), false,
            *this);
    }
    void onHead(const http::ResponseHead& received) override { head = received; }
    void onBody(std::string_view) override {}
    void onFetched(bool) override { ++answers; }
    void onFailed(http::FetchError) override { hasFailed = true; }
};

struct SidFixture : FrontFixture {
    std::vector<std::unique_ptr<SidRequest>> requests;
    SidFixture() : FrontFixture(1) {}
    void request(int count, const std::string& room = "paid") {
        for (int i = 0; i < count; ++i) {
            requests.push_back(std::make_unique<SidRequest>(*this, room));
            run(20'000);
        }
    }
    void lose(std::size_t index) {
        requests[index]->connection.abandon();
        requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(index));
        run(20'000);
    }
    void expectOneAnswerEach(int status) {
        until(
            [&] {
                return std::all_of(requests.begin(), requests.end(),
                                   [](const auto& r) { return r->answers > 0; });
            },
            2 * kSecond);
        for (const auto& request : requests) {
            EXPECT_EQ(request->answers, 1);
            EXPECT_FALSE(request->hasFailed);
            EXPECT_EQ(request->head.status, status);
        }
    }
    bool isEmpty() {
        return until(
            [&] { return front->httpFrontend().viewers() == 0 && front->core().subscriptionCount() == 0; });
    }
};

// A lost connection ended the subscription after `closed-after`, though others waited: they got no answer.
TEST(Front, ALostConnectionDoesNotEndAViewerThatWaitsOnOthers) {
    for (const int count : {2, 3})
        for (int lost = 0; lost < count; ++lost) {
            SidFixture fixture;
            fixture.fleet->box(0).trouble.pausedUntil = fixture.net.now() + kSecond;
            fixture.request(count);
            fixture.lose(static_cast<std::size_t>(lost));
            fixture.run(500'000);  // over three times closed-after
            fixture.fleet->box(0).resume();
            fixture.expectOneAnswerEach(200);
            EXPECT_EQ(fixture.count("charged"), 1);
        }
}

TEST(Front, AViewerMayReturnUntilClosedAfterItsLastConnection) {
    SidFixture fixture;
    fixture.fleet->box(0).trouble.pausedUntil = fixture.net.now() + kSecond;
    for (int i = 0; i < 6; ++i) {  // more often than a viewer may wait at once
        fixture.request(1);
        fixture.lose(0);
        fixture.run(60'000);
    }
    fixture.request(1);
    fixture.run(300'000);
    fixture.fleet->box(0).resume();
    fixture.expectOneAnswerEach(200);
    EXPECT_EQ(fixture.count("charged"), 1);
}

TEST(Front, AViewerWhoseLastConnectionIsLostEnds) {
    SidFixture fixture;
    fixture.fleet->box(0).trouble.pausedUntil = fixture.net.now() + kSecond;
    fixture.request(2, "open");
    fixture.lose(0);
    fixture.lose(0);
    EXPECT_EQ(fixture.front->httpFrontend().viewers(), 1u);
    fixture.run(300'000);
    EXPECT_EQ(fixture.front->httpFrontend().viewers(), 0u);
    EXPECT_TRUE(fixture.isEmpty());
}

// Each waiting request gets exactly one answer, whatever ends its subscription.
TEST(Front, EachEndAnswersAllRequestsThatWait) {
    {
        SidFixture fixture;  // the client timeout
        fixture.fleet->box(0).trouble.silent = true;
        fixture.request(3);
        fixture.expectOneAnswerEach(504);
        EXPECT_TRUE(fixture.isEmpty());
    }
    {
        SidFixture fixture;  // refused by its box
        fixture.fleet->box(0).trouble.failPart = 1;
        fixture.fleet->box(0).trouble.answersLate = 200'000;
        fixture.request(3);
        fixture.expectOneAnswerEach(502);
        EXPECT_TRUE(fixture.isEmpty());
    }
    {
        SidFixture fixture;  // its box is lost
        fixture.fleet->box(0).trouble.silent = true;
        fixture.request(3);
        fixture.fleet->box(0).die("died");
        fixture.expectOneAnswerEach(502);
        EXPECT_TRUE(fixture.isEmpty());
    }
    {
        SidFixture fixture;  // a planned stop, which waits for the client timeout
        fixture.fleet->box(0).trouble.silent = true;
        fixture.request(3);
        bool hasStopped = false;
        fixture.front->stop(100'000, [&] { hasStopped = true; });
        fixture.expectOneAnswerEach(504);
        EXPECT_TRUE(fixture.until([&] { return hasStopped; }));
    }
}

TEST(Front, AdmissionRejectsAFloodWithRetryAfter) {
    FrontFixture fixture;
    fixture.front.reset();
    fixture.startFront("admission waiting=4\n");
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.answersLate = 300'000;
    for (int i = 0; i < 30; ++i) fixture.play("open", 100'000);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_GE(fixture.count("answer", 503), 20);
    EXPECT_GE(fixture.count("answer", 200), 2);
    EXPECT_EQ(fixture.count("answer"), 30);
}

// ---- SIP ----

struct CallFixture : FrontFixture {
    std::vector<std::unique_ptr<fakes::Caller>> callers;
    explicit CallFixture(const std::string& sip = "", int boxes = 3) : FrontFixture(boxes) {
        front.reset();
        startFront(
            "sip listen=\"127.0.0.1:0\" min-session=\"1s\" session=\"4s\" hold-every=\"300ms\" "
            "hold-within=\"500ms\" " +
            sip + "\n");
    }
    fakes::Caller& call(const std::string& room, const fakes::CallPlan& basePlan = {},
                        const fakes::NetworkConditions& networkConditions = {}) {
        fakes::CallPlan plan = basePlan;
        plan.title = plan.title.empty() ? "t" : plan.title;
        plan.room = room;
        plan.timeout = 1'500'000;
        ++active;
        const int number = 1'000 + static_cast<int>(callers.size());
        callers.push_back(std::make_unique<fakes::Caller>(
            net, number, front->sipFrontend()->endpoint(), "a", plan, networkConditions,
            static_cast<std::uint64_t>(number), ledger, [this] { --active; }));
        callers.back()->start();
        return *callers.back();
    }
    // Waits until no call or subscription is left; false on timeout.
    bool waitUntilIdle(Micros timeout = 10 * kSecond) {
        return until(
            [&] { return front->sipFrontend()->calls() == 0 && front->core().subscriptionCount() == 0; },
            timeout);
    }
};

TEST(Sip, CallIsPlacedAnsweredAndReleased) {
    CallFixture fixture;
    auto& caller = fixture.call("paid");
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(caller.lastFinal(), 200);
    EXPECT_EQ(fixture.count("charged"), 1);
    ASSERT_TRUE(fixture.waitUntilIdle());
    ASSERT_TRUE(fixture.until([&] { return fixture.count("release") == 1; }));
    fixture.expectNoViolations();
}

TEST(Sip, SeatLimitIsSharedByHttpAndSip) {
    CallFixture fixture;
    fixture.play("paid", 800'000);
    for (int i = 0; i < 4; ++i) fixture.call("paid");
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("answer", 200), 3);
    EXPECT_EQ(fixture.count("answer", 486) + fixture.count("answer", 503), 2);
    fixture.expectNoViolations();
}

TEST(Sip, InvalidInvitesGetTheirStatus) {
    CallFixture fixture;
    fakes::CallPlan plan;
    plan.title = "none";
    EXPECT_EQ((fixture.call("open", plan), fixture.until([&] { return fixture.active == 0; }),
               fixture.callers.back()->lastFinal()),
              404);
    plan = {};
    plan.more = "Require: magic\r\n";
    EXPECT_EQ((fixture.call("open", plan), fixture.until([&] { return fixture.active == 0; }),
               fixture.callers.back()->lastFinal()),
              420);
    plan.more = "Session-Expires: 0\r\n";
    EXPECT_EQ((fixture.call("open", plan), fixture.until([&] { return fixture.active == 0; }),
               fixture.callers.back()->lastFinal()),
              422);
    EXPECT_EQ((fixture.call("nowhere"), fixture.until([&] { return fixture.active == 0; }),
               fixture.callers.back()->lastFinal()),
              404);
    EXPECT_EQ(fixture.front->core().counts().requested, 0u);
}

TEST(Sip, CancelEndsACallOnlyBeforeItsAnswer) {
    CallFixture fixture;
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.answersLate = 400'000;
    fakes::CallPlan plan;
    plan.cancelAfter = 100'000;
    auto& early = fixture.call("open", plan);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(early.lastFinal(), 487);
    ASSERT_TRUE(fixture.waitUntilIdle());
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.answersLate = 0;
    plan.cancelAfter = 500'000;
    auto& late = fixture.call("open", plan);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(late.lastFinal(), 200);
    EXPECT_EQ(late.finals(), 1);
    fixture.expectNoViolations();
}

// The cancellation must reach the media server during set-up; a release afterwards alone would leave a
// session without a viewer.
TEST(Sip, CancelDuringSetUpLeavesNoSessionOnTheServer) {
    CallFixture fixture;
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.setUpFactor = 15;
    fakes::CallPlan plan;
    plan.cancelAfter = 150'000;
    fixture.call("open", plan);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    ASSERT_TRUE(fixture.until([&] { return fixture.count("called-off") == 1; }));
    fixture.run(500'000);
    EXPECT_EQ(fixture.count("plays"), 0);
    for (int id = 0; id < 3; ++id) EXPECT_EQ(fixture.fleet->box(id).playing(), 0u);
    fixture.expectNoViolations();
}

TEST(Sip, CancelDuringPaidSetUpIsChargedOnce) {
    CallFixture fixture;
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.setUpFactor = 15;
    fakes::CallPlan plan;
    plan.cancelAfter = 150'000;
    fixture.call("paid", plan);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.count("charged"), 1);
    ASSERT_TRUE(fixture.waitUntilIdle());
    ASSERT_TRUE(fixture.until([&] { return fixture.count("release") == 1; })) << "the session is released";
    fixture.expectNoViolations();
}

TEST(Sip, MissingAckEndsTheCall) {
    CallFixture fixture("t1=\"20ms\" t2=\"100ms\"");
    fakes::CallPlan plan;
    plan.acks = false;
    plan.refreshes = false;
    auto& caller = fixture.call("paid", plan);
    ASSERT_TRUE(fixture.until([&] { return caller.byed(); }));
    ASSERT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(fixture.front->sipFrontend()->counts().unacknowledged, 1u);
    EXPECT_EQ(fixture.count("charged"), 1);
    fixture.expectNoViolations();
}

TEST(Sip, SessionTimerReleasesTheCallOfAVanishedCaller) {
    CallFixture fixture;
    fakes::CallPlan plan;
    plan.sessionExpires = 2 * kSecond;
    plan.refreshes = false;
    plan.says = false;
    plan.talk = 100'000;
    fixture.call("paid", plan);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.front->sipFrontend()->calls(), 1u);
    ASSERT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(fixture.front->sipFrontend()->counts().expired, 1u);
    fakes::CallPlan stays = plan;
    stays.refreshes = true;
    stays.says = true;
    stays.talk = 4 * kSecond;
    fixture.call("paid", stays);
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }));
    EXPECT_EQ(fixture.front->sipFrontend()->counts().expired, 1u) << "a call that is refreshed stays";
}

// After a restart the front no longer knows the INVITE; only the media server that began the set-up can
// recognise it.
TEST(Sip, PaidInviteRetransmittedAfterARestartIsSetUpOnce) {
    CallFixture fixture("", 1);
    fixture.fleet->box(0).trouble.setUpFactor = 20;
    fakes::CallPlan plan;
    plan.loses100 = true;
    auto& caller = fixture.call("paid", plan);
    ASSERT_TRUE(fixture.until([&] { return fixture.count("charged") == 1; }));
    const std::string at = net::toString(fixture.front->sipFrontend()->endpoint());
    fixture.front.reset();
    fixture.startFront("sip listen=\"" + at + "\"\n");
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 20 * kSecond));
    EXPECT_EQ(fixture.count("once"), 1);
    EXPECT_EQ(fixture.count("charged"), 1);
    EXPECT_EQ(caller.lastFinal(), 500);
}

TEST(Sip, ServerCrashEndsItsCalls) {
    CallFixture fixture("", 1);
    fakes::CallPlan plan;
    plan.talk = 20 * kSecond;
    auto& caller = fixture.call("open", plan);
    ASSERT_TRUE(fixture.until([&] { return caller.lastFinal() == 200; }));
    fixture.run(100'000);
    fixture.fleet->box(0).die("died");
    ASSERT_TRUE(fixture.until([&] { return caller.byed(); }));
    ASSERT_TRUE(fixture.waitUntilIdle());
}

TEST(Sip, LossyNetworkStillYieldsOneFinalAnswerPerCall) {
    CallFixture fixture;
    for (int i = 0; i < 60; ++i) {
        fakes::CallPlan plan;
        plan.talk = 300'000;
        plan.sessionExpires = 3 * kSecond;
        if (i % 5 == 0) plan.cancelAfter = 60'000;
        fixture.call("open", plan, {0.1, 0.1, 200'000});
        fixture.run(10'000);
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.active == 0; }, 30 * kSecond));
    EXPECT_EQ(fixture.count("second-answer"), 0);
    EXPECT_EQ(fixture.count("answer"), 60);
    ASSERT_TRUE(fixture.waitUntilIdle(15 * kSecond));
    EXPECT_GT(fixture.front->sipFrontend()->absorbed(), 0u);
    fixture.expectNoViolations();
}

// A SIP client that sends arbitrary text, for requests that fakes::Caller never sends.
struct RawCaller : net::DatagramHandler {
    std::unique_ptr<net::DatagramSocket> socket;
    net::Endpoint front;
    std::vector<std::string> messages;
    std::string toTag;
    RawCaller(net::Net& net, const net::Endpoint& front) : front(front) {
        socket = net.bind(Loop::any(), *this);
    }
    void onDatagram(const net::Endpoint&, std::string_view bytes) override {
        messages.emplace_back(bytes);
        const auto to = bytes.find("\r\nTo: "), tag = bytes.find(";tag=", to);
        if (bytes.compare(0, 11, "SIP/2.0 200") == 0 && tag != std::string_view::npos)
            toTag = bytes.substr(tag + 5, bytes.find("\r\n", tag) - tag - 5);
    }
    static std::string sdp(const std::string& direction = "recvonly", int port = 4000) {
        return "v=0\r\no=c 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=video " +
               std::to_string(port) + " RTP/AVP 96\r\na=" + direction + "\r\n";
    }
    std::string text(const std::string& method, int cseq, const std::string& branch, const std::string& body,
                     const std::string& via = "", const std::string& transport = "UDP") const {
        const std::string me = net::toString(socket->endpoint());
        return method + " sip:t@x;room=open SIP/2.0\r\nVia: SIP/2.0/" + transport + " " + me +
               ";branch=z9hG4bK" + branch + via + "\r\nMax-Forwards: 70\r\nFrom: <sip:r@" + me + ">;tag=r" +
               (toTag.empty() ? branch : "") + "\r\nTo: <sip:t@x>" + (toTag.empty() ? "" : ";tag=" + toTag) +
               "\r\nCall-ID: raw" + (toTag.empty() ? branch : "") + "\r\nCSeq: " + std::to_string(cseq) +
               " " + method + "\r\nContact: <sip:r@" + me + ">\r\nAllow: UPDATE\r\n" +
               (body.empty() ? "" : "Content-Type: application/sdp\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void sendBytes(const std::string& bytes) { socket->send(front, bytes); }
    // Returns the last message that starts with `start` and contains `within`, or nullptr.
    const std::string* lastMatching(const std::string& start, const std::string& within = "") const {
        for (auto it = messages.rbegin(); it != messages.rend(); ++it)
            if (it->compare(0, start.size(), start) == 0 && it->find(within) != std::string::npos)
                return &*it;
        return nullptr;
    }
    int countStartingWith(const std::string& start) const {
        return static_cast<int>(std::count_if(
            messages.begin(), messages.end(),
            [&](const std::string& message) { return message.compare(0, start.size(), start) == 0; }));
    }
    void answer(const std::string& request, int status) {
        std::string out = "SIP/2.0 " + std::to_string(status) + " X\r\n";
        for (const char* name : {"Via", "From", "To", "Call-ID", "CSeq"}) {
            const auto at = request.find("\r\n" + std::string(name) + ": ") + 2;
            out += request.substr(at, request.find("\r\n", at) - at) + "\r\n";
        }
        sendBytes(out + "Content-Length: 0\r\n\r\n");
    }
};

struct RawCallFixture : CallFixture {
    RawCaller raw{net, front->sipFrontend()->endpoint()};
    using CallFixture::CallFixture;
    // Establishes a call with INVITE and ACK; false on timeout.
    bool establishCall() {
        raw.sendBytes(raw.text("INVITE", 1, "", RawCaller::sdp()));
        if (!until([&] { return raw.lastMatching("SIP/2.0 200"); })) return false;
        raw.sendBytes(raw.text("ACK", 1, "k", ""));
        run(30'000);
        return true;
    }
};

TEST(Sip, RungChangeIsSignalledByUpdateAndGlareIsResolved) {
    RawCallFixture fixture;
    ASSERT_TRUE(fixture.establishCall());
    core::SubscriptionHandler& handler = *fixture.front->sipFrontend();
    const SubId sub{1};
    const std::string* first = fixture.raw.lastMatching("SIP/2.0 200");
    const int newRung = first->find("b=TIAS:80000\r\n") != std::string::npos ? 2 : 0;
    handler.onRungChanged(sub, newRung);
    ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("UPDATE "); }));
    const std::string update = *fixture.raw.lastMatching("UPDATE ");
    EXPECT_NE(update.find(newRung == 2 ? "b=TIAS:480000\r\n" : "b=TIAS:80000\r\n"), std::string::npos);
    // The caller's re-INVITE crosses the UPDATE: glare on both sides.
    fixture.raw.sendBytes(fixture.raw.text("INVITE", 2, "re", RawCaller::sdp()));
    ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("SIP/2.0 491"); }));
    fixture.raw.sendBytes(fixture.raw.text("ACK", 2, "re", ""));
    fixture.raw.answer(update, 491);
    ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("UPDATE ", "CSeq: 2 UPDATE"); }))
        << "the UPDATE is retried";
    fixture.raw.answer(*fixture.raw.lastMatching("UPDATE ", "CSeq: 2 UPDATE"), 200);
    fixture.run(30'000);
    fixture.raw.sendBytes(fixture.raw.text("INVITE", 3, "re3", RawCaller::sdp()));
    ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("SIP/2.0 200", "CSeq: 3 INVITE"); }))
        << "later offers are accepted";
    fixture.raw.sendBytes(fixture.raw.text("ACK", 3, "re3a", ""));
    // A lower CSeq within the dialog is out of order (RFC 3261, section 12.2.2).
    fixture.raw.sendBytes(fixture.raw.text("UPDATE", 2, "old", ""));
    ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("SIP/2.0 500", "CSeq: 2 UPDATE"); }));
    fixture.raw.sendBytes(fixture.raw.text("BYE", 4, "bye", ""));
    ASSERT_TRUE(fixture.waitUntilIdle());
    fixture.expectNoViolations();
}

TEST(Sip, UpdateAnsweredWith481EndsTheCall) {
    RawCallFixture fixture;
    ASSERT_TRUE(fixture.establishCall());
    static_cast<core::SubscriptionHandler&>(*fixture.front->sipFrontend()).onRungChanged(SubId{1}, 1);
    ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("UPDATE "); }));
    fixture.raw.answer(*fixture.raw.lastMatching("UPDATE "), 481);
    ASSERT_TRUE(fixture.waitUntilIdle());
    EXPECT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("BYE "); }));
}

TEST(Sip, InviteWithoutOfferRequiresAnAnswerInTheAck) {
    for (const std::string& body : {RawCaller::sdp(), std::string(), RawCaller::sdp("recvonly", 0)}) {
        RawCallFixture fixture;
        fixture.raw.sendBytes(fixture.raw.text("INVITE", 1, "", ""));
        ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("SIP/2.0 200", "m=video "); }));
        fixture.raw.sendBytes(fixture.raw.text("ACK", 1, "k", body));
        if (body == RawCaller::sdp()) {
            fixture.run(300'000);
            EXPECT_EQ(fixture.front->sipFrontend()->calls(), 1u);
            EXPECT_FALSE(fixture.raw.lastMatching("BYE "));
        } else {
            ASSERT_TRUE(fixture.until([&] { return fixture.raw.lastMatching("BYE "); }));
            ASSERT_TRUE(fixture.waitUntilIdle());
        }
    }
}

// A TCP client that collects what it receives.
struct RawStream : net::StreamHandler {
    std::unique_ptr<net::Stream> stream;
    std::string in;
    bool isConnected = false, isClosed = false;
    RawStream(net::Net& net, const net::Endpoint& at) { stream = net.connect(at, *this); }
    void onConnected() override { isConnected = true; }
    void onConnectFailed(net::ConnectError) override { isClosed = true; }
    void onWritable() override {}
    void onReadable() override {
        std::array<char, 4'096> buffer;
        for (;;) {
            const net::IoResult result = stream->read(buffer);
            in.append(buffer.data(), result.bytes);
            if (result.bytes > 0) continue;
            if (result.status != net::IoResult::Status::WouldBlock) isClosed = true;
            return;
        }
    }
    int countOf(const std::string& what) const {
        int n = 0;
        for (auto at = in.find(what); at != std::string::npos; at = in.find(what, at + 1)) ++n;
        return n;
    }
};

TEST(Sip, StreamFramingHandlesBatchedAndFragmentedMessages) {
    RawCallFixture fixture;
    RawStream s(fixture.net, fixture.front->sipFrontend()->endpoint());
    ASSERT_TRUE(fixture.until([&] { return s.isConnected; }));
    std::string all;
    for (int i = 0; i < 3; ++i)
        all +=
            "\r\n\r\n" + fixture.raw.text("INVITE", 1, "s" + std::to_string(i), RawCaller::sdp(), "", "TCP");
    s.stream->write(all);
    ASSERT_TRUE(fixture.until([&] { return s.countOf("SIP/2.0 200") >= 3; }));
    const std::string options = fixture.raw.text("OPTIONS", 1, "o", "", "", "TCP");
    for (const char c : options) {
        s.stream->write(std::string(1, c));
        fixture.net.runOnce(0);
    }
    ASSERT_TRUE(fixture.until([&] { return s.countOf("CSeq: 1 OPTIONS") == 1; }));
    EXPECT_FALSE(s.isClosed);
    EXPECT_EQ(fixture.front->sipFrontend()->calls(), 3u);
}

TEST(Sip, StreamWithFramingErrorIsClosedAlone) {
    RawCallFixture fixture;
    RawStream bad(fixture.net, fixture.front->sipFrontend()->endpoint()),
        good(fixture.net, fixture.front->sipFrontend()->endpoint());
    ASSERT_TRUE(fixture.until([&] { return bad.isConnected && good.isConnected; }));
    std::string malformed = fixture.raw.text("OPTIONS", 1, "b", "", "", "TCP");
    malformed.replace(malformed.find("Content-Length: 0"), 17, "Content-Length: -7");
    bad.stream->write(malformed + "and more that belongs to nothing\r\n\r\n");
    ASSERT_TRUE(fixture.until([&] { return bad.isClosed; }));
    good.stream->write(fixture.raw.text("OPTIONS", 1, "g", "", "", "TCP"));
    ASSERT_TRUE(fixture.until([&] { return good.countOf("SIP/2.0 200") == 1; }));
}

TEST(Sip, InviteFloodIsShedAndSignalledByOverloadControl) {
    RawCallFixture fixture;
    fixture.front.reset();
    fixture.startFront(
        "admission waiting=8\nsip listen=\"127.0.0.1:0\" target-fill=0.1 look-every=\"20ms\"\n");
    fixture.raw.front = fixture.front->sipFrontend()->endpoint();
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.answersLate = 200'000;
    for (int i = 0; i < 300; ++i) {
        fixture.raw.sendBytes(
            fixture.raw.text("INVITE", 1, "f" + std::to_string(i), RawCaller::sdp(), ";oc;oc-algo=\"loss\""));
        fixture.net.runOnce(2'000);
    }
    fixture.run(kSecond);
    EXPECT_GT(fixture.front->sipFrontend()->counts().shed, 50u);
    EXPECT_LT(fixture.front->core().counts().requested, 200u);
    const std::string* refusal = fixture.raw.lastMatching("SIP/2.0 503", "Retry-After: ");
    ASSERT_TRUE(refusal);
    bool sawOverloadControl = false;
    for (const std::string& message : fixture.raw.messages)
        sawOverloadControl |= message.find(";oc=") != std::string::npos &&
                              message.find("oc-validity=1000") != std::string::npos;
    EXPECT_TRUE(sawOverloadControl);
    // Each call gets exactly message final response.
    std::map<std::string, std::set<std::string>> finals;
    for (const std::string& message : fixture.raw.messages) {
        if (message.compare(0, 9, "SIP/2.0 1") == 0 || message.compare(0, 8, "SIP/2.0 ") != 0) continue;
        const auto at = message.find("Call-ID: ");
        finals[message.substr(at, message.find("\r\n", at) - at)].insert(message.substr(0, 11));
    }
    EXPECT_EQ(finals.size(), 300u);
    for (const auto& [id, all] : finals) EXPECT_EQ(all.size(), 1u) << id;
}

// ---- faulty decision modules: the audit must detect each violation ----

// Joins the listed servers in turn, immediately and up to `maxAttempts` times, without regard to the rules.
struct FaultyModule : core::DecisionModule {
    Host& host;
    std::vector<SfuId> knownServers;
    std::map<SubId, int> joins;
    int maxAttempts;  // joins per subscription
    int rung;
    std::size_t next = 0;
    FaultyModule(Host& h, int maxAttempts, int rung) : host(h), maxAttempts(maxAttempts), rung(rung) {
        host.followList();
    }
    void onServerList(Micros, std::span<const SfuEntry> all, bool) override {
        for (const SfuEntry& s : all)
            if (std::find(knownServers.begin(), knownServers.end(), s.id) == knownServers.end())
                knownServers.push_back(s.id);
    }
    void onServerListChange(Micros now, std::span<const SfuEntry> some) override {
        onServerList(now, some, false);
    }
    void onServerListFailure(Micros) override {}
    void onSubscribe(Micros, SubId id, const SubscriptionRequest&) override { join(id); }
    void join(SubId id) {
        ++joins[id];
        host.setRung(id, rung);
        host.join(id, knownServers[next++ % knownServers.size()], kSecond);
    }
    void onPlaying(Micros, SubId, int, SfuId, Micros) override {}
    void onJoinEnded(Micros, SubId id, int, SfuId, JoinResult, bool over, Micros,
                     const LoadReport&) override {
        if (over) return;
        if (joins[id] < maxAttempts)
            join(id);
        else
            host.throttle(id, 0);
    }
    void onViewerLeft(Micros, SubId) override {}
    void onShareDelivered(Micros, SubId, SfuId, double) override {}
    void onRungInForce(Micros, SubId, int) override {}
    void onLinkUse(Micros, SubId, SfuId, double) override {}
    void onUplinkUse(Micros, SubId, SfuId, double) override {}
    void onWake(Micros, const std::string&) override {}
};

struct FaultyFrontFixture : FrontFixture {
    explicit FaultyFrontFixture(int maxAttempts, int rung = 1) {
        front.reset();
        startFront("", [=](Host& h, Micros, std::uint64_t, const std::vector<RoomType>&, const Fleet&,
                           const Ladder&, const SubscriptionLimits&) {
            return std::make_unique<FaultyModule>(h, maxAttempts, rung);
        });
    }
    std::set<int> play(const std::string& room, int viewers, Micros interval = 0) {
        for (int i = 0; i < viewers; ++i) {
            FrontFixture::play(room, 800'000);
            if (interval) run(interval);
        }
        EXPECT_TRUE(until([&] { return active == 0; }));
        return violatedRules();
    }
};

TEST(FaultyDecisionModule, RepeatingAPaidSetUpIsDetected) {
    FaultyFrontFixture fixture(2);
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.losePart = 1;
    EXPECT_EQ(fixture.play("paid", 1), std::set<int>{2});
}
TEST(FaultyDecisionModule, ThrottlingAPaidSetUpThatRanIsDetected) {
    FaultyFrontFixture fixture(1);
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.losePart = 1;
    EXPECT_EQ(fixture.play("paid", 1), std::set<int>{2});
}
TEST(FaultyDecisionModule, JoiningADrainingServerIsDetected) {
    FaultyFrontFixture fixture(1);
    fixture.publishBox(1, "fading");
    fixture.run(700'000);
    EXPECT_EQ(fixture.play("open", 3), std::set<int>{3});
}
TEST(FaultyDecisionModule, OverloadingAColdServerIsDetected) {
    FaultyFrontFixture fixture(1);
    fixture.fleet->box(1).die("died");
    fixture.fleet->box(1).start(true);
    EXPECT_EQ(fixture.play("open", 110).count(4), 1u);
}
TEST(FaultyDecisionModule, ExceedingSeatsIsDetected) {
    FaultyFrontFixture fixture(1);
    EXPECT_EQ(fixture.play("paid", 5), std::set<int>{5});
}
TEST(FaultyDecisionModule, TooManyJoinsAreDetected) {
    FaultyFrontFixture fixture(4);
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.failPart = 1;
    EXPECT_EQ(fixture.play("open", 4), std::set<int>{6});
}
TEST(FaultyDecisionModule, UnansweredRequestTriggersTheGuard) {
    FaultyFrontFixture fixture(1);
    for (int id = 0; id < 3; ++id) fixture.fleet->box(id).trouble.silent = true;
    fixture.front->core().onServerListFailure();
    EXPECT_EQ(fixture.play("open", 1), std::set<int>{});
}

// ---- experiments and scenarios ----

simulation::DrillResult runScenario(const std::string& name, fakes::Ledger& ledger) {
    const auto document = settings::Document::fromFile(std::string(VALEKEEL_DAYS) + "/" + name);
    const simulation::Scenario scenario = simulation::readScenario(document);
    const fs::path folder = temporaryFolder("day-" + name);
    fs::remove_all(folder);
    fs::create_directories(folder);
    simulation::DrillOptions options;
    options.program = VALEKEEL_PROGRAM;
    options.folder = folder.string();
    return simulation::drill(scenario, options, ledger);
}

TEST(Experiment, RunsOnlyMissingCasesAndReportsAll) {
    const fs::path folder = temporaryFolder("experiment-test");
    fs::remove_all(folder);
    fs::create_directories(folder);
    fs::copy_file(fs::path(VALEKEEL_DAYS) / "crowd.kdl", folder / "crowd.kdl");
    const auto planOf = [](const std::string& seeds) {
        return experiment::readPlan(settings::Document::fromText(
            "p.kdl",
            "experiment \"t\" at-once=2\nday \"crowd.kdl\"\n"
            "factor \"crowd\" { set \"audience@rate\"; set \"day@length\"; set \"audience@until\"; "
            "level 1 \"8s\" \"6s\"; level 2 \"8s\" \"6s\"; }\nseeds " +
                seeds + "\nshow \"service\"\nchart \"asked\" over=\"crowd\"\n"));
    };
    experiment::ExperimentOptions options;
    options.program = VALEKEEL_PROGRAM;
    options.folder = folder.string();
    options.store = (folder / "t.sqlite").string();
    options.out = (folder / "report").string();
    EXPECT_EQ(experiment::carryOut(planOf("1"), options), 0);
    const auto first = experiment::Store(options.store).of("t");
    ASSERT_EQ(first.size(), 2u);
    EXPECT_EQ(experiment::carryOut(planOf("1 2"), options), 0);
    const auto all = experiment::Store(options.store).of("t");
    ASSERT_EQ(all.size(), 4u);
    // Stored runs were not repeated: their run times are unchanged.
    for (const auto& run : first)
        EXPECT_EQ(std::count_if(all.begin(), all.end(),
                                [&](const auto& o) { return o.key == run.key && o.seconds == run.seconds; }),
                  1);
    const auto measures = experiment::measuresOf(all);
    EXPECT_GT(measures.at("crowd 2").at(1).at("asked"), measures.at("crowd 1").at(1).at("asked"));
    EXPECT_NE(
        experiment::comparisonTable(measures, "crowd 1", measures, "crowd 2").find("paired over 2 seeds"),
        std::string::npos);
    EXPECT_THROW(experiment::comparisonTable(measures, "crowd 1", measures, "crowd 3"),
                 std::invalid_argument);
    experiment::report(planOf("1 2"), options);
    EXPECT_TRUE(fs::exists(folder / "report" / "report.md"));
    EXPECT_TRUE(fs::exists(folder / "report" / "t-1.svg"));
    std::ifstream csv(folder / "report" / "runs.csv");
    EXPECT_EQ(std::count(std::istreambuf_iterator<char>(csv), {}, '\n'), 5);
    // An invalid level is rejected before anything runs.
    auto wrong = planOf("3");
    wrong.factors[0].levels[1].values[0] = "many";
    EXPECT_THROW(experiment::carryOut(wrong, options), settings::SettingsError);
    EXPECT_EQ(experiment::Store(options.store).of("t").size(), 4u);
}

TEST(Scenario, ShortFaultScenarioKeepsAllRules) {
    fakes::Ledger ledger;
    const auto result = runScenario("short.kdl", ledger);
    for (const audit::RuleViolation& b : result.breaches)
        ADD_FAILURE() << "rule " << b.rule << ": " << b.what;
    EXPECT_GT(result.played, 40u);
    EXPECT_EQ(result.twice, 0u);
    EXPECT_EQ(result.gaps, 0u);
    EXPECT_GE(result.troublesAtOnce, 3u);
    EXPECT_GE(result.paidSetUps, result.paidSubs);
}

}  // namespace
}  // namespace valekeel
