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

Log::Log(const std::string& path, Level least, int warningsASecond)
    : least_(least), warningsASecond_(warningsASecond) {
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
    return level >= least_;
}

void Log::write(Level level, Micros now, Micros wall, std::string_view what, nlohmann::ordered_json fields) {
    if (!isEnabled(level)) return;
    if (level == Level::Warning) {
        auto it = kinds_.find(what);
        if (it == kinds_.end()) it = kinds_.emplace(std::string(what), Kind{}).first;
        Kind& kind = it->second;
        if (now / kSecond != kind.second) {
            kind.second = now / kSecond;
            kind.written = 0;
        }
        if (++kind.written > warningsASecond_) {
            ++kind.heldBack;
            return;
        }
        if (kind.heldBack > 0) fields["held_back"] = std::exchange(kind.heldBack, 0);
    }
    static constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
    nlohmann::ordered_json all;
    all["t"] = now;
    all["wall"] = wall;
    all["level"] = kNames[static_cast<int>(level)];
    all["what"] = what;
    for (auto& [key, value] : fields.items()) all[key] = std::move(value);
    out_->info(all.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
}

void Log::flush() {
    out_->flush();
}

}  // namespace valekeel::logging
