// The adapter, fed with lines as the wire writes them.
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

Json ask(std::uint32_t ref, double deadline) {
    return {{"verb", "WorkItem"}, {"i", "front/1"},    {"ref", ref},        {"grade", "talk"},
            {"title", "t"},       {"holders", 4},      {"max_rung", 2},     {"give_up_at", deadline},
            {"first_cell", 0},    {"effort", nullptr}, {"project", nullptr}};
}

Json play(SimulatorAdapter& wire, double clock, std::vector<Json> items) {
    return Json::parse(wire.reply(Json{{"clock", clock}, {"items", items}}.dump()))["cmds"];
}

Json first(const Json& cmds, const std::string& verb) {
    for (const Json& c : cmds)
        if (c["verb"] == verb) return c;
    return nullptr;
}

TEST(SimulatorAdapter, AnswersAnEmptyBatch) {
    EXPECT_EQ(SimulatorAdapter().reply(R"({"clock":8.41225,"items":[]})"), R"({"cmds":[]})");
}

TEST(SimulatorAdapter, ReturnsIdsAndTimesExactly) {
    SimulatorAdapter wire;
    play(wire, 5.000001,
         {hello("front/1"), manifest(0, "on", 4294967295), update(0, "Complete"), ask(4294967294, 8.123457)});
    const Json relay =
        first(play(wire, 5.020001, {{{"verb", "Wakeup"}, {"i", "front/1"}, {"key_back", "slot"}}}), "Relay");
    ASSERT_FALSE(relay.is_null());
    EXPECT_EQ(relay["ref"], 4294967294);
    EXPECT_EQ(relay["server"], 4294967295);
    EXPECT_LE(relay["within"].get<double>(), 8.123457 - 5.020001 + 1e-9);
}

TEST(SimulatorAdapter, ResolvesListNumbersInOrderOfEvents) {
    SimulatorAdapter
        wire;  // the number is used again within the batch: each update speaks of the list just before it
    play(wire, 5,
         {hello("front/1"), manifest(0, "on"), update(0, "Complete"), manifest(0, "fading"),
          update(0, "Partial"), ask(1, 9)});
    const Json cmds = play(wire, 5.02, {{{"verb", "Wakeup"}, {"i", "front/1"}, {"key_back", "slot"}}});
    EXPECT_TRUE(first(cmds, "Relay").is_null());
    EXPECT_EQ(first(cmds, "TurnAway")["ref"], 1);
}

TEST(SimulatorAdapter, AFrontThatIsKilledForgetsAll) {
    SimulatorAdapter wire;
    play(wire, 5, {hello("front/1"), manifest(0, "on"), update(0, "Complete"), ask(1, 9)});
    play(wire, 5.01, {{{"verb", "Detach"}, {"i", "front/1"}}, hello("front/1"), update(0, "Persisted")});
    const Json cmds = play(wire, 5.02, {{{"verb", "Wakeup"}, {"i", "front/1"}, {"key_back", "slot"}}});
    EXPECT_TRUE(first(cmds, "Relay").is_null());
}

TEST(SimulatorAdapter, SaysPlainlyWhatIsMalformed) {
    const std::vector<std::pair<std::string, std::string>> lines = {
        {"{", "not valid JSON"},
        {R"({"items":[]})", "'clock' is missing"},
        {R"({"clock":1,"items":[{"verb":"Wakeup","i":"front/7","key_back":"slot"}]})", "front/7"},
        {R"({"clock":1,"items":[{"verb":"Nonsense","i":"front/7"}]})", "front/7"},
        {R"({"clock":"x","items":[]})", "'clock' is no number"}};
    for (const auto& [line, words] : lines) {
        try {
            SimulatorAdapter().reply(line);
            ADD_FAILURE() << "taken: " << line;
        } catch (const InvalidMessage& e) {
            EXPECT_NE(std::string(e.what()).find(words), std::string::npos) << e.what();
        }
    }
    SimulatorAdapter wire;
    play(wire, 5, {hello("front/1"), manifest(0, "on"), update(0, "Complete")});
    Json odd = ask(1, 9);
    odd["grade"] = "unheard";
    EXPECT_THROW(play(wire, 6, {odd}), InvalidMessage);
    EXPECT_THROW(play(wire, 6,
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
