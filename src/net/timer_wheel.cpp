#include "net/timer_wheel.hpp"

#include <algorithm>
#include <bit>

namespace valekeel::net {

TimerWheel::TimerWheel(Micros now) : tick_(static_cast<std::uint64_t>(now) >> kTickShift) {
    for (Level& level : levels_)
        for (TimerNode& head : level.heads) head.prev = head.next = &head;
    ready_.prev = ready_.next = &ready_;
}

TimerWheel::~TimerWheel() {
    // Timers may outlive the wheel at program exit. Unlinking them keeps them from accessing it.
    const auto clear = [](TimerNode& head) {
        while (head.next != &head) unlink(*head.next);
    };
    for (Level& level : levels_)
        for (TimerNode& head : level.heads) clear(head);
    clear(ready_);
}

void TimerWheel::append(TimerNode& head, TimerNode& node) {
    node.prev = head.prev;
    node.next = &head;
    head.prev->next = &node;
    head.prev = &node;
}

void TimerWheel::unlink(TimerNode& node) {
    node.prev->next = node.next;
    node.next->prev = node.prev;
    node.prev = node.next = nullptr;
}

void TimerWheel::add(TimerNode& node, Micros at) {
    if (node.linked()) remove(node);
    node.at = std::max<Micros>(at, 0);
    place(node, tick_ + 1);
    ++size_;
}

void TimerWheel::remove(TimerNode& node) {
    if (!node.linked()) return;
    unlink(node);  // a slot that is now empty keeps its bit; popDue() clears it when the slot is reached
    --size_;
}

void TimerWheel::place(TimerNode& node, std::uint64_t earliestTick) {
    const std::uint64_t tick = std::max(ceilToTick(node.at), earliestTick);
    if (tick == tick_) {
        append(ready_, node);
        return;
    }
    const int highestBit = 63 - std::countl_zero(tick ^ tick_);
    const int level = std::min(highestBit / kSlotBits, kLevels - 1);
    const std::uint64_t range = std::uint64_t{1} << (kSlotBits * kLevels);
    std::uint64_t index = (tick >> (kSlotBits * level)) % kSlots;
    if (highestBit >= kSlotBits * kLevels)  // beyond the last level: at most the slot farthest ahead in it
        index = tick - tick_ < range - (range >> kSlotBits)
                    ? index
                    : ((tick_ >> (kSlotBits * level)) + kSlots - 1) % kSlots;
    append(levels_[static_cast<std::size_t>(level)].heads[index], node);
    levels_[static_cast<std::size_t>(level)].occupied |= std::uint64_t{1} << index;
}

std::optional<TimerWheel::Slot> TimerWheel::firstOccupiedSlot() const {
    for (int level = 0; level < kLevels; ++level) {
        const std::uint64_t occupied = levels_[static_cast<std::size_t>(level)].occupied;
        if (!occupied) continue;
        const int shift = kSlotBits * level;
        const std::uint64_t current = (tick_ >> shift) % kSlots;
        const int ahead = std::countr_zero(
            std::rotr(occupied, static_cast<int>((current + 1) % kSlots)));  // counted from the next slot
        const std::uint64_t steps = static_cast<std::uint64_t>(ahead) + 1;
        return Slot{level, (current + steps) % kSlots, ((tick_ >> shift) + steps) << shift};
    }
    return std::nullopt;
}

std::optional<Micros> TimerWheel::nextCheck() const {
    if (ready_.next != &ready_) return static_cast<Micros>(tick_ << kTickShift);
    const auto slot = firstOccupiedSlot();
    if (!slot) return std::nullopt;
    return static_cast<Micros>(slot->tick << kTickShift);
}

TimerNode* TimerWheel::popDue(Micros now) {
    const std::uint64_t targetTick = static_cast<std::uint64_t>(now) >> kTickShift;
    for (;;) {
        if (ready_.next != &ready_) {
            TimerNode* node = ready_.next;
            unlink(*node);
            --size_;
            return node;
        }
        const auto slot = firstOccupiedSlot();
        if (!slot || slot->tick > targetTick) break;
        tick_ = slot->tick;
        Level& level = levels_[static_cast<std::size_t>(slot->level)];
        level.occupied &= ~(std::uint64_t{1} << slot->index);
        TimerNode& head = level.heads[slot->index];
        // Detached first: a timer beyond the last level may be placed in the same slot again.
        TimerNode pending;
        pending.prev = pending.next = &pending;
        while (head.next != &head) {
            TimerNode& node = *head.next;
            unlink(node);
            append(pending, node);
        }
        while (pending.next != &pending) {
            TimerNode& node = *pending.next;
            unlink(node);
            place(node, tick_);
        }
    }
    // Without timers the wheel can advance to the present, so that short timers stay on the low levels.
    if (targetTick > tick_) {
        const auto slot = firstOccupiedSlot();
        if (!slot) tick_ = targetTick;
    }
    return nullptr;
}

}  // namespace valekeel::net
