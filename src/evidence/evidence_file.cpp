#include "evidence/evidence_file.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

#include "settings/document.hpp"

namespace valekeel::evidence {
namespace {

constexpr Micros kMaxAge = 86'400 * kSecond;  // of a reported link use

}  // namespace

EvidenceFile parseEvidenceFile(const std::string& file, const std::string& text, std::size_t maxServers) {
    const settings::Document document = settings::Document::fromText(file, text);
    settings::NodeReader top(document);
    EvidenceFile out;
    settings::NodeReader head = top.requiredChild("learnt");
    const auto version = head.numbers("the version", 0, 1e9);
    if (version.size() != 1 || version[0] != 1) head.fail("expected version 1");
    out.savedAt = head.integer("saved-us", 0, 4'000'000'000'000'000);
    head.rejectUnread();
    std::set<std::uint32_t> seenIds;
    for (settings::NodeReader& box : top.childrenNamed("box")) {
        if (out.servers.size() >= maxServers) box.fail("more than " + std::to_string(maxServers) + " boxes");
        const auto id = box.numbers("a box's number", 0, 4294967295.0);
        if (id.size() != 1 || id[0] != static_cast<double>(static_cast<std::uint32_t>(id[0])) ||
            !seenIds.insert(static_cast<std::uint32_t>(id[0])).second)
            box.fail("'box' must be followed by one integer, different for each box");
        EvidenceEntry entry;
        entry.evidence.id = SfuId{static_cast<std::uint32_t>(id[0])};
        entry.launched = box.integer("launched-us", 0, 4'000'000'000'000'000, 0);
        entry.evidence.evidence = box.number("evidence", -100, 100, 0);
        if (box.has("link-use")) entry.evidence.linkUse = box.number("link-use", 0, 100);
        entry.evidence.age = box.duration("age", 0, kMaxAge, 0);
        box.rejectUnread();
        out.servers.push_back(entry);
    }
    top.rejectUnread();
    return out;
}

std::string formatEvidenceFile(const EvidenceFile& evidence) {
    char line[200];
    std::snprintf(line, sizeof line, "learnt 1 saved-us=%lld\n", static_cast<long long>(evidence.savedAt));
    std::string out = line;
    for (const EvidenceEntry& entry : evidence.servers) {
        std::snprintf(line, sizeof line, "box %u launched-us=%lld evidence=%.3f age=\"%lldus\"",
                      entry.evidence.id.v, static_cast<long long>(entry.launched), entry.evidence.evidence,
                      static_cast<long long>(std::min(entry.evidence.age, kMaxAge)));
        out += line;
        if (entry.evidence.linkUse) {
            std::snprintf(line, sizeof line, " link-use=%.4f",
                          std::clamp(*entry.evidence.linkUse, 0.0, 100.0));
            out += line;
        }
        out += '\n';
    }
    return out;
}

void saveEvidenceFile(const std::string& path, const EvidenceFile& evidence) {
    settings::writeFileAtomically(path, formatEvidenceFile(evidence));
}

}  // namespace valekeel::evidence
