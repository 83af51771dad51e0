// The HTTP face: HLS with CMCD and CMSD in, the core's calls out, and back. It places nothing, retries
// nothing and counts no seats.
//
//   GET /talk/TITLE/main.m3u8?room=ROOM   asks for a subscription; answered when it plays, is throttled (503
//                                         with Retry-After) or terminated (502, 504)
//   GET /s/TOKEN/media.m3u8               the window of the talk that this viewer has now
//   GET /s/TOKEN/init-RUNG.mp4, NO.m4s    relayed from the box that plays it
//   POST /cmcd                            hints as JSON, for the subscription of their sid
//   GET /status                           counts, as JSON
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

struct HttpFrontendSettings {
    PlaylistWindowSettings window;
    Micros silentAfter = 20'000'000;  // without a fetch, a viewer is taken to have left
    Micros closedAfter = 3'000'000;   // the same, once its last connection is closed
    Micros pausedAfter = 60'000'000;  // the same, while its hints say that it is paused (pr=0)
    Micros segmentWithin = 12'000'000;
    std::size_t fetchesEach = 4;        // of one viewer at once
    std::size_t relayBytes = 131'072;   // unsent to a viewer before the box is made to wait
    std::size_t cachedPlaylists = 512;  // media playlists of boxes
    Micros retryWhenFull = 1'000'000;   // named to those that admission turns away
};

class HttpFrontend final : public core::SubscriptionHandler,
                           public http::Handler,
                           public upstream::JoinRequestSource,
                           FrontendContext {
  public:
    HttpFrontend(const FrontendContext&, const net::Endpoint&, const http::HttpLimits&,
                 const HttpFrontendSettings&, const hints::HintLimits&);
    ~HttpFrontend() override;

    net::Endpoint endpoint() const { return server_->endpoint(); }
    // Nothing new is taken from now on; what plays goes on.
    void stopAccepting() { stopping_ = true; }
    // Ends what plays, and calls back when all is said.
    void shutDown(std::function<void()> done);
    std::size_t viewers() const { return viewers_.size(); }
    const hints::DropCounts& hintsDropped() const { return hintsDropped_; }
    const logging::TraceContext* traceOf(SubId) const;
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

    // ---- core::Face ----
    void onPlaying(SubId, SfuId, int rung) override;
    void onThrottled(SubId, Micros retryAfter) override;
    void onTerminated(SubId, core::TerminationReason) override;
    void onRungChanged(SubId, int rung) override;
    void onServerLost(SubId) override;

    upstream::JoinRequest joinRequestFor(SubId, int joinNo) override;

    void countDropped(const hints::CmcdReader&);
    hints::Cmcd hintsOf(const http::RequestHead&);
    void askTalk(http::Exchange&, const std::string& title);
    void askMedia(http::Exchange&, Viewer&);
    void askSegment(http::Exchange&, Viewer&, std::string_view file);
    void takeJson(http::Exchange&);
    void answerPlaying(Viewer&, http::Exchange&);
    void refuse(http::Exchange&, int status, std::string_view why, Micros retryAfter = 0);
    void sendWindow(http::Exchange&, Viewer&);
    http::Fields cmsdFields(const Viewer&, std::string_view standingStatic, std::string_view standingDynamic,
                            std::string_view objectType, std::optional<Micros> toHead) const;
    void heardFrom(Viewer&, const hints::Cmcd&);
    void endViewer(Viewer&, bool tellCore);
    Viewer* byToken(const std::string&);
    Viewer* bySub(SubId);
    void answerWaiters(Viewer&, const std::function<void(http::Exchange&)>&);
    void bury(std::unique_ptr<Relay>);

    HttpFrontendSettings terms_;
    hints::HintLimits hintLimits_;
    std::unique_ptr<http::Server> server_;
    std::map<std::string, std::unique_ptr<Viewer>> viewers_;  // by token
    std::map<SubId, Viewer*> subs_;
    std::map<std::string, Viewer*> sids_;
    struct Cached {
        hls::MediaPlaylist list;
        std::vector<Micros> durations;
        std::string path;
        std::uint64_t usedAt = 0;
    };
    std::map<PlaylistKey, Cached> cache_;
    std::uint64_t cacheUse_ = 0;
    std::uint64_t nextFetch_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Relay>> relays_;
    std::vector<std::unique_ptr<Relay>> dead_;
    std::vector<std::unique_ptr<Viewer>> deadViewers_;
    net::Timer bury_;
    hints::DropCounts hintsDropped_{};
    std::uint64_t badRequests_ = 0, relayedBytes_ = 0, relayedSegments_ = 0, turnedAway_ = 0, starved_ = 0;
    bool stopping_ = false;
};

}  // namespace valekeel::frontends
