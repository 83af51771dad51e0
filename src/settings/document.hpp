// Checked reading of a KDL document: each part of the program reads its own few nodes through a Cursor, which
// knows what was asked for. What nobody asked for is refused, with the nearest known name.
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

// All that a file holds. Throws std::runtime_error, naming it.
std::string readFile(const std::string& path);
// Written beside, then renamed: a reader finds the old one or the new one, whole. Throws std::runtime_error.
void writeFileAtomically(const std::string& path, const std::string& text);

// A whole file, kept for its lines in errors.
class Document {
  public:
    static Document fromText(std::string file, std::string text);  // throws Wrong
    static Document fromFile(const std::string& path);  // also std::runtime_error if it can't be read
    const std::vector<Node>& nodes() const { return nodes_; }
    const std::string& file() const { return file_; }
    [[noreturn]] void fail(SourcePosition, const std::string& what) const;
    // What is in force once all of it was read: what stands there, and each default that was taken beside it.
    std::string effectiveText() const;

  private:
    friend class NodeReader;
    struct Taken {                // by reading, which is const for all else
        std::deque<Node> absent;  // nodes that were read and do not stand there
        std::map<const Node*, std::vector<std::pair<std::string, Value>>> defaults;
    };
    Node withDefaults(const Node&) const;
    std::shared_ptr<Taken> taken_ = std::make_shared<Taken>();
    std::string file_, text_;
    std::vector<Node> nodes_;
};

// One node, or the top of the document. `finish()` refuses what was not asked for; it is called for children
// by whoever reads them.
class NodeReader {
  public:
    explicit NodeReader(const Document&);
    NodeReader(const Document&, const Node&);

    // Children by name. one(): none or one; a second is refused.
    std::unique_ptr<NodeReader> optionalChild(std::string_view name);
    // The same of one that may be left out: then all of it is read as its defaults.
    NodeReader childOrDefaults(std::string_view name);
    NodeReader requiredChild(std::string_view name);
    std::vector<NodeReader> childrenNamed(std::string_view name);

    // Properties of this node. The first form refuses if it is missing.
    std::string text(std::string_view name);
    std::string text(std::string_view name, std::string otherwise);
    double number(std::string_view name, double least, double most);
    double number(std::string_view name, double least, double most, double otherwise);
    std::int64_t integer(std::string_view name, std::int64_t least, std::int64_t most);
    std::int64_t integer(std::string_view name, std::int64_t least, std::int64_t most,
                         std::int64_t otherwise);
    bool flag(std::string_view name, bool otherwise);
    // A time, written as a string with its unit: "250ms", "2s", "5min"; whole microseconds.
    Micros duration(std::string_view name, Micros least, Micros most);
    Micros duration(std::string_view name, Micros least, Micros most, Micros otherwise);
    net::Endpoint address(std::string_view name);
    bool has(std::string_view property) const;
    std::string choice(std::string_view name, const std::vector<std::string>& among,
                       const std::string& otherwise);
    // The place of a name among others that the settings give. `title` and `where` are for the complaint: "a
    // zone", "in the settings". The name may be left out; with no `otherwise` the place is then the first.
    std::uint32_t indexOf(std::string_view property, const std::vector<std::string>& among,
                          const std::string& otherwise, const std::string& title, const std::string& where);

    // Arguments of this node.
    std::string argument(std::string_view what);
    std::vector<double> numbers(std::string_view what, double least, double most);
    std::vector<std::string> texts(std::string_view what);
    std::vector<std::string>
    argumentsAsText();  // of any kind: strings as they are, others as they are written

    void rejectUnread();
    [[noreturn]] void fail(const std::string& what) const;
    [[noreturn]] void failProperty(std::string_view property, const std::string& what) const;
    const Node* node() const { return node_; }
    const std::string& name() const;

  private:
    void defaulted(std::string_view name, decltype(Value::data)) const;
    const Value* find(std::string_view name);
    const Value& needed(std::string_view name);
    const std::vector<Node>& children() const;
    const Document* document_;
    const Node* node_ = nullptr;
    std::set<std::string, std::less<>> askedNodes_, askedProperties_;
    bool askedArguments_ = false;
};

// The nearest of some names, if it is near enough to be meant.
std::string nearest(std::string_view to, const std::set<std::string, std::less<>>& among);
// The same for the end of a complaint: "; did you mean 'NAME'?", or nothing.
std::string suggestionFor(std::string_view to, const std::set<std::string, std::less<>>& among);

// "1500us", "20ms", "2s", "1.5min", "1h". Nothing if it is none.
std::optional<Micros> parseDuration(std::string_view text);

}  // namespace valekeel::settings
