// Checks the six correctness rules of a front against the ledger that the fakes wrote, and nothing else. Each
// check is a function of the ledger, so that it can be tested with ledgers that violate the rule.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fakes/ledger.hpp"
#include "model/ids.hpp"

namespace valekeel::audit {

// What the rules are checked against. Times in microseconds.
struct AuditSettings {
    // Limits of a room type, by its name in `rooms`.
    struct Room {
        Micros clientTimeout = 0;
        bool paid = false;
        int floor = 0, seats = 0;  // lowest rung; seats per front and title, 0: unlimited
    };
    std::map<std::string, Room> rooms;
    Micros drainGrace = 500'000;
    // Cold start; warmUp 0 disables the check.
    Micros warmUp = 0, tipAfter = kSecond;
    double firstShare = 1, fallMultiple = 1e9;
    // Budget of further joins per front: budgetFree plus budgetShare of the requests within budgetWindow.
    bool budgeted = false;
    double budgetFree = 0, budgetShare = 0;
    Micros budgetWindow = 0;
    // Tolerance between the two ends of a socket: network delay and the delay of the fakes' own event loop.
    Micros transitTolerance = 100'000;
};

// One violation of a rule.
struct RuleViolation {
    int rule = 0;      // 1 to 6
    std::string what;  // description with the trace id and time that show it
};

// Periods (from, until) in which a front was not running, killed or paused, by the front's name.
using Downtimes = std::multimap<std::string, std::pair<Micros, Micros>>;

// Each check returns all violations of its rule, none if the rule was kept.

// Rule 1: every request gets exactly one known answer within the client timeout, unless its front was down.
std::vector<RuleViolation> checkOneAnswer(const fakes::Ledger&, const AuditSettings&, const Downtimes&);
// Rule 2: a paid set-up runs at most once and isn't throttled after it ran; joins don't overlap.
std::vector<RuleViolation> checkNoRepeatedSetUp(const fakes::Ledger&, const AuditSettings&);
// Rule 3: a front sends no join to a box later than drainGrace after it learnt that the box is off or fading.
std::vector<RuleViolation> checkDraining(const fakes::Ledger&, const AuditSettings&);
// Rule 4: a cold box isn't sent more set-ups within tipAfter than it can take.
std::vector<RuleViolation> checkColdStart(const fakes::Ledger&, const AuditSettings&);
// Rule 5: no join or segment below the room's lowest rung, no more seats than allowed.
std::vector<RuleViolation> checkRoomLimits(const fakes::Ledger&, const AuditSettings&);
// Rule 6: the further joins of a front stay within its join budget.
std::vector<RuleViolation> checkJoinBudget(const fakes::Ledger&, const AuditSettings&);
// Returns the violations of all six rules, in the order of the rules.
std::vector<RuleViolation> checkAllRules(const fakes::Ledger&, const AuditSettings&, const Downtimes&);

}  // namespace valekeel::audit
