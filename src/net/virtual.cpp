#include "net/virtual.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace valekeel::net {

// One end of a stream. It outlives the Stream that the user holds as long as something is on its way.
struct VirtualNetwork::End {
    VirtualNode* node = nullptr;
    Endpoint mine;
    StreamHandler* user = nullptr;
    std::weak_ptr<End> peer;
    std::shared_ptr<End> keeps;  // its peer, while the user holds this end
    std::string in;
    std::size_t taken = 0;        // of `in`, from its front
    std::size_t outstanding = 0;  // bytes of this end's that the peer has not read
    bool open = true, connected = false, wantsToWrite = false;
    bool ended = false, broken = false, finished = false;
    Endpoint peerAt;
    std::size_t unread() const { return in.size() - taken; }
};

class VirtualNetwork::StreamHere final : public Stream {
  public:
    StreamHere(VirtualNetwork& world, std::shared_ptr<End> end) : world_(world), end_(std::move(end)) {
        VirtualNode& node = *end_->node;
        node.mostStreams_ = std::max(node.mostStreams_, ++node.streams_);
    }
    ~StreamHere() override { close(end_->node->crashing || end_->unread() > 0); }

    IoResult read(std::span<char> into) override {
        End& e = *end_;
        if (e.broken) return {0, IoResult::Status::Broken};
        const std::size_t n = std::min(into.size(), e.unread());
        if (n == 0) return {0, e.ended ? IoResult::Status::EndOfStream : IoResult::Status::WouldBlock};
        std::copy_n(e.in.data() + e.taken, n, into.data());
        e.taken += n;
        if (e.taken == e.in.size()) {
            e.in.clear();
            e.taken = 0;
        }
        // The peer learns that there is room again.
        if (const auto peer = e.peer.lock()) {
            const bool full = peer->outstanding >= kBuffer;
            peer->outstanding -= std::min(n, peer->outstanding);
            if (full && peer->wantsToWrite)
                world_.later(world_.between(*e.node, *peer->node), *peer->node, [peer] {
                    if (peer->open && std::exchange(peer->wantsToWrite, false)) peer->user->onWritable();
                });
        }
        return {n, IoResult::Status::Ready};
    }
    IoResult write(std::string_view bytes) override {
        End& e = *end_;
        if (e.broken || e.finished) return {0, IoResult::Status::Broken};
        if (!e.connected) {
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
            world_.later(world_.between(*e.node, *peer->node), *peer->node,
                         [&world = world_, peer, me = end_, text = std::string(bytes.substr(0, n))] {
                             if (!peer->open) {  // nobody is there to take it: a reset comes back
                                 world.later(world.between(*peer->node, *me->node), *me->node,
                                             [me] { breakNow(*me); });
                                 return;
                             }
                             if (peer->broken) return;
                             peer->in += text;
                             peer->user->onReadable();
                         });
        if (n < bytes.size()) {
            e.wantsToWrite = true;
            return {n, IoResult::Status::WouldBlock};
        }
        return {n, IoResult::Status::Ready};
    }
    void shutdownWrite() override {
        if (std::exchange(end_->finished, true)) return;
        tellEnd();
    }
    void reset() override { close(true); }
    Endpoint peer() const override { return end_->peerAt; }
    void setHandler(StreamHandler& user) override { end_->user = &user; }

  private:
    static void breakNow(End& e) {
        if (!e.open || std::exchange(e.broken, true)) return;
        e.user->onReadable();
    }
    void tellEnd() {
        const auto peer = end_->peer.lock();
        if (!peer) return;
        world_.later(world_.between(*end_->node, *peer->node), *peer->node, [peer] {
            if (!peer->open || peer->broken || std::exchange(peer->ended, true)) return;
            peer->user->onReadable();
        });
    }
    void close(bool hard) {
        if (!std::exchange(end_->open, false)) return;
        --end_->node->streams_;
        const auto peer = end_->peer.lock();
        end_->keeps.reset();
        if (!peer) return;
        if (hard)
            world_.later(world_.between(*end_->node, *peer->node), *peer->node, [peer] { breakNow(*peer); });
        else if (!end_->finished)
            tellEnd();
    }
    VirtualNetwork& world_;
    std::shared_ptr<End> end_;
};

class VirtualNetwork::ListenerHere final : public Listener {
  public:
    ListenerHere(VirtualNetwork& world, VirtualNode& node, const Endpoint& at, ListenerHandler& user)
        : world(world), node(node), place(at), user(user) {
        world.listeners_[at] = this;
    }
    ~ListenerHere() override { world.listeners_.erase(place); }
    Endpoint endpoint() const override { return place; }
    VirtualNetwork& world;
    VirtualNode& node;
    Endpoint place;
    ListenerHandler& user;
};

class VirtualNetwork::DatagramsHere final : public DatagramSocket {
  public:
    DatagramsHere(VirtualNetwork& world, VirtualNode& node, const Endpoint& at, DatagramHandler& user)
        : world(world), node(node), place(at), user(user) {
        world.datagrams_[at] = this;
    }
    ~DatagramsHere() override { world.datagrams_.erase(place); }
    Endpoint endpoint() const override { return place; }
    void send(const Endpoint& to, std::string_view bytes) override {
        const auto it = world.datagrams_.find(to);
        if (it == world.datagrams_.end()) return;
        VirtualNode& there = it->second->node;
        const std::vector<Micros> copies =
            world.datagramCopyDelays ? world.datagramCopyDelays(node, there) : std::vector<Micros>{0};
        for (const Micros late : copies)
            world.later(world.between(node, there) + late, there,
                        [&w = world, from = place, to, text = std::string(bytes)] {
                            const auto who = w.datagrams_.find(to);
                            if (who != w.datagrams_.end()) who->second->user.onDatagram(from, text);
                        });
    }
    VirtualNetwork& world;
    VirtualNode& node;
    Endpoint place;
    DatagramHandler& user;
};

// ================= nodes =================

VirtualNode::VirtualNode(VirtualNetwork& world, std::string name, const IpAddress& ip, std::uint64_t seed)
    : world_(world), name_(std::move(name)), ip_(ip), wheel_(world.now()), chance_(seed) {}
VirtualNode::~VirtualNode() = default;

Micros VirtualNode::now() const {
    return world_.now();
}
Micros VirtualNode::wallNow() const {
    return 1'700'000'000 * kSecond + world_.now() + wallSkew;
}

void VirtualNode::resume() {
    if (!std::exchange(stands_, false)) return;
    // In their order, before anything that comes later.
    std::deque<std::function<void()>> all;
    all.swap(waits_);
    for (auto& what : all) world_.later(0, *this, std::move(what));
}

std::unique_ptr<Stream> VirtualNode::connect(const Endpoint& to, StreamHandler& user) {
    VirtualNetwork& w = world_;
    const auto mine = std::make_shared<VirtualNetwork::End>();
    mine->node = this;
    mine->user = &user;
    mine->peerAt = to;
    mine->mine = w.placeFor({ip_, 0});
    const auto refused = [&w, mine](VirtualNode& by) {
        w.later(w.between(by, *mine->node), *mine->node, [mine] {
            if (mine->open && !std::exchange(mine->broken, true))
                mine->user->onConnectFailed(ConnectError::Refused);
        });
    };
    const auto there = w.listeners_.find(to);
    if (there == w.listeners_.end()) {
        refused(*this);
    } else {
        VirtualNode& node = there->second->node;
        w.later(w.between(*this, node), node, [&w, &node, mine, to, refused] {
            const auto listener = w.listeners_.find(to);
            if (!mine->open) return;
            if (listener == w.listeners_.end()) return refused(node);
            const auto other = std::make_shared<VirtualNetwork::End>();
            other->node = &node;
            other->mine = to;
            other->peerAt = mine->mine;
            other->connected = true;
            other->peer = mine;
            other->keeps = mine;
            mine->peer = other;
            mine->keeps = other;
            w.later(w.between(node, *mine->node), *mine->node, [mine] {
                if (!mine->open || mine->broken) return;
                mine->connected = true;
                mine->wantsToWrite = false;
                mine->user->onConnected();
            });
            listener->second->user.onAccepted(std::make_unique<VirtualNetwork::StreamHere>(w, other));
        });
    }
    return std::make_unique<VirtualNetwork::StreamHere>(w, mine);
}

std::unique_ptr<Listener> VirtualNode::listen(const Endpoint& at, ListenerHandler& user) {
    const Endpoint place = world_.placeFor(at);
    if (world_.listeners_.count(place))
        throw std::runtime_error(toString(place) + ": address already in use");
    return std::make_unique<VirtualNetwork::ListenerHere>(world_, *this, place, user);
}

std::unique_ptr<DatagramSocket> VirtualNode::bind(const Endpoint& at, DatagramHandler& user) {
    const Endpoint place = world_.placeFor(at);
    if (world_.datagrams_.count(place))
        throw std::runtime_error(toString(place) + ": address already in use");
    return std::make_unique<VirtualNetwork::DatagramsHere>(world_, *this, place, user);
}

// ================= the world =================

VirtualNetwork::VirtualNetwork(std::uint64_t seed, Micros start) : now_(start), chance_(seed) {}
VirtualNetwork::~VirtualNetwork() = default;

VirtualNode& VirtualNetwork::node(const std::string& name, const IpAddress& ip) {
    nodes_.push_back(std::make_unique<VirtualNode>(*this, name, ip, chance_()));
    return *nodes_.back();
}

Endpoint VirtualNetwork::placeFor(const Endpoint& wanted) const {
    Endpoint out = wanted;
    // Each port once in a world: it has fewer than 40,000 listeners, and streams are known by their ends.
    if (out.port == 0) {
        do {
            nextPort_ =
                nextPort_ >= 60'000 ? std::uint16_t{20'000} : static_cast<std::uint16_t>(nextPort_ + 1);
            out.port = nextPort_;
        } while (listeners_.count(out) || datagrams_.count(out));
    }
    return out;
}

void VirtualNetwork::later(Micros wait, VirtualNode& node, std::function<void()> what) {
    events_.push({now_ + wait, ++order_, &node, std::move(what)});
}

template <class What>
void VirtualNetwork::on(VirtualNode& node, What&& what) {
    const auto from = std::chrono::steady_clock::now();
    what();
    node.busy_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
}

bool VirtualNetwork::step(Micros until) {
    for (;;) {
        Micros timerAt = until + 1;
        VirtualNode* whose = nullptr;
        for (const auto& node : nodes_) {
            if (node->stands_) continue;
            const auto next = node->wheel_.nextCheck();
            if (!next || *next >= timerAt) continue;
            timerAt = *next;
            whose = node.get();
        }
        const bool event = !events_.empty() && events_.top().at <= until;
        if (event && (!whose || events_.top().at <= timerAt)) {
            Event e = events_.top();
            events_.pop();
            now_ = std::max(now_, e.at);
            if (e.node->stands_) {
                e.node->waits_.push_back(std::move(e.what));
                continue;
            }
            on(*e.node, e.what);
            return true;
        }
        if (!whose) {
            now_ = std::max(now_, until);
            return false;
        }
        // The wheel says when to look again, which may be before its first timer is due.
        now_ = std::max(now_, timerAt);
        bool fired = false;
        on(*whose, [&] {
            if (TimerNode* node = whose->wheel_.popDue(now_)) {
                Timer::fire(*node);
                fired = true;
            }
        });
        if (fired) return true;
        if (whose->wheel_.nextCheck() == timerAt) now_ += 1;  // else it would be looked at for ever
    }
}

}  // namespace valekeel::net
