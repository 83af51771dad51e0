// Data structures made for the job, against plain ones.
#include <benchmark/benchmark.h>

#include <map>
#include <queue>
#include <random>
#include <vector>

#include "admission/prefix_trie.hpp"
#include "net/timer_wheel.hpp"
#include "workload/fairshare.hpp"

namespace valekeel {
namespace {

// A front's timers: nearly all are cancelled long before they are due. Each round sets one, cancels nine in
// ten of those set before, and moves the clock on, with so many waiting all the time.
constexpr Micros kSpan = 30 * kSecond;
constexpr int kCancelledOfTen = 9;

void wheel(benchmark::State& state) {
    const auto many = static_cast<std::size_t>(state.range(0));
    std::mt19937_64 chance(1);
    std::vector<net::TimerNode> nodes(many);
    net::TimerWheel w(0);
    Micros now = 0;
    for (auto& n : nodes) w.add(n, now + static_cast<Micros>(chance() % kSpan));
    const Micros step = std::max<Micros>(1, kSpan / static_cast<Micros>(many) * (10 - kCancelledOfTen) / 10);
    std::size_t at = 0;
    for (auto _ : state) {
        net::TimerNode& n = nodes[at];
        at = (at + 7919) % many;
        w.add(n, now + kSpan);  // the one that waited there is cancelled by it, if it has not fired
        now += step;
        while (net::TimerNode* due = w.popDue(now)) benchmark::DoNotOptimize(due);
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
            all.emplace_back(truncated(any(), 96 + 12 + static_cast<int>(chance() % 13)),
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
    for (const auto& [p, v] : networks.all) trie.insert(p, v);
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

// ---- fair shares: one viewer goes and one comes, among so many, over 40 members, 60 boxes in 6 racks ----

struct Sites {
    static constexpr std::uint32_t kMembers = 40, kBoxes = 60, kRacks = 6;
    std::mt19937 chance{5};
    std::vector<double> capacities;
    explicit Sites(std::size_t flows) {
        const auto each = static_cast<double>(flows) * 15;  // a little under what all of them would take
        for (std::uint32_t i = 0; i < kMembers; ++i)
            capacities.push_back(each / kMembers * (0.3 + i % 7 * 0.3));
        for (std::uint32_t i = 0; i < kBoxes; ++i) capacities.push_back(each / kBoxes * (0.5 + i % 5 * 0.3));
        for (std::uint32_t i = 0; i < kRacks; ++i) capacities.push_back(each / kRacks * 0.9);
    }
    std::array<std::uint32_t, 3> path() {
        const auto box = static_cast<std::uint32_t>(chance() % kBoxes);
        return {static_cast<std::uint32_t>(chance() % kMembers), kMembers + box,
                kMembers + kBoxes + box % kRacks};
    }
    double cap() { return std::array{5.0, 14.0, 26.0, 40.0}[chance() % 4]; }
};

void fairShareIndexed(benchmark::State& state) {
    const auto many = static_cast<std::size_t>(state.range(0));
    Sites sites(many);
    workload::FairShare share;
    for (const double c : sites.capacities) share.addLink(c);
    const auto one = [&] {
        const auto p = sites.path();
        return share.join(std::array{workload::LinkNo{p[0]}, workload::LinkNo{p[1]}, workload::LinkNo{p[2]}},
                          sites.cap());
    };
    std::vector<workload::BundleNo> flows;
    for (std::size_t i = 0; i < many; ++i) flows.push_back(one());
    share.settle();
    for (auto _ : state) {
        auto& flow = flows[sites.chance() % many];
        share.leave(flow);
        flow = one();
        share.settle();
        benchmark::DoNotOptimize(share.rate(flow));
    }
}

// Everything anew: the link with the least to give is settled, with all that cross it, then the next.
void fairShareAnew(benchmark::State& state) {
    const auto many = static_cast<std::size_t>(state.range(0));
    Sites sites(many);
    std::vector<std::array<std::uint32_t, 3>> paths;
    std::vector<double> caps, rates(many);
    for (std::size_t i = 0; i < many; ++i) {
        paths.push_back(sites.path());
        caps.push_back(sites.cap());
    }
    std::vector<std::size_t> byCap(many);
    for (auto _ : state) {
        const std::size_t changed = sites.chance() % many;
        paths[changed] = sites.path();
        caps[changed] = sites.cap();
        std::vector<double> left = sites.capacities;
        std::vector<std::uint32_t> crossing(left.size(), 0);
        std::vector<bool> held(many, false);
        for (const auto& p : paths)
            for (const auto l : p) ++crossing[l];
        for (std::size_t i = 0; i < many; ++i) byCap[i] = i;
        std::sort(byCap.begin(), byCap.end(), [&](auto a, auto b) { return caps[a] < caps[b]; });
        std::size_t next = 0;
        for (std::size_t open = many; open > 0;) {
            std::size_t narrow = left.size();
            double least = 1e300;
            for (std::size_t l = 0; l < left.size(); ++l)
                if (crossing[l] > 0 && left[l] / crossing[l] < least) {
                    least = left[l] / crossing[l];
                    narrow = l;
                }
            const auto hold = [&](std::size_t i, double rate) {
                held[i] = true;
                rates[i] = rate;
                --open;
                for (const auto l : paths[i]) {
                    left[l] -= rate;
                    --crossing[l];
                }
            };
            bool capped = false;
            for (; next < many && caps[byCap[next]] <= least; ++next)
                if (!held[byCap[next]]) {
                    hold(byCap[next], caps[byCap[next]]);
                    capped = true;
                }
            if (capped) continue;
            for (std::size_t i = 0; i < many; ++i)
                if (!held[i] && (paths[i][0] == narrow || paths[i][1] == narrow || paths[i][2] == narrow))
                    hold(i, least);
        }
        benchmark::DoNotOptimize(rates[changed]);
    }
}

BENCHMARK(fairShareIndexed)->Arg(1'000)->Arg(10'000)->Arg(100'000);
BENCHMARK(fairShareAnew)->Arg(1'000)->Arg(10'000)->Arg(100'000);

}  // namespace
}  // namespace valekeel
