#include <gtest/gtest.h>

#include "http/client.hpp"
#include "http/server.hpp"
#include "loop_fixture.hpp"

namespace valekeel {
namespace {

using http::Exchange;

struct Echo : http::Handler {
    std::vector<Exchange*> held;
    bool hold = false, admit = true;
    std::size_t big = 0;
    int asks = 0, bad = 0, lastBad = 0;
    std::vector<std::string> paths;
    void onRequest(Exchange& e) override {
        ++asks;
        paths.push_back(e.head().path());
        if (hold) {
            held.push_back(&e);
            return;
        }
        if (big) {
            e.begin(200, {}, big);
            e.send(std::string(big, 'x'));
            e.finish();
            return;
        }
        e.respond(200, {}, e.head().method + " " + e.head().target + " " + e.body());
    }
    bool acceptsConnection(const net::Endpoint&) override { return admit; }
    void onMalformedRequest(const net::Endpoint&, int status, const std::string&) override {
        ++bad;
        lastBad = status;
    }
};

// A raw peer that says exactly these bytes.
struct Raw : net::StreamHandler {
    std::unique_ptr<net::Stream> stream;
    std::string got;
    bool ended = false, open = false, reading = true;
    void onConnected() override { open = true; }
    void onConnectFailed(net::ConnectError) override { ended = true; }
    void onReadable() override {
        char buffer[65536];
        while (reading) {
            const net::IoResult m = stream->read(buffer);
            got.append(buffer, m.bytes);
            if (m.status == net::IoResult::Status::WouldBlock) return;
            if (m.status != net::IoResult::Status::Ready) {
                ended = true;
                return;
            }
        }
    }
    void onWritable() override {}
};

struct Rig : Loop {
    http::HttpLimits limits;
    Echo echo;
    std::unique_ptr<http::Server> server;
    void serve() { server = std::make_unique<http::Server>(net, any(), limits, echo); }
    std::unique_ptr<Raw> raw() {
        auto r = std::make_unique<Raw>();
        r->stream = net.connect(server->endpoint(), *r);
        until([&] { return r->open; });
        return r;
    }
    std::string say(const std::string& bytes) {
        auto r = raw();
        r->stream->write(bytes);
        until([&] { return r->ended || r->got.find("\r\n\r\n") != std::string::npos; }, kSecond);
        return r->got.substr(0, r->got.find("\r\n"));
    }
};

TEST(HttpServer, AnswersPipelinedRequestsInTurn) {
    Rig rig;
    rig.serve();
    auto r = rig.raw();
    r->stream->write(
        "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(rig.until([&] { return r->got.find("POST /c abc") != std::string::npos; }));
    EXPECT_LT(r->got.find("GET /a"), r->got.find("GET /b"));
    EXPECT_EQ(rig.echo.asks, 3);
}

TEST(HttpServer, OneByteAtATimeIsAsGoodAsAll) {
    Rig rig;
    rig.serve();
    auto r = rig.raw();
    for (const char c : std::string("GET /slow?x=1 HTTP/1.1\r\nHost: x\r\n\r\n")) {
        r->stream->write(std::string_view(&c, 1));
        rig.net.runOnce(0);
    }
    ASSERT_TRUE(rig.until([&] { return r->got.find("GET /slow?x=1") != std::string::npos; }));
}

TEST(HttpServer, APeerThatClosedItsHalfIsStillAnswered) {
    Rig rig;
    rig.echo.hold = true;
    rig.serve();
    auto r = rig.raw();
    r->stream->write("GET /h HTTP/1.1\r\nHost: x\r\n\r\n");
    r->stream->shutdownWrite();
    ASSERT_TRUE(rig.until([&] { return rig.echo.held.size() == 1; }));
    rig.run(20'000);
    rig.echo.held[0]->respond(200, {}, "late but here");
    ASSERT_TRUE(rig.until([&] { return r->ended; }));
    EXPECT_NE(r->got.find("late but here"), std::string::npos);
}

TEST(HttpServer, RefusesWhatIsBrokenOrTooMuchClearly) {
    Rig rig;
    rig.limits.headBytes = 2'000;
    rig.limits.fields = 8;
    rig.limits.targetBytes = 200;
    rig.limits.bodyBytes = 10;
    rig.serve();
    EXPECT_EQ(rig.say("nonsense\r\n\r\n"), "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(rig.say("GET /" + std::string(300, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n"),
              "HTTP/1.1 414 URI Too Long");
    EXPECT_EQ(rig.say("GET / HTTP/1.1\r\nA: " + std::string(3'000, 'b') + "\r\n\r\n"),
              "HTTP/1.1 431 Request Header Fields Too Large");
    std::string many = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 20; ++i) many += "A" + std::to_string(i) + ": 1\r\n";
    EXPECT_EQ(rig.say(many + "\r\n"), "HTTP/1.1 431 Request Header Fields Too Large");
    EXPECT_EQ(rig.say("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n"),
              "HTTP/1.1 413 Content Too Large");
    // Smuggling kinds: two lengths, and a length beside chunked coding.
    EXPECT_EQ(rig.say("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"),
              "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(rig.say("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(rig.echo.asks, 0);
    EXPECT_EQ(rig.echo.bad, 7);
    // Control characters in a value are softened; a NUL is not.
    EXPECT_EQ(rig.say("GET / HTTP/1.1\r\nCMCD-Session: sid=\"a\x01\"\r\n\r\n"), "HTTP/1.1 200 OK");
    EXPECT_EQ(rig.say(std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 27)), "HTTP/1.1 400 Bad Request");
}

TEST(HttpServer, SlowSendersAndIdleOnesAreCutOff) {
    Rig rig;
    rig.limits.headTimeout = 60'000;
    rig.limits.idleTimeout = 120'000;
    rig.serve();
    auto slow = rig.raw(), idle = rig.raw();
    slow->stream->write("GET / HT");
    ASSERT_TRUE(rig.until([&] { return slow->ended; }));
    EXPECT_EQ(slow->got.substr(0, 28), "HTTP/1.1 408 Request Timeout");
    ASSERT_TRUE(rig.until([&] { return idle->ended; }));
    EXPECT_EQ(idle->got, "");
    EXPECT_EQ(rig.server->connections(), 0u);
}

TEST(HttpServer, AReaderThatTakesNothingIsCutOff) {
    Rig rig;
    rig.limits.stallTimeout = 100'000;
    rig.echo.big = 20'000'000;
    rig.serve();
    auto r = rig.raw();
    r->reading = false;
    r->stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(rig.until([&] { return rig.echo.asks == 1; }));
    ASSERT_TRUE(rig.until([&] { return rig.server->connections() == 0; }));
}

TEST(HttpServer, FinishesWhatItOwesAndTakesNothingNew) {
    Rig rig;
    rig.echo.hold = true;
    rig.serve();
    auto owed = rig.raw(), idle = rig.raw();
    owed->stream->write("GET /owed HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(rig.until([&] { return rig.echo.held.size() == 1; }));
    bool done = false;
    rig.server->shutDown([&] { done = true; });
    ASSERT_TRUE(rig.until([&] { return idle->ended; }));
    EXPECT_FALSE(done);
    rig.echo.held[0]->respond(200, {}, "owed");
    ASSERT_TRUE(rig.until([&] { return done && owed->ended; }));
    EXPECT_NE(owed->got.find("Connection: close"), std::string::npos);
}

TEST(HttpServer, NothingOfAValueEndsALine) {
    Rig rig;
    rig.echo.hold = true;
    rig.serve();
    auto r = rig.raw();
    r->stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(rig.until([&] { return rig.echo.held.size() == 1; }));
    http::Fields fields;
    fields.add("X", "a\r\nSet-Cookie: stolen");
    rig.echo.held[0]->respond(200, fields, "");
    ASSERT_TRUE(rig.until([&] { return r->got.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(r->got.find("\r\nSet-Cookie"), std::string::npos);
}

struct Fetch : http::FetchHandler {
    http::ResponseHead head;
    std::string body;
    bool done = false, kept = false;
    std::optional<http::FetchError> how;
    void onHead(const http::ResponseHead& h) override { head = h; }
    void onBody(std::string_view b) override { body += b; }
    void onFetched(bool k) override {
        done = true;
        kept = k;
    }
    void onFailed(http::FetchError f) override { how = f; }
};

TEST(HttpClient, KeepsItsConnectionAndStreamsBigAnswers) {
    Rig rig;
    rig.serve();
    http::Connection conn(rig.net, rig.server->endpoint(), {}, kSecond);
    Fetch a, b;
    conn.fetch(http::requestBytes("GET", "/1", rig.server->endpoint(), {}), false, a);
    ASSERT_TRUE(rig.until([&] { return a.done; }));
    EXPECT_TRUE(a.kept);
    rig.echo.big = 5'000'000;
    conn.fetch(http::requestBytes("GET", "/2", rig.server->endpoint(), {}), false, b);
    ASSERT_TRUE(rig.until([&] { return b.done; }));
    EXPECT_EQ(b.body.size(), 5'000'000u);
    EXPECT_TRUE(conn.isReused());
}

TEST(HttpClient, PausedReadersMakeThePeerWait) {
    Rig rig;
    rig.echo.big = 30'000'000;
    rig.serve();
    http::Connection conn(rig.net, rig.server->endpoint(), {}, kSecond);
    struct Pausing : Fetch {
        http::Connection* conn = nullptr;
        void onBody(std::string_view b) override {
            Fetch::onBody(b);
            if (body.size() < 1'000'000) conn->pause();
        }
    } f;
    f.conn = &conn;
    conn.fetch(http::requestBytes("GET", "/", rig.server->endpoint(), {}), false, f);
    ASSERT_TRUE(rig.until([&] { return !f.body.empty(); }));
    const auto before = f.body.size();
    rig.run(50'000);
    EXPECT_EQ(f.body.size(), before);
    while (!f.done && !f.how) {
        conn.resume();
        rig.net.runOnce(10'000);
    }
    EXPECT_EQ(f.body.size(), 30'000'000u);
}

TEST(HttpClient, KnowsTheLengthThoughTheHeadComesAlone) {
    Rig rig;
    rig.echo.hold = true;
    rig.serve();
    http::Connection conn(rig.net, rig.server->endpoint(), {}, kSecond);
    Fetch f;
    conn.fetch(http::requestBytes("GET", "/", rig.server->endpoint(), {}), false, f);
    ASSERT_TRUE(rig.until([&] { return rig.echo.held.size() == 1; }));
    rig.echo.held[0]->begin(200, {}, 3);
    ASSERT_TRUE(rig.until([&] { return f.head.status == 200; }));
    EXPECT_EQ(f.head.length, 3u);
    rig.echo.held[0]->send("abc");
    rig.echo.held[0]->finish();
    ASSERT_TRUE(rig.until([&] { return f.done; }));
    EXPECT_EQ(f.body, "abc");
}

// Each way a fetch can fail, by a peer that does just that.
TEST(HttpClient, TellsHowFarItHadCome) {
    Loop loop;
    struct Breaks : net::ListenerHandler, net::StreamHandler {
        std::vector<std::unique_ptr<net::Stream>> streams;
        std::string answer;
        bool reset = true;
        void onAccepted(std::unique_ptr<net::Stream> s) override {
            s->setHandler(*this);
            streams.push_back(std::move(s));
        }
        void onReadable() override {
            char buffer[4096];
            if (streams.back()->read(buffer).bytes == 0) return;
            if (!answer.empty()) streams.back()->write(answer);
            if (reset)
                streams.back()->reset();
            else
                streams.back()->shutdownWrite();
        }
        void onWritable() override {}
    } peer;
    auto listener = loop.net.listen(Loop::any(), peer);
    const auto fails = [&](const std::string& answer, bool reset) {
        peer.answer = answer;
        peer.reset = reset;
        http::Connection conn(loop.net, listener->endpoint(), {}, kSecond);
        Fetch f;
        conn.fetch(http::requestBytes("GET", "/", listener->endpoint(), {}), false, f);
        loop.until([&] { return f.done || f.how; });
        return f.how;
    };
    EXPECT_EQ(fails("", true), http::FetchError::BrokenOut);
    EXPECT_EQ(fails("", false), http::FetchError::BrokenOut);
    EXPECT_EQ(fails("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", false),
              http::FetchError::BrokenAnswer);
    EXPECT_EQ(fails("220 smtp here\r\n\r\n", false), http::FetchError::BadAnswer);
    EXPECT_EQ(fails("HTTP/1.1 200 OK\r\n\r\nto the end", false), std::nullopt);
    const net::Endpoint gone = listener->endpoint();
    listener.reset();
    http::Connection conn(loop.net, gone, {}, kSecond);
    Fetch f;
    conn.fetch("GET / HTTP/1.1\r\n\r\n", false, f);
    ASSERT_TRUE(loop.until([&] { return f.how.has_value(); }));
    EXPECT_EQ(*f.how, http::FetchError::Refused);
}

TEST(HttpClient, BytesNobodyAskedForAreSeen) {
    Loop loop;
    struct Chatty : net::ListenerHandler, net::StreamHandler {
        std::unique_ptr<net::Stream> stream;
        void onAccepted(std::unique_ptr<net::Stream> s) override {
            stream = std::move(s);
            stream->setHandler(*this);
        }
        void onReadable() override {
            char buffer[4096];
            if (stream->read(buffer).bytes > 0)
                stream->write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: "
                    "1\r\n\r\nb");
        }
        void onWritable() override {}
    } peer;
    auto listener = loop.net.listen(Loop::any(), peer);
    http::Connection conn(loop.net, listener->endpoint(), {}, kSecond);
    Fetch f;
    conn.fetch("GET / HTTP/1.1\r\n\r\n", false, f);
    ASSERT_TRUE(loop.until([&] { return f.done; }));
    EXPECT_EQ(f.body, "a");
    EXPECT_FALSE(f.kept) << "a connection that says more than it was asked is not used again";
}

TEST(Message, PathsAndQueries) {
    http::RequestHead head;
    head.target = "/a%20b/c?x=%41&y=1+2&x=3";
    EXPECT_EQ(head.path(), "/a b/c");
    EXPECT_EQ(http::queryValue(head.query(), "x"), "A");
    EXPECT_EQ(http::queryValue(head.query(), "y"), "1 2");
    EXPECT_FALSE(http::queryValue(head.query(), "z"));
    EXPECT_FALSE(http::percentDecoded("%0"));
    EXPECT_FALSE(http::percentDecoded("%00"));
    EXPECT_EQ(http::percentDecoded(http::percentEncoded("a/ü?\"")), "a/ü?\"");
}

}  // namespace
}  // namespace valekeel
