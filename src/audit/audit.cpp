#include "audit/audit.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace valekeel::audit {

using fakes::Ledger;
using fakes::Line;

namespace {

// Returns the trace id and time of an entry, appended to each description.
std::string location(const Line& l) {
    return " (trace " + l.trace + ", at " + std::to_string(l.at) + " us)";
}

}  // namespace

// Counts only what arrived on the player's own socket.
std::vector<RuleViolation> checkOneAnswer(const Ledger& ledger, const AuditSettings& settings,
                                          const Downtimes& down) {
    std::vector<RuleViolation> out;
    struct Request {
        const Line* asked = nullptr;
        int answers = 0;
        bool excused = false;
    };
    std::map<std::string, Request> requests;  // by trace id
    // A killed front breaks its connections at once; a paused one answers nothing until it resumes. So the
    // missing answer must be noticed within the downtime.
    const auto wasDown = [&](const std::string& front, Micros when) {
        const auto [first, last] = down.equal_range(front);
        return std::any_of(first, last, [&](const auto& d) {
            return d.second.first <= when && when <= d.second.second + settings.transitTolerance;
        });
    };
    const auto wasDownWithin = [&](const Line& l, Micros asked) {
        const auto [first, last] = down.equal_range(l.front);
        const auto room = settings.rooms.find(l.room);
        const Micros timeout = room == settings.rooms.end() ? 0 : room->second.clientTimeout;
        return std::any_of(first, last, [&](const auto& d) {
            return d.second.first <= asked + timeout && asked <= d.second.second + settings.transitTolerance;
        });
    };
    for (const Line& l : ledger.lines()) {
        if (l.player < 0) continue;
        if (l.what == "ask") {
            requests[l.trace].asked = &l;
        } else if (l.what == "answer") {
            Request& request = requests[l.trace];
            ++request.answers;
            const auto room = settings.rooms.find(l.room);
            if (room != settings.rooms.end() && l.number > static_cast<double>(room->second.clientTimeout))
                out.push_back({1, "answered after the client timeout" + location(l)});
            const bool known = l.face == "sip"
                                   ? l.status == 200 || l.status == 486 || l.status == 487 ||
                                         l.status == 500 || l.status == 503 || l.status == 504
                                   : l.status == 200 || l.status == 502 || l.status == 503 || l.status == 504;
            if (!known)
                out.push_back({1, "answered " + std::to_string(l.status) + ", which is not a known status" +
                                      location(l)});
        } else if (l.what == "second-answer") {
            out.push_back({1, "answered a second time" + location(l)});
        } else if (l.what == "no-answer") {
            Request& request = requests[l.trace];
            // A killed front isn't responsible for the requests it held, nor for those it never accepted.
            // Over datagrams no connection breaks: the front must have been down before the client timeout.
            if (request.asked &&
                (l.face == "sip" ? wasDownWithin(l, request.asked->at) : wasDown(l.front, l.at)))
                request.excused = true;
            else
                out.push_back({1, std::string(l.status == 1 ? "connection broke before the answer"
                                                            : "no answer within the client timeout") +
                                      ", front " + l.front + location(l)});
        }
    }
    for (const auto& [trace, request] : requests) {
        if (!request.asked) continue;
        if (request.answers > 1)
            out.push_back(
                {1, "answered " + std::to_string(request.answers) + " times" + location(*request.asked)});
    }
    return out;
}

// All joins of a request carry its trace id; a box writes "charged" when a set-up starts.
std::vector<RuleViolation> checkNoRepeatedSetUp(const Ledger& ledger, const AuditSettings& settings) {
    std::vector<RuleViolation> out;
    struct Joins {
        int charged = 0;
        // Open joins by number, with the time since which another one was open as well; 0: none was.
        std::map<int, Micros> open;
    };
    std::map<std::string, Joins> joins;  // by trace id
    for (const Line& l : ledger.lines()) {
        if (l.trace.empty()) continue;
        const auto room = settings.rooms.find(l.room);
        const bool paid = room != settings.rooms.end() && room->second.paid;
        if (l.box >= 0) {
            Joins& request = joins[l.trace];
            if (l.what == "arrive") {
                for (auto& [join, beside] : request.open)
                    if (join != l.join && beside == 0) beside = l.at;
                request.open[l.join] = 0;
                if (paid && request.charged > 0)
                    out.push_back({2, "a paid set-up was sent again after one that ran" + location(l)});
            } else if (l.what == "charged") {
                ++request.charged;
                if (paid && request.charged > 1) out.push_back({2, "a paid set-up ran twice" + location(l)});
            } else if (l.what == "unseen" || l.what == "plays" || l.what == "answer-lost" ||
                       l.what == "error" || l.what == "called-off") {
                // A cancellation may still be in transit to the box when the next join arrives elsewhere.
                const auto open = request.open.find(l.join);
                if (open != request.open.end()) {
                    if (open->second > 0 && l.at - open->second > settings.transitTolerance)
                        out.push_back({2, "two joins open at once" + location(l)});
                    request.open.erase(open);
                }
            }
        } else if (l.what == "answer" && (l.status == 503 || l.status == 486) && paid) {
            const auto request = joins.find(l.trace);
            if (request != joins.end() && request->second.charged > 0)
                out.push_back({2, "a subscription was throttled although its paid set-up ran" + location(l)});
        }
    }
    return out;
}

// The grace starts when the list entry was sent to the front in question.
std::vector<RuleViolation> checkDraining(const Ledger& ledger, const AuditSettings& settings) {
    std::vector<RuleViolation> out;
    // When a front was notified that a box is off or fading, by front and box.
    std::map<std::pair<std::string, int>, Micros> notified;
    for (const Line& l : ledger.lines()) {
        if (l.what == "told") {
            const auto key = std::pair{l.front, l.box};
            if (l.status == 0)
                notified.erase(key);
            else
                notified.try_emplace(key, l.at);
        } else if (l.what == "arrive") {
            const auto notice = notified.find({l.front, l.box});
            if (notice != notified.end() &&
                l.at > notice->second + settings.drainGrace + settings.transitTolerance)
                out.push_back({3, "front " + l.front + " sent a join to box " + std::to_string(l.box) + " " +
                                      std::to_string((l.at - notice->second) / 1000) +
                                      " ms after it was notified" + location(l)});
        }
    }
    return out;
}

// Counts the joins of all fronts together that arrive at a cold box within any span of tipAfter.
std::vector<RuleViolation> checkColdStart(const Ledger& ledger, const AuditSettings& settings) {
    std::vector<RuleViolation> out;
    struct Box {
        Micros started = 0;
        double places = 0;
        std::deque<Micros> arrivals;
        bool isReported = false;
    };
    std::map<int, Box> boxes;
    for (const Line& l : ledger.lines()) {
        if (l.box < 0) continue;
        Box& box = boxes[l.box];
        if (l.what == "started") {
            box = Box{l.at, l.number, {}, false};
        } else if (l.what == "fell") {
            out.push_back({4, "box " + std::to_string(l.box) + " fell over under its set-ups" + location(l)});
        } else if (l.what == "arrive" && box.places > 0 && settings.warmUp > 0) {
            const Micros age = l.at - box.started;
            if (age >= settings.warmUp) continue;
            box.arrivals.push_back(l.at);
            while (box.arrivals.front() <= l.at - settings.tipAfter) box.arrivals.pop_front();
            const double share =
                settings.firstShare + (1 - settings.firstShare) * seconds(age) / seconds(settings.warmUp);
            const double capacity = settings.fallMultiple * box.places / seconds(settings.warmUp) * share *
                                    seconds(settings.tipAfter);
            if (static_cast<double>(box.arrivals.size()) > capacity + 1 && !box.isReported) {
                box.isReported = true;
                out.push_back({4, "box " + std::to_string(l.box) + ", cold, was sent " +
                                      std::to_string(box.arrivals.size()) +
                                      " set-ups within tipAfter, but can take " +
                                      std::to_string(static_cast<int>(capacity)) + location(l)});
            }
        }
    }
    return out;
}

// A seat is taken from the arrival of the join until the box learns or decides that the subscription ended.
std::vector<RuleViolation> checkRoomLimits(const Ledger& ledger, const AuditSettings& settings) {
    std::vector<RuleViolation> out;
    struct Seats {
        std::set<std::string> subs;
        Micros overSince = 0;
        bool isReported = false;
    };
    // By front, title and room.
    std::map<std::tuple<std::string, std::string, std::string>, Seats> taken;
    for (const Line& l : ledger.lines()) {
        if (l.box < 0) continue;
        const auto room = settings.rooms.find(l.room);
        if (room == settings.rooms.end()) continue;
        if ((l.what == "arrive" || l.what == "segment") && l.rung >= 0 && l.rung < room->second.floor)
            out.push_back({5, "rung " + std::to_string(l.rung) + " is below the lowest rung of " + l.room +
                                  location(l)});
        if (room->second.seats <= 0) continue;
        Seats& seats = taken[{l.front, l.title, l.room}];
        const auto tooMany = [&] { return static_cast<int>(seats.subs.size()) > room->second.seats; };
        // A release may still be in transit to the box: only an excess that lasts longer counts.
        if (tooMany() && l.at - seats.overSince > settings.transitTolerance &&
            !std::exchange(seats.isReported, true))
            out.push_back({5, "front " + l.front + " holds " + std::to_string(seats.subs.size()) + " of " +
                                  std::to_string(room->second.seats) + " seats of '" + l.title + "'" +
                                  location(l)});
        const bool before = tooMany();
        if (l.what == "arrive")
            seats.subs.insert(l.sub);
        else if (l.what == "unseen" || l.what == "error" || l.what == "called-off" ||
                 l.what == "answer-lost" || l.what == "release" || l.what == "expired" || l.what == "gone")
            seats.subs.erase(l.sub);
        if (tooMany() && !before) seats.overSince = l.at;
    }
    return out;
}

// Joins of a front with a number over 0 are its further ones; its requests are counted where players sent
// them.
std::vector<RuleViolation> checkJoinBudget(const Ledger& ledger, const AuditSettings& settings) {
    std::vector<RuleViolation> out;
    if (!settings.budgeted) return out;
    struct Front {
        std::deque<Micros> requests, furtherJoins;
        bool isReported = false;
    };
    std::map<std::string, Front> fronts;
    for (const Line& l : ledger.lines()) {
        if (l.what == "ask") {
            fronts[l.front].requests.push_back(l.at);
        } else if (l.what == "arrive" && l.join > 0) {
            Front& f = fronts[l.front];
            f.furtherJoins.push_back(l.at);
            while (!f.furtherJoins.empty() && f.furtherJoins.front() <= l.at - settings.budgetWindow)
                f.furtherJoins.pop_front();
            while (!f.requests.empty() &&
                   f.requests.front() <= l.at - settings.budgetWindow - settings.transitTolerance)
                f.requests.pop_front();
            const double allowed =
                settings.budgetFree + settings.budgetShare * static_cast<double>(f.requests.size());
            if (static_cast<double>(f.furtherJoins.size()) > allowed + 0.5 && !f.isReported) {
                f.isReported = true;
                out.push_back({6, "front " + l.front + " sent " + std::to_string(f.furtherJoins.size()) +
                                      " further joins where " + std::to_string(allowed) + " are allowed" +
                                      location(l)});
            }
        }
    }
    return out;
}

std::vector<RuleViolation> checkAllRules(const Ledger& ledger, const AuditSettings& settings,
                                         const Downtimes& down) {
    std::vector<RuleViolation> out;
    const auto append = [&](std::vector<RuleViolation> violations) {
        out.insert(out.end(), violations.begin(), violations.end());
    };
    append(checkOneAnswer(ledger, settings, down));
    append(checkNoRepeatedSetUp(ledger, settings));
    append(checkDraining(ledger, settings));
    append(checkColdStart(ledger, settings));
    append(checkRoomLimits(ledger, settings));
    append(checkJoinBudget(ledger, settings));
    return out;
}

}  // namespace valekeel::audit
