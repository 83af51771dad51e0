#include "fakes/player.hpp"

#include <algorithm>
#include <cstdio>

namespace valekeel::fakes {

Player::Player(net::Net& net, int number, const PlayerPlan& plan, Pick pick, std::uint64_t seed,
               const std::vector<double>& worth, Ledger& ledger, std::function<void(Player&)> done)
    : net_(net),
      number_(number),
      plan_(plan),
      pick_(std::move(pick)),
      random_(seed),
      worth_(worth),
      ledger_(ledger),
      done_(std::move(done)),
      timer_(net,
             [this] {
                 if (state_ == State::Asking)
                     handleRequestTimeout();
                 else if (state_ == State::Waiting)
                     fetchNext();
                 else if (state_ == State::Idle)
                     sendRequest();
                 else if (state_ != State::Over) {  // a fetch timed out
                     ledger_.add(line("segment-lost"));
                     scheduleRetry(true, std::nullopt);  // it had played, so it may retry
                 }
             }),
      cleanup_(net, [this] { closedConn_.reset(); }) {}
Player::~Player() = default;

Line Player::line(const char* what) const {
    Line l;
    l.at = net_.now();
    l.what = what;
    l.player = number_;
    l.trace = trace_;
    l.front = front_;
    l.room = plan_.room.name;
    l.title = plan_.title;
    l.attempt = attempt_;
    l.member = plan_.member;
    return l;
}

void Player::start() {
    sendRequest();
}

void Player::endSoon() {
    until_ = net_.now();
    if (state_ == State::Idle || state_ == State::Waiting) leave();
}

void Player::closeConnection() {
    if (conn_ && conn_->receivedUnsolicitedBytes()) ledger_.add(line("second-answer"));
    if (conn_) conn_->abandon();
    closedConn_ = std::move(conn_);
    cleanup_.soon();
}

http::Fields Player::fields(const char* ot, std::string& target) {
    http::Fields out;
    out.add("traceparent", "00-" + trace_ + "-" + hex(random_() | 1) + "-01");
    out.add("User-Agent", "valekeel-play");
    const auto addToQuery = [&](const std::string& cmcd) {
        target += (target.find('?') == std::string::npos ? "?" : "&") + std::string("CMCD=") +
                  http::percentEncoded(cmcd);
    };
    const std::string sid = "sid=\"" + sid_ + "\"", cid = "cid=\"" + plan_.title + "\"";
    std::int64_t top = plan_.topKbits;
    if (abr_ && abr_->throughputKb() && playout_) {
        const int now = initUrl_.compare(0, 5, "init-") == 0 ? std::atoi(initUrl_.c_str() + 5) : 0;
        const int own = abr_->chooseRung(playout_->buffered(net_.now()), plan_.bufferMost, now);
        const auto kbits =
            static_cast<std::int64_t>(plan_.ownLadderKb[static_cast<std::size_t>(own)] * 8 + 0.5);
        top = top > 0 ? std::min(top, kbits) : kbits;
    }
    const std::string tb = top > 0 ? "tb=" + std::to_string(top) : "";
    const std::string bl = "bl=" + std::to_string(static_cast<long long>(buffered_ * 1000));
    switch (plan_.hints) {
        case HintStyle::Headers:
            out.add("CMCD-Object",
                    std::string(ot[0] == 'a' ? "d=1000," : "") + "ot=" + ot + (tb.empty() ? "" : "," + tb));
            out.add("CMCD-Request", bl + (segments_ == 0 ? ",su" : ""));
            out.add("CMCD-Session", cid + ",sf=h," + sid + ",st=v");
            break;
        case HintStyle::Query:
            addToQuery(bl + "," + cid + ",ot=" + ot + ",sf=h," + sid + ",st=v" +
                       (tb.empty() ? "" : "," + tb));
            break;
        case HintStyle::None:
            break;
        case HintStyle::Json:
            out.add("CMCD-Session", sid);
            break;
        case HintStyle::Broken:
            out.add("CMCD-Session", "sid=\"" + sid_ + ",cid=,,=\"\\\"\"\"st=q;;\x01");
            out.add("CMCD-Request", "bl=-5,dl=abc,mtp=\"7\",su=3,=");
            out.add("CMCD-Object", "br=99999999999999999999,ot=zz,tb");
            break;
        case HintStyle::Doubled:
            out.add("CMCD-Session", sid + ",sid=\"other\"," + cid);
            out.add("CMCD-Session", "sid=\"third\",sf=h");
            out.add("CMCD-Request", "ot=" + std::string(ot) + ",bl=1,bl=2");
            break;
        case HintStyle::Oversized:
            out.add("CMCD-Session", sid);
            out.add("CMCD-Request", "com.example-pad=\"" + std::string(5'000, 'x') + "\"");
            out.add("CMCD-Status", "com.example-more=\"" + std::string(300, 'y') + "\"");
            break;
        case HintStyle::Contradicting:
            out.add("CMCD-Object", "br=9000,ot=" + std::string(ot) + ",tb=100");
            out.add("CMCD-Request", "bl=30000,dl=900000");
            out.add("CMCD-Session", sid);
            out.add("CMCD-Status", "bs");
            break;
    }
    return out;
}

void Player::fetch(const std::string& path) {
    std::string target = path;
    const http::Fields f = fields(state_ == State::Asking || state_ == State::Playlist ? "m"
                                  : state_ == State::Init                              ? "i"
                                                                                       : "av",
                                  target);
    if (!conn_ || !conn_->isIdle()) {
        closeConnection();
        conn_ = std::make_unique<http::Connection>(net_, endpoint_, http::HttpLimits{}, 2 * kSecond);
    }
    head_ = {};
    body_.clear();
    bytes_ = 0;
    sentAt_ = net_.now();
    conn_->fetch(http::requestBytes("GET", target, endpoint_, f), false, *this);
}

void Player::sendRequest() {
    const auto front = pick_();
    if (!front) {
        state_ = State::Idle;
        timer_.after(300'000);
        return;
    }
    closeConnection();
    ++attempt_;
    if (sid_.empty() || plan_.hints != HintStyle::Headers || attempt_ > 1)
        sid_ = hex(random_()).substr(0, 8) + "-" + std::to_string(number_) + "-" + std::to_string(attempt_);
    trace_ = hex(random_()) + hex(random_() | 1);
    if (plan_.asking) plan_.asking(trace_);
    front_ = front->name;
    endpoint_ = front->at;
    state_ = State::Asking;
    segments_ = 0;
    buffered_ = 0;
    hasSequence_ = false;
    initUrl_.clear();
    askedAt_ = net_.now();
    if (attempt_ == 1) {
        Line wants = line("wants");
        wants.number = static_cast<double>(plan_.watch);
        ledger_.add(wants);
    }
    Line l = line("ask");
    l.number = static_cast<double>(plan_.room.joinObjective);
    ledger_.add(l);
    timer_.after(plan_.patience ? std::min(plan_.room.clientTimeout, plan_.patience->remaining(waited_, 0))
                                : plan_.room.clientTimeout);
    fetch("/talk/" + http::percentEncoded(plan_.title) +
          "/main.m3u8?room=" + http::percentEncoded(plan_.room.name));
}

void Player::recordStall() {
    if (!playout_) return;
    const Micros stalled = playout_->stalled(net_.now());
    if (stalled <= reportedStall_) return;
    Line l = line("stall");
    l.number = static_cast<double>(stalled - std::exchange(reportedStall_, stalled));
    ledger_.add(l);
    if (plan_.patience && plan_.patience->hasGivenUp(waited_, stalled)) {
        ledger_.add(line("abandon"));
        leave();
    }
}

void Player::handleRequestTimeout() {
    if (net_.now() - askedAt_ < plan_.room.clientTimeout) {  // the viewer left before the client timeout
        ledger_.add(line("abandon"));
        return scheduleRetry(!plan_.room.paid, std::nullopt);
    }
    Line l = line("no-answer");
    l.status = 2;
    l.number = static_cast<double>(net_.now() - askedAt_);
    ledger_.add(l);
    scheduleRetry(!plan_.room.paid, std::nullopt);
}

void Player::scheduleRetry(bool mayRetry, std::optional<Micros> retryAfter) {
    closeConnection();
    timer_.cancel();
    const bool hasTimeLeft = until_ == 0 || net_.now() < until_;
    if (state_ == State::Asking) waited_ += net_.now() - askedAt_;
    const auto wait = workload::retryDelay({plan_.returns, plan_.back, plan_.honours, plan_.atOnce}, retries_,
                                           retryAfter, std::uniform_real_distribution<double>(0, 1)(random_));
    if (!mayRetry || !wait || !hasTimeLeft) return leave();
    ++retries_;
    state_ = State::Idle;
    ledger_.add(line("return"));
    timer_.after(*wait);
}

void Player::leave() {
    if (state_ == State::Over) return;
    state_ = State::Over;
    timer_.cancel();
    Line l = line("leave");
    l.number = static_cast<double>(segments_);
    ledger_.add(l);
    closeConnection();
    done_(*this);
}

void Player::onHead(const http::ResponseHead& head) {
    head_ = head;
}
void Player::onBody(std::string_view bytes) {
    bytes_ += bytes.size();
    if (state_ == State::Asking || state_ == State::Playlist) body_ += bytes;
}

void Player::onFailed(http::FetchError) {
    const State previous = state_;
    if (previous == State::Asking) {
        Line l = line("no-answer");
        l.status = 1;
        l.number = static_cast<double>(net_.now() - askedAt_);
        ledger_.add(l);
        return scheduleRetry(!plan_.room.paid, std::nullopt);
    }
    if (previous == State::Over || previous == State::Idle) return;
    ledger_.add(line("segment-lost"));
    scheduleRetry(true, std::nullopt);  // it had played, so it may retry
}

void Player::onFetched(bool kept) {
    if (!kept) closeConnection();
    const int status = head_.status;
    if (state_ == State::Asking) {
        timer_.cancel();
        Line l = line("answer");
        l.status = status;
        l.number = static_cast<double>(net_.now() - askedAt_);
        l.told = head_.fields.find("Retry-After") != nullptr;
        ledger_.add(l);
        if (status == 200) {
            const auto parsed = hls::parseMultivariantPlaylist(body_);
            if (!parsed.playlist) return leave();
            mediaUrl_ = hls::resolveReference("/talk/x/main.m3u8", parsed.playlist->variants.front().uri)
                            .value_or("");
            baseUrl_ = mediaUrl_;
            if (until_ == 0) until_ = net_.now() + plan_.watch;
            waited_ = 0;
            reportedStall_ = 0;
            if (plan_.bufferMost > 0) playout_.emplace(plan_.startWith, plan_.bufferMost);
            if (!plan_.ownLadderKb.empty()) abr_.emplace(plan_.ownLadderKb);
            startedAt_ = net_.now();
            state_ = State::Playlist;
            timer_.after(15 * kSecond);
            fetch(mediaUrl_);
            return;
        }
        std::optional<Micros> retryAfter;
        if (const std::string* after = head_.fields.find("Retry-After"))
            retryAfter = std::atoll(after->c_str()) * kSecond;
        return scheduleRetry(status == 503 || !plan_.room.paid, retryAfter);
    }
    if (status != 200) {
        if (status == 429) {
            state_ = State::Waiting;
            timer_.after(300'000);
            return;
        }
        ledger_.add(line("segment-lost"));
        return scheduleRetry(true, std::nullopt);
    }
    timer_.cancel();
    if (state_ == State::Playlist) {
        auto parsed = hls::parseMediaPlaylist(body_);
        if (!parsed.playlist) {
            ledger_.add(line("segment-lost"));
            return scheduleRetry(true, std::nullopt);
        }
        playlist_ = std::move(*parsed.playlist);
        // A media sequence beyond the next segment means that segments were skipped.
        if (hasSequence_ && playlist_.mediaSequence > nextSequence_) ledger_.add(line("gap"));
        if (!hasSequence_ || playlist_.mediaSequence > nextSequence_) nextSequence_ = playlist_.mediaSequence;
        hasSequence_ = true;
    } else if (state_ == State::Segment) {
        Line l = line("segment");
        l.number = static_cast<double>(net_.now() - sentAt_);
        if (initUrl_.compare(0, 5, "init-") == 0) l.rung = std::atoi(initUrl_.c_str() + 5);
        ledger_.add(l);
        const Micros duration = playlist_.segments[nextSequence_ - playlist_.mediaSequence].duration;
        ++segments_;
        ++nextSequence_;
        if (abr_) abr_->addMeasurement(static_cast<double>(bytes_) / 1000, net_.now() - sentAt_);
        if (playout_) {
            playout_->addSegment(net_.now(), duration);
            recordStall();
            if (state_ == State::Over) return;
        }
    }
    fetchNext();
}

void Player::fetchNext() {
    if (net_.now() >= until_) return leave();
    const std::uint64_t end = playlist_.mediaSequence + playlist_.segments.size();
    if (nextSequence_ >= end) {
        if (playlist_.ended) return leave();
        if (state_ != State::Waiting) {
            state_ = State::Waiting;
            timer_.after(std::max<Micros>(100'000, playlist_.targetDuration / 2));
            return;
        }
        state_ = State::Playlist;
        timer_.after(15 * kSecond);
        return fetch(mediaUrl_);
    }
    const hls::Segment& s = playlist_.segments[nextSequence_ - playlist_.mediaSequence];
    if (playout_) {
        const Micros room = playout_->timeUntilRoom(net_.now(), s.duration);
        if (room > 0) {
            state_ = State::Waiting;
            timer_.after(std::min(room, std::max<Micros>(1, until_ - net_.now())));
            return;
        }
    }
    timer_.after(15 * kSecond);
    if (s.map >= 0 && playlist_.maps[static_cast<std::size_t>(s.map)].uri != initUrl_) {
        if (!initUrl_.empty()) ledger_.add(line("switch"));
        initUrl_ = playlist_.maps[static_cast<std::size_t>(s.map)].uri;
        state_ = State::Init;
        return fetch(hls::resolveReference(baseUrl_, initUrl_).value_or("/"));
    }
    buffered_ = std::max(
        0.0, seconds(s.duration) * static_cast<double>(segments_) - seconds(net_.now() - startedAt_));
    state_ = State::Segment;
    fetch(hls::resolveReference(baseUrl_, s.uri).value_or("/"));
}

}  // namespace valekeel::fakes
