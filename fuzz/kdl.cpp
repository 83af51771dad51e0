// Fuzzes the KDL parser: it must accept or reject any text, and printing a parsed document must be
// idempotent.
#include "settings/kdl.hpp"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::settings;
    try {
        const auto nodes = parseKdl("f", std::string_view(reinterpret_cast<const char*>(data), size));
        const std::string printed = printKdl(nodes);
        if (printKdl(parseKdl("f", printed)) != printed) std::abort();
    } catch (const SettingsError&) {
    }
    return 0;
}
