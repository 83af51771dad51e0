// The one seam to the outside: clock, timers, streams, chance and signals. Two kinds stand behind it: sockets
// under epoll (net/epoll.hpp) and, for rehearsal, a virtual one. No other package includes a socket or clock
// header. Everything is called from one thread.
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

struct IoResult {
    enum class Status {
        Ready,        // it may go on at once
        WouldBlock,   // wait for onReadable() or onWritable()
        EndOfStream,  // the peer has finished writing
        Broken,       // reset, or never connected; nothing more comes
    };
    std::size_t bytes = 0;
    Status status = Status::Ready;
};

// How a connect ended that did not succeed.
enum class ConnectError { Refused, Unreachable, OutOfDescriptors };

// Called edge by edge: after onReadable() one must read until Again, or remember that more may lie there.
// Whatever is called may delete the stream.
class StreamHandler {
  public:
    virtual ~StreamHandler() = default;
    virtual void onConnected() {}
    virtual void onConnectFailed(ConnectError) {}
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
};

// One byte stream; deleting it closes it.
class Stream {
  public:
    virtual ~Stream() = default;
    virtual IoResult read(std::span<char>) = 0;
    virtual IoResult write(std::string_view) = 0;
    virtual void shutdownWrite() = 0;  // half-close: the peer reads to the end
    virtual void reset() = 0;          // the peer sees a reset
    virtual Endpoint peer() const = 0;
    virtual void setHandler(StreamHandler&) = 0;
};

class ListenerHandler {
  public:
    virtual ~ListenerHandler() = default;
    virtual void onAccepted(std::unique_ptr<Stream>) = 0;  // setHandler() must be called before it returns
};

class Listener {
  public:
    virtual ~Listener() = default;
    virtual Endpoint endpoint() const = 0;
    // Hands out all that already wait in the kernel: deleting a listener resets those.
    virtual void acceptPending() {}
};

class DatagramHandler {
  public:
    virtual ~DatagramHandler() = default;
    virtual void onDatagram(const Endpoint& from, std::string_view bytes) = 0;
};

// Datagrams in and out of one place. What can't be sent now is lost, as any datagram may be.
class DatagramSocket {
  public:
    virtual ~DatagramSocket() = default;
    virtual Endpoint endpoint() const = 0;
    virtual void send(const Endpoint& to, std::string_view bytes) = 0;
    // How long the one that is being handed out lay unread, as far as is known.
    virtual Micros queueingDelay() const { return 0; }
};

class Net {
  public:
    virtual ~Net() = default;
    virtual Micros now() const = 0;      // never goes back; of one turn of the loop
    virtual Micros wallNow() const = 0;  // since 1970, for what other machines say
    virtual TimerWheel& timerWheel() = 0;
    // Fails later, through onConnectFailed(); never at once.
    virtual std::unique_ptr<Stream> connect(const Endpoint&, StreamHandler&) = 0;
    // Throws std::runtime_error, naming the address, if it can't be had.
    virtual std::unique_ptr<Listener> listen(const Endpoint&, ListenerHandler&) = 0;
    virtual std::unique_ptr<DatagramSocket> bind(const Endpoint&,
                                                 DatagramHandler&) = 0;  // throws as listen() does
    virtual std::uint64_t randomBits() = 0;  // for ids; decisions have generators of their own
};

// A timer belongs to the object that set it and dies with it.
class Timer : private TimerNode {
  public:
    Timer(Net& net, std::function<void()> due) : net_(net), due_(std::move(due)) {}
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    void at(Micros when) { net_.timerWheel().add(*this, when); }
    void after(Micros wait) { at(net_.now() + wait); }
    // At the next turn. Asked for again before that it is not put off: else what is always asked for never
    // comes.
    void soon() {
        if (!linked()) after(0);
    }
    void cancel() {
        if (linked()) net_.timerWheel().remove(*this);
    }
    bool isSet() const { return linked(); }
    // By the loop alone, of a node that the wheel handed out.
    static void fire(TimerNode& node) { static_cast<Timer&>(node).due_(); }

  private:
    Net& net_;
    std::function<void()> due_;
};

}  // namespace valekeel::net
