// Plain records that the module is handed: what a site runs, what it plays, and on which terms. Nothing in
// here decides, and no figure of a site stands here.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel {

struct Ladder {
    std::vector<double> kb;     // rate of each rung, kB a second
    std::vector<double> worth;  // part of the benefit that each rung earns
    double stallLoss = 0;       // points of benefit lost for each point of the rate that is missing
    double switchSeconds = 0;   // a change of rung costs so many seconds of benefit
    double sharedRateFraction =
        1;  // part of the rate that a further viewer of a live stream adds; 1: all of it
};

struct RoomType {
    std::string name;
    Micros joinObjective = 0;
    double benefit = 0;
    bool paid = false;      // what it sets up must not be set up twice
    bool keyed = false;     // may be repeated, but only within `repeatWithin` and to the same group
    bool anyServer = true;  // keyed: every media server is of the group
    Micros repeatWithin = 0;
    double rateFactor = 1;
    int floor = 0;
    int top = 0;
    int seats = 0;      // 0: no cap
    bool live = false;  // its titles are live: viewers of one at one media server and rung may share
};

struct Fleet {
    int cells = 1;
    int racks = 1;
    double linksKb = 0;          // all links together
    double linkKbPerSize = 0;    // link of a media server for each unit of its size
    double uplinkKb = 0;         // mean uplink of a rack
    bool hasSizes = false;       // entries of the list carry a size
    bool listOnRequest = false;  // the list comes only to those who follow it
    std::vector<int> places;     // for each kind: streams at most
    ZoneId zone{};               // the front's own
    double fullThreshold =
        0;  // a media server turns set-ups away while so much of its link is asked; 0: never
};

struct ColdStartLimits {  // of a media server that has just started
    Micros warmUp = 0;
    double firstShare = 1;
    double fallMultiple = 1;
    Micros tipAfter = 0;
};

struct JoinBudget {  // of joins beyond each subscription's first
    double free = 0;
    double share = 0;
    Micros window = 0;
};

struct ReportTiming {  // how notes on playing subscriptions travel
    Micros late = 0;
    Micros every = 0;  // 0: no notes on link use
};

struct SubscriptionLimits {
    int maxJoins = 1;
    bool retryAfter = false;  // a viewer may be told when to come again
    Micros maxRetryAfter = 0;
};

struct ServingCosts {      // in parts of the benefit that is asked for
    double crossZone = 0;  // every subscription served from another zone
};

enum class ServerState { On, Draining, Off };

struct SfuEntry {  // one line of the list of media servers
    SfuId id;
    ServerState state = ServerState::On;
    Micros launched = 0;  // 0: long ago
    Cell cell;
    MachineKindId kind;
    double size = 1;
    ZoneId zone{};
};

struct SubscriptionRequest {  // what a viewer asks for
    RoomTypeId room;
    TitleId title;
    Micros deadline = 0;
    std::optional<double> watchSeconds;  // a guess, where there is one
    Cell firstCell;
    int holders = 1;
    int maxRung = 0;
};

struct ServerEvidence {  // of one media server, by an earlier life of a front
    SfuId id;
    double evidence = 0;  // that it fails: above 0 for, below 0 against
    std::optional<double> linkUse{};
    Micros age = 0;  // of linkUse
};

enum class JoinResult { Played, Error, Full, TimedOut, NoConnection, Reset, Cancelled, NeverSent };

struct LoadReport {                            // what a media server tells of itself in an answer
    std::optional<double> linkUse, uplinkUse;  // asked over given
};

}  // namespace valekeel
