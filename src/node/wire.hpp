// One TCP connection that carries lines. Reads in portions, so that one that never stops talking keeps nobody
// else waiting; holds at most one unfinished line and `most` unsent bytes.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/net.hpp"

namespace valekeel::node {

enum class Gone {
    Refused,    // nobody listens
    NoConnect,  // no connection in time, or no route
    NoSocket,   // this front had no descriptor left
    Closed,     // by the other side, in order
    Broken,     // reset
    Garbled,    // a line that is too long, or was never finished
    Slow,       // it doesn't read what it is sent
};
const char* nameOf(Gone);

class WireUser {
  public:
    virtual ~WireUser() = default;
    virtual void opened() {}
    // May close the wire, but not delete it before it has returned.
    virtual void line(std::string_view) = 0;
    virtual void gone(Gone) = 0;  // once, and not after close()
};

class Wire final : private net::StreamUser {
  public:
    struct Limits {
        std::size_t line, unsent;
        Micros unfinished;  // how long a line may stay unfinished
    };
    Wire(net::Net&, std::unique_ptr<net::Stream>, const Limits&, WireUser&);                // accepted
    Wire(net::Net&, const net::Endpoint&, Micros connectWithin, const Limits&, WireUser&);  // connects
    ~Wire() override;

    // Gives the place in the stream at which it begins; what is said after close() is lost.
    std::uint64_t say(std::string_view line);
    void readNow() { readable(); }  // what lies there already, without waiting for the next turn
    std::uint64_t taken() const { return taken_; }  // bytes that the kernel has taken
    bool isOpen() const { return state_ == State::Open; }
    bool isClosed() const { return state_ == State::Closed; }
    // What is unsent goes out if it goes at once. `hard`: the other side sees a reset.
    void close(bool hard = false);
    Micros heardAt() const { return heardAt_; }
    Micros usedAt() const { return usedAt_; }

  private:
    enum class State { Connecting, Open, Closed };
    Wire(net::Net&, State, const Limits&, WireUser&);
    void connected() override;
    void connectFailed(net::NoStream) override;
    void readable() override;
    void writable() override;
    void flush();
    void lose(Gone);
    bool takeLines(std::string_view bytes);

    net::Net& net_;
    Limits limits_;
    WireUser& user_;
    State state_;
    std::string in_, out_;
    std::uint64_t said_ = 0, taken_ = 0;
    Micros heardAt_, usedAt_;
    net::Timer late_, more_, unfinished_;
    std::unique_ptr<net::Stream> stream_, failed_;
};

}  // namespace valekeel::node
