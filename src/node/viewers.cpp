#include "node/viewers.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>

namespace valekeel::node {
namespace {

// Causes of a FINISH, from the protocol.
constexpr int kCauseBusy = 42, kCauseFailed = 41, kCauseUnusable = 95, kCauseTimedOut = 110;
constexpr Micros kCleanupInterval = 100'000;
constexpr double kMaxHintMs = 1e10;
// Repeated set-ups come within the client timeout of the first.
constexpr std::size_t kMaxSpentPaidTags = 16'384;
constexpr Micros kSpentPaidTagLifetime = 60 * kSecond;
constexpr int kMaxUnusableSetups = 4;  // per connection; then it is closed

// Parses a list such as "home:4;copies:3;top:4". Returns nothing if a field has no colon.
std::optional<std::map<std::string, std::string, std::less<>>> parseExtras(std::string_view text) {
    std::map<std::string, std::string, std::less<>> extras;
    while (!text.empty()) {
        const auto end = text.find(';');
        const std::string_view field = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const auto colon = field.find(':');
        if (colon == std::string_view::npos) return std::nullopt;
        extras[std::string(field.substr(0, colon))] = field.substr(colon + 1);
    }
    return extras;
}

std::optional<int> parseInt(std::string_view text, int min, int max) {
    int value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < min || value > max)
        return std::nullopt;
    return value;
}

std::optional<SfuId> parseServerId(std::string_view text) {
    if (text.size() != 10 || text.substr(0, 2) != "s-") return std::nullopt;
    std::uint32_t id = 0;
    const auto [end, error] = std::from_chars(text.data() + 2, text.data() + 10, id, 16);
    if (error != std::errc{} || end != text.data() + 10) return std::nullopt;
    return SfuId{id};
}

Message finishMessage(const std::string& tag, int cause) {
    Message message;
    message.verb = "FINISH";
    message.tag = tag;
    message.cause = cause;
    return message;
}

struct ParsedSetup {
    SubscriptionRequest subscription;
    Micros timeLeft = 0;             // until the client timeout
    std::optional<SfuId> playingOn;  // handed over: it plays there already
};
// Returns nothing if the set-up is unusable, and then sets `why`. `maxTimeLeft` limits the client timeout.
std::optional<ParsedSetup> parseSetup(const Message& message, const SetupConstraints& constraints,
                                      Micros maxTimeLeft, const char*& why) {
    ParsedSetup setup;
    const auto reject = [&](const char* reason) {
        why = reason;
        return std::nullopt;
    };
    const std::string *room = message.textOption("class"), *title = message.textOption("key"),
                      *extras = message.textOption("extras");
    if (!room) return reject("no class");
    const auto found = std::find(constraints.roomNames.begin(), constraints.roomNames.end(), *room);
    if (found == constraints.roomNames.end()) return reject("unknown class");
    setup.subscription.room = RoomTypeId{static_cast<std::uint32_t>(found - constraints.roomNames.begin())};
    if (!title || title->empty()) return reject("no title");
    setup.subscription.title = TitleId{*title};
    if (!message.description) return reject("no description");
    if (message.options.contains("hint")) {
        const auto hint = message.numberOption("hint");
        if (!hint || *hint < 0 || *hint > kMaxHintMs) return reject("no usable 'hint'");
        setup.subscription.watchSeconds = *hint / 1000;
    }
    if (!extras) return reject("no extras");
    const auto fields = parseExtras(*extras);
    if (!fields) return reject("extras can't be read");
    const auto integerField = [&](const char* name, int min, int max) -> std::optional<int> {
        const auto it = fields->find(name);
        return it == fields->end() ? std::nullopt : parseInt(it->second, min, max);
    };
    const auto home = integerField("home", 0, constraints.cellCount - 1),
               copies = integerField("copies", 1, constraints.cellCount), top = integerField("top", 0, 1000);
    if (!home || !copies || !top) return reject("no usable 'home', 'copies' or 'top'");
    setup.subscription.firstCell = Cell{static_cast<std::uint32_t>(*home)};
    setup.subscription.holders = *copies;
    setup.subscription.maxRung = std::min(*top, constraints.rungCount - 1);
    if (const auto server = fields->find("at"); server != fields->end()) {
        setup.playingOn = parseServerId(server->second);
        if (!setup.playingOn) return reject("no usable 'at'");
        return setup;  // nobody waits for an answer, so 'left' means nothing
    }
    const auto left = message.numberOption("left");
    if (!left || *left <= 0 || *left * 1000 > static_cast<double>(maxTimeLeft))
        return reject("no usable 'left'");
    setup.timeLeft = static_cast<Micros>(*left * 1000);
    return setup;
}

}  // namespace

class Viewers::Connection final : public LineConnectionHandler {
  public:
    Connection(Viewers& owner, std::uint64_t key, std::unique_ptr<net::Stream> stream)
        : owner(owner),
          key(key),
          acceptedAt(owner.net_.now()),
          transport(
              owner.net_, {owner.turns_, owner.buffers_}, std::move(stream),
              LineConnection::Limits{kMaxLineBytes, owner.limits_.maxUnsentBytes, owner.limits_.lineTimeout},
              *this, owner.lingering_) {}
    // The least useful connection is closed first when room is needed, of equal ones the longest silent.
    auto usefulness() const { return std::tuple(hasPlayed, hasSetup, isProven, transport.lastReceivedAt()); }
    bool isNeeded() const { return !openSetups.empty() || playingCount > 0; }
    void onLine(std::string_view bytes) override { owner.onLine(*this, bytes); }
    void onPeerFinished() override {
        hasPeerFinished = true;
        owner.giveUpOpenSetups(*this);
    }
    void onDisconnect(DisconnectReason reason) override {
        if (reason == DisconnectReason::Malformed) ++owner.counts_.unreadable;
        if (reason == DisconnectReason::OverMemoryLimit)
            owner.reportAnomaly_("a viewer's connection held too much of the memory limit", "");
        owner.onConnectionClosed(*this);
    }
    Viewers& owner;
    std::uint64_t key;
    Micros acceptedAt;
    // It has brought a usable message; a set-up; a subscription that played.
    bool isProven = false, hasSetup = false, hasPlayed = false;
    bool wasSilent = false;        // at the last cleanup
    bool hasPeerFinished = false;  // the viewer has closed it: what is unread was sent before
    bool isOverflow = false;       // accepted without room: its set-ups are refused
    std::set<SubId> openSetups;    // without an answer
    int unusableCount = 0;         // set-ups
    std::size_t playingCount = 0;  // playing subscriptions that were set up on it
    LineConnection transport;
};

struct Viewers::Subscription {
    SetupRequest request;
    std::uint64_t connectionKey = 0;  // of the connection that it was set up on, which may be closed
    bool isPaid = false, mayHaveRun = false;
    bool isPlaying = false, isLeaving = false;
    bool isGivenUp = false;  // by its viewer, before the answer; the end of its attempt is awaited
    std::string answer;      // the media server's description, until it is passed on
    std::unique_ptr<net::Timer> endTimer;  // the viewer left: the media server has until then to confirm
};

Viewers::Viewers(net::Net& net, const net::Endpoint& listenAddress, const ViewerLimits& limits,
                 SetupConstraints constraints)
    : net_(net),
      listenAddress_(listenAddress),
      limits_(limits),
      constraints_(std::move(constraints)),
      turns_(net),
      buffers_(net, limits.maxBufferedBytes),
      lingering_(net, buffers_, {limits.maxConnections, limits.lingerTimeout, limits.maxLingerBytes}),
      spentPaidTags_({kMaxSpentPaidTags, kSpentPaidTagLifetime}),
      deletionTimer_(net, [this] { closedConnections_.clear(); }),
      cleanupTimer_(net, [this] { cleanUp(); }) {}
Viewers::~Viewers() = default;

void Viewers::listen() {
    listener_ = net_.listen(listenAddress_, *this);
    endpoint_ = listener_->endpoint();
    cleanupTimer_.after(kCleanupInterval);
}

// ================= connections =================

// A sixteenth of the connections is reserved for those that arrive while all others are needed: they are
// read, refused and closed.
void Viewers::onAccepted(std::unique_ptr<net::Stream> stream) {
    ++counts_.accepted;
    const std::size_t reserved = std::max<std::size_t>(1, limits_.maxConnections / 16);
    const bool hasRoom = evictUntilBelow(limits_.maxConnections - reserved, false);
    const bool isWithinLimit = hasRoom || evictUntilBelow(limits_.maxConnections, true);
    const std::uint64_t key = nextConnectionKey_++;
    Connection& connection =
        *(connections_[key] = std::make_unique<Connection>(*this, key, std::move(stream)));
    connection.isOverflow = !hasRoom;
    // Most send a request as soon as they are connected: read it before the connection may be closed.
    connection.transport.readAvailable();
    if (!isWithinLimit && !connection.transport.isClosed()) closeConnection(connection);
}

// Closes lingering connections, then the least useful ones, until there are fewer than `limit`. Guards
// against many silent connections, or ones that only send tests, which keep out requests or displace viewers
// that play. A connection with an open set-up or a playing subscription is never closed, as the answer or
// release must go out on it. Unread input may be a set-up, so it is read before the connection is closed.
// Returns false if none can be closed.
bool Viewers::evictUntilBelow(std::size_t limit, bool includeOverflow) {
    for (std::size_t attempts = connections_.size(); connections_.size() + lingering_.size() >= limit;) {
        if (lingering_.size() > 0) {
            lingering_.closeOldest();
            continue;
        }
        Connection* candidate = nullptr;
        for (const auto& [key, connection] : connections_)
            if (!connection->isNeeded() && (includeOverflow || !connection->isOverflow) &&
                (!candidate || connection->usefulness() < candidate->usefulness()))
                candidate = connection.get();
        if (!candidate) return false;
        const auto usefulnessBefore = candidate->usefulness();
        candidate->transport.readAvailable();
        if (candidate->transport.isClosed()) continue;  // because of its input
        if (candidate->isNeeded() || candidate->usefulness() != usefulnessBefore) {
            if (attempts-- > 0) continue;
            return false;  // guards against many connections that each send something when read
        }
        ++counts_.evicted;
        closeConnection(*candidate);
    }
    return true;
}

void Viewers::closeConnection(Connection& connection) {
    connection.transport.close();
    onConnectionClosed(connection);
}

// A viewer that closes its connection has given up its open set-ups.
void Viewers::onConnectionClosed(Connection& connection) {
    const auto it = connections_.find(connection.key);
    if (it == connections_.end()) return;
    closedConnections_.push_back(std::move(it->second));
    connections_.erase(it);
    deletionTimer_.soon();
    for (auto release = unconfirmedReleases_.begin(); release != unconfirmedReleases_.end();) {
        if (release->second.connectionKey != connection.key) {
            ++release;
            continue;
        }
        queueRelease(release->second.sentAt, release->first, std::move(release->second.line));
        release = unconfirmedReleases_.erase(release);
    }
    giveUpOpenSetups(connection);
}

void Viewers::giveUpOpenSetups(Connection& connection) {
    const std::set<SubId> openSetups = std::exchange(connection.openSetups, {});
    for (const SubId id : openSetups) {
        ++counts_.givenUp;
        if (const auto it = subscriptions_.find(id); it != subscriptions_.end()) it->second.isGivenUp = true;
        core_->unsubscribe(id);
    }
}

void Viewers::cleanUp() {
    cleanupTimer_.after(kCleanupInterval);
    const Micros now = net_.now();
    std::vector<Connection*> idle;
    for (const auto& [key, connection] : connections_) {
        if (!connection->openSetups.empty()) continue;
        const Micros idleTime =
            now - std::max(connection->transport.lastReceivedAt(), connection->transport.lastSentAt());
        const bool isSilent = connection->isProven
                                  ? idleTime > limits_.idleTimeout && connection->playingCount == 0
                                  : now - connection->acceptedAt > limits_.firstMessageTimeout;
        // Closed only if two cleanups in a row find it silent: a process that was not scheduled for a while
        // runs its timers before it reads.
        if (std::exchange(connection->wasSilent, isSilent) && isSilent) idle.push_back(connection.get());
    }
    for (Connection* connection : idle) {
        counts_.silent += !connection->isProven;
        closeConnection(*connection);
    }
    spentPaidTags_.expire(now);
    sendUndelivered();
    while (!undeliveredReleases_.empty() &&
           now - undeliveredReleases_.front().releasedAt > limits_.releaseTimeout) {
        ++counts_.undelivered;
        undeliveredReleases_.pop_front();
    }
    std::erase_if(unconfirmedReleases_, [&](const auto& release) {
        return now - release.second.sentAt > limits_.confirmationTimeout;
    });
}

// ================= received messages =================

void Viewers::onLine(Connection& connection, std::string_view line) {
    ++lineCount_;
    const auto message = parseMessage(line);
    if (!message) {
        ++counts_.unreadable;
        reportAnomaly_("a viewer's line can't be read", line.substr(0, 200));
        return closeConnection(connection);
    }
    if (message->verb == "START") return onSetup(connection, *message);
    if (message->verb == "FINISH") return onFinishMessage(connection, *message);
    if (message->verb == "ECHO") {
        ++counts_.tests;
        connection.isProven = true;
        Message reply;
        reply.verb = "ECHOED";
        reply.tag = message->tag;
        reply.cause = 1;
        connection.transport.send(formatMessage(reply));
    } else if (message->verb == "FINISHED") {
        if (const auto release = unconfirmedReleases_.find(message->tag);
            release != unconfirmedReleases_.end())
            unconfirmedReleases_.erase(release);
    } else if (message->verb != "PENDING") {
        return rejectUnusable(connection, *message, "unknown verb");
    }
}

// Refuses an unusable message, which reaches neither the core nor a media server.
void Viewers::rejectUnusable(Connection& connection, const Message& message, const char* why) {
    ++counts_.unusable;
    reportAnomaly_(why, formatMessage(message));
    const std::string& tag = message.tag;
    connection.transport.send(formatMessage(finishMessage(isValidTag(tag) ? tag : "", kCauseUnusable)));
    // Guards against a peer that resends as soon as it is refused and takes up the processor.
    if (++connection.unusableCount >= kMaxUnusableSetups) closeConnection(connection);
}

void Viewers::onSetup(Connection& connection, const Message& message) {
    if (!isValidTag(message.tag)) return rejectUnusable(connection, message, "no id");
    const char* why = "";
    const auto setup = parseSetup(message, constraints_, limits_.maxClientTimeout, why);
    const auto known = byTag_.find(message.tag);
    if (known != byTag_.end()) {
        if (setup && setup->playingOn) return;  // handed over again
        if (subscriptions_.at(known->second).isGivenUp) return refuseRepeated(connection, message);
        // Two set-ups with one tag: an answer would be ambiguous, so neither is served. The first continues
        // if it came on another connection, so that nobody can end it by guessing its tag.
        ++counts_.duplicateTags;
        const SubId id = known->second;
        if (connection.openSetups.count(id)) {
            connection.transport.send(formatMessage(finishMessage(message.tag, kCauseUnusable)));
            connection.openSetups.erase(id);
            core_->unsubscribe(id);
        }
        return closeConnection(connection);
    }
    if (!setup) return rejectUnusable(connection, message, why);
    if (connection.hasPeerFinished && !setup->playingOn) return;  // given up already
    connection.isProven = connection.hasSetup = true;
    if (!setup->playingOn && spentPaidTags_.find(message.tag)) return refuseRepeated(connection, message);
    SetupRequest setupRequest{message.tag, *message.textOption("class"), *message.textOption("key"),
                              *message.description};
    if (setup->playingOn) {
        ++counts_.handedOver;
        const auto id = servers_->isKnown(*setup->playingOn)
                            ? core_->adopt(*this, setup->subscription, *setup->playingOn)
                            : std::nullopt;
        if (!id) {  // playback on a server that no longer exists is over
            connection.transport.send(formatMessage(finishMessage(message.tag, kCauseCut)));
            return;
        }
        Subscription& subscription = subscriptions_[*id];
        setupRequest.description.clear();  // no join needs it
        setupRequest.description.shrink_to_fit();
        subscription.request = std::move(setupRequest);
        subscription.connectionKey = connection.key;
        subscription.isPlaying = connection.hasPlayed = true;
        ++connection.playingCount;
        byTag_[message.tag] = *id;
        servers_->adopt(*id, *setup->playingOn);
        return;
    }
    ++counts_.setups;
    const bool isAccepted = !isDraining_ && !connection.isOverflow &&
                            connection.openSetups.size() < limits_.maxOpenSetups &&
                            setupBytes_ + setupRequest.description.size() <= limits_.maxSetupBytes;
    const auto id = isAccepted ? core_->subscribe(*this, setup->subscription, setup->timeLeft) : std::nullopt;
    if (!id) {
        connection.transport.send(formatMessage(finishMessage(message.tag, kCauseBusy)));
        if (connection.isOverflow) closeConnection(connection);
        return;
    }
    Subscription& subscription = subscriptions_[*id];
    subscription.request = std::move(setupRequest);
    setupBytes_ += subscription.request.description.size();
    subscription.connectionKey = connection.key;
    subscription.isPaid = constraints_.isPaid[setup->subscription.room.v];
    byTag_[message.tag] = *id;
    connection.openSetups.insert(*id);
    core_->start(*id);
}

// A paid set-up comes again after its viewer gave it up, and its first attempt may have run: it must not run
// twice. It has failed; a refusal would say that it never ran.
void Viewers::refuseRepeated(Connection& connection, const Message& message) {
    ++counts_.duplicateTags;
    connection.isProven = connection.hasSetup = true;
    connection.transport.send(formatMessage(finishMessage(message.tag, kCauseFailed)));
}

void Viewers::onJoinMayHaveRun(SubId id) {
    if (const auto it = subscriptions_.find(id); it != subscriptions_.end()) it->second.mayHaveRun = true;
}

void Viewers::onFinishMessage(Connection& connection, const Message& message) {
    const auto known = byTag_.find(message.tag);
    if (known == byTag_.end()) {
        Message reply;
        reply.verb = "FINISHED";
        reply.tag = message.tag;
        connection.transport.send(formatMessage(reply));
        return;
    }
    const SubId id = known->second;
    Subscription& subscription = subscriptions_.at(id);
    if (!subscription.isPlaying) {
        ++counts_.givenUp;
        if (const auto it = connections_.find(subscription.connectionKey); it != connections_.end())
            it->second->openSetups.erase(id);
        subscription.isGivenUp = true;
        core_->unsubscribe(id);
        return;
    }
    if (subscription.isLeaving) return;
    ++counts_.leftPlaying;
    endPlayback(id, subscription);
}

// The viewer has left. The seat stays taken until the media server confirms the end, or endTimeout.
void Viewers::endPlayback(SubId id, Subscription& subscription) {
    subscription.isLeaving = true;
    subscription.endTimer = std::make_unique<net::Timer>(net_, [this, id] { core_->unsubscribe(id); });
    subscription.endTimer->after(limits_.endTimeout);
    servers_->endPlayback(id);
}

// ================= sent messages =================

// Sends on the connection that the subscription was set up on, if it is open; a release may use any other.
void Viewers::sendToViewer(SubId id, const Message& message, bool isRelease) {
    const auto it = subscriptions_.find(id);
    if (it == subscriptions_.end()) return;
    const std::string line = formatMessage(message);
    if (const auto connection = connections_.find(it->second.connectionKey);
        connection != connections_.end()) {
        connection->second->openSetups.erase(id);
        if (isRelease)
            sendRelease(*connection->second, message.tag, line);
        else
            connection->second->transport.send(line);
        return;
    }
    if (!isRelease) return;
    queueRelease(net_.now(), message.tag, line);
    sendUndelivered();
}

void Viewers::sendRelease(Connection& connection, const std::string& tag, const std::string& line) {
    connection.transport.send(line);
    if (unconfirmedReleases_.size() < limits_.maxUndeliveredReleases)
        unconfirmedReleases_[tag] = {net_.now(), connection.key, line};
}

void Viewers::queueRelease(Micros releasedAt, std::string tag, std::string line) {
    if (undeliveredReleases_.size() >= limits_.maxUndeliveredReleases) {  // drops the oldest
        ++counts_.undelivered;
        undeliveredReleases_.pop_front();
    }
    undeliveredReleases_.push_back({releasedAt, std::move(tag), std::move(line)});
}

// Sends the releases whose own connection is closed on a connection of viewers whose subscriptions play. Any
// other may belong to somebody who ignores them; it is used only if no better one has appeared for
// anyConnectionAfter.
void Viewers::sendUndelivered() {
    if (undeliveredReleases_.empty()) return;
    Connection* candidate = nullptr;
    const auto rank = [](const Connection& c) {
        return std::tuple(c.playingCount > 0, c.hasPlayed, c.hasSetup, c.transport.lastReceivedAt());
    };
    for (const auto& [key, connection] : connections_)
        if (connection->isProven && (!candidate || rank(*connection) > rank(*candidate)))
            candidate = connection.get();
    // Stops at half of the output limit: beyond the limit the connection would be closed as a slow reader.
    while (candidate && !undeliveredReleases_.empty() &&
           candidate->transport.unsentBytes() < limits_.maxUnsentBytes / 2 &&
           (candidate->hasPlayed ||
            net_.now() - undeliveredReleases_.front().releasedAt > limits_.anyConnectionAfter)) {
        const UndeliveredRelease next = std::move(undeliveredReleases_.front());
        undeliveredReleases_.pop_front();
        sendRelease(*candidate, next.tag, next.line);
    }
}

void Viewers::release(SubId id, int cause) {
    const auto it = subscriptions_.find(id);
    if (it == subscriptions_.end() || it->second.isLeaving) return;
    ++counts_.released;
    sendToViewer(id, finishMessage(it->second.request.tag, cause), true);
}

void Viewers::onPlaying(SubId id, SfuId, int) {
    const auto it = subscriptions_.find(id);
    if (it == subscriptions_.end()) return;
    ++counts_.played;
    it->second.isPlaying = true;
    if (const auto connection = connections_.find(it->second.connectionKey);
        connection != connections_.end()) {
        ++connection->second->playingCount;
        connection->second->hasPlayed = true;
    }
    Message answer;
    answer.verb = "STARTED";
    answer.tag = it->second.request.tag;
    answer.description = std::move(it->second.answer);
    it->second.answer.clear();
    discardDescription(it->second);  // no further join needs it
    sendToViewer(id, answer, false);
}

void Viewers::discardDescription(Subscription& subscription) {
    setupBytes_ -= subscription.request.description.size();
    std::string().swap(subscription.request.description);
}

void Viewers::onThrottled(SubId id, Micros retryAfter) {
    ++counts_.throttled;
    const auto it = subscriptions_.find(id);
    if (it == subscriptions_.end()) return;
    Message refusal = finishMessage(it->second.request.tag, kCauseBusy);
    if (retryAfter > 0) refusal.options["wait"] = std::to_string((retryAfter + 999) / 1000);
    sendToViewer(id, refusal, false);
}

void Viewers::onTerminated(SubId id, core::TerminationReason reason) {
    ++counts_.terminated;
    const auto it = subscriptions_.find(id);
    if (it != subscriptions_.end())
        sendToViewer(
            id,
            finishMessage(it->second.request.tag,
                          reason == core::TerminationReason::TimedOut ? kCauseTimedOut : kCauseFailed),
            false);
}

void Viewers::onRungChanged(SubId id, int rung) {
    servers_->setRung(id, rung);
}
void Viewers::onServerLost(SubId id) {
    release(id, kCauseCut);
}
void Viewers::onFinished(SubId id) {
    release(id, kCauseNormal);
}

void Viewers::releaseAll() {
    isDraining_ = true;
    for (auto& [id, subscription] : subscriptions_) {
        if (!subscription.isPlaying || subscription.isLeaving) continue;
        release(id, kCauseCut);
        endPlayback(id, subscription);
    }
}

void Viewers::failOpenSetups() {
    std::vector<SubId> unanswered;
    for (const auto& [key, connection] : connections_)
        unanswered.insert(unanswered.end(), connection->openSetups.begin(), connection->openSetups.end());
    for (const SubId id : unanswered) {
        sendToViewer(id, finishMessage(subscriptions_.at(id).request.tag, kCauseFailed), false);
        core_->unsubscribe(id);
    }
}

void Viewers::closeAll() {
    isDraining_ = true;
    if (listener_) listener_->acceptPending();
    listener_.reset();
    while (!connections_.empty()) {
        Connection& connection = *connections_.begin()->second;
        connection.transport.readAvailable();
        if (!connection.transport.isClosed()) closeConnection(connection);
    }
}

// ================= ServersHandler =================

const SetupRequest* Viewers::findSetupRequest(SubId id) {
    const auto it = subscriptions_.find(id);
    return it == subscriptions_.end() ? nullptr : &it->second.request;
}
void Viewers::onAnswer(SubId id, const std::string& description) {
    const auto it = subscriptions_.find(id);
    if (it != subscriptions_.end()) it->second.answer = description;
}
void Viewers::onPlaybackEnded(SubId id, JoinResult end, int, const LoadReport& load) {
    const auto it = subscriptions_.find(id);
    if (it != subscriptions_.end() && it->second.isLeaving)
        core_->unsubscribe(id);  // its viewer has left and gets no release
    else
        core_->onPlaybackEnded(id, end, load);
}

void Viewers::forget(SubId id) {
    const auto it = subscriptions_.find(id);
    if (it == subscriptions_.end()) return;
    if (const auto connection = connections_.find(it->second.connectionKey);
        connection != connections_.end()) {
        connection->second->openSetups.erase(id);
        if (it->second.isPlaying && connection->second->playingCount > 0) --connection->second->playingCount;
    }
    discardDescription(it->second);
    if (it->second.isPaid && it->second.mayHaveRun)
        spentPaidTags_.add(it->second.request.tag, MayHaveRun{}, net_.now());
    byTag_.erase(it->second.request.tag);
    subscriptions_.erase(it);
}

}  // namespace valekeel::node
