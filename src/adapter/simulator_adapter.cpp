#include "adapter/simulator_adapter.hpp"

#include <nlohmann/json.hpp>

#include "logic.hpp"
#include "setup/setup.hpp"

namespace valekeel::adapter {

using namespace setup;

namespace {

// Maps the outcome codes of the protocol.
JoinResult resultOf(std::int64_t code, const std::string& where) {
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

// One front: its module, the names in its settings, and the reply that collects its actions.
class Front : public Host {
  public:
    Front(std::string name, const Json& helloEvent, Micros now, Json& cmds, const std::string& where)
        : name_(std::move(name)), cmds_(&cmds) {
        const Json& setup = objectAt(helloEvent, "setup", where);
        const setup::Names names = setup::parseNames(setup, where);
        kinds_ = names.kinds;
        zones_ = names.zones;
        for (const Json& room : array(setup, "request_classes", where))
            rooms_.push_back(text(room, "name", where));
        const Json& seed = require(helloEvent, "rng_seed", where);
        if (!seed.is_number_integer()) throwInvalid(where, "'rng_seed' is not an integer");
        const std::uint64_t seedValue = seed.is_number_unsigned()
                                            ? seed.get<std::uint64_t>()
                                            : static_cast<std::uint64_t>(seed.get<std::int64_t>());
        logic_ = setup::makeDecider<Logic>(*this, now, seedValue, setup, where);
    }

    // Passes an event to the module. Its actions are added to `cmds`.
    void handleEvent(const std::string& verb, const Json& event, Micros now, Json& cmds,
                     const std::string& where) {
        cmds_ = &cmds;
        if (verb == "WorkItem") {
            logic_->onSubscribe(now, subOf(event, where), requestOf(event, where));
        } else if (verb == "Adopted") {
            logic_->onAdopted(now, subOf(event, where), requestOf(event, where), sfuOf(event, where));
        } else if (verb == "Accepted") {
            logic_->onPlaying(now, subOf(event, where), intValue(event, "send_no", where),
                              sfuOf(event, where), duration(event, "spent", where));
        } else if (verb == "Result") {
            const JoinResult result = resultOf(integer(event, "verdict", where), where);
            logic_->onJoinEnded(now, subOf(event, where), intValue(event, "send_no", where),
                                sfuOf(event, where), result, flag(event, "ended", where),
                                duration(event, "spent", where), loadOf(event, where));
        } else if (verb == "Lapsed") {
            logic_->onViewerLeft(now, subOf(event, where));
        } else if (verb == "Signal") {
            const double amount = number(event, "amount", where);
            switch (integer(event, "what", where)) {
                case 1:
                    logic_->onShareDelivered(now, subOf(event, where), sfuOf(event, where), amount);
                    break;
                case 2:
                    logic_->onRungInForce(now, subOf(event, where), static_cast<int>(amount));
                    break;
                case 3:
                    logic_->onLinkUse(now, subOf(event, where), sfuOf(event, where), amount);
                    break;
                case 4:
                    logic_->onUplinkUse(now, subOf(event, where), sfuOf(event, where), amount);
                    break;
                default:
                    break;  // unknown kinds of reports are ignored
            }
        } else if (verb == "Wakeup") {
            logic_->onWake(now, text(event, "key_back", where));
        } else if (verb != "Health" && verb != "Heard") {  // ignored: never requested
            throwInvalid(where, "verb '" + verb + "' is unknown");
        }
    }

    // Passes a list of media servers, or changes to it, to the module.
    void applyList(const Json& records, const std::string& mode, Micros now, Json& cmds,
                   const std::string& where) {
        cmds_ = &cmds;
        std::vector<SfuEntry> entries;
        for (const Json& record : records) {
            const std::string state = text(record, "lifecycle", where);
            if (state != "on" && state != "fading" && state != "off")
                throwInvalid(where, "lifecycle '" + state + "' is unknown");
            SfuEntry entry;
            entry.id = sfuOf(record, where);
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
    void followList() override { addCommand("Follow", {{"enable", true}}); }
    void join(SubId id, SfuId server, Micros timeout) override {
        addCommand("Relay", {{"ref", id.v}, {"within", seconds(timeout)}, {"server", server.v}});
    }
    void setRung(SubId id, int rung) override { addCommand("Retune", {{"ref", id.v}, {"tier_no", rung}}); }
    void throttle(SubId id, Micros retryAfter) override {
        Json command{{"ref", id.v}};
        if (retryAfter > 0) command["come_back"] = seconds(retryAfter);
        addCommand("TurnAway", std::move(command));
    }
    void terminate(SubId id) override { addCommand("RespondError", {{"ref", id.v}}); }
    void wakeAfter(Micros after, const std::string& why) override {
        addCommand("WakeMe", {{"key_back", why}, {"after", seconds(after)}});
    }
    void log(const std::string& text) override { addCommand("JournalLine", {{"words", text}}); }

  private:
    void addCommand(const char* verb, Json command) {
        command["verb"] = verb;
        command["i"] = name_;
        cmds_->push_back(std::move(command));
    }
    static SubId subOf(const Json& event, const std::string& where) { return {uint32(event, "ref", where)}; }
    static SfuId sfuOf(const Json& event, const std::string& where) {
        return {uint32(event, "server", where)};
    }
    SubscriptionRequest requestOf(const Json& event, const std::string& where) const {
        SubscriptionRequest request;
        request.room = RoomTypeId{indexOf(rooms_, text(event, "grade", where), where)};
        request.title = TitleId{textOr(event, "title", "", where)};
        request.deadline = durationOrZero(event, "give_up_at", where);
        if (find(event, "effort")) request.watchSeconds = number(event, "effort", where);
        request.firstCell = Cell{uint32(event, "first_cell", where)};
        request.holders = intValue(event, "holders", where);
        request.maxRung = intValue(event, "max_rung", where);
        return request;
    }
    static LoadReport loadOf(const Json& event, const std::string& where) {
        LoadReport load;
        const Json* gauge = find(event, "gauge");
        if (!gauge) return load;
        if (!gauge->is_object()) throwInvalid(where, "'gauge' is not an object");
        if (find(*gauge, "x0"))
            load.linkUse = number(*gauge, "x0", where);
        else if (find(*gauge, "utilization"))
            load.linkUse = number(*gauge, "utilization", where);
        if (find(*gauge, "x1")) load.uplinkUse = number(*gauge, "x1", where);
        return load;
    }

    std::string name_;
    std::vector<std::string> kinds_, rooms_, zones_;
    std::unique_ptr<Logic> logic_;
    Json* cmds_;  // commands of the reply to the current batch, owned by SimulatorAdapter::reply()
};

SimulatorAdapter::SimulatorAdapter() = default;
SimulatorAdapter::~SimulatorAdapter() = default;

std::string SimulatorAdapter::reply(const std::string& line) {
    Json batch = Json::parse(line, nullptr, false);
    if (batch.is_discarded()) throw InvalidMessage("not valid JSON");
    if (!batch.is_object()) throw InvalidMessage("a batch must be a JSON object");
    const Micros now = duration(batch, "clock", "batch");
    Json cmds = Json::array();
    std::size_t index = 0;
    for (const Json& event : array(batch, "items", "batch")) {
        std::string where = "item " + std::to_string(index++);
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
            if (mode == "Error") {  // the list that the front has still applies
                front->second->onServerListFailure(now, cmds);
                continue;
            }
            if (mode != "Partial" && mode != "Complete" && mode != "Persisted")
                throwInvalid(where, "mode '" + mode + "' is unknown");
            auto list = lists_.find(integer(event, "set_id", where));
            if (list == lists_.end()) throwInvalid(where, "no list with this 'set_id' has been received");
            front->second->applyList(list->second, mode, now, cmds, where);
            continue;
        }
        front->second->handleEvent(verb, event, now, cmds, where);
    }
    return Json{{"cmds", std::move(cmds)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace valekeel::adapter
