// Where results are kept: one SQLite file, a row for each run, written whole or not at all. A run is known by
// the hash of all that makes it what it is: the day with its settings, the seed, and the program itself.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace valekeel::experiment {

struct Kept {
    std::string key, plan, caseName, settingsHash, commit, result;  // result: as asJson() writes it
    std::uint64_t seed = 0;
    double load = 0;  // of the machine, over the last minute, as the run ended
    double seconds = 0;
};

class Store {
  public:
    explicit Store(const std::string& file);  // made where it is not; throws std::runtime_error
    ~Store();
    bool has(const std::string& key) const;
    void keep(const Kept&);
    // Of one plan, in the order of case and seed; the newest of each.
    std::vector<Kept> of(const std::string& plan) const;

  private:
    struct Inside;
    std::unique_ptr<Inside> in_;
};

std::string hashOf(std::string_view);  // xxHash (XXH3, 64 bits), in hex

// The measures of results, by case and then by seed.
using Measures = std::map<std::string, std::map<std::uint64_t, std::map<std::string, double>>>;
Measures measuresOf(const std::vector<Kept>&);

}  // namespace valekeel::experiment
