#include <gtest/gtest.h>

#include <map>
#include <random>

#include "admission/admission_controller.hpp"
#include "upstream/connection_reuse.hpp"
#include "upstream/request_result.hpp"

namespace valekeel {
namespace {

using namespace admission;

ConcurrencyLimitSettings fixed(std::size_t most) {
    return {1, most, 0, 200'000};
}

TEST(Prefix, ReadsNetworksAndRefusesStrayBits) {
    EXPECT_EQ(toString(*parsePrefix("10.1.0.0/16")), "10.1.0.0/16");
    EXPECT_EQ(toString(*parsePrefix("2001:db8::/32")), "2001:db8::/32");
    EXPECT_EQ(parsePrefix("0.0.0.0/0")->length, 96);
    for (const char* bad : {"10.1.0.1/16", "10.0.0.0/33", "10.0.0.0", "2001:db8::1/32", "x/8", ""})
        EXPECT_FALSE(parsePrefix(bad)) << bad;
}

// The trie against going through a list, on prefixes that share much and little.
TEST(PrefixTrie, FindsWhatALinearScanFinds) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 chance(seed);
        const auto pick = [&](int lo, int hi) { return std::uniform_int_distribution<int>(lo, hi)(chance); };
        PrefixTrie trie;
        std::vector<std::pair<Prefix, std::uint32_t>> plain;
        const auto any = [&] {
            Prefix p;
            p.length = 128;
            for (auto& byte : p.bits) byte = static_cast<std::uint8_t>(pick(0, seed % 2 ? 1 : 255));
            return p;
        };
        for (int i = 0; i < 80; ++i) {
            const Prefix p = truncated(any(), pick(0, 128));
            const auto value = static_cast<std::uint32_t>(i);
            trie.insert(p, value);
            std::erase_if(plain, [&](const auto& e) { return e.first == p; });
            plain.emplace_back(p, value);
        }
        ASSERT_EQ(trie.size(), plain.size());
        for (int i = 0; i < 200; ++i) {
            Prefix host = any();
            if (i % 2) {  // near one that stands there
                const Prefix& near =
                    plain[static_cast<std::size_t>(pick(0, static_cast<int>(plain.size()) - 1))].first;
                for (int bit = 0; bit < near.length / 8; ++bit)
                    host.bits[static_cast<std::size_t>(bit)] = near.bits[static_cast<std::size_t>(bit)];
            }
            std::optional<std::uint32_t> expected;
            int longest = -1;
            for (const auto& [p, value] : plain)
                if (p.length > longest && truncated(host, p.length) == p) {
                    longest = p.length;
                    expected = value;
                }
            ASSERT_EQ(trie.find(host), expected) << "seed " << seed;
        }
    }
}

net::IpAddress ip(const std::string& t) {
    return boost::asio::ip::make_address(t);
}

// A server with one queue, `perSecond` of it served, asked for `offered` a second: the bound is all that
// stands between the two. Tells the longest wait of the last half, and how much was served.
struct Queue {
    ConcurrencyLimit bound;
    double waiting = 0, served = 0;
    Micros now = 0, slowest = 0;
    explicit Queue(const ConcurrencyLimitSettings& t) : bound(t) {}
    void run(Micros time, double perSecond, double offered, Micros own) {
        const Micros end = now + time;
        slowest = 0;
        served = 0;
        for (; now < end; now += 10'000) {
            waiting = std::min(waiting + offered / 100, static_cast<double>(bound.now()));
            const double out = std::min(waiting, perSecond / 100);
            const auto took = own + static_cast<Micros>(waiting / perSecond * 1e6);
            waiting -= out;
            served += out;
            for (int i = 0; i < static_cast<int>(out); ++i)
                bound.onAnswered(now, took, static_cast<std::size_t>(waiting));
            if (now > end - time / 2) slowest = std::max(slowest, took);
        }
    }
};

TEST(ConcurrencyLimit, HoldsTheWaitAtItsTargetUnderAFloodAndServesAllTheSame) {
    Queue q({64, 5'000, 300'000, 200'000});
    q.run(10 * kSecond, 1'000, 10'000, 20'000);
    EXPECT_LT(q.slowest, 600'000) << "unbounded it would be five seconds";
    EXPECT_GT(q.slowest, 150'000);
    EXPECT_GT(q.served, 9'900);
    q.run(20 * kSecond, 1'000, 100, 20'000);
    EXPECT_GT(q.bound.now(), 1'500u) << "it rises again when the flood is over";
}

TEST(ConcurrencyLimit, WhatIsSlowWithoutACrowdTurnsNobodyAway) {
    Queue q({64, 5'000, 300'000, 200'000});
    q.run(20 * kSecond, 1'000, 100, 900'000);
    EXPECT_EQ(q.bound.now(), 5'000u);
    // And a crowd over what is slow anyway is judged by that.
    q.run(20 * kSecond, 1'000, 5'000, 900'000);
    EXPECT_GT(q.bound.now(), 500u);
    EXPECT_LT(q.slowest, 2'500'000);
}

TEST(ConcurrencyLimit, NeverLeavesItsLimits) {
    std::mt19937_64 chance(3);
    ConcurrencyLimit b({10, 100, 100'000, 50'000});
    Micros now = 0;
    for (int i = 0; i < 20'000; ++i) {
        const auto t = static_cast<Micros>(chance() % (i % 3 ? 1'000'000 : 50'000));
        now += t % 100'000;
        b.onAnswered(now, t, chance() % 120);
        ASSERT_TRUE(b.now() >= 10u && b.now() <= 100u);
    }
}

TEST(RetryLimiter, SpreadsThoseWhoAreTurnedAwayByWhatIsPlaced) {
    RetryLimiter r({30 * kSecond, 1.5, 4, 20, 2 * kSecond});
    Micros now = 10 * kSecond;
    for (int i = 0; i < 100; ++i) {  // ten placed a second
        r.onPlaced(now);
        now += 100'000;
    }
    EXPECT_NEAR(r.placedPerSecond(), 10, 1);
    std::map<Micros, int> perSecond;
    Micros last = 0;
    for (int i = 0; i < 300; ++i) {
        const Micros wait = r.retryAfter(now, kSecond);
        EXPECT_GE(wait, kSecond);
        EXPECT_LE(wait, 30 * kSecond);
        EXPECT_GT(wait, last);
        last = wait;
        ++perSecond[wait / kSecond];
    }
    for (const auto& [second, many] : perSecond) EXPECT_LE(many, 17) << "no more than can be placed, by half";
    // A row that is longer than the longest wait begins anew.
    for (int i = 0; i < 1'000; ++i) EXPECT_LE(r.retryAfter(now, kSecond), 30 * kSecond);
    RetryLimiter off({0, 1.5, 4, 20, 2 * kSecond});
    EXPECT_EQ(off.retryAfter(now, 7), 7);
}

TEST(RetryLimiter, AsksAreWorthADecisionUntilNearlyAllComeToNothing) {
    RetryLimiter r({30 * kSecond, 1.5, 4, 20, 2 * kSecond});
    Micros now = 10 * kSecond;
    const auto second = [&](int asks, int places) {
        int let = 0;
        for (int i = 0; i < asks; ++i) {
            now += kSecond / asks;
            if (!r.mayAttempt(now)) continue;
            ++let;
            if (let <= places)
                r.onPlaced(now);
            else
                r.onThrottled(now);
        }
        return let;
    };
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(second(100, 60), 100) << "two in five are turned away: each is asked";
    for (int i = 0; i < 6; ++i) second(1'000, 10);
    EXPECT_TRUE(r.crowded());
    const int let = second(1'000, 10);
    EXPECT_GE(let, 30);
    EXPECT_LE(let, 60) << "four for each place, twenty at least";
    for (int i = 0; i < 6; ++i) second(20, 20);
    EXPECT_FALSE(r.crowded()) << "and all again when the crowd is over";
    EXPECT_EQ(second(100, 100), 100);
}

TEST(PathCapacity, ANarrowOneIsClosedToMoreAndOpensByAFewAtATime) {
    PathCapacity w({0.95, 2 * kSecond, 4, 1, true});
    Micros now = kSecond;
    const auto watch = [&](Micros time, double far, double others, bool lowest) {
        for (const Micros end = now + time; now < end; now += 100'000) {
            w.onDelivered(now, 1, far, lowest);
            w.onDelivered(now, 2, others, lowest);
        }
    };
    watch(6 * kSecond, 1, 1, true);
    EXPECT_TRUE(w.mayAdmit(now, 1));
    watch(6 * kSecond, 0.7, 1, false);
    EXPECT_TRUE(w.mayAdmit(now, 1)) << "a lower rung is still to come";
    watch(6 * kSecond, 0.7, 1, true);
    EXPECT_FALSE(w.mayAdmit(now, 1));
    EXPECT_TRUE(w.isLimitedToLowestRung(1));
    EXPECT_TRUE(w.mayAdmit(now, 2)) << "who is not behind it loses nothing";
    watch(4 * kSecond, 1, 1, true);
    int let = 0;
    for (int i = 0; i < 20; ++i) let += w.mayAdmit(now += 10'000, 1);
    EXPECT_LE(let, 2) << "not all of them at once";
    for (int i = 0; i < 10; ++i) {
        watch(2 * kSecond, 1, 1, true);
        w.mayAdmit(now, 1);
    }
    EXPECT_FALSE(w.isLimitedToLowestRung(1));
    // All are short together: that is no network's own way.
    watch(8 * kSecond, 0.6, 0.6, true);
    EXPECT_TRUE(w.mayAdmit(now, 1));
    EXPECT_TRUE(w.mayAdmit(now, 2));
    // Nobody left to tell: it is tried again.
    watch(6 * kSecond, 0.1, 1, false);
    EXPECT_FALSE(w.mayAdmit(now, 1));
    w.mayAdmit(now += 2 * kSecond, 1);
    w.mayAdmit(now += 9 * kSecond, 1);
    EXPECT_FALSE(w.narrow(1));
}

TEST(AdmissionController, ItsBoundHoldsAndAFloodLeavesRoomForOthers) {
    AdmissionController gate(fixed(100), 1'000, 24, 56);
    gate.addNamedNetwork(*parsePrefix("10.0.0.0/8"), "flood");
    const auto flood = gate.networkOf(ip("10.1.2.3"));
    int in = 0;
    while (gate.admit(0, flood) == AdmissionController::Decision::Admitted) ++in;
    EXPECT_GE(in, 50) << "one alone may have half of it at least";
    EXPECT_LE(in, 90);
    for (int other = 0; other < 10; ++other)
        EXPECT_EQ(gate.admit(0, gate.networkOf(ip("192.0." + std::to_string(other) + ".1"))),
                  AdmissionController::Decision::Admitted)
            << other;
    EXPECT_EQ(gate.networkOf(ip("10.200.0.1")), flood) << "one member's addresses share one share";
    EXPECT_EQ(gate.networkOf(ip("::ffff:10.9.9.9")), flood) << "however they are written";
}

TEST(AdmissionController, AgreesWithItsStatedPromisesOnAnyOrderOfEvents) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 chance(seed);
        const auto pick = [&](int lo, int hi) { return std::uniform_int_distribution<int>(lo, hi)(chance); };
        const int bound = pick(1, 120);
        AdmissionController gate(fixed(static_cast<std::size_t>(bound)), 5, 24, 56);
        std::map<std::uint32_t, int> held, open;
        int all = 0;
        for (int step = 0; step < 2'000; ++step) {
            const std::string from = "192.0." + std::to_string(pick(0, 9)) + ".7";
            const auto network = gate.networkOf(ip(from));
            switch (pick(0, 3)) {
                case 0:
                case 1: {
                    const auto let = gate.admit(0, network);
                    if (all < bound / 2) {
                        ASSERT_EQ(let, AdmissionController::Decision::Admitted);
                    }
                    if (all >= bound) {
                        ASSERT_EQ(let, AdmissionController::Decision::Full);
                    }
                    if (let == AdmissionController::Decision::Admitted) {
                        ++held[network];
                        ++all;
                    }
                    break;
                }
                case 2:
                    if (held[network] > 0) {
                        gate.onAnswered(network);
                        --held[network];
                        --all;
                    }
                    break;
                default:
                    if (open[network] < 5) {
                        ASSERT_TRUE(gate.openConnection(network));
                        ++open[network];
                    } else {
                        ASSERT_FALSE(gate.openConnection(network));
                        gate.closeConnection(network);
                        --open[network];
                    }
            }
            ASSERT_EQ(gate.pendingCount(), static_cast<std::size_t>(all));
            ASSERT_LE(all, bound);
        }
    }
}

TEST(AdmissionController, ForgetsWhatNobodyUses) {
    AdmissionController gate(fixed(10), 10, 24, 56);
    EXPECT_TRUE(gate.wouldAdmit(net::parseEndpoint("10.1.1.1:1")->ip));
    EXPECT_EQ(gate.networks(), 0u) << "asking what it would say keeps nothing";
    for (int i = 0; i < 20'000; ++i) {
        const auto n =
            gate.networkOf(ip("10." + std::to_string(i / 250 % 250) + "." + std::to_string(i % 250) + ".1"));
        ASSERT_TRUE(gate.openConnection(n));
        gate.closeConnection(n);
    }
    EXPECT_LE(gate.networks(), 2u);
}

// Connections to a box against a plain model: never over the bound, a sure request never on an old one.
TEST(ConnectionReusePolicy, KeepsItsPromisesOnAnyOrderOfEvents) {
    using namespace upstream;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 chance(seed);
        const auto pick = [&](Micros lo, Micros hi) {
            return std::uniform_int_distribution<Micros>(lo, hi)(chance);
        };
        const auto most = static_cast<std::size_t>(pick(1, 8));
        const Micros keep = pick(1'000, 50'000), sure = pick(0, 5'000);
        ConnectionReusePolicy reuse(most, keep, sure);
        std::map<ConnId, Micros> idle;
        std::vector<ConnId> busy;
        std::uint64_t next = 1;
        Micros now = 0;
        for (int step = 0; step < 2'000; ++step) {
            now += pick(0, 2'000);
            if (pick(0, 1)) {
                const bool needSure = pick(0, 1);
                const auto c = reuse.choose(
                    now, needSure ? ConnectionReusePolicy::Need::Sure : ConnectionReusePolicy::Need::Any);
                using What = ConnectionReusePolicy::Choice::What;
                if (c.what == What::Use) {
                    ASSERT_TRUE(idle.count(c.conn));
                    ASSERT_LT(now - idle[c.conn], keep);
                    if (needSure) {
                        ASSERT_LE(now - idle[c.conn], sure);
                    }
                    for (const auto& [id, since] : idle)
                        ASSERT_LE(since, idle[c.conn]) << "not the last used";
                    reuse.taken(c.conn);
                    idle.erase(c.conn);
                    busy.push_back(c.conn);
                } else if (c.what == What::Wait) {
                    ASSERT_EQ(busy.size(), most);
                } else {
                    if (c.what == What::CloseAndOpen) {
                        ASSERT_EQ(busy.size() + idle.size(), most);
                        reuse.closed(c.conn, false);
                        ASSERT_EQ(idle.erase(c.conn), 1u);
                    }
                    busy.push_back(ConnId{next});
                    reuse.opened(ConnId{next++});
                }
            } else if (!busy.empty()) {
                const auto at = static_cast<std::size_t>(pick(0, static_cast<Micros>(busy.size()) - 1));
                if (pick(0, 2)) {
                    reuse.idle(now, busy[at]);
                    idle[busy[at]] = now;
                } else {
                    reuse.closed(busy[at], true);
                }
                busy.erase(busy.begin() + static_cast<std::ptrdiff_t>(at));
            }
            if (const auto old = reuse.stale(now)) {
                ASSERT_GE(now - idle.at(*old), keep);
                reuse.closed(*old, false);
                idle.erase(*old);
            }
            ASSERT_EQ(reuse.busy(), busy.size());
            ASSERT_EQ(reuse.open(), busy.size() + idle.size());
            ASSERT_LE(reuse.open(), most);
        }
    }
}

// The module takes these three for proof that nothing ran, and no others. The table must never say otherwise.
TEST(Outcome, ProofInTheTableIsProofToTheModule) {
    for (int i = 0; i < static_cast<int>(upstream::RequestResult::kCount); ++i) {
        const upstream::ResultMeaning& m = upstream::meaningOf(static_cast<upstream::RequestResult>(i));
        const bool module =
            m.end == JoinResult::Full || m.end == JoinResult::NoConnection || m.end == JoinResult::NeverSent;
        EXPECT_EQ(m.neverRan, module) << m.name;
        EXPECT_FALSE(m.why.empty());
    }
    EXPECT_FALSE(upstream::meaningOf(upstream::RequestResult::BrokenOnReused).neverRan);
    EXPECT_FALSE(upstream::meaningOf(upstream::RequestResult::Rejected).neverRan);
}

}  // namespace
}  // namespace valekeel
