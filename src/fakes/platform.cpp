#include "fakes/platform.hpp"

#include <array>
#include <utility>

namespace valekeel::fakes {

using Json = nlohmann::json;

// ================= PlatformConnection =================

PlatformConnection::PlatformConnection(std::unique_ptr<net::Stream> stream, MessageHandler onMessage)
    : onMessage_(std::move(onMessage)), isOpen_(true), stream_(std::move(stream)) {
    stream_->setHandler(*this);
}
PlatformConnection::PlatformConnection(net::Net& net, const net::Endpoint& endpoint, MessageHandler onMessage)
    : onMessage_(std::move(onMessage)), isOpen_(false), stream_(net.connect(endpoint, *this)) {}

void PlatformConnection::onConnected() {
    isOpen_ = true;
    std::string bytes;
    bytes.swap(output_);
    sendBytes(bytes);
}
void PlatformConnection::sendBytes(const std::string& bytes) {
    if (isClosed_) return;
    if (!isOpen_ || isHeld_)
        output_ += bytes;
    else if (!bytes.empty())
        stream_->write(bytes);
}
void PlatformConnection::releaseOutput() {
    isHeld_ = false;
    const std::string bytes = std::exchange(output_, {});
    sendBytes(bytes);
}
void PlatformConnection::close(bool hard) {
    if (hard && !isClosed_) stream_->reset();
    isClosed_ = true;
    isOpen_ = false;
    stream_.reset();
}
void PlatformConnection::onReadable() {
    std::array<char, 4096> buffer;
    while (!isClosed_ && isOpen_) {
        const net::IoResult result = stream_->read(buffer);
        if (result.status == net::IoResult::Status::WouldBlock) return;
        if (result.status == net::IoResult::Status::EndOfStream && isInputHeld_) {
            isEndHeld_ = true;
            return;
        }
        if (result.status != net::IoResult::Status::Ready) return close(false);
        input_.append(buffer.data(), result.bytes);
        handleInput();
    }
}
void PlatformConnection::handleInput() {
    for (auto end = input_.find('\n'); end != std::string::npos; end = input_.find('\n')) {
        if (isClosed_ || isInputHeld_) return;
        const Json message = Json::parse(input_.substr(0, end), nullptr, false);
        input_.erase(0, end + 1);
        if (message.is_object()) onMessage_(*this, message);
    }
}
void PlatformConnection::releaseInput() {
    isInputHeld_ = false;
    handleInput();
    if (isEndHeld_ && !isClosed_) close(false);
}

// ================= PlatformServer =================

PlatformServer::PlatformServer(net::Net& net, const net::Endpoint& endpoint)
    : net_(net), listener_(net.listen(endpoint, *this)) {}

void PlatformServer::onAccepted(std::unique_ptr<net::Stream> stream) {
    ++connectionCount;
    connections_.push_back(std::make_unique<PlatformConnection>(
        std::move(stream),
        [this](PlatformConnection& connection, const Json& message) { onMessage(connection, message); }));
    for (const Json& release : std::exchange(releasesToRepeat_, {})) connections_.back()->send(release);
}

void PlatformServer::releaseOutput() {
    for (const auto& connection : connections_) connection->releaseOutput();
}

void PlatformServer::sendRelease(PlatformConnection& connection, const Json& release) {
    if (repeatsReleases) releasesToRepeat_.push_back(release);
    connection.send(release);
}

void PlatformServer::start(PlatformConnection& connection, const std::string& tag) {
    playing.insert(tag);
    connectionByTag_[tag] = &connection;
    if (linkUseBeforeAnswer > 0) sendNotice(tag, "link_use", linkUseBeforeAnswer);
    connection.send(
        {{"verb", "STARTED"}, {"tag", tag}, {"opts", Json::object()}, {"blob", "words of " + tag}});
}

void PlatformServer::onMessage(PlatformConnection& connection, const Json& message) {
    const std::string verb = message.at("verb"), tag = message.at("tag");
    if (verb == "ECHO") ++testCount;
    if (verb == "RATE")
        rungChanges.emplace_back(tag, std::stoi(message.at("opts").at("rung").get<std::string>()));
    if (verb == "FINISH") {
        ++finishCount;
        pendingSetups_.erase(tag);
        if (playing.erase(tag)) {
            PlatformConnection* setupConnection = confirmsOnSetupConnection ? connectionFor(tag) : nullptr;
            sendRelease(setupConnection ? *setupConnection : connection,
                        {{"verb", "FINISH"}, {"tag", tag}, {"opts", Json::object()}, {"rc", 31}});
        }
    }
    if (verb != "START") return;
    overlappingSetupCount += playing.count(tag) > 0 || pendingSetups_.count(tag) > 0;
    const Json& opts = message.at("opts");
    setups.push_back({tag, opts.at("key"), opts.at("class"), message.at("blob"), net_.now(),
                      std::stoi(opts.value("rung", "0"))});
    if (holdsOutput(tag)) connection.holdOutput();
    if (setupTime == 0) return react(connection, tag, reaction(tag));
    // Connections are kept until the server ends.
    auto timer = std::make_unique<net::Timer>(net_, [this, &connection, tag, chosen = reaction(tag)] {
        const auto finished = std::move(pendingSetups_.at(tag));
        pendingSetups_.erase(tag);
        if (!connection.isClosed()) react(connection, tag, chosen);
    });
    timer->after(setupTime);
    pendingSetups_[tag] = std::move(timer);
}

void PlatformServer::react(PlatformConnection& connection, const std::string& tag, SetupReaction chosen) {
    const auto refuse = [&](int cause) {
        connection.send({{"verb", "FINISH"}, {"tag", tag}, {"opts", {{"load", "x0:0.5"}}}, {"rc", cause}});
    };
    switch (chosen) {
        case SetupReaction::Play:
            return start(connection, tag);
        case SetupReaction::RefuseFull:
            return refuse(34);
        case SetupReaction::RefuseError:
            return refuse(47);
        case SetupReaction::Reset:
            return connection.close(true);
        case SetupReaction::NoAnswer:
            return;
        case SetupReaction::PlayUnanswered:
            playing.insert(tag);
            connectionByTag_[tag] = &connection;
            return;
        case SetupReaction::Garbage:
            playing.insert(tag);
            return connection.sendBytes("\x01\xff{noise\n");
        case SetupReaction::PartialLine:
            playing.insert(tag);
            return connection.sendBytes("{\"verb\":\"STARTED\",\"tag\":\"" + tag);
        case SetupReaction::PlayTwice:
            start(connection, tag);
            return start(connection, tag);
        case SetupReaction::UnknownTagFirst:
            connection.send(
                {{"verb", "STARTED"}, {"tag", "00000000deadbeef"}, {"opts", Json::object()}, {"blob", "x"}});
            return start(connection, tag);
        case SetupReaction::NoDescription:
            playing.insert(tag);
            return connection.send({{"verb", "STARTED"}, {"tag", tag}, {"opts", Json::object()}});
    }
}

// Returns the connection of the set-up, else any open one, else null.
PlatformConnection* PlatformServer::connectionFor(const std::string& tag) {
    const auto it = connectionByTag_.find(tag);
    if (it != connectionByTag_.end() && !it->second->isClosed()) return it->second;
    for (const auto& connection : connections_)
        if (!connection->isClosed()) return connection.get();
    return nullptr;
}
void PlatformServer::end(const std::string& tag, int cause) {
    playing.erase(tag);
    const Json release = {{"verb", "FINISH"}, {"tag", tag}, {"opts", {{"load", "x0:0.5"}}}, {"rc", cause}};
    if (PlatformConnection* connection = connectionFor(tag))
        sendRelease(*connection, release);
    else if (repeatsReleases)
        releasesToRepeat_.push_back(release);
}
void PlatformServer::sendNotice(const std::string& tag, const std::string& kind, double value) {
    if (PlatformConnection* connection = connectionFor(tag))
        connection->send({{"verb", "NOTICE"}, {"tag", tag}, {"opts", {{"note", kind}, {"value", value}}}});
}
std::vector<PlatformConnection*> PlatformServer::openConnections() const {
    std::vector<PlatformConnection*> open;
    for (const auto& connection : connections_)
        if (!connection->isClosed()) open.push_back(connection.get());
    return open;
}
void PlatformServer::resetConnections() {
    for (const auto& connection : connections_) connection->close(true);
}
void PlatformServer::crash() {
    listener_.reset();
    playing.clear();
    resetConnections();
}

// ================= PlatformChangeLog =================

PlatformChangeLog::PlatformChangeLog(net::Net& net, const net::Endpoint& endpoint)
    : net_(net), listener_(net.listen(endpoint, *this)), heartbeatTimer_(net, [this] { sendHeartbeat(); }) {}

std::string PlatformChangeLog::makeFrame(std::uint64_t sequenceNumber, int kind,
                                         const std::vector<Server>& servers) {
    std::string body;
    const auto append = [](std::string& out, std::uint64_t value, int width) {
        for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
            out += static_cast<char>(value >> shift & 0xff);
    };
    append(body, sequenceNumber, 8);
    append(body, static_cast<std::uint64_t>(kind), 1);
    for (const Server& server : servers) {
        append(body, server.id, 4);
        append(body, server.endpoint.ip.to_v4().to_uint(), 4);
        append(body, server.endpoint.port, 2);
        append(body, static_cast<std::uint64_t>(server.state), 1);
        append(body, 0, 2);  // indexes of zone and machine type
        append(body, static_cast<std::uint64_t>(server.cell), 2);
        append(body, 1000, 4);  // size, in thousandths
        append(body, server.startedMs, 8);
    }
    std::string frame;
    append(frame, body.size(), 4);
    return frame + body;
}

void PlatformChangeLog::onAccepted(std::unique_ptr<net::Stream> stream) {
    stream_ = std::move(stream);
    stream_->setHandler(*this);
    input_.clear();
    isFollowing_ = false;
}

void PlatformChangeLog::onReadable() {
    std::array<char, 64> buffer;
    while (stream_) {
        const net::IoResult result = stream_->read(buffer);
        if (result.status == net::IoResult::Status::WouldBlock) return;
        if (result.status != net::IoResult::Status::Ready) return stream_.reset();
        input_.append(buffer.data(), result.bytes);
        if (input_.size() < 8 || isFollowing_) continue;
        std::uint64_t from = 0;
        for (int i = 0; i < 8; ++i)
            from = from << 8 | static_cast<unsigned char>(input_[static_cast<std::size_t>(i)]);
        requests.push_back(from);
        isFollowing_ = true;
        for (const auto& [sequenceNumber, frame] : events_)
            if (sequenceNumber > from && !isSilent) sendBytes(frame);
        sendHeartbeat();
    }
}

void PlatformChangeLog::sendHeartbeat() {
    heartbeatTimer_.after(kSecond);
    if (isFollowing_ && !isSilent) sendBytes(makeFrame(last, 0, {}));
}
void PlatformChangeLog::add(const std::vector<Server>& servers, bool isFullList) {
    ++last;
    events_[last] = makeFrame(last, isFullList ? 1 : 2, servers);
    if (!isFollowing_ || isSilent) return;
    sendBytes(events_[last]);
    if (sendsTwice) sendBytes(events_[last]);
}
void PlatformChangeLog::sendBytes(const std::string& bytes) {
    if (stream_) stream_->write(bytes);
}
void PlatformChangeLog::closeConnection() {
    stream_.reset();
    isFollowing_ = false;
}

}  // namespace valekeel::fakes
