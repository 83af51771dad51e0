// Tests of the file in which a front saves what it has learnt about media servers.
#include <gtest/gtest.h>

#include "evidence/evidence_file.hpp"
#include "settings/kdl.hpp"

namespace valekeel::evidence {
namespace {

TEST(EvidenceFile, RoundTrips) {
    EvidenceFile saved{77, {}};
    saved.servers.push_back({ServerEvidence{SfuId{3}, 4.5, 0.25, 1'200'000}, 99});
    saved.servers.push_back({ServerEvidence{SfuId{4'294'967'295}, -2, std::nullopt, 0}, 0});
    const EvidenceFile loaded = parseEvidenceFile("f", formatEvidenceFile(saved), 10);
    EXPECT_EQ(loaded.savedAt, 77);
    ASSERT_EQ(loaded.servers.size(), 2u);
    EXPECT_EQ(loaded.servers[0].evidence.id, SfuId{3});
    EXPECT_EQ(loaded.servers[0].launched, 99);
    EXPECT_DOUBLE_EQ(loaded.servers[0].evidence.evidence, 4.5);
    EXPECT_DOUBLE_EQ(*loaded.servers[0].evidence.linkUse, 0.25);
    EXPECT_EQ(loaded.servers[0].evidence.age, 1'200'000);
    EXPECT_EQ(loaded.servers[1].evidence.id.v, 4'294'967'295u);
    EXPECT_FALSE(loaded.servers[1].evidence.linkUse);
}

TEST(EvidenceFile, RejectsInvalidContents) {
    for (const char* bad :
         {"", "learnt 2 saved-us=1", "learnt 1", "learnt 1 saved-us=1\nbox", "box 3",
          "learnt 1 saved-us=1\nbox 3 link-use=-1", "learnt 1 saved-us=1\nbox 3 link-use=#nan",
          "learnt 1 saved-us=1\nbox 3 evidence=1e9", "learnt 1 saved-us=1\nbox 3\nbox 3",
          "learnt 1 saved-us=1\nbox 3 evid"})
        EXPECT_THROW(parseEvidenceFile("f", bad, 10), settings::SettingsError) << bad;
    EXPECT_THROW(parseEvidenceFile("f", "learnt 1 saved-us=1\nbox 1\nbox 2", 1), settings::SettingsError);
}

}  // namespace
}  // namespace valekeel::evidence
