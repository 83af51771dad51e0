// Shares the event loop between connections that have more input than one turn handles (round-robin). A
// connection handles a little input as soon as it is readable, so that one with a single message waits for
// nobody; if more is left, it waits here for its turns, while sockets are polled and timers run. The amount
// is counted in bytes, to which each message adds kWorkPerMessage, since many small messages cost more than a
// large one.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

#include "net/net.hpp"

namespace valekeel::net {

class TurnQueue {
  public:
    static constexpr std::size_t kWorkPerMessage = 512;
    static constexpr std::size_t kWorkWhenReadable = 4 * 1024;  // before a connection waits for turns
    static constexpr std::size_t kWorkPerTurn = 16 * 1024;
    static constexpr std::size_t kWorkPerRound =
        128 * 1024;  // of all that wait, in one round of the event loop

    // One connection. Destroying it removes it from the queue, which must outlive it.
    class Member {
      public:
        // `takeTurn` handles at most about kWorkPerTurn and returns how much it was. It calls wait() if more
        // input may be left.
        Member(TurnQueue& queue, std::function<std::size_t()> takeTurn)
            : queue_(queue), takeTurn_(std::move(takeTurn)) {}
        Member(const Member&) = delete;
        Member& operator=(const Member&) = delete;
        ~Member() { cancel(); }
        void wait();  // at the end of the queue; keeps its place if it waits already
        void cancel();
        bool isWaiting() const { return isWaiting_; }

      private:
        friend class TurnQueue;
        TurnQueue& queue_;
        std::function<std::size_t()> takeTurn_;
        bool isWaiting_ = false;
        std::list<Member*>::iterator place_;
    };

    explicit TurnQueue(Net& net) : timer_(net, [this] { runRound(); }) {}
    std::size_t size() const { return waiting_.size(); }

  private:
    void runRound();
    std::list<Member*> waiting_;
    Timer timer_;
};

}  // namespace valekeel::net
