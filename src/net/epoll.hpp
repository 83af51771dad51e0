// Sockets under epoll, edge-triggered. Needs no privilege. Out of descriptors, it goes on: accepting pauses
// for 50 ms, and connects fail with OutOfDescriptors.
#pragma once

#include <deque>
#include <vector>

#include "net/net.hpp"

namespace valekeel::net {

class EpollNet final : public Net {
  public:
    explicit EpollNet(std::uint64_t seed);
    ~EpollNet() override;

    Micros now() const override { return now_; }
    Micros wallNow() const override;
    TimerWheel& timerWheel() override { return wheel_; }
    std::unique_ptr<Stream> connect(const Endpoint&, StreamHandler&) override;
    std::unique_ptr<Listener> listen(const Endpoint&, ListenerHandler&) override;
    std::unique_ptr<DatagramSocket> bind(const Endpoint&, DatagramHandler&) override;
    std::uint64_t randomBits() override { return chance_(); }

    void run();                   // until stop()
    void runOnce(Micros atMost);  // one round of events and timers
    void stop() { running_ = false; }
    // These signals come as calls, between events.
    void onSignals(const std::vector<int>& signals, std::function<void(int)> heard);

  private:
    friend class EpollStream;
    friend class EpollListener;
    friend class EpollDatagramSocket;
    class Handler {
      public:
        virtual ~Handler() = default;
        virtual void happened(std::uint32_t events) = 0;
    };
    class SignalHandler;
    std::uint64_t enter(int fd, Handler&, std::uint32_t events);
    void leave(std::uint64_t ticket, int fd);
    static Micros clock();

    struct Slot {
        Handler* handler = nullptr;
        std::uint32_t generation = 0;
    };
    int epoll_ = -1;
    Micros now_;
    TimerWheel wheel_;
    std::mt19937_64 chance_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::vector<std::uint64_t> again_;  // those who stopped before they had read all
    std::unique_ptr<Handler> signals_;
    bool running_ = false;
};

// Raises the limit of open descriptors to what an ordinary user may have; tells the limit then in force.
std::size_t raiseDescriptorLimit();

}  // namespace valekeel::net
