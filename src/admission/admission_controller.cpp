#include "admission/admission_controller.hpp"

#include <algorithm>

namespace valekeel::admission {

void AdmissionController::addNamedNetwork(const Prefix& network, const std::string& name) {
    const auto [it, inserted] = names_.try_emplace(name, static_cast<std::uint32_t>(networks_.size()));
    if (inserted) networks_.push_back({name, 0, 0, true, network});
    namedPrefixes_.insert(network, it->second);
}

Prefix AdmissionController::groupPrefixOf(const net::IpAddress& ip) const {
    const bool isV4 = ip.is_v4() || ip.to_v6().is_v4_mapped();
    return truncated(hostPrefix(ip), isV4 ? 96 + prefix4_ : prefix6_);
}

std::optional<std::uint32_t> AdmissionController::findNetwork(const net::IpAddress& ip) const {
    if (const auto named = namedPrefixes_.find(hostPrefix(ip))) return *named;
    const auto it = groups_.find(groupPrefixOf(ip));
    return it == groups_.end() ? std::nullopt : std::optional(it->second);
}

std::uint32_t AdmissionController::networkOf(const net::IpAddress& ip) {
    if (const auto network = findNetwork(ip)) return *network;
    const Prefix prefix = groupPrefixOf(ip);
    std::uint32_t id;
    if (freeIds_.empty()) {
        id = static_cast<std::uint32_t>(networks_.size());
        networks_.emplace_back();
    } else {
        id = freeIds_.back();
        freeIds_.pop_back();
    }
    networks_[id] = {toString(prefix), 0, 0, false, prefix};
    groups_[prefix] = id;
    return id;
}

// Unnamed networks that are not in use are forgotten: the many prefixes of an attacker must not pile up.
void AdmissionController::forgetIfIdle(std::uint32_t id) {
    Network& n = networks_[id];
    if (n.named || n.pending > 0 || n.connections > 0) return;
    if (groups_.erase(n.prefix)) freeIds_.push_back(id);
}

bool AdmissionController::openConnection(std::uint32_t network) {
    Network& n = networks_[network];
    if (n.connections >= maxConnections_) return false;
    ++n.connections;
    return true;
}

void AdmissionController::closeConnection(std::uint32_t network) {
    --networks_[network].connections;
    forgetIfIdle(network);
}

AdmissionController::Decision AdmissionController::checkLimits(std::size_t pendingOfNetwork) const {
    const std::size_t bound = limit();
    if (pending_ >= bound) return Decision::Full;
    // The networks with pending requests, this one included, and one for the next newcomer.
    const std::size_t sharers = activeNetworks_ + (pendingOfNetwork == 0 ? 1 : 0) + 1;
    const std::size_t share = std::max<std::size_t>(1, bound / sharers);
    if (pending_ >= bound / 2 && pendingOfNetwork >= share) return Decision::OverFairShare;
    const std::size_t reserved = bound / 10;
    if (pending_ + reserved >= bound && pendingOfNetwork >= std::max<std::size_t>(1, reserved / 4))
        return Decision::OverFairShare;
    return Decision::Admitted;
}

AdmissionController::Decision AdmissionController::admit(Micros now, std::uint32_t network) {
    Network& n = networks_[network];
    Decision decision = checkLimits(n.pending);
    if (decision == Decision::Admitted && !paths_.mayAdmit(now, network)) decision = Decision::PathSaturated;
    if (decision == Decision::Admitted && !retries_.mayAttempt(now)) decision = Decision::TooManyRetries;
    if (decision != Decision::Admitted) {
        forgetIfIdle(network);
        return decision;
    }
    if (n.pending++ == 0) ++activeNetworks_;
    ++pending_;
    return Decision::Admitted;
}

const char* AdmissionController::reasonText(Decision decision) {
    switch (decision) {
        case Decision::Admitted:
            return "admitted";
        case Decision::Full:
        case Decision::OverFairShare:
            return "too many ask at once";
        case Decision::PathSaturated:
            return "the way to your network is full";
        case Decision::TooManyRetries:
            return "no room for it now";
    }
    return "";
}

bool AdmissionController::wouldAdmit(const net::IpAddress& ip) const {
    const auto network = findNetwork(ip);
    return checkLimits(network ? networks_[*network].pending : 0) == Decision::Admitted;
}

void AdmissionController::onAnswered(std::uint32_t network) {
    Network& n = networks_[network];
    if (--n.pending == 0) --activeNetworks_;
    --pending_;
    forgetIfIdle(network);
}

}  // namespace valekeel::admission
