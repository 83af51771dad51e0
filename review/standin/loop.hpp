// What the stand-ins of the review share: an event loop on poll(), connections that carry lines, child
// processes, and the record of what was sent, answered and run. No dependency beyond nlohmann-json, which the
// program needs too. All addresses are on loopback.
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
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline double monotonic() {
    timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

// The record of one run: each line has the seconds since the start.
class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(monotonic()) {
        if (!file_) std::exit(2);
    }
    double elapsed() const { return monotonic() - start_; }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::fprintf(file_, "%9.4f ", elapsed());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

  private:
    FILE* file_;
    double start_;
};

inline int listenOnLoopback(std::uint16_t& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 || listen(fd, 256) < 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}
// A port that was free a moment ago, for a program that is told where to listen.
inline std::uint16_t freePort() {
    std::uint16_t port = 0;
    close(listenOnLoopback(port));
    return port;
}
inline std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

class Loop {
  public:
    using Handler = std::function<void(short)>;
    void watch(int fd, Handler handler) { handlers_[fd] = {std::move(handler), false}; }
    void wantWrite(int fd, bool wanted) { handlers_[fd].second = wanted; }
    void forget(int fd) { handlers_.erase(fd); }
    void after(double seconds, std::function<void()> action) {
        timers_.emplace(monotonic() + seconds, std::move(action));
    }
    void stop() { stopped_ = true; }
    void runFor(double seconds) {
        bool due = false;
        after(seconds, [&] { due = true; });
        run([&] { return due; });
    }
    // Runs until the condition holds or the time is over; returns whether it holds.
    bool runUntil(double seconds, const std::function<bool()>& condition) {
        const double end = monotonic() + seconds;
        run([&] { return condition() || monotonic() >= end; });
        return condition();
    }

  private:
    void run(const std::function<bool()>& finished) {
        while (!finished()) {
            std::vector<pollfd> fds;
            for (const auto& [fd, handler] : handlers_)
                fds.push_back({fd, static_cast<short>(POLLIN | (handler.second ? POLLOUT : 0)), 0});
            int wait = 20;
            if (!timers_.empty())
                wait = std::min(wait, std::max(0, static_cast<int>((timers_.begin()->first - monotonic()) * 1000)));
            poll(fds.data(), fds.size(), wait);
            for (const pollfd& fd : fds) {
                const auto it = handlers_.find(fd.fd);
                if (fd.revents == 0 || it == handlers_.end()) continue;
                const Handler handler = it->second.first;
                handler(fd.revents);
            }
            while (!timers_.empty() && timers_.begin()->first <= monotonic()) {
                const auto action = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                action();
            }
        }
    }
    std::map<int, std::pair<Handler, bool>> handlers_;
    std::multimap<double, std::function<void()>> timers_;
    bool stopped_ = false;
};

// One TCP connection. Bytes to the peer can be held back, as by a slow path: what is sent while they are held
// goes out, in order, once the time has come.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    std::function<void(const std::string& bytes)> onBytes;
    std::function<void()> onClosed;  // by the peer, or broken
    static std::shared_ptr<Connection> accepted(Loop& loop, int fd) {
        auto connection = std::shared_ptr<Connection>(new Connection(loop, fd));
        connection->open_ = true;
        connection->start();
        return connection;
    }
    static std::shared_ptr<Connection> connect(Loop& loop, std::uint16_t port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto connection = std::shared_ptr<Connection>(new Connection(loop, fd));
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 && errno != EINPROGRESS) {
            ::close(fd);
            connection->fd_ = -1;
            return connection;
        }
        connection->start();
        return connection;
    }
    ~Connection() { close(); }
    bool isOpen() const { return fd_ >= 0; }
    void send(const std::string& bytes) {
        if (fd_ < 0) return;
        queue_.emplace_back(std::max(heldUntil_, monotonic()), bytes);
        flush();
    }
    void holdFor(double seconds) { heldUntil_ = std::max(heldUntil_, monotonic() + seconds); }
    void close() {
        if (fd_ < 0) return;
        loop_.forget(fd_);
        ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        if (fd_ < 0) return;
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

  private:
    Connection(Loop& loop, int fd) : loop_(loop), fd_(fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    void start() {
        loop_.watch(fd_, [weak = weak_from_this()](short events) {
            if (const auto self = weak.lock()) self->onEvents(events);
        });
        loop_.wantWrite(fd_, !open_);
    }
    void onEvents(short events) {
        if (events & POLLOUT) {
            open_ = true;
            flush();
        }
        if (fd_ >= 0 && events & (POLLIN | POLLHUP | POLLERR)) {
            char buffer[16384];
            for (;;) {
                const ssize_t got = recv(fd_, buffer, sizeof buffer, 0);
                if (got > 0) {
                    if (onBytes) onBytes(std::string(buffer, static_cast<std::size_t>(got)));
                    if (fd_ < 0) return;
                    continue;
                }
                if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
                close();
                if (onClosed) onClosed();
                return;
            }
        }
    }
    void flush() {
        if (fd_ < 0 || !open_) return;
        while (!queue_.empty() && queue_.front().first <= monotonic()) {
            std::string& bytes = queue_.front().second;
            const ssize_t put = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (put < 0) break;
            bytes.erase(0, static_cast<std::size_t>(put));
            if (bytes.empty()) queue_.pop_front();
        }
        const bool mustWrite = !queue_.empty() && queue_.front().first <= monotonic();
        loop_.wantWrite(fd_, mustWrite);
        if (!queue_.empty() && !mustWrite)
            loop_.after(queue_.front().first - monotonic() + 0.0005, [weak = weak_from_this()] {
                if (const auto self = weak.lock()) self->flush();
            });
    }
    Loop& loop_;
    int fd_;
    bool open_ = false;
    double heldUntil_ = 0;
    std::deque<std::pair<double, std::string>> queue_;
};

// Splits bytes into lines, each a JSON object.
class LineReader {
  public:
    std::vector<Json> feed(const std::string& bytes) {
        input_ += bytes;
        std::vector<Json> messages;
        for (auto end = input_.find('\n'); end != std::string::npos; end = input_.find('\n')) {
            Json message = Json::parse(input_.substr(0, end), nullptr, false);
            input_.erase(0, end + 1);
            if (message.is_object()) messages.push_back(std::move(message));
        }
        return messages;
    }

  private:
    std::string input_;
};

// A process that the test starts, in a process group of its own. It is ended with the test, however that ends.
class Child {
  public:
    Child(const std::string& command, const std::string& directory, const std::string& logFile,
          const std::vector<std::pair<std::string, std::string>>& environment = {}) {
        pid_ = fork();
        if (pid_ < 0) std::exit(2);
        if (pid_ > 0) {
            setpgid(pid_, pid_);
            return;
        }
        setpgid(0, 0);
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, also if that is killed
        const int out = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        const int in = ::open("/dev/null", O_RDONLY);
        dup2(in, 0);
        for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
        if (chdir(directory.c_str()) < 0) _exit(127);
        execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    ~Child() { end(); }
    pid_t pid() const { return pid_; }
    void signal(int number) const {
        if (pid_ > 0) kill(pid_, number);
    }
    bool isAlive() {
        if (pid_ <= 0) return false;
        if (waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
        return pid_ > 0;
    }
    void end() {
        if (!isAlive()) return;
        kill(-pid_, SIGCONT);
        kill(-pid_, SIGTERM);
        for (int i = 0; i < 20 && isAlive(); ++i) usleep(50'000);
        if (!isAlive()) return;
        kill(-pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
        pid_ = -1;
    }

  private:
    pid_t pid_;
    int status_ = 0;
};

// Arguments of each case: the repository's root, the case's folder, a temporary folder, and the deploy file's
// run command.
struct Arguments {
    std::string root, folder, work, run;
    bool trouble;
    Arguments(int count, char** values) {
        if (count < 5) {
            std::fprintf(stderr, "usage: ROOT FOLDER WORK RUN\n");
            std::exit(2);
        }
        root = values[1];
        folder = values[2];
        work = values[3];
        run = values[4];
        const char* wanted = std::getenv("TROUBLE");
        trouble = !wanted || std::string(wanted) != "0";
    }
};

}  // namespace review
