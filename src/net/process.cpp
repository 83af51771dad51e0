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

long residentOf(const std::string& who) {
    std::ifstream in("/proc/" + who + "/status");
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
    for (const std::string& a : arguments) raw.push_back(const_cast<char*>(a.c_str()));
    raw.push_back(nullptr);
    posix_spawnattr_t how;
    posix_spawnattr_init(&how);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&how, &none);  // a child hears its signals, whatever its parent blocks
    posix_spawnattr_setflags(&how, POSIX_SPAWN_SETSIGMASK);
    pid_t id = -1;
    const int wrong = ::posix_spawn(&id, raw[0], nullptr, &how, raw.data(), environ);
    posix_spawnattr_destroy(&how);
    if (wrong) throw std::runtime_error("cannot start " + arguments.front() + ": " + std::strerror(wrong));
    id_ = id;
}

Process::Process(Process&& o) noexcept : id_(std::exchange(o.id_, -1)), used_(o.used_) {}
Process& Process::operator=(Process&& o) noexcept {
    if (this == &o) return *this;
    kill();
    id_ = std::exchange(o.id_, -1);
    used_ = o.used_;
    return *this;
}
Process::~Process() {
    kill();
}

void Process::reap(bool wait) {
    if (id_ < 0) return;
    rusage use{};
    int status = 0;
    const pid_t got = ::wait4(id_, &status, wait ? 0 : WNOHANG, &use);
    if (got == id_ || (got < 0 && errno == ECHILD)) {
        used_ = secondsOf(use.ru_utime) + secondsOf(use.ru_stime);
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
    if (id_ < 0) return used_;
    std::ifstream in("/proc/" + std::to_string(id_) + "/stat");
    std::string line;
    std::getline(in, line);
    const auto close = line.rfind(')');
    if (close == std::string::npos) return 0;
    long user = 0, system = 0;
    std::sscanf(line.c_str() + close + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user,
                &system);
    return static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
long Process::memoryKb() const {
    return id_ < 0 ? 0 : residentOf(std::to_string(id_));
}

void killOnParentExit() {
    const pid_t parent = ::getppid();
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || parent == 1) ::kill(::getpid(), SIGKILL);  // it ended in between
}

std::string ownProgram() {
    char path[4096];
    const ssize_t got = ::readlink("/proc/self/exe", path, sizeof path);
    return got > 0 ? std::string(path, static_cast<std::size_t>(got)) : "valekeel";
}
double ownCpuSeconds() {
    rusage use{};
    ::getrusage(RUSAGE_SELF, &use);
    return secondsOf(use.ru_utime) + secondsOf(use.ru_stime);
}
long ownMemoryKb() {
    return residentOf("self");
}

}  // namespace valekeel::net
