// The serving side of HTTP/1.1: connections, requests one after the other (pipelined ones wait their turn),
// answers with back-pressure. It knows nothing of what is asked for.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "net/net.hpp"

namespace valekeel::http {

// Who answers a request hears of its connection, until the answer is finished.
class ExchangeHandler {
  public:
    virtual ~ExchangeHandler() = default;
    virtual void onDrained() {}           // less than half of the out buffer is filled again
    virtual void onConnectionLost() = 0;  // the connection is lost; the exchange must not be touched any more
};

// One request that is owed an answer.
class Exchange {
  public:
    virtual ~Exchange() = default;
    virtual const RequestHead& head() const = 0;
    virtual const std::string& body() const = 0;
    virtual net::Endpoint peer() const = 0;
    virtual void setHandler(ExchangeHandler*) = 0;
    // A whole answer; the exchange is over with it.
    virtual void respond(int status, const Fields&, std::string_view body) = 0;
    // An answer in pieces, of a length that is known.
    virtual void begin(int status, const Fields&, std::uint64_t length) = 0;
    // An answer without a known end, in chunks (RFC 9112, section 7.1).
    virtual void beginChunked(int status, const Fields&) = 0;
    virtual void send(std::string_view) = 0;
    virtual void finish() = 0;
    virtual std::size_t unsent() const = 0;
    // An answer that can't be finished: the peer must see that it was cut short.
    virtual void abort() = 0;
};

class Handler {
  public:
    virtual ~Handler() = default;
    // Answered now or later, exactly once.
    virtual void onRequest(Exchange&) = 0;
    // A connection came; false turns it away. `open` counts it.
    virtual bool acceptsConnection(const net::Endpoint&) { return true; }
    virtual void onConnectionClosed(const net::Endpoint&) {}
    // A request that could not be read was answered by `status`.
    virtual void onMalformedRequest(const net::Endpoint&, int /*status*/, const std::string& /*why*/) {}
};

class Server : net::ListenerHandler {
  public:
    // Throws std::runtime_error if it can't listen there.
    Server(net::Net&, const net::Endpoint&, const HttpLimits&, Handler&);
    ~Server() override;
    net::Endpoint endpoint() const { return at_; }
    std::size_t connections() const { return open_.size(); }
    void stopListening() { listener_.reset(); }
    // No new requests; connections close as their answers are done. `idle` is called when none is left.
    void shutDown(std::function<void()> idle);
    void resetAll();  // every connection ends at once with a reset
    void listenAgain();

  private:
    class Conn;
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void drop(Conn&);
    net::Net& net_;
    HttpLimits limits_;
    Handler& handler_;
    net::Endpoint at_;
    std::unique_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::unique_ptr<Conn>> open_;
    std::vector<std::unique_ptr<Conn>> dead_;
    net::Timer bury_;
    std::uint64_t next_ = 0;
    bool finishing_ = false;
    std::function<void()> idle_;
};

}  // namespace valekeel::http
