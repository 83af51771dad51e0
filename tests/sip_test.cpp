// SIP without sockets: messages good and bad (the bad ones of the kinds of RFC 4475, each named by its
// section), transactions on a clock that is moved by hand, and overload control.
#include <gtest/gtest.h>

#include <random>

#include "manual_net.hpp"
#include "sip/message.hpp"
#include "sip/overload.hpp"
#include "sip/prefilter.hpp"
#include "sip/transactions.hpp"

namespace valekeel {
namespace {

using sip::Message;

std::string invite(const std::string& more = "", const std::string& body = "",
                   const std::string& branch = "z9hG4bKa1", const std::string& method = "INVITE") {
    return method +
           " sip:keynote@127.0.0.1;room=paid SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5071;branch=" + branch +
           ";rport\r\nMax-Forwards: 70\r\nFrom: \"A\" <sip:a@127.0.0.1>;tag=ft\r\nTo: "
           "<sip:keynote@127.0.0.1>\r\n"
           "Call-ID: c1@x\r\nCSeq: 7 " +
           method + "\r\nContact: <sip:a@127.0.0.1:5071>\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(SipMessage, ReadsWhatACallNeeds) {
    const auto p = sip::parse(
        invite("Session-Expires: 90;refresher=uac\r\nMin-SE: 30\r\nSupported: timer, 100rel\r\n"
               "Allow: INVITE, ACK, UPDATE\r\nExpires: 12\r\nRecord-Route: <sip:p@127.0.0.1;lr>\r\n"));
    ASSERT_TRUE(p.message) << p.why;
    const Message& m = *p.message;
    EXPECT_EQ(m.user, "keynote");
    EXPECT_EQ(m.uriParams.at("room"), "paid");
    EXPECT_EQ(m.vias[0].branch, "z9hG4bKa1");
    EXPECT_TRUE(m.vias[0].rport);
    EXPECT_EQ(m.from.tag, "ft");
    EXPECT_EQ(m.cseq, 7u);
    EXPECT_EQ(m.sessionExpires, 90);
    EXPECT_EQ(m.refresher, "uac");
    EXPECT_EQ(m.minSe, 30);
    EXPECT_EQ(m.expires, 12);
    EXPECT_EQ(m.supported, (std::vector<std::string>{"timer", "100rel"}));
    EXPECT_NE(std::find(m.allow.begin(), m.allow.end(), "update"), m.allow.end());
    EXPECT_EQ(m.recordRoutes.size(), 1u);
}

TEST(SipMessage, CompactFormsAndFoldedLinesAreTheSame) {  // RFC 4475, 3.1.1.1
    const auto p = sip::parse(
        "INVITE sip:t@h SIP/2.0\r\nv: SIP / 2.0 / UDP 10.0.0.1 ; branch=z9hG4bKx\r\nf: <sip:a@b>\r\n "
        ";tag=q\r\n"
        "t: <sip:t@h>\r\ni: 9@x\r\nCSeq: 0009\r\n  INVITE\r\nm: <sip:a@b>\r\nx: 60\r\nk: timer\r\nl: "
        "0\r\n\r\n");
    ASSERT_TRUE(p.message) << p.why;
    EXPECT_EQ(p.message->from.tag, "q");
    EXPECT_EQ(p.message->cseq, 9u);
    EXPECT_EQ(p.message->sessionExpires, 60);
}

TEST(SipMessage, BrokenOnesAreAnsweredWhereAnAnswerIsOwed) {
    const auto with = [](const std::string& from, const std::string& to) {
        std::string text = invite();
        text.replace(text.find(from), from.size(), to);
        return sip::parse(text);
    };
    struct Case {
        const char* section;
        sip::ParseResult parsed;
        int status;
    } cases[] = {
        {"3.1.2.4 overlarge CSeq", with("CSeq: 7 ", "CSeq: 36893488147419103232 "), 400},
        {"3.1.2.17 CSeq of another method", with("CSeq: 7 INVITE", "CSeq: 7 OPTIONS"), 400},
        {"3.1.2.16 unknown version", with("SIP/2.0\r\nVia", "SIP/7.0\r\nVia"), 505},
        {"3.3.1 missing From tag", with(";tag=ft", ""), 400},
        {"8.1.1.6 Max-Forwards out of range", with("Max-Forwards: 70", "Max-Forwards: 300"), 400},
        {"3.1.2.18 an answer with a broken CSeq is passed over",
         sip::parse("SIP/2.0 200 OK\r\nVia: SIP/2.0/UDP h;branch=z9hG4bKa\r\nFrom: <sip:a@b>;tag=1\r\nTo: "
                    "<sip:a@b>;tag=2\r\nCall-ID: x\r\nCSeq: zz\r\nContent-Length: 0\r\n\r\n"),
         0},
        {"3.3.1 missing Call-ID: nothing to match an answer by", with("Call-ID: c1@x\r\n", ""), 0},
        {"no Via: no way back", with("Via: SIP/2.0/UDP 127.0.0.1:5071;branch=z9hG4bKa1;rport\r\n", ""), 0},
        {"garbage", sip::parse("\x16\x03\x01 hello\r\n\r\n"), 0},
        {"empty", sip::parse(""), 0},
        {"3.1.2.13 an ACK is never answered",
         sip::parse(invite("", "", "z9hG4bKa", "ACK").replace(0, 3, "ACK")), 400},
    };
    for (const Case& c : cases) {
        if (c.section[0] == '3' && std::string(c.section).find("ACK") != std::string::npos) {
            EXPECT_TRUE(c.parsed.message) << c.section;
            continue;
        }
        EXPECT_FALSE(c.parsed.message) << c.section;
        EXPECT_EQ(c.parsed.status, c.status) << c.section << ": " << c.parsed.why;
        EXPECT_EQ(c.parsed.partial.has_value(), c.status != 0) << c.section;
    }
    EXPECT_EQ(sip::parse(invite("X: " + std::string(70'000, 'a') + "\r\n")).status, 0);
    EXPECT_EQ(sip::parse(std::string("INVITE \0 SIP/2.0\r\n\r\n", 20)).status, 0);
    // Broken UTF-8 in a display name is carried back as it came, and harms nobody (3.1.1.2 has it
    // well-formed).
    EXPECT_TRUE(with("\"A\"", "\"\xff\xfe\"").message);
}

TEST(SipMessage, AnswersCopyWhatTheyMustAndNothingEndsALine) {
    const auto p = sip::parse(invite("Record-Route: <sip:p@127.0.0.1;lr>\r\n"));
    ASSERT_TRUE(p.message);
    const auto peer = *net::parseEndpoint("127.0.0.9:6000");
    const std::string text = sip::response(*p.message, 503, "tt", {{"Retry-After", "3\r\nX: y"}}, "", &peer);
    EXPECT_NE(text.find("received=127.0.0.9"), std::string::npos);
    EXPECT_NE(text.find("rport=6000"), std::string::npos);
    EXPECT_NE(text.find(";tag=tt\r\n"), std::string::npos);
    EXPECT_EQ(text.find("\r\nX: y"), std::string::npos);
    const auto back = sip::parse(text);
    ASSERT_TRUE(back.message) << back.why;
    EXPECT_EQ(back.message->status, 503);
    EXPECT_EQ(back.message->method, "INVITE");
    EXPECT_EQ(back.message->recordRoutes.size(), 1u);
    EXPECT_EQ(sip::response(*p.message, 100, "tt", {}).find("tag=tt"), std::string::npos);
}

TEST(Sdp, TheVideoIsTakenAndAllElseRefusedInItsPlace) {
    const std::string offer =
        "v=0\r\no=a 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nb=AS:900\r\nt=0 0\r\nm=audio 4000 "
        "RTP/AVP 0\r\n"
        "m=video 4002 RTP/AVP 96 97\r\nb=TIAS:700000\r\na=recvonly\r\n";
    const auto read = sip::parseOffer(offer);
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->hasVideo && read->wantsVideo);
    EXPECT_EQ(read->maxBitrate, 700'000u);
    EXPECT_EQ(read->videoPort, 4002);
    const std::string answer = sip::writeAnswer(*read, *net::parseEndpoint("127.0.0.1:9001"), 224'000, 5, 1);
    EXPECT_NE(answer.find("m=audio 0 RTP/AVP 0\r\n"), std::string::npos);
    EXPECT_NE(answer.find("m=video 9001 RTP/AVP 96 97\r\nb=AS:224\r\nb=TIAS:224000\r\na=sendonly\r\n"),
              std::string::npos);
    EXPECT_LT(answer.find("m=audio"), answer.find("m=video"));
    EXPECT_FALSE(sip::parseOffer("nonsense"));
    const auto silent = sip::parseOffer(
        "v=0\r\no=a 1 1 IN IP4 1.2.3.4\r\ns=-\r\nc=IN IP4 1.2.3.4\r\nt=0 0\r\nm=video 5 RTP/AVP "
        "9\r\na=sendonly\r\n");
    ASSERT_TRUE(silent);
    EXPECT_FALSE(silent->wantsVideo);
}

TEST(Framer, ManyInOneSegmentAndOneInMany) {
    const std::string two = invite("", "abc") + "\r\n\r\n" + invite("", "defgh");
    for (std::size_t step : {std::size_t{1}, std::size_t{7}, two.size()}) {
        sip::Framer framer(10'000);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < two.size(); at += step) {
            ASSERT_TRUE(framer.feed(std::string_view(two).substr(at, step)));
            while (const auto one = framer.next()) got.push_back(*one);
        }
        ASSERT_EQ(got.size(), 2u);
        EXPECT_EQ(got[0], invite("", "abc"));
        EXPECT_EQ(got[1], invite("", "defgh"));
    }
    for (const char* bad :
         {"A b\r\nContent-Length: -1\r\n\r\n", "A b\r\nNothing: 1\r\n\r\n", "A b\r\nl: 1\r\nl: 2\r\n\r\n"}) {
        sip::Framer framer(10'000);
        framer.feed(bad);
        EXPECT_FALSE(framer.next()) << bad;
        EXPECT_FALSE(framer.feed("x")) << "a stream that lost its place is given up on: " << bad;
    }
    sip::Framer small(100);
    small.feed(std::string(150, 'a'));
    small.next();
    EXPECT_FALSE(small.feed("b"));
}

struct Sends : sip::TransactionHandler {
    std::vector<std::string> sent, unheard;
    void sendTo(const sip::ReplyRoute&, const std::string& bytes) override { sent.push_back(bytes); }
    void onAckTimeout(const std::string& key) override { unheard.push_back(key); }
};
struct TransactionRig {
    ManualNet net;
    Sends user;
    sip::Transactions all{net, {}, 3, user};
    sip::ReplyRoute way{false, 0, *net::parseEndpoint("127.0.0.1:5071")};
    Message ask = *sip::parse(invite()).message;
    Message ack = *sip::parse(invite("", "", "z9hG4bKa1", "ACK")).message;
    std::string key = sip::Transactions::keyOf(ask);
};

TEST(Transactions, ARetransmissionCostsAtMostTheLastAnswer) {
    TransactionRig rig;
    using RequestDisposition = sip::Transactions::RequestDisposition;
    EXPECT_EQ(rig.all.request(rig.ask, rig.way), RequestDisposition::New);
    EXPECT_EQ(rig.all.request(rig.ask, rig.way), RequestDisposition::Absorbed);
    EXPECT_TRUE(rig.user.sent.empty()) << "nothing was answered yet";
    rig.all.respond(rig.key, 100, "trying");
    rig.all.request(rig.ask, rig.way);
    EXPECT_EQ(rig.user.sent, (std::vector<std::string>{"trying", "trying"}));
    EXPECT_TRUE(rig.all.respond(rig.key, 503, "busy"));
    EXPECT_FALSE(rig.all.respond(rig.key, 200, "ok")) << "one final answer";
    rig.net.advance(502'000);
    EXPECT_EQ(rig.user.sent.back(), "busy");
    EXPECT_EQ(rig.user.sent.size(), 4u) << "timer G";
    EXPECT_TRUE(rig.all.ack(rig.ack));
    rig.net.advance(kSecond);
    EXPECT_EQ(rig.user.sent.size(), 4u);
    EXPECT_EQ(rig.all.size(), 1u) << "later ACKs are still absorbed";
    rig.net.advance(5 * kSecond);
    EXPECT_EQ(rig.all.size(), 0u);
    EXPECT_TRUE(rig.user.unheard.empty());
}

TEST(Transactions, A200ThatIsNeverAcknowledgedIsTold) {
    TransactionRig rig;
    rig.all.request(rig.ask, rig.way);
    rig.all.respond(rig.key, 200, "ok");
    EXPECT_FALSE(rig.all.ack(rig.ack)) << "the ACK of a 200 is the dialog's";
    rig.net.advance(33 * kSecond);
    EXPECT_EQ(rig.user.unheard, std::vector<std::string>{rig.key});
    EXPECT_GE(rig.user.sent.size(), 9u) << "sent again until then, at intervals up to T2";
    EXPECT_LE(rig.user.sent.size(), 12u);
    EXPECT_EQ(rig.all.size(), 0u);
}

TEST(Transactions, AnAcknowledged200IsSentNoMore) {
    TransactionRig rig;
    rig.all.request(rig.ask, rig.way);
    rig.all.respond(rig.key, 200, "ok");
    rig.all.onAcknowledged(rig.key);
    rig.net.advance(40 * kSecond);
    EXPECT_EQ(rig.user.sent.size(), 1u);
    EXPECT_TRUE(rig.user.unheard.empty());
}

TEST(Transactions, AreBoundedAndToldApart) {
    TransactionRig rig;
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(
            rig.all.request(*sip::parse(invite("", "", "z9hG4bK" + std::to_string(i))).message, rig.way),
            sip::Transactions::RequestDisposition::New);
    EXPECT_EQ(rig.all.request(rig.ask, rig.way), sip::Transactions::RequestDisposition::Full);
    Message cancel = *sip::parse(invite("", "", "z9hG4bKa1", "CANCEL")).message;
    EXPECT_NE(sip::Transactions::keyOf(cancel), rig.key) << "a CANCEL is a transaction of its own";
    Message old = rig.ask;
    old.vias[0].branch = "1";
    EXPECT_NE(sip::Transactions::keyOf(old), rig.key);
}

// The loss law against a plain model of a server: offered load far over what it serves must settle near what
// it serves, and go back to none when the load does.
TEST(Overload, SettlesUnderAFloodAndLetsGoAfterIt) {
    sip::OverloadSettings terms;
    sip::Overload control(terms);
    std::mt19937 chance(3);
    std::uniform_real_distribution<double> draw(0, 1);
    const int room = 100, servedEach = 20;
    int waiting = 0, servedAll = 0, shedAll = 0;
    Micros now = 0;
    double worst = 0;
    for (int step = 0; step < 200; ++step) {
        const int offered = step < 100 ? 10 * servedEach : servedEach / 2;
        int came = 0;
        for (int i = 0; i < offered; ++i) {
            const double fill = static_cast<double>(waiting) / room;
            if (control.shouldShed(draw(chance), false, false, fill)) {
                ++shedAll;
                continue;
            }
            ++came;
            ++waiting;
        }
        const int served = std::min(waiting, servedEach);
        waiting -= served;
        servedAll += served;
        now += terms.updateInterval;
        control.update(now, static_cast<double>(waiting) / room, 0, static_cast<std::uint64_t>(came),
                       static_cast<std::uint64_t>(served));
        if (step > 20 && step < 100) worst = std::max(worst, std::abs(control.loss() - 0.9));
        ASSERT_LE(waiting, room);
    }
    EXPECT_LT(worst, 0.15) << "nine in ten must be shed, and it should not swing";
    EXPECT_GE(servedAll, 95 * servedEach) << "it never starves";
    EXPECT_EQ(control.loss(), 0);
    EXPECT_EQ(control.viaParameters("loss"), ";oc=0;oc-algo=\"loss\";oc-validity=0;oc-seq=200.0");
    EXPECT_EQ(control.viaParameters("rate").substr(0, 8), ";oc=1000");
    EXPECT_EQ(control.viaParameters("other"), "");
    EXPECT_FALSE(control.shouldShed(0, false, true, 5)) << "an emergency is never shed";
}

TEST(PrefilteredRequest, SeesWhatTheWholeReaderSeesOrNothing) {
    std::mt19937_64 chance(5);
    int seen = 0;
    for (int i = 0; i < 2'000; ++i) {
        std::string text = invite("Subject: s" + std::to_string(chance() % 100) + "\r\n", "abc");
        if (i % 2)  // one byte made another, anywhere in it
            text[chance() % text.size()] = static_cast<char>(chance() % 256);
        const auto g = sip::prefilter(text);
        if (!g) continue;
        ++seen;
        const auto p = sip::parse(text);
        if (!p.message || p.message->vias.empty())
            continue;  // what is broken elsewhere may be turned away without a look at it
        EXPECT_EQ(g->method, p.message->method);
        EXPECT_EQ(g->branch, p.message->vias.front().branch) << text;
        EXPECT_EQ(g->callId, p.message->callId) << text;
        EXPECT_EQ(g->toHasTag, !p.message->to.tag.empty()) << text;
        EXPECT_EQ(g->inviteKey(), sip::Transactions::keyOf(*p.message)) << text;
        const auto peer = *net::parseEndpoint("127.0.0.9:6000");
        const auto back = sip::parse(sip::refusal(*g, "503 Service Unavailable", "tt", ";oc=5", 3, peer));
        ASSERT_TRUE(back.message) << back.why;
        EXPECT_EQ(back.message->status, 503);
        EXPECT_EQ(back.message->vias.front().branch, p.message->vias.front().branch);
        EXPECT_EQ(back.message->callId, p.message->callId);
    }
    EXPECT_GT(seen, 1'000);
}

TEST(PrefilteredRequest, LeavesTheUncommonToTheWholeReader) {
    EXPECT_TRUE(sip::prefilter(invite("")));
    EXPECT_FALSE(sip::prefilter(invite("v: SIP/2.0/UDP 127.0.0.2;branch=z9hG4bK1\r\n"))) << "compact";
    EXPECT_FALSE(sip::prefilter(invite("Subject: a\r\n b\r\n"))) << "folded";
    EXPECT_FALSE(sip::prefilter(invite("Resource-Priority: ets.0\r\n"))) << "an emergency";
    EXPECT_FALSE(sip::prefilter(invite("Via: SIP/2.0/UDP 127.0.0.2;branch=z9hG4bK1\r\n"))) << "by a proxy";
    EXPECT_FALSE(sip::prefilter("OPTIONS sip:a SIP/2.0\r\n\r\n"));
    EXPECT_FALSE(sip::prefilter(""));
}

TEST(Refused, RemembersWhatItTurnedAwayInABoundedTable) {
    sip::RefusedRequests refused(100);
    for (std::uint64_t i = 1; i <= 128; ++i) refused.insert(i * 0x9e3779b97f4a7c15ull);
    EXPECT_TRUE(refused.contains(128 * 0x9e3779b97f4a7c15ull));
    EXPECT_FALSE(refused.contains(12'345));
    EXPECT_FALSE(refused.contains(0));
    int kept = 0;
    for (std::uint64_t i = 1; i <= 128; ++i) kept += refused.contains(i * 0x9e3779b97f4a7c15ull);
    EXPECT_GT(kept, 64) << "most stay while no more than the table holds have come";
    EXPECT_LE(kept, 128);
}

}  // namespace
}  // namespace valekeel
