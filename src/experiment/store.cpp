#include "experiment/store.hpp"

#include <SQLiteCpp/SQLiteCpp.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace valekeel::experiment {

struct Store::Inside {
    SQLite::Database file;
    explicit Inside(const std::string& path)
        : file(path, SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE, 10'000) {
        file.exec("PRAGMA journal_mode=WAL");
        file.exec(
            "CREATE TABLE IF NOT EXISTS run (key TEXT PRIMARY KEY, plan TEXT NOT NULL, case_name TEXT NOT "
            "NULL, "
            "seed INTEGER NOT NULL, settings TEXT NOT NULL, commit_id TEXT NOT NULL, load REAL NOT NULL, "
            "seconds REAL NOT NULL, result TEXT NOT NULL, kept INTEGER NOT NULL DEFAULT (unixepoch()))");
        file.exec("CREATE INDEX IF NOT EXISTS run_of_plan ON run (plan, case_name, seed)");
    }
};

Store::Store(const std::string& file) try : in_(std::make_unique<Inside>(file)) {
} catch (const SQLite::Exception& e) {
    throw std::runtime_error(file + ": cannot be used to keep results: " + e.what());
}
Store::~Store() = default;

bool Store::has(const std::string& key) const {
    SQLite::Statement ask(in_->file, "SELECT 1 FROM run WHERE key = ?");
    ask.bind(1, key);
    return ask.executeStep();
}

void Store::keep(const Kept& k) {
    SQLite::Statement put(
        in_->file,
        "INSERT OR REPLACE INTO run (key, plan, case_name, seed, settings, commit_id, load, "
        "seconds, result) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)");
    put.bind(1, k.key);
    put.bind(2, k.plan);
    put.bind(3, k.caseName);
    put.bind(4, static_cast<std::int64_t>(k.seed));
    put.bind(5, k.settingsHash);
    put.bind(6, k.commit);
    put.bind(7, k.load);
    put.bind(8, k.seconds);
    put.bind(9, k.result);
    put.exec();
}

std::vector<Kept> Store::of(const std::string& plan) const {
    SQLite::Statement ask(
        in_->file,
        "SELECT key, case_name, seed, settings, commit_id, load, seconds, result, MAX(rowid) "
        "FROM run WHERE plan = ? GROUP BY case_name, seed ORDER BY case_name, seed");
    ask.bind(1, plan);
    std::vector<Kept> out;
    while (ask.executeStep())
        out.push_back({ask.getColumn(0), plan, ask.getColumn(1), ask.getColumn(3), ask.getColumn(4),
                       ask.getColumn(7), static_cast<std::uint64_t>(ask.getColumn(2).getInt64()),
                       ask.getColumn(5), ask.getColumn(6)});
    return out;
}

std::string hashOf(std::string_view text) {
    char out[17];
    std::snprintf(out, sizeof out, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return out;
}
Measures measuresOf(const std::vector<Kept>& all) {
    Measures out;
    for (const Kept& k : all) {
        const auto j = nlohmann::json::parse(k.result, nullptr, false);
        if (!j.is_object()) continue;
        auto& here = out[k.caseName][k.seed];
        for (const auto& [name, value] : j.items())
            if (value.is_number()) here[name] = value.get<double>();
    }
    return out;
}

}  // namespace valekeel::experiment
