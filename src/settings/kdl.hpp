// KDL 2.0 (kdl.dev/spec, 2.0.0): a reader and a printer. No library for it is served, so it is our own; it
// follows the specification's grammar whole: strings of all five kinds, numbers in all bases and the keyword
// numbers, types, slashdash, comments that nest, line continuation, the version marker. Fuzzed in fuzz/.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace valekeel::settings {

struct SourcePosition {  // both start at 1; a column counts code points
    int line = 1, column = 1;
};

struct Null {
    bool operator==(const Null&) const = default;
};
// A number keeps how it was written: what reads it says what it has to be.
struct Number {
    std::string written;
    double value = 0;
    std::optional<std::int64_t> whole;
    bool operator==(const Number& o) const { return written == o.written; }
};

struct Value {
    std::optional<std::string> type;
    std::variant<Null, bool, Number, std::string> data;
    SourcePosition at;
};

struct Node {
    std::optional<std::string> type;
    std::string name;
    SourcePosition at;
    std::vector<Value> arguments;
    std::vector<std::pair<std::string, Value>> properties;  // the last of a name wins, in its first place
    std::vector<Node> children;
    bool braces = false;
};

// "FILE:LINE:COLUMN: what", then the line and a caret under the place.
class SettingsError : public std::runtime_error {
  public:
    SettingsError(const std::string& file, std::string_view text, SourcePosition, const std::string& what);
    SourcePosition at;
    std::string brief;  // the first line alone
};

struct KdlLimits {
    std::size_t bytes = 4'000'000;
    int depth = 64;  // of braces and of comments in comments
};

// Throws Wrong.
std::vector<Node> parseKdl(const std::string& file, std::string_view text, const KdlLimits& = {});

// What parses back to the same; strings quoted where they must be, four spaces a level.
std::string printKdl(const std::vector<Node>&);
std::string formatValue(const Value&);

}  // namespace valekeel::settings
