// HTTP client for the media servers: sends joins, segment fetches and releases over pooled connections. Knows
// the address of each media server and reads load reports from their responses; does not choose servers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hints/cmsd.hpp"
#include "http/client.hpp"
#include "net/net.hpp"
#include "upstream/connection_reuse.hpp"
#include "upstream/request_result.hpp"

namespace valekeel::upstream {

struct UpstreamLimits {
    std::size_t connections = 256;        // to one media server
    std::size_t pendingRequests = 1'024;  // that wait for a connection to one media server
    std::size_t releases = 20'000;        // notifications outstanding; further ones are dropped
    int releaseAttempts = 5;
    Micros connectTimeout = 250'000;
    Micros idleTimeout = 20'000'000;  // after it, an idle connection is closed
    Micros recentUse = 1'000'000;     // see ConnectionReusePolicy
};

// A request in flight, owned by the caller. Deleting it cancels it without a callback.
class UpstreamRequest {
  public:
    virtual ~UpstreamRequest() = default;
    virtual void pause() = 0;  // stops reading the response
    virtual void resume() = 0;
    virtual bool wroteAny() const = 0;  // whether a byte of the request has been sent
    // Cancels the request. Returns CancelledUnsent or CancelledSent; the handler is not called any more.
    virtual RequestResult cancel() = 0;
};

// Receives the response of one request, from the event loop. Must outlive the request.
class UpstreamRequestHandler {
  public:
    virtual ~UpstreamRequestHandler() = default;
    virtual void onHead(const http::ResponseHead&) = 0;
    virtual void onBody(std::string_view) = 0;
    // Exactly one of these two is the last call; the request may be deleted within it.
    virtual void onComplete() = 0;
    virtual void onFailed(RequestResult) = 0;
};

// One instance serves all media servers. A request may be deleted after it, but not used.
class UpstreamClient {
  public:
    UpstreamClient(net::Net&, const http::HttpLimits&, const UpstreamLimits&);
    ~UpstreamClient();

    // Sets where a media server listens. A change closes idle connections to the old address, not busy ones.
    void setAddress(SfuId, const net::Endpoint&);
    const net::Endpoint* addressOf(SfuId) const;  // null if unknown

    // Sends a GET, HEAD or DELETE. `avoidStale`: use only a new or recently used connection, so that the
    // request is not left in doubt. `timeout` counts from now and covers the wait for a connection. The
    // handler is never called before this returns.
    std::unique_ptr<UpstreamRequest> send(SfuId, std::string_view method, const std::string& target,
                                          const http::Fields&, bool avoidStale, Micros timeout,
                                          UpstreamRequestHandler&);
    // Sends a request whose response does not matter, such as a release. Retried with backoff if it fails, up
    // to `releaseAttempts`; what a media server does not learn this way it drops by itself.
    void notify(SfuId, std::string_view method, const std::string& target, const http::Fields&);

    std::size_t connections() const;  // open to all media servers

  private:
    class PendingRequest;
    struct Server;
    struct PooledConnection;
    struct Notification;
    Server* find(SfuId);
    void serveQueue(Server&);
    void closeExpired();

    net::Net& net_;
    http::HttpLimits httpLimits_;
    UpstreamLimits limits_;
    std::map<SfuId, std::unique_ptr<Server>> servers_;
    std::uint64_t nextConn_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Notification>> notifications_;
    std::uint64_t nextNotification_ = 1;
    // Closed connections, deleted on the next turn of the loop: they may be on the call stack.
    std::vector<std::unique_ptr<http::Connection>> closed_;
    net::Timer deleteTimer_, expiryTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Reads the load report from the CMSD-Dynamic field of a response; empty if there is none.
LoadReport loadOf(const http::Fields&);

}  // namespace valekeel::upstream
