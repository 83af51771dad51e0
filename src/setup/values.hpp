// Typed access to values in JSON settings and messages, with error messages that name the key and the place.
// `where` is the place in every message. All functions throw InvalidValue if a value is missing, of the wrong
// type or out of range.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::setup {

using Json = nlohmann::json;

// The message says what is wrong, and where.
struct InvalidValue : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws InvalidValue with "where: what".
[[noreturn]] void throwInvalid(const std::string& where, const std::string& what);
// Returns the value of a key, owned by `object`; null if it is absent or JSON null.
const Json* find(const Json& object, const char* key);
// Returns the value of a key, which must be present and not null.
const Json& require(const Json& object, const char* key, const std::string& where);
double number(const Json& object, const char* key, const std::string& where);
double numberOr(const Json& object, const char* key, double otherwise, const std::string& where);
std::int64_t integer(const Json& object, const char* key, const std::string& where);
std::uint32_t uint32(const Json& object, const char* key, const std::string& where);
int intValue(const Json& object, const char* key, const std::string& where);
std::string text(const Json& object, const char* key, const std::string& where);
std::string textOr(const Json& object, const char* key, const std::string& otherwise,
                   const std::string& where);
// Returns a boolean; false if it is absent.
bool flag(const Json& object, const char* key, const std::string& where);
// Converts seconds, at most 1e12 in size, to the nearest microsecond.
Micros toMicros(double secs, const std::string& where);
// Return a time that is given in seconds, as microseconds.
Micros duration(const Json& object, const char* key, const std::string& where);
Micros durationOrZero(const Json& object, const char* key, const std::string& where);  // 0 if it is absent
// Return a nested object or array, owned by `object`.
const Json& objectAt(const Json& object, const char* key, const std::string& where);
const Json& array(const Json& object, const char* key, const std::string& where);
// Return the elements of an array, all of one type. flags() returns none if the array is absent.
std::vector<double> numbers(const Json& object, const char* key, const std::string& where);
std::vector<bool> flags(const Json& object, const char* key, const std::string& where);
std::vector<std::string> texts(const Json& object, const char* key, const std::string& where);
// Returns the index of `name`, which must be in `names`.
std::uint32_t indexOf(const std::vector<std::string>& names, const std::string& name,
                      const std::string& where);

}  // namespace valekeel::setup
