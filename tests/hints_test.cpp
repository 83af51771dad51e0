#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "hints/cmcd.hpp"
#include "hints/cmsd.hpp"
#include "logging/trace_context.hpp"

namespace valekeel {
namespace {

using namespace hints;

std::string reserialized(std::string_view text) {
    const auto list = parseList(text);
    return list ? write(*list).value_or("unwritable") : "rejected";
}

TEST(StructuredFields, ParseAndSerializeByRfc8941) {
    EXPECT_EQ(reserialized("1, -2 ,\t3"), "1, -2, 3");
    EXPECT_EQ(reserialized("1.5, 2.0, -0.125"), "1.5, 2.0, -0.125");
    EXPECT_EQ(reserialized("\"a\\\"b\\\\\""), "\"a\\\"b\\\\\"");
    EXPECT_EQ(reserialized("tok/en:x;a;b=?0;c=1"), "tok/en:x;a;b=?0;c=1");
    EXPECT_EQ(reserialized("(1 2);q=3, ()"), "(1 2);q=3, ()");
    EXPECT_EQ(reserialized(":aGVsbG8=:"), ":aGVsbG8=:");
    EXPECT_EQ(reserialized(""), "");
    for (const char* malformed :
         {"1,", ",1", "1 2", "1.", "1.2345", "1234567890123456", "1234567890123.1", "\"a", "\"\\n\"", "?2",
          "(1", "(1,2)", "a;B=1", "a; =1", ":a%:", "--1", "\x7f", "\"\xc3\xa9\""})
        EXPECT_EQ(reserialized(malformed), "rejected") << malformed;
    const auto dictionary = parseDictionary("a=1, b, c=?0, a=2;x");
    ASSERT_TRUE(dictionary);
    EXPECT_EQ(*write(*dictionary), "a=2;x, b, c=?0");
    EXPECT_FALSE(parseDictionary("A=1"));
    EXPECT_FALSE(parseItem("1, 2"));
}

TEST(StructuredFields, RoundTripRandomLists) {
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
                    item.value = ByteSequence{*rc::gen::container<std::string>(rc::gen::arbitrary<char>())};
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

TEST(Cmcd, ParsesAllKeysFromHeadersQueryAndJson) {
    CmcdReader h;
    h.readHeader(0, "br=3200,d=4004,ot=v,tb=6000");
    h.readHeader(1, "bl=21300,dl=18500,mtp=48100,nor=\"..%2F300kbps%2Ftrack.m4v\",nrr=\"12323-48763\",su");
    h.readHeader(2, "cid=\"faec5fc2\",pr=1.08,sf=h,sid=\"6e2fb550\",st=v,com.example-x=\"y\",v=1");
    h.readHeader(3, "bs,rtp=12000");
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
    // The query and JSON forms must give the same hints.
    Cmcd expected = c;
    CmcdReader q, j;
    q.readQuery(writeCmcdQuery(c));
    j.readJson(writeCmcdJson(c));
    EXPECT_EQ(writeCmcdQuery(q.finish()), writeCmcdQuery(expected));
    EXPECT_EQ(writeCmcdQuery(j.finish()), writeCmcdQuery(expected));
    // Keys are in alphabetical order, defaults are left out.
    expected.pr = Decimal{1000};
    expected.su = false;
    EXPECT_EQ(writeCmcdHeader(expected, 0), "br=3200,d=4004,ot=v,tb=6000");
    EXPECT_EQ(writeCmcdHeader(expected, 2),
              "cid=\"faec5fc2\",com.example-x=\"y\",sf=h,sid=\"6e2fb550\",st=v");
}

TEST(Cmcd, DropsInvalidHintsAndKeepsTheRest) {
    CmcdReader r;
    r.readHeader(1, "bl=abc,dl=-5,mtp=\"7\",su=3,=,x,nor=\"%zz\"");
    r.readHeader(0, "ot=zz,br=1,br=2,tb=99999999999999999999");
    r.readHeader(2,
                 "sid=\"" + std::string(65, 's') + "\",cid=\"ok\",my-key=\"" + std::string(200, 'c') + "\"");
    r.readHeader(3, "rtp=5," + std::string(5'000, ' '));
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

TEST(Cmcd, KeepsQuotedCommasAndAcceptsKeysInWrongHeaders) {
    CmcdReader r;
    r.readHeader(3, "sid=\"a,b\\\"c\",bl=5");
    const Cmcd c = r.finish();
    EXPECT_EQ(c.sid, "a,b\"c");
    EXPECT_EQ(c.bl, 5);
    EXPECT_EQ(dropped(r, DropReason::WrongHeader), 2u);
}

TEST(Cmcd, DropsContradictoryHints) {
    CmcdReader r;
    r.readQuery("br=9000,tb=100,dl=900000,bl=20000,sid=\"s\"");
    const Cmcd c = r.finish();
    EXPECT_FALSE(c.br || c.tb || c.dl);
    EXPECT_EQ(c.sid, "s");
    EXPECT_EQ(dropped(r, DropReason::Contradictory), 2u);
    CmcdReader laterVersion;
    laterVersion.readQuery("v=2,sid=\"s\",bl=5");
    EXPECT_FALSE(laterVersion.finish().bl) << "a later version may redefine the key";
}

TEST(Cmcd, DropsMalformedJsonAsAWhole) {
    for (const char* malformed : {"", "[", "[1]", "{\"sid\":", "{\"sid\":\"a\",}", "nul"}) {
        CmcdReader r;
        r.readJson(malformed);
        EXPECT_EQ(writeCmcdQuery(r.finish()), "") << malformed;
        EXPECT_EQ(dropped(r, DropReason::Malformed), 1u) << malformed;
    }
    CmcdReader r;
    r.readJson(R"({"sid":"a","sid":"b","bl":[1],"br":1.5,"d":1e300})");
    r.finish();
    EXPECT_EQ(dropped(r, DropReason::Duplicate), 1u);
    EXPECT_EQ(dropped(r, DropReason::WrongType), 1u);
    EXPECT_EQ(dropped(r, DropReason::OutOfRange), 1u);
}

TEST(Cmcd, AcceptsArbitraryBytes) {
    rc::check([](const std::string& a, const std::string& b, const std::string& c) {
        CmcdReader r;
        r.readHeader(0, a);
        r.readQuery(b);
        r.readJson(c);
        const Cmcd out = r.finish();
        // The kept hints can be serialized, and parse to themselves.
        CmcdReader back;
        back.readQuery(writeCmcdQuery(out));
        RC_ASSERT(writeCmcdQuery(back.finish()) == writeCmcdQuery(out));
    });
}

TEST(Cmsd, KeepsEntriesAndAppendsItsOwn) {
    CmsdEntry own;
    own.server = "front";
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
    bool malformed = false;
    EXPECT_TRUE(parseCmsdDynamic("\"a\";;", &malformed).empty());
    EXPECT_TRUE(malformed);
    const auto staticData = parseCmsdStatic("ot=v,sf=h,st=l,d=2000,br=320,n=\"origin\",at=\"no\"");
    ASSERT_TRUE(staticData);
    EXPECT_EQ(staticData->n, "origin");
    EXPECT_EQ(staticData->br, 320);
    EXPECT_FALSE(staticData->at);
    EXPECT_FALSE(parseCmsdStatic("ot==v"));
}

TEST(TraceContext, ParsesValidHeadersAndRejectsMalformedOnes) {
    const std::string valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    ASSERT_TRUE(logging::parseTraceParent(valid));
    EXPECT_EQ(logging::write(*logging::parseTraceParent(valid)), valid);
    EXPECT_TRUE(logging::parseTraceParent("cc" + valid.substr(2) + "-later"));
    for (const std::string& invalid :
         {std::string(), valid.substr(1), "ff" + valid.substr(2), valid + "x", valid + "-more",
          std::string("00-00000000000000000000000000000000-00f067aa0ba902b7-01"),
          std::string("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"),
          std::string("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01")})
        EXPECT_FALSE(logging::parseTraceParent(invalid)) << invalid;
}

}  // namespace
}  // namespace valekeel
