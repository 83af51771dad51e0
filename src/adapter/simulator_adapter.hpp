// The adapter for the simulator's wire: turns a batch of events into calls on the modules that it hosts, one
// for each front, and what they do into a reply. Fronts share nothing here but the lists that the wire itself
// numbers for the process.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "setup/values.hpp"

namespace valekeel::adapter {

using InvalidMessage = setup::InvalidValue;  // what is wrong with a line, and where

class Front;

class SimulatorAdapter {
  public:
    SimulatorAdapter();
    ~SimulatorAdapter();
    std::string reply(const std::string& batch);  // one line in, one line out, without the line end

  private:
    std::map<std::string, std::unique_ptr<Front>> fronts_;
    std::map<std::int64_t, nlohmann::json> lists_;  // by number: kinds and zones are named by each front
};

}  // namespace valekeel::adapter
