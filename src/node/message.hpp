// The platform protocol's messages, one JSON object per line: parsing and formatting only.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::node {

constexpr std::size_t kMaxLineBytes = 16 * 1024;  // the protocol's limit for one message

// The causes of a media server's FINISH. Those of a refusal come before the answer, those of a release after.
constexpr int kCauseFull = 34;    // refusal: the set-up never ran
constexpr int kCauseError = 47;   // refusal
constexpr int kCauseMoot = 102;   // refusal: the set-up was never sent
constexpr int kCauseNormal = 16;  // release: the session came to its end; also the cause of the front's own
constexpr int kCauseCancelled = 31;  // release: this front ended the session
constexpr int kCauseCut = 41;        // release: the session was cut off; before the answer: a reset

struct Message {
    std::string verb, tag;
    nlohmann::json options = nlohmann::json::object();  // strings and numbers by name; "opts" in the protocol
    std::optional<int> cause;                           // "rc"
    std::optional<std::string> description;             // "blob"

    // Returns null if the option is absent or not a string.
    const std::string* textOption(const char* name) const;
    // Returns a number, or the value of a string that is one finite number; nothing if it is neither.
    std::optional<double> numberOption(const char* name) const;
};

// Parses a line without its newline. Returns nothing if it is no message or a known field has the wrong type;
// unknown fields are ignored.
std::optional<Message> parseMessage(std::string_view line);
// Returns the message as one line with its newline; bytes that are not UTF-8 are replaced.
std::string formatMessage(const Message&);

bool isValidTag(std::string_view);                         // 16 hex digits
std::optional<double> parseNumber(std::string_view text);  // the whole text, finite

}  // namespace valekeel::node
