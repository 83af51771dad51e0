#include "frontends/http/http_frontend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace valekeel::frontends {
namespace {

constexpr std::string_view kPlaylistType = "application/vnd.apple.mpegurl";

}  // namespace

struct HttpFrontend::Viewer {
    std::string token, sidKey, title;
    SubId sub;
    RoomTypeId room;
    std::uint32_t network = 0;
    bool inGate = false, playing = false, paused = false;
    logging::TraceContext trace;
    hints::Cmcd hints;
    SfuId at;
    int rung = 0, rungSeen = 0;
    Micros startedAt = 0;
    std::optional<Micros> delivered;  // kbit/s, of the last segment
    PlaylistWindow window;
    std::vector<std::unique_ptr<Waiter>> waiters;
    std::size_t fetches = 0;
    std::uint64_t segments = 0, bytes = 0;
    std::unique_ptr<net::Timer> silence;
    Viewer(const PlaylistWindowSettings& terms) : window(terms) {}
};

// A request that waits for its subscription's answer.
class HttpFrontend::Waiter final : public http::ExchangeHandler {
  public:
    Waiter(HttpFrontend& face, std::string token, http::Exchange& exchange)
        : face_(face), token_(std::move(token)), exchange_(&exchange) {
        exchange.setHandler(this);
    }
    ~Waiter() override {
        if (exchange_) exchange_->setHandler(nullptr);
    }
    http::Exchange* release() { return std::exchange(exchange_, nullptr); }

  private:
    void onConnectionLost() override {
        exchange_ = nullptr;
        // Once the last connection that waits is lost, the viewer may still come back by its sid.
        if (Viewer* viewer = face_.byToken(token_)) viewer->silence->after(face_.terms_.closedAfter);
    }
    HttpFrontend& face_;
    std::string token_;
    http::Exchange* exchange_;
};

// One fetch from a box for a viewer: the playlist first, where it isn't known, then what was asked for.
class HttpFrontend::Relay final : public upstream::UpstreamRequestHandler, public http::ExchangeHandler {
  public:
    enum class What { PlaylistWindow, Init, Segment };
    Relay(HttpFrontend& face, std::uint64_t key, Viewer& viewer, http::Exchange& exchange, What what,
          std::uint64_t no, int rung)
        : face_(face),
          key_(key),
          token_(viewer.token),
          sub_(viewer.sub),
          at_(viewer.at),
          title_(viewer.title),
          what_(what),
          no_(no),
          rung_(rung),
          exchange_(&exchange) {
        exchange.setHandler(this);
        ++viewer.fetches;
    }
    ~Relay() override {
        if (exchange_) exchange_->setHandler(nullptr);
        face_.core_.delivery().discard(core::FetchId{key_});
    }
    void start() {
        Viewer* viewer = face_.byToken(token_);
        if (!viewer) return end(410, "the subscription is over");
        const auto known = face_.cache_.find({title_, rung_});
        if (known == face_.cache_.end()) {
            const auto* answer = face_.joins_.responseOf(sub_);
            if (!answer) return end(410, "the subscription is over");
            playlist_ = true;
            path_ = hls::resolveReference(answer->path,
                                          answer->variants.variants[static_cast<std::size_t>(rung_)].uri)
                        .value_or("");
            if (path_.empty()) return end(502, "the box's playlist leads elsewhere");
            send(path_, std::nullopt);
            return;
        }
        Cached& cached = known->second;
        cached.usedAt = ++face_.cacheUse_;
        if (what_ == What::PlaylistWindow) {
            http::Exchange* exchange = std::exchange(exchange_, nullptr);
            over();
            exchange->setHandler(nullptr);
            return face_.sendWindow(*exchange, *viewer);
        }
        const hls::Segment* segment =
            no_ < cached.list.segments.size() ? &cached.list.segments[no_] : nullptr;
        std::string uri;
        std::optional<hls::Range> range;
        if (what_ == What::Segment) {
            if (!segment) return end(404, "the talk has no such segment");
            uri = segment->uri;
            range = segment->range;
            playTime_ = segment->duration;
        } else {
            if (cached.list.maps.empty()) return end(404, "the talk has no such map");
            uri = cached.list.maps.front().uri;
            range = cached.list.maps.front().range;
        }
        const auto path = hls::resolveReference(cached.path, uri);
        if (!path) return end(502, "the box's playlist leads elsewhere");
        send(*path, range);
    }

  private:
    void send(const std::string& path, const std::optional<hls::Range>& range) {
        Viewer* viewer = face_.byToken(token_);
        http::Fields fields;
        if (viewer) {
            hints::Cmcd on = viewer->hints;
            on.ot = what_ == What::Segment && !playlist_ ? "av"
                    : what_ == What::Init && !playlist_  ? "i"
                                                         : "m";
            for (std::size_t i = 0; i < hints::kCmcdHeaders.size(); ++i) {
                const std::string value = hints::writeCmcdHeader(on, i);
                if (!value.empty()) fields.add(hints::kCmcdHeaders[i], value);
            }
            logging::TraceContext trace = viewer->trace;
            trace.parent = logging::toHex(face_.net_.randomBits() | 1);
            fields.add("traceparent", logging::write(trace));
        }
        if (range)
            fields.add("Range", "bytes=" + std::to_string(range->offset) + "-" +
                                    std::to_string(range->offset + range->length - 1));
        wanted_ = range ? 206 : 200;
        sentAt_ = face_.net_.now();
        path_ = path;
        const std::string sub =
            (path.find('?') == std::string::npos ? "?sub=" : "&sub=") + face_.joins_.keyOf(sub_);
        request_ =
            face_.boxes_.send(at_, "GET", path + sub, fields, again_, face_.terms_.segmentWithin, *this);
    }

    void onHead(const http::ResponseHead& head) override {
        status_ = head.status;
        const LoadReport load = upstream::loadOf(head.fields);
        toHead_ = face_.net_.now() - sentAt_;
        if (status_ == wanted_ && !playlist_ && exchange_) {
            Viewer* viewer = face_.byToken(token_);
            if (!viewer || !head.length) {
                status_ = 502;
            } else {
                length_ = *head.length;
                http::Fields fields =
                    face_.cmsdFields(*viewer, head.fields.joined("CMSD-Static").value_or(""),
                                     head.fields.joined("CMSD-Dynamic").value_or(""),
                                     what_ == What::Segment ? "av" : "i", toHead_);
                const std::string* type = head.fields.find("Content-Type");
                fields.add("Content-Type", type ? *type : "video/mp4");
                fields.add("Cache-Control", "no-store");
                begun_ = true;
                if (what_ == What::Segment)
                    face_.core_.delivery().start(face_.net_.now(), core::FetchId{key_}, sub_, at_, playTime_,
                                                 length_);
                exchange_->begin(200, fields, length_);
            }
        }
        face_.core_.onLoadReport(sub_, at_, load.linkUse, load.uplinkUse);
    }

    void onBody(std::string_view bytes) override {
        if (playlist_) {
            if (body_.size() <= 1'000'000) body_ += bytes;
            return;
        }
        if (!begun_ || !exchange_) return;
        if (got_ + bytes.size() > length_) bytes = bytes.substr(0, length_ - got_);
        got_ += bytes.size();
        face_.core_.delivery().addBytes(core::FetchId{key_}, bytes.size());
        exchange_->send(bytes);
        if (exchange_ && exchange_->unsent() > face_.terms_.relayBytes && !held_) {
            held_ = heldEver_ = true;
            request_->pause();
            face_.core_.delivery().pause(face_.net_.now(), core::FetchId{key_});
        }
    }

    void onComplete() override {
        if (playlist_) {
            playlist_ = false;
            if (status_ == 410) return lost(upstream::RequestResult::BrokenAnswer);
            if (status_ != 200) return end(502, "the box has no playlist");
            auto read = hls::parseMediaPlaylist(body_);
            std::string().swap(body_);
            if (!read.playlist) return end(502, "the box's playlist is broken: " + read.why);
            Cached cached{std::move(*read.playlist), {}, path_, ++face_.cacheUse_};
            for (const hls::Segment& s : cached.list.segments) cached.durations.push_back(s.duration);
            face_.cache_[{title_, rung_}] = std::move(cached);
            if (face_.cache_.size() > face_.terms_.cachedPlaylists) {
                auto oldest = face_.cache_.begin();
                for (auto it = face_.cache_.begin(); it != face_.cache_.end(); ++it)
                    if (it->second.usedAt < oldest->second.usedAt) oldest = it;
                face_.cache_.erase(oldest);
            }
            finished_ = std::move(request_);
            return start();
        }
        if (status_ == 410) return lost(upstream::RequestResult::BrokenAnswer);
        if (!begun_) return end(502, "the box answered " + std::to_string(status_));
        if (got_ < length_) return cutShort();
        const Micros now = face_.net_.now();
        if (what_ == What::Segment) face_.core_.delivery().finish(now, core::FetchId{key_});
        if (Viewer* viewer = face_.byToken(token_)) {
            const Micros took = std::max<Micros>(1, now - sentAt_);
            if (what_ == What::Segment) {
                viewer->delivered = static_cast<Micros>(got_) * 8'000 / took;
                ++viewer->segments;
                ++face_.relayedSegments_;
                tellWay(*viewer, now);
            }
            viewer->bytes += got_;
        }
        face_.relayedBytes_ += got_;
        http::Exchange* exchange = std::exchange(exchange_, nullptr);
        over();  // first: what finishes may bring the viewer's next request at once
        if (exchange) {
            exchange->setHandler(nullptr);
            exchange->finish();
        }
    }

    void onFailed(upstream::RequestResult how) override {
        // A kept connection that the box had just closed: what is fetched may be fetched again, on a fresh
        // one.
        if (how == upstream::RequestResult::BrokenOnReused && !again_ && !begun_ && exchange_) {
            again_ = true;
            finished_ = std::move(request_);
            return start();
        }
        if (how == upstream::RequestResult::NoFreeConnection || how == upstream::RequestResult::NoDescriptor)
            return end(503, "too much is being fetched from the box");
        if (const Viewer* viewer = face_.byToken(token_)) tellWay(*viewer, face_.net_.now());
        lost(how);
    }

    // What this segment says of its viewer's way: nothing if the viewer took its time, or it came to an end
    // early.
    void tellWay(const Viewer& viewer, Micros now) {
        const Micros took = std::max<Micros>(1, now - sentAt_);
        if (what_ != What::Segment || heldEver_ || length_ == 0 || (got_ < length_ && took < playTime_))
            return;
        const double share = static_cast<double>(playTime_) / static_cast<double>(took) *
                             static_cast<double>(got_) / static_cast<double>(length_);
        face_.gate_.onDelivered(now, viewer.network, share, rung_ <= face_.rooms_.types[viewer.room.v].floor);
    }

    // The viewer's side.
    void onDrained() override {
        if (!held_ || !request_) return;
        held_ = false;
        face_.core_.delivery().resume(face_.net_.now(), core::FetchId{key_});
        request_->resume();
    }
    void onConnectionLost() override {
        exchange_ = nullptr;
        if (Viewer* viewer = face_.byToken(token_)) {
            tellWay(*viewer, face_.net_.now());
            viewer->silence->after(face_.terms_.closedAfter);
        }
        over();
    }

    void lost(upstream::RequestResult how) {
        const SubId sub = sub_;
        HttpFrontend& face = face_;
        end(how == upstream::RequestResult::TimedOut ? 504 : 502, upstream::meaningOf(how).name);
        face.core_.onPlaybackEnded(sub, how == upstream::RequestResult::BrokenAnswer
                                            ? JoinResult::Reset
                                            : upstream::meaningOf(how).end);
    }
    void cutShort() {
        if (http::Exchange* exchange = std::exchange(exchange_, nullptr)) {
            exchange->setHandler(nullptr);
            exchange->abort();
        }
        over();
    }
    void end(int status, std::string_view why) {
        if (begun_) return cutShort();
        http::Exchange* exchange = std::exchange(exchange_, nullptr);
        HttpFrontend& face = face_;
        over();
        if (!exchange) return;
        exchange->setHandler(nullptr);
        face.refuse(*exchange, status, why, status == 503 ? face.terms_.retryWhenFull : 0);
    }
    void over() {
        const auto it = face_.relays_.find(key_);
        if (it == face_.relays_.end()) return;
        if (Viewer* viewer = face_.byToken(token_)) --viewer->fetches;
        face_.bury(std::move(it->second));
        face_.relays_.erase(it);
    }

    HttpFrontend& face_;
    std::uint64_t key_;
    std::string token_;
    SubId sub_;
    SfuId at_;
    std::string title_;
    What what_;
    std::uint64_t no_;
    int rung_;
    http::Exchange* exchange_;
    std::unique_ptr<upstream::UpstreamRequest> request_, finished_;
    std::string path_, body_;
    bool playlist_ = false, begun_ = false, held_ = false, heldEver_ = false, again_ = false;
    int status_ = 0, wanted_ = 200;
    std::uint64_t length_ = 0, got_ = 0;
    Micros playTime_ = 0, sentAt_ = 0, toHead_ = 0;
};

HttpFrontend::HttpFrontend(const FrontendContext& around, const net::Endpoint& at,
                           const http::HttpLimits& limits, const HttpFrontendSettings& terms,
                           const hints::HintLimits& hintLimits)
    : FrontendContext(around), terms_(terms), hintLimits_(hintLimits), bury_(net_, [this] {
          dead_.clear();
          deadViewers_.clear();
      }) {
    server_ = std::make_unique<http::Server>(net_, at, limits, *this);
}

HttpFrontend::~HttpFrontend() {
    relays_.clear();
    dead_.clear();
    viewers_.clear();
    deadViewers_.clear();
}

HttpFrontend::Viewer* HttpFrontend::byToken(const std::string& token) {
    const auto it = viewers_.find(token);
    return it == viewers_.end() ? nullptr : it->second.get();
}
HttpFrontend::Viewer* HttpFrontend::bySub(SubId id) {
    const auto it = subs_.find(id);
    return it == subs_.end() ? nullptr : it->second;
}
const logging::TraceContext* HttpFrontend::traceOf(SubId id) const {
    const auto it = subs_.find(id);
    return it == subs_.end() ? nullptr : &it->second->trace;
}
void HttpFrontend::bury(std::unique_ptr<Relay> relay) {
    dead_.push_back(std::move(relay));
    bury_.soon();
}

// ================= requests =================

bool HttpFrontend::acceptsConnection(const net::Endpoint& peer) {
    if (gate_.openConnection(gate_.networkOf(peer.ip))) return true;
    ++turnedAway_;
    return false;
}
void HttpFrontend::onConnectionClosed(const net::Endpoint& peer) {
    gate_.closeConnection(gate_.networkOf(peer.ip));
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
    if (const auto* dynamic = exchange.head().fields.find("traceparent");
        dynamic && logging::parseTraceParent(*dynamic))
        fields.add("traceparent", *dynamic);
    exchange.respond(status, fields, std::string(why) + "\n");
}

void HttpFrontend::onRequest(http::Exchange& exchange) {
    const http::RequestHead& head = exchange.head();
    const std::string path = head.path();
    if (head.method == "POST" && path == "/cmcd") return takeJson(exchange);
    if (head.method != "GET" && head.method != "HEAD") {
        http::Fields fields;
        fields.add("Allow", "GET, HEAD");
        return exchange.respond(405, fields, "");
    }
    constexpr std::string_view kTalk = "/talk/", kMain = "/main.m3u8", kSub = "/s/";
    if (path.compare(0, kTalk.size(), kTalk) == 0 && path.size() > kTalk.size() + kMain.size() &&
        path.compare(path.size() - kMain.size(), kMain.size(), kMain) == 0)
        return askTalk(exchange, path.substr(kTalk.size(), path.size() - kTalk.size() - kMain.size()));
    if (path.compare(0, kSub.size(), kSub) == 0) {
        const auto slash = path.find('/', kSub.size());
        Viewer* viewer =
            slash == std::string::npos ? nullptr : byToken(path.substr(kSub.size(), slash - kSub.size()));
        if (!viewer || !viewer->playing)
            return refuse(exchange, 410, "the subscription is over: ask for the talk again");
        heardFrom(*viewer, hintsOf(head));
        const std::string file = path.substr(slash + 1);
        if (file == "media.m3u8") return askMedia(exchange, *viewer);
        return askSegment(exchange, *viewer, file);
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

void HttpFrontend::takeJson(http::Exchange& exchange) {
    hints::CmcdReader reader(hintLimits_);
    reader.readJson(exchange.body());
    const hints::Cmcd got = reader.finish();
    countDropped(reader);
    if (got.sid)
        for (auto& [token, viewer] : viewers_)
            if (viewer->hints.sid == got.sid) heardFrom(*viewer, got);
    exchange.respond(204, {}, "");
}

void HttpFrontend::heardFrom(Viewer& viewer, const hints::Cmcd& got) {
    if (got.starved.value_or(false)) ++starved_;
    if (got.pr) viewer.paused = got.pr->thousandths == 0;
    // What identifies it stays; what tells of now is replaced.
    hints::Cmcd now = got;
    if (!now.sid) now.sid = viewer.hints.sid;
    if (!now.cid) now.cid = viewer.hints.cid;
    if (!now.tb) now.tb = viewer.hints.tb;
    if (!now.sf) now.sf = viewer.hints.sf;
    if (!now.st) now.st = viewer.hints.st;
    viewer.hints = std::move(now);
    viewer.silence->after(viewer.paused ? terms_.pausedAfter : terms_.silentAfter);
}

void HttpFrontend::askTalk(http::Exchange& exchange, const std::string& title) {
    const http::RequestHead& head = exchange.head();
    const auto talk = talks_.find(title);
    if (talk == talks_.end()) return refuse(exchange, 404, "no such talk");
    const std::string roomName = http::queryValue(head.query(), "room").value_or(rooms_.types.front().name);
    const auto room = rooms_.find(roomName);
    if (!room) return refuse(exchange, 404, "no such room type");
    const hints::Cmcd hint = hintsOf(head);

    const std::string sidKey = hint.sid ? *hint.sid + "\n" + title + "\n" + roomName : "";
    if (!sidKey.empty()) {
        if (const auto known = sids_.find(sidKey); known != sids_.end()) {
            Viewer& viewer = *known->second;
            heardFrom(viewer, hint);
            if (viewer.playing) return answerPlaying(viewer, exchange);
            if (viewer.waiters.size() < terms_.fetchesEach) {  // on another connection, and still waiting
                viewer.waiters.push_back(std::make_unique<Waiter>(*this, viewer.token, exchange));
                return;
            }
            return refuse(exchange, 503, "this session is asked for already", terms_.retryWhenFull);
        }
    }
    if (stopping_) return refuse(exchange, 503, "this front is stopping", terms_.retryWhenFull);
    const std::uint32_t network = gate_.networkOf(exchange.peer().ip);
    if (const auto let = gate_.admit(net_.now(), network);
        let != admission::AdmissionController::Decision::Admitted) {
        ++turnedAway_;
        return refuse(exchange, 503, admission::AdmissionController::reasonText(let),
                      gate_.retryAfter(net_.now(), terms_.retryWhenFull));
    }

    const RoomType& type = rooms_.types[room->v];
    // The best rung of the device (tb), what the player thinks enough (rtp), and what its own link was seen
    // to carry (mtp, which is noisy: half as much again is allowed). All in kbit/s.
    double kbits = 1e18;
    if (hint.tb && *hint.tb > 0) kbits = std::min(kbits, static_cast<double>(*hint.tb));
    if (hint.rtp && *hint.rtp > 0) kbits = std::min(kbits, static_cast<double>(*hint.rtp));
    if (hint.mtp && *hint.mtp > 0) kbits = std::min(kbits, 1.5 * static_cast<double>(*hint.mtp));
    if (gate_.isLimitedToLowestRung(network)) kbits = 0;
    SubscriptionRequest wish = subscriptionRequestFor(*room, title, talk->second, ladder_, type, kbits);
    for (const auto& [key, value] : hint.custom) {
        if (key != "org.valekeel-watch") continue;
        if (const auto* whole = std::get_if<std::int64_t>(&value); whole && *whole > 0 && *whole < 100'000)
            wish.watchSeconds = static_cast<double>(*whole);
    }

    const auto id = core_.subscribe(*this, wish, rooms_.clientTimeouts[room->v]);
    if (!id) {
        gate_.onAnswered(network);
        ++turnedAway_;
        return refuse(exchange, 503, "this front holds all that it can", terms_.retryWhenFull);
    }
    auto made = std::make_unique<Viewer>(terms_.window);
    Viewer& viewer = *made;
    viewer.token = logging::toHex(net_.randomBits()) + logging::toHex(net_.randomBits());
    viewer.sidKey = sidKey;
    viewer.title = title;
    viewer.sub = *id;
    viewer.room = *room;
    viewer.network = network;
    viewer.inGate = true;
    viewer.hints = hint;
    const std::string* parent = head.fields.find("traceparent");
    auto trace = parent ? logging::parseTraceParent(*parent) : std::nullopt;
    viewer.trace =
        trace ? *trace : logging::newTrace(net_.randomBits(), net_.randomBits(), net_.randomBits());
    viewer.silence = std::make_unique<net::Timer>(net_, [this, token = viewer.token] {
        Viewer* silent = byToken(token);
        if (!silent) return;
        // Who waits for a segment is not silent: the box is, or a link; that fetch has an end of its own.
        if (silent->fetches > 0)
            silent->silence->after(terms_.silentAfter / 2);
        else
            endViewer(*silent, true);
    });
    viewer.silence->after(std::max(terms_.silentAfter, rooms_.clientTimeouts[room->v]));
    viewer.waiters.push_back(std::make_unique<Waiter>(*this, viewer.token, exchange));
    subs_[*id] = &viewer;
    if (!sidKey.empty()) sids_[sidKey] = &viewer;
    joins_.setRequestSource(*id, *this);
    nlohmann::ordered_json fields{{"trace", viewer.trace.trace},
                                  {"sub", id->v},
                                  {"title", title},
                                  {"room", roomName},
                                  {"max_rung", wish.maxRung},
                                  {"network", gate_.nameOf(network)}};
    if (hint.sid) fields["sid"] = *hint.sid;
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "asked", std::move(fields));
    viewers_.emplace(viewer.token, std::move(made));
    core_.start(*id);
}

void HttpFrontend::askMedia(http::Exchange& exchange, Viewer& viewer) {
    if (cache_.count({viewer.title, viewer.rung})) return sendWindow(exchange, viewer);
    if (viewer.fetches >= terms_.fetchesEach) return refuse(exchange, 429, "too many fetches at once");
    const std::uint64_t key = nextFetch_++;
    auto& relay = relays_[key] =
        std::make_unique<Relay>(*this, key, viewer, exchange, Relay::What::PlaylistWindow, 0, viewer.rung);
    relay->start();
}

void HttpFrontend::sendWindow(http::Exchange& exchange, Viewer& viewer) {
    const auto known = cache_.find({viewer.title, viewer.rung});
    if (known == cache_.end()) return refuse(exchange, 502, "no playlist");
    known->second.usedAt = ++cacheUse_;
    const std::vector<Micros>& durations = known->second.durations;
    viewer.window.extend(net_.now() - viewer.startedAt, viewer.rung, durations);
    http::Fields fields = cmsdFields(viewer, "", "", "m", std::nullopt);
    fields.add("Content-Type", kPlaylistType);
    fields.add("Cache-Control", "no-store");
    exchange.respond(200, fields, hls::write(viewer.window.playlist(durations)));
}

void HttpFrontend::askSegment(http::Exchange& exchange, Viewer& viewer, std::string_view file) {
    auto what = Relay::What::Segment;
    constexpr std::string_view kInit = "init-";
    std::string_view number = file;
    const auto point = file.rfind('.');
    if (point != std::string_view::npos) number = file.substr(0, point);
    const std::string_view ending = point == std::string_view::npos ? "" : file.substr(point);
    if (number.substr(0, kInit.size()) == kInit && ending == ".mp4") {
        what = Relay::What::Init;
        number.remove_prefix(kInit.size());
    } else if (ending != ".m4s") {
        return refuse(exchange, 404, "nothing lies here");
    }
    std::uint64_t value = 0;
    const auto [end, bad] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (bad != std::errc{} || end != number.data() + number.size())
        return refuse(exchange, 404, "nothing lies here");
    int rung = 0;
    if (what == Relay::What::Init) {
        if (value >= ladder_.kb.size()) return refuse(exchange, 404, "nothing lies here");
        rung = static_cast<int>(value);
    } else {
        const PlaylistWindow::Listed* listed = viewer.window.find(value);
        if (!listed) return refuse(exchange, 404, "this segment is not listed");
        rung = listed->rung;
    }
    if (viewer.fetches >= terms_.fetchesEach) return refuse(exchange, 429, "too many fetches at once");
    const std::uint64_t key = nextFetch_++;
    auto& relay = relays_[key] = std::make_unique<Relay>(*this, key, viewer, exchange, what, value, rung);
    if (what == Relay::What::Segment) viewer.window.fetched(value);
    if (what == Relay::What::Segment && rung != viewer.rungSeen) {
        viewer.rungSeen = rung;
        core_.onRungFetched(viewer.sub, rung);
    }
    relay->start();
}

http::Fields HttpFrontend::cmsdFields(const Viewer& viewer, std::string_view standingStatic,
                                      std::string_view standingDynamic, std::string_view objectType,
                                      std::optional<Micros> toHead) const {
    http::Fields fields;
    if (!standingStatic.empty() && hints::parseCmsdStatic(standingStatic)) {
        fields.add("CMSD-Static", standingStatic);
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
    const RoomType& type = rooms_.types[viewer.room.v];
    entry.mb = static_cast<std::int64_t>(
        std::llround(ladder_.kb[static_cast<std::size_t>(viewer.rung)] * type.rateFactor * 8));
    if (viewer.delivered) entry.etp = *viewer.delivered;
    if (toHead) entry.rd = *toHead / 1000;
    entry.du = gate_.pendingCount() * 2 > gate_.limit();
    fields.add("CMSD-Dynamic", hints::appendEntry(standingDynamic, entry));
    fields.add("traceparent", logging::write(viewer.trace));
    return fields;
}

// ================= answers =================

void HttpFrontend::answerWaiters(Viewer& viewer, const std::function<void(http::Exchange&)>& how) {
    if (std::exchange(viewer.inGate, false)) gate_.onAnswered(viewer.network);
    std::vector<std::unique_ptr<Waiter>> waiters;
    waiters.swap(viewer.waiters);
    for (auto& waiter : waiters) {
        http::Exchange* exchange = waiter->release();
        if (!exchange) continue;
        exchange->setHandler(nullptr);
        how(*exchange);
    }
}

void HttpFrontend::onPlaying(SubId id, SfuId at, int rung) {
    Viewer* viewer = bySub(id);
    if (!viewer) return;
    viewer->playing = true;
    viewer->at = at;
    viewer->rung = viewer->rungSeen = rung;
    viewer->startedAt = net_.now();
    viewer->silence->after(terms_.silentAfter);
    const std::string token = viewer->token;
    answerWaiters(*viewer, [&](http::Exchange& exchange) {
        if (Viewer* still = byToken(token)) answerPlaying(*still, exchange);
    });
}

void HttpFrontend::answerPlaying(Viewer& viewer, http::Exchange& exchange) {
    const upstream::JoinResponse* answer = joins_.responseOf(viewer.sub);
    if (!answer) return refuse(exchange, 410, "the subscription is over");
    // One variant: which rung plays is the front's to say, and the window's maps carry each change.
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
    const Micros told = retryAfter > 0 ? gate_.retryAfter(net_.now(), retryAfter) : 0;
    answerWaiters(*viewer, [&](http::Exchange& e) { refuse(e, 503, "no room for it now", told); });
    endViewer(*viewer, false);
}

void HttpFrontend::onTerminated(SubId id, core::TerminationReason how) {
    Viewer* viewer = bySub(id);
    if (!viewer) return;
    answerWaiters(*viewer, [&](http::Exchange& e) {
        refuse(e, how == core::TerminationReason::TimedOut ? 504 : 502, "its set-up failed");
    });
    endViewer(*viewer, false);
}

void HttpFrontend::onRungChanged(SubId id, int rung) {
    if (Viewer* viewer = bySub(id)) viewer->rung = rung;
}

void HttpFrontend::onServerLost(SubId id) {
    if (Viewer* viewer = bySub(id)) endViewer(*viewer, false);
}

void HttpFrontend::endViewer(Viewer& viewer, bool tellCore) {
    const SubId id = viewer.sub;
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "viewer-over",
               {{"trace", viewer.trace.trace},
                {"sub", id.v},
                {"segments", viewer.segments},
                {"bytes", viewer.bytes}});
    if (std::exchange(viewer.inGate, false)) gate_.onAnswered(viewer.network);
    viewer.silence->cancel();
    subs_.erase(id);
    if (!viewer.sidKey.empty()) {
        const auto it = sids_.find(viewer.sidKey);
        if (it != sids_.end() && it->second == &viewer) sids_.erase(it);
    }
    const auto it = viewers_.find(viewer.token);
    deadViewers_.push_back(std::move(it->second));
    viewers_.erase(it);
    bury_.soon();
    if (tellCore) core_.unsubscribe(id);
    joins_.forget(id);
}

upstream::JoinRequest HttpFrontend::joinRequestFor(SubId id, int) {
    upstream::JoinRequest words;
    const Viewer* viewer = bySub(id);
    if (!viewer) return words;
    words.title = viewer->title;
    words.room = rooms_.types[viewer->room.v].name;
    hints::Cmcd on = viewer->hints;
    on.ot = "m";
    on.su = true;
    for (std::size_t i = 0; i < hints::kCmcdHeaders.size(); ++i) {
        const std::string value = hints::writeCmcdHeader(on, i);
        if (!value.empty()) words.fields.add(hints::kCmcdHeaders[i], value);
    }
    logging::TraceContext trace = viewer->trace;
    trace.parent = logging::toHex(net_.randomBits() | 1);
    words.fields.add("traceparent", logging::write(trace));
    return words;
}

void HttpFrontend::shutDown(std::function<void()> done) {
    stopping_ = true;
    std::vector<Viewer*> all;
    for (auto& [token, viewer] : viewers_) all.push_back(viewer.get());
    for (Viewer* viewer : all) endViewer(*viewer, true);
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
                               {"turned_away", turnedAway_},
                               {"playing", viewers_.size()},
                               {"unanswered", core_.unansweredCount()},
                               {"connections", server_->connections()},
                               {"box_connections", boxes_.connections()},
                               {"segments", relayedSegments_},
                               {"bytes", relayedBytes_},
                               {"starved", starved_},
                               {"bad_requests", badRequests_}};
    nlohmann::ordered_json hints;
    for (std::size_t i = 0; i < hints::kDropReasonCount; ++i)
        hints[std::string(hints::nameOf(static_cast<hints::DropReason>(i)))] = hintsDropped_[i];
    out["hints_dropped"] = std::move(hints);
    return out.dump() + "\n";
}

}  // namespace valekeel::frontends
