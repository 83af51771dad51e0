#include <cstdint>
#include <cstdlib>

#include "hls/playlist.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::hls;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto media = readMedia(text); media.got)
        if (!readMedia(write(*media.got)).got) std::abort();
    readMultivariant(text);
    if (const auto path = resolved("/a/b/c", text))
        if (path->front() != '/') std::abort();
    return 0;
}
