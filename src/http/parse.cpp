#include "http/parse.hpp"

#include <boost/beast/http/basic_parser.hpp>

namespace valekeel::http {

namespace beast = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using BeastView = boost::beast::string_view;

namespace {

std::string_view toStd(BeastView v) {
    return {v.data(), v.size()};
}

enum class ExceededLimit { None, Fields, Target };

}  // namespace

template <bool isRequest>
class Parser::BeastParser final : public beast::basic_parser<isRequest> {
  public:
    BeastParser(const HttpLimits& limits, RequestHead& request, ResponseHead& response,
                ParserHandler& handler)
        : maxFields_(limits.fields),
          maxTargetBytes_(limits.targetBytes),
          request_(request),
          response_(response),
          handler_(handler) {
        this->header_limit(limits.headBytes);
        if (isRequest)
            this->body_limit(limits.bodyBytes);
        else
            this->body_limit(boost::none);
        this->eager(true);
    }
    ExceededLimit exceeded = ExceededLimit::None;

  private:
    void on_request_impl(beast::verb, BeastView method, BeastView target, int, ErrorCode& ec) override {
        request_.method = toStd(method);
        request_.target = toStd(target);
        if (target.size() > maxTargetBytes_) {
            exceeded = ExceededLimit::Target;
            ec = beast::error::header_limit;
        }
    }
    void on_response_impl(int status, BeastView, int, ErrorCode&) override { response_.status = status; }
    void on_field_impl(beast::field, BeastView name, BeastView value, ErrorCode& ec) override {
        Fields& fields = isRequest ? request_.fields : response_.fields;
        if (fields.all().size() >= maxFields_) {
            exceeded = ExceededLimit::Fields;
            ec = beast::error::header_limit;
            return;
        }
        fields.add(toStd(name), toStd(value));
    }
    void on_header_impl(ErrorCode&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}
    std::size_t on_body_impl(BeastView body, ErrorCode&) override {
        handler_.onBodyParsed(toStd(body));
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, BeastView, ErrorCode&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, ErrorCode&) override {
        handler_.onBodyParsed(toStd(body));
        return body.size();
    }
    void on_finish_impl(ErrorCode&) override { handler_.onEndParsed(); }

    std::size_t maxFields_, maxTargetBytes_;
    RequestHead& request_;
    ResponseHead& response_;
    ParserHandler& handler_;
};

struct Parser::EitherParser {
    std::unique_ptr<BeastParser<true>> request;
    std::unique_ptr<BeastParser<false>> response;
    template <class Visitor>
    auto visit(Visitor&& visitor) {
        return request ? visitor(*request) : visitor(*response);
    }
};

Parser::Parser(Kind kind, const HttpLimits& limits, ParserHandler& handler)
    : handler_(handler), parser_(std::make_unique<EitherParser>()) {
    if (kind == Kind::Request)
        parser_->request = std::make_unique<BeastParser<true>>(limits, request_, response_, handler);
    else
        parser_->response = std::make_unique<BeastParser<false>>(limits, request_, response_, handler);
}
Parser::~Parser() = default;

Parser::FeedResult Parser::feed(std::string_view bytes) {
    FeedResult result;
    parser_->visit([&](auto& parser) {
        while (result.used < bytes.size() && !parser.is_done()) {
            ErrorCode ec;
            const std::size_t used = parser.put(
                boost::asio::const_buffer(bytes.data() + result.used, bytes.size() - result.used), ec);
            result.used += used;
            // The head may arrive alone: its length is recorded before any byte of the body is parsed.
            if (parser.is_header_done() && !headReported_) {
                headReported_ = true;
                if (const auto length = parser.content_length()) response_.length = *length;
                handler_.onHeadParsed();
            }
            if (ec == beast::error::need_more) break;
            if (ec) {
                result.why = ec.message();
                result.errorStatus = parser.exceeded == ExceededLimit::Target ? 414
                                     : ec == beast::error::header_limit       ? 431
                                     : ec == beast::error::body_limit         ? 413
                                                                              : 400;
                break;
            }
            if (used == 0) break;
        }
    });
    return result;
}

bool Parser::finish() {
    return parser_->visit([](auto& parser) {
        if (parser.is_done()) return true;
        if (!parser.got_some()) return false;
        ErrorCode ec;
        parser.put_eof(ec);
        return !ec && parser.is_done();
    });
}

void Parser::expectNoBody() {
    if (parser_->response) parser_->response->skip(true);
}
bool Parser::isHeadDone() const {
    return parser_->visit([](auto& parser) { return parser.is_header_done(); });
}
bool Parser::isDone() const {
    return parser_->visit([](auto& parser) { return parser.is_done(); });
}
bool Parser::keepsConnection() const {
    return parser_->visit([](auto& parser) { return parser.keep_alive(); });
}

}  // namespace valekeel::http
