// One front, assembled from its settings: server list, upstream connections, admission, core, protocol front
// ends and log. Used by the program on sockets and by simulations on a virtual clock.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/core.hpp"
#include "discovery/list_follower.hpp"
#include "frontends/http/http_frontend.hpp"
#include "frontends/sip/sip_frontend.hpp"
#include "settings/document.hpp"
#include "upstream/join_client.hpp"

namespace valekeel::front {

// Creates a decision module that replaces the built-in one: a baseline in drills, a faulty module in tests.
// The Host outlives the module.
using ModuleOverride = std::function<std::unique_ptr<core::DecisionModule>(
    Host&, Micros now, std::uint64_t seed, const std::vector<RoomType>&, const Fleet&, const Ladder&,
    const SubscriptionLimits&)>;

// A running front.
class Front {
  public:
    // Checks the settings and starts the front. Throws settings::SettingsError or std::runtime_error. `epoch`
    // distinguishes this process from earlier ones of the same name. The Net must outlive the front.
    Front(net::Net&, const settings::Document&, std::uint64_t seed, std::uint64_t epoch,
          const ModuleOverride& moduleOverride = {});
    ~Front();

    net::Endpoint http() const;  // where HTTP is served
    frontends::HttpFrontend& httpFrontend();
    frontends::SipFrontend* sipFrontend();  // nullptr if the settings have no 'sip' node
    core::Core& core();
    // Takes no new requests, answers those that are pending, lets playback continue for up to `playOn`
    // microseconds and ends it. Calls `done` once all responses are sent.
    void stop(Micros playOn, std::function<void()> done);
    Micros stopTimeout() const;  // stop-within of the settings
    void flush();                // writes buffered log lines

    // Reads and checks all settings without starting anything. Throws settings::SettingsError.
    static void check(const settings::Document&);

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace valekeel::front
