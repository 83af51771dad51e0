// Fuzzes the HLS parsers: a serialized media playlist must parse again, and a resolved reference be a path.
#include <cstdint>
#include <cstdlib>

#include "hls/playlist.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace valekeel::hls;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto media = parseMediaPlaylist(text); media.playlist)
        if (!parseMediaPlaylist(write(*media.playlist)).playlist) std::abort();
    parseMultivariantPlaylist(text);
    if (const auto path = resolveReference("/a/b/c", text))
        if (path->front() != '/') std::abort();
    return 0;
}
