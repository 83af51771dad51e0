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
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] void bad(const std::string& where, const std::string& what);
const Json* find(const Json& object, const char* key);  // nothing where it is absent or null
const Json& need(const Json& object, const char* key, const std::string& where);
double number(const Json& object, const char* key, const std::string& where);
double numberOr(const Json& object, const char* key, double otherwise, const std::string& where);
std::int64_t whole(const Json& object, const char* key, const std::string& where);
std::uint32_t id32(const Json& object, const char* key, const std::string& where);
int smallInt(const Json& object, const char* key, const std::string& where);
std::string text(const Json& object, const char* key, const std::string& where);
std::string textOr(const Json& object, const char* key, const std::string& otherwise,
                   const std::string& where);
bool flag(const Json& object, const char* key, const std::string& where);  // false where it is absent
Micros micros(double secs, const std::string& where);
Micros time(const Json& object, const char* key, const std::string& where);    // told in seconds
Micros timeOr(const Json& object, const char* key, const std::string& where);  // 0 where it is absent
const Json& part(const Json& object, const char* key, const std::string& where);
const Json& array(const Json& object, const char* key, const std::string& where);
std::vector<double> numbers(const Json& object, const char* key, const std::string& where);
std::vector<bool> flags(const Json& object, const char* key, const std::string& where);
std::vector<std::string> texts(const Json& object, const char* key, const std::string& where);
std::uint32_t placeOf(const std::vector<std::string>& names, const std::string& name,
                      const std::string& where);

}  // namespace valekeel::setup
