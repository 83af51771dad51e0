#include "core/delivery_meter.hpp"

#include <algorithm>

namespace valekeel::core {
namespace {
constexpr double kFullShare = 0.98;  // below it, a media server is reported
}

Micros DeliveryMeter::timeSpent(Micros now, const OpenFetch& fetch) {
    return now - fetch.startedAt - fetch.pausedTime - (fetch.isPaused ? now - fetch.pausedSince : 0);
}

void DeliveryMeter::start(Micros now, FetchId id, SubId sub, SfuId server, Micros playTime,
                          std::uint64_t length) {
    open_[id] = OpenFetch{sub, server, now, playTime, 0, 0, length, 0, false};
}
void DeliveryMeter::addBytes(FetchId id, std::uint64_t bytes) {
    if (const auto it = open_.find(id); it != open_.end()) it->second.bytes += bytes;
}
void DeliveryMeter::pause(Micros now, FetchId id) {
    const auto it = open_.find(id);
    if (it == open_.end() || it->second.isPaused) return;
    it->second.isPaused = true;
    it->second.pausedSince = now;
}
void DeliveryMeter::resume(Micros now, FetchId id) {
    const auto it = open_.find(id);
    if (it == open_.end() || !it->second.isPaused) return;
    it->second.isPaused = false;
    it->second.pausedTime += now - it->second.pausedSince;
}
void DeliveryMeter::discard(FetchId id) {
    open_.erase(id);
}

void DeliveryMeter::finish(Micros now, FetchId id) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    const OpenFetch& fetch = it->second;
    const double playSeconds = seconds(fetch.playTime);
    ServerShare& server = servers_[fetch.server];
    server.sum += playSeconds * std::min(1.0, playSeconds / std::max(1e-6, seconds(timeSpent(now, fetch))));
    server.weight += playSeconds;
    server.lastSub = fetch.sub;
    open_.erase(it);
}

std::vector<DeliveryMeter::ShareReport> DeliveryMeter::takeReports(Micros now) {
    // An overdue segment counts by the bytes that have arrived: a server that delivers nothing at all would
    // otherwise never be reported.
    for (const auto& [id, fetch] : open_) {
        const Micros elapsed = timeSpent(now, fetch);
        if (elapsed <= fetch.playTime || fetch.length == 0) continue;
        const double playSeconds = seconds(fetch.playTime);
        ServerShare& server = servers_[fetch.server];
        server.sum +=
            playSeconds * std::min(1.0, static_cast<double>(fetch.bytes) / static_cast<double>(fetch.length) *
                                            playSeconds / seconds(elapsed));
        server.weight += playSeconds;
        server.lastSub = fetch.sub;
    }
    std::vector<ShareReport> reports;
    for (auto it = servers_.begin(); it != servers_.end();) {
        ServerShare& server = it->second;
        if (server.weight <= 0) {
            if (!server.wasShort) {
                it = servers_.erase(it);  // nothing plays there any more
                continue;
            }
            ++it;
            continue;
        }
        const double share = server.sum / server.weight;
        const bool isShort = share < kFullShare;
        if (isShort || server.wasShort) reports.push_back({server.lastSub, it->first, isShort ? share : 1.0});
        server.wasShort = isShort;
        server.sum = server.weight = 0;
        ++it;
    }
    return reports;
}

}  // namespace valekeel::core
