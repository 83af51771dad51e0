// Tests of the KDL parser and printer, and of the validation of a front's settings.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "front/front.hpp"
#include "settings/document.hpp"

namespace valekeel {
namespace {

using namespace settings;

std::string reprint(const std::string& text) {
    return printKdl(parseKdl("t", text));
}
std::string errorPosition(const std::string& text) {
    try {
        parseKdl("t", text);
    } catch (const SettingsError& error) {
        return std::to_string(error.at.line) + ":" + std::to_string(error.at.column);
    }
    return "no error";
}

TEST(Kdl, ReadsEachKindOfValue) {
    EXPECT_EQ(reprint("a 1 -2.5e3 0xff 0o17 0b1_01 1_000 +7"), "a 1 -2.5e3 0xff 0o17 0b1_01 1_000 +7\n");
    EXPECT_EQ(reprint("a #true #false #null #inf #-inf #nan"), "a #true #false #null #inf #-inf #nan\n");
    EXPECT_EQ(reprint("a \"x\\n\\u{e9}\\s\\\"\" bare-word b=\"c d\""),
              "a \"x\\né \\\"\" bare-word b=\"c d\"\n");
    EXPECT_EQ(reprint("a #\"raw \\n\"# ##\"with \"# in\"##"), "a \"raw \\\\n\" \"with \\\"# in\"\n");
    EXPECT_EQ(reprint("(t)a (u8)1 p=(date)\"x\""), "(t)a (u8)1 p=(date)x\n");
    EXPECT_EQ(reprint("a \"one \\\n   two\""), "a \"one two\"\n");
    const auto number = std::get<Number>(parseKdl("t", "a -0x10")[0].arguments[0].data);
    EXPECT_EQ(number.whole, -16);
    EXPECT_DOUBLE_EQ(number.value, -16);
}

TEST(Kdl, MultilineStringsAreDedentedByTheLastLine) {
    EXPECT_EQ(reprint("a \"\"\"\n    one\n      two\n\n    \"\"\""), "a \"one\\n  two\\n\"\n");
    EXPECT_EQ(reprint("a #\"\"\"\n  \\n \"quoted\"\n  \"\"\"#"), "a \"\\\\n \\\"quoted\\\"\"\n");
    EXPECT_EQ(reprint("a \"\"\"\n\"\"\""), "a \"\"\n");
    EXPECT_NE(errorPosition("a \"\"\"\n  one\n    \"\"\""), "no error");
    EXPECT_NE(errorPosition("a \"\"\"one\"\"\""), "no error");
    EXPECT_NE(errorPosition("a \"\"\"\n  one\"\"\""), "no error");
}

TEST(Kdl, CommentsSlashdashAndLineContinuation) {
    EXPECT_EQ(reprint("// one\na /* x /* nested */ y */ 1 \\ // more\n  2\n"), "a 1 2\n");
    EXPECT_EQ(reprint("a /-1 2 /-p=3 /-{ x; } { y; }\n/-b { c; }\nd"), "a 2 {\n    y\n}\nd\n");
    EXPECT_EQ(reprint("/- kdl-version 2\na"), "a\n");
    EXPECT_EQ(reprint("a;b;c{d;e}"), "a\nb\nc {\n    d\n    e\n}\n");
    EXPECT_EQ(reprint("a p=1 p=2 q = 3"), "a p=2 q=3\n");
    EXPECT_EQ(reprint("\xef\xbb\xbf"
                      "a"),
              "a\n");
    EXPECT_EQ(reprint("a\r\nb\rc\xc2\x85"
                      "d"),
              "a\nb\nc\nd\n");
}

TEST(Kdl, ErrorsReportLineAndColumn) {
    EXPECT_EQ(errorPosition("a\nb \"open"), "2:3");
    EXPECT_EQ(errorPosition("a {\n  b\n"), "1:3");
    EXPECT_EQ(errorPosition("a 1x"), "1:3");
    EXPECT_EQ(errorPosition("a true"), "1:3");
    EXPECT_EQ(errorPosition("a .5"), "1:3");
    EXPECT_EQ(errorPosition("a #yes"), "1:3");
    EXPECT_EQ(errorPosition("a \"\\q\""), "1:5");
    EXPECT_EQ(errorPosition("a \"\\u{110000}\""), "1:5");
    EXPECT_EQ(errorPosition("é }"), "1:3");
    EXPECT_EQ(errorPosition("a \xff"), "1:3");
    EXPECT_EQ(errorPosition("a \x01"), "1:3");
    EXPECT_EQ(errorPosition("a\"b\""), "1:2");
    EXPECT_EQ(errorPosition("/*"), "1:1");
    EXPECT_EQ(errorPosition("a { b } c"), "1:9");
    EXPECT_EQ(errorPosition("/-"), "1:3");
    EXPECT_EQ(errorPosition("/- kdl-version 1\na"), "1:1");
    EXPECT_NE(errorPosition(std::string(200, '{')), "no error");
    std::string deep;
    for (int i = 0; i < 100; ++i) deep += "a{";
    EXPECT_NE(errorPosition(deep), "no error");
    try {
        parseKdl("site.kdl", "one\ntwo \"x\" 3z\n");
        FAIL();
    } catch (const SettingsError& error) {
        EXPECT_STREQ(
            error.what(),
            "site.kdl:2:9: malformed number: unexpected character after the digits\n    two \"x\" 3z\n  "
            "          ^");
    }
}

TEST(Kdl, PrintedTextParsesBackToTheSame) {
    rc::check([](const std::vector<std::string>& words, double number, bool flag) {
        Node node;
        node.name = "n";
        for (const std::string& w : words) {
            std::string clean;  // KDL text must be valid UTF-8
            for (const char c : w) clean += static_cast<char>(c & 0x7f);
            node.arguments.push_back(Value{std::nullopt, clean, {}});
        }
        node.properties.emplace_back("flag", Value{std::nullopt, flag, {}});
        char text[64];
        std::snprintf(text, sizeof text, "%.17g", std::isfinite(number) ? number : 0.0);
        node.properties.emplace_back("x y", Value{"t", Number{text, number, {}}, {}});
        node.braces = true;
        node.children.push_back(Node{std::nullopt, "", {}, {}, {}, {}, false});
        const std::string printed = printKdl({node});
        RC_ASSERT(reprint(printed) == printed);
        const auto parsed = parseKdl("t", printed);
        RC_ASSERT(parsed[0].arguments.size() == node.arguments.size());
        for (std::size_t i = 0; i < node.arguments.size(); ++i)
            RC_ASSERT(parsed[0].arguments[i].data == node.arguments[i].data);
    });
}

TEST(Kdl, ArbitraryBytesParseOrThrow) {
    rc::check([](const std::string& bytes) {
        try {
            const auto nodes = parseKdl("t", bytes);
            const std::string printed = printKdl(nodes);
            RC_ASSERT(reprint(printed) == printed);
        } catch (const SettingsError&) {
        }
    });
}

std::string settingsError(const std::string& text) {
    try {
        front::Front::check(Document::fromText("site.kdl", text));
    } catch (const SettingsError& error) {
        return error.brief;
    }
    return "valid";
}

const char* const kSite = R"(front "a"
http listen="127.0.0.1:0"
list file="b.kdl"
ladder { rung kb=10 worth=0.5; rung kb=20 worth=1; }
room-type "r" client-timeout="3s" join-objective="1s"
fleet cells=1 links-kb=10 { kind "k" places=5; }
talk "t"
)";

std::string siteWith(const std::string& from, const std::string& to) {
    std::string text = kSite;
    const auto at = text.find(from);
    return text.replace(at, from.size(), to);
}

TEST(Settings, ErrorsReportPositionAndSuggestNames) {
    EXPECT_EQ(settingsError(kSite), "valid");
    EXPECT_EQ(settingsError(siteWith("links-kb", "link-kb")), "site.kdl:6:1: 'fleet' needs links-kb=");
    EXPECT_EQ(settingsError(siteWith("worth=0.5", "worht=0.5")), "site.kdl:4:10: 'rung' needs worth=");
    EXPECT_EQ(settingsError(siteWith("worth=1;", "worth=1 kbs=3;")),
              "site.kdl:4:55: 'rung' has no property 'kbs='; did you mean 'kb'?");
    EXPECT_EQ(settingsError(siteWith("talk \"t\"", "talk \"t\"\nadmision waiting=3")),
              "site.kdl:8:1: unknown node 'admision' in the document; did you mean 'admission'?");
    EXPECT_EQ(settingsError(siteWith("\"3s\"", "3")),
              "site.kdl:5:30: client-timeout must be a duration with a unit, such as \"250ms\", \"2s\" or "
              "\"5min\"");
    EXPECT_EQ(settingsError(siteWith("\"127.0.0.1:0\"", "\"here\"")).substr(0, 14), "site.kdl:2:13:");
    EXPECT_EQ(settingsError(siteWith("kb=20", "kb=5")),
              "site.kdl:4:40: each rung must have a higher kb= than the one before");
    EXPECT_EQ(settingsError(siteWith("join-objective=\"1s\"", "join-objective=\"9s\"")),
              "site.kdl:5:50: join-objective must not exceed client-timeout");
    EXPECT_EQ(
        settingsError(siteWith("file=\"b.kdl\"", "file=\"b.kdl\" stream=\"127.0.0.1:1\"")).substr(0, 13),
        "site.kdl:3:1:");
    EXPECT_EQ(settingsError(siteWith("cells=1", "cells=0")),
              "site.kdl:6:13: cells must be between 1 and 100000");
    EXPECT_EQ(settingsError(siteWith("front \"a\"", "front \"a\"\nfront \"b\"")),
              "site.kdl:2:1: 'front' appears more than once; at most one is allowed");
    EXPECT_EQ(settingsError(siteWith("front \"a\"", "front \"a b/..\"")).substr(0, 13), "site.kdl:1:1:");
    EXPECT_EQ(settingsError(
                  siteWith("talk \"t\"", "talk \"t\"\nadmission { network \"10.0.0.1/8\" member=\"x\"; }"))
                  .substr(0, 14),
              "site.kdl:8:13:");
}

// Settings for several zones, live talks and other deployments; all are optional.
TEST(Settings, DeploymentOptionsAreValidated) {
    EXPECT_EQ(settingsError(siteWith("ladder {", "ladder join=0.3 {")), "valid");
    EXPECT_EQ(settingsError(siteWith("ladder {", "ladder join=1.3 {")),
              "site.kdl:4:13: join must be between 0 and 1");
    EXPECT_EQ(settingsError(siteWith("join-objective=\"1s\"", "join-objective=\"1s\" live=#true")), "valid");
    EXPECT_EQ(
        settingsError(siteWith("join-objective=\"1s\"", "join-objective=\"1s\" live=#true rate-factor=0"))
            .substr(0, 14),
        "site.kdl:5:78:");
    const std::string zones = "{ kind \"k\" places=5; zone \"east\"; zone \"west\"; }";
    EXPECT_EQ(settingsError(siteWith("{ kind \"k\" places=5; }", zones)), "valid");
    EXPECT_EQ(settingsError(
                  siteWith("{ kind \"k\" places=5; }", "{ kind \"k\" places=5; zone \"e\"; zone \"e\"; }")),
              "site.kdl:6:58: the name of a zone must be unique and not empty");
    std::string text = siteWith("{ kind \"k\" places=5; }", zones);
    text.replace(text.find("front \"a\""), 9, "front \"a\" zone=\"wets\"");
    EXPECT_EQ(settingsError(text),
              "site.kdl:1:16: a zone 'wets' is not among those of 'fleet'; did you mean 'west'?");
    EXPECT_EQ(settingsError(siteWith("talk \"t\"", "talk \"t\"\nprices cross-zone=-1")),
              "site.kdl:8:19: cross-zone must be between 0 and 1");
    EXPECT_EQ(settingsError(siteWith("talk \"t\"", "talk \"t\"\nprices cross-zoen=0.1")),
              "site.kdl:8:19: 'prices' has no property 'cross-zoen='; did you mean 'cross-zone'?");
    EXPECT_EQ(settingsError(siteWith("talk \"t\"", "talk \"t\"\ntidings every=\"0s\"")), "valid");
    EXPECT_EQ(settingsError(siteWith("talk \"t\"", "talk \"t\"\ntidings every=\"5ms\"")).substr(0, 13),
              "site.kdl:8:15");
    EXPECT_EQ(settingsError(siteWith("talk \"t\"", "talk \"t\"\nlearnt fiel=\"x\"")),
              "site.kdl:8:13: 'learnt' has no property 'fiel='; did you mean 'file'?");
}

TEST(Settings, EffectiveTextListsDefaultsAndIsValid) {
    const auto document = Document::fromText("site.kdl", kSite);
    front::Front::check(document);
    const std::string effective = document.effectiveText();
    for (const char* part : {"silent-after=\"20s\"", "answer-margin=\"120ms\"", "waiting=1000", "level=info",
                             "rung kb=10 worth=0.5", "room-type r client-timeout=\"3s\"", "set-up=free"})
        EXPECT_NE(effective.find(part), std::string::npos) << part << "\n" << effective;
    EXPECT_EQ(settingsError(effective), "valid");
}

TEST(Settings, DurationsNeedAUnit) {
    EXPECT_EQ(parseDuration("1500us"), 1500);
    EXPECT_EQ(parseDuration("1.5min"), 90 * kSecond);
    for (const char* malformed : {"", "5", "s", "5 s", "5sec", "nans", "1e30h"})
        EXPECT_FALSE(parseDuration(malformed)) << malformed;
}

}  // namespace
}  // namespace valekeel
