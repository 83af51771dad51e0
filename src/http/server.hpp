// An HTTP/1.1 server: connections, requests one after the other (pipelined ones are queued), responses with
// back-pressure. It does not interpret the requests; a Handler answers them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "net/buffer_budget.hpp"
#include "net/net.hpp"
#include "net/turn_queue.hpp"

namespace valekeel::http {

// Callbacks about the connection of an Exchange, until its response is finished.
class ExchangeHandler {
  public:
    virtual ~ExchangeHandler() = default;
    virtual void onDrained() {}           // the unsent bytes fell below half of HttpLimits::outBytes
    virtual void onConnectionLost() = 0;  // the exchange must not be used any more
};

// One request and its response. Owned by the server; valid until the response is finished or aborted, or
// until ExchangeHandler::onConnectionLost().
class Exchange {
  public:
    virtual ~Exchange() = default;
    virtual const RequestHead& head() const = 0;
    virtual const std::string& body() const = 0;
    virtual net::Endpoint peer() const = 0;
    virtual void setHandler(ExchangeHandler*) = 0;  // not owned; null for none
    // Sends a whole response, which ends the exchange.
    virtual void respond(int status, const Fields&, std::string_view body) = 0;
    // Begins a response of known length, to be continued by send() and ended by finish().
    virtual void begin(int status, const Fields&, std::uint64_t length) = 0;
    // Begins a response of unknown length, in chunks (RFC 9112, section 7.1).
    virtual void beginChunked(int status, const Fields&) = 0;
    virtual void send(std::string_view) = 0;
    virtual void finish() = 0;
    virtual std::size_t unsent() const = 0;  // bytes
    // Resets the connection, so that the peer sees that the response was cut short.
    virtual void abort() = 0;
};

// Callbacks of a Server.
class Handler {
  public:
    virtual ~Handler() = default;
    // Must answer the exchange exactly once, at once or later.
    virtual void onRequest(Exchange&) = 0;
    // Called for a new connection that is within the limits; returning false resets it.
    virtual bool acceptsConnection(const net::Endpoint&) { return true; }
    virtual void onConnectionClosed(const net::Endpoint&) {}  // only of connections that were accepted
    // Called when a request could not be parsed, or was over a limit, and is answered with `status`.
    virtual void onMalformedRequest(const net::Endpoint&, int /*status*/, const std::string& /*why*/) {}
};

// Accepts connections and owns them. The handler must outlive the server.
class Server : net::ListenerHandler {
  public:
    // Throws std::runtime_error if it can't listen on the endpoint.
    Server(net::Net&, const net::Endpoint&, const HttpLimits&, Handler&);
    ~Server() override;
    net::Endpoint endpoint() const { return endpoint_; }
    std::size_t connections() const { return open_.size(); }
    void stopListening() { listener_.reset(); }
    // Stops listening and closes each connection when its current response is sent. Calls `onIdle` when none
    // is left, possibly from within this call.
    void shutDown(std::function<void()> onIdle);
    void resetAll();  // resets every connection
    void listenAgain();

  private:
    class ServerConnection;
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void drop(ServerConnection&);
    net::Net& net_;
    HttpLimits limits_;
    Handler& handler_;
    net::Endpoint endpoint_;
    net::TurnQueue turns_;  // of connections with more input than one turn handles
    net::BufferBudget buffers_;
    std::unique_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::unique_ptr<ServerConnection>> open_;
    std::vector<std::unique_ptr<ServerConnection>> closed_;  // deleted by deletion_: they may be on the stack
    net::Timer deletion_;
    std::uint64_t nextKey_ = 0;
    bool shuttingDown_ = false;
    std::function<void()> onIdle_;
};

}  // namespace valekeel::http
