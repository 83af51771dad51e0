#include <gtest/gtest.h>

#include <map>
#include <random>

#include "frontends/http/playlist_window.hpp"
#include "hls/playlist.hpp"

namespace valekeel {
namespace {

TEST(Hls, ParsesByteRangesMapsAndDurationsAndRoundTrips) {
    const auto parsed = hls::parseMediaPlaylist(
        "#EXTM3U\r\n#EXT-X-TARGETDURATION:4\n#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-MAP:URI=\"i,1.mp4\",BYTERANGE="
        "\"10@0\"\n"
        "#EXT-X-BYTERANGE:100@10\n#EXTINF:4.0,title\nall.mp4\n#EXT-X-UNKNOWN:x\n#EXT-X-BYTERANGE:50\n#EXTINF:"
        "2,\nall.mp4\n"
        "#EXT-X-DISCONTINUITY\n#EXTINF:1.5\nb.mp4\n#EXT-X-ENDLIST\n");
    ASSERT_TRUE(parsed.playlist) << parsed.why;
    const hls::MediaPlaylist& p = *parsed.playlist;
    EXPECT_EQ(p.mediaSequence, 7u);
    ASSERT_EQ(p.segments.size(), 3u);
    EXPECT_EQ(p.segments[1].range, (hls::Range{50, 110}));
    EXPECT_EQ(p.maps[0].uri, "i,1.mp4");
    EXPECT_EQ(p.segments[2].duration, 1'500'000);
    EXPECT_TRUE(p.segments[2].discontinuity);
    EXPECT_TRUE(p.ended);
    const auto reparsed = hls::parseMediaPlaylist(hls::write(p));
    ASSERT_TRUE(reparsed.playlist) << reparsed.why;
    EXPECT_EQ(*reparsed.playlist, p);
}

TEST(Hls, RejectsMalformedPlaylistsWithLineNumber) {
    EXPECT_EQ(hls::parseMediaPlaylist("").why, "it is empty");
    EXPECT_EQ(hls::parseMediaPlaylist("<html>").why, "its first line is not #EXTM3U");
    EXPECT_EQ(hls::parseMediaPlaylist("#EXTM3U\na.mp4").why, "line 2: a segment without #EXTINF");
    EXPECT_EQ(hls::parseMediaPlaylist("#EXTM3U\n#EXTINF:x,\na").why, "line 2: #EXTINF is broken");
    EXPECT_EQ(hls::parseMediaPlaylist("#EXTM3U\n#EXTINF:nan,\na").why, "line 2: #EXTINF is broken");
    EXPECT_EQ(hls::parseMediaPlaylist("#EXTM3U\n#EXTINF:1,\na").why, "#EXT-X-TARGETDURATION is missing");
    EXPECT_EQ(hls::parseMultivariantPlaylist("#EXTM3U\n#EXT-X-STREAM-INF:X=1\na").why,
              "line 2: #EXT-X-STREAM-INF names no BANDWIDTH");
    EXPECT_EQ(hls::parseMultivariantPlaylist("#EXTM3U\n").why, "it names no variant");
    hls::PlaylistLimits small{100, 1};
    EXPECT_FALSE(
        hls::parseMediaPlaylist("#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:1,\na\n#EXTINF:1,\nb\n", small)
            .playlist);
    EXPECT_FALSE(hls::parseMediaPlaylist("#EXTM3U\n" + std::string(200, '\n'), small).playlist);
}

TEST(Hls, ResolvesReferencesOnlyWithinTheHost) {
    EXPECT_EQ(hls::resolveReference("/talk/a/main.m3u8?x=1", "2/media.m3u8"), "/talk/a/2/media.m3u8");
    EXPECT_EQ(hls::resolveReference("/talk/a/2/media.m3u8", "../init.mp4?y"), "/talk/a/init.mp4?y");
    EXPECT_EQ(hls::resolveReference("/a/b", "/c/./d"), "/c/d");
    EXPECT_EQ(hls::resolveReference("/a", "../../../etc"), "/etc");
    EXPECT_FALSE(hls::resolveReference("/a", "//other/x"));
    EXPECT_FALSE(hls::resolveReference("/a", "http://other/x"));
}

// Random rung changes and request times: a listed segment must keep its rung, and segments must not have
// gaps.
TEST(PlaylistWindow, RungChangesNeverAlterListedSegments) {
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](int lo, int hi) { return std::uniform_int_distribution<int>(lo, hi)(random); };
        std::vector<Micros> durations;
        for (int i = pick(1, 80); i > 0; --i) durations.push_back(pick(200, 3'000) * 1'000);
        frontends::PlaylistWindow window({5 * kSecond, 3 * kSecond});
        std::map<std::uint64_t, int> listed;
        Micros played = 0;
        std::uint64_t lastFirst = 0, fetched = 0;
        for (int step = 0; step < 200; ++step) {
            const int rung = pick(0, 3);
            window.extend(played, rung, durations);
            const hls::MediaPlaylist p = window.playlist(durations);
            ASSERT_GE(p.mediaSequence, lastFirst);
            lastFirst = p.mediaSequence;
            for (std::size_t i = 0; i < p.segments.size(); ++i) {
                const std::uint64_t number = p.mediaSequence + i;
                const auto* segment = window.find(number);
                ASSERT_TRUE(segment);
                const auto [it, inserted] = listed.try_emplace(number, segment->rung);
                ASSERT_EQ(it->second, segment->rung) << "segment " << number << " changed, seed " << seed;
                if (inserted) {
                    ASSERT_EQ(segment->rung, rung);
                }
                ASSERT_EQ(p.maps[static_cast<std::size_t>(p.segments[i].map)].uri,
                          "init-" + std::to_string(segment->rung) + ".mp4");
                if (i > 0) {
                    ASSERT_EQ(p.segments[i].discontinuity, window.find(number - 1)->rung != segment->rung);
                }
            }
            if (!listed.empty()) {
                ASSERT_EQ(listed.size(), listed.rbegin()->first + 1) << "gap in the segment numbers";
            }
            // A viewer that lags behind: segments it has not fetched stay listed.
            if (!p.segments.empty() && pick(0, 1)) {
                fetched = std::min(p.mediaSequence + p.segments.size() - 1,
                                   fetched + static_cast<std::uint64_t>(pick(0, 2)));
                window.fetched(fetched);
            }
            ASSERT_LE(p.mediaSequence, fetched);
            played += pick(0, 1'500) * 1'000;
        }
        EXPECT_EQ(window.playlist(durations).ended, window.next() == durations.size());
    }
}

}  // namespace
}  // namespace valekeel
