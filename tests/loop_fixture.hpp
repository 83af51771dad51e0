// An event loop for tests that use sockets, run until a condition holds or a timeout expires.
#pragma once

#include <functional>

#include "net/epoll.hpp"

namespace valekeel {

struct Loop {
    net::EpollNet net{42};
    // Runs the loop until `condition` holds and returns true, or false after `timeout`.
    bool until(const std::function<bool()>& condition, Micros timeout = 5 * kSecond) {
        const Micros end = net.now() + timeout;
        while (!condition()) {
            if (net.now() > end) return false;
            net.runOnce(10'000);
        }
        return true;
    }
    void run(Micros time) {
        until([] { return false; }, time);
    }
    // The loopback address with a port that the system chooses.
    static net::Endpoint any() { return *net::parseEndpoint("127.0.0.1:0"); }
};

}  // namespace valekeel
