#include "node/servers.hpp"

#include <algorithm>

namespace valekeel::node {
namespace {

// What a release before the answer proves. One table: whether a paid set-up may be sent again rests on it.
struct Meaning {
    JoinResult end;
    bool neverRan;
    const char* why;
};
Meaning meaningOf(int cause) {
    switch (cause) {
        case 34:
            return {JoinResult::Full, true, "full: the protocol vouches that it never ran"};
        case 47:
            return {JoinResult::Error, false, "error: it was looked at"};
        case 102:
            return {JoinResult::NeverSent, true, "moot: it never left"};
        default:
            return {JoinResult::Reset, false, "reset: it broke on its way and may have run"};
    }
}
JoinResult endOfStanding(int cause) {
    return cause == 16 ? JoinResult::Played : cause == 31 ? JoinResult::Cancelled : JoinResult::Reset;
}

std::string endOf(const std::string& tag) {
    Message end;
    end.verb = "FINISH";
    end.tag = tag;
    end.cause = 16;
    return lineOf(end);
}

constexpr std::size_t kMostEarly = 4;
constexpr Micros kTidyEvery = 100'000;
constexpr Micros kSettled = 2 * kSecond;  // an end said so long ago, on a connection that stands, has arrived
constexpr Micros kPayAgainAtMost = 2 * kSecond;
constexpr int kCut = 41;  // the cause of what was cut

}  // namespace

LoadReport loadOf(const Message& message) {
    LoadReport load;
    const std::string* told = message.text("load");
    if (!told) return load;
    std::string_view rest = *told;
    while (!rest.empty()) {
        const auto end = rest.find(';');
        const std::string_view one = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const auto colon = one.find(':');
        if (colon == std::string_view::npos) continue;
        const auto value = numberOf(one.substr(colon + 1));
        if (!value || *value < 0 || *value > 1e6) continue;
        const std::string_view name = one.substr(0, colon);
        if (name == "x0" || (name == "utilization" && !load.linkUse)) load.linkUse = *value;
        if (name == "x1") load.uplinkUse = *value;
    }
    return load;
}

class Servers::Link final : public LineConnectionHandler {
  public:
    Link(Servers& all, Server& server, const net::Endpoint& to, const LineConnection::Limits& limits)
        : all(all),
          server(&server),
          begunAt(all.net_.now()),
          wire(all.net_, to, std::max(all.limits_.connectWithin, all.limits_.lookWithin), limits, *this) {}
    void opened() override;
    void onDrained() override { all.sendWaiting(*this); }
    void line(std::string_view bytes) override {
        const auto message = messageOf(bytes);
        // After what can't be read nothing on this connection can be trusted to begin where it should.
        if (!message) {
            all.odd_("a media server's line can't be read", bytes.substr(0, 200));
            wire.close(true);
            return gone(DisconnectReason::Garbled);
        }
        all.heard(*this, *message);
    }
    void gone(DisconnectReason how) override {
        if (server) all.linkGone(*this, how);
    }

    Servers& all;
    Server* server;  // nothing once it is buried
    std::set<SubId> out;
    std::deque<SubId> waiting;  // of those, what the kernel has not been handed yet
    bool doubted = false;       // silent while it should speak: takes no more joins
    Micros begunAt, openedAt = 0;
    bool isConnecting() const { return !wire.isOpen() && !wire.isClosed(); }
    LineConnection wire;
};

struct Servers::Server {
    SfuId id;
    net::Endpoint at;
    std::vector<std::unique_ptr<Link>> links;
    std::set<SubId> standing;
    Micros heardAt = 0, lookAt = 0;
    Micros lookedSince = 0;  // the first look since it was last heard; 0: none
    int refusals = 0;
    void livesAt(Micros now) {
        heardAt = now;
        lookedSince = 0;
        refusals = 0;
    }
    // What is to be ended there: given up on, or left. Not said yet, or said and not heard of yet.
    struct Owed {
        std::string tag;
        Micros since;
        Link* saidOn;
        Micros saidAt;
    };
    std::deque<Owed> owed;
    Micros payAt = 0, payPause = 0;  // when a connection is opened for it, and the pause after that
};

// A set-up that is out, or a subscription that stands.
struct Servers::Held {
    SfuId at;
    std::string tag;
    int joinNo = 0;
    bool stands = false, cut = false;
    Micros since = 0;        // it stands; long ago for what was handed over
    Link* link = nullptr;    // while it is out
    bool sent = false;       // handed to the kernel; until then it waits on its link
    std::uint64_t from = 0;  // where it begins on it
    int rung = 0;
    Micros askedAt = 0, until = 0;
    std::unique_ptr<net::Timer> late;
    std::vector<Message> early;  // notes that came before the answer
};

void Servers::Link::opened() {
    ++all.counts_.connects;
    openedAt = all.net_.now();
    server->livesAt(openedAt);
    server->payPause = 0;
    all.sendQueuedEnds(*server);  // before anything new: an end may be of the same id
    all.sendWaiting(*this);
}

Servers::Servers(net::Net& net, const ServerLimits& limits, ServersHandler& user)
    : net_(net),
      limits_(limits),
      user_(user),
      laterTimer_(net,
                  [this] {
                      std::deque<Later> now;
                      now.swap(later_);
                      for (Later& one : now) core_->onJoinOutcome(one.id, one.joinNo, one.outcome);
                  }),
      buryTimer_(net, [this] { dead_.clear(); }),
      tidyTimer_(net, [this] { tidy(); }) {
    tidyTimer_.after(kTidyEvery);
}
Servers::~Servers() = default;

Servers::Server* Servers::find(SfuId id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : it->second.get();
}
std::size_t Servers::standing() const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) count += server->standing.size();
    return count;
}
std::size_t Servers::out() const {
    return static_cast<std::size_t>(
        std::count_if(held_.begin(), held_.end(), [](const auto& one) { return !one.second.stands; }));
}
std::size_t Servers::owed() const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) count += server->owed.size();
    return count;
}

// ================= from the list =================

void Servers::setAddress(SfuId id, const net::Endpoint& to) {
    auto& server = servers_[id];
    if (!server) {
        server = std::make_unique<Server>();
        server->id = id;
    }
    if (server->at == to) return;
    server->at = to;
    // What is connected to the old place may be anybody's by now.
    closeLinks(*server, std::nullopt);
}

void Servers::remove(SfuId id) {
    const auto it = servers_.find(id);
    if (it == servers_.end()) return;
    const std::unique_ptr<Server> server = std::move(it->second);  // from here on nothing is sent there
    servers_.erase(it);
    server->owed.clear();
    withdrawAllUnsent(*server, "its media server is off");
    closeLinks(*server, std::nullopt);
    endAllStanding(*server, net_.now() + 1);
}

void Servers::onDraining(SfuId id) {
    if (Server* server = find(id)) withdrawAllUnsent(*server, "its media server drains");
}

void Servers::onRestarted(SfuId id, Micros launched) {
    Server* server = find(id);
    if (!server) return;
    // The new process knows nothing of what was owed to the old one, nor does it listen on its connections: a
    // machine that vanished closed none. What waits was allowed while the server counted as warm.
    std::erase_if(server->owed, [&](const Server::Owed& one) { return one.since < launched; });
    withdrawAllUnsent(*server, "its media server has started anew");
    closeLinks(*server, launched);
    endAllStanding(*server, launched);
}

// Those that have been up since before that time; where none is given, all, also those still connecting.
void Servers::closeLinks(Server& server, std::optional<Micros> before) {
    std::vector<Link*> old;
    for (const auto& link : server.links)
        if (!before || (link->wire.isOpen() && link->openedAt < *before)) old.push_back(link.get());
    for (Link* link : old) closeLink(*link);
}

// ================= links =================

Servers::Link* Servers::open(Server& server) {
    if (openLinks_ >= limits_.links) return nullptr;
    ++openLinks_;
    server.links.push_back(std::make_unique<Link>(
        *this, server, server.at, LineConnection::Limits{kLongestLine, limits_.unsent, limits_.unfinished}));
    return server.links.back().get();
}

Servers::Link* Servers::linkFor(Server& server, bool sure, bool forJoin) {
    Link* best = nullptr;
    for (const auto& link : server.links) {
        if (link->wire.isClosed() || link->doubted) continue;
        if (forJoin && link->out.size() >= limits_.joinsOnLink) continue;
        // It may yet come up, late; but what is asked for now has better chances with a new one.
        if (link->isConnecting() && net_.now() - link->begunAt >= limits_.connectWithin / 2) continue;
        // A connection that its peer closes for idleness just as a paid set-up goes out leaves that in doubt.
        const Micros lately = std::max(link->wire.heardAt(), link->wire.usedAt());
        if (sure && link->wire.isOpen() && net_.now() - lately > limits_.sureFor) continue;
        if (!best || (link->wire.isOpen() && !best->wire.isOpen())) best = link.get();
    }
    return best ? best : open(server);
}

void Servers::sendLine(Server& server, const std::string& line) {
    if (Link* link = linkFor(server, false, false)) link->wire.say(line);
}

void Servers::closeLink(Link& link) {
    link.wire.close();
    linkGone(link, DisconnectReason::Closed);
}

void Servers::linkGone(Link& link, DisconnectReason how) {
    Server& server = *link.server;
    if (how == DisconnectReason::Refused) ++counts_.refused;
    if (how == DisconnectReason::NoConnect) ++counts_.noConnect;
    if (how == DisconnectReason::Broken) ++counts_.broken;
    if (how == DisconnectReason::Garbled) ++counts_.garbled;
    const auto it = std::find_if(server.links.begin(), server.links.end(),
                                 [&](const auto& one) { return one.get() == &link; });
    std::unique_ptr<Link> gone = std::move(*it);
    server.links.erase(it);
    gone->server = nullptr;
    --openLinks_;
    const std::set<SubId> out = std::move(gone->out);
    const std::uint64_t taken = gone->wire.taken();
    bool again = false;
    for (Server::Owed& one : server.owed)
        if (one.saidOn == gone.get()) {  // it may not have arrived: it is said once more
            one.saidOn = nullptr;
            again = true;
        }
    deleteLater(std::move(gone));
    if (again) sendQueuedEnds(server);
    if (how == DisconnectReason::Refused || how == DisconnectReason::NoConnect) {
        const Micros now = net_.now();
        server.refusals = how == DisconnectReason::Refused ? server.refusals + 1 : 0;
        if (how == DisconnectReason::Refused) server.lookAt = now + limits_.lookAgain;
        // Refused twice: nobody listens, and a dying process cuts what it plays.
        const bool lost =
            server.refusals >= 2 || (server.lookedSince > 0 && now - server.lookedSince >= limits_.goneAfter);
        if (lost && !server.standing.empty()) {
            ++counts_.foundGone;
            // It may be no more than cut off, and go on playing to nobody.
            for (const SubId id : std::set<SubId>(server.standing))
                if (const auto held = held_.find(id); held != held_.end())
                    queueEnd(server, held->second.tag, nullptr);
            endAllStanding(server, net_.now() + 1);
        }
    } else if (how != DisconnectReason::NoSocket) {
        server.lookAt = net_.now();  // its end may mean more than its own
    }
    for (const SubId id : out) {
        const auto held = held_.find(id);
        if (held == held_.end() || held->second.stands) continue;
        core::JoinOutcome outcome;
        outcome.why = nameOf(how);
        // What the kernel here never took can't have been read there.
        outcome.neverRan = !held->second.sent || taken <= held->second.from;
        outcome.result = how == DisconnectReason::NoSocket ? JoinResult::NeverSent
                         : outcome.neverRan                ? JoinResult::NoConnection
                                                           : JoinResult::Reset;
        ended(id, outcome);
    }
}

void Servers::deleteLater(std::unique_ptr<Link> link) {
    dead_.push_back(std::move(link));
    buryTimer_.soon();
}

// ================= out =================

void Servers::endLater(SubId id, int joinNo, core::JoinOutcome outcome) {
    later_.push_back({id, joinNo, outcome});
    laterTimer_.soon();
}

void Servers::join(SubId id, int joinNo, SfuId at, int rung, Micros timeOut, bool paid) {
    const SetupRequest* words = user_.wordsOf(id);
    Server* server = find(at);
    Link* link = words && server ? linkFor(*server, paid, true) : nullptr;
    if (!link || timeOut <= 0)
        return endLater(id, joinNo, {JoinResult::NeverSent, true, 0, {}, "no way to send it"});
    Held& held = held_[id];
    held.at = at;
    held.tag = words->tag;
    held.joinNo = joinNo;
    held.stands = held.cut = held.sent = false;
    held.early.clear();
    held.link = link;
    held.rung = rung;
    held.askedAt = net_.now();
    held.until = net_.now() + timeOut;
    held.late = std::make_unique<net::Timer>(net_, [this, id] {
        const auto it = held_.find(id);
        if (it == held_.end() || it->second.stands) return;
        const Held& late = it->second;
        if (!late.sent && late.link->isConnecting())
            return withdrawUnsent(id, JoinResult::NoConnection, "no connection in time");
        // Nothing at all since it was asked for: the connection may be a dead one.
        if (late.link->wire.heardAt() <= late.askedAt) late.link->doubted = true;
        giveUp(id, JoinResult::TimedOut, "timed out");
    });
    // Without a connection it waits for one no longer than the settings give that.
    held.late->after(link->isConnecting() ? std::min(timeOut, limits_.connectWithin) : timeOut);
    byTag_[held.tag] = id;
    link->out.insert(id);
    link->waiting.push_back(id);
    sendWaiting(*link);
}

// The one place at which a set-up leaves: handed to the kernel only while the connection stands and has taken
// all before it. Until then it lies here, and is taken back when what allowed it ends: its viewer leaves, its
// time runs out, its server drains, starts anew or goes. Guards against a set-up that a connection which
// comes up late, or a peer that doesn't read, would let out long after the decision.
void Servers::sendWaiting(Link& link) {
    while (!link.waiting.empty() && link.wire.canSend()) {
        const SubId id = link.waiting.front();
        link.waiting.pop_front();
        const auto it = held_.find(id);
        const SetupRequest* words = user_.wordsOf(id);
        if (it == held_.end() || !words || net_.now() >= it->second.until) continue;  // its timer ends it
        Held& held = it->second;
        // An end that is owed to an earlier try of the same id must not end this one.
        auto& owed = link.server->owed;
        const auto earlier = std::find_if(owed.begin(), owed.end(),
                                          [&](const Server::Owed& one) { return one.tag == held.tag; });
        if (earlier != owed.end()) {
            if (earlier->saidOn != &link) link.wire.say(endOf(held.tag));
            owed.erase(earlier);
        }
        Message setup;
        setup.verb = "START";
        setup.tag = words->tag;
        setup.opts["class"] = words->room;
        setup.opts["key"] = words->title;
        setup.opts["left"] = std::to_string((std::max<Micros>(1, held.until - net_.now()) + 999) / 1000);
        setup.opts["rung"] = std::to_string(held.rung);
        setup.description = words->description;
        held.sent = true;
        held.late->at(held.until);
        held.from = link.wire.say(lineOf(setup));
    }
}

// Of what waits on its link: it never left.
void Servers::withdrawUnsent(SubId id, JoinResult end, const char* why) {
    const Held& held = held_.at(id);
    std::erase(held.link->waiting, id);
    ++counts_.withdrawn;
    ended(id, {end, true, net_.now() - held.askedAt, {}, why});
}

void Servers::withdrawAllUnsent(Server& server, const char* why) {
    std::vector<SubId> all;
    for (const auto& link : server.links) all.insert(all.end(), link->waiting.begin(), link->waiting.end());
    for (const SubId id : all) {
        const auto it = held_.find(id);  // the end of one may have set off another's
        if (it != held_.end() && !it->second.stands && !it->second.sent && it->second.at == server.id)
            withdrawUnsent(id, JoinResult::NoConnection, why);
    }
}

void Servers::withdraw(SubId id, int joinNo) {
    const auto it = held_.find(id);
    if (it != held_.end() && !it->second.stands && !it->second.sent && it->second.joinNo == joinNo)
        withdrawUnsent(id, JoinResult::Cancelled, "its viewer has gone");
}

void Servers::cancel(SubId id, int joinNo) {
    const auto it = held_.find(id);
    if (it != held_.end() && !it->second.stands && it->second.joinNo == joinNo)
        giveUp(id, JoinResult::Cancelled, "called off");
}

// What has left may run, and its end follows it on the same connection. What has not is taken back: where it
// is too late for that the connection has not come up in time, or its peer does not read.
void Servers::giveUp(SubId id, JoinResult end, const char* why) {
    const Held& held = held_.at(id);
    if (!held.sent)
        return withdrawUnsent(id, end == JoinResult::TimedOut ? JoinResult::NoConnection : end, why);
    Link& link = *held.link;
    if (!link.server) return;  // its connection has just gone, and that ends it
    link.wire.say(endOf(held.tag));
    queueEnd(*link.server, held.tag, &link);
    endSaid_ = id;
    ended(id, {end, false, net_.now() - held.askedAt, {}, why});
    endSaid_ = {};
}

// The one end of a join. It is out of the tables before the core hears of it, which may send the next.
void Servers::ended(SubId id, core::JoinOutcome outcome) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    const int joinNo = it->second.joinNo;
    if (it->second.link) it->second.link->out.erase(id);
    byTag_.erase(it->second.tag);
    held_.erase(it);
    core_->onJoinOutcome(id, joinNo, outcome);
}

// A set-up given up on, or the end of what stands.
void Servers::release(SubId id, SfuId at) {
    const SetupRequest* words = user_.wordsOf(id);
    Server* server = find(at);
    const auto it = held_.find(id);
    const bool saidAlready = it != held_.end() ? it->second.cut : endSaid_ == id;
    if (server && words && !saidAlready) queueEnd(*server, words->tag, nullptr);
    if (it != held_.end() && it->second.stands) forget(id);
}

void Servers::cut(SubId id) {
    const auto it = held_.find(id);
    if (it == held_.end() || !it->second.stands || it->second.cut) return;
    it->second.cut = true;
    if (Server* server = find(it->second.at)) queueEnd(*server, it->second.tag, nullptr);
}

// ================= ends that are owed =================

// Whatever may stand there for nobody is to be ended there, also where no connection stands now or the one on
// which that was said breaks: what is lost would hold its seat and its part of the link for good.
void Servers::queueEnd(Server& server, const std::string& tag, Link* saidOn) {
    if (server.owed.size() >= limits_.owed) {
        ++counts_.endsDropped;
        server.owed.pop_front();
    }
    server.owed.push_back({tag, net_.now(), saidOn, net_.now()});
    if (!saidOn) sendQueuedEnds(server);
}

void Servers::sendQueuedEnds(Server& server) {
    const auto unsaid = [](const Server::Owed& one) { return !one.saidOn; };
    if (std::none_of(server.owed.begin(), server.owed.end(), unsaid)) return;
    Link* pick = nullptr;
    for (const auto& link : server.links)
        if (link->wire.isOpen() && !link->doubted && (!pick || link->wire.heardAt() > pick->wire.heardAt()))
            pick = link.get();
    if (!pick) return connectForQueuedEnds(server);
    for (Server::Owed& one : server.owed) {
        if (one.saidOn) continue;
        pick->wire.say(endOf(one.tag));
        counts_.endsPaidLate += one.since < net_.now();
        one.saidOn = pick;
        one.saidAt = net_.now();
    }
}

// Opens a connection for what is owed, and again after a pause that doubles while none comes up.
void Servers::connectForQueuedEnds(Server& server) {
    const Micros now = net_.now();
    const bool connecting = std::any_of(server.links.begin(), server.links.end(),
                                        [](const auto& link) { return link->isConnecting(); });
    if (connecting || now < server.payAt) return;
    server.payPause = std::clamp(2 * server.payPause, limits_.lookAgain, kPayAgainAtMost);
    server.payAt = now + server.payPause;
    open(server);
}

void Servers::setRung(SubId id, int rung) {
    const auto it = held_.find(id);
    if (it == held_.end() || !it->second.stands) return;
    Server* server = find(it->second.at);
    if (!server) return;
    Message rate;
    rate.verb = "RATE";
    rate.tag = it->second.tag;
    rate.opts["rung"] = std::to_string(rung);
    sendLine(*server, lineOf(rate));
}

void Servers::adopt(SubId id, SfuId at) {
    Server* server = find(at);
    const SetupRequest* words = user_.wordsOf(id);
    if (!server || !words) return;
    Held& held = held_[id];
    held.at = at;
    held.tag = words->tag;
    held.stands = true;
    byTag_[held.tag] = id;
    if (server->standing.empty()) server->heardAt = net_.now();
    server->standing.insert(id);
}

void Servers::forget(SubId id) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    if (Server* server = find(it->second.at)) server->standing.erase(id);
    if (it->second.link) it->second.link->out.erase(id);
    byTag_.erase(it->second.tag);
    held_.erase(it);
}

// ================= in =================

void Servers::heard(Link& link, const Message& message) {
    Server& server = *link.server;
    server.livesAt(net_.now());
    const auto tagged = byTag_.find(message.tag);
    const auto it = tagged == byTag_.end() ? held_.end() : held_.find(tagged->second);
    if (message.verb == "FINISH") {
        Message told;
        told.verb = "FINISHED";
        told.tag = message.tag;
        link.wire.say(lineOf(told));
        // It is over there, whoever ended it.
        std::erase_if(server.owed,
                      [&](const Server::Owed& one) { return one.saidOn && one.tag == message.tag; });
    }
    // What nobody here waits for at this server: of a set-up given up on, told twice, or never asked for.
    if (it == held_.end() || it->second.at != server.id || (!it->second.stands && !it->second.sent)) {
        ++counts_.unknown;
        return odd_("about no subscription held there", lineOf(message));
    }
    const SubId id = it->first;
    Held& held = it->second;
    if (held.stands) return standingHeard(id, held, message);
    const Micros took = net_.now() - held.askedAt;
    // What is said at set-up may come before the answer does: it is the freshest figure there is of this
    // server.
    if (message.verb == "NOTICE") {
        ++counts_.early;
        if (held.early.size() < kMostEarly) held.early.push_back(message);
        return;
    }
    if (message.verb == "STARTED") {
        if (!message.description) {  // spoilt: it has run, and nobody can be told what it came to
            ended(id, {JoinResult::Reset, false, took, {}, "answer without a description"});
            return;
        }
        const int joinNo = held.joinNo;
        held.stands = true;
        held.since = net_.now();
        held.late.reset();
        if (held.link) held.link->out.erase(id);
        held.link = nullptr;
        server.standing.insert(id);
        const std::vector<Message> early = std::exchange(held.early, {});
        user_.answered(id, *message.description);
        core_->onJoinOutcome(id, joinNo, {JoinResult::Played, false, took, {}, "played"});
        for (const Message& note : early) {
            const auto standing = held_.find(id);
            if (standing != held_.end()) standingHeard(id, standing->second, note);
        }
    } else if (message.verb == "FINISH") {
        const Meaning meaning = meaningOf(message.cause.value_or(0));
        if (meaning.end == JoinResult::Error)
            if (const SetupRequest* words = user_.wordsOf(id))
                odd_("a media server could not use a set-up",
                     words->tag + " " + words->room + " " + words->title + " " + words->description);
        ended(id, {meaning.end, meaning.neverRan, took, loadOf(message), meaning.why});
    }
}

void Servers::standingHeard(SubId id, Held& held, const Message& message) {
    const SfuId at = held.at;
    if (message.verb == "FINISH") {
        const int cause = message.cause.value_or(0);
        if (message.text("load")) ++counts_.figures;
        user_.over(id, endOfStanding(cause), cause, loadOf(message));
        return forget(id);
    }
    if (message.verb != "NOTICE") return;
    const std::string* note = message.text("note");
    const auto value = message.number("value");
    if (!note || !value) return;
    if (*note == "served") {
        ++counts_.notes[0];
        core_->onShareDelivered(id, at, *value);
    } else if (*note == "at_rung") {
        ++counts_.notes[1];
        core_->onRungInForce(id, static_cast<int>(*value));
    } else if (*note == "link_use") {
        ++counts_.notes[2];
        core_->onLoadReport(id, at, *value, std::nullopt);
    } else if (*note == "rack_use") {
        ++counts_.notes[3];
        core_->onLoadReport(id, at, std::nullopt, *value);
    }
}

// What stood there before this time; all that is set up later belongs to a newer process.
void Servers::endAllStanding(Server& server, Micros before) {
    const std::set<SubId> standing = server.standing;
    for (const SubId id : standing) {
        const auto it = held_.find(id);
        if (it == held_.end() || it->second.since >= before) continue;
        user_.over(id, JoinResult::Reset, kCut, LoadReport{});
        forget(id);
    }
}

// ================= who is still there =================

// A machine that vanished says nothing, and its open connections stay open. What stood there is over, and
// viewers must hear of it. So a server that plays for this front and is silent, or to which no connection
// stands, gets fresh ones, one after another; if none comes up for so long, it is gone. How long a set-up
// waits for its connection says nothing of that: connections may come up late, and one in many never does.
void Servers::look(Server& server) {
    const Micros now = net_.now();
    if (server.standing.empty() || now < server.lookAt) return;
    const auto connecting = std::count_if(server.links.begin(), server.links.end(),
                                          [](const auto& link) { return link->isConnecting(); });
    if (connecting > limits_.lookWithin / limits_.lookEvery) return;
    const bool silent = now - server.heardAt > limits_.silent;
    const bool none = std::none_of(server.links.begin(), server.links.end(),
                                   [](const auto& link) { return link->wire.isOpen() && !link->doubted; });
    if (!silent && !none) return;
    if (silent)
        for (const auto& link : server.links) link->doubted = true;
    ++counts_.lookedFor;
    if (server.lookedSince == 0) server.lookedSince = now;
    server.lookAt = now + limits_.lookEvery;
    open(server);
}

void Servers::tidy() {
    tidyTimer_.after(kTidyEvery);
    const Micros now = net_.now();
    std::vector<SfuId> ids;
    for (const auto& [id, server] : servers_) ids.push_back(id);
    for (const SfuId id : ids) {
        Server* server = find(id);
        if (!server) continue;
        look(*server);
        std::erase_if(server->owed, [&](const Server::Owed& one) {
            const bool arrived = one.saidOn && !one.saidOn->doubted && now - one.saidAt > kSettled;
            const bool late = now - one.since > limits_.owedFor;
            counts_.endsDropped += late && !arrived;
            return arrived || late;
        });
        sendQueuedEnds(*server);
        std::vector<Link*> idle;
        std::size_t good = 0;
        for (const auto& link : server->links) good += link->wire.isOpen() && !link->doubted;
        for (const auto& link : server->links) {
            if (!link->out.empty() || !link->wire.isOpen()) continue;
            const bool unused = now - std::max(link->wire.heardAt(), link->wire.usedAt()) > limits_.idle;
            // One is kept to a server that plays: it tells of its end, and of what it plays.
            if ((link->doubted && good > 0) || (unused && (server->standing.empty() || good > 1))) {
                idle.push_back(link.get());
                good -= !link->doubted;
            }
        }
        for (Link* link : idle) closeLink(*link);
    }
}

}  // namespace valekeel::node
