#include "setup/values.hpp"

#include <cmath>
#include <limits>

namespace valekeel::setup {

void throwInvalid(const std::string& where, const std::string& what) {
    throw InvalidValue(where + ": " + what);
}

const Json* find(const Json& object, const char* key) {
    auto it = object.find(key);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& require(const Json& object, const char* key, const std::string& where) {
    if (!object.is_object()) throwInvalid(where, "an object is expected");
    const Json* value = find(object, key);
    if (!value) throwInvalid(where, std::string("'") + key + "' is missing");
    return *value;
}

double number(const Json& object, const char* key, const std::string& where) {
    const Json& value = require(object, key, where);
    if (!value.is_number()) throwInvalid(where, std::string("'") + key + "' is not a number");
    return value.get<double>();
}

double numberOr(const Json& object, const char* key, double otherwise, const std::string& where) {
    return find(object, key) ? number(object, key, where) : otherwise;
}

std::int64_t integer(const Json& object, const char* key, const std::string& where) {
    const Json& value = require(object, key, where);
    if (!value.is_number_integer()) throwInvalid(where, std::string("'") + key + "' is not an integer");
    return value.get<std::int64_t>();
}

std::uint32_t uint32(const Json& object, const char* key, const std::string& where) {
    std::int64_t value = integer(object, key, where);
    if (value < 0 || value > std::numeric_limits<std::uint32_t>::max())
        throwInvalid(where, std::string("'") + key + "' is out of range");
    return static_cast<std::uint32_t>(value);
}

int intValue(const Json& object, const char* key, const std::string& where) {
    std::int64_t value = integer(object, key, where);
    if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max())
        throwInvalid(where, std::string("'") + key + "' is out of range");
    return static_cast<int>(value);
}

std::string text(const Json& object, const char* key, const std::string& where) {
    const Json& value = require(object, key, where);
    if (!value.is_string()) throwInvalid(where, std::string("'") + key + "' is no text");
    return value.get<std::string>();
}

std::string textOr(const Json& object, const char* key, const std::string& otherwise,
                   const std::string& where) {
    return find(object, key) ? text(object, key, where) : otherwise;
}

bool flag(const Json& object, const char* key, const std::string& where) {
    const Json* value = find(object, key);
    if (!value) return false;
    if (!value->is_boolean()) throwInvalid(where, std::string("'") + key + "' is not a boolean");
    return value->get<bool>();
}

Micros toMicros(double secs, const std::string& where) {
    if (!std::isfinite(secs) || std::fabs(secs) > 1e12) throwInvalid(where, "time is out of range");
    return std::llround(secs * 1e6);
}

Micros duration(const Json& object, const char* key, const std::string& where) {
    return toMicros(number(object, key, where), where);
}

Micros durationOrZero(const Json& object, const char* key, const std::string& where) {
    return find(object, key) ? duration(object, key, where) : 0;
}

const Json& objectAt(const Json& object, const char* key, const std::string& where) {
    const Json& value = require(object, key, where);
    if (!value.is_object()) throwInvalid(where, std::string("'") + key + "' is not an object");
    return value;
}

const Json& array(const Json& object, const char* key, const std::string& where) {
    const Json& value = require(object, key, where);
    if (!value.is_array()) throwInvalid(where, std::string("'") + key + "' is not an array");
    return value;
}

std::vector<double> numbers(const Json& object, const char* key, const std::string& where) {
    std::vector<double> out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_number())
            throwInvalid(where, std::string("'") + key + "' has an element that is not a number");
        out.push_back(value.get<double>());
    }
    return out;
}

std::vector<bool> flags(const Json& object, const char* key, const std::string& where) {
    std::vector<bool> out;
    if (!find(object, key)) return out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_boolean())
            throwInvalid(where, std::string("'") + key + "' has an element that is not a boolean");
        out.push_back(value.get<bool>());
    }
    return out;
}

std::uint32_t indexOf(const std::vector<std::string>& names, const std::string& name,
                      const std::string& where) {
    for (std::size_t i = 0; i < names.size(); ++i)
        if (names[i] == name) return static_cast<std::uint32_t>(i);
    throwInvalid(where, "'" + name + "' is not one of the names in the settings");
}

std::vector<std::string> texts(const Json& object, const char* key, const std::string& where) {
    std::vector<std::string> out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_string())
            throwInvalid(where, std::string("'") + key + "' has an element that is not a string");
        out.push_back(value.get<std::string>());
    }
    return out;
}

}  // namespace valekeel::setup
