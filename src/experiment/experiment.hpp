// Carries a plan out: its runs as processes of this program, so many at once; those that are kept already are
// not run again. Then the report: a CSV of all, tables with confidence intervals, charts.
#pragma once

#include <functional>
#include <string>

#include "experiment/plan.hpp"
#include "experiment/statistics.hpp"
#include "experiment/store.hpp"

namespace valekeel::experiment {

struct ExperimentOptions {
    std::string program;     // that rehearses
    std::string folder;      // of the plan, where its days lie
    std::string store, out;  // the file of results, and the folder of the report
    std::string commit;
    bool terminal = false;  // progress as a bar that moves
};

// Tells how many runs failed; each failure is said on the way. Throws std::runtime_error.
int carryOut(const Plan&, const ExperimentOptions&);

// Into `ways.out`: runs.csv, report.md, and an SVG for each chart.
void report(const Plan&, const ExperimentOptions&);

// What two cases, or one case in two stores, differ in: a line for each measure, those that differ first.
std::string comparisonTable(const Measures& a, const std::string& caseA, const Measures& b,
                            const std::string& caseB);

}  // namespace valekeel::experiment
