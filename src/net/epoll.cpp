#include "net/epoll.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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
#include <stdexcept>

namespace valekeel::net {
namespace {

constexpr Micros kAcceptPause = 50'000;
constexpr int kBacklog = 4096;

socklen_t toRaw(const Endpoint& at, sockaddr_storage& raw) {
    std::memset(&raw, 0, sizeof raw);
    if (at.ip.is_v6()) {
        auto& six = reinterpret_cast<sockaddr_in6&>(raw);
        six.sin6_family = AF_INET6;
        six.sin6_port = htons(at.port);
        const auto bytes = at.ip.to_v6().to_bytes();
        std::memcpy(&six.sin6_addr, bytes.data(), bytes.size());
        return sizeof six;
    }
    auto& four = reinterpret_cast<sockaddr_in&>(raw);
    four.sin_family = AF_INET;
    four.sin_port = htons(at.port);
    const auto bytes = at.ip.to_v4().to_bytes();
    std::memcpy(&four.sin_addr, bytes.data(), bytes.size());
    return sizeof four;
}

Endpoint fromRaw(const sockaddr_storage& raw) {
    Endpoint at;
    if (raw.ss_family == AF_INET6) {
        const auto& six = reinterpret_cast<const sockaddr_in6&>(raw);
        boost::asio::ip::address_v6::bytes_type bytes;
        std::memcpy(bytes.data(), &six.sin6_addr, bytes.size());
        at.ip = boost::asio::ip::address_v6(bytes);
        at.port = ntohs(six.sin6_port);
    } else if (raw.ss_family == AF_INET) {
        const auto& four = reinterpret_cast<const sockaddr_in&>(raw);
        boost::asio::ip::address_v4::bytes_type bytes;
        std::memcpy(bytes.data(), &four.sin_addr, bytes.size());
        at.ip = boost::asio::ip::address_v4(bytes);
        at.port = ntohs(four.sin_port);
    }
    return at;
}

Endpoint localOf(int fd) {
    sockaddr_storage raw{};
    socklen_t size = sizeof raw;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
    return fromRaw(raw);
}

void dontDelay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

class EpollStream final : public Stream, private EpollNet::Handler {
  public:
    EpollStream(EpollNet& net, int fd, const Endpoint& peer, bool connecting, StreamHandler* user)
        : net_(net), fd_(fd), peer_(peer), connecting_(connecting), user_(user) {
        if (fd_ >= 0) ticket_ = net_.enter(fd_, *this, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET);
    }
    ~EpollStream() override {
        if (fd_ < 0) return;
        net_.leave(ticket_, fd_);
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
        net_.leave(ticket_, fd_);
        ::close(fd_);
        fd_ = -1;
    }
    Endpoint peer() const override { return peer_; }
    void setHandler(StreamHandler& user) override { user_ = &user; }

  private:
    void happened(std::uint32_t events) override {
        const std::uint64_t ticket = ticket_;
        EpollNet& net = net_;
        const auto gone = [&] {
            return !net.slots_[ticket & 0xffffffff].handler ||
                   net.slots_[ticket & 0xffffffff].generation != ticket >> 32;
        };
        if (connecting_) {
            if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
            int wrong = 0;
            socklen_t size = sizeof wrong;
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &wrong, &size);
            if (wrong) {
                user_->onConnectFailed(wrong == ECONNREFUSED ? ConnectError::Refused
                                                             : ConnectError::Unreachable);
                return;
            }
            connecting_ = false;
            user_->onConnected();
            if (gone()) return;
        }
        if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
            user_->onReadable();
            if (gone()) return;
        }
        if (events & EPOLLOUT) user_->onWritable();
    }

    EpollNet& net_;
    int fd_;
    Endpoint peer_;
    bool connecting_;
    StreamHandler* user_;
    std::uint64_t ticket_ = 0;
};

namespace {

// A connect that failed before it began is told a moment later, as all other failures are.
class StillBorn final : public Stream {
  public:
    StillBorn(Net& net, const Endpoint& peer, ConnectError why, StreamHandler& user)
        : peer_(peer), user_(&user), tell_(net, [this, why] { user_->onConnectFailed(why); }) {
        tell_.after(0);
    }
    IoResult read(std::span<char>) override { return {0, IoResult::Status::Broken}; }
    IoResult write(std::string_view) override { return {0, IoResult::Status::Broken}; }
    void shutdownWrite() override {}
    void reset() override {}
    Endpoint peer() const override { return peer_; }
    void setHandler(StreamHandler& user) override { user_ = &user; }

  private:
    Endpoint peer_;
    StreamHandler* user_;
    Timer tell_;
};

}  // namespace

class EpollListener final : public Listener, private EpollNet::Handler {
  public:
    EpollListener(EpollNet& net, const Endpoint& at, ListenerHandler& user)
        : net_(net), user_(user), again_(net, [this] { takeAll(); }) {
        const auto fail = [&](const char* what) {
            const std::string why = std::string(what) + " " + toString(at) + ": " + std::strerror(errno);
            if (fd_ >= 0) ::close(fd_);
            throw std::runtime_error(why);
        };
        fd_ = ::socket(at.ip.is_v6() ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd_ < 0) fail("cannot make a socket for");
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_storage raw;
        const socklen_t size = toRaw(at, raw);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&raw), size) < 0) fail("cannot listen on");
        if (::listen(fd_, kBacklog) < 0) fail("cannot listen on");
        at_ = localOf(fd_);
        ticket_ = net_.enter(fd_, *this, EPOLLIN | EPOLLET);
    }
    ~EpollListener() override {
        net_.leave(ticket_, fd_);
        ::close(fd_);
    }
    Endpoint endpoint() const override { return at_; }
    void acceptPending() override { takeAll(); }

  private:
    void happened(std::uint32_t) override { takeAll(); }
    // Until EAGAIN: no further edge comes for those that already wait. Without descriptors left they stay in
    // the kernel's queue and are tried again.
    void takeAll() {
        const std::uint64_t ticket = ticket_;
        EpollNet& net = net_;
        for (;;) {
            sockaddr_storage raw{};
            socklen_t size = sizeof raw;
            const int fd =
                ::accept4(fd_, reinterpret_cast<sockaddr*>(&raw), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) continue;
                if (errno != EAGAIN && errno != EWOULDBLOCK) again_.after(kAcceptPause);
                return;
            }
            dontDelay(fd);
            user_.onAccepted(std::make_unique<EpollStream>(net_, fd, fromRaw(raw), false, nullptr));
            if (net.slots_[ticket & 0xffffffff].generation != ticket >> 32) return;
        }
    }

    EpollNet& net_;
    ListenerHandler& user_;
    Timer again_;
    int fd_ = -1;
    Endpoint at_;
    std::uint64_t ticket_ = 0;
};

class EpollDatagramSocket final : public DatagramSocket, private EpollNet::Handler {
  public:
    EpollDatagramSocket(EpollNet& net, const Endpoint& at, DatagramHandler& user) : net_(net), user_(user) {
        fd_ = ::socket(at.ip.is_v6() ? AF_INET6 : AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_storage raw;
        const socklen_t size = toRaw(at, raw);
        if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&raw), size) < 0) {
            const std::string why = "cannot take datagrams at " + toString(at) + ": " + std::strerror(errno);
            if (fd_ >= 0) ::close(fd_);
            throw std::runtime_error(why);
        }
        const int room =
            4 * 1024 * 1024;  // as much as the system allows of it: a burst should wait, not drop
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
        const int stamps = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_TIMESTAMP, &stamps, sizeof stamps);
        at_ = localOf(fd_);
        ticket_ = net_.enter(fd_, *this, EPOLLIN | EPOLLET);
    }
    ~EpollDatagramSocket() override {
        net_.leave(ticket_, fd_);
        ::close(fd_);
    }
    Endpoint endpoint() const override { return at_; }
    void send(const Endpoint& to, std::string_view bytes) override {
        sockaddr_storage raw;
        const socklen_t size = toRaw(to, raw);
        ::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<sockaddr*>(&raw), size);
    }

    Micros queueingDelay() const override { return waited_; }

  private:
    // So many a turn: a flood must not keep the loop from its timers and from other sockets.
    static constexpr int kEachTurn = 64;
    void happened(std::uint32_t) override {
        static thread_local std::array<char, 65'536> buffer;
        const std::uint64_t ticket = ticket_;
        EpollNet& net = net_;
        for (int left = kEachTurn; left > 0;) {
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
            // A send that found nobody there shows as an error here, once: it says nothing of what comes
            // next.
            if (got < 0 && errno == ECONNREFUSED) continue;
            if (got < 0) return;
            --left;
            waited_ = waitedIn(message);
            user_.onDatagram(fromRaw(raw), std::string_view(buffer.data(), static_cast<std::size_t>(got)));
            if (net.slots_[ticket & 0xffffffff].generation != ticket >> 32) return;
        }
        net.again_.push_back(ticket);
    }
    // The kernel writes down when each came, by the wall clock.
    Micros waitedIn(msghdr& message) const {
        for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c)) {
            if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_TIMESTAMP) continue;
            timeval came;
            std::memcpy(&came, CMSG_DATA(c), sizeof came);
            return std::max<Micros>(0, net_.wallNow() - (Micros{came.tv_sec} * kSecond + came.tv_usec));
        }
        return 0;
    }

    EpollNet& net_;
    DatagramHandler& user_;
    int fd_ = -1;
    Endpoint at_;
    std::uint64_t ticket_ = 0;
    Micros waited_ = 0;
};

class EpollNet::SignalHandler final : public EpollNet::Handler {
  public:
    SignalHandler(EpollNet& net, const std::vector<int>& signals, std::function<void(int)> heard)
        : net_(net), heard_(std::move(heard)) {
        sigset_t set;
        sigemptyset(&set);
        for (const int one : signals) sigaddset(&set, one);
        sigprocmask(SIG_BLOCK, &set, nullptr);
        fd_ = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
        ticket_ = net_.enter(fd_, *this, EPOLLIN | EPOLLET);
    }
    ~SignalHandler() override {
        net_.leave(ticket_, fd_);
        ::close(fd_);
    }
    void happened(std::uint32_t) override {
        signalfd_siginfo told;
        while (::read(fd_, &told, sizeof told) == sizeof told) heard_(static_cast<int>(told.ssi_signo));
    }

  private:
    EpollNet& net_;
    std::function<void(int)> heard_;
    int fd_;
    std::uint64_t ticket_;
};

EpollNet::EpollNet(std::uint64_t seed) : now_(clock()), wheel_(now_), chance_(seed) {
    epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
    if (epoll_ < 0)
        throw std::runtime_error(std::string("cannot make an epoll set: ") + std::strerror(errno));
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

std::uint64_t EpollNet::enter(int fd, Handler& handler, std::uint32_t events) {
    std::uint32_t index;
    if (free_.empty()) {
        index = static_cast<std::uint32_t>(slots_.size());
        slots_.emplace_back();
    } else {
        index = free_.back();
        free_.pop_back();
    }
    Slot& slot = slots_[index];
    slot.handler = &handler;
    const std::uint64_t ticket = std::uint64_t{slot.generation} << 32 | index;
    epoll_event event{};
    event.events = events;
    event.data.u64 = ticket;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return ticket;
}

void EpollNet::leave(std::uint64_t ticket, int fd) {
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    Slot& slot = slots_[ticket & 0xffffffff];
    slot.handler = nullptr;
    ++slot.generation;  // events of this turn that name the old one are passed over
    free_.push_back(static_cast<std::uint32_t>(ticket & 0xffffffff));
}

std::unique_ptr<Stream> EpollNet::connect(const Endpoint& to, StreamHandler& user) {
    const int fd =
        ::socket(to.ip.is_v6() ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return std::make_unique<StillBorn>(*this, to, ConnectError::OutOfDescriptors, user);
    dontDelay(fd);
    sockaddr_storage raw;
    const socklen_t size = toRaw(to, raw);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&raw), size) < 0 && errno != EINPROGRESS) {
        const ConnectError why = errno == ECONNREFUSED ? ConnectError::Refused : ConnectError::Unreachable;
        ::close(fd);
        return std::make_unique<StillBorn>(*this, to, why, user);
    }
    return std::make_unique<EpollStream>(*this, fd, to, true, &user);
}

std::unique_ptr<Listener> EpollNet::listen(const Endpoint& at, ListenerHandler& user) {
    return std::make_unique<EpollListener>(*this, at, user);
}

std::unique_ptr<DatagramSocket> EpollNet::bind(const Endpoint& at, DatagramHandler& user) {
    return std::make_unique<EpollDatagramSocket>(*this, at, user);
}

void EpollNet::onSignals(const std::vector<int>& signals, std::function<void(int)> heard) {
    signals_ = std::make_unique<SignalHandler>(*this, signals, std::move(heard));
}

void EpollNet::runOnce(Micros atMost) {
    Micros wait = atMost;
    now_ = clock();
    if (!again_.empty()) wait = 0;
    if (const auto next = wheel_.nextCheck()) wait = std::min(wait, std::max<Micros>(0, *next - now_));
    std::array<epoll_event, 256> events;
    const int count = ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                                   static_cast<int>((wait + 999) / 1000));
    now_ = clock();
    std::vector<std::uint64_t> again;
    again.swap(again_);
    for (const std::uint64_t ticket : again) {
        const Slot slot = slots_[ticket & 0xffffffff];
        if (slot.handler && slot.generation == ticket >> 32) slot.handler->happened(EPOLLIN);
    }
    for (int i = 0; i < count; ++i) {
        const std::uint64_t ticket = events[static_cast<std::size_t>(i)].data.u64;
        const Slot slot = slots_[ticket & 0xffffffff];
        if (slot.handler && slot.generation == ticket >> 32)
            slot.handler->happened(events[static_cast<std::size_t>(i)].events);
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
