// Tests of the queue that shares the event loop between connections with much input.
#include "net/turn_queue.hpp"

#include <gtest/gtest.h>

#include "manual_net.hpp"

namespace valekeel {
namespace {

using net::TurnQueue;

// Members that have input for ever, and a record of whose turn it was.
struct BusyMembers {
    ManualNet net;
    TurnQueue queue{net};
    std::vector<std::unique_ptr<TurnQueue::Member>> members;
    std::vector<std::size_t> turns;
    void add(std::size_t work) {
        const std::size_t number = members.size();
        members.push_back(std::make_unique<TurnQueue::Member>(queue, [this, number, work] {
            turns.push_back(number);
            members[number]->wait();
            return work;
        }));
        members.back()->wait();
    }
};

// One connection with input for ever would keep the others waiting.
TEST(TurnQueue, EachGetsOneTurnInARound) {
    BusyMembers busy;
    for (int i = 0; i < 3; ++i) busy.add(TurnQueue::kWorkPerTurn);
    busy.net.advance(1'100);
    EXPECT_EQ(busy.turns, (std::vector<std::size_t>{0, 1, 2}));
    EXPECT_EQ(busy.queue.size(), 3u);
}

// Hundreds of connections, each within its limit, would keep timers and other sockets waiting.
TEST(TurnQueue, WorkOfARoundIsLimitedAndAllGetTheirTurn) {
    BusyMembers busy;
    constexpr std::size_t kCount = 500;
    for (std::size_t i = 0; i < kCount; ++i) busy.add(TurnQueue::kWorkPerTurn);
    constexpr std::size_t kPerRound = TurnQueue::kWorkPerRound / TurnQueue::kWorkPerTurn;
    std::vector<int> turns(kCount);
    for (std::size_t round = 0; round < kCount / kPerRound + 1; ++round) {
        busy.turns.clear();
        busy.net.advance(1'024);
        EXPECT_LE(busy.turns.size(), kPerRound);
        for (const std::size_t member : busy.turns) ++turns[member];
    }
    for (const int count : turns) EXPECT_GE(count, 1);
}

// A turn that reports no work must not make a round endless.
TEST(TurnQueue, TurnWithoutWorkCountsAsAMessage) {
    BusyMembers busy;
    for (int i = 0; i < 1'000; ++i) busy.add(0);
    busy.net.advance(1'100);
    EXPECT_EQ(busy.turns.size(), TurnQueue::kWorkPerRound / TurnQueue::kWorkPerMessage);
}

TEST(TurnQueue, MembersLeaveWhileOthersWait) {
    ManualNet net;
    TurnQueue queue(net);
    int turns = 0;
    std::unique_ptr<TurnQueue::Member> second;
    TurnQueue::Member first(queue, [&] {
        second.reset();
        return ++turns, std::size_t{1};
    });
    second = std::make_unique<TurnQueue::Member>(queue, [&] { return turns += 100, std::size_t{1}; });
    TurnQueue::Member third(queue, [&] { return turns += 10, std::size_t{1}; });
    TurnQueue::Member fourth(queue, [&] { return turns += 1'000, std::size_t{1}; });
    for (TurnQueue::Member* member : {&first, second.get(), &third, &fourth}) member->wait();
    third.wait();  // keeps its place
    fourth.cancel();
    net.advance(5'000);
    EXPECT_EQ(turns, 11);
    EXPECT_EQ(queue.size(), 0u);
}

}  // namespace
}  // namespace valekeel
