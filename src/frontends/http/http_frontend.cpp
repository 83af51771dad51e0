#include "frontends/http/http_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace valekeel::frontends {
namespace {

constexpr std::string_view kPlaylistType = "application/vnd.apple.mpegurl";

}  // namespace

// The state of one subscription: from the request until it ends.
struct HttpFrontend::Viewer {
    std::string token, sidKey, title;
    SubId sub;
    RoomTypeId room;
    std::uint32_t network = 0;
    bool admissionPending = false, playing = false, paused = false;
    logging::TraceContext trace;
    hints::Cmcd hints;
    SfuId serverId;
    int rung = 0, lastFetchedRung = 0;
    Micros startedAt = 0;
    std::optional<Micros> lastThroughputKbits;  // kbit/s, of the last segment
    PlaylistWindow window;
    std::vector<std::unique_ptr<Waiter>> waiters;
    std::size_t fetches = 0;
    std::uint64_t segments = 0, bytes = 0;
    std::unique_ptr<net::Timer> idleTimer;
    Viewer(const PlaylistWindowSettings& settings) : window(settings) {}
    bool hasOpenRequest() const;  // one that waits or fetches, on a connection that is open
};

// A request that waits for the answer to its subscription.
class HttpFrontend::Waiter final : public http::ExchangeHandler {
  public:
    Waiter(HttpFrontend& frontend, std::string token, http::Exchange& exchange)
        : frontend_(frontend), token_(std::move(token)), exchange_(&exchange) {
        exchange.setHandler(this);
    }
    ~Waiter() override {
        if (exchange_) exchange_->setHandler(nullptr);
    }
    http::Exchange* release() { return std::exchange(exchange_, nullptr); }
    bool isConnected() const { return exchange_ != nullptr; }

  private:
    void onConnectionLost() override {
        exchange_ = nullptr;
        if (Viewer* viewer = frontend_.byToken(token_)) frontend_.onRequestLost(*viewer);
    }
    HttpFrontend& frontend_;
    std::string token_;
    http::Exchange* exchange_;
};

bool HttpFrontend::Viewer::hasOpenRequest() const {
    return fetches > 0 || std::any_of(waiters.begin(), waiters.end(),
                                      [](const auto& waiter) { return waiter->isConnected(); });
}

// Relays one object from a media server to a viewer. Fetches the media playlist first if it is not cached.
// Owned by relays_ until retire().
class HttpFrontend::Relay final : public upstream::UpstreamRequestHandler, public http::ExchangeHandler {
  public:
    enum class ObjectKind { Playlist, Init, Segment };
    Relay(HttpFrontend& frontend, std::uint64_t key, Viewer& viewer, http::Exchange& exchange,
          ObjectKind kind, std::uint64_t no, int rung)
        : frontend_(frontend),
          key_(key),
          token_(viewer.token),
          sub_(viewer.sub),
          serverId_(viewer.serverId),
          title_(viewer.title),
          kind_(kind),
          segmentNo_(no),
          rung_(rung),
          exchange_(&exchange) {
        exchange.setHandler(this);
        ++viewer.fetches;
    }
    ~Relay() override {
        if (exchange_) exchange_->setHandler(nullptr);
        frontend_.core_.delivery().discard(core::FetchId{key_});
    }
    void start() {
        Viewer* viewer = frontend_.byToken(token_);
        if (!viewer) return fail(410, "the subscription is over");
        const auto found = frontend_.cache_.find({title_, rung_});
        if (found == frontend_.cache_.end()) {
            const auto* answer = frontend_.joinClient_.responseOf(sub_);
            if (!answer) return fail(410, "the subscription is over");
            fetchingPlaylist_ = true;
            path_ = hls::resolveReference(answer->path,
                                          answer->variants.variants[static_cast<std::size_t>(rung_)].uri)
                        .value_or("");
            if (path_.empty()) return fail(502, "the box's playlist leads elsewhere");
            send(path_, std::nullopt);
            return;
        }
        CachedPlaylist& cached = found->second;
        cached.lastUse = ++frontend_.cacheUseCounter_;
        if (kind_ == ObjectKind::Playlist) {
            http::Exchange* exchange = std::exchange(exchange_, nullptr);
            retire();
            exchange->setHandler(nullptr);
            return frontend_.sendWindow(*exchange, *viewer);
        }
        const hls::Segment* segment =
            segmentNo_ < cached.playlist.segments.size() ? &cached.playlist.segments[segmentNo_] : nullptr;
        std::string uri;
        std::optional<hls::Range> range;
        if (kind_ == ObjectKind::Segment) {
            if (!segment) return fail(404, "the talk has no such segment");
            uri = segment->uri;
            range = segment->range;
            segmentDuration_ = segment->duration;
        } else {
            if (cached.playlist.maps.empty()) return fail(404, "the talk has no such map");
            uri = cached.playlist.maps.front().uri;
            range = cached.playlist.maps.front().range;
        }
        const auto path = hls::resolveReference(cached.path, uri);
        if (!path) return fail(502, "the box's playlist leads elsewhere");
        send(*path, range);
    }

  private:
    void send(const std::string& path, const std::optional<hls::Range>& range) {
        Viewer* viewer = frontend_.byToken(token_);
        http::Fields fields;
        if (viewer) {
            hints::Cmcd forwarded = viewer->hints;
            forwarded.ot = kind_ == ObjectKind::Segment && !fetchingPlaylist_ ? "av"
                           : kind_ == ObjectKind::Init && !fetchingPlaylist_  ? "i"
                                                                              : "m";
            for (std::size_t i = 0; i < hints::kCmcdHeaders.size(); ++i) {
                const std::string value = hints::writeCmcdHeader(forwarded, i);
                if (!value.empty()) fields.add(hints::kCmcdHeaders[i], value);
            }
            logging::TraceContext trace = viewer->trace;
            trace.parent = logging::toHex(frontend_.net_.randomBits() | 1);
            fields.add("traceparent", logging::write(trace));
        }
        if (range)
            fields.add("Range", "bytes=" + std::to_string(range->offset) + "-" +
                                    std::to_string(range->offset + range->length - 1));
        expectedStatus_ = range ? 206 : 200;
        sentAt_ = frontend_.net_.now();
        path_ = path;
        const std::string sub = (path.find('?') == std::string::npos ? "?sub=" : "&sub=") +
                                frontend_.joinClient_.sessionKeyOf(sub_);
        request_ = frontend_.upstream_.send(serverId_, "GET", path + sub, fields, isRetry_,
                                            frontend_.settings_.segmentTimeout, *this);
    }

    void onHead(const http::ResponseHead& head) override {
        status_ = head.status;
        const LoadReport load = upstream::loadOf(head.fields);
        timeToHead_ = frontend_.net_.now() - sentAt_;
        if (status_ == expectedStatus_ && !fetchingPlaylist_ && exchange_) {
            Viewer* viewer = frontend_.byToken(token_);
            if (!viewer || !head.length) {
                status_ = 502;
            } else {
                length_ = *head.length;
                http::Fields fields =
                    frontend_.cmsdFields(*viewer, head.fields.joined("CMSD-Static").value_or(""),
                                         head.fields.joined("CMSD-Dynamic").value_or(""),
                                         kind_ == ObjectKind::Segment ? "av" : "i", timeToHead_);
                const std::string* type = head.fields.find("Content-Type");
                fields.add("Content-Type", type ? *type : "video/mp4");
                fields.add("Cache-Control", "no-store");
                headSent_ = true;
                if (kind_ == ObjectKind::Segment)
                    frontend_.core_.delivery().start(frontend_.net_.now(), core::FetchId{key_}, sub_,
                                                     serverId_, segmentDuration_, length_);
                exchange_->begin(200, fields, length_);
            }
        }
        frontend_.core_.onLoadReport(sub_, serverId_, load.linkUse, load.uplinkUse);
    }

    void onBody(std::string_view bytes) override {
        if (fetchingPlaylist_) {
            if (body_.size() <= 1'000'000) body_ += bytes;
            return;
        }
        if (!headSent_ || !exchange_) return;
        if (receivedBytes_ + bytes.size() > length_) bytes = bytes.substr(0, length_ - receivedBytes_);
        receivedBytes_ += bytes.size();
        frontend_.core_.delivery().addBytes(core::FetchId{key_}, bytes.size());
        exchange_->send(bytes);
        if (exchange_ && exchange_->unsent() > frontend_.settings_.maxUnsentBytes && !paused_) {
            paused_ = everPaused_ = true;
            request_->pause();
            frontend_.core_.delivery().pause(frontend_.net_.now(), core::FetchId{key_});
        }
    }

    void onComplete() override {
        if (fetchingPlaylist_) {
            fetchingPlaylist_ = false;
            if (status_ == 410) return endLostPlayback(upstream::RequestResult::BrokenAnswer);
            if (status_ != 200) return fail(502, "the box has no playlist");
            auto read = hls::parseMediaPlaylist(body_);
            std::string().swap(body_);
            if (!read.playlist) return fail(502, "the box's playlist is broken: " + read.why);
            CachedPlaylist cached{std::move(*read.playlist), {}, path_, ++frontend_.cacheUseCounter_};
            for (const hls::Segment& s : cached.playlist.segments) cached.durations.push_back(s.duration);
            frontend_.cache_[{title_, rung_}] = std::move(cached);
            if (frontend_.cache_.size() > frontend_.settings_.maxCachedPlaylists) {
                auto oldest = frontend_.cache_.begin();
                for (auto it = frontend_.cache_.begin(); it != frontend_.cache_.end(); ++it)
                    if (it->second.lastUse < oldest->second.lastUse) oldest = it;
                frontend_.cache_.erase(oldest);
            }
            previousRequest_ = std::move(request_);
            return start();
        }
        if (status_ == 410) return endLostPlayback(upstream::RequestResult::BrokenAnswer);
        if (!headSent_) return fail(502, "the box answered " + std::to_string(status_));
        if (receivedBytes_ < length_) return abortResponse();
        const Micros now = frontend_.net_.now();
        if (kind_ == ObjectKind::Segment) frontend_.core_.delivery().finish(now, core::FetchId{key_});
        if (Viewer* viewer = frontend_.byToken(token_)) {
            const Micros took = std::max<Micros>(1, now - sentAt_);
            if (kind_ == ObjectKind::Segment) {
                viewer->lastThroughputKbits = static_cast<Micros>(receivedBytes_) * 8'000 / took;
                ++viewer->segments;
                ++frontend_.relayedSegments_;
                reportPathDelivery(*viewer, now);
            }
            viewer->bytes += receivedBytes_;
        }
        frontend_.relayedBytes_ += receivedBytes_;
        http::Exchange* exchange = std::exchange(exchange_, nullptr);
        retire();  // before finish(), which may deliver the viewer's next request immediately
        if (exchange) {
            exchange->setHandler(nullptr);
            exchange->finish();
        }
    }

    void onFailed(upstream::RequestResult result) override {
        // The server had closed the reused connection: a GET may be repeated once, on a new connection.
        if (result == upstream::RequestResult::BrokenOnReused && !isRetry_ && !headSent_ && exchange_) {
            isRetry_ = true;
            previousRequest_ = std::move(request_);
            return start();
        }
        if (result == upstream::RequestResult::NoFreeConnection ||
            result == upstream::RequestResult::NoDescriptor)
            return fail(503, "too much is being fetched from the box");
        if (const Viewer* viewer = frontend_.byToken(token_))
            reportPathDelivery(*viewer, frontend_.net_.now());
        endLostPlayback(result);
    }

    // Reports to admission how fast this segment was delivered, as a measure of the viewer's network path.
    // Skipped if the viewer itself slowed the transfer, or if it was cut off before its play time had passed.
    void reportPathDelivery(const Viewer& viewer, Micros now) {
        const Micros took = std::max<Micros>(1, now - sentAt_);
        if (kind_ != ObjectKind::Segment || everPaused_ || length_ == 0 ||
            (receivedBytes_ < length_ && took < segmentDuration_))
            return;
        const double share = static_cast<double>(segmentDuration_) / static_cast<double>(took) *
                             static_cast<double>(receivedBytes_) / static_cast<double>(length_);
        frontend_.admission_.onDelivered(now, viewer.network, share,
                                         rung_ <= frontend_.roomTypes_.types[viewer.room.v].floor);
    }

    // ---- http::ExchangeHandler ----
    void onDrained() override {
        if (!paused_ || !request_) return;
        paused_ = false;
        frontend_.core_.delivery().resume(frontend_.net_.now(), core::FetchId{key_});
        request_->resume();
    }
    void onConnectionLost() override {
        exchange_ = nullptr;
        if (const Viewer* viewer = frontend_.byToken(token_))
            reportPathDelivery(*viewer, frontend_.net_.now());
        HttpFrontend& frontend = frontend_;
        retire();
        if (Viewer* viewer = frontend.byToken(token_)) frontend.onRequestLost(*viewer);
    }

    void endLostPlayback(upstream::RequestResult result) {
        const SubId sub = sub_;
        HttpFrontend& frontend = frontend_;
        fail(result == upstream::RequestResult::TimedOut ? 504 : 502, upstream::meaningOf(result).name);
        frontend.core_.onPlaybackEnded(sub, result == upstream::RequestResult::BrokenAnswer
                                                ? JoinResult::Reset
                                                : upstream::meaningOf(result).end);
    }
    void abortResponse() {
        if (http::Exchange* exchange = std::exchange(exchange_, nullptr)) {
            exchange->setHandler(nullptr);
            exchange->abort();
        }
        retire();
    }
    void fail(int status, std::string_view why) {
        if (headSent_) return abortResponse();
        http::Exchange* exchange = std::exchange(exchange_, nullptr);
        HttpFrontend& frontend = frontend_;
        retire();
        if (!exchange) return;
        exchange->setHandler(nullptr);
        frontend.refuse(*exchange, status, why, status == 503 ? frontend.settings_.retryAfterWhenFull : 0);
    }
    void retire() {
        const auto it = frontend_.relays_.find(key_);
        if (it == frontend_.relays_.end()) return;
        if (Viewer* viewer = frontend_.byToken(token_)) --viewer->fetches;
        frontend_.destroyLater(std::move(it->second));
        frontend_.relays_.erase(it);
    }

    HttpFrontend& frontend_;
    std::uint64_t key_;
    std::string token_;
    SubId sub_;
    SfuId serverId_;
    std::string title_;
    ObjectKind kind_;
    std::uint64_t segmentNo_;
    int rung_;
    http::Exchange* exchange_;
    std::unique_ptr<upstream::UpstreamRequest> request_, previousRequest_;
    std::string path_, body_;
    bool fetchingPlaylist_ = false, headSent_ = false, paused_ = false, everPaused_ = false, isRetry_ = false;
    int status_ = 0, expectedStatus_ = 200;
    std::uint64_t length_ = 0, receivedBytes_ = 0;
    Micros segmentDuration_ = 0, sentAt_ = 0, timeToHead_ = 0;
};

HttpFrontend::HttpFrontend(const FrontendContext& context, const net::Endpoint& listenEndpoint,
                           const http::HttpLimits& limits, const HttpFrontendSettings& settings,
                           const hints::HintLimits& hintLimits)
    : FrontendContext(context), settings_(settings), hintLimits_(hintLimits), cleanupTimer_(net_, [this] {
          retiredRelays_.clear();
          retiredViewers_.clear();
      }) {
    server_ = std::make_unique<http::Server>(net_, listenEndpoint, limits, *this);
}

HttpFrontend::~HttpFrontend() {
    relays_.clear();
    retiredRelays_.clear();
    viewers_.clear();
    retiredViewers_.clear();
}

HttpFrontend::Viewer* HttpFrontend::byToken(const std::string& token) {
    const auto it = viewers_.find(token);
    return it == viewers_.end() ? nullptr : it->second.get();
}
HttpFrontend::Viewer* HttpFrontend::bySub(SubId id) {
    const auto it = viewersBySub_.find(id);
    return it == viewersBySub_.end() ? nullptr : it->second;
}
const logging::TraceContext* HttpFrontend::traceOf(SubId id) const {
    const auto it = viewersBySub_.find(id);
    return it == viewersBySub_.end() ? nullptr : &it->second->trace;
}
void HttpFrontend::destroyLater(std::unique_ptr<Relay> relay) {
    retiredRelays_.push_back(std::move(relay));
    cleanupTimer_.soon();
}

// ---- requests ----

bool HttpFrontend::acceptsConnection(const net::Endpoint& peer) {
    if (admission_.openConnection(admission_.networkOf(peer.ip))) return true;
    ++rejected_;
    return false;
}
void HttpFrontend::onConnectionClosed(const net::Endpoint& peer) {
    admission_.closeConnection(admission_.networkOf(peer.ip));
}
void HttpFrontend::onMalformedRequest(const net::Endpoint& peer, int status, const std::string& why) {
    ++badRequests_;
    log_.write(logging::Level::Warning, net_.now(), net_.wallNow(), "bad-request",
               {{"peer", net::toString(peer)}, {"status", status}, {"why", why}});
}

void HttpFrontend::refuse(http::Exchange& exchange, int status, std::string_view why, Micros retryAfter) {
    http::Fields fields;
    if (retryAfter > 0) fields.add("Retry-After", ceilToSeconds(retryAfter));
    fields.add("Content-Type", "text/plain; charset=utf-8");
    fields.add("Cache-Control", "no-store");
    if (const auto* parent = exchange.head().fields.find("traceparent");
        parent && logging::parseTraceParent(*parent))
        fields.add("traceparent", *parent);
    exchange.respond(status, fields, std::string(why) + "\n");
}

void HttpFrontend::onRequest(http::Exchange& exchange) {
    const http::RequestHead& head = exchange.head();
    const std::string path = head.path();
    if (head.method == "POST" && path == "/cmcd") return handleCmcdPost(exchange);
    if (head.method != "GET" && head.method != "HEAD") {
        http::Fields fields;
        fields.add("Allow", "GET, HEAD");
        return exchange.respond(405, fields, "");
    }
    constexpr std::string_view kTalkPrefix = "/talk/", kMainSuffix = "/main.m3u8", kSubscription = "/s/";
    if (path.compare(0, kTalkPrefix.size(), kTalkPrefix) == 0 &&
        path.size() > kTalkPrefix.size() + kMainSuffix.size() &&
        path.compare(path.size() - kMainSuffix.size(), kMainSuffix.size(), kMainSuffix) == 0)
        return handleTalkRequest(
            exchange, path.substr(kTalkPrefix.size(), path.size() - kTalkPrefix.size() - kMainSuffix.size()));
    if (path.compare(0, kSubscription.size(), kSubscription) == 0) {
        const auto slash = path.find('/', kSubscription.size());
        Viewer* viewer = slash == std::string::npos
                             ? nullptr
                             : byToken(path.substr(kSubscription.size(), slash - kSubscription.size()));
        if (!viewer || !viewer->playing)
            return refuse(exchange, 410, "the subscription is over: ask for the talk again");
        updateHints(*viewer, hintsOf(head));
        const std::string file = path.substr(slash + 1);
        if (file == "media.m3u8") return handleMediaPlaylistRequest(exchange, *viewer);
        return handleSegmentRequest(exchange, *viewer, file);
    }
    if (path == "/status") {
        http::Fields fields;
        fields.add("Content-Type", "application/json");
        return exchange.respond(200, fields, statusText());
    }
    refuse(exchange, 404, "nothing lies here");
}

void HttpFrontend::countDropped(const hints::CmcdReader& reader) {
    for (std::size_t i = 0; i < hints::kDropReasonCount; ++i) hintsDropped_[i] += reader.dropped()[i];
}

hints::Cmcd HttpFrontend::hintsOf(const http::RequestHead& head) {
    hints::CmcdReader reader(hintLimits_);
    for (std::size_t i = 0; i < hints::kCmcdHeaders.size(); ++i)
        if (const auto value = head.fields.joined(hints::kCmcdHeaders[i])) reader.readHeader(i, *value);
    if (const auto value = http::queryValue(head.query(), "CMCD")) reader.readQuery(*value);
    const hints::Cmcd out = reader.finish();
    countDropped(reader);
    return out;
}

void HttpFrontend::handleCmcdPost(http::Exchange& exchange) {
    hints::CmcdReader reader(hintLimits_);
    reader.readJson(exchange.body());
    const hints::Cmcd received = reader.finish();
    countDropped(reader);
    if (received.sid)
        for (auto& [token, viewer] : viewers_)
            if (viewer->hints.sid == received.sid) updateHints(*viewer, received);
    exchange.respond(204, {}, "");
}

void HttpFrontend::updateHints(Viewer& viewer, const hints::Cmcd& received) {
    if (received.starved.value_or(false)) ++starvedReports_;
    if (received.pr) viewer.paused = received.pr->thousandths == 0;
    // Identifying keys persist when absent; all others are replaced.
    hints::Cmcd merged = received;
    if (!merged.sid) merged.sid = viewer.hints.sid;
    if (!merged.cid) merged.cid = viewer.hints.cid;
    if (!merged.tb) merged.tb = viewer.hints.tb;
    if (!merged.sf) merged.sf = viewer.hints.sf;
    if (!merged.st) merged.st = viewer.hints.st;
    viewer.hints = std::move(merged);
    viewer.idleTimer->after(viewer.paused ? settings_.pausedTimeout : settings_.idleTimeout);
}

void HttpFrontend::handleTalkRequest(http::Exchange& exchange, const std::string& title) {
    const http::RequestHead& head = exchange.head();
    const auto talk = talks_.find(title);
    if (talk == talks_.end()) return refuse(exchange, 404, "no such talk");
    const std::string roomTypeName =
        http::queryValue(head.query(), "room").value_or(roomTypes_.types.front().name);
    const auto room = roomTypes_.find(roomTypeName);
    if (!room) return refuse(exchange, 404, "no such room type");
    const hints::Cmcd hint = hintsOf(head);

    const std::string sidKey = hint.sid ? *hint.sid + "\n" + title + "\n" + roomTypeName : "";
    if (!sidKey.empty()) {
        if (const auto found = viewersBySid_.find(sidKey); found != viewersBySid_.end()) {
            Viewer& viewer = *found->second;
            updateHints(viewer, hint);
            if (viewer.playing) return answerPlaying(viewer, exchange);
            std::erase_if(viewer.waiters, [](const auto& waiter) { return !waiter->isConnected(); });
            if (viewer.waiters.size() <
                settings_.maxFetchesPerViewer) {  // same session on another connection
                viewer.waiters.push_back(std::make_unique<Waiter>(*this, viewer.token, exchange));
                return;
            }
            return refuse(exchange, 503, "this session is asked for already", settings_.retryAfterWhenFull);
        }
    }
    if (stopping_) return refuse(exchange, 503, "this front is stopping", settings_.retryAfterWhenFull);
    const std::uint32_t network = admission_.networkOf(exchange.peer().ip);
    if (const auto decision = admission_.admit(net_.now(), network);
        decision != admission::AdmissionController::Decision::Admitted) {
        ++rejected_;
        return refuse(exchange, 503, admission::AdmissionController::reasonText(decision),
                      admission_.retryAfter(net_.now(), settings_.retryAfterWhenFull));
    }

    const RoomType& type = roomTypes_.types[room->v];
    // Limits by CMCD, in kbit/s: top bitrate (tb), requested maximum throughput (rtp) and measured throughput
    // (mtp; it is noisy, so 1.5 times its value is allowed).
    double kbits = 1e18;
    if (hint.tb && *hint.tb > 0) kbits = std::min(kbits, static_cast<double>(*hint.tb));
    if (hint.rtp && *hint.rtp > 0) kbits = std::min(kbits, static_cast<double>(*hint.rtp));
    if (hint.mtp && *hint.mtp > 0) kbits = std::min(kbits, 1.5 * static_cast<double>(*hint.mtp));
    if (admission_.isLimitedToLowestRung(network)) kbits = 0;
    SubscriptionRequest request = subscriptionRequestFor(*room, title, talk->second, ladder_, type, kbits);
    for (const auto& [key, value] : hint.custom) {
        if (key != "org.valekeel-watch") continue;
        if (const auto* whole = std::get_if<std::int64_t>(&value); whole && *whole > 0 && *whole < 100'000)
            request.watchSeconds = static_cast<double>(*whole);
    }

    const auto id = core_.subscribe(*this, request, roomTypes_.clientTimeouts[room->v]);
    if (!id) {
        admission_.onAnswered(network);
        ++rejected_;
        return refuse(exchange, 503, "this front holds all that it can", settings_.retryAfterWhenFull);
    }
    auto created = std::make_unique<Viewer>(settings_.window);
    Viewer& viewer = *created;
    viewer.token = logging::toHex(net_.randomBits()) + logging::toHex(net_.randomBits());
    viewer.sidKey = sidKey;
    viewer.title = title;
    viewer.sub = *id;
    viewer.room = *room;
    viewer.network = network;
    viewer.admissionPending = true;
    viewer.hints = hint;
    const std::string* parent = head.fields.find("traceparent");
    auto trace = parent ? logging::parseTraceParent(*parent) : std::nullopt;
    viewer.trace =
        trace ? *trace : logging::newTrace(net_.randomBits(), net_.randomBits(), net_.randomBits());
    viewer.idleTimer = std::make_unique<net::Timer>(net_, [this, token = viewer.token] {
        Viewer* idleViewer = byToken(token);
        if (!idleViewer) return;
        // A viewer with an open request is not idle: the server or a link is slow. The request has its own
        // timeout.
        if (idleViewer->hasOpenRequest())
            idleViewer->idleTimer->after(settings_.idleTimeout / 2);
        else
            endViewer(*idleViewer, true, {410, "the subscription is over: ask for the talk again"});
    });
    viewer.idleTimer->after(std::max(settings_.idleTimeout, roomTypes_.clientTimeouts[room->v]));
    viewer.waiters.push_back(std::make_unique<Waiter>(*this, viewer.token, exchange));
    viewersBySub_[*id] = &viewer;
    if (!sidKey.empty()) viewersBySid_[sidKey] = &viewer;
    joinClient_.setRequestSource(*id, *this);
    nlohmann::ordered_json fields{{"trace", viewer.trace.trace},
                                  {"sub", id->v},
                                  {"title", title},
                                  {"room", roomTypeName},
                                  {"max_rung", request.maxRung},
                                  {"network", admission_.nameOf(network)}};
    if (hint.sid) fields["sid"] = *hint.sid;
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "asked", std::move(fields));
    viewers_.emplace(viewer.token, std::move(created));
    core_.start(*id);
}

void HttpFrontend::handleMediaPlaylistRequest(http::Exchange& exchange, Viewer& viewer) {
    if (cache_.count({viewer.title, viewer.rung})) return sendWindow(exchange, viewer);
    if (viewer.fetches >= settings_.maxFetchesPerViewer)
        return refuse(exchange, 429, "too many fetches at once");
    const std::uint64_t key = nextFetchId_++;
    auto& relay = relays_[key] =
        std::make_unique<Relay>(*this, key, viewer, exchange, Relay::ObjectKind::Playlist, 0, viewer.rung);
    relay->start();
}

void HttpFrontend::sendWindow(http::Exchange& exchange, Viewer& viewer) {
    const auto found = cache_.find({viewer.title, viewer.rung});
    if (found == cache_.end()) return refuse(exchange, 502, "no playlist");
    found->second.lastUse = ++cacheUseCounter_;
    const std::vector<Micros>& durations = found->second.durations;
    viewer.window.extend(net_.now() - viewer.startedAt, viewer.rung, durations);
    http::Fields fields = cmsdFields(viewer, "", "", "m", std::nullopt);
    fields.add("Content-Type", kPlaylistType);
    fields.add("Cache-Control", "no-store");
    exchange.respond(200, fields, hls::write(viewer.window.playlist(durations)));
}

void HttpFrontend::handleSegmentRequest(http::Exchange& exchange, Viewer& viewer, std::string_view file) {
    auto kind = Relay::ObjectKind::Segment;
    constexpr std::string_view kInitPrefix = "init-";
    std::string_view number = file;
    const auto dot = file.rfind('.');
    if (dot != std::string_view::npos) number = file.substr(0, dot);
    const std::string_view extension = dot == std::string_view::npos ? "" : file.substr(dot);
    if (number.substr(0, kInitPrefix.size()) == kInitPrefix && extension == ".mp4") {
        kind = Relay::ObjectKind::Init;
        number.remove_prefix(kInitPrefix.size());
    } else if (extension != ".m4s") {
        return refuse(exchange, 404, "nothing lies here");
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (error != std::errc{} || end != number.data() + number.size())
        return refuse(exchange, 404, "nothing lies here");
    int rung = 0;
    if (kind == Relay::ObjectKind::Init) {
        if (value >= ladder_.kb.size()) return refuse(exchange, 404, "nothing lies here");
        rung = static_cast<int>(value);
    } else {
        const PlaylistWindow::Listed* listed = viewer.window.find(value);
        if (!listed) return refuse(exchange, 404, "this segment is not listed");
        rung = listed->rung;
    }
    if (viewer.fetches >= settings_.maxFetchesPerViewer)
        return refuse(exchange, 429, "too many fetches at once");
    const std::uint64_t key = nextFetchId_++;
    auto& relay = relays_[key] = std::make_unique<Relay>(*this, key, viewer, exchange, kind, value, rung);
    if (kind == Relay::ObjectKind::Segment) viewer.window.fetched(value);
    if (kind == Relay::ObjectKind::Segment && rung != viewer.lastFetchedRung) {
        viewer.lastFetchedRung = rung;
        core_.onRungFetched(viewer.sub, rung);
    }
    relay->start();
}

http::Fields HttpFrontend::cmsdFields(const Viewer& viewer, std::string_view upstreamStatic,
                                      std::string_view upstreamDynamic, std::string_view objectType,
                                      std::optional<Micros> toHead) const {
    http::Fields fields;
    if (!upstreamStatic.empty() && hints::parseCmsdStatic(upstreamStatic)) {
        fields.add("CMSD-Static", upstreamStatic);
    } else {
        hints::CmsdStatic own;
        own.n = name_;
        own.ot = std::string(objectType);
        own.sf = "h";
        own.st = "v";
        fields.add("CMSD-Static", hints::write(own));
    }
    hints::CmsdEntry entry;
    entry.server = name_;
    const RoomType& type = roomTypes_.types[viewer.room.v];
    entry.mb = static_cast<std::int64_t>(
        std::llround(ladder_.kb[static_cast<std::size_t>(viewer.rung)] * type.rateFactor * 8));
    if (viewer.lastThroughputKbits) entry.etp = *viewer.lastThroughputKbits;
    if (toHead) entry.rd = *toHead / 1000;
    entry.du = admission_.pendingCount() * 2 > admission_.limit();
    fields.add("CMSD-Dynamic", hints::appendEntry(upstreamDynamic, entry));
    fields.add("traceparent", logging::write(viewer.trace));
    return fields;
}

// ---- answers ----

void HttpFrontend::answerWaiters(Viewer& viewer, const std::function<void(http::Exchange&)>& respond) {
    if (std::exchange(viewer.admissionPending, false)) admission_.onAnswered(viewer.network);
    std::vector<std::unique_ptr<Waiter>> waiters;
    waiters.swap(viewer.waiters);
    for (auto& waiter : waiters) {
        http::Exchange* exchange = waiter->release();
        if (!exchange) continue;
        exchange->setHandler(nullptr);
        respond(*exchange);
    }
}

void HttpFrontend::onPlaying(SubId id, SfuId serverId, int rung) {
    Viewer* viewer = bySub(id);
    if (!viewer) return;
    viewer->playing = true;
    viewer->serverId = serverId;
    viewer->rung = viewer->lastFetchedRung = rung;
    viewer->startedAt = net_.now();
    viewer->idleTimer->after(settings_.idleTimeout);
    const std::string token = viewer->token;
    answerWaiters(*viewer, [&](http::Exchange& exchange) {
        if (Viewer* current = byToken(token)) answerPlaying(*current, exchange);
    });
}

void HttpFrontend::answerPlaying(Viewer& viewer, http::Exchange& exchange) {
    const upstream::JoinResponse* answer = joinClient_.responseOf(viewer.sub);
    if (!answer) return refuse(exchange, 410, "the subscription is over");
    // A single variant: the front chooses the rung, and the window's EXT-X-MAP entries signal each change.
    hls::Variant best;
    for (const hls::Variant& v : answer->variants.variants) {
        if (v.bandwidth <= best.bandwidth) continue;
        best = v;
    }
    best.uri = "/s/" + viewer.token + "/media.m3u8";
    http::Fields fields = cmsdFields(viewer, answer->cmsdStatic, answer->cmsdDynamic, "m", answer->toHead);
    fields.add("Content-Type", kPlaylistType);
    fields.add("Cache-Control", "no-store");
    exchange.respond(200, fields, hls::write(hls::Multivariant{{best}}));
}

void HttpFrontend::onThrottled(SubId id, Micros retryAfter) {
    Viewer* viewer = bySub(id);
    if (!viewer) return;
    const Micros advertisedRetryAfter = retryAfter > 0 ? admission_.retryAfter(net_.now(), retryAfter) : 0;
    endViewer(*viewer, false, {503, "no room for it now", advertisedRetryAfter});
}

void HttpFrontend::onTerminated(SubId id, core::TerminationReason reason) {
    Viewer* viewer = bySub(id);
    if (!viewer) return;
    endViewer(*viewer, false, {reason == core::TerminationReason::TimedOut ? 504 : 502, "its set-up failed"});
}

void HttpFrontend::onRungChanged(SubId id, int rung) {
    if (Viewer* viewer = bySub(id)) viewer->rung = rung;
}

void HttpFrontend::onServerLost(SubId id) {
    if (Viewer* viewer = bySub(id)) endViewer(*viewer, false, {502, "its box was lost"});
}

// The viewer may still return on another connection, recognised by its sid.
void HttpFrontend::onRequestLost(Viewer& viewer) {
    if (!viewer.hasOpenRequest()) viewer.idleTimer->after(settings_.disconnectedTimeout);
}

void HttpFrontend::endViewer(Viewer& viewer, bool notifyCore, const EndResponse& response) {
    const SubId id = viewer.sub;
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "viewer-over",
               {{"trace", viewer.trace.trace},
                {"sub", id.v},
                {"segments", viewer.segments},
                {"bytes", viewer.bytes}});
    if (std::exchange(viewer.admissionPending, false)) admission_.onAnswered(viewer.network);
    viewer.idleTimer->cancel();
    viewersBySub_.erase(id);
    if (!viewer.sidKey.empty()) {
        const auto it = viewersBySid_.find(viewer.sidKey);
        if (it != viewersBySid_.end() && it->second == &viewer) viewersBySid_.erase(it);
    }
    const auto it = viewers_.find(viewer.token);
    retiredViewers_.push_back(std::move(it->second));
    viewers_.erase(it);
    cleanupTimer_.soon();
    if (notifyCore) core_.unsubscribe(id);
    joinClient_.forget(id);
    // Last: an answer may bring the next request on its connection, which must not meet this viewer.
    answerWaiters(viewer, [&](http::Exchange& exchange) {
        refuse(exchange, response.status, response.why, response.retryAfter);
    });
}

upstream::JoinRequest HttpFrontend::joinRequestFor(SubId id, int) {
    upstream::JoinRequest joinRequest;
    const Viewer* viewer = bySub(id);
    if (!viewer) return joinRequest;
    joinRequest.title = viewer->title;
    joinRequest.room = roomTypes_.types[viewer->room.v].name;
    hints::Cmcd forwarded = viewer->hints;
    forwarded.ot = "m";
    forwarded.su = true;
    for (std::size_t i = 0; i < hints::kCmcdHeaders.size(); ++i) {
        const std::string value = hints::writeCmcdHeader(forwarded, i);
        if (!value.empty()) joinRequest.fields.add(hints::kCmcdHeaders[i], value);
    }
    logging::TraceContext trace = viewer->trace;
    trace.parent = logging::toHex(net_.randomBits() | 1);
    joinRequest.fields.add("traceparent", logging::write(trace));
    return joinRequest;
}

void HttpFrontend::shutDown(std::function<void()> done) {
    stopping_ = true;
    std::vector<Viewer*> all;
    for (auto& [token, viewer] : viewers_) all.push_back(viewer.get());
    for (Viewer* viewer : all)
        endViewer(*viewer, true, {503, "this front is stopping", settings_.retryAfterWhenFull});
    server_->shutDown(std::move(done));
}

std::string HttpFrontend::statusText() const {
    const core::CoreCounts& c = core_.counts();
    nlohmann::ordered_json out{{"front", name_},
                               {"asked", c.requested},
                               {"played", c.played},
                               {"throttled", c.throttled},
                               {"terminated", c.terminated},
                               {"left", c.left},
                               {"broke", c.lost},
                               {"joins", c.joins},
                               {"guarded", c.guardAnswers},
                               {"turned_away", rejected_},
                               {"playing", viewers_.size()},
                               {"unanswered", core_.unansweredCount()},
                               {"connections", server_->connections()},
                               {"box_connections", upstream_.connections()},
                               {"segments", relayedSegments_},
                               {"bytes", relayedBytes_},
                               {"starved", starvedReports_},
                               {"bad_requests", badRequests_}};
    nlohmann::ordered_json hints;
    for (std::size_t i = 0; i < hints::kDropReasonCount; ++i)
        hints[std::string(hints::nameOf(static_cast<hints::DropReason>(i)))] = hintsDropped_[i];
    out["hints_dropped"] = std::move(hints);
    return out.dump() + "\n";
}

}  // namespace valekeel::frontends
