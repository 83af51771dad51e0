// Tests the check of each rule: a ledger that keeps the rule passes, one that violates it is reported.
#include "audit/audit.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace valekeel {
namespace {

using fakes::Ledger;
using fakes::Line;

audit::AuditSettings auditSettings() {
    audit::AuditSettings settings;
    settings.rooms["paid"] = {5 * kSecond, true, 1, 2};
    settings.rooms["open"] = {3 * kSecond, false, 0, 0};
    settings.warmUp = 10 * kSecond;
    settings.tipAfter = kSecond;
    settings.firstShare = 0.5;
    settings.fallMultiple = 2;
    settings.budgeted = true;
    settings.budgetFree = 2;
    settings.budgetShare = 0.1;
    settings.budgetWindow = 10 * kSecond;
    return settings;
}

// Builds a ledger entry by entry; `now` is the time of the next entry.
struct LedgerBuilder {
    Ledger ledger;
    Micros now = 0;
    LedgerBuilder& advance(Micros duration) {
        now += duration;
        return *this;
    }
    Line entry(const char* what, const std::string& trace, const std::string& room) {
        Line l;
        l.at = now;
        l.what = what;
        l.trace = trace;
        l.sub = trace;
        l.room = room;
        l.title = "t";
        l.front = "a";
        return l;
    }
    LedgerBuilder& player(const char* what, const std::string& trace, const std::string& room = "paid",
                          int status = 0, double number = 1'000) {
        Line l = entry(what, trace, room);
        l.player = 1;
        l.status = status;
        l.number = number;
        ledger.add(l);
        return *this;
    }
    LedgerBuilder& box(const char* what, const std::string& trace, int box = 1, int join = 0,
                       const std::string& room = "paid", int rung = 1, double number = 0) {
        Line l = entry(what, trace, room);
        l.box = box;
        l.join = join;
        l.rung = rung;
        l.number = number;
        ledger.add(l);
        return *this;
    }
    LedgerBuilder& notify(int box, int status) {
        Line l = entry("told", "", "");
        l.box = box;
        l.status = status;
        ledger.add(l);
        return *this;
    }
};

TEST(Audit, Rule1OneAnswerInTime) {
    LedgerBuilder good;
    good.player("ask", "x").player("answer", "x", "paid", 200);
    EXPECT_TRUE(audit::checkOneAnswer(good.ledger, auditSettings(), {}).empty());
    LedgerBuilder late;
    late.player("ask", "x").player("answer", "x", "paid", 200, 5.1e6);
    EXPECT_EQ(audit::checkOneAnswer(late.ledger, auditSettings(), {}).size(), 1u);
    LedgerBuilder twice;
    twice.player("ask", "x").player("answer", "x", "paid", 200).player("answer", "x", "paid", 200);
    EXPECT_EQ(audit::checkOneAnswer(twice.ledger, auditSettings(), {}).size(), 1u);
    LedgerBuilder unasked;
    unasked.player("ask", "x").player("answer", "x", "paid", 200).player("second-answer", "x");
    EXPECT_EQ(audit::checkOneAnswer(unasked.ledger, auditSettings(), {}).size(), 1u);
    LedgerBuilder unknownStatus;
    unknownStatus.player("ask", "x").player("answer", "x", "paid", 500);
    EXPECT_EQ(audit::checkOneAnswer(unknownStatus.ledger, auditSettings(), {}).size(), 1u);
    LedgerBuilder unanswered;
    unanswered.player("ask", "x").advance(kSecond).player("no-answer", "x", "paid", 1);
    EXPECT_EQ(audit::checkOneAnswer(unanswered.ledger, auditSettings(), {}).size(), 1u);
    EXPECT_TRUE(
        audit::checkOneAnswer(unanswered.ledger, auditSettings(), {{"a", {500'000, 2 * kSecond}}}).empty())
        << "a front that was down is excused";
    EXPECT_EQ(
        audit::checkOneAnswer(unanswered.ledger, auditSettings(), {{"b", {500'000, 2 * kSecond}}}).size(),
        1u);
}

TEST(Audit, Rule2NoSetUpTwice) {
    LedgerBuilder good;
    good.box("arrive", "x")
        .box("unseen", "x")
        .box("arrive", "x", 2, 1)
        .box("charged", "x", 2, 1)
        .box("plays", "x", 2, 1);
    EXPECT_TRUE(audit::checkNoRepeatedSetUp(good.ledger, auditSettings()).empty());
    LedgerBuilder again;
    again.box("arrive", "x")
        .box("charged", "x")
        .box("answer-lost", "x")
        .advance(kSecond)
        .box("arrive", "x", 2, 1);
    EXPECT_EQ(audit::checkNoRepeatedSetUp(again.ledger, auditSettings()).size(), 1u);
    LedgerBuilder unpaid;
    unpaid.box("arrive", "x", 1, 0, "open")
        .box("charged", "x", 1, 0, "open")
        .box("error", "x", 1, 0, "open")
        .box("arrive", "x", 2, 1, "open")
        .box("charged", "x", 2, 1, "open");
    EXPECT_TRUE(audit::checkNoRepeatedSetUp(unpaid.ledger, auditSettings()).empty());
    LedgerBuilder refused;
    refused.box("arrive", "x").box("charged", "x").box("answer-lost", "x").player("answer", "x", "paid", 503);
    EXPECT_EQ(audit::checkNoRepeatedSetUp(refused.ledger, auditSettings()).size(), 1u);
    LedgerBuilder overlapping;
    overlapping.box("arrive", "x", 1, 0, "open")
        .advance(kSecond)
        .box("arrive", "x", 2, 1, "open")
        .advance(kSecond)
        .box("plays", "x", 1, 0, "open");
    EXPECT_EQ(audit::checkNoRepeatedSetUp(overlapping.ledger, auditSettings()).size(), 1u);
    LedgerBuilder inTransit;
    inTransit.box("arrive", "x", 1, 0, "open")
        .advance(kSecond)
        .box("arrive", "x", 2, 1, "open")
        .advance(10'000)
        .box("called-off", "x", 1, 0, "open");
    EXPECT_TRUE(audit::checkNoRepeatedSetUp(inTransit.ledger, auditSettings()).empty());
}

TEST(Audit, Rule3NoJoinsToDrainingBox) {
    LedgerBuilder good;
    good.notify(1, 1).advance(400'000).box("arrive", "x");
    EXPECT_TRUE(audit::checkDraining(good.ledger, auditSettings()).empty());
    LedgerBuilder bad;
    bad.notify(1, 1).advance(700'000).notify(1, 2).box("arrive", "x");
    EXPECT_EQ(audit::checkDraining(bad.ledger, auditSettings()).size(), 1u)
        << "a second notice doesn't restart the grace";
    LedgerBuilder back;
    back.notify(1, 2).advance(kSecond).notify(1, 0).box("arrive", "x");
    EXPECT_TRUE(audit::checkDraining(back.ledger, auditSettings()).empty());
}

TEST(Audit, Rule4ColdBoxNotOverloaded) {
    // 10 places over a warm-up of 10 s at a first share of 0.5: 0.5 set-ups per second; times the fall
    // multiple of 2 gives 1 per span of 1 s, plus 1 as tolerance.
    LedgerBuilder good;
    good.box("started", "", 1, 0, "", 0, 10).box("arrive", "x").advance(1'100'000).box("arrive", "y");
    EXPECT_TRUE(audit::checkColdStart(good.ledger, auditSettings()).empty());
    LedgerBuilder bad;
    bad.box("started", "", 1, 0, "", 0, 10).box("arrive", "x").box("arrive", "y").box("arrive", "z");
    EXPECT_EQ(audit::checkColdStart(bad.ledger, auditSettings()).size(), 1u);
    LedgerBuilder warm;
    warm.box("started", "", 1, 0, "", 0, 10)
        .advance(11 * kSecond)
        .box("arrive", "x")
        .box("arrive", "y")
        .box("arrive", "z");
    EXPECT_TRUE(audit::checkColdStart(warm.ledger, auditSettings()).empty());
    LedgerBuilder fell;
    fell.box("fell", "");
    EXPECT_EQ(audit::checkColdStart(fell.ledger, auditSettings()).size(), 1u);
}

TEST(Audit, Rule5RungAndSeatLimits) {
    LedgerBuilder good;
    good.box("arrive", "x")
        .box("arrive", "y")
        .box("release", "x")
        .box("arrive", "z")
        .advance(kSecond)
        .box("segment", "z");
    EXPECT_TRUE(audit::checkRoomLimits(good.ledger, auditSettings()).empty());
    LedgerBuilder seats;
    seats.box("arrive", "x").box("arrive", "y").box("arrive", "z").advance(kSecond).box("segment", "z");
    EXPECT_EQ(audit::checkRoomLimits(seats.ledger, auditSettings()).size(), 1u);
    LedgerBuilder inTransit;
    inTransit.box("arrive", "x")
        .box("arrive", "y")
        .box("arrive", "z")
        .advance(10'000)
        .box("release", "x")
        .advance(kSecond)
        .box("segment", "z");
    EXPECT_TRUE(audit::checkRoomLimits(inTransit.ledger, auditSettings()).empty());
    LedgerBuilder floor;
    floor.box("arrive", "x", 1, 0, "paid", 0);
    EXPECT_EQ(audit::checkRoomLimits(floor.ledger, auditSettings()).size(), 1u);
}

TEST(Audit, Rule6JoinBudget) {
    LedgerBuilder good;
    good.player("ask", "x").box("arrive", "x", 1, 1).box("arrive", "y", 1, 1);
    EXPECT_TRUE(audit::checkJoinBudget(good.ledger, auditSettings()).empty());
    LedgerBuilder bad;
    bad.player("ask", "x").box("arrive", "x", 1, 1).box("arrive", "y", 1, 1).box("arrive", "z", 1, 1);
    EXPECT_EQ(audit::checkJoinBudget(bad.ledger, auditSettings()).size(), 1u);
}

TEST(Ledger, RoundTripsThroughJson) {
    LedgerBuilder s;
    s.player("ask", "x").box("arrive", "y", 3, 2).notify(1, 2);
    std::stringstream text;
    s.ledger.write(text);
    const Ledger readBack = Ledger::read(text);
    ASSERT_EQ(readBack.lines().size(), 3u);
    EXPECT_EQ(readBack.lines()[1].join, 2);
    EXPECT_EQ(readBack.lines()[2].status, 2);
    std::stringstream bad("{}\nnonsense\n");
    EXPECT_THROW(Ledger::read(bad), std::runtime_error);
}

}  // namespace
}  // namespace valekeel
