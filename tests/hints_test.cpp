#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "hints/cmcd.hpp"
#include "hints/cmsd.hpp"
#include "logging/trace_context.hpp"

namespace valekeel {
namespace {

using namespace hints;

std::string again(std::string_view text) {
    const auto list = parseList(text);
    return list ? write(*list).value_or("unwritable") : "refused";
}

TEST(StructuredFields, FollowRfc8941) {
    EXPECT_EQ(again("1, -2 ,\t3"), "1, -2, 3");
    EXPECT_EQ(again("1.5, 2.0, -0.125"), "1.5, 2.0, -0.125");
    EXPECT_EQ(again("\"a\\\"b\\\\\""), "\"a\\\"b\\\\\"");
    EXPECT_EQ(again("tok/en:x;a;b=?0;c=1"), "tok/en:x;a;b=?0;c=1");
    EXPECT_EQ(again("(1 2);q=3, ()"), "(1 2);q=3, ()");
    EXPECT_EQ(again(":aGVsbG8=:"), ":aGVsbG8=:");
    EXPECT_EQ(again(""), "");
    for (const char* bad :
         {"1,", ",1", "1 2", "1.", "1.2345", "1234567890123456", "1234567890123.1", "\"a", "\"\\n\"", "?2",
          "(1", "(1,2)", "a;B=1", "a; =1", ":a%:", "--1", "\x7f", "\"\xc3\xa9\""})
        EXPECT_EQ(again(bad), "refused") << bad;
    const auto dictionary = parseDictionary("a=1, b, c=?0, a=2;x");
    ASSERT_TRUE(dictionary);
    EXPECT_EQ(*write(*dictionary), "a=2;x, b, c=?0");
    EXPECT_FALSE(parseDictionary("A=1"));
    EXPECT_FALSE(parseItem("1, 2"));
}

TEST(StructuredFields, WhatIsWrittenReadsBackTheSame) {
    rc::check([] {
        List list;
        const auto count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i) {
            Item item;
            switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    item.value = *rc::gen::inRange<std::int64_t>(-999'999'999'999'999, 999'999'999'999'999);
                    break;
                case 1:
                    item.value =
                        Decimal{*rc::gen::inRange<std::int64_t>(-999'999'999'999'999, 999'999'999'999'999)};
                    break;
                case 2:
                    item.value = *rc::gen::container<std::string>(rc::gen::inRange<char>(0x20, 0x7f));
                    break;
                case 3:
                    item.value = Bytes{*rc::gen::container<std::string>(rc::gen::arbitrary<char>())};
                    break;
                default:
                    item.value = *rc::gen::arbitrary<bool>();
            }
            if (*rc::gen::arbitrary<bool>()) item.params.set("k" + std::to_string(i), Token{"t*"});
            list.push_back(item);
        }
        const auto text = write(list);
        RC_ASSERT(text.has_value());
        RC_ASSERT(parseList(*text) == std::optional(list));
    });
}

std::uint64_t dropped(const CmcdReader& r, DropReason why) {
    return r.dropped()[static_cast<std::size_t>(why)];
}

TEST(Cmcd, ReadsAllKeysFromHeadersQueryAndJson) {
    CmcdReader h;
    h.header(0, "br=3200,d=4004,ot=v,tb=6000");
    h.header(1, "bl=21300,dl=18500,mtp=48100,nor=\"..%2F300kbps%2Ftrack.m4v\",nrr=\"12323-48763\",su");
    h.header(2, "cid=\"faec5fc2\",pr=1.08,sf=h,sid=\"6e2fb550\",st=v,com.example-x=\"y\",v=1");
    h.header(3, "bs,rtp=12000");
    const Cmcd c = h.finish();
    EXPECT_EQ(c.br, 3200);
    EXPECT_EQ(c.d, 4004);
    EXPECT_EQ(c.ot, "v");
    EXPECT_EQ(c.nor, "../300kbps/track.m4v");
    EXPECT_EQ(c.nrr, "12323-48763");
    EXPECT_EQ(c.su, true);
    EXPECT_EQ(c.sid, "6e2fb550");
    EXPECT_EQ(c.pr->thousandths, 1080);
    EXPECT_EQ(c.rtp, 12000);
    EXPECT_EQ(c.custom.size(), 1u);
    for (const auto count : h.dropped()) EXPECT_EQ(count, 0u);
    // The same by the other two ways.
    Cmcd plain = c;
    CmcdReader q, j;
    q.query(writeCmcdQuery(c));
    j.json(writeCmcdJson(c));
    EXPECT_EQ(writeCmcdQuery(q.finish()), writeCmcdQuery(plain));
    EXPECT_EQ(writeCmcdQuery(j.finish()), writeCmcdQuery(plain));
    // Alphabetical, and nothing that is default.
    plain.pr = Decimal{1000};
    plain.su = false;
    EXPECT_EQ(writeCmcdHeader(plain, 0), "br=3200,d=4004,ot=v,tb=6000");
    EXPECT_EQ(writeCmcdHeader(plain, 2), "cid=\"faec5fc2\",com.example-x=\"y\",sf=h,sid=\"6e2fb550\",st=v");
}

TEST(Cmcd, DropsWhatIsWrongAndKeepsTheRest) {
    CmcdReader r;
    r.header(1, "bl=abc,dl=-5,mtp=\"7\",su=3,=,x,nor=\"%zz\"");
    r.header(0, "ot=zz,br=1,br=2,tb=99999999999999999999");
    r.header(2, "sid=\"" + std::string(65, 's') + "\",cid=\"ok\",my-key=\"" + std::string(200, 'c') + "\"");
    r.header(3, "rtp=5," + std::string(5'000, ' '));
    const Cmcd c = r.finish();
    EXPECT_EQ(c.cid, "ok");
    EXPECT_EQ(c.br, 1);
    EXPECT_FALSE(c.sid || c.bl || c.dl || c.mtp || c.su || c.ot || c.tb || c.nor || c.rtp);
    EXPECT_EQ(dropped(r, DropReason::Duplicate), 1u);
    EXPECT_GE(dropped(r, DropReason::WrongType), 2u);
    EXPECT_GE(dropped(r, DropReason::OutOfRange), 2u);
    EXPECT_EQ(dropped(r, DropReason::TooLong), 3u);
    EXPECT_GE(dropped(r, DropReason::UnknownKey), 1u);
    EXPECT_GE(dropped(r, DropReason::Malformed), 3u);
}

TEST(Cmcd, QuotesHideCommasAndWrongHeadersStillCount) {
    CmcdReader r;
    r.header(3, "sid=\"a,b\\\"c\",bl=5");
    const Cmcd c = r.finish();
    EXPECT_EQ(c.sid, "a,b\"c");
    EXPECT_EQ(c.bl, 5);
    EXPECT_EQ(dropped(r, DropReason::WrongHeader), 2u);
}

TEST(Cmcd, HintsThatContradictEachOtherGoBoth) {
    CmcdReader r;
    r.query("br=9000,tb=100,dl=900000,bl=20000,sid=\"s\"");
    const Cmcd c = r.finish();
    EXPECT_FALSE(c.br || c.tb || c.dl);
    EXPECT_EQ(c.sid, "s");
    EXPECT_EQ(dropped(r, DropReason::Contradictory), 2u);
    CmcdReader later;
    later.query("v=2,sid=\"s\",bl=5");
    EXPECT_FALSE(later.finish().bl) << "a later version may mean another thing by it";
}

TEST(Cmcd, BrokenJsonIsDroppedWhole) {
    for (const char* bad : {"", "[", "[1]", "{\"sid\":", "{\"sid\":\"a\",}", "nul"}) {
        CmcdReader r;
        r.json(bad);
        EXPECT_EQ(writeCmcdQuery(r.finish()), "") << bad;
        EXPECT_EQ(dropped(r, DropReason::Malformed), 1u) << bad;
    }
    CmcdReader r;
    r.json(R"({"sid":"a","sid":"b","bl":[1],"br":1.5,"d":1e300})");
    r.finish();
    EXPECT_EQ(dropped(r, DropReason::Duplicate), 1u);
    EXPECT_EQ(dropped(r, DropReason::WrongType), 1u);
    EXPECT_EQ(dropped(r, DropReason::OutOfRange), 1u);
}

TEST(Cmcd, AnyBytesAtAllDoNoHarm) {
    rc::check([](const std::string& a, const std::string& b, const std::string& c) {
        CmcdReader r;
        r.header(0, a);
        r.query(b);
        r.json(c);
        const Cmcd out = r.finish();
        // What was kept can be carried on, and reads back as itself.
        CmcdReader back;
        back.query(writeCmcdQuery(out));
        RC_ASSERT(writeCmcdQuery(back.finish()) == writeCmcdQuery(out));
    });
}

TEST(Cmsd, EntriesAreKeptAndOwnOnesAppended) {
    CmsdEntry own;
    own.by = "front";
    own.mb = 720;
    own.du = true;
    EXPECT_EQ(appendEntry("\"box-1\";etp=96;org.valekeel-lu=0.25, \"cdn\";rtt=8", own),
              "\"box-1\";etp=96;org.valekeel-lu=0.25, \"cdn\";rtt=8, \"front\";mb=720;du");
    EXPECT_EQ(appendEntry("\"broken", own), "\"front\";mb=720;du");
    const auto entries =
        parseCmsdDynamic("\"box-1\";etp=96;rd=-3;du;org.valekeel-lu=0.25, 7, \"x\";mb=\"no\"");
    ASSERT_EQ(entries.size(), 2u);
    EXPECT_EQ(entries[0].etp, 96);
    EXPECT_FALSE(entries[0].rd);
    EXPECT_TRUE(entries[0].du);
    EXPECT_DOUBLE_EQ(*customNumber(entries[0], kLinkUseKey), 0.25);
    EXPECT_FALSE(entries[1].mb);
    bool broken = false;
    EXPECT_TRUE(parseCmsdDynamic("\"a\";;", &broken).empty());
    EXPECT_TRUE(broken);
    const auto fixed = parseCmsdStatic("ot=v,sf=h,st=l,d=2000,br=320,n=\"origin\",at=\"no\"");
    ASSERT_TRUE(fixed);
    EXPECT_EQ(fixed->n, "origin");
    EXPECT_EQ(fixed->br, 320);
    EXPECT_FALSE(fixed->at);
    EXPECT_FALSE(parseCmsdStatic("ot==v"));
}

TEST(TraceContext, KeepsGoodIdsAndReplacesBroken) {
    const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    ASSERT_TRUE(logging::parseTraceParent(good));
    EXPECT_EQ(logging::write(*logging::parseTraceParent(good)), good);
    EXPECT_TRUE(logging::parseTraceParent("cc" + good.substr(2) + "-later"));
    for (const std::string& bad :
         {std::string(), good.substr(1), "ff" + good.substr(2), good + "x", good + "-more",
          std::string("00-00000000000000000000000000000000-00f067aa0ba902b7-01"),
          std::string("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"),
          std::string("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01")})
        EXPECT_FALSE(logging::parseTraceParent(bad)) << bad;
}

}  // namespace
}  // namespace valekeel
