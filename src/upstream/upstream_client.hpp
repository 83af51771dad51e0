// Speaks to media servers over HTTP: joins, segments, releases, over connections that are kept. It chooses no
// box; it knows where each one listens, and what their answers tell.
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
    std::size_t connections = 256;        // to one box
    std::size_t pendingRequests = 1'024;  // requests that wait for one of them
    std::size_t releases = 20'000;        // that boxes are still to be told of
    int releaseAttempts = 5;
    Micros connectTimeout = 250'000;
    Micros idleTimeout = 20'000'000;
    Micros recentUse = 1'000'000;
};

// One request to a box, until it is done. Deleting it calls it off.
class UpstreamRequest {
  public:
    virtual ~UpstreamRequest() = default;
    virtual void pause() = 0;
    virtual void resume() = 0;
    virtual bool wroteAny() const = 0;
    // Called off, with what that proves.
    virtual RequestResult cancel() = 0;
};

class UpstreamRequestHandler {
  public:
    virtual ~UpstreamRequestHandler() = default;
    virtual void onHead(const http::ResponseHead&) = 0;
    virtual void onBody(std::string_view) = 0;
    // The last call; the request may be deleted within it.
    virtual void onComplete() = 0;
    virtual void onFailed(RequestResult) = 0;
};

class UpstreamClient {
  public:
    UpstreamClient(net::Net&, const http::HttpLimits&, const UpstreamLimits&);
    ~UpstreamClient();

    // Where a box listens; a new place closes what stands to the old one as it falls idle.
    void setAddress(SfuId, const net::Endpoint&);
    const net::Endpoint* addressOf(SfuId) const;

    // GET or DELETE of a path. `sure`: it must not be left in doubt by a kept connection. Nothing is called
    // before this returns.
    std::unique_ptr<UpstreamRequest> send(SfuId, std::string_view method, const std::string& target,
                                          const http::Fields&, bool sure, Micros within,
                                          UpstreamRequestHandler&);
    // Tells a box that what it holds there is over; tried again where nothing comes back, as often as
    // allowed. What it then doesn't hear it drops by itself.
    void notify(SfuId, std::string_view method, const std::string& target, const http::Fields&);

    std::size_t connections() const;

  private:
    class Exchange;
    struct Box;
    struct Kept;
    struct Told;
    Box* find(SfuId);
    void serveWaiting(Box&);
    void tidy();

    net::Net& net_;
    http::HttpLimits wire_;
    UpstreamLimits limits_;
    std::map<SfuId, std::unique_ptr<Box>> boxes_;
    std::uint64_t nextConn_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Told>> told_;
    std::uint64_t nextTold_ = 1;
    std::vector<std::unique_ptr<http::Connection>> dead_;
    net::Timer bury_, tidy_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Of a join's or segment's answer: what its CMSD entries tell.
LoadReport loadOf(const http::Fields&);

}  // namespace valekeel::upstream
