// A map by tag whose entries expire, limited in number: what is remembered of sessions that are not held (any
// more). Without I/O or clock.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "model/ids.hpp"

namespace valekeel::node {

template <class Value>
class ExpiringMap {
  public:
    struct Limits {
        std::size_t maxCount;  // the oldest is dropped first
        Micros lifetime;
    };

    explicit ExpiringMap(const Limits& limits) : limits_(limits) {}
    // Keeps the first value of each tag. `now` must not decrease from call to call.
    void add(const std::string& tag, Value value, Micros now) {
        if (!entries_.try_emplace(tag, Entry{std::move(value), now}).second) return;
        arrivals_.emplace_back(now, tag);
        while (arrivals_.size() > limits_.maxCount) dropOldest();
    }
    // Returns null if there is none.
    const Value* find(const std::string& tag) const {
        const auto it = entries_.find(tag);
        return it == entries_.end() ? nullptr : &it->second.value;
    }
    void remove(const std::string& tag) { entries_.erase(tag); }
    void expire(Micros now) {
        while (!arrivals_.empty() && now - arrivals_.front().first > limits_.lifetime) dropOldest();
    }
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        Value value;
        Micros addedAt;
    };
    void dropOldest() {
        const auto& [addedAt, tag] = arrivals_.front();
        const auto it = entries_.find(tag);
        // One that was removed and added again has a later arrival of its own.
        if (it != entries_.end() && it->second.addedAt == addedAt) entries_.erase(it);
        arrivals_.pop_front();
    }
    Limits limits_;
    std::map<std::string, Entry, std::less<>> entries_;
    std::deque<std::pair<Micros, std::string>> arrivals_;  // also of some that were removed; oldest first
};

}  // namespace valekeel::node
