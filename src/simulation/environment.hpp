// Where a rehearsal takes place: on real sockets with each front as a process, or on a virtual clock with all
// of them in this one. The script and the stand-ins are the same for both.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/net.hpp"

namespace valekeel::simulation {

// One front, over all its lives.
class FrontProcess {
  public:
    virtual ~FrontProcess() = default;
    virtual void start(const std::string& settings, std::uint64_t seed, const std::string& decisions) = 0;
    virtual void kill() = 0;
    virtual void requestStop() = 0;  // it answers what it took, then ends
    virtual void pause() = 0;
    virtual void resume() = 0;
    virtual bool running() = 0;
    virtual double cpuSeconds() const = 0;  // of all its lives
    // Where it listens, once it does.
    virtual std::optional<net::Endpoint> http() = 0;
    virtual std::optional<net::Endpoint> sip() = 0;
};

class Environment {
  public:
    virtual ~Environment() = default;
    virtual net::Net& net() = 0;              // of boxes, the list and the script
    virtual net::Net& netOf(int member) = 0;  // of that member's viewers; -1: of those without one
    virtual net::Endpoint boxAt() = 0;        // where the next box is to listen
    virtual void runOnce(Micros atMost) = 0;
    virtual std::unique_ptr<FrontProcess> front(int number, const std::string& name) = 0;
};

// `folder` for settings, logs and kept lists; it must exist.
std::unique_ptr<Environment> makeSocketEnvironment(const std::string& program, const std::string& folder,
                                                   std::uint64_t seed);
std::unique_ptr<Environment> makeVirtualEnvironment(const std::string& folder, std::uint64_t seed);

}  // namespace valekeel::simulation
