// A hierarchical timer wheel: setting, moving and cancelling a timer take O(1). Five levels of 64 slots, a
// tick of 1.024 ms. A timer fires at the first tick at or after its time, never early. Times beyond the last
// level (12 days) are kept in it and placed again when their slot is reached.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "model/ids.hpp"

namespace valekeel::net {

// An intrusive list node, embedded in the timer. The wheel does not own it: it must be removed before it is
// destroyed.
struct TimerNode {
    TimerNode* prev = nullptr;
    TimerNode* next = nullptr;
    Micros at = 0;  // when the timer is due
    bool linked() const { return prev != nullptr; }
};

// The set of pending timers of one event loop.
class TimerWheel {
  public:
    explicit TimerWheel(Micros now);
    TimerWheel(const TimerWheel&) = delete;
    TimerWheel& operator=(const TimerWheel&) = delete;
    ~TimerWheel();

    // Moves a timer that is already pending. A timer that is added while those of its tick are being returned
    // is due in the next tick: otherwise one that adds itself again would keep popDue() busy for ever.
    void add(TimerNode&, Micros at);
    void remove(TimerNode&);  // does nothing if the timer is not pending

    // When to call popDue() next: not after the tick of the earliest timer, possibly before it. Empty if no
    // timer is pending.
    std::optional<Micros> nextCheck() const;

    // Removes and returns one timer that is due; null if there is none. Timers of one tick are returned in
    // the order they were added.
    TimerNode* popDue(Micros now);

    std::size_t size() const { return size_; }

  private:
    static constexpr int kTickShift = 10, kSlotBits = 6, kLevels = 5;
    static constexpr std::uint64_t kSlots = 1u << kSlotBits;
    struct Level {
        std::uint64_t occupied = 0;  // one bit per slot; may stay set after the slot's last timer was removed
        std::array<TimerNode, kSlots> heads;
    };

    static std::uint64_t ceilToTick(Micros at) {
        return static_cast<std::uint64_t>(at + (1 << kTickShift) - 1) >> kTickShift;
    }
    void place(TimerNode&, std::uint64_t earliestTick);
    static void append(TimerNode& head, TimerNode& node);
    static void unlink(TimerNode& node);
    struct Slot {
        int level;
        std::uint64_t index, tick;
    };
    std::optional<Slot> firstOccupiedSlot() const;

    std::uint64_t tick_ = 0;
    std::array<Level, kLevels> levels_;
    TimerNode ready_;  // list head of the timers of the current tick that popDue() has not returned yet
    std::size_t size_ = 0;
};

}  // namespace valekeel::net
