// Tests of the pooled connections to media servers.
#include <gtest/gtest.h>

#include "http/server.hpp"
#include "loop_fixture.hpp"
#include "upstream/upstream_client.hpp"

namespace valekeel {
namespace {

// Answers when told to.
struct SlowServer : http::Handler {
    int requests = 0;
    http::Exchange* pending = nullptr;
    http::Server server;
    explicit SlowServer(net::Net& net) : server(net, Loop::any(), {}, *this) {}
    void onRequest(http::Exchange& exchange) override {
        ++requests;
        pending = &exchange;
    }
    void answer() { std::exchange(pending, nullptr)->respond(200, {}, "x"); }
};

struct RequestRecorder : upstream::UpstreamRequestHandler {
    bool isComplete = false;
    void onHead(const http::ResponseHead&) override {}
    void onBody(std::string_view) override {}
    void onComplete() override { isComplete = true; }
    void onFailed(upstream::RequestResult) override { ADD_FAILURE(); }
};

// A connection that is busy while its media server moves goes back to the pool: the next request goes to the
// old address, where another process may be.
TEST(UpstreamClient, ConnectionThatIsBusyDuringAMoveIsNotUsedAgain) {
    Loop loop;
    SlowServer before(loop.net), after(loop.net);
    upstream::UpstreamClient client(loop.net, {}, {});
    const SfuId id{1};
    client.setAddress(id, before.server.endpoint());
    RequestRecorder first, second;
    const auto firstRequest = client.send(id, "GET", "/1", {}, false, kSecond, first);
    ASSERT_TRUE(loop.until([&] { return before.pending != nullptr; }));
    client.setAddress(id, after.server.endpoint());
    before.answer();
    ASSERT_TRUE(loop.until([&] { return first.isComplete; }));
    const auto secondRequest = client.send(id, "GET", "/2", {}, false, kSecond, second);
    ASSERT_TRUE(loop.until([&] { return before.pending || after.pending; }));
    EXPECT_EQ(before.requests, 1);
    EXPECT_EQ(after.requests, 1);
}

}  // namespace
}  // namespace valekeel
