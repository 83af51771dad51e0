#include "hints/structured.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <cctype>

namespace valekeel::hints {
namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::int64_t kMostInteger = 999'999'999'999'999;
constexpr std::int64_t kMostThousandths = 999'999'999'999'999;

bool lower(char c) {
    return c >= 'a' && c <= 'z';
}
bool digit(char c) {
    return c >= '0' && c <= '9';
}
bool alpha(char c) {
    return lower(c) || (c >= 'A' && c <= 'Z');
}
bool keyStart(char c) {
    return lower(c) || c == '*';
}
bool keyRest(char c) {
    return lower(c) || digit(c) || c == '_' || c == '-' || c == '.' || c == '*';
}
bool tokenRest(char c) {
    return alpha(c) || digit(c) || std::string_view("!#$%&'*+-.^_`|~:/").find(c) != std::string_view::npos;
}

class Reader {
  public:
    explicit Reader(std::string_view text) : text_(text) {}

    template <class What, class How>
    std::optional<What> whole(How how) {
        skip(" ");
        What out{};
        if (!(this->*how)(out)) return std::nullopt;
        skip(" ");
        if (!text_.empty()) return std::nullopt;
        return out;
    }

    bool item(Item& out) { return bare(out.value) && parameters(out.params); }

    bool list(List& out) {
        while (!text_.empty()) {
            Member member;
            if (!anyMember(member)) return false;
            out.push_back(std::move(member));
            if (!next()) return false;
        }
        return true;
    }

    bool dictionary(Dictionary& out) {
        while (!text_.empty()) {
            std::string name;
            if (!key(name)) return false;
            Member member = Item{true, {}};
            if (take('=')) {
                if (!anyMember(member)) return false;
            } else if (!parameters(std::get<Item>(member).params)) {
                return false;
            }
            out.set(std::move(name), std::move(member));
            if (!next()) return false;
        }
        return true;
    }

  private:
    bool at(char c) const { return !text_.empty() && text_.front() == c; }
    bool take(char c) {
        if (!at(c)) return false;
        text_.remove_prefix(1);
        return true;
    }
    void skip(std::string_view of) {
        while (!text_.empty() && of.find(text_.front()) != std::string_view::npos) text_.remove_prefix(1);
    }
    // Behind a member: the end, or a comma with another member after it.
    bool next() {
        skip(" \t");
        if (text_.empty()) return true;
        if (!take(',')) return false;
        skip(" \t");
        return !text_.empty();
    }
    bool anyMember(Member& out) {
        if (at('(')) {
            InnerList inner;
            if (!innerList(inner)) return false;
            out = std::move(inner);
            return true;
        }
        Item one;
        if (!item(one)) return false;
        out = std::move(one);
        return true;
    }
    bool innerList(InnerList& out) {
        take('(');
        for (;;) {
            skip(" ");
            if (take(')')) return parameters(out.params);
            Item one;
            if (!item(one)) return false;
            if (!at(' ') && !at(')')) return false;
            out.items.push_back(std::move(one));
        }
    }
    bool parameters(Parameters& out) {
        while (take(';')) {
            skip(" ");
            std::string name;
            if (!key(name)) return false;
            BareItem value = true;
            if (take('=') && !bare(value)) return false;
            out.set(std::move(name), std::move(value));
        }
        return true;
    }
    bool key(std::string& out) {
        if (text_.empty() || !keyStart(text_.front())) return false;
        while (!text_.empty() && keyRest(text_.front())) {
            out += text_.front();
            text_.remove_prefix(1);
        }
        return true;
    }
    bool bare(BareItem& out) {
        if (text_.empty()) return false;
        const char c = text_.front();
        if (c == '-' || digit(c)) return number(out);
        if (c == '"') return string(out);
        if (c == ':') return bytes(out);
        if (c == '?') {
            text_.remove_prefix(1);
            if (take('1')) return out = true, true;
            if (take('0')) return out = false, true;
            return false;
        }
        if (!alpha(c) && c != '*') return false;
        Token token;
        while (!text_.empty() && tokenRest(text_.front())) {
            token.text += text_.front();
            text_.remove_prefix(1);
        }
        out = std::move(token);
        return true;
    }
    bool number(BareItem& out) {
        const bool negative = take('-');
        std::int64_t whole = 0, part = 0;
        int digits = 0, behind = 0;
        while (!text_.empty() && digit(text_.front())) {
            if (++digits > 15) return false;
            whole = whole * 10 + (text_.front() - '0');
            text_.remove_prefix(1);
        }
        if (digits == 0) return false;
        if (!at('.')) {
            out = negative ? -whole : whole;
            return true;
        }
        if (digits > 12) return false;
        text_.remove_prefix(1);
        while (!text_.empty() && digit(text_.front())) {
            if (++behind > 3) return false;
            part = part * 10 + (text_.front() - '0');
            text_.remove_prefix(1);
        }
        if (behind == 0) return false;
        for (int i = behind; i < 3; ++i) part *= 10;
        const std::int64_t all = whole * 1000 + part;
        out = Decimal{negative ? -all : all};
        return true;
    }
    bool string(BareItem& out) {
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
                if (!at('"') && !at('\\')) return false;
                value += text_.front();
                text_.remove_prefix(1);
            } else if (c < 0x20 || c == 0x7f) {
                return false;  // bytes over 127 are negative here, and refused as well
            } else {
                value += c;
            }
        }
        return false;
    }
    bool bytes(BareItem& out) {
        text_.remove_prefix(1);
        const auto end = text_.find(':');
        if (end == std::string_view::npos) return false;
        const std::string_view coded = text_.substr(0, end);
        for (std::size_t i = 0; i < coded.size(); ++i) {
            const char c = coded[i];
            if (!alpha(c) && !digit(c) && c != '+' && c != '/' && c != '=') return false;
        }
        std::string raw(base64::decoded_size(coded.size()) + 3, '\0');
        const auto done = base64::decode(raw.data(), coded.data(), coded.size());
        const std::string_view rest = coded.substr(done.second);
        if (rest.find_first_not_of('=') != std::string_view::npos) return false;
        raw.resize(done.first);
        text_.remove_prefix(end + 1);
        out = Bytes{std::move(raw)};
        return true;
    }

    std::string_view text_;
};

// ---- writing (section 4.1) ----

struct Writer {
    std::string out;
    bool good = true;

    void key(const std::string& name) {
        good = good && !name.empty() && keyStart(name.front());
        for (const char c : name) good = good && keyRest(c);
        out += name;
    }
    void bare(const BareItem& value) {
        if (const auto* i = std::get_if<std::int64_t>(&value)) {
            good = good && *i <= kMostInteger && *i >= -kMostInteger;
            out += std::to_string(*i);
        } else if (const auto* d = std::get_if<Decimal>(&value)) {
            good = good && d->thousandths <= kMostThousandths && d->thousandths >= -kMostThousandths;
            const std::int64_t size = d->thousandths < 0 ? -d->thousandths : d->thousandths;
            if (d->thousandths < 0) out += '-';
            out += std::to_string(size / 1000) + ".";
            std::string part = std::to_string(1000 + size % 1000).substr(1);
            while (part.size() > 1 && part.back() == '0') part.pop_back();
            out += part;
        } else if (const auto* s = std::get_if<std::string>(&value)) {
            out += '"';
            for (const char c : *s) {
                good = good && c >= 0x20 && c != 0x7f;
                if (c == '"' || c == '\\') out += '\\';
                out += c;
            }
            out += '"';
        } else if (const auto* t = std::get_if<Token>(&value)) {
            good = good && !t->text.empty() && (alpha(t->text.front()) || t->text.front() == '*');
            for (const char c : t->text) good = good && tokenRest(c);
            out += t->text;
        } else if (const auto* b = std::get_if<Bytes>(&value)) {
            std::string coded(base64::encoded_size(b->raw.size()), '\0');
            coded.resize(base64::encode(coded.data(), b->raw.data(), b->raw.size()));
            out += ":" + coded + ":";
        } else {
            out += std::get<bool>(value) ? "?1" : "?0";
        }
    }
    void params(const Parameters& all) {
        for (const auto& [name, value] : all.all) {
            out += ';';
            key(name);
            if (value == BareItem(true)) continue;
            out += '=';
            bare(value);
        }
    }
    void item(const Item& one) {
        bare(one.value);
        params(one.params);
    }
    void member(const Member& one) {
        if (const auto* plain = std::get_if<Item>(&one)) {
            item(*plain);
            return;
        }
        const auto& inner = std::get<InnerList>(one);
        out += '(';
        for (std::size_t i = 0; i < inner.items.size(); ++i) {
            if (i) out += ' ';
            item(inner.items[i]);
        }
        out += ')';
        params(inner.params);
    }
    std::optional<std::string> result() {
        if (!good) return std::nullopt;
        return std::move(out);
    }
};

}  // namespace

std::optional<Item> parseItem(std::string_view text) {
    return Reader(text).whole<Item>(&Reader::item);
}
std::optional<List> parseList(std::string_view text) {
    return Reader(text).whole<List>(&Reader::list);
}
std::optional<Dictionary> parseDictionary(std::string_view text) {
    return Reader(text).whole<Dictionary>(&Reader::dictionary);
}

std::optional<std::string> write(const Item& one) {
    Writer w;
    w.item(one);
    return w.result();
}
std::optional<std::string> write(const List& list) {
    Writer w;
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (i) w.out += ", ";
        w.member(list[i]);
    }
    return w.result();
}
std::optional<std::string> write(const Dictionary& dictionary) {
    Writer w;
    for (std::size_t i = 0; i < dictionary.all.size(); ++i) {
        const auto& [name, member] = dictionary.all[i];
        if (i) w.out += ", ";
        w.key(name);
        const auto* plain = std::get_if<Item>(&member);
        if (plain && plain->value == BareItem(true)) {
            w.params(plain->params);
        } else {
            w.out += '=';
            w.member(member);
        }
    }
    return w.result();
}

}  // namespace valekeel::hints
