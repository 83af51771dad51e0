#include "settings/document.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace valekeel::settings {
namespace {

std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t corner = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            row[j] = std::min({above + 1, row[j - 1] + 1, corner + (a[i - 1] == b[j - 1] ? 0 : 1)});
            corner = above;
        }
    }
    return row[b.size()];
}

std::string plain(double v) {
    std::ostringstream out;
    out << v;
    return out.str();
}

std::string kindOf(const Value& v) {
    if (std::holds_alternative<Null>(v.data)) return "null";
    if (std::holds_alternative<bool>(v.data)) return "true or false";
    if (std::holds_alternative<Number>(v.data)) return "a number";
    return "a string";
}

std::string shownTime(Micros t) {
    if (t % kSecond == 0) return std::to_string(t / kSecond) + "s";
    if (t % 1000 == 0) return std::to_string(t / 1000) + "ms";
    return std::to_string(t) + "us";
}

}  // namespace

std::string nearest(std::string_view to, const std::set<std::string, std::less<>>& among) {
    std::string best;
    std::size_t least = 1 + to.size() / 3;
    for (const std::string& one : among) {
        const std::size_t d = distance(to, one);
        if (d <= least && (best.empty() || d < distance(to, best))) best = one;
    }
    return best;
}

std::string suggestionFor(std::string_view to, const std::set<std::string, std::less<>>& among) {
    const std::string near = nearest(to, among);
    return near.empty() ? "" : "; did you mean '" + near + "'?";
}

std::optional<Micros> parseDuration(std::string_view text) {
    double value = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (bad != std::errc{} || !std::isfinite(value)) return std::nullopt;
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
    const std::string beside = path + ".new";
    {
        std::ofstream out(beside, std::ios::binary | std::ios::trunc);
        out << text;
        out.flush();
        if (!out) throw std::runtime_error(beside + ": cannot be written");
    }
    std::filesystem::rename(beside, path);
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

void Document::fail(SourcePosition at, const std::string& what) const {
    throw SettingsError(file_, text_, at, what);
}

Node Document::withDefaults(const Node& node) const {
    Node out = node;
    out.children.clear();
    for (const Node& child : node.children) out.children.push_back(withDefaults(child));
    if (const auto it = taken_->defaults.find(&node); it != taken_->defaults.end())
        out.properties.insert(out.properties.end(), it->second.begin(), it->second.end());
    return out;
}

std::string Document::effectiveText() const {
    std::vector<Node> all;
    for (const Node& node : nodes_) all.push_back(withDefaults(node));
    for (const Node& node : taken_->absent) all.push_back(withDefaults(node));
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

void NodeReader::fail(const std::string& what) const {
    document_->fail(node_ ? node_->at : SourcePosition{}, what);
}
void NodeReader::failProperty(std::string_view property, const std::string& what) const {
    if (node_)
        for (const auto& [name, value] : node_->properties)
            if (name == property) document_->fail(value.at, what);
    fail(what);
}

std::vector<NodeReader> NodeReader::childrenNamed(std::string_view name) {
    askedNodes_.emplace(name);
    std::vector<NodeReader> out;
    for (const Node& child : children())
        if (child.name == name) out.emplace_back(*document_, child);
    return out;
}

std::unique_ptr<NodeReader> NodeReader::optionalChild(std::string_view name) {
    std::vector<NodeReader> all = childrenNamed(name);
    if (all.empty()) return nullptr;
    if (all.size() > 1) all[1].fail("'" + std::string(name) + "' stands here a second time; one is expected");
    return std::make_unique<NodeReader>(std::move(all.front()));
}

NodeReader NodeReader::childOrDefaults(std::string_view name) {
    if (auto found = optionalChild(name)) return std::move(*found);
    Node& node = document_->taken_->absent.emplace_back();
    node.name = name;
    if (node_) node.at = node_->at;
    return NodeReader(*document_, node);
}

void NodeReader::defaulted(std::string_view name, decltype(Value::data) data) const {
    if (!node_) return;
    auto& all = document_->taken_->defaults[node_];
    for (const auto& [known, value] : all)
        if (known == name) return;
    all.emplace_back(name, Value{std::nullopt, std::move(data), {}});
}

NodeReader NodeReader::requiredChild(std::string_view name) {
    auto found = optionalChild(name);
    if (!found)
        fail("in " + this->name() + " a node '" + std::string(name) + "' is expected, and there is none");
    return std::move(*found);
}

const Value* NodeReader::find(std::string_view name) {
    askedProperties_.emplace(name);
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

const Value& NodeReader::needed(std::string_view name) {
    const Value* v = find(name);
    if (!v) fail("'" + this->name() + "' needs " + std::string(name) + "=");
    return *v;
}

std::string NodeReader::text(std::string_view name) {
    const Value& v = needed(name);
    const auto* s = std::get_if<std::string>(&v.data);
    if (!s) document_->fail(v.at, std::string(name) + " is expected to be a string, and is " + kindOf(v));
    return *s;
}
std::string NodeReader::text(std::string_view name, std::string otherwise) {
    if (find(name)) return text(name);
    defaulted(name, otherwise);
    return otherwise;
}

double NodeReader::number(std::string_view name, double least, double most) {
    const Value& v = needed(name);
    const auto* n = std::get_if<Number>(&v.data);
    if (!n) document_->fail(v.at, std::string(name) + " is expected to be a number, and is " + kindOf(v));
    if (!(n->value >= least && n->value <= most))
        document_->fail(v.at,
                        std::string(name) + " is expected between " + plain(least) + " and " + plain(most));
    return n->value;
}
double NodeReader::number(std::string_view name, double least, double most, double otherwise) {
    if (find(name)) return number(name, least, most);
    defaulted(name, Number{plain(otherwise), otherwise, {}});
    return otherwise;
}

std::int64_t NodeReader::integer(std::string_view name, std::int64_t least, std::int64_t most) {
    const Value& v = needed(name);
    const auto* n = std::get_if<Number>(&v.data);
    if (!n || !n->whole) document_->fail(v.at, std::string(name) + " is expected to be a whole number");
    if (*n->whole < least || *n->whole > most)
        document_->fail(v.at, std::string(name) + " is expected between " + std::to_string(least) + " and " +
                                  std::to_string(most));
    return *n->whole;
}
std::int64_t NodeReader::integer(std::string_view name, std::int64_t least, std::int64_t most,
                                 std::int64_t otherwise) {
    if (find(name)) return integer(name, least, most);
    defaulted(name, Number{std::to_string(otherwise), static_cast<double>(otherwise), otherwise});
    return otherwise;
}

bool NodeReader::flag(std::string_view name, bool otherwise) {
    const Value* v = find(name);
    if (!v) {
        defaulted(name, otherwise);
        return otherwise;
    }
    const bool* b = std::get_if<bool>(&v->data);
    if (!b) document_->fail(v->at, std::string(name) + " is expected to be #true or #false");
    return *b;
}

Micros NodeReader::duration(std::string_view name, Micros least, Micros most) {
    const Value& v = needed(name);
    const auto* s = std::get_if<std::string>(&v.data);
    const auto t = s ? parseDuration(*s) : std::nullopt;
    if (!t)
        document_->fail(
            v.at,
            std::string(name) + " is expected to be a time with its unit, as \"250ms\", \"2s\" or \"5min\"");
    if (*t < least || *t > most)
        document_->fail(
            v.at, std::string(name) + " is expected between " + shownTime(least) + " and " + shownTime(most));
    return *t;
}
Micros NodeReader::duration(std::string_view name, Micros least, Micros most, Micros otherwise) {
    if (find(name)) return duration(name, least, most);
    defaulted(name, shownTime(otherwise));
    return otherwise;
}

net::Endpoint NodeReader::address(std::string_view name) {
    const Value& v = needed(name);
    const auto* s = std::get_if<std::string>(&v.data);
    const auto at = s ? net::parseEndpoint(*s) : std::nullopt;
    if (!at)
        document_->fail(
            v.at, std::string(name) +
                      " is expected to be an address and port, as \"127.0.0.1:8080\" or \"[::1]:8080\"");
    return *at;
}

std::string NodeReader::choice(std::string_view name, const std::vector<std::string>& among,
                               const std::string& otherwise) {
    const Value* v = find(name);
    if (!v) {
        defaulted(name, otherwise);
        return otherwise;
    }
    const std::string is = text(name);
    if (std::find(among.begin(), among.end(), is) != among.end()) return is;
    std::string all;
    for (const std::string& one : among) all += (all.empty() ? "" : ", ") + one;
    document_->fail(v->at, std::string(name) + " is expected to be one of " + all);
}

std::uint32_t NodeReader::indexOf(std::string_view property, const std::vector<std::string>& among,
                                  const std::string& otherwise, const std::string& title,
                                  const std::string& where) {
    const std::string name = text(property, otherwise);
    const auto place = std::find(among.begin(), among.end(), name);
    if (place != among.end()) return static_cast<std::uint32_t>(place - among.begin());
    if (name.empty() && otherwise.empty()) return 0;
    failProperty(property, title + " '" + name + "' is not " + where +
                               suggestionFor(name, {among.begin(), among.end()}));
}

std::string NodeReader::argument(std::string_view what) {
    askedArguments_ = true;
    if (!node_ || node_->arguments.size() != 1)
        fail("'" + name() + "' is followed by one value: " + std::string(what));
    const auto* s = std::get_if<std::string>(&node_->arguments[0].data);
    if (!s) document_->fail(node_->arguments[0].at, std::string(what) + " is expected to be a string");
    return *s;
}

std::vector<double> NodeReader::numbers(std::string_view what, double least, double most) {
    askedArguments_ = true;
    std::vector<double> out;
    if (!node_ || node_->arguments.empty())
        fail("'" + name() + "' is followed by numbers: " + std::string(what));
    for (const Value& v : node_->arguments) {
        const auto* n = std::get_if<Number>(&v.data);
        if (!n || !(n->value >= least && n->value <= most))
            document_->fail(v.at, std::string(what) + " are expected to be numbers between " + plain(least) +
                                      " and " + plain(most));
        out.push_back(n->value);
    }
    return out;
}

std::vector<std::string> NodeReader::texts(std::string_view what) {
    askedArguments_ = true;
    std::vector<std::string> out;
    if (!node_) return out;
    for (const Value& v : node_->arguments) {
        const auto* s = std::get_if<std::string>(&v.data);
        if (!s) document_->fail(v.at, std::string(what) + " are expected to be strings");
        out.push_back(*s);
    }
    return out;
}

std::vector<std::string> NodeReader::argumentsAsText() {
    askedArguments_ = true;
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
        if (!askedNodes_.count(child.name))
            document_->fail(child.at, "a node '" + child.name + "' is not known in " + name() +
                                          suggestionFor(child.name, askedNodes_));
    if (!node_) return;
    for (const auto& [key, value] : node_->properties)
        if (!askedProperties_.count(key))
            document_->fail(
                value.at, "'" + name() + "' knows no '" + key + "='" + suggestionFor(key, askedProperties_));
    if (!askedArguments_ && !node_->arguments.empty())
        document_->fail(node_->arguments[0].at, "'" + name() + "' takes no value here, only name=value");
}

}  // namespace valekeel::settings
