// Fuzzes CMCD (headers, query, JSON), CMSD, structured fields and trace contexts: kept values must serialize
// and parse to themselves.
#include <cstdint>
#include <cstdlib>

#include "hints/cmcd.hpp"
#include "hints/cmsd.hpp"
#include "logging/trace_context.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::hints;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    CmcdReader reader;
    reader.readHeader(size % 4, text);
    reader.readQuery(text);
    reader.readJson(text);
    const Cmcd hints = reader.finish();
    CmcdReader reparsed;
    reparsed.readQuery(writeCmcdQuery(hints));
    if (writeCmcdQuery(reparsed.finish()) != writeCmcdQuery(hints)) std::abort();
    if (const auto list = parseList(text)) {
        const auto serialized = write(*list);
        if (!serialized || parseList(*serialized) != list) std::abort();
    }
    if (const auto dictionary = parseDictionary(text))
        if (!write(*dictionary)) std::abort();
    CmsdEntry entry;
    entry.server = "f";
    if (!parseList(appendEntry(text, entry))) std::abort();
    parseCmsdStatic(text);
    valekeel::logging::parseTraceParent(text);
    return 0;
}
