#include "hints/cmsd.hpp"

namespace valekeel::hints {
namespace {

std::optional<std::int64_t> integerOf(const BareItem* value) {
    if (!value) return std::nullopt;
    if (const auto* i = std::get_if<std::int64_t>(value); i && *i >= 0) return *i;
    if (const auto* d = std::get_if<Decimal>(value); d && d->thousandths >= 0) return d->thousandths / 1000;
    return std::nullopt;
}
std::optional<std::string> tokenOf(const BareItem* value) {
    if (!value) return std::nullopt;
    if (const auto* t = std::get_if<Token>(value)) return t->text;
    return std::nullopt;
}
std::optional<std::string> stringOf(const BareItem* value) {
    if (!value) return std::nullopt;
    if (const auto* s = std::get_if<std::string>(value)) return *s;
    return std::nullopt;
}

}  // namespace

std::optional<CmsdStatic> parseCmsdStatic(std::string_view text) {
    const auto dictionary = parseDictionary(text);
    if (!dictionary) return std::nullopt;
    const auto bare = [&](std::string_view key) -> const BareItem* {
        const Member* member = dictionary->find(key);
        const Item* item = member ? std::get_if<Item>(member) : nullptr;
        return item ? &item->value : nullptr;
    };
    CmsdStatic out;
    out.n = stringOf(bare("n"));
    out.at = integerOf(bare("at"));
    out.br = integerOf(bare("br"));
    out.d = integerOf(bare("d"));
    out.ht = integerOf(bare("ht"));
    out.ot = tokenOf(bare("ot"));
    out.sf = tokenOf(bare("sf"));
    out.st = tokenOf(bare("st"));
    out.v = integerOf(bare("v"));
    return out;
}

std::vector<CmsdEntry> parseCmsdDynamic(std::string_view text, bool* malformed) {
    std::vector<CmsdEntry> out;
    const auto list = parseList(text);
    if (malformed) *malformed = !list;
    if (!list) return out;
    for (const Member& member : *list) {
        const Item* item = std::get_if<Item>(&member);
        if (!item) continue;
        const auto name = stringOf(&item->value);
        if (!name) continue;
        CmsdEntry entry;
        entry.server = *name;
        entry.etp = integerOf(item->params.find("etp"));
        entry.mb = integerOf(item->params.find("mb"));
        entry.rd = integerOf(item->params.find("rd"));
        entry.rtt = integerOf(item->params.find("rtt"));
        if (const BareItem* du = item->params.find("du"))
            if (const auto* flag = std::get_if<bool>(du)) entry.du = *flag;
        for (const auto& [key, value] : item->params.all)
            if (key.find('-') != std::string::npos) entry.custom.set(key, value);
        out.push_back(std::move(entry));
    }
    return out;
}

std::string write(const CmsdStatic& s) {
    Dictionary out;
    const auto put = [&](const char* key, BareItem value) { out.set(key, Item{std::move(value), {}}); };
    if (s.at) put("at", *s.at);
    if (s.br) put("br", *s.br);
    if (s.d) put("d", *s.d);
    if (s.ht) put("ht", *s.ht);
    if (s.n) put("n", *s.n);
    if (s.ot) put("ot", Token{*s.ot});
    if (s.sf) put("sf", Token{*s.sf});
    if (s.st) put("st", Token{*s.st});
    if (s.v) put("v", *s.v);
    return write(out).value_or("");
}

std::string appendEntry(std::string_view field, const CmsdEntry& entry) {
    List list = parseList(field).value_or(List{});
    Item item{entry.server, {}};
    if (entry.etp) item.params.set("etp", *entry.etp);
    if (entry.mb) item.params.set("mb", *entry.mb);
    if (entry.rd) item.params.set("rd", *entry.rd);
    if (entry.rtt) item.params.set("rtt", *entry.rtt);
    if (entry.du) item.params.set("du", true);
    for (const auto& [key, value] : entry.custom.all) item.params.set(key, value);
    list.push_back(std::move(item));
    return write(list).value_or("");
}

std::optional<double> customNumber(const CmsdEntry& entry, std::string_view key) {
    const BareItem* value = entry.custom.find(key);
    if (!value) return std::nullopt;
    if (const auto* d = std::get_if<Decimal>(value); d && d->thousandths >= 0) return d->value();
    if (const auto* i = std::get_if<std::int64_t>(value); i && *i >= 0 && *i < 1'000'000)
        return static_cast<double>(*i);
    return std::nullopt;
}

}  // namespace valekeel::hints
