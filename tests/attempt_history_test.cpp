// Tests of how messages are told apart that name the same tag but different attempts.
#include "node/attempt_history.hpp"

#include <gtest/gtest.h>

namespace valekeel::node {
namespace {

constexpr const char* kTag = "00000000000000a1";
constexpr ConnectionNumber kFirst = 4, kSecond = 5, kLater = 9;
constexpr AttemptHistory::CurrentAttempt kPending{kSecond, false}, kPlaying{kSecond, true},
    kPlayingAlone{std::nullopt, true};  // the connection of its set-up has closed

Message message(const std::string& verb, std::optional<int> cause = {}) {
    Message result;
    result.verb = verb;
    result.tag = kTag;
    result.cause = cause;
    return result;
}

// One attempt was given up on kFirst while kSecond was the newest connection.
struct AttemptHistoryTest : testing::Test {
    AttemptHistory history;
    AttemptHistoryTest() { add(AttemptProgress::Unanswered); }
    void add(AttemptProgress progress, std::optional<ConnectionNumber> connection = kFirst) {
        history.add(kTag, SubId{1}, {connection, progress}, kSecond, 1'000);
    }
    MessageSubject subjectOf(ConnectionNumber connection, const Message& received,
                             const AttemptHistory::CurrentAttempt& current) {
        return history.classify(connection, received, &current);
    }
};

TEST(AttemptHistory, WithoutAnEarlierAttemptEverythingIsAboutTheCurrentOne) {
    AttemptHistory history;
    for (const char* verb : {"STARTED", "NOTICE", "FINISH"})
        EXPECT_EQ(history.classify(kLater, message(verb, kCauseCancelled), &kPlaying),
                  MessageSubject::Current);
    EXPECT_FALSE(history.mayReportOn(kFirst, kTag));
}

TEST_F(AttemptHistoryTest, AnswerBelongsToTheConnectionOfItsSetup) {
    EXPECT_EQ(subjectOf(kSecond, message("STARTED"), kPending), MessageSubject::Current);
    EXPECT_EQ(subjectOf(kFirst, message("STARTED"), kPending), MessageSubject::Earlier);
    EXPECT_EQ(subjectOf(kFirst, message("STARTED"), kPlaying), MessageSubject::Earlier);
}

TEST_F(AttemptHistoryTest, NoticeMayComeElsewhereOnceItsConnectionHasClosed) {
    EXPECT_EQ(subjectOf(kFirst, message("NOTICE"), kPlaying), MessageSubject::Earlier);
    EXPECT_EQ(subjectOf(kFirst, message("NOTICE"), kPlayingAlone), MessageSubject::Current);
}

TEST_F(AttemptHistoryTest, RefusalBelongsToTheConnectionOfItsSetup) {
    for (const int cause : {kCauseFull, kCauseError, kCauseMoot}) {
        EXPECT_EQ(subjectOf(kSecond, message("FINISH", cause), kPending), MessageSubject::Current);
        EXPECT_EQ(subjectOf(kFirst, message("FINISH", cause), kPending), MessageSubject::Earlier);
        EXPECT_EQ(subjectOf(kFirst, message("FINISH", cause), kPlaying), MessageSubject::Earlier);
    }
}

// The end of an earlier attempt is also sent on the connection of the next set-up, right before it.
TEST_F(AttemptHistoryTest, ConfirmationBeforeTheAnswerIsAboutTheEarlierAttempt) {
    EXPECT_EQ(subjectOf(kSecond, message("FINISH", kCauseCancelled), kPending), MessageSubject::Earlier);
    EXPECT_EQ(subjectOf(kSecond, message("FINISH", kCauseCut), kPending), MessageSubject::Current);
}

TEST_F(AttemptHistoryTest, ReleaseAfterALateAnswerIsAboutTheEarlierAttempt) {
    for (const int cause : {kCauseNormal, kCauseCancelled, kCauseCut}) {
        history = {};
        add(AttemptProgress::Unanswered);
        subjectOf(kFirst, message("STARTED"), kPlaying);
        EXPECT_EQ(subjectOf(kFirst, message("FINISH", cause), kPlaying), MessageSubject::Earlier) << cause;
        // A second one cannot be.
        EXPECT_EQ(subjectOf(kFirst, message("FINISH", cause), kPlaying), MessageSubject::Unclear) << cause;
    }
}

TEST_F(AttemptHistoryTest, OwnReleaseIsAlwaysAboutTheCurrentAttempt) {
    subjectOf(kFirst, message("STARTED"), kPlaying);
    for (const int cause : {kCauseNormal, kCauseCancelled, kCauseCut})
        EXPECT_EQ(subjectOf(kSecond, message("FINISH", cause), kPlaying), MessageSubject::Current);
}

// The earlier attempt's end may have reached the media server after the next set-up, and have ended that.
TEST_F(AttemptHistoryTest, ConfirmationWithoutAnAnswerIsUnclear) {
    EXPECT_EQ(subjectOf(kFirst, message("FINISH", kCauseCancelled), kPlaying), MessageSubject::Unclear);
}

TEST_F(AttemptHistoryTest, ReleaseOnAnyConnectionIsUnclearOnceTheOwnOneHasClosed) {
    subjectOf(kFirst, message("STARTED"), kPlaying);
    EXPECT_EQ(subjectOf(kFirst, message("FINISH", kCauseCut), kPlayingAlone), MessageSubject::Unclear);
    EXPECT_EQ(subjectOf(kLater, message("FINISH", kCauseNormal), kPlayingAlone), MessageSubject::Unclear);
    EXPECT_EQ(subjectOf(kFirst, message("FINISH", kCauseCancelled), kPlayingAlone), MessageSubject::Earlier);
}

// Media servers repeat a release on the next connection that opens, once.
TEST_F(AttemptHistoryTest, RepeatedReleaseIsAboutTheEarlierAttemptThatStood) {
    EXPECT_EQ(subjectOf(kLater, message("FINISH", kCauseCancelled), kPlaying), MessageSubject::Unclear);
    subjectOf(kFirst, message("FINISH", kCauseCancelled), kPending);
    EXPECT_EQ(subjectOf(kLater, message("FINISH", kCauseCut), kPlaying), MessageSubject::Unclear);
    EXPECT_EQ(subjectOf(kSecond - 2, message("FINISH", kCauseCancelled), kPlaying), MessageSubject::Unclear);
    EXPECT_EQ(subjectOf(kLater, message("FINISH", kCauseCancelled), kPlayingAlone), MessageSubject::Earlier);
    EXPECT_EQ(subjectOf(kLater, message("FINISH", kCauseCancelled), kPlayingAlone), MessageSubject::Unclear);
}

// The repetition may also come on the connection of the next set-up, ahead of its answer.
TEST_F(AttemptHistoryTest, ReleaseIsRepeatedOnOneConnectionOnly) {
    history = {};
    history.add(kTag, SubId{1}, {kFirst}, kFirst, 1'000);
    EXPECT_EQ(subjectOf(kSecond, message("FINISH", kCauseCancelled), kPending), MessageSubject::Earlier);
    EXPECT_EQ(subjectOf(kLater, message("FINISH", kCauseCancelled), kPlayingAlone), MessageSubject::Unclear);
    EXPECT_EQ(subjectOf(kFirst, message("STARTED"), kPlaying), MessageSubject::Earlier);
    EXPECT_EQ(subjectOf(kFirst, message("FINISH", kCauseCancelled), kPlaying), MessageSubject::Earlier);
}

TEST_F(AttemptHistoryTest, ConnectionIsFreeAgainOnceItsAttemptHasEndedOrItHasClosed) {
    EXPECT_TRUE(history.mayReportOn(kFirst, kTag));
    EXPECT_FALSE(history.mayReportOn(kSecond, kTag));
    EXPECT_FALSE(history.mayReportOn(kFirst, "00000000000000a2"));
    EXPECT_EQ(history.classify(kFirst, message("STARTED"), nullptr), MessageSubject::Earlier);
    EXPECT_TRUE(history.mayReportOn(kFirst, kTag));
    EXPECT_EQ(history.classify(kFirst, message("FINISH", kCauseCancelled), nullptr), MessageSubject::Earlier);
    EXPECT_FALSE(history.mayReportOn(kFirst, kTag));
    add(AttemptProgress::Unanswered, kLater);
    EXPECT_TRUE(history.mayReportOn(kLater, kTag));
    history.onConnectionClosed(kLater);
    EXPECT_FALSE(history.mayReportOn(kLater, kTag));
    add(AttemptProgress::Ended, kFirst);  // refused
    EXPECT_FALSE(history.mayReportOn(kFirst, kTag));
}

TEST_F(AttemptHistoryTest, OnlySetupsThatAreOverExpire) {
    history.add("00000000000000a2", SubId{2}, {}, kSecond, 1'000);
    history.add("00000000000000a3", SubId{3}, {}, kSecond, 2'000);
    history.expire(1'500, [](const std::string&, SubId id) { return id == SubId{1}; });
    EXPECT_TRUE(history.contains(kTag));
    EXPECT_FALSE(history.contains("00000000000000a2"));
    EXPECT_TRUE(history.contains("00000000000000a3"));
    EXPECT_EQ(history.size(), 2u);
}

}  // namespace
}  // namespace valekeel::node
