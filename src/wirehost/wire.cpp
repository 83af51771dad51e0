#include "wirehost/wire.hpp"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "logic.hpp"

namespace valekeel::wire {

using Json = nlohmann::json;

namespace {

// ---- values, each with a plain message on what is missing or of the wrong type ----

[[noreturn]] void bad(const std::string& where, const std::string& what) {
    throw BadLine(where + ": " + what);
}

const Json* find(const Json& object, const char* key) {
    auto it = object.find(key);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& need(const Json& object, const char* key, const std::string& where) {
    if (!object.is_object()) bad(where, "an object is expected");
    const Json* value = find(object, key);
    if (!value) bad(where, std::string("'") + key + "' is missing");
    return *value;
}

double number(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_number()) bad(where, std::string("'") + key + "' is no number");
    return value.get<double>();
}

double numberOr(const Json& object, const char* key, double otherwise, const std::string& where) {
    return find(object, key) ? number(object, key, where) : otherwise;
}

std::int64_t whole(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_number_integer()) bad(where, std::string("'") + key + "' is no whole number");
    return value.get<std::int64_t>();
}

std::uint32_t id32(const Json& object, const char* key, const std::string& where) {
    std::int64_t value = whole(object, key, where);
    if (value < 0 || value > std::numeric_limits<std::uint32_t>::max())
        bad(where, std::string("'") + key + "' is out of range");
    return static_cast<std::uint32_t>(value);
}

int smallInt(const Json& object, const char* key, const std::string& where) {
    std::int64_t value = whole(object, key, where);
    if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max())
        bad(where, std::string("'") + key + "' is out of range");
    return static_cast<int>(value);
}

std::string text(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_string()) bad(where, std::string("'") + key + "' is no text");
    return value.get<std::string>();
}

std::string textOr(const Json& object, const char* key, const std::string& otherwise,
                   const std::string& where) {
    return find(object, key) ? text(object, key, where) : otherwise;
}

bool flag(const Json& object, const char* key, const std::string& where) {
    const Json* value = find(object, key);
    if (!value) return false;
    if (!value->is_boolean()) bad(where, std::string("'") + key + "' is neither true nor false");
    return value->get<bool>();
}

Micros micros(double secs, const std::string& where) {
    if (!std::isfinite(secs) || std::fabs(secs) > 1e12) bad(where, "a time is out of range");
    return std::llround(secs * 1e6);
}

Micros time(const Json& object, const char* key, const std::string& where) {
    return micros(number(object, key, where), where);
}

Micros timeOr(const Json& object, const char* key, const std::string& where) {
    return find(object, key) ? time(object, key, where) : 0;
}

const Json& part(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_object()) bad(where, std::string("'") + key + "' is no object");
    return value;
}

const Json& array(const Json& object, const char* key, const std::string& where) {
    const Json& value = need(object, key, where);
    if (!value.is_array()) bad(where, std::string("'") + key + "' is no array");
    return value;
}

std::vector<double> numbers(const Json& object, const char* key, const std::string& where) {
    std::vector<double> out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_number()) bad(where, std::string("'") + key + "' holds what is no number");
        out.push_back(value.get<double>());
    }
    return out;
}

std::vector<bool> flags(const Json& object, const char* key, const std::string& where) {
    std::vector<bool> out;
    if (!find(object, key)) return out;
    for (const Json& value : array(object, key, where)) {
        if (!value.is_boolean())
            bad(where, std::string("'") + key + "' holds what is neither true nor false");
        out.push_back(value.get<bool>());
    }
    return out;
}

std::uint32_t placeOf(const std::vector<std::string>& names, const std::string& name,
                      const std::string& where) {
    for (std::size_t i = 0; i < names.size(); ++i)
        if (names[i] == name) return static_cast<std::uint32_t>(i);
    bad(where, "'" + name + "' is not among the names in the settings");
}

JoinEnd endOf(std::int64_t code, const std::string& where) {
    switch (code) {
        case 100:
            return JoinEnd::Played;
        case 301:
            return JoinEnd::Error;
        case 302:
            return JoinEnd::Full;
        case 303:
            return JoinEnd::TimedOut;
        case 304:
            return JoinEnd::NoConnection;
        case 305:
            return JoinEnd::Reset;
        case 306:
            return JoinEnd::Cancelled;
        case 307:
            return JoinEnd::NeverSent;
        default:
            bad(where, "outcome code " + std::to_string(code) + " is unknown");
    }
}

}  // namespace

// ---- one front: its module, the names of its settings, and what it does in the batch at hand ----

class Front : public Host {
  public:
    Front(std::string name, const Json& hello, Micros now, Json& cmds, const std::string& where)
        : name_(std::move(name)), cmds_(&cmds) {
        const Json& setup = part(hello, "setup", where);
        const Json& video = part(setup, "specifics", where);
        const Json& rules = part(setup, "rules", where);
        const Json& allowed = part(setup, "allowed", where);
        for (const Json& kind : array(setup, "host_types", where)) {
            if (!kind.is_string()) bad(where, "'host_types' holds what is no text");
            kinds_.push_back(kind.get<std::string>());
        }

        for (const Json& zone : find(setup, "zones") ? array(setup, "zones", where) : Json::array()) {
            if (!zone.is_string()) bad(where, "'zones' holds what is no text");
            zones_.push_back(zone.get<std::string>());
        }

        Ladder ladder{numbers(video, "ladder_kb", where), numbers(video, "ladder_worth", where),
                      numberOr(video, "stall", 0, where), numberOr(video, "switch_cost_s", 0, where),
                      numberOr(video, "join", 1, where)};
        if (ladder.joinPart < 0 || ladder.joinPart > 1) bad(where, "'join' is no part of a rate");
        if (ladder.kb.empty() || ladder.kb.size() != ladder.worth.size())
            bad(where, "'ladder_kb' and 'ladder_worth' do not match");
        const auto factors = numbers(video, "rate_factor", where);
        const auto floors = numbers(video, "lowest_rung", where);
        const auto tops = numbers(video, "highest_rung", where);
        const auto seats = numbers(video, "licence_cap", where);
        const auto lives = flags(video, "is_live", where);
        std::vector<RoomType> rooms;
        for (const Json& room : array(setup, "request_classes", where)) {
            const std::size_t at = rooms.size();
            if (at >= factors.size() || at >= floors.size() || at >= tops.size() || at >= seats.size())
                bad(where, "'specifics' lacks figures of a room type");
            const std::string repeat = text(room, "idempotency", where);
            if (repeat != "pure" && repeat != "token" && repeat != "side_effect")
                bad(where, "idempotency '" + repeat + "' is unknown");
            rooms.push_back({text(room, "name", where), time(room, "promise", where),
                             number(room, "importance", where), repeat == "side_effect", repeat == "token",
                             textOr(room, "group", "all", where) == "all",
                             timeOr(room, "repeat_window", where), factors[at], static_cast<int>(floors[at]),
                             std::min(static_cast<int>(tops[at]), static_cast<int>(ladder.kb.size()) - 1),
                             static_cast<int>(seats[at]), at < lives.size() && lives[at]});
            rooms_.push_back(rooms.back().name);
        }
        Fleet fleet;
        fleet.cells = smallInt(video, "cells", where);
        fleet.racks = smallInt(video, "racks", where);
        if (fleet.cells < 1 || fleet.racks < 1) bad(where, "'cells' and 'racks' start at 1");
        fleet.linksKb = number(video, "links_kb", where);
        fleet.linkKbPerSize = numberOr(video, "weight_kb", 0, where);
        fleet.uplinkKb = numberOr(video, "rack_link_kb", 0, where);
        fleet.fullFrom = numberOr(video, "full_from", 0, where);
        const std::string weights = textOr(setup, "weights", "none", where);
        fleet.listAsked = textOr(setup, "discovery", "push", where) == "ask";
        fleet.sizesTold = weights == "nominal" || weights == "rough";
        for (double places : numbers(video, "places_by_kind", where))
            fleet.places.push_back(static_cast<int>(places));
        if (fleet.places.size() != kinds_.size()) bad(where, "'places_by_kind' does not match 'host_types'");

        if (find(setup, "zone")) fleet.zone = ZoneId{placeOf(zones_, text(setup, "zone", where), where)};

        const ColdTerms cold{time(rules, "cold", where), number(rules, "start_capacity", where),
                             number(rules, "fall_multiple", where), time(rules, "tip_after", where)};
        std::optional<JoinBudget> budget;
        if (find(rules, "spare_attempts") || find(rules, "resend_ratio"))
            budget = JoinBudget{numberOr(rules, "spare_attempts", 0, where),
                                numberOr(rules, "resend_ratio", 0, where), time(rules, "look_back", where)};
        const Tidings tidings{timeOr(video, "told_late", where), timeOr(video, "told_every", where)};
        const Allowed leave{smallInt(allowed, "attempts_cap", where), flag(allowed, "retry_after", where),
                            timeOr(allowed, "max_retry_after", where)};
        Prices prices;
        if (const Json* told = find(setup, "prices")) {
            prices.crossZone = numberOr(*told, "cross_zone", 0, where);
        }
        const Json& seed = need(hello, "rng_seed", where);
        if (!seed.is_number_integer()) bad(where, "'rng_seed' is no whole number");
        const std::uint64_t seedValue = seed.is_number_unsigned()
                                            ? seed.get<std::uint64_t>()
                                            : static_cast<std::uint64_t>(seed.get<std::int64_t>());
        logic_ =
            std::make_unique<Logic>(*this, now, seedValue, smallInt(setup, "balancers", where), ladder, rooms,
                                    fleet, cold, budget ? &*budget : nullptr, tidings, leave, prices);
    }

    void hear(const std::string& verb, const Json& event, Micros now, Json& cmds, const std::string& where) {
        cmds_ = &cmds;
        if (verb == "WorkItem") {
            logic_->subscribe(now, sub(event, where), wish(event, where));
        } else if (verb == "Adopted") {
            logic_->handedOver(now, sub(event, where), wish(event, where), sfu(event, where));
        } else if (verb == "Accepted") {
            logic_->playing(now, sub(event, where), smallInt(event, "send_no", where), sfu(event, where),
                            time(event, "spent", where));
        } else if (verb == "Result") {
            const JoinEnd end = endOf(whole(event, "verdict", where), where);
            logic_->joinEnded(now, sub(event, where), smallInt(event, "send_no", where), sfu(event, where),
                              end, flag(event, "ended", where), time(event, "spent", where),
                              load(event, where));
        } else if (verb == "Lapsed") {
            logic_->viewerLeft(now, sub(event, where));
        } else if (verb == "Signal") {
            const double amount = number(event, "amount", where);
            switch (whole(event, "what", where)) {
                case 1:
                    logic_->shareDelivered(now, sub(event, where), sfu(event, where), amount);
                    break;
                case 2:
                    logic_->rungInForce(now, sub(event, where), static_cast<int>(amount));
                    break;
                case 3:
                    logic_->linkUse(now, sub(event, where), sfu(event, where), amount);
                    break;
                case 4:
                    logic_->uplinkUse(now, sub(event, where), sfu(event, where), amount);
                    break;
                default:
                    break;  // a kind of note that this page of the wire does not know yet
            }
        } else if (verb == "Wakeup") {
            logic_->woken(now, text(event, "key_back", where));
        } else if (verb != "Health" && verb != "Heard") {  // the module asks for neither
            bad(where, "verb '" + verb + "' is unknown");
        }
    }

    void list(const Json& records, const std::string& mode, Micros now, Json& cmds,
              const std::string& where) {
        cmds_ = &cmds;
        std::vector<ListedSfu> entries;
        for (const Json& record : records) {
            const std::string state = text(record, "lifecycle", where);
            if (state != "on" && state != "fading" && state != "off")
                bad(where, "lifecycle '" + state + "' is unknown");
            ListedSfu entry;
            entry.id = sfu(record, where);
            entry.standing = state == "on"       ? Standing::On
                             : state == "fading" ? Standing::Fading
                                                 : Standing::Off;
            entry.launched = timeOr(record, "launched", where);
            entry.cell = Cell{find(record, "position") ? id32(record, "position", where) : 0};
            if (find(record, "sku")) entry.kind = KindId{placeOf(kinds_, text(record, "sku", where), where)};
            entry.size = numberOr(record, "share", 1, where);
            if (find(record, "zone"))
                entry.zone = ZoneId{placeOf(zones_, text(record, "zone", where), where)};
            entries.push_back(entry);
        }
        if (mode == "Partial")
            logic_->listChanged(now, entries);
        else
            logic_->listed(now, entries, mode == "Persisted");
    }

    void listFailed(Micros now, Json& cmds) {
        cmds_ = &cmds;
        logic_->listFailed(now);
    }

    // ---- Host ----
    void followList() override { act("Follow", {{"enable", true}}); }
    void join(SubId id, SfuId at, Micros timeOut) override {
        act("Relay", {{"ref", id.v}, {"within", seconds(timeOut)}, {"server", at.v}});
    }
    void setRung(SubId id, int rung) override { act("Retune", {{"ref", id.v}, {"tier_no", rung}}); }
    void throttle(SubId id, Micros comeBack) override {
        Json more{{"ref", id.v}};
        if (comeBack > 0) more["come_back"] = seconds(comeBack);
        act("TurnAway", std::move(more));
    }
    void terminate(SubId id) override { act("RespondError", {{"ref", id.v}}); }
    void wakeAfter(Micros after, const std::string& why) override {
        act("WakeMe", {{"key_back", why}, {"after", seconds(after)}});
    }
    void log(const std::string& words) override { act("JournalLine", {{"words", words}}); }

  private:
    void act(const char* verb, Json action) {
        action["verb"] = verb;
        action["i"] = name_;
        cmds_->push_back(std::move(action));
    }
    static SubId sub(const Json& event, const std::string& where) { return {id32(event, "ref", where)}; }
    static SfuId sfu(const Json& event, const std::string& where) { return {id32(event, "server", where)}; }
    Wish wish(const Json& event, const std::string& where) const {
        Wish w;
        w.room = RoomTypeId{placeOf(rooms_, text(event, "grade", where), where)};
        w.title = TitleId{textOr(event, "title", "", where)};
        w.giveUpAt = timeOr(event, "give_up_at", where);
        if (find(event, "effort")) w.watchSeconds = number(event, "effort", where);
        w.firstCell = Cell{id32(event, "first_cell", where)};
        w.holders = smallInt(event, "holders", where);
        w.maxRung = smallInt(event, "max_rung", where);
        return w;
    }
    static Load load(const Json& event, const std::string& where) {
        Load out;
        const Json* gauge = find(event, "gauge");
        if (!gauge) return out;
        if (!gauge->is_object()) bad(where, "'gauge' is no object");
        if (find(*gauge, "x0"))
            out.linkUse = number(*gauge, "x0", where);
        else if (find(*gauge, "utilization"))
            out.linkUse = number(*gauge, "utilization", where);
        if (find(*gauge, "x1")) out.uplinkUse = number(*gauge, "x1", where);
        return out;
    }

    std::string name_;
    std::vector<std::string> kinds_, rooms_, zones_;
    std::unique_ptr<Logic> logic_;
    Json* cmds_;  // the reply to the batch at hand
};

Wire::Wire() = default;
Wire::~Wire() = default;

std::string Wire::reply(const std::string& line) {
    Json batch = Json::parse(line, nullptr, false);
    if (batch.is_discarded()) throw BadLine("not valid JSON");
    if (!batch.is_object()) throw BadLine("a batch is an object");
    const Micros now = time(batch, "clock", "batch");
    Json cmds = Json::array();
    std::size_t at = 0;
    for (const Json& event : array(batch, "items", "batch")) {
        std::string where = "item " + std::to_string(at++);
        const std::string verb = text(event, "verb", where);
        where += " (" + verb + ")";
        if (verb == "Manifest") {
            lists_[whole(event, "set_id", where)] = array(event, "records", where);
            continue;
        }
        const std::string name = text(event, "i", where);
        if (verb == "Hello") {
            fronts_[name] = std::make_unique<Front>(name, event, now, cmds, where);
            continue;
        }
        if (verb == "Detach") {
            fronts_.erase(name);
            continue;
        }
        auto front = fronts_.find(name);
        if (front == fronts_.end()) bad(where, "no instance '" + name + "' is running");
        if (verb == "DirectoryUpdate") {
            const std::string mode = text(event, "mode", where);
            if (mode == "Error") {  // the list that the front holds still applies
                front->second->listFailed(now, cmds);
                continue;
            }
            if (mode != "Partial" && mode != "Complete" && mode != "Persisted")
                bad(where, "mode '" + mode + "' is unknown");
            auto list = lists_.find(whole(event, "set_id", where));
            if (list == lists_.end()) bad(where, "no list of that number has come");
            front->second->list(list->second, mode, now, cmds, where);
            continue;
        }
        front->second->hear(verb, event, now, cmds, where);
    }
    return Json{{"cmds", std::move(cmds)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace valekeel::wire
