#include "settings/kdl.hpp"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <limits>

namespace valekeel::settings {
namespace {

using Rune = char32_t;
constexpr Rune kEnd = 0xffffffff;

bool isNewline(Rune c) {
    return c == 0x0d || c == 0x0a || c == 0x85 || c == 0x0b || c == 0x0c || c == 0x2028 || c == 0x2029;
}
bool isSpace(Rune c) {
    return c == 0x09 || c == 0x20 || c == 0xa0 || c == 0x1680 || (c >= 0x2000 && c <= 0x200a) ||
           c == 0x202f || c == 0x205f || c == 0x3000;
}
// Code points that KDL disallows as literals (section 3.19): control characters, surrogates, direction marks
// and a byte order mark inside the text.
bool isDisallowed(Rune c) {
    return c <= 0x08 || (c >= 0x0e && c <= 0x1f) || c == 0x7f || (c >= 0xd800 && c <= 0xdfff) ||
           (c >= 0x200e && c <= 0x200f) || (c >= 0x202a && c <= 0x202e) || (c >= 0x2066 && c <= 0x2069) ||
           c == 0xfeff || c > 0x10ffff;
}
bool isIdentifierRune(Rune c) {
    if (c == kEnd || isSpace(c) || isNewline(c) || isDisallowed(c)) return false;
    return c > 127 || std::string_view("\\/(){};[]\"#=").find(static_cast<char>(c)) == std::string_view::npos;
}
bool isDigit(Rune c) {
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

// A code point and its length in bytes. kEnd with length 0 at the end of the text, with length 1 for invalid
// UTF-8.
struct Decoded {
    Rune rune = kEnd;
    std::size_t length = 0;
};
Decoded decode(std::string_view s) {
    if (s.empty()) return {};
    const auto b = [&](std::size_t i) { return static_cast<unsigned char>(s[i]); };
    const auto isContinuation = [&](std::size_t i) { return i < s.size() && (b(i) & 0xc0) == 0x80; };
    if (b(0) < 0x80) return {b(0), 1};
    if (b(0) >= 0xc2 && b(0) <= 0xdf && isContinuation(1))
        return {Rune((b(0) & 0x1f) << 6 | (b(1) & 0x3f)), 2};
    if ((b(0) & 0xf0) == 0xe0 && isContinuation(1) && isContinuation(2)) {
        const Rune c = Rune((b(0) & 0x0f) << 12 | (b(1) & 0x3f) << 6 | (b(2) & 0x3f));
        if (c >= 0x800) return {c, 3};
    }
    if (b(0) >= 0xf0 && b(0) <= 0xf4 && isContinuation(1) && isContinuation(2) && isContinuation(3)) {
        const Rune c = Rune((b(0) & 0x07) << 18 | (b(1) & 0x3f) << 12 | (b(2) & 0x3f) << 6 | (b(3) & 0x3f));
        if (c >= 0x10000 && c <= 0x10ffff) return {c, 4};
    }
    return {kEnd, 1};
}

class Parser {
  public:
    Parser(const std::string& file, std::string_view text, const KdlLimits& limits)
        : file_(file), text_(text), limits_(limits) {}

    std::vector<Node> parseDocument() {
        if (text_.size() > limits_.bytes)
            fail("the text exceeds " + std::to_string(limits_.bytes) + " bytes");
        if (peek() == 0xfeff) advance();
        skipVersionMarker();
        std::vector<Node> out = parseNodes(0);
        if (peek() != kEnd || !atEnd()) fail("expected a node, found " + describeNext());
        return out;
    }

  private:
    // ---- code points ----
    bool atEnd() const { return pos_ >= text_.size(); }
    Rune peek() {
        if (atEnd()) return kEnd;
        const Decoded d = decode(text_.substr(pos_));
        if (d.rune == kEnd) fail("invalid UTF-8");
        return d.rune;
    }
    Rune peek(std::size_t ahead) const {  // in bytes; meaningful for ASCII only
        return pos_ + ahead < text_.size() ? static_cast<unsigned char>(text_[pos_ + ahead]) : kEnd;
    }
    bool startsWith(std::string_view what) const { return text_.substr(pos_, what.size()) == what; }
    void advance() {
        const Decoded d = decode(text_.substr(pos_));
        if (d.rune == kEnd) fail("invalid UTF-8");
        if (isDisallowed(d.rune) && !(d.rune == 0xfeff && pos_ == 0))
            fail("this character must be escaped, as \\u{...}");
        pos_ += d.length;
        if (d.rune == 0x0d && pos_ < text_.size() && text_[pos_] == '\n') ++pos_;  // CRLF is one newline
        if (isNewline(d.rune)) {
            ++position_.line;
            position_.column = 1;
        } else {
            ++position_.column;
        }
    }
    void advance(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) advance();
    }
    [[noreturn]] void fail(const std::string& what) { throw SettingsError(file_, text_, position_, what); }
    [[noreturn]] void failAt(SourcePosition at, const std::string& what) {
        throw SettingsError(file_, text_, at, what);
    }
    std::string describeNext() {
        const Rune c = peek();
        if (c == kEnd) return "the end of the text";
        if (isNewline(c)) return "the end of the line";
        std::string out = "'";
        appendRune(out, c);
        return out + "'";
    }

    // ---- white space and comments ----
    void skipVersionMarker() {
        if (!startsWith("/-")) return;
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
        if (version == '1') fail("the version marker says KDL 1; only KDL 2 is supported");
        while (pos_ <= i) advance();
    }
    void skipBlockComment(int depth) {
        const SourcePosition start = position_;
        if (depth > limits_.depth) fail("comments are nested too deeply");
        advance(2);
        for (;;) {
            if (atEnd()) failAt(start, "unterminated comment: */ is missing");
            if (startsWith("*/")) {
                advance(2);
                return;
            }
            if (startsWith("/*"))
                skipBlockComment(depth + 1);
            else
                advance();
        }
    }
    void skipLineComment() {
        while (!atEnd() && !isNewline(peek())) advance();
        if (!atEnd()) advance();
    }
    // Skips spaces and comments within a line; returns true if there were any.
    bool skipSpace() {
        bool any = false;
        for (;;) {
            if (!atEnd() && isSpace(peek()))
                advance();
            else if (startsWith("/*"))
                skipBlockComment(0);
            else
                return any;
            any = true;
        }
    }
    // Skips space within a node, including line continuations by a backslash.
    bool skipNodeSpace() {
        bool any = skipSpace();
        while (peek() == '\\') {
            advance();
            skipSpace();
            if (startsWith("//")) {
                skipLineComment();
            } else if (atEnd()) {
                return true;
            } else if (isNewline(peek())) {
                advance();
            } else {
                fail("only a comment or the end of the line may follow a backslash, not " + describeNext());
            }
            any = true;
            skipSpace();
        }
        return any;
    }
    bool skipLineSpace() {
        bool any = false;
        for (;;) {
            if (skipNodeSpace()) {
                any = true;
            } else if (!atEnd() && isNewline(peek())) {
                advance();
                any = true;
            } else if (startsWith("//")) {
                skipLineComment();
                any = true;
            } else {
                return any;
            }
        }
    }

    // ---- nodes ----
    std::vector<Node> parseNodes(int depth) {
        std::vector<Node> out;
        for (;;) {
            skipLineSpace();
            if (atEnd() || peek() == '}') return out;
            if (peek() == ';') fail("expected a node, found ';'");
            bool isSlashdashed = false;
            if (startsWith("/-")) {
                advance(2);
                skipLineSpace();
                isSlashdashed = true;
                if (atEnd() || peek() == '}') fail("expected a node after /-, found " + describeNext());
            }
            Node child = parseNode(depth);
            if (!isSlashdashed) out.push_back(std::move(child));
        }
    }

    Node parseNode(int depth) {
        if (depth > limits_.depth) fail("nodes are nested too deeply");
        Node out;
        out.at = position_;
        out.type = parseType();
        out.at = position_;
        if (!atString()) fail("expected the name of a node, found " + describeNext());
        out.name = parseString();
        bool childrenSeen = false, ended = false;
        while (!ended) {
            const bool hasSpace = skipNodeSpace();
            if (atEnd()) break;
            const Rune c = peek();
            if (isNewline(c) || c == ';') {
                advance();
                break;
            }
            if (startsWith("//")) {
                skipLineComment();
                break;
            }
            if (c == '}') break;  // the end of the parent's block also ends this node
            bool isSlashdashed = false;
            if (startsWith("/-")) {
                advance(2);
                skipLineSpace();
                isSlashdashed = true;
                if (atEnd()) fail("expected a value or a block after /-");
            }
            if (peek() == '{') {
                if (childrenSeen && !isSlashdashed) fail("a node can have only one block of children");
                const SourcePosition start = position_;
                advance();
                std::vector<Node> children = parseNodes(depth + 1);
                if (peek() != '}') failAt(start, "unterminated block of children: } is missing");
                advance();
                if (!isSlashdashed) {
                    out.children = std::move(children);
                    out.braces = true;
                    childrenSeen = true;
                }
                continue;
            }
            if (childrenSeen)
                fail("expected the end of the node after its children, found " + describeNext());
            if (!hasSpace && !isSlashdashed) fail("expected a space before " + describeNext());
            parseEntry(out, isSlashdashed);
        }
        return out;
    }

    void parseEntry(Node& out, bool isSlashdashed) {
        const SourcePosition at = position_;
        if (peek() != '(' && atString()) {
            std::string word = parseString();
            // The equals sign of a property may be surrounded by space.
            const auto saved = save();
            skipNodeSpace();
            if (peek() == '=') {
                advance();
                skipNodeSpace();
                Value v = parseValue();
                if (isSlashdashed) return;
                for (auto& [name, old] : out.properties) {
                    if (name == word) {
                        old = std::move(v);
                        return;
                    }
                }
                out.properties.emplace_back(std::move(word), std::move(v));
                return;
            }
            restore(saved);
            if (!isSlashdashed) out.arguments.push_back(Value{std::nullopt, std::move(word), at});
            return;
        }
        Value v = parseValue();
        if (!isSlashdashed) out.arguments.push_back(std::move(v));
    }

    std::optional<std::string> parseType() {
        if (peek() != '(') return std::nullopt;
        advance();
        skipNodeSpace();
        if (!atString()) fail("expected the name of a type, found " + describeNext());
        std::string name = parseString();
        skipNodeSpace();
        if (peek() != ')') fail("expected ) after the type, found " + describeNext());
        advance();
        skipNodeSpace();
        return name;
    }

    Value parseValue() {
        Value out;
        out.at = position_;
        out.type = parseType();
        out.at = position_;
        const Rune c = peek();
        if (c == '#' && !(peek(1) == '"' || peek(1) == '#')) {
            parseKeyword(out);
        } else if (atNumber()) {
            parseNumber(out);
        } else if (atString()) {
            out.data = parseString();
        } else {
            fail("expected a value, found " + describeNext());
        }
        return out;
    }

    void parseKeyword(Value& out) {
        const SourcePosition at = position_;
        std::size_t end = pos_ + 1;
        while (end < text_.size() &&
               (std::isalpha(static_cast<unsigned char>(text_[end])) || text_[end] == '-'))
            ++end;
        const std::string_view word = text_.substr(pos_, end - pos_);
        advance(word.size());
        if (!atEnd() && isIdentifierRune(peek())) failAt(at, "unknown keyword");
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
            failAt(at, "unknown keyword; KDL has #true, #false, #null, #inf, #-inf and #nan");
    }

    bool atNumber() {
        std::size_t i = peek() == '+' || peek() == '-' ? 1 : 0;
        return isDigit(peek(i));
    }

    void parseNumber(Value& out) {
        const SourcePosition at = position_;
        const std::size_t start = pos_;
        std::string digits;  // without the underscores
        if (peek() == '+' || peek() == '-') {
            if (peek() == '-') digits += '-';
            advance();
        }
        int base = 10;
        if (startsWith("0x")) base = 16;
        if (startsWith("0o")) base = 8;
        if (startsWith("0b")) base = 2;
        const auto readDigits = [&](int inBase) {
            bool any = false;
            for (;;) {
                const Rune c = peek();
                const int v = isDigit(c)             ? static_cast<int>(c - '0')
                              : c >= 'a' && c <= 'f' ? static_cast<int>(c - 'a') + 10
                              : c >= 'A' && c <= 'F' ? static_cast<int>(c - 'A') + 10
                                                     : 99;
                if (v < inBase) {
                    digits += static_cast<char>(c);
                    any = true;
                } else if (c != '_' || !any) {
                    break;
                }
                advance();
            }
            if (!any) fail("expected a digit, found " + describeNext());
        };
        Number n;
        if (base != 10) {
            advance(2);
            readDigits(base);
            std::int64_t whole = 0;
            const auto [end, error] =
                std::from_chars(digits.data(), digits.data() + digits.size(), whole, base);
            (void)end;
            if (error == std::errc{}) n.whole = whole;
            n.value = 0;
            for (const char c : digits)
                if (c != '-') n.value = n.value * base + (c <= '9' ? c - '0' : (c | 32) - 'a' + 10);
            if (digits.front() == '-') n.value = -n.value;
        } else {
            readDigits(10);
            bool plain = true;
            if (peek() == '.') {
                plain = false;
                digits += '.';
                advance();
                readDigits(10);
            }
            if (peek() == 'e' || peek() == 'E') {
                plain = false;
                digits += 'e';
                advance();
                if (peek() == '+' || peek() == '-') {
                    digits += static_cast<char>(peek());
                    advance();
                }
                readDigits(10);
            }
            n.value = std::strtod(digits.c_str(), nullptr);
            std::int64_t whole = 0;
            if (plain) {
                const auto [end, error] =
                    std::from_chars(digits.data(), digits.data() + digits.size(), whole);
                (void)end;
                if (error == std::errc{}) n.whole = whole;
            }
        }
        if (!atEnd() && isIdentifierRune(peek()))
            failAt(at, "malformed number: unexpected character after the digits");
        n.written = std::string(text_.substr(start, pos_ - start));
        out.data = std::move(n);
    }

    // ---- strings ----
    bool atString() {
        const Rune c = peek();
        if (c == '"') return true;
        if (c == '#') return atRawString();
        return isIdentifierRune(c) && !atNumber();
    }
    bool atRawString() const {
        std::size_t i = pos_;
        while (i < text_.size() && text_[i] == '#') ++i;
        return i > pos_ && i < text_.size() && text_[i] == '"';
    }
    std::string parseString() {
        if (peek() == '"') return startsWith("\"\"\"") ? parseMultiline(0) : parseQuoted();
        if (peek() == '#') return parseRaw();
        return parseIdentifier();
    }
    std::string parseIdentifier() {
        const SourcePosition at = position_;
        const std::size_t start = pos_;
        while (!atEnd() && isIdentifierRune(peek())) advance();
        const std::string word(text_.substr(start, pos_ - start));
        // Rejected: ".1" and "-.1", which look like numbers, and the bare keywords of KDL 1.
        std::size_t i = word[0] == '+' || word[0] == '-' ? 1 : 0;
        if (i < word.size() && word[i] == '.' && i + 1 < word.size() &&
            isDigit(static_cast<unsigned char>(word[i + 1])))
            failAt(at, "a number needs a digit before the decimal point");
        for (const std::string_view key : {"inf", "-inf", "nan", "true", "false", "null"})
            if (word == key)
                failAt(at,
                       "'" + word + "' is not a valid bare string: write #" + word + " or \"" + word + "\"");
        return word;
    }
    // Parses an escape after the backslash. Empty for escaped white space, which is dropped.
    std::optional<Rune> parseEscape() {
        const SourcePosition at = position_;
        const Rune c = peek();
        if (c == kEnd) fail("unterminated string");
        if (isSpace(c) || isNewline(c)) {
            while (!atEnd() && (isSpace(peek()) || isNewline(peek()))) advance();
            return std::nullopt;
        }
        advance();
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
                failAt(at, "unknown escape sequence");
        }
        if (peek() != '{') fail("expected { after \\u, found " + describeNext());
        advance();
        Rune value = 0;
        int digits = 0;
        while (!atEnd() && peek() < 128 && std::isxdigit(static_cast<int>(peek()))) {
            const char h = static_cast<char>(peek());
            value = value * 16 + Rune(h <= '9' ? h - '0' : (h | 32) - 'a' + 10);
            if (++digits > 6) failAt(at, "\\u{...} takes one to six hex digits");
            advance();
        }
        if (digits == 0 || peek() != '}') failAt(at, "\\u{...} takes one to six hex digits");
        advance();
        if (value > 0x10ffff || (value >= 0xd800 && value <= 0xdfff))
            failAt(at, "not a Unicode scalar value");
        return value;
    }
    std::string parseQuoted() {
        const SourcePosition start = position_;
        advance();
        std::string out;
        for (;;) {
            if (atEnd()) failAt(start, "unterminated string: \" is missing");
            const Rune c = peek();
            if (c == '"') {
                advance();
                return out;
            }
            if (isNewline(c)) fail("a quoted string cannot span lines: use \"\"\" instead");
            advance();
            if (c == '\\') {
                if (const auto e = parseEscape()) appendRune(out, *e);
            } else {
                appendRune(out, c);
            }
        }
    }
    std::string parseRaw() {
        const SourcePosition opening = position_;
        std::size_t hashes = 0;
        while (peek() == '#') {
            advance();
            ++hashes;
        }
        if (startsWith("\"\"\"")) return parseMultiline(hashes);
        advance();
        const std::string close = "\"" + std::string(hashes, '#');
        const std::size_t start = pos_;
        while (!startsWith(close)) {
            if (atEnd()) failAt(opening, "unterminated raw string: missing " + close);
            if (isNewline(peek())) fail("a raw string cannot span lines: use \"\"\" instead");
            advance();
        }
        std::string out(text_.substr(start, pos_ - start));
        advance(close.size());
        return out;
    }

    // Multi-line strings (section 3.10): the lines between the quotes, without the indent of the last one.
    // Newlines become LF. Escaped newlines join lines before the indent is removed.
    std::string parseMultiline(std::size_t hashes) {
        const SourcePosition start = position_;
        advance(3);
        if (atEnd() || !isNewline(peek())) fail("the line must end after \"\"\"");
        advance();
        const std::string close = "\"\"\"" + std::string(hashes, '#');
        struct Line {
            std::string text;    // with escapes resolved
            std::string indent;  // literal leading white space
            bool onlySpace = true;
            SourcePosition at;
        };
        std::vector<Line> lines(1);
        lines.back().at = position_;
        for (;;) {
            if (atEnd()) failAt(start, "unterminated string: missing " + close);
            if (startsWith(close)) {
                advance(close.size());
                break;
            }
            const Rune c = peek();
            Line& line = lines.back();
            if (isNewline(c)) {
                advance();
                lines.emplace_back();
                lines.back().at = position_;
                continue;
            }
            advance();
            if (c == '\\' && hashes == 0) {
                const Rune next = peek();
                if (next != kEnd && (isSpace(next) || isNewline(next))) {
                    parseEscape();
                    if (startsWith(close) && line.onlySpace) continue;
                    continue;
                }
                if (const auto e = parseEscape()) {
                    appendRune(line.text, *e);
                    line.onlySpace = false;
                }
                continue;
            }
            if (isSpace(c) && line.onlySpace) appendRune(line.indent, c);
            if (!isSpace(c)) line.onlySpace = false;
            appendRune(line.text, c);
        }
        const Line last = lines.back();
        if (!last.onlySpace) failAt(last.at, "the closing \"\"\" must be on a line of its own");
        lines.pop_back();
        std::string out;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i) out += '\n';
            if (lines[i].onlySpace) continue;
            if (lines[i].indent.compare(0, last.text.size(), last.text) != 0)
                failAt(lines[i].at, "this line lacks the indentation of the closing \"\"\"");
            out += lines[i].text.substr(last.text.size());
        }
        return out;
    }

    struct SavedPosition {
        std::size_t pos;
        SourcePosition place;
    };
    SavedPosition save() const { return {pos_, position_}; }
    void restore(const SavedPosition& m) {
        pos_ = m.pos;
        position_ = m.place;
    }

    const std::string& file_;
    std::string_view text_;
    KdlLimits limits_;
    std::size_t pos_ = 0;
    SourcePosition position_;
};

bool isBareIdentifier(const std::string& s) {
    if (s.empty()) return false;
    for (const std::string_view key : {"inf", "-inf", "nan", "true", "false", "null"})
        if (s == key) return false;
    std::size_t i = s[0] == '+' || s[0] == '-' ? 1 : 0;
    if (i < s.size() && (std::isdigit(static_cast<unsigned char>(s[i])) || s[i] == '.')) return false;
    for (const char c : s)
        if (static_cast<unsigned char>(c) >= 0x80 || !isIdentifierRune(static_cast<unsigned char>(c)))
            return false;
    return true;
}

std::string quoteIfNeeded(const std::string& s) {
    if (isBareIdentifier(s)) return s;
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
        } else if (d.rune != kEnd && (isDisallowed(d.rune) || isNewline(d.rune))) {
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

void printNode(const Node& node, int level, std::string& out) {
    out.append(static_cast<std::size_t>(level) * 4, ' ');
    if (node.type) out += "(" + quoteIfNeeded(*node.type) + ")";
    out += quoteIfNeeded(node.name);
    for (const Value& v : node.arguments) out += " " + formatValue(v);
    for (const auto& [name, v] : node.properties) out += " " + quoteIfNeeded(name) + "=" + formatValue(v);
    if (node.braces) {
        out += " {\n";
        for (const Node& child : node.children) printNode(child, level + 1, out);
        out.append(static_cast<std::size_t>(level) * 4, ' ');
        out += "}";
    }
    out += "\n";
}

std::string sourceLine(std::string_view text, int line) {
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
          sourceLine(text, at.line) + "\n    " +
          std::string(static_cast<std::size_t>(std::max(0, std::min(at.column, 200) - 1)), ' ') + "^"),
      at(at),
      brief(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what) {}

std::vector<Node> parseKdl(const std::string& file, std::string_view text, const KdlLimits& limits) {
    return Parser(file, text, limits).parseDocument();
}

std::string formatValue(const Value& v) {
    std::string out = v.type ? "(" + quoteIfNeeded(*v.type) + ")" : "";
    if (std::holds_alternative<Null>(v.data)) return out + "#null";
    if (const bool* b = std::get_if<bool>(&v.data)) return out + (*b ? "#true" : "#false");
    if (const Number* n = std::get_if<Number>(&v.data)) return out + n->written;
    return out + quoteIfNeeded(std::get<std::string>(v.data));
}

std::string printKdl(const std::vector<Node>& nodes) {
    std::string out;
    for (const Node& n : nodes) printNode(n, 0, out);
    return out;
}

}  // namespace valekeel::settings
