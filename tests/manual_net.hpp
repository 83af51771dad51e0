// A net without sockets, whose clock is moved by hand.
#pragma once

#include <algorithm>
#include <random>

#include "net/net.hpp"

namespace valekeel {

class ManualNet final : public net::Net {
  public:
    Micros time = 1'000'000;
    net::TimerWheel wheel_{time};
    std::mt19937_64 chance{1};
    Micros now() const override { return time; }
    Micros wallNow() const override { return time; }
    net::TimerWheel& timerWheel() override { return wheel_; }
    std::unique_ptr<net::Stream> connect(const net::Endpoint&, net::StreamHandler&) override {
        return nullptr;
    }
    std::unique_ptr<net::Listener> listen(const net::Endpoint&, net::ListenerHandler&) override {
        return nullptr;
    }
    std::unique_ptr<net::DatagramSocket> bind(const net::Endpoint&, net::DatagramHandler&) override {
        return nullptr;
    }
    std::uint64_t randomBits() override { return chance(); }
    void advance(Micros wait) {
        const Micros end = time + wait;
        while (time < end) {
            time = std::min(end, std::max(time + 1, wheel_.nextCheck().value_or(end)));
            while (net::TimerNode* node = wheel_.popDue(time)) net::Timer::fire(*node);
        }
    }
};

}  // namespace valekeel
