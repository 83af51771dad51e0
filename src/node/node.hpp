// A front node on the users' platform: connects its configuration, viewers, media servers and change log to
// the core and the decision module. Makes no decision of its own.
#pragma once

#include <memory>
#include <string>

#include "logging/log.hpp"
#include "net/net.hpp"
#include "setup/values.hpp"

namespace valekeel::node {

// Parses the configuration's text; `file` names it in errors. Throws setup::InvalidValue, with file, line and
// column if the text is not JSON.
setup::Json parseConfiguration(const std::string& file, const std::string& text);

// Runs on the event loop of its Net. The Net and the log must outlive it.
class Node {
  public:
    // Reads the configuration and starts to listen. Throws setup::InvalidValue if the configuration is
    // invalid, before anything is started, and std::runtime_error if the address can't be bound.
    Node(net::Net&, const std::string& file, const std::string& text, logging::Log&);
    ~Node();
    net::Endpoint endpoint() const;  // where viewers connect
    // Switches to the change log that a new configuration names; other changes are ignored. An invalid one is
    // logged and has no effect.
    void reloadConfiguration(const std::string& text);
    // Entries in all tables that grow with what viewers do; lets tests check that nothing leaks.
    std::size_t tableEntryCount() const;
    // Set-ups with attempts that were given up and may still be reported; kept for a few seconds.
    std::size_t givenUpAttemptCount() const;
    std::size_t viewersHeldBytes() const;  // see Viewers::heldBytes()
    std::size_t connectionCount() const;   // of viewers, including lingering ones
    // Starts a planned stop: accepts set-ups while they may still arrive, answers all of them, and lets
    // subscriptions play as long as the platform's restart rules allow. Then releases the rest and calls
    // `done` once. Calls during a stop have no effect.
    void stop(std::function<void()> done);

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// Returns the configuration's seed, which the event loop needs before the node exists. Throws
// setup::InvalidValue.
std::uint64_t parseSeed(const setup::Json& configuration);

}  // namespace valekeel::node
