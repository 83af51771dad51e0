#include "net/timer_wheel.hpp"

#include <algorithm>
#include <bit>

namespace valekeel::net {

Wheel::Wheel(Micros now) : tick_(static_cast<std::uint64_t>(now) >> kTickShift) {
    for (Level& level : levels_)
        for (WheelNode& head : level.heads) head.prev = head.next = &head;
    ready_.prev = ready_.next = &ready_;
}

Wheel::~Wheel() {
    // Timers may outlive the wheel by a moment at the end of a program: they must not reach back into it.
    const auto clear = [](WheelNode& head) {
        while (head.next != &head) unlink(*head.next);
    };
    for (Level& level : levels_)
        for (WheelNode& head : level.heads) clear(head);
    clear(ready_);
}

void Wheel::append(WheelNode& head, WheelNode& node) {
    node.prev = head.prev;
    node.next = &head;
    head.prev->next = &node;
    head.prev = &node;
}

void Wheel::unlink(WheelNode& node) {
    node.prev->next = node.next;
    node.next->prev = node.prev;
    node.prev = node.next = nullptr;
}

void Wheel::add(WheelNode& node, Micros at) {
    if (node.linked()) remove(node);
    node.at = std::max<Micros>(at, 0);
    place(node);
    ++size_;
}

void Wheel::remove(WheelNode& node) {
    if (!node.linked()) return;
    unlink(node);  // a slot that is empty now keeps its bit; first() and due() pass over it
    --size_;
}

void Wheel::place(WheelNode& node) {
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

std::optional<Wheel::Slot> Wheel::first() const {
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

std::optional<Micros> Wheel::next() const {
    if (ready_.next != &ready_) return static_cast<Micros>(tick_ << kTickShift);
    const auto slot = first();
    if (!slot) return std::nullopt;
    return static_cast<Micros>(slot->tick << kTickShift);
}

WheelNode* Wheel::due(Micros now) {
    const std::uint64_t until = static_cast<std::uint64_t>(now) >> kTickShift;
    for (;;) {
        if (ready_.next != &ready_) {
            WheelNode* node = ready_.next;
            unlink(*node);
            --size_;
            return node;
        }
        const auto slot = first();
        if (!slot || slot->tick > until) break;
        tick_ = slot->tick;
        Level& level = levels_[static_cast<std::size_t>(slot->level)];
        level.taken &= ~(std::uint64_t{1} << slot->index);
        WheelNode& head = level.heads[slot->index];
        WheelNode moved;  // emptied first: what lies beyond the last level may come back to the same slot
        moved.prev = moved.next = &moved;
        while (head.next != &head) {
            WheelNode& node = *head.next;
            unlink(node);
            append(moved, node);
        }
        while (moved.next != &moved) {
            WheelNode& node = *moved.next;
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
