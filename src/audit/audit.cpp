#include "audit/audit.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace valekeel::audit {

using fakes::Ledger;
using fakes::Line;

namespace {

std::string at(const Line& l) {
    return " (trace " + l.trace + ", at " + std::to_string(l.at) + " us)";
}

}  // namespace

// Rule 1. What counts is what came out of the player's own socket.
std::vector<RuleViolation> oneAnswer(const Ledger& ledger, const AuditSettings& terms,
                                     const Downtimes& down) {
    std::vector<RuleViolation> out;
    struct Ask {
        const Line* asked = nullptr;
        int answers = 0;
        bool excused = false;
    };
    std::map<std::string, Ask> asks;
    // A front that is killed breaks its connections then and there; one that stands still answers nothing
    // until it goes on. So the moment at which nothing came must lie in that time.
    const auto wasDown = [&](const std::string& front, Micros when) {
        const auto [first, last] = down.equal_range(front);
        return std::any_of(first, last, [&](const auto& d) {
            return d.second.first <= when && when <= d.second.second + terms.onTheWay;
        });
    };
    const auto wasDownWithin = [&](const Line& l, Micros asked) {
        const auto [first, last] = down.equal_range(l.front);
        const auto room = terms.rooms.find(l.room);
        const Micros had = room == terms.rooms.end() ? 0 : room->second.clientTimeout;
        return std::any_of(first, last, [&](const auto& d) {
            return d.second.first <= asked + had && asked <= d.second.second + terms.onTheWay;
        });
    };
    for (const Line& l : ledger.lines()) {
        if (l.player < 0) continue;
        if (l.what == "ask") {
            asks[l.trace].asked = &l;
        } else if (l.what == "answer") {
            Ask& ask = asks[l.trace];
            ++ask.answers;
            const auto room = terms.rooms.find(l.room);
            if (room != terms.rooms.end() && l.number > static_cast<double>(room->second.clientTimeout))
                out.push_back({1, "answered after the client timeout" + at(l)});
            const bool known = l.face == "sip"
                                   ? l.status == 200 || l.status == 486 || l.status == 487 ||
                                         l.status == 500 || l.status == 503 || l.status == 504
                                   : l.status == 200 || l.status == 502 || l.status == 503 || l.status == 504;
            if (!known)
                out.push_back(
                    {1, "answered " + std::to_string(l.status) + ", which is none of the answers" + at(l)});
        } else if (l.what == "second-answer") {
            out.push_back({1, "answered a second time" + at(l)});
        } else if (l.what == "no-answer") {
            Ask& ask = asks[l.trace];
            // What a killed front held is no longer its duty; nor was it taken where nobody listened.
            // Over datagrams nothing breaks: the front must have been down in the time it had to answer in.
            if (ask.asked && (l.face == "sip" ? wasDownWithin(l, ask.asked->at) : wasDown(l.front, l.at)))
                ask.excused = true;
            else
                out.push_back({1, std::string(l.status == 1 ? "its connection broke"
                                                            : "no answer came by the client timeout") +
                                      ", front " + l.front + at(l)});
        }
    }
    for (const auto& [trace, ask] : asks) {
        if (!ask.asked) continue;
        if (ask.answers > 1)
            out.push_back({1, "answered " + std::to_string(ask.answers) + " times" + at(*ask.asked)});
    }
    return out;
}

// Rule 2. The trace id of an ask stands on each of its joins; a box writes "charged" when a set-up has begun.
std::vector<RuleViolation> noSetUpTwice(const Ledger& ledger, const AuditSettings& terms) {
    std::vector<RuleViolation> out;
    struct Way {
        int charged = 0;
        std::map<int, Micros>
            open;  // joins out, by number: since when another was out beside it; 0: none was
    };
    std::map<std::string, Way> ways;
    for (const Line& l : ledger.lines()) {
        if (l.trace.empty()) continue;
        const auto room = terms.rooms.find(l.room);
        const bool paid = room != terms.rooms.end() && room->second.paid;
        if (l.box >= 0) {
            Way& way = ways[l.trace];
            if (l.what == "arrive") {
                for (auto& [join, beside] : way.open)
                    if (join != l.join && beside == 0) beside = l.at;
                way.open[l.join] = 0;
                if (paid && way.charged > 0)
                    out.push_back({2, "a paid set-up is sent again after one that ran" + at(l)});
            } else if (l.what == "charged") {
                ++way.charged;
                if (paid && way.charged > 1) out.push_back({2, "a paid set-up ran twice" + at(l)});
            } else if (l.what == "unseen" || l.what == "plays" || l.what == "answer-lost" ||
                       l.what == "error" || l.what == "called-off") {
                // What is called off is still on its way to the box when the next one arrives elsewhere.
                const auto open = way.open.find(l.join);
                if (open != way.open.end()) {
                    if (open->second > 0 && l.at - open->second > terms.onTheWay)
                        out.push_back({2, "two joins out at once" + at(l)});
                    way.open.erase(open);
                }
            }
        } else if (l.what == "answer" && (l.status == 503 || l.status == 486) && paid) {
            const auto way = ways.find(l.trace);
            if (way != ways.end() && way->second.charged > 0)
                out.push_back({2, "a paid set-up that ran is throttled" + at(l)});
        }
    }
    return out;
}

// Rule 3. Counted from when the list's line went out to that very front.
std::vector<RuleViolation> drainsKept(const Ledger& ledger, const AuditSettings& terms) {
    std::vector<RuleViolation> out;
    std::map<std::pair<std::string, int>, Micros> off;  // front and box: told so, at
    for (const Line& l : ledger.lines()) {
        if (l.what == "told") {
            const auto key = std::pair{l.front, l.box};
            if (l.status == 0)
                off.erase(key);
            else
                off.try_emplace(key, l.at);
        } else if (l.what == "arrive") {
            const auto told = off.find({l.front, l.box});
            if (told != off.end() && l.at > told->second + terms.drainGrace + terms.onTheWay)
                out.push_back({3, "front " + l.front + " sends to box " + std::to_string(l.box) + " " +
                                      std::to_string((l.at - told->second) / 1000) + " ms after it was told" +
                                      at(l)});
        }
    }
    return out;
}

// Rule 4. All fronts together, in any span: what arrives at a box that is still cold.
std::vector<RuleViolation> coldSpared(const Ledger& ledger, const AuditSettings& terms) {
    std::vector<RuleViolation> out;
    struct Box {
        Micros started = 0;
        double places = 0;
        std::deque<Micros> arrived;
        bool told = false;
    };
    std::map<int, Box> boxes;
    for (const Line& l : ledger.lines()) {
        if (l.box < 0) continue;
        Box& box = boxes[l.box];
        if (l.what == "started") {
            box = Box{l.at, l.number, {}, false};
        } else if (l.what == "fell") {
            out.push_back({4, "box " + std::to_string(l.box) + " was pushed over" + at(l)});
        } else if (l.what == "arrive" && box.places > 0 && terms.warmUp > 0) {
            const Micros age = l.at - box.started;
            if (age >= terms.warmUp) continue;
            box.arrived.push_back(l.at);
            while (box.arrived.front() <= l.at - terms.tipAfter) box.arrived.pop_front();
            const double share =
                terms.firstShare + (1 - terms.firstShare) * seconds(age) / seconds(terms.warmUp);
            const double bears =
                terms.fallMultiple * box.places / seconds(terms.warmUp) * share * seconds(terms.tipAfter);
            if (static_cast<double>(box.arrived.size()) > bears + 1 && !box.told) {
                box.told = true;
                out.push_back({4, "box " + std::to_string(l.box) + ", cold, is sent " +
                                      std::to_string(box.arrived.size()) + " set-ups in a span that bears " +
                                      std::to_string(static_cast<int>(bears)) + at(l)});
            }
        }
    }
    return out;
}

// Rule 5. A seat is taken from the join's arrival until the box is told, or knows, that it is over.
std::vector<RuleViolation> termsKept(const Ledger& ledger, const AuditSettings& terms) {
    std::vector<RuleViolation> out;
    struct Holding {
        std::set<std::string> subs;
        Micros overSince = 0;
        bool told = false;
    };
    std::map<std::tuple<std::string, std::string, std::string>, Holding> held;
    for (const Line& l : ledger.lines()) {
        if (l.box < 0) continue;
        const auto room = terms.rooms.find(l.room);
        if (room == terms.rooms.end()) continue;
        if ((l.what == "arrive" || l.what == "segment") && l.rung >= 0 && l.rung < room->second.floor)
            out.push_back({5, "rung " + std::to_string(l.rung) + " is under the floor of " + l.room + at(l)});
        if (room->second.seats <= 0) continue;
        Holding& holding = held[{l.front, l.title, l.room}];
        const auto tooMany = [&] { return static_cast<int>(holding.subs.size()) > room->second.seats; };
        // What a front gave back a moment ago may still be on its way to the box: only what lasts counts.
        if (tooMany() && l.at - holding.overSince > terms.onTheWay && !std::exchange(holding.told, true))
            out.push_back({5, "front " + l.front + " holds " + std::to_string(holding.subs.size()) + " of " +
                                  std::to_string(room->second.seats) + " seats of '" + l.title + "'" +
                                  at(l)});
        const bool before = tooMany();
        if (l.what == "arrive")
            holding.subs.insert(l.sub);
        else if (l.what == "unseen" || l.what == "error" || l.what == "called-off" ||
                 l.what == "answer-lost" || l.what == "release" || l.what == "expired" || l.what == "gone")
            holding.subs.erase(l.sub);
        if (tooMany() && !before) holding.overSince = l.at;
    }
    return out;
}

// Rule 6. A front's joins with a number over 0 are its further ones; what it took is what players asked it.
std::vector<RuleViolation> budgetKept(const Ledger& ledger, const AuditSettings& terms) {
    std::vector<RuleViolation> out;
    if (!terms.budgeted) return out;
    struct Front {
        std::deque<Micros> asked, further;
        bool told = false;
    };
    std::map<std::string, Front> fronts;
    for (const Line& l : ledger.lines()) {
        if (l.what == "ask") {
            fronts[l.front].asked.push_back(l.at);
        } else if (l.what == "arrive" && l.join > 0) {
            Front& f = fronts[l.front];
            f.further.push_back(l.at);
            while (!f.further.empty() && f.further.front() <= l.at - terms.budgetWindow)
                f.further.pop_front();
            while (!f.asked.empty() && f.asked.front() <= l.at - terms.budgetWindow - terms.onTheWay)
                f.asked.pop_front();
            const double most = terms.budgetFree + terms.budgetShare * static_cast<double>(f.asked.size());
            if (static_cast<double>(f.further.size()) > most + 0.5 && !f.told) {
                f.told = true;
                out.push_back({6, "front " + l.front + " sends " + std::to_string(f.further.size()) +
                                      " further joins where " + std::to_string(most) + " are allowed" +
                                      at(l)});
            }
        }
    }
    return out;
}

std::vector<RuleViolation> checkAllRules(const Ledger& ledger, const AuditSettings& terms,
                                         const Downtimes& down) {
    std::vector<RuleViolation> out;
    const auto put = [&](std::vector<RuleViolation> some) {
        out.insert(out.end(), some.begin(), some.end());
    };
    put(oneAnswer(ledger, terms, down));
    put(noSetUpTwice(ledger, terms));
    put(drainsKept(ledger, terms));
    put(coldSpared(ledger, terms));
    put(termsKept(ledger, terms));
    put(budgetKept(ledger, terms));
    return out;
}

}  // namespace valekeel::audit
