// Structured Field Values for HTTP (RFC 8941): bytes to values and back, by the algorithms of section 4.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace valekeel::hints {

struct Token {
    std::string text;
    bool operator==(const Token&) const = default;
};
struct Bytes {
    std::string raw;
    bool operator==(const Bytes&) const = default;
};
struct Decimal {  // thousandths: section 3.3.2 allows three digits behind the point
    std::int64_t thousandths = 0;
    bool operator==(const Decimal&) const = default;
    double value() const { return static_cast<double>(thousandths) / 1000; }
};
using BareItem = std::variant<std::int64_t, Decimal, std::string, Token, Bytes, bool>;

// In order; a key that comes twice keeps its first place and its last value (sections 4.2.2 and 4.2.3.2).
template <class Value>
struct Ordered {
    std::vector<std::pair<std::string, Value>> all;
    Value* find(std::string_view key) {
        for (auto& [k, v] : all)
            if (k == key) return &v;
        return nullptr;
    }
    const Value* find(std::string_view key) const { return const_cast<Ordered*>(this)->find(key); }
    void set(std::string key, Value value) {
        if (Value* old = find(key))
            *old = std::move(value);
        else
            all.emplace_back(std::move(key), std::move(value));
    }
    bool operator==(const Ordered&) const = default;
};
using Parameters = Ordered<BareItem>;

struct Item {
    BareItem value;
    Parameters params;
    bool operator==(const Item&) const = default;
};
struct InnerList {
    std::vector<Item> items;
    Parameters params;
    bool operator==(const InnerList&) const = default;
};
using Member = std::variant<Item, InnerList>;
using List = std::vector<Member>;
using Dictionary = Ordered<Member>;

// Nothing if the text breaks the grammar anywhere: such a field is ignored whole (section 4.2).
std::optional<Item> parseItem(std::string_view);
std::optional<List> parseList(std::string_view);
std::optional<Dictionary> parseDictionary(std::string_view);

// Nothing if a value can't be written (a key or token out of its alphabet, a number out of range).
std::optional<std::string> write(const Item&);
std::optional<std::string> write(const List&);
std::optional<std::string> write(const Dictionary&);

}  // namespace valekeel::hints
