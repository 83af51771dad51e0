// Stand-ins for the cases 6 to 10 of the review: media servers, a change log and viewers in the protocol of
// the platform, and a front node that is started with the deploy file's `run`. One thread, loopback sockets,
// the real clock. Shares no code with the project.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Ms = std::int64_t;

inline Ms clockMs() {
    timespec t;
    ::clock_gettime(CLOCK_MONOTONIC, &t);
    return Ms{t.tv_sec} * 1000 + t.tv_nsec / 1'000'000;
}
inline Ms unixMs() {
    timespec t;
    ::clock_gettime(CLOCK_REALTIME, &t);
    return Ms{t.tv_sec} * 1000 + t.tv_nsec / 1'000'000;
}

// ---- record and verdict ----

inline std::FILE* recordFile = nullptr;
inline Ms startedAt = clockMs();
inline Ms now() {
    return clockMs() - startedAt;
}
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
    va_list arguments;
    va_start(arguments, format);
    if (recordFile) {
        std::fprintf(recordFile, "%8.3f  ", static_cast<double>(now()) / 1000);
        std::vfprintf(recordFile, format, arguments);
        std::fputc('\n', recordFile);
        std::fflush(recordFile);
    }
    va_end(arguments);
}
struct CannotRun {
    std::string why;
};
enum Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// ---- the loop ----

struct Watched {
    virtual ~Watched() = default;
    virtual int fd() const = 0;
    virtual short wanted() const = 0;
    virtual void ready(short events) = 0;
};
struct Loop {
    std::list<std::weak_ptr<Watched>> watched;
    std::multimap<Ms, std::function<void()>> timers;
    void add(const std::shared_ptr<Watched>& one) { watched.push_back(one); }
    void after(Ms wait, std::function<void()> action) { timers.emplace(now() + wait, std::move(action)); }
    void turn(Ms until) {
        Ms wait = std::max<Ms>(0, until - now());
        if (!timers.empty()) wait = std::min(wait, std::max<Ms>(0, timers.begin()->first - now()));
        std::vector<pollfd> fds;
        std::vector<std::shared_ptr<Watched>> ones;
        for (auto it = watched.begin(); it != watched.end();) {
            auto one = it->lock();
            if (!one || one->fd() < 0) {
                it = watched.erase(it);
                continue;
            }
            if (const short events = one->wanted()) {
                fds.push_back({one->fd(), events, 0});
                ones.push_back(one);
            }
            ++it;
        }
        ::poll(fds.data(), fds.size(), static_cast<int>(wait));
        for (std::size_t i = 0; i < fds.size(); ++i)
            if (fds[i].revents && ones[i]->fd() == fds[i].fd) ones[i]->ready(fds[i].revents);
        while (!timers.empty() && timers.begin()->first <= now()) {
            const auto action = std::move(timers.begin()->second);
            timers.erase(timers.begin());
            action();
        }
    }
    void run(Ms time) {
        const Ms until = now() + time;
        while (now() < until) turn(until);
    }
    // Runs until the condition holds; false if it did not within `time`.
    bool runUntil(Ms time, const std::function<bool()>& holds) {
        const Ms until = now() + time;
        while (!holds()) {
            if (now() >= until) return false;
            turn(std::min(until, now() + 20));
        }
        return true;
    }
};
inline Loop loop;

// ---- sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline int newSocket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw CannotRun{"no socket"};
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
// Binds a socket of its own to the port that it returns, so that nobody else is given it.
inline int listenOn(int& port) {
    const int fd = newSocket();
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 || ::listen(fd, 256) < 0)
        throw CannotRun{"cannot listen"};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}
// A port that was free just now.
inline int freePort() {
    int port = 0;
    ::close(listenOn(port));
    return port;
}
inline std::string at(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

struct Acceptor final : Watched {
    int fd_ = -1, port = 0;
    bool paused = false;
    std::function<void(int)> onAccepted;
    void open() { fd_ = listenOn(port); }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    ~Acceptor() override { close(); }
    int fd() const override { return fd_; }
    short wanted() const override { return paused ? 0 : POLLIN; }
    void ready(short) override {
        const int one = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (one < 0) return;
        const int on = 1;
        ::setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        onAccepted(one);
    }
};

struct Connection final : Watched {
    int fd_;
    bool connecting, reading = true, mute = false;
    std::string in, out;
    std::function<void(Connection&, std::string&)> onBytes;  // takes what it has used off the front
    std::function<void(Connection&)> onClosed;               // closed by the other side
    explicit Connection(int fd, bool isConnecting = false) : fd_(fd), connecting(isConnecting) {}
    ~Connection() override { close(); }
    bool isOpen() const { return fd_ >= 0; }
    int fd() const override { return fd_; }
    short wanted() const override {
        return static_cast<short>((reading && !connecting ? POLLIN : 0) |
                                  (connecting || !out.empty() ? POLLOUT : 0));
    }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void reset() {
        if (fd_ < 0) return;
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void send(const std::string& bytes) {
        if (mute) return;
        out += bytes;
        flush();
    }
    void flush() {
        while (isOpen() && !connecting && !out.empty()) {
            const ssize_t put = ::send(fd_, out.data(), out.size(), MSG_NOSIGNAL);
            if (put <= 0) return;
            out.erase(0, static_cast<std::size_t>(put));
        }
    }
    void lost() {
        if (!isOpen()) return;
        close();
        if (onClosed) onClosed(*this);
    }
    void ready(short events) override {
        if (connecting) {
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) return lost();
            connecting = false;
        }
        if (events & POLLOUT) flush();
        if (!reading || !(events & (POLLIN | POLLHUP | POLLERR))) return;
        char buffer[16384];
        const ssize_t got = ::recv(fd_, buffer, sizeof buffer, 0);
        if (got > 0) {
            in.append(buffer, static_cast<std::size_t>(got));
            if (onBytes) onBytes(*this, in);
        } else if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
            lost();
        }
    }
};
using ConnectionPtr = std::shared_ptr<Connection>;

inline ConnectionPtr connectTo(int port) {
    const int fd = newSocket();
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 &&
        errno != EINPROGRESS) {
        ::close(fd);
        return nullptr;
    }
    auto connection = std::make_shared<Connection>(fd, true);
    loop.add(connection);
    return connection;
}

// Hands on each whole line as an object.
inline std::function<void(Connection&, std::string&)> lines(
    std::function<void(Connection&, const Json&)> onMessage) {
    return [onMessage](Connection& connection, std::string& in) {
        for (std::size_t end; connection.isOpen() && (end = in.find('\n')) != std::string::npos;) {
            const Json message = Json::parse(in.substr(0, end), nullptr, false);
            in.erase(0, end + 1);
            if (message.is_object()) onMessage(connection, message);
        }
    };
}
inline Json message(const char* verb, const std::string& tag, Json options = Json::object()) {
    return {{"verb", verb}, {"tag", tag}, {"opts", std::move(options)}};
}
inline Json withCause(Json message, int cause) {
    message["rc"] = cause;
    return message;
}
inline std::string shown(const Json& message) {
    std::string text = message.value("verb", "") + " " + message.value("tag", "");
    if (message.contains("rc")) text += " cause " + std::to_string(message["rc"].get<int>());
    if (message.contains("opts") && !message["opts"].empty()) text += " " + message["opts"].dump();
    return text;
}

// ---- a media server ----

// Sets up what it is sent, `setupTime` later. It sends what concerns a session on the connection of its
// set-up, otherwise on any open one, and a release also on the next connection that is opened.
struct MediaServer {
    std::string name;  // s- and 8 hex digits
    int cell = 0;
    Ms setupTime = 60;
    Ms noteEvery = 0;                 // notes of kind 3, on one session
    int answersToLose = 0;            // of the next set-ups: it runs, and its connection is of no further use
    bool hung = false;                // reads nothing and says nothing; the kernel still accepts
    bool repeatHeardReleases = true;  // "also", as the page words it
    struct Session {
        ConnectionPtr connection;
        bool stands = false, over = false;
        std::string title, room;
        Ms sentAt = -1, stoodAt = -1, overAt = -1;
        std::string overBy;
    };
    std::map<std::string, Session> sessions;  // by tag; all that it was ever sent
    int setups = 0, accepted = 0;
    std::shared_ptr<Acceptor> acceptor = std::make_shared<Acceptor>();
    std::vector<ConnectionPtr> connections;
    std::vector<std::string> toRepeat;  // releases for the next connection

    explicit MediaServer(std::string id, int inCell) : name(std::move(id)), cell(inCell) {
        acceptor->onAccepted = [this](int fd) { onAccepted(fd); };
        acceptor->open();
        loop.add(acceptor);
    }
    int port() const { return acceptor->port; }
    void noteOn() {
        loop.after(noteEvery, [this] {
            noteOn();
            if (hung) return;
            for (const auto& [tag, session] : sessions) {
                if (!session.stands) continue;
                const ConnectionPtr target =
                    session.connection && session.connection->isOpen() ? session.connection : anyOpen();
                if (target) say(*target, message("NOTICE", tag, {{"note", "link_use"}, {"value", "0.3"}}));
                return;
            }
        });
    }
    void say(Connection& connection, const Json& what) {
        if (!connection.mute) record("%s -> front  %s", name.c_str(), shown(what).c_str());
        connection.send(what.dump() + "\n");
    }
    ConnectionPtr anyOpen() {
        for (auto it = connections.rbegin(); it != connections.rend(); ++it)
            if ((*it)->isOpen() && !(*it)->mute) return *it;
        return nullptr;
    }
    std::size_t openCount() const {
        std::size_t count = 0;
        for (const auto& one : connections) count += one->isOpen();
        return count;
    }
    std::size_t standing() const {
        std::size_t count = 0;
        for (const auto& [tag, session] : sessions) count += session.stands;
        return count;
    }
    bool stands(const std::string& tag) const {
        const auto it = sessions.find(tag);
        return it != sessions.end() && it->second.stands;
    }
    void onAccepted(int fd) {
        ++accepted;
        auto connection = std::make_shared<Connection>(fd);
        connection->reading = !hung;
        connection->onBytes = lines([this](Connection& c, const Json& m) { onMessage(c, m); });
        connection->onClosed = [this](Connection& c) {
            for (auto& [tag, session] : sessions)  // closing gives up the set-ups open on it
                if (session.connection.get() == &c && !session.stands && !session.over) {
                    session.over = true;
                    session.overAt = now();
                    session.overBy = "its connection closed";
                }
        };
        connections.push_back(connection);
        loop.add(connection);
        record("%s accepts connection %d", name.c_str(), accepted);
        std::vector<std::string> releases;
        releases.swap(toRepeat);
        for (const std::string& line : releases) {
            record("%s -> front  (on the next connection) %s", name.c_str(),
                   shown(Json::parse(line)).c_str());
            connection->send(line);
        }
    }
    ConnectionPtr shared(Connection& connection) {
        for (const auto& one : connections)
            if (one.get() == &connection) return one;
        return nullptr;
    }
    void onMessage(Connection& connection, const Json& m) {
        record("front -> %s  %s", name.c_str(), shown(m).c_str());
        const std::string verb = m.value("verb", ""), tag = m.value("tag", "");
        if (verb == "ECHO") return say(connection, withCause(message("ECHOED", tag), 1));
        if (verb == "START") {
            ++setups;
            Session& session = sessions[tag] = Session{};
            session.connection = shared(connection);
            session.sentAt = now();
            session.title = m["opts"].value("key", "");
            session.room = m["opts"].value("class", "");
            loop.after(setupTime, [this, tag] { setUp(tag); });
        } else if (verb == "FINISH") {
            const auto it = sessions.find(tag);
            say(connection, message("FINISHED", tag));
            if (it == sessions.end() || it->second.over) return;
            const bool stood = it->second.stands;
            end(it->second, "the front node");
            if (stood) sendRelease(tag, it->second, 31);
        } else if (verb == "FINISHED" && !repeatHeardReleases) {
            std::erase_if(toRepeat,
                          [&](const std::string& line) { return Json::parse(line).value("tag", "") == tag; });
        }
    }
    void setUp(const std::string& tag) {
        const auto it = sessions.find(tag);
        if (it == sessions.end() || it->second.over || it->second.stands) return;
        if (hung) return loop.after(50, [this, tag] { setUp(tag); });
        if (!it->second.connection || !it->second.connection->isOpen()) return;
        it->second.stands = true;
        it->second.stoodAt = now();
        if (answersToLose > 0) {
            --answersToLose;
            it->second.connection->reading = false;
            it->second.connection->mute = true;
            record(
                "%s: session %s stands; its answer never arrives, its connection stays open and is of no use",
                name.c_str(), tag.c_str());
        }
        Json answer = message("STARTED", tag);
        answer["blob"] = "made by " + name + " for " + tag;
        say(*it->second.connection, answer);
        say(*it->second.connection, message("NOTICE", tag, {{"note", "at_rung"}, {"value", "0"}}));
    }
    void end(Session& session, const std::string& by) {
        session.stands = false;
        session.over = true;
        session.overAt = now();
        session.overBy = by;
    }
    void sendRelease(const std::string& tag, Session& session, int cause) {
        const Json release = withCause(message("FINISH", tag), cause);
        const ConnectionPtr target =
            session.connection && session.connection->isOpen() ? session.connection : anyOpen();
        if (target) say(*target, release);
        toRepeat.push_back(release.dump() + "\n");
    }
    // The session has come to its end here.
    void finish(const std::string& tag) {
        Session& session = sessions.at(tag);
        end(session, name);
        record("%s: session %s has come to its end", name.c_str(), tag.c_str());
        sendRelease(tag, session, 16);
    }
    // It holds all the connections that it accepts: further ones are refused, those that are open stay.
    void acceptAgain() {
        acceptor->open();  // at the same port
        loop.add(acceptor);
        record("%s accepts connections again", name.c_str());
    }
    void refuseFurther() {
        record("%s holds all the connections that it accepts; further ones are refused", name.c_str());
        acceptor->close();
    }
    // The process dies: it resets its connections and cuts its sessions. Its port refuses.
    void die() {
        record("%s dies", name.c_str());
        acceptor->close();
        for (const auto& one : connections) one->reset();
        connections.clear();
        toRepeat.clear();
        for (auto& [tag, session] : sessions)
            if (!session.over) end(session, "its death");
    }
    void startAgain() {
        record("%s has started again", name.c_str());
        acceptAgain();
    }
    // The machine vanishes: it says nothing any more, its open connections stay open, new ones never come up.
    // On loopback: nothing is read or said, and connections of its own fill the queue of its listener.
    std::vector<ConnectionPtr> fillers;
    void vanish() {
        record("%s vanishes: silent, its connections stay open, new ones never come up", name.c_str());
        hung = true;
        for (const auto& one : connections) one->reading = false;
        acceptor->paused = true;
        ::listen(acceptor->fd(), 0);
        for (int i = 0; i < 4; ++i) fillers.push_back(connectTo(port()));
        for (auto& [tag, session] : sessions)
            if (session.stands) end(session, "the loss of its machine");
    }
    void setHung(bool on) {
        record(on ? "%s hangs" : "%s goes on", name.c_str());
        hung = on;
        for (const auto& one : connections) one->reading = !on;
    }
};

// ---- the change log ----

struct ChangeLog {
    struct Entry {
        std::string name;
        int port = 0, state = 0, cell = 0;
        std::uint64_t startedMs = 0;
    };
    std::shared_ptr<Acceptor> acceptor = std::make_shared<Acceptor>();
    std::vector<ConnectionPtr> connections;
    std::map<std::uint64_t, std::string> events;
    std::uint64_t last = 1;  // event 1 is in `known`
    bool silent = false;
    std::set<Connection*> asked;

    ChangeLog() {
        acceptor->onAccepted = [this](int fd) {
            auto connection = std::make_shared<Connection>(fd);
            connection->onBytes = [this](Connection& c, std::string& in) {
                if (in.size() < 8) return;
                std::uint64_t from = 0;
                for (int i = 0; i < 8; ++i) from = from << 8 | static_cast<unsigned char>(in[i]);
                in.clear();
                record("change log is asked for what follows %llu", static_cast<unsigned long long>(from));
                asked.insert(&c);
                if (silent) return;
                for (const auto& [number, frame] : events)
                    if (number > from) c.send(frame);
                c.send(makeFrame(last, 0, {}));
            };
            connections.push_back(connection);
            loop.add(connection);
        };
        acceptor->open();
        loop.add(acceptor);
        beat();
    }
    int port() const { return acceptor->port; }
    // Down: its connections are reset, and new ones are refused. What changes meanwhile is told afterwards.
    void down(bool on) {
        record(on ? "the change log is down" : "the change log is back");
        if (on) {
            acceptor->close();
            for (const auto& one : connections) one->reset();
            connections.clear();
            asked.clear();
        } else {
            acceptor->open();  // at the same port
            loop.add(acceptor);
        }
    }
    void beat() {
        if (!silent)
            for (const auto& one : connections)
                if (one->isOpen() && asked.count(one.get())) one->send(makeFrame(last, 0, {}));
        loop.after(1000, [this] { beat(); });
    }
    static void put(std::string& to, std::uint64_t value, int bytes) {
        for (int i = bytes - 1; i >= 0; --i) to += static_cast<char>(value >> (8 * i) & 0xff);
    }
    static std::string makeFrame(std::uint64_t number, int kind, const std::vector<Entry>& entries) {
        std::string body;
        put(body, number, 8);
        put(body, static_cast<std::uint64_t>(kind), 1);
        for (const Entry& entry : entries) {
            put(body, std::stoul(entry.name.substr(2), nullptr, 16), 4);
            put(body, INADDR_LOOPBACK, 4);
            put(body, static_cast<std::uint64_t>(entry.port), 2);
            put(body, static_cast<std::uint64_t>(entry.state), 1);
            put(body, 0, 1);
            put(body, 0, 1);
            put(body, static_cast<std::uint64_t>(entry.cell), 2);
            put(body, 1000, 4);
            put(body, entry.startedMs, 8);
        }
        std::string frame;
        put(frame, body.size(), 4);
        return frame + body;
    }
    void tell(const std::vector<Entry>& entries) {
        static const char* const kStates[] = {"active", "leaving", "left"};
        ++last;
        for (const Entry& entry : entries)
            record("change log, event %llu: %s %s, started %llu", static_cast<unsigned long long>(last),
                   entry.name.c_str(), kStates[entry.state],
                   static_cast<unsigned long long>(entry.startedMs));
        events[last] = makeFrame(last, 2, entries);
        for (const auto& one : connections)
            if (one->isOpen() && asked.count(one.get()) && !silent) one->send(events[last]);
    }
};

// ---- viewers ----

inline std::string tagOf(int number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0x5e550000 + number);
    return text;
}

// What viewers were told, by tag.
struct Told {
    int answers = 0, refusals = 0;  // an answer that it stands; a FINISH in its place
    int releases = 0;               // after the answer
    int cause = -1;
    std::string description;
    Ms askedAt = -1, answeredAt = -1, releasedAt = -1;
    bool handedOver = false;
};
inline std::map<std::string, Told> told;

struct Viewer {
    ConnectionPtr connection;
    bool echoed = false;
    explicit Viewer(int port) : connection(connectTo(port)) {
        if (!connection) return;
        connection->onBytes = lines([this](Connection& c, const Json& m) { onMessage(c, m); });
        connection->onClosed = [](Connection&) { record("the front node closes a viewers' connection"); };
    }
    bool isOpen() const { return connection && connection->isOpen(); }
    void say(const Json& what) {
        record("viewer -> front  %s", shown(what).c_str());
        if (connection) connection->send(what.dump() + "\n");
    }
    void onMessage(Connection&, const Json& m) {
        record("front -> viewer  %s", shown(m).c_str());
        const std::string verb = m.value("verb", ""), tag = m.value("tag", "");
        if (verb == "ECHOED") echoed = true;
        if (verb == "STARTED") {
            Told& one = told[tag];
            ++one.answers;
            one.answeredAt = now();
            one.description = m.value("blob", "");
        } else if (verb == "FINISH") {
            Told& one = told[tag];
            const bool stood = one.answers > 0 || one.handedOver;
            ++(stood ? one.releases : one.refusals);
            one.cause = m.value("rc", -1);
            (stood ? one.releasedAt : one.answeredAt) = now();
            say(message("FINISHED", tag));
        }
    }
    void test() { say(withCause(message("ECHO", tagOf(0xffff)), 0)); }
    static Json start(const std::string& tag, const std::string& room, const std::string& title, Ms left,
                      int copies, int home) {
        Json m = message(
            "START", tag,
            {{"class", room},
             {"left", std::to_string(left)},
             {"key", title},
             {"extras", "home:" + std::to_string(home) + ";copies:" + std::to_string(copies) + ";top:2"}});
        m["blob"] = "offer of " + tag;
        return m;
    }
    void ask(const std::string& tag, const std::string& room = "talk", const std::string& title = "title-1",
             Ms left = 3000, int copies = 3, int home = 0) {
        told[tag].askedAt = now();
        say(start(tag, room, title, left, copies, home));
    }
    // The session plays at that media server already.
    void handOver(const std::string& tag, const std::string& server, const std::string& room = "talk",
                  const std::string& title = "title-1", int copies = 3) {
        told[tag].handedOver = true;
        Json m = start(tag, room, title, 3000, copies, 0);
        m["opts"]["extras"] = m["opts"]["extras"].get<std::string>() + ";at:" + server;
        say(m);
    }
    void leave(const std::string& tag) { say(withCause(message("FINISH", tag), 16)); }
};

// ---- the front node ----

struct Front {
    int port = freePort();
    pid_t pid = -1;
    std::string folder, run;
    bool exited = false;
    int sockets = 512;
    Front() {
        const char* command = std::getenv("CASE_RUN");
        const char* place = std::getenv("CASE_TEMP");
        if (!command || !place) throw CannotRun{"run.sh starts this"};
        run = command;
        folder = place;
    }
    ~Front() { kill(); }
    std::string file() const { return folder + "/config.json"; }
    void configure(const std::vector<MediaServer*>& servers, const ChangeLog& log, const Json& settings,
                   const std::map<std::string, std::uint64_t>& started = {}) {
        Json instances = Json::array();
        for (const MediaServer* server : servers) {
            const auto it = started.find(server->name);
            instances.push_back({{"instanceId", server->name},
                                 {"hostPort", at(server->port())},
                                 {"zone", settings["zones"][0]},
                                 {"machineType", settings["host_types"][0]},
                                 {"cell", server->cell},
                                 {"lifecycle", "active"},
                                 {"weight", 1},
                                 {"startedAtMs", it == started.end() ? 0 : it->second}});
        }
        const Json whole = {
            {"name", "n0"},
            {"listen", at(port)},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 128}, {"sockets", sockets}}},
            {"changelog", at(log.port())},
            {"known",
             {{"seq", log.last},
              {"results",
               {{{"seq", log.last},
                 {"fleet", {{"generation", 1}, {"reset", true}, {"instances", instances}}}}}}}},
            {"settings", settings}};
        std::ofstream(file()) << whole.dump();
    }
    void start() {
        pid = ::fork();
        if (pid < 0) throw CannotRun{"fork"};
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this process, however that ends
            ::setenv("BALANCER_NAME", "n0", 1);
            ::setenv("BALANCER_LISTEN", at(port).c_str(), 1);
            ::setenv("BALANCER_CONFIG", file().c_str(), 1);
            const std::string log = folder + "/front.log";
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        exited = false;
        record("front node started");
        // Ready once it accepts.
        const bool ready = loop.runUntil(10'000, [&] {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopback(port);
            const bool ok = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
            return ok || hasExited();
        });
        if (!ready || exited) throw CannotRun{"the front node does not come up"};
        record("front node ready");
    }
    bool hasExited() {
        int status = 0;
        if (!exited && pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
            exited = true;
            record("front node has ended, status %d", status);
        }
        return exited;
    }
    void signal(int number) {
        record("front node gets signal %d", number);
        if (pid > 0 && !exited) ::kill(pid, number);
    }
    void kill() {
        if (pid <= 0 || hasExited()) return;
        ::kill(pid, SIGKILL);
        int status = 0;
        ::waitpid(pid, &status, 0);
        exited = true;
        record("front node killed");
    }
};

// ---- settings of a small deployment ----

// Two classes, "talk" (may be set up again) and "paid" (set up once, two seats a title); three cells.
inline Json settings() {
    return Json::parse(R"({"balancers":1,"index":0,"host_types":["box-3c"],"zones":["room"],"zone":"room",
      "weights":"nominal","discovery":"push","service_type":"streams","tenants":[],
      "allowed":{"attempts_cap":3,"cancel":true,"max_retry_after":0.5,"retry_after":true,"max_streams":32,
        "parallel_tries":false,"peers":false,"probes":false,"connect_timeout":0.25,"conn_idle":15.0,
        "max_open":100000},
      "report":{"fields":["x0"],"source":"answers"},
      "request_classes":[
        {"name":"talk","promise":1.5,"deadline":3.0,"idempotency":"pure","group":"all","repeat_window":5.0,
         "importance":1.0,"stream":true},
        {"name":"paid","promise":0.8,"deadline":4.0,"idempotency":"side_effect","group":"all",
         "repeat_window":5.0,"importance":3.0,"stream":true}],
      "rules":{"answer_slack":0.04,"stop_sending_within":0.5,"cold":10.0,"start_capacity":0.4,
        "fall_multiple":2.5,"tip_after":3.0,"spare_attempts":5,"resend_ratio":0.1,"look_back":10.0},
      "specifics":{"cells":3,"racks":1,"ladder_kb":[130,300,600],"ladder_worth":[0.25,0.6,1.0],
        "rate_factor":[1.0,1.0],"lowest_rung":[0,0],"highest_rung":[2,2],"is_live":[false,false],
        "licence_cap":[0,2],"links_kb":60000,"rack_link_kb":60000,"places_by_kind":[200],"weight_kb":20000,
        "stall":8.0,"switch_cost_s":0.5,"full_from":0.0,"join":1.0,"told_late":1.0,"told_every":2.5},
      "prices":{"cross_zone":0.0,"late_fail":0.05,"moves":0.1}})");
}

// Whether the case is to cause its trouble.
inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline int runCase(const std::function<Verdict()>& play) {
    ::signal(SIGPIPE, SIG_IGN);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with run.sh, however that ends
    ::alarm(110);
    const char* path = std::getenv("CASE_RECORD");
    recordFile = std::fopen(path ? path : "record.txt", "w");
    if (!recordFile) {
        std::printf("cannot write the record\nCOULD NOT RUN\n");
        return kCouldNotRun;
    }
    Verdict verdict = kCouldNotRun;
    try {
        verdict = play();
    } catch (const CannotRun& error) {
        record("cannot run: %s", error.why.c_str());
        std::printf("cannot run: %s\n", error.why.c_str());
    } catch (const std::exception& error) {
        record("cannot run: %s", error.what());
        std::printf("cannot run: %s\n", error.what());
    }
    static const char* const kWords[] = {"HELD", "BROKEN", "COULD NOT RUN"};
    record("%s", kWords[verdict]);
    std::printf("%s\n", kWords[verdict]);
    if (recordFile) std::fclose(recordFile);
    return verdict;
}

}  // namespace rig
