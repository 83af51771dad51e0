// One TCP connection that carries newline-terminated lines, accepted or opened. Handles a bounded number of
// lines per turn of the event loop, so that a busy peer does not starve the others, but reads ahead of them,
// to learn early that the peer has left. Buffers a limited amount of input and of unsent bytes.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/buffer_budget.hpp"
#include "net/net.hpp"
#include "net/turn_queue.hpp"

namespace valekeel::node {

enum class DisconnectReason {
    Refused,           // nobody listens
    Unreachable,       // no connection in time, or no route
    OutOfDescriptors,  // this process has no file descriptor left
    Closed,            // by the peer, at the end of a line
    Reset,             // by the peer, or a broken connection
    Malformed,         // a line that is too long, or was never completed
    SlowReader,        // too many unsent bytes: the peer doesn't read them
    OverMemoryLimit,   // all connections together held too much, and this one the most
};
// The name in the log.
const char* nameOf(DisconnectReason);

class LineConnectionHandler {
  public:
    virtual ~LineConnectionHandler() = default;
    virtual void onOpen() {}     // the connect succeeded
    virtual void onDrained() {}  // the kernel has taken all that was unsent
    // Called for each line, without its newline. Here and in onDisconnect() the handler may close the
    // connection but must not destroy it before the call returns.
    virtual void onLine(std::string_view) = 0;
    // The peer has closed the connection, or its writing half: what is unread was sent before. At most once,
    // before the lines that are left and onDisconnect().
    virtual void onPeerFinished() {}
    virtual void onDisconnect(DisconnectReason) = 0;  // at most once, and not after close()
};

// Closes connections without losing what was sent just before. A plain close discards unsent bytes, and one
// with unread input resets the connection, which also destroys bytes in flight. So this sends the rest,
// closes the writing half, and discards input until the peer has closed too, within limits on time and bytes.
class LingeringCloser {
  public:
    struct Limits {
        std::size_t maxConnections;  // a further one closes the oldest
        Micros timeout;
        std::size_t maxDiscardedBytes;  // per connection
    };
    // Unsent bytes count towards `buffers`.
    LingeringCloser(net::Net&, net::BufferBudget& buffers, const Limits&);
    ~LingeringCloser();
    Micros timeout() const { return limits_.timeout; }
    // Takes the stream over and sends `unsent` first.
    void add(std::unique_ptr<net::Stream>, std::string unsent);
    void closeOldest();  // frees its descriptor at once
    std::size_t size() const { return entries_.size(); }

  private:
    class Draining;
    void finish(Draining&);
    net::Net& net_;
    net::BufferBudget& buffers_;
    Limits limits_;
    std::list<std::unique_ptr<Draining>> entries_, finished_;
    net::Timer deletionTimer_;
};

class LineConnection final : private net::StreamHandler {
  public:
    struct Limits {
        std::size_t maxLineBytes, maxUnsentBytes;
        Micros lineTimeout;  // how long a line may stay incomplete
    };
    // What all connections of one side share: the event loop, and the memory for unfinished and unsent lines.
    struct Shared {
        net::TurnQueue& turns;
        net::BufferBudget& buffers;
    };
    // An accepted connection. If something
    // was sent on it lately, `lingering` completes its close.
    LineConnection(net::Net&, const Shared&, std::unique_ptr<net::Stream>, const Limits&,
                   LineConnectionHandler&, LingeringCloser& lingering);
    // Opens a connection.
    LineConnection(net::Net&, const Shared&, const net::Endpoint&, Micros connectTimeout, const Limits&,
                   LineConnectionHandler&);
    ~LineConnection() override;

    // Queues a line, which includes its newline, and writes what the kernel takes. Returns the line's offset
    // in the output stream, in bytes. Does nothing after close(). Never calls the handler.
    std::uint64_t send(std::string_view line);
    // Reads what has arrived, a limited amount, without waiting for a turn; may call the handler.
    void readAvailable();
    std::uint64_t writtenBytes() const { return writtenBytes_; }  // bytes that the kernel has taken
    bool canSend() const { return state_ == State::Open && output_.empty(); }  // nothing is unsent
    bool isOpen() const { return state_ == State::Open; }
    bool isClosed() const { return state_ == State::Closed; }
    std::size_t unsentBytes() const { return output_.size(); }
    // With `hard` the peer sees a reset.
    void close(bool hard = false);
    Micros lastReceivedAt() const { return lastReceivedAt_; }  // at first: when it was opened
    Micros lastSentAt() const { return lastSentAt_; }

  private:
    enum class State { Connecting, Open, Closed };
    LineConnection(net::Net&, const Shared&, State, const Limits&, LineConnectionHandler&);
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override;
    void onReadable() override;
    void onWritable() override;
    void flush();
    void disconnect(DisconnectReason);
    void onLineTimeout();
    enum class CloseMode { Reset, Immediate, Lingering };
    void shutDown(CloseMode);
    std::size_t read(std::size_t maxWork);
    std::size_t readInput(std::size_t maxWork);
    void fillInput();
    void waitForTurn();
    bool isOutputBlocked() const { return !isPeerFinished_ && output_.size() > limits_.maxUnsentBytes / 2; }
    std::size_t processLines(std::size_t maxWork);
    bool hasWholeLine() const { return input_.find('\n', lineStart_) != std::string::npos; }
    void updateBuffered() { buffered_.set(input_.capacity() + output_.capacity()); }

    net::Net& net_;
    Limits limits_;
    LineConnectionHandler& handler_;
    State state_;
    const net::BufferBudget& buffers_;
    std::string input_, output_;
    std::size_t lineStart_ = 0;            // in input_, of the first line that the handler has not got
    bool mayHaveUnread_ = false;           // the stream, as reading stopped at its limit
    std::optional<DisconnectReason> end_;  // of the stream, behind what input_ holds
    std::uint64_t queuedBytes_ = 0, writtenBytes_ = 0;  // in total
    Micros lastReceivedAt_, lastSentAt_;
    net::Timer connectTimer_, lineTimer_;
    net::TurnQueue::Member turn_;
    net::BufferBudget::Holder buffered_;
    int lineTimeouts_ = 0;
    bool isPeerFinished_ = false;  // and the handler knows
    std::unique_ptr<net::Stream> stream_, abandonedStream_;
    LingeringCloser* lingering_ = nullptr;
};

}  // namespace valekeel::node
