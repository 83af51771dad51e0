#include <gtest/gtest.h>

#include "http/client.hpp"
#include "http/server.hpp"
#include "loop_fixture.hpp"

namespace valekeel {
namespace {

using http::Exchange;

struct Echo : http::Handler {
    std::vector<Exchange*> held;
    bool hold = false, acceptConnections = true;
    std::size_t largeBytes = 0;
    int requests = 0, malformed = 0, lastMalformedStatus = 0;
    std::vector<std::string> paths;
    void onRequest(Exchange& e) override {
        ++requests;
        paths.push_back(e.head().path());
        if (hold) {
            held.push_back(&e);
            return;
        }
        if (largeBytes) {
            e.begin(200, {}, largeBytes);
            e.send(std::string(largeBytes, 'x'));
            e.finish();
            return;
        }
        e.respond(200, {}, e.head().method + " " + e.head().target + " " + e.body());
    }
    bool acceptsConnection(const net::Endpoint&) override { return acceptConnections; }
    void onMalformedRequest(const net::Endpoint&, int status, const std::string&) override {
        ++malformed;
        lastMalformedStatus = status;
    }
};

// A client that sends and receives raw bytes.
struct RawClient : net::StreamHandler {
    std::unique_ptr<net::Stream> stream;
    std::string received;
    bool ended = false, open = false, reading = true;
    void onConnected() override { open = true; }
    void onConnectFailed(net::ConnectError) override { ended = true; }
    void onReadable() override {
        char buffer[65536];
        while (reading) {
            const net::IoResult result = stream->read(buffer);
            received.append(buffer, result.bytes);
            if (result.status == net::IoResult::Status::WouldBlock) return;
            if (result.status != net::IoResult::Status::Ready) {
                ended = true;
                return;
            }
        }
    }
    void onWritable() override {}
};

struct ServerFixture : Loop {
    http::HttpLimits limits;
    Echo echo;
    std::unique_ptr<http::Server> server;
    void startServer() { server = std::make_unique<http::Server>(net, any(), limits, echo); }
    std::unique_ptr<RawClient> connectRaw() {
        auto client = std::make_unique<RawClient>();
        client->stream = net.connect(server->endpoint(), *client);
        until([&] { return client->open; });
        return client;
    }
    std::string statusLineFor(const std::string& bytes) {
        auto client = connectRaw();
        client->stream->write(bytes);
        until([&] { return client->ended || client->received.find("\r\n\r\n") != std::string::npos; },
              kSecond);
        return client->received.substr(0, client->received.find("\r\n"));
    }
};

TEST(HttpServer, AnswersPipelinedRequestsInOrder) {
    ServerFixture fixture;
    fixture.startServer();
    auto client = fixture.connectRaw();
    client->stream->write(
        "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\nHost: x\r\n"
        "Content-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(fixture.until([&] { return client->received.find("POST /c abc") != std::string::npos; }));
    EXPECT_LT(client->received.find("GET /a"), client->received.find("GET /b"));
    EXPECT_EQ(fixture.echo.requests, 3);
}

TEST(HttpServer, AcceptsARequestInSingleBytes) {
    ServerFixture fixture;
    fixture.startServer();
    auto client = fixture.connectRaw();
    for (const char c : std::string("GET /slow?x=1 HTTP/1.1\r\nHost: x\r\n\r\n")) {
        client->stream->write(std::string_view(&c, 1));
        fixture.net.runOnce(0);
    }
    ASSERT_TRUE(fixture.until([&] { return client->received.find("GET /slow?x=1") != std::string::npos; }));
}

TEST(HttpServer, AnswersAPeerThatHalfClosed) {
    ServerFixture fixture;
    fixture.echo.hold = true;
    fixture.startServer();
    auto client = fixture.connectRaw();
    client->stream->write("GET /h HTTP/1.1\r\nHost: x\r\n\r\n");
    client->stream->shutdownWrite();
    ASSERT_TRUE(fixture.until([&] { return fixture.echo.held.size() == 1; }));
    fixture.run(20'000);
    fixture.echo.held[0]->respond(200, {}, "late but here");
    ASSERT_TRUE(fixture.until([&] { return client->ended; }));
    EXPECT_NE(client->received.find("late but here"), std::string::npos);
}

TEST(HttpServer, RejectsMalformedAndOversizedRequestsWithTheirStatus) {
    ServerFixture fixture;
    fixture.limits.headBytes = 2'000;
    fixture.limits.fields = 8;
    fixture.limits.targetBytes = 200;
    fixture.limits.bodyBytes = 10;
    fixture.startServer();
    EXPECT_EQ(fixture.statusLineFor("nonsense\r\n\r\n"), "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(fixture.statusLineFor("GET /" + std::string(300, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n"),
              "HTTP/1.1 414 URI Too Long");
    EXPECT_EQ(fixture.statusLineFor("GET / HTTP/1.1\r\nA: " + std::string(3'000, 'b') + "\r\n\r\n"),
              "HTTP/1.1 431 Request Header Fields Too Large");
    std::string many = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 20; ++i) many += "A" + std::to_string(i) + ": 1\r\n";
    EXPECT_EQ(fixture.statusLineFor(many + "\r\n"), "HTTP/1.1 431 Request Header Fields Too Large");
    EXPECT_EQ(fixture.statusLineFor("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n"),
              "HTTP/1.1 413 Content Too Large");
    // Request smuggling: two lengths, and a length beside chunked coding.
    EXPECT_EQ(fixture.statusLineFor("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"),
              "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(fixture.statusLineFor(
                  "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(fixture.echo.requests, 0);
    EXPECT_EQ(fixture.echo.malformed, 7);
    // Control characters in a value are replaced; a NUL is rejected.
    EXPECT_EQ(fixture.statusLineFor("GET / HTTP/1.1\r\nCMCD-Session: sid=\"a\x01\"\r\n\r\n"),
              "HTTP/1.1 200 OK");
    EXPECT_EQ(fixture.statusLineFor(std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 27)),
              "HTTP/1.1 400 Bad Request");
}

TEST(HttpServer, TimesOutSlowSendersAndIdleConnections) {
    ServerFixture fixture;
    fixture.limits.headTimeout = 60'000;
    fixture.limits.idleTimeout = 120'000;
    fixture.startServer();
    auto slow = fixture.connectRaw(), idle = fixture.connectRaw();
    slow->stream->write("GET / HT");
    ASSERT_TRUE(fixture.until([&] { return slow->ended; }));
    EXPECT_EQ(slow->received.substr(0, 28), "HTTP/1.1 408 Request Timeout");
    ASSERT_TRUE(fixture.until([&] { return idle->ended; }));
    EXPECT_EQ(idle->received, "");
    EXPECT_EQ(fixture.server->connections(), 0u);
}

TEST(HttpServer, TimesOutAPeerThatStopsReading) {
    ServerFixture fixture;
    fixture.limits.stallTimeout = 100'000;
    fixture.echo.largeBytes = 20'000'000;
    fixture.startServer();
    auto client = fixture.connectRaw();
    client->reading = false;
    client->stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(fixture.until([&] { return fixture.echo.requests == 1; }));
    ASSERT_TRUE(fixture.until([&] { return fixture.server->connections() == 0; }));
}

TEST(HttpServer, ShutDownFinishesPendingResponsesAndClosesIdleConnections) {
    ServerFixture fixture;
    fixture.echo.hold = true;
    fixture.startServer();
    auto pending = fixture.connectRaw(), idle = fixture.connectRaw();
    pending->stream->write("GET /pending HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(fixture.until([&] { return fixture.echo.held.size() == 1; }));
    bool done = false;
    fixture.server->shutDown([&] { done = true; });
    ASSERT_TRUE(fixture.until([&] { return idle->ended; }));
    EXPECT_FALSE(done);
    fixture.echo.held[0]->respond(200, {}, "pending");
    ASSERT_TRUE(fixture.until([&] { return done && pending->ended; }));
    EXPECT_NE(pending->received.find("Connection: close"), std::string::npos);
}

TEST(HttpServer, ReplacesLineBreaksInFieldValues) {
    ServerFixture fixture;
    fixture.echo.hold = true;
    fixture.startServer();
    auto client = fixture.connectRaw();
    client->stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(fixture.until([&] { return fixture.echo.held.size() == 1; }));
    http::Fields fields;
    fields.add("X", "a\r\nSet-Cookie: stolen");
    fixture.echo.held[0]->respond(200, fields, "");
    ASSERT_TRUE(fixture.until([&] { return client->received.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(client->received.find("\r\nSet-Cookie"), std::string::npos);
}

struct FetchRecorder : http::FetchHandler {
    http::ResponseHead head;
    std::string body;
    bool done = false, kept = false;
    std::optional<http::FetchError> error;
    void onHead(const http::ResponseHead& h) override { head = h; }
    void onBody(std::string_view b) override { body += b; }
    void onFetched(bool k) override {
        done = true;
        kept = k;
    }
    void onFailed(http::FetchError e) override { error = e; }
};

TEST(HttpClient, ReusesItsConnectionAndStreamsLargeResponses) {
    ServerFixture fixture;
    fixture.startServer();
    http::Connection conn(fixture.net, fixture.server->endpoint(), {}, kSecond);
    FetchRecorder a, b;
    conn.fetch(http::requestBytes("GET", "/1", fixture.server->endpoint(), {}), false, a);
    ASSERT_TRUE(fixture.until([&] { return a.done; }));
    EXPECT_TRUE(a.kept);
    fixture.echo.largeBytes = 5'000'000;
    conn.fetch(http::requestBytes("GET", "/2", fixture.server->endpoint(), {}), false, b);
    ASSERT_TRUE(fixture.until([&] { return b.done; }));
    EXPECT_EQ(b.body.size(), 5'000'000u);
    EXPECT_TRUE(conn.isReused());
}

TEST(HttpClient, PauseAppliesBackPressure) {
    ServerFixture fixture;
    fixture.echo.largeBytes = 30'000'000;
    fixture.startServer();
    http::Connection conn(fixture.net, fixture.server->endpoint(), {}, kSecond);
    struct Pausing : FetchRecorder {
        http::Connection* conn = nullptr;
        void onBody(std::string_view b) override {
            FetchRecorder::onBody(b);
            if (body.size() < 1'000'000) conn->pause();
        }
    } f;
    f.conn = &conn;
    conn.fetch(http::requestBytes("GET", "/", fixture.server->endpoint(), {}), false, f);
    ASSERT_TRUE(fixture.until([&] { return !f.body.empty(); }));
    const auto before = f.body.size();
    fixture.run(50'000);
    EXPECT_EQ(f.body.size(), before);
    while (!f.done && !f.error) {
        conn.resume();
        fixture.net.runOnce(10'000);
    }
    EXPECT_EQ(f.body.size(), 30'000'000u);
}

TEST(HttpClient, ReportsTheLengthWhenTheHeadArrivesAlone) {
    ServerFixture fixture;
    fixture.echo.hold = true;
    fixture.startServer();
    http::Connection conn(fixture.net, fixture.server->endpoint(), {}, kSecond);
    FetchRecorder f;
    conn.fetch(http::requestBytes("GET", "/", fixture.server->endpoint(), {}), false, f);
    ASSERT_TRUE(fixture.until([&] { return fixture.echo.held.size() == 1; }));
    fixture.echo.held[0]->begin(200, {}, 3);
    ASSERT_TRUE(fixture.until([&] { return f.head.status == 200; }));
    EXPECT_EQ(f.head.length, 3u);
    fixture.echo.held[0]->send("abc");
    fixture.echo.held[0]->finish();
    ASSERT_TRUE(fixture.until([&] { return f.done; }));
    EXPECT_EQ(f.body, "abc");
}

// BrokenOut, BrokenAnswer, BadAnswer and Refused, and the response that validly ends with the connection.
TEST(HttpClient, ReportsHowFarAFailedFetchHadGot) {
    Loop loop;
    struct FailingServer : net::ListenerHandler, net::StreamHandler {
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
    } server;
    auto listener = loop.net.listen(Loop::any(), server);
    const auto errorOf = [&](const std::string& answer, bool reset) {
        server.answer = answer;
        server.reset = reset;
        http::Connection conn(loop.net, listener->endpoint(), {}, kSecond);
        FetchRecorder f;
        conn.fetch(http::requestBytes("GET", "/", listener->endpoint(), {}), false, f);
        loop.until([&] { return f.done || f.error; });
        return f.error;
    };
    EXPECT_EQ(errorOf("", true), http::FetchError::BrokenOut);
    EXPECT_EQ(errorOf("", false), http::FetchError::BrokenOut);
    EXPECT_EQ(errorOf("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", false),
              http::FetchError::BrokenAnswer);
    EXPECT_EQ(errorOf("220 smtp here\r\n\r\n", false), http::FetchError::BadAnswer);
    EXPECT_EQ(errorOf("HTTP/1.1 200 OK\r\n\r\nto the end", false), std::nullopt);
    const net::Endpoint closedEndpoint = listener->endpoint();
    listener.reset();
    http::Connection conn(loop.net, closedEndpoint, {}, kSecond);
    FetchRecorder f;
    conn.fetch("GET / HTTP/1.1\r\n\r\n", false, f);
    ASSERT_TRUE(loop.until([&] { return f.error.has_value(); }));
    EXPECT_EQ(*f.error, http::FetchError::Refused);
}

TEST(HttpClient, DetectsUnsolicitedBytes) {
    Loop loop;
    struct UnsolicitedSender : net::ListenerHandler, net::StreamHandler {
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
    } server;
    auto listener = loop.net.listen(Loop::any(), server);
    http::Connection conn(loop.net, listener->endpoint(), {}, kSecond);
    FetchRecorder f;
    conn.fetch("GET / HTTP/1.1\r\n\r\n", false, f);
    ASSERT_TRUE(loop.until([&] { return f.done; }));
    EXPECT_EQ(f.body, "a");
    EXPECT_FALSE(f.kept) << "a connection with unsolicited bytes is not reused";
}

TEST(Message, DecodesPathsAndQueryValues) {
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
