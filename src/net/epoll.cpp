#include "net/epoll.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <limits>
#include <stdexcept>

namespace valekeel::net {
namespace {

constexpr Micros kAcceptRetryDelay = 50'000;  // after a failed accept, for example without free descriptors
constexpr int kListenBacklog = 4096;

socklen_t toSockaddr(const Endpoint& endpoint, sockaddr_storage& raw) {
    std::memset(&raw, 0, sizeof raw);
    if (endpoint.ip.is_v6()) {
        auto& v6 = reinterpret_cast<sockaddr_in6&>(raw);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(endpoint.port);
        const auto bytes = endpoint.ip.to_v6().to_bytes();
        std::memcpy(&v6.sin6_addr, bytes.data(), bytes.size());
        return sizeof v6;
    }
    auto& v4 = reinterpret_cast<sockaddr_in&>(raw);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    const auto bytes = endpoint.ip.to_v4().to_bytes();
    std::memcpy(&v4.sin_addr, bytes.data(), bytes.size());
    return sizeof v4;
}

Endpoint fromSockaddr(const sockaddr_storage& raw) {
    Endpoint endpoint;
    if (raw.ss_family == AF_INET6) {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(raw);
        boost::asio::ip::address_v6::bytes_type bytes;
        std::memcpy(bytes.data(), &v6.sin6_addr, bytes.size());
        endpoint.ip = boost::asio::ip::address_v6(bytes);
        endpoint.port = ntohs(v6.sin6_port);
    } else if (raw.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(raw);
        boost::asio::ip::address_v4::bytes_type bytes;
        std::memcpy(bytes.data(), &v4.sin_addr, bytes.size());
        endpoint.ip = boost::asio::ip::address_v4(bytes);
        endpoint.port = ntohs(v4.sin_port);
    }
    return endpoint;
}

Endpoint localEndpoint(int fd) {
    sockaddr_storage raw{};
    socklen_t size = sizeof raw;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
    return fromSockaddr(raw);
}

void disableNagle(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

class EpollStream final : public Stream, private EpollNet::Handler {
  public:
    EpollStream(EpollNet& net, int fd, const Endpoint& peer, bool connecting, StreamHandler* handler)
        : net_(net), fd_(fd), peer_(peer), connecting_(connecting), handler_(handler) {
        if (fd_ >= 0) token_ = net_.registerHandler(fd_, *this, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET);
    }
    ~EpollStream() override {
        if (fd_ < 0) return;
        net_.unregisterHandler(token_, fd_);
        ::close(fd_);
    }

    IoResult read(std::span<char> into) override {
        if (fd_ < 0) return {0, IoResult::Status::Broken};
        for (;;) {
            const ssize_t got = ::recv(fd_, into.data(), into.size(), 0);
            if (got > 0) return {static_cast<std::size_t>(got), IoResult::Status::Ready};
            if (got == 0) return {0, IoResult::Status::EndOfStream};
            if (errno == EINTR) continue;
            return {0, errno == EAGAIN || errno == EWOULDBLOCK ? IoResult::Status::WouldBlock
                                                               : IoResult::Status::Broken};
        }
    }

    IoResult write(std::string_view bytes) override {
        if (fd_ < 0) return {0, IoResult::Status::Broken};
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t put = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (put >= 0) {
                done += static_cast<std::size_t>(put);
            } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
                return {done, IoResult::Status::WouldBlock};
            } else if (errno != EINTR) {
                return {done, IoResult::Status::Broken};
            }
        }
        return {done, IoResult::Status::Ready};
    }

    void shutdownWrite() override {
        if (fd_ >= 0) ::shutdown(fd_, SHUT_WR);
    }
    void reset() override {
        if (fd_ < 0) return;
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        net_.unregisterHandler(token_, fd_);
        ::close(fd_);
        fd_ = -1;
    }
    Endpoint peer() const override { return peer_; }
    bool hasPeerFinished() const override {
        if (fd_ < 0) return false;
        pollfd state{fd_, POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
    }
    void setHandler(StreamHandler& handler) override { handler_ = &handler; }

  private:
    void onEvents(std::uint32_t events) override {
        const std::uint64_t token = token_;
        EpollNet& net = net_;
        const auto isDeleted = [&] {
            return !net.slots_[token & 0xffffffff].handler ||
                   net.slots_[token & 0xffffffff].generation != token >> 32;
        };
        if (connecting_) {
            if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) {
                handler_->onConnectFailed(error == ECONNREFUSED ? ConnectError::Refused
                                                                : ConnectError::Unreachable);
                return;
            }
            connecting_ = false;
            handler_->onConnected();
            if (isDeleted()) return;
        }
        if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
            handler_->onReadable();
            if (isDeleted()) return;
        }
        if (events & EPOLLOUT) handler_->onWritable();
    }

    EpollNet& net_;
    int fd_;
    Endpoint peer_;
    bool connecting_;
    StreamHandler* handler_;
    std::uint64_t token_ = 0;
};

namespace {

// A connect that failed at once. Reports the failure from the event loop, as all other failures are reported.
class FailedStream final : public Stream {
  public:
    FailedStream(Net& net, const Endpoint& peer, ConnectError why, StreamHandler& handler)
        : peer_(peer), handler_(&handler), report_(net, [this, why] { handler_->onConnectFailed(why); }) {
        report_.after(0);
    }
    IoResult read(std::span<char>) override { return {0, IoResult::Status::Broken}; }
    IoResult write(std::string_view) override { return {0, IoResult::Status::Broken}; }
    void shutdownWrite() override {}
    void reset() override {}
    Endpoint peer() const override { return peer_; }
    void setHandler(StreamHandler& handler) override { handler_ = &handler; }

  private:
    Endpoint peer_;
    StreamHandler* handler_;
    Timer report_;
};

}  // namespace

class EpollListener final : public Listener, private EpollNet::Handler {
  public:
    EpollListener(EpollNet& net, const Endpoint& endpoint, ListenerHandler& handler)
        : net_(net), handler_(handler), retry_(net, [this] { accept(kMaxAcceptsPerRound); }) {
        const auto fail = [&](const char* action) {
            const std::string message =
                std::string(action) + " " + toString(endpoint) + ": " + std::strerror(errno);
            if (fd_ >= 0) ::close(fd_);
            throw std::runtime_error(message);
        };
        fd_ =
            ::socket(endpoint.ip.is_v6() ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd_ < 0) fail("cannot create a socket for");
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_storage raw;
        const socklen_t size = toSockaddr(endpoint, raw);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&raw), size) < 0) fail("cannot listen on");
        if (::listen(fd_, kListenBacklog) < 0) fail("cannot listen on");
        endpoint_ = localEndpoint(fd_);
        token_ = net_.registerHandler(fd_, *this, EPOLLIN | EPOLLET);
    }
    ~EpollListener() override {
        net_.unregisterHandler(token_, fd_);
        ::close(fd_);
    }
    Endpoint endpoint() const override { return endpoint_; }
    void acceptPending() override { accept(std::numeric_limits<int>::max()); }

  private:
    // A limit, so that clients that connect all the time can't starve timers and other sockets.
    static constexpr int kMaxAcceptsPerRound = 64;
    void onEvents(std::uint32_t) override { accept(kMaxAcceptsPerRound); }
    // Accepts until EAGAIN, since no further edge is signalled for connections that are already queued, or
    // continues in the next round. Without free descriptors they stay in the kernel's queue and are retried
    // after kAcceptRetryDelay.
    void accept(int maxCount) {
        const std::uint64_t token = token_;
        EpollNet& net = net_;
        for (; maxCount > 0; --maxCount) {
            sockaddr_storage raw{};
            socklen_t size = sizeof raw;
            const int fd =
                ::accept4(fd_, reinterpret_cast<sockaddr*>(&raw), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) continue;
                if (errno != EAGAIN && errno != EWOULDBLOCK) retry_.after(kAcceptRetryDelay);
                return;
            }
            disableNagle(fd);
            handler_.onAccepted(std::make_unique<EpollStream>(net_, fd, fromSockaddr(raw), false, nullptr));
            if (net.slots_[token & 0xffffffff].generation != token >> 32) return;
        }
        net.unfinished_.push_back(token);
    }

    EpollNet& net_;
    ListenerHandler& handler_;
    Timer retry_;
    int fd_ = -1;
    Endpoint endpoint_;
    std::uint64_t token_ = 0;
};

class EpollDatagramSocket final : public DatagramSocket, private EpollNet::Handler {
  public:
    EpollDatagramSocket(EpollNet& net, const Endpoint& endpoint, DatagramHandler& handler)
        : net_(net), handler_(handler) {
        fd_ =
            ::socket(endpoint.ip.is_v6() ? AF_INET6 : AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_storage raw;
        const socklen_t size = toSockaddr(endpoint, raw);
        if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&raw), size) < 0) {
            const std::string message =
                "cannot bind a datagram socket to " + toString(endpoint) + ": " + std::strerror(errno);
            if (fd_ >= 0) ::close(fd_);
            throw std::runtime_error(message);
        }
        // The kernel caps this at its own limit. A burst is to be queued, not dropped.
        const int bufferBytes = 4 * 1024 * 1024;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        const int enabled = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_TIMESTAMP, &enabled, sizeof enabled);
        endpoint_ = localEndpoint(fd_);
        token_ = net_.registerHandler(fd_, *this, EPOLLIN | EPOLLET);
    }
    ~EpollDatagramSocket() override {
        net_.unregisterHandler(token_, fd_);
        ::close(fd_);
    }
    Endpoint endpoint() const override { return endpoint_; }
    void send(const Endpoint& to, std::string_view bytes) override {
        sockaddr_storage raw;
        const socklen_t size = toSockaddr(to, raw);
        ::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<sockaddr*>(&raw), size);
    }

    Micros queueingDelay() const override { return queueingDelay_; }

  private:
    // A limit, so that a flood of datagrams can't starve timers and other sockets.
    static constexpr int kMaxDatagramsPerRound = 64;
    void onEvents(std::uint32_t) override {
        static thread_local std::array<char, 65'536> buffer;
        const std::uint64_t token = token_;
        EpollNet& net = net_;
        for (int left = kMaxDatagramsPerRound; left > 0;) {
            sockaddr_storage raw{};
            iovec part{buffer.data(), buffer.size()};
            alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timeval))> extra;
            msghdr message{};
            message.msg_name = &raw;
            message.msg_namelen = sizeof raw;
            message.msg_iov = &part;
            message.msg_iovlen = 1;
            message.msg_control = extra.data();
            message.msg_controllen = extra.size();
            const ssize_t got = ::recvmsg(fd_, &message, 0);
            if (got < 0 && errno == EINTR) continue;
            // An earlier send met a closed port. The error is reported once and does not concern this
            // receive.
            if (got < 0 && errno == ECONNREFUSED) continue;
            if (got < 0) return;
            --left;
            queueingDelay_ = queueingDelayOf(message);
            handler_.onDatagram(fromSockaddr(raw),
                                std::string_view(buffer.data(), static_cast<std::size_t>(got)));
            if (net.slots_[token & 0xffffffff].generation != token >> 32) return;
        }
        net.unfinished_.push_back(token);
    }
    // Time since the kernel received the datagram, which it timestamps by the wall clock; 0 without a
    // timestamp.
    Micros queueingDelayOf(msghdr& message) const {
        for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c)) {
            if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_TIMESTAMP) continue;
            timeval received;
            std::memcpy(&received, CMSG_DATA(c), sizeof received);
            return std::max<Micros>(0,
                                    net_.wallNow() - (Micros{received.tv_sec} * kSecond + received.tv_usec));
        }
        return 0;
    }

    EpollNet& net_;
    DatagramHandler& handler_;
    int fd_ = -1;
    Endpoint endpoint_;
    std::uint64_t token_ = 0;
    Micros queueingDelay_ = 0;
};

class EpollNet::SignalHandler final : public EpollNet::Handler {
  public:
    SignalHandler(EpollNet& net, const std::vector<int>& signals, std::function<void(int)> callback)
        : net_(net), callback_(std::move(callback)) {
        sigset_t set;
        sigemptyset(&set);
        for (const int signal : signals) sigaddset(&set, signal);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
        token_ = net_.registerHandler(fd_, *this, EPOLLIN | EPOLLET);
    }
    ~SignalHandler() override {
        net_.unregisterHandler(token_, fd_);
        ::close(fd_);
    }
    void onEvents(std::uint32_t) override {
        signalfd_siginfo info;
        while (::read(fd_, &info, sizeof info) == sizeof info) callback_(static_cast<int>(info.ssi_signo));
    }

  private:
    EpollNet& net_;
    std::function<void(int)> callback_;
    int fd_;
    std::uint64_t token_;
};

EpollNet::EpollNet(std::uint64_t seed) : now_(clock()), wheel_(now_), random_(seed) {
    epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
    if (epoll_ < 0)
        throw std::runtime_error(std::string("cannot create an epoll instance: ") + std::strerror(errno));
}

EpollNet::~EpollNet() {
    signals_.reset();
    ::close(epoll_);
}

Micros EpollNet::clock() {
    timespec t;
    ::clock_gettime(CLOCK_MONOTONIC, &t);
    return Micros{t.tv_sec} * kSecond + t.tv_nsec / 1000;
}

Micros EpollNet::wallNow() const {
    timespec t;
    ::clock_gettime(CLOCK_REALTIME, &t);
    return Micros{t.tv_sec} * kSecond + t.tv_nsec / 1000;
}

std::uint64_t EpollNet::registerHandler(int fd, Handler& handler, std::uint32_t events) {
    std::uint32_t index;
    if (freeSlots_.empty()) {
        index = static_cast<std::uint32_t>(slots_.size());
        slots_.emplace_back();
    } else {
        index = freeSlots_.back();
        freeSlots_.pop_back();
    }
    Slot& slot = slots_[index];
    slot.handler = &handler;
    const std::uint64_t token = std::uint64_t{slot.generation} << 32 | index;
    epoll_event event{};
    event.events = events;
    event.data.u64 = token;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return token;
}

void EpollNet::unregisterHandler(std::uint64_t token, int fd) {
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    Slot& slot = slots_[token & 0xffffffff];
    slot.handler = nullptr;
    ++slot.generation;  // pending events of the old handler are ignored
    freeSlots_.push_back(static_cast<std::uint32_t>(token & 0xffffffff));
}

std::unique_ptr<Stream> EpollNet::connect(const Endpoint& to, StreamHandler& handler) {
    const int fd =
        ::socket(to.ip.is_v6() ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return std::make_unique<FailedStream>(*this, to, ConnectError::OutOfDescriptors, handler);
    disableNagle(fd);
    sockaddr_storage raw;
    const socklen_t size = toSockaddr(to, raw);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&raw), size) < 0 && errno != EINPROGRESS) {
        const ConnectError why = errno == ECONNREFUSED ? ConnectError::Refused : ConnectError::Unreachable;
        ::close(fd);
        return std::make_unique<FailedStream>(*this, to, why, handler);
    }
    return std::make_unique<EpollStream>(*this, fd, to, true, &handler);
}

std::unique_ptr<Listener> EpollNet::listen(const Endpoint& endpoint, ListenerHandler& handler) {
    return std::make_unique<EpollListener>(*this, endpoint, handler);
}

std::unique_ptr<DatagramSocket> EpollNet::bind(const Endpoint& endpoint, DatagramHandler& handler) {
    return std::make_unique<EpollDatagramSocket>(*this, endpoint, handler);
}

void EpollNet::onSignals(const std::vector<int>& signals, std::function<void(int)> callback) {
    signals_ = std::make_unique<SignalHandler>(*this, signals, std::move(callback));
}

void EpollNet::runOnce(Micros maxWait) {
    Micros wait = maxWait;
    now_ = clock();
    if (!unfinished_.empty()) wait = 0;
    if (const auto next = wheel_.nextCheck()) wait = std::min(wait, std::max<Micros>(0, *next - now_));
    std::array<epoll_event, 256> events;
    const int count = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                                   static_cast<int>((wait + 999) / 1000));
    now_ = clock();
    std::vector<std::uint64_t> unfinished;
    unfinished.swap(unfinished_);
    for (const std::uint64_t token : unfinished) {
        const Slot slot = slots_[token & 0xffffffff];
        if (slot.handler && slot.generation == token >> 32) slot.handler->onEvents(EPOLLIN);
    }
    for (int i = 0; i < count; ++i) {
        const std::uint64_t token = events[static_cast<std::size_t>(i)].data.u64;
        const Slot slot = slots_[token & 0xffffffff];
        if (slot.handler && slot.generation == token >> 32)
            slot.handler->onEvents(events[static_cast<std::size_t>(i)].events);
    }
    now_ = clock();
    while (TimerNode* node = wheel_.popDue(now_)) Timer::fire(*node);
}

void EpollNet::run() {
    running_ = true;
    while (running_) runOnce(kSecond);
}

std::size_t raiseDescriptorLimit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace valekeel::net
