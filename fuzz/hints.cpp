// CMCD by each of its ways, CMSD, structured fields and trace contexts. What was kept can be carried on.
#include <cstdint>
#include <cstdlib>

#include "hints/cmcd.hpp"
#include "hints/cmsd.hpp"
#include "logging/trace_context.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::hints;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    CmcdReader all;
    all.header(size % 4, text);
    all.query(text);
    all.json(text);
    const Cmcd got = all.finish();
    CmcdReader back;
    back.query(writeCmcdQuery(got));
    if (writeCmcdQuery(back.finish()) != writeCmcdQuery(got)) std::abort();
    if (const auto list = parseList(text)) {
        const auto once = write(*list);
        if (!once || parseList(*once) != list) std::abort();
    }
    if (const auto dictionary = parseDictionary(text))
        if (!write(*dictionary)) std::abort();
    CmsdEntry entry;
    entry.by = "f";
    if (!parseList(appendEntry(text, entry))) std::abort();
    parseCmsdStatic(text);
    valekeel::logging::parseTraceParent(text);
    return 0;
}
