#include "node/message.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace valekeel::node {

using Json = nlohmann::json;

std::optional<double> numberOf(std::string_view text) {
    double value = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || wrong != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

const std::string* Message::text(const char* name) const {
    const auto it = opts.find(name);
    return it == opts.end() || !it->is_string() ? nullptr : it->get_ptr<const std::string*>();
}

std::optional<double> Message::number(const char* name) const {
    const auto it = opts.find(name);
    if (it == opts.end()) return std::nullopt;
    if (it->is_number()) {
        const double value = it->get<double>();
        return std::isfinite(value) ? std::optional(value) : std::nullopt;
    }
    if (!it->is_string()) return std::nullopt;
    return numberOf(it->get_ref<const std::string&>());
}

std::optional<Message> parseMessage(std::string_view line) {
    Json read = Json::parse(line, nullptr, false);
    if (!read.is_object()) return std::nullopt;
    Message out;
    for (auto& [key, value] : read.items()) {
        if (key == "verb" || key == "tag") {
            if (!value.is_string()) return std::nullopt;
            (key == "verb" ? out.verb : out.tag) = value.get<std::string>();
        } else if (key == "opts") {
            if (!value.is_object()) return std::nullopt;
            for (const Json& one : value)
                if (!one.is_string() && !one.is_number()) return std::nullopt;
            out.opts = std::move(value);
        } else if (key == "rc") {
            if (!value.is_number_integer()) return std::nullopt;
            const auto cause = value.get<std::int64_t>();
            if (cause < 0 || cause > 1'000'000) return std::nullopt;
            out.cause = static_cast<int>(cause);
        } else if (key == "blob") {
            if (!value.is_string()) return std::nullopt;
            out.description = value.get<std::string>();
        }
    }
    if (out.verb.empty()) return std::nullopt;
    return out;
}

std::string formatMessage(const Message& message) {
    nlohmann::ordered_json line;
    line["verb"] = message.verb;
    line["tag"] = message.tag;
    line["opts"] = message.opts;
    if (message.cause) line["rc"] = *message.cause;
    if (message.description) line["blob"] = *message.description;
    return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

bool wellFormedTag(std::string_view tag) {
    return tag.size() == 16 && std::all_of(tag.begin(), tag.end(), [](unsigned char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

}  // namespace valekeel::node
