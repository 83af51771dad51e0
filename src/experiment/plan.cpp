#include "experiment/plan.hpp"

#include <algorithm>

namespace valekeel::experiment {

using settings::NodeReader;

namespace {

Factor readFactor(NodeReader& node) {
    Factor f;
    f.name = node.argument("its name");
    if (node.has("set")) f.sets.push_back(node.text("set"));
    for (NodeReader& one : node.childrenNamed("set")) {
        f.sets.push_back(one.argument("a setting, as \"audience@rate\""));
        one.rejectUnread();
    }
    if (f.sets.empty()) node.fail("a factor is expected to set something: set=\"audience@rate\"");
    for (NodeReader& one : node.childrenNamed("level")) {
        Level level;
        level.name = one.text("as", "");
        level.values = one.argumentsAsText();
        if (level.values.size() != f.sets.size())
            one.fail("as many values are expected as the factor has settings: " +
                     std::to_string(f.sets.size()));
        if (level.name.empty()) level.name = level.values.front();
        one.rejectUnread();
        f.levels.push_back(level);
    }
    if (f.levels.empty()) node.fail("a factor is expected to have levels");
    node.rejectUnread();
    return f;
}

}  // namespace

Plan readPlan(const settings::Document& document) {
    Plan p;
    NodeReader top(document);
    NodeReader head = top.requiredChild("experiment");
    p.name = head.argument("its name");
    if (p.name.empty() || p.name.find('/') != std::string::npos) head.fail("a name without '/' is expected");
    p.atOnce = static_cast<int>(head.integer("at-once", 1, 64, 1));
    p.real = head.flag("real", false);
    p.decisions = head.choice("decisions", {"", "random", "least-load"}, "");
    head.rejectUnread();
    for (NodeReader& node : top.childrenNamed("day")) {
        p.days.push_back(node.argument("a day's file"));
        node.rejectUnread();
    }
    if (p.days.empty()) top.fail("at least one 'day' is expected");
    for (NodeReader& node : top.childrenNamed("factor")) p.factors.push_back(readFactor(node));
    NodeReader seeds = top.requiredChild("seeds");
    for (const double s : seeds.numbers("seeds", 0, 1e9)) p.seeds.push_back(static_cast<std::uint64_t>(s));
    if (p.seeds.empty()) seeds.fail("at least one seed is expected");
    seeds.rejectUnread();
    if (auto node = top.optionalChild("show")) {
        p.shows = node->texts("measures");
        node->rejectUnread();
    }
    for (NodeReader& node : top.childrenNamed("chart")) {
        ChartWanted c;
        c.over = node.text("over");
        c.measures = node.texts("measures");
        if (std::none_of(p.factors.begin(), p.factors.end(),
                         [&](const Factor& f) { return f.name == c.over; }))
            node.failProperty("over", "'" + c.over + "' is none of the factors");
        node.rejectUnread();
        p.charts.push_back(c);
    }
    top.rejectUnread();
    return p;
}

std::vector<Case> Plan::cases() const {
    std::vector<Case> out;
    for (const std::string& day : days) {
        std::vector<std::size_t> at(factors.size(), 0);
        for (;;) {
            out.push_back({day, at});
            std::size_t i = factors.size();
            while (i > 0 && ++at[i - 1] == factors[i - 1].levels.size()) at[--i] = 0;
            if (i == 0) break;
        }
    }
    return out;
}

std::vector<Run> Plan::runs() const {
    std::vector<Run> out;
    const std::size_t many = cases().size();
    for (const std::uint64_t seed : seeds)
        for (std::size_t c = 0; c < many; ++c) out.push_back({c, seed});
    return out;
}

std::vector<std::pair<std::string, std::string>> Plan::settingsOf(const Case& c) const {
    std::vector<std::pair<std::string, std::string>> out;
    for (std::size_t f = 0; f < factors.size(); ++f)
        for (std::size_t i = 0; i < factors[f].sets.size(); ++i)
            out.emplace_back(factors[f].sets[i], factors[f].levels[c.levels[f]].values[i]);
    return out;
}

std::string Plan::nameOf(const Case& c) const {
    std::string out = days.size() > 1 ? c.day : "";
    for (std::size_t f = 0; f < factors.size(); ++f)
        out += (out.empty() ? "" : ", ") + factors[f].name + " " + factors[f].levels[c.levels[f]].name;
    return out.empty() ? "all" : out;
}

}  // namespace valekeel::experiment
