// Fuzzes the node messages: a parsed line must serialize and parse to the same message, and change events
// must be the same whether the bytes are fed whole or in two parts.
#include <cstdint>
#include <cstdlib>

#include "node/changelog.hpp"
#include "node/message.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::node;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (const auto message = parseMessage(bytes)) {
        const std::string line = formatMessage(*message);
        const auto reparsed = parseMessage(std::string_view(line).substr(0, line.size() - 1));
        if (!reparsed || reparsed->tag != message->tag || reparsed->description != message->description ||
            reparsed->cause != message->cause || reparsed->options != message->options)
            std::abort();
    }
    std::size_t wholeCount = 0, splitCount = 0;
    FrameReader wholeReader(2, 2, 16), splitReader(2, 2, 16);
    const bool wholeParsed =
        wholeReader.feed(bytes, [&](const ChangeEvent& e, bool) { wholeCount += 1 + e.entries.size(); });
    const auto count = [&](const ChangeEvent& e, bool) { splitCount += 1 + e.entries.size(); };
    const bool splitParsed =
        splitReader.feed(bytes.substr(0, size / 2), count) && splitReader.feed(bytes.substr(size / 2), count);
    if (wholeParsed != splitParsed || wholeCount != splitCount) std::abort();
    return 0;
}
