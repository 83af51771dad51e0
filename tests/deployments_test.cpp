// Tests of the front node with settings that differ widely between sites: nothing may be fitted to one
// deployment. The settings are those of the fictitious sites under deploy/sites, as the simulator scales
// them.
#include <gtest/gtest.h>

#include "core/core.hpp"
#include "fakes/platform.hpp"
#include "net/virtual.hpp"
#include "node/message.hpp"
#include "node/node.hpp"
#include "node/servers.hpp"
#include "node_fixture.hpp"
#include "setup/setup.hpp"

namespace valekeel {
namespace {

using Json = nlohmann::json;
using fakes::SetupReaction;

// One request class, one attempt, no join budget, no retry time for throttled viewers; all times are short.
Json pierSettings() {
    return Json::parse(
        R"({"balancers":20,"host_types":["berth"],"zones":["pier"],"zone":"pier","weights":"none",
      "allowed":{"attempts_cap":1,"retry_after":false,"max_retry_after":0.2,"cancel":true,"peers":false,
        "max_streams":2,"connect_timeout":0.08,"conn_idle":3},
      "request_classes":[
        {"name":"notice","promise":0.19,"deadline":0.43,"idempotency":"pure","importance":1,"group":"all"}],
      "report":{"source":"answers","fields":["backlog","recent_ms"]},
      "rules":{"cold":5.6,"start_capacity":0.2,"fall_multiple":1.3,"tip_after":0.7},
      "specifics":{"cells":4,"racks":2,"ladder_kb":[200,500],"ladder_worth":[0.3,1],"rate_factor":[1],
        "lowest_rung":[0],"highest_rung":[1],"licence_cap":[0],"links_kb":60000,"rack_link_kb":40000,
        "places_by_kind":[28],"weight_kb":0,"stall":5,"switch_cost_s":0.3,"told_late":0.6,"told_every":1.5}})");
}

// Seven request classes, three zones, two machine kinds, two attempts under a small join budget, no
// cancellation; most times are long.
Json hallsSettings() {
    Json all = Json::parse(R"({"balancers":20,"host_types":["tower","blade"],"zones":["north","east","quay"],
      "zone":"quay","weights":"rough",
      "allowed":{"attempts_cap":2,"retry_after":true,"max_retry_after":3,"cancel":false,"peers":true,
        "max_streams":4,"connect_timeout":0.9,"conn_idle":120},
      "report":{"source":"answers","fields":["throughput","errors_per_s","outstanding","utilization"]},
      "rules":{"cold":15,"start_capacity":0.3,"fall_multiple":4,"tip_after":6,"spare_attempts":2,
        "resend_ratio":0.03,"look_back":4},
      "prices":{"cross_zone":0.2},
      "specifics":{"cells":4,"racks":2,"ladder_kb":[100,300,900],"ladder_worth":[0.2,0.6,1],
        "links_kb":60000,"rack_link_kb":40000,"places_by_kind":[40,90],"weight_kb":9000,"stall":8,
        "switch_cost_s":0.8,"join":0.4,"told_late":1.5,"told_every":8}})");
    for (int i = 0; i < 7; ++i) {
        all["request_classes"].push_back({{"name", "class-" + std::to_string(i)},
                                          {"promise", 0.08 + 0.1 * i},
                                          {"deadline", 0.4 + 1.2 * i},
                                          {"idempotency", i % 2 ? "side_effect" : "pure"},
                                          {"importance", 0.2 + i}});
        all["specifics"]["rate_factor"].push_back(0.6 + 0.1 * i);
        all["specifics"]["lowest_rung"].push_back(0);
        all["specifics"]["highest_rung"].push_back(i % 3);
        all["specifics"]["licence_cap"].push_back(i == 3 ? 3 : 0);
    }
    return all;
}

using nodetest::idOf;

// A front node with its media servers, change log and one client connection, in a virtual world.
struct Deployment : nodetest::VirtualMachines {
    Json settings;
    std::vector<std::unique_ptr<fakes::PlatformServer>> servers;
    std::unique_ptr<fakes::PlatformChangeLog> log;
    logging::Log nodeLog{"", logging::Level::Error, 1};
    std::unique_ptr<node::Node> front;
    std::unique_ptr<fakes::PlatformConnection> viewers;
    std::map<std::string, std::vector<std::pair<Micros, Json>>> received;  // by subscription, with the time

    explicit Deployment(Json siteSettings, int count = 4, int listed = -1)
        : settings(std::move(siteSettings)) {
        for (int i = 0; i < count; ++i)
            servers.push_back(std::make_unique<fakes::PlatformServer>(machine(i), place(i)));
        log = std::make_unique<fakes::PlatformChangeLog>(machine(10), place(10));
        log->last = 1;
        front = std::make_unique<node::Node>(machine(11), "config.json",
                                             configuration(listed < 0 ? count : listed), nodeLog);
        viewers = std::make_unique<fakes::PlatformConnection>(
            machine(12), front->endpoint(), [this](fakes::PlatformConnection&, const Json& m) {
                received[m.value("tag", "")].emplace_back(world.now(), m);
            });
        run(50'000);
    }
    std::string configuration(int count) const {
        std::vector<net::Endpoint> places;
        for (int i = 0; i < count; ++i) places.push_back(place(i));
        return nodetest::makeConfiguration(places, place(11), log->endpoint(), settings).dump();
    }
    // Requests subscription `n`. `left`: time to the client timeout in ms; 0: that of the request class.
    void subscribe(int n, std::size_t room = 0, int left = 0) {
        const Json& requestClass = settings["request_classes"][room];
        if (left == 0) left = static_cast<int>(requestClass["deadline"].get<double>() * 1000);
        viewers->send({{"verb", "START"},
                       {"tag", idOf(n)},
                       {"opts",
                        {{"class", requestClass["name"]},
                         {"left", std::to_string(left)},
                         {"key", "t" + std::to_string(n)},
                         {"extras", "home:0;copies:4;top:2"}}},
                       {"blob", "offer"}});
    }
    // Returns the messages on a subscription in order: "+" for "plays", the cause code for a release.
    std::string messages(int n) {
        std::string text;
        for (const auto& [at, m] : received[idOf(n)])
            text += (text.empty() ? "" : " ") +
                    (m["verb"] == "STARTED" ? std::string("+") : std::to_string(m.value("rc", 0)));
        return text;
    }
    Micros lastMessageAt(int n) { return received[idOf(n)].empty() ? 0 : received[idOf(n)].back().first; }
};

// ================= parsing of settings and messages =================

TEST(Deployments, SettingsAreParsedAsGiven) {
    const Json pier = pierSettings(), halls = hallsSettings();
    EXPECT_FALSE(setup::parseJoinBudget(pier, "pier"));
    EXPECT_EQ(setup::parseSubscriptionLimits(pier, "pier").maxJoins, 1);
    EXPECT_FALSE(setup::parseSubscriptionLimits(pier, "pier").retryAfter);
    EXPECT_EQ(setup::parseColdStartLimits(pier, "pier").tipAfter, 700'000);
    EXPECT_FALSE(setup::parseFleet(pier, setup::parseNames(pier, "pier"), "pier").hasSizes);
    EXPECT_EQ(setup::parseServingCosts(pier, "pier").crossZone, 0);
    const auto budget = setup::parseJoinBudget(halls, "halls");
    ASSERT_TRUE(budget);
    EXPECT_EQ(budget->free, 2);
    EXPECT_EQ(budget->window, 4 * kSecond);
    const auto rooms = setup::parseRoomTypes(halls, setup::parseLadder(halls, "halls"), "halls");
    ASSERT_EQ(rooms.size(), 7u);
    EXPECT_EQ(rooms[3].seats, 3);
    EXPECT_TRUE(rooms[3].paid);
    EXPECT_EQ(rooms[5].top, 2);
    const Fleet fleet = setup::parseFleet(halls, setup::parseNames(halls, "halls"), "halls");
    EXPECT_EQ(fleet.zone, ZoneId{2});
    EXPECT_EQ(fleet.places, (std::vector<int>{40, 90}));
}

// A load report may hold any of the names in the settings, in any order; those that are not on a link or an
// uplink are ignored.
TEST(Deployments, LoadReportIsParsedByNameInAnyOrder) {
    const auto load = [](const char* report) {
        node::Message m;
        m.options["load"] = report;
        return node::parseLoadReport(m);
    };
    const LoadReport utilization = load("throughput:9;errors_per_s:0;outstanding:12;utilization:0.4");
    EXPECT_EQ(utilization.linkUse, 0.4);
    EXPECT_FALSE(utilization.uplinkUse);
    for (const char* both : {"x0:1.3;utilization:1;x1:0.2", "utilization:1;x1:0.2;x0:1.3"}) {
        EXPECT_EQ(load(both).linkUse, 1.3) << both;
        EXPECT_EQ(load(both).uplinkUse, 0.2) << both;
    }
    const LoadReport none = load("backlog:3;recent_ms:70");
    EXPECT_FALSE(none.linkUse);
    EXPECT_FALSE(none.uplinkUse);
}

// ================= behaviour of the node =================

TEST(Deployments, AllRequestClassesPlayAtAllSites) {
    for (const Json& site : {pierSettings(), hallsSettings()}) {
        Deployment deployment(site);
        const std::size_t rooms = site["request_classes"].size();
        for (std::size_t i = 0; i < rooms; ++i) deployment.subscribe(static_cast<int>(i) + 1, i);
        deployment.run(kSecond);
        for (std::size_t i = 0; i < rooms; ++i)
            EXPECT_EQ(deployment.messages(static_cast<int>(i) + 1), "+") << i;
    }
}

// A limit of one attempt holds even if the first was rejected and is proven not to have run.
TEST(Deployments, LimitOfOneAttemptHolds) {
    Deployment deployment(pierSettings());
    for (const auto& s : deployment.servers)
        s->reaction = [](const std::string&) { return SetupReaction::RefuseFull; };
    deployment.subscribe(1);
    deployment.run(kSecond);
    std::size_t sent = 0;
    for (const auto& s : deployment.servers) sent += s->setups.size();
    EXPECT_EQ(sent, 1u);
    EXPECT_EQ(deployment.messages(1), "42");
    EXPECT_FALSE(deployment.received[idOf(1)].back().second["opts"].contains("wait"));
}

// A connection carries no more concurrent set-ups than the settings allow.
TEST(Deployments, ConnectionsKeepTheLimitOfConcurrentSetups) {
    Deployment deployment(pierSettings(), 0, 1);
    struct SilentServer final : net::ListenerHandler {
        std::vector<std::unique_ptr<fakes::PlatformConnection>> lines;
        std::map<fakes::PlatformConnection*, int> setupCounts;
        void onAccepted(std::unique_ptr<net::Stream> stream) override {
            lines.push_back(std::make_unique<fakes::PlatformConnection>(
                std::move(stream), [this](fakes::PlatformConnection& line, const Json& m) {
                    setupCounts[&line] += m["verb"] == "START";
                }));
        }
    } server;
    const auto listener = deployment.machine(0).listen(Deployment::place(0), server);
    for (int n = 1; n <= 6; ++n) deployment.subscribe(n);
    deployment.run(200'000);
    ASSERT_FALSE(server.setupCounts.empty());
    for (const auto& [line, count] : server.setupCounts) EXPECT_LE(count, 2);
}

// A session still plays after the connection that set it up has been idle for so long that the media server
// closes it.
TEST(Deployments, SessionOutlivesItsIdleConnection) {
    Deployment deployment(pierSettings(), 1);
    deployment.subscribe(1);
    deployment.run(kSecond);
    deployment.servers[0]->resetConnections();
    deployment.run(3 * kSecond);
    EXPECT_EQ(deployment.messages(1), "+");
    deployment.servers[0]->end(idOf(1), 16);
    deployment.run(kSecond);
    EXPECT_EQ(deployment.messages(1), "+ 16");
}

// The protocol's limit for the detection of a lost media server: 8 s, whatever the connect timeout and the
// report interval.
TEST(Deployments, LostServerIsDetectedWithinEightSeconds) {
    for (const Json& site : {pierSettings(), hallsSettings()}) {
        Deployment deployment(site, 1);
        deployment.subscribe(1);
        deployment.run(kSecond);
        ASSERT_EQ(deployment.messages(1), "+");
        deployment.servers[0]->sendNotice(idOf(1), "link_use", 0.2);
        deployment.run(20'000);
        const Micros lostAt = deployment.world.now();
        deployment.nodes[0]->pause();
        deployment.run(12 * kSecond);
        EXPECT_EQ(deployment.messages(1), "+ 41");
        EXPECT_LE(deployment.lastMessageAt(1) - lostAt, 8 * kSecond) << site["allowed"]["connect_timeout"];
    }
}

// Connections may take up to a second to open, and open ones may be silent meanwhile: a single delay does not
// mean that the server is lost, whatever connect timeout the settings give a connection that carries a
// set-up.
TEST(Deployments, DelayedConnectsDoNotCountAsLostServer) {
    for (const Json& site : {pierSettings(), hallsSettings()}) {
        Deployment deployment(site, 1);
        deployment.subscribe(1);
        deployment.run(kSecond);
        ASSERT_EQ(deployment.messages(1), "+");
        deployment.world.latency = [&](const net::VirtualNode& a, const net::VirtualNode& b) -> Micros {
            return a.name() == "m0" || b.name() == "m0" ? 400'000 : 200;
        };
        deployment.run(7 * kSecond);
        deployment.world.latency = nullptr;
        deployment.run(kSecond);
        EXPECT_EQ(deployment.messages(1), "+") << site["allowed"]["connect_timeout"];
        EXPECT_EQ(deployment.servers[0]->playing.size(), 1u);
    }
}

// A planned restart: SIGKILL follows no sooner than the longest deadline (at most 3 s) plus 0.7 s after
// SIGTERM. Requests from before SIGTERM are answered by then, even if their own deadline is later.
TEST(Deployments, AllRequestsAreAnsweredBeforeSigkill) {
    for (const Json& site : {pierSettings(), hallsSettings()}) {
        Deployment deployment(site);
        double longest = 0;
        for (const Json& room : site["request_classes"])
            longest = std::max(longest, room["deadline"].get<double>());
        for (const auto& s : deployment.servers)
            s->reaction = [](const std::string&) { return SetupReaction::NoAnswer; };
        const std::size_t rooms = site["request_classes"].size();
        for (std::size_t i = 0; i < rooms; ++i) deployment.subscribe(static_cast<int>(i) + 1, i);
        deployment.run(100'000);
        const Micros stoppedAt = deployment.world.now();
        const Micros timeToSigkill = static_cast<Micros>(std::min(longest, 3.0) * 1e6) + 700'000;
        deployment.front->stop([] {});
        deployment.run(12 * kSecond);
        for (std::size_t i = 0; i < rooms; ++i) {
            const int n = static_cast<int>(i) + 1;
            EXPECT_NE(deployment.messages(n), "") << i;
            EXPECT_LE(deployment.lastMessageAt(n) - stoppedAt, timeToSigkill)
                << i << " of " << longest << " s";
        }
    }
}

}  // namespace
}  // namespace valekeel
