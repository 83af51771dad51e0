// Validated reading of a KDL document. Each component reads its own nodes through a NodeReader, which records
// the names that were read; nodes and properties that nobody read are rejected, with the nearest known name
// as a suggestion.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "model/ids.hpp"
#include "net/address.hpp"
#include "settings/kdl.hpp"

namespace valekeel::settings {

// Returns the content of a file. Throws std::runtime_error with the path.
std::string readFile(const std::string& path);
// Writes to PATH.new and renames it, so that readers see either the old or the new content, complete. Throws
// std::runtime_error.
void writeFileAtomically(const std::string& path, const std::string& text);

// A parsed settings text, with its source for error messages. NodeReaders point into it: it must outlive
// them.
class Document {
  public:
    static Document fromText(std::string file, std::string text);  // throws SettingsError
    static Document fromFile(const std::string& path);             // also std::runtime_error
    const std::vector<Node>& nodes() const { return nodes_; }
    const std::string& file() const { return file_; }
    // Throws SettingsError at a position.
    [[noreturn]] void fail(SourcePosition, const std::string& message) const;
    // Returns the document with all defaults that readers have applied so far.
    std::string effectiveText() const;

  private:
    friend class NodeReader;
    struct AppliedDefaults {      // recorded by readers, which see the document as const
        std::deque<Node> absent;  // nodes that were read but are not in the text
        std::map<const Node*, std::vector<std::pair<std::string, Value>>> defaults;
    };
    Node withDefaults(const Node&) const;
    std::shared_ptr<AppliedDefaults> appliedDefaults_ = std::make_shared<AppliedDefaults>();
    std::string file_, text_;
    std::vector<Node> nodes_;
};

// Reads one node, or the top level of the document. Values that are missing, of the wrong type or out of
// range throw SettingsError at their position. After reading, call rejectUnread() on each reader.
class NodeReader {
  public:
    explicit NodeReader(const Document&);
    NodeReader(const Document&, const Node&);

    // Children by name. optionalChild() returns nullptr if there is none and rejects a second one.
    std::unique_ptr<NodeReader> optionalChild(std::string_view name);
    // Returns the child, or an empty one whose properties all read as their defaults.
    NodeReader childOrDefaults(std::string_view name);
    // Returns the only child of that name; rejects a missing or second one.
    NodeReader requiredChild(std::string_view name);
    std::vector<NodeReader> childrenNamed(std::string_view name);

    // Properties of this node. The form without a default rejects a missing property; limits are inclusive.
    std::string text(std::string_view name);
    std::string text(std::string_view name, std::string defaultValue);
    double number(std::string_view name, double min, double max);
    double number(std::string_view name, double min, double max, double defaultValue);
    std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max);
    std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max,
                         std::int64_t defaultValue);
    bool flag(std::string_view name, bool defaultValue);
    // A duration, written as a string with its unit: "250ms", "2s", "5min". In microseconds.
    Micros duration(std::string_view name, Micros min, Micros max);
    Micros duration(std::string_view name, Micros min, Micros max, Micros defaultValue);
    // An address and port, written as "127.0.0.1:8080" or "[::1]:8080".
    net::Endpoint address(std::string_view name);
    // Whether the property is present; does not count as reading it.
    bool has(std::string_view property) const;
    // One of the given strings.
    std::string choice(std::string_view name, const std::vector<std::string>& choices,
                       const std::string& defaultValue);
    // Returns the index of the property's value in `names`. If the property is missing and `defaultValue` is
    // empty, returns 0. `title` and `where` complete the error message: "a zone", "among those of 'fleet'".
    std::uint32_t indexOf(std::string_view property, const std::vector<std::string>& names,
                          const std::string& defaultValue, const std::string& title,
                          const std::string& where);

    // Arguments of this node. `what` names them in error messages. argument() takes exactly one string.
    std::string argument(std::string_view what);
    std::vector<double> numbers(std::string_view what, double min, double max);
    std::vector<std::string> texts(std::string_view what);
    std::vector<std::string> argumentsAsText();  // of any type: strings unquoted, others as written

    // Throws if the node has a child, property or argument that was not read. Does not descend into children.
    void rejectUnread();
    // Throw SettingsError at the node or at one of its properties.
    [[noreturn]] void fail(const std::string& message) const;
    [[noreturn]] void failProperty(std::string_view property, const std::string& message) const;
    const Node* node() const { return node_; }  // nullptr at the top level
    const std::string& name() const;

  private:
    void recordDefault(std::string_view name, decltype(Value::data)) const;
    const Value* find(std::string_view name);
    const Value& required(std::string_view name);
    const std::vector<Node>& children() const;
    const Document* document_;
    const Node* node_ = nullptr;
    std::set<std::string, std::less<>> readNodes_, readProperties_;
    bool readArguments_ = false;
};

// Returns the name closest to `text` by edit distance, or "" if none is within a third of its length plus 1.
std::string nearest(std::string_view text, const std::set<std::string, std::less<>>& names);
// Returns "; did you mean 'NAME'?" with the nearest name, or "".
std::string suggestionFor(std::string_view text, const std::set<std::string, std::less<>>& names);

// Parses a duration such as "1500us", "20ms", "2s", "1.5min" or "1h", in microseconds. Empty if it is
// malformed.
std::optional<Micros> parseDuration(std::string_view text);

}  // namespace valekeel::settings
