#include "hints/cmcd.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

#include "http/message.hpp"

namespace valekeel::hints {
namespace {

enum class Kind { Number, Decimal, Flag, Text, Url, Token };

// A key of CTA-5004, table 1: the header it belongs to, its type, its limit.
struct KeyDefinition {
    std::string_view name;
    std::size_t header;
    Kind kind;
    std::int64_t max;         // of a number; of a text, its length in bytes
    std::string_view tokens;  // allowed values, separated by spaces
};
constexpr std::int64_t kMaxRate = 10'000'000'000;  // kbit/s, far above any real rate
constexpr std::int64_t kMaxTime = 1'000'000'000;   // ms
constexpr KeyDefinition kKeys[] = {
    {"bl", 1, Kind::Number, kMaxTime, ""},  {"br", 0, Kind::Number, kMaxRate, ""},
    {"bs", 3, Kind::Flag, 0, ""},           {"cid", 2, Kind::Text, 64, ""},
    {"d", 0, Kind::Number, kMaxTime, ""},   {"dl", 1, Kind::Number, kMaxTime, ""},
    {"mtp", 1, Kind::Number, kMaxRate, ""}, {"nor", 1, Kind::Url, 2'048, ""},
    {"nrr", 1, Kind::Text, 64, ""},         {"ot", 0, Kind::Token, 0, "m a v av i c tt k o"},
    {"pr", 2, Kind::Decimal, 1'000, ""},    {"rtp", 3, Kind::Number, kMaxRate, ""},
    {"sf", 2, Kind::Token, 0, "d h s o"},   {"sid", 2, Kind::Text, 64, ""},
    {"st", 2, Kind::Token, 0, "v l"},       {"su", 1, Kind::Flag, 0, ""},
    {"tb", 0, Kind::Number, kMaxRate, ""},  {"v", 2, Kind::Number, 1'000, ""},
};

const KeyDefinition* findKey(std::string_view name) {
    for (const KeyDefinition& k : kKeys)
        if (k.name == name) return &k;
    return nullptr;
}

bool containsWord(std::string_view word, std::string_view words) {
    while (!words.empty()) {
        const auto space = words.find(' ');
        if (words.substr(0, space) == word) return true;
        if (space == std::string_view::npos) break;
        words.remove_prefix(space + 1);
    }
    return false;
}

// Custom keys have a prefix with a hyphen, so that keys of different vendors don't collide (section 3,
// "custom keys").
bool isCustomKey(std::string_view name) {
    const auto hyphen = name.find('-');
    if (hyphen == 0 || hyphen == std::string_view::npos || hyphen + 1 == name.size() || name.size() > 64)
        return false;
    return std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '.' || c == '_';
    });
}

}  // namespace

std::string_view nameOf(DropReason why) {
    static constexpr std::string_view kNames[kDropReasonCount] = {
        "malformed", "wrong-type",   "out-of-range", "twice",   "too-long",
        "unknown",   "wrong-header", "contradicts",  "too-many"};
    return kNames[static_cast<std::size_t>(why)];
}

void CmcdReader::readHeader(std::size_t index, std::string_view value) {
    readPairs(value, index);
}
void CmcdReader::readQuery(std::string_view decoded) {
    readPairs(decoded, std::nullopt);
}

// Pairs are separated by commas outside of quotes. A malformed pair is dropped alone; a strict parser would
// drop all the others with it.
void CmcdReader::readPairs(std::string_view text, std::optional<std::size_t> header) {
    if (text.size() > limits_.fieldBytes) {
        drop(DropReason::TooLong);
        return;
    }
    std::size_t start = 0;
    bool quoted = false;
    for (std::size_t i = 0; i <= text.size(); ++i) {
        if (i < text.size()) {
            if (quoted && text[i] == '\\') {
                ++i;
                continue;
            }
            if (text[i] == '"') quoted = !quoted;
            if (text[i] != ',' || quoted) continue;
        }
        std::string_view pair = text.substr(start, std::min(i, text.size()) - start);
        start = i + 1;
        while (!pair.empty() && (pair.front() == ' ' || pair.front() == '\t')) pair.remove_prefix(1);
        while (!pair.empty() && (pair.back() == ' ' || pair.back() == '\t')) pair.remove_suffix(1);
        if (pair.empty()) {
            if (!text.empty()) drop(DropReason::Malformed);
            continue;
        }
        const auto equals = pair.find('=');
        const std::string_view key = pair.substr(0, equals);
        if (equals == std::string_view::npos) {
            accept(key, true, header);
            continue;
        }
        const std::string_view value = pair.substr(equals + 1);
        // Version 1 writes true only by omitting the value, but players do send "=true".
        if (value == "true" || value == "false") {
            accept(key, value == "true", header);
            continue;
        }
        const auto item = parseItem(value);
        if (!item || !item->params.all.empty())
            drop(DropReason::Malformed);
        else
            accept(key, item->value, header);
    }
}

void CmcdReader::readJson(std::string_view body) {
    if (body.size() > limits_.fieldBytes) {
        drop(DropReason::TooLong);
        return;
    }
    // Duplicate keys are detected while parsing, since the parsed tree no longer shows them.
    int depth = 0;
    std::vector<std::string> keys;
    const auto onEvent = [&](int at, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
        depth = std::max(depth, at);
        if (event == nlohmann::json::parse_event_t::key && at == 1) {
            const std::string name = parsed.get<std::string>();
            if (std::find(keys.begin(), keys.end(), name) != keys.end()) drop(DropReason::Duplicate);
            keys.push_back(name);
        }
        return at < 4;
    };
    const nlohmann::json tree = nlohmann::json::parse(body, onEvent, false);
    if (!tree.is_object()) {
        drop(DropReason::Malformed);
        return;
    }
    for (const auto& [key, value] : tree.items()) {
        const KeyDefinition* known = findKey(key);
        if (value.is_boolean()) {
            accept(key, value.get<bool>(), std::nullopt);
        } else if (value.is_number_integer()) {
            accept(key, value.get<std::int64_t>(), std::nullopt);
        } else if (value.is_number_float()) {
            const double number = value.get<double>();
            if (!std::isfinite(number) || std::fabs(number) > 1e11)
                drop(DropReason::OutOfRange);
            else
                accept(key, Decimal{std::llround(number * 1000)}, std::nullopt);
        } else if (value.is_string()) {
            if (known && known->kind == Kind::Token)
                accept(key, Token{value.get<std::string>()}, std::nullopt);
            else
                accept(key, value.get<std::string>(), std::nullopt);
        } else {
            drop(DropReason::WrongType);
        }
    }
}

void CmcdReader::accept(std::string_view key, const BareItem& value, std::optional<std::size_t> header) {
    if (seenKeys_.size() >= limits_.keys) {
        drop(DropReason::TooMany);
        return;
    }
    if (std::find(seenKeys_.begin(), seenKeys_.end(), key) != seenKeys_.end()) {
        drop(DropReason::Duplicate);
        return;
    }
    const KeyDefinition* known = findKey(key);
    if (!known) {
        if (!isCustomKey(key)) {
            drop(DropReason::UnknownKey);
            return;
        }
        std::optional<CustomValue> custom;
        if (const auto* b = std::get_if<bool>(&value)) custom = *b;
        if (const auto* i = std::get_if<std::int64_t>(&value)) custom = *i;
        if (const auto* d = std::get_if<Decimal>(&value)) custom = *d;
        if (const auto* s = std::get_if<std::string>(&value)) custom = *s;
        if (const auto* t = std::get_if<Token>(&value)) custom = *t;
        const auto* text = std::get_if<std::string>(&value);
        if (!custom) return drop(DropReason::WrongType);
        if (text && text->size() > limits_.customBytes) return drop(DropReason::TooLong);
        seenKeys_.emplace_back(key);
        out_.custom.emplace_back(key, *custom);
        return;
    }
    const auto* number = std::get_if<std::int64_t>(&value);
    const auto* decimal = std::get_if<Decimal>(&value);
    const auto* text = std::get_if<std::string>(&value);
    const auto* token = std::get_if<Token>(&value);
    const auto* flag = std::get_if<bool>(&value);
    std::int64_t integer = 0;
    std::string stringValue;
    switch (known->kind) {
        case Kind::Number:
            if (!number && !decimal) return drop(DropReason::WrongType);
            integer = number ? *number : decimal->thousandths / 1000;
            if (integer < 0 || integer > known->max) return drop(DropReason::OutOfRange);
            break;
        case Kind::Decimal:
            if (!number && !decimal) return drop(DropReason::WrongType);
            if (number && (*number < 0 || *number > known->max)) return drop(DropReason::OutOfRange);
            if (decimal && (decimal->thousandths < 0 || decimal->thousandths > known->max * 1000))
                return drop(DropReason::OutOfRange);
            break;
        case Kind::Flag:
            if (!flag) return drop(DropReason::WrongType);
            break;
        case Kind::Text:
        case Kind::Url:
            if (!text) return drop(DropReason::WrongType);
            if (text->size() > static_cast<std::size_t>(known->max)) return drop(DropReason::TooLong);
            if (text->empty()) return drop(DropReason::OutOfRange);
            stringValue = *text;
            if (known->kind == Kind::Url) {
                const auto url = http::percentDecoded(*text);
                if (!url) return drop(DropReason::Malformed);
                stringValue = *url;
            }
            break;
        case Kind::Token:
            if (!token) return drop(DropReason::WrongType);
            if (!containsWord(token->text, known->tokens)) return drop(DropReason::OutOfRange);
            stringValue = token->text;
            break;
    }
    seenKeys_.emplace_back(key);
    if (header && *header != known->header) drop(DropReason::WrongHeader);
    const std::string_view n = known->name;
    if (n == "bl") out_.bl = integer;
    if (n == "br") out_.br = integer;
    if (n == "bs") out_.starved = *flag;
    if (n == "cid") out_.cid = stringValue;
    if (n == "d") out_.d = integer;
    if (n == "dl") out_.dl = integer;
    if (n == "mtp") out_.mtp = integer;
    if (n == "nor") out_.nor = stringValue;
    if (n == "nrr") out_.nrr = stringValue;
    if (n == "ot") out_.ot = stringValue;
    if (n == "pr") out_.pr = number ? Decimal{*number * 1000} : *decimal;
    if (n == "rtp") out_.rtp = integer;
    if (n == "sf") out_.sf = stringValue;
    if (n == "sid") out_.sid = stringValue;
    if (n == "st") out_.st = stringValue;
    if (n == "su") out_.su = *flag;
    if (n == "tb") out_.tb = integer;
    if (n == "v") out_.v = integer;
}

Cmcd CmcdReader::finish() {
    // A later version may give the same keys other meanings: only the identifiers are kept.
    if (out_.v && *out_.v != 1) {
        Cmcd kept;
        kept.sid = out_.sid;
        kept.cid = out_.cid;
        kept.v = out_.v;
        out_ = kept;
        drop(DropReason::Contradictory);
        return out_;
    }
    // The played bitrate can't exceed the ladder's top bitrate: neither value is trusted then.
    if (out_.br && out_.tb && *out_.br > *out_.tb) {
        out_.br.reset();
        out_.tb.reset();
        drop(DropReason::Contradictory);
    }
    // The deadline is the buffer length divided by the playback rate: one far above the buffer length is
    // invalid.
    if (out_.dl && out_.bl && *out_.dl > 2 * *out_.bl + 10'000) {
        out_.dl.reset();
        drop(DropReason::Contradictory);
    }
    return out_;
}

namespace {

std::map<std::string, std::string> serializedPairs(const Cmcd& c, std::optional<std::size_t> header,
                                                   bool json) {
    std::map<std::string, std::string> out;
    const auto belongsToHeader = [&](std::string_view key) {
        const KeyDefinition* known = findKey(key);
        return !header ||
               (known ? known->header == *header : *header == 2);  // custom keys go into CMCD-Session
    };
    const auto quoted = [&](const std::string& text) {
        return json ? nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)
                    : write(Item{text, {}}).value_or("");
    };
    const auto put = [&](std::string_view key, const std::string& value) {
        if (belongsToHeader(key) && !value.empty()) out[std::string(key)] = value;
    };
    const auto number = [&](std::string_view key, const std::optional<std::int64_t>& v) {
        if (v) put(key, std::to_string(*v));
    };
    number("bl", c.bl);
    number("br", c.br);
    number("d", c.d);
    number("dl", c.dl);
    number("mtp", c.mtp);
    number("rtp", c.rtp);
    number("tb", c.tb);
    if (c.v && *c.v != 1) number("v", c.v);  // the default is left out
    if (c.cid) put("cid", quoted(*c.cid));
    if (c.sid) put("sid", quoted(*c.sid));
    if (c.nrr) put("nrr", quoted(*c.nrr));
    if (c.nor) put("nor", quoted(http::percentEncoded(*c.nor)));
    for (const auto& [key, token] : {std::pair{"ot", c.ot}, {"sf", c.sf}, {"st", c.st}})
        if (token) put(key, json ? quoted(*token) : *token);
    if (c.pr && c.pr->thousandths != 1000) put("pr", write(Item{*c.pr, {}}).value_or(""));
    if (c.starved.value_or(false)) put("bs", "true");
    if (c.su.value_or(false)) put("su", "true");
    for (const auto& [key, value] : c.custom) {
        if (const auto* b = std::get_if<bool>(&value)) put(key, *b ? "true" : "false");
        if (const auto* i = std::get_if<std::int64_t>(&value)) put(key, std::to_string(*i));
        if (const auto* d = std::get_if<Decimal>(&value)) put(key, write(Item{*d, {}}).value_or(""));
        if (const auto* s = std::get_if<std::string>(&value)) put(key, quoted(*s));
        if (const auto* t = std::get_if<Token>(&value)) put(key, json ? quoted(t->text) : t->text);
    }
    return out;
}

std::string joinPairs(const std::map<std::string, std::string>& pairs) {
    std::string out;
    for (const auto& [key, value] : pairs) {
        if (!out.empty()) out += ',';
        out += value == "true" ? key : key + "=" + value;
    }
    return out;
}

}  // namespace

std::string writeCmcdHeader(const Cmcd& c, std::size_t index) {
    return joinPairs(serializedPairs(c, index, false));
}
std::string writeCmcdQuery(const Cmcd& c) {
    return joinPairs(serializedPairs(c, std::nullopt, false));
}
std::string writeCmcdJson(const Cmcd& c) {
    std::string out = "{";
    for (const auto& [key, value] : serializedPairs(c, std::nullopt, true)) {
        if (out.size() > 1) out += ',';
        out += "\"" + key + "\":" + value;
    }
    return out + "}";
}

}  // namespace valekeel::hints
