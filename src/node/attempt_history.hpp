// Tells the messages about successive attempts of one set-up at one media server apart. Messages name only
// the tag, which all attempts share, so the answer and the release of an attempt that was given up may arrive
// while the next one is pending or plays. A media server reports an attempt on the connection of its set-up
// while that is open, so attempts whose messages may overlap need a connection each. Without I/O or clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/types.hpp"
#include "node/message.hpp"

namespace valekeel::node {

using ConnectionNumber = std::uint64_t;  // counts connections in the order in which they were opened

// What a media server has reported of an attempt.
enum class AttemptProgress {
    Unanswered,
    Answered,  // the session stands or stood; its release is still to come
    Ended,     // refused or released: its connection carries nothing more about it
};

// Which attempt a message is about.
enum class MessageSubject {
    Current,
    Earlier,
    Unclear,  // a release that may belong to either: nothing of either may be left standing
};

// The attempts at one media server that were given up although they may have run.
class AttemptHistory {
  public:
    struct GivenUpAttempt {
        std::optional<ConnectionNumber> connection;  // of the set-up; nothing if it has closed
        AttemptProgress progress = AttemptProgress::Unanswered;
        bool isRepeated = false;  // its release was received on a connection opened later
    };
    // The attempt that is pending or plays now.
    struct CurrentAttempt {
        std::optional<ConnectionNumber> connection;  // of the set-up; nothing if it has closed
        bool isPlaying = false;
    };

    // `newestConnection`: the number of the last connection that was opened to any media server.
    void add(const std::string& tag, SubId, const GivenUpAttempt&, ConnectionNumber newestConnection,
             Micros now);
    // Whether the connection may still carry messages about an earlier attempt with this tag; then the next
    // attempt must use another one.
    bool mayReportOn(ConnectionNumber, const std::string& tag) const;
    // Classifies a message and records what it tells of an earlier attempt. `current` is null if no attempt
    // with its tag is out at this media server.
    MessageSubject classify(ConnectionNumber, const Message&, const CurrentAttempt* current);

    bool contains(const std::string& tag) const { return entries_.count(tag) > 0; }
    std::size_t size() const { return entries_.size(); }
    void onConnectionClosed(ConnectionNumber);
    // Removes the set-ups that are no longer in use and whose last attempt was given up before
    // `givenUpBefore`.
    void expire(Micros givenUpBefore, const std::function<bool(const std::string& tag, SubId)>& isInUse);

  private:
    struct Entry {
        SubId id{};
        std::vector<GivenUpAttempt> attempts;
        Micros lastGivenUpAt = 0;
        ConnectionNumber newestConnection = 0;  // when the last attempt was given up
        bool hasStood = false;                  // one of the attempts is known to have been answered
    };
    static MessageSubject subjectOf(const Entry&, ConnectionNumber, const Message&, const CurrentAttempt&);
    static MessageSubject subjectOfRelease(const Entry&, ConnectionNumber, int cause, const CurrentAttempt&);
    static void record(Entry&, ConnectionNumber, const Message&);
    std::map<std::string, Entry, std::less<>> entries_;  // by tag
};

}  // namespace valekeel::node
