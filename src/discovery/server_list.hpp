// The list of media servers and its text form, in KDL:
//     version 17
//     box 3 at="127.0.0.1:9003" standing="on" cell=2 kind="c2-s10" size=1.0 launched="2026-12-01T09:00:00Z"
// `kind` and `zone` name a machine kind and a zone of the settings, the first one if left out. The launch
// time may also be given as `launched-us`, in microseconds since 1970. The watched file, the events of the
// stream and the copy saved on disk all have this form.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "model/types.hpp"
#include "net/address.hpp"

namespace valekeel::discovery {

struct ServerListEntry {
    SfuEntry sfu;            // `launched` in microseconds since 1970
    net::Endpoint endpoint;  // may be unset for a server that is off
};

struct ServerList {
    std::int64_t version = 0;  // higher for a newer list; 0: none given
    std::vector<ServerListEntry> servers;
};

// The names that entries of the list may use, in the order of the settings: a name stands for its index.
struct ListNames {
    ListNames(std::vector<std::string> kinds, std::vector<std::string> zones = {})
        : kinds(std::move(kinds)), zones(std::move(zones)) {}
    ListNames(std::initializer_list<std::string> kinds) : kinds(kinds) {}
    std::vector<std::string> kinds;  // of machines
    std::vector<std::string> zones;  // of the site; empty if it has a single one
};

struct ServerListLimits {
    std::size_t boxes = 4'096;      // entries
    std::size_t bytes = 1'000'000;  // of the text
};

// Parses a complete list, or the changed entries of one. `file` names the source in errors. Throws
// settings::SettingsError if the text is malformed, inconsistent or over a limit.
ServerList parseServerList(const std::string& file, const std::string& text, const ListNames&,
                           const ServerListLimits&);
// Returns the listed servers, as off, that a change does not name but whose address it gives to others: an
// address belongs to the process that was told last, even if the end of the earlier one is told later or
// never.
std::vector<ServerListEntry> replacedServers(std::span<const ServerListEntry> listed,
                                             std::span<const ServerListEntry> changed);
std::string formatServerList(const ServerList&, const ListNames&);

}  // namespace valekeel::discovery
