// One front, put together from its settings: list, boxes, core, faces, record. The same object is driven by
// the program, by the drill and, on a virtual clock, by rehearsals.
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

// What may be put in the place of the module: a baseline in the drill, a broken one in tests.
using ModuleOverride = std::function<std::unique_ptr<core::DecisionModule>(
    Host&, Micros now, std::uint64_t seed, const std::vector<RoomType>&, const Fleet&, const Ladder&,
    const SubscriptionLimits&)>;

class Front {
  public:
    // Throws settings::Wrong or std::runtime_error before anything is started. `epoch` sets this life apart
    // from earlier ones of the same name.
    Front(net::Net&, const settings::Document&, std::uint64_t seed, std::uint64_t epoch,
          const ModuleOverride& other = {});
    ~Front();

    net::Endpoint http() const;
    frontends::HttpFrontend& httpFrontend();
    frontends::SipFrontend* sipFrontend();  // nothing where the settings name none
    core::Core& core();
    // Nothing new is taken; what was taken is answered; what plays goes on for `playOn`, then ends. Calls
    // back once all is said.
    void stop(Micros playOn, std::function<void()> done);
    Micros stopTimeout() const;
    void flush();

    // Reads all settings, starts nothing. Throws as above.
    static void check(const settings::Document&);

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace valekeel::front
