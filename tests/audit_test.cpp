// Each rule's check is itself tested: a ledger that keeps the rule passes, one that breaks it is caught.
#include "audit/audit.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace valekeel {
namespace {

using fakes::Ledger;
using fakes::Line;

audit::AuditSettings terms() {
    audit::AuditSettings t;
    t.rooms["paid"] = {5 * kSecond, true, 1, 2};
    t.rooms["open"] = {3 * kSecond, false, 0, 0};
    t.warmUp = 10 * kSecond;
    t.tipAfter = kSecond;
    t.firstShare = 0.5;
    t.fallMultiple = 2;
    t.budgeted = true;
    t.budgetFree = 2;
    t.budgetShare = 0.1;
    t.budgetWindow = 10 * kSecond;
    return t;
}

struct Story {
    Ledger ledger;
    Micros now = 0;
    Story& pass(Micros t) {
        now += t;
        return *this;
    }
    Line base(const char* what, const std::string& trace, const std::string& room) {
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
    Story& player(const char* what, const std::string& trace, const std::string& room = "paid",
                  int status = 0, double number = 1'000) {
        Line l = base(what, trace, room);
        l.player = 1;
        l.status = status;
        l.number = number;
        ledger.add(l);
        return *this;
    }
    Story& box(const char* what, const std::string& trace, int box = 1, int join = 0,
               const std::string& room = "paid", int rung = 1, double number = 0) {
        Line l = base(what, trace, room);
        l.box = box;
        l.join = join;
        l.rung = rung;
        l.number = number;
        ledger.add(l);
        return *this;
    }
    Story& told(int box, int status) {
        Line l = base("told", "", "");
        l.box = box;
        l.status = status;
        ledger.add(l);
        return *this;
    }
};

TEST(Audit, Rule1OneAnswerInTime) {
    Story good;
    good.player("ask", "x").player("answer", "x", "paid", 200);
    EXPECT_TRUE(audit::oneAnswer(good.ledger, terms(), {}).empty());
    Story late;
    late.player("ask", "x").player("answer", "x", "paid", 200, 5.1e6);
    EXPECT_EQ(audit::oneAnswer(late.ledger, terms(), {}).size(), 1u);
    Story twice;
    twice.player("ask", "x").player("answer", "x", "paid", 200).player("answer", "x", "paid", 200);
    EXPECT_EQ(audit::oneAnswer(twice.ledger, terms(), {}).size(), 1u);
    Story unasked;
    unasked.player("ask", "x").player("answer", "x", "paid", 200).player("second-answer", "x");
    EXPECT_EQ(audit::oneAnswer(unasked.ledger, terms(), {}).size(), 1u);
    Story odd;
    odd.player("ask", "x").player("answer", "x", "paid", 500);
    EXPECT_EQ(audit::oneAnswer(odd.ledger, terms(), {}).size(), 1u);
    Story never;
    never.player("ask", "x").pass(kSecond).player("no-answer", "x", "paid", 1);
    EXPECT_EQ(audit::oneAnswer(never.ledger, terms(), {}).size(), 1u);
    EXPECT_TRUE(audit::oneAnswer(never.ledger, terms(), {{"a", {500'000, 2 * kSecond}}}).empty())
        << "a killed front's duty";
    EXPECT_EQ(audit::oneAnswer(never.ledger, terms(), {{"b", {500'000, 2 * kSecond}}}).size(), 1u);
}

TEST(Audit, Rule2NoSetUpTwice) {
    Story good;
    good.box("arrive", "x")
        .box("unseen", "x")
        .box("arrive", "x", 2, 1)
        .box("charged", "x", 2, 1)
        .box("plays", "x", 2, 1);
    EXPECT_TRUE(audit::noSetUpTwice(good.ledger, terms()).empty());
    Story again;
    again.box("arrive", "x")
        .box("charged", "x")
        .box("answer-lost", "x")
        .pass(kSecond)
        .box("arrive", "x", 2, 1);
    EXPECT_EQ(audit::noSetUpTwice(again.ledger, terms()).size(), 1u);
    Story freely;
    freely.box("arrive", "x", 1, 0, "open")
        .box("charged", "x", 1, 0, "open")
        .box("error", "x", 1, 0, "open")
        .box("arrive", "x", 2, 1, "open")
        .box("charged", "x", 2, 1, "open");
    EXPECT_TRUE(audit::noSetUpTwice(freely.ledger, terms()).empty());
    Story refused;
    refused.box("arrive", "x").box("charged", "x").box("answer-lost", "x").player("answer", "x", "paid", 503);
    EXPECT_EQ(audit::noSetUpTwice(refused.ledger, terms()).size(), 1u);
    Story both;
    both.box("arrive", "x", 1, 0, "open")
        .pass(kSecond)
        .box("arrive", "x", 2, 1, "open")
        .pass(kSecond)
        .box("plays", "x", 1, 0, "open");
    EXPECT_EQ(audit::noSetUpTwice(both.ledger, terms()).size(), 1u);
    Story crossing;
    crossing.box("arrive", "x", 1, 0, "open")
        .pass(kSecond)
        .box("arrive", "x", 2, 1, "open")
        .pass(10'000)
        .box("called-off", "x", 1, 0, "open");
    EXPECT_TRUE(audit::noSetUpTwice(crossing.ledger, terms()).empty());
}

TEST(Audit, Rule3DrainsKept) {
    Story good;
    good.told(1, 1).pass(400'000).box("arrive", "x");
    EXPECT_TRUE(audit::drainsKept(good.ledger, terms()).empty());
    Story bad;
    bad.told(1, 1).pass(700'000).told(1, 2).box("arrive", "x");
    EXPECT_EQ(audit::drainsKept(bad.ledger, terms()).size(), 1u) << "a second notice starts no second grace";
    Story back;
    back.told(1, 2).pass(kSecond).told(1, 0).box("arrive", "x");
    EXPECT_TRUE(audit::drainsKept(back.ledger, terms()).empty());
}

TEST(Audit, Rule4ColdSpared) {
    // 10 places over 10 s at half: 0.5 a second, twice that borne, in spans of 1 s: one, and one for the
    // edge.
    Story good;
    good.box("started", "", 1, 0, "", 0, 10).box("arrive", "x").pass(1'100'000).box("arrive", "y");
    EXPECT_TRUE(audit::coldSpared(good.ledger, terms()).empty());
    Story bad;
    bad.box("started", "", 1, 0, "", 0, 10).box("arrive", "x").box("arrive", "y").box("arrive", "z");
    EXPECT_EQ(audit::coldSpared(bad.ledger, terms()).size(), 1u);
    Story warm;
    warm.box("started", "", 1, 0, "", 0, 10)
        .pass(11 * kSecond)
        .box("arrive", "x")
        .box("arrive", "y")
        .box("arrive", "z");
    EXPECT_TRUE(audit::coldSpared(warm.ledger, terms()).empty());
    Story fell;
    fell.box("fell", "");
    EXPECT_EQ(audit::coldSpared(fell.ledger, terms()).size(), 1u);
}

TEST(Audit, Rule5TermsKept) {
    Story good;
    good.box("arrive", "x")
        .box("arrive", "y")
        .box("release", "x")
        .box("arrive", "z")
        .pass(kSecond)
        .box("segment", "z");
    EXPECT_TRUE(audit::termsKept(good.ledger, terms()).empty());
    Story seats;
    seats.box("arrive", "x").box("arrive", "y").box("arrive", "z").pass(kSecond).box("segment", "z");
    EXPECT_EQ(audit::termsKept(seats.ledger, terms()).size(), 1u);
    Story crossing;
    crossing.box("arrive", "x")
        .box("arrive", "y")
        .box("arrive", "z")
        .pass(10'000)
        .box("release", "x")
        .pass(kSecond)
        .box("segment", "z");
    EXPECT_TRUE(audit::termsKept(crossing.ledger, terms()).empty());
    Story floor;
    floor.box("arrive", "x", 1, 0, "paid", 0);
    EXPECT_EQ(audit::termsKept(floor.ledger, terms()).size(), 1u);
}

TEST(Audit, Rule6BudgetKept) {
    Story good;
    good.player("ask", "x").box("arrive", "x", 1, 1).box("arrive", "y", 1, 1);
    EXPECT_TRUE(audit::budgetKept(good.ledger, terms()).empty());
    Story bad;
    bad.player("ask", "x").box("arrive", "x", 1, 1).box("arrive", "y", 1, 1).box("arrive", "z", 1, 1);
    EXPECT_EQ(audit::budgetKept(bad.ledger, terms()).size(), 1u);
}

TEST(Ledger, ReadsBackWhatItWrote) {
    Story s;
    s.player("ask", "x").box("arrive", "y", 3, 2).told(1, 2);
    std::stringstream text;
    s.ledger.write(text);
    const Ledger back = Ledger::read(text);
    ASSERT_EQ(back.lines().size(), 3u);
    EXPECT_EQ(back.lines()[1].join, 2);
    EXPECT_EQ(back.lines()[2].status, 2);
    std::stringstream bad("{}\nnonsense\n");
    EXPECT_THROW(Ledger::read(bad), std::runtime_error);
}

}  // namespace
}  // namespace valekeel
