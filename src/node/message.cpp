#include "node/message.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace valekeel::node {

using Json = nlohmann::json;

std::optional<double> parseNumber(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

const std::string* Message::textOption(const char* name) const {
    const auto it = options.find(name);
    return it == options.end() || !it->is_string() ? nullptr : it->get_ptr<const std::string*>();
}

std::optional<double> Message::numberOption(const char* name) const {
    const auto it = options.find(name);
    if (it == options.end()) return std::nullopt;
    if (it->is_number()) {
        const double value = it->get<double>();
        return std::isfinite(value) ? std::optional(value) : std::nullopt;
    }
    if (!it->is_string()) return std::nullopt;
    return parseNumber(it->get_ref<const std::string&>());
}

std::optional<Message> parseMessage(std::string_view line) {
    Json parsed = Json::parse(line, nullptr, false);
    if (!parsed.is_object()) return std::nullopt;
    Message message;
    for (auto& [key, value] : parsed.items()) {
        if (key == "verb" || key == "tag") {
            if (!value.is_string()) return std::nullopt;
            (key == "verb" ? message.verb : message.tag) = value.get<std::string>();
        } else if (key == "opts") {
            if (!value.is_object()) return std::nullopt;
            for (const Json& option : value)
                if (!option.is_string() && !option.is_number()) return std::nullopt;
            message.options = std::move(value);
        } else if (key == "rc") {
            if (!value.is_number_integer()) return std::nullopt;
            const auto cause = value.get<std::int64_t>();
            if (cause < 0 || cause > 1'000'000) return std::nullopt;
            message.cause = static_cast<int>(cause);
        } else if (key == "blob") {
            if (!value.is_string()) return std::nullopt;
            message.description = value.get<std::string>();
        }
    }
    if (message.verb.empty()) return std::nullopt;
    return message;
}

std::string formatMessage(const Message& message) {
    nlohmann::ordered_json line;
    line["verb"] = message.verb;
    line["tag"] = message.tag;
    line["opts"] = message.options;
    if (message.cause) line["rc"] = *message.cause;
    if (message.description) line["blob"] = *message.description;
    return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

bool isValidTag(std::string_view tag) {
    return tag.size() == 16 && std::all_of(tag.begin(), tag.end(), [](unsigned char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

}  // namespace valekeel::node
