#include "fakes/platform.hpp"

#include <array>

namespace valekeel::fakes {

using Json = nlohmann::json;

// ================= lines =================

PlatformConnection::PlatformConnection(std::unique_ptr<net::Stream> stream, Heard heard)
    : heard_(std::move(heard)), ready_(true), stream_(std::move(stream)) {
    stream_->setHandler(*this);
}
PlatformConnection::PlatformConnection(net::Net& net, const net::Endpoint& to, Heard heard)
    : heard_(std::move(heard)), ready_(false), stream_(net.connect(to, *this)) {}

void PlatformConnection::onConnected() {
    ready_ = true;
    std::string all;
    all.swap(out_);
    bytes(all);
}
void PlatformConnection::bytes(const std::string& all) {
    if (ended_) return;
    if (!ready_)
        out_ += all;
    else if (!all.empty())
        stream_->write(all);
}
void PlatformConnection::close(bool hard) {
    if (hard && !ended_) stream_->reset();
    ended_ = true;
    ready_ = false;
    stream_.reset();
}
void PlatformConnection::onReadable() {
    std::array<char, 4096> buffer;
    while (!ended_ && ready_) {
        const net::IoResult got = stream_->read(buffer);
        if (got.status == net::IoResult::Status::WouldBlock) return;
        if (got.status != net::IoResult::Status::Ready) return close(false);
        in_.append(buffer.data(), got.bytes);
        for (auto end = in_.find('\n'); end != std::string::npos; end = in_.find('\n')) {
            const Json message = Json::parse(in_.substr(0, end), nullptr, false);
            in_.erase(0, end + 1);
            if (message.is_object()) heard_(*this, message);
            if (ended_) return;
        }
    }
}

// ================= media servers =================

PlatformServer::PlatformServer(net::Net& net, const net::Endpoint& at)
    : net_(net), listener_(net.listen(at, *this)) {}

void PlatformServer::onAccepted(std::unique_ptr<net::Stream> stream) {
    ++connections;
    lines_.push_back(std::make_unique<PlatformConnection>(
        std::move(stream), [this](PlatformConnection& line, const Json& message) { heard(line, message); }));
}

void PlatformServer::start(PlatformConnection& line, const std::string& tag) {
    playing.insert(tag);
    by_[tag] = &line;
    if (saysFirst > 0) sendNotice(tag, "link_use", saysFirst);
    line.send({{"verb", "STARTED"}, {"tag", tag}, {"opts", Json::object()}, {"blob", "words of " + tag}});
}

void PlatformServer::heard(PlatformConnection& line, const Json& message) {
    const std::string verb = message.at("verb"), tag = message.at("tag");
    if (verb == "ECHO") ++tests;
    if (verb == "RATE") rungs.emplace_back(tag, std::stoi(message.at("opts").at("rung").get<std::string>()));
    if (verb == "FINISH") {
        ++cuts;
        if (playing.erase(tag))
            line.send({{"verb", "FINISH"}, {"tag", tag}, {"opts", Json::object()}, {"rc", 31}});
    }
    if (verb != "START") return;
    const Json& opts = message.at("opts");
    setups.push_back({tag, opts.at("key"), opts.at("class"), message.at("blob"), net_.now(),
                      std::stoi(opts.value("rung", "0"))});
    const auto refuse = [&](int cause) {
        line.send({{"verb", "FINISH"}, {"tag", tag}, {"opts", {{"load", "x0:0.5"}}}, {"rc", cause}});
    };
    switch (reaction(tag)) {
        case SetupReaction::Play:
            return start(line, tag);
        case SetupReaction::RefuseFull:
            return refuse(34);
        case SetupReaction::RefuseError:
            return refuse(47);
        case SetupReaction::Reset:
            return line.close(true);
        case SetupReaction::NoAnswer:
            return;
        case SetupReaction::Garbage:
            playing.insert(tag);
            return line.bytes("\x01\xff{noise\n");
        case SetupReaction::PartialLine:
            playing.insert(tag);
            return line.bytes("{\"verb\":\"STARTED\",\"tag\":\"" + tag);
        case SetupReaction::PlayTwice:
            start(line, tag);
            return start(line, tag);
        case SetupReaction::UnknownTagFirst:
            line.send(
                {{"verb", "STARTED"}, {"tag", "00000000deadbeef"}, {"opts", Json::object()}, {"blob", "x"}});
            return start(line, tag);
        case SetupReaction::NoDescription:
            playing.insert(tag);
            return line.send({{"verb", "STARTED"}, {"tag", tag}, {"opts", Json::object()}});
    }
}

// On the connection of the set-up, otherwise on any that stands.
PlatformConnection* PlatformServer::lineOf(const std::string& tag) {
    const auto it = by_.find(tag);
    if (it != by_.end() && !it->second->ended()) return it->second;
    for (const auto& line : lines_)
        if (!line->ended()) return line.get();
    return nullptr;
}
void PlatformServer::end(const std::string& tag, int cause) {
    playing.erase(tag);
    if (PlatformConnection* line = lineOf(tag))
        line->send({{"verb", "FINISH"}, {"tag", tag}, {"opts", {{"load", "x0:0.5"}}}, {"rc", cause}});
}
void PlatformServer::sendNotice(const std::string& tag, const std::string& kind, double value) {
    if (PlatformConnection* line = lineOf(tag))
        line->send({{"verb", "NOTICE"}, {"tag", tag}, {"opts", {{"note", kind}, {"value", value}}}});
}
void PlatformServer::resetConnections() {
    for (const auto& line : lines_) line->close(true);
}
void PlatformServer::die() {
    listener_.reset();
    playing.clear();
    resetConnections();
}

// ================= the change log =================

PlatformChangeLog::PlatformChangeLog(net::Net& net, const net::Endpoint& at)
    : net_(net), listener_(net.listen(at, *this)), beat_(net, [this] { beat(); }) {}

std::string PlatformChangeLog::frame(std::uint64_t number, int kind, const std::vector<Box>& boxes) {
    std::string body;
    const auto put = [](std::string& to, std::uint64_t value, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            to += static_cast<char>(value >> shift & 0xff);
    };
    put(body, number, 8);
    put(body, static_cast<std::uint64_t>(kind), 1);
    for (const Box& box : boxes) {
        put(body, box.id, 4);
        put(body, box.at.ip.to_v4().to_uint(), 4);
        put(body, box.at.port, 2);
        put(body, static_cast<std::uint64_t>(box.state), 1);
        put(body, 0, 2);  // zone, kind
        put(body, static_cast<std::uint64_t>(box.cell), 2);
        put(body, 1000, 4);
        put(body, box.startedMs, 8);
    }
    std::string all;
    put(all, body.size(), 4);
    return all + body;
}

void PlatformChangeLog::onAccepted(std::unique_ptr<net::Stream> stream) {
    stream_ = std::move(stream);
    stream_->setHandler(*this);
    in_.clear();
    following_ = false;
}

void PlatformChangeLog::onReadable() {
    std::array<char, 64> buffer;
    while (stream_) {
        const net::IoResult got = stream_->read(buffer);
        if (got.status == net::IoResult::Status::WouldBlock) return;
        if (got.status != net::IoResult::Status::Ready) return stream_.reset();
        in_.append(buffer.data(), got.bytes);
        if (in_.size() < 8 || following_) continue;
        std::uint64_t from = 0;
        for (int i = 0; i < 8; ++i)
            from = from << 8 | static_cast<unsigned char>(in_[static_cast<std::size_t>(i)]);
        asked.push_back(from);
        following_ = true;
        for (const auto& [number, bytesOf] : events_)
            if (number > from && !silent) bytes(bytesOf);
        beat();
    }
}

void PlatformChangeLog::beat() {
    beat_.after(kSecond);
    if (following_ && !silent) bytes(frame(last, 0, {}));
}
void PlatformChangeLog::add(const std::vector<Box>& boxes, bool whole) {
    ++last;
    events_[last] = frame(last, whole ? 1 : 2, boxes);
    if (!following_ || silent) return;
    bytes(events_[last]);
    if (twice) bytes(events_[last]);
}
void PlatformChangeLog::bytes(const std::string& all) {
    if (stream_) stream_->write(all);
}
void PlatformChangeLog::breakOff() {
    stream_.reset();
    following_ = false;
}

}  // namespace valekeel::fakes
