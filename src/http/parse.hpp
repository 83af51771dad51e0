// HTTP/1.1 out of bytes, by Boost.Beast's parser fed from our own buffers: it has no sockets of its own here.
// Chosen over a C parser since it bounds heads and bodies itself, knows chunked coding and trailers, and
// refuses the smuggling kinds (two lengths, length beside chunked, bare CR) as RFC 9112 wants.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace valekeel::http {

// What a parser tells, in order: one head, pieces of body, one end.
class ParserHandler {
  public:
    virtual ~ParserHandler() = default;
    virtual void onHeadParsed() = 0;
    virtual void onBodyParsed(std::string_view piece) = 0;
    virtual void onEndParsed() = 0;
};

class Parser {
  public:
    enum class Kind { Request, Response };
    Parser(Kind, const HttpLimits&, ParserHandler&);
    ~Parser();

    struct Fed {
        std::size_t used = 0;
        int badStatus = 0;  // 400, 413, 414 or 431: what a request with this error is answered
        std::string why;
    };
    // Takes what it can of these bytes; the rest must come again with more behind it.
    Fed feed(std::string_view bytes);
    // No more bytes will come. False if the message was cut short.
    bool ended();
    void answersHead();  // a response without body (to HEAD)

    bool headDone() const;
    bool done() const;
    bool keepsConnection() const;
    RequestHead& request() { return request_; }
    ResponseHead& response() { return response_; }

  private:
    template <bool isRequest>
    class Core;
    struct Any;
    ParserHandler& user_;
    bool headTold_ = false;
    RequestHead request_;
    ResponseHead response_;
    std::unique_ptr<Any> any_;
};

}  // namespace valekeel::http
