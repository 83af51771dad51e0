#include "frontends/sip/sip_frontend.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace valekeel::frontends {
namespace {

constexpr std::size_t kStreamReadBytes = 4 * 1024;  // at once
// Parsing and answering a message, in the bytes that are handled in the same time.
constexpr std::size_t kWorkPerSipMessage = 4 * net::TurnQueue::kWorkPerMessage;
constexpr const char* kAllow = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE";

// FNV-1a with a final mix. Retransmissions of a request hash to the same value.
std::uint64_t hashOf(const std::string& key, std::uint64_t salt) {
    std::uint64_t h = 1469598103934665603ull ^ salt;
    for (const char c : key) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdull;
    return h ^ h >> 33;
}
// Identifies a refused INVITE, its retransmissions and its ACK.
std::uint64_t inviteHash(std::string_view branch, std::string_view callId, std::uint64_t salt) {
    return hashOf(std::string(branch) + "|" + std::string(callId), salt);
}

// Returns the transaction key of the INVITE that a CANCEL with this key is about.
std::string inviteKeyOf(const std::string& cancelKey) {
    return cancelKey.substr(0, cancelKey.size() - std::string_view("|CANCEL").size());
}

}  // namespace

// One call: from the INVITE until it is refused or its dialog ends.
struct SipFrontend::Call {
    SubId sub;
    std::string key, dialog, localTag, title;
    sip::ReplyRoute route;
    sip::Message invite;
    sip::Offer offer;
    logging::TraceContext trace;
    RoomTypeId room;
    std::uint32_t network = 0;
    bool admissionPending = false, playing = false, updateInFlight = false, updatePending = false;
    bool answerExpectedInAck = false;  // the INVITE had no offer; the ACK must answer ours
    bool callerRefreshes = false;
    SfuId serverId;
    int rung = 0;
    std::uint32_t cseq = 0, remoteCseq = 0;
    std::uint64_t session = 0, version = 0;
    Micros expires = 0;
    std::string target;  // remote target of the dialog: the caller's Contact
    std::unique_ptr<net::Timer> sessionTimer, probeTimer, updateTimer;
    std::unique_ptr<SessionProbe> probe;
};

// A request sent by the front within a dialog, retransmitted until it is answered (RFC 3261, timers E and F).
struct SipFrontend::ClientTransaction {
    SipFrontend& frontend;
    std::string branch, method, bytes;
    SubId sub;
    sip::ReplyRoute route;
    Micros retransmitInterval;
    net::Timer retransmitTimer, timeoutTimer;
    ClientTransaction(SipFrontend& frontend, std::string branch, std::string method, std::string bytes,
                      SubId sub, const sip::ReplyRoute& route)
        : frontend(frontend),
          branch(std::move(branch)),
          method(std::move(method)),
          bytes(std::move(bytes)),
          sub(sub),
          route(route),
          retransmitInterval(frontend.settings_.times.t1),
          retransmitTimer(frontend.net_,
                          [this] {
                              this->frontend.sendTo(this->route, this->bytes);
                              retransmitInterval =
                                  std::min(2 * retransmitInterval, this->frontend.settings_.times.t2);
                              retransmitTimer.after(retransmitInterval);
                          }),
          timeoutTimer(frontend.net_, [this] { complete(408); }) {
        if (!route.stream) retransmitTimer.after(retransmitInterval);
        timeoutTimer.after(64 * frontend.settings_.times.t1);
    }
    void complete(int status) {
        retransmitTimer.cancel();
        timeoutTimer.cancel();
        SipFrontend& owner = frontend;
        const SubId id = sub;
        const bool refreshesSession = method != "BYE";
        const auto it = owner.clientTransactions_.find(branch);
        if (it == owner.clientTransactions_.end()) return;
        owner.retiredTransactions_.push_back(std::move(it->second));
        owner.clientTransactions_.erase(it);
        owner.cleanupTimer_.soon();
        Call* call = refreshesSession ? owner.bySub(id) : nullptr;
        if (!call) return;
        call->updateInFlight = false;
        if (status == 481 || status == 408)
            return owner.hangUp(*call, true);  // the dialog no longer exists (RFC 5057)
        if (status == 491) {  // glare: retry as the side that did not create the Call-ID (0 to 2 s)
            call->updatePending = true;
            call->updateTimer->after(static_cast<Micros>(owner.net_.randomBits() % 200) * 10'000);
            return;
        }
        if (status < 300) owner.startSessionTimer(*call);
        if (call->updatePending) owner.sendUpdate(*call);
    }
};

// A TCP connection. Messages are framed by Content-Length; a framing error closes the connection.
class SipFrontend::Stream final : public net::StreamHandler {
  public:
    Stream(SipFrontend& frontend, std::uint64_t key, std::unique_ptr<net::Stream> s)
        : frontend_(frontend),
          stream_(std::move(s)),
          route_{true, key, stream_->peer()},
          framer_(frontend.settings_.limits.bytes),
          idleTimer_(frontend.net_, [this] { close(); }),
          turn_(frontend.turns_, [this] { return read(net::TurnQueue::kWorkPerTurn); }),
          buffered_(frontend.buffers_, [this] { onOverMemoryLimit(); }) {
        stream_->setHandler(*this);
        idleTimer_.after(frontend.settings_.streamIdleTimeout);
    }
    // A stream whose last turn left input waits for its next one.
    void onReadable() override {
        if (!turn_.isWaiting()) read(net::TurnQueue::kWorkWhenReadable);
    }
    void onWritable() override { flush(); }
    void send(const std::string& bytes) {
        if (!stream_ || sendBuffer_.size() > 8 * frontend_.settings_.limits.bytes)
            return close();  // the peer does not read
        sendBuffer_ += bytes;
        flush();
    }
    void close() {
        if (!stream_) return;
        stream_.reset();
        idleTimer_.cancel();
        turn_.cancel();
        buffered_.set(0);
        const auto it = frontend_.streams_.find(route_.connection);
        if (it == frontend_.streams_.end()) return;
        frontend_.retiredStreams_.push_back(std::move(it->second));
        frontend_.streams_.erase(it);
        frontend_.cleanupTimer_.soon();
    }

  private:
    // Handles a limited amount of input, and waits for a turn if more may be left. Returns the work done.
    std::size_t read(std::size_t maxWork) {
        std::size_t work = 0;
        std::array<char, kStreamReadBytes> buffer;
        while (stream_ && work < maxWork) {
            const net::IoResult result = stream_->read(buffer);
            if (result.status == net::IoResult::Status::WouldBlock) return work;
            if (result.bytes == 0) {
                close();
                return work;
            }
            idleTimer_.after(frontend_.settings_.streamIdleTimeout);
            work += result.bytes;
            bool good = framer_.feed(std::string_view(buffer.data(), result.bytes));
            while (const auto message = framer_.next()) {
                frontend_.onMessage(*message, route_);
                work += kWorkPerSipMessage;
            }
            good = good && framer_.feed("");
            if (!good) close();
            updateBuffered();
        }
        if (stream_) turn_.wait();
        return work;
    }
    void flush() {
        if (!stream_ || sendBuffer_.empty()) return;
        const net::IoResult result = stream_->write(sendBuffer_);
        sendBuffer_.erase(0, result.bytes);
        updateBuffered();
        if (result.status == net::IoResult::Status::Broken) close();
    }
    void updateBuffered() { buffered_.set(stream_ ? framer_.heldBytes() + sendBuffer_.capacity() : 0); }
    // All streams together hold too much, and this one the most.
    void onOverMemoryLimit() {
        frontend_.log_.write(
            logging::Level::Warning, frontend_.net_.now(), frontend_.net_.wallNow(), "bad-sip",
            {{"peer", net::toString(route_.peer)},
             {"status", 0},
             {"why", "all streams together hold too much unfinished input or unsent output"}});
        close();
    }
    SipFrontend& frontend_;
    std::unique_ptr<net::Stream> stream_;
    sip::ReplyRoute route_;
    sip::Framer framer_;
    std::string sendBuffer_;
    net::Timer idleTimer_;
    net::TurnQueue::Member turn_;
    net::BufferBudget::Holder buffered_;
};

// Asks the media server whether it still holds the subscription of a call.
class SipFrontend::SessionProbe final : public upstream::UpstreamRequestHandler {
  public:
    SessionProbe(SipFrontend& frontend, SubId sub) : frontend_(frontend), sub_(sub) {}
    std::unique_ptr<upstream::UpstreamRequest> request;

  private:
    void onHead(const http::ResponseHead& h) override {
        status_ = h.status;
        load_ = upstream::loadOf(h.fields);
    }
    void onBody(std::string_view) override {}
    void onComplete() override {
        Call* call = frontend_.bySub(sub_);
        if (!call) return;
        if (status_ == 410) return frontend_.core_.onPlaybackEnded(sub_, JoinResult::Reset);
        frontend_.core_.onLoadReport(sub_, call->serverId, load_.linkUse, load_.uplinkUse);
        call->probeTimer->after(frontend_.settings_.probeInterval);
    }
    void onFailed(upstream::RequestResult result) override {
        Call* call = frontend_.bySub(sub_);
        if (!call) return;
        if (result == upstream::RequestResult::NoFreeConnection ||
            result == upstream::RequestResult::NoDescriptor ||
            result == upstream::RequestResult::BrokenOnReused) {  // says nothing about the server
            call->probeTimer->after(frontend_.settings_.probeInterval / 4);
            return;
        }
        frontend_.core_.onPlaybackEnded(sub_, upstream::meaningOf(result).end);
    }
    SipFrontend& frontend_;
    SubId sub_;
    int status_ = 0;
    LoadReport load_;
};

SipFrontend::SipFrontend(const FrontendContext& context, const net::Endpoint& listenEndpoint,
                         const SipFrontendSettings& settings, std::uint64_t seed)
    : FrontendContext(context),
      settings_(settings),
      hashSalt_(seed),
      transactions_(net_, settings.times, settings.transactions, *this),
      overload_(settings.overload),
      refusedRequests_(settings.maxRememberedRefusals),
      turns_(net_),
      buffers_(net_, settings.maxBufferedBytes),
      cleanupTimer_(net_,
                    [this] {
                        retiredStreams_.clear();
                        retiredProbes_.clear();
                        retiredCalls_.clear();
                        retiredTransactions_.clear();
                    }),
      overloadTimer_(net_, [this] { updateOverload(); }) {
    // With port 0, the port that the kernel chooses for UDP may be in use for TCP: tries up to 16 times.
    for (int triesLeft = listenEndpoint.port == 0 ? 16 : 1; !listener_; --triesLeft) {
        datagrams_ = net_.bind(listenEndpoint, *this);
        try {
            listener_ = net_.listen(datagrams_->endpoint(), *this);
        } catch (const std::runtime_error&) {
            if (triesLeft <= 1) throw;
        }
    }
    overloadTimer_.after(settings_.overload.updateInterval);
}
SipFrontend::~SipFrontend() {
    calls_.clear();
    clientTransactions_.clear();
    streams_.clear();
}

void SipFrontend::updateOverload() {
    const double fill = admission_.fillRatio();
    while (!mergedExpiry_.empty() && mergedExpiry_.front().first <= net_.now()) {
        std::string key = std::move(mergedExpiry_.front().second);
        mergedExpiry_.pop_front();
        const auto it = firstTransactionByMergeKey_.find(key);
        if (it == firstTransactionByMergeKey_.end()) continue;
        if (transactions_.contains(it->second))  // the call set-up is still in progress
            mergedExpiry_.emplace_back(net_.now() + 64 * settings_.times.t1, std::move(key));
        else
            firstTransactionByMergeKey_.erase(it);
    }
    const Micros meanQueueingDelay = std::exchange(queueingDelaySum_, 0) /
                                     std::max<std::int64_t>(1, std::exchange(queueingDelayCount_, 0));
    overload_.update(net_.now(), fill, meanQueueingDelay, std::exchange(arrivals_, 0),
                     std::exchange(served_, 0));
    overloadTimer_.after(settings_.overload.updateInterval);
}

SipFrontend::Call* SipFrontend::bySub(SubId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : it->second.get();
}
SipFrontend::Call* SipFrontend::byDialog(const sip::Message& m) {
    const auto it = callsByDialog_.find(m.callId + "|" + m.to.tag + "|" + m.from.tag);
    return it == callsByDialog_.end() ? nullptr : it->second;
}
const logging::TraceContext* SipFrontend::traceOf(SubId id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second->trace;
}

// ---- datagrams and streams ----

void SipFrontend::onDatagram(const net::Endpoint& from, std::string_view bytes) {
    queueingDelaySum_ += datagrams_->queueingDelay();
    ++queueingDelayCount_;
    const sip::ReplyRoute route{false, 0, from};
    if (const auto prefiltered = sip::prefilter(bytes); prefiltered && shedByPrefilter(*prefiltered, route))
        return;
    onMessage(bytes, route);
}

void SipFrontend::onAccepted(std::unique_ptr<net::Stream> stream) {
    if (streams_.size() >= settings_.streams) {
        stream->reset();
        return;
    }
    const std::uint64_t key = nextStreamId_++;
    streams_[key] = std::make_unique<Stream>(*this, key, std::move(stream));
}

void SipFrontend::sendTo(const sip::ReplyRoute& route, const std::string& bytes) {
    if (!route.stream) {
        datagrams_->send(route.peer, bytes);
        return;
    }
    const auto it = streams_.find(route.connection);
    if (it != streams_.end()) it->second->send(bytes);
}

void SipFrontend::onMessage(std::string_view bytes, const sip::ReplyRoute& route) {
    if (bytes.find_first_not_of("\r\n \t") == std::string_view::npos) return;  // keep-alive of a NAT binding
    ++counts_.messages;
    sip::ParseResult parsed = sip::parse(bytes, settings_.limits);
    if (!parsed.message) {
        ++counts_.malformed;
        log_.write(logging::Level::Warning, net_.now(), net_.wallNow(), "bad-sip",
                   {{"peer", net::toString(route.peer)}, {"status", parsed.status}, {"why", parsed.why}});
        if (parsed.partial && parsed.status) replyStateless(*parsed.partial, route, {parsed.status});
        return;
    }
    if (parsed.message->request)
        onRequest(std::move(*parsed.message), route);
    else
        onAnswer(*parsed.message);
}

// Adds the overload-control parameters to the topmost Via of a client that supports them.
sip::Message SipFrontend::withControl(sip::Message m) const {
    sip::Via& via = m.vias.front();
    if (!via.params.count("oc")) return m;
    const auto algo = via.params.find("oc-algo");
    via.written += overload_.viaParameters(algo == via.params.end() ? "" : algo->second);
    return m;
}

// Answers without creating a transaction, so that refusals and requests outside of calls keep no state under
// a flood (RFC 3261, section 8.2.7). A retransmission gets the same answer, with the same tag.
void SipFrontend::replyStateless(const sip::Message& m, const sip::ReplyRoute& route,
                                 const Refusal& refusal) {
    const std::uint64_t hash = inviteHash(m.vias.front().branch, m.callId, hashSalt_);
    if (refusal.isRemembered) refusedRequests_.insert(hash);
    sendTo(route, sip::response(withControl(m), refusal.status, logging::toHex(hash ^ hashSalt_),
                                refusal.fields, "", &route.peer));
}

SipFrontend::Refusal SipFrontend::refusalWithRetry(Micros retryAfter) const {
    return {503, {{"Retry-After", ceilToSeconds(retryAfter)}}, true};
}

void SipFrontend::reply(const std::string& key, const sip::Message& m, int status, ExtraFields extraFields,
                        const std::string& body) {
    const auto call = callsByKey_.find(key);
    const std::string tag =
        call != callsByKey_.end() ? call->second->localTag : logging::toHex(net_.randomBits());
    const net::Endpoint* from = call != callsByKey_.end() ? &call->second->route.peer : nullptr;
    transactions_.respond(key, status, sip::response(withControl(m), status, tag, extraFields, body, from));
}

// ---- requests ----

void SipFrontend::onRequest(sip::Message m, const sip::ReplyRoute& route) {
    if (m.method == "ACK") {
        if (transactions_.ack(m)) return;
        Call* call = byDialog(m);
        if (!call) return;
        transactions_.onAcknowledged(call->key);
        if (std::exchange(call->answerExpectedInAck,
                          false)) {  // the ACK must answer our offer (RFC 3261, section 13.2.2.4)
            const auto answer = sip::parseOffer(m.body);
            if (!answer || !answer->hasVideo || !answer->wantsVideo || answer->videoPort == 0)
                hangUp(*call, true);
        }
        return;
    }
    const std::string key = sip::Transactions::keyOf(m);
    // A new INVITE passes overload control before any state is created; retransmissions are absorbed below.
    const bool isRetransmission = transactions_.contains(key);
    const bool isNewInvite = m.method == "INVITE" && m.to.tag.empty() && !isRetransmission;
    if (isNewInvite) {
        ++counts_.invites;
        ++arrivals_;
        const auto priority = m.others.find("resource-priority");
        const bool emergency = priority != m.others.end() && priority->second.compare(0, 3, "ets") == 0;
        if (shouldShed(inviteHash(m.vias.front().branch, m.callId, hashSalt_),
                       m.vias.front().params.count("oc") > 0, emergency, route)) {
            ++counts_.shed;
            return replyStateless(m, route, refusalWithRetry(settings_.retryAfterWhenFull));
        }
    }
    if (!isRetransmission)
        if (const auto answer = answerWithoutState(m)) return replyStateless(m, route, *answer);
    if (isNewInvite) {
        if (const auto refusal = onInvite(m, route)) replyStateless(m, route, *refusal);
        return;
    }
    switch (transactions_.request(m, route)) {
        case sip::Transactions::RequestDisposition::Absorbed:
            return;
        case sip::Transactions::RequestDisposition::Full:
            ++counts_.shed;
            return replyStateless(m, route, refusalWithRetry(settings_.retryAfterWhenFull));
        case sip::Transactions::RequestDisposition::New:
            break;
    }
    if (m.method == "CANCEL") return onCancel(m, key);
    if (Call* call = byDialog(m)) inDialog(*call, m, key);
}

// What belongs to no call and sets up none is answered at once, by the request alone: a flood of such
// requests must not take the places that calls need. Empty if the request concerns a call.
std::optional<SipFrontend::Refusal> SipFrontend::answerWithoutState(const sip::Message& m) {
    if (m.maxForwards && *m.maxForwards == 0 && m.method != "OPTIONS") return Refusal{483};
    if (m.method == "CANCEL") {
        const std::string invite = inviteKeyOf(sip::Transactions::keyOf(m));
        return transactions_.contains(invite) ? std::nullopt : std::optional(Refusal{481});
    }
    for (const std::string& extension : m.require)
        if (extension != "timer") return Refusal{420, {{"Unsupported", extension}}};
    if (!m.to.tag.empty()) return byDialog(m) ? std::nullopt : std::optional(Refusal{481});
    if (m.method == "INVITE") return std::nullopt;
    if (m.method == "OPTIONS")
        return Refusal{200, {{"Allow", kAllow}, {"Accept", "application/sdp"}, {"Supported", "timer"}}};
    if (m.method == "BYE" || m.method == "UPDATE") return Refusal{481};
    return Refusal{405, {{"Allow", kAllow}}};
}

// Decides before a transaction is created whether overload control or admission refuses an INVITE. A refused
// INVITE stays refused: a retransmission that arrives once there is capacity must not get a second final
// answer.
bool SipFrontend::shouldShed(std::uint64_t hash, bool supportsOverloadControl, bool emergency,
                             const sip::ReplyRoute& route) {
    if (refusedRequests_.contains(hash)) return true;
    const double uniformDraw = static_cast<double>(hash >> 11) / 9007199254740992.0;
    const bool isShed =
        stopping_ || (settings_.shed && (overload_.shouldShed(uniformDraw, supportsOverloadControl, emergency,
                                                              admission_.fillRatio()) ||
                                         (!emergency && !admission_.wouldAdmit(route.peer.ip))));
    if (isShed) refusedRequests_.insert(hash);
    return isShed;
}

// Refuses an INVITE by its prefiltered headers, without a full parse. Keeps only its hash, which bounds the
// cost of a flood. Returns true if the datagram needs no further handling.
bool SipFrontend::shedByPrefilter(const sip::PrefilteredRequest& prefiltered, const sip::ReplyRoute& route) {
    const std::uint64_t hash = inviteHash(prefiltered.branch, prefiltered.callId, hashSalt_);
    if (prefiltered.method == "ACK") return refusedRequests_.contains(hash);
    if (prefiltered.toHasTag || transactions_.contains(prefiltered.inviteKey())) return false;
    const bool supportsOverloadControl = prefiltered.via.find(";oc") != std::string_view::npos;
    if (!shouldShed(hash, supportsOverloadControl, false, route)) return false;
    ++counts_.messages;
    ++counts_.invites;
    ++counts_.shed;
    ++arrivals_;
    std::string viaParameters;
    if (supportsOverloadControl) {
        const auto position = prefiltered.via.find(";oc-algo=");
        viaParameters = overload_.viaParameters(
            position == std::string_view::npos
                ? std::string()
                : std::string(prefiltered.via.substr(
                      position + 9, prefiltered.via.find(';', position + 9) - position - 9)));
    }
    sendTo(route, sip::refusal(
                      prefiltered, "503 Service Unavailable", logging::toHex(hash ^ hashSalt_), viaParameters,
                      static_cast<long>((settings_.retryAfterWhenFull + kSecond - 1) / kSecond), route.peer));
    return true;
}

// Begins a call and its transaction, or returns why there is none.
std::optional<SipFrontend::Refusal> SipFrontend::onInvite(sip::Message& m, const sip::ReplyRoute& route) {
    const std::string key = sip::Transactions::keyOf(m);
    // Merged request (RFC 3261, section 8.2.2.2): the same call, forked upstream or sent from a second port.
    const std::string mergeKey = m.callId + "|" + m.from.tag + "|" + std::to_string(m.cseq);
    const auto first = firstTransactionByMergeKey_.find(mergeKey);
    if (first != firstTransactionByMergeKey_.end() && transactions_.contains(first->second)) {
        ++counts_.merged;
        return Refusal{482};
    }
    const auto talk = talks_.find(m.user);
    if (talk == talks_.end()) return Refusal{404};
    const auto roomParam = m.uriParams.find("room");
    const auto room =
        roomTypes_.find(roomParam == m.uriParams.end() ? roomTypes_.types.front().name : roomParam->second);
    if (!room) return Refusal{404};
    if (!m.contact || m.contact->uri.empty()) return Refusal{400};
    sip::Offer offer;
    if (m.body.empty()) {  // the 200 carries our offer and the ACK the answer
        offer.hasVideo = true;
        offer.mediaLines = {"video 0 RTP/AVP 96"};
    } else {
        if (m.contentType.compare(0, 15, "application/sdp") != 0)
            return Refusal{415, {{"Accept", "application/sdp"}}};
        const auto read = sip::parseOffer(m.body);
        if (!read || !read->hasVideo || !read->wantsVideo) return Refusal{488};
        offer = *read;
    }
    if (m.sessionExpires && static_cast<Micros>(*m.sessionExpires) * kSecond < settings_.minSe)
        return Refusal{422, {{"Min-SE", ceilToSeconds(settings_.minSe)}}};

    if (calls_.size() >= settings_.calls) return refusalWithRetry(settings_.retryAfterWhenFull);
    if (transactions_.isFull()) {
        ++counts_.shed;
        return refusalWithRetry(settings_.retryAfterWhenFull);
    }
    const std::uint32_t network = admission_.networkOf(route.peer.ip);
    if (admission_.admit(net_.now(), network) != admission::AdmissionController::Decision::Admitted)
        return refusalWithRetry(admission_.retryAfter(net_.now(), settings_.retryAfterWhenFull));

    const RoomType& type = roomTypes_.types[room->v];
    double kbits = offer.maxBitrate ? static_cast<double>(*offer.maxBitrate) / 1'000 : 1e18;
    if (admission_.isLimitedToLowestRung(network)) kbits = 0;
    const SubscriptionRequest request =
        subscriptionRequestFor(*room, m.user, talk->second, ladder_, type, kbits);
    Micros timeout = roomTypes_.clientTimeouts[room->v];
    if (m.expires && *m.expires > 0) timeout = std::min(timeout, static_cast<Micros>(*m.expires) * kSecond);
    const auto id = core_.subscribe(*this, request, timeout);
    if (!id) {
        admission_.onAnswered(network);
        return refusalWithRetry(settings_.retryAfterWhenFull);
    }
    transactions_.request(m, route);
    auto created = std::make_unique<Call>();
    Call& call = *created;
    call.sub = *id;
    call.key = key;
    call.localTag = logging::toHex(net_.randomBits());
    call.dialog = m.callId + "|" + call.localTag + "|" + m.from.tag;
    call.title = m.user;
    call.route = route;
    call.offer = std::move(offer);
    call.answerExpectedInAck = m.body.empty();
    const auto parent = m.others.find("traceparent");
    const auto trace = parent == m.others.end() ? std::nullopt : logging::parseTraceParent(parent->second);
    call.trace = trace ? *trace : logging::newTrace(net_.randomBits(), net_.randomBits(), net_.randomBits());
    call.room = *room;
    call.network = network;
    call.admissionPending = true;
    call.remoteCseq = m.cseq;
    call.session = net_.randomBits() >> 1;
    call.target = m.contact->uri;
    const bool supportsTimer =
        std::find(m.supported.begin(), m.supported.end(), "timer") != m.supported.end();
    call.callerRefreshes = supportsTimer && m.refresher != "uas";
    call.expires =
        m.sessionExpires ? static_cast<Micros>(*m.sessionExpires) * kSecond : settings_.sessionExpires;
    call.invite = std::move(m);
    call.sessionTimer = std::make_unique<net::Timer>(net_, [this, sub = *id] {
        Call* c = bySub(sub);
        if (!c) return;
        if (!c->callerRefreshes) return sendUpdate(*c);  // the response restarts the timer
        ++counts_.expired;
        hangUp(*c, true);
    });
    call.probeTimer = std::make_unique<net::Timer>(net_, [this, sub = *id] {
        if (Call* c = bySub(sub)) probeServer(*c);
    });
    call.updateTimer = std::make_unique<net::Timer>(net_, [this, sub = *id] {
        Call* c = bySub(sub);
        if (c && c->updatePending) sendUpdate(*c);
    });
    callsByKey_[key] = &call;
    callsByDialog_[call.dialog] = &call;
    firstTransactionByMergeKey_[mergeKey] = key;
    mergedExpiry_.emplace_back(net_.now() + 65 * settings_.times.t1, mergeKey);
    calls_[*id] = std::move(created);
    joinClient_.setRequestSource(*id, *this);
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "asked",
               {{"trace", call.trace.trace},
                {"sub", id->v},
                {"title", call.title},
                {"room", type.name},
                {"face", "sip"},
                {"call", call.invite.callId},
                {"network", admission_.nameOf(network)}});
    reply(key, call.invite, 100);
    core_.start(*id);
    return std::nullopt;
}

void SipFrontend::onCancel(const sip::Message& m, const std::string& key) {
    const std::string invite = inviteKeyOf(key);
    const auto it = callsByKey_.find(invite);
    reply(key, m, transactions_.contains(invite) ? 200 : 481);
    // A CANCEL after the final answer has no effect (RFC 3261, section 9.2).
    if (it == callsByKey_.end() || it->second->playing) return;
    ++counts_.cancelled;
    Call& call = *it->second;
    reply(call.key, call.invite, 487);
    forget(call, true);
}

void SipFrontend::inDialog(Call& call, const sip::Message& m, const std::string& key) {
    if (m.cseq <= call.remoteCseq && m.method != "CANCEL")
        return reply(key, m, 500);  // out of order (RFC 3261, section 12.2.2)
    call.remoteCseq = m.cseq;
    if (m.method == "BYE") {
        reply(key, m, 200);
        return forget(call, true);
    }
    if (m.method == "OPTIONS") return reply(key, m, 200, {{"Allow", kAllow}});
    if (m.method != "INVITE" && m.method != "UPDATE") return reply(key, m, 405, {{"Allow", kAllow}});
    if (call.updateInFlight && !m.body.empty())
        return reply(key, m, 491);  // glare: our UPDATE is in flight (RFC 3311, section 5.2)
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
        call.expires = std::max(settings_.minSe, static_cast<Micros>(*m.sessionExpires) * kSecond);
    startSessionTimer(call);
    reply(key, m, 200, dialogFields(call), body);
}

void SipFrontend::onAnswer(const sip::Message& m) {
    const auto it = clientTransactions_.find(m.vias.front().branch);
    if (it == clientTransactions_.end() || m.status < 200 || it->second->method != m.method) return;
    it->second->complete(m.status);
}

// ---- core::SubscriptionHandler ----

std::string SipFrontend::answerBody(const Call& call) const {
    const net::Endpoint* server = upstream_.addressOf(call.serverId);
    const RoomType& type = roomTypes_.types[call.room.v];
    const double kb = ladder_.kb[static_cast<std::size_t>(call.rung)] * type.rateFactor;
    return sip::writeAnswer(call.offer, server ? *server : datagrams_->endpoint(),
                            static_cast<std::uint64_t>(std::llround(kb * 8'000)), call.session, call.version);
}

std::vector<std::pair<std::string, std::string>> SipFrontend::dialogFields(const Call& call) const {
    return {{"Contact", "<sip:" + name_ + "@" + net::toString(datagrams_->endpoint()) + ">"},
            {"Allow", kAllow},
            {"Supported", "timer"},
            {"Session-Expires",
             ceilToSeconds(call.expires) + (call.callerRefreshes ? ";refresher=uac" : ";refresher=uas")}};
}

void SipFrontend::onPlaying(SubId id, SfuId serverId, int rung) {
    Call* call = bySub(id);
    if (!call) return;
    ++served_;
    if (std::exchange(call->admissionPending, false)) admission_.onAnswered(call->network);
    call->playing = true;
    call->serverId = serverId;
    call->rung = rung;
    startSessionTimer(*call);
    call->probeTimer->after(settings_.probeInterval);
    auto extraFields = dialogFields(*call);
    if (call->callerRefreshes) extraFields.emplace_back("Require", "timer");
    extraFields.emplace_back("traceparent", logging::write(call->trace));
    reply(call->key, call->invite, 200, std::move(extraFields), answerBody(*call));
}

void SipFrontend::onThrottled(SubId id, Micros retryAfter) {
    Call* call = bySub(id);
    if (!call) return;
    ++served_;
    std::vector<std::pair<std::string, std::string>> extraFields;
    if (retryAfter > 0)
        extraFields.emplace_back("Retry-After", ceilToSeconds(admission_.retryAfter(net_.now(), retryAfter)));
    reply(call->key, call->invite, 486, std::move(extraFields));
    forget(*call, false);
}

void SipFrontend::onTerminated(SubId id, core::TerminationReason reason) {
    Call* call = bySub(id);
    if (!call) return;
    ++served_;
    reply(call->key, call->invite, reason == core::TerminationReason::TimedOut ? 504 : 500);
    forget(*call, false);
}

void SipFrontend::onRungChanged(SubId id, int rung) {
    Call* call = bySub(id);
    if (!call || call->rung == rung) return;
    call->rung = rung;
    ++call->version;
    const auto& allow = call->invite.allow;
    if (std::find(allow.begin(), allow.end(), "update") == allow.end()) return;
    call->updatePending = true;
    if (!call->updateInFlight) call->updateTimer->after(0);
}

void SipFrontend::onServerLost(SubId id) {
    if (Call* call = bySub(id)) hangUp(*call, false);
}

void SipFrontend::onAckTimeout(const std::string& key) {
    const auto it = callsByKey_.find(key);
    if (it == callsByKey_.end()) return;
    ++counts_.unacknowledged;
    hangUp(*it->second, true);  // RFC 3261, section 13.3.1.4: the caller may still be there
}

// ---- requests within a dialog ----

void SipFrontend::sendInDialog(Call& call, const char* method, const std::string& body) {
    const std::string branch = "z9hG4bK" + logging::toHex(net_.randomBits());
    const sip::Message& m = call.invite;
    std::string text = std::string(method) + " " + sip::headerSafe(call.target) +
                       " SIP/2.0\r\nVia: SIP/2.0/" + (call.route.stream ? "TCP " : "UDP ") +
                       net::toString(datagrams_->endpoint()) + ";branch=" + branch +
                       ";rport\r\nMax-Forwards: 70\r\n";
    for (const std::string& route : m.recordRoutes) text += "Route: " + sip::headerSafe(route) + "\r\n";
    text += "From: " + sip::headerSafe(m.to.written) + ";tag=" + call.localTag +
            "\r\nTo: " + sip::headerSafe(m.from.written) + "\r\nCall-ID: " + sip::headerSafe(m.callId) +
            "\r\nCSeq: " + std::to_string(++call.cseq) + " " + method + "\r\n";
    for (const auto& [name, value] : dialogFields(call)) text += name + ": " + value + "\r\n";
    if (!body.empty()) text += "Content-Type: application/sdp\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (clientTransactions_.size() >= settings_.transactions) return;
    sendTo(call.route, text);
    clientTransactions_[branch] =
        std::make_unique<ClientTransaction>(*this, branch, method, text, call.sub, call.route);
}

void SipFrontend::sendUpdate(Call& call) {
    if (call.updateInFlight) return;
    call.updatePending = false;
    call.updateInFlight = true;
    ++counts_.updates;
    const auto& allow = call.invite.allow;
    const bool supportsUpdate = std::find(allow.begin(), allow.end(), "update") != allow.end();
    // A caller without UPDATE support gets OPTIONS as a keep-alive; it is not told of rung changes.
    sendInDialog(call, supportsUpdate ? "UPDATE" : "OPTIONS", supportsUpdate ? answerBody(call) : "");
}

void SipFrontend::hangUp(Call& call, bool notifyCore) {
    sendInDialog(call, "BYE", "");
    forget(call, notifyCore);
}

void SipFrontend::forget(Call& call, bool notifyCore) {
    const SubId id = call.sub;
    log_.write(logging::Level::Info, net_.now(), net_.wallNow(), "viewer-over",
               {{"trace", call.trace.trace}, {"sub", id.v}, {"face", "sip"}});
    if (std::exchange(call.admissionPending, false)) admission_.onAnswered(call.network);
    transactions_.onAcknowledged(call.key);  // stops retransmission of the 200
    callsByKey_.erase(call.key);
    callsByDialog_.erase(call.dialog);
    call.sessionTimer->cancel();
    call.probeTimer->cancel();
    call.updateTimer->cancel();
    const auto it = calls_.find(id);
    retiredCalls_.push_back(std::move(it->second));
    calls_.erase(it);
    cleanupTimer_.soon();
    if (notifyCore) core_.unsubscribe(id);
    joinClient_.forget(id);
}

// RFC 4028, section 10: if the caller refreshes, the call ends min(32 s, a third) before the session expires;
// otherwise the front refreshes at half the interval.
void SipFrontend::startSessionTimer(Call& call) {
    const Micros wait = call.callerRefreshes ? call.expires - std::min<Micros>(32 * kSecond, call.expires / 3)
                                             : call.expires / 2;
    call.sessionTimer->after(wait);
}

void SipFrontend::probeServer(Call& call) {
    if (call.probe) retiredProbes_.push_back(std::move(call.probe));
    cleanupTimer_.soon();
    call.probe = std::make_unique<SessionProbe>(*this, call.sub);
    call.probe->request = upstream_.send(call.serverId, "HEAD", "/sub/" + joinClient_.sessionKeyOf(call.sub),
                                         {}, false, settings_.probeTimeout, *call.probe);
}

upstream::JoinRequest SipFrontend::joinRequestFor(SubId id, int) {
    upstream::JoinRequest joinRequest;
    const Call* call = bySub(id);
    if (!call) return joinRequest;
    joinRequest.title = call->title;
    joinRequest.room = roomTypes_.types[call->room.v].name;
    // After a restart the front no longer knows this INVITE, but retransmissions continue: the media server
    // must recognise that it already set up this one.
    if (roomTypes_.types[call->room.v].paid)
        joinRequest.idempotencyToken = logging::toHex(hashOf(call->key, 0));
    logging::TraceContext trace = call->trace;
    trace.parent = logging::toHex(net_.randomBits() | 1);
    joinRequest.fields.add("traceparent", logging::write(trace));
    return joinRequest;
}

void SipFrontend::shutDown() {
    stopping_ = true;
    std::vector<Call*> all;
    for (auto& [id, call] : calls_) all.push_back(call.get());
    for (Call* call : all)
        if (call->playing) hangUp(*call, true);
}

}  // namespace valekeel::frontends
