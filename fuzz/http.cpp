// The entry of the wire, in pieces of changing size; and paths and queries.
#include <cstdint>

#include "http/parse.hpp"

namespace {
struct Nobody : valekeel::http::ParserHandler {
    void onHeadParsed() override {}
    void onBodyParsed(std::string_view) override {}
    void onEndParsed() override {}
};
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::http;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {Parser::Kind::Request, Parser::Kind::Response}) {
        Nobody nobody;
        Parser parser(kind, HttpLimits{}, nobody);
        std::string waiting;
        std::size_t at = 0, step = 1;
        while (at < text.size() && !parser.done()) {
            waiting += text.substr(at, step);
            at += step;
            step = step * 2 % 61 + 1;
            const auto fed = parser.feed(waiting);
            waiting.erase(0, fed.used);
            if (fed.badStatus) break;
        }
        parser.ended();
        parser.request().path();
        queryValue(parser.request().query(), "CMCD");
    }
    percentDecoded(text);
    return 0;
}
