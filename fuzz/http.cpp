// Fuzzes the HTTP parser with the input cut into pieces of varying size, then path and query decoding.
#include <cstdint>

#include "http/parse.hpp"

namespace {
struct IgnoringHandler : valekeel::http::ParserHandler {
    void onHeadParsed() override {}
    void onBodyParsed(std::string_view) override {}
    void onEndParsed() override {}
};
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::http;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {Parser::Kind::Request, Parser::Kind::Response}) {
        IgnoringHandler handler;
        Parser parser(kind, HttpLimits{}, handler);
        std::string buffered;
        std::size_t at = 0, step = 1;
        while (at < text.size() && !parser.isDone()) {
            buffered += text.substr(at, step);
            at += step;
            step = step * 2 % 61 + 1;
            const auto result = parser.feed(buffered);
            buffered.erase(0, result.used);
            if (result.errorStatus) break;
        }
        parser.finish();
        parser.request().path();
        queryValue(parser.request().query(), "CMCD");
    }
    percentDecoded(text);
    return 0;
}
