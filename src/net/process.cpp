#include "net/process.hpp"

#include <spawn.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace valekeel::net {
namespace {

double secondsOf(const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
}

long residentKb(const std::string& processId) {
    std::ifstream in("/proc/" + processId + "/status");
    std::string word;
    while (in >> word)
        if (word == "VmRSS:") {
            long kb = 0;
            in >> kb;
            return kb;
        }
    return 0;
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments) {
    std::vector<char*> raw;
    for (const std::string& argument : arguments) raw.push_back(const_cast<char*>(argument.c_str()));
    raw.push_back(nullptr);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t noSignals;
    sigemptyset(&noSignals);
    // The child does not inherit the parent's blocked signals.
    posix_spawnattr_setsigmask(&attributes, &noSignals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t id = -1;
    const int error = ::posix_spawn(&id, raw[0], nullptr, &attributes, raw.data(), environ);
    posix_spawnattr_destroy(&attributes);
    if (error) throw std::runtime_error("cannot start " + arguments.front() + ": " + std::strerror(error));
    id_ = id;
}

Process::Process(Process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), cpuSeconds_(other.cpuSeconds_) {}
Process& Process::operator=(Process&& other) noexcept {
    if (this == &other) return *this;
    kill();
    id_ = std::exchange(other.id_, -1);
    cpuSeconds_ = other.cpuSeconds_;
    return *this;
}
Process::~Process() {
    kill();
}

void Process::reap(bool wait) {
    if (id_ < 0) return;
    rusage usage{};
    int status = 0;
    const pid_t reaped = ::wait4(id_, &status, wait ? 0 : WNOHANG, &usage);
    if (reaped == id_ || (reaped < 0 && errno == ECHILD)) {
        cpuSeconds_ = secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
        id_ = -1;
    }
}

bool Process::running() {
    reap(false);
    return id_ >= 0;
}
void Process::kill() {
    if (id_ < 0) return;
    ::kill(id_, SIGKILL);
    reap(true);
}
void Process::requestStop() {
    if (id_ >= 0) ::kill(id_, SIGTERM);
}
void Process::pause() {
    if (id_ >= 0) ::kill(id_, SIGSTOP);
}
void Process::resume() {
    if (id_ >= 0) ::kill(id_, SIGCONT);
}

double Process::cpuSeconds() const {
    if (id_ < 0) return cpuSeconds_;
    std::ifstream in("/proc/" + std::to_string(id_) + "/stat");
    std::string line;
    std::getline(in, line);
    const auto close = line.rfind(')');
    if (close == std::string::npos) return 0;
    long userTicks = 0, systemTicks = 0;
    std::sscanf(line.c_str() + close + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &userTicks,
                &systemTicks);
    return static_cast<double>(userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
long Process::memoryKb() const {
    return id_ < 0 ? 0 : residentKb(std::to_string(id_));
}

void killOnParentExit() {
    const pid_t parent = ::getppid();
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || parent == 1) ::kill(::getpid(), SIGKILL);  // the parent ended before prctl()
}

std::string ownProgram() {
    char path[4096];
    const ssize_t length = ::readlink("/proc/self/exe", path, sizeof path);
    return length > 0 ? std::string(path, static_cast<std::size_t>(length)) : "valekeel";
}
double ownCpuSeconds() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}
long ownMemoryKb() {
    return residentKb("self");
}

}  // namespace valekeel::net
