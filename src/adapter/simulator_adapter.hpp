// The adapter between the simulator's protocol and the decision module: turns a batch of events into calls on
// the modules that it hosts, one for each front, and their actions into a reply. Fronts share nothing but the
// lists of media servers, which the protocol numbers for the whole process.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "setup/values.hpp"

namespace valekeel::adapter {

using InvalidMessage = setup::InvalidValue;  // thrown for a malformed batch: what is wrong, and where

class Front;

// Handles the batches of one simulator process, in order.
class SimulatorAdapter {
  public:
    SimulatorAdapter();
    ~SimulatorAdapter();
    // Handles a batch (one line of JSON) and returns the reply (one line), both without the line end. Throws
    // InvalidMessage if the batch is malformed; events before the malformed one have taken effect.
    std::string reply(const std::string& batch);

  private:
    std::map<std::string, std::unique_ptr<Front>> fronts_;
    // Lists by number, as received: each front maps the names of kinds and zones by its own settings.
    std::map<std::int64_t, nlohmann::json> lists_;
};

}  // namespace valekeel::adapter
