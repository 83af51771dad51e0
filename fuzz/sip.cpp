// Fuzzes SIP parsing of a datagram, a stream in pieces, an SDP offer and the prefilter.
#include <cstdint>
#include <cstdlib>

#include "sip/message.hpp"
#include "sip/prefilter.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::sip;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const ParseResult parsed = parse(text);
    if (parsed.message && parsed.message->request)
        response(*parsed.message, 200, "t", {{"Contact", "<sip:a@b>"}});
    if (parsed.partial) response(*parsed.partial, parsed.status, "t", {});
    if (parsed.partial && parsed.partial->method == "ACK") std::abort();
    if (const auto offer = parseOffer(text))
        writeAnswer(*offer, *valekeel::net::parseEndpoint("127.0.0.1:9"), 1'000, 1, 1);
    // A refusal built from the prefilter must parse, as a response to the same request.
    if (const auto prefiltered = prefilter(text)) {
        const ParseResult reparsed = parse(refusal(*prefiltered, "503 Service Unavailable", "t", "", 1,
                                                   *valekeel::net::parseEndpoint("127.0.0.1:9")));
        if (parsed.message && (!reparsed.message || reparsed.message->callId != parsed.message->callId))
            std::abort();
    }
    Framer framer(2'000);
    for (std::size_t at = 0, step = 1; at < size; at += step, step = step * 2 % 61 + 1) {
        if (!framer.feed(text.substr(at, step))) break;
        while (framer.next()) {
        }
    }
    return 0;
}
