#include <cstdint>
#include <cstdlib>

#include "discovery/server_list.hpp"
#include "discovery/sse_reader.hpp"
#include "settings/kdl.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::discovery;
    const std::string text(reinterpret_cast<const char*>(data), size);
    std::size_t events = 0;
    EventReader reader(200, [&](const Event& e) { events += e.data.size(); });
    reader.feed(text);
    try {
        const BoxList list = parseList("f", text, {"k"}, {});
        if (parseList("f", writeList(list, {"k"}), {"k"}, {}).boxes.size() != list.boxes.size()) std::abort();
    } catch (const valekeel::settings::Wrong&) {
    }
    return 0;
}
