#include "logging/log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace valekeel::logging {

Level parseLevel(const std::string& name) {
    if (name == "debug") return Level::Debug;
    if (name == "warning") return Level::Warning;
    if (name == "error") return Level::Error;
    return Level::Info;
}

Log::Log(const std::string& path, Level minLevel, int maxWarningsPerSecond)
    : minLevel_(minLevel), maxWarningsPerSecond_(maxWarningsPerSecond) {
    spdlog::sink_ptr sink;
    if (path.empty())
        sink = std::make_shared<spdlog::sinks::null_sink_st>();
    else if (path == "-")
        sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
    else
        sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(path);
    out_ = std::make_shared<spdlog::logger>("valekeel", sink);
    out_->set_pattern("%v");
    out_->set_level(spdlog::level::trace);
}
Log::~Log() {
    out_->flush();
}

bool Log::isEnabled(Level level) const {
    return level >= minLevel_;
}

void Log::write(Level level, Micros now, Micros wall, std::string_view event, nlohmann::ordered_json fields) {
    if (!isEnabled(level)) return;
    if (level == Level::Warning) {
        auto it = warningCounts_.find(event);
        if (it == warningCounts_.end()) it = warningCounts_.emplace(std::string(event), WarningCount{}).first;
        WarningCount& count = it->second;
        if (now / kSecond != count.second) {
            count.second = now / kSecond;
            count.written = 0;
        }
        if (++count.written > maxWarningsPerSecond_) {
            ++count.suppressed;
            return;
        }
        if (count.suppressed > 0) fields["held_back"] = std::exchange(count.suppressed, 0);
    }
    static constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
    nlohmann::ordered_json line;
    line["t"] = now;
    line["wall"] = wall;
    line["level"] = kNames[static_cast<int>(level)];
    line["what"] = event;
    for (auto& [key, value] : fields.items()) line[key] = std::move(value);
    out_->info(line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
}

void Log::flush() {
    out_->flush();
}

}  // namespace valekeel::logging
