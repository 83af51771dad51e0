// Fixture for the tests of the front node: a node between fake media servers, a fake change log and a viewer,
// on machines of a virtual network or on loopback sockets.
#pragma once

#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/platform.hpp"
#include "loop_fixture.hpp"
#include "net/virtual.hpp"
#include "node/node.hpp"

namespace valekeel::nodetest {

using Json = nlohmann::json;
using fakes::SetupReaction;

// Three cells; two room types, "talk" (free) and "paid" (paid, two seats).
inline Json settings() {
    return Json::parse(R"({"balancers":2,"host_types":["k"],"zones":["z"],"zone":"z","weights":"nominal",
      "allowed":{"attempts_cap":3,"max_retry_after":0.5,"retry_after":true,"max_streams":32,
        "connect_timeout":0.25,"conn_idle":30},
      "request_classes":[
        {"name":"talk","promise":1.5,"deadline":3,"idempotency":"pure","importance":1},
        {"name":"paid","promise":0.8,"deadline":3,"idempotency":"side_effect","importance":3}],
      "rules":{"cold":10.0,"start_capacity":0.4,"fall_multiple":2.0,"tip_after":1.5,"spare_attempts":5,
        "resend_ratio":0.1,"look_back":10},
      "specifics":{"cells":3,"racks":1,"ladder_kb":[100,300,900],"ladder_worth":[0.3,0.7,1],
        "rate_factor":[1,1],"lowest_rung":[0,0],"highest_rung":[2,2],"licence_cap":[0,2],"links_kb":60000,
        "rack_link_kb":60000,"places_by_kind":[200],"weight_kb":20000,"stall":8,"switch_cost_s":0.5,
        "told_late":1,"told_every":2}})");
}

// The tag of subscription n.
inline std::string idOf(int n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", n);
    return text;
}

// A front node's configuration with these media servers, the i-th in cell i; the zones take turns.
inline Json makeConfiguration(const std::vector<net::Endpoint>& servers, const net::Endpoint& listen,
                              const net::Endpoint& changeLog, const Json& settings) {
    Json instances = Json::array();
    for (std::size_t i = 0; i < servers.size(); ++i)
        instances.push_back({{"instanceId", "s-0000000" + std::to_string(i)},
                             {"hostPort", net::toString(servers[i])},
                             {"zone", settings["zones"][i % settings["zones"].size()]},
                             {"machineType", settings["host_types"].back()},
                             {"cell", i},
                             {"lifecycle", "active"},
                             {"weight", 1},
                             {"startedAtMs", 0}});
    return {
        {"name", "n0"},
        {"listen", net::toString(listen)},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
        {"changelog", net::toString(changeLog)},
        {"known",
         {{"seq", 1}, {"results", {{{"seq", 1}, {"fleet", {{"reset", true}, {"instances", instances}}}}}}}},
        {"settings", settings}};
}

// Machines 0 and up: media servers; 10: change log; 11: front node; 12: viewers.
template <class Machines>
struct NodeFixture : Machines {
    std::vector<std::unique_ptr<fakes::PlatformServer>> servers;
    std::unique_ptr<fakes::PlatformChangeLog> changeLog;
    logging::Log logger{"", logging::Level::Error, 1};
    std::unique_ptr<node::Node> front;
    std::unique_ptr<fakes::PlatformConnection> viewer;
    std::map<std::string, std::vector<Json>> messages;  // received by viewers, by tag

    explicit NodeFixture(int count = 3) {
        for (int i = 0; i < count; ++i)
            servers.push_back(std::make_unique<fakes::PlatformServer>(this->machine(i), this->place(i)));
        changeLog = std::make_unique<fakes::PlatformChangeLog>(this->machine(10), this->place(10));
        changeLog->last = 1;
        front = std::make_unique<node::Node>(this->machine(11), "config.json", configuration(), logger);
        viewer = connectViewer();
        this->run(50'000);
    }
    std::string configuration() {
        std::vector<net::Endpoint> endpoints;
        for (const auto& server : servers) endpoints.push_back(server->endpoint());
        return makeConfiguration(endpoints, this->place(11), changeLog->endpoint(), settings()).dump();
    }
    std::unique_ptr<fakes::PlatformConnection> connectViewer() {
        return std::make_unique<fakes::PlatformConnection>(
            this->machine(12), front->endpoint(), [this](fakes::PlatformConnection&, const Json& message) {
                messages[message.value("tag", "")].push_back(message);
            });
    }
    static Json startMessage(int n, const std::string& room = "talk", const std::string& title = "t") {
        return {{"verb", "START"},
                {"tag", idOf(n)},
                {"opts",
                 {{"class", room}, {"left", "3000"}, {"key", title}, {"extras", "home:0;copies:3;top:2"}}},
                {"blob", "offer"}};
    }
    void request(int n, const std::string& room = "talk", const std::string& title = "t") {
        viewer->send(startMessage(n, room, title));
    }
    void sendFinish(int n) {
        viewer->send({{"verb", "FINISH"}, {"tag", idOf(n)}, {"opts", Json::object()}, {"rc", 16}});
    }
    // The responses to subscription n in order, separated by spaces: "+" if it plays, else the cause of a
    // FINISH.
    std::string responses(int n) {
        std::string out;
        for (const Json& message : messages[idOf(n)])
            out += (out.empty() ? "" : " ") +
                   (message["verb"] == "STARTED" ? std::string("+") : std::to_string(message.value("rc", 0)));
        return out;
    }
    // Returns null if none plays it.
    fakes::PlatformServer* serverPlaying(int n) {
        for (const auto& server : servers)
            if (server->playing.count(idOf(n))) return server.get();
        return nullptr;
    }
    // Set-ups of subscription n that media servers received.
    int setupCount(int n) {
        int count = 0;
        for (const auto& server : servers)
            for (const auto& setup : server->setups) count += setup.tag == idOf(n);
        return count;
    }
};

// Each machine has its own address in a virtual network with a virtual clock.
struct VirtualMachines {
    net::VirtualNetwork world{5};
    std::map<int, net::VirtualNode*> nodes;
    net::Net& machine(int n) {
        auto& node = nodes[n];
        if (!node) node = &world.node("m" + std::to_string(n), place(n).ip);
        return *node;
    }
    static net::Endpoint place(int n) {
        return *net::parseEndpoint("10.0.0." + std::to_string(n + 1) + ":5060");
    }
    void run(Micros time) { world.runUntil(world.now() + time); }
};
using VirtualNodeFixture = NodeFixture<VirtualMachines>;

// All on loopback sockets, where the kernel refuses and resets connections.
struct SocketMachines {
    Loop loop;
    net::Net& machine(int) { return loop.net; }
    static net::Endpoint place(int) { return Loop::any(); }
    void run(Micros time) { loop.run(time); }
};

}  // namespace valekeel::nodetest
