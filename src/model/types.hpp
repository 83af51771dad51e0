// Plain records that are handed to the decision module: the configuration of a site, requests, and reports on
// media servers. They hold no logic and no values of any site. Rates are in kB/s, times in microseconds.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel {

// The bitrate ladder. `kb` and `worth` have one entry for each rung, lowest first.
struct Ladder {
    std::vector<double> kb;     // rate of each rung, kB/s
    std::vector<double> worth;  // part of the benefit that each rung earns
    double stallLoss = 0;       // points of benefit lost for each point of the rate not delivered
    double switchSeconds = 0;   // cost of a rung change, in seconds of benefit
    // Part of the rate that a further viewer of a shared live stream adds; 1: all of it, nothing is shared.
    double sharedRateFraction = 1;
};

// A class of subscriptions, and the rules on serving them.
struct RoomType {
    std::string name;
    Micros joinObjective = 0;  // time from the request until it should play
    double benefit = 0;        // of one subscription at full worth
    bool paid = false;         // a set-up that may have run must not be repeated
    bool keyed = false;        // a set-up may be repeated, but only within `repeatWithin` and its group
    bool anyServer = true;     // keyed: the group is all media servers; else only the first one
    Micros repeatWithin = 0;
    double rateFactor = 1;  // factor on the rates of the ladder
    int floor = 0;          // lowest rung
    int top = 0;            // highest rung
    int seats = 0;          // most subscriptions to one title; 0: no limit
    bool live = false;      // its titles are live: viewers of one at one media server and rung may share
};

// The media servers of a site. Each rack of them has one uplink.
struct Fleet {
    int cells = 1;
    int racks = 1;
    double linksKb = 0;          // capacity of all links together, kB/s
    double linkKbPerSize = 0;    // link capacity of a media server for each unit of its size, kB/s
    double uplinkKb = 0;         // mean capacity of an uplink, kB/s
    bool hasSizes = false;       // entries of the list carry a size
    bool listOnRequest = false;  // the list is sent only on request
    std::vector<int> places;     // most streams of a media server, for each machine kind
    ZoneId zone{};               // of the front itself
    // Link utilization from which a media server rejects set-ups as "full"; 0: never.
    double fullThreshold = 0;
};

// The load that a media server can take while it is cold. It is overloaded by more set-ups in one `tipAfter`
// than `fallMultiple` times its places for each `warmUp`, times the part of its capacity that it has at that
// age.
struct ColdStartLimits {
    Micros warmUp = 0;
    double firstShare = 1;  // part of its full capacity at the start; grows to 1 over `warmUp`
    double fallMultiple = 1;
    Micros tipAfter = 0;
};

// The limit on joins beyond the first of each subscription: in each window, `free` and `share` times the
// number of requests.
struct JoinBudget {
    double free = 0;
    double share = 0;
    Micros window = 0;
};

// Timing of reports on playing subscriptions.
struct ReportTiming {
    Micros late = 0;   // age of a report when it arrives
    Micros every = 0;  // interval of reports on link use; 0: none are sent
};

struct SubscriptionLimits {
    int maxJoins = 1;          // joins of one subscription
    bool retryAfter = false;   // throttled viewers may be told when to retry
    Micros maxRetryAfter = 0;  // longest such time
};

// Costs, as parts of the benefit of the requests.
struct ServingCosts {
    double crossZone = 0;  // of a subscription served from another zone
};

enum class ServerState { On, Draining, Off };

// One entry of the list of media servers.
struct SfuEntry {
    SfuId id;
    ServerState state = ServerState::On;
    Micros launched = 0;  // start of its process; 0: long ago
    Cell cell;
    MachineKindId kind;
    double size = 1;
    ZoneId zone{};
};

// A viewer's request for a subscription. The title is held by the media servers of `holders` consecutive
// cells from `firstCell`.
struct SubscriptionRequest {
    RoomTypeId room;
    TitleId title;
    Micros deadline = 0;                 // client timeout: must be answered by this time
    std::optional<double> watchSeconds;  // expected watch time, if there is a hint
    Cell firstCell;
    int holders = 1;
    int maxRung = 0;  // highest rung that the viewer can play
};

// What a front has learned of a media server, stored across its restarts.
struct ServerEvidence {
    SfuId id;
    double evidence = 0;  // that it fails: above 0 for, below 0 against
    std::optional<double> linkUse{};
    Micros age = 0;  // of linkUse
};

// How a join, or the session that it set up, ended.
enum class JoinResult { Played, Error, Full, TimedOut, NoConnection, Reset, Cancelled, NeverSent };

// Load that a media server reports in an answer: utilization as demand over capacity.
struct LoadReport {
    std::optional<double> linkUse, uplinkUse;
};

}  // namespace valekeel
