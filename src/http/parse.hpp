// An incremental HTTP/1.1 parser for requests and responses, on Boost.Beast's parser but without its sockets.
// Beast was chosen over a C parser because it limits heads and bodies itself, handles chunked coding and
// trailers, and rejects request smuggling (two lengths, a length beside chunked, bare CR) as RFC 9112
// requires.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace valekeel::http {

// Parser callbacks, in this order: one head, any number of body pieces, one end. Called from within
// Parser::feed(), and onEndParsed() also from Parser::finish(). They must not delete the parser.
class ParserHandler {
  public:
    virtual ~ParserHandler() = default;
    virtual void onHeadParsed() = 0;
    virtual void onBodyParsed(std::string_view piece) = 0;
    virtual void onEndParsed() = 0;
};

// Parses one message. The handler must outlive the parser.
class Parser {
  public:
    enum class Kind { Request, Response };
    Parser(Kind, const HttpLimits&, ParserHandler&);
    ~Parser();

    struct FeedResult {
        std::size_t used = 0;  // bytes that were parsed
        int errorStatus = 0;   // 0, or the status to answer an invalid request with: 400, 413, 414 or 431
        std::string why;       // the error as text
    };
    // Parses as much of `bytes` as possible. The caller feeds the rest again, with more bytes appended.
    FeedResult feed(std::string_view bytes);
    // Tells the parser that no more bytes will arrive. Returns false if the message was cut short.
    bool finish();
    void expectNoBody();  // for the response to a HEAD request

    bool isHeadDone() const;
    bool isDone() const;
    bool keepsConnection() const;  // whether another message may follow on the connection
    RequestHead& request() { return request_; }
    ResponseHead& response() { return response_; }

  private:
    template <bool isRequest>
    class BeastParser;
    struct EitherParser;
    ParserHandler& handler_;
    bool headReported_ = false;
    RequestHead request_;
    ResponseHead response_;
    std::unique_ptr<EitherParser> parser_;
};

}  // namespace valekeel::http
