// Parser and printer for KDL 2.0 (kdl.dev/spec, 2.0.0). Written here because no packaged library was
// available. It covers the full grammar: all five kinds of strings, numbers in all bases and the keyword
// numbers, type annotations, slashdash, nested comments, line continuation and the version marker. Fuzzed in
// fuzz/.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace valekeel::settings {

// A position in a text. Lines and columns start at 1; columns count code points.
struct SourcePosition {
    int line = 1, column = 1;
};

// The KDL value #null.
struct Null {
    bool operator==(const Null&) const = default;
};
// A number with its original spelling; the reader of a setting decides which range and kind it accepts.
struct Number {
    std::string written;  // as in the source
    double value = 0;
    std::optional<std::int64_t> whole;  // set if it is an integer of at most 64 bits
    bool operator==(const Number& o) const { return written == o.written; }
};

// An argument or a property value of a node.
struct Value {
    std::optional<std::string> type;  // annotation, as in (u8)1
    std::variant<Null, bool, Number, std::string> data;
    SourcePosition at;
};

// A KDL node with its arguments, properties and children.
struct Node {
    std::optional<std::string> type;
    std::string name;
    SourcePosition at;
    std::vector<Value> arguments;
    // A repeated name keeps its first position and its last value.
    std::vector<std::pair<std::string, Value>> properties;
    std::vector<Node> children;
    bool braces = false;  // has a block of children, maybe an empty one
};

// An error in a settings text. what() is "FILE:LINE:COLUMN: MESSAGE", the source line and a caret below the
// column.
class SettingsError : public std::runtime_error {
  public:
    SettingsError(const std::string& file, std::string_view text, SourcePosition, const std::string& message);
    SourcePosition at;
    std::string brief;  // the first line of what()
};

// Limits on the input of the parser.
struct KdlLimits {
    std::size_t bytes = 4'000'000;
    int depth = 64;  // nesting of children, and of comments
};

// Parses a document; `file` is the name used in errors. Throws SettingsError.
std::vector<Node> parseKdl(const std::string& file, std::string_view text, const KdlLimits& = {});

// Prints nodes so that they parse back to the same: quotes strings only where necessary, indents by four
// spaces.
std::string printKdl(const std::vector<Node>&);
// Prints one value, with its type annotation.
std::string formatValue(const Value&);

}  // namespace valekeel::settings
