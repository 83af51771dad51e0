#include "net/virtual.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace valekeel::net {

// One end of a stream. It outlives its Stream object while events for it are in flight.
struct VirtualNetwork::End {
    VirtualNode* node = nullptr;
    Endpoint localEndpoint;
    StreamHandler* handler = nullptr;
    std::weak_ptr<End> peer;
    std::shared_ptr<End> keepAlive;  // the peer, while this end is open
    std::string in;
    std::size_t consumed = 0;     // bytes of `in` that were read
    std::size_t outstanding = 0;  // bytes sent that the peer has not read
    bool isOpen = true, isConnected = false, wantsToWrite = false;
    bool peerFinished = false, isBroken = false, writeClosed = false;
    Endpoint peerEndpoint;
    std::size_t unread() const { return in.size() - consumed; }
};

class VirtualNetwork::VirtualStream final : public Stream {
  public:
    VirtualStream(VirtualNetwork& network, std::shared_ptr<End> end)
        : network_(network), end_(std::move(end)) {
        VirtualNode& node = *end_->node;
        node.peakStreamCount_ = std::max(node.peakStreamCount_, ++node.streamCount_);
    }
    ~VirtualStream() override { close(end_->node->crashing || end_->unread() > 0); }

    IoResult read(std::span<char> into) override {
        End& e = *end_;
        if (e.isBroken) return {0, IoResult::Status::Broken};
        const std::size_t n = std::min(into.size(), e.unread());
        if (n == 0) return {0, e.peerFinished ? IoResult::Status::EndOfStream : IoResult::Status::WouldBlock};
        std::copy_n(e.in.data() + e.consumed, n, into.data());
        e.consumed += n;
        if (e.consumed == e.in.size()) {
            e.in.clear();
            e.consumed = 0;
        }
        // The peer learns that there is room again.
        if (const auto peer = e.peer.lock()) {
            const bool full = peer->outstanding >= kBuffer;
            peer->outstanding -= std::min(n, peer->outstanding);
            if (full && peer->wantsToWrite)
                network_.schedule(network_.latencyBetween(*e.node, *peer->node), *peer->node, [peer] {
                    if (peer->isOpen && std::exchange(peer->wantsToWrite, false)) peer->handler->onWritable();
                });
        }
        return {n, IoResult::Status::Ready};
    }
    IoResult write(std::string_view bytes) override {
        End& e = *end_;
        if (e.isBroken || e.writeClosed) return {0, IoResult::Status::Broken};
        if (!e.isConnected) {
            e.wantsToWrite = true;
            return {0, IoResult::Status::WouldBlock};
        }
        const auto peer = e.peer.lock();
        const std::size_t n = std::min(bytes.size(), kBuffer - std::min(kBuffer, e.outstanding));
        if (n == 0 && !bytes.empty()) {
            e.wantsToWrite = true;
            return {0, IoResult::Status::WouldBlock};
        }
        e.outstanding += n;
        if (peer)
            network_.schedule(
                network_.latencyBetween(*e.node, *peer->node), *peer->node,
                [&network = network_, peer, self = end_, text = std::string(bytes.substr(0, n))] {
                    if (!peer->isOpen) {  // no receiver any more: a reset comes back
                        network.schedule(network.latencyBetween(*peer->node, *self->node), *self->node,
                                         [self] { breakConnection(*self); });
                        return;
                    }
                    if (peer->isBroken) return;
                    peer->in += text;
                    peer->handler->onReadable();
                });
        if (n < bytes.size()) {
            e.wantsToWrite = true;
            return {n, IoResult::Status::WouldBlock};
        }
        return {n, IoResult::Status::Ready};
    }
    void shutdownWrite() override {
        if (std::exchange(end_->writeClosed, true)) return;
        sendEndOfStream();
    }
    void reset() override { close(true); }
    Endpoint peer() const override { return end_->peerEndpoint; }
    bool hasPeerFinished() const override { return end_->peerFinished || end_->isBroken; }
    void setHandler(StreamHandler& handler) override { end_->handler = &handler; }

  private:
    static void breakConnection(End& e) {
        if (!e.isOpen || std::exchange(e.isBroken, true)) return;
        e.handler->onReadable();
    }
    void sendEndOfStream() {
        const auto peer = end_->peer.lock();
        if (!peer) return;
        network_.schedule(network_.latencyBetween(*end_->node, *peer->node), *peer->node, [peer] {
            if (!peer->isOpen || peer->isBroken || std::exchange(peer->peerFinished, true)) return;
            peer->handler->onReadable();
        });
    }
    void close(bool withReset) {
        if (!std::exchange(end_->isOpen, false)) return;
        --end_->node->streamCount_;
        const auto peer = end_->peer.lock();
        end_->keepAlive.reset();
        if (!peer) return;
        if (withReset)
            network_.schedule(network_.latencyBetween(*end_->node, *peer->node), *peer->node,
                              [peer] { breakConnection(*peer); });
        else if (!end_->writeClosed)
            sendEndOfStream();
    }
    VirtualNetwork& network_;
    std::shared_ptr<End> end_;
};

class VirtualNetwork::VirtualListener final : public Listener {
  public:
    VirtualListener(VirtualNetwork& network, VirtualNode& node, const Endpoint& at, ListenerHandler& handler)
        : network(network), node(node), address(at), handler(handler) {
        network.listeners_[at] = this;
    }
    ~VirtualListener() override { network.listeners_.erase(address); }
    Endpoint endpoint() const override { return address; }
    VirtualNetwork& network;
    VirtualNode& node;
    Endpoint address;
    ListenerHandler& handler;
};

class VirtualNetwork::VirtualDatagramSocket final : public DatagramSocket {
  public:
    VirtualDatagramSocket(VirtualNetwork& network, VirtualNode& node, const Endpoint& at,
                          DatagramHandler& handler)
        : network(network), node(node), address(at), handler(handler) {
        network.datagramSockets_[at] = this;
    }
    ~VirtualDatagramSocket() override { network.datagramSockets_.erase(address); }
    Endpoint endpoint() const override { return address; }
    void send(const Endpoint& to, std::string_view bytes) override {
        const auto it = network.datagramSockets_.find(to);
        if (it == network.datagramSockets_.end()) return;
        VirtualNode& receiver = it->second->node;
        const std::vector<Micros> copyDelays =
            network.datagramCopyDelays ? network.datagramCopyDelays(node, receiver) : std::vector<Micros>{0};
        for (const Micros delay : copyDelays)
            network.schedule(network.latencyBetween(node, receiver) + delay, receiver,
                             [&network = network, from = address, to, text = std::string(bytes)] {
                                 const auto socket = network.datagramSockets_.find(to);
                                 if (socket != network.datagramSockets_.end())
                                     socket->second->handler.onDatagram(from, text);
                             });
    }
    VirtualNetwork& network;
    VirtualNode& node;
    Endpoint address;
    DatagramHandler& handler;
};

// ---- nodes ----

VirtualNode::VirtualNode(VirtualNetwork& network, std::string name, const IpAddress& ip, std::uint64_t seed)
    : network_(network), name_(std::move(name)), ip_(ip), wheel_(network.now()), random_(seed) {}
VirtualNode::~VirtualNode() = default;

Micros VirtualNode::now() const {
    return network_.now();
}
Micros VirtualNode::wallNow() const {
    return 1'700'000'000 * kSecond + network_.now() + wallSkew;
}

void VirtualNode::resume() {
    if (!std::exchange(paused_, false)) return;
    // Delivered in their order, before any later event.
    std::deque<std::function<void()>> all;
    all.swap(heldBack_);
    for (auto& action : all) network_.schedule(0, *this, std::move(action));
}

std::unique_ptr<Stream> VirtualNode::connect(const Endpoint& to, StreamHandler& handler) {
    VirtualNetwork& network = network_;
    const auto local = std::make_shared<VirtualNetwork::End>();
    local->node = this;
    local->handler = &handler;
    local->peerEndpoint = to;
    local->localEndpoint = network.assignPort({ip_, 0});
    const auto refuse = [&network, local](VirtualNode& from) {
        network.schedule(network.latencyBetween(from, *local->node), *local->node, [local] {
            if (local->isOpen && !std::exchange(local->isBroken, true))
                local->handler->onConnectFailed(ConnectError::Refused);
        });
    };
    const auto target = network.listeners_.find(to);
    if (target == network.listeners_.end()) {
        refuse(*this);
    } else {
        VirtualNode& node = target->second->node;
        network.schedule(network.latencyBetween(*this, node), node, [&network, &node, local, to, refuse] {
            const auto listener = network.listeners_.find(to);
            if (!local->isOpen) return;
            if (listener == network.listeners_.end()) return refuse(node);
            const auto remote = std::make_shared<VirtualNetwork::End>();
            remote->node = &node;
            remote->localEndpoint = to;
            remote->peerEndpoint = local->localEndpoint;
            remote->isConnected = true;
            remote->peer = local;
            remote->keepAlive = local;
            local->peer = remote;
            local->keepAlive = remote;
            network.schedule(network.latencyBetween(node, *local->node), *local->node, [local] {
                if (!local->isOpen || local->isBroken) return;
                local->isConnected = true;
                local->wantsToWrite = false;
                local->handler->onConnected();
            });
            listener->second->handler.onAccepted(
                std::make_unique<VirtualNetwork::VirtualStream>(network, remote));
        });
    }
    return std::make_unique<VirtualNetwork::VirtualStream>(network, local);
}

std::unique_ptr<Listener> VirtualNode::listen(const Endpoint& at, ListenerHandler& handler) {
    const Endpoint address = network_.assignPort(at);
    if (network_.listeners_.count(address))
        throw std::runtime_error(toString(address) + ": address already in use");
    return std::make_unique<VirtualNetwork::VirtualListener>(network_, *this, address, handler);
}

std::unique_ptr<DatagramSocket> VirtualNode::bind(const Endpoint& at, DatagramHandler& handler) {
    const Endpoint address = network_.assignPort(at);
    if (network_.datagramSockets_.count(address))
        throw std::runtime_error(toString(address) + ": address already in use");
    return std::make_unique<VirtualNetwork::VirtualDatagramSocket>(network_, *this, address, handler);
}

// ---- network ----

VirtualNetwork::VirtualNetwork(std::uint64_t seed, Micros start) : now_(start), random_(seed) {}
VirtualNetwork::~VirtualNetwork() = default;

VirtualNode& VirtualNetwork::node(const std::string& name, const IpAddress& ip) {
    nodes_.push_back(std::make_unique<VirtualNode>(*this, name, ip, random_()));
    return *nodes_.back();
}

Endpoint VirtualNetwork::assignPort(const Endpoint& wanted) const {
    Endpoint out = wanted;
    // Ports 20,000 to 60,000, unique among all listeners and datagram sockets of the network, of which there
    // are fewer than 40,000. Ports of streams may repeat: a stream is identified by its End objects.
    if (out.port == 0) {
        do {
            nextPort_ =
                nextPort_ >= 60'000 ? std::uint16_t{20'000} : static_cast<std::uint16_t>(nextPort_ + 1);
            out.port = nextPort_;
        } while (listeners_.count(out) || datagramSockets_.count(out));
    }
    return out;
}

void VirtualNetwork::schedule(Micros delay, VirtualNode& node, std::function<void()> action) {
    events_.push({now_ + delay, ++lastOrder_, &node, std::move(action)});
}

template <class Action>
void VirtualNetwork::runOn(VirtualNode& node, Action&& action) {
    const auto start = std::chrono::steady_clock::now();
    action();
    node.busySeconds_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

bool VirtualNetwork::step(Micros until) {
    for (;;) {
        Micros timerAt = until + 1;
        VirtualNode* timerNode = nullptr;
        for (const auto& node : nodes_) {
            if (node->paused_) continue;
            const auto next = node->wheel_.nextCheck();
            if (!next || *next >= timerAt) continue;
            timerAt = *next;
            timerNode = node.get();
        }
        const bool hasEvent = !events_.empty() && events_.top().at <= until;
        if (hasEvent && (!timerNode || events_.top().at <= timerAt)) {
            Event e = events_.top();
            events_.pop();
            now_ = std::max(now_, e.at);
            if (e.node->paused_) {
                e.node->heldBack_.push_back(std::move(e.action));
                continue;
            }
            runOn(*e.node, e.action);
            return true;
        }
        if (!timerNode) {
            now_ = std::max(now_, until);
            return false;
        }
        // The wheel's next check may be before its first timer is due.
        now_ = std::max(now_, timerAt);
        bool fired = false;
        runOn(*timerNode, [&] {
            if (TimerNode* node = timerNode->wheel_.popDue(now_)) {
                Timer::fire(*node);
                fired = true;
            }
        });
        if (fired) return true;
        if (timerNode->wheel_.nextCheck() == timerAt) now_ += 1;  // otherwise this loop would not end
    }
}

}  // namespace valekeel::net
