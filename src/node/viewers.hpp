// The viewers' side of the platform's protocol: set-ups, what ends them, tests in; answers and releases out.
// What can't be read or used is refused here and never reaches the core. It decides nothing else.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "node/line_connection.hpp"
#include "node/message.hpp"
#include "node/servers.hpp"

namespace valekeel::node {

struct ViewerLimits {
    std::size_t connections = 340;
    std::size_t openOnOne = 512;      // set-ups without an answer, on one connection
    Micros provenWithin = 2'200'000;  // a connection that has brought nothing of use is closed after
    Micros idle = 6'000'000;          // one on which nothing is open, after
    Micros unfinished = 2'000'000;    // how long a line may stay unfinished
    std::size_t unsent = 256 * 1024;  // bytes, on one connection
    Micros longestWait = 60'000'000;  // a viewer may name
    Micros tellFor = 8'000'000;       // a release that no connection takes is kept for so long
    Micros tellAnyAfter = 3'000'000;  // where no connection of viewers that play stands
    std::size_t toTell = 4'096;       // of them
    // A release whose connection ends so soon after it, unconfirmed, may be lost with it: it is told again.
    Micros heardWithin = kSecond;
    Micros linger = kSecond;  // a connection that was just told something, past its close
    std::size_t lingerBytes = 256 * 1024;
    Micros cutWithin = 400'000;  // a media server confirms the end of what its viewer left
};

struct ViewerCounts {
    std::uint64_t accepted = 0, evicted = 0, silent = 0, unreadable = 0, unusable = 0, tests = 0, setups = 0,
                  handedOver = 0, played = 0, throttled = 0, terminated = 0, released = 0, givenUp = 0,
                  leftStanding = 0, untold = 0, twice = 0;
};

// What a set-up must keep to, as the platform's settings have it.
struct Asked {
    std::vector<std::string> rooms;
    int cells = 1, rungs = 1;
};

class Viewers final : public core::SubscriptionHandler, public ServersHandler, private net::ListenerHandler {
  public:
    Viewers(net::Net&, const net::Endpoint&, const ViewerLimits&, Asked);
    ~Viewers() override;
    // What was odd, and what of a message shows it; for the log.
    void onOdd(std::function<void(const char* what, std::string_view detail)> told) {
        odd_ = std::move(told);
    }
    void connect(core::Core& core, Servers& servers) {
        core_ = &core;
        servers_ = &servers;
    }
    void listen();
    net::Endpoint endpoint() const { return at_; }
    void forget(SubId);  // the core holds it no more
    // The steps of this front's end. What plays is released, to its viewer and at its media server, which has
    // its usual time to confirm; from then on set-ups are refused.
    void releaseAll();
    void answerAll();  // the set-ups that are still open: as failed
    // All connections, by lingering closes, and the listening one; what has come till then is read first.
    void closeAll();
    std::uint64_t arrivals() const { return counts_.accepted + lines_; }
    std::size_t untold() const { return toTell_.size(); }
    // All tables that grow with what viewers do; empty again once they have gone.
    std::size_t remembered() const {
        return asking_.size() + byTag_.size() + toTell_.size() + unheard_.size() + dead_.size();
    }
    std::size_t connections() const { return conns_.size(); }
    std::size_t lingering() const { return lingering_.size(); }
    const ViewerCounts& counts() const { return counts_; }

  private:
    class Conn;
    struct Asking;
    // ---- core::Face ----
    void onPlaying(SubId, SfuId, int rung) override;
    void onThrottled(SubId, Micros retryAfter) override;
    void onTerminated(SubId, core::TerminationReason) override;
    void onRungChanged(SubId, int rung) override;
    void onServerLost(SubId) override;
    void onFinished(SubId) override;
    // ---- ServersUser ----
    const SetupRequest* wordsOf(SubId) override;
    void answered(SubId, const std::string& description) override;
    void over(SubId, JoinResult, int cause, const LoadReport&) override;

    void onAccepted(std::unique_ptr<net::Stream>) override;
    void heard(Conn&, std::string_view line);
    void setup(Conn&, const Message&);
    void ending(Conn&, const Message&);
    void endThere(SubId, Asking&);
    void useless(Conn&, const Message&, const char* why);
    void connGone(Conn&);
    void drop(Conn&);
    void tell(SubId, const Message&, bool release);
    void release(SubId, int cause);
    void sayWaiting();
    void sayRelease(Conn&, const std::string& tag, const std::string& line);
    void tellLater(Micros since, std::string tag, std::string line);
    bool makeRoom(std::size_t limit, bool alsoTooMany);
    void tidy();

    net::Net& net_;
    net::Endpoint where_, at_;
    ViewerLimits limits_;
    Asked asked_;
    std::function<void(const char*, std::string_view)> odd_ = [](const char*, std::string_view) {};
    core::Core* core_ = nullptr;
    Servers* servers_ = nullptr;
    std::unique_ptr<net::Listener> listener_;
    LingeringCloser lingering_;  // counted with the connections, and freed before any of them
    std::map<std::uint64_t, std::unique_ptr<Conn>> conns_;
    std::uint64_t nextConn_ = 1;
    std::map<SubId, Asking> asking_;
    std::map<std::string, SubId, std::less<>> byTag_;
    // Releases: that no connection has taken yet; that one has taken a moment ago.
    struct Untold {
        Micros since;
        std::string tag, line;
    };
    std::deque<Untold> toTell_;
    struct Unheard {
        Micros at;
        std::uint64_t conn;
        std::string line;
    };
    std::map<std::string, Unheard, std::less<>> unheard_;
    std::vector<std::unique_ptr<Conn>> dead_;
    ViewerCounts counts_;
    std::uint64_t lines_ = 0;
    bool draining_ = false;
    net::Timer buryTimer_, tidyTimer_;
};

}  // namespace valekeel::node
