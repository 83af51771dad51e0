// A day between stand-ins for the tests of the front node: its parts on machines of a virtual world, or on
// loopback sockets.
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

inline std::string idOf(int n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", n);
    return text;
}

// What the platform tells a front node: media servers at these places, a cell and a zone after the other.
inline Json configurationOf(const std::vector<net::Endpoint>& servers, const net::Endpoint& listen,
                            const net::Endpoint& log, const Json& settings) {
    Json boxes = Json::array();
    for (std::size_t i = 0; i < servers.size(); ++i)
        boxes.push_back({{"instanceId", "s-0000000" + std::to_string(i)},
                         {"hostPort", net::toString(servers[i])},
                         {"zone", settings["zones"][i % settings["zones"].size()]},
                         {"machineType", settings["host_types"].back()},
                         {"cell", i},
                         {"lifecycle", "active"},
                         {"weight", 1},
                         {"startedAtMs", 0}});
    return {{"name", "n0"},
            {"listen", net::toString(listen)},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
            {"changelog", net::toString(log)},
            {"known",
             {{"seq", 1}, {"results", {{{"seq", 1}, {"fleet", {{"reset", true}, {"instances", boxes}}}}}}}},
            {"settings", settings}};
}

template <class Machines>
struct Day : Machines {
    std::vector<std::unique_ptr<fakes::PlatformServer>> servers;
    std::unique_ptr<fakes::PlatformChangeLog> log;
    logging::Log record{"", logging::Level::Error, 1};
    std::unique_ptr<node::Node> front;
    std::unique_ptr<fakes::PlatformConnection> viewers;
    std::map<std::string, std::vector<Json>> heard;

    explicit Day(int count = 3) {
        for (int i = 0; i < count; ++i)
            servers.push_back(std::make_unique<fakes::PlatformServer>(this->machine(i), this->place(i)));
        log = std::make_unique<fakes::PlatformChangeLog>(this->machine(10), this->place(10));
        log->last = 1;
        front = std::make_unique<node::Node>(this->machine(11), "config.json", configuration(), record);
        viewers = line();
        this->run(50'000);
    }
    std::string configuration() {
        std::vector<net::Endpoint> places;
        for (const auto& server : servers) places.push_back(server->endpoint());
        return configurationOf(places, this->place(11), log->endpoint(), settings()).dump();
    }
    std::unique_ptr<fakes::PlatformConnection> line() {
        return std::make_unique<fakes::PlatformConnection>(
            this->machine(12), front->endpoint(),
            [this](fakes::PlatformConnection&, const Json& m) { heard[m.value("tag", "")].push_back(m); });
    }
    static Json start(int n, const std::string& room = "talk", const std::string& title = "t") {
        return {{"verb", "START"},
                {"tag", idOf(n)},
                {"opts",
                 {{"class", room}, {"left", "3000"}, {"key", title}, {"extras", "home:0;copies:3;top:2"}}},
                {"blob", "offer"}};
    }
    void ask(int n, const std::string& room = "talk", const std::string& title = "t") {
        viewers->send(start(n, room, title));
    }
    void end(int n) {
        viewers->send({{"verb", "FINISH"}, {"tag", idOf(n)}, {"opts", Json::object()}, {"rc", 16}});
    }
    // What was said of it: "+" that it plays, a cause of a release, in order.
    std::string said(int n) {
        std::string out;
        for (const Json& m : heard[idOf(n)])
            out += (out.empty() ? "" : " ") +
                   (m["verb"] == "STARTED" ? std::string("+") : std::to_string(m.value("rc", 0)));
        return out;
    }
    fakes::PlatformServer* playerOf(int n) {
        for (const auto& s : servers)
            if (s->playing.count(idOf(n))) return s.get();
        return nullptr;
    }
    int setupsOf(int n) {
        int count = 0;
        for (const auto& s : servers)
            for (const auto& one : s->setups) count += one.tag == idOf(n);
        return count;
    }
};

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
using VirtualDay = Day<VirtualMachines>;

// The same on loopback sockets, where connections really are refused and reset.
struct Sockets {
    Loop loop;
    net::Net& machine(int) { return loop.net; }
    static net::Endpoint place(int) { return Loop::any(); }
    void run(Micros time) { loop.run(time); }
};

}  // namespace valekeel::nodetest
