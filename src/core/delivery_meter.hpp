// What was delivered of what the rungs in force ask for: measured segment by segment, told by media server.
// No I/O, no clock. Time for which the viewer itself took nothing doesn't count against the media server.
#pragma once

#include <map>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::core {

using FetchId = Id<struct FetchTag, std::uint64_t>;

class DeliveryMeter {
  public:
    // `window`: over which shares are averaged, and how often one is told.
    explicit DeliveryMeter(Micros window) : window_(window) {}

    // A segment of so much play time begins to come; it is so many bytes long.
    void start(Micros now, FetchId, SubId, SfuId, Micros playTime, std::uint64_t length);
    void addBytes(FetchId, std::uint64_t bytes);
    void pause(Micros now, FetchId);  // the viewer takes nothing
    void resume(Micros now, FetchId);
    void finish(Micros now, FetchId);  // whole or not
    void discard(FetchId);             // broken: says nothing of the share

    // To be asked once a window. Tells, for each media server that is short, its share on one subscription
    // there; and once more, with 1, when it no longer is.
    struct ShareReport {
        SubId sub;
        SfuId at;
        double share;
    };
    std::vector<ShareReport> takeReports(Micros now);
    Micros window() const { return window_; }
    std::size_t openCount() const { return open_.size(); }

  private:
    struct Open {
        SubId sub;
        SfuId at;
        Micros began = 0, playTime = 0, held = 0, heldSince = 0;
        std::uint64_t length = 0, bytes = 0;
        bool isHeld = false;
    };
    struct AtBox {
        double sum = 0;  // of shares, weighed by play time
        double weight = 0;
        SubId lastSub;
        bool wasShort = false;
    };
    static Micros spent(Micros now, const Open&);
    Micros window_;
    std::map<FetchId, Open> open_;
    std::map<SfuId, AtBox> boxes_;
};

}  // namespace valekeel::core
