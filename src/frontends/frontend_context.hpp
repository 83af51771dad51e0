// What the protocol front ends (HTTP and SIP) share when they take a subscription request.
#pragma once

#include <algorithm>
#include <string>

#include "admission/admission_controller.hpp"
#include "core/core.hpp"
#include "logging/log.hpp"
#include "settings/site_settings.hpp"
#include "upstream/join_client.hpp"

namespace valekeel::frontends {

// The collaborators of a protocol front end: the talks, room types and ladder of the settings, and the
// admission controller, core, upstream connections and log that all front ends of one front share. References
// are not owned; their objects must outlive the front ends.
struct FrontendContext {
    net::Net& net_;
    std::string name_;  // the front's name
    const settings::Talks& talks_;
    const settings::RoomTypes& roomTypes_;
    const Ladder& ladder_;
    admission::AdmissionController& admission_;
    core::Core& core_;
    upstream::UpstreamClient& upstream_;
    upstream::JoinClient& joinClient_;
    logging::Log& log_;
};

// Returns the duration in whole seconds, rounded up and at least 1, as decimal text for Retry-After and the
// SIP timer headers.
inline std::string ceilToSeconds(Micros t) {
    return std::to_string(std::max<Micros>(1, (t + kSecond - 1) / kSecond));
}

// Builds the request of a viewer that can use `kbits` kbit/s. Its maxRung is the highest rung within that
// rate (with a tolerance of 0.1 %), but never below the room type's floor.
inline SubscriptionRequest subscriptionRequestFor(RoomTypeId room, const std::string& title,
                                                  const settings::Talk& talk, const Ladder& ladder,
                                                  const RoomType& type, double kbits) {
    SubscriptionRequest request;
    request.room = room;
    request.title = TitleId{title};
    request.firstCell = talk.firstCell;
    request.holders = talk.holders;
    request.maxRung = static_cast<int>(ladder.kb.size()) - 1;
    while (request.maxRung > type.floor &&
           ladder.kb[static_cast<std::size_t>(request.maxRung)] * type.rateFactor * 8 > kbits * 1.001)
        --request.maxRung;
    return request;
}

}  // namespace valekeel::frontends
