// Tests of the map by tag whose entries expire.
#include "node/expiring_map.hpp"

#include <gtest/gtest.h>

namespace valekeel::node {
namespace {

using Map = ExpiringMap<int>;

TEST(ExpiringMap, KeepsTheFirstValueUntilItIsRemoved) {
    Map map({10, 30 * kSecond});
    map.add("a", 41, 0);
    map.add("a", 16, 1);
    ASSERT_NE(map.find("a"), nullptr);
    EXPECT_EQ(*map.find("a"), 41);
    EXPECT_EQ(map.find("b"), nullptr);
    map.remove("a");
    EXPECT_EQ(map.find("a"), nullptr);
}

// Guards against memory that grows with tags that never come again.
TEST(ExpiringMap, KeepsALimitedNumberForALimitedTime) {
    Map map({3, 30 * kSecond});
    for (int n = 0; n < 100; ++n) map.add(std::to_string(n), n, n * kSecond);
    EXPECT_EQ(map.size(), 3u);
    EXPECT_EQ(map.find("96"), nullptr);
    EXPECT_NE(map.find("97"), nullptr);
    map.remove("97");
    map.expire((98 + 31) * kSecond);
    EXPECT_EQ(map.find("98"), nullptr);
    EXPECT_EQ(map.size(), 1u);
    map.expire(200 * kSecond);
    EXPECT_EQ(map.size(), 0u);
}

// The expiry of a removed entry must not remove a later one with the same tag.
TEST(ExpiringMap, ExpiryOfARemovedEntryKeepsALaterOne) {
    Map map({10, 30 * kSecond});
    map.add("a", 1, 0);
    map.remove("a");
    map.add("a", 2, 10 * kSecond);
    map.expire(35 * kSecond);
    EXPECT_NE(map.find("a"), nullptr);
}

}  // namespace
}  // namespace valekeel::node
