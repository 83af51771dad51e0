// A text is read or refused; what is read prints to what reads back the same.
#include "settings/kdl.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::settings;
    try {
        const auto nodes = parseKdl("f", std::string_view(reinterpret_cast<const char*>(data), size));
        const std::string once = printKdl(nodes);
        if (printKdl(parseKdl("f", once)) != once) std::abort();
    } catch (const SettingsError&) {
    }
    return 0;
}
