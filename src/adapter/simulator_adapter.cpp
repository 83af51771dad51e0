#include "adapter/simulator_adapter.hpp"

#include <nlohmann/json.hpp>

#include "logic.hpp"
#include "setup/setup.hpp"

namespace valekeel::adapter {

using namespace setup;

namespace {

JoinResult endOf(std::int64_t code, const std::string& where) {
    switch (code) {
        case 100:
            return JoinResult::Played;
        case 301:
            return JoinResult::Error;
        case 302:
            return JoinResult::Full;
        case 303:
            return JoinResult::TimedOut;
        case 304:
            return JoinResult::NoConnection;
        case 305:
            return JoinResult::Reset;
        case 306:
            return JoinResult::Cancelled;
        case 307:
            return JoinResult::NeverSent;
        default:
            throwInvalid(where, "outcome code " + std::to_string(code) + " is unknown");
    }
}

}  // namespace

// ---- one front: its module, the names of its settings, and what it does in the batch at hand ----

class Front : public Host {
  public:
    Front(std::string name, const Json& hello, Micros now, Json& cmds, const std::string& where)
        : name_(std::move(name)), cmds_(&cmds) {
        const Json& setup = objectAt(hello, "setup", where);
        const setup::Names names = setup::parseNames(setup, where);
        kinds_ = names.kinds;
        zones_ = names.zones;
        for (const Json& room : array(setup, "request_classes", where))
            rooms_.push_back(text(room, "name", where));
        const Json& seed = require(hello, "rng_seed", where);
        if (!seed.is_number_integer()) throwInvalid(where, "'rng_seed' is no whole number");
        const std::uint64_t seedValue = seed.is_number_unsigned()
                                            ? seed.get<std::uint64_t>()
                                            : static_cast<std::uint64_t>(seed.get<std::int64_t>());
        logic_ = setup::makeDecider<Logic>(*this, now, seedValue, setup, where);
    }

    void hear(const std::string& verb, const Json& event, Micros now, Json& cmds, const std::string& where) {
        cmds_ = &cmds;
        if (verb == "WorkItem") {
            logic_->onSubscribe(now, sub(event, where), wish(event, where));
        } else if (verb == "Adopted") {
            logic_->onAdopted(now, sub(event, where), wish(event, where), sfu(event, where));
        } else if (verb == "Accepted") {
            logic_->onPlaying(now, sub(event, where), intValue(event, "send_no", where), sfu(event, where),
                              duration(event, "spent", where));
        } else if (verb == "Result") {
            const JoinResult end = endOf(integer(event, "verdict", where), where);
            logic_->onJoinEnded(now, sub(event, where), intValue(event, "send_no", where), sfu(event, where),
                                end, flag(event, "ended", where), duration(event, "spent", where),
                                load(event, where));
        } else if (verb == "Lapsed") {
            logic_->onViewerLeft(now, sub(event, where));
        } else if (verb == "Signal") {
            const double amount = number(event, "amount", where);
            switch (integer(event, "what", where)) {
                case 1:
                    logic_->onShareDelivered(now, sub(event, where), sfu(event, where), amount);
                    break;
                case 2:
                    logic_->onRungInForce(now, sub(event, where), static_cast<int>(amount));
                    break;
                case 3:
                    logic_->onLinkUse(now, sub(event, where), sfu(event, where), amount);
                    break;
                case 4:
                    logic_->onUplinkUse(now, sub(event, where), sfu(event, where), amount);
                    break;
                default:
                    break;  // a kind of note that this page of the wire does not know yet
            }
        } else if (verb == "Wakeup") {
            logic_->onWake(now, text(event, "key_back", where));
        } else if (verb != "Health" && verb != "Heard") {  // the module asks for neither
            throwInvalid(where, "verb '" + verb + "' is unknown");
        }
    }

    void list(const Json& records, const std::string& mode, Micros now, Json& cmds,
              const std::string& where) {
        cmds_ = &cmds;
        std::vector<SfuEntry> entries;
        for (const Json& record : records) {
            const std::string state = text(record, "lifecycle", where);
            if (state != "on" && state != "fading" && state != "off")
                throwInvalid(where, "lifecycle '" + state + "' is unknown");
            SfuEntry entry;
            entry.id = sfu(record, where);
            entry.state = state == "on"       ? ServerState::On
                          : state == "fading" ? ServerState::Draining
                                              : ServerState::Off;
            entry.launched = durationOrZero(record, "launched", where);
            entry.cell = Cell{find(record, "position") ? uint32(record, "position", where) : 0};
            if (find(record, "sku"))
                entry.kind = MachineKindId{indexOf(kinds_, text(record, "sku", where), where)};
            entry.size = numberOr(record, "share", 1, where);
            if (find(record, "zone"))
                entry.zone = ZoneId{indexOf(zones_, text(record, "zone", where), where)};
            entries.push_back(entry);
        }
        if (mode == "Partial")
            logic_->onServerListChange(now, entries);
        else
            logic_->onServerList(now, entries, mode == "Persisted");
    }

    void onServerListFailure(Micros now, Json& cmds) {
        cmds_ = &cmds;
        logic_->onServerListFailure(now);
    }

    // ---- Host ----
    void followList() override { act("Follow", {{"enable", true}}); }
    void join(SubId id, SfuId at, Micros timeOut) override {
        act("Relay", {{"ref", id.v}, {"within", seconds(timeOut)}, {"server", at.v}});
    }
    void setRung(SubId id, int rung) override { act("Retune", {{"ref", id.v}, {"tier_no", rung}}); }
    void throttle(SubId id, Micros retryAfter) override {
        Json more{{"ref", id.v}};
        if (retryAfter > 0) more["come_back"] = seconds(retryAfter);
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
    static SubId sub(const Json& event, const std::string& where) { return {uint32(event, "ref", where)}; }
    static SfuId sfu(const Json& event, const std::string& where) { return {uint32(event, "server", where)}; }
    SubscriptionRequest wish(const Json& event, const std::string& where) const {
        SubscriptionRequest w;
        w.room = RoomTypeId{indexOf(rooms_, text(event, "grade", where), where)};
        w.title = TitleId{textOr(event, "title", "", where)};
        w.deadline = durationOrZero(event, "give_up_at", where);
        if (find(event, "effort")) w.watchSeconds = number(event, "effort", where);
        w.firstCell = Cell{uint32(event, "first_cell", where)};
        w.holders = intValue(event, "holders", where);
        w.maxRung = intValue(event, "max_rung", where);
        return w;
    }
    static LoadReport load(const Json& event, const std::string& where) {
        LoadReport out;
        const Json* gauge = find(event, "gauge");
        if (!gauge) return out;
        if (!gauge->is_object()) throwInvalid(where, "'gauge' is no object");
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

SimulatorAdapter::SimulatorAdapter() = default;
SimulatorAdapter::~SimulatorAdapter() = default;

std::string SimulatorAdapter::reply(const std::string& line) {
    Json batch = Json::parse(line, nullptr, false);
    if (batch.is_discarded()) throw InvalidMessage("not valid JSON");
    if (!batch.is_object()) throw InvalidMessage("a batch is an object");
    const Micros now = duration(batch, "clock", "batch");
    Json cmds = Json::array();
    std::size_t at = 0;
    for (const Json& event : array(batch, "items", "batch")) {
        std::string where = "item " + std::to_string(at++);
        const std::string verb = text(event, "verb", where);
        where += " (" + verb + ")";
        if (verb == "Manifest") {
            lists_[integer(event, "set_id", where)] = array(event, "records", where);
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
        if (front == fronts_.end()) throwInvalid(where, "no instance '" + name + "' is running");
        if (verb == "DirectoryUpdate") {
            const std::string mode = text(event, "mode", where);
            if (mode == "Error") {  // the list that the front holds still applies
                front->second->onServerListFailure(now, cmds);
                continue;
            }
            if (mode != "Partial" && mode != "Complete" && mode != "Persisted")
                throwInvalid(where, "mode '" + mode + "' is unknown");
            auto list = lists_.find(integer(event, "set_id", where));
            if (list == lists_.end()) throwInvalid(where, "no list of that number has come");
            front->second->list(list->second, mode, now, cmds, where);
            continue;
        }
        front->second->hear(verb, event, now, cmds, where);
    }
    return Json{{"cmds", std::move(cmds)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace valekeel::adapter
