// Child processes, such as the fronts of a drill, and figures about this process. Children are ended by their
// process id, never by name.
#pragma once

#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::net {

// Owns one child process. A default-constructed or ended one has no process: its calls then do nothing.
class Process {
  public:
    Process() = default;
    // Starts the program named by the first argument. Throws std::runtime_error if it can't be started.
    explicit Process(const std::vector<std::string>& arguments);
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;
    ~Process();  // as kill()

    bool running();
    void kill();                // SIGKILL, then waits until the process has ended
    void requestStop();         // SIGTERM
    void pause();               // SIGSTOP
    void resume();              // SIGCONT
    double cpuSeconds() const;  // user and system time so far, or in total once it has ended
    long memoryKb() const;      // resident set size; 0 once it has ended

  private:
    void reap(bool wait);
    int id_ = -1;
    double cpuSeconds_ = 0;  // once it has ended
};

// Makes the kernel kill this process when its parent exits; kills it at once if the parent has already
// exited.
void killOnParentExit();
std::string ownProgram();  // path of the running executable; "valekeel" if it can't be read
double ownCpuSeconds();    // user and system time
long ownMemoryKb();        // resident set size

}  // namespace valekeel::net
