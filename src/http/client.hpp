// The asking side of HTTP/1.1: one connection, one request out at a time, answers streamed with
// back-pressure. Which connection to use, and whether to keep it, is for others to say.
#pragma once

#include <memory>
#include <string>

#include "http/message.hpp"
#include "http/parse.hpp"
#include "net/net.hpp"

namespace valekeel::http {

// How far a fetch had come when it failed: what that proves is for the caller's own table to say.
enum class FetchError {
    Refused,       // nobody listens there
    NoConnection,  // no route, no descriptor, or not connected in time
    NeverWritten,  // connected, and broken before a byte of the request was handed to the kernel
    BrokenOut,     // broken after bytes went out, before any of the answer
    BrokenAnswer,  // the answer was cut short
    BadAnswer,     // the answer was no HTTP, or over a limit
};

class FetchHandler {
  public:
    virtual ~FetchHandler() = default;
    virtual void onHead(const ResponseHead&) = 0;
    virtual void onBody(std::string_view) = 0;
    // The connection may be used again where `kept`. It may be deleted within either of these.
    virtual void onFetched(bool kept) = 0;
    virtual void onFailed(FetchError) = 0;
};

class Connection final : net::StreamHandler, ParserHandler {
  public:
    // Connects at once; the first request may be handed over before it stands.
    Connection(net::Net&, const net::Endpoint&, const HttpLimits&, Micros connectWithin);
    ~Connection() override;

    // `head` is the request as it goes out, body included. Not while another is out.
    void fetch(std::string head, bool headOnly, FetchHandler&);
    // Whoever asked wants to hear no more: the stream is closed, and its user is not called again.
    void abandon();
    void pause();  // no more pieces are wanted now: the peer is made to wait
    void resume();
    bool isIdle() const { return !user_ && stream_ && !ended_; }
    bool isReused() const { return fetches_ > 1; }  // the request out now is not its first
    Micros idleSince() const { return idleSince_; }
    bool hasWritten() const { return wroteAny_; }
    // The peer closed it while nothing was out.
    bool isClosed() const { return ended_ || !stream_; }
    // It sent bytes that nobody had asked for: a second answer, say.
    bool receivedUnsolicitedBytes() const { return unasked_; }

  private:
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override;
    void onReadable() override;
    void onWritable() override;
    void onHeadParsed() override {}
    void onBodyParsed(std::string_view piece) override { pieces_ += piece; }
    void onEndParsed() override {}
    void flush();
    void work();
    bool tell();  // false once this object is gone
    void finished(bool kept);
    void fail(FetchError);

    net::Net& net_;
    HttpLimits limits_;
    std::unique_ptr<net::Stream> stream_;
    net::Timer connecting_;
    std::unique_ptr<Parser> parser_;
    std::string out_, in_, pieces_;
    FetchHandler* user_ = nullptr;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    int fetches_ = 0;
    Micros idleSince_ = 0;
    bool connected_ = false, wroteAny_ = false, gotAny_ = false, mayRead_ = false, paused_ = false;
    bool headTold_ = false, ended_ = false, working_ = false, unasked_ = false;
};

// A request as bytes. Control characters in values are replaced by spaces, so nothing of a caller's can
// end a line.
std::string requestBytes(std::string_view method, std::string_view target, const net::Endpoint& host,
                         const Fields&, std::string_view body = {});

}  // namespace valekeel::http
