// The abstract interface to clock, timers, byte streams, datagrams and random bits. Two implementations:
// sockets under epoll (net/epoll.hpp) and a simulated network (net/virtual.hpp). No other package includes a
// socket or clock header. Single-threaded: all calls and callbacks are made on one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "model/ids.hpp"
#include "net/address.hpp"
#include "net/timer_wheel.hpp"

namespace valekeel::net {

// The result of one read or write: how many bytes were moved, and whether more can be.
struct IoResult {
    enum class Status {
        Ready,        // the call can be repeated at once
        WouldBlock,   // wait for onReadable() or onWritable()
        EndOfStream,  // the peer has finished writing
        Broken,       // reset, or never connected; no more bytes will arrive
    };
    std::size_t bytes = 0;
    Status status = Status::Ready;
};

// Why a connect failed.
enum class ConnectError { Refused, Unreachable, OutOfDescriptors };

// Callbacks of a Stream. Notifications are edge-triggered: after onReadable() the handler reads until
// WouldBlock, or remembers that more may be pending. Any callback may delete the stream.
class StreamHandler {
  public:
    virtual ~StreamHandler() = default;
    virtual void onConnected() {}
    virtual void onConnectFailed(ConnectError) {}
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
};

// A non-blocking byte stream. Deleting it closes the connection. The handler must outlive the stream.
class Stream {
  public:
    virtual ~Stream() = default;
    virtual IoResult read(std::span<char>) = 0;
    // Writes as much as fits; the bytes that were not written stay with the caller.
    virtual IoResult write(std::string_view) = 0;
    virtual void shutdownWrite() = 0;  // half-close: the peer reads to the end
    // Whether the peer has closed the connection, or its writing half. What it sent before may be unread.
    virtual bool hasPeerFinished() const { return false; }
    virtual void reset() = 0;  // the peer sees a reset
    virtual Endpoint peer() const = 0;
    virtual void setHandler(StreamHandler&) = 0;
};

// Callback of a Listener.
class ListenerHandler {
  public:
    virtual ~ListenerHandler() = default;
    // Must call setHandler() on the stream before it returns.
    virtual void onAccepted(std::unique_ptr<Stream>) = 0;
};

// A listening socket. Deleting it stops listening.
class Listener {
  public:
    virtual ~Listener() = default;
    virtual Endpoint endpoint() const = 0;  // with the port that was chosen
    // Accepts every connection that is queued in the kernel: deleting the listener would reset those.
    virtual void acceptPending() {}
};

// Callback of a DatagramSocket; `bytes` is valid only during the call.
class DatagramHandler {
  public:
    virtual ~DatagramHandler() = default;
    virtual void onDatagram(const Endpoint& from, std::string_view bytes) = 0;
};

// A bound datagram socket. A datagram that can't be sent at once is dropped.
class DatagramSocket {
  public:
    virtual ~DatagramSocket() = default;
    virtual Endpoint endpoint() const = 0;  // with the port that was chosen
    virtual void send(const Endpoint& to, std::string_view bytes) = 0;
    // How long the datagram now in onDatagram() was queued unread; 0 if unknown.
    virtual Micros queueingDelay() const { return 0; }
};

// Factory of streams and sockets, with the clock and the timers. Caller owns what it creates; handlers must
// outlive it.
class Net {
  public:
    virtual ~Net() = default;
    virtual Micros now() const = 0;      // monotonic; as of the current round of the event loop
    virtual Micros wallNow() const = 0;  // since 1970, to compare with other machines' timestamps
    virtual TimerWheel& timerWheel() = 0;
    // Failures are reported later through onConnectFailed(), never from within this call.
    virtual std::unique_ptr<Stream> connect(const Endpoint&, StreamHandler&) = 0;
    // Throws std::runtime_error, naming the address, if it is not available.
    virtual std::unique_ptr<Listener> listen(const Endpoint&, ListenerHandler&) = 0;
    // Throws as listen() does.
    virtual std::unique_ptr<DatagramSocket> bind(const Endpoint&, DatagramHandler&) = 0;
    virtual std::uint64_t randomBits() = 0;  // for ids; the decision code has random generators of its own
};

// A one-shot timer that calls `callback` when it expires. Destroying it cancels it. Setting it again moves
// it.
class Timer : private TimerNode {
  public:
    Timer(Net& net, std::function<void()> callback) : net_(net), callback_(std::move(callback)) {}
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    void at(Micros when) { net_.timerWheel().add(*this, when); }
    void after(Micros delay) { at(net_.now() + delay); }
    // Fires in the next round of the event loop. Does not move a timer that is already set: otherwise
    // repeated calls could postpone it for ever.
    void soon() {
        if (!linked()) after(0);
    }
    void cancel() {
        if (linked()) net_.timerWheel().remove(*this);
    }
    bool isSet() const { return linked(); }
    // Runs the callback. Only for the event loop, with a node returned by TimerWheel::popDue().
    static void fire(TimerNode& node) { static_cast<Timer&>(node).callback_(); }

  private:
    Net& net_;
    std::function<void()> callback_;
};

}  // namespace valekeel::net
