// The structured log: one JSON object a line, by spdlog. Callers' bytes are escaped by the JSON writer, and
// what is no UTF-8 is replaced. Warnings of one kind are written at most so many a second; what was held back
// is counted in the next one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "model/ids.hpp"

namespace spdlog {
class logger;
}

namespace valekeel::logging {

enum class Level { Debug, Info, Warning, Error };

class Log {
  public:
    // `path`: a file that is appended to; "-" for standard output; empty for nowhere.
    Log(const std::string& path, Level least, int warningsASecond);
    ~Log();
    bool isEnabled(Level) const;
    // `now` on the front's own clock; `wall` since 1970. Both go into the line.
    void write(Level, Micros now, Micros wall, std::string_view what, nlohmann::ordered_json fields);
    void flush();

  private:
    std::shared_ptr<spdlog::logger> out_;
    Level least_;
    int warningsASecond_;
    struct Kind {
        Micros second = 0;
        int written = 0;
        std::uint64_t heldBack = 0;
    };
    std::map<std::string, Kind, std::less<>> kinds_;
};

Level parseLevel(const std::string& name);  // "debug", "info", "warning", "error"

}  // namespace valekeel::logging
