// Fakes of the front node's peers on the platform: media servers, the change log, and a connection of
// viewers. Written from the protocol's specification and sharing no code with the front's side, so that a
// misreading of the protocol shows up in tests. They record what crossed their sockets.
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

// One connection that carries a JSON message per line.
class PlatformConnection final : public net::StreamHandler {
  public:
    using MessageHandler = std::function<void(PlatformConnection&, const nlohmann::json&)>;
    PlatformConnection(std::unique_ptr<net::Stream>, MessageHandler);     // accepted
    PlatformConnection(net::Net&, const net::Endpoint&, MessageHandler);  // connects
    void send(const nlohmann::json& message) { sendBytes(message.dump() + "\n"); }
    void sendBytes(const std::string&);    // unchanged; once connected
    void close(bool hard);                 // with `hard` by a reset
    void holdOutput() { isHeld_ = true; }  // a path that delivers nothing until releaseOutput()
    void releaseOutput();
    void holdInput() { isInputHeld_ = true; }  // nothing that arrives is handled until releaseInput()
    void releaseInput();
    bool isClosed() const { return isClosed_; }

  private:
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override { isClosed_ = true; }
    void onReadable() override;
    void onWritable() override {}
    void handleInput();
    MessageHandler onMessage_;
    std::string input_, output_;
    bool isOpen_, isClosed_ = false, isHeld_ = false, isInputHeld_ = false, isEndHeld_ = false;
    std::unique_ptr<net::Stream> stream_;
};

// How a media server reacts to a set-up.
enum class SetupReaction {
    Play,
    RefuseFull,
    RefuseError,
    Reset,  // resets the connection
    NoAnswer,
    PlayUnanswered,   // plays, but its answer is lost
    Garbage,          // plays, but answers with bytes that are no message
    PartialLine,      // plays, but never completes the answer's line
    PlayTwice,        // answers twice
    UnknownTagFirst,  // answers an unknown tag first
    NoDescription     // plays, but the answer has no description
};

class PlatformServer final : private net::ListenerHandler {
  public:
    PlatformServer(net::Net&, const net::Endpoint&);
    net::Endpoint endpoint() const { return listener_->endpoint(); }
    std::function<SetupReaction(const std::string& tag)> reaction = [](const std::string&) {
        return SetupReaction::Play;
    };
    // Asked for each set-up: whether the path of its connection delivers nothing from now on.
    std::function<bool(const std::string& tag)> holdsOutput = [](const std::string&) { return false; };
    void releaseOutput();                    // the held paths deliver all
    bool confirmsOnSetupConnection = false;  // confirms a FINISH there, not on the connection that carried it
    bool repeatsReleases = false;            // sends each release once more on the next connection that opens
    Micros setupTime = 0;            // from a set-up to its answer; a FINISH or a close meanwhile gives it up
    double linkUseBeforeAnswer = 0;  // if above 0: sent in a notice just before each answer
    void end(const std::string& tag, int cause);  // ends playback with a FINISH of this cause
    void sendNotice(const std::string& tag, const std::string& kind, double value);
    void resetConnections();                         // playback continues
    void refuseConnections() { listener_.reset(); }  // those that are open stay
    // The connections that are open, in the order of opening.
    std::vector<PlatformConnection*> openConnections() const;
    void crash();  // ends all playback, resets all connections and refuses new ones

    struct Setup {
        std::string tag, title, room, description;
        Micros receivedAt;
        int rung;
    };
    std::vector<Setup> setups;                             // all that were received
    std::set<std::string> playing;                         // by tag
    std::vector<std::pair<std::string, int>> rungChanges;  // received, by tag
    // FINISH and ECHO messages received, connections accepted.
    int finishCount = 0, testCount = 0, connectionCount = 0;
    int overlappingSetupCount = 0;  // of a tag that was being set up or played here

  private:
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void onMessage(PlatformConnection&, const nlohmann::json&);
    void react(PlatformConnection&, const std::string& tag, SetupReaction);
    void start(PlatformConnection&, const std::string& tag);
    void sendRelease(PlatformConnection&, const nlohmann::json&);
    PlatformConnection* connectionFor(const std::string& tag);
    net::Net& net_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<PlatformConnection>> connections_;
    std::map<std::string, PlatformConnection*> connectionByTag_;
    std::vector<nlohmann::json> releasesToRepeat_;
    std::map<std::string, std::unique_ptr<net::Timer>> pendingSetups_;  // by tag, until their reaction
};

// Sends events as frames, and a heartbeat each second, to the last client that connected.
class PlatformChangeLog final : private net::ListenerHandler, private net::StreamHandler {
  public:
    PlatformChangeLog(net::Net&, const net::Endpoint&);
    net::Endpoint endpoint() const { return listener_->endpoint(); }
    struct Server {
        std::uint32_t id;
        net::Endpoint endpoint;
        int state = 0, cell = 0;  // state 0: active, 1: leaving, 2: left
        std::uint64_t startedMs = 0;
    };
    // Appends the next event, a change or a full list, and sends it at once.
    void add(const std::vector<Server>&, bool isFullList = false);
    // Kind 0: heartbeat, 1: full list, 2: change.
    static std::string makeFrame(std::uint64_t sequenceNumber, int kind, const std::vector<Server>&);
    void sendBytes(const std::string&);  // unchanged, on the open connection
    void closeConnection();
    std::uint64_t last = 0;               // sequence number
    bool isSilent = false;                // sends nothing, also no heartbeats
    bool sendsTwice = false;              // each event
    std::vector<std::uint64_t> requests;  // the sequence numbers after which clients requested events

  private:
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void onReadable() override;
    void onWritable() override {}
    void sendHeartbeat();
    net::Net& net_;
    std::unique_ptr<net::Listener> listener_;
    std::unique_ptr<net::Stream> stream_;
    std::string input_;
    bool isFollowing_ = false;  // a request was received on the connection
    std::map<std::uint64_t, std::string> events_;
    net::Timer heartbeatTimer_;
};

}  // namespace valekeel::fakes
