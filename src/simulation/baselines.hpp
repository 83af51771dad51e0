// What decides in the drill in place of the module, to show what its decisions are worth: a random holder, or
// the holder whose link was last told to be used least. Both answer in time, keep drains, seats and paid
// set-ups, and know nothing else. Never in a front that serves.
#pragma once

#include <memory>
#include <string>

#include "front/front.hpp"

namespace valekeel::simulation {

// "random" or "least-load"; throws std::invalid_argument for any other.
front::ModuleOverride baseline(const std::string& name);

}  // namespace valekeel::simulation
