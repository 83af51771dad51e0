#include "adapter/simulator_adapter.hpp"

#include <nlohmann/json.hpp>

#include "logic.hpp"
#include "setup/setup.hpp"

namespace valekeel::adapter {

using namespace setup;

namespace {

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
        const setup::Names names = setup::namesOf(setup, where);
        kinds_ = names.kinds;
        zones_ = names.zones;
        for (const Json& room : array(setup, "request_classes", where))
            rooms_.push_back(text(room, "name", where));
        const Json& seed = need(hello, "rng_seed", where);
        if (!seed.is_number_integer()) bad(where, "'rng_seed' is no whole number");
        const std::uint64_t seedValue = seed.is_number_unsigned()
                                            ? seed.get<std::uint64_t>()
                                            : static_cast<std::uint64_t>(seed.get<std::int64_t>());
        logic_ = setup::made<Logic>(*this, now, seedValue, setup, where);
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

}  // namespace valekeel::adapter
