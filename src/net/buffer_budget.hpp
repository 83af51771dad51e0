// Limits the memory that many connections hold together in unfinished input and unsent output. When they hold
// more, those that hold the most are told to close, until the rest is within the limit. Without such a limit
// hundreds of clients that write slowly, or don't read, add up to more memory than the process may use,
// though each keeps to its own limit.
#pragma once

#include <cstddef>
#include <functional>
#include <set>

#include "net/net.hpp"

namespace valekeel::net {

class BufferBudget {
  public:
    // One connection. Destroying it gives back what it holds. The budget must outlive it.
    class Holder {
      public:
        // `onOverLimit` is called from the event loop and must close the connection, which calls set(0).
        Holder(BufferBudget& budget, std::function<void()> onOverLimit)
            : budget_(budget), onOverLimit_(std::move(onOverLimit)) {}
        Holder(const Holder&) = delete;
        Holder& operator=(const Holder&) = delete;
        ~Holder() { set(0); }
        void set(std::size_t bytes);  // what the connection holds now

      private:
        friend class BufferBudget;
        BufferBudget& budget_;
        std::function<void()> onOverLimit_;
        std::size_t bytes_ = 0;
    };

    BufferBudget(Net& net, std::size_t maxBytes)
        : maxBytes_(maxBytes), timer_(net, [this] { closeLargest(); }) {}
    std::size_t bytes() const { return bytes_; }
    std::size_t maxBytes() const { return maxBytes_; }
    std::uint64_t closedCount() const { return closedCount_; }  // connections told to close so far

  private:
    void closeLargest();
    std::size_t maxBytes_, bytes_ = 0;
    std::uint64_t closedCount_ = 0;
    std::set<std::pair<std::size_t, Holder*>> holders_;  // those that hold anything
    Timer timer_;
};

}  // namespace valekeel::net
