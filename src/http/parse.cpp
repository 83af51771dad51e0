#include "http/parse.hpp"

#include <boost/beast/http/basic_parser.hpp>

namespace valekeel::http {

namespace beast = boost::beast::http;
using Code = boost::beast::error_code;
using View = boost::beast::string_view;

namespace {

std::string_view plain(View v) {
    return {v.data(), v.size()};
}

enum class Over { None, Fields, Target };

}  // namespace

template <bool isRequest>
class Parser::Core final : public beast::basic_parser<isRequest> {
  public:
    Core(const HttpLimits& limits, RequestHead& request, ResponseHead& response, ParserHandler& user)
        : fieldsAtMost_(limits.fields),
          targetAtMost_(limits.targetBytes),
          request_(request),
          response_(response),
          user_(user) {
        this->header_limit(limits.headBytes);
        if (isRequest)
            this->body_limit(limits.bodyBytes);
        else
            this->body_limit(boost::none);
        this->eager(true);
    }
    Over over = Over::None;

  private:
    void on_request_impl(beast::verb, View method, View target, int, Code& ec) override {
        request_.method = plain(method);
        request_.target = plain(target);
        if (target.size() > targetAtMost_) {
            over = Over::Target;
            ec = beast::error::header_limit;
        }
    }
    void on_response_impl(int status, View, int, Code&) override { response_.status = status; }
    void on_field_impl(beast::field, View name, View value, Code& ec) override {
        Fields& fields = isRequest ? request_.fields : response_.fields;
        if (fields.all().size() >= fieldsAtMost_) {
            over = Over::Fields;
            ec = beast::error::header_limit;
            return;
        }
        fields.add(plain(name), plain(value));
    }
    void on_header_impl(Code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, Code&) override {}
    std::size_t on_body_impl(View body, Code&) override {
        user_.onBodyParsed(plain(body));
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, View, Code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, View body, Code&) override {
        user_.onBodyParsed(plain(body));
        return body.size();
    }
    void on_finish_impl(Code&) override { user_.onEndParsed(); }

    std::size_t fieldsAtMost_, targetAtMost_;
    RequestHead& request_;
    ResponseHead& response_;
    ParserHandler& user_;
};

struct Parser::Any {
    std::unique_ptr<Core<true>> request;
    std::unique_ptr<Core<false>> response;
    template <class Do>
    auto with(Do&& what) {
        return request ? what(*request) : what(*response);
    }
};

Parser::Parser(Kind kind, const HttpLimits& limits, ParserHandler& user)
    : user_(user), any_(std::make_unique<Any>()) {
    if (kind == Kind::Request)
        any_->request = std::make_unique<Core<true>>(limits, request_, response_, user);
    else
        any_->response = std::make_unique<Core<false>>(limits, request_, response_, user);
}
Parser::~Parser() = default;

Parser::Fed Parser::feed(std::string_view bytes) {
    Fed fed;
    any_->with([&](auto& core) {
        while (fed.used < bytes.size() && !core.is_done()) {
            Code ec;
            const std::size_t used =
                core.put(boost::asio::const_buffer(bytes.data() + fed.used, bytes.size() - fed.used), ec);
            fed.used += used;
            // A head may come alone: its length must be known before the first byte of the body is.
            if (core.is_header_done() && !headTold_) {
                headTold_ = true;
                if (const auto length = core.content_length()) response_.length = *length;
                user_.onHeadParsed();
            }
            if (ec == beast::error::need_more) break;
            if (ec) {
                fed.why = ec.message();
                fed.badStatus = core.over == Over::Target          ? 414
                                : ec == beast::error::header_limit ? 431
                                : ec == beast::error::body_limit   ? 413
                                                                   : 400;
                break;
            }
            if (used == 0) break;
        }
    });
    return fed;
}

bool Parser::ended() {
    return any_->with([](auto& core) {
        if (core.is_done()) return true;
        if (!core.got_some()) return false;
        Code ec;
        core.put_eof(ec);
        return !ec && core.is_done();
    });
}

void Parser::answersHead() {
    if (any_->response) any_->response->skip(true);
}
bool Parser::headDone() const {
    return any_->with([](auto& core) { return core.is_header_done(); });
}
bool Parser::done() const {
    return any_->with([](auto& core) { return core.is_done(); });
}
bool Parser::keepsConnection() const {
    return any_->with([](auto& core) { return core.keep_alive(); });
}

}  // namespace valekeel::http
