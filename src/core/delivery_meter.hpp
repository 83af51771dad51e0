// Measures, segment by segment, which share of the rate of the rungs in force the media servers deliver, and
// reports it per media server. No I/O, no clock of its own. Time during which the viewer itself reads nothing
// is not counted against the media server.
#pragma once

#include <map>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::core {

using FetchId = Id<struct FetchTag, std::uint64_t>;

// Time spent on a segment beyond its play time lowers the share; a segment in time counts as 1.
class DeliveryMeter {
  public:
    // `window`: over which shares are averaged; also the interval at which takeReports() is to be called.
    explicit DeliveryMeter(Micros window) : window_(window) {}

    // A segment starts to arrive: its play time and its length in bytes, 0 if unknown.
    void start(Micros now, FetchId, SubId, SfuId, Micros playTime, std::uint64_t length);
    void addBytes(FetchId, std::uint64_t bytes);
    void pause(Micros now, FetchId);  // the viewer reads nothing
    void resume(Micros now, FetchId);
    void finish(Micros now, FetchId);  // the fetch ended, and counts with its time
    void discard(FetchId);             // the fetch broke: it says nothing about the share

    struct ShareReport {
        SubId sub;  // a subscription on that server
        SfuId server;
        double share;  // 0 to 1
    };
    // To be called once per window. Returns one report for each media server whose share is too low, and one
    // more, with share 1, for each that has recovered.
    std::vector<ShareReport> takeReports(Micros now);
    Micros window() const { return window_; }
    std::size_t openCount() const { return open_.size(); }  // segments that are arriving

  private:
    struct OpenFetch {
        SubId sub;
        SfuId server;
        Micros startedAt = 0, playTime = 0, pausedTime = 0, pausedSince = 0;
        std::uint64_t length = 0, bytes = 0;
        bool isPaused = false;
    };
    struct ServerShare {
        double sum = 0;  // of shares, weighted by play time
        double weight = 0;
        SubId lastSub;
        bool wasShort = false;
    };
    static Micros timeSpent(Micros now, const OpenFetch&);  // without pauses
    Micros window_;
    std::map<FetchId, OpenFetch> open_;
    std::map<SfuId, ServerShare> servers_;
};

}  // namespace valekeel::core
