// What a front costs: joins a second on one core, CPU of a join and of a relayed segment beside a bare
// copying relay of the same bytes, memory of a subscription. The front is a process of its own; boxes and
// players are stand-ins in this one.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "front_fixture.hpp"
#include "http/client.hpp"

namespace valekeel {
namespace {

// ---- the bare relay: bytes from one socket to the other, 64 kB at a time, and nothing else ----

class Bare final : net::ListenerHandler {
  public:
    Bare(net::EpollNet& net, const net::Endpoint& to) : net_(net), to_(to) {
        listener_ = net.listen(*net::parseEndpoint("127.0.0.1:0"), *this);
    }
    net::Endpoint endpoint() const { return listener_->endpoint(); }

  private:
    struct Pair;
    struct Side final : net::StreamHandler {
        Pair& pair;
        bool first;
        std::unique_ptr<net::Stream> stream;
        std::string waiting;
        Side(Pair& p, bool f) : pair(p), first(f) {}
        void onConnected() override { pair.move(); }
        void onReadable() override { pair.move(); }
        void onWritable() override { pair.move(); }
    };
    struct Pair {
        Side a{*this, true}, b{*this, false};
        void move() {
            copy(a, b);
            copy(b, a);
        }
        static void copy(Side& from, Side& to) {
            static std::array<char, 65'536> buffer;
            for (;;) {
                if (!to.waiting.empty()) {
                    const auto put = to.stream->write(to.waiting);
                    to.waiting.erase(0, put.bytes);
                    if (!to.waiting.empty()) return;
                }
                const auto got = from.stream->read(buffer);
                if (got.bytes == 0) return;
                const std::string_view bytes(buffer.data(), got.bytes);
                const auto put = to.stream->write(bytes);
                if (put.bytes < bytes.size()) to.waiting = bytes.substr(put.bytes);
            }
        }
    };
    void onAccepted(std::unique_ptr<net::Stream> s) override {
        pairs_.push_back(std::make_unique<Pair>());
        Pair& p = *pairs_.back();
        p.a.stream = std::move(s);
        p.a.stream->setHandler(p.a);
        p.b.stream = net_.connect(to_, p.b);
    }
    net::EpollNet& net_;
    net::Endpoint to_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<Pair>> pairs_;
};

int bare(const std::string& to, const std::string& portFile) {
    net::EpollNet net(1);
    Bare relay(net, *net::parseEndpoint(to));
    std::ofstream(portFile) << net::toString(relay.endpoint()) << "\n";
    net.run();
    return 0;
}

// ---- a client that asks, over and over ----

struct Client final : http::FetchHandler {
    net::EpollNet& net;
    net::Endpoint at;
    std::function<std::string(Client&)> next;  // empty: it is done
    std::unique_ptr<http::Connection> conn, dead;
    net::Timer again;
    http::ResponseHead head;
    std::string body, token;
    std::uint64_t answers = 0, bad = 0, bytes = 0;
    bool keepBody = false, idle = false;
    Client(net::EpollNet& n, const net::Endpoint& e) : net(n), at(e), again(n, [this] { go(); }) {}
    void go() {
        const std::string target = next(*this);
        if (target.empty()) {
            idle = true;
            return;
        }
        if (!conn || !conn->isIdle()) {
            dead = std::move(conn);
            conn = std::make_unique<http::Connection>(net, at, http::HttpLimits{}, 5 * kSecond);
        }
        body.clear();
        conn->fetch(http::requestBytes("GET", target, at, {}), false, *this);
    }
    void onHead(const http::ResponseHead& h) override { head = h; }
    void onBody(std::string_view b) override {
        bytes += b.size();
        if (keepBody) body += b;
    }
    void onFetched(bool) override {
        ++answers;
        if (head.status != 200 && bad++ < 1)
            std::fprintf(stderr, "answered %d: %s\n", head.status, body.c_str());
        again.after(0);
    }
    void onFailed(http::FetchError) override {
        ++bad;
        again.after(10'000);
    }
};

void joins() {
    std::printf(
        "\n| asks out at once | joins a second | CPU of the front, cores | us of CPU a join | not 200 "
        "|\n|--:|--:|--:|--:|--:|\n");
    for (const int many : {20, 100, 400}) {
        Stage s(10, 1'000, "silent-after=\"1s\" closed-after=\"0s\"");
        std::vector<std::unique_ptr<Client>> clients;
        for (int i = 0; i < many; ++i) {
            clients.push_back(std::make_unique<Client>(s.net, s.at));
            clients.back()->next = [](Client&) { return std::string("/talk/t/main.m3u8?room=open"); };
            clients.back()->go();
        }
        s.turn(2 * kSecond);
        const auto sum = [&] {
            std::uint64_t n = 0, bad = 0;
            for (auto& c : clients) {
                n += c->answers;
                bad += c->bad;
            }
            return std::pair{n, bad};
        };
        const auto [before, badBefore] = sum();
        const double cpu = s.front.cpuSeconds();
        const Micros from = s.net.now();
        s.turn(5 * kSecond);
        const double time = seconds(s.net.now() - from), used = s.front.cpuSeconds() - cpu;
        const auto [after, badAfter] = sum();
        const double done = static_cast<double>(after - before - (badAfter - badBefore));
        std::printf("| %d | %.0f | %.2f | %.0f | %llu |\n", many, done / time, used / time, used * 1e6 / done,
                    static_cast<unsigned long long>(badAfter - badBefore));
        std::fflush(stdout);
    }
}

// Segments of so many bytes, fetched one after the other by so many players; the front beside the bare relay.
void segments(const char* self) {
    std::printf(
        "\n| segment | through | segments a second | us of CPU a segment | MB a second "
        "|\n|--:|---|--:|--:|--:|\n");
    for (const double kb : {16.0, 64.0, 256.0}) {
        Stage s(kb, 1'000, "silent-after=\"60s\" closed-after=\"1s\" ahead=\"100s\" relay-bytes=1000000");
        // The boxes' own pace would be the limit: their links are wide, and segments come as fast as they
        // can.
        const auto measure = [&](const char* name, const net::Endpoint& at, net::Process& process,
                                 const std::function<std::string(Client&)>& next) {
            std::vector<std::unique_ptr<Client>> clients;
            for (int i = 0; i < 32; ++i) {
                clients.push_back(std::make_unique<Client>(s.net, at));
                clients.back()->next = next;
                clients.back()->keepBody = true;
                clients.back()->go();
            }
            s.turn(1'500'000);
            std::uint64_t n = 0, bytes = 0, bad = 0;
            for (auto& c : clients) {
                n -= c->answers;
                bytes -= c->bytes;
            }
            const double cpu = process.cpuSeconds();
            const Micros from = s.net.now();
            s.turn(4 * kSecond);
            const double used = process.cpuSeconds() - cpu, time = seconds(s.net.now() - from);
            for (auto& c : clients) {
                n += c->answers;
                bytes += c->bytes;
                bad += c->bad;
            }
            std::printf("| %.0f kB | %s | %.0f | %.0f | %.0f |%s\n", kb, name, static_cast<double>(n) / time,
                        used * 1e6 / static_cast<double>(n), static_cast<double>(bytes) / time / 1e6,
                        bad ? " some not answered 200" : "");
            std::fflush(stdout);
        };
        const auto fast = [&](bool on) {
            for (auto& [id, box] : s.fleet->boxes()) box->unpaced = on;
        };
        fast(true);
        measure("the front", s.at, s.front, [](Client& c) -> std::string {
            if (c.answers == 0) return "/talk/t/main.m3u8?room=open";
            if (c.answers == 1) {
                const auto from = c.body.find("/s/");
                c.token = c.body.substr(from, c.body.find("media.m3u8") - from);
                return c.token + "media.m3u8";
            }
            return c.token + std::to_string(c.answers % 90) + ".m4s";
        });
        const std::string port = (s.folder / "bare").string();
        net::Process relay({self, "--bare", net::toString(s.fleet->box(0).endpoint()), port});
        const net::Endpoint through = s.waitFor(port);
        int number = 0;
        measure("a bare relay", through, relay, [&number](Client& c) -> std::string {
            if (c.token.empty()) {
                c.token = "bare." + std::to_string(number++);
                return "/talk/t/main.m3u8?sub=" + c.token + "&room=open&rung=0&join=0";
            }
            return "/talk/t/0/" + std::to_string(c.answers % 90) + ".m4s?sub=" + c.token;
        });
    }
}

void memory(int many) {
    Stage s(10, 1'000, "silent-after=\"600s\" closed-after=\"600s\"");
    const long empty = s.front.memoryKb();
    std::vector<std::unique_ptr<Client>> clients;
    std::uint64_t done = 0;
    for (int i = 0; i < many; ++i) {
        clients.push_back(std::make_unique<Client>(s.net, s.at));
        clients.back()->next = [&done](Client& c) -> std::string {
            if (c.answers == 0) return "/talk/t/main.m3u8?room=open";
            ++done;
            return "";
        };
        clients.back()->go();
        if (i % 50 == 0) s.turn(5'000);
    }
    for (int i = 0; i < 200 && done < static_cast<std::uint64_t>(many); ++i) s.turn(50'000);
    s.turn(kSecond);
    const long full = s.front.memoryKb();
    std::printf(
        "\n%llu subscriptions playing, each with an idle connection: %ld kB over %ld kB empty: %.2f kB "
        "each\n",
        static_cast<unsigned long long>(done), full - empty, empty,
        static_cast<double>(full - empty) / static_cast<double>(done));
}

}  // namespace
}  // namespace valekeel

int main(int argc, char** argv) {
    if (argc == 4 && !std::strcmp(argv[1], "--bare")) return valekeel::bare(argv[2], argv[3]);
    const std::string what = argc > 1 ? argv[1] : "all";
    if (what == "joins" || what == "all") valekeel::joins();
    if (what == "segments" || what == "all") valekeel::segments(argv[0]);
    if (what == "memory" || what == "all") valekeel::memory(argc > 2 ? std::atoi(argv[2]) : 9'000);
    return 0;
}
