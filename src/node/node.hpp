// A front node on the users' platform: its configuration, viewers, media servers and change log, around the
// core and the module. Nothing of it decides.
#pragma once

#include <memory>
#include <string>

#include "logging/log.hpp"
#include "net/net.hpp"
#include "setup/values.hpp"

namespace valekeel::node {

// The configuration's text, read whole. Throws setup::Bad: file, line and column where it is no JSON, else
// what is missing or wrong and where.
setup::Json parseConfiguration(const std::string& file, const std::string& text);

class Node {
  public:
    // Throws setup::Bad before anything is started, std::runtime_error if the address can't be had.
    Node(net::Net&, const std::string& file, const std::string& text, logging::Log&);
    ~Node();
    net::Endpoint endpoint() const;
    // The configuration was replaced. One that can't be read is passed over: the one held applies.
    void reloadConfiguration(const std::string& text);
    // Entries in all tables that grow with what viewers do, and connections: for tests of what is left over.
    std::size_t remembered() const;
    std::size_t connections() const;
    // Goes on as before while requests may still come, answers all that was taken, and lets what plays go on
    // for as long as a planned restart leaves. Then it releases what is left and calls back.
    void stop(std::function<void()> done);

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

// The seed that the configuration hands out, for the loop that is made before the node. Throws setup::Bad.
std::uint64_t parseSeed(const setup::Json& configuration);

}  // namespace valekeel::node
