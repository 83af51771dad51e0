// The command line: valekeel SUBCOMMAND. Parses arguments, assembles the components and returns the exit
// code: 0 success; 1 a rule was violated or a fault was found; 2 invalid arguments or settings; 3 an external
// failure.
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

constexpr int kExitSuccess = 0, kExitFaultFound = 1, kExitInvalidUsage = 2, kExitExternalFailure = 3;
constexpr const char* kVersion = "0.2.0";

std::uint64_t randomSeed() {
    std::random_device device;
    return std::uint64_t{device()} << 32 | device();
}

// Runs a front until it is stopped by a signal. Seed 0 selects a random one.
int serve(const std::string& file, std::uint64_t seed, const std::string& portFile,
          const std::string& decisions, bool withParent) {
    if (withParent) net::killOnParentExit();
    const auto document = settings::Document::fromFile(file);
    net::raiseDescriptorLimit();
    const std::uint64_t effectiveSeed = seed ? seed : randomSeed();
    net::EpollNet net(effectiveSeed);
    const front::ModuleOverride moduleOverride =
        decisions.empty() ? front::ModuleOverride{} : simulation::baseline(decisions);
    front::Front front(net, document, effectiveSeed, static_cast<std::uint64_t>(net.wallNow() / 1000),
                       moduleOverride);
    std::fprintf(stderr, "valekeel: serving on http://%s\n", net::toString(front.http()).c_str());
    if (!portFile.empty()) {
        {
            std::ofstream out(portFile + ".new");
            out << net::toString(front.http()) << "\n";
            if (front.sipFrontend()) out << net::toString(front.sipFrontend()->endpoint()) << "\n";
        }
        std::filesystem::rename(portFile + ".new", portFile);
    }
    int signals = 0;
    net.onSignals({SIGTERM, SIGINT}, [&](int) {
        if (++signals > 1) return net.stop();  // a second signal stops immediately
        std::fprintf(stderr, "valekeel: stopping after pending requests are answered\n");
        front.stop(front.stopTimeout(), [&] { net.stop(); });
    });
    net.run();
    return kExitSuccess;
}

// Runs a front node of the platform. Its only configuration is the file that BALANCER_CONFIG names, which is
// read again on SIGHUP.
int node(const std::string& level) {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path)
        throw std::invalid_argument(
            "the environment variable BALANCER_CONFIG is not set; it must name the configuration file");
    const std::string text = settings::readFile(path);
    net::EpollNet net(node::parseSeed(node::parseConfiguration(path, text)));
    logging::Log log("-", logging::parseLevel(level), 5);
    node::Node frontNode(net, path, text, log);
    net.onSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
        if (signal != SIGHUP) return frontNode.stop([&] { net.stop(); });
        try {
            frontNode.reloadConfiguration(settings::readFile(path));
        } catch (const std::exception& e) {
            // Unreadable or partly written: the current configuration stays in force.
            std::fprintf(stderr, "valekeel: %s\n", e.what());
        }
    });
    std::fprintf(stderr, "valekeel: front node on %s\n", net::toString(frontNode.endpoint()).c_str());
    net.run();
    log.flush();
    return kExitSuccess;
}

// Checks a settings file; prints the effective settings if `print`.
int check(const std::string& file, bool print) {
    const auto document = settings::Document::fromFile(file);
    front::Front::check(document);
    if (print)
        std::cout << document.effectiveText();
    else
        std::cout << file << ": valid\n";
    return kExitSuccess;
}

// Runs simulated media servers on loopback and writes their server list to a file.
int boxes(const std::string& settingsFile, int count, int firstPort, double linkKb,
          const std::string& listFile, const std::string& ledgerFile, Micros duration) {
    const auto document = settings::Document::fromFile(settingsFile);
    settings::NodeReader top(document);
    const Ladder ladder = settings::readLadder(top);
    const settings::RoomTypes rooms = settings::readRoomTypes(top, ladder);
    const settings::Machines machines = settings::readMachines(top);
    net::raiseDescriptorLimit();
    net::EpollNet net(7);
    fakes::Ledger ledger;
    fakes::BoxConfig config;
    config.rungKb = ladder.kb;
    for (const RoomType& r : rooms.types) config.rateFactors[r.name] = r.rateFactor;
    fakes::BoxFleet fleet(net, config, machines.fleet.racks, machines.fleet.uplinkKb, 7, ledger);
    discovery::ServerList serverList;
    serverList.version = 1;
    for (int id = 0; id < count; ++id) {
        auto endpoint = *net::parseEndpoint("127.0.0.1:0");
        if (firstPort > 0) endpoint.port = static_cast<std::uint16_t>(firstPort + id);
        const double link = linkKb > 0 ? linkKb : std::max(1.0, machines.fleet.linkKbPerSize);
        fakes::Box& box =
            fleet.add(id, id % machines.fleet.cells, link, machines.fleet.places.front(), endpoint);
        discovery::ServerListEntry entry;
        entry.sfu.id = SfuId{static_cast<std::uint32_t>(id)};
        entry.sfu.cell = Cell{static_cast<std::uint32_t>(box.cell())};
        entry.endpoint = box.endpoint();
        serverList.servers.push_back(entry);
        std::cerr << "valekeel: box " << id << " on " << net::toString(box.endpoint()) << "\n";
    }
    discovery::saveServerList(listFile, serverList, machines.kinds);
    net.onSignals({SIGTERM, SIGINT}, [&](int) { net.stop(); });
    net::Timer stopTimer(net, [&] { net.stop(); });
    if (duration > 0) stopTimer.after(duration);
    net.run();
    if (!ledgerFile.empty()) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    return kExitSuccess;
}

// Serves a server list as a stream of server-sent events. Polls the file and publishes it when it changes.
int serveList(const std::string& file, const std::string& listen) {
    const auto endpoint = net::parseEndpoint(listen);
    if (!endpoint) throw std::invalid_argument("--listen takes an address and port, such as 127.0.0.1:9000");
    net::EpollNet net(5);
    fakes::Ledger ledger;
    fakes::ListServer server(net, *endpoint, ledger);
    std::string lastText;
    net::Timer pollTimer(net, [&] {
        pollTimer.after(200'000);
        std::ifstream in(file, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        if (text.str() == lastText || text.str().empty()) return;
        lastText = text.str();
        const auto document = settings::Document::fromText(file, lastText);
        settings::NodeReader top(document);
        top.optionalChild("version");
        std::vector<fakes::ListedBox> listed;
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
            listed.push_back(box);
        }
        server.put(listed);
    });
    pollTimer.after(0);
    std::cerr << "valekeel: list on http://" << net::toString(server.endpoint()) << "/boxes\n";
    net.onSignals({SIGTERM, SIGINT}, [&](int) { net.stop(); });
    net.run();
    return kExitSuccess;
}

// Plays a talk with `playerCount` scripted players. Succeeds if all of them were answered with 200.
int play(const std::string& frontText, const std::string& title, const std::string& room, int playerCount,
         Micros watch, const std::string& ledgerFile) {
    const auto front = net::parseEndpoint(frontText);
    if (!front) throw std::invalid_argument("--front takes an address and port, such as 127.0.0.1:8080");
    net::raiseDescriptorLimit();
    net::EpollNet net(11);
    fakes::Ledger ledger;
    std::vector<std::unique_ptr<fakes::Player>> players;
    int active = playerCount;
    for (int i = 0; i < playerCount; ++i) {
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
    std::map<int, int> answersByStatus;  // 0: not answered
    for (const fakes::Line& l : ledger.lines()) {
        if (l.what == "segment") ++segments;
        if (l.what == "answer") ++answersByStatus[l.status];
        if (l.what == "no-answer") ++answersByStatus[0];
    }
    for (const auto& [status, count] : answersByStatus)
        std::cout << (status ? "answered " + std::to_string(status) : std::string("not answered")) << ": "
                  << count << "\n";
    std::cout << "segments played: " << segments << "\n";
    if (!ledgerFile.empty()) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    return answersByStatus.size() == 1 && answersByStatus.begin()->first == 200 ? kExitSuccess
                                                                                : kExitFaultFound;
}

// Options of a drill or rehearsal. Files are not written where their path is empty.
struct PlayOptions {
    std::string file, decisions, folder, ledger, json;
    std::vector<std::string> sets;
    std::uint64_t seed = 0;
    bool real = true, quiet = false;
};

// Plays a scenario and prints the result; fails if a rule was violated. Without a folder, uses a temporary
// one and removes it on success.
int playScenario(const PlayOptions& options) {
    const auto& [file, decisions, givenFolder, ledgerFile, jsonFile, sets, seed, real, quiet] = options;
    std::string folder = givenFolder;
    const std::string text = settings::readFile(file);
    std::vector<std::pair<std::string, std::string>> changes;
    for (const std::string& setting : sets) {
        const auto equals = setting.find('=');
        if (equals == std::string::npos) throw std::invalid_argument("--set takes NODE/NODE@PROPERTY=VALUE");
        changes.emplace_back(setting.substr(0, equals), setting.substr(equals + 1));
    }
    const auto document = settings::Document::fromText(
        file, changes.empty() ? text : simulation::withSettings(file, text, changes));
    simulation::Scenario scenario = simulation::readScenario(document);
    if (seed) scenario.seed = seed;
    const bool isTemporary = folder.empty();
    if (isTemporary)
        folder = (std::filesystem::temp_directory_path() /
                  ("valekeel-drill-" + std::to_string(std::rand()) + "-" +
                   std::to_string(std::chrono::steady_clock::now().time_since_epoch().count())))
                     .string();
    std::filesystem::create_directories(folder);
    simulation::DrillOptions drillOptions;
    drillOptions.real = real;
    drillOptions.program = net::ownProgram();
    drillOptions.folder = folder;
    drillOptions.decisions = decisions;
    if (!quiet)
        drillOptions.say = [](const std::string& message) { std::cerr << "drill: " << message << std::endl; };
    fakes::Ledger ledger;
    const simulation::DrillResult result = simulation::drill(scenario, drillOptions, ledger);
    if (!quiet || jsonFile.empty()) std::cout << simulation::summary(result);
    if (!jsonFile.empty()) {  // written completely or not at all
        std::ofstream(jsonFile + ".new") << simulation::asJson(result);
        std::filesystem::rename(jsonFile + ".new", jsonFile);
    }
    if (!ledgerFile.empty()) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    if (isTemporary && result.breaches.empty())
        std::filesystem::remove_all(folder);
    else
        std::cerr << "drill: settings and logs are kept in " << folder << "\n";
    return result.breaches.empty() ? kExitSuccess : kExitFaultFound;
}

// Runs the cases of an experiment that are not stored yet, unless `reportOnly`, then writes and prints the
// report.
int experimentPlan(const std::string& file, std::string store, std::string out, bool reportOnly) {
    const auto plan = experiment::readPlan(settings::Document::fromFile(file));
    const std::filesystem::path planPath(file);
    experiment::ExperimentOptions experimentOptions;
    experimentOptions.program = net::ownProgram();
    experimentOptions.folder = planPath.has_parent_path() ? planPath.parent_path().string() : ".";
    experimentOptions.out = out.empty() ? plan.name + "-report" : out;
    experimentOptions.store = store.empty() ? plan.name + ".sqlite" : store;
    experimentOptions.commit = VALEKEEL_COMMIT;
    experimentOptions.terminal = ::isatty(STDERR_FILENO) == 1;
    const int failed = reportOnly ? 0 : experiment::carryOut(plan, experimentOptions);
    experiment::report(plan, experimentOptions);
    std::cout << settings::readFile(experimentOptions.out + "/report.md");
    return failed ? kExitFaultFound : kExitSuccess;
}

// Prints a comparison of two cases, from one result store or from two.
int compareCases(const std::string& file, const std::string& store, const std::string& against,
                 const std::string& a, const std::string& b) {
    const auto plan = experiment::readPlan(settings::Document::fromFile(file));
    const std::string storePath = store.empty() ? plan.name + ".sqlite" : store;
    const auto first = experiment::measuresOf(experiment::Store(storePath).of(plan.name));
    const auto second =
        against.empty() ? first : experiment::measuresOf(experiment::Store(against).of(plan.name));
    std::cout << experiment::comparisonTable(first, a, second, b.empty() ? a : b);
    return kExitSuccess;
}

// Prints the kinds of faults that a scenario can schedule.
int listFaultKinds() {
    for (const simulation::FaultKind& k : simulation::faultKinds()) {
        std::string takes;
        for (const std::string& t : k.takes) takes += (takes.empty() ? "" : " ") + t;
        std::printf("%-17s %s\n%-17s takes: %s%s\n", k.name.c_str(), k.what.c_str(), "",
                    takes.empty() ? "-" : takes.c_str(),
                    k.benchName.empty() ? "" : ("; on the bench: " + k.benchName).c_str());
    }
    return kExitSuccess;
}

// Prints the log lines of one request, by its trace id, in order of time, relative to the first line.
int trace(const std::string& id, const std::vector<std::string>& files) {
    struct Step {
        Micros wall;
        std::string text;
    };
    std::vector<Step> steps;
    for (const std::string& file : files) {
        std::ifstream in(file);
        if (!in) throw std::runtime_error(file + ": cannot read the file");
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
        std::cerr << "valekeel: no log line has the trace id " << id << "\n";
        return kExitFaultFound;
    }
    for (const Step& s : steps)
        std::printf("%+10.3f ms  %s\n", static_cast<double>(s.wall - steps.front().wall) / 1000,
                    s.text.c_str());
    return kExitSuccess;
}

// Parses a duration argument. Throws std::invalid_argument.
Micros durationArgument(const std::string& text) {
    const auto t = settings::parseDuration(text);
    if (!t) throw std::invalid_argument("'" + text + "' is not a duration such as 500ms, 20s or 5min");
    return *t;
}

// Defines the subcommands, parses the command line and runs the chosen one. Returns the exit code.
int run(int argc, char** argv) {
    CLI::App app{"valekeel places video sessions on media servers and adapts their bitrate."};
    app.require_subcommand(1);
    app.footer("Example: valekeel serve deploy/example/site.kdl");
    std::function<int()> command;

    std::string file, portFile, decisions, listFile = "boxes.kdl", ledger, frontText = "127.0.0.1:8080",
                                           title, room;
    std::string folder, listen = "127.0.0.1:9000", id, watch = "10s", runFor = "0s";
    std::string json, store, out, against, logLevel = "info";
    std::vector<std::string> files, sets;
    std::uint64_t seed = 0;
    bool real = false;
    int count = 3, port = 0, players = 1;
    double linkKb = 0;
    bool withParent = false;
    bool print = false, quiet = false, list = false;

    auto* serveCommand = app.add_subcommand("serve", "run a front until SIGTERM or SIGINT");
    serveCommand->add_option("settings", file, "settings file, in KDL")->required();
    serveCommand->add_option("--seed", seed, "seed of the random generator; default: 0, a random one");
    serveCommand->add_option(
        "--port-file", portFile,
        "file to write with the addresses (HTTP, then SIP) once the front listens; default: none");
    serveCommand
        ->add_option("--decisions", decisions,
                     "baseline in place of the decision module, for drills: random or least-load")
        ->group("");
    serveCommand->footer("Example: valekeel serve deploy/example/site.kdl");
    serveCommand->add_flag("--with-parent", withParent,
                           "kill this process when the process that started it ends");
    serveCommand->callback(
        [&] { command = [&] { return serve(file, seed, portFile, decisions, withParent); }; });

    auto* checkCommand = app.add_subcommand("check", "check a settings file without starting anything");
    checkCommand->add_option("settings", file, "settings file, in KDL")->required();
    checkCommand->add_flag("--print", print, "print the effective settings, with all defaults");
    checkCommand->footer("Example: valekeel check deploy/example/site.kdl");
    checkCommand->callback([&] { command = [&] { return check(file, print); }; });

    auto* boxCommand =
        app.add_subcommand("box", "run simulated media servers on loopback and write their server list");
    boxCommand->add_option("settings", file, "settings file of the site, in KDL")->required();
    boxCommand->add_option("--count", count, "number of media servers; default: 3")
        ->check(CLI::Range(1, 10'000));
    boxCommand->add_option("--port", port,
                           "TCP port of the first server, the others follow; default: 0, any free ports");
    boxCommand->add_option("--link-kb", linkKb,
                           "link rate of each server in kB/s; default: 0, the settings' link-kb-per-size");
    boxCommand->add_option("--list", listFile, "file to write the server list to; default: boxes.kdl");
    boxCommand->add_option("--ledger", ledger, "file to write the event ledger to at the end; default: none");
    boxCommand->add_option("--for", runFor, "duration of the run, such as 30s; default: 0s, until stopped");
    boxCommand->footer("Example: valekeel box deploy/example/site.kdl --count 3 --list boxes.kdl");
    boxCommand->callback([&] {
        command = [&] {
            return boxes(file, count, port, linkKb, listFile, ledger, durationArgument(runFor));
        };
    });

    auto* listCommand = app.add_subcommand(
        "list", "serve a server list as an event stream, from a file that is polled for changes");
    listCommand->add_option("file", file, "server list, in KDL")->required();
    listCommand->add_option("--listen", listen, "address and port to listen on; default: 127.0.0.1:9000");
    listCommand->footer("Example: valekeel list boxes.kdl --listen 127.0.0.1:9000");
    listCommand->callback([&] { command = [&] { return serveList(file, listen); }; });

    auto* nodeCommand = app.add_subcommand("node",
                                           "run as a front node of the platform; the environment variable "
                                           "BALANCER_CONFIG names its configuration file");
    nodeCommand
        ->add_option("--log", logLevel, "lowest level to log: debug, info, warning or error; default: info")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
    nodeCommand->footer("Example: BALANCER_CONFIG=config.json valekeel node");
    nodeCommand->callback([&] { command = [&] { return node(logLevel); }; });

    auto* playCommand = app.add_subcommand("play", "play a talk with scripted players");
    playCommand->add_option("title", title, "title of the talk")->required();
    playCommand->add_option("--front", frontText,
                            "HTTP address and port of the front; default: 127.0.0.1:8080");
    playCommand->add_option("--room", room, "room type")->required();
    playCommand->add_option("--players", players, "number of players; default: 1")
        ->check(CLI::Range(1, 100'000));
    playCommand->add_option("--watch", watch, "how long each player watches; default: 10s");
    playCommand->add_option("--ledger", ledger,
                            "file to write the event ledger to at the end; default: none");
    playCommand->footer("Example: valekeel play keynote --room release-talk --watch 5s");
    playCommand->callback([&] {
        command = [&] { return play(frontText, title, room, players, durationArgument(watch), ledger); };
    });

    auto* drillCommand =
        app.add_subcommand("drill", "play a scenario against front processes and check the rules");
    drillCommand->add_option("day", file, "scenario file, in KDL");
    drillCommand->add_flag("--list", list,
                           "print the kinds of faults that a scenario can schedule, and exit");
    drillCommand
        ->add_option("--decisions", decisions,
                     "baseline in place of the decision module: random or least-load; default: none")
        ->check(CLI::IsMember({"random", "least-load"}));
    drillCommand->add_option(
        "--folder", folder,
        "folder for settings and logs, which is kept; default: a temporary one, kept on failure");
    drillCommand->add_option("--ledger", ledger,
                             "file to write the event ledger to at the end; default: none");
    drillCommand->add_flag("--quiet", quiet, "print only the result");
    drillCommand->footer("Example: valekeel drill days/bad.kdl");
    drillCommand->callback([&] {
        command = [&] {
            if (list) return listFaultKinds();
            if (file.empty()) throw std::invalid_argument("drill needs a scenario file or --list");
            return playScenario({file, decisions, folder, ledger, json, sets, seed, true, quiet});
        };
    });

    auto* rehearseCommand =
        app.add_subcommand("rehearse", "play a scenario on a virtual clock, as fast as the CPU allows");
    rehearseCommand->add_option("day", file, "scenario file, in KDL")->required();
    rehearseCommand->add_option("--seed", seed,
                                "seed of the random generator; default: 0, the scenario's own");
    rehearseCommand
        ->add_option("--set", sets,
                     "change a setting of the scenario: NODE/NODE@PROPERTY=VALUE; may be repeated")
        ->take_all();
    rehearseCommand->add_flag("--real", real, "use sockets, the real clock and front processes instead");
    rehearseCommand
        ->add_option("--decisions", decisions,
                     "baseline in place of the decision module: random or least-load; default: none")
        ->check(CLI::IsMember({"random", "least-load"}));
    rehearseCommand->add_option(
        "--folder", folder,
        "folder for settings and logs, which is kept; default: a temporary one, kept on failure");
    rehearseCommand->add_option("--ledger", ledger,
                                "file to write the event ledger to at the end; default: none");
    rehearseCommand->add_option("--json", json, "file to write the result to, as JSON; default: none");
    rehearseCommand->add_flag("--quiet", quiet, "print only the result");
    rehearseCommand->footer("Example: valekeel rehearse days/crowd.kdl --set audience@rate=20");
    rehearseCommand->callback([&] {
        command = [&] {
            return playScenario({file, decisions, folder, ledger, json, sets, seed, real, quiet});
        };
    });

    auto* experimentCommand = app.add_subcommand(
        "experiment", "play scenarios over factors and seeds, store every result and write a report");
    experimentCommand->add_option("plan", file, "experiment plan, in KDL")->required();
    experimentCommand->add_option("--store", store, "SQLite file of the results; default: NAME.sqlite");
    experimentCommand->add_option("--out", out, "folder of the report; default: NAME-report");
    experimentCommand->add_flag("--report-only", print, "run nothing; report the stored results");
    experimentCommand->footer("Example: valekeel experiment docs/experiments/link.kdl");
    experimentCommand->callback([&] { command = [&] { return experimentPlan(file, store, out, print); }; });

    auto* compareCommand = app.add_subcommand(
        "compare", "compare two cases and test whether their difference exceeds the noise");
    compareCommand->add_option("plan", file, "experiment plan, in KDL")->required();
    compareCommand->add_option("a", title, "first case, as named in the report")->required();
    compareCommand->add_option("b", room, "second case; default: the first one, in --against");
    compareCommand->add_option("--store", store, "SQLite file of the results; default: NAME.sqlite");
    compareCommand->add_option("--against", against,
                               "SQLite file of the second case's results; default: that of --store");
    compareCommand->footer("Example: valekeel compare docs/experiments/retry.kdl \"told no\" \"told yes\"");
    compareCommand->callback(
        [&] { command = [&] { return compareCases(file, store, against, title, room); }; });

    auto* traceCommand = app.add_subcommand("trace", "print the log lines of one request, in order of time");
    traceCommand->add_option("id", id, "trace id or a prefix of it")->required();
    traceCommand->add_option("logs", files, "log files of fronts")->required();
    traceCommand->footer("Example: valekeel trace 4bf92f3577b34da6 front.log");
    traceCommand->callback([&] { command = [&] { return trace(id, files); }; });

    app.add_subcommand("version", "print the version")->callback([&] {
        command = [&] {
            std::cout << "valekeel " << kVersion << "\n";
            return kExitSuccess;
        };
    });

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kExitSuccess : kExitInvalidUsage;
    }
    try {
        return command();
    } catch (const settings::SettingsError& e) {
        std::cerr << e.what() << "\n";
        return kExitInvalidUsage;
    } catch (const std::invalid_argument& e) {
        std::cerr << "valekeel: " << e.what() << "\n";
        return kExitInvalidUsage;
    } catch (const std::exception& e) {
        std::cerr << "valekeel: " << e.what() << "\n";
        return kExitExternalFailure;
    }
}

}  // namespace
}  // namespace valekeel::cli

int main(int argc, char** argv) {
    return valekeel::cli::run(argc, argv);
}
