// SIP without sockets: valid and malformed messages (kinds of RFC 4475, each named by its section),
// transactions on a manual clock, and overload control.
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

TEST(SipMessage, ParsesTheHeadersOfACall) {
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

TEST(SipMessage, ParsesCompactFormsAndFoldedLines) {  // RFC 4475, 3.1.1.1
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

TEST(SipMessage, MalformedMessagesYieldTheStatusToAnswerWith) {
    const auto parseWith = [](const std::string& from, const std::string& to) {
        std::string text = invite();
        text.replace(text.find(from), from.size(), to);
        return sip::parse(text);
    };
    struct Case {
        const char* section;
        sip::ParseResult parsed;
        int status;
    } cases[] = {
        {"3.1.2.4 overlarge CSeq", parseWith("CSeq: 7 ", "CSeq: 36893488147419103232 "), 400},
        {"3.1.2.17 CSeq of another method", parseWith("CSeq: 7 INVITE", "CSeq: 7 OPTIONS"), 400},
        {"3.1.2.16 unknown version", parseWith("SIP/2.0\r\nVia", "SIP/7.0\r\nVia"), 505},
        {"3.3.1 missing From tag", parseWith(";tag=ft", ""), 400},
        {"8.1.1.6 Max-Forwards out of range", parseWith("Max-Forwards: 70", "Max-Forwards: 300"), 400},
        {"3.1.2.18 a response with a malformed CSeq is ignored",
         sip::parse("SIP/2.0 200 OK\r\nVia: SIP/2.0/UDP h;branch=z9hG4bKa\r\nFrom: <sip:a@b>;tag=1\r\nTo: "
                    "<sip:a@b>;tag=2\r\nCall-ID: x\r\nCSeq: zz\r\nContent-Length: 0\r\n\r\n"),
         0},
        {"3.3.1 missing Call-ID: no response can be matched", parseWith("Call-ID: c1@x\r\n", ""), 0},
        {"no Via: no route for a response",
         parseWith("Via: SIP/2.0/UDP 127.0.0.1:5071;branch=z9hG4bKa1;rport\r\n", ""), 0},
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
    // Broken UTF-8 in a display name is copied unchanged and does no harm (3.1.1.2 has it
    // well-formed).
    EXPECT_TRUE(parseWith("\"A\"", "\"\xff\xfe\"").message);
}

TEST(SipMessage, ResponsesCopyHeadersAndReplaceLineBreaks) {
    const auto p = sip::parse(invite("Record-Route: <sip:p@127.0.0.1;lr>\r\n"));
    ASSERT_TRUE(p.message);
    const auto peer = *net::parseEndpoint("127.0.0.9:6000");
    const std::string text = sip::response(*p.message, 503, "tt", {{"Retry-After", "3\r\nX: y"}}, "", &peer);
    EXPECT_NE(text.find("received=127.0.0.9"), std::string::npos);
    EXPECT_NE(text.find("rport=6000"), std::string::npos);
    EXPECT_NE(text.find(";tag=tt\r\n"), std::string::npos);
    EXPECT_EQ(text.find("\r\nX: y"), std::string::npos);
    const auto reparsed = sip::parse(text);
    ASSERT_TRUE(reparsed.message) << reparsed.why;
    EXPECT_EQ(reparsed.message->status, 503);
    EXPECT_EQ(reparsed.message->method, "INVITE");
    EXPECT_EQ(reparsed.message->recordRoutes.size(), 1u);
    EXPECT_EQ(sip::response(*p.message, 100, "tt", {}).find("tag=tt"), std::string::npos);
}

TEST(Sdp, AnswerAcceptsVideoAndRejectsOtherMediaInOrder) {
    const std::string offer =
        "v=0\r\no=a 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nb=AS:900\r\nt=0 0\r\nm=audio 4000 "
        "RTP/AVP 0\r\n"
        "m=video 4002 RTP/AVP 96 97\r\nb=TIAS:700000\r\na=recvonly\r\n";
    const auto parsed = sip::parseOffer(offer);
    ASSERT_TRUE(parsed);
    EXPECT_TRUE(parsed->hasVideo && parsed->wantsVideo);
    EXPECT_EQ(parsed->maxBitrate, 700'000u);
    EXPECT_EQ(parsed->videoPort, 4002);
    const std::string answer =
        sip::writeAnswer(*parsed, *net::parseEndpoint("127.0.0.1:9001"), 224'000, 5, 1);
    EXPECT_NE(answer.find("m=audio 0 RTP/AVP 0\r\n"), std::string::npos);
    EXPECT_NE(answer.find("m=video 9001 RTP/AVP 96 97\r\nb=AS:224\r\nb=TIAS:224000\r\na=sendonly\r\n"),
              std::string::npos);
    EXPECT_LT(answer.find("m=audio"), answer.find("m=video"));
    EXPECT_FALSE(sip::parseOffer("nonsense"));
    const auto sendOnly = sip::parseOffer(
        "v=0\r\no=a 1 1 IN IP4 1.2.3.4\r\ns=-\r\nc=IN IP4 1.2.3.4\r\nt=0 0\r\nm=video 5 RTP/AVP "
        "9\r\na=sendonly\r\n");
    ASSERT_TRUE(sendOnly);
    EXPECT_FALSE(sendOnly->wantsVideo);
}

TEST(Framer, SplitsMessagesAtAnyReadSize) {
    const std::string two = invite("", "abc") + "\r\n\r\n" + invite("", "defgh");
    for (std::size_t step : {std::size_t{1}, std::size_t{7}, two.size()}) {
        sip::Framer framer(10'000);
        std::vector<std::string> messages;
        for (std::size_t at = 0; at < two.size(); at += step) {
            ASSERT_TRUE(framer.feed(std::string_view(two).substr(at, step)));
            while (const auto message = framer.next()) messages.push_back(*message);
        }
        ASSERT_EQ(messages.size(), 2u);
        EXPECT_EQ(messages[0], invite("", "abc"));
        EXPECT_EQ(messages[1], invite("", "defgh"));
    }
    for (const char* malformed :
         {"A b\r\nContent-Length: -1\r\n\r\n", "A b\r\nNothing: 1\r\n\r\n", "A b\r\nl: 1\r\nl: 2\r\n\r\n"}) {
        sip::Framer framer(10'000);
        framer.feed(malformed);
        EXPECT_FALSE(framer.next()) << malformed;
        EXPECT_FALSE(framer.feed("x")) << "a stream out of sync is given up: " << malformed;
    }
    sip::Framer small(100);
    small.feed(std::string(150, 'a'));
    small.next();
    EXPECT_FALSE(small.feed("b"));
}

struct SendRecorder : sip::TransactionHandler {
    std::vector<std::string> sent, ackTimeouts;
    void sendTo(const sip::ReplyRoute&, const std::string& bytes) override { sent.push_back(bytes); }
    void onAckTimeout(const std::string& key) override { ackTimeouts.push_back(key); }
};
struct TransactionFixture {
    ManualNet net;
    SendRecorder handler;
    sip::Transactions transactions{net, {}, 3, handler};
    sip::ReplyRoute route{false, 0, *net::parseEndpoint("127.0.0.1:5071")};
    Message request = *sip::parse(invite()).message;
    Message ack = *sip::parse(invite("", "", "z9hG4bKa1", "ACK")).message;
    std::string key = sip::Transactions::keyOf(request);
};

TEST(Transactions, ARetransmissionOnlyResendsTheLastResponse) {
    TransactionFixture fixture;
    using RequestDisposition = sip::Transactions::RequestDisposition;
    EXPECT_EQ(fixture.transactions.request(fixture.request, fixture.route), RequestDisposition::New);
    EXPECT_EQ(fixture.transactions.request(fixture.request, fixture.route), RequestDisposition::Absorbed);
    EXPECT_TRUE(fixture.handler.sent.empty()) << "no response was sent yet";
    fixture.transactions.respond(fixture.key, 100, "trying");
    fixture.transactions.request(fixture.request, fixture.route);
    EXPECT_EQ(fixture.handler.sent, (std::vector<std::string>{"trying", "trying"}));
    EXPECT_TRUE(fixture.transactions.respond(fixture.key, 503, "busy"));
    EXPECT_FALSE(fixture.transactions.respond(fixture.key, 200, "ok")) << "only one final response";
    fixture.net.advance(502'000);
    EXPECT_EQ(fixture.handler.sent.back(), "busy");
    EXPECT_EQ(fixture.handler.sent.size(), 4u) << "timer G";
    EXPECT_TRUE(fixture.transactions.ack(fixture.ack));
    fixture.net.advance(kSecond);
    EXPECT_EQ(fixture.handler.sent.size(), 4u);
    EXPECT_EQ(fixture.transactions.size(), 1u) << "later ACKs are still absorbed";
    fixture.net.advance(5 * kSecond);
    EXPECT_EQ(fixture.transactions.size(), 0u);
    EXPECT_TRUE(fixture.handler.ackTimeouts.empty());
}

TEST(Transactions, ReportsA200WithoutAck) {
    TransactionFixture fixture;
    fixture.transactions.request(fixture.request, fixture.route);
    fixture.transactions.respond(fixture.key, 200, "ok");
    EXPECT_FALSE(fixture.transactions.ack(fixture.ack)) << "the ACK to a 200 belongs to the dialog";
    fixture.net.advance(33 * kSecond);
    EXPECT_EQ(fixture.handler.ackTimeouts, std::vector<std::string>{fixture.key});
    EXPECT_GE(fixture.handler.sent.size(), 9u) << "retransmitted until then, at intervals up to T2";
    EXPECT_LE(fixture.handler.sent.size(), 12u);
    EXPECT_EQ(fixture.transactions.size(), 0u);
}

TEST(Transactions, StopsRetransmittingAnAcknowledged200) {
    TransactionFixture fixture;
    fixture.transactions.request(fixture.request, fixture.route);
    fixture.transactions.respond(fixture.key, 200, "ok");
    fixture.transactions.onAcknowledged(fixture.key);
    fixture.net.advance(40 * kSecond);
    EXPECT_EQ(fixture.handler.sent.size(), 1u);
    EXPECT_TRUE(fixture.handler.ackTimeouts.empty());
}

TEST(Transactions, LimitsTheirNumberAndDistinguishesKeys) {
    TransactionFixture fixture;
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(fixture.transactions.request(
                      *sip::parse(invite("", "", "z9hG4bK" + std::to_string(i))).message, fixture.route),
                  sip::Transactions::RequestDisposition::New);
    EXPECT_EQ(fixture.transactions.request(fixture.request, fixture.route),
              sip::Transactions::RequestDisposition::Full);
    Message cancel = *sip::parse(invite("", "", "z9hG4bKa1", "CANCEL")).message;
    EXPECT_NE(sip::Transactions::keyOf(cancel), fixture.key) << "a CANCEL has its own transaction";
    Message oldStyle = fixture.request;
    oldStyle.vias[0].branch = "1";
    EXPECT_NE(sip::Transactions::keyOf(oldStyle), fixture.key);
}

// A simple server model: under an offered load far above its capacity the passed load must settle near the
// capacity, and the loss must return to zero when the load falls.
TEST(Overload, SettlesUnderAFloodAndRecoversAfterIt) {
    sip::OverloadSettings settings;
    sip::Overload control(settings);
    std::mt19937 random(3);
    std::uniform_real_distribution<double> draw(0, 1);
    const int queueLimit = 100, servedPerStep = 20;
    int waiting = 0, servedTotal = 0, shedTotal = 0;
    Micros now = 0;
    double maxDeviation = 0;
    for (int step = 0; step < 200; ++step) {
        const int offered = step < 100 ? 10 * servedPerStep : servedPerStep / 2;
        int arrived = 0;
        for (int i = 0; i < offered; ++i) {
            const double fill = static_cast<double>(waiting) / queueLimit;
            if (control.shouldShed(draw(random), false, false, fill)) {
                ++shedTotal;
                continue;
            }
            ++arrived;
            ++waiting;
        }
        const int served = std::min(waiting, servedPerStep);
        waiting -= served;
        servedTotal += served;
        now += settings.updateInterval;
        control.update(now, static_cast<double>(waiting) / queueLimit, 0, static_cast<std::uint64_t>(arrived),
                       static_cast<std::uint64_t>(served));
        if (step > 20 && step < 100) maxDeviation = std::max(maxDeviation, std::abs(control.loss() - 0.9));
        ASSERT_LE(waiting, queueLimit);
    }
    EXPECT_LT(maxDeviation, 0.15) << "nine in ten must be shed, without oscillation";
    EXPECT_GE(servedTotal, 95 * servedPerStep) << "the server is never idle under load";
    EXPECT_EQ(control.loss(), 0);
    EXPECT_EQ(control.viaParameters("loss"), ";oc=0;oc-algo=\"loss\";oc-validity=0;oc-seq=200.0");
    EXPECT_EQ(control.viaParameters("rate").substr(0, 8), ";oc=1000");
    EXPECT_EQ(control.viaParameters("other"), "");
    EXPECT_FALSE(control.shouldShed(0, false, true, 5)) << "emergency calls are never shed";
}

TEST(PrefilteredRequest, AgreesWithTheFullParserOrDeclines) {
    std::mt19937_64 random(5);
    int accepted = 0;
    for (int i = 0; i < 2'000; ++i) {
        std::string text = invite("Subject: s" + std::to_string(random() % 100) + "\r\n", "abc");
        if (i % 2)  // one random byte is replaced
            text[random() % text.size()] = static_cast<char>(random() % 256);
        const auto prefiltered = sip::prefilter(text);
        if (!prefiltered) continue;
        ++accepted;
        const auto p = sip::parse(text);
        if (!p.message || p.message->vias.empty())
            continue;  // the prefilter does not check the other headers
        EXPECT_EQ(prefiltered->method, p.message->method);
        EXPECT_EQ(prefiltered->branch, p.message->vias.front().branch) << text;
        EXPECT_EQ(prefiltered->callId, p.message->callId) << text;
        EXPECT_EQ(prefiltered->toHasTag, !p.message->to.tag.empty()) << text;
        EXPECT_EQ(prefiltered->inviteKey(), sip::Transactions::keyOf(*p.message)) << text;
        const auto peer = *net::parseEndpoint("127.0.0.9:6000");
        const auto reparsed =
            sip::parse(sip::refusal(*prefiltered, "503 Service Unavailable", "tt", ";oc=5", 3, peer));
        ASSERT_TRUE(reparsed.message) << reparsed.why;
        EXPECT_EQ(reparsed.message->status, 503);
        EXPECT_EQ(reparsed.message->vias.front().branch, p.message->vias.front().branch);
        EXPECT_EQ(reparsed.message->callId, p.message->callId);
    }
    EXPECT_GT(accepted, 1'000);
}

TEST(PrefilteredRequest, DeclinesUncommonForms) {
    EXPECT_TRUE(sip::prefilter(invite("")));
    EXPECT_FALSE(sip::prefilter(invite("v: SIP/2.0/UDP 127.0.0.2;branch=z9hG4bK1\r\n")))
        << "compact header name";
    EXPECT_FALSE(sip::prefilter(invite("Subject: a\r\n b\r\n"))) << "folded line";
    EXPECT_FALSE(sip::prefilter(invite("Resource-Priority: ets.0\r\n"))) << "emergency call";
    EXPECT_FALSE(sip::prefilter(invite("Via: SIP/2.0/UDP 127.0.0.2;branch=z9hG4bK1\r\n")))
        << "second Via, from a proxy";
    EXPECT_FALSE(sip::prefilter("OPTIONS sip:a SIP/2.0\r\n\r\n"));
    EXPECT_FALSE(sip::prefilter(""));
}

TEST(RefusedRequests, KeepsMostEntriesInABoundedTable) {
    sip::RefusedRequests refused(100);
    for (std::uint64_t i = 1; i <= 128; ++i) refused.insert(i * 0x9e3779b97f4a7c15ull);
    EXPECT_TRUE(refused.contains(128 * 0x9e3779b97f4a7c15ull));
    EXPECT_FALSE(refused.contains(12'345));
    EXPECT_FALSE(refused.contains(0));
    int kept = 0;
    for (std::uint64_t i = 1; i <= 128; ++i) kept += refused.contains(i * 0x9e3779b97f4a7c15ull);
    EXPECT_GT(kept, 64) << "most entries are kept while their number is within the table size";
    EXPECT_LE(kept, 128);
}

}  // namespace
}  // namespace valekeel
