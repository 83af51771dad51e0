// The experiment tool without runs of its own, and the virtual net that rehearsals stand on.
#include "experiment/experiment.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "charts/charts.hpp"
#include "net/virtual.hpp"
#include "simulation/drill.hpp"
#include "simulation/scenario.hpp"
#include "temporary_folder.hpp"

namespace valekeel {
namespace {

namespace fs = std::filesystem;

fs::path folder() {
    const fs::path out =
        temporaryFolder("exp-" + std::string(testing::UnitTest::GetInstance()->current_test_info()->name()));
    fs::remove_all(out);
    fs::create_directories(out);
    return out;
}

// ---- the virtual net ----

struct Side : net::StreamHandler {
    std::unique_ptr<net::Stream> stream;
    std::string in;
    int writables = 0;
    bool up = false, refused = false, ended = false, broken = false, keep = true;
    void onConnected() override { up = true; }
    void onConnectFailed(net::ConnectError) override { refused = true; }
    void onWritable() override { ++writables; }
    void onReadable() override {
        std::array<char, 1'000> buffer;
        while (keep) {
            const net::IoResult got = stream->read(buffer);
            in.append(buffer.data(), got.bytes);
            if (got.bytes > 0) continue;
            ended |= got.status == net::IoResult::Status::EndOfStream;
            broken |= got.status == net::IoResult::Status::Broken;
            return;
        }
    }
};
struct World : net::ListenerHandler {
    net::VirtualNetwork world{1};
    net::VirtualNode& a = world.node("a", net::parseEndpoint("10.0.0.1:0")->ip);
    net::VirtualNode& b = world.node("b", net::parseEndpoint("10.0.0.2:0")->ip);
    std::unique_ptr<net::Listener> listener = b.listen(*net::parseEndpoint("10.0.0.2:0"), *this);
    Side here, there;
    void onAccepted(std::unique_ptr<net::Stream> s) override {
        there.stream = std::move(s);
        there.stream->setHandler(there);
        there.up = true;
    }
    void connect() {
        here.stream = a.connect(listener->endpoint(), here);
        run(10'000);
    }
    void run(Micros time) { world.runUntil(world.now() + time); }
};

TEST(VirtualNet, CarriesBytesInOrderAndTellsTheEnd) {
    World w;
    w.connect();
    ASSERT_TRUE(w.here.up && w.there.up);
    EXPECT_EQ(w.there.stream->peer().ip, net::parseEndpoint("10.0.0.1:0")->ip);
    const Micros sent = w.world.now();
    w.here.stream->write("one ");
    w.here.stream->write("two");
    w.run(199);
    EXPECT_EQ(w.there.in, "") << "not before its latency";
    w.run(1);
    EXPECT_EQ(w.there.in, "one two");
    EXPECT_EQ(w.world.now(), sent + 200);
    w.here.stream->shutdownWrite();
    w.run(1'000);
    EXPECT_TRUE(w.there.ended);
    w.there.stream->write("and back");
    w.run(1'000);
    EXPECT_EQ(w.here.in, "and back") << "the other way is open still";
}

TEST(VirtualNet, AFullBufferHoldsTheWriterUntilItIsRead) {
    World w;
    w.connect();
    w.there.keep = false;
    const std::string much(300'000, 'x');
    const net::IoResult put = w.here.stream->write(much);
    EXPECT_EQ(put.bytes, net::VirtualNetwork::kBuffer);
    EXPECT_EQ(put.status, net::IoResult::Status::WouldBlock);
    w.run(10'000);
    EXPECT_EQ(w.here.writables, 0);
    w.there.keep = true;
    w.there.onReadable();
    w.run(1'000);
    EXPECT_EQ(w.here.writables, 1);
    EXPECT_EQ(w.here.stream->write("y").bytes, 1u);
}

TEST(VirtualNet, ResetsRefusalsAndThePeerThatIsGone) {
    World w;
    w.connect();
    w.there.stream.reset();
    w.run(1'000);
    EXPECT_TRUE(w.here.ended);
    w.here.stream->write("to nobody");
    w.run(1'000);
    w.here.onReadable();
    EXPECT_TRUE(w.here.broken);

    World hard;
    hard.connect();
    hard.b.crashing = true;
    hard.there.stream.reset();
    hard.run(1'000);
    EXPECT_TRUE(hard.here.broken);

    World none;
    Side late;
    late.stream = none.a.connect(*net::parseEndpoint("10.0.0.2:9"), late);
    EXPECT_FALSE(late.refused) << "never at once";
    none.run(1'000);
    EXPECT_TRUE(late.refused);
}

TEST(VirtualNet, ANodeThatStandsStillGetsAllAfterwardsInOrder) {
    World w;
    w.connect();
    int fired = 0;
    net::Timer timer(w.b, [&] { ++fired; });
    timer.after(5'000);
    w.b.pause();
    w.here.stream->write("a");
    w.here.stream->write("b");
    w.run(20'000);
    EXPECT_EQ(w.there.in, "");
    EXPECT_EQ(fired, 0);
    w.b.resume();
    w.run(2'000);
    EXPECT_EQ(w.there.in, "ab");
    EXPECT_EQ(fired, 1);
}

TEST(VirtualNet, DatagramsMeetTheWeatherThatIsSet) {
    World w;
    struct Ear : net::DatagramHandler {
        std::vector<std::string> got;
        void onDatagram(const net::Endpoint&, std::string_view bytes) override { got.emplace_back(bytes); }
    } ear, mouth;
    const auto to = w.b.bind(*net::parseEndpoint("10.0.0.2:0"), ear);
    const auto from = w.a.bind(*net::parseEndpoint("10.0.0.1:0"), mouth);
    int n = 0;
    w.world.datagramCopyDelays = [&](const net::VirtualNode&, const net::VirtualNode&) {
        ++n;
        return n == 1   ? std::vector<Micros>{}
               : n == 2 ? std::vector<Micros>{9'000, 0}
                        : std::vector<Micros>{1'000};
    };
    for (const char* text : {"lost", "twice", "late"}) from->send(to->endpoint(), text);
    w.run(20'000);
    EXPECT_EQ(ear.got, (std::vector<std::string>{"twice", "late", "twice"}));
}

// ---- rehearsals ----

const char* const kDay = R"(
day "small" length="12s" seed=3 fronts=2 boxes=4 link-kb=400
site {
    ladder stall-loss=7 switch="700ms" { rung kb=5 worth=0.3; rung kb=15 worth=0.7; rung kb=30 worth=1; }
    room-type "open" client-timeout="3s" join-objective="1500ms"
    room-type "paid" client-timeout="4s" join-objective="800ms" benefit=3 set-up="paid" seats=30
    fleet cells=4 racks=2 links-kb=1600 link-kb-per-size=400 uplink-kb=700 { kind "k" places=60; }
    tidings late="200ms" every="1s"
    allowed joins=3 come-back-at-most="1s"
    viewers silent-after="4s" closed-after="500ms" segment-within="4s" answer-margin="150ms"
    talk "a" holders=4
    talk "b" holders=4
}
box-make segment="1s" set-up="50ms"
members { member "near" link-kb=2000 part=0.5; member "far" link-kb=60 part=0.5; }
audience rate=4 watch="6s" patience="4s" returns=2 until="10s" {
    train viewers=6 at="3s" over="500ms" member="far"
    room "open" part=0.6
    room "paid" part=0.4
}
callers callers=4 over="4s" talk-least="1s" talk-most="2s" t1="100ms" { room "paid"; }
trouble "member-cut" at="6s" for="1s" { member 1; }
trouble "front-dies" at="5s" for="1s" { front 1; }
trouble "front-stalls" at="8s" for="500ms" { front 0; }
trouble "box-dies" at="4s" for="2s" { box 0; }
)";

std::string played(std::uint64_t seed, std::string* json = nullptr) {
    simulation::Scenario day = simulation::readScenario(settings::Document::fromText("small.kdl", kDay));
    day.seed = seed;
    simulation::DrillOptions ways;
    ways.real = false;
    ways.folder = folder().string();
    fakes::Ledger ledger;
    const auto result = simulation::drill(day, ways, ledger);
    for (const auto& b : result.breaches) ADD_FAILURE() << "rule " << b.rule << ": " << b.what;
    EXPECT_GT(result.played, 20u);
    EXPECT_GT(result.calls.size(), 0u);
    EXPECT_GT(result.stalls, 0u) << "the far member's link was cut";
    EXPECT_GT(result.byMember.at("near").second, result.byMember.at("far").second);
    if (json) *json = simulation::asJson(result);
    std::ostringstream out;
    ledger.write(out);
    return out.str();
}

TEST(Rehearsal, OnAVirtualClockTheSameSeedIsTheSameDayToTheByte) {
    const std::string first = played(3), again = played(3), other = played(4);
    EXPECT_TRUE(first == again);
    EXPECT_FALSE(first == other);
}

// ---- the tool ----

TEST(Statistics, TellADifferenceFromNoise) {
    using namespace experiment;
    const Estimate e = estimate({1, 2, 3, 4, 5});
    EXPECT_NEAR(e.mean, 3, 1e-12);
    EXPECT_NEAR(e.half, 2.776445 * std::sqrt(2.5 / 5), 1e-5);
    EXPECT_EQ(estimate({7}).half, 0);
    // Seeds differ far more than the cases do: pairing shows it, and without it nothing can be said.
    const std::vector<double> a{1, 5, 9, 13}, b{1.5, 5.6, 9.4, 13.5};
    EXPECT_TRUE(difference(a, b, true).differs);
    EXPECT_FALSE(difference(a, b, false).differs);
    EXPECT_FALSE(difference(a, a, true).differs);
    EXPECT_TRUE(difference({1, 1, 1}, {2, 2, 2}, true).differs);
}

TEST(Plan, EveryCaseAndSeedOnceAndWhatIsWrongIsSaid) {
    const auto plan = experiment::readPlan(settings::Document::fromText("p.kdl", R"(
        experiment "x" at-once=2
        day "d.kdl"
        factor "crowd" set="audience@rate" { level 5; level 10; }
        factor "both" { set "a@b"; set "c@d"; level 1 "x" as="one"; level 2 "y" as="two"; level 3 "z" as="three"; }
        seeds 1 2
        chart "service" over="crowd"
    )"));
    EXPECT_EQ(plan.cases().size(), 6u);
    EXPECT_EQ(plan.runs().size(), 12u);
    std::set<std::string> names;
    for (const auto& c : plan.cases()) names.insert(plan.nameOf(c));
    EXPECT_EQ(names.size(), 6u);
    EXPECT_EQ(plan.nameOf(plan.cases()[1]), "crowd 5, both two");
    EXPECT_EQ(plan.settingsOf(plan.cases()[1])[2], (std::pair<std::string, std::string>{"c@d", "y"}));
    for (const char* wrong :
         {"experiment \"x\"\nday \"d\"\nseeds 1\nfactor \"f\" { level 1; }",
          "experiment \"x\"\nday \"d\"\nseeds",
          "experiment \"x\"\nday \"d\"\nseeds 1\nchart \"m\" over=\"no\"",
          "experiment \"x\"\nday \"d\"\nseeds 1\nfactor \"f\" set=\"a@b\" { level 1 2; }"})
        EXPECT_THROW(experiment::readPlan(settings::Document::fromText("p.kdl", wrong)),
                     settings::SettingsError)
            << wrong;
}

TEST(Settings, OfADayAreChangedByTheirPath) {
    const std::string text = simulation::withSettings(
        "d.kdl", kDay, {{"audience@rate", "9"}, {"site/fleet@uplink-kb", "123"}, {"day@length", "20s"}});
    const auto day = simulation::readScenario(settings::Document::fromText("d.kdl", text));
    EXPECT_EQ(day.audiences.front().stream.rateAt(kSecond), 9);
    EXPECT_EQ(day.machines.fleet.uplinkKb, 123);
    EXPECT_EQ(day.length, 20 * kSecond);
    EXPECT_THROW(simulation::withSettings("d.kdl", kDay, {{"audiense@rate", "9"}}), std::invalid_argument);
    EXPECT_THROW(simulation::withSettings("d.kdl", kDay, {{"rate", "9"}}), std::invalid_argument);
}

TEST(Store, KeepsARunOnceAndReadsItBack) {
    const std::string file = (folder() / "r.sqlite").string();
    {
        experiment::Store store(file);
        EXPECT_FALSE(store.has("k1"));
        store.keep({"k1", "p", "case a", "h", "c", R"({"service":0.5,"course":[[1,2,3]]})", 1, 0.1, 2});
        store.keep({"k2", "p", "case a", "h", "c", R"({"service":0.7})", 2, 0.1, 2});
        store.keep({"k3", "p", "case a", "h2", "c", R"({"service":0.9})", 2, 0.1, 2});
    }
    const experiment::Store store(file);
    EXPECT_TRUE(store.has("k1"));
    const auto all = store.of("p");
    ASSERT_EQ(all.size(), 2u);
    const auto measures = experiment::measuresOf(all);
    EXPECT_EQ(measures.at("case a").at(2).at("service"), 0.9) << "the newest of a case and seed";
    EXPECT_THROW(experiment::Store("/nowhere/at/all.sqlite"), std::runtime_error);
}

TEST(Charts, AreWrittenWholeOrRefused) {
    const std::string file = (folder() / "c.svg").string();
    charts::Chart chart{
        "title # 1", "x", "y", true, true, {{"a", {1, 10, 100}, {1, 2, 3}, {0, 1, 2}, {2, 3, 4}}}, {}};
    charts::drawLines(chart, file);
    std::ifstream in(file);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    EXPECT_NE(text.find("<svg"), std::string::npos);
    EXPECT_NE(text.find("</svg>"), std::string::npos);
    EXPECT_FALSE(fs::exists(file + ".new"));
    chart.series[0].y.pop_back();
    EXPECT_THROW(charts::drawLines(chart, file), std::invalid_argument);
    EXPECT_THROW(charts::drawBars(charts::Chart{}, {"a"}, file), std::invalid_argument);
    charts::drawBars({"b", "x", "y", false, true, {{"a", {}, {1, 2}, {}, {}}}, {}}, {"one", "two"}, file);
}

}  // namespace
}  // namespace valekeel
