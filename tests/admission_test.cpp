// Tests of admission control, of connection reuse and of the table of request results.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "admission/admission_controller.hpp"
#include "upstream/connection_reuse.hpp"
#include "upstream/request_result.hpp"

namespace valekeel {
namespace {

using namespace admission;

// A limit that does not adapt.
ConcurrencyLimitSettings fixedLimit(std::size_t limit) {
    return {1, limit, 0, 200'000};
}

TEST(Prefix, ParsesNetworksAndRejectsHostBits) {
    EXPECT_EQ(toString(*parsePrefix("10.1.0.0/16")), "10.1.0.0/16");
    EXPECT_EQ(toString(*parsePrefix("2001:db8::/32")), "2001:db8::/32");
    EXPECT_EQ(parsePrefix("0.0.0.0/0")->length, 96);
    for (const char* bad : {"10.1.0.1/16", "10.0.0.0/33", "10.0.0.0", "2001:db8::1/32", "x/8", ""})
        EXPECT_FALSE(parsePrefix(bad)) << bad;
}

// Compares the trie with a linear scan, on prefixes with long and short common parts.
TEST(PrefixTrie, MatchesALinearScan) {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 generator(seed);
        const auto pick = [&](int lo, int hi) {
            return std::uniform_int_distribution<int>(lo, hi)(generator);
        };
        PrefixTrie trie;
        std::vector<std::pair<Prefix, std::uint32_t>> entries;
        const auto randomHost = [&] {
            Prefix p;
            p.length = 128;
            for (auto& byte : p.bits) byte = static_cast<std::uint8_t>(pick(0, seed % 2 ? 1 : 255));
            return p;
        };
        for (int i = 0; i < 80; ++i) {
            const Prefix p = truncated(randomHost(), pick(0, 128));
            const auto value = static_cast<std::uint32_t>(i);
            trie.insert(p, value);
            std::erase_if(entries, [&](const auto& e) { return e.first == p; });
            entries.emplace_back(p, value);
        }
        ASSERT_EQ(trie.size(), entries.size());
        for (int i = 0; i < 200; ++i) {
            Prefix host = randomHost();
            if (i % 2) {  // shares bits with a stored prefix
                const Prefix& stored =
                    entries[static_cast<std::size_t>(pick(0, static_cast<int>(entries.size()) - 1))].first;
                for (int bit = 0; bit < stored.length / 8; ++bit)
                    host.bits[static_cast<std::size_t>(bit)] = stored.bits[static_cast<std::size_t>(bit)];
            }
            std::optional<std::uint32_t> expected;
            int longest = -1;
            for (const auto& [p, value] : entries)
                if (p.length > longest && truncated(host, p.length) == p) {
                    longest = p.length;
                    expected = value;
                }
            ASSERT_EQ(trie.find(host), expected) << "seed " << seed;
        }
    }
}

net::IpAddress ip(const std::string& text) {
    return boost::asio::ip::make_address(text);
}

// Simulates a server with one queue that serves `servedPerSecond` of `offeredPerSecond` requests, limited by
// the concurrency limit alone. Each request takes `serviceTime` and its wait. Yields the longest answer time
// of the second half and the number of requests served.
struct QueueSimulation {
    ConcurrencyLimit limit;
    double waiting = 0, served = 0;
    Micros now = 0, longest = 0;
    explicit QueueSimulation(const ConcurrencyLimitSettings& settings) : limit(settings) {}
    void run(Micros time, double servedPerSecond, double offeredPerSecond, Micros serviceTime) {
        const Micros end = now + time;
        longest = 0;
        served = 0;
        for (; now < end; now += 10'000) {
            waiting = std::min(waiting + offeredPerSecond / 100, static_cast<double>(limit.current()));
            const double done = std::min(waiting, servedPerSecond / 100);
            const auto answerTime = serviceTime + static_cast<Micros>(waiting / servedPerSecond * 1e6);
            waiting -= done;
            served += done;
            for (int i = 0; i < static_cast<int>(done); ++i)
                limit.onAnswered(now, answerTime, static_cast<std::size_t>(waiting));
            if (now > end - time / 2) longest = std::max(longest, answerTime);
        }
    }
};

TEST(ConcurrencyLimit, KeepsAnswerTimesNearTheTargetUnderOverloadWithoutLosingThroughput) {
    QueueSimulation queue({64, 5'000, 300'000, 200'000});
    queue.run(10 * kSecond, 1'000, 10'000, 20'000);
    EXPECT_LT(queue.longest, 600'000) << "five seconds without a limit";
    EXPECT_GT(queue.longest, 150'000);
    EXPECT_GT(queue.served, 9'900);
    queue.run(20 * kSecond, 1'000, 100, 20'000);
    EXPECT_GT(queue.limit.current(), 1'500u) << "rises again after the overload";
}

TEST(ConcurrencyLimit, SlowAnswersWithoutLoadDoNotLowerTheLimit) {
    QueueSimulation queue({64, 5'000, 300'000, 200'000});
    queue.run(20 * kSecond, 1'000, 100, 900'000);
    EXPECT_EQ(queue.limit.current(), 5'000u);
    // Under load, the slow baseline raises the target.
    queue.run(20 * kSecond, 1'000, 5'000, 900'000);
    EXPECT_GT(queue.limit.current(), 500u);
    EXPECT_LT(queue.longest, 2'500'000);
}

TEST(ConcurrencyLimit, StaysWithinItsBounds) {
    std::mt19937_64 generator(3);
    ConcurrencyLimit limit({10, 100, 100'000, 50'000});
    Micros now = 0;
    for (int i = 0; i < 20'000; ++i) {
        const auto answerTime = static_cast<Micros>(generator() % (i % 3 ? 1'000'000 : 50'000));
        now += answerTime % 100'000;
        limit.onAnswered(now, answerTime, generator() % 120);
        ASSERT_TRUE(limit.current() >= 10u && limit.current() <= 100u);
    }
}

TEST(RetryLimiter, SpreadsRetriesAtThePlacementRate) {
    RetryLimiter limiter({30 * kSecond, 1.5, 4, 20, 2 * kSecond});
    Micros now = 10 * kSecond;
    for (int i = 0; i < 100; ++i) {  // ten placements a second
        limiter.onPlaced(now);
        now += 100'000;
    }
    EXPECT_NEAR(limiter.placedPerSecond(), 10, 1);
    std::map<Micros, int> retriesPerSecond;
    Micros last = 0;
    for (int i = 0; i < 300; ++i) {
        const Micros wait = limiter.retryAfter(now, kSecond);
        EXPECT_GE(wait, kSecond);
        EXPECT_LE(wait, 30 * kSecond);
        EXPECT_GT(wait, last);
        last = wait;
        ++retriesPerSecond[wait / kSecond];
    }
    for (const auto& [second, retries] : retriesPerSecond)
        EXPECT_LE(retries, 17) << "at most one and a half times the placements";
    // Past the longest wait, the retry times start again.
    for (int i = 0; i < 1'000; ++i) EXPECT_LE(limiter.retryAfter(now, kSecond), 30 * kSecond);
    RetryLimiter disabled({0, 1.5, 4, 20, 2 * kSecond});
    EXPECT_EQ(disabled.retryAfter(now, 7), 7);
}

TEST(RetryLimiter, LimitsAttemptsOnlyWhileNearlyAllFail) {
    RetryLimiter limiter({30 * kSecond, 1.5, 4, 20, 2 * kSecond});
    Micros now = 10 * kSecond;
    const auto runSecond = [&](int attempts, int places) {
        int passed = 0;
        for (int i = 0; i < attempts; ++i) {
            now += kSecond / attempts;
            if (!limiter.mayAttempt(now)) continue;
            ++passed;
            if (passed <= places)
                limiter.onPlaced(now);
            else
                limiter.onThrottled(now);
        }
        return passed;
    };
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(runSecond(100, 60), 100) << "two in five are throttled: every attempt passes";
    for (int i = 0; i < 6; ++i) runSecond(1'000, 10);
    EXPECT_TRUE(limiter.isOverloaded());
    const int passed = runSecond(1'000, 10);
    EXPECT_GE(passed, 30);
    EXPECT_LE(passed, 60) << "four per placement, at least twenty";
    for (int i = 0; i < 6; ++i) runSecond(20, 20);
    EXPECT_FALSE(limiter.isOverloaded()) << "every attempt passes again after the overload";
    EXPECT_EQ(runSecond(100, 100), 100);
}

TEST(PathCapacity, RefusesOnASaturatedPathAndReopensItGradually) {
    PathCapacity paths({0.95, 2 * kSecond, 4, 1, true});
    Micros now = kSecond;
    const auto deliver = [&](Micros time, double share1, double share2, bool lowest) {
        for (const Micros end = now + time; now < end; now += 100'000) {
            paths.onDelivered(now, 1, share1, lowest);
            paths.onDelivered(now, 2, share2, lowest);
        }
    };
    deliver(6 * kSecond, 1, 1, true);
    EXPECT_TRUE(paths.mayAdmit(now, 1));
    deliver(6 * kSecond, 0.7, 1, false);
    EXPECT_TRUE(paths.mayAdmit(now, 1)) << "a lower rung is still possible";
    deliver(6 * kSecond, 0.7, 1, true);
    EXPECT_FALSE(paths.mayAdmit(now, 1));
    EXPECT_TRUE(paths.isLimitedToLowestRung(1));
    EXPECT_TRUE(paths.mayAdmit(now, 2)) << "other networks are unaffected";
    deliver(4 * kSecond, 1, 1, true);
    int admitted = 0;
    for (int i = 0; i < 20; ++i) admitted += paths.mayAdmit(now += 10'000, 1);
    EXPECT_LE(admitted, 2) << "only a few at once";
    for (int i = 0; i < 10; ++i) {
        deliver(2 * kSecond, 1, 1, true);
        paths.mayAdmit(now, 1);
    }
    EXPECT_FALSE(paths.isLimitedToLowestRung(1));
    // All networks fall short together: no single path is saturated.
    deliver(8 * kSecond, 0.6, 0.6, true);
    EXPECT_TRUE(paths.mayAdmit(now, 1));
    EXPECT_TRUE(paths.mayAdmit(now, 2));
    // No viewer is left to measure with: new ones are admitted again.
    deliver(6 * kSecond, 0.1, 1, false);
    EXPECT_FALSE(paths.mayAdmit(now, 1));
    paths.mayAdmit(now += 2 * kSecond, 1);
    paths.mayAdmit(now += 9 * kSecond, 1);
    EXPECT_FALSE(paths.isSaturated(1));
}

TEST(AdmissionController, AFloodFromOneNetworkLeavesRoomForOthers) {
    AdmissionController controller(fixedLimit(100), 1'000, 24, 56);
    controller.addNamedNetwork(*parsePrefix("10.0.0.0/8"), "flood");
    const auto flood = controller.networkOf(ip("10.1.2.3"));
    int admitted = 0;
    while (controller.admit(0, flood) == AdmissionController::Decision::Admitted) ++admitted;
    EXPECT_GE(admitted, 50) << "a single network may use at least half";
    EXPECT_LE(admitted, 90);
    for (int other = 0; other < 10; ++other)
        EXPECT_EQ(controller.admit(0, controller.networkOf(ip("192.0." + std::to_string(other) + ".1"))),
                  AdmissionController::Decision::Admitted)
            << other;
    EXPECT_EQ(controller.networkOf(ip("10.200.0.1")), flood) << "addresses of one member form one network";
    EXPECT_EQ(controller.networkOf(ip("::ffff:10.9.9.9")), flood) << "in any notation";
}

TEST(AdmissionController, KeepsItsInvariantsOnAnyOrderOfEvents) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 generator(seed);
        const auto pick = [&](int lo, int hi) {
            return std::uniform_int_distribution<int>(lo, hi)(generator);
        };
        const int limit = pick(1, 120);
        AdmissionController controller(fixedLimit(static_cast<std::size_t>(limit)), 5, 24, 56);
        std::map<std::uint32_t, int> pending, open;
        int total = 0;
        for (int step = 0; step < 2'000; ++step) {
            const std::string address = "192.0." + std::to_string(pick(0, 9)) + ".7";
            const auto network = controller.networkOf(ip(address));
            switch (pick(0, 3)) {
                case 0:
                case 1: {
                    const auto decision = controller.admit(0, network);
                    if (total < limit / 2) {
                        ASSERT_EQ(decision, AdmissionController::Decision::Admitted);
                    }
                    if (total >= limit) {
                        ASSERT_EQ(decision, AdmissionController::Decision::Full);
                    }
                    if (decision == AdmissionController::Decision::Admitted) {
                        ++pending[network];
                        ++total;
                    }
                    break;
                }
                case 2:
                    if (pending[network] > 0) {
                        controller.onAnswered(network);
                        --pending[network];
                        --total;
                    }
                    break;
                default:
                    if (open[network] < 5) {
                        ASSERT_TRUE(controller.openConnection(network));
                        ++open[network];
                    } else {
                        ASSERT_FALSE(controller.openConnection(network));
                        controller.closeConnection(network);
                        --open[network];
                    }
            }
            ASSERT_EQ(controller.pendingCount(), static_cast<std::size_t>(total));
            ASSERT_LE(total, limit);
        }
    }
}

TEST(AdmissionController, ForgetsUnusedNetworks) {
    AdmissionController controller(fixedLimit(10), 10, 24, 56);
    EXPECT_TRUE(controller.wouldAdmit(net::parseEndpoint("10.1.1.1:1")->ip));
    EXPECT_EQ(controller.networkCount(), 0u) << "wouldAdmit() registers no network";
    for (int i = 0; i < 20'000; ++i) {
        const auto network = controller.networkOf(
            ip("10." + std::to_string(i / 250 % 250) + "." + std::to_string(i % 250) + ".1"));
        ASSERT_TRUE(controller.openConnection(network));
        controller.closeConnection(network);
    }
    EXPECT_LE(controller.networkCount(), 2u);
}

// Compares the policy with a plain model: never more connections than the limit, and a request that needs a
// recently used connection never gets an older one.
TEST(ConnectionReusePolicy, KeepsItsInvariantsOnAnyOrderOfEvents) {
    using namespace upstream;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 generator(seed);
        const auto pick = [&](Micros lo, Micros hi) {
            return std::uniform_int_distribution<Micros>(lo, hi)(generator);
        };
        const auto maxOpen = static_cast<std::size_t>(pick(1, 8));
        const Micros idleTimeout = pick(1'000, 50'000), recentUse = pick(0, 5'000);
        ConnectionReusePolicy reuse(maxOpen, idleTimeout, recentUse);
        std::map<ConnId, Micros> idle;
        std::vector<ConnId> busy;
        std::uint64_t nextId = 1;
        Micros now = 0;
        for (int step = 0; step < 2'000; ++step) {
            now += pick(0, 2'000);
            if (pick(0, 1)) {
                const bool needRecent = pick(0, 1);
                const auto choice = reuse.choose(now, needRecent ? ConnectionReusePolicy::Need::RecentlyUsed
                                                                 : ConnectionReusePolicy::Need::Any);
                using Action = ConnectionReusePolicy::Choice::Action;
                if (choice.action == Action::Use) {
                    ASSERT_TRUE(idle.count(choice.connection));
                    ASSERT_LT(now - idle[choice.connection], idleTimeout);
                    if (needRecent) {
                        ASSERT_LE(now - idle[choice.connection], recentUse);
                    }
                    for (const auto& [id, since] : idle)
                        ASSERT_LE(since, idle[choice.connection]) << "not the most recently used";
                    reuse.onTaken(choice.connection);
                    idle.erase(choice.connection);
                    busy.push_back(choice.connection);
                } else if (choice.action == Action::Wait) {
                    ASSERT_EQ(busy.size(), maxOpen);
                } else {
                    if (choice.action == Action::CloseAndOpen) {
                        ASSERT_EQ(busy.size() + idle.size(), maxOpen);
                        reuse.onClosed(choice.connection, false);
                        ASSERT_EQ(idle.erase(choice.connection), 1u);
                    }
                    busy.push_back(ConnId{nextId});
                    reuse.onOpened(ConnId{nextId++});
                }
            } else if (!busy.empty()) {
                const auto index = static_cast<std::size_t>(pick(0, static_cast<Micros>(busy.size()) - 1));
                if (pick(0, 2)) {
                    reuse.onIdle(now, busy[index]);
                    idle[busy[index]] = now;
                } else {
                    reuse.onClosed(busy[index], true);
                }
                busy.erase(busy.begin() + static_cast<std::ptrdiff_t>(index));
            }
            if (const auto expired = reuse.expired(now)) {
                ASSERT_GE(now - idle.at(*expired), idleTimeout);
                reuse.onClosed(*expired, false);
                idle.erase(*expired);
            }
            ASSERT_EQ(reuse.busyCount(), busy.size());
            ASSERT_EQ(reuse.openCount(), busy.size() + idle.size());
            ASSERT_LE(reuse.openCount(), maxOpen);
        }
    }
}

// The module takes exactly these three results as proof that nothing ran. The table must agree.
TEST(RequestResult, ProofsAgreeWithTheModule) {
    for (int i = 0; i < static_cast<int>(upstream::RequestResult::kCount); ++i) {
        const upstream::ResultMeaning& meaning = upstream::meaningOf(static_cast<upstream::RequestResult>(i));
        const bool provenForModule = meaning.end == JoinResult::Full ||
                                     meaning.end == JoinResult::NoConnection ||
                                     meaning.end == JoinResult::NeverSent;
        EXPECT_EQ(meaning.neverRan, provenForModule) << meaning.name;
        EXPECT_FALSE(meaning.why.empty());
    }
    EXPECT_FALSE(upstream::meaningOf(upstream::RequestResult::BrokenOnReused).neverRan);
    EXPECT_FALSE(upstream::meaningOf(upstream::RequestResult::Rejected).neverRan);
}

}  // namespace
}  // namespace valekeel
