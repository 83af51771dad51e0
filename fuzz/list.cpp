// Fuzzes the server list parsers: the SSE reader, and the list file, which must keep its entries when
// formatted.
#include <cstdint>
#include <cstdlib>

#include "discovery/server_list.hpp"
#include "discovery/sse_reader.hpp"
#include "settings/kdl.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::discovery;
    const std::string text(reinterpret_cast<const char*>(data), size);
    std::size_t events = 0;
    SseReader reader(200, [&](const SseEvent& e) { events += e.data.size(); });
    reader.feed(text);
    try {
        const ServerList list = parseServerList("f", text, {"k"}, {});
        if (parseServerList("f", formatServerList(list, {"k"}), {"k"}, {}).servers.size() !=
            list.servers.size())
            std::abort();
    } catch (const valekeel::settings::SettingsError&) {
    }
    return 0;
}
