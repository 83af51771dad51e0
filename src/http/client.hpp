// An HTTP/1.1 client connection: one request in flight at a time, responses streamed with back-pressure. Does
// not pool connections: callers choose which to use and whether to keep it.
#pragma once

#include <memory>
#include <string>

#include "http/message.hpp"
#include "http/parse.hpp"
#include "net/net.hpp"

namespace valekeel::http {

// How far a fetch had got when it failed. Callers decide what each case implies about the server.
enum class FetchError {
    Refused,       // connection refused
    NoConnection,  // no route, no descriptor, or connect timeout
    NeverWritten,  // connected, but broken before any byte of the request was written
    BrokenOut,     // broken after bytes of the request were written, before any byte of the response
    BrokenAnswer,  // the response was cut short
    BadAnswer,     // the response was not HTTP, or over a limit
};

// Callbacks of one fetch: a head, any number of body pieces, then onFetched(); or onFailed() at any point.
// Any of them may delete the connection; onFetched(true) may also start the next fetch.
class FetchHandler {
  public:
    virtual ~FetchHandler() = default;
    virtual void onHead(const ResponseHead&) = 0;
    virtual void onBody(std::string_view) = 0;
    virtual void onFetched(bool kept) = 0;  // `kept`: the connection can be used for another fetch
    virtual void onFailed(FetchError) = 0;
};

// A client connection to one server. Handlers must outlive their fetch or call abandon().
class Connection final : net::StreamHandler, ParserHandler {
  public:
    // Starts to connect. The first fetch may be started before the connection is established.
    Connection(net::Net&, const net::Endpoint&, const HttpLimits&, Micros connectTimeout);
    ~Connection() override;

    // Sends `request`, the serialized head and body. `headOnly`: the response has no body (to HEAD). Must not
    // be called while another fetch is in flight.
    void fetch(std::string request, bool headOnly, FetchHandler&);
    // Cancels the fetch: the stream is reset and the handler is not called again.
    void abandon();
    void pause();  // stops reading, so that the peer has to wait
    void resume();
    bool isIdle() const { return !handler_ && stream_ && !ended_; }
    bool isReused() const { return fetches_ > 1; }   // the current or last fetch was not the first
    Micros idleSince() const { return idleSince_; }  // the end of the last fetch, or the creation
    bool hasWritten() const { return wroteAny_; }    // whether any byte of the current request was written
    bool isClosed() const { return ended_ || !stream_; }
    // Whether the server sent bytes while no fetch was in flight, for example a second response.
    bool receivedUnsolicitedBytes() const { return receivedUnsolicited_; }

  private:
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override;
    void onReadable() override;
    void onWritable() override;
    void onHeadParsed() override {}
    void onBodyParsed(std::string_view piece) override { body_ += piece; }
    void onEndParsed() override {}
    void flush();
    void readResponse();
    bool report();  // calls onHead() and onBody() for what was parsed; false if this object was deleted
    void complete(bool kept);
    void fail(FetchError);

    net::Net& net_;
    HttpLimits limits_;
    std::unique_ptr<net::Stream> stream_;
    net::Timer connecting_;
    std::unique_ptr<Parser> parser_;
    std::string out_, in_, body_;
    FetchHandler* handler_ = nullptr;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    int fetches_ = 0;
    Micros idleSince_ = 0;
    bool connected_ = false, wroteAny_ = false, gotAny_ = false, mayRead_ = false, paused_ = false;
    bool headReported_ = false, ended_ = false, reading_ = false, receivedUnsolicited_ = false;
};

// Serializes a request. CR, LF and NUL in field values are replaced by spaces, and control characters and
// spaces in the target by "_", so that a caller's text can't inject a line.
std::string requestBytes(std::string_view method, std::string_view target, const net::Endpoint& host,
                         const Fields&, std::string_view body = {});

}  // namespace valekeel::http
