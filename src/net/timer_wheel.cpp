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
    // Timers may outlive the wheel by a moment at the end of a program: they must not reach back into it.
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
    place(node);
    ++size_;
}

void TimerWheel::remove(TimerNode& node) {
    if (!node.linked()) return;
    unlink(node);  // a slot that is empty now keeps its bit; first() and due() pass over it
    --size_;
}

void TimerWheel::place(TimerNode& node) {
    const std::uint64_t tick = std::max(tickUp(node.at), tick_);
    if (tick == tick_) {
        append(ready_, node);
        return;
    }
    const int differs = 63 - std::countl_zero(tick ^ tick_);
    const int level = std::min(differs / kSlotBits, kLevels - 1);
    const std::uint64_t top = std::uint64_t{1} << (kSlotBits * kLevels);
    std::uint64_t index = (tick >> (kSlotBits * level)) % kSlots;
    if (differs >= kSlotBits * kLevels)  // beyond the last level: as far away in it as can be
        index = tick - tick_ < top - (top >> kSlotBits)
                    ? index
                    : ((tick_ >> (kSlotBits * level)) + kSlots - 1) % kSlots;
    append(levels_[static_cast<std::size_t>(level)].heads[index], node);
    levels_[static_cast<std::size_t>(level)].taken |= std::uint64_t{1} << index;
}

std::optional<TimerWheel::Slot> TimerWheel::first() const {
    for (int level = 0; level < kLevels; ++level) {
        const std::uint64_t taken = levels_[static_cast<std::size_t>(level)].taken;
        if (!taken) continue;
        const int shift = kSlotBits * level;
        const std::uint64_t here = (tick_ >> shift) % kSlots;
        const int ahead =
            std::countr_zero(std::rotr(taken, static_cast<int>((here + 1) % kSlots)));  // from the next on
        const std::uint64_t steps = static_cast<std::uint64_t>(ahead) + 1;
        return Slot{level, (here + steps) % kSlots, ((tick_ >> shift) + steps) << shift};
    }
    return std::nullopt;
}

std::optional<Micros> TimerWheel::nextCheck() const {
    if (ready_.next != &ready_) return static_cast<Micros>(tick_ << kTickShift);
    const auto slot = first();
    if (!slot) return std::nullopt;
    return static_cast<Micros>(slot->tick << kTickShift);
}

TimerNode* TimerWheel::popDue(Micros now) {
    const std::uint64_t until = static_cast<std::uint64_t>(now) >> kTickShift;
    for (;;) {
        if (ready_.next != &ready_) {
            TimerNode* node = ready_.next;
            unlink(*node);
            --size_;
            return node;
        }
        const auto slot = first();
        if (!slot || slot->tick > until) break;
        tick_ = slot->tick;
        Level& level = levels_[static_cast<std::size_t>(slot->level)];
        level.taken &= ~(std::uint64_t{1} << slot->index);
        TimerNode& head = level.heads[slot->index];
        TimerNode moved;  // emptied first: what lies beyond the last level may come back to the same slot
        moved.prev = moved.next = &moved;
        while (head.next != &head) {
            TimerNode& node = *head.next;
            unlink(node);
            append(moved, node);
        }
        while (moved.next != &moved) {
            TimerNode& node = *moved.next;
            unlink(node);
            place(node);
        }
    }
    // Nothing lies between: the wheel may stand at the present, so that short timers stay on low levels.
    if (until > tick_) {
        const auto slot = first();
        if (!slot) tick_ = until;
    }
    return nullptr;
}

}  // namespace valekeel::net
