// Tests of the limit on the memory that connections hold together.
#include "net/buffer_budget.hpp"

#include <gtest/gtest.h>

#include "manual_net.hpp"

namespace valekeel {
namespace {

struct Holders {
    ManualNet net;
    net::BufferBudget budget{net, 1'000};
    std::vector<std::unique_ptr<net::BufferBudget::Holder>> holders;
    std::vector<std::size_t> closed;
    explicit Holders(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            holders.push_back(
                std::make_unique<net::BufferBudget::Holder>(budget, [this, i] { closed.push_back(i); }));
    }
};

// Many connections within their own limits add up to more than the process may use.
TEST(BufferBudget, ClosesThoseThatHoldTheMostUntilTheRestFits) {
    Holders held(4);
    for (std::size_t i = 0; i < 4; ++i) held.holders[i]->set(300 + 10 * i);
    EXPECT_EQ(held.budget.bytes(), 1'260u);
    EXPECT_TRUE(held.closed.empty());  // not from within set()
    held.net.advance(5'000);
    EXPECT_EQ(held.closed, (std::vector<std::size_t>{3}));
    EXPECT_EQ(held.budget.bytes(), 930u);
    held.holders[0]->set(900);
    held.net.advance(5'000);
    EXPECT_EQ(held.closed, (std::vector<std::size_t>{3, 0}));
    EXPECT_EQ(held.budget.closedCount(), 2u);
}

TEST(BufferBudget, WhatIsGivenBackInTimeClosesNobody) {
    Holders held(3);
    for (const auto& holder : held.holders) holder->set(400);
    held.holders[1].reset();
    held.net.advance(5'000);
    EXPECT_TRUE(held.closed.empty());
    held.holders[0]->set(0);
    EXPECT_EQ(held.budget.bytes(), 400u);
}

}  // namespace
}  // namespace valekeel
