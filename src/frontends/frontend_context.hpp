// What all faces do alike when a subscription is asked for.
#pragma once

#include <algorithm>
#include <string>

#include "admission/admission_controller.hpp"
#include "core/core.hpp"
#include "logging/log.hpp"
#include "settings/site_settings.hpp"
#include "upstream/join_client.hpp"

namespace valekeel::frontends {

// What each face of a front stands among: the talks and room types that it may be asked for, and the one
// gate, core and record that it shares with the others. All of it outlives the faces.
struct FrontendContext {
    net::Net& net_;
    std::string name_;  // of the front
    const settings::Talks& talks_;
    const settings::RoomTypes& rooms_;
    const Ladder& ladder_;
    admission::AdmissionController& gate_;
    core::Core& core_;
    upstream::UpstreamClient& boxes_;
    upstream::JoinClient& joins_;
    logging::Log& log_;
};

// Whole seconds, rounded up, one at least: as Retry-After and the SIP timers' headers want them.
inline std::string ceilToSeconds(Micros t) {
    return std::to_string(std::max<Micros>(1, (t + kSecond - 1) / kSecond));
}

// For a viewer that can use so many kbit/s: the best rung under that, never under the room type's floor.
inline SubscriptionRequest subscriptionRequestFor(RoomTypeId room, const std::string& title,
                                                  const settings::Talk& talk, const Ladder& ladder,
                                                  const RoomType& type, double kbits) {
    SubscriptionRequest wish;
    wish.room = room;
    wish.title = TitleId{title};
    wish.firstCell = talk.firstCell;
    wish.holders = talk.holders;
    wish.maxRung = static_cast<int>(ladder.kb.size()) - 1;
    while (wish.maxRung > type.floor &&
           ladder.kb[static_cast<std::size_t>(wish.maxRung)] * type.rateFactor * 8 > kbits * 1.001)
        --wish.maxRung;
    return wish;
}

}  // namespace valekeel::frontends
