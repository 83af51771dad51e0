#include "discovery/server_list.hpp"

#include <algorithm>
#include <set>

#include "settings/document.hpp"

namespace valekeel::discovery {
namespace {

// Returns the days since 1970-01-01 of a date in the proleptic Gregorian calendar.
std::int64_t daysSinceEpoch(std::int64_t y, int m, int d) {
    y -= m <= 2;
    const std::int64_t era = (y >= 0 ? y : y - 399) / 400;
    const std::int64_t yoe = y - era * 400;
    const std::int64_t doy = (153 * (m + (m > 2 ? -3 : 9)) + 2) / 5 + d - 1;
    return era * 146097 + yoe * 365 + yoe / 4 - yoe / 100 + doy - 719468;
}

// Parses a time of RFC 3339 in UTC, to the microsecond. Returns microseconds since 1970.
std::optional<Micros> parseUtcTime(const std::string& text) {
    int y, mo, d, h, mi, s, used = 0;
    if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d%n", &y, &mo, &d, &h, &mi, &s, &used) != 6 ||
        used < 16)
        return std::nullopt;
    if (mo < 1 || mo > 12 || d < 1 || d > 31 || h > 23 || mi > 59 || s > 60 || h < 0 || mi < 0 || s < 0)
        return std::nullopt;
    std::size_t i = static_cast<std::size_t>(used);
    Micros fraction = 0, digitUnit = 100'000;
    if (i < text.size() && text[i] == '.')
        for (++i; i < text.size() && text[i] >= '0' && text[i] <= '9'; ++i, digitUnit /= 10)
            fraction += digitUnit * (text[i] - '0');
    if (text.substr(i) != "Z") return std::nullopt;
    return ((daysSinceEpoch(y, mo, d) * 24 + h) * 60 + mi) * 60 * kSecond + s * kSecond + fraction;
}

}  // namespace

ServerList parseServerList(const std::string& file, const std::string& text, const ListNames& names,
                           const ServerListLimits& limits) {
    const settings::Document document = settings::Document::fromText(file, text);
    if (text.size() > limits.bytes)
        document.fail({}, "the list is longer than " + std::to_string(limits.bytes) + " bytes");
    settings::NodeReader top(document);
    ServerList out;
    if (auto version = top.optionalChild("version")) {
        const auto number = version->numbers("the version", 0, 9e15);
        out.version = static_cast<std::int64_t>(number.front());
        version->rejectUnread();
    }
    std::set<std::uint32_t> seenIds;
    // The first name is the default.
    const auto indexOfName = [](settings::NodeReader& box, const char* property,
                                const std::vector<std::string>& known, const char* title) {
        return box.indexOf(property, known, known.empty() ? "" : known.front(), title, "in the settings");
    };
    for (settings::NodeReader& box : top.childrenNamed("box")) {
        if (out.servers.size() >= limits.boxes)
            box.fail("the list has more than " + std::to_string(limits.boxes) + " boxes");
        ServerListEntry entry;
        const auto id = box.numbers("a box's number", 0, 4294967295.0);
        if (id.size() != 1 || id[0] != static_cast<double>(static_cast<std::uint32_t>(id[0])))
            box.fail("'box' must be followed by one integer");
        entry.sfu.id = SfuId{static_cast<std::uint32_t>(id[0])};
        if (!seenIds.insert(entry.sfu.id.v).second)
            box.fail("box " + std::to_string(entry.sfu.id.v) + " is listed twice");
        const std::string standing = box.choice("standing", {"on", "fading", "off"}, "on");
        entry.sfu.state = standing == "on"       ? ServerState::On
                          : standing == "fading" ? ServerState::Draining
                                                 : ServerState::Off;
        if (entry.sfu.state != ServerState::Off || box.has("at")) entry.endpoint = box.address("at");
        entry.sfu.cell = Cell{static_cast<std::uint32_t>(box.integer("cell", 0, 1'000'000, 0))};
        entry.sfu.size = box.number("size", 0.001, 1'000'000, 1);
        if (!names.kinds.empty())
            entry.sfu.kind = MachineKindId{indexOfName(box, "kind", names.kinds, "a kind of machine")};
        entry.sfu.zone = ZoneId{indexOfName(box, "zone", names.zones, "a zone")};
        if (box.has("launched")) {
            const std::string launched = box.text("launched", "");
            const auto time = parseUtcTime(launched);
            if (!time)
                box.failProperty("launched", "expected a time in UTC, such as \"2026-12-01T09:00:00Z\"");
            entry.sfu.launched = *time;
        }
        if (box.has("launched-us")) entry.sfu.launched = box.integer("launched-us", 0, 4'000'000'000'000'000);
        box.rejectUnread();
        out.servers.push_back(entry);
    }
    top.rejectUnread();
    return out;
}

std::string formatServerList(const ServerList& list, const ListNames& names) {
    std::vector<settings::Node> nodes;
    const auto number = [](std::int64_t v) {
        return settings::Value{
            std::nullopt, settings::Number{std::to_string(v), static_cast<double>(v), v}, {}};
    };
    const auto text = [](std::string v) { return settings::Value{std::nullopt, std::move(v), {}}; };
    settings::Node version;
    version.name = "version";
    version.arguments.push_back(number(list.version));
    nodes.push_back(version);
    for (const ServerListEntry& entry : list.servers) {
        settings::Node box;
        box.name = "box";
        box.arguments.push_back(number(entry.sfu.id.v));
        const auto put = [&](const char* name, settings::Value v) {
            box.properties.emplace_back(name, std::move(v));
        };
        if (entry.endpoint.port != 0) put("at", text(net::toString(entry.endpoint)));
        put("standing", text(entry.sfu.state == ServerState::On         ? "on"
                             : entry.sfu.state == ServerState::Draining ? "fading"
                                                                        : "off"));
        put("cell", number(entry.sfu.cell.v));
        if (entry.sfu.kind.v < names.kinds.size()) put("kind", text(names.kinds[entry.sfu.kind.v]));
        if (entry.sfu.zone.v < names.zones.size()) put("zone", text(names.zones[entry.sfu.zone.v]));
        char size[32];
        std::snprintf(size, sizeof size, "%.6g", entry.sfu.size);
        put("size", settings::Value{std::nullopt, settings::Number{size, entry.sfu.size, std::nullopt}, {}});
        if (entry.sfu.launched > 0) put("launched-us", number(entry.sfu.launched));
        nodes.push_back(std::move(box));
    }
    return settings::printKdl(nodes);
}

std::vector<ServerListEntry> replacedServers(std::span<const ServerListEntry> listed,
                                             std::span<const ServerListEntry> changed) {
    std::set<SfuId> named;
    std::set<net::Endpoint> taken;
    for (const ServerListEntry& entry : changed) {
        named.insert(entry.sfu.id);
        if (entry.sfu.state != ServerState::Off && entry.endpoint.port != 0) taken.insert(entry.endpoint);
    }
    std::vector<ServerListEntry> replaced;
    for (const ServerListEntry& entry : listed) {
        if (named.count(entry.sfu.id) || !taken.count(entry.endpoint)) continue;
        replaced.push_back(entry);
        replaced.back().sfu.state = ServerState::Off;
    }
    return replaced;
}

}  // namespace valekeel::discovery
