#include "workload/fairshare.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace valekeel::workload {
namespace {

constexpr double kNoLimit = std::numeric_limits<double>::infinity();
constexpr std::uint32_t kNoLink = 0xffffffff;

bool same(double a, double b) {
    return a == b || std::abs(a - b) <= 1e-10 * std::max(std::abs(a), std::abs(b));
}

}  // namespace

LinkNo FairShare::addLink(double capacity) {
    links_.push_back({std::max(0.0, capacity), kNoLimit, {}, false});
    return {static_cast<std::uint32_t>(links_.size() - 1)};
}

void FairShare::markDirty(std::uint32_t link) {
    if (links_[link].isDirty) return;
    links_[link].isDirty = true;
    dirty_.emplace(links_[link].level, link);
}

void FairShare::setCapacity(LinkNo n, double capacity) {
    links_[n.v].capacity = std::max(0.0, capacity);
    markDirty(n.v);
}

BundleNo FairShare::join(std::span<const LinkNo> path, double cap) {
    if (path.size() > kMaxPathLength) throw std::invalid_argument("path is longer than four links");
    Key key;
    key.first.fill(kNoLink);
    for (std::size_t i = 0; i < path.size(); ++i) key.first[i] = path[i].v;
    std::sort(key.first.begin(), key.first.end());
    key.second = cap;
    const auto [it, fresh] = keys_.try_emplace(key, 0);
    if (fresh) {
        if (freeBundles_.empty()) {
            it->second = static_cast<std::uint32_t>(bundles_.size());
            bundles_.emplace_back();
        } else {
            it->second = freeBundles_.back();
            freeBundles_.pop_back();
        }
        Bundle& b = bundles_[it->second];
        b = Bundle{};
        b.cap = std::max(0.0, cap);
        b.rate = -1;  // differs from any rate, so that settle() reports it as changed
        while (b.length < path.size()) {
            const std::uint32_t link = key.first[b.length];
            b.links[b.length] = link;
            b.positions[b.length] = static_cast<std::uint32_t>(links_[link].bundles.size());
            links_[link].bundles.push_back(it->second);
            ++b.length;
        }
        if (b.length == 0) {  // an empty path is limited by the cap alone
            b.rate = b.cap;
            changed_.push_back({it->second});
        }
    }
    Bundle& b = bundles_[it->second];
    ++b.count;
    ++flows_;
    for (std::size_t i = 0; i < b.length; ++i) markDirty(b.links[i]);
    return {it->second};
}

void FairShare::leave(BundleNo n) {
    Bundle& b = bundles_[n.v];
    --flows_;
    for (std::size_t i = 0; i < b.length; ++i) markDirty(b.links[i]);
    if (--b.count > 0) return;
    Key key;
    key.first.fill(kNoLink);
    for (std::size_t i = 0; i < b.length; ++i) {
        Link& link = links_[b.links[i]];
        const std::uint32_t last = link.bundles.back();
        link.bundles[b.positions[i]] = last;
        link.bundles.pop_back();
        Bundle& moved = bundles_[last];
        for (std::size_t k = 0; k < moved.length; ++k)
            if (moved.links[k] == b.links[i]) moved.positions[k] = b.positions[i];
        key.first[i] = b.links[i];
    }
    key.second = b.cap;
    keys_.erase(key);
    freeBundles_.push_back(n.v);
}

double FairShare::rateOf(const Bundle& b) const {
    double out = b.cap;
    for (std::size_t i = 0; i < b.length; ++i) out = std::min(out, links_[b.links[i]].level);
    return out;
}

// Computes the level at which a link is just saturated: flows limited to less elsewhere keep their rate, the
// others share the rest evenly. Uses selection: each round decides at least half of the remaining bundles.
void FairShare::computeLevel(std::uint32_t number) {
    ++levelComputations_;
    Link& link = links_[number];
    scratch_.clear();
    double demand = 0;
    std::size_t flows = 0;
    for (const std::uint32_t bundle : link.bundles) {
        const Bundle& b = bundles_[bundle];
        double limit = b.cap;
        for (std::size_t i = 0; i < b.length; ++i)
            if (b.links[i] != number) limit = std::min(limit, links_[b.links[i]].level);
        scratch_.emplace_back(limit, b.count);
        demand += limit * static_cast<double>(b.count);
        flows += b.count;
    }
    if (flows == 0 || demand <= link.capacity) {
        link.level = kNoLimit;
        return;
    }
    double available = link.capacity;
    auto from = scratch_.begin();
    auto to = scratch_.end();
    double level = 0;
    while (from != to) {
        const auto middle = from + (to - from) / 2;
        std::nth_element(from, middle, to, [](const auto& a, const auto& b) { return a.first < b.first; });
        double below = 0;
        std::size_t belowCount = 0;
        for (auto it = from; it != middle + 1; ++it) {
            below += it->first * static_cast<double>(it->second);
            belowCount += it->second;
        }
        // If the level is at least the middle's limit, all up to the middle get their own limit.
        const double pivot = middle->first;
        const double rest = available - below;
        const std::size_t over = flows - belowCount;
        if (over == 0 ? rest >= 0 : rest >= pivot * static_cast<double>(over)) {
            available = rest;
            flows = over;
            from = middle + 1;
        } else {
            to = middle;
        }
    }
    level = flows > 0 ? available / static_cast<double>(flows) : kNoLimit;
    link.level = std::max(0.0, level);
}

void FairShare::settle() {
    for (const BundleNo n : changed_) bundles_[n.v].isChanged = false;
    changed_.clear();
    while (!dirty_.empty()) {
        const std::uint32_t number = dirty_.begin()->second;
        dirty_.erase(dirty_.begin());
        links_[number].isDirty = false;
        computeLevel(number);
        for (const std::uint32_t bundle : links_[number].bundles) {
            Bundle& b = bundles_[bundle];
            const double rate = rateOf(b);
            if (same(rate, b.rate)) continue;
            b.rate = rate;
            if (!std::exchange(b.isChanged, true)) changed_.push_back({bundle});
            for (std::size_t i = 0; i < b.length; ++i)
                if (b.links[i] != number) markDirty(b.links[i]);
        }
    }
}

double FairShare::used(LinkNo n) const {
    double sum = 0;
    for (const std::uint32_t bundle : links_[n.v].bundles)
        sum += bundles_[bundle].rate * static_cast<double>(bundles_[bundle].count);
    return sum;
}

// ================= transfers =================

void Transfers::advance(Progress& p, Micros now) {
    if (now <= p.updatedAt) return;
    p.sum += p.rate * seconds(now - p.updatedAt);
    p.updatedAt = now;
}

// Updates due_ with the time at which the first transfer of the bundle ends.
void Transfers::scheduleEnd(std::uint32_t bundle) {
    if (dueAt_[bundle] >= 0) due_.erase({dueAt_[bundle], bundle});
    dueAt_[bundle] = -1;
    const Progress& p = progress_[bundle];
    if (p.ends.empty() || p.rate <= 0) return;
    const double wait = std::max(0.0, (p.ends.begin()->first - p.sum) / p.rate);
    if (wait > 1e9) return;
    dueAt_[bundle] = p.updatedAt + static_cast<Micros>(std::ceil(wait * 1e6));
    due_.emplace(dueAt_[bundle], bundle);
}

void Transfers::settle(Micros now) {
    links_.settle();
    for (const BundleNo n : links_.changed()) {
        if (n.v >= progress_.size()) continue;
        Progress& p = progress_[n.v];
        advance(p, now);
        p.rate = links_.rate(n);
        scheduleEnd(n.v);
    }
}

Transfers::Id Transfers::start(Micros now, std::span<const LinkNo> path, double cap, double amount) {
    const BundleNo n = links_.join(path, cap);
    if (n.v >= progress_.size()) {
        progress_.resize(n.v + 1);
        dueAt_.resize(n.v + 1, -1);
    }
    Progress& p = progress_[n.v];
    if (p.ends.empty()) p = Progress{0, 0, now, {}};  // the number may have belonged to a deleted bundle
    advance(p, now);
    const Id id = nextId_++;
    const double end = p.sum + std::max(0.0, amount);
    p.ends.emplace(end, id);
    transfers_[id] = {n, end};
    settle(now);
    p.rate = links_.rate(n);
    scheduleEnd(n.v);
    return id;
}

double Transfers::remaining(Micros now, Id id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end()) return 0;
    Progress& p = progress_[it->second.bundle.v];
    advance(p, now);
    return std::max(0.0, it->second.end - p.sum);
}

double Transfers::cancel(Micros now, Id id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end()) return 0;
    const Transfer transfer = it->second;
    Progress& p = progress_[transfer.bundle.v];
    advance(p, now);
    const double out = std::max(0.0, transfer.end - p.sum);
    p.ends.erase({transfer.end, id});
    transfers_.erase(it);
    scheduleEnd(transfer.bundle.v);
    links_.leave(transfer.bundle);
    settle(now);
    return out;
}

void Transfers::setCapacity(Micros now, LinkNo link, double capacity) {
    links_.setCapacity(link, capacity);
    settle(now);
}

std::optional<Micros> Transfers::nextEnd() {
    if (due_.empty()) return std::nullopt;
    return due_.begin()->first;
}

std::vector<Transfers::Id> Transfers::takeEnded(Micros now) {
    std::vector<Id> out;
    while (!due_.empty() && due_.begin()->first <= now) {
        // An earlier end frees its share of the links from that time on.
        const auto [at, bundle] = *due_.begin();
        Progress& p = progress_[bundle];
        advance(p, std::max(at, p.updatedAt));
        // The end was rounded to a whole microsecond: any remainder is less than one microsecond transfers.
        const Id id = p.ends.begin()->second;
        p.ends.erase(p.ends.begin());
        transfers_.erase(id);
        out.push_back(id);
        scheduleEnd(bundle);
        links_.leave({bundle});
        settle(std::max(at, p.updatedAt));
    }
    return out;
}

}  // namespace valekeel::workload
