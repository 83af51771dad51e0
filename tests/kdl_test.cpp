#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "front/front.hpp"
#include "settings/document.hpp"

namespace valekeel {
namespace {

using namespace settings;

std::string again(const std::string& text) {
    return printKdl(parseKdl("t", text));
}
std::string wrongAt(const std::string& text) {
    try {
        parseKdl("t", text);
    } catch (const SettingsError& w) {
        return std::to_string(w.at.line) + ":" + std::to_string(w.at.column);
    }
    return "fine";
}

TEST(Kdl, ReadsEachKindOfValue) {
    EXPECT_EQ(again("a 1 -2.5e3 0xff 0o17 0b1_01 1_000 +7"), "a 1 -2.5e3 0xff 0o17 0b1_01 1_000 +7\n");
    EXPECT_EQ(again("a #true #false #null #inf #-inf #nan"), "a #true #false #null #inf #-inf #nan\n");
    EXPECT_EQ(again("a \"x\\n\\u{e9}\\s\\\"\" bare-word b=\"c d\""),
              "a \"x\\né \\\"\" bare-word b=\"c d\"\n");
    EXPECT_EQ(again("a #\"raw \\n\"# ##\"with \"# in\"##"), "a \"raw \\\\n\" \"with \\\"# in\"\n");
    EXPECT_EQ(again("(t)a (u8)1 p=(date)\"x\""), "(t)a (u8)1 p=(date)x\n");
    EXPECT_EQ(again("a \"one \\\n   two\""), "a \"one two\"\n");
    const auto number = std::get<Number>(parseKdl("t", "a -0x10")[0].arguments[0].data);
    EXPECT_EQ(number.whole, -16);
    EXPECT_DOUBLE_EQ(number.value, -16);
}

TEST(Kdl, MultilineStringsLoseTheIndentOfTheirLastLine) {
    EXPECT_EQ(again("a \"\"\"\n    one\n      two\n\n    \"\"\""), "a \"one\\n  two\\n\"\n");
    EXPECT_EQ(again("a #\"\"\"\n  \\n \"quoted\"\n  \"\"\"#"), "a \"\\\\n \\\"quoted\\\"\"\n");
    EXPECT_EQ(again("a \"\"\"\n\"\"\""), "a \"\"\n");
    EXPECT_NE(wrongAt("a \"\"\"\n  one\n    \"\"\""), "fine");
    EXPECT_NE(wrongAt("a \"\"\"one\"\"\""), "fine");
    EXPECT_NE(wrongAt("a \"\"\"\n  one\"\"\""), "fine");
}

TEST(Kdl, CommentsSlashdashAndContinuedLines) {
    EXPECT_EQ(again("// one\na /* x /* nested */ y */ 1 \\ // more\n  2\n"), "a 1 2\n");
    EXPECT_EQ(again("a /-1 2 /-p=3 /-{ x; } { y; }\n/-b { c; }\nd"), "a 2 {\n    y\n}\nd\n");
    EXPECT_EQ(again("/- kdl-version 2\na"), "a\n");
    EXPECT_EQ(again("a;b;c{d;e}"), "a\nb\nc {\n    d\n    e\n}\n");
    EXPECT_EQ(again("a p=1 p=2 q = 3"), "a p=2 q=3\n");
    EXPECT_EQ(again("\xef\xbb\xbf"
                    "a"),
              "a\n");
    EXPECT_EQ(again("a\r\nb\rc\xc2\x85"
                    "d"),
              "a\nb\nc\nd\n");
}

TEST(Kdl, ErrorsNameLineAndColumn) {
    EXPECT_EQ(wrongAt("a\nb \"open"), "2:3");
    EXPECT_EQ(wrongAt("a {\n  b\n"), "1:3");
    EXPECT_EQ(wrongAt("a 1x"), "1:3");
    EXPECT_EQ(wrongAt("a true"), "1:3");
    EXPECT_EQ(wrongAt("a .5"), "1:3");
    EXPECT_EQ(wrongAt("a #yes"), "1:3");
    EXPECT_EQ(wrongAt("a \"\\q\""), "1:5");
    EXPECT_EQ(wrongAt("a \"\\u{110000}\""), "1:5");
    EXPECT_EQ(wrongAt("é }"), "1:3");
    EXPECT_EQ(wrongAt("a \xff"), "1:3");
    EXPECT_EQ(wrongAt("a \x01"), "1:3");
    EXPECT_EQ(wrongAt("a\"b\""), "1:2");
    EXPECT_EQ(wrongAt("/*"), "1:1");
    EXPECT_EQ(wrongAt("a { b } c"), "1:9");
    EXPECT_EQ(wrongAt("/-"), "1:3");
    EXPECT_EQ(wrongAt("/- kdl-version 1\na"), "1:1");
    EXPECT_NE(wrongAt(std::string(200, '{')), "fine");
    std::string deep;
    for (int i = 0; i < 100; ++i) deep += "a{";
    EXPECT_NE(wrongAt(deep), "fine");
    try {
        parseKdl("site.kdl", "one\ntwo \"x\" 3z\n");
        FAIL();
    } catch (const SettingsError& w) {
        EXPECT_STREQ(w.what(),
                     "site.kdl:2:9: this begins like a number and does not end like one\n    two \"x\" 3z\n  "
                     "          ^");
    }
}

TEST(Kdl, WhatIsPrintedReadsBackTheSame) {
    rc::check([](const std::vector<std::string>& words, double number, bool flag) {
        Node node;
        node.name = "n";
        for (const std::string& w : words) {
            std::string clean;  // KDL holds text, not any bytes
            for (const char c : w) clean += static_cast<char>(c & 0x7f);
            node.arguments.push_back(Value{std::nullopt, clean, {}});
        }
        node.properties.emplace_back("flag", Value{std::nullopt, flag, {}});
        char text[64];
        std::snprintf(text, sizeof text, "%.17g", std::isfinite(number) ? number : 0.0);
        node.properties.emplace_back("x y", Value{"t", Number{text, number, {}}, {}});
        node.braces = true;
        node.children.push_back(Node{std::nullopt, "", {}, {}, {}, {}, false});
        const std::string once = printKdl({node});
        RC_ASSERT(again(once) == once);
        const auto back = parseKdl("t", once);
        RC_ASSERT(back[0].arguments.size() == node.arguments.size());
        for (std::size_t i = 0; i < node.arguments.size(); ++i)
            RC_ASSERT(back[0].arguments[i].data == node.arguments[i].data);
    });
}

TEST(Kdl, AnyBytesAreReadOrRefused) {
    rc::check([](const std::string& bytes) {
        try {
            const auto nodes = parseKdl("t", bytes);
            const std::string once = printKdl(nodes);
            RC_ASSERT(again(once) == once);
        } catch (const SettingsError&) {
        }
    });
}

std::string complaint(const std::string& text) {
    try {
        front::Front::check(Document::fromText("site.kdl", text));
    } catch (const SettingsError& w) {
        return w.brief;
    }
    return "in order";
}

const char* const kSite = R"(front "a"
http listen="127.0.0.1:0"
list file="b.kdl"
ladder { rung kb=10 worth=0.5; rung kb=20 worth=1; }
room-type "r" client-timeout="3s" join-objective="1s"
fleet cells=1 links-kb=10 { kind "k" places=5; }
talk "t"
)";

std::string with(const std::string& from, const std::string& to) {
    std::string text = kSite;
    const auto at = text.find(from);
    return text.replace(at, from.size(), to);
}

TEST(Settings, AreCheckedWholeWithPlaceAndNearestName) {
    EXPECT_EQ(complaint(kSite), "in order");
    EXPECT_EQ(complaint(with("links-kb", "link-kb")), "site.kdl:6:1: 'fleet' needs links-kb=");
    EXPECT_EQ(complaint(with("worth=0.5", "worht=0.5")), "site.kdl:4:10: 'rung' needs worth=");
    EXPECT_EQ(complaint(with("worth=1;", "worth=1 kbs=3;")),
              "site.kdl:4:55: 'rung' knows no 'kbs='; did you mean 'kb'?");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\nadmision waiting=3")),
              "site.kdl:8:1: a node 'admision' is not known in the document; did you mean 'admission'?");
    EXPECT_EQ(complaint(with("\"3s\"", "3")),
              "site.kdl:5:30: client-timeout is expected to be a time with its unit, as \"250ms\", \"2s\" or "
              "\"5min\"");
    EXPECT_EQ(complaint(with("\"127.0.0.1:0\"", "\"here\"")).substr(0, 14), "site.kdl:2:13:");
    EXPECT_EQ(complaint(with("kb=20", "kb=5")), "site.kdl:4:40: rungs are expected to rise in kb");
    EXPECT_EQ(complaint(with("join-objective=\"1s\"", "join-objective=\"9s\"")),
              "site.kdl:5:50: the join objective is expected within the client timeout");
    EXPECT_EQ(complaint(with("file=\"b.kdl\"", "file=\"b.kdl\" stream=\"127.0.0.1:1\"")).substr(0, 13),
              "site.kdl:3:1:");
    EXPECT_EQ(complaint(with("cells=1", "cells=0")), "site.kdl:6:13: cells is expected between 1 and 100000");
    EXPECT_EQ(complaint(with("front \"a\"", "front \"a\"\nfront \"b\"")),
              "site.kdl:2:1: 'front' stands here a second time; one is expected");
    EXPECT_EQ(complaint(with("front \"a\"", "front \"a b/..\"")).substr(0, 13), "site.kdl:1:1:");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\nadmission { network \"10.0.0.1/8\" member=\"x\"; }"))
                  .substr(0, 14),
              "site.kdl:8:13:");
}

// What the move to another shape of deployment reads; each left out, all stays as it was.
TEST(Settings, OfAnotherShapeOfDeploymentAreCheckedToo) {
    EXPECT_EQ(complaint(with("ladder {", "ladder join=0.3 {")), "in order");
    EXPECT_EQ(complaint(with("ladder {", "ladder join=1.3 {")),
              "site.kdl:4:13: join is expected between 0 and 1");
    EXPECT_EQ(complaint(with("join-objective=\"1s\"", "join-objective=\"1s\" live=#true")), "in order");
    EXPECT_EQ(complaint(with("join-objective=\"1s\"", "join-objective=\"1s\" live=#true rate-factor=0"))
                  .substr(0, 14),
              "site.kdl:5:78:");
    const std::string zones = "{ kind \"k\" places=5; zone \"east\"; zone \"west\"; }";
    EXPECT_EQ(complaint(with("{ kind \"k\" places=5; }", zones)), "in order");
    EXPECT_EQ(complaint(with("{ kind \"k\" places=5; }", "{ kind \"k\" places=5; zone \"e\"; zone \"e\"; }")),
              "site.kdl:6:58: a zone needs a name of its own");
    std::string text = with("{ kind \"k\" places=5; }", zones);
    text.replace(text.find("front \"a\""), 9, "front \"a\" zone=\"wets\"");
    EXPECT_EQ(complaint(text),
              "site.kdl:1:16: a zone 'wets' is not among those of 'fleet'; did you mean 'west'?");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\nprices cross-zone=-1")),
              "site.kdl:8:19: cross-zone is expected between 0 and 1");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\nprices cross-zoen=0.1")),
              "site.kdl:8:19: 'prices' knows no 'cross-zoen='; did you mean 'cross-zone'?");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\ntidings every=\"0s\"")), "in order");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\ntidings every=\"5ms\"")).substr(0, 13),
              "site.kdl:8:15");
    EXPECT_EQ(complaint(with("talk \"t\"", "talk \"t\"\nlearnt fiel=\"x\"")),
              "site.kdl:8:13: 'learnt' knows no 'fiel='; did you mean 'file'?");
}

TEST(Settings, WhatIsInForceNamesEachDefaultAndIsInOrderItself) {
    const auto document = Document::fromText("site.kdl", kSite);
    front::Front::check(document);
    const std::string all = document.effectiveText();
    for (const char* part : {"silent-after=\"20s\"", "answer-margin=\"120ms\"", "waiting=1000", "level=info",
                             "rung kb=10 worth=0.5", "room-type r client-timeout=\"3s\"", "set-up=free"})
        EXPECT_NE(all.find(part), std::string::npos) << part << "\n" << all;
    EXPECT_EQ(complaint(all), "in order");
}

TEST(Settings, TimesNeedTheirUnits) {
    EXPECT_EQ(parseDuration("1500us"), 1500);
    EXPECT_EQ(parseDuration("1.5min"), 90 * kSecond);
    for (const char* bad : {"", "5", "s", "5 s", "5sec", "nans", "1e30h"})
        EXPECT_FALSE(parseDuration(bad)) << bad;
}

}  // namespace
}  // namespace valekeel
