// One loop for tests of what uses sockets: turned until something holds, bounded in time.
#pragma once

#include <functional>

#include "net/epoll.hpp"

namespace valekeel {

struct Loop {
    net::EpollNet net{42};
    // True as soon as it holds; false after so long.
    bool until(const std::function<bool()>& holds, Micros atMost = 5 * kSecond) {
        const Micros end = net.now() + atMost;
        while (!holds()) {
            if (net.now() > end) return false;
            net.runOnce(10'000);
        }
        return true;
    }
    void run(Micros time) {
        until([] { return false; }, time);
    }
    static net::Endpoint any() { return *net::parseEndpoint("127.0.0.1:0"); }
};

}  // namespace valekeel
