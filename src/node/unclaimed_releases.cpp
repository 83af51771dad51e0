#include "node/unclaimed_releases.hpp"

namespace valekeel::node {

void UnclaimedReleases::add(const std::string& tag, const Release& release) {
    if (!releases_.emplace(tag, release).second) return;
    arrivals_.push_back({tag, release.receivedAt});
    while (arrivals_.size() > limits_.maxCount) dropOldest();
}

std::optional<UnclaimedReleases::Release> UnclaimedReleases::take(const std::string& tag, SfuId server) {
    const auto it = releases_.find(tag);
    if (it == releases_.end() || it->second.server != server) return std::nullopt;
    const Release release = it->second;
    releases_.erase(it);
    return release;
}

void UnclaimedReleases::expire(Micros now) {
    while (!arrivals_.empty() && now - arrivals_.front().receivedAt > limits_.lifetime) dropOldest();
}

void UnclaimedReleases::dropOldest() {
    const Arrival& oldest = arrivals_.front();
    const auto it = releases_.find(oldest.tag);
    // One that was taken and added again has a later entry of its own.
    if (it != releases_.end() && it->second.receivedAt == oldest.receivedAt) releases_.erase(it);
    arrivals_.pop_front();
}

}  // namespace valekeel::node
