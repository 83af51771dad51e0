#include "hints/cmcd.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

#include "http/message.hpp"

namespace valekeel::hints {
namespace {

enum class Kind { Number, Decimal, Flag, Text, Url, Word };

// The keys of CTA-5004, table 1: the header each belongs to, its type, the most it may be.
struct Key {
    std::string_view name;
    std::size_t header;
    Kind kind;
    std::int64_t most;  // of a number; of a text, its length
    std::string_view words;
};
constexpr std::int64_t kMostRate = 10'000'000'000;  // kbit/s: nothing real is near it
constexpr std::int64_t kMostTime = 1'000'000'000;   // ms
constexpr Key kKeys[] = {
    {"bl", 1, Kind::Number, kMostTime, ""},
    {"br", 0, Kind::Number, kMostRate, ""},
    {"bs", 3, Kind::Flag, 0, ""},
    {"cid", 2, Kind::Text, 64, ""},
    {"d", 0, Kind::Number, kMostTime, ""},
    {"dl", 1, Kind::Number, kMostTime, ""},
    {"mtp", 1, Kind::Number, kMostRate, ""},
    {"nor", 1, Kind::Url, 2'048, ""},
    {"nrr", 1, Kind::Text, 64, ""},
    {"ot", 0, Kind::Word, 0, "m a v av i c tt k o"},
    {"pr", 2, Kind::Decimal, 1'000, ""},
    {"rtp", 3, Kind::Number, kMostRate, ""},
    {"sf", 2, Kind::Word, 0, "d h s o"},
    {"sid", 2, Kind::Text, 64, ""},
    {"st", 2, Kind::Word, 0, "v l"},
    {"su", 1, Kind::Flag, 0, ""},
    {"tb", 0, Kind::Number, kMostRate, ""},
    {"v", 2, Kind::Number, 1'000, ""},
};

const Key* keyOf(std::string_view name) {
    for (const Key& k : kKeys)
        if (k.name == name) return &k;
    return nullptr;
}

bool among(std::string_view word, std::string_view words) {
    while (!words.empty()) {
        const auto space = words.find(' ');
        if (words.substr(0, space) == word) return true;
        if (space == std::string_view::npos) break;
        words.remove_prefix(space + 1);
    }
    return false;
}

// A custom key carries a prefix with a hyphen, so that no two makers meet (section 3, "custom keys").
bool customKey(std::string_view name) {
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

void CmcdReader::header(std::size_t which, std::string_view value) {
    read(value, which);
}
void CmcdReader::query(std::string_view decoded) {
    read(decoded, std::nullopt);
}

// Pairs are parted by commas outside of quotes. One that is broken is dropped alone: a strict reading would
// lose all the others with it.
void CmcdReader::read(std::string_view text, std::optional<std::size_t> header) {
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
            take(key, true, header);
            continue;
        }
        const std::string_view value = pair.substr(equals + 1);
        // Version 1 writes a bare true only by leaving the value out, but "=true" is seen and meant.
        if (value == "true" || value == "false") {
            take(key, value == "true", header);
            continue;
        }
        const auto item = parseItem(value);
        if (!item || !item->params.all.empty())
            drop(DropReason::Malformed);
        else
            take(key, item->value, header);
    }
}

void CmcdReader::json(std::string_view body) {
    if (body.size() > limits_.fieldBytes) {
        drop(DropReason::TooLong);
        return;
    }
    // Keys may stand twice in bytes, which a tree would hide: they are caught as they are parsed.
    int depth = 0;
    std::vector<std::string> twice;
    const auto watch = [&](int at, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
        depth = std::max(depth, at);
        if (event == nlohmann::json::parse_event_t::key && at == 1) {
            const std::string name = parsed.get<std::string>();
            if (std::find(twice.begin(), twice.end(), name) != twice.end()) drop(DropReason::Duplicate);
            twice.push_back(name);
        }
        return at < 4;
    };
    const nlohmann::json tree = nlohmann::json::parse(body, watch, false);
    if (!tree.is_object()) {
        drop(DropReason::Malformed);
        return;
    }
    for (const auto& [key, value] : tree.items()) {
        const Key* known = keyOf(key);
        if (value.is_boolean()) {
            take(key, value.get<bool>(), std::nullopt);
        } else if (value.is_number_integer()) {
            take(key, value.get<std::int64_t>(), std::nullopt);
        } else if (value.is_number_float()) {
            const double number = value.get<double>();
            if (!std::isfinite(number) || std::fabs(number) > 1e11)
                drop(DropReason::OutOfRange);
            else
                take(key, Decimal{std::llround(number * 1000)}, std::nullopt);
        } else if (value.is_string()) {
            if (known && known->kind == Kind::Word)
                take(key, Token{value.get<std::string>()}, std::nullopt);
            else
                take(key, value.get<std::string>(), std::nullopt);
        } else {
            drop(DropReason::WrongType);
        }
    }
}

void CmcdReader::take(std::string_view key, const BareItem& value, std::optional<std::size_t> header) {
    if (seen_.size() >= limits_.keys) {
        drop(DropReason::TooMany);
        return;
    }
    if (std::find(seen_.begin(), seen_.end(), key) != seen_.end()) {
        drop(DropReason::Duplicate);
        return;
    }
    const Key* known = keyOf(key);
    if (!known) {
        if (!customKey(key)) {
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
        seen_.emplace_back(key);
        out_.custom.emplace_back(key, *custom);
        return;
    }
    const auto* number = std::get_if<std::int64_t>(&value);
    const auto* decimal = std::get_if<Decimal>(&value);
    const auto* text = std::get_if<std::string>(&value);
    const auto* word = std::get_if<Token>(&value);
    const auto* flag = std::get_if<bool>(&value);
    std::int64_t whole = 0;
    std::string words;
    switch (known->kind) {
        case Kind::Number:
            if (!number && !decimal) return drop(DropReason::WrongType);
            whole = number ? *number : decimal->thousandths / 1000;
            if (whole < 0 || whole > known->most) return drop(DropReason::OutOfRange);
            break;
        case Kind::Decimal:
            if (!number && !decimal) return drop(DropReason::WrongType);
            if (number && (*number < 0 || *number > known->most)) return drop(DropReason::OutOfRange);
            if (decimal && (decimal->thousandths < 0 || decimal->thousandths > known->most * 1000))
                return drop(DropReason::OutOfRange);
            break;
        case Kind::Flag:
            if (!flag) return drop(DropReason::WrongType);
            break;
        case Kind::Text:
        case Kind::Url:
            if (!text) return drop(DropReason::WrongType);
            if (text->size() > static_cast<std::size_t>(known->most)) return drop(DropReason::TooLong);
            if (text->empty()) return drop(DropReason::OutOfRange);
            words = *text;
            if (known->kind == Kind::Url) {
                const auto url = http::percentDecoded(*text);
                if (!url) return drop(DropReason::Malformed);
                words = *url;
            }
            break;
        case Kind::Word:
            if (!word) return drop(DropReason::WrongType);
            if (!among(word->text, known->words)) return drop(DropReason::OutOfRange);
            words = word->text;
            break;
    }
    seen_.emplace_back(key);
    if (header && *header != known->header) drop(DropReason::WrongHeader);
    const std::string_view n = known->name;
    if (n == "bl") out_.bl = whole;
    if (n == "br") out_.br = whole;
    if (n == "bs") out_.starved = *flag;
    if (n == "cid") out_.cid = words;
    if (n == "d") out_.d = whole;
    if (n == "dl") out_.dl = whole;
    if (n == "mtp") out_.mtp = whole;
    if (n == "nor") out_.nor = words;
    if (n == "nrr") out_.nrr = words;
    if (n == "ot") out_.ot = words;
    if (n == "pr") out_.pr = number ? Decimal{*number * 1000} : *decimal;
    if (n == "rtp") out_.rtp = whole;
    if (n == "sf") out_.sf = words;
    if (n == "sid") out_.sid = words;
    if (n == "st") out_.st = words;
    if (n == "su") out_.su = *flag;
    if (n == "tb") out_.tb = whole;
    if (n == "v") out_.v = whole;
}

Cmcd CmcdReader::finish() {
    // A later version may mean other things by the same keys; only the identifiers are kept then.
    if (out_.v && *out_.v != 1) {
        Cmcd kept;
        kept.sid = out_.sid;
        kept.cid = out_.cid;
        kept.v = out_.v;
        out_ = kept;
        drop(DropReason::Contradictory);
        return out_;
    }
    // The rate played can't be over the best that the ladder has: neither is then to be believed.
    if (out_.br && out_.tb && *out_.br > *out_.tb) {
        out_.br.reset();
        out_.tb.reset();
        drop(DropReason::Contradictory);
    }
    // The deadline is the buffer over the play rate: one that lies far beyond it was made up.
    if (out_.dl && out_.bl && *out_.dl > 2 * *out_.bl + 10'000) {
        out_.dl.reset();
        drop(DropReason::Contradictory);
    }
    return out_;
}

namespace {

std::map<std::string, std::string> written(const Cmcd& c, std::optional<std::size_t> header, bool json) {
    std::map<std::string, std::string> out;
    const auto belongs = [&](std::string_view key) {
        const Key* known = keyOf(key);
        return !header ||
               (known ? known->header == *header : *header == 2);  // custom keys ride with the session
    };
    const auto quoted = [&](const std::string& text) {
        return json ? nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)
                    : write(Item{text, {}}).value_or("");
    };
    const auto put = [&](std::string_view key, const std::string& value) {
        if (belongs(key) && !value.empty()) out[std::string(key)] = value;
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
    for (const auto& [key, word] : {std::pair{"ot", c.ot}, {"sf", c.sf}, {"st", c.st}})
        if (word) put(key, json ? quoted(*word) : *word);
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

std::string joined(const std::map<std::string, std::string>& pairs) {
    std::string out;
    for (const auto& [key, value] : pairs) {
        if (!out.empty()) out += ',';
        out += value == "true" ? key : key + "=" + value;
    }
    return out;
}

}  // namespace

std::string writeCmcdHeader(const Cmcd& c, std::size_t which) {
    return joined(written(c, which, false));
}
std::string writeCmcdQuery(const Cmcd& c) {
    return joined(written(c, std::nullopt, false));
}
std::string writeCmcdJson(const Cmcd& c) {
    std::string out = "{";
    for (const auto& [key, value] : written(c, std::nullopt, true)) {
        if (out.size() > 1) out += ',';
        out += "\"" + key + "\":" + value;
    }
    return out + "}";
}

}  // namespace valekeel::hints
