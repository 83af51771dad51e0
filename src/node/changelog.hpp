// Client of the platform's change log, which numbers each change to the list of media servers and sends the
// changes as binary frames over TCP. FrameReader parses frames and has no clock; ChangeLogClient keeps the
// connection up and hands events on in order.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "discovery/server_list.hpp"
#include "net/net.hpp"
#include "setup/values.hpp"

namespace valekeel::node {

struct ChangeEvent {
    std::uint64_t sequenceNumber = 0;
    bool isFullList = false;                          // replaces the whole list; else changes to it
    std::vector<discovery::ServerListEntry> entries;  // `launched` in Unix microseconds
};

// Parses the events in `known`, the configuration's snapshot of the list. The first event counts as a full
// list. Throws setup::InvalidValue.
std::vector<ChangeEvent> parseKnownEvents(const setup::Json& known, const discovery::ListNames&);

// Splits a byte stream into frames.
class FrameReader {
  public:
    // A frame with more than `maxEntries` entries, or an index beyond these counts, is malformed.
    FrameReader(std::size_t kindCount, std::size_t zoneCount, std::size_t maxEntries)
        : kindCount_(kindCount), zoneCount_(zoneCount), maxEntries_(maxEntries) {}
    // Appends bytes and calls `onFrame` for each complete frame. A heartbeat (`isHeartbeat`) has no entries
    // and carries the last sequence number. Returns false if the bytes are malformed: nothing more can be
    // parsed.
    bool feed(std::string_view bytes,
              const std::function<void(const ChangeEvent&, bool isHeartbeat)>& onFrame);
    void reset() { buffer_.clear(); }

  private:
    std::size_t kindCount_, zoneCount_, maxEntries_;
    std::string buffer_;
};

struct ChangeLogTimings {
    Micros connectTimeout = 1'200'000;   // some connections come up late, by up to a second
    Micros heartbeatInterval = kSecond;  // the platform sends a heartbeat this often
    Micros silenceTimeout = 1'500'000;   // without a complete frame; doubled if a connection brought none,
    Micros maxSilenceTimeout = 6 * kSecond;  // up to this
    Micros reconnectDelay = 100'000;     // after a loss, plus or minus half; doubled for each further loss,
    Micros maxReconnectDelay = 400'000;  // up to this
};

class ChangeLogHandler {
  public:
    virtual ~ChangeLogHandler() = default;
    // Called for each new event, in order of sequence numbers. May call ChangeLogClient::switchTo().
    virtual void onChange(const ChangeEvent&) = 0;
    virtual void onCurrent() = 0;  // at each heartbeat without a gap: all events so far have been passed on
    // Called at the first failure after the start, after a switch to another endpoint, or after the last
    // event or heartbeat; not at the failures that follow it.
    virtual void onUnreachable(const std::string& why) = 0;
};

// Keeps a connection to the change log: reconnects with backoff and jitter, requests what follows the last
// event, drops duplicates, and requests once more from a gap before it accepts it.
class ChangeLogClient final : private net::StreamHandler {
  public:
    // `lastSequenceNumber` is the last event already applied. Net and handler must outlive the client.
    ChangeLogClient(net::Net&, const net::Endpoint&, std::uint64_t lastSequenceNumber, FrameReader,
                    const ChangeLogTimings&, ChangeLogHandler&);
    ~ChangeLogClient() override;
    void start() { connect(); }
    // Connects to another endpoint from now on. May be called from within a handler call.
    void switchTo(const net::Endpoint&);
    std::uint64_t lastSequenceNumber() const { return lastSequenceNumber_; }

  private:
    void connect();
    void onConnectionLost(const std::string& why);
    void onSilence();
    void onFrame(const ChangeEvent&, bool isHeartbeat);
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override { onConnectionLost("no connection"); }
    void onReadable() override;
    void onWritable() override {}

    net::Net& net_;
    net::Endpoint endpoint_;
    std::uint64_t lastSequenceNumber_;
    FrameReader reader_;
    ChangeLogTimings timings_;
    ChangeLogHandler& handler_;
    std::unique_ptr<net::Stream> stream_;
    net::Timer silenceTimer_, reconnectTimer_, readTimer_;
    Micros reconnectDelay_, silenceTimeout_, requestedAt_ = 0;  // the current, backed-off values
    bool isHealthy_ = true;                                     // no failure has been reported
    bool hasGap_ = false;                                       // found while reading: an event is missing
    bool isRequestSent_ = false, hasReceivedFrame_ = false;     // on this connection
    std::uint64_t retriedSequenceNumber_ = 0;                   // a missing event, requested once more
};

}  // namespace valekeel::node
