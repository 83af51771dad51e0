// Data structures made for the job, against plain ones.
#include <benchmark/benchmark.h>

#include <map>
#include <queue>
#include <random>
#include <vector>

#include "admission/networks.hpp"
#include "net/wheel.hpp"

namespace valekeel {
namespace {

// A front's timers: nearly all are cancelled long before they are due. Each round sets one, cancels nine in
// ten of those set before, and moves the clock on, with so many waiting all the time.
constexpr Micros kSpan = 30 * kSecond;
constexpr int kCancelledOfTen = 9;

void wheel(benchmark::State& state) {
    const auto many = static_cast<std::size_t>(state.range(0));
    std::mt19937_64 chance(1);
    std::vector<net::WheelNode> nodes(many);
    net::Wheel w(0);
    Micros now = 0;
    for (auto& n : nodes) w.add(n, now + static_cast<Micros>(chance() % kSpan));
    const Micros step = std::max<Micros>(1, kSpan / static_cast<Micros>(many) * (10 - kCancelledOfTen) / 10);
    std::size_t at = 0;
    for (auto _ : state) {
        net::WheelNode& n = nodes[at];
        at = (at + 7919) % many;
        w.add(n, now + kSpan);  // the one that waited there is cancelled by it, if it has not fired
        now += step;
        while (net::WheelNode* due = w.due(now)) benchmark::DoNotOptimize(due);
    }
}

// The plain ways: an ordered map, and a heap whose cancelled entries are passed over when they come up.
void multimap(benchmark::State& state) {
    const auto many = static_cast<std::size_t>(state.range(0));
    std::mt19937_64 chance(1);
    std::multimap<Micros, std::size_t> timers;
    std::vector<std::multimap<Micros, std::size_t>::iterator> where(many, timers.end());
    Micros now = 0;
    for (std::size_t i = 0; i < many; ++i)
        where[i] = timers.emplace(now + static_cast<Micros>(chance() % kSpan), i);
    const Micros step = std::max<Micros>(1, kSpan / static_cast<Micros>(many) * (10 - kCancelledOfTen) / 10);
    std::size_t at = 0;
    for (auto _ : state) {
        if (where[at] != timers.end()) timers.erase(where[at]);
        where[at] = timers.emplace(now + kSpan, at);
        at = (at + 7919) % many;
        now += step;
        while (!timers.empty() && timers.begin()->first <= now) {
            where[timers.begin()->second] = timers.end();
            timers.erase(timers.begin());
        }
    }
}

void priorityQueue(benchmark::State& state) {
    const auto many = static_cast<std::size_t>(state.range(0));
    struct Entry {
        Micros at;
        std::size_t id;
        std::uint64_t version;
        bool operator>(const Entry& o) const { return at > o.at; }
    };
    std::mt19937_64 chance(1);
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> timers;
    std::vector<std::uint64_t> version(many, 0);
    Micros now = 0;
    for (std::size_t i = 0; i < many; ++i) timers.push({now + static_cast<Micros>(chance() % kSpan), i, 0});
    const Micros step = std::max<Micros>(1, kSpan / static_cast<Micros>(many) * (10 - kCancelledOfTen) / 10);
    std::size_t at = 0;
    for (auto _ : state) {
        timers.push({now + kSpan, at, ++version[at]});
        at = (at + 7919) % many;
        now += step;
        while (!timers.empty() && timers.top().at <= now) {
            benchmark::DoNotOptimize(timers.top().version == version[timers.top().id]);
            timers.pop();
        }
    }
    state.counters["held"] = static_cast<double>(timers.size());
}

BENCHMARK(wheel)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);
BENCHMARK(multimap)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);
BENCHMARK(priorityQueue)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

struct Networks {
    std::vector<std::pair<admission::Prefix, std::uint32_t>> all;
    std::vector<admission::Prefix> hosts;
    explicit Networks(std::size_t many) {
        std::mt19937 chance(2);
        const auto any = [&] {
            admission::Prefix p;
            p.length = 128;
            p.bits[10] = p.bits[11] = 0xff;
            for (std::size_t i = 12; i < 16; ++i) p.bits[i] = static_cast<std::uint8_t>(chance() % 256);
            return p;
        };
        for (std::size_t i = 0; i < many; ++i)
            all.emplace_back(cut(any(), 96 + 12 + static_cast<int>(chance() % 13)),
                             static_cast<std::uint32_t>(i));
        for (int i = 0; i < 4'096; ++i) {
            admission::Prefix h = any();
            if (i % 4) {  // most callers belong to a member
                const auto& p = all[chance() % many].first;
                for (std::size_t byte = 0; byte < static_cast<std::size_t>(p.length / 8); ++byte)
                    h.bits[byte] = p.bits[byte];
            }
            hosts.push_back(h);
        }
    }
};

void prefixTrie(benchmark::State& state) {
    const Networks networks(static_cast<std::size_t>(state.range(0)));
    admission::PrefixTrie trie;
    for (const auto& [p, v] : networks.all) trie.put(p, v);
    std::size_t at = 0;
    for (auto _ : state) benchmark::DoNotOptimize(trie.find(networks.hosts[at++ % networks.hosts.size()]));
}

void linearScan(benchmark::State& state) {
    const Networks networks(static_cast<std::size_t>(state.range(0)));
    std::size_t at = 0;
    for (auto _ : state) {
        const admission::Prefix& host = networks.hosts[at++ % networks.hosts.size()];
        int longest = -1;
        std::uint32_t best = 0;
        for (const auto& [p, v] : networks.all) {
            if (p.length <= longest) continue;
            const auto whole = static_cast<std::size_t>(p.length / 8);
            if (!std::equal(p.bits.begin(), p.bits.begin() + static_cast<std::ptrdiff_t>(whole),
                            host.bits.begin()))
                continue;
            const int rest = p.length % 8;
            if (rest && ((p.bits[whole] ^ host.bits[whole]) >> (8 - rest))) continue;
            longest = p.length;
            best = v;
        }
        benchmark::DoNotOptimize(best);
    }
}

BENCHMARK(prefixTrie)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);
BENCHMARK(linearScan)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000);

}  // namespace
}  // namespace valekeel
