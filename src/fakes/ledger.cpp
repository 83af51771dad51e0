#include "fakes/ledger.hpp"

#include <cstdio>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

namespace valekeel::fakes {

std::string hex(std::uint64_t v) {
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(v));
    return out;
}

void Ledger::write(std::ostream& out) const {
    for (const Line& l : lines_) {
        nlohmann::ordered_json j{{"at", l.at}, {"what", l.what}};
        const auto text = [&](const char* key, const std::string& v) {
            if (!v.empty()) j[key] = v;
        };
        text("trace", l.trace);
        text("front", l.front);
        text("sub", l.sub);
        text("room", l.room);
        text("title", l.title);
        text("face", l.face);
        const auto number = [&](const char* key, int v, int none) {
            if (v != none) j[key] = v;
        };
        number("box", l.box, -1);
        number("player", l.player, -1);
        number("member", l.member, -1);
        number("rung", l.rung, -1);
        number("join", l.join, -1);
        number("status", l.status, 0);
        number("attempt", l.attempt, 0);
        if (l.told) j["told"] = true;
        if (l.number != 0) j["number"] = l.number;
        out << j.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) << '\n';
    }
}

Ledger Ledger::read(std::istream& in) {
    Ledger out;
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        const auto j = nlohmann::json::parse(text, nullptr, false);
        if (!j.is_object())
            throw std::runtime_error("line " + std::to_string(number) +
                                     " of the ledger is not a JSON object");
        Line l;
        l.at = j.value("at", Micros{0});
        l.what = j.value("what", "");
        l.trace = j.value("trace", "");
        l.front = j.value("front", "");
        l.sub = j.value("sub", "");
        l.room = j.value("room", "");
        l.title = j.value("title", "");
        l.face = j.value("face", "");
        l.box = j.value("box", -1);
        l.player = j.value("player", -1);
        l.member = j.value("member", -1);
        l.rung = j.value("rung", -1);
        l.join = j.value("join", -1);
        l.status = j.value("status", 0);
        l.attempt = j.value("attempt", 0);
        l.told = j.value("told", false);
        l.number = j.value("number", 0.0);
        out.add(std::move(l));
    }
    return out;
}

}  // namespace valekeel::fakes
