#include "evidence/evidence_file.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

#include "settings/document.hpp"

namespace valekeel::evidence {
namespace {

constexpr Micros kDay = 86'400 * kSecond;

}  // namespace

EvidenceFile parseEvidenceFile(const std::string& file, const std::string& text, std::size_t most) {
    const settings::Document document = settings::Document::fromText(file, text);
    settings::NodeReader top(document);
    EvidenceFile out;
    settings::NodeReader head = top.requiredChild("learnt");
    const auto version = head.numbers("the version", 0, 1e9);
    if (version.size() != 1 || version[0] != 1) head.fail("version 1 is expected");
    out.savedAt = head.integer("saved-us", 0, 4'000'000'000'000'000);
    head.rejectUnread();
    std::set<std::uint32_t> seen;
    for (settings::NodeReader& box : top.childrenNamed("box")) {
        if (out.servers.size() >= most) box.fail("more than " + std::to_string(most) + " boxes");
        const auto id = box.numbers("a box's number", 0, 4294967295.0);
        if (id.size() != 1 || id[0] != static_cast<double>(static_cast<std::uint32_t>(id[0])) ||
            !seen.insert(static_cast<std::uint32_t>(id[0])).second)
            box.fail("'box' is followed by one whole number of its own");
        EvidenceEntry one;
        one.evidence.id = SfuId{static_cast<std::uint32_t>(id[0])};
        one.launched = box.integer("launched-us", 0, 4'000'000'000'000'000, 0);
        one.evidence.evidence = box.number("evidence", -100, 100, 0);
        if (box.has("link-use")) one.evidence.linkUse = box.number("link-use", 0, 100);
        one.evidence.age = box.duration("age", 0, kDay, 0);
        box.rejectUnread();
        out.servers.push_back(one);
    }
    top.rejectUnread();
    return out;
}

std::string formatEvidenceFile(const EvidenceFile& kept) {
    char line[200];
    std::snprintf(line, sizeof line, "learnt 1 saved-us=%lld\n", static_cast<long long>(kept.savedAt));
    std::string out = line;
    for (const EvidenceEntry& b : kept.servers) {
        std::snprintf(line, sizeof line, "box %u launched-us=%lld evidence=%.3f age=\"%lldus\"",
                      b.evidence.id.v, static_cast<long long>(b.launched), b.evidence.evidence,
                      static_cast<long long>(std::min(b.evidence.age, kDay)));
        out += line;
        if (b.evidence.linkUse) {
            std::snprintf(line, sizeof line, " link-use=%.4f", std::clamp(*b.evidence.linkUse, 0.0, 100.0));
            out += line;
        }
        out += '\n';
    }
    return out;
}

void saveEvidenceFile(const std::string& path, const EvidenceFile& kept) {
    settings::writeFileAtomically(path, formatEvidenceFile(kept));
}

}  // namespace valekeel::evidence
