// Net without sockets: streams, datagrams and timers on a virtual clock, for simulations and tests. The
// network holds nodes; each stands for one process, with its address, its timers and its clock, and can be
// paused or crashed. Events run in one order, by time and then by when they were scheduled, so the same seed
// and the same calls give the same run. Single-threaded.
//
// Streams: bytes arrive in order after the latency between two nodes. At most `kBuffer` of them are in flight
// or unread; then write() returns WouldBlock. Deleting a stream that has unread bytes, or whose node is
// crashing, resets it; otherwise the peer reads to the end.
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

// One simulated process. Created by VirtualNetwork::node() and owned by the network.
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
    std::uint64_t randomBits() override { return random_(); }

    const std::string& name() const { return name_; }
    // Holds back events and timers until resume(), which delivers all of them at once.
    void pause() { paused_ = true; }
    void resume();
    bool isPaused() const { return paused_; }
    // While set, deleting a stream resets it, as when a process ends without closing its connections.
    bool crashing = false;
    Micros wallSkew = 0;  // added to the node's wall clock
    // Real time spent in the node's event and timer handlers: the cost of its code on an otherwise idle CPU.
    double busySeconds() const { return busySeconds_; }
    std::size_t peakStreamCount() const { return peakStreamCount_; }  // most streams open at the same time

  private:
    friend class VirtualNetwork;
    VirtualNetwork& network_;
    std::string name_;
    IpAddress ip_;
    TimerWheel wheel_;
    std::mt19937_64 random_;
    bool paused_ = false;
    std::deque<std::function<void()>> heldBack_;  // events that came up while the node was paused
    double busySeconds_ = 0;
    std::size_t streamCount_ = 0, peakStreamCount_ = 0;
};

// The nodes, the links between them and the virtual clock. Must outlive everything its nodes create.
class VirtualNetwork {
  public:
    static constexpr std::size_t kBuffer = 256 * 1024;  // bytes in flight or unread, per stream and direction
    explicit VirtualNetwork(std::uint64_t seed, Micros start = 1'000 * kSecond);
    ~VirtualNetwork();

    // Adds a node, which lives as long as the network. Each name and address may be used once.
    VirtualNode& node(const std::string& name, const IpAddress&);
    Micros now() const { return now_; }
    // Runs the next event or timer that is due by `until`. If there is none, sets the clock to `until` and
    // returns false.
    bool step(Micros until);
    // Runs everything that is due by `until`.
    void runUntil(Micros until) {
        while (step(until)) {
        }
    }
    // The one-way latency of each message from the first node to the second; must be the same in both
    // directions of a stream. 200 us if not set.
    std::function<Micros(const VirtualNode&, const VirtualNode&)> latency;
    // Fault injection for datagrams: one entry per copy that arrives (none: lost), each the delay added to
    // the latency. One copy without delay if not set.
    std::function<std::vector<Micros>(const VirtualNode&, const VirtualNode&)> datagramCopyDelays;

  private:
    friend class VirtualNode;
    struct End;
    class VirtualStream;
    class VirtualListener;
    class VirtualDatagramSocket;
    struct Event {
        Micros at;
        std::uint64_t order;
        VirtualNode* node;
        std::function<void()> action;
        // Inverted, so that the priority queue returns the earliest event first.
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    void schedule(Micros delay, VirtualNode&, std::function<void()>);
    Micros latencyBetween(const VirtualNode& a, const VirtualNode& b) const {
        return latency ? latency(a, b) : 200;
    }
    // Returns `wanted` with a free port in place of port 0.
    Endpoint assignPort(const Endpoint& wanted) const;
    // Runs `action` and adds the time it takes to the node's busySeconds().
    template <class Action>
    void runOn(VirtualNode&, Action&& action);

    Micros now_;
    std::mt19937_64 random_;
    std::uint64_t lastOrder_ = 0;
    std::vector<std::unique_ptr<VirtualNode>> nodes_;
    std::priority_queue<Event> events_;
    std::map<Endpoint, VirtualListener*> listeners_;
    std::map<Endpoint, VirtualDatagramSocket*> datagramSockets_;
    mutable std::uint16_t nextPort_ = 20'000;
};

}  // namespace valekeel::net
