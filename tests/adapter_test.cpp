// Tests of the simulator adapter with batches as the simulator writes them.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "adapter/simulator_adapter.hpp"

namespace valekeel::adapter {
namespace {

using Json = nlohmann::json;

Json hello(const std::string& front) {
    return Json::parse(R"({"verb":"Hello","i":")" + front + R"(","rng_seed":7,"setup":{
      "balancers":2,"host_types":["k"],"weights":"nominal",
      "allowed":{"attempts_cap":3,"cancel":true,"max_retry_after":0.5,"retry_after":true},
      "request_classes":[{"name":"talk","promise":0.8,"deadline":3,"idempotency":"pure","importance":1}],
      "rules":{"cold":10.0,"start_capacity":0.4,"fall_multiple":2.0,"tip_after":1.5},
      "specifics":{"cells":4,"racks":2,"ladder_kb":[100,300,900],"ladder_worth":[0.3,0.7,1],"rate_factor":[1],
        "lowest_rung":[0],"highest_rung":[2],"licence_cap":[0],"links_kb":40000,"rack_link_kb":20000,
        "places_by_kind":[20],"weight_kb":10000,"stall":8,"switch_cost_s":0.5,"told_late":1,"told_every":2,
        "a_key_to_come":[null]}}})");
}

Json manifest(int set, const std::string& state, std::uint32_t server = 9) {
    return {{"verb", "Manifest"},
            {"set_id", set},
            {"records",
             {{{"lifecycle", state}, {"server", server}, {"position", 1}, {"sku", "k"}, {"share", 1}}}}};
}

Json update(int set, const std::string& mode) {
    return {{"verb", "DirectoryUpdate"}, {"i", "front/1"}, {"version", 1}, {"set_id", set}, {"mode", mode}};
}

Json workItem(std::uint32_t ref, double deadline) {
    return {{"verb", "WorkItem"}, {"i", "front/1"},    {"ref", ref},        {"grade", "talk"},
            {"title", "t"},       {"holders", 4},      {"max_rung", 2},     {"give_up_at", deadline},
            {"first_cell", 0},    {"effort", nullptr}, {"project", nullptr}};
}

Json handleBatch(SimulatorAdapter& adapter, double clock, std::vector<Json> items) {
    return Json::parse(adapter.reply(Json{{"clock", clock}, {"items", items}}.dump()))["cmds"];
}

Json firstCommand(const Json& commands, const std::string& verb) {
    for (const Json& command : commands)
        if (command["verb"] == verb) return command;
    return nullptr;
}

TEST(SimulatorAdapter, AnswersAnEmptyBatch) {
    EXPECT_EQ(SimulatorAdapter().reply(R"({"clock":8.41225,"items":[]})"), R"({"cmds":[]})");
}

TEST(SimulatorAdapter, ReturnsIdsAndTimesExactly) {
    SimulatorAdapter adapter;
    handleBatch(adapter, 5.000001,
                {hello("front/1"), manifest(0, "on", 4294967295), update(0, "Complete"),
                 workItem(4294967294, 8.123457)});
    const Json relay = firstCommand(
        handleBatch(adapter, 5.020001, {{{"verb", "Wakeup"}, {"i", "front/1"}, {"key_back", "slot"}}}),
        "Relay");
    ASSERT_FALSE(relay.is_null());
    EXPECT_EQ(relay["ref"], 4294967294);
    EXPECT_EQ(relay["server"], 4294967295);
    EXPECT_LE(relay["within"].get<double>(), 8.123457 - 5.020001 + 1e-9);
}

TEST(SimulatorAdapter, ResolvesListNumbersInEventOrder) {
    // The number is reused within the batch: each update refers to the last list before it.
    SimulatorAdapter adapter;
    handleBatch(adapter, 5,
                {hello("front/1"), manifest(0, "on"), update(0, "Complete"), manifest(0, "fading"),
                 update(0, "Partial"), workItem(1, 9)});
    const Json commands =
        handleBatch(adapter, 5.02, {{{"verb", "Wakeup"}, {"i", "front/1"}, {"key_back", "slot"}}});
    EXPECT_TRUE(firstCommand(commands, "Relay").is_null());
    EXPECT_EQ(firstCommand(commands, "TurnAway")["ref"], 1);
}

TEST(SimulatorAdapter, KilledFrontLosesItsState) {
    SimulatorAdapter adapter;
    handleBatch(adapter, 5, {hello("front/1"), manifest(0, "on"), update(0, "Complete"), workItem(1, 9)});
    handleBatch(adapter, 5.01,
                {{{"verb", "Detach"}, {"i", "front/1"}}, hello("front/1"), update(0, "Persisted")});
    const Json commands =
        handleBatch(adapter, 5.02, {{{"verb", "Wakeup"}, {"i", "front/1"}, {"key_back", "slot"}}});
    EXPECT_TRUE(firstCommand(commands, "Relay").is_null());
}

TEST(SimulatorAdapter, RejectsMalformedBatchesWithTheReason) {
    const std::vector<std::pair<std::string, std::string>> lines = {
        {"{", "not valid JSON"},
        {R"({"items":[]})", "'clock' is missing"},
        {R"({"clock":1,"items":[{"verb":"Wakeup","i":"front/7","key_back":"slot"}]})", "front/7"},
        {R"({"clock":1,"items":[{"verb":"Nonsense","i":"front/7"}]})", "front/7"},
        {R"({"clock":"x","items":[]})", "'clock' is not a number"}};
    for (const auto& [line, message] : lines) {
        try {
            SimulatorAdapter().reply(line);
            ADD_FAILURE() << "accepted: " << line;
        } catch (const InvalidMessage& e) {
            EXPECT_NE(std::string(e.what()).find(message), std::string::npos) << e.what();
        }
    }
    SimulatorAdapter adapter;
    handleBatch(adapter, 5, {hello("front/1"), manifest(0, "on"), update(0, "Complete")});
    Json unknownRoomType = workItem(1, 9);
    unknownRoomType["grade"] = "unknown";
    EXPECT_THROW(handleBatch(adapter, 6, {unknownRoomType}), InvalidMessage);
    EXPECT_THROW(handleBatch(adapter, 6,
                             {{{"verb", "Result"},
                               {"i", "front/1"},
                               {"ref", 1},
                               {"server", 9},
                               {"spent", 1},
                               {"send_no", 0},
                               {"verdict", 999}}}),
                 InvalidMessage);
}

}  // namespace
}  // namespace valekeel::adapter
