#include "setup/values.hpp"

#include <cmath>
#include <limits>

namespace valekeel::setup {

void bad(const std::string& where, const std::string& what) {
    throw Bad(where + ": " + what);
}

const Json* find(const Json& object, const char* key) {
    auto it = object.find(key);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& need(const Json& object, const char* key, const std::string& where) {
    if (!object.is_object()) bad(where, "an object is expected");
    const Json* value = find(object, key);
    if (!value) bad(where, std::string("'") + key + "' is missing");
    return *value;
}

double number(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_number()) bad(where, std::string("'") + key + "' is no number");
    return value.get<double>();
}

double numberOr(const Json& object, const char* key, double otherwise, const std::string& where) {
    return find(object, key) ? number(object, key, where) : otherwise;
}

std::int64_t whole(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_number_integer()) bad(where, std::string("'") + key + "' is no whole number");
    return value.get<std::int64_t>();
}

std::uint32_t id32(const Json& object, const char* key, const std::string& where) {
    std::int64_t value = whole(object, key, where);
    if (value < 0 || value > std::numeric_limits<std::uint32_t>::max())
        bad(where, std::string("'") + key + "' is out of range");
    return static_cast<std::uint32_t>(value);
}

int smallInt(const Json& object, const char* key, const std::string& where) {
    std::int64_t value = whole(object, key, where);
    if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max())
        bad(where, std::string("'") + key + "' is out of range");
    return static_cast<int>(value);
}

std::string text(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_string()) bad(where, std::string("'") + key + "' is no text");
    return value.get<std::string>();
}

std::string textOr(const Json& object, const char* key, const std::string& otherwise,
                   const std::string& where) {
    return find(object, key) ? text(object, key, where) : otherwise;
}

bool flag(const Json& object, const char* key, const std::string& where) {
    const Json* value = find(object, key);
    if (!value) return false;
    if (!value->is_boolean()) bad(where, std::string("'") + key + "' is neither true nor false");
    return value->get<bool>();
}

Micros micros(double secs, const std::string& where) {
    if (!std::isfinite(secs) || std::fabs(secs) > 1e12) bad(where, "a time is out of range");
    return std::llround(secs * 1e6);
}

Micros time(const Json& object, const char* key, const std::string& where) {
    return micros(number(object, key, where), where);
}

Micros timeOr(const Json& object, const char* key, const std::string& where) {
    return find(object, key) ? time(object, key, where) : 0;
}

const Json& part(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_object()) bad(where, std::string("'") + key + "' is no object");
    return value;
}

const Json& array(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_array()) bad(where, std::string("'") + key + "' is no array");
    return value;
}

std::vector<double> numbers(const Json& object, const char* key, const std::string& where) {
    std::vector<double> out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_number()) bad(where, std::string("'") + key + "' holds what is no number");
        out.push_back(value.get<double>());
    }
    return out;
}

std::vector<bool> flags(const Json& object, const char* key, const std::string& where) {
    std::vector<bool> out;
    if (!find(object, key)) return out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_boolean())
            bad(where, std::string("'") + key + "' holds what is neither true nor false");
        out.push_back(value.get<bool>());
    }
    return out;
}

std::uint32_t placeOf(const std::vector<std::string>& names, const std::string& name,
                      const std::string& where) {
    for (std::size_t i = 0; i < names.size(); ++i)
        if (names[i] == name) return static_cast<std::uint32_t>(i);
    bad(where, "'" + name + "' is not among the names in the settings");
}

std::vector<std::string> texts(const Json& object, const char* key, const std::string& where) {
    std::vector<std::string> out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_string()) bad(where, std::string("'") + key + "' holds what is no text");
        out.push_back(value.get<std::string>());
    }
    return out;
}

}  // namespace valekeel::setup
