// What a front has learnt of the boxes, kept on disk so that its next life need not learn it again:
//     learnt 1 saved-us=1796142000000000
//     box 3 launched-us=0 evidence=4.5 link-use=0.8 age="1200ms"
// Kept are the evidence against a box and what its link was last told to be asked. Set-up times, the part of
// own subscriptions that are short and what is believed of uplinks begin afresh: they belong to the routes
// and racks of the place where they were measured. No I/O but whole files; what is done with it the module
// says.
#pragma once

#include <string>
#include <vector>

#include "model/types.hpp"

namespace valekeel::evidence {

struct EvidenceEntry {
    ServerEvidence evidence;
    Micros launched = 0;  // of the box's process, on the wall clock as the list has it
};

struct EvidenceFile {
    Micros savedAt = 0;  // on the wall clock
    std::vector<EvidenceEntry> servers;
};

// Throws settings::Wrong: another version, a figure that is no number or out of its range, more than `most`
// boxes.
EvidenceFile parseEvidenceFile(const std::string& file, const std::string& text, std::size_t most);
std::string formatEvidenceFile(const EvidenceFile&);
// Written beside, then renamed: a reader finds the old one or the new one, whole. Throws std::runtime_error.
void saveEvidenceFile(const std::string& path, const EvidenceFile&);

}  // namespace valekeel::evidence
