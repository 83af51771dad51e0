#include "upstream/connection_reuse.hpp"

#include <algorithm>

namespace valekeel::upstream {

// The one used last is taken first: the others grow old and are closed, so a quiet front holds few.
ConnectionReusePolicy::Choice ConnectionReusePolicy::choose(Micros now, Need need) const {
    if (!idle_.empty()) {
        const auto& [since, conn] = *idle_.rbegin();
        const Micros rest = now - since;
        if (rest < keepIdle_ && (need == Need::Any || rest <= sureFor_)) return {Choice::What::Use, conn};
    }
    if (open() < most_) return {Choice::What::Open, {}};
    if (!idle_.empty()) return {Choice::What::CloseAndOpen, idle_.begin()->second};
    return {Choice::What::Wait, {}};
}

void ConnectionReusePolicy::taken(ConnId conn) {
    const auto it = std::find_if(idle_.begin(), idle_.end(), [&](const auto& e) { return e.second == conn; });
    if (it == idle_.end()) return;
    idle_.erase(it);
    ++busy_;
}

void ConnectionReusePolicy::idle(Micros now, ConnId conn) {
    --busy_;
    idle_.emplace(now, conn);
}

void ConnectionReusePolicy::closed(ConnId conn, bool wasBusy) {
    if (wasBusy) {
        --busy_;
        return;
    }
    std::erase_if(idle_, [&](const auto& e) { return e.second == conn; });
}

std::optional<ConnId> ConnectionReusePolicy::stale(Micros now) const {
    if (idle_.empty() || now - idle_.begin()->first < keepIdle_) return std::nullopt;
    return idle_.begin()->second;
}

}  // namespace valekeel::upstream
