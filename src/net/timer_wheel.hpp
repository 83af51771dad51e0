// A hierarchical timer wheel: setting, moving and cancelling a timer cost the same however many there are.
// Five levels of 64 slots, a tick of 1.024 ms; a timer fires at the first tick that is not before its time,
// never early. Times beyond the last level (12 days) wait there and are placed anew when their slot is met.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "model/ids.hpp"

namespace valekeel::net {

struct TimerNode {  // lies in the object that waits; unlinks itself in O(1)
    TimerNode* prev = nullptr;
    TimerNode* next = nullptr;
    Micros at = 0;
    bool linked() const { return prev != nullptr; }
};

class TimerWheel {
  public:
    explicit TimerWheel(Micros now);
    TimerWheel(const TimerWheel&) = delete;
    TimerWheel& operator=(const TimerWheel&) = delete;
    ~TimerWheel();

    void add(TimerNode&, Micros at);  // moves it if it waits already
    void remove(TimerNode&);          // nothing if it doesn't wait

    // When it is worth looking again: not later than the earliest timer, if there is one.
    std::optional<Micros> nextCheck() const;

    // Takes out one timer that is due, or nothing. Timers of one tick come in the order they were added.
    TimerNode* popDue(Micros now);

    std::size_t size() const { return size_; }

  private:
    static constexpr int kTickShift = 10, kSlotBits = 6, kLevels = 5;
    static constexpr std::uint64_t kSlots = 1u << kSlotBits;
    struct Level {
        std::uint64_t taken = 0;
        std::array<TimerNode, kSlots> heads;
    };

    static std::uint64_t tickUp(Micros at) {
        return static_cast<std::uint64_t>(at + (1 << kTickShift) - 1) >> kTickShift;
    }
    void place(TimerNode&);
    static void append(TimerNode& head, TimerNode& node);
    static void unlink(TimerNode& node);
    struct Slot {
        int level;
        std::uint64_t index, tick;
    };
    std::optional<Slot> first() const;

    std::uint64_t tick_ = 0;
    std::array<Level, kLevels> levels_;
    TimerNode ready_;  // of the tick that was reached, not yet handed out
    std::size_t size_ = 0;
};

}  // namespace valekeel::net
