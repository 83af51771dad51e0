#include "node/changelog.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace valekeel::node {
namespace {

constexpr std::size_t kFrameHeaderBytes = 9;  // sequence number (8), frame kind (1); after the length (4)
constexpr std::size_t kEntryBytes = 27;       // one media server

std::uint64_t readBigEndian(const char* data, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(data[i]);
    return value;
}

std::uint32_t parseServerId(const std::string& text, const std::string& where) {
    std::uint32_t id = 0;
    if (text.size() == 10 && text.compare(0, 2, "s-") == 0) {
        const auto [end, error] = std::from_chars(text.data() + 2, text.data() + 10, id, 16);
        if (error == std::errc{} && end == text.data() + 10) return id;
    }
    setup::throwInvalid(where, "'instanceId' is not 's-' and 8 hex digits");
}

ServerState parseServerState(const std::string& text, const std::string& where) {
    if (text == "active") return ServerState::On;
    if (text == "leaving") return ServerState::Draining;
    if (text == "left") return ServerState::Off;
    setup::throwInvalid(where, "lifecycle '" + text + "' is not one of active, leaving, left");
}

}  // namespace

std::vector<ChangeEvent> parseKnownEvents(const setup::Json& known, const discovery::ListNames& names) {
    std::vector<ChangeEvent> events;
    std::size_t index = 0;
    for (const setup::Json& result : setup::array(known, "results", "known")) {
        const std::string where = "known.results[" + std::to_string(index++) + "]";
        ChangeEvent event;
        event.sequenceNumber = static_cast<std::uint64_t>(setup::integer(result, "seq", where));
        const setup::Json& fleet = setup::objectAt(result, "fleet", where);
        event.isFullList = setup::flag(fleet, "reset", where) || events.empty();
        for (const setup::Json& instance : setup::array(fleet, "instances", where)) {
            discovery::ServerListEntry entry;
            entry.sfu.id = SfuId{parseServerId(setup::text(instance, "instanceId", where), where)};
            entry.sfu.state = parseServerState(setup::text(instance, "lifecycle", where), where);
            if (const auto endpoint = net::parseEndpoint(setup::textOr(instance, "hostPort", "", where)))
                entry.endpoint = *endpoint;
            else if (entry.sfu.state != ServerState::Off)
                setup::throwInvalid(where, "'hostPort' is not an address and a port");
            if (setup::find(instance, "zone"))
                entry.sfu.zone =
                    ZoneId{setup::indexOf(names.zones, setup::text(instance, "zone", where), where)};
            if (setup::find(instance, "machineType"))
                entry.sfu.kind = MachineKindId{
                    setup::indexOf(names.kinds, setup::text(instance, "machineType", where), where)};
            entry.sfu.cell = Cell{setup::find(instance, "cell") ? setup::uint32(instance, "cell", where) : 0};
            entry.sfu.size = setup::numberOr(instance, "weight", 1, where);
            entry.sfu.launched =
                static_cast<Micros>(setup::numberOr(instance, "startedAtMs", 0, where)) * 1000;
            event.entries.push_back(entry);
        }
        events.push_back(std::move(event));
    }
    return events;
}

bool FrameReader::feed(std::string_view bytes,
                       const std::function<void(const ChangeEvent&, bool isHeartbeat)>& onFrame) {
    buffer_ += bytes;
    std::size_t offset = 0;
    const auto remaining = [&] { return buffer_.size() - offset; };
    while (remaining() >= 4) {
        const std::uint64_t length = readBigEndian(buffer_.data() + offset, 4);
        if (length < kFrameHeaderBytes || length > kFrameHeaderBytes + maxEntries_ * kEntryBytes ||
            (length - kFrameHeaderBytes) % kEntryBytes != 0)
            return false;
        if (remaining() < 4 + length) break;
        const char* frame = buffer_.data() + offset + 4;
        ChangeEvent event;
        event.sequenceNumber = readBigEndian(frame, 8);
        const int kind = frame[8];
        if (kind < 0 || kind > 2 || (kind == 0 && length != kFrameHeaderBytes)) return false;
        event.isFullList = kind == 1;
        for (std::size_t entryOffset = kFrameHeaderBytes; entryOffset < length; entryOffset += kEntryBytes) {
            const char* data = frame + entryOffset;
            discovery::ServerListEntry entry;
            const auto state = readBigEndian(data + 10, 1), zone = readBigEndian(data + 11, 1),
                       machineKind = readBigEndian(data + 12, 1);
            if (state > 2 || zone >= std::max<std::size_t>(1, zoneCount_) || machineKind >= kindCount_)
                return false;
            entry.sfu.id = SfuId{static_cast<std::uint32_t>(readBigEndian(data, 4))};
            entry.endpoint.ip = net::IpAddress(
                boost::asio::ip::address_v4(static_cast<std::uint32_t>(readBigEndian(data + 4, 4))));
            entry.endpoint.port = static_cast<std::uint16_t>(readBigEndian(data + 8, 2));
            entry.sfu.state = state == 0   ? ServerState::On
                              : state == 1 ? ServerState::Draining
                                           : ServerState::Off;
            entry.sfu.zone = ZoneId{static_cast<std::uint32_t>(zone)};
            entry.sfu.kind = MachineKindId{static_cast<std::uint32_t>(machineKind)};
            entry.sfu.cell = Cell{static_cast<std::uint32_t>(readBigEndian(data + 13, 2))};
            entry.sfu.size = static_cast<double>(readBigEndian(data + 15, 4)) / 1000;
            entry.sfu.launched = static_cast<Micros>(readBigEndian(data + 19, 8)) * 1000;
            event.entries.push_back(entry);
        }
        onFrame(event, kind == 0);
        offset += 4 + length;
    }
    buffer_.erase(0, offset);
    return true;
}

ChangeLogClient::ChangeLogClient(net::Net& net, const net::Endpoint& endpoint,
                                 std::uint64_t lastSequenceNumber, FrameReader reader,
                                 const ChangeLogTimings& timings, ChangeLogHandler& handler)
    : net_(net),
      endpoint_(endpoint),
      lastSequenceNumber_(lastSequenceNumber),
      reader_(std::move(reader)),
      timings_(timings),
      handler_(handler),
      silenceTimer_(net, [this] { onSilence(); }),
      reconnectTimer_(net, [this] { connect(); }),
      readTimer_(net, [this] { onReadable(); }),
      reconnectDelay_(timings.reconnectDelay),
      silenceTimeout_(timings.silenceTimeout) {}
ChangeLogClient::~ChangeLogClient() = default;

void ChangeLogClient::connect() {
    // Unread events on the old connection arrived in time, and the next peer may not be up yet.
    if (stream_) onReadable();
    reconnectTimer_.cancel();
    readTimer_.cancel();
    reader_.reset();
    isRequestSent_ = hasReceivedFrame_ = false;
    stream_ = net_.connect(endpoint_, *this);
    silenceTimer_.after(timings_.connectTimeout);
}

// Keeps reading the old connection until the timer opens the next one, so that no callback runs in the middle
// of a switch. The delay is random because all fronts are told to switch at the same time.
void ChangeLogClient::switchTo(const net::Endpoint& endpoint) {
    if (endpoint == endpoint_ && stream_) return;  // if that one is about to end, its loss is noticed
    endpoint_ = endpoint;
    reconnectDelay_ = timings_.reconnectDelay;
    silenceTimeout_ = timings_.silenceTimeout;
    isHealthy_ = true;
    reconnectTimer_.after(
        static_cast<Micros>(net_.randomBits() % static_cast<std::uint64_t>(timings_.reconnectDelay)));
}

void ChangeLogClient::onConnected() {
    std::array<char, 8> request;
    for (std::size_t i = 0; i < 8; ++i)
        request[i] = static_cast<char>(lastSequenceNumber_ >> (56 - 8 * i) & 0xff);
    const net::IoResult written = stream_->write(std::string_view(request.data(), request.size()));
    if (written.bytes != request.size()) return onConnectionLost("request could not be sent");
    isRequestSent_ = true;
    requestedAt_ = net_.now();
    silenceTimer_.after(silenceTimeout_);
}

void ChangeLogClient::onReadable() {
    if (!stream_ || !isRequestSent_) return;
    std::array<char, 8192> buffer;
    for (int reads = 0; reads < 16; ++reads) {
        const net::IoResult result = stream_->read(buffer);
        if (result.status == net::IoResult::Status::WouldBlock) return;
        if (result.status != net::IoResult::Status::Ready) return onConnectionLost("connection lost");
        hasGap_ = false;
        const bool isWellFormed =
            reader_.feed(std::string_view(buffer.data(), result.bytes),
                         [this](const ChangeEvent& event, bool isHeartbeat) { onFrame(event, isHeartbeat); });
        if (!isWellFormed) return onConnectionLost("malformed frame");
        if (hasGap_) return onConnectionLost("missing event");
    }
    readTimer_.soon();
}

void ChangeLogClient::onFrame(const ChangeEvent& event, bool isHeartbeat) {
    if (hasGap_) return;
    // Only complete frames count as activity: guards against a peer that stops in the middle of a frame or
    // sends a byte now and then.
    hasReceivedFrame_ = true;
    silenceTimeout_ = timings_.silenceTimeout;
    silenceTimer_.after(silenceTimeout_);
    if (isHeartbeat) {
        if (event.sequenceNumber > lastSequenceNumber_ && retriedSequenceNumber_ != lastSequenceNumber_ + 1) {
            retriedSequenceNumber_ = lastSequenceNumber_ + 1;
            hasGap_ = true;
            return;
        }
        isHealthy_ = true;
        return handler_.onCurrent();
    }
    if (event.sequenceNumber <= lastSequenceNumber_) return;  // duplicate
    // Requested once more from the gap on; an event that is missing again does not exist.
    if (!event.isFullList && event.sequenceNumber != lastSequenceNumber_ + 1 &&
        retriedSequenceNumber_ != lastSequenceNumber_ + 1) {
        retriedSequenceNumber_ = lastSequenceNumber_ + 1;
        hasGap_ = true;
        return;
    }
    isHealthy_ = true;
    lastSequenceNumber_ = event.sequenceNumber;
    handler_.onChange(event);
}

// Doubles the timeout if the connection brought no frame. Guards against an endless loop of requests when
// each response takes a little longer than the timeout: a long list over a slow path, or a slow first
// response.
void ChangeLogClient::onSilence() {
    if (isRequestSent_ && !hasReceivedFrame_)
        silenceTimeout_ = std::min(2 * silenceTimeout_, timings_.maxSilenceTimeout);
    onConnectionLost(isRequestSent_ ? "silent" : "no connection");
}

void ChangeLogClient::onConnectionLost(const std::string& why) {
    silenceTimer_.cancel();
    readTimer_.cancel();
    // Destroyed at once, so that no later callback arrives. A stream may be destroyed from its own callback.
    stream_.reset();
    // The backoff is reset only after a connection that lasted: guards against all fronts reconnecting at
    // full rate to a peer that closes each connection right after its response.
    if (hasReceivedFrame_ && net_.now() - requestedAt_ >= timings_.heartbeatInterval)
        reconnectDelay_ = timings_.reconnectDelay;
    // All fronts may have lost it at the same time.
    const Micros jitter =
        static_cast<Micros>(net_.randomBits() % static_cast<std::uint64_t>(reconnectDelay_));
    reconnectTimer_.after(reconnectDelay_ / 2 + jitter);
    reconnectDelay_ = std::min(2 * reconnectDelay_, timings_.maxReconnectDelay);
    if (std::exchange(isHealthy_, false)) handler_.onUnreachable(why);
}

}  // namespace valekeel::node
