#include "core/delivery_meter.hpp"

#include <algorithm>

namespace valekeel::core {
namespace {
constexpr double kShort = 0.98;
}

Micros DeliveryMeter::spent(Micros now, const Open& o) {
    return now - o.began - o.held - (o.isHeld ? now - o.heldSince : 0);
}

void DeliveryMeter::start(Micros now, FetchId id, SubId sub, SfuId at, Micros playTime,
                          std::uint64_t length) {
    open_[id] = Open{sub, at, now, playTime, 0, 0, length, 0, false};
}
void DeliveryMeter::addBytes(FetchId id, std::uint64_t bytes) {
    if (const auto it = open_.find(id); it != open_.end()) it->second.bytes += bytes;
}
void DeliveryMeter::pause(Micros now, FetchId id) {
    const auto it = open_.find(id);
    if (it == open_.end() || it->second.isHeld) return;
    it->second.isHeld = true;
    it->second.heldSince = now;
}
void DeliveryMeter::resume(Micros now, FetchId id) {
    const auto it = open_.find(id);
    if (it == open_.end() || !it->second.isHeld) return;
    it->second.isHeld = false;
    it->second.held += now - it->second.heldSince;
}
void DeliveryMeter::discard(FetchId id) {
    open_.erase(id);
}

void DeliveryMeter::finish(Micros now, FetchId id) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    const Open& o = it->second;
    const double play = seconds(o.playTime);
    AtBox& box = boxes_[o.at];
    box.sum += play * std::min(1.0, play / std::max(1e-6, seconds(spent(now, o))));
    box.weight += play;
    box.lastSub = o.sub;
    open_.erase(it);
}

std::vector<DeliveryMeter::ShareReport> DeliveryMeter::takeReports(Micros now) {
    // What comes too slowly to have ended yet counts by how far it is: a server that gives nothing at all
    // would otherwise never be told to be short.
    for (const auto& [id, o] : open_) {
        const Micros so = spent(now, o);
        if (so <= o.playTime || o.length == 0) continue;
        const double play = seconds(o.playTime);
        AtBox& box = boxes_[o.at];
        box.sum += play * std::min(1.0, static_cast<double>(o.bytes) / static_cast<double>(o.length) * play /
                                            seconds(so));
        box.weight += play;
        box.lastSub = o.sub;
    }
    std::vector<ShareReport> out;
    for (auto it = boxes_.begin(); it != boxes_.end();) {
        AtBox& box = it->second;
        if (box.weight <= 0) {
            if (!box.wasShort) {
                it = boxes_.erase(it);  // nothing plays there: nothing is kept of it
                continue;
            }
            ++it;
            continue;
        }
        const double share = box.sum / box.weight;
        const bool isShort = share < kShort;
        if (isShort || box.wasShort) out.push_back({box.lastSub, it->first, isShort ? share : 1.0});
        box.wasShort = isShort;
        box.sum = box.weight = 0;
        ++it;
    }
    return out;
}

}  // namespace valekeel::core
