// The file in which a front saves what it has learnt about media servers, for its next process:
//     learnt 1 saved-us=1796142000000000
//     box 3 launched-us=0 evidence=4.5 link-use=0.8 age="1200ms"
// It holds the failure evidence of each media server and the last reported use of its link. Set-up times, the
// part of the own subscriptions that get too little, and uplink estimates are not saved: they depend on the
// routes and racks of the place where they were measured. The decision module defines what the values mean.
#pragma once

#include <string>
#include <vector>

#include "model/types.hpp"

namespace valekeel::evidence {

struct EvidenceEntry {
    ServerEvidence evidence;
    // Start of the media server's process, in microseconds since 1970, as in the server list.
    Micros launched = 0;
};

struct EvidenceFile {
    Micros savedAt = 0;  // microseconds since 1970
    std::vector<EvidenceEntry> servers;
};

// Throws settings::SettingsError on another version, a value that is not a number or out of range, or more
// than `maxServers` entries. `file` names the source in errors.
EvidenceFile parseEvidenceFile(const std::string& file, const std::string& text, std::size_t maxServers);
std::string formatEvidenceFile(const EvidenceFile&);
// Replaces the file atomically: a reader sees the old or the new one, complete. Throws std::runtime_error.
void saveEvidenceFile(const std::string& path, const EvidenceFile&);

}  // namespace valekeel::evidence
