#include "node/line_connection.hpp"

#include <algorithm>
#include <array>

namespace valekeel::node {
namespace {

constexpr std::size_t kMaxDiscardedBytesPerTurn = 32 * 1024;  // by a lingering close
constexpr std::size_t kMaxReadAvailableWork = 160 * 1024;     // some 250 messages
constexpr std::size_t kReadBytes = 8 * 1024;                  // at once
constexpr std::size_t kMaxReadAhead = 4 * 1024 * 1024;  // as much as a peer's kernel usually holds unsent
constexpr Micros kLineTimeoutRecheck = 10'000;

}  // namespace

const char* nameOf(DisconnectReason reason) {
    static constexpr const char* kNames[] = {
        "refused", "no connection", "no descriptor", "closed",
        "broken",  "garbled",       "slow",          "over the memory limit"};
    return kNames[static_cast<int>(reason)];
}

LineConnection::LineConnection(net::Net& net, const Shared& shared, State state, const Limits& limits,
                               LineConnectionHandler& handler)
    : net_(net),
      limits_(limits),
      handler_(handler),
      state_(state),
      buffers_(shared.buffers),
      lastReceivedAt_(net.now()),
      lastSentAt_(net.now()),
      connectTimer_(net, [this] { disconnect(DisconnectReason::Unreachable); }),
      lineTimer_(net, [this] { onLineTimeout(); }),
      turn_(shared.turns, [this] { return read(net::TurnQueue::kWorkPerTurn); }),
      buffered_(shared.buffers, [this] { disconnect(DisconnectReason::OverMemoryLimit); }) {}

// ================= LingeringCloser =================

class LingeringCloser::Draining final : public net::StreamHandler {
  public:
    Draining(LingeringCloser& closer, std::unique_ptr<net::Stream> stream, std::string unsent)
        : closer_(closer),
          stream_(std::move(stream)),
          output_(std::move(unsent)),
          buffered_(closer.buffers_, [this] { closer_.finish(*this); }),
          timeoutTimer_(closer.net_, [this] { closer_.finish(*this); }),
          readTimer_(closer.net_, [this] { onReadable(); }) {
        stream_->setHandler(*this);
        timeoutTimer_.after(closer_.limits_.timeout);
        readTimer_.soon();  // bytes that are already unread trigger no new edge of epoll
        onWritable();
    }
    void onReadable() override {
        std::array<char, 8192> buffer;
        for (std::size_t budget = kMaxDiscardedBytesPerTurn; budget > 0 && stream_;) {
            const net::IoResult result = stream_->read(buffer);
            if (result.status == net::IoResult::Status::WouldBlock) return;
            // A peer that has closed its writing half may still read: keep sending.
            if (result.status == net::IoResult::Status::EndOfStream && !output_.empty()) return;
            discardedBytes_ += result.bytes;
            if (result.status != net::IoResult::Status::Ready ||
                discardedBytes_ > closer_.limits_.maxDiscardedBytes)
                return closer_.finish(*this);
            budget -= std::min(budget, result.bytes);
        }
        if (stream_) readTimer_.soon();
    }
    void onWritable() override {
        if (!stream_ || isWriteShut_) return;
        const net::IoResult result = stream_->write(output_);
        output_.erase(0, result.bytes);
        buffered_.set(output_.size());
        if (result.status == net::IoResult::Status::Broken)
            return readTimer_.soon();  // the next read fails and finishes this entry
        if (!output_.empty()) return;
        isWriteShut_ = true;
        stream_->shutdownWrite();
        readTimer_.soon();
    }
    void release() {
        timeoutTimer_.cancel();
        readTimer_.cancel();
        buffered_.set(0);
        std::string().swap(output_);
        stream_.reset();
    }

  private:
    LingeringCloser& closer_;
    std::unique_ptr<net::Stream> stream_;
    std::string output_;
    std::size_t discardedBytes_ = 0;
    bool isWriteShut_ = false;
    net::BufferBudget::Holder buffered_;
    net::Timer timeoutTimer_, readTimer_;
};

LingeringCloser::LingeringCloser(net::Net& net, net::BufferBudget& buffers, const Limits& limits)
    : net_(net), buffers_(buffers), limits_(limits), deletionTimer_(net, [this] { finished_.clear(); }) {}
LingeringCloser::~LingeringCloser() = default;

void LingeringCloser::add(std::unique_ptr<net::Stream> stream, std::string unsent) {
    if (entries_.size() >= limits_.maxConnections) closeOldest();
    entries_.push_back(std::make_unique<Draining>(*this, std::move(stream), std::move(unsent)));
}

void LingeringCloser::closeOldest() {
    if (!entries_.empty()) finish(*entries_.front());
}

// Frees the descriptor at once; the entry is destroyed in the next turn, as its own methods may be running.
void LingeringCloser::finish(Draining& entry) {
    entry.release();
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const auto& other) { return other.get() == &entry; });
    finished_.splice(finished_.end(), entries_, it);
    deletionTimer_.soon();
}

// ================= LineConnection =================

LineConnection::LineConnection(net::Net& net, const Shared& shared, std::unique_ptr<net::Stream> stream,
                               const Limits& limits, LineConnectionHandler& handler,
                               LingeringCloser& lingering)
    : LineConnection(net, shared, State::Open, limits, handler) {
    lingering_ = &lingering;
    stream_ = std::move(stream);
    stream_->setHandler(*this);
}

LineConnection::LineConnection(net::Net& net, const Shared& shared, const net::Endpoint& endpoint,
                               Micros connectTimeout, const Limits& limits, LineConnectionHandler& handler)
    : LineConnection(net, shared, State::Connecting, limits, handler) {
    stream_ = net.connect(endpoint, *this);
    connectTimer_.after(connectTimeout);
}

LineConnection::~LineConnection() = default;

std::uint64_t LineConnection::send(std::string_view line) {
    const std::uint64_t offset = queuedBytes_;
    if (state_ == State::Closed) return offset;
    queuedBytes_ += line.size();
    lastSentAt_ = net_.now();
    output_ += line;
    if (state_ == State::Open) flush();
    return offset;
}

// A failed write, or too many unsent bytes, is reported by the read in the next turn, never from within
// send(), whose caller may be in the middle of an operation.
void LineConnection::flush() {
    if (output_.empty() || state_ != State::Open) return;
    const net::IoResult result = stream_->write(output_);
    writtenBytes_ += result.bytes;
    output_.erase(0, result.bytes);
    if (output_.empty() && output_.capacity() > 4096) std::string().swap(output_);
    updateBuffered();
    if (result.status == net::IoResult::Status::Broken || output_.size() > limits_.maxUnsentBytes)
        turn_.wait();
}

void LineConnection::onConnected() {
    state_ = State::Open;
    connectTimer_.cancel();
    lastReceivedAt_ = net_.now();
    flush();
    handler_.onOpen();
}

void LineConnection::onConnectFailed(net::ConnectError error) {
    disconnect(error == net::ConnectError::Refused            ? DisconnectReason::Refused
               : error == net::ConnectError::OutOfDescriptors ? DisconnectReason::OutOfDescriptors
                                                              : DisconnectReason::Unreachable);
}

void LineConnection::onWritable() {
    const bool hadUnsent = !output_.empty();
    flush();
    if (hasWholeLine() || mayHaveUnread_) waitForTurn();
    if (hadUnsent && canSend()) handler_.onDrained();
}

// A peer that does not read gets no further lines handled until it does: responses to them would take its
// connection over the limit of unsent bytes.
void LineConnection::waitForTurn() {
    if (!isOutputBlocked()) turn_.wait();
}

// A connection whose last turn left input waits for its next one, however often more arrives.
void LineConnection::onReadable() {
    if (!turn_.isWaiting()) read(net::TurnQueue::kWorkWhenReadable);
}

void LineConnection::readAvailable() {
    turn_.cancel();
    read(kMaxReadAvailableWork);
}

std::size_t LineConnection::read(std::size_t maxWork) {
    const std::size_t work = readInput(maxWork);
    updateBuffered();
    return work;
}

// Returns the work that was done; takes a further turn if more input may be left.
std::size_t LineConnection::readInput(std::size_t maxWork) {
    if (state_ != State::Open) return 0;
    // Guards against a peer that keeps sending requests and never reads the responses.
    if (output_.size() > limits_.maxUnsentBytes) {
        disconnect(DisconnectReason::SlowReader);
        return 0;
    }
    fillInput();
    if (!isPeerFinished_ && (end_ || stream_->hasPeerFinished())) {
        isPeerFinished_ = true;
        handler_.onPeerFinished();
    }
    const std::size_t work = processLines(maxWork);
    if (state_ != State::Open) return work;
    if (hasWholeLine() || mayHaveUnread_)
        waitForTurn();
    else if (end_)
        disconnect(*end_ == DisconnectReason::Closed && !input_.empty() ? DisconnectReason::Malformed
                                                                        : *end_);
    return work;
}

// Reads what has arrived, up to a limit that is larger while little memory is in use.
void LineConnection::fillInput() {
    const std::size_t limit =
        buffers_.bytes() < buffers_.maxBytes() / 4 ? kMaxReadAhead : limits_.maxLineBytes + kReadBytes;
    std::array<char, kReadBytes> buffer;
    mayHaveUnread_ = false;
    while (!end_) {
        mayHaveUnread_ = input_.size() - lineStart_ >= limit;
        if (mayHaveUnread_) return;
        const net::IoResult result = stream_->read(buffer);
        if (result.status == net::IoResult::Status::WouldBlock) return;
        if (result.status == net::IoResult::Status::Ready) {
            lastReceivedAt_ = net_.now();
            input_.append(buffer.data(), result.bytes);
        } else {
            end_ = result.status == net::IoResult::Status::Broken ? DisconnectReason::Reset
                                                                  : DisconnectReason::Closed;
        }
    }
}

// Passes whole lines to the handler, up to about `maxWork`, and returns the work done.
std::size_t LineConnection::processLines(std::size_t maxWork) {
    std::size_t work = 0;
    std::string input = std::exchange(input_, {});  // the handler may close this connection
    std::size_t start = std::exchange(lineStart_, 0);
    std::size_t end = input.find('\n', start);
    while (state_ == State::Open && end != std::string::npos && work < maxWork && !isOutputBlocked()) {
        if (end - start > limits_.maxLineBytes) {
            disconnect(DisconnectReason::Malformed);
            return work;
        }
        lineTimer_.cancel();
        handler_.onLine(std::string_view(input).substr(start, end - start));
        work += end + 1 - start + net::TurnQueue::kWorkPerMessage;
        start = end + 1;
        end = input.find('\n', start);
    }
    if (state_ != State::Open) return work;
    if (end == std::string::npos && input.size() - start > limits_.maxLineBytes) {
        disconnect(DisconnectReason::Malformed);
        return work;
    }
    if (end == std::string::npos && start < input.size() && !lineTimer_.isSet()) {
        lineTimeouts_ = 0;
        lineTimer_.after(limits_.lineTimeout);
    }
    if (start == input.size()) return work;
    if (start > input.size() / 2) input.erase(0, std::exchange(start, 0));
    input_ = std::move(input);
    lineStart_ = start;
    return work;
}

// The rest of the line may be unread: a process that was not scheduled for a while runs its timers before it
// reads. So the first timeout only reads, and the connection ends at the second, kLineTimeoutRecheck later.
// While the connection waits for its turn, the line is not late.
void LineConnection::onLineTimeout() {
    if (!turn_.isWaiting() && ++lineTimeouts_ > 1) return disconnect(DisconnectReason::Malformed);
    lineTimer_.after(kLineTimeoutRecheck);
    onReadable();
}

void LineConnection::disconnect(DisconnectReason reason) {
    if (state_ == State::Closed) return;
    // Unsent bytes matter only to a peer that may still read: one that sent a malformed line or has only
    // closed its writing half.
    const bool mayStillRead =
        reason == DisconnectReason::Malformed || (reason == DisconnectReason::Closed && !output_.empty());
    shutDown(mayStillRead ? CloseMode::Lingering : CloseMode::Immediate);
    handler_.onDisconnect(reason);
}

void LineConnection::close(bool hard) {
    shutDown(hard ? CloseMode::Reset : CloseMode::Lingering);
}

void LineConnection::shutDown(CloseMode mode) {
    if (state_ == State::Closed) return;
    // A failed connect is reported from within the stream, so the stream object lives as long as this
    // connection. Its descriptor is freed at once, as the next connect may come earlier.
    if (state_ == State::Connecting) {
        abandonedStream_ = std::move(stream_);
        abandonedStream_->reset();
    } else if (mode == CloseMode::Reset) {
        stream_->reset();
    } else if (mode == CloseMode::Lingering && lingering_ &&
               (!output_.empty() || (queuedBytes_ > 0 && net_.now() - lastSentAt_ < lingering_->timeout()))) {
        lingering_->add(std::move(stream_), std::move(output_));
    }
    state_ = State::Closed;
    connectTimer_.cancel();
    turn_.cancel();
    lineTimer_.cancel();
    stream_.reset();
    std::string().swap(input_);
    lineStart_ = 0;
    std::string().swap(output_);
    buffered_.set(0);
}

}  // namespace valekeel::node
