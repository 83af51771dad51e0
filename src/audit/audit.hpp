// The six rules, judged from what the stand-ins saw and from nothing else. Each check is a function of the
// ledger, so that it can itself be tested with ledgers that break it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fakes/ledger.hpp"
#include "model/ids.hpp"

namespace valekeel::audit {

struct AuditSettings {
    struct Room {
        Micros clientTimeout = 0;
        bool paid = false;
        int floor = 0, seats = 0;
    };
    std::map<std::string, Room> rooms;
    Micros drainGrace = 500'000;
    // Cold boxes.
    Micros warmUp = 0, tipAfter = kSecond;
    double firstShare = 1, fallMultiple = 1e9;
    // Further joins.
    bool budgeted = false;
    double budgetFree = 0, budgetShare = 0;
    Micros budgetWindow = 0;
    // What differs between the two ends of a socket: time on the way, and in the stand-ins' own loop.
    Micros onTheWay = 100'000;
};

struct RuleViolation {
    int rule = 0;
    std::string what;  // with the trace ids that show it
};

// `down`: when a front was not running, killed or standing still, by name: from and until.
using Downtimes = std::multimap<std::string, std::pair<Micros, Micros>>;

std::vector<RuleViolation> oneAnswer(const fakes::Ledger&, const AuditSettings&, const Downtimes&);
std::vector<RuleViolation> noSetUpTwice(const fakes::Ledger&, const AuditSettings&);
std::vector<RuleViolation> drainsKept(const fakes::Ledger&, const AuditSettings&);
std::vector<RuleViolation> coldSpared(const fakes::Ledger&, const AuditSettings&);
std::vector<RuleViolation> termsKept(const fakes::Ledger&, const AuditSettings&);
std::vector<RuleViolation> budgetKept(const fakes::Ledger&, const AuditSettings&);
std::vector<RuleViolation> checkAllRules(const fakes::Ledger&, const AuditSettings&, const Downtimes&);

}  // namespace valekeel::audit
