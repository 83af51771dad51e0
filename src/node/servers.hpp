// Speaks to media servers in the platform's protocol: joins, rungs and releases out; answers, notes and ends
// in. It chooses no server. What the end of a join proves is read off one table here (`meaningOf`). It also
// finds out that a media server is gone with what stood there, where nobody says so: by opening a connection,
// never by a test, which sites may forbid.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "node/line_connection.hpp"
#include "node/message.hpp"

namespace valekeel::node {

struct ServerLimits {
    std::size_t links = 64;          // connections to all media servers together
    std::size_t joinsOnLink = 32;    // at once on one connection
    Micros connectWithin = 250'000;  // what a set-up waits for a connection
    Micros idle = 15'000'000;        // a connection that nobody needs is closed after
    Micros sureFor = 8'000'000;      // a paid join takes no connection that has been idle for longer
    Micros silent = 4'000'000;       // a server with own subscriptions that says nothing is looked for
    Micros lookAgain = 150'000;      // after a refused look; between two others
    Micros lookEvery = 400'000;
    Micros lookWithin = 1'200'000;    // a connection that comes up no later is no sign of a loss
    Micros goneAfter = 2'500'000;     // of looks that come to nothing what stood there is taken to be over
    std::size_t unsent = 256 * 1024;  // bytes, on one connection
    Micros unfinished = 400'000;      // how long a line may stay unfinished
    std::size_t owed = 512;           // ends that one server has not been told yet; the oldest go first
    Micros owedFor = 30'000'000;      // an end that no connection takes is kept for so long
};

// What of a set-up goes on unchanged.
struct SetupRequest {
    std::string tag, room, title, description;
};

// What media servers say of what plays.
class ServersHandler {
  public:
    virtual ~ServersHandler() = default;
    virtual const SetupRequest* wordsOf(SubId) = 0;
    virtual void answered(SubId, const std::string& description) = 0;  // just before the core hears of it
    virtual void over(SubId, JoinResult, int cause, const LoadReport&) = 0;  // it played
};

struct ServerCounts {
    std::uint64_t connects = 0, refused = 0, noConnect = 0, broken = 0, garbled = 0, unknown = 0,
                  lookedFor = 0, foundGone = 0, early = 0, figures = 0, withdrawn = 0, endsPaidLate = 0,
                  endsDropped = 0;
    std::array<std::uint64_t, 4> notes{};  // served, at_rung, link_use, rack_use
};

class Servers final : public core::JoinSender {
  public:
    Servers(net::Net&, const ServerLimits&, ServersHandler&);
    ~Servers() override;
    // What was odd, and what of a message shows it; for the log.
    void onOdd(std::function<void(const char* what, std::string_view detail)> told) {
        odd_ = std::move(told);
    }
    void connect(core::Core& core) { core_ = &core; }

    // From the list, each after the core has been told. One that is off, or whose process is new, has lost
    // what stood there. What waits to be sent to one that drains, or is new, is taken back.
    void setAddress(SfuId, const net::Endpoint&);  // a new one may be told before that
    void remove(SfuId);
    void onDraining(SfuId);
    void onRestarted(SfuId, Micros launched);
    bool knows(SfuId at) const { return servers_.count(at) > 0; }

    void adopt(SubId, SfuId);       // it stands there already
    void setRung(SubId, int rung);  // of what stands
    void cut(SubId);                // ends it there; ServersHandler::over() tells when that is done
    void forget(SubId);             // nobody asks for it any more

    void join(SubId, int joinNo, SfuId, int rung, Micros timeOut, bool paid) override;
    void cancel(SubId, int joinNo) override;
    void withdraw(SubId, int joinNo) override;
    void release(SubId, SfuId) override;
    void followList() override {}

    std::size_t links() const { return openLinks_; }
    std::size_t standing() const;
    std::size_t out() const;
    std::size_t owed() const;  // ends that are still to be said, or to be heard of
    const ServerCounts& counts() const { return counts_; }

  private:
    class Link;
    struct Server;
    struct Held;
    Server* find(SfuId);
    Link* linkFor(Server&, bool sure, bool forJoin);
    Link* open(Server&);
    void sendLine(Server&, const std::string& line);
    void sendWaiting(Link&);
    void withdrawUnsent(SubId, JoinResult, const char* why);
    void withdrawAllUnsent(Server&, const char* why);
    void queueEnd(Server&, const std::string& tag, Link* saidOn);
    void sendQueuedEnds(Server&);
    void connectForQueuedEnds(Server&);
    void heard(Link&, const Message&);
    void standingHeard(SubId, Held&, const Message&);
    void linkGone(Link&, DisconnectReason);
    void giveUp(SubId, JoinResult, const char* why);
    void ended(SubId, core::JoinOutcome);
    void closeLink(Link&);
    void closeLinks(Server&, std::optional<Micros> before);
    void endLater(SubId, int joinNo, core::JoinOutcome);
    void endAllStanding(Server&, Micros before);
    void look(Server&);
    void tidy();
    void deleteLater(std::unique_ptr<Link>);

    net::Net& net_;
    ServerLimits limits_;
    ServersHandler& user_;
    std::function<void(const char*, std::string_view)> odd_ = [](const char*, std::string_view) {};
    core::Core* core_ = nullptr;
    std::map<SfuId, std::unique_ptr<Server>> servers_;
    std::map<SubId, Held> held_;
    std::map<std::string, SubId, std::less<>> byTag_;
    struct Later {
        SubId id;
        int joinNo;
        core::JoinOutcome outcome;
    };
    std::deque<Later> later_;
    std::optional<SubId> endSaid_;  // whose end has just been said, where it was out
    std::vector<std::unique_ptr<Link>> dead_;
    std::size_t openLinks_ = 0;
    ServerCounts counts_;
    net::Timer laterTimer_, buryTimer_, tidyTimer_;
};

// "x0:12;x1:0.4": what of it the module reads.
LoadReport parseLoadReport(const Message&);

}  // namespace valekeel::node
