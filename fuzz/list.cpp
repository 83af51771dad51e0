#include "list/list.hpp"

#include <cstdint>
#include <cstdlib>

#include "list/events.hpp"
#include "settings/kdl.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::list;
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
