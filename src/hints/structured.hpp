// Structured Field Values for HTTP (RFC 8941): parser and serializer, by the algorithms of section 4.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace valekeel::hints {

// The types of bare items other than integers, strings and booleans.
struct Token {
    std::string text;
    bool operator==(const Token&) const = default;
};
struct ByteSequence {
    std::string raw;  // decoded
    bool operator==(const ByteSequence&) const = default;
};
struct Decimal {
    std::int64_t thousandths = 0;  // section 3.3.2 allows three fractional digits
    bool operator==(const Decimal&) const = default;
    double value() const { return static_cast<double>(thousandths) / 1000; }
};
using BareItem = std::variant<std::int64_t, Decimal, std::string, Token, ByteSequence, bool>;

// A map in insertion order. A duplicate key keeps its first position and takes the last value (sections 4.2.2
// and 4.2.3.2).
template <class Value>
struct OrderedMap {
    std::vector<std::pair<std::string, Value>> all;
    Value* find(std::string_view key) {
        for (auto& [k, v] : all)
            if (k == key) return &v;
        return nullptr;
    }
    const Value* find(std::string_view key) const { return const_cast<OrderedMap*>(this)->find(key); }
    void set(std::string key, Value value) {
        if (Value* old = find(key))
            *old = std::move(value);
        else
            all.emplace_back(std::move(key), std::move(value));
    }
    bool operator==(const OrderedMap&) const = default;
};
using Parameters = OrderedMap<BareItem>;

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
using Dictionary = OrderedMap<Member>;

// Empty if the text violates the grammar anywhere: such a field is ignored as a whole (section 4.2).
std::optional<Item> parseItem(std::string_view);
std::optional<List> parseList(std::string_view);
std::optional<Dictionary> parseDictionary(std::string_view);

// Serializes a value (section 4.1). Empty if it has no valid form: an invalid character in a key, token or
// string, or a number out of range.
std::optional<std::string> write(const Item&);
std::optional<std::string> write(const List&);
std::optional<std::string> write(const Dictionary&);

}  // namespace valekeel::hints
