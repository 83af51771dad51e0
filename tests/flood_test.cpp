// Floods: one client sends at full speed, in a thread of its own, to the program as a process of its own; a
// usual client beside it must be answered in time. FLOOD_SECONDS makes each flood last longer than in CI.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net/process.hpp"
#include "node_fixture.hpp"
#include "temporary_folder.hpp"

namespace valekeel {
namespace {

using namespace nodetest;
namespace fs = std::filesystem;
using MessageSource = std::function<std::string(std::uint64_t)>;  // the n-th message

constexpr Micros kClientTimeout = 3 * kSecond;
constexpr Micros kRequestInterval = 100'000;  // of the usual client
constexpr std::size_t kChunkBytes = 64 * 1024;

Micros floodTime() {
    const char* seconds = std::getenv("FLOOD_SECONDS");
    return (seconds ? std::atoll(seconds) : 2) * kSecond;
}

int connectTo(std::uint16_t port, int type) {
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

// Sends messages at full speed from construction on, and discards what comes back. Over a stream it connects
// again when the peer closes; as datagrams each message is one.
class Flood {
  public:
    Flood(std::uint16_t port, int type, MessageSource source)
        : thread_([this, port, type, source = std::move(source)] {
              while (!isStopped_) run(port, type, source);
          }) {}
    ~Flood() {
        isStopped_ = true;
        thread_.join();
    }

  private:
    void run(std::uint16_t port, int type, const MessageSource& source) {
        const int fd = connectTo(port, type);
        if (fd < 0) return;
        std::string output;
        std::array<char, kChunkBytes> input;
        while (!isStopped_) {
            pollfd waiting{fd, POLLIN | POLLOUT, 0};
            ::poll(&waiting, 1, 50);
            while (::recv(fd, input.data(), input.size(), 0) > 0) {
            }
            if (type == SOCK_STREAM && (waiting.revents & (POLLHUP | POLLERR))) break;
            if (!(waiting.revents & POLLOUT)) continue;
            do output += source(next_++);
            while (type == SOCK_STREAM && output.size() < kChunkBytes);
            const ssize_t sent = ::send(fd, output.data(), output.size(), MSG_NOSIGNAL);
            output.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
            if (type == SOCK_DGRAM) output.clear();
        }
        ::close(fd);
    }
    std::atomic<bool> isStopped_{false};
    std::uint64_t next_ = std::uint64_t{1} << 40;  // no id of the usual client
    std::thread thread_;
};

fs::path makeFolder() {
    const auto* test = testing::UnitTest::GetInstance()->current_test_info();
    const fs::path folder = temporaryFolder("flood-" + std::string(test->name()));
    fs::remove_all(folder);
    fs::create_directories(folder);
    return folder;
}

// ================= the front node =================

// A port that was free a moment ago, as the node's configuration can't leave the choice to the kernel.
std::uint16_t freePort(net::Net& net) {
    struct : net::ListenerHandler {
        void onAccepted(std::unique_ptr<net::Stream>) override {}
    } handler;
    return net.listen(Loop::any(), handler)->endpoint().port;
}

// `valekeel node` as a process between fake media servers, and one viewers' connection to it.
struct NodeProcess : Loop {
    std::vector<std::unique_ptr<fakes::PlatformServer>> servers;
    std::unique_ptr<fakes::PlatformChangeLog> changeLog;
    std::uint16_t port = freePort(net);
    net::Process process;
    std::unique_ptr<fakes::PlatformConnection> viewer;
    std::map<std::string, Micros> sentAt, playedAfter;  // by tag
    std::set<std::string> answered;                     // by any response
    std::vector<int> openSockets;                       // of further clients; closed in the end
    ~NodeProcess() {
        for (const int fd : openSockets) ::close(fd);
    }
    explicit NodeProcess(const std::function<void(Json&)>& configure = [](Json&) {}) {
        std::vector<net::Endpoint> endpoints;
        for (int i = 0; i < 3; ++i) {
            servers.push_back(std::make_unique<fakes::PlatformServer>(net, any()));
            endpoints.push_back(servers.back()->endpoint());
        }
        changeLog = std::make_unique<fakes::PlatformChangeLog>(net, any());
        changeLog->last = 1;
        Json configuration =
            makeConfiguration(endpoints, *net::parseEndpoint("127.0.0.1:" + std::to_string(port)),
                              changeLog->endpoint(), settings());
        configure(configuration);
        const fs::path folder = makeFolder();
        std::ofstream(folder / "config.json") << configuration.dump();
        process = net::Process({"/usr/bin/env", "BALANCER_CONFIG=" + (folder / "config.json").string(),
                                VALEKEEL_PROGRAM, "node"});
        connectViewer();
    }
    void connectViewer() {
        const auto isReady = [&] {
            const int fd = connectTo(port, SOCK_STREAM);
            if (fd >= 0) ::close(fd);
            return fd >= 0;
        };
        if (!until(isReady)) throw std::runtime_error("the front node does not listen");
        viewer = std::make_unique<fakes::PlatformConnection>(
            net, *net::parseEndpoint("127.0.0.1:" + std::to_string(port)),
            [this](fakes::PlatformConnection&, const Json& message) {
                const std::string tag = message.value("tag", "");
                if (message["verb"] == "STARTED") playedAfter[tag] = net.now() - sentAt[tag];
                answered.insert(tag);
            });
    }
    void request(int n) {
        sentAt[idOf(n)] = net.now();
        viewer->send(NodeFixture<SocketMachines>::startMessage(n));
    }
    // Sends a set-up at each interval for that time, then waits for the answers that are still due.
    void requestFor(Micros time) {
        const Micros end = net.now() + time;
        for (int n = 1; net.now() < end; ++n) {
            request(n);
            run(kRequestInterval);
        }
        until([&] { return playedAfter.size() == sentAt.size(); }, kClientTimeout);
    }
    void expectAllPlayed(const char* what) const {
        EXPECT_EQ(playedAfter.size(), sentAt.size()) << what;
        for (const auto& [tag, took] : playedAfter) EXPECT_LE(took, kClientTimeout) << what << " " << tag;
    }
};

std::string jsonLine(const char* verb, std::uint64_t n, const char* rest) {
    char line[200];
    std::snprintf(line, sizeof line, "{\"verb\":\"%s\",\"tag\":\"%016llx\",%s}\n", verb,
                  static_cast<unsigned long long>(n), rest);
    return line;
}
std::string startLine(std::uint64_t n) {
    const std::string title = "t" + std::to_string(n);
    return jsonLine("START", n,
                    (R"("opts":{"class":"talk","left":"3000","key":")" + title +
                     R"(","extras":"home:0;copies:3;top:2"},"blob":"o")")
                        .c_str());
}
std::string finishLine(std::uint64_t n) {
    return jsonLine("FINISH", n, R"("opts":{},"rc":16)");
}

// One connection at full speed kept all others waiting, up to the end of the flood.
TEST(Flood, NodeServesOthersBesideOneBusyConnection) {
    const std::pair<const char*, MessageSource> floods[] = {
        {"PENDING", [](std::uint64_t n) { return jsonLine("PENDING", n, R"("opts":{})"); }},
        {"FINISH", finishLine},
        {"START and FINISH", [](std::uint64_t n) { return startLine(n) + finishLine(n); }},
    };
    for (const auto& [name, source] : floods) {
        NodeProcess node;
        const Flood flood(node.port, SOCK_STREAM, source);
        node.requestFor(floodTime());
        node.expectAllPlayed(name);
    }
}

// A client closes its connection with much still unread, as the process has no turn for a while: its requests
// were sent on afterwards.
TEST(Flood, RequestsOfAClientThatHasLeftAreNotSent) {
    for (const std::size_t blobBytes : {100, 14'000}) {
        NodeProcess node;
        node.requestFor(kSecond);
        const auto setupCount = [&] {
            std::size_t count = 0;
            for (const auto& server : node.servers) count += server->setups.size();
            return count;
        };
        const std::size_t before = setupCount();
        std::string setups;
        for (int n = 0; n < 100; ++n) {
            Json setup =
                NodeFixture<SocketMachines>::startMessage(5'000 + n, "talk", "u" + std::to_string(n));
            setup["blob"] = std::string(blobBytes, 'x');
            setups += setup.dump() + "\n";
        }
        node.process.pause();
        const int fd = connectTo(node.port, SOCK_STREAM);
        const int bufferBytes = 4 * 1024 * 1024;
        ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
        std::size_t sent = 0;
        for (int tries = 0; tries < 50 && sent < setups.size(); ++tries) {
            const ssize_t taken = ::send(fd, setups.data() + sent, setups.size() - sent, MSG_NOSIGNAL);
            sent += taken > 0 ? static_cast<std::size_t>(taken) : 0;
            node.run(1'000);
        }
        ::close(fd);
        node.run(200'000);
        node.process.resume();
        node.run(kSecond);
        EXPECT_EQ(setupCount(), before) << blobBytes << " bytes each, " << sent << " bytes written";
    }
}

// ================= HTTP and SIP =================

// `valekeel serve` as a process, without media servers.
struct ServeProcess : Loop {
    net::Process process;
    std::uint16_t httpPort = 0, sipPort = 0;
    explicit ServeProcess(const std::string& httpLimits = "", const std::string& sipLimits = "") {
        const fs::path folder = makeFolder();
        std::ofstream(folder / "boxes.kdl") << "";
        std::ofstream(folder / "site.kdl") << R"(
front "flooded" fronts=1 stop-within="1s"
ladder stall-loss=7 { rung kb=10 worth=0.3; }
room-type "open" client-timeout="3s" join-objective="1s" benefit=1
fleet cells=3 racks=1 links-kb=3000 link-kb-per-size=1000 { kind "k" places=50; }
cold warm-up="2s" first-share=0.5 fall-multiple=2.5 tip-after="1s"
join-budget free=5 share=0.1 window="10s"
tidings late="100ms" every="500ms"
allowed joins=3 come-back-at-most="1s"
talk "t" first-cell=0 holders=3
list file="boxes.kdl"
log file="front.log" level="error"
http listen="127.0.0.1:0" )" << httpLimits << "\nsip listen=\"127.0.0.1:0\" "
                                           << sipLimits << "\n";
        const fs::path portFile = folder / "port";
        process = net::Process({"/usr/bin/env", "-C", folder.string(), VALEKEEL_PROGRAM, "serve", "site.kdl",
                                "--port-file", portFile.string()});
        if (!until([&] { return fs::exists(portFile); }))
            throw std::runtime_error("the front does not listen");
        std::ifstream ports(portFile);
        std::string http, sip;
        ports >> http >> sip;
        httpPort = net::parseEndpoint(http).value().port;
        sipPort = net::parseEndpoint(sip).value().port;
    }
};

// Sends the request on a socket of its own and returns the answer, or as much of it as comes at once; empty
// if none has come within the client timeout.
std::string answerTo(Loop& loop, std::uint16_t port, int type, const std::string& request) {
    const int fd = connectTo(port, type);
    if (fd < 0) return "";
    ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::array<char, 4096> answer;
    ssize_t size = 0;
    loop.until([&] { return (size = ::recv(fd, answer.data(), answer.size(), 0)) > 0; }, kClientTimeout);
    ::close(fd);
    return std::string(answer.data(), static_cast<std::size_t>(std::max<ssize_t>(0, size)));
}
bool isAnswered(Loop& loop, std::uint16_t port, int type, const std::string& request) {
    return !answerTo(loop, port, type, request).empty();
}
std::string firstLine(Loop& loop, std::uint16_t port, int type, const std::string& request) {
    const std::string answer = answerTo(loop, port, type, request);
    return answer.substr(0, answer.find('\r'));
}
// The source port of the request stands in the answer.
std::string withoutPort(const std::string& answer) {
    const auto from = answer.find(";rport=");
    return answer.substr(0, from) + answer.substr(std::min(answer.size(), answer.find(';', from + 1)));
}

std::string httpRequest(std::uint64_t n) {
    return "GET /" + std::to_string(n) + " HTTP/1.1\r\nHost: h\r\n\r\n";
}
std::string sipRequest(const char* method, const char* transport, std::uint64_t n) {
    const std::string number = std::to_string(n);
    return std::string(method) + " sip:nobody@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/" + transport +
           " 127.0.0.1:9;branch=z9hG4bK" + number +
           ";rport\r\nMax-Forwards: 70\r\nFrom: <sip:a@x>;tag=1\r\nTo: <sip:nobody@x>\r\nCall-ID: c" +
           number + "\r\nCSeq: 1 " + method + "\r\nContact: <sip:a@127.0.0.1:9>\r\nContent-Length: 0\r\n\r\n";
}

void expectOthersAnswered(ServeProcess& front, const char* flood) {
    const Micros end = front.net.now() + floodTime();
    for (std::uint64_t n = 1; front.net.now() < end; ++n) {
        EXPECT_TRUE(isAnswered(front, front.httpPort, SOCK_STREAM, httpRequest(n))) << flood << ": HTTP";
        EXPECT_TRUE(isAnswered(front, front.sipPort, SOCK_STREAM, sipRequest("OPTIONS", "TCP", 2 * n)))
            << flood << ": SIP over TCP";
        EXPECT_TRUE(isAnswered(front, front.sipPort, SOCK_DGRAM, sipRequest("OPTIONS", "UDP", 2 * n + 1)))
            << flood << ": SIP over UDP";
        front.run(kRequestInterval);
    }
}

TEST(Flood, HttpAndSipServeOthersBesideOneBusyConnection) {
    ServeProcess front;
    {
        const Flood flood(front.httpPort, SOCK_STREAM, httpRequest);
        expectOthersAnswered(front, "GET");
    }
    const auto options = [](std::uint64_t n) { return sipRequest("OPTIONS", "TCP", n); };
    const Flood flood(front.sipPort, SOCK_STREAM, options);
    expectOthersAnswered(front, "OPTIONS");
}

// What belongs to no call took the places of transactions for half a minute: then everybody was refused.
TEST(Flood, SipRequestsOutsideOfCallsTakeNoPlaceFromCalls) {
    ServeProcess front("", "transactions=20");
    std::uint64_t n = 0;
    for (const char* method : {"OPTIONS", "CANCEL", "INVITE", "BYE", "PUBLISH"}) {
        for (int i = 0; i < 100; ++i)
            ASSERT_TRUE(isAnswered(front, front.sipPort, SOCK_DGRAM, sipRequest(method, "UDP", ++n)));
        EXPECT_EQ(firstLine(front, front.sipPort, SOCK_DGRAM, sipRequest("OPTIONS", "UDP", ++n)),
                  "SIP/2.0 200 OK")
            << "after " << method;
        EXPECT_EQ(firstLine(front, front.sipPort, SOCK_DGRAM, sipRequest("INVITE", "UDP", ++n)),
                  "SIP/2.0 404 Not Found")
            << "after " << method;
    }
}

// A request that comes again gets the same answer, although nothing is kept of the first.
TEST(Flood, SipRequestOutsideOfCallsGetsTheSameAnswerAgain) {
    ServeProcess front;
    for (const char* method : {"OPTIONS", "CANCEL", "INVITE", "BYE"}) {
        const std::string request = sipRequest(method, "UDP", 1);
        const std::string answer = answerTo(front, front.sipPort, SOCK_DGRAM, request);
        EXPECT_NE(answer.find(";tag="), std::string::npos) << method;
        EXPECT_EQ(withoutPort(answerTo(front, front.sipPort, SOCK_DGRAM, request)), withoutPort(answer))
            << method;
    }
}

// ================= faults that are known and not mended (KNOWN-RED.txt); not run by CTest =================

// Subscriptions that the front has been asked for, by its status page.
std::uint64_t askedCount(ServeProcess& front) {
    const std::string answer =
        answerTo(front, front.httpPort, SOCK_STREAM, "GET /status HTTP/1.1\r\nHost: h\r\n\r\n");
    return Json::parse(answer.substr(answer.find("\r\n\r\n") + 4)).at("asked");
}

// Sends the requests to a front that has no turn for a while, and ends the connection before it has one.
void sendAndLeave(ServeProcess& front, std::uint16_t port, const std::string& requests, bool withReset) {
    front.process.pause();
    const int fd = connectTo(port, SOCK_STREAM);
    ::send(fd, requests.data(), requests.size(), MSG_NOSIGNAL);
    const linger reset{1, 0};
    if (withReset) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::close(fd);
    front.run(400'000);
    front.process.resume();
    front.run(kSecond);
}

// A caller over TCP sends INVITEs and closes its connection while they lie unread: they are set up for
// nobody.
TEST(KnownRed, SipCallsOfACallerThatHasLeftAreNotSetUp) {
    ServeProcess front;
    std::string invites;
    for (std::uint64_t n = 1; n <= 5; ++n) {
        std::string invite = sipRequest("INVITE", "TCP", n);
        invite.replace(invite.find("nobody"), 6, "t");  // a talk that exists
        invites += invite;
    }
    sendAndLeave(front, front.sipPort, invites, false);
    EXPECT_EQ(askedCount(front), 0u);
}

// A viewer resets its connection while its request lies unread: it is set up for nobody. (A connection that
// is only half closed is still served, as HTTP allows.)
TEST(KnownRed, HttpRequestOfAViewerThatHasLeftIsNotSetUp) {
    ServeProcess front;
    sendAndLeave(front, front.httpPort, "GET /talk/t/main.m3u8?room=open HTTP/1.1\r\nHost: h\r\n\r\n", true);
    EXPECT_EQ(askedCount(front), 0u);
}

// ================= memory =================

// With ASan the memory of a process is mostly the sanitizer's: the build without it judges.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryIsOurs = false;
#else
constexpr bool kMemoryIsOurs = true;
#endif
constexpr long kKbPerMb = 1024;
bool isWithin(const net::Process& process, long kb) {
    return !kMemoryIsOurs || process.memoryKb() <= kb;
}
constexpr long kProgramKb = 14 * kKbPerMb;  // of a process without clients, and for what is under way

// Connections that each send the bytes, as far as they are taken within the time, and never read.
class IdleConnections {
  public:
    IdleConnections(Loop& loop, std::uint16_t port, int count, const std::string& bytes) {
        std::vector<std::size_t> sent(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) fds_.push_back(connectTo(port, SOCK_STREAM));
        const Micros end = loop.net.now() + kSecond;
        while (loop.net.now() < end) {
            for (std::size_t i = 0; i < fds_.size(); ++i) {
                const ssize_t taken =
                    ::send(fds_[i], bytes.data() + sent[i], bytes.size() - sent[i], MSG_NOSIGNAL);
                sent[i] += taken > 0 ? static_cast<std::size_t>(taken) : 0;
            }
            loop.net.runOnce(10'000);
        }
    }
    ~IdleConnections() {
        for (const int fd : fds_) ::close(fd);
    }

  private:
    std::vector<int> fds_;
};

// Hundreds of clients stop in the middle of a request: all they sent was kept, with no limit but each one's.
TEST(Flood, UnfinishedRequestsOfManyClientsStayWithinTheMemoryLimit) {
    ServeProcess front("buffered-mb=4", "buffered-mb=4");
    const std::string part(60'000, 'x');
    const IdleConnections http(front, front.httpPort, 300,
                               "POST /cmcd HTTP/1.1\r\nHost: h\r\nContent-Length: 65000\r\n\r\n" + part);
    EXPECT_TRUE(isWithin(front.process, kProgramKb + 4 * kKbPerMb)) << "HTTP " << front.process.memoryKb();
    EXPECT_TRUE(isAnswered(front, front.httpPort, SOCK_STREAM, httpRequest(1)));
    const IdleConnections sip(front, front.sipPort, 300,
                              "OPTIONS sip:t@x SIP/2.0\r\nContent-Length: 65000\r\n\r\n" + part);
    EXPECT_TRUE(isWithin(front.process, kProgramKb + 8 * kKbPerMb)) << "SIP " << front.process.memoryKb();
    EXPECT_TRUE(isAnswered(front, front.sipPort, SOCK_STREAM, sipRequest("OPTIONS", "TCP", 1)));
}

// Clients that never read: what was not sent to them was kept.
TEST(Flood, UnsentResponsesOfManyClientsStayWithinTheMemoryLimit) {
    ServeProcess front("buffered-mb=4", "buffered-mb=4");
    std::string requests;
    for (int i = 0; i < 20'000; ++i) requests += "GET /status HTTP/1.1\r\nHost: h\r\n\r\n";
    const IdleConnections http(front, front.httpPort, 300, requests);
    EXPECT_TRUE(isWithin(front.process, kProgramKb + 4 * kKbPerMb)) << front.process.memoryKb();
    EXPECT_TRUE(isAnswered(front, front.httpPort, SOCK_STREAM, httpRequest(1)));
}

// The same on the front node, with large set-ups that wait for their answer: within `memory_mb`.
TEST(Flood, LargeSetupsOfManyClientsStayWithinTheMemoryLimit) {
    static constexpr int kMemoryMb = 32;
    NodeProcess node([](Json& configuration) {
        configuration["limits"]["memory_mb"] = kMemoryMb;
        configuration["limits"]["sockets"] = 1024;
    });
    for (const auto& server : node.servers) server->setupTime = 20 * kSecond;
    int tag = 1'000;
    for (int client = 0; client < 200; ++client) {
        std::string setups;
        for (int i = 0; i < 20; ++i) {
            Json setup = NodeFixture<SocketMachines>::startMessage(++tag);
            setup["blob"] = std::string(15'000, 'x');
            setups += setup.dump() + "\n";
        }
        node.openSockets.push_back(connectTo(node.port, SOCK_STREAM));
        for (std::size_t sent = 0, tries = 0; sent < setups.size() && tries < 200; ++tries) {
            const ssize_t taken =
                ::send(node.openSockets.back(), setups.data() + sent, setups.size() - sent, MSG_NOSIGNAL);
            sent += taken > 0 ? static_cast<std::size_t>(taken) : 0;
            node.net.runOnce(1'000);
        }
        ASSERT_TRUE(isWithin(node.process, kMemoryMb * kKbPerMb)) << client << " " << node.process.memoryKb();
    }
    for (const auto& server : node.servers) server->setupTime = 0;
    node.run(4 * kSecond);  // all are answered by then
    node.connectViewer();
    node.request(1);
    EXPECT_TRUE(node.until([&] { return node.answered.count(idOf(1)) > 0; }, kClientTimeout));
}

}  // namespace
}  // namespace valekeel
