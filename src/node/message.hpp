// The platform's messages: one JSON object a line. Bytes to values and back, nothing else.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace valekeel::node {

constexpr std::size_t kLongestLine = 16 * 1024;  // the protocol's limit of a message

struct Message {
    std::string verb, tag;
    nlohmann::json opts = nlohmann::json::object();  // texts and numbers by name
    std::optional<int> cause;
    std::optional<std::string> description;

    const std::string* text(const char* name) const;  // nothing where it is absent or no text
    // A number, or a text that is one whole finite number; nothing where it is neither.
    std::optional<double> number(const char* name) const;
};

// What a line holds; nothing where it is no message. A field of the wrong kind makes it none.
std::optional<Message> parseMessage(std::string_view line);
// With the line's end. Texts are written as they were read.
std::string formatMessage(const Message&);

bool wellFormedTag(std::string_view);                   // 16 hex digits
std::optional<double> numberOf(std::string_view text);  // whole text, finite

}  // namespace valekeel::node
