// Calls: what one costs a front and what a copy of its INVITE does; 2,000 of them through bad weather; and a
// flood at up to ten times what the front can place, with and without overload control. Front, boxes and
// flood are processes of their own but in bad weather, where the front stands in this one, so that what is
// left in it can be counted.
#include <array>
#include <cstring>
#include <map>
#include <random>
#include <set>

#include "audit/audit.hpp"
#include "charts/charts.hpp"
#include "fakes/caller.hpp"
#include "front/front.hpp"
#include "front_fixture.hpp"

namespace valekeel {
namespace {

// ---- many thin callers on one socket, who ask at a rate whatever comes back ----

enum class Listens { No, Yes };  // to oc, RFC 7339

class Flood final : net::DatagramHandler {
  public:
    Flood(net::EpollNet& net, const net::Endpoint& front, double rate, Micros lasts, Listens listens,
          std::uint64_t seed)
        : net_(net),
          front_(front),
          rate_(rate),
          lasts_(lasts),
          listens_(listens),
          chance_(seed),
          pace_(net, [this] { pace(); }) {
        socket_ = net.bind(*net::parseEndpoint("127.0.0.1:0"), *this);
        me_ = net::toString(socket_->endpoint());
        begun_ = net.now();
        pace();
    }
    std::uint64_t wanted = 0, asked = 0, played = 0, refused = 0, throttled = 0, late = 0, never = 0,
                  sent = 0;

  private:
    static constexpr Micros kPatience = 2 * kSecond;
    struct Call {
        std::uint64_t number;
        Micros askedAt, wait = 500'000;
        bool heard = false, over = false;
        std::string invite, bye;
        std::unique_ptr<net::Timer> again;
    };
    std::string text(const Call& c, const char* method, int cseq, const std::string& branch,
                     const std::string& toTag, const std::string& more, const std::string& body) {
        const std::string n = std::to_string(c.number);
        return std::string(method) + " sip:t@" + net::toString(front_) +
               ";room=open SIP/2.0\r\nVia: SIP/2.0/UDP " + me_ + ";branch=z9hG4bK" + branch + n +
               (listens_ == Listens::Yes ? ";oc;oc-algo=\"loss\"" : "") +
               "\r\nMax-Forwards: 70\r\nFrom: <sip:f@" + me_ + ">;tag=f" + n + "\r\nTo: <sip:t@" +
               net::toString(front_) + ">" + (toTag.empty() ? "" : ";tag=" + toTag) + "\r\nCall-ID: " + n +
               "-" + me_.substr(me_.rfind(':') + 1) + "@flood\r\nCSeq: " + std::to_string(cseq) + " " +
               method + "\r\nContact: <sip:f@" + me_ + ">\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void put(const std::string& bytes) {
        ++sent;
        socket_->send(front_, bytes);
    }
    void pace() {
        const Micros past = net_.now() - begun_;
        if (past >= lasts_) return;
        const auto due = static_cast<std::uint64_t>(rate_ * seconds(past));
        while (wanted < due) {
            ++wanted;
            if (listens_ == Listens::Yes && net_.now() < lossUntil_ &&
                std::uniform_real_distribution<double>(0, 1)(chance_) < loss_)
                continue;  // told to keep it back
            ask();
        }
        pace_.after(1'000);
    }
    void ask() {
        static const std::string kOffer =
            "v=0\r\no=c 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=video 40000 RTP/AVP "
            "96\r\na=recvonly\r\n";
        const std::uint64_t n = ++next_;
        auto call = std::make_unique<Call>();
        Call& c = *call;
        c.number = n;
        c.askedAt = net_.now();
        c.invite = text(c, "INVITE", 1, "i", "", "Expires: 2\r\nContent-Type: application/sdp\r\n", kOffer);
        c.again = std::make_unique<net::Timer>(net_, [this, n] {
            const auto it = calls_.find(n);
            if (it == calls_.end()) return;
            Call& one = *it->second;
            if (one.over) {
                if (one.wait > 4 * kSecond) return forget(n);
                put(one.bye);
            } else if (net_.now() - one.askedAt > 2 * kPatience) {
                ++never;
                return forget(n);
            } else if (!one.heard) {
                put(one.invite);
            }
            one.wait *= 2;
            one.again->after(one.wait);
        });
        c.again->after(c.wait);
        ++asked;
        put(c.invite);
        calls_[n] = std::move(call);
    }
    void forget(std::uint64_t n) {
        const auto it = calls_.find(n);
        spent_.clear();
        spent_.push_back(std::move(it->second));
        calls_.erase(it);
    }
    static std::string_view after(std::string_view text, std::string_view what) {
        const auto at = text.find(what);
        if (at == std::string_view::npos) return {};
        const auto from = at + what.size();
        return text.substr(from, text.find("\r\n", from) - from);
    }
    void onDatagram(const net::Endpoint&, std::string_view bytes) override {
        if (bytes.compare(0, 8, "SIP/2.0 ") != 0) return;
        const int status = std::atoi(std::string(bytes.substr(8, 3)).c_str());
        const std::uint64_t n =
            std::strtoull(std::string(after(bytes, "\r\nCall-ID: ")).c_str(), nullptr, 10);
        if (const auto oc = after(bytes, ";oc="); !oc.empty()) {
            loss_ = std::atoi(std::string(oc).c_str()) / 100.0;
            const auto valid = after(bytes, ";oc-validity=");
            lossUntil_ = net_.now() + std::atoll(std::string(valid).c_str()) * 1000;
        }
        const auto it = calls_.find(n);
        if (it == calls_.end()) return;
        Call& c = *it->second;
        const bool invite = after(bytes, "\r\nCSeq: ").find("INVITE") != std::string_view::npos;
        if (!invite) {
            if (c.over && status >= 200) forget(n);
            return;
        }
        c.heard = true;
        if (status < 200) return;
        std::string tag(after(bytes, "\r\nTo: "));
        const auto at = tag.find(";tag=");
        tag = at == std::string::npos ? "" : tag.substr(at + 5);
        if (status >= 300) {
            put(text(c, "ACK", 1, "i", tag, "", ""));
            ++(status == 503 ? refused : throttled);
            return forget(n);
        }
        put(text(c, "ACK", 1, "a", tag, "", ""));
        if (std::exchange(c.over, true)) return;
        ++(net_.now() - c.askedAt <= kPatience ? played : late);
        c.bye = text(c, "BYE", 2, "b", tag, "", "");
        c.wait = 500'000;
        // Of many lengths: calls that all ended together would make a rhythm of their own.
        c.again->after(std::uniform_int_distribution<Micros>(200'000, 1'800'000)(chance_));
    }

    net::EpollNet& net_;
    net::Endpoint front_;
    double rate_;
    Micros lasts_, begun_ = 0;
    Listens listens_;
    std::mt19937_64 chance_;
    std::unique_ptr<net::DatagramSocket> socket_;
    std::string me_;
    net::Timer pace_;
    std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
    std::vector<std::unique_ptr<Call>> spent_;
    std::uint64_t next_ = 0;
    double loss_ = 0;
    Micros lossUntil_ = 0;
};

int floodProcess(char** argv) {  // --flood FRONT RATE SECONDS LISTENS FILE
    net::EpollNet net(9);
    const double span = std::atof(argv[4]);
    Flood flood(net, *net::parseEndpoint(argv[2]), std::atof(argv[3]), static_cast<Micros>(span * 1e6),
                argv[5][0] == 'y' ? Listens::Yes : Listens::No, 9);
    net::Timer end(net, [&] { net.stop(); });
    end.after(static_cast<Micros>((span + 6) * 1e6));
    net.run();
    const std::string file = argv[6];
    std::ofstream(file + ".new") << flood.wanted << " " << flood.asked << " " << flood.played << " "
                                 << flood.refused << " " << flood.late << " " << flood.never << " "
                                 << flood.sent << " " << flood.throttled << "\n";
    std::filesystem::rename(file + ".new", file);
    return 0;
}

struct Flooded {
    double offered = 0, goodput = 0, refused = 0, throttled = 0, late = 0, never = 0, sent = 0, cores = 0;
};

Flooded flooded(const char* self, double rate, bool shed, Listens listens, int places, Micros setUp,
                int waiting = 500) {
    Stage s(10, setUp, "silent-after=\"60s\"",
            "sip listen=\"127.0.0.1:0\" transactions=200000 calls=200000 shed=#" +
                std::string(shed ? "true" : "false") + "\nallowed joins=3 come-back-at-most=\"2s\"\n",
            places,
            "waiting=" + std::to_string(waiting) + std::string(" connections-each=200000") +
                (shed ? "" : " target-wait=\"0s\""));
    constexpr double kSpan = 6;
    const std::string file = (s.folder / "flood").string();
    const double cpu = s.front.cpuSeconds();
    // Two of them: one alone would be the bottleneck at the highest rates.
    std::vector<net::Process> floods;
    for (int i = 0; i < 2; ++i)
        floods.emplace_back(std::vector<std::string>{
            self, "--flood", net::toString(s.sip), std::to_string(rate / 2), std::to_string(kSpan),
            listens == Listens::Yes ? "y" : "n", file + std::to_string(i)});
    double used = 0, busiest = 0;
    const Micros from = s.net.now();
    while (floods[0].running() || floods[1].running()) {
        s.turn(100'000);
        if (used > 0 || s.net.now() - from < static_cast<Micros>(kSpan * 1e6)) continue;
        used = s.front.cpuSeconds() - cpu;
        busiest = std::max(floods[0].cpuSeconds(), floods[1].cpuSeconds()) / kSpan;
    }
    if (busiest > 0.9) std::printf("(the flood itself took %.2f cores: it was late)\n", busiest);
    double wanted = 0, asked = 0, played = 0, refused = 0, late = 0, never = 0, sent = 0, throttled = 0;
    for (int i = 0; i < 2; ++i) {
        std::ifstream in(file + std::to_string(i));
        for (double* to : {&wanted, &asked, &played, &refused, &late, &never, &sent, &throttled}) {
            double one = 0;
            in >> one;
            *to += one;
        }
    }
    return {wanted / kSpan, played / kSpan, refused / kSpan, throttled / kSpan,
            late / kSpan,   never / kSpan,  sent / kSpan,    used / kSpan};
}

void floods(const char* self, const std::string& chartFile, double most) {
    charts::Chart chart;
    chart.title = "A flood of calls: goodput over offered load";
    chart.xName = "offered, calls a second";
    chart.yName = "placed in time, calls a second";
    chart.logX = true;
    std::printf(
        "\n| overload control | offered a second | placed in time | 503 | 486, 50x | late | no answer | "
        "messages "
        "in | front, cores |\n|---|--:|--:|--:|--:|--:|--:|--:|--:|\n");
    for (const auto& [name, shed, listens, waiting] :
         {std::tuple{"none, 2,000 may wait", false, Listens::No, 2'000},
          std::tuple{"none, 500 may wait", false, Listens::No, 500},
          std::tuple{"shed at the front", true, Listens::No, 500},
          std::tuple{"senders listen to oc", true, Listens::Yes, 500}}) {
        charts::Series line{name, {}, {}, {}, {}};
        for (const double share : {0.5, 1.0, 2.0, 5.0, 10.0}) {
            const Flooded f = flooded(self, share * most, shed, listens, 300, 5'000, waiting);
            std::printf("| %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f |\n", name, f.offered,
                        f.goodput, f.refused, f.throttled, f.late, f.never, f.sent, f.cores);
            std::fflush(stdout);
            line.x.push_back(f.offered);
            line.y.push_back(f.goodput);
        }
        chart.series.push_back(std::move(line));
    }
    if (!chartFile.empty()) charts::drawLines(chart, chartFile);
}

// CPU of a whole call (INVITE, join, 200, ACK, BYE, release), and of a copy of an INVITE that is known.
void costs(const char* self) {
    std::printf("\n| what | a second | us of the front's CPU each |\n|---|--:|--:|\n");
    for (const double rate : {200.0, 1'000.0, 2'000.0}) {
        const Flooded f = flooded(self, rate, true, Listens::No, 1'000'000, 1'000);
        std::printf("| a whole call | %.0f | %.0f |\n", f.goodput, f.cores * 1e6 / std::max(1.0, f.goodput));
        std::fflush(stdout);
    }
    Stage s(10, 1'000, "silent-after=\"60s\"", "sip listen=\"127.0.0.1:0\" transactions=200000\n");
    struct Ear : net::DatagramHandler {
        std::uint64_t heard = 0;
        void onDatagram(const net::Endpoint&, std::string_view) override { ++heard; }
    } ear;
    const auto socket = s.net.bind(*net::parseEndpoint("127.0.0.1:0"), ear);
    const auto invite = [&](const char* title, int n) {
        const std::string me = net::toString(socket->endpoint()), id = std::to_string(n);
        return "INVITE sip:" + std::string(title) + "@" + net::toString(s.sip) +
               ";room=open SIP/2.0\r\nVia: SIP/2.0/UDP " + me + ";branch=z9hG4bK" + id +
               "\r\nMax-Forwards: 70\r\nFrom: <sip:f@" + me + ">;tag=f" + id +
               "\r\nTo: <sip:t@x>\r\nCall-ID: " + id + "\r\nCSeq: 1 INVITE\r\nContact: <sip:f@" + me +
               ">\r\nContent-Length: 0\r\n\r\n";
    };
    const auto measure = [&](const char* what, const std::function<std::string(int)>& one) {
        const double cpu = s.front.cpuSeconds();
        const Micros from = s.net.now();
        constexpr int kMany = 60'000;
        for (int i = 0; i < kMany; ++i) {
            socket->send(s.sip, one(i));
            if (i % 20 == 19) s.turn(1'000);
        }
        s.turn(200'000);
        const double used = s.front.cpuSeconds() - cpu;
        std::printf("| %s | %.0f | %.1f |\n", what, kMany / seconds(s.net.now() - from), used * 1e6 / kMany);
        std::fflush(stdout);
    };
    for (auto& [id, box] : s.fleet->boxes()) box->trouble.answersLate = 60 * kSecond;
    const std::string same = invite("t", 0);
    measure("a copy of an INVITE whose call is being placed", [&](int) { return same; });
    measure("a first INVITE that is refused at once (404)", [&](int i) { return invite("nobody", 1 + i); });
}

// ---- bad weather ----

int weather(int many, const char* ledgerFile) {
    net::raiseDescriptorLimit();
    net::EpollNet net(3);
    fakes::Ledger ledger;
    fakes::BoxConfig make;
    make.rungKb = {10};
    make.rateFactors = {{"open", 1}, {"paid", 1}};
    make.setUp = 300'000;
    make.setUpsAtOnce = 10'000;
    make.forgetAfter = 600 * kSecond;
    fakes::BoxFleet fleet(net, make, 1, 0, 1, ledger);
    fakes::ListServer list(net, *net::parseEndpoint("127.0.0.1:0"), ledger);
    for (int i = 0; i < 4; ++i) {
        auto& box = fleet.add(i, i, 1e6, 10'000, *net::parseEndpoint("127.0.0.1:0"));
        fakes::ListedBox listed;
        listed.id = i;
        listed.cell = i;
        listed.at = net::toString(box.endpoint());
        listed.kind = "k";
        list.put({listed});
    }
    const std::string site =
        "front \"a\"\nhttp listen=\"127.0.0.1:0\"\nladder { rung kb=10 worth=1; }\n"
        "room-type \"open\" client-timeout=\"4s\" join-objective=\"2s\"\n"
        "room-type \"paid\" client-timeout=\"4s\" join-objective=\"2s\" set-up=\"paid\"\n"
        "fleet cells=4 links-kb=4000000 link-kb-per-size=1000000 { kind \"k\" places=10000; }\n"
        "sip listen=\"127.0.0.1:0\" min-session=\"10s\" session=\"60s\" hold-every=\"5s\"\n"
        "talk \"t\" holders=4\nlog level=\"error\"\nlist stream=\"" +
        net::toString(list.endpoint()) + "\" path=\"/boxes?front=a\"\n";
    front::Front front(net, settings::Document::fromText("site.kdl", site), 5, 1);
    const auto turnUntil = [&](const std::function<bool()>& holds, Micros most) {
        const Micros end = net.now() + most;
        while (!holds() && net.now() < end) net.runOnce(20'000);
        return holds();
    };
    turnUntil([] { return false; }, kSecond);
    int active = 0;
    std::vector<std::unique_ptr<fakes::Caller>> callers;
    std::mt19937_64 chance(11);
    const Micros from = net.now();
    for (int i = 0; i < many; ++i) {
        fakes::CallPlan plan;
        plan.title = "t";
        plan.room = i % 2 ? "paid" : "open";
        plan.timeout = 4 * kSecond;
        plan.talk = std::uniform_int_distribution<Micros>(kSecond, 40 * kSecond)(chance);
        plan.sessionExpires = 60 * kSecond;
        plan.acks = i % 50 != 7;
        plan.says = i % 20 != 3;  // some vanish without a word
        plan.refreshes = plan.says;
        if (i % 7 == 0) plan.cancelAfter = std::uniform_int_distribution<Micros>(1, 2 * kSecond)(chance);
        ++active;
        callers.push_back(std::make_unique<fakes::Caller>(net, i, front.sipFrontend()->endpoint(), "a", plan,
                                                          fakes::NetworkConditions{0.1, 0.05, 800'000},
                                                          chance(), ledger, [&] { --active; }));
        callers.back()->start();
        turnUntil([] { return false; }, 25'000);
    }
    turnUntil([&] { return front.sipFrontend()->calls() == 0 && front.sipFrontend()->transactions() == 0; },
              200 * kSecond);
    const Micros toQuiet = net.now() - from;
    turnUntil([] { return false; }, kSecond);  // what was given back last is still on its way to its box
    if (ledgerFile) {
        std::ofstream out(ledgerFile);
        ledger.write(out);
    }
    std::map<int, int> finals;
    int charged = 0, twice = 0, never = 0, plays = 0, given = 0;
    std::set<std::string> paid;
    for (const fakes::Line& l : ledger.lines()) {
        if (l.what == "answer") ++finals[l.status];
        if (l.what == "second-answer") ++twice;
        if (l.what == "no-answer") ++never;
        if (l.what == "charged" && l.room == "paid") {
            ++charged;
            paid.insert(l.trace);
        }
        if (l.what == "plays") ++plays;
        if (l.what == "release" || l.what == "expired") ++given;
    }
    audit::AuditSettings terms;
    terms.rooms["open"] = {4 * kSecond, false, 0, 0};
    terms.rooms["paid"] = {4 * kSecond, true, 0, 0};
    const auto breaches = audit::checkAllRules(ledger, terms, {});
    const auto& c = front.sipFrontend()->counts();
    std::printf(
        "\n%d calls in weather (10%% lost each way, 5%% twice, up to 800 ms late and out of order):\n", many);
    for (const auto& [status, n] : finals) std::printf("  answered %d: %d\n", status, n);
    std::printf(
        "  two different final answers: %d; none within 40 s: %d\n  paid set-ups %d, of as many calls: %zu\n"
        "  INVITEs %llu, messages %llu, absorbed by their transactions %llu, cancelled %llu, never "
        "acknowledged "
        "%llu, expired %llu\n  left after %.0f s: calls %zu, transactions %zu, subscriptions %zu; played at "
        "boxes %d, given back %d\n  rules broken: %zu\n",
        twice, never, charged, paid.size(), static_cast<unsigned long long>(c.invites),
        static_cast<unsigned long long>(c.messages),
        static_cast<unsigned long long>(front.sipFrontend()->absorbed()),
        static_cast<unsigned long long>(c.cancelled), static_cast<unsigned long long>(c.unacknowledged),
        static_cast<unsigned long long>(c.expired), seconds(toQuiet), front.sipFrontend()->calls(),
        front.sipFrontend()->transactions(), front.core().subscriptionCount(), plays, given, breaches.size());
    for (const auto& b : breaches) std::printf("  rule %d: %s\n", b.rule, b.what.c_str());
    return breaches.empty() && twice == 0 && front.sipFrontend()->calls() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace valekeel

int main(int argc, char** argv) {
    if (argc == 7 && !std::strcmp(argv[1], "--flood")) return valekeel::floodProcess(argv);
    const std::string what = argc > 1 ? argv[1] : "";
    if (what == "weather")
        return valekeel::weather(argc > 2 ? std::atoi(argv[2]) : 2'000, argc > 3 ? argv[3] : nullptr);
    if (what == "costs") valekeel::costs(argv[0]);
    if (what == "flood")
        valekeel::floods(argv[0], argc > 3 ? argv[3] : "", argc > 2 ? std::atof(argv[2]) : 1'000);
    if (what.empty())
        std::printf("bench_calls weather [CALLS [LEDGER]] | costs | flood [MOST-A-SECOND [CHART.svg]]\n");
    return 0;
}
