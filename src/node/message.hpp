// The platform protocol's messages, one JSON object per line: parsing and formatting only.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::node {

constexpr std::size_t kMaxLineBytes = 16 * 1024;  // the protocol's limit for one message

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
