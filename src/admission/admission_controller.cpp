#include "admission/admission_controller.hpp"

#include <algorithm>

namespace valekeel::admission {

void AdmissionController::addNamedNetwork(const Prefix& network, const std::string& name) {
    const auto [it, fresh] = names_.try_emplace(name, static_cast<std::uint32_t>(networks_.size()));
    if (fresh) networks_.push_back({name, 0, 0, true, network});
    told_.insert(network, it->second);
}

Prefix AdmissionController::prefixOf(const net::IpAddress& ip) const {
    const bool four = ip.is_v4() || ip.to_v6().is_v4_mapped();
    return truncated(hostPrefix(ip), four ? 96 + prefix4_ : prefix6_);
}

std::optional<std::uint32_t> AdmissionController::known(const net::IpAddress& ip) const {
    if (const auto told = told_.find(hostPrefix(ip))) return *told;
    const auto it = untold_.find(prefixOf(ip));
    return it == untold_.end() ? std::nullopt : std::optional(it->second);
}

std::uint32_t AdmissionController::networkOf(const net::IpAddress& ip) {
    if (const auto network = known(ip)) return *network;
    const Prefix prefix = prefixOf(ip);
    std::uint32_t id;
    if (free_.empty()) {
        id = static_cast<std::uint32_t>(networks_.size());
        networks_.emplace_back();
    } else {
        id = free_.back();
        free_.pop_back();
    }
    networks_[id] = {toString(prefix), 0, 0, false, prefix};
    untold_[prefix] = id;
    return id;
}

// What nobody told of and nobody uses is forgotten: an attacker's many prefixes must not stay.
void AdmissionController::forgetIfIdle(std::uint32_t id) {
    Network& n = networks_[id];
    if (n.told || n.waiting > 0 || n.connections > 0) return;
    if (untold_.erase(n.prefix)) free_.push_back(id);
}

bool AdmissionController::openConnection(std::uint32_t network) {
    Network& n = networks_[network];
    if (n.connections >= connectionsEach_) return false;
    ++n.connections;
    return true;
}

void AdmissionController::closeConnection(std::uint32_t network) {
    --networks_[network].connections;
    forgetIfIdle(network);
}

AdmissionController::Decision AdmissionController::letFor(std::size_t ofIt) const {
    const std::size_t waiting = limit();
    if (held_ >= waiting) return Decision::Full;
    const std::size_t sharers = holding_ + (ofIt == 0 ? 1 : 0) + 1;
    const std::size_t share = std::max<std::size_t>(1, waiting / sharers);
    if (held_ >= waiting / 2 && ofIt >= share) return Decision::OverFairShare;
    const std::size_t kept = waiting / 10;
    if (held_ + kept >= waiting && ofIt >= std::max<std::size_t>(1, kept / 4)) return Decision::OverFairShare;
    return Decision::Admitted;
}

AdmissionController::Decision AdmissionController::admit(Micros now, std::uint32_t network) {
    Network& n = networks_[network];
    Decision let = letFor(n.waiting);
    if (let == Decision::Admitted && !ways_.mayAdmit(now, network)) let = Decision::PathSaturated;
    if (let == Decision::Admitted && !returns_.mayAttempt(now)) let = Decision::TooManyRetries;
    if (let != Decision::Admitted) {
        forgetIfIdle(network);
        return let;
    }
    if (n.waiting++ == 0) ++holding_;
    ++held_;
    return Decision::Admitted;
}

const char* AdmissionController::reasonText(Decision let) {
    switch (let) {
        case Decision::Admitted:
            return "let in";
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
    const auto network = known(ip);
    return letFor(network ? networks_[*network].waiting : 0) == Decision::Admitted;
}

void AdmissionController::onAnswered(std::uint32_t network) {
    Network& n = networks_[network];
    if (--n.waiting == 0) --holding_;
    --held_;
    forgetIfIdle(network);
}

}  // namespace valekeel::admission
