#include "frontends/sip/sip_frontend.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace valekeel::frontends {
namespace {

constexpr const char* kAllow = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE";

// Of what names an INVITE, so that each copy of it comes to the same: FNV-1a, stirred.
std::uint64_t hashOf(const std::string& key, std::uint64_t salt) {
    std::uint64_t h = 1469598103934665603ull ^ salt;
    for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdull;
    return h ^ h >> 33;
}
// The name under which an INVITE is turned away, and its ACK known: the same for every copy.
std::uint64_t nameOf(std::string_view branch, std::string_view callId, std::uint64_t salt) {
    return hashOf(std::string(branch) + "|" + std::string(callId), salt);
}

}  // namespace

struct SipFrontend::Call {
    SubId sub;
    std::string key, dialog, localTag, title;
    sip::ReplyRoute way;
    sip::Message invite;
    sip::Offer offer;
    logging::TraceContext trace;
    RoomTypeId room;
    std::uint32_t network = 0;
    bool inGate = false, playing = false, updateOut = false, updateDue = false;
    bool answerDue = false;  // its INVITE brought no offer: the ACK brings the answer to ours
    bool callerRefreshes = false;
    SfuId at;
    int rung = 0;
    std::uint32_t cseq = 0, heardCseq = 0;
    std::uint64_t session = 0, version = 0;
    Micros expires = 0;
    std::string target;  // of the dialog: the caller's Contact
    std::unique_ptr<net::Timer> sessionTimer, holdTimer, updateTimer;
    std::unique_ptr<Hold> hold;
};

// A request of our own within a dialog: sent again until it is answered (timers E and F).
struct SipFrontend::Out {
    SipFrontend& face;
    std::string branch, method, bytes;
    SubId sub;
    sip::ReplyRoute way;
    Micros wait;
    net::Timer again, end;
    Out(SipFrontend& face, std::string branch, std::string method, std::string bytes, SubId sub,
        const sip::ReplyRoute& way)
        : face(face),
          branch(std::move(branch)),
          method(std::move(method)),
          bytes(std::move(bytes)),
          sub(sub),
          way(way),
          wait(face.terms_.times.t1),
          again(face.net_,
                [this] {
                    this->face.sendTo(this->way, this->bytes);
                    wait = std::min(2 * wait, this->face.terms_.times.t2);
                    again.after(wait);
                }),
          end(face.net_, [this] { over(408); }) {
        if (!way.stream) again.after(wait);
        end.after(64 * face.terms_.times.t1);
    }
    void over(int status) {
        again.cancel();
        end.cancel();
        SipFrontend& f = face;
        const SubId id = sub;
        const bool update = method != "BYE";
        const auto it = f.out_.find(branch);
        if (it == f.out_.end()) return;
        f.deadOut_.push_back(std::move(it->second));
        f.out_.erase(it);
        f.bury_.soon();
        Call* call = update ? f.bySub(id) : nullptr;
        if (!call) return;
        call->updateOut = false;
        if (status == 481 || status == 408) return f.hangUp(*call, true);  // RFC 5057: the dialog is gone
        if (status == 491) {  // glare: the caller's own request crossed ours; we didn't make the Call-ID
            call->updateDue = true;
            call->updateTimer->after(static_cast<Micros>(f.net_.randomBits() % 200) * 10'000);
            return;
        }
        if (status < 300) f.armSession(*call);
        if (call->updateDue) f.sendUpdate(*call);
    }
};

// A stream of messages: framed by Content-Length, given up on when it loses its place.
class SipFrontend::Stream final : public net::StreamHandler {
  public:
    Stream(SipFrontend& face, std::uint64_t key, std::unique_ptr<net::Stream> s)
        : face_(face),
          stream_(std::move(s)),
          way_{true, key, stream_->peer()},
          framer_(face.terms_.limits.bytes),
          idle_(face.net_, [this] { close(); }) {
        stream_->setHandler(*this);
        idle_.after(face.terms_.streamIdle);
    }
    void onReadable() override {
        std::array<char, 16'384> buffer;
        while (stream_) {
            const net::IoResult got = stream_->read(buffer);
            if (got.bytes > 0) {
                idle_.after(face_.terms_.streamIdle);
                bool good = framer_.feed(std::string_view(buffer.data(), got.bytes));
                while (const auto one = framer_.next()) face_.heard(*one, way_);
                good = good && framer_.feed("");
                if (!good) return close();
                continue;
            }
            if (got.status == net::IoResult::Status::WouldBlock) return;
            return close();
        }
    }
    void onWritable() override { flush(); }
    void send(const std::string& bytes) {
        if (!stream_ || out_.size() > 8 * face_.terms_.limits.bytes)
            return close();  // it takes nothing any more
        out_ += bytes;
        flush();
    }
    void close() {
        if (!stream_) return;
        stream_.reset();
        idle_.cancel();
        const auto it = face_.streams_.find(way_.connection);
        if (it == face_.streams_.end()) return;
        face_.deadStreams_.push_back(std::move(it->second));
        face_.streams_.erase(it);
        face_.bury_.soon();
    }

  private:
    void flush() {
        if (!stream_ || out_.empty()) return;
        const net::IoResult put = stream_->write(out_);
        out_.erase(0, put.bytes);
        if (put.status == net::IoResult::Status::Broken) close();
    }
    SipFrontend& face_;
    std::unique_ptr<net::Stream> stream_;
    sip::ReplyRoute way_;
    sip::Framer framer_;
    std::string out_;
    net::Timer idle_;
};

// Asks the box whether it still holds what plays.
class SipFrontend::Hold final : public upstream::UpstreamRequestHandler {
  public:
    Hold(SipFrontend& face, SubId sub) : face_(face), sub_(sub) {}
    std::unique_ptr<upstream::UpstreamRequest> request;

  private:
    void onHead(const http::ResponseHead& h) override {
        status_ = h.status;
        load_ = upstream::loadOf(h.fields);
    }
    void onBody(std::string_view) override {}
    void onComplete() override {
        Call* call = face_.bySub(sub_);
        if (!call) return;
        if (status_ == 410) return face_.core_.onPlaybackEnded(sub_, JoinResult::Reset);
        face_.core_.onLoadReport(sub_, call->at, load_.linkUse, load_.uplinkUse);
        call->holdTimer->after(face_.terms_.holdEvery);
    }
    void onFailed(upstream::RequestResult how) override {
        Call* call = face_.bySub(sub_);
        if (!call) return;
        if (how == upstream::RequestResult::NoFreeConnection ||
            how == upstream::RequestResult::NoDescriptor ||
            how == upstream::RequestResult::BrokenOnReused) {  // says nothing of the box
            call->holdTimer->after(face_.terms_.holdEvery / 4);
            return;
        }
        face_.core_.onPlaybackEnded(sub_, upstream::meaningOf(how).end);
    }
    SipFrontend& face_;
    SubId sub_;
    int status_ = 0;
    LoadReport load_;
};

SipFrontend::SipFrontend(const FrontendContext& around, const net::Endpoint& at,
                         const SipFrontendSettings& terms, std::uint64_t seed)
    : FrontendContext(around),
      terms_(terms),
      salt_(seed),
      transactions_(net_, terms.times, terms.transactions, *this),
      overload_(terms.overload),
      refused_(terms.refusedKept),
      bury_(net_,
            [this] {
                deadStreams_.clear();
                deadHolds_.clear();
                deadCalls_.clear();
                deadOut_.clear();
            }),
      look_(net_, [this] { look(); }) {
    // Where the kernel chooses the port, the one it gives for datagrams may be taken for streams.
    for (int left = at.port == 0 ? 16 : 1; !listener_; --left) {
        datagrams_ = net_.bind(at, *this);
        try {
            listener_ = net_.listen(datagrams_->endpoint(), *this);
        } catch (const std::runtime_error&) {
            if (left <= 1) throw;
        }
    }
    look_.after(terms_.overload.updateInterval);
}
SipFrontend::~SipFrontend() {
    calls_.clear();
    out_.clear();
    streams_.clear();
}

void SipFrontend::look() {
    const double fill = gate_.fillRatio();
    while (!mergedUntil_.empty() && mergedUntil_.front().first <= net_.now()) {
        std::string key = std::move(mergedUntil_.front().second);
        mergedUntil_.pop_front();
        const auto it = merged_.find(key);
        if (it == merged_.end()) continue;
        if (transactions_.contains(it->second))  // a long call set-up
            mergedUntil_.emplace_back(net_.now() + 64 * terms_.times.t1, std::move(key));
        else
            merged_.erase(it);
    }
    const Micros unread =
        std::exchange(unreadSum_, 0) / std::max<std::int64_t>(1, std::exchange(unreadOf_, 0));
    overload_.update(net_.now(), fill, unread, std::exchange(cameNow_, 0), std::exchange(servedNow_, 0));
    look_.after(terms_.overload.updateInterval);
}

SipFrontend::Call* SipFrontend::bySub(SubId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : it->second.get();
}
SipFrontend::Call* SipFrontend::byDialog(const sip::Message& m) {
    const auto it = byDialog_.find(m.callId + "|" + m.to.tag + "|" + m.from.tag);
    return it == byDialog_.end() ? nullptr : it->second;
}
const logging::TraceContext* SipFrontend::traceOf(SubId id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second->trace;
}

// ================= bytes in and out =================

void SipFrontend::onDatagram(const net::Endpoint& from, std::string_view bytes) {
    unreadSum_ += datagrams_->queueingDelay();
    ++unreadOf_;
    const sip::ReplyRoute way{false, 0, from};
    if (const auto g = sip::prefilter(bytes); g && turnedAwayAtAGlance(*g, way)) return;
    heard(bytes, way);
}

void SipFrontend::onAccepted(std::unique_ptr<net::Stream> stream) {
    if (streams_.size() >= terms_.streams) {
        stream->reset();
        return;
    }
    const std::uint64_t key = nextStream_++;
    streams_[key] = std::make_unique<Stream>(*this, key, std::move(stream));
}

void SipFrontend::sendTo(const sip::ReplyRoute& way, const std::string& bytes) {
    if (!way.stream) {
        datagrams_->send(way.peer, bytes);
        return;
    }
    const auto it = streams_.find(way.connection);
    if (it != streams_.end()) it->second->send(bytes);
}

void SipFrontend::heard(std::string_view bytes, const sip::ReplyRoute& way) {
    if (bytes.find_first_not_of("\r\n \t") == std::string_view::npos) return;  // keeps a NAT open
    ++counts_.messages;
    sip::ParseResult parsed = sip::parse(bytes, terms_.limits);
    if (!parsed.message) {
        ++counts_.malformed;
        log_.write(logging::Level::Warning, net_.now(), net_.wallNow(), "bad-sip",
                   {{"peer", net::toString(way.peer)}, {"status", parsed.status}, {"why", parsed.why}});
        if (parsed.partial && parsed.status) replyStateless(*parsed.partial, way, parsed.status);
        return;
    }
    if (parsed.message->request)
        onRequest(std::move(*parsed.message), way);
    else
        onAnswer(*parsed.message);
}

// To one that offered overload control, its topmost Via says what is asked of it.
sip::Message SipFrontend::withControl(sip::Message m) const {
    sip::Via& via = m.vias.front();
    if (!via.params.count("oc")) return m;
    const auto algo = via.params.find("oc-algo");
    via.written += overload_.viaParameters(algo == via.params.end() ? "" : algo->second);
    return m;
}

// Refused without keeping anything: what a flood may cost at most.
void SipFrontend::replyStateless(const sip::Message& m, const sip::ReplyRoute& way, int status,
                                 Micros retryAfter) {
    std::vector<std::pair<std::string, std::string>> more;
    if (retryAfter > 0) more.emplace_back("Retry-After", ceilToSeconds(retryAfter));
    sendTo(way, sip::response(withControl(m), status,
                              logging::toHex(nameOf(m.vias.front().branch, m.callId, salt_) ^ salt_), more,
                              "", &way.peer));
}

void SipFrontend::reply(const std::string& key, const sip::Message& m, int status,
                        std::vector<std::pair<std::string, std::string>> more, const std::string& body) {
    const auto call = byKey_.find(key);
    const std::string tag = call != byKey_.end() ? call->second->localTag : logging::toHex(net_.randomBits());
    const net::Endpoint* from = call != byKey_.end() ? &call->second->way.peer : nullptr;
    transactions_.respond(key, status, sip::response(withControl(m), status, tag, more, body, from));
}

// ================= requests =================

void SipFrontend::onRequest(sip::Message m, const sip::ReplyRoute& way) {
    if (m.method == "ACK") {
        if (transactions_.ack(m)) return;
        Call* call = byDialog(m);
        if (!call) return;
        transactions_.onAcknowledged(call->key);
        if (std::exchange(call->answerDue,
                          false)) {  // the offer was ours, and this must answer it (13.2.2.4)
            const auto answer = sip::parseOffer(m.body);
            if (!answer || !answer->hasVideo || !answer->wantsVideo || answer->videoPort == 0)
                hangUp(*call, true);
        }
        return;
    }
    const std::string key = sip::Transactions::keyOf(m);
    // What is new is weighed before anything is kept of it; what is known is absorbed first.
    if (m.method == "INVITE" && m.to.tag.empty() && !transactions_.contains(key)) {
        ++counts_.invites;
        ++cameNow_;
        const auto priority = m.others.find("resource-priority");
        const bool emergency = priority != m.others.end() && priority->second.compare(0, 3, "ets") == 0;
        if (turnedAway(nameOf(m.vias.front().branch, m.callId, salt_), m.vias.front().params.count("oc") > 0,
                       emergency, way)) {
            ++counts_.shed;
            return replyStateless(m, way, 503, terms_.retryWhenFull);
        }
    }
    switch (transactions_.request(m, way)) {
        case sip::Transactions::RequestDisposition::Absorbed:
            return;
        case sip::Transactions::RequestDisposition::Full:
            ++counts_.shed;
            refused_.insert(nameOf(m.vias.front().branch, m.callId, salt_));
            return replyStateless(m, way, 503, terms_.retryWhenFull);
        case sip::Transactions::RequestDisposition::New:
            break;
    }
    if (m.maxForwards && *m.maxForwards == 0 && m.method != "OPTIONS") return reply(key, m, 483);
    if (m.method == "CANCEL") return onCancel(m, key);
    for (const std::string& extension : m.require)
        if (extension != "timer") return reply(key, m, 420, {{"Unsupported", extension}});
    if (!m.to.tag.empty()) {
        Call* call = byDialog(m);
        if (!call) return reply(key, m, 481);
        return inDialog(*call, m, key);
    }
    if (m.method == "INVITE") return onInvite(std::move(m), way);
    if (m.method == "OPTIONS")
        return reply(key, m, 200, {{"Allow", kAllow}, {"Accept", "application/sdp"}, {"Supported", "timer"}});
    if (m.method == "BYE" || m.method == "UPDATE") return reply(key, m, 481);
    reply(key, m, 405, {{"Allow", kAllow}});
}

// Before a transaction is made: overload control, and the gate where it would refuse anyway. What was refused
// once stays refused: a copy that comes when there is room again must not get a second final answer.
bool SipFrontend::turnedAway(std::uint64_t name, bool listens, bool emergency, const sip::ReplyRoute& way) {
    if (refused_.contains(name)) return true;
    const double draw = static_cast<double>(name >> 11) / 9007199254740992.0;
    const bool away =
        stopping_ || (terms_.shed && (overload_.shouldShed(draw, listens, emergency, gate_.fillRatio()) ||
                                      (!emergency && !gate_.wouldAdmit(way.peer.ip))));
    if (away) refused_.insert(name);
    return away;
}

// What a flood costs at most: no message is read whole, nothing is kept but its name.
bool SipFrontend::turnedAwayAtAGlance(const sip::PrefilteredRequest& g, const sip::ReplyRoute& way) {
    const std::uint64_t name = nameOf(g.branch, g.callId, salt_);
    if (g.method == "ACK") return refused_.contains(name);
    if (g.toHasTag || transactions_.contains(g.inviteKey())) return false;
    const bool listens = g.via.find(";oc") != std::string_view::npos;
    if (!turnedAway(name, listens, false, way)) return false;
    ++counts_.messages;
    ++counts_.invites;
    ++counts_.shed;
    ++cameNow_;
    std::string more;
    if (listens) {
        const auto at = g.via.find(";oc-algo=");
        more = overload_.viaParameters(
            at == std::string_view::npos
                ? std::string()
                : std::string(g.via.substr(at + 9, g.via.find(';', at + 9) - at - 9)));
    }
    sendTo(way, sip::refusal(g, "503 Service Unavailable", logging::toHex(name ^ salt_), more,
                             static_cast<long>((terms_.retryWhenFull + kSecond - 1) / kSecond), way.peer));
    return true;
}

void SipFrontend::onInvite(sip::Message m, const sip::ReplyRoute& way) {
    const std::string key = sip::Transactions::keyOf(m);
    // The same call by another way (section 8.2.2.2): forked upstream, or sent from a second port.
    const std::string mergeKey = m.callId + "|" + m.from.tag + "|" + std::to_string(m.cseq);
    const auto first = merged_.find(mergeKey);
    if (first != merged_.end() && transactions_.contains(first->second)) {
        ++counts_.merged;
        return reply(key, m, 482);
    }
    const auto talk = talks_.find(m.user);
    if (talk == talks_.end()) return reply(key, m, 404);
    const auto named = m.uriParams.find("room");
    const auto room = rooms_.find(named == m.uriParams.end() ? rooms_.types.front().name : named->second);
    if (!room) return reply(key, m, 404);
    if (!m.contact || m.contact->uri.empty()) return reply(key, m, 400);
    sip::Offer offer;
    if (m.body.empty()) {  // the offer is ours, then, and the ACK carries the answer
        offer.hasVideo = true;
        offer.mediaLines = {"video 0 RTP/AVP 96"};
    } else {
        if (m.contentType.compare(0, 15, "application/sdp") != 0)
            return reply(key, m, 415, {{"Accept", "application/sdp"}});
        const auto read = sip::parseOffer(m.body);
        if (!read || !read->hasVideo || !read->wantsVideo) return reply(key, m, 488);
        offer = *read;
    }
    if (m.sessionExpires && static_cast<Micros>(*m.sessionExpires) * kSecond < terms_.minSe)
        return reply(key, m, 422, {{"Min-SE", ceilToSeconds(terms_.minSe)}});

    if (calls_.size() >= terms_.calls)
        return reply(key, m, 503, {{"Retry-After", ceilToSeconds(terms_.retryWhenFull)}});
    const std::uint32_t network = gate_.networkOf(way.peer.ip);
    if (gate_.admit(net_.now(), network) != admission::AdmissionController::Decision::Admitted)
        return reply(key, m, 503,
                     {{"Retry-After", ceilToSeconds(gate_.retryAfter(net_.now(), terms_.retryWhenFull))}});

    const RoomType& type = rooms_.types[room->v];
    double kbits = offer.maxBitrate ? static_cast<double>(*offer.maxBitrate) / 1'000 : 1e18;
    if (gate_.isLimitedToLowestRung(network)) kbits = 0;
    const SubscriptionRequest wish =
        subscriptionRequestFor(*room, m.user, talk->second, ladder_, type, kbits);
    Micros timeout = rooms_.clientTimeouts[room->v];
    if (m.expires && *m.expires > 0) timeout = std::min(timeout, static_cast<Micros>(*m.expires) * kSecond);
    const auto id = core_.subscribe(*this, wish, timeout);
    if (!id) {
        gate_.onAnswered(network);
        return reply(key, m, 503, {{"Retry-After", ceilToSeconds(terms_.retryWhenFull)}});
    }
    auto made = std::make_unique<Call>();
    Call& call = *made;
    call.sub = *id;
    call.key = key;
    call.localTag = logging::toHex(net_.randomBits());
    call.dialog = m.callId + "|" + call.localTag + "|" + m.from.tag;
    call.title = m.user;
    call.way = way;
    call.offer = std::move(offer);
    call.answerDue = m.body.empty();
    const auto parent = m.others.find("traceparent");
    const auto trace = parent == m.others.end() ? std::nullopt : logging::parseTraceParent(parent->second);
    call.trace = trace ? *trace : logging::newTrace(net_.randomBits(), net_.randomBits(), net_.randomBits());
    call.room = *room;
    call.network = network;
    call.inGate = true;
    call.heardCseq = m.cseq;
    call.session = net_.randomBits() >> 1;
    call.target = m.contact->uri;
    const bool timer = std::find(m.supported.begin(), m.supported.end(), "timer") != m.supported.end();
    call.callerRefreshes = timer && m.refresher != "uas";
    call.expires =
        m.sessionExpires ? static_cast<Micros>(*m.sessionExpires) * kSecond : terms_.sessionExpires;
    call.invite = std::move(m);
    call.sessionTimer = std::make_unique<net::Timer>(net_, [this, sub = *id] {
        Call* c = bySub(sub);
        if (!c) return;
        if (!c->callerRefreshes) return sendUpdate(*c);  // its answer arms the timer again
        ++counts_.expired;
        hangUp(*c, true);
    });
    call.holdTimer = std::make_unique<net::Timer>(net_, [this, sub = *id] {
        if (Call* c = bySub(sub)) askHold(*c);
    });
    call.updateTimer = std::make_unique<net::Timer>(net_, [this, sub = *id] {
        Call* c = bySub(sub);
        if (c && c->updateDue) sendUpdate(*c);
    });
    byKey_[key] = &call;
    byDialog_[call.dialog] = &call;
    merged_[mergeKey] = key;
    mergedUntil_.emplace_back(net_.now() + 65 * terms_.times.t1, mergeKey);
    calls_[*id] = std::move(made);
    joins_.setRequestSource(*id, *this);
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "asked",
               {{"trace", call.trace.trace},
                {"sub", id->v},
                {"title", call.title},
                {"room", type.name},
                {"face", "sip"},
                {"call", call.invite.callId},
                {"network", gate_.nameOf(network)}});
    reply(key, call.invite, 100);
    core_.start(*id);
}

void SipFrontend::onCancel(const sip::Message& m, const std::string& key) {
    std::string invite = key.substr(0, key.size() - 7);  // less "|CANCEL"
    const auto it = byKey_.find(invite);
    reply(key, m, transactions_.contains(invite) ? 200 : 481);
    // Behind a final answer a CANCEL does nothing: whichever came first is what happened (section 9.2).
    if (it == byKey_.end() || it->second->playing) return;
    ++counts_.cancelled;
    Call& call = *it->second;
    reply(call.key, call.invite, 487);
    forget(call, true);
}

void SipFrontend::inDialog(Call& call, const sip::Message& m, const std::string& key) {
    if (m.cseq <= call.heardCseq && m.method != "CANCEL") return reply(key, m, 500);  // out of order (12.2.2)
    call.heardCseq = m.cseq;
    if (m.method == "BYE") {
        reply(key, m, 200);
        return forget(call, true);
    }
    if (m.method == "OPTIONS") return reply(key, m, 200, {{"Allow", kAllow}});
    if (m.method != "INVITE" && m.method != "UPDATE") return reply(key, m, 405, {{"Allow", kAllow}});
    if (call.updateOut && !m.body.empty())
        return reply(key, m, 491);  // glare: ours is out (RFC 3311, section 5.2)
    if (!call.playing) return reply(key, m, 491);
    if (m.contact && !m.contact->uri.empty()) call.target = m.contact->uri;
    std::string body;
    if (!m.body.empty()) {
        const auto offer = sip::parseOffer(m.body);
        if (!offer || !offer->hasVideo) return reply(key, m, 488);
        call.offer = *offer;
        ++call.version;
        body = answerBody(call);
    } else if (m.method == "INVITE") {
        body = answerBody(call);
    }
    if (m.sessionExpires)
        call.expires = std::max(terms_.minSe, static_cast<Micros>(*m.sessionExpires) * kSecond);
    armSession(call);
    reply(key, m, 200, dialogFields(call), body);
}

void SipFrontend::onAnswer(const sip::Message& m) {
    const auto it = out_.find(m.vias.front().branch);
    if (it == out_.end() || m.status < 200 || it->second->method != m.method) return;
    it->second->over(m.status);
}

// ================= what the core says =================

std::string SipFrontend::answerBody(const Call& call) const {
    const net::Endpoint* at = boxes_.addressOf(call.at);
    const RoomType& type = rooms_.types[call.room.v];
    const double kb = ladder_.kb[static_cast<std::size_t>(call.rung)] * type.rateFactor;
    return sip::writeAnswer(call.offer, at ? *at : datagrams_->endpoint(),
                            static_cast<std::uint64_t>(std::llround(kb * 8'000)), call.session, call.version);
}

std::vector<std::pair<std::string, std::string>> SipFrontend::dialogFields(const Call& call) const {
    return {{"Contact", "<sip:" + name_ + "@" + net::toString(datagrams_->endpoint()) + ">"},
            {"Allow", kAllow},
            {"Supported", "timer"},
            {"Session-Expires",
             ceilToSeconds(call.expires) + (call.callerRefreshes ? ";refresher=uac" : ";refresher=uas")}};
}

void SipFrontend::onPlaying(SubId id, SfuId at, int rung) {
    Call* call = bySub(id);
    if (!call) return;
    ++servedNow_;
    if (std::exchange(call->inGate, false)) gate_.onAnswered(call->network);
    call->playing = true;
    call->at = at;
    call->rung = rung;
    armSession(*call);
    call->holdTimer->after(terms_.holdEvery);
    auto more = dialogFields(*call);
    if (call->callerRefreshes) more.emplace_back("Require", "timer");
    more.emplace_back("traceparent", logging::write(call->trace));
    reply(call->key, call->invite, 200, std::move(more), answerBody(*call));
}

void SipFrontend::onThrottled(SubId id, Micros retryAfter) {
    Call* call = bySub(id);
    if (!call) return;
    ++servedNow_;
    std::vector<std::pair<std::string, std::string>> more;
    if (retryAfter > 0)
        more.emplace_back("Retry-After", ceilToSeconds(gate_.retryAfter(net_.now(), retryAfter)));
    reply(call->key, call->invite, 486, std::move(more));
    forget(*call, false);
}

void SipFrontend::onTerminated(SubId id, core::TerminationReason how) {
    Call* call = bySub(id);
    if (!call) return;
    ++servedNow_;
    reply(call->key, call->invite, how == core::TerminationReason::TimedOut ? 504 : 500);
    forget(*call, false);
}

void SipFrontend::onRungChanged(SubId id, int rung) {
    Call* call = bySub(id);
    if (!call || call->rung == rung) return;
    call->rung = rung;
    ++call->version;
    const auto& allow = call->invite.allow;
    if (std::find(allow.begin(), allow.end(), "update") == allow.end()) return;
    call->updateDue = true;
    if (!call->updateOut) call->updateTimer->after(0);
}

void SipFrontend::onServerLost(SubId id) {
    if (Call* call = bySub(id)) hangUp(*call, false);
}

void SipFrontend::onAckTimeout(const std::string& key) {
    const auto it = byKey_.find(key);
    if (it == byKey_.end()) return;
    ++counts_.unacknowledged;
    hangUp(*it->second, true);  // section 13.3.1.4: the caller may be there all the same
}

// ================= within a dialog =================

void SipFrontend::sendInDialog(Call& call, const char* method, const std::string& body) {
    const std::string branch = "z9hG4bK" + logging::toHex(net_.randomBits());
    const sip::Message& m = call.invite;
    std::string text = std::string(method) + " " + sip::headerSafe(call.target) +
                       " SIP/2.0\r\nVia: SIP/2.0/" + (call.way.stream ? "TCP " : "UDP ") +
                       net::toString(datagrams_->endpoint()) + ";branch=" + branch +
                       ";rport\r\nMax-Forwards: 70\r\n";
    for (const std::string& route : m.recordRoutes) text += "Route: " + sip::headerSafe(route) + "\r\n";
    text += "From: " + sip::headerSafe(m.to.written) + ";tag=" + call.localTag +
            "\r\nTo: " + sip::headerSafe(m.from.written) + "\r\nCall-ID: " + sip::headerSafe(m.callId) +
            "\r\nCSeq: " + std::to_string(++call.cseq) + " " + method + "\r\n";
    for (const auto& [name, value] : dialogFields(call)) text += name + ": " + value + "\r\n";
    if (!body.empty()) text += "Content-Type: application/sdp\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (out_.size() >= terms_.transactions) return;
    sendTo(call.way, text);
    out_[branch] = std::make_unique<Out>(*this, branch, method, text, call.sub, call.way);
}

void SipFrontend::sendUpdate(Call& call) {
    if (call.updateOut) return;
    call.updateDue = false;
    call.updateOut = true;
    ++counts_.updates;
    const auto& allow = call.invite.allow;
    const bool may = std::find(allow.begin(), allow.end(), "update") != allow.end();
    // A caller without UPDATE is asked by OPTIONS whether it is still there; its rung stays as it was told.
    sendInDialog(call, may ? "UPDATE" : "OPTIONS", may ? answerBody(call) : "");
}

void SipFrontend::hangUp(Call& call, bool tellCore) {
    sendInDialog(call, "BYE", "");
    forget(call, tellCore);
}

void SipFrontend::forget(Call& call, bool tellCore) {
    const SubId id = call.sub;
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "viewer-over",
               {{"trace", call.trace.trace}, {"sub", id.v}, {"face", "sip"}});
    if (std::exchange(call.inGate, false)) gate_.onAnswered(call.network);
    transactions_.onAcknowledged(call.key);  // whatever became of its 200, it is sent no more
    byKey_.erase(call.key);
    byDialog_.erase(call.dialog);
    call.sessionTimer->cancel();
    call.holdTimer->cancel();
    call.updateTimer->cancel();
    const auto it = calls_.find(id);
    deadCalls_.push_back(std::move(it->second));
    calls_.erase(it);
    bury_.soon();
    if (tellCore) core_.unsubscribe(id);
    joins_.forget(id);
}

// A caller that refreshes is given up on a little before its time is over, as RFC 4028, section 10, asks.
void SipFrontend::armSession(Call& call) {
    const Micros wait = call.callerRefreshes ? call.expires - std::min<Micros>(32 * kSecond, call.expires / 3)
                                             : call.expires / 2;
    call.sessionTimer->after(wait);
}

void SipFrontend::askHold(Call& call) {
    if (call.hold) deadHolds_.push_back(std::move(call.hold));
    bury_.soon();
    call.hold = std::make_unique<Hold>(*this, call.sub);
    call.hold->request = boxes_.send(call.at, "HEAD", "/sub/" + joins_.keyOf(call.sub), {}, false,
                                     terms_.holdWithin, *call.hold);
}

upstream::JoinRequest SipFrontend::joinRequestFor(SubId id, int) {
    upstream::JoinRequest words;
    const Call* call = bySub(id);
    if (!call) return words;
    words.title = call->title;
    words.room = rooms_.types[call->room.v].name;
    // A front that was started again knows nothing of this INVITE, and its copies go on coming: the box must
    // tell that it began this very one already.
    if (rooms_.types[call->room.v].paid) words.idempotencyToken = logging::toHex(hashOf(call->key, 0));
    logging::TraceContext trace = call->trace;
    trace.parent = logging::toHex(net_.randomBits() | 1);
    words.fields.add("traceparent", logging::write(trace));
    return words;
}

void SipFrontend::shutDown() {
    stopping_ = true;
    std::vector<Call*> all;
    for (auto& [id, call] : calls_) all.push_back(call.get());
    for (Call* call : all)
        if (call->playing) hangUp(*call, true);
}

}  // namespace valekeel::frontends
