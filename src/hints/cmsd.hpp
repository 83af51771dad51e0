// Common Media Server Data (CTA-5006): hints that servers send with their responses. CMSD-Static is a
// dictionary set by the origin; CMSD-Dynamic is a list to which each server on the path appends an entry with
// its name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hints/structured.hpp"

namespace valekeel::hints {

// CMSD-Static, named by its keys. Times are in milliseconds, rates in kbit/s.
struct CmsdStatic {
    std::optional<std::string> n;  // name of the origin
    // Availability time, encoded bitrate, object duration, held time.
    std::optional<std::int64_t> at, br, d, ht;
    std::optional<std::string> ot, sf, st;  // tokens, as in CMCD
    std::optional<std::int64_t> v;
};

// One server's entry of CMSD-Dynamic. Times are in milliseconds, rates in kbit/s.
struct CmsdEntry {
    std::string server;
    // Estimated throughput, maximum suggested bitrate, response delay, round-trip time.
    std::optional<std::int64_t> etp, mb, rd, rtt;
    bool du = false;    // under duress
    Parameters custom;  // keys with a vendor prefix
};

// Parse a field. A malformed field is ignored as a whole (RFC 8941, section 4.2); in a well-formed one, only
// parameters of a wrong type or range are left out. Entries are in path order, the origin's first.
std::optional<CmsdStatic> parseCmsdStatic(std::string_view);
std::vector<CmsdEntry> parseCmsdDynamic(std::string_view, bool* malformed = nullptr);
std::string write(const CmsdStatic&);  // serializes it
// Returns `field` with `entry` appended. A malformed `field` is dropped.
std::string appendEntry(std::string_view field, const CmsdEntry& entry);

// Custom keys of this project's media servers: utilization of their link and uplink, demand divided by
// capacity.
inline constexpr std::string_view kLinkUseKey = "org.valekeel-lu";
inline constexpr std::string_view kUplinkUseKey = "org.valekeel-uu";
// Returns a custom parameter as a number. Empty if it is missing, not a number, negative or too large.
std::optional<double> customNumber(const CmsdEntry&, std::string_view key);

}  // namespace valekeel::hints
