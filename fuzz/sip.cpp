// The wire entry of SIP: a datagram, a stream in pieces, an offer. What can be answered is answered readably.
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
    // What is refused at a glance must be an answer that the whole reader takes, to the same request.
    if (const auto g = prefilter(text)) {
        const ParseResult back = parse(
            refusal(*g, "503 Service Unavailable", "t", "", 1, *valekeel::net::parseEndpoint("127.0.0.1:9")));
        if (parsed.message && (!back.message || back.message->callId != parsed.message->callId)) std::abort();
    }
    Framer framer(2'000);
    for (std::size_t at = 0, step = 1; at < size; at += step, step = step * 2 % 61 + 1) {
        if (!framer.feed(text.substr(at, step))) break;
        while (framer.next()) {
        }
    }
    return 0;
}
