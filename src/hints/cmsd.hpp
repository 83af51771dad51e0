// Common Media Server Data (CTA-5006): what servers say with their answers. CMSD-Static is a dictionary that
// the origin sets; CMSD-Dynamic a list to which each server on the way appends an entry with its name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hints/structured.hpp"

namespace valekeel::hints {

struct CmsdStatic {
    std::optional<std::string> n;               // name of the origin
    std::optional<std::int64_t> at, br, d, ht;  // availability time, kbit/s, ms, held time
    std::optional<std::string> ot, sf, st;      // tokens, as in CMCD
    std::optional<std::int64_t> v;
};

struct CmsdEntry {  // of one server; in the order of the way, the origin's first
    std::string by;
    std::optional<std::int64_t> etp, mb, rd, rtt;  // kbit/s, kbit/s, ms, ms
    bool du = false;                               // under duress
    Parameters custom;                             // keys with a prefix
};

// Nothing of a broken field is used (RFC 8941, section 4.2). Of a sound one, parameters of a wrong type or
// range are left out and the rest kept.
std::optional<CmsdStatic> parseCmsdStatic(std::string_view);
std::vector<CmsdEntry> parseCmsdDynamic(std::string_view, bool* broken = nullptr);
std::string write(const CmsdStatic&);
// Appended behind what stands there already, which is kept as it came if it is sound, and dropped if not.
std::string appendEntry(std::string_view standing, const CmsdEntry&);

// Custom keys of boxes of this house: use of their link and uplink, asked over given.
inline constexpr std::string_view kLinkUseKey = "org.valekeel-lu";
inline constexpr std::string_view kUplinkUseKey = "org.valekeel-uu";
std::optional<double> customNumber(const CmsdEntry&, std::string_view key);

}  // namespace valekeel::hints
