#include "node/attempt_history.hpp"

#include <algorithm>

namespace valekeel::node {
namespace {

bool isRefusal(int cause) {
    return cause == kCauseFull || cause == kCauseError || cause == kCauseMoot;
}

template <class Attempts>
auto findOn(Attempts& attempts, ConnectionNumber connection) {
    return std::find_if(attempts.begin(), attempts.end(), [&](const auto& attempt) {
        return attempt.connection == connection && attempt.progress != AttemptProgress::Ended;
    });
}

}  // namespace

void AttemptHistory::add(const std::string& tag, SubId id, const GivenUpAttempt& attempt,
                         ConnectionNumber newestConnection, Micros now) {
    Entry& entry = entries_[tag];
    entry.id = id;
    entry.attempts.push_back(attempt);
    entry.lastGivenUpAt = now;
    entry.newestConnection = newestConnection;
    entry.hasStood |= attempt.progress == AttemptProgress::Answered;
}

bool AttemptHistory::mayReportOn(ConnectionNumber connection, const std::string& tag) const {
    const auto it = entries_.find(tag);
    return it != entries_.end() && findOn(it->second.attempts, connection) != it->second.attempts.end();
}

MessageSubject AttemptHistory::classify(ConnectionNumber connection, const Message& message,
                                        const CurrentAttempt* current) {
    const auto it = entries_.find(message.tag);
    if (it == entries_.end()) return MessageSubject::Current;
    const MessageSubject subject =
        current ? subjectOf(it->second, connection, message, *current) : MessageSubject::Earlier;
    if (subject == MessageSubject::Earlier) record(it->second, connection, message);
    return subject;
}

MessageSubject AttemptHistory::subjectOf(const Entry& entry, ConnectionNumber connection,
                                         const Message& message, const CurrentAttempt& current) {
    if (message.verb == "FINISH")
        return subjectOfRelease(entry, connection, message.cause.value_or(0), current);
    if (connection == current.connection) return MessageSubject::Current;
    // An answer comes only on the connection of its set-up, a notice on any once that has closed.
    const bool mayComeElsewhere = message.verb != "STARTED" && !current.connection;
    return mayComeElsewhere ? MessageSubject::Current : MessageSubject::Earlier;
}

// A release comes on the connection of its set-up, else on any open one, and once more on the next connection
// that is opened.
MessageSubject AttemptHistory::subjectOfRelease(const Entry& entry, ConnectionNumber connection, int cause,
                                                const CurrentAttempt& current) {
    const bool isOwnConnection = connection == current.connection;
    const bool isConfirmation = cause == kCauseCancelled;  // of a FINISH; no set-up is refused with it
    if (!current.isPlaying)
        return isOwnConnection && !isConfirmation ? MessageSubject::Current : MessageSubject::Earlier;
    if (isOwnConnection) return MessageSubject::Current;
    if (isRefusal(cause)) return MessageSubject::Earlier;
    const auto attempt = findOn(entry.attempts, connection);
    const bool isExpected = attempt != entry.attempts.end() && attempt->progress == AttemptProgress::Answered;
    if (isExpected && (current.connection || isConfirmation)) return MessageSubject::Earlier;
    const bool mayBeRepetition = isConfirmation && entry.hasStood && connection > entry.newestConnection &&
                                 std::any_of(entry.attempts.begin(), entry.attempts.end(),
                                             [](const GivenUpAttempt& other) { return !other.isRepeated; });
    return mayBeRepetition ? MessageSubject::Earlier : MessageSubject::Unclear;
}

void AttemptHistory::record(Entry& entry, ConnectionNumber connection, const Message& message) {
    const bool isAnswer = message.verb == "STARTED";
    const bool isRelease = message.verb == "FINISH";
    const bool isConfirmation = isRelease && message.cause == kCauseCancelled;
    entry.hasStood |= isAnswer || isConfirmation;
    const auto attempt = findOn(entry.attempts, connection);
    if (attempt != entry.attempts.end()) {
        if (isAnswer) attempt->progress = AttemptProgress::Answered;
        if (isRelease) attempt->progress = AttemptProgress::Ended;
    } else if (isConfirmation && connection > entry.newestConnection) {
        const auto repeated = std::find_if(entry.attempts.begin(), entry.attempts.end(),
                                           [](const GivenUpAttempt& other) { return !other.isRepeated; });
        if (repeated != entry.attempts.end()) repeated->isRepeated = true;
    }
}

void AttemptHistory::onConnectionClosed(ConnectionNumber connection) {
    for (auto& [tag, entry] : entries_)
        for (GivenUpAttempt& attempt : entry.attempts)
            if (attempt.connection == connection) attempt.connection.reset();
}

void AttemptHistory::expire(Micros givenUpBefore,
                            const std::function<bool(const std::string& tag, SubId)>& isInUse) {
    std::erase_if(entries_, [&](const auto& item) {
        return item.second.lastGivenUpAt < givenUpBefore && !isInUse(item.first, item.second.id);
    });
}

}  // namespace valekeel::node
