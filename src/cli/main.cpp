// valekeel SUBCOMMAND: arguments, exit codes, and putting the parts together. Exit codes: 0 done; 1 a rule
// was broken or something was found wrong; 2 the call or the settings are wrong; 3 something outside failed.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "experiment/experiment.hpp"
#include "fakes/list_server.hpp"
#include "front/front.hpp"
#include "net/epoll.hpp"
#include "net/process.hpp"
#include "node/node.hpp"
#include "simulation/baselines.hpp"
#include "simulation/drill.hpp"

namespace valekeel::cli {
namespace {

constexpr int kDone = 0, kFound = 1, kWrongCall = 2, kOutside = 3;
constexpr const char* kVersion = "0.2.0";

std::uint64_t someSeed() {
    std::random_device chance;
    return std::uint64_t{chance()} << 32 | chance();
}

int serve(const std::string& file, std::uint64_t seed, const std::string& portFile,
          const std::string& decisions, bool withParent) {
    if (withParent) net::killOnParentExit();
    const auto document = settings::Document::fromFile(file);
    net::raiseDescriptorLimit();
    const std::uint64_t used = seed ? seed : someSeed();
    net::EpollNet real(used);
    const front::ModuleOverride other =
        decisions.empty() ? front::ModuleOverride{} : simulation::baseline(decisions);
    front::Front front(real, document, used, static_cast<std::uint64_t>(real.wallNow() / 1000), other);
    std::fprintf(stderr, "valekeel: serving on http://%s\n", net::toString(front.http()).c_str());
    if (!portFile.empty()) {
        {
            std::ofstream out(portFile + ".new");
            out << net::toString(front.http()) << "\n";
            if (front.sipFrontend()) out << net::toString(front.sipFrontend()->endpoint()) << "\n";
        }
        std::filesystem::rename(portFile + ".new", portFile);
    }
    int stops = 0;
    real.onSignals({SIGTERM, SIGINT}, [&](int) {
        if (++stops > 1) return real.stop();  // asked twice: at once
        std::fprintf(stderr, "valekeel: stopping; what was taken is answered first\n");
        front.stop(front.stopTimeout(), [&] { real.stop(); });
    });
    real.run();
    return kDone;
}

// A front node on the platform: told by its environment, and by nothing else.
int node(const std::string& level) {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path) throw std::invalid_argument("BALANCER_CONFIG names no file");
    const std::string text = settings::readFile(path);
    net::EpollNet real(node::parseSeed(node::parseConfiguration(path, text)));
    logging::Log log("-", logging::parseLevel(level), 5);
    node::Node front(real, path, text, log);
    real.onSignals({SIGTERM, SIGINT, SIGHUP}, [&](int which) {
        if (which != SIGHUP) return front.stop([&] { real.stop(); });
        try {
            front.reloadConfiguration(settings::readFile(path));
        } catch (const std::exception& e) {  // half way through being replaced: the one held applies
            std::fprintf(stderr, "valekeel: %s\n", e.what());
        }
    });
    std::fprintf(stderr, "valekeel: front node on %s\n", net::toString(front.endpoint()).c_str());
    real.run();
    log.flush();
    return kDone;
}

int check(const std::string& file, bool print) {
    const auto document = settings::Document::fromFile(file);
    front::Front::check(document);
    if (print)
        std::cout << document.effectiveText();
    else
        std::cout << file << ": in order\n";
    return kDone;
}

// Boxes as stand-ins, with their list beside them as a file.
int boxes(const std::string& site, int count, int firstPort, double linkKb, const std::string& listFile,
          const std::string& ledgerFile, Micros length) {
    const auto document = settings::Document::fromFile(site);
    settings::NodeReader top(document);
    const Ladder ladder = settings::readLadder(top);
    const settings::RoomTypes rooms = settings::readRoomTypes(top, ladder);
    const settings::Machines machines = settings::readMachines(top);
    net::raiseDescriptorLimit();
    net::EpollNet net(7);
    fakes::Ledger ledger;
    fakes::BoxConfig make;
    make.rungKb = ladder.kb;
    for (const RoomType& r : rooms.types) make.rateFactors[r.name] = r.rateFactor;
    fakes::BoxFleet fleet(net, make, machines.fleet.racks, machines.fleet.uplinkKb, 7, ledger);
    discovery::ServerList told;
    told.version = 1;
    for (int id = 0; id < count; ++id) {
        auto at = *net::parseEndpoint("127.0.0.1:0");
        if (firstPort > 0) at.port = static_cast<std::uint16_t>(firstPort + id);
        const double link = linkKb > 0 ? linkKb : std::max(1.0, machines.fleet.linkKbPerSize);
        fakes::Box& box = fleet.add(id, id % machines.fleet.cells, link, machines.fleet.places.front(), at);
        discovery::ServerListEntry line;
        line.sfu.id = SfuId{static_cast<std::uint32_t>(id)};
        line.sfu.cell = Cell{static_cast<std::uint32_t>(box.cell())};
        line.endpoint = box.endpoint();
        told.servers.push_back(line);
        std::cerr << "valekeel: box " << id << " on " << net::toString(box.endpoint()) << "\n";
    }
    discovery::saveServerList(listFile, told, machines.kinds);
    net.onSignals({SIGTERM, SIGINT}, [&](int) { net.stop(); });
    net::Timer end(net, [&] { net.stop(); });
    if (length > 0) end.after(length);
    net.run();
    if (!ledgerFile.empty()) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    return kDone;
}

// The list as a stream of server-sent events, out of a file in the list's own form.
int serveList(const std::string& file, const std::string& listen) {
    const auto at = net::parseEndpoint(listen);
    if (!at) throw std::invalid_argument("--listen takes an address and port, as 127.0.0.1:9000");
    net::EpollNet net(5);
    fakes::Ledger ledger;
    fakes::ListServer server(net, *at, ledger);
    std::string last;
    net::Timer look(net, [&] {
        look.after(200'000);
        std::ifstream in(file, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        if (text.str() == last || text.str().empty()) return;
        last = text.str();
        const auto document = settings::Document::fromText(file, last);
        settings::NodeReader top(document);
        top.optionalChild("version");
        std::vector<fakes::ListedBox> all;
        for (settings::NodeReader& node : top.childrenNamed("box")) {
            fakes::ListedBox box;
            box.id = static_cast<int>(node.numbers("a box's number", 0, 1e9).front());
            box.at = node.text("at", "");
            box.standing = node.choice("standing", {"on", "fading", "off"}, "on");
            box.cell = static_cast<int>(node.integer("cell", 0, 1'000'000, 0));
            box.kind = node.text("kind", "");
            box.size = node.number("size", 0.001, 1e6, 1);
            box.launchedWall = node.integer("launched-us", 0, 4'000'000'000'000'000, 0);
            node.rejectUnread();
            all.push_back(box);
        }
        server.put(all);
    });
    look.after(0);
    std::cerr << "valekeel: list on http://" << net::toString(server.endpoint()) << "/boxes\n";
    net.onSignals({SIGTERM, SIGINT}, [&](int) { net.stop(); });
    net.run();
    return kDone;
}

int play(const std::string& frontText, const std::string& title, const std::string& room, int count,
         Micros watch, const std::string& ledgerFile) {
    const auto front = net::parseEndpoint(frontText);
    if (!front) throw std::invalid_argument("--front takes an address and port, as 127.0.0.1:8080");
    net::raiseDescriptorLimit();
    net::EpollNet net(11);
    fakes::Ledger ledger;
    std::vector<std::unique_ptr<fakes::Player>> players;
    int active = count;
    for (int i = 0; i < count; ++i) {
        fakes::PlayerPlan plan;
        plan.title = title;
        plan.room.name = room;
        plan.room.clientTimeout = 5 * kSecond;
        plan.watch = watch;
        players.push_back(std::make_unique<fakes::Player>(
            net, i, plan,
            [&] {
                return fakes::Player::FrontAt{"front", *front};
            },
            100 + i, std::vector<double>{}, ledger,
            [&](fakes::Player&) {
                if (--active == 0) net.stop();
            }));
        players.back()->start();
    }
    if (active > 0) net.run();
    std::uint64_t segments = 0;
    std::map<int, int> answers;
    for (const fakes::Line& l : ledger.lines()) {
        if (l.what == "segment") ++segments;
        if (l.what == "answer") ++answers[l.status];
        if (l.what == "no-answer") ++answers[0];
    }
    for (const auto& [status, many] : answers)
        std::cout << (status ? "answered " + std::to_string(status) : std::string("not answered")) << ": "
                  << many << "\n";
    std::cout << "segments played: " << segments << "\n";
    if (!ledgerFile.empty()) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    return answers.size() == 1 && answers.begin()->first == 200 ? kDone : kFound;
}

struct Played {  // how a day is to be played
    std::string file, decisions, folder, ledger, json;
    std::vector<std::string> sets;
    std::uint64_t seed = 0;
    bool real = true, quiet = false;
};

int playDay(const Played& how) {
    const auto& [file, decisions, given, ledgerFile, jsonFile, sets, seed, real, quiet] = how;
    std::string folder = given;
    const std::string text = settings::readFile(file);
    std::vector<std::pair<std::string, std::string>> changes;
    for (const std::string& one : sets) {
        const auto equals = one.find('=');
        if (equals == std::string::npos) throw std::invalid_argument("--set takes NODE/NODE@PROPERTY=VALUE");
        changes.emplace_back(one.substr(0, equals), one.substr(equals + 1));
    }
    const auto document = settings::Document::fromText(
        file, changes.empty() ? text : simulation::withSettings(file, text, changes));
    simulation::Scenario day = simulation::readScenario(document);
    if (seed) day.seed = seed;
    const bool own = folder.empty();
    if (own)
        folder = (std::filesystem::temp_directory_path() /
                  ("valekeel-drill-" + std::to_string(std::rand()) + "-" +
                   std::to_string(std::chrono::steady_clock::now().time_since_epoch().count())))
                     .string();
    std::filesystem::create_directories(folder);
    simulation::DrillOptions ways;
    ways.real = real;
    ways.program = net::ownProgram();
    ways.folder = folder;
    ways.decisions = decisions;
    if (!quiet) ways.say = [](const std::string& words) { std::cerr << "drill: " << words << std::endl; };
    fakes::Ledger ledger;
    const simulation::DrillResult result = simulation::drill(day, ways, ledger);
    if (!quiet || jsonFile.empty()) std::cout << simulation::summary(result);
    if (!jsonFile.empty()) {  // whole or not at all
        std::ofstream(jsonFile + ".new") << simulation::asJson(result);
        std::filesystem::rename(jsonFile + ".new", jsonFile);
    }
    if (!ledgerFile.empty()) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    if (own && result.breaches.empty())
        std::filesystem::remove_all(folder);
    else
        std::cerr << "drill: settings and logs are in " << folder << "\n";
    return result.breaches.empty() ? kDone : kFound;
}

int experimentPlan(const std::string& file, std::string store, std::string out, bool reportOnly) {
    const auto plan = experiment::readPlan(settings::Document::fromFile(file));
    const std::filesystem::path place(file);
    experiment::ExperimentOptions ways;
    ways.program = net::ownProgram();
    ways.folder = place.has_parent_path() ? place.parent_path().string() : ".";
    ways.out = out.empty() ? plan.name + "-report" : out;
    ways.store = store.empty() ? plan.name + ".sqlite" : store;
    ways.commit = VALEKEEL_COMMIT;
    ways.terminal = ::isatty(STDERR_FILENO) == 1;
    const int failed = reportOnly ? 0 : experiment::carryOut(plan, ways);
    experiment::report(plan, ways);
    std::cout << settings::readFile(ways.out + "/report.md");
    return failed ? kFound : kDone;
}

int compareCases(const std::string& file, const std::string& store, const std::string& against,
                 const std::string& a, const std::string& b) {
    const auto plan = experiment::readPlan(settings::Document::fromFile(file));
    const std::string here = store.empty() ? plan.name + ".sqlite" : store;
    const auto first = experiment::measuresOf(experiment::Store(here).of(plan.name));
    const auto second =
        against.empty() ? first : experiment::measuresOf(experiment::Store(against).of(plan.name));
    std::cout << experiment::comparisonTable(first, a, second, b.empty() ? a : b);
    return kDone;
}

int listTroubles() {
    for (const simulation::FaultKind& k : simulation::faultKinds()) {
        std::string takes;
        for (const std::string& t : k.takes) takes += (takes.empty() ? "" : " ") + t;
        std::printf("%-17s %s\n%-17s takes: %s%s\n", k.name.c_str(), k.what.c_str(), "",
                    takes.empty() ? "-" : takes.c_str(),
                    k.benchName.empty() ? "" : ("; on the bench: " + k.benchName).c_str());
    }
    return kDone;
}

// The way of one request, out of structured logs.
int trace(const std::string& id, const std::vector<std::string>& files) {
    struct Step {
        Micros wall;
        std::string text;
    };
    std::vector<Step> steps;
    for (const std::string& file : files) {
        std::ifstream in(file);
        if (!in) throw std::runtime_error(file + ": cannot be read");
        std::string text, front = file;
        while (std::getline(in, text)) {
            const auto j = nlohmann::json::parse(text, nullptr, false);
            if (!j.is_object()) continue;
            if (j.value("what", "") == "started") front = j.value("front", file);
            if (j.value("trace", "").compare(0, id.size(), id) != 0 || !j.contains("trace")) continue;
            std::string out = front + "  " + j.value("what", "");
            for (const auto& [key, value] : j.items()) {
                if (key == "t" || key == "wall" || key == "level" || key == "what" || key == "trace")
                    continue;
                out += "  " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
            }
            steps.push_back({j.value("wall", Micros{0}), out});
        }
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step& a, const Step& b) { return a.wall < b.wall; });
    if (steps.empty()) {
        std::cerr << "valekeel: no line names trace " << id << "\n";
        return kFound;
    }
    for (const Step& s : steps)
        std::printf("%+10.3f ms  %s\n", static_cast<double>(s.wall - steps.front().wall) / 1000,
                    s.text.c_str());
    return kDone;
}

Micros timeArgument(const std::string& text) {
    const auto t = settings::parseDuration(text);
    if (!t) throw std::invalid_argument("'" + text + "' is no time: 500ms, 20s and 5min are");
    return *t;
}

int run(int argc, char** argv) {
    CLI::App app{"valekeel places and shapes video sessions on streaming servers."};
    app.require_subcommand(1);
    app.footer("Example: valekeel serve deploy/example/site.kdl");
    std::function<int()> chosen;

    std::string file, portFile, decisions, listFile = "boxes.kdl", ledger, frontText = "127.0.0.1:8080",
                                           title, room;
    std::string folder, listen = "127.0.0.1:9000", id, watch = "10s", lasts = "0s";
    std::string json, store, out, against, logLevel = "info";
    std::vector<std::string> files, sets;
    std::uint64_t seed = 0;
    bool real = false;
    int count = 3, port = 0, players = 1;
    double linkKb = 0;
    bool withParent = false;
    bool print = false, quiet = false, list = false;

    auto* s = app.add_subcommand("serve", "run a front");
    s->add_option("settings", file, "its settings, in KDL")->required();
    s->add_option("--seed", seed, "of its chance; drawn where it is not given");
    s->add_option("--port-file", portFile, "written with its address once it listens");
    s->add_option("--decisions", decisions, "a baseline in place of the module, for drills")->group("");
    s->footer("Example: valekeel serve deploy/example/site.kdl");
    s->add_flag("--with-parent", withParent, "killed when the process that started it ends");
    s->callback([&] { chosen = [&] { return serve(file, seed, portFile, decisions, withParent); }; });

    auto* c = app.add_subcommand("check", "check settings, and start nothing");
    c->add_option("settings", file, "in KDL")->required();
    c->add_flag("--print", print, "print what is in force, defaults and all");
    c->footer("Example: valekeel check deploy/example/site.kdl");
    c->callback([&] { chosen = [&] { return check(file, print); }; });

    auto* b = app.add_subcommand("box", "run stand-in boxes on loopback, and write their list");
    b->add_option("settings", file, "of the site they belong to")->required();
    b->add_option("--count", count, "of boxes")->check(CLI::Range(1, 10'000));
    b->add_option("--port", port, "of the first; 0: any");
    b->add_option("--link-kb", linkKb, "kB a second of each link");
    b->add_option("--list", listFile, "where their list is written");
    b->add_option("--ledger", ledger, "written at the end");
    b->add_option("--for", lasts, "how long; 0s: until stopped");
    b->footer("Example: valekeel box deploy/example/site.kdl --count 3 --list boxes.kdl");
    b->callback([&] {
        chosen = [&] { return boxes(file, count, port, linkKb, listFile, ledger, timeArgument(lasts)); };
    });

    auto* l = app.add_subcommand("list", "serve a list of boxes as a stream, from a file that is watched");
    l->add_option("file", file, "the list, in KDL")->required();
    l->add_option("--listen", listen, "address and port");
    l->footer("Example: valekeel list boxes.kdl --listen 127.0.0.1:9000");
    l->callback([&] { chosen = [&] { return serveList(file, listen); }; });

    auto* n = app.add_subcommand("node", "run as a front node of the platform, told by BALANCER_CONFIG");
    n->add_option("--log", logLevel, "debug, info, warning or error")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
    n->footer("Example: BALANCER_CONFIG=config.json valekeel node");
    n->callback([&] { chosen = [&] { return node(logLevel); }; });

    auto* p = app.add_subcommand("play", "play a talk with scripted players");
    p->add_option("title", title, "of the talk")->required();
    p->add_option("--front", frontText, "address and port");
    p->add_option("--room", room, "room type")->required();
    p->add_option("--players", players, "how many")->check(CLI::Range(1, 100'000));
    p->add_option("--watch", watch, "how long");
    p->add_option("--ledger", ledger, "written at the end");
    p->footer("Example: valekeel play keynote --room release-talk --watch 5s");
    p->callback(
        [&] { chosen = [&] { return play(frontText, title, room, players, timeArgument(watch), ledger); }; });

    auto* d = app.add_subcommand("drill", "play a scripted day against real fronts, and judge the rules");
    d->add_option("day", file, "the day, in KDL");
    d->add_flag("--list", list, "show the kinds of trouble");
    d->add_option("--decisions", decisions, "random or least-load, in place of the module")
        ->check(CLI::IsMember({"random", "least-load"}));
    d->add_option("--folder", folder, "for settings and logs; kept");
    d->add_option("--ledger", ledger, "written at the end");
    d->add_flag("--quiet", quiet, "only the result");
    d->footer("Example: valekeel drill days/bad.kdl");
    d->callback([&] {
        chosen = [&] {
            if (list) return listTroubles();
            if (file.empty()) throw std::invalid_argument("drill needs a day, or --list");
            return playDay({file, decisions, folder, ledger, json, sets, seed, true, quiet});
        };
    });

    auto* r = app.add_subcommand("rehearse", "play a day on a virtual clock, as fast as the CPU goes");
    r->add_option("day", file, "the day, in KDL")->required();
    r->add_option("--seed", seed, "in place of the day's own");
    r->add_option("--set", sets, "change a setting of the day: NODE/NODE@PROPERTY=VALUE")->take_all();
    r->add_flag("--real", real, "on sockets and the real clock, fronts as processes");
    r->add_option("--decisions", decisions, "random or least-load, in place of the module")
        ->check(CLI::IsMember({"random", "least-load"}));
    r->add_option("--folder", folder, "for settings and logs; kept");
    r->add_option("--ledger", ledger, "written at the end");
    r->add_option("--json", json, "the result, for a program");
    r->add_flag("--quiet", quiet, "only the result");
    r->footer("Example: valekeel rehearse days/crowd.kdl --set audience@rate=20");
    r->callback([&] {
        chosen = [&] { return playDay({file, decisions, folder, ledger, json, sets, seed, real, quiet}); };
    });

    auto* e =
        app.add_subcommand("experiment", "play days over factors and seeds, keep every result, and report");
    e->add_option("plan", file, "in KDL")->required();
    e->add_option("--store", store, "where results are kept; NAME.sqlite where none is given");
    e->add_option("--out", out, "folder of the report; NAME-report where none is given");
    e->add_flag("--report-only", print, "run nothing, report what is kept");
    e->footer("Example: valekeel experiment docs/experiments/link.kdl");
    e->callback([&] { chosen = [&] { return experimentPlan(file, store, out, print); }; });

    auto* m = app.add_subcommand("compare", "tell a difference between two cases from noise");
    m->add_option("plan", file, "in KDL")->required();
    m->add_option("a", title, "a case, as the report names it")->required();
    m->add_option("b", room, "another; or the same one in --against");
    m->add_option("--store", store, "where results are kept");
    m->add_option("--against", against, "another file of results, for B");
    m->footer("Example: valekeel compare docs/experiments/retry.kdl \"told no\" \"told yes\"");
    m->callback([&] { chosen = [&] { return compareCases(file, store, against, title, room); }; });

    auto* t = app.add_subcommand("trace", "print the way of one request, out of logs");
    t->add_option("id", id, "trace id, or its beginning")->required();
    t->add_option("logs", files, "of fronts")->required();
    t->footer("Example: valekeel trace 4bf92f3577b34da6 front.log");
    t->callback([&] { chosen = [&] { return trace(id, files); }; });

    app.add_subcommand("version", "print the version")->callback([&] {
        chosen = [&] {
            std::cout << "valekeel " << kVersion << "\n";
            return kDone;
        };
    });

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kDone : kWrongCall;
    }
    try {
        return chosen();
    } catch (const settings::SettingsError& e) {
        std::cerr << e.what() << "\n";
        return kWrongCall;
    } catch (const std::invalid_argument& e) {
        std::cerr << "valekeel: " << e.what() << "\n";
        return kWrongCall;
    } catch (const std::exception& e) {
        std::cerr << "valekeel: " << e.what() << "\n";
        return kOutside;
    }
}

}  // namespace
}  // namespace valekeel::cli

int main(int argc, char** argv) {
    return valekeel::cli::run(argc, argv);
}
