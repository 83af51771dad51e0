#include "experiment/experiment.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>

#include "charts/charts.hpp"
#include "net/epoll.hpp"
#include "net/process.hpp"
#include "simulation/scenario.hpp"

namespace valekeel::experiment {
namespace {

double loadNow() {
    double load[1] = {0};
    return ::getloadavg(load, 1) == 1 ? load[0] : 0;
}

std::string rounded(double v) {
    std::ostringstream out;
    const double size = std::abs(v);
    out << std::fixed << std::setprecision(size >= 1'000 ? 0 : size >= 10 ? 1 : 3) << v;
    return out.str();
}

std::string fileName(std::string text) {
    for (char& c : text)
        if (!std::isalnum(static_cast<unsigned char>(c))) c = '-';
    return text;
}

class Progress {
  public:
    Progress(std::size_t all, bool terminal, Micros now) : all_(all), terminal_(terminal), begun_(now) {}
    void ended(std::size_t done, std::size_t fresh, const std::string& what, Micros now) {
        const double left =
            fresh > 0 ? seconds(now - begun_) / static_cast<double>(fresh) * static_cast<double>(all_ - done)
                      : 0;
        if (!terminal_) {
            std::cerr << done << "/" << all_ << " " << what << ", about " << std::llround(left)
                      << " s left\n";
            return;
        }
        constexpr std::size_t kWide = 30;
        const std::size_t full = all_ ? done * kWide / all_ : kWide;
        std::cerr << "\r[" << std::string(full, '#') << std::string(kWide - full, '.') << "] " << done << "/"
                  << all_ << ", about " << std::llround(left) << " s left   " << std::flush;
        if (done == all_) std::cerr << "\n";
    }

  private:
    std::size_t all_;
    bool terminal_;
    Micros begun_;
};

}  // namespace

int carryOut(const Plan& plan, const ExperimentOptions& ways) {
    Store store(ways.store);
    const std::string program = hashOf(settings::readFile(ways.program));
    const std::vector<Case> cases = plan.cases();
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("valekeel-experiment-" + hashOf(ways.store + program));
    std::filesystem::create_directories(folder);

    struct Job {
        Kept kept;
        std::string day, json;
        net::Process process;
        Micros begun = 0;
    };
    std::vector<Job> waiting, going;
    std::size_t done = 0, fresh = 0;
    for (const Run& run : plan.runs()) {
        const Case& c = cases[run.of];
        Job job;
        const std::string day = simulation::withSettings(c.day, settings::readFile(ways.folder + "/" + c.day),
                                                         plan.settingsOf(c));
        job.kept.plan = plan.name;
        job.kept.caseName = plan.nameOf(c);
        job.kept.seed = run.seed;
        job.kept.settingsHash = hashOf(day);
        job.kept.commit = ways.commit;
        job.kept.key = hashOf(day + "|" + std::to_string(run.seed) + "|" + program + "|" + plan.decisions +
                              (plan.real ? "|real" : "|virtual") + "|" + plan.name + "|" + job.kept.caseName);
        if (store.has(job.kept.key)) {
            ++done;
            continue;
        }
        // Checked before anything starts: a wrong level must not be found after an hour.
        simulation::readScenario(settings::Document::fromText(c.day, day));
        job.day = (folder / (job.kept.key + ".kdl")).string();
        job.json = (folder / (job.kept.key + ".json")).string();
        std::ofstream(job.day) << day;
        std::filesystem::remove(job.json);
        waiting.push_back(std::move(job));
    }
    net::EpollNet net(1);
    Progress progress(cases.size() * plan.seeds.size(), ways.terminal, net.now());
    std::reverse(waiting.begin(), waiting.end());
    int failed = 0;
    while (!waiting.empty() || !going.empty()) {
        while (!waiting.empty() && going.size() < static_cast<std::size_t>(plan.atOnce)) {
            Job job = std::move(waiting.back());
            waiting.pop_back();
            std::vector<std::string> args{
                ways.program, "rehearse", job.day,  "--seed", std::to_string(job.kept.seed),
                "--json",     job.json,   "--quiet"};
            if (plan.real) args.push_back("--real");
            if (!plan.decisions.empty()) args.insert(args.end(), {"--decisions", plan.decisions});
            job.begun = net.now();
            job.process = net::Process(args);
            going.push_back(std::move(job));
        }
        net.runOnce(50'000);
        for (auto it = going.begin(); it != going.end();) {
            if (it->process.running()) {
                ++it;
                continue;
            }
            ++done;
            ++fresh;
            if (std::filesystem::exists(it->json)) {
                it->kept.result = settings::readFile(it->json);
                it->kept.load = loadNow();
                it->kept.seconds = seconds(net.now() - it->begun);
                store.keep(it->kept);
                std::filesystem::remove(it->json);
                std::filesystem::remove(it->day);
            } else {
                ++failed;
                std::cerr << "run failed: " << it->kept.caseName << ", seed " << it->kept.seed
                          << "; its day is kept as " << it->day << "\n";
            }
            progress.ended(done, fresh, it->kept.caseName + ", seed " + std::to_string(it->kept.seed),
                           net.now());
            it = going.erase(it);
        }
    }
    return failed;
}

void report(const Plan& plan, const ExperimentOptions& ways) {
    const Store store(ways.store);
    const std::vector<Kept> kept = store.of(plan.name);
    const Measures all = measuresOf(kept);
    std::filesystem::create_directories(ways.out);
    std::set<std::string> names;
    for (const auto& [name, seeds] : all)
        for (const auto& [seed, measures] : seeds)
            for (const auto& [measure, v] : measures) names.insert(measure);

    std::ofstream csv(ways.out + "/runs.csv");
    csv << "case,seed,settings,commit,load,seconds";
    for (const std::string& n : names) csv << "," << n;
    csv << "\n";
    for (const Kept& k : kept) {
        csv << "\"" << k.caseName << "\"," << k.seed << "," << k.settingsHash << "," << k.commit << ","
            << k.load << "," << k.seconds;
        for (const std::string& n : names) {
            const auto& measures = all.at(k.caseName).at(k.seed);
            const auto it = measures.find(n);
            csv << "," << (it == measures.end() ? "" : std::to_string(it->second));
        }
        csv << "\n";
    }

    const auto valuesOf = [&](const std::string& caseName, const std::string& measure) {
        std::vector<double> out;
        const auto it = all.find(caseName);
        if (it == all.end()) return out;
        for (const auto& [seed, measures] : it->second)
            if (const auto m = measures.find(measure); m != measures.end()) out.push_back(m->second);
        return out;
    };
    const std::vector<Case> cases = plan.cases();
    std::ofstream table(ways.out + "/report.md");
    table << "# " << plan.name << "\n\nMeans over " << plan.seeds.size()
          << " seeds, with 95% confidence intervals (Student's t). "
          << (plan.real ? "On real sockets.\n\n" : "On a virtual clock (simulated).\n\n| case |");
    if (plan.real) table << "| case |";
    const std::vector<std::string> shows =
        plan.shows.empty() ? std::vector<std::string>(names.begin(), names.end()) : plan.shows;
    for (const std::string& m : shows) table << " " << m << " |";
    table << "\n|---|";
    for (std::size_t i = 0; i < shows.size(); ++i) table << "--:|";
    table << "\n";
    for (const Case& c : cases) {
        table << "| " << plan.nameOf(c) << " |";
        for (const std::string& m : shows) {
            const Estimate e = estimate(valuesOf(plan.nameOf(c), m));
            table << " " << (e.of == 0 ? "-" : rounded(e.mean) + (e.of > 1 ? " ± " + rounded(e.half) : ""))
                  << " |";
        }
        table << "\n";
    }

    int number = 0;
    for (const ChartWanted& wanted : plan.charts) {
        const auto over =
            static_cast<std::size_t>(std::find_if(plan.factors.begin(), plan.factors.end(),
                                                  [&](const Factor& f) { return f.name == wanted.over; }) -
                                     plan.factors.begin());
        const Factor& factor = plan.factors[over];
        bool numbers = true;
        std::vector<double> places;
        for (const Level& l : factor.levels) {
            char* end = nullptr;
            places.push_back(std::strtod(l.values.front().c_str(), &end));
            numbers = numbers && end != l.values.front().c_str() && *end == 0;
        }
        charts::Chart chart;
        chart.title = plan.name;
        chart.xName = factor.name;
        chart.yName = wanted.measures.size() == 1 ? wanted.measures.front() : "";
        for (const std::string& measure : wanted.measures) {
            // A series for each case of all the other factors.
            std::map<std::vector<std::size_t>, charts::Series> series;
            for (const Case& c : cases) {
                if (c.day != cases.front().day) continue;
                std::vector<std::size_t> others = c.levels;
                others.erase(others.begin() + static_cast<std::ptrdiff_t>(over));
                charts::Series& s = series[others];
                s.name = wanted.measures.size() > 1 ? measure : "";
                for (std::size_t f = 0, o = 0; f < plan.factors.size(); ++f)
                    if (f != over)
                        s.name += (s.name.empty() ? "" : ", ") + plan.factors[f].levels[others[o++]].name;
                const Estimate e = estimate(valuesOf(plan.nameOf(c), measure));
                s.x.push_back(places[c.levels[over]]);
                s.y.push_back(e.mean);
                s.low.push_back(e.low());
                s.high.push_back(e.high());
            }
            for (auto& [others, s] : series) chart.series.push_back(std::move(s));
        }
        const std::string file = fileName(plan.name) + "-" + std::to_string(++number) + ".svg";
        if (numbers) {
            chart.logX = places.front() > 0 && places.back() / places.front() >= 8;
            charts::drawLines(chart, ways.out + "/" + file);
        } else {
            std::vector<std::string> labels;
            for (const Level& l : factor.levels) labels.push_back(l.name);
            charts::drawBars(chart, labels, ways.out + "/" + file);
        }
        table << "\n![" << plan.name << "](" << file << ")\n";
    }
}

std::string comparisonTable(const Measures& a, const std::string& caseA, const Measures& b,
                            const std::string& caseB) {
    const auto ia = a.find(caseA);
    const auto ib = b.find(caseB);
    if (ia == a.end() || ib == b.end())
        throw std::invalid_argument("'" + (ia == a.end() ? caseA : caseB) + "' has no results");
    std::set<std::string> names;
    std::vector<std::uint64_t> shared;
    for (const auto& [seed, measures] : ia->second) {
        if (ib->second.count(seed)) shared.push_back(seed);
        for (const auto& [name, v] : measures) names.insert(name);
    }
    const bool paired = shared.size() == ia->second.size() && shared.size() == ib->second.size();
    std::vector<std::pair<double, std::string>> lines;
    for (const std::string& name : names) {
        const auto take = [&](const auto& seeds) {
            std::vector<double> out;
            for (const auto& [seed, measures] : seeds)
                if (const auto m = measures.find(name); m != measures.end()) out.push_back(m->second);
            return out;
        };
        const std::vector<double> va = take(ia->second), vb = take(ib->second);
        if (va.empty() || vb.empty()) continue;
        const Difference d = difference(va, vb, paired && va.size() == vb.size());
        std::ostringstream line;
        line << std::left << std::setw(26) << name << std::right << std::setw(12)
             << rounded(estimate(va).mean) << std::setw(12) << rounded(estimate(vb).mean) << std::setw(12)
             << rounded(d.change.mean) << " ± " << std::setw(8) << rounded(d.change.half) << "  p "
             << rounded(d.p) << "  " << (d.differs ? "differs" : "noise") << "\n";
        lines.emplace_back(d.p, line.str());
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& x, const auto& y) { return x.first < y.first; });
    std::ostringstream out;
    out << "A: " << caseA << "\nB: " << caseB << "\n"
        << (paired ? "paired over " : "not paired; A has ") << ia->second.size() << " seeds\n"
        << std::left << std::setw(26) << "measure" << std::right << std::setw(12) << "A" << std::setw(12)
        << "B" << std::setw(12) << "B - A"
        << "\n";
    for (const auto& [p, line] : lines) out << line;
    return out.str();
}

}  // namespace valekeel::experiment
