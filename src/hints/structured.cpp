#include "hints/structured.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <cctype>

namespace valekeel::hints {
namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::int64_t kMaxInteger = 999'999'999'999'999;
constexpr std::int64_t kMaxThousandths = 999'999'999'999'999;

bool isLower(char c) {
    return c >= 'a' && c <= 'z';
}
bool isDigit(char c) {
    return c >= '0' && c <= '9';
}
bool isAlpha(char c) {
    return isLower(c) || (c >= 'A' && c <= 'Z');
}
bool isKeyStart(char c) {
    return isLower(c) || c == '*';
}
bool isKeyCharacter(char c) {
    return isLower(c) || isDigit(c) || c == '_' || c == '-' || c == '.' || c == '*';
}
bool isTokenCharacter(char c) {
    return isAlpha(c) || isDigit(c) ||
           std::string_view("!#$%&'*+-.^_`|~:/").find(c) != std::string_view::npos;
}

// A recursive-descent parser. Each parse function consumes its element from the front of the text, or returns
// false.
class FieldParser {
  public:
    explicit FieldParser(std::string_view text) : text_(text) {}

    template <class Value, class Method>
    std::optional<Value> parseAll(Method method) {
        skip(" ");
        Value out{};
        if (!(this->*method)(out)) return std::nullopt;
        skip(" ");
        if (!text_.empty()) return std::nullopt;
        return out;
    }

    bool parseItem(Item& out) { return parseBareItem(out.value) && parseParameters(out.params); }

    bool parseList(List& out) {
        while (!text_.empty()) {
            Member member;
            if (!parseMember(member)) return false;
            out.push_back(std::move(member));
            if (!parseSeparator()) return false;
        }
        return true;
    }

    bool parseDictionary(Dictionary& out) {
        while (!text_.empty()) {
            std::string name;
            if (!parseKey(name)) return false;
            Member member = Item{true, {}};
            if (take('=')) {
                if (!parseMember(member)) return false;
            } else if (!parseParameters(std::get<Item>(member).params)) {
                return false;
            }
            out.set(std::move(name), std::move(member));
            if (!parseSeparator()) return false;
        }
        return true;
    }

  private:
    bool startsWith(char c) const { return !text_.empty() && text_.front() == c; }
    bool take(char c) {
        if (!startsWith(c)) return false;
        text_.remove_prefix(1);
        return true;
    }
    void skip(std::string_view characters) {
        while (!text_.empty() && characters.find(text_.front()) != std::string_view::npos)
            text_.remove_prefix(1);
    }
    // After a member: either the end, or a comma followed by another member.
    bool parseSeparator() {
        skip(" \t");
        if (text_.empty()) return true;
        if (!take(',')) return false;
        skip(" \t");
        return !text_.empty();
    }
    bool parseMember(Member& out) {
        if (startsWith('(')) {
            InnerList inner;
            if (!parseInnerList(inner)) return false;
            out = std::move(inner);
            return true;
        }
        Item element;
        if (!parseItem(element)) return false;
        out = std::move(element);
        return true;
    }
    bool parseInnerList(InnerList& out) {
        take('(');
        for (;;) {
            skip(" ");
            if (take(')')) return parseParameters(out.params);
            Item element;
            if (!parseItem(element)) return false;
            if (!startsWith(' ') && !startsWith(')')) return false;
            out.items.push_back(std::move(element));
        }
    }
    bool parseParameters(Parameters& out) {
        while (take(';')) {
            skip(" ");
            std::string name;
            if (!parseKey(name)) return false;
            BareItem value = true;
            if (take('=') && !parseBareItem(value)) return false;
            out.set(std::move(name), std::move(value));
        }
        return true;
    }
    bool parseKey(std::string& out) {
        if (text_.empty() || !isKeyStart(text_.front())) return false;
        while (!text_.empty() && isKeyCharacter(text_.front())) {
            out += text_.front();
            text_.remove_prefix(1);
        }
        return true;
    }
    bool parseBareItem(BareItem& out) {
        if (text_.empty()) return false;
        const char c = text_.front();
        if (c == '-' || isDigit(c)) return parseNumber(out);
        if (c == '"') return parseString(out);
        if (c == ':') return parseByteSequence(out);
        if (c == '?') {
            text_.remove_prefix(1);
            if (take('1')) return out = true, true;
            if (take('0')) return out = false, true;
            return false;
        }
        if (!isAlpha(c) && c != '*') return false;
        Token token;
        while (!text_.empty() && isTokenCharacter(text_.front())) {
            token.text += text_.front();
            text_.remove_prefix(1);
        }
        out = std::move(token);
        return true;
    }
    bool parseNumber(BareItem& out) {
        const bool negative = take('-');
        std::int64_t whole = 0, fraction = 0;
        int digits = 0, fractionDigits = 0;
        while (!text_.empty() && isDigit(text_.front())) {
            if (++digits > 15) return false;
            whole = whole * 10 + (text_.front() - '0');
            text_.remove_prefix(1);
        }
        if (digits == 0) return false;
        if (!startsWith('.')) {
            out = negative ? -whole : whole;
            return true;
        }
        if (digits > 12) return false;
        text_.remove_prefix(1);
        while (!text_.empty() && isDigit(text_.front())) {
            if (++fractionDigits > 3) return false;
            fraction = fraction * 10 + (text_.front() - '0');
            text_.remove_prefix(1);
        }
        if (fractionDigits == 0) return false;
        for (int i = fractionDigits; i < 3; ++i) fraction *= 10;
        const std::int64_t thousandths = whole * 1000 + fraction;
        out = Decimal{negative ? -thousandths : thousandths};
        return true;
    }
    bool parseString(BareItem& out) {
        text_.remove_prefix(1);
        std::string value;
        while (!text_.empty()) {
            const char c = text_.front();
            text_.remove_prefix(1);
            if (c == '"') {
                out = std::move(value);
                return true;
            }
            if (c == '\\') {
                if (!startsWith('"') && !startsWith('\\')) return false;
                value += text_.front();
                text_.remove_prefix(1);
            } else if (c < 0x20 || c == 0x7f) {
                return false;  // bytes over 127 are negative here and rejected too
            } else {
                value += c;
            }
        }
        return false;
    }
    bool parseByteSequence(BareItem& out) {
        text_.remove_prefix(1);
        const auto end = text_.find(':');
        if (end == std::string_view::npos) return false;
        const std::string_view encoded = text_.substr(0, end);
        for (std::size_t i = 0; i < encoded.size(); ++i) {
            const char c = encoded[i];
            if (!isAlpha(c) && !isDigit(c) && c != '+' && c != '/' && c != '=') return false;
        }
        std::string raw(base64::decoded_size(encoded.size()) + 3, '\0');
        const auto decoded = base64::decode(raw.data(), encoded.data(), encoded.size());
        const std::string_view rest = encoded.substr(decoded.second);
        if (rest.find_first_not_of('=') != std::string_view::npos) return false;
        raw.resize(decoded.first);
        text_.remove_prefix(end + 1);
        out = ByteSequence{std::move(raw)};
        return true;
    }

    std::string_view text_;
};

// ---- serializing (section 4.1) ----

// Appends the serialized form to `out`; clears `valid` if a value has none.
struct Serializer {
    std::string out;
    bool valid = true;

    void key(const std::string& name) {
        valid = valid && !name.empty() && isKeyStart(name.front());
        for (const char c : name) valid = valid && isKeyCharacter(c);
        out += name;
    }
    void bare(const BareItem& value) {
        if (const auto* i = std::get_if<std::int64_t>(&value)) {
            valid = valid && *i <= kMaxInteger && *i >= -kMaxInteger;
            out += std::to_string(*i);
        } else if (const auto* d = std::get_if<Decimal>(&value)) {
            valid = valid && d->thousandths <= kMaxThousandths && d->thousandths >= -kMaxThousandths;
            const std::int64_t magnitude = d->thousandths < 0 ? -d->thousandths : d->thousandths;
            if (d->thousandths < 0) out += '-';
            out += std::to_string(magnitude / 1000) + ".";
            std::string fraction = std::to_string(1000 + magnitude % 1000).substr(1);
            while (fraction.size() > 1 && fraction.back() == '0') fraction.pop_back();
            out += fraction;
        } else if (const auto* s = std::get_if<std::string>(&value)) {
            out += '"';
            for (const char c : *s) {
                valid = valid && c >= 0x20 && c != 0x7f;
                if (c == '"' || c == '\\') out += '\\';
                out += c;
            }
            out += '"';
        } else if (const auto* t = std::get_if<Token>(&value)) {
            valid = valid && !t->text.empty() && (isAlpha(t->text.front()) || t->text.front() == '*');
            for (const char c : t->text) valid = valid && isTokenCharacter(c);
            out += t->text;
        } else if (const auto* b = std::get_if<ByteSequence>(&value)) {
            std::string encoded(base64::encoded_size(b->raw.size()), '\0');
            encoded.resize(base64::encode(encoded.data(), b->raw.data(), b->raw.size()));
            out += ":" + encoded + ":";
        } else {
            out += std::get<bool>(value) ? "?1" : "?0";
        }
    }
    void params(const Parameters& parameters) {
        for (const auto& [name, value] : parameters.all) {
            out += ';';
            key(name);
            if (value == BareItem(true)) continue;
            out += '=';
            bare(value);
        }
    }
    void item(const Item& element) {
        bare(element.value);
        params(element.params);
    }
    void member(const Member& element) {
        if (const auto* plain = std::get_if<Item>(&element)) {
            item(*plain);
            return;
        }
        const auto& inner = std::get<InnerList>(element);
        out += '(';
        for (std::size_t i = 0; i < inner.items.size(); ++i) {
            if (i) out += ' ';
            item(inner.items[i]);
        }
        out += ')';
        params(inner.params);
    }
    std::optional<std::string> result() {
        if (!valid) return std::nullopt;
        return std::move(out);
    }
};

}  // namespace

std::optional<Item> parseItem(std::string_view text) {
    return FieldParser(text).parseAll<Item>(&FieldParser::parseItem);
}
std::optional<List> parseList(std::string_view text) {
    return FieldParser(text).parseAll<List>(&FieldParser::parseList);
}
std::optional<Dictionary> parseDictionary(std::string_view text) {
    return FieldParser(text).parseAll<Dictionary>(&FieldParser::parseDictionary);
}

std::optional<std::string> write(const Item& item) {
    Serializer s;
    s.item(item);
    return s.result();
}
std::optional<std::string> write(const List& list) {
    Serializer s;
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (i) s.out += ", ";
        s.member(list[i]);
    }
    return s.result();
}
std::optional<std::string> write(const Dictionary& dictionary) {
    Serializer s;
    for (std::size_t i = 0; i < dictionary.all.size(); ++i) {
        const auto& [name, member] = dictionary.all[i];
        if (i) s.out += ", ";
        s.key(name);
        const auto* plain = std::get_if<Item>(&member);
        if (plain && plain->value == BareItem(true)) {
            s.params(plain->params);
        } else {
            s.out += '=';
            s.member(member);
        }
    }
    return s.result();
}

}  // namespace valekeel::hints
