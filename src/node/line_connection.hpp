// One TCP connection that carries lines. Reads in portions, so that one that never stops talking keeps nobody
// else waiting; holds at most one unfinished line and `most` unsent bytes.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/net.hpp"

namespace valekeel::node {

enum class DisconnectReason {
    Refused,    // nobody listens
    NoConnect,  // no connection in time, or no route
    NoSocket,   // this front had no descriptor left
    Closed,     // by the other side, in order
    Broken,     // reset
    Garbled,    // a line that is too long, or was never finished
    Slow,       // it doesn't read what it is sent
};
const char* nameOf(DisconnectReason);

class LineConnectionHandler {
  public:
    virtual ~LineConnectionHandler() = default;
    virtual void opened() {}
    virtual void onDrained() {}  // the kernel has taken all that was unsent
    // May close the wire, but not delete it before it has returned.
    virtual void line(std::string_view) = 0;
    virtual void gone(DisconnectReason) = 0;  // once, and not after close()
};

// Lingering close: guards against an end that destroys what was said just before it. A close throws away what
// is unsent here, and one with unread bytes resets the connection, with all that is still on its way. So what
// is unsent goes out, the writing half is closed, and what still comes is read and discarded until the other
// side has closed as well, for so long and so many bytes at most.
class LingeringCloser {
  public:
    struct Limits {
        std::size_t most;  // connections
        Micros time;
        std::size_t discarded;
    };
    LingeringCloser(net::Net&, const Limits&);
    ~LingeringCloser();
    Micros time() const { return limits_.time; }
    void take(std::unique_ptr<net::Stream>, std::string unsent);
    void freeOldest();  // its descriptor is needed
    std::size_t size() const { return all_.size(); }

  private:
    class One;
    void end(One&);
    net::Net& net_;
    Limits limits_;
    std::list<std::unique_ptr<One>> all_, dead_;
    net::Timer bury_;
};

class LineConnection final : private net::StreamHandler {
  public:
    struct Limits {
        std::size_t line, unsent;
        Micros unfinished;  // how long a line may stay unfinished
    };
    // Accepted. What was said on it lately outlives its close in `lingering`.
    LineConnection(net::Net&, std::unique_ptr<net::Stream>, const Limits&, LineConnectionHandler&,
                   LingeringCloser& lingering);
    LineConnection(net::Net&, const net::Endpoint&, Micros connectWithin, const Limits&,
                   LineConnectionHandler&);  // connects
    ~LineConnection() override;

    // Gives the place in the stream at which it begins; what is said after close() is lost.
    std::uint64_t say(std::string_view line);
    void readNow() { onReadable(); }  // what lies there already, without waiting for the next turn
    std::uint64_t taken() const { return taken_; }                          // bytes that the kernel has taken
    bool canSend() const { return state_ == State::Open && out_.empty(); }  // the kernel took all so far
    bool isOpen() const { return state_ == State::Open; }
    bool isClosed() const { return state_ == State::Closed; }
    std::size_t unsent() const { return out_.size(); }
    // `hard`: the other side sees a reset.
    void close(bool hard = false);
    Micros heardAt() const { return heardAt_; }
    Micros usedAt() const { return usedAt_; }

  private:
    enum class State { Connecting, Open, Closed };
    LineConnection(net::Net&, State, const Limits&, LineConnectionHandler&);
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override;
    void onReadable() override;
    void onWritable() override;
    void flush();
    void lose(DisconnectReason);
    void stillUnfinished();
    enum class How { Reset, AtOnce, Lingering };
    void shut(How);
    bool takeLines(std::string_view bytes);

    net::Net& net_;
    Limits limits_;
    LineConnectionHandler& user_;
    State state_;
    std::string in_, out_;
    std::uint64_t said_ = 0, taken_ = 0;
    Micros heardAt_, usedAt_;
    net::Timer late_, more_, unfinished_;
    int unfinishedLooks_ = 0;
    std::unique_ptr<net::Stream> stream_, failed_;
    LingeringCloser* lingering_ = nullptr;
};

}  // namespace valekeel::node
