// An experiment's plan, in KDL: days, factors with their levels, seeds. A case is one level of each factor; a
// run is a case with a seed. The runs are in one order, always the same.
//
//   experiment "starved-link" at-once=3
//   day "crowd.kdl"                          beside the plan
//   factor "crowd" set="audience@rate" { level 5; level 10; level 20; }
//   factor "front" set="site/admission@target-wait" { level "0s" as="without"; level "300ms" as="with"; }
//   seeds 1 2 3
//   show "service" "service.north" "worst-10s"      measures for the report; all of them are kept
//   chart "service.north" "service.south" over="crowd"
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "settings/document.hpp"

namespace valekeel::experiment {

struct Level {
    std::vector<std::string> values;  // one for each setting of the factor
    std::string name;
};
struct Factor {
    std::string name;
    std::vector<std::string> sets;  // settings of the day, as withSettings() names them
    std::vector<Level> levels;
};
struct ChartWanted {
    std::vector<std::string> measures;
    std::string over;  // a factor
};
struct Case {
    std::string day;                  // file
    std::vector<std::size_t> levels;  // one for each factor
};
struct Run {
    std::size_t of;  // its case
    std::uint64_t seed = 0;
};

struct Plan {
    std::string name;
    int atOnce = 1;
    std::vector<std::string> days;
    std::vector<Factor> factors;
    std::vector<std::uint64_t> seeds;
    std::vector<std::string> shows;
    std::vector<ChartWanted> charts;
    bool real = false;  // on sockets, not the virtual clock
    std::string decisions;

    std::vector<Case> cases() const;
    std::vector<Run> runs() const;  // seed by seed: a plan that is cut short has whole rounds
    std::vector<std::pair<std::string, std::string>> settingsOf(const Case&) const;
    std::string nameOf(const Case&) const;
};

Plan readPlan(const settings::Document&);  // throws settings::Wrong

}  // namespace valekeel::experiment
