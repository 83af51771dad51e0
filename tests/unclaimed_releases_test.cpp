// Tests of the releases that arrive before their sessions are handed over.
#include "node/unclaimed_releases.hpp"

#include <gtest/gtest.h>

namespace valekeel::node {
namespace {

constexpr SfuId kServer{1}, kOtherServer{2};

TEST(UnclaimedReleases, ReturnsAReleaseOnceAndOnlyForItsServer) {
    UnclaimedReleases releases({10, 30 * kSecond});
    releases.add("a", {kServer, 41, {}, 0});
    releases.add("a", {kServer, 16, {}, 1});  // repeated: the first one counts
    EXPECT_FALSE(releases.take("a", kOtherServer));
    EXPECT_FALSE(releases.take("b", kServer));
    const auto release = releases.take("a", kServer);
    ASSERT_TRUE(release);
    EXPECT_EQ(release->cause, 41);
    EXPECT_FALSE(releases.take("a", kServer));
}

// Guards against memory that grows with releases of sessions that are never handed over.
TEST(UnclaimedReleases, KeepsALimitedNumberForALimitedTime) {
    UnclaimedReleases releases({3, 30 * kSecond});
    for (int n = 0; n < 100; ++n) releases.add(std::to_string(n), {kServer, 16, {}, n * kSecond});
    EXPECT_EQ(releases.size(), 3u);
    EXPECT_FALSE(releases.take("96", kServer));
    EXPECT_TRUE(releases.take("97", kServer));
    releases.expire((98 + 31) * kSecond);
    EXPECT_FALSE(releases.take("98", kServer));
    EXPECT_EQ(releases.size(), 1u);
    releases.expire(200 * kSecond);
    EXPECT_EQ(releases.size(), 0u);
}

// The expiry of the first release must not remove a later one with the same tag.
TEST(UnclaimedReleases, ExpiryOfATakenReleaseKeepsALaterOne) {
    UnclaimedReleases releases({10, 30 * kSecond});
    releases.add("a", {kServer, 16, {}, 0});
    ASSERT_TRUE(releases.take("a", kServer));
    releases.add("a", {kServer, 41, {}, 10 * kSecond});
    releases.expire(35 * kSecond);
    EXPECT_TRUE(releases.take("a", kServer));
}

}  // namespace
}  // namespace valekeel::node
