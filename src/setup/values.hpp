// Values out of JSON, each with a plain message on what is missing or of the wrong type. `where` names the
// place in every message. All of them throw Bad.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::setup {

using Json = nlohmann::json;

// What is wrong, and where.
struct InvalidValue : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] void throwInvalid(const std::string& where, const std::string& what);
const Json* find(const Json& object, const char* key);  // nothing where it is absent or null
const Json& require(const Json& object, const char* key, const std::string& where);
double number(const Json& object, const char* key, const std::string& where);
double numberOr(const Json& object, const char* key, double otherwise, const std::string& where);
std::int64_t integer(const Json& object, const char* key, const std::string& where);
std::uint32_t uint32(const Json& object, const char* key, const std::string& where);
int intValue(const Json& object, const char* key, const std::string& where);
std::string text(const Json& object, const char* key, const std::string& where);
std::string textOr(const Json& object, const char* key, const std::string& otherwise,
                   const std::string& where);
bool flag(const Json& object, const char* key, const std::string& where);  // false where it is absent
Micros toMicros(double secs, const std::string& where);
Micros duration(const Json& object, const char* key, const std::string& where);        // told in seconds
Micros durationOrZero(const Json& object, const char* key, const std::string& where);  // 0 where it is absent
const Json& objectAt(const Json& object, const char* key, const std::string& where);
const Json& array(const Json& object, const char* key, const std::string& where);
std::vector<double> numbers(const Json& object, const char* key, const std::string& where);
std::vector<bool> flags(const Json& object, const char* key, const std::string& where);
std::vector<std::string> texts(const Json& object, const char* key, const std::string& where);
std::uint32_t indexOf(const std::vector<std::string>& names, const std::string& name,
                      const std::string& where);

}  // namespace valekeel::setup
