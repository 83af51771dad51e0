// What the benchmarks of a whole front stand on: a front as a process of its own, with eight stand-in boxes
// and their list in this one.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "fakes/box.hpp"
#include "fakes/list_server.hpp"
#include "net/epoll.hpp"
#include "net/process.hpp"

namespace valekeel {

struct Stage {
    net::EpollNet net{1};
    fakes::Ledger ledger;
    fakes::BoxConfig make;
    std::unique_ptr<fakes::BoxFleet> fleet;
    std::unique_ptr<fakes::ListServer> list;
    std::filesystem::path folder;
    net::Process front;
    net::Endpoint at, sip;

    Stage(double kb, Micros setUp, const std::string& viewers, const std::string& more = "",
          int places = 1'000'000, const std::string& admission = "waiting=100000 connections-each=200000") {
        net::raiseDescriptorLimit();
        folder = std::filesystem::temp_directory_path() / ("valekeel-bench-" + std::to_string(net.now()));
        std::filesystem::create_directories(folder);
        make.rungKb = {kb};
        make.rateFactors = {{"open", 1}};
        make.setUp = setUp;
        make.setUpsAtOnce = 10'000;
        make.segments = 100;
        make.forgetAfter = 600 * kSecond;
        fleet = std::make_unique<fakes::BoxFleet>(net, make, 1, 0, 1, ledger);
        list = std::make_unique<fakes::ListServer>(net, *net::parseEndpoint("127.0.0.1:0"), ledger);
        for (int i = 0; i < 8; ++i) {
            auto& box = fleet->add(i, i, 1e9, places, *net::parseEndpoint("127.0.0.1:0"));
            fakes::ListedBox listed;
            listed.id = i;
            listed.cell = i;
            listed.at = net::toString(box.endpoint());
            listed.kind = "k";
            list->put({listed});
        }
        const auto file = folder / "front.kdl";
        std::ofstream(file)
            << "front \"bench\"\nhttp listen=\"127.0.0.1:0\" connections=200000 idle-for=\"600s\"\n"
               "ladder { rung kb="
            << kb
            << " worth=1; }\n"
               "room-type \"open\" client-timeout=\"10s\" join-objective=\"5s\"\n"
               "fleet cells=8 links-kb=8000000000 link-kb-per-size=1000000000 { kind \"k\" places="
            << places
            << "; }\n"
               "list stream=\""
            << net::toString(list->endpoint())
            << "\" path=\"/boxes?front=bench\"\n"
               "log level=\"error\"\nadmission "
            << admission
            << "\n"
               "boxes connections=2000\n"
               "viewers "
            << viewers << "\ntalk \"t\" holders=8\n"
            << more;
        const std::string port = (folder / "port").string();
        front = net::Process(
            {VALEKEEL_PROGRAM, "serve", file.string(), "--port-file", port, "--seed", "1", "--with-parent"});
        at = waitFor(port);
        std::ifstream in(port);
        std::string text;
        std::getline(in, text);
        if (std::getline(in, text))
            if (const auto e = net::parseEndpoint(text)) sip = *e;
        turn(kSecond);
    }
    ~Stage() {
        front.kill();
        std::filesystem::remove_all(folder);
    }
    net::Endpoint waitFor(const std::string& port) {
        for (int i = 0; i < 500; ++i) {
            std::ifstream in(port);
            std::string text;
            if (std::getline(in, text))
                if (const auto e = net::parseEndpoint(text)) return *e;
            net.runOnce(10'000);
        }
        std::fprintf(stderr, "the front did not start\n");
        std::exit(3);
    }
    void turn(Micros time) {
        const Micros end = net.now() + time;
        while (net.now() < end) net.runOnce(std::min<Micros>(20'000, end - net.now()));
    }
};

}  // namespace valekeel
