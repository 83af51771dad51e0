// The HTTP front end: translates HLS requests with CMCD hints into calls to the core, relays playlists and
// segments from the media servers, and adds CMSD to the responses. Placement, retries and seat limits are
// left to the core and the decision module.
//
//   GET /talk/TITLE/main.m3u8?room=ROOM   requests a subscription; answered once it plays (200), is throttled
//                                         (503, Retry-After where a time is known) or terminated (502, 504)
//   GET /s/TOKEN/media.m3u8               the viewer's current window of the talk
//   GET /s/TOKEN/init-RUNG.mp4, NO.m4s    relayed from the media server that plays the subscription
//   POST /cmcd                            CMCD hints as JSON, for the subscriptions with their sid
//   GET /status                           counters, as JSON
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>

#include "frontends/frontend_context.hpp"
#include "frontends/http/playlist_window.hpp"
#include "hints/cmcd.hpp"
#include "http/server.hpp"
#include "logging/trace_context.hpp"

namespace valekeel::frontends {

// Limits and timeouts of the HTTP front end.
struct HttpFrontendSettings {
    PlaylistWindowSettings window;
    Micros idleTimeout = 20'000'000;         // a viewer without requests for this long has left
    Micros disconnectedTimeout = 3'000'000;  // the same, once a connection closed during a request
    Micros pausedTimeout = 60'000'000;       // the same, while its hints say that it is paused (pr=0)
    Micros segmentTimeout = 12'000'000;
    std::size_t maxFetchesPerViewer = 4;    // concurrent
    std::size_t maxUnsentBytes = 131'072;   // unsent to a viewer; above it, upstream reading pauses
    std::size_t maxCachedPlaylists = 512;   // media playlists of the media servers
    Micros retryAfterWhenFull = 1'000'000;  // Retry-After of rejected requests
};

// Serves viewers over HTTP, from construction until shutDown().
class HttpFrontend final : public core::SubscriptionHandler,
                           public http::Handler,
                           public upstream::JoinRequestSource,
                           FrontendContext {
  public:
    // Starts to listen at the endpoint; port 0 lets the kernel choose one.
    HttpFrontend(const FrontendContext&, const net::Endpoint&, const http::HttpLimits&,
                 const HttpFrontendSettings&, const hints::HintLimits&);
    ~HttpFrontend() override;

    net::Endpoint endpoint() const { return server_->endpoint(); }
    // Rejects new subscriptions with 503 from now on; existing ones continue.
    void stopAccepting() { stopping_ = true; }
    // Ends all subscriptions and closes the server; calls `done` once all responses are sent.
    void shutDown(std::function<void()> done);
    // The number of subscriptions held, waiting or playing.
    std::size_t viewers() const { return viewers_.size(); }
    // Counts of CMCD keys and values that were ignored, by reason.
    const hints::DropCounts& hintsDropped() const { return hintsDropped_; }
    // The trace of a subscription, owned by it; nullptr if this front end does not hold it.
    const logging::TraceContext* traceOf(SubId) const;
    // The JSON text of GET /status.
    std::string statusText() const;

  private:
    struct Viewer;
    class Waiter;
    class Relay;
    struct PlaylistKey {
        std::string title;
        int rung;
        auto operator<=>(const PlaylistKey&) const = default;
    };

    // ---- http::Handler ----
    void onRequest(http::Exchange&) override;
    bool acceptsConnection(const net::Endpoint&) override;
    void onConnectionClosed(const net::Endpoint&) override;
    void onMalformedRequest(const net::Endpoint&, int, const std::string&) override;

    // ---- core::SubscriptionHandler ----
    void onPlaying(SubId, SfuId, int rung) override;
    void onThrottled(SubId, Micros retryAfter) override;
    void onTerminated(SubId, core::TerminationReason) override;
    void onRungChanged(SubId, int rung) override;
    void onServerLost(SubId) override;

    upstream::JoinRequest joinRequestFor(SubId, int joinNo) override;

    void countDropped(const hints::CmcdReader&);
    hints::Cmcd hintsOf(const http::RequestHead&);
    void handleTalkRequest(http::Exchange&, const std::string& title);
    void handleMediaPlaylistRequest(http::Exchange&, Viewer&);
    void handleSegmentRequest(http::Exchange&, Viewer&, std::string_view file);
    void handleCmcdPost(http::Exchange&);
    void answerPlaying(Viewer&, http::Exchange&);
    void refuse(http::Exchange&, int status, std::string_view why, Micros retryAfter = 0);
    void sendWindow(http::Exchange&, Viewer&);
    http::Fields cmsdFields(const Viewer&, std::string_view upstreamStatic, std::string_view upstreamDynamic,
                            std::string_view objectType, std::optional<Micros> toHead) const;
    void updateHints(Viewer&, const hints::Cmcd&);
    // What a request that still waits is told when its subscription ends.
    struct EndResponse {
        int status;
        std::string_view why;
        Micros retryAfter = 0;
    };
    // The only end of a viewer: removes it, then answers each request that still waits for it.
    void endViewer(Viewer&, bool notifyCore, const EndResponse&);
    // A connection with an open request of the viewer was lost.
    void onRequestLost(Viewer&);
    Viewer* byToken(const std::string&);
    Viewer* bySub(SubId);
    void answerWaiters(Viewer&, const std::function<void(http::Exchange&)>&);
    void destroyLater(std::unique_ptr<Relay>);  // once the current call-back has returned

    HttpFrontendSettings settings_;
    hints::HintLimits hintLimits_;
    std::unique_ptr<http::Server> server_;
    std::map<std::string, std::unique_ptr<Viewer>> viewers_;  // by token
    std::map<SubId, Viewer*> viewersBySub_;
    std::map<std::string, Viewer*> viewersBySid_;
    struct CachedPlaylist {
        hls::MediaPlaylist playlist;
        std::vector<Micros> durations;
        std::string path;
        std::uint64_t lastUse = 0;
    };
    std::map<PlaylistKey, CachedPlaylist> cache_;  // least recently used entry is evicted
    std::uint64_t cacheUseCounter_ = 0;
    std::uint64_t nextFetchId_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Relay>> relays_;
    std::vector<std::unique_ptr<Relay>> retiredRelays_;
    std::vector<std::unique_ptr<Viewer>> retiredViewers_;
    net::Timer cleanupTimer_;
    hints::DropCounts hintsDropped_{};
    std::uint64_t badRequests_ = 0, relayedBytes_ = 0, relayedSegments_ = 0, rejected_ = 0,
                  starvedReports_ = 0;
    bool stopping_ = false;
};

}  // namespace valekeel::frontends
