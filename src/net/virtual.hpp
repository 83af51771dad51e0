// The other side of net.hpp's seam: streams, datagrams and timers on a virtual clock, without a socket. A
// world holds nodes, each as one process of its own: with its address, its timers, its clock, and what
// happens to it (a pause, an end). Everything comes in one order, by time and then by when it was set off, so
// that the same seed and the same calls give the same run. One thread.
//
// Streams: bytes arrive after the latency between two nodes, in order; at most `kBuffer` of them are on their
// way or unread, then write() says Again. Deleting a stream with unread bytes, or of a node that is crashing,
// resets it; else the peer reads to the end.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "net/net.hpp"

namespace valekeel::net {

class VirtualNetwork;

class VirtualNode final : public Net {
  public:
    VirtualNode(VirtualNetwork&, std::string name, const IpAddress&, std::uint64_t seed);
    ~VirtualNode() override;

    Micros now() const override;
    Micros wallNow() const override;
    TimerWheel& timerWheel() override { return wheel_; }
    std::unique_ptr<Stream> connect(const Endpoint&, StreamHandler&) override;
    std::unique_ptr<Listener> listen(const Endpoint&, ListenerHandler&) override;
    std::unique_ptr<DatagramSocket> bind(const Endpoint&, DatagramHandler&) override;
    std::uint64_t randomBits() override { return chance_(); }

    const std::string& name() const { return name_; }
    // Nothing reaches it and no timer fires until it goes on; then all that waited comes at once.
    void pause() { stands_ = true; }
    void resume();
    bool isPaused() const { return stands_; }
    // While set, what is deleted here resets: for the end of a process that had no time to say goodbye.
    bool crashing = false;
    Micros wallSkew = 0;  // of its wall clock
    // Real time spent in what happened to it: the cost of its code, where nothing else takes the CPU.
    double busySeconds() const { return busy_; }
    std::size_t peakStreamCount() const { return mostStreams_; }  // that it held at once

  private:
    friend class VirtualNetwork;
    VirtualNetwork& world_;
    std::string name_;
    IpAddress ip_;
    TimerWheel wheel_;
    std::mt19937_64 chance_;
    bool stands_ = false;
    std::deque<std::function<void()>> waits_;
    double busy_ = 0;
    std::size_t streams_ = 0, mostStreams_ = 0;
};

class VirtualNetwork {
  public:
    static constexpr std::size_t kBuffer = 256 * 1024;
    explicit VirtualNetwork(std::uint64_t seed, Micros start = 1'000 * kSecond);
    ~VirtualNetwork();

    // Lives as long as the world. Each name and address once.
    VirtualNode& node(const std::string& name, const IpAddress&);
    Micros now() const { return now_; }
    // The next thing that happens, if it does so by then; else the clock stands at `until` and false is told.
    bool step(Micros until);
    void runUntil(Micros until) {
        while (step(until)) {
        }
    }
    // Of each message, one way; for both ways of a stream the same. 200 us where nothing is set.
    std::function<Micros(const VirtualNode&, const VirtualNode&)> latency;
    // Of datagrams alone: how many copies arrive (0: lost), each with what it is late by. One copy, in time,
    // where nothing is set.
    std::function<std::vector<Micros>(const VirtualNode&, const VirtualNode&)> datagramCopyDelays;

  private:
    friend class VirtualNode;
    struct End;
    class StreamHere;
    class ListenerHere;
    class DatagramsHere;
    struct Event {
        Micros at;
        std::uint64_t order;
        VirtualNode* node;
        std::function<void()> what;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    void later(Micros wait, VirtualNode&, std::function<void()>);
    Micros between(const VirtualNode& a, const VirtualNode& b) const { return latency ? latency(a, b) : 200; }
    Endpoint placeFor(const Endpoint&) const;
    template <class What>
    void on(VirtualNode&, What&&);

    Micros now_;
    std::mt19937_64 chance_;
    std::uint64_t order_ = 0;
    std::vector<std::unique_ptr<VirtualNode>> nodes_;
    std::priority_queue<Event> events_;
    std::map<Endpoint, ListenerHere*> listeners_;
    std::map<Endpoint, DatagramsHere*> datagrams_;
    mutable std::uint16_t nextPort_ = 20'000;
};

}  // namespace valekeel::net
