// The list of media servers as text, in KDL:
//     version 17
//     box 3 at="127.0.0.1:9003" standing="on" cell=2 kind="c2-s10" size=1.0 launched="2026-12-01T09:00:00Z"
// `zone` names one of the settings' zones, the first if it is left out. `launched` may also be microseconds
// since 1970. The same form serves the watched file, the stream's events and the copy kept on disk.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/types.hpp"
#include "net/address.hpp"

namespace valekeel::discovery {

struct ServerListEntry {
    SfuEntry sfu;            // `launched` on the wall clock
    net::Endpoint endpoint;  // of no use where it is off
};

struct ServerList {
    std::int64_t version = 0;
    std::vector<ServerListEntry> servers;
};

// The names that the settings give: lines of the list use them, in the order in which the settings have them.
struct ListNames {
    ListNames(std::vector<std::string> kinds, std::vector<std::string> zones = {})
        : kinds(std::move(kinds)), zones(std::move(zones)) {}
    ListNames(std::initializer_list<std::string> kinds) : kinds(kinds) {}
    std::vector<std::string> kinds, zones;  // of machines; of the site, none where it has one only
};

struct ServerListLimits {
    std::size_t boxes = 4'096;
    std::size_t bytes = 1'000'000;
};

// Throws settings::Wrong.
ServerList parseServerList(const std::string& file, const std::string& text, const ListNames&,
                           const ServerListLimits&);
std::string formatServerList(const ServerList&, const ListNames&);

}  // namespace valekeel::discovery
