// A whole front on real sockets, beside stand-ins in the same loop, with faults injected; and the day that CI
// plays, with fronts as processes.
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

struct Rig : Loop {
    fakes::Ledger ledger;
    fakes::BoxConfig make;
    std::unique_ptr<fakes::BoxFleet> fleet;
    fakes::ListServer list{net, any(), ledger};
    std::unique_ptr<front::Front> front;
    std::vector<std::unique_ptr<fakes::Player>> players;
    fs::path folder =
        fs::path(testing::TempDir()) /
        ("valekeel-front-" + std::string(testing::UnitTest::GetInstance()->current_test_info()->name()));
    int active = 0;
    std::uint64_t epoch = 1;
    std::string site = kSite;
    std::function<std::string(int)> zoneOf{};
    Micros launchedWall = 0;

    explicit Rig(int boxes = 3, const std::function<void(fakes::BoxConfig&)>& shape = {}) {
        fs::remove_all(folder);
        fs::create_directories(folder);
        make.rungKb = {10, 30, 60};
        make.rateFactors = {{"open", 1}, {"paid", 1}};
        make.segment = 200'000;
        make.segments = 400;
        make.setUp = 20'000;
        make.warmUp = 2 * kSecond;
        make.firstShare = 0.5;
        make.fallMultiple = 2.5;
        if (shape) shape(make);
        fleet = std::make_unique<fakes::BoxFleet>(net, make, 1, 0, 3, ledger);
        for (int id = 0; id < boxes; ++id) {
            fleet->add(id, id, 1'000, 50, any());
            tell(id, "on");
        }
        startFront();
    }
    void tell(int id, const std::string& standing) {
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
    void startFront(const std::string& more = "", const front::ModuleOverride& other = {},
                    const std::string& ofFront = "") {
        const std::string text = "front \"a\"" + ofFront + "\nlist stream=\"" +
                                 net::toString(list.endpoint()) + "\" path=\"/boxes?front=a\" keep=\"" +
                                 (folder / "kept.kdl").string() + "\" silent-for=\"2s\"\nlog file=\"" +
                                 (folder / "front.log").string() + "\"\n" + site + more;
        front = std::make_unique<front::Front>(net, settings::Document::fromText("site.kdl", text), 5,
                                               epoch++, other);
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
    int count(const std::string& what, int status = -1) const {
        return static_cast<int>(std::count_if(
            ledger.lines().begin(), ledger.lines().end(),
            [&](const auto& l) { return l.what == what && (status < 0 || l.status == status); }));
    }
    void expectRules() {
        for (const audit::RuleViolation& b : breaches()) ADD_FAILURE() << "rule " << b.rule << ": " << b.what;
    }
    std::set<int> broken() {
        std::set<int> out;
        for (const audit::RuleViolation& b : breaches()) out.insert(b.rule);
        return out;
    }
    std::vector<audit::RuleViolation> breaches() {
        audit::AuditSettings t;
        t.rooms["open"] = {1'500'000, false, 0, 0};
        t.rooms["paid"] = {1'500'000, true, 0, 3};
        t.warmUp = make.warmUp;
        t.firstShare = make.firstShare;
        t.fallMultiple = make.fallMultiple;
        t.tipAfter = make.tipAfter;
        t.budgeted = true;
        t.budgetFree = 5;
        t.budgetShare = 0.1;
        t.budgetWindow = 10 * kSecond;
        return audit::checkAllRules(ledger, t, {});
    }
};

TEST(Front, OnePlayerStartsWatchesAndLeaves) {
    Rig rig;
    rig.play("paid", kSecond);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 1);
    EXPECT_GE(rig.count("segment"), 6);
    EXPECT_EQ(rig.count("gap"), 0);
    EXPECT_EQ(rig.count("charged"), 1);
    ASSERT_TRUE(rig.until([&] { return rig.count("release") == 1; }))
        << "its place is given back once it is silent";
    EXPECT_EQ(rig.front->httpFrontend().viewers(), 0u);
    rig.expectRules();
}

TEST(Front, OneTraceIdFromThePlayerToTheBoxAndTheLog) {
    Rig rig;
    rig.play("open", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    rig.front->flush();
    std::string trace, atBox;
    for (const auto& l : rig.ledger.lines()) {
        if (l.what == "ask") trace = l.trace;
        if (l.what == "arrive") atBox = l.trace;
    }
    EXPECT_EQ(trace, atBox);
    std::ifstream in(rig.folder / "front.log");
    std::string log((std::istreambuf_iterator<char>(in)), {});
    for (const char* step : {"\"what\":\"asked\"", "\"what\":\"join-sent\"", "\"what\":\"join-ended\"",
                             "\"what\":\"answered\""}) {
        const auto at = log.find(step);
        ASSERT_NE(at, std::string::npos) << step;
        EXPECT_NE(log.substr(at, log.find('\n', at) - at).find(trace), std::string::npos) << step;
    }
}

TEST(Front, BadHintsNeverCostAViewerTheSubscription) {
    using fakes::HintStyle;
    Rig rig;
    for (const auto style : {HintStyle::Query, HintStyle::None, HintStyle::Broken, HintStyle::Doubled,
                             HintStyle::Oversized, HintStyle::Contradicting, HintStyle::Json})
        rig.play("open", 500'000, 0, style);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 7);
    EXPECT_EQ(rig.count("segment-lost"), 0);
    const auto& dropped = rig.front->httpFrontend().hintsDropped();
    for (const auto why :
         {hints::DropReason::Malformed, hints::DropReason::Duplicate, hints::DropReason::TooLong,
          hints::DropReason::Contradictory, hints::DropReason::OutOfRange})
        EXPECT_GT(dropped[static_cast<std::size_t>(why)], 0u) << hints::nameOf(why);
    rig.expectRules();
}

TEST(Front, OddTitlesPassUnharmed) {
    Rig rig;
    rig.play("open", 300'000, 0, fakes::HintStyle::Headers, "odd ü \"name\"");
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 1);
}

TEST(Front, AByteRangePlaylistIsRelayedRangeByRange) {
    Rig rig(3, [](fakes::BoxConfig& m) { m.byteRanges = true; });
    rig.play("open", kSecond);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_GE(rig.count("segment"), 6);
    EXPECT_EQ(rig.count("segment-lost"), 0);
}

TEST(Front, AFullBoxIsProofAndAnotherIsTried) {
    Rig rig;
    rig.fleet->box(0).trouble.draining = true;  // turns away unseen; the list says nothing of it
    rig.fleet->box(1).trouble.draining = true;
    for (int i = 0; i < 3; ++i) rig.play("paid", 400'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 3);
    EXPECT_EQ(rig.count("charged"), 3);
    rig.expectRules();
}

TEST(Front, ALostAnswerOfAPaidSetUpIsTerminatedNeverSentAgain) {
    Rig rig;
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.losePart = 1;
    rig.play("paid", 400'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 502) + rig.count("answer", 504), 1);
    EXPECT_EQ(rig.count("charged"), 1);
    rig.play("open", 400'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_GE(rig.count("charged"), 3) << "a free one is tried elsewhere";
    rig.expectRules();
}

TEST(Front, ASilentBoxCostsItsViewersTimeAndNotAnAnswer) {
    Rig rig;
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.silent = true;
    rig.play("paid", 400'000);
    rig.play("open", 400'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer"), 2);
    EXPECT_EQ(rig.count("no-answer"), 0);
    rig.expectRules();
}

TEST(Front, ABoxThatPausesAndThenAnswersAllAtOnceIsHarmless) {
    Rig rig;
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.pausedUntil = rig.net.now() + 10 * kSecond;
    for (int i = 0; i < 6; ++i) rig.play(i % 2 ? "paid" : "open", 400'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).resume();
    rig.run(300'000);
    EXPECT_EQ(rig.count("answer"), 6);
    rig.expectRules();
}

TEST(Front, ADyingBoxsViewersComeBackElsewhere) {
    Rig rig;
    for (int i = 0; i < 9; ++i) rig.play("open", 3 * kSecond, 3);
    ASSERT_TRUE(rig.until([&] { return rig.count("answer", 200) == 9; }));
    rig.fleet->box(0).die("died");
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 10 * kSecond));
    EXPECT_GT(rig.count("segment-lost"), 0);
    EXPECT_GT(rig.count("answer", 200), 9);
    rig.expectRules();
}

TEST(Front, ADrainedBoxGetsNothingNew) {
    Rig rig;
    rig.tell(0, "fading");
    rig.tell(1, "fading");
    rig.run(100'000);
    for (int i = 0; i < 6; ++i) rig.play("open", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    for (const auto& l : rig.ledger.lines())
        if (l.what == "arrive") {
            EXPECT_EQ(l.box, 2);
        }
    rig.expectRules();
}

TEST(Front, SeatsAreNeverOverrunAndComeFree) {
    Rig rig;
    for (int i = 0; i < 8; ++i) rig.play("paid", 700'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 3);
    EXPECT_EQ(rig.count("answer", 503), 5);
    ASSERT_TRUE(rig.until([&] { return rig.front->httpFrontend().viewers() == 0; }));
    rig.play("paid", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 4);
    rig.expectRules();
}

TEST(Front, OneThatLiesIdleWhileItFailsIsFoundOut) {
    Rig rig;
    rig.fleet->box(1).trouble.liesIdle = true;
    rig.fleet->box(1).trouble.failPart = 1;
    for (int i = 0; i < 60; ++i) {
        rig.play("open", 300'000, 1);
        rig.run(25'000);
    }
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 20 * kSecond));
    std::map<int, int> joins;
    for (const auto& l : rig.ledger.lines())
        if (l.what == "arrive") ++joins[l.box];
    EXPECT_LT(joins[1] * 4, joins[0] + joins[2]) << "its outcomes must win over what it says";
    rig.expectRules();
}

TEST(Front, TheRungComesDownWhenALinkIsShortAndNothingThatWasListedBreaks) {
    Rig rig(1);
    for (int i = 0; i < 12; ++i) rig.play("open", 6 * kSecond);
    rig.run(kSecond);
    rig.fleet->box(0).trouble.linkFactor = 0.2;
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 15 * kSecond));
    std::map<std::string, std::set<int>> rungs;
    for (const auto& l : rig.ledger.lines())
        if (l.what == "segment" && l.box >= 0) rungs[l.sub].insert(l.rung);
    const auto changed =
        std::count_if(rungs.begin(), rungs.end(), [](const auto& r) { return r.second.size() > 1; });
    EXPECT_GT(changed, 3);
    EXPECT_EQ(rig.count("gap"), 0);
    EXPECT_EQ(rig.count("segment-lost"), 0);
    rig.expectRules();
}

TEST(Front, WhatItTookIsAnsweredWhenItIsAskedToStop) {
    Rig rig;
    for (int i = 0; i < 5; ++i) rig.play("open", 5 * kSecond);
    rig.run(5'000);
    bool stopped = false;
    rig.front->stop(200'000, [&] { stopped = true; });
    ASSERT_TRUE(rig.until([&] { return stopped; }));
    rig.run(50'000);
    EXPECT_EQ(rig.count("answer"), 5);
    EXPECT_EQ(rig.count("no-answer"), 0);
    rig.expectRules();
}

TEST(Front, StartsOnItsKeptListWhereTheListIsOutOfReach) {
    Rig rig;
    rig.list.unreachable(true);
    rig.front.reset();
    rig.startFront();
    rig.play("open", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 1);
}

// Killed, it could give nothing back; its seats would count beside those of its next life.
TEST(Front, WhatAnEarlierLifeHeldIsGivenBackWhenItStartsAgain) {
    Rig rig;
    for (int i = 0; i < 3; ++i) rig.play("paid", 20 * kSecond);
    ASSERT_TRUE(rig.until([&] { return rig.count("answer", 200) == 3; }));
    const auto held = [&] {
        std::size_t sum = 0;
        for (int id = 0; id < 3; ++id) sum += rig.fleet->box(id).playing();
        return sum;
    };
    EXPECT_EQ(held(), 3u);
    rig.front.reset();
    rig.run(100'000);
    EXPECT_EQ(held(), 3u) << "nobody told them";
    rig.startFront();
    ASSERT_TRUE(rig.until([&] { return held() == 0; }, kSecond));
    for (int i = 0; i < 3; ++i) rig.play("paid", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.count("answer", 200) >= 6; }));
    EXPECT_EQ(rig.front->core().counts().played, 3u) << "what this life holds stays";
    rig.expectRules();
}

// ---- another shape of deployment ----

// A site's text with some of it put otherwise.
std::string reshaped(std::initializer_list<std::pair<const char*, const char*>> changes) {
    std::string text = kSite;
    for (const auto& [from, to] : changes) text.replace(text.find(from), std::string(from).size(), to);
    return text;
}

TEST(Front, ServesFromItsOwnZoneWhereCrossingHasAPrice) {
    Rig rig;
    rig.site =
        reshaped({{"places=50; }", "places=50; zone \"east\"; zone \"west\"; }\nprices cross-zone=0.05"}});
    rig.zoneOf = [](int id) { return id == 1 ? "west" : "east"; };
    for (int id = 0; id < 3; ++id) rig.tell(id, "on");
    rig.front.reset();
    rig.startFront("", {}, " zone=\"west\"");
    for (int i = 0; i < 4; ++i) rig.play("open", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    for (const auto& l : rig.ledger.lines())
        if (l.what == "arrive") {
            EXPECT_EQ(l.box, 1);
        }
    rig.fleet->box(1).die("died");  // served from another zone is worth more than not at all
    rig.run(100'000);
    rig.play("open", 300'000, 3);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 5);
    rig.expectRules();
}

TEST(Front, ViewersOfASharedLiveTalkGather) {
    Rig rig(6);
    rig.site = reshaped({{"stall-loss=7 {", "stall-loss=7 join=0.3 {"},
                         {"benefit=1\n", "benefit=1 live=#true\n"},
                         {"every=\"500ms\"", "every=\"0s\""}});
    rig.front.reset();
    rig.startFront();
    for (int i = 0; i < 12; ++i) rig.play("open", 500'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    std::set<int> at;
    for (const auto& l : rig.ledger.lines())
        if (l.what == "plays") at.insert(l.box);
    EXPECT_LE(at.size(), 2u);
    EXPECT_EQ(rig.count("answer", 200), 12);
    rig.expectRules();
}

// The first seconds after a switch: what the earlier life knew of a box that fails is not paid for again, ...
TEST(Front, WhatWasLearntOfAFailingBoxOutlivesARestart) {
    Rig rig;
    const std::string learnt =
        "learnt file=\"" + (rig.folder / "learnt.kdl").string() + "\" every=\"100ms\"\n";
    rig.front.reset();
    rig.startFront(learnt);
    rig.fleet->box(1).trouble.failPart = 1;
    const auto atOne = [&] {
        int n = 0;
        for (const auto& l : rig.ledger.lines()) n += l.what == "arrive" && l.box == 1;
        return n;
    };
    for (int i = 0; i < 30 && atOne() < 3; ++i) {
        rig.play("open", 200'000, 1);
        rig.run(50'000);
    }
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 10 * kSecond));
    rig.run(300'000);
    const int before = atOne();
    rig.front.reset();
    rig.startFront(learnt);
    for (int i = 0; i < 8; ++i) rig.play("open", 200'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_LE(atOne() - before, 1) << "one trial at most";
    // ... but a process that started since has a clean record.
    rig.launchedWall = rig.net.wallNow();
    rig.fleet->box(1).trouble.failPart = 0;
    for (int id = 0; id < 3; ++id) rig.tell(id, "on");
    rig.front.reset();
    rig.startFront(learnt);
    rig.front->flush();
    std::ifstream in(rig.folder / "front.log");
    const std::string log((std::istreambuf_iterator<char>(in)), {});
    EXPECT_NE(log.find("\"what\":\"learnt-taken\",\"boxes\":0"), std::string::npos)
        << log.substr(log.size() / 2);
    rig.expectRules();
}

TEST(Front, AFileOfWhatWasLearntThatIsTornIsSaidAndPassedOver) {
    Rig rig;
    rig.front.reset();
    std::ofstream(rig.folder / "learnt.kdl") << "learnt 1 saved-us=1\nbox 3 evid";
    rig.startFront("learnt file=\"" + (rig.folder / "learnt.kdl").string() + "\"\n");
    rig.play("open", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 1);
    rig.front->flush();
    std::ifstream in(rig.folder / "front.log");
    const std::string log((std::istreambuf_iterator<char>(in)), {});
    EXPECT_NE(log.find("learnt-not-taken"), std::string::npos);
}

// The front of the old settings is stopped while viewers ask, and that of the new ones takes over.
TEST(Front, ASwitchToAnotherShapeUnderLoadLosesNoRequest) {
    Rig rig;
    for (int i = 0; i < 6; ++i) rig.play(i % 3 ? "open" : "paid", 2 * kSecond, 3);
    rig.run(5'000);
    bool stopped = false;
    rig.front->stop(200'000, [&] { stopped = true; });
    ASSERT_TRUE(rig.until([&] { return stopped; }));
    EXPECT_EQ(rig.front->core().unansweredCount(), 0u);
    rig.front.reset();
    rig.site = reshaped({{"stall-loss=7 {", "stall-loss=7 join=0.3 {"},
                         {"benefit=1\n", "benefit=1 live=#true\n"},
                         {"every=\"500ms\"", "every=\"0s\""},
                         {"places=50; }", "places=50; zone \"east\"; }\nprices cross-zone=0.05"}});
    rig.startFront("", {}, " zone=\"east\"");
    for (int i = 0; i < 6; ++i) rig.play("open", 300'000, 2);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 12 * kSecond));
    EXPECT_EQ(rig.count("no-answer"), 0);
    EXPECT_EQ(rig.front->core().unansweredCount(), 0u);
    EXPECT_GE(rig.front->core().counts().played, 6u);
    rig.expectRules();
}

TEST(Front, ABrokenKeptListIsNoReasonNotToStart) {
    Rig rig;
    rig.front.reset();
    std::ofstream(rig.folder / "kept.kdl") << "box one at=";
    rig.startFront();
    rig.play("open", 300'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 1);
}

TEST(Front, ASidOnASecondConnectionIsTheSameSubscription) {
    Rig rig;
    struct Ask : http::FetchHandler {
        http::ResponseHead head;
        std::string body;
        bool done = false;
        void onHead(const http::ResponseHead& h) override { head = h; }
        void onBody(std::string_view b) override { body += b; }
        void onFetched(bool) override { done = true; }
        void onFailed(http::FetchError) override { done = true; }
    } one, two, three;
    http::Fields fields;
    fields.add("CMCD-Session", "sid=\"same\"");
    const std::string bytes =
        http::requestBytes("GET", "/talk/t/main.m3u8?room=paid", rig.front->http(), fields);
    http::Connection a(rig.net, rig.front->http(), {}, kSecond), b(rig.net, rig.front->http(), {}, kSecond);
    a.fetch(bytes, false, one);
    b.fetch(bytes, false, two);
    ASSERT_TRUE(rig.until([&] { return one.done && two.done; }));
    EXPECT_EQ(one.head.status, 200);
    EXPECT_EQ(one.body, two.body);
    b.fetch(bytes, false, three);
    ASSERT_TRUE(rig.until([&] { return three.done; }));
    EXPECT_EQ(three.body, one.body);
    EXPECT_EQ(rig.count("charged"), 1);
    // Hints both ways: the box's entry kept, the front's own behind it.
    const auto entries = hints::parseCmsdDynamic(one.head.fields.joined("CMSD-Dynamic").value_or(""));
    ASSERT_EQ(entries.size(), 2u);
    EXPECT_EQ(entries[0].by.substr(0, 4), "box-");
    EXPECT_EQ(entries[1].by, "a");
    EXPECT_TRUE(entries[1].mb && entries[1].rd);
}

TEST(Front, TheGateTurnsAFloodAwayAndSaysWhenToComeBack) {
    Rig rig;
    rig.front.reset();
    rig.startFront("admission waiting=4\n");
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.answersLate = 300'000;
    for (int i = 0; i < 30; ++i) rig.play("open", 100'000);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_GE(rig.count("answer", 503), 20);
    EXPECT_GE(rig.count("answer", 200), 2);
    EXPECT_EQ(rig.count("answer"), 30);
}

// ---- callers ----

struct CallRig : Rig {
    std::vector<std::unique_ptr<fakes::Caller>> callers;
    explicit CallRig(const std::string& sip = "", int boxes = 3) : Rig(boxes) {
        front.reset();
        startFront(
            "sip listen=\"127.0.0.1:0\" min-session=\"1s\" session=\"4s\" hold-every=\"300ms\" "
            "hold-within=\"500ms\" " +
            sip + "\n");
    }
    fakes::Caller& call(const std::string& room, const fakes::CallPlan& how = {},
                        const fakes::NetworkConditions& weather = {}) {
        fakes::CallPlan plan = how;
        plan.title = plan.title.empty() ? "t" : plan.title;
        plan.room = room;
        plan.timeout = 1'500'000;
        ++active;
        const int number = 1'000 + static_cast<int>(callers.size());
        callers.push_back(std::make_unique<fakes::Caller>(net, number, front->sipFrontend()->endpoint(), "a",
                                                          plan, weather, static_cast<std::uint64_t>(number),
                                                          ledger, [this] { --active; }));
        callers.back()->start();
        return *callers.back();
    }
    bool quiet(Micros atMost = 10 * kSecond) {
        return until(
            [&] { return front->sipFrontend()->calls() == 0 && front->core().subscriptionCount() == 0; },
            atMost);
    }
};

TEST(Sip, ACallIsPlacedHeardAndGivenBack) {
    CallRig rig;
    auto& caller = rig.call("paid");
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(caller.lastFinal(), 200);
    EXPECT_EQ(rig.count("charged"), 1);
    ASSERT_TRUE(rig.quiet());
    ASSERT_TRUE(rig.until([&] { return rig.count("release") == 1; }));
    rig.expectRules();
}

TEST(Sip, SeatsAndRefusalsAreTheSameForBothFaces) {
    CallRig rig;
    rig.play("paid", 800'000);
    for (int i = 0; i < 4; ++i) rig.call("paid");
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("answer", 200), 3);
    EXPECT_EQ(rig.count("answer", 486) + rig.count("answer", 503), 2);
    rig.expectRules();
}

TEST(Sip, WhatIsWrongWithACallIsSaid) {
    CallRig rig;
    fakes::CallPlan plan;
    plan.title = "none";
    EXPECT_EQ(
        (rig.call("open", plan), rig.until([&] { return rig.active == 0; }), rig.callers.back()->lastFinal()),
        404);
    plan = {};
    plan.more = "Require: magic\r\n";
    EXPECT_EQ(
        (rig.call("open", plan), rig.until([&] { return rig.active == 0; }), rig.callers.back()->lastFinal()),
        420);
    plan.more = "Session-Expires: 0\r\n";
    EXPECT_EQ(
        (rig.call("open", plan), rig.until([&] { return rig.active == 0; }), rig.callers.back()->lastFinal()),
        422);
    EXPECT_EQ(
        (rig.call("nowhere"), rig.until([&] { return rig.active == 0; }), rig.callers.back()->lastFinal()),
        404);
    EXPECT_EQ(rig.front->core().counts().requested, 0u);
}

TEST(Sip, ACancelBeforeTheAnswerEndsItAndOneBehindItDoesNothing) {
    CallRig rig;
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.answersLate = 400'000;
    fakes::CallPlan plan;
    plan.cancelAfter = 100'000;
    auto& early = rig.call("open", plan);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(early.lastFinal(), 487);
    ASSERT_TRUE(rig.quiet());
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.answersLate = 0;
    plan.cancelAfter = 500'000;
    auto& late = rig.call("open", plan);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(late.lastFinal(), 200);
    EXPECT_EQ(late.finals(), 1);
    rig.expectRules();
}

// The box must learn of it while it sets up: told afterwards alone, it would hold the place of nobody.
TEST(Sip, ACallThatIsCancelledWhileItIsSetUpLeavesNoPlaceAtItsBox) {
    CallRig rig;
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.setUpFactor = 15;
    fakes::CallPlan plan;
    plan.cancelAfter = 150'000;
    rig.call("open", plan);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    ASSERT_TRUE(rig.until([&] { return rig.count("called-off") == 1; }));
    rig.run(500'000);
    EXPECT_EQ(rig.count("plays"), 0);
    for (int id = 0; id < 3; ++id) EXPECT_EQ(rig.fleet->box(id).playing(), 0u);
    rig.expectRules();
}

TEST(Sip, APaidCallThatIsCancelledWhileItIsSetUpIsAccountedForOnce) {
    CallRig rig;
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.setUpFactor = 15;
    fakes::CallPlan plan;
    plan.cancelAfter = 150'000;
    rig.call("paid", plan);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.count("charged"), 1);
    ASSERT_TRUE(rig.quiet());
    ASSERT_TRUE(rig.until([&] { return rig.count("release") == 1; })) << "its place is given back";
    rig.expectRules();
}

TEST(Sip, AnAckThatNeverComesEndsTheCall) {
    CallRig rig("t1=\"20ms\" t2=\"100ms\"");
    fakes::CallPlan plan;
    plan.acks = false;
    plan.refreshes = false;
    auto& caller = rig.call("paid", plan);
    ASSERT_TRUE(rig.until([&] { return caller.byed(); }));
    ASSERT_TRUE(rig.quiet());
    EXPECT_EQ(rig.front->sipFrontend()->counts().unacknowledged, 1u);
    EXPECT_EQ(rig.count("charged"), 1);
    rig.expectRules();
}

TEST(Sip, ACallerThatVanishedGivesItsPlaceBackByTheSessionTimer) {
    CallRig rig;
    fakes::CallPlan plan;
    plan.sessionExpires = 2 * kSecond;
    plan.refreshes = false;
    plan.says = false;
    plan.talk = 100'000;
    rig.call("paid", plan);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.front->sipFrontend()->calls(), 1u);
    ASSERT_TRUE(rig.quiet());
    EXPECT_EQ(rig.front->sipFrontend()->counts().expired, 1u);
    fakes::CallPlan stays = plan;
    stays.refreshes = true;
    stays.says = true;
    stays.talk = 4 * kSecond;
    rig.call("paid", stays);
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }));
    EXPECT_EQ(rig.front->sipFrontend()->counts().expired, 1u) << "one that refreshes stays";
}

// Nothing is known of the INVITE any more; the box that began it is the one who can tell.
TEST(Sip, APaidInviteSentAgainAfterARestartIsNotSetUpTwice) {
    CallRig rig("", 1);
    rig.fleet->box(0).trouble.setUpFactor = 20;
    fakes::CallPlan plan;
    plan.loses100 = true;
    auto& caller = rig.call("paid", plan);
    ASSERT_TRUE(rig.until([&] { return rig.count("charged") == 1; }));
    const std::string at = net::toString(rig.front->sipFrontend()->endpoint());
    rig.front.reset();
    rig.startFront("sip listen=\"" + at + "\"\n");
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 20 * kSecond));
    EXPECT_EQ(rig.count("once"), 1);
    EXPECT_EQ(rig.count("charged"), 1);
    EXPECT_EQ(caller.lastFinal(), 500);
}

TEST(Sip, ADyingBoxHangsItsCallsUp) {
    CallRig rig("", 1);
    fakes::CallPlan plan;
    plan.talk = 20 * kSecond;
    auto& caller = rig.call("open", plan);
    ASSERT_TRUE(rig.until([&] { return caller.lastFinal() == 200; }));
    rig.run(100'000);
    rig.fleet->box(0).die("died");
    ASSERT_TRUE(rig.until([&] { return caller.byed(); }));
    ASSERT_TRUE(rig.quiet());
}

TEST(Sip, InBadWeatherEachCallStillHasOneFinalAnswerAndNothingIsLeft) {
    CallRig rig;
    for (int i = 0; i < 60; ++i) {
        fakes::CallPlan plan;
        plan.talk = 300'000;
        plan.sessionExpires = 3 * kSecond;
        if (i % 5 == 0) plan.cancelAfter = 60'000;
        rig.call("open", plan, {0.1, 0.1, 200'000});
        rig.run(10'000);
    }
    ASSERT_TRUE(rig.until([&] { return rig.active == 0; }, 30 * kSecond));
    EXPECT_EQ(rig.count("second-answer"), 0);
    EXPECT_EQ(rig.count("answer"), 60);
    ASSERT_TRUE(rig.quiet(15 * kSecond));
    EXPECT_GT(rig.front->sipFrontend()->absorbed(), 0u);
    rig.expectRules();
}

// A caller of bare text, for what a well-behaved one never does.
struct RawCaller : net::DatagramHandler {
    std::unique_ptr<net::DatagramSocket> socket;
    net::Endpoint front;
    std::vector<std::string> got;
    std::string toTag;
    RawCaller(net::Net& net, const net::Endpoint& front) : front(front) {
        socket = net.bind(Loop::any(), *this);
    }
    void onDatagram(const net::Endpoint&, std::string_view bytes) override {
        got.emplace_back(bytes);
        const auto to = bytes.find("\r\nTo: "), tag = bytes.find(";tag=", to);
        if (bytes.compare(0, 11, "SIP/2.0 200") == 0 && tag != std::string_view::npos)
            toTag = bytes.substr(tag + 5, bytes.find("\r\n", tag) - tag - 5);
    }
    static std::string sdp(const std::string& way = "recvonly", int port = 4000) {
        return "v=0\r\no=c 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=video " +
               std::to_string(port) + " RTP/AVP 96\r\na=" + way + "\r\n";
    }
    std::string text(const std::string& method, int cseq, const std::string& branch, const std::string& body,
                     const std::string& via = "", const std::string& way = "UDP") const {
        const std::string me = net::toString(socket->endpoint());
        return method + " sip:t@x;room=open SIP/2.0\r\nVia: SIP/2.0/" + way + " " + me + ";branch=z9hG4bK" +
               branch + via + "\r\nMax-Forwards: 70\r\nFrom: <sip:r@" + me + ">;tag=r" +
               (toTag.empty() ? branch : "") + "\r\nTo: <sip:t@x>" + (toTag.empty() ? "" : ";tag=" + toTag) +
               "\r\nCall-ID: raw" + (toTag.empty() ? branch : "") + "\r\nCSeq: " + std::to_string(cseq) +
               " " + method + "\r\nContact: <sip:r@" + me + ">\r\nAllow: UPDATE\r\n" +
               (body.empty() ? "" : "Content-Type: application/sdp\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void say(const std::string& bytes) { socket->send(front, bytes); }
    // The last that begins with this and has that in it.
    const std::string* heard(const std::string& start, const std::string& within = "") const {
        for (auto it = got.rbegin(); it != got.rend(); ++it)
            if (it->compare(0, start.size(), start) == 0 && it->find(within) != std::string::npos)
                return &*it;
        return nullptr;
    }
    int times(const std::string& start) const {
        return static_cast<int>(std::count_if(got.begin(), got.end(), [&](const std::string& one) {
            return one.compare(0, start.size(), start) == 0;
        }));
    }
    void answer(const std::string& request, int status) {
        std::string out = "SIP/2.0 " + std::to_string(status) + " X\r\n";
        for (const char* name : {"Via", "From", "To", "Call-ID", "CSeq"}) {
            const auto at = request.find("\r\n" + std::string(name) + ": ") + 2;
            out += request.substr(at, request.find("\r\n", at) - at) + "\r\n";
        }
        say(out + "Content-Length: 0\r\n\r\n");
    }
};

struct RawRig : CallRig {
    RawCaller raw{net, front->sipFrontend()->endpoint()};
    using CallRig::CallRig;
    bool plays() {
        raw.say(raw.text("INVITE", 1, "", RawCaller::sdp()));
        if (!until([&] { return raw.heard("SIP/2.0 200"); })) return false;
        raw.say(raw.text("ACK", 1, "k", ""));
        run(30'000);
        return true;
    }
};

TEST(Sip, AChangeOfRungIsToldByUpdateAndGlareIsSettled) {
    RawRig rig;
    ASSERT_TRUE(rig.plays());
    core::SubscriptionHandler& face = *rig.front->sipFrontend();
    const SubId sub{1};
    const std::string* first = rig.raw.heard("SIP/2.0 200");
    const int now = first->find("b=TIAS:80000\r\n") != std::string::npos ? 2 : 0;
    face.onRungChanged(sub, now);
    ASSERT_TRUE(rig.until([&] { return rig.raw.heard("UPDATE "); }));
    const std::string update = *rig.raw.heard("UPDATE ");
    EXPECT_NE(update.find(now == 2 ? "b=TIAS:480000\r\n" : "b=TIAS:80000\r\n"), std::string::npos);
    // The caller's own offer crosses it: glare, on both sides.
    rig.raw.say(rig.raw.text("INVITE", 2, "re", RawCaller::sdp()));
    ASSERT_TRUE(rig.until([&] { return rig.raw.heard("SIP/2.0 491"); }));
    rig.raw.say(rig.raw.text("ACK", 2, "re", ""));
    rig.raw.answer(update, 491);
    ASSERT_TRUE(rig.until([&] { return rig.raw.heard("UPDATE ", "CSeq: 2 UPDATE"); })) << "it is tried again";
    rig.raw.answer(*rig.raw.heard("UPDATE ", "CSeq: 2 UPDATE"), 200);
    rig.run(30'000);
    rig.raw.say(rig.raw.text("INVITE", 3, "re3", RawCaller::sdp()));
    ASSERT_TRUE(rig.until([&] { return rig.raw.heard("SIP/2.0 200", "CSeq: 3 INVITE"); }))
        << "and all is well";
    rig.raw.say(rig.raw.text("ACK", 3, "re3a", ""));
    // Out of order within the dialog: an older number (section 12.2.2).
    rig.raw.say(rig.raw.text("UPDATE", 2, "old", ""));
    ASSERT_TRUE(rig.until([&] { return rig.raw.heard("SIP/2.0 500", "CSeq: 2 UPDATE"); }));
    rig.raw.say(rig.raw.text("BYE", 4, "bye", ""));
    ASSERT_TRUE(rig.quiet());
    rig.expectRules();
}

TEST(Sip, ADialogThatTheCallerNoLongerKnowsIsOver) {
    RawRig rig;
    ASSERT_TRUE(rig.plays());
    static_cast<core::SubscriptionHandler&>(*rig.front->sipFrontend()).onRungChanged(SubId{1}, 1);
    ASSERT_TRUE(rig.until([&] { return rig.raw.heard("UPDATE "); }));
    rig.raw.answer(*rig.raw.heard("UPDATE "), 481);
    ASSERT_TRUE(rig.quiet());
    EXPECT_TRUE(rig.until([&] { return rig.raw.heard("BYE "); }));
}

TEST(Sip, AnInviteWithoutAnOfferIsOfferedToAndItsAckMustTakeIt) {
    for (const std::string& body : {RawCaller::sdp(), std::string(), RawCaller::sdp("recvonly", 0)}) {
        RawRig rig;
        rig.raw.say(rig.raw.text("INVITE", 1, "", ""));
        ASSERT_TRUE(rig.until([&] { return rig.raw.heard("SIP/2.0 200", "m=video "); }));
        rig.raw.say(rig.raw.text("ACK", 1, "k", body));
        if (body == RawCaller::sdp()) {
            rig.run(300'000);
            EXPECT_EQ(rig.front->sipFrontend()->calls(), 1u);
            EXPECT_FALSE(rig.raw.heard("BYE "));
        } else {
            ASSERT_TRUE(rig.until([&] { return rig.raw.heard("BYE "); }));
            ASSERT_TRUE(rig.quiet());
        }
    }
}

struct RawStream : net::StreamHandler {
    std::unique_ptr<net::Stream> stream;
    std::string in;
    bool up = false, ended = false;
    RawStream(net::Net& net, const net::Endpoint& at) { stream = net.connect(at, *this); }
    void onConnected() override { up = true; }
    void onConnectFailed(net::ConnectError) override { ended = true; }
    void onWritable() override {}
    void onReadable() override {
        std::array<char, 4'096> buffer;
        for (;;) {
            const net::IoResult got = stream->read(buffer);
            in.append(buffer.data(), got.bytes);
            if (got.bytes > 0) continue;
            if (got.status != net::IoResult::Status::WouldBlock) ended = true;
            return;
        }
    }
    int times(const std::string& what) const {
        int n = 0;
        for (auto at = in.find(what); at != std::string::npos; at = in.find(what, at + 1)) ++n;
        return n;
    }
};

TEST(Sip, OverAStreamManyMessagesMayComeAtOnceAndOneInMany) {
    RawRig rig;
    RawStream s(rig.net, rig.front->sipFrontend()->endpoint());
    ASSERT_TRUE(rig.until([&] { return s.up; }));
    std::string all;
    for (int i = 0; i < 3; ++i)
        all += "\r\n\r\n" + rig.raw.text("INVITE", 1, "s" + std::to_string(i), RawCaller::sdp(), "", "TCP");
    s.stream->write(all);
    ASSERT_TRUE(rig.until([&] { return s.times("SIP/2.0 200") >= 3; }));
    const std::string one = rig.raw.text("OPTIONS", 1, "o", "", "", "TCP");
    for (const char c : one) {
        s.stream->write(std::string(1, c));
        rig.net.runOnce(0);
    }
    ASSERT_TRUE(rig.until([&] { return s.times("CSeq: 1 OPTIONS") == 1; }));
    EXPECT_FALSE(s.ended);
    EXPECT_EQ(rig.front->sipFrontend()->calls(), 3u);
}

TEST(Sip, AStreamThatLostItsPlaceIsClosedAndItsNeighboursStay) {
    RawRig rig;
    RawStream bad(rig.net, rig.front->sipFrontend()->endpoint()),
        good(rig.net, rig.front->sipFrontend()->endpoint());
    ASSERT_TRUE(rig.until([&] { return bad.up && good.up; }));
    std::string broken = rig.raw.text("OPTIONS", 1, "b", "", "", "TCP");
    broken.replace(broken.find("Content-Length: 0"), 17, "Content-Length: -7");
    bad.stream->write(broken + "and more that belongs to nothing\r\n\r\n");
    ASSERT_TRUE(rig.until([&] { return bad.ended; }));
    good.stream->write(rig.raw.text("OPTIONS", 1, "g", "", "", "TCP"));
    ASSERT_TRUE(rig.until([&] { return good.times("SIP/2.0 200") == 1; }));
}

TEST(Sip, AFloodIsShedCheaplyAndThoseWhoListenAreToldByHowMuch) {
    RawRig rig;
    rig.front.reset();
    rig.startFront("admission waiting=8\nsip listen=\"127.0.0.1:0\" target-fill=0.1 look-every=\"20ms\"\n");
    rig.raw.front = rig.front->sipFrontend()->endpoint();
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.answersLate = 200'000;
    for (int i = 0; i < 300; ++i) {
        rig.raw.say(
            rig.raw.text("INVITE", 1, "f" + std::to_string(i), RawCaller::sdp(), ";oc;oc-algo=\"loss\""));
        rig.net.runOnce(2'000);
    }
    rig.run(kSecond);
    EXPECT_GT(rig.front->sipFrontend()->counts().shed, 50u);
    EXPECT_LT(rig.front->core().counts().requested, 200u);
    const std::string* refused = rig.raw.heard("SIP/2.0 503", "Retry-After: ");
    ASSERT_TRUE(refused);
    bool told = false;
    for (const std::string& one : rig.raw.got)
        told |= one.find(";oc=") != std::string::npos && one.find("oc-validity=1000") != std::string::npos;
    EXPECT_TRUE(told);
    // Each call has one final answer, whichever it is.
    std::map<std::string, std::set<std::string>> finals;
    for (const std::string& one : rig.raw.got) {
        if (one.compare(0, 9, "SIP/2.0 1") == 0 || one.compare(0, 8, "SIP/2.0 ") != 0) continue;
        const auto at = one.find("Call-ID: ");
        finals[one.substr(at, one.find("\r\n", at) - at)].insert(one.substr(0, 11));
    }
    EXPECT_EQ(finals.size(), 300u);
    for (const auto& [id, all] : finals) EXPECT_EQ(all.size(), 1u) << id;
}

// ---- fronts that are deliberately broken: the audit must catch each ----

// Joins any box that was ever listed, at once, and again and again, whatever the rules say.
struct Broken : core::DecisionModule {
    Host& host;
    std::vector<SfuId> known;
    std::map<SubId, int> joins;
    int again;  // joins each
    int rung;
    std::size_t next = 0;
    Broken(Host& h, int again, int rung) : host(h), again(again), rung(rung) { host.followList(); }
    void onServerList(Micros, std::span<const SfuEntry> all, bool) override {
        for (const SfuEntry& s : all)
            if (std::find(known.begin(), known.end(), s.id) == known.end()) known.push_back(s.id);
    }
    void onServerListChange(Micros now, std::span<const SfuEntry> some) override {
        onServerList(now, some, false);
    }
    void onServerListFailure(Micros) override {}
    void onSubscribe(Micros, SubId id, const SubscriptionRequest&) override { join(id); }
    void join(SubId id) {
        ++joins[id];
        host.setRung(id, rung);
        host.join(id, known[next++ % known.size()], kSecond);
    }
    void onPlaying(Micros, SubId, int, SfuId, Micros) override {}
    void onJoinEnded(Micros, SubId id, int, SfuId, JoinResult, bool over, Micros,
                     const LoadReport&) override {
        if (over) return;
        if (joins[id] < again)
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

struct BrokenRig : Rig {
    explicit BrokenRig(int again, int rung = 1) {
        front.reset();
        startFront(
            "", [=](Host& h, Micros, std::uint64_t, const std::vector<RoomType>&, const Fleet&, const Ladder&,
                    const SubscriptionLimits&) { return std::make_unique<Broken>(h, again, rung); });
    }
    std::set<int> play(const std::string& room, int many, Micros apart = 0) {
        for (int i = 0; i < many; ++i) {
            Rig::play(room, 800'000);
            if (apart) run(apart);
        }
        EXPECT_TRUE(until([&] { return active == 0; }));
        return broken();
    }
};

TEST(BrokenFront, ThatRepeatsAPaidSetUpIsCaught) {
    BrokenRig rig(2);
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.losePart = 1;
    EXPECT_EQ(rig.play("paid", 1), std::set<int>{2});
}
TEST(BrokenFront, ThatThrottlesAPaidSetUpThatRanIsCaught) {
    BrokenRig rig(1);
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.losePart = 1;
    EXPECT_EQ(rig.play("paid", 1), std::set<int>{2});
}
TEST(BrokenFront, ThatSendsToADrainingBoxIsCaught) {
    BrokenRig rig(1);
    rig.tell(1, "fading");
    rig.run(700'000);
    EXPECT_EQ(rig.play("open", 3), std::set<int>{3});
}
TEST(BrokenFront, ThatRushesAColdBoxIsCaught) {
    BrokenRig rig(1);
    rig.fleet->box(1).die("died");
    rig.fleet->box(1).start(true);
    EXPECT_EQ(rig.play("open", 110).count(4), 1u);
}
TEST(BrokenFront, ThatOverrunsSeatsIsCaught) {
    BrokenRig rig(1);
    EXPECT_EQ(rig.play("paid", 5), std::set<int>{5});
}
TEST(BrokenFront, ThatTriesTooOftenIsCaught) {
    BrokenRig rig(4);
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.failPart = 1;
    EXPECT_EQ(rig.play("open", 4), std::set<int>{6});
}
TEST(BrokenFront, ThatNeverAnswersIsCaughtByItsOwnGuard) {
    BrokenRig rig(1);
    for (int id = 0; id < 3; ++id) rig.fleet->box(id).trouble.silent = true;
    rig.front->core().onServerListFailure();
    EXPECT_EQ(rig.play("open", 1), std::set<int>{});
}

// ---- the day that CI plays ----

simulation::DrillResult playDay(const std::string& name, fakes::Ledger& ledger) {
    const auto document = settings::Document::fromFile(std::string(VALEKEEL_DAYS) + "/" + name);
    const simulation::Scenario day = simulation::readScenario(document);
    const fs::path folder = fs::path(testing::TempDir()) / ("valekeel-day-" + name);
    fs::remove_all(folder);
    fs::create_directories(folder);
    simulation::DrillOptions ways;
    ways.program = VALEKEEL_PROGRAM;
    ways.folder = folder.string();
    return simulation::drill(day, ways, ledger);
}

TEST(Experiment, RunsWhatIsNotKeptYetAndReportsAll) {
    const fs::path folder = fs::path(testing::TempDir()) / "valekeel-experiment-test";
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
    experiment::ExperimentOptions ways;
    ways.program = VALEKEEL_PROGRAM;
    ways.folder = folder.string();
    ways.store = (folder / "t.sqlite").string();
    ways.out = (folder / "report").string();
    EXPECT_EQ(experiment::carryOut(planOf("1"), ways), 0);
    const auto first = experiment::Store(ways.store).of("t");
    ASSERT_EQ(first.size(), 2u);
    EXPECT_EQ(experiment::carryOut(planOf("1 2"), ways), 0);
    const auto all = experiment::Store(ways.store).of("t");
    ASSERT_EQ(all.size(), 4u);
    // What was kept was not run again, to the microsecond that it took; and a virtual day is the same day.
    for (const auto& one : first)
        EXPECT_EQ(std::count_if(all.begin(), all.end(),
                                [&](const auto& o) { return o.key == one.key && o.seconds == one.seconds; }),
                  1);
    const auto measures = experiment::measuresOf(all);
    EXPECT_GT(measures.at("crowd 2").at(1).at("asked"), measures.at("crowd 1").at(1).at("asked"));
    EXPECT_NE(
        experiment::comparisonTable(measures, "crowd 1", measures, "crowd 2").find("paired over 2 seeds"),
        std::string::npos);
    EXPECT_THROW(experiment::comparisonTable(measures, "crowd 1", measures, "crowd 3"),
                 std::invalid_argument);
    experiment::report(planOf("1 2"), ways);
    EXPECT_TRUE(fs::exists(folder / "report" / "report.md"));
    EXPECT_TRUE(fs::exists(folder / "report" / "t-1.svg"));
    std::ifstream csv(folder / "report" / "runs.csv");
    EXPECT_EQ(std::count(std::istreambuf_iterator<char>(csv), {}, '\n'), 5);
    // A wrong level is found before anything runs.
    auto wrong = planOf("3");
    wrong.factors[0].levels[1].values[0] = "many";
    EXPECT_THROW(experiment::carryOut(wrong, ways), settings::SettingsError);
    EXPECT_EQ(experiment::Store(ways.store).of("t").size(), 4u);
}

TEST(Day, TheShortBadDayKeepsAllRules) {
    fakes::Ledger ledger;
    const auto result = playDay("short.kdl", ledger);
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
