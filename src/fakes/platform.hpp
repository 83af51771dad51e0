// Stand-ins for what a front node of the platform speaks to: media servers, the change log, and one
// connection of viewers. Written from the protocol's page alone: they share no code with the front's side of
// it, and keep a ledger of what crossed their sockets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "net/net.hpp"

namespace valekeel::fakes {

// One connection, cut into lines.
class PlatformConnection final : public net::StreamHandler {
  public:
    using Heard = std::function<void(PlatformConnection&, const nlohmann::json&)>;
    PlatformConnection(std::unique_ptr<net::Stream>, Heard);     // accepted
    PlatformConnection(net::Net&, const net::Endpoint&, Heard);  // connects
    void send(const nlohmann::json& message) { bytes(message.dump() + "\n"); }
    void bytes(const std::string&);
    void close(bool hard);
    bool ended() const { return ended_; }

  private:
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override { ended_ = true; }
    void onReadable() override;
    void onWritable() override {}
    Heard heard_;
    std::string in_, out_;
    bool ready_, ended_ = false;
    std::unique_ptr<net::Stream> stream_;
};

// What a media server does with a set-up.
enum class SetupReaction {
    Play,
    RefuseFull,
    RefuseError,
    Reset,
    NoAnswer,
    Garbage,
    PartialLine,
    PlayTwice,
    UnknownTagFirst,
    NoDescription
};

class PlatformServer final : private net::ListenerHandler {
  public:
    PlatformServer(net::Net&, const net::Endpoint&);
    net::Endpoint endpoint() const { return listener_->endpoint(); }
    std::function<SetupReaction(const std::string& tag)> reaction = [](const std::string&) {
        return SetupReaction::Play;
    };
    double saysFirst = 0;  // above 0: its link's use, in a note just before each answer
    void end(const std::string& tag, int cause);
    void sendNotice(const std::string& tag, const std::string& kind, double value);
    void resetConnections();  // its connections; what stands goes on
    void die();               // refuses from then on; all that stood is cut

    struct Setup {
        std::string tag, title, room, words;
        Micros at;
        int rung;
    };
    std::vector<Setup> setups;  // all that arrived whole
    std::set<std::string> playing;
    std::vector<std::pair<std::string, int>> rungs;
    int cuts = 0, tests = 0, connections = 0;

  private:
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void heard(PlatformConnection&, const nlohmann::json&);
    void start(PlatformConnection&, const std::string& tag);
    PlatformConnection* lineOf(const std::string& tag);
    net::Net& net_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<PlatformConnection>> lines_;
    std::map<std::string, PlatformConnection*> by_;
};

// Events as frames; `asked` holds the numbers that it was asked from.
class PlatformChangeLog final : private net::ListenerHandler, private net::StreamHandler {
  public:
    PlatformChangeLog(net::Net&, const net::Endpoint&);
    net::Endpoint endpoint() const { return listener_->endpoint(); }
    struct Box {
        std::uint32_t id;
        net::Endpoint at;
        int state = 0, cell = 0;
        std::uint64_t startedMs = 0;
    };
    void add(const std::vector<Box>&, bool whole = false);  // the next event, of changes; told at once
    static std::string frame(std::uint64_t number, int kind, const std::vector<Box>&);
    void bytes(const std::string&);  // as they are, on the connection that stands
    void breakOff();
    std::uint64_t last = 0;
    bool silent = false, twice = false;
    std::vector<std::uint64_t> asked;

  private:
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void onReadable() override;
    void onWritable() override {}
    void beat();
    net::Net& net_;
    std::unique_ptr<net::Listener> listener_;
    std::unique_ptr<net::Stream> stream_;
    std::string in_;
    bool following_ = false;
    std::map<std::uint64_t, std::string> events_;
    net::Timer beat_;
};

}  // namespace valekeel::fakes
