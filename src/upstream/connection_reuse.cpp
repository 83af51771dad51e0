#include "upstream/connection_reuse.hpp"

#include <algorithm>

namespace valekeel::upstream {

// The most recently used one is taken first: the others expire and are closed, so a quiet front keeps few.
ConnectionReusePolicy::Choice ConnectionReusePolicy::choose(Micros now, Need need) const {
    if (!idle_.empty()) {
        const auto& [since, conn] = *idle_.rbegin();
        const Micros idleTime = now - since;
        if (idleTime < idleTimeout_ && (need == Need::Any || idleTime <= recentUse_))
            return {Choice::Action::Use, conn};
    }
    if (openCount() < maxOpen_) return {Choice::Action::Open, {}};
    if (!idle_.empty()) return {Choice::Action::CloseAndOpen, idle_.begin()->second};
    return {Choice::Action::Wait, {}};
}

void ConnectionReusePolicy::onTaken(ConnId conn) {
    const auto it =
        std::find_if(idle_.begin(), idle_.end(), [&](const auto& entry) { return entry.second == conn; });
    if (it == idle_.end()) return;
    idle_.erase(it);
    ++busy_;
}

void ConnectionReusePolicy::onIdle(Micros now, ConnId conn) {
    --busy_;
    idle_.emplace(now, conn);
}

void ConnectionReusePolicy::onClosed(ConnId conn, bool wasBusy) {
    if (wasBusy) {
        --busy_;
        return;
    }
    std::erase_if(idle_, [&](const auto& entry) { return entry.second == conn; });
}

std::optional<ConnId> ConnectionReusePolicy::expired(Micros now) const {
    if (idle_.empty() || now - idle_.begin()->first < idleTimeout_) return std::nullopt;
    return idle_.begin()->second;
}

}  // namespace valekeel::upstream
