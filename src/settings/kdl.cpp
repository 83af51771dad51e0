#include "settings/kdl.hpp"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <limits>

namespace valekeel::settings {
namespace {

using Rune = char32_t;
constexpr Rune kEnd = 0xffffffff;

bool newlineRune(Rune c) {
    return c == 0x0d || c == 0x0a || c == 0x85 || c == 0x0b || c == 0x0c || c == 0x2028 || c == 0x2029;
}
bool spaceRune(Rune c) {
    return c == 0x09 || c == 0x20 || c == 0xa0 || c == 0x1680 || (c >= 0x2000 && c <= 0x200a) ||
           c == 0x202f || c == 0x205f || c == 0x3000;
}
// Section 3.19: control characters, surrogates, direction marks and a byte order mark inside the text.
bool bannedRune(Rune c) {
    return c <= 0x08 || (c >= 0x0e && c <= 0x1f) || c == 0x7f || (c >= 0xd800 && c <= 0xdfff) ||
           (c >= 0x200e && c <= 0x200f) || (c >= 0x202a && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069) ||
           c == 0xfeff || c > 0x10ffff;
}
bool identifierRune(Rune c) {
    if (c == kEnd || spaceRune(c) || newlineRune(c) || bannedRune(c)) return false;
    return c > 127 || std::string_view("\\/(){};[]\"#=").find(static_cast<char>(c)) == std::string_view::npos;
}
bool digitRune(Rune c) {
    return c >= '0' && c <= '9';
}

void appendRune(std::string& out, Rune c) {
    if (c < 0x80) {
        out += static_cast<char>(c);
    } else if (c < 0x800) {
        out += static_cast<char>(0xc0 | (c >> 6));
        out += static_cast<char>(0x80 | (c & 0x3f));
    } else if (c < 0x10000) {
        out += static_cast<char>(0xe0 | (c >> 12));
        out += static_cast<char>(0x80 | ((c >> 6) & 0x3f));
        out += static_cast<char>(0x80 | (c & 0x3f));
    } else {
        out += static_cast<char>(0xf0 | (c >> 18));
        out += static_cast<char>(0x80 | ((c >> 12) & 0x3f));
        out += static_cast<char>(0x80 | ((c >> 6) & 0x3f));
        out += static_cast<char>(0x80 | (c & 0x3f));
    }
}

// One code point; kEnd with length 0 at the end, with length 1 where the bytes are no UTF-8.
struct Decoded {
    Rune rune = kEnd;
    std::size_t length = 0;
};
Decoded decode(std::string_view s) {
    if (s.empty()) return {};
    const auto b = [&](std::size_t i) { return static_cast<unsigned char>(s[i]); };
    const auto tail = [&](std::size_t i) { return i < s.size() && (b(i) & 0xc0) == 0x80; };
    if (b(0) < 0x80) return {b(0), 1};
    if (b(0) >= 0xc2 && b(0) <= 0xdf && tail(1)) return {Rune((b(0) & 0x1f) << 6 | (b(1) & 0x3f)), 2};
    if ((b(0) & 0xf0) == 0xe0 && tail(1) && tail(2)) {
        const Rune c = Rune((b(0) & 0x0f) << 12 | (b(1) & 0x3f) << 6 | (b(2) & 0x3f));
        if (c >= 0x800) return {c, 3};
    }
    if (b(0) >= 0xf0 && b(0) <= 0xf4 && tail(1) && tail(2) && tail(3)) {
        const Rune c = Rune((b(0) & 0x07) << 18 | (b(1) & 0x3f) << 12 | (b(2) & 0x3f) << 6 | (b(3) & 0x3f));
        if (c >= 0x10000 && c <= 0x10ffff) return {c, 4};
    }
    return {kEnd, 1};
}

class Reader {
  public:
    Reader(const std::string& file, std::string_view text, const KdlLimits& limits)
        : file_(file), text_(text), limits_(limits) {}

    std::vector<Node> document() {
        if (text_.size() > limits_.bytes)
            wrong("the text is larger than " + std::to_string(limits_.bytes) + " bytes");
        if (peek() == 0xfeff) step();
        versionMarker();
        std::vector<Node> out = nodes(0);
        if (peek() != kEnd || !atEnd()) wrong("a node was expected here, not " + shown());
        return out;
    }

  private:
    // ---- code points ----
    bool atEnd() const { return pos_ >= text_.size(); }
    Rune peek() {
        if (atEnd()) return kEnd;
        const Decoded d = decode(text_.substr(pos_));
        if (d.rune == kEnd) wrong("these bytes are not UTF-8");
        return d.rune;
    }
    Rune peek(std::size_t ahead) const {  // of plain characters only
        return pos_ + ahead < text_.size() ? static_cast<unsigned char>(text_[pos_ + ahead]) : kEnd;
    }
    bool sees(std::string_view what) const { return text_.substr(pos_, what.size()) == what; }
    void step() {
        const Decoded d = decode(text_.substr(pos_));
        if (d.rune == kEnd) wrong("these bytes are not UTF-8");
        if (bannedRune(d.rune) && !(d.rune == 0xfeff && pos_ == 0))
            wrong("a character that KDL does not allow as it is (write it as \\u{...})");
        pos_ += d.length;
        if (d.rune == 0x0d && pos_ < text_.size() && text_[pos_] == '\n') ++pos_;  // CRLF is one newline
        if (newlineRune(d.rune)) {
            ++place_.line;
            place_.column = 1;
        } else {
            ++place_.column;
        }
    }
    void step(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) step();
    }
    [[noreturn]] void wrong(const std::string& what) { throw SettingsError(file_, text_, place_, what); }
    [[noreturn]] void wrongAt(SourcePosition at, const std::string& what) {
        throw SettingsError(file_, text_, at, what);
    }
    std::string shown() {
        const Rune c = peek();
        if (c == kEnd) return "the end of the text";
        if (newlineRune(c)) return "the end of the line";
        std::string out = "'";
        appendRune(out, c);
        return out + "'";
    }

    // ---- space and comments ----
    void versionMarker() {
        if (!sees("/-")) return;
        std::size_t i = pos_ + 2;
        while (i < text_.size() && (text_[i] == ' ' || text_[i] == '\t')) ++i;
        constexpr std::string_view kWord = "kdl-version";
        if (text_.substr(i, kWord.size()) != kWord) return;
        i += kWord.size();
        const std::size_t before = i;
        while (i < text_.size() && (text_[i] == ' ' || text_[i] == '\t')) ++i;
        if (i == before || i >= text_.size()) return;
        const char version = text_[i];
        if (version != '1' && version != '2') return;
        if (i + 1 < text_.size() && text_[i + 1] != '\n' && text_[i + 1] != '\r' && text_[i + 1] != ' ')
            return;
        if (version == '1') wrong("this text says it is KDL 1; KDL 2 is read here");
        while (pos_ <= i) step();
    }
    void blockComment(int depth) {
        const SourcePosition began = place_;
        if (depth > limits_.depth) wrong("comments are nested too deeply");
        step(2);
        for (;;) {
            if (atEnd()) wrongAt(began, "this comment is never closed by */");
            if (sees("*/")) {
                step(2);
                return;
            }
            if (sees("/*"))
                blockComment(depth + 1);
            else
                step();
        }
    }
    void lineComment() {
        while (!atEnd() && !newlineRune(peek())) step();
        if (!atEnd()) step();
    }
    // Spaces and comments within a line; true if there was any.
    bool space() {
        bool any = false;
        for (;;) {
            if (!atEnd() && spaceRune(peek()))
                step();
            else if (sees("/*"))
                blockComment(0);
            else
                return any;
            any = true;
        }
    }
    // Space within a node, which may go over lines behind a backslash.
    bool nodeSpace() {
        bool any = space();
        while (peek() == '\\') {
            step();
            space();
            if (sees("//")) {
                lineComment();
            } else if (atEnd()) {
                return true;
            } else if (newlineRune(peek())) {
                step();
            } else {
                wrong("after a backslash only a comment and the end of the line may stand, not " + shown());
            }
            any = true;
            space();
        }
        return any;
    }
    bool lineSpace() {
        bool any = false;
        for (;;) {
            if (nodeSpace()) {
                any = true;
            } else if (!atEnd() && newlineRune(peek())) {
                step();
                any = true;
            } else if (sees("//")) {
                lineComment();
                any = true;
            } else {
                return any;
            }
        }
    }

    // ---- nodes ----
    std::vector<Node> nodes(int depth) {
        std::vector<Node> out;
        for (;;) {
            lineSpace();
            if (atEnd() || peek() == '}') return out;
            if (peek() == ';') wrong("a node was expected here, not ';'");
            bool dropped = false;
            if (sees("/-")) {
                step(2);
                lineSpace();
                dropped = true;
                if (atEnd() || peek() == '}') wrong("after /- a node was expected, not " + shown());
            }
            Node one = node(depth);
            if (!dropped) out.push_back(std::move(one));
        }
    }

    Node node(int depth) {
        if (depth > limits_.depth) wrong("nodes are nested too deeply");
        Node out;
        out.at = place_;
        out.type = typeMark();
        out.at = place_;
        if (!stringAhead()) wrong("a node's name was expected here, not " + shown());
        out.name = string();
        bool childrenSeen = false, ended = false;
        while (!ended) {
            const bool spaced = nodeSpace();
            if (atEnd()) break;
            const Rune c = peek();
            if (newlineRune(c) || c == ';') {
                step();
                break;
            }
            if (sees("//")) {
                lineComment();
                break;
            }
            if (c == '}') break;  // the end of the parent's children ends this node too
            bool dropped = false;
            if (sees("/-")) {
                step(2);
                lineSpace();
                dropped = true;
                if (atEnd()) wrong("after /- something to drop was expected");
            }
            if (peek() == '{') {
                if (childrenSeen && !dropped) wrong("a node has one block of children");
                const SourcePosition began = place_;
                step();
                std::vector<Node> children = nodes(depth + 1);
                if (peek() != '}') wrongAt(began, "this block of children is never closed by }");
                step();
                if (!dropped) {
                    out.children = std::move(children);
                    out.braces = true;
                    childrenSeen = true;
                }
                continue;
            }
            if (childrenSeen)
                wrong("nothing but the node's end may stand after its children, not " + shown());
            if (!spaced && !dropped) wrong("a space was expected before " + shown());
            entry(out, dropped);
        }
        return out;
    }

    void entry(Node& out, bool dropped) {
        const SourcePosition at = place_;
        if (peek() != '(' && stringAhead()) {
            std::string word = string();
            // Space may stand around the equals sign of a property.
            const auto mark = save();
            nodeSpace();
            if (peek() == '=') {
                step();
                nodeSpace();
                Value v = value();
                if (dropped) return;
                for (auto& [name, old] : out.properties) {
                    if (name == word) {
                        old = std::move(v);
                        return;
                    }
                }
                out.properties.emplace_back(std::move(word), std::move(v));
                return;
            }
            restore(mark);
            if (!dropped) out.arguments.push_back(Value{std::nullopt, std::move(word), at});
            return;
        }
        Value v = value();
        if (!dropped) out.arguments.push_back(std::move(v));
    }

    std::optional<std::string> typeMark() {
        if (peek() != '(') return std::nullopt;
        step();
        nodeSpace();
        if (!stringAhead()) wrong("a type's name was expected here, not " + shown());
        std::string name = string();
        nodeSpace();
        if (peek() != ')') wrong("a type ends with ), not " + shown());
        step();
        nodeSpace();
        return name;
    }

    Value value() {
        Value out;
        out.at = place_;
        out.type = typeMark();
        out.at = place_;
        const Rune c = peek();
        if (c == '#' && !(peek(1) == '"' || peek(1) == '#')) {
            keyword(out);
        } else if (numberAhead()) {
            number(out);
        } else if (stringAhead()) {
            out.data = string();
        } else {
            wrong("a value was expected here, not " + shown());
        }
        return out;
    }

    void keyword(Value& out) {
        const SourcePosition at = place_;
        std::size_t end = pos_ + 1;
        while (end < text_.size() &&
               (std::isalpha(static_cast<unsigned char>(text_[end])) || text_[end] == '-'))
            ++end;
        const std::string_view word = text_.substr(pos_, end - pos_);
        step(word.size());
        if (!atEnd() && identifierRune(peek())) wrongAt(at, "this is no keyword of KDL");
        if (word == "#true")
            out.data = true;
        else if (word == "#false")
            out.data = false;
        else if (word == "#null")
            out.data = Null{};
        else if (word == "#inf")
            out.data = Number{"#inf", std::numeric_limits<double>::infinity(), {}};
        else if (word == "#-inf")
            out.data = Number{"#-inf", -std::numeric_limits<double>::infinity(), {}};
        else if (word == "#nan")
            out.data = Number{"#nan", std::numeric_limits<double>::quiet_NaN(), {}};
        else
            wrongAt(at, "this is no keyword of KDL: #true, #false, #null, #inf, #-inf and #nan are");
    }

    bool numberAhead() {
        std::size_t i = peek() == '+' || peek() == '-' ? 1 : 0;
        return digitRune(peek(i));
    }

    void number(Value& out) {
        const SourcePosition at = place_;
        const std::size_t start = pos_;
        std::string digits;  // without the underscores
        if (peek() == '+' || peek() == '-') {
            if (peek() == '-') digits += '-';
            step();
        }
        int base = 10;
        if (sees("0x")) base = 16;
        if (sees("0o")) base = 8;
        if (sees("0b")) base = 2;
        const auto run = [&](int inBase) {
            bool any = false;
            for (;;) {
                const Rune c = peek();
                const int v = digitRune(c)           ? static_cast<int>(c - '0')
                              : c >= 'a' && c <= 'f' ? static_cast<int>(c - 'a') + 10
                              : c >= 'A' && c <= 'F' ? static_cast<int>(c - 'A') + 10
                                                     : 99;
                if (v < inBase) {
                    digits += static_cast<char>(c);
                    any = true;
                } else if (c != '_' || !any) {
                    break;
                }
                step();
            }
            if (!any) wrong("a digit was expected here, not " + shown());
        };
        Number n;
        if (base != 10) {
            step(2);
            run(base);
            std::int64_t whole = 0;
            const auto [end, bad] =
                std::from_chars(digits.data(), digits.data() + digits.size(), whole, base);
            (void)end;
            if (bad == std::errc{}) n.whole = whole;
            n.value = 0;
            for (const char c : digits)
                if (c != '-') n.value = n.value * base + (c <= '9' ? c - '0' : (c | 32) - 'a' + 10);
            if (digits.front() == '-') n.value = -n.value;
        } else {
            run(10);
            bool plain = true;
            if (peek() == '.') {
                plain = false;
                digits += '.';
                step();
                run(10);
            }
            if (peek() == 'e' || peek() == 'E') {
                plain = false;
                digits += 'e';
                step();
                if (peek() == '+' || peek() == '-') {
                    digits += static_cast<char>(peek());
                    step();
                }
                run(10);
            }
            n.value = std::strtod(digits.c_str(), nullptr);
            std::int64_t whole = 0;
            if (plain) {
                const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), whole);
                (void)end;
                if (bad == std::errc{}) n.whole = whole;
            }
        }
        if (!atEnd() && identifierRune(peek()))
            wrongAt(at, "this begins like a number and does not end like one");
        n.written = std::string(text_.substr(start, pos_ - start));
        out.data = std::move(n);
    }

    // ---- strings ----
    bool stringAhead() {
        const Rune c = peek();
        if (c == '"') return true;
        if (c == '#') return rawAhead();
        return identifierRune(c) && !numberAhead();
    }
    bool rawAhead() const {
        std::size_t i = pos_;
        while (i < text_.size() && text_[i] == '#') ++i;
        return i > pos_ && i < text_.size() && text_[i] == '"';
    }
    std::string string() {
        if (peek() == '"') return sees("\"\"\"") ? multiline(0) : quoted();
        if (peek() == '#') return raw();
        return identifier();
    }
    std::string identifier() {
        const SourcePosition at = place_;
        const std::size_t start = pos_;
        while (!atEnd() && identifierRune(peek())) step();
        const std::string word(text_.substr(start, pos_ - start));
        // ".1" and "-.1" look like numbers, and the bare keywords like KDL 1's: both are refused.
        std::size_t i = word[0] == '+' || word[0] == '-' ? 1 : 0;
        if (i < word.size() && word[i] == '.' && i + 1 < word.size() &&
            digitRune(static_cast<unsigned char>(word[i + 1])))
            wrongAt(at, "a number needs a digit before its point");
        for (const std::string_view key : {"inf", "-inf", "nan", "true", "false", "null"})
            if (word == key)
                wrongAt(at, "'" + word + "' alone is no string: write #" + word + " or \"" + word + "\"");
        return word;
    }
    // Behind the backslash. Nothing if it was space, which is left out.
    std::optional<Rune> escape() {
        const SourcePosition at = place_;
        const Rune c = peek();
        if (c == kEnd) wrong("the text ends within a string");
        if (spaceRune(c) || newlineRune(c)) {
            while (!atEnd() && (spaceRune(peek()) || newlineRune(peek()))) step();
            return std::nullopt;
        }
        step();
        switch (c) {
            case 'n':
                return '\n';
            case 'r':
                return '\r';
            case 't':
                return '\t';
            case '\\':
                return '\\';
            case '"':
                return '"';
            case 'b':
                return '\b';
            case 'f':
                return '\f';
            case 's':
                return ' ';
            case 'u':
                break;
            default:
                wrongAt(at, "this escape is not one of KDL's");
        }
        if (peek() != '{') wrong("\\u is followed by {, not " + shown());
        step();
        Rune value = 0;
        int digits = 0;
        while (!atEnd() && peek() < 128 && std::isxdigit(static_cast<int>(peek()))) {
            const char h = static_cast<char>(peek());
            value = value * 16 + Rune(h <= '9' ? h - '0' : (h | 32) - 'a' + 10);
            if (++digits > 6) wrongAt(at, "\\u{...} holds one to six digits");
            step();
        }
        if (digits == 0 || peek() != '}') wrongAt(at, "\\u{...} holds one to six digits");
        step();
        if (value > 0x10ffff || (value >= 0xd800 && value <= 0xdfff))
            wrongAt(at, "this is no character of Unicode");
        return value;
    }
    std::string quoted() {
        const SourcePosition began = place_;
        step();
        std::string out;
        for (;;) {
            if (atEnd()) wrongAt(began, "this string is never closed");
            const Rune c = peek();
            if (c == '"') {
                step();
                return out;
            }
            if (newlineRune(c))
                wrong("a string in single quotes ends on its line: use \"\"\" for more lines");
            step();
            if (c == '\\') {
                if (const auto e = escape()) appendRune(out, *e);
            } else {
                appendRune(out, c);
            }
        }
    }
    std::string raw() {
        const SourcePosition began = place_;
        std::size_t hashes = 0;
        while (peek() == '#') {
            step();
            ++hashes;
        }
        if (sees("\"\"\"")) return multiline(hashes);
        step();
        const std::string close = "\"" + std::string(hashes, '#');
        const std::size_t start = pos_;
        while (!sees(close)) {
            if (atEnd()) wrongAt(began, "this raw string is never closed by " + close);
            if (newlineRune(peek()))
                wrong("a raw string in single quotes ends on its line: use \"\"\" for more lines");
            step();
        }
        std::string out(text_.substr(start, pos_ - start));
        step(close.size());
        return out;
    }

    // Section 3.10: lines between the quotes, less the indent of the last. Newlines become LF. An escaped
    // newline joins lines before the indent is looked at.
    std::string multiline(std::size_t hashes) {
        const SourcePosition began = place_;
        step(3);
        if (atEnd() || !newlineRune(peek())) wrong("after \"\"\" the line must end");
        step();
        const std::string close = "\"\"\"" + std::string(hashes, '#');
        struct Line {
            std::string text;    // with escapes still as they stand
            std::string indent;  // literal space at its start
            bool onlySpace = true;
            SourcePosition at;
        };
        std::vector<Line> lines(1);
        lines.back().at = place_;
        for (;;) {
            if (atEnd()) wrongAt(began, "this string is never closed by " + close);
            if (sees(close)) {
                step(close.size());
                break;
            }
            const Rune c = peek();
            Line& line = lines.back();
            if (newlineRune(c)) {
                step();
                lines.emplace_back();
                lines.back().at = place_;
                continue;
            }
            step();
            if (c == '\\' && hashes == 0) {
                const Rune next = peek();
                if (next != kEnd && (spaceRune(next) || newlineRune(next))) {
                    escape();
                    if (sees(close) && line.onlySpace) continue;
                    continue;
                }
                if (const auto e = escape()) {
                    appendRune(line.text, *e);
                    line.onlySpace = false;
                }
                continue;
            }
            if (spaceRune(c) && line.onlySpace) appendRune(line.indent, c);
            if (!spaceRune(c)) line.onlySpace = false;
            appendRune(line.text, c);
        }
        const Line last = lines.back();
        if (!last.onlySpace) wrongAt(last.at, "the closing \"\"\" must stand on a line of its own");
        lines.pop_back();
        std::string out;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i) out += '\n';
            if (lines[i].onlySpace) continue;
            if (lines[i].indent.compare(0, last.text.size(), last.text) != 0)
                wrongAt(lines[i].at, "this line is not indented as the closing \"\"\" is");
            out += lines[i].text.substr(last.text.size());
        }
        return out;
    }

    struct Mark {
        std::size_t pos;
        SourcePosition place;
    };
    Mark save() const { return {pos_, place_}; }
    void restore(const Mark& m) {
        pos_ = m.pos;
        place_ = m.place;
    }

    const std::string& file_;
    std::string_view text_;
    KdlLimits limits_;
    std::size_t pos_ = 0;
    SourcePosition place_;
};

bool bareWord(const std::string& s) {
    if (s.empty()) return false;
    for (const std::string_view key : {"inf", "-inf", "nan", "true", "false", "null"})
        if (s == key) return false;
    std::size_t i = s[0] == '+' || s[0] == '-' ? 1 : 0;
    if (i < s.size() && (std::isdigit(static_cast<unsigned char>(s[i])) || s[i] == '.')) return false;
    for (const char c : s)
        if (static_cast<unsigned char>(c) >= 0x80 || !identifierRune(static_cast<unsigned char>(c)))
            return false;
    return true;
}

std::string word(const std::string& s) {
    if (bareWord(s)) return s;
    std::string out = "\"";
    std::string_view rest = s;
    while (!rest.empty()) {
        const Decoded d = decode(rest);
        const std::size_t length = std::max<std::size_t>(d.length, 1);
        if (d.rune == '"' || d.rune == '\\') {
            out += '\\';
            out += static_cast<char>(d.rune);
        } else if (d.rune == '\n') {
            out += "\\n";
        } else if (d.rune != kEnd && (bannedRune(d.rune) || newlineRune(d.rune))) {
            char hex[16];
            std::snprintf(hex, sizeof hex, "\\u{%x}", static_cast<unsigned>(d.rune));
            out += hex;
        } else {
            out += rest.substr(0, length);
        }
        rest.remove_prefix(length);
    }
    return out + "\"";
}

void print(const Node& node, int level, std::string& out) {
    out.append(static_cast<std::size_t>(level) * 4, ' ');
    if (node.type) out += "(" + word(*node.type) + ")";
    out += word(node.name);
    for (const Value& v : node.arguments) out += " " + formatValue(v);
    for (const auto& [name, v] : node.properties) out += " " + word(name) + "=" + formatValue(v);
    if (node.braces) {
        out += " {\n";
        for (const Node& child : node.children) print(child, level + 1, out);
        out.append(static_cast<std::size_t>(level) * 4, ' ');
        out += "}";
    }
    out += "\n";
}

std::string lineOf(std::string_view text, int line) {
    std::size_t start = 0;
    for (int i = 1; i < line; ++i) {
        const auto end = text.find_first_of("\n\r", start);
        if (end == std::string_view::npos) return "";
        start = end + (text.substr(end, 2) == "\r\n" ? 2 : 1);
    }
    std::string out;
    for (const char c :
         text.substr(start, std::min(text.find_first_of("\n\r", start), text.size()) - start)) {
        if (out.size() > 200) break;
        out += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? ' ' : c;
    }
    return out;
}

}  // namespace

SettingsError::SettingsError(const std::string& file, std::string_view text, SourcePosition at,
                             const std::string& what)
    : std::runtime_error(
          file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what + "\n    " +
          lineOf(text, at.line) + "\n    " +
          std::string(static_cast<std::size_t>(std::max(0, std::min(at.column, 200) - 1)), ' ') + "^"),
      at(at),
      brief(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what) {}

std::vector<Node> parseKdl(const std::string& file, std::string_view text, const KdlLimits& limits) {
    return Reader(file, text, limits).document();
}

std::string formatValue(const Value& v) {
    std::string out = v.type ? "(" + word(*v.type) + ")" : "";
    if (std::holds_alternative<Null>(v.data)) return out + "#null";
    if (const bool* b = std::get_if<bool>(&v.data)) return out + (*b ? "#true" : "#false");
    if (const Number* n = std::get_if<Number>(&v.data)) return out + n->written;
    return out + word(std::get<std::string>(v.data));
}

std::string printKdl(const std::vector<Node>& nodes) {
    std::string out;
    for (const Node& n : nodes) print(n, 0, out);
    return out;
}

}  // namespace valekeel::settings
