// A Net without sockets whose clock tests advance by hand.
#pragma once

#include <algorithm>
#include <random>

#include "net/net.hpp"

namespace valekeel {

// Connects and listens to nothing: connect(), listen() and bind() return null.
class ManualNet final : public net::Net {
  public:
    Micros time = 1'000'000;
    net::TimerWheel wheel{time};
    std::mt19937_64 random{1};
    Micros now() const override { return time; }
    Micros wallNow() const override { return time; }
    net::TimerWheel& timerWheel() override { return wheel; }
    std::unique_ptr<net::Stream> connect(const net::Endpoint&, net::StreamHandler&) override {
        return nullptr;
    }
    std::unique_ptr<net::Listener> listen(const net::Endpoint&, net::ListenerHandler&) override {
        return nullptr;
    }
    std::unique_ptr<net::DatagramSocket> bind(const net::Endpoint&, net::DatagramHandler&) override {
        return nullptr;
    }
    std::uint64_t randomBits() override { return random(); }
    // Advances the clock step by step and fires each timer that is due.
    void advance(Micros duration) {
        const Micros end = time + duration;
        while (time < end) {
            time = std::min(end, std::max(time + 1, wheel.nextCheck().value_or(end)));
            while (net::TimerNode* node = wheel.popDue(time)) net::Timer::fire(*node);
        }
    }
};

}  // namespace valekeel
