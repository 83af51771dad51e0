// Child processes of our own: fronts in a drill. Ended by their id, never by name.
#pragma once

#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::net {

class Process {
  public:
    Process() = default;
    // Throws std::runtime_error if it can't be started. The first argument is the program.
    explicit Process(const std::vector<std::string>& arguments);
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;
    ~Process();  // kills it if it still runs, and waits for it

    bool running();
    void kill();                // at once
    void requestStop();         // SIGTERM
    void pause();               // SIGSTOP
    void resume();              // SIGCONT
    double cpuSeconds() const;  // used so far, or at its end
    long memoryKb() const;      // resident, while it runs

  private:
    void reap(bool wait);
    int id_ = -1;
    double used_ = 0;
};

// From now on this process is killed when the one that started it ends; at once if it has ended already.
void killOnParentExit();
std::string ownProgram();  // path of the program that runs
double ownCpuSeconds();
long ownMemoryKb();

}  // namespace valekeel::net
