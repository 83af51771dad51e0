#include <cstdint>
#include <cstdlib>

#include "node/changelog.hpp"
#include "node/message.hpp"

// A line that is read, written and read again is the same; frames cut in two are the same as whole.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::node;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (const auto message = parseMessage(bytes)) {
        const std::string line = formatMessage(*message);
        const auto again = parseMessage(std::string_view(line).substr(0, line.size() - 1));
        if (!again || again->tag != message->tag || again->description != message->description ||
            again->cause != message->cause || again->options != message->options)
            std::abort();
    }
    std::size_t whole = 0, cut = 0;
    FrameReader one(2, 2, 16), two(2, 2, 16);
    const bool readable = one.feed(bytes, [&](const ChangeEvent& e, bool) { whole += 1 + e.entries.size(); });
    const auto count = [&](const ChangeEvent& e, bool) { cut += 1 + e.entries.size(); };
    const bool both = two.feed(bytes.substr(0, size / 2), count) && two.feed(bytes.substr(size / 2), count);
    if (readable != both || whole != cut) std::abort();
    return 0;
}
