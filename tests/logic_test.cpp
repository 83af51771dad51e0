// The module without the bench.
#include <gtest/gtest.h>

#include "rig.hpp"

namespace valekeel {
namespace {

TEST(Joins, APaidOneThatTimedOutIsTerminatedNotRepeated) {
    Rig rig(Site{.paid = true});
    rig.subscribe(1);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 1u);
    rig.end(1, JoinEnd::TimedOut);
    rig.run(kSecond);
    EXPECT_EQ(rig.joins.size(), 1u);
    EXPECT_EQ(rig.terminated.count(SubId{1}), 1u);
    EXPECT_EQ(rig.throttled.count(SubId{1}), 0u);
}

TEST(Joins, ATurnedAwayPaidOneGoesElsewhere) {
    Rig rig(Site{.paid = true});
    rig.subscribe(1);
    rig.run(kSecond / 10);
    const SfuId first = rig.joins.at(0).at;
    rig.end(1, JoinEnd::Full);
    rig.run(kSecond / 10);
    ASSERT_EQ(rig.joins.size(), 2u);
    EXPECT_NE(rig.joins[1].at, first);
}

}  // namespace
}  // namespace valekeel
