// The structured log: one JSON object per line, written through spdlog. The JSON writer escapes untrusted
// text and replaces invalid UTF-8. Warnings are rate-limited by event name; the next one written carries the
// number suppressed.
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

// A log file or stream. Closed and flushed by the destructor.
class Log {
  public:
    // `path` is a file to append to, "-" for standard output, or empty to discard all lines. Lines below
    // `minLevel` are dropped. `maxWarningsPerSecond` applies to each event name.
    Log(const std::string& path, Level minLevel, int maxWarningsPerSecond);
    ~Log();
    bool isEnabled(Level) const;
    // Writes one line. `now` is the front's monotonic clock and `wall` the time since 1970, in microseconds;
    // `event` becomes the field "what". `fields` are appended in their order.
    void write(Level, Micros now, Micros wall, std::string_view event, nlohmann::ordered_json fields);
    void flush();

  private:
    std::shared_ptr<spdlog::logger> out_;
    Level minLevel_;
    int maxWarningsPerSecond_;
    struct WarningCount {  // of one event name, within one second of the front's clock
        Micros second = 0;
        int written = 0;
        std::uint64_t suppressed = 0;
    };
    std::map<std::string, WarningCount, std::less<>> warningCounts_;
};

// Parses "debug", "info", "warning" or "error"; any other name is taken as "info".
Level parseLevel(const std::string& name);

}  // namespace valekeel::logging
