#include "settings/document.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace valekeel::settings {
namespace {

std::size_t editDistance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
            diagonal = above;
        }
    }
    return row[b.size()];
}

std::string formatNumber(double v) {
    std::ostringstream out;
    out << v;
    return out.str();
}

std::string typeName(const Value& v) {
    if (std::holds_alternative<Null>(v.data)) return "null";
    if (std::holds_alternative<bool>(v.data)) return "true or false";
    if (std::holds_alternative<Number>(v.data)) return "a number";
    return "a string";
}

std::string formatDuration(Micros t) {
    if (t % kSecond == 0) return std::to_string(t / kSecond) + "s";
    if (t % 1000 == 0) return std::to_string(t / 1000) + "ms";
    return std::to_string(t) + "us";
}

}  // namespace

std::string nearest(std::string_view text, const std::set<std::string, std::less<>>& names) {
    std::string best;
    std::size_t maxDistance = 1 + text.size() / 3;
    for (const std::string& name : names) {
        const std::size_t d = editDistance(text, name);
        if (d <= maxDistance && (best.empty() || d < editDistance(text, best))) best = name;
    }
    return best;
}

std::string suggestionFor(std::string_view text, const std::set<std::string, std::less<>>& names) {
    const std::string suggestion = nearest(text, names);
    return suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?";
}

std::optional<Micros> parseDuration(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || !std::isfinite(value)) return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    double factor = 0;
    if (unit == "us") factor = 1;
    if (unit == "ms") factor = 1e3;
    if (unit == "s") factor = 1e6;
    if (unit == "min") factor = 6e7;
    if (unit == "h") factor = 3.6e9;
    if (factor == 0 || std::fabs(value * factor) > 1e15) return std::nullopt;
    return std::llround(value * factor);
}

Document Document::fromText(std::string file, std::string text) {
    Document out;
    out.file_ = std::move(file);
    out.text_ = std::move(text);
    out.nodes_ = parseKdl(out.file_, out.text_);
    return out;
}

void writeFileAtomically(const std::string& path, const std::string& text) {
    const std::string temporaryPath = path + ".new";
    {
        std::ofstream out(temporaryPath, std::ios::binary | std::ios::trunc);
        out << text;
        out.flush();
        if (!out) throw std::runtime_error(temporaryPath + ": cannot be written");
    }
    std::filesystem::rename(temporaryPath, path);
}

std::string readFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw std::runtime_error(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

Document Document::fromFile(const std::string& path) {
    return fromText(path, readFile(path));
}

void Document::fail(SourcePosition at, const std::string& message) const {
    throw SettingsError(file_, text_, at, message);
}

Node Document::withDefaults(const Node& node) const {
    Node out = node;
    out.children.clear();
    for (const Node& child : node.children) out.children.push_back(withDefaults(child));
    if (const auto it = appliedDefaults_->defaults.find(&node); it != appliedDefaults_->defaults.end())
        out.properties.insert(out.properties.end(), it->second.begin(), it->second.end());
    return out;
}

std::string Document::effectiveText() const {
    std::vector<Node> all;
    for (const Node& node : nodes_) all.push_back(withDefaults(node));
    for (const Node& node : appliedDefaults_->absent) all.push_back(withDefaults(node));
    return printKdl(all);
}

NodeReader::NodeReader(const Document& document) : document_(&document) {}
NodeReader::NodeReader(const Document& document, const Node& node) : document_(&document), node_(&node) {}

const std::vector<Node>& NodeReader::children() const {
    return node_ ? node_->children : document_->nodes();
}
const std::string& NodeReader::name() const {
    static const std::string kTop = "the document";
    return node_ ? node_->name : kTop;
}

void NodeReader::fail(const std::string& message) const {
    document_->fail(node_ ? node_->at : SourcePosition{}, message);
}
void NodeReader::failProperty(std::string_view property, const std::string& message) const {
    if (node_)
        for (const auto& [name, value] : node_->properties)
            if (name == property) document_->fail(value.at, message);
    fail(message);
}

std::vector<NodeReader> NodeReader::childrenNamed(std::string_view name) {
    readNodes_.emplace(name);
    std::vector<NodeReader> out;
    for (const Node& child : children())
        if (child.name == name) out.emplace_back(*document_, child);
    return out;
}

std::unique_ptr<NodeReader> NodeReader::optionalChild(std::string_view name) {
    std::vector<NodeReader> all = childrenNamed(name);
    if (all.empty()) return nullptr;
    if (all.size() > 1)
        all[1].fail("'" + std::string(name) + "' appears more than once; at most one is allowed");
    return std::make_unique<NodeReader>(std::move(all.front()));
}

NodeReader NodeReader::childOrDefaults(std::string_view name) {
    if (auto found = optionalChild(name)) return std::move(*found);
    Node& node = document_->appliedDefaults_->absent.emplace_back();
    node.name = name;
    if (node_) node.at = node_->at;
    return NodeReader(*document_, node);
}

void NodeReader::recordDefault(std::string_view name, decltype(Value::data) data) const {
    if (!node_) return;
    auto& all = document_->appliedDefaults_->defaults[node_];
    for (const auto& [known, value] : all)
        if (known == name) return;
    all.emplace_back(name, Value{std::nullopt, std::move(data), {}});
}

NodeReader NodeReader::requiredChild(std::string_view name) {
    auto found = optionalChild(name);
    if (!found) fail("in " + this->name() + ", the node '" + std::string(name) + "' is missing");
    return std::move(*found);
}

const Value* NodeReader::find(std::string_view name) {
    readProperties_.emplace(name);
    if (!node_) return nullptr;
    for (const auto& [key, value] : node_->properties)
        if (key == name) return &value;
    return nullptr;
}
bool NodeReader::has(std::string_view property) const {
    if (node_)
        for (const auto& [key, value] : node_->properties)
            if (key == property) return true;
    return false;
}

const Value& NodeReader::required(std::string_view name) {
    const Value* v = find(name);
    if (!v) fail("'" + this->name() + "' needs " + std::string(name) + "=");
    return *v;
}

std::string NodeReader::text(std::string_view name) {
    const Value& v = required(name);
    const auto* s = std::get_if<std::string>(&v.data);
    if (!s) document_->fail(v.at, std::string(name) + " must be a string, not " + typeName(v));
    return *s;
}
std::string NodeReader::text(std::string_view name, std::string defaultValue) {
    if (find(name)) return text(name);
    recordDefault(name, defaultValue);
    return defaultValue;
}

double NodeReader::number(std::string_view name, double min, double max) {
    const Value& v = required(name);
    const auto* n = std::get_if<Number>(&v.data);
    if (!n) document_->fail(v.at, std::string(name) + " must be a number, not " + typeName(v));
    if (!(n->value >= min && n->value <= max))
        document_->fail(
            v.at, std::string(name) + " must be between " + formatNumber(min) + " and " + formatNumber(max));
    return n->value;
}
double NodeReader::number(std::string_view name, double min, double max, double defaultValue) {
    if (find(name)) return number(name, min, max);
    recordDefault(name, Number{formatNumber(defaultValue), defaultValue, {}});
    return defaultValue;
}

std::int64_t NodeReader::integer(std::string_view name, std::int64_t min, std::int64_t max) {
    const Value& v = required(name);
    const auto* n = std::get_if<Number>(&v.data);
    if (!n || !n->whole) document_->fail(v.at, std::string(name) + " must be an integer");
    if (*n->whole < min || *n->whole > max)
        document_->fail(v.at, std::string(name) + " must be between " + std::to_string(min) + " and " +
                                  std::to_string(max));
    return *n->whole;
}
std::int64_t NodeReader::integer(std::string_view name, std::int64_t min, std::int64_t max,
                                 std::int64_t defaultValue) {
    if (find(name)) return integer(name, min, max);
    recordDefault(name,
                  Number{std::to_string(defaultValue), static_cast<double>(defaultValue), defaultValue});
    return defaultValue;
}

bool NodeReader::flag(std::string_view name, bool defaultValue) {
    const Value* v = find(name);
    if (!v) {
        recordDefault(name, defaultValue);
        return defaultValue;
    }
    const bool* b = std::get_if<bool>(&v->data);
    if (!b) document_->fail(v->at, std::string(name) + " must be #true or #false");
    return *b;
}

Micros NodeReader::duration(std::string_view name, Micros min, Micros max) {
    const Value& v = required(name);
    const auto* s = std::get_if<std::string>(&v.data);
    const auto t = s ? parseDuration(*s) : std::nullopt;
    if (!t)
        document_->fail(v.at, std::string(name) +
                                  " must be a duration with a unit, such as \"250ms\", \"2s\" or \"5min\"");
    if (*t < min || *t > max)
        document_->fail(v.at, std::string(name) + " must be between " + formatDuration(min) + " and " +
                                  formatDuration(max));
    return *t;
}
Micros NodeReader::duration(std::string_view name, Micros min, Micros max, Micros defaultValue) {
    if (find(name)) return duration(name, min, max);
    recordDefault(name, formatDuration(defaultValue));
    return defaultValue;
}

net::Endpoint NodeReader::address(std::string_view name) {
    const Value& v = required(name);
    const auto* s = std::get_if<std::string>(&v.data);
    const auto at = s ? net::parseEndpoint(*s) : std::nullopt;
    if (!at)
        document_->fail(
            v.at,
            std::string(name) + " must be an address and port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"");
    return *at;
}

std::string NodeReader::choice(std::string_view name, const std::vector<std::string>& choices,
                               const std::string& defaultValue) {
    const Value* v = find(name);
    if (!v) {
        recordDefault(name, defaultValue);
        return defaultValue;
    }
    const std::string chosen = text(name);
    if (std::find(choices.begin(), choices.end(), chosen) != choices.end()) return chosen;
    std::string all;
    for (const std::string& choice : choices) all += (all.empty() ? "" : ", ") + choice;
    document_->fail(v->at, std::string(name) + " must be one of " + all);
}

std::uint32_t NodeReader::indexOf(std::string_view property, const std::vector<std::string>& names,
                                  const std::string& defaultValue, const std::string& title,
                                  const std::string& where) {
    const std::string name = text(property, defaultValue);
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end()) return static_cast<std::uint32_t>(found - names.begin());
    if (name.empty() && defaultValue.empty()) return 0;
    failProperty(property, title + " '" + name + "' is not " + where +
                               suggestionFor(name, {names.begin(), names.end()}));
}

std::string NodeReader::argument(std::string_view what) {
    readArguments_ = true;
    if (!node_ || node_->arguments.size() != 1)
        fail("'" + name() + "' takes exactly one argument: " + std::string(what));
    const auto* s = std::get_if<std::string>(&node_->arguments[0].data);
    if (!s) document_->fail(node_->arguments[0].at, std::string(what) + " must be a string");
    return *s;
}

std::vector<double> NodeReader::numbers(std::string_view what, double min, double max) {
    readArguments_ = true;
    std::vector<double> out;
    if (!node_ || node_->arguments.empty())
        fail("'" + name() + "' takes numbers as arguments: " + std::string(what));
    for (const Value& v : node_->arguments) {
        const auto* n = std::get_if<Number>(&v.data);
        if (!n || !(n->value >= min && n->value <= max))
            document_->fail(v.at, std::string(what) + " must be numbers between " + formatNumber(min) +
                                      " and " + formatNumber(max));
        out.push_back(n->value);
    }
    return out;
}

std::vector<std::string> NodeReader::texts(std::string_view what) {
    readArguments_ = true;
    std::vector<std::string> out;
    if (!node_) return out;
    for (const Value& v : node_->arguments) {
        const auto* s = std::get_if<std::string>(&v.data);
        if (!s) document_->fail(v.at, std::string(what) + " must be strings");
        out.push_back(*s);
    }
    return out;
}

std::vector<std::string> NodeReader::argumentsAsText() {
    readArguments_ = true;
    std::vector<std::string> out;
    if (!node_) return out;
    for (const Value& v : node_->arguments) {
        const auto* s = std::get_if<std::string>(&v.data);
        out.push_back(s ? *s : formatValue(v));
    }
    return out;
}

void NodeReader::rejectUnread() {
    for (const Node& child : children())
        if (!readNodes_.count(child.name))
            document_->fail(child.at, "unknown node '" + child.name + "' in " + name() +
                                          suggestionFor(child.name, readNodes_));
    if (!node_) return;
    for (const auto& [key, value] : node_->properties)
        if (!readProperties_.count(key))
            document_->fail(value.at, "'" + name() + "' has no property '" + key + "='" +
                                          suggestionFor(key, readProperties_));
    if (!readArguments_ && !node_->arguments.empty())
        document_->fail(node_->arguments[0].at,
                        "'" + name() + "' takes no arguments, only properties (name=value)");
}

}  // namespace valekeel::settings
