// Net on Linux sockets with edge-triggered epoll. Needs no privileges. When the process runs out of
// descriptors, accepting pauses for 50 ms and connects fail with OutOfDescriptors.
#pragma once

#include <deque>
#include <vector>

#include "net/net.hpp"

namespace valekeel::net {

// The event loop and the sockets it serves. Everything created from it must be deleted before it.
class EpollNet final : public Net {
  public:
    // `seed` is for randomBits(). Throws std::runtime_error if the epoll instance can't be created.
    explicit EpollNet(std::uint64_t seed);
    ~EpollNet() override;

    Micros now() const override { return now_; }
    Micros wallNow() const override;
    TimerWheel& timerWheel() override { return wheel_; }
    std::unique_ptr<Stream> connect(const Endpoint&, StreamHandler&) override;
    std::unique_ptr<Listener> listen(const Endpoint&, ListenerHandler&) override;
    std::unique_ptr<DatagramSocket> bind(const Endpoint&, DatagramHandler&) override;
    std::uint64_t randomBits() override { return random_(); }

    void run();                    // until stop()
    void runOnce(Micros maxWait);  // one round of events and timers; waits at most `maxWait` for an event
    void stop() { running_ = false; }
    // Blocks these signals and delivers them as calls of `callback` from the event loop.
    void onSignals(const std::vector<int>& signals, std::function<void(int)> callback);

  private:
    friend class EpollStream;
    friend class EpollListener;
    friend class EpollDatagramSocket;
    class Handler {
      public:
        virtual ~Handler() = default;
        virtual void onEvents(std::uint32_t events) = 0;
    };
    class SignalHandler;
    // Adds `fd` to the epoll set. The returned token holds the slot index and, in its upper half, the
    // generation.
    std::uint64_t registerHandler(int fd, Handler&, std::uint32_t events);
    void unregisterHandler(std::uint64_t token, int fd);
    static Micros clock();

    // The handler of one descriptor. The generation tells a reused slot from the one an old event refers to.
    struct Slot {
        Handler* handler = nullptr;
        std::uint32_t generation = 0;
    };
    int epoll_ = -1;
    Micros now_;
    TimerWheel wheel_;
    std::mt19937_64 random_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> freeSlots_;
    std::vector<std::uint64_t>
        unfinished_;  // tokens of handlers that stopped before they had read everything
    std::unique_ptr<Handler> signals_;
    bool running_ = false;
};

// Raises the soft limit of open descriptors to the hard limit. Returns the limit then in force; 0 if unknown.
std::size_t raiseDescriptorLimit();

}  // namespace valekeel::net
