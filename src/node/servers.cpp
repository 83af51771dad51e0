#include "node/servers.hpp"

#include <algorithm>

namespace valekeel::node {
namespace {

// What a release before the answer proves. One table: whether a paid set-up may be sent again rests on it.
struct Meaning {
    JoinEnd end;
    bool neverRan;
    const char* why;
};
Meaning meaningOf(int cause) {
    switch (cause) {
        case 34:
            return {JoinEnd::Full, true, "full: the protocol vouches that it never ran"};
        case 47:
            return {JoinEnd::Error, false, "error: it was looked at"};
        case 102:
            return {JoinEnd::NeverSent, true, "moot: it never left"};
        default:
            return {JoinEnd::Reset, false, "reset: it broke on its way and may have run"};
    }
}
JoinEnd endOfStanding(int cause) {
    return cause == 16 ? JoinEnd::Played : cause == 31 ? JoinEnd::Cancelled : JoinEnd::Reset;
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
constexpr int kCut = 41;  // the cause of what was cut

}  // namespace

Load loadOf(const Message& message) {
    Load load;
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

class Servers::Link final : public WireUser {
  public:
    Link(Servers& all, Server& server, const net::Endpoint& to, const Wire::Limits& limits)
        : all(all), server(&server), wire(all.net_, to, all.limits_.connectWithin, limits, *this) {}
    void opened() override;
    void line(std::string_view bytes) override {
        const auto message = messageOf(bytes);
        // After what can't be read nothing on this connection can be trusted to begin where it should.
        if (!message) {
            all.odd_("a media server's line can't be read", bytes.substr(0, 200));
            wire.close(true);
            return gone(Gone::Garbled);
        }
        all.heard(*this, *message);
    }
    void gone(Gone how) override {
        if (server) all.linkGone(*this, how);
    }

    Servers& all;
    Server* server;  // nothing once it is buried
    std::set<SubId> out;
    bool doubted = false;  // silent while it should speak: takes no more joins
    Wire wire;
};

struct Servers::Server {
    SfuId id;
    net::Endpoint at;
    std::vector<std::unique_ptr<Link>> links;
    std::set<SubId> standing;
    Micros heardAt = 0, lookAt = 0;
    int failedLooks = 0;
};

// A set-up that is out, or a subscription that stands.
struct Servers::Held {
    SfuId at;
    std::string tag;
    int joinNo = 0;
    bool stands = false, cut = false;
    Micros since = 0;        // it stands; long ago for what was handed over
    Link* link = nullptr;    // while it is out
    std::uint64_t from = 0;  // where it begins on it
    Micros sentAt = 0;
    std::unique_ptr<net::Timer> late;
    std::vector<Message> early;  // notes that came before the answer
};

void Servers::Link::opened() {
    ++all.counts_.connects;
    server->heardAt = all.net_.now();
    server->failedLooks = 0;
}

Servers::Servers(net::Net& net, const ServerLimits& limits, ServersUser& user)
    : net_(net),
      limits_(limits),
      user_(user),
      laterTimer_(net,
                  [this] {
                      std::deque<Later> now;
                      now.swap(later_);
                      for (Later& one : now) core_->joined(one.id, one.joinNo, one.outcome);
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

// ================= from the list =================

void Servers::at(SfuId id, const net::Endpoint& to) {
    auto& server = servers_[id];
    if (!server) {
        server = std::make_unique<Server>();
        server->id = id;
    }
    server->at = to;
}

void Servers::off(SfuId id) {
    Server* server = find(id);
    if (!server) return;
    while (!server->links.empty()) {
        Link& link = *server->links.back();
        link.wire.close();
        linkGone(link, Gone::Closed);
    }
    allOver(*server, net_.now() + 1);
    servers_.erase(id);
}

void Servers::startedAnew(SfuId id, Micros launched) {
    if (Server* server = find(id)) allOver(*server, launched);
}

// ================= links =================

Servers::Link* Servers::open(Server& server) {
    if (openLinks_ >= limits_.links) return nullptr;
    ++openLinks_;
    server.links.push_back(std::make_unique<Link>(
        *this, server, server.at, Wire::Limits{kLongestLine, limits_.unsent, limits_.unfinished}));
    return server.links.back().get();
}

Servers::Link* Servers::linkFor(Server& server, bool sure, bool forJoin) {
    Link* best = nullptr;
    for (const auto& link : server.links) {
        if (link->wire.isClosed() || link->doubted) continue;
        if (forJoin && link->out.size() >= limits_.joinsOnLink) continue;
        // A connection that its peer closes for idleness just as a paid set-up goes out leaves that in doubt.
        const Micros lately = std::max(link->wire.heardAt(), link->wire.usedAt());
        if (sure && link->wire.isOpen() && net_.now() - lately > limits_.sureFor) continue;
        if (!best || (link->wire.isOpen() && !best->wire.isOpen())) best = link.get();
    }
    return best ? best : open(server);
}

void Servers::say(Server& server, const std::string& line) {
    if (Link* link = linkFor(server, false, false)) link->wire.say(line);
}

void Servers::linkGone(Link& link, Gone how) {
    Server& server = *link.server;
    if (how == Gone::Refused) ++counts_.refused;
    if (how == Gone::NoConnect) ++counts_.noConnect;
    if (how == Gone::Broken) ++counts_.broken;
    if (how == Gone::Garbled) ++counts_.garbled;
    const auto it = std::find_if(server.links.begin(), server.links.end(),
                                 [&](const auto& one) { return one.get() == &link; });
    std::unique_ptr<Link> gone = std::move(*it);
    server.links.erase(it);
    gone->server = nullptr;
    --openLinks_;
    const std::set<SubId> out = std::move(gone->out);
    const std::uint64_t taken = gone->wire.taken();
    bury(std::move(gone));
    if (how == Gone::Refused || how == Gone::NoConnect) {
        ++server.failedLooks;
        server.lookAt = net_.now() + limits_.lookAgain;
        // Refused twice: nobody listens, and a dying process cuts what it plays.
        if (server.failedLooks >= (how == Gone::Refused ? 2 : limits_.looks) && !server.standing.empty()) {
            ++counts_.foundGone;
            allOver(server, net_.now() + 1);
        }
    } else if (how != Gone::NoSocket) {
        server.lookAt = net_.now();  // its end may mean more than its own
    }
    for (const SubId id : out) {
        const auto held = held_.find(id);
        if (held == held_.end() || held->second.stands) continue;
        core::JoinOutcome outcome;
        outcome.why = nameOf(how);
        // What the kernel here never took can't have been read there.
        outcome.neverRan = taken <= held->second.from;
        outcome.end = how == Gone::NoSocket ? JoinEnd::NeverSent
                      : outcome.neverRan    ? JoinEnd::NoConnection
                                            : JoinEnd::Reset;
        ended(id, outcome);
    }
}

void Servers::bury(std::unique_ptr<Link> link) {
    dead_.push_back(std::move(link));
    buryTimer_.soon();
}

// ================= out =================

void Servers::endLater(SubId id, int joinNo, core::JoinOutcome outcome) {
    later_.push_back({id, joinNo, outcome});
    laterTimer_.soon();
}

void Servers::join(SubId id, int joinNo, SfuId at, int rung, Micros timeOut, bool paid) {
    const SetupWords* words = user_.wordsOf(id);
    Server* server = find(at);
    Link* link = words && server ? linkFor(*server, paid, true) : nullptr;
    if (!link || timeOut <= 0)
        return endLater(id, joinNo, {JoinEnd::NeverSent, true, 0, {}, "no way to send it"});
    Message setup;
    setup.verb = "START";
    setup.tag = words->tag;
    setup.opts["class"] = words->room;
    setup.opts["key"] = words->title;
    setup.opts["left"] = std::to_string((timeOut + 999) / 1000);
    setup.opts["rung"] = std::to_string(rung);
    setup.description = words->description;
    Held& held = held_[id];
    held.at = at;
    held.tag = words->tag;
    held.joinNo = joinNo;
    held.stands = held.cut = false;
    held.early.clear();
    held.link = link;
    held.sentAt = net_.now();
    held.late = std::make_unique<net::Timer>(net_, [this, id] {
        const auto it = held_.find(id);
        if (it == held_.end() || it->second.stands) return;
        const Held& late = it->second;
        // Nothing at all since it was sent: the connection may be a dead one.
        if (late.link->wire.heardAt() <= late.sentAt) late.link->doubted = true;
        giveUp(id, JoinEnd::TimedOut, "timed out");
    });
    held.late->after(timeOut);
    byTag_[held.tag] = id;
    link->out.insert(id);
    held.from = link->wire.say(lineOf(setup));
}

void Servers::cancel(SubId id, int joinNo) {
    const auto it = held_.find(id);
    if (it != held_.end() && !it->second.stands && it->second.joinNo == joinNo)
        giveUp(id, JoinEnd::Cancelled, "called off");
}

// What lies here unsent would go out later, and run for nobody, or a second time for one that is sent again.
// On a connection that does not stand yet, which this one was the only one to want, it is taken back with the
// connection; else it counts as sent, and its end follows it on the same connection.
void Servers::giveUp(SubId id, JoinEnd end, const char* why) {
    const Held& held = held_.at(id);
    Link& link = *held.link;
    if (!link.wire.isOpen() && (end == JoinEnd::TimedOut || link.out.size() == 1)) {
        link.wire.close();
        return linkGone(link, Gone::NoConnect);
    }
    link.wire.say(endOf(held.tag));
    endSaid_ = id;
    ended(id, {end, false, net_.now() - held.sentAt, {}, why});
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
    core_->joined(id, joinNo, outcome);
}

// A set-up given up on, or the end of what stands.
void Servers::release(SubId id, SfuId at) {
    const SetupWords* words = user_.wordsOf(id);
    Server* server = find(at);
    const auto it = held_.find(id);
    const bool saidAlready = it != held_.end() ? it->second.cut : endSaid_ == id;
    if (server && words && !saidAlready) say(*server, endOf(words->tag));
    if (it != held_.end() && it->second.stands) forget(id);
}

void Servers::cut(SubId id) {
    const auto it = held_.find(id);
    if (it == held_.end() || !it->second.stands || it->second.cut) return;
    it->second.cut = true;
    if (Server* server = find(it->second.at)) say(*server, endOf(it->second.tag));
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
    say(*server, lineOf(rate));
}

void Servers::handedOver(SubId id, SfuId at) {
    Server* server = find(at);
    const SetupWords* words = user_.wordsOf(id);
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
    server.heardAt = net_.now();
    server.failedLooks = 0;
    const auto tagged = byTag_.find(message.tag);
    const auto it = tagged == byTag_.end() ? held_.end() : held_.find(tagged->second);
    if (message.verb == "FINISH") {
        Message told;
        told.verb = "FINISHED";
        told.tag = message.tag;
        link.wire.say(lineOf(told));
    }
    // What nobody here waits for at this server: of a set-up given up on, told twice, or never asked for.
    if (it == held_.end() || it->second.at != server.id) {
        ++counts_.unknown;
        return odd_("about no subscription held there", lineOf(message));
    }
    const SubId id = it->first;
    Held& held = it->second;
    if (held.stands) return standingHeard(id, held, message);
    const Micros took = net_.now() - held.sentAt;
    // What is said at set-up may come before the answer does: it is the freshest figure there is of this
    // server.
    if (message.verb == "NOTICE") {
        ++counts_.early;
        if (held.early.size() < kMostEarly) held.early.push_back(message);
        return;
    }
    if (message.verb == "STARTED") {
        if (!message.description) {  // spoilt: it has run, and nobody can be told what it came to
            ended(id, {JoinEnd::Reset, false, took, {}, "answer without a description"});
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
        core_->joined(id, joinNo, {JoinEnd::Played, false, took, {}, "played"});
        for (const Message& note : early) {
            const auto standing = held_.find(id);
            if (standing != held_.end()) standingHeard(id, standing->second, note);
        }
    } else if (message.verb == "FINISH") {
        const Meaning meaning = meaningOf(message.cause.value_or(0));
        if (meaning.end == JoinEnd::Error)
            if (const SetupWords* words = user_.wordsOf(id))
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
        core_->delivered(id, at, *value);
    } else if (*note == "at_rung") {
        ++counts_.notes[1];
        core_->rungTold(id, static_cast<int>(*value));
    } else if (*note == "link_use") {
        ++counts_.notes[2];
        core_->figures(id, at, *value, std::nullopt);
    } else if (*note == "rack_use") {
        ++counts_.notes[3];
        core_->figures(id, at, std::nullopt, *value);
    }
}

// What stood there before this time; all that is set up later belongs to a newer process.
void Servers::allOver(Server& server, Micros before) {
    const std::set<SubId> standing = server.standing;
    for (const SubId id : standing) {
        const auto it = held_.find(id);
        if (it == held_.end() || it->second.since >= before) continue;
        user_.over(id, JoinEnd::Reset, kCut, Load{});
        forget(id);
    }
}

// ================= who is still there =================

// A machine that vanished says nothing, and its open connections stay open. What stood there is over, and
// viewers must hear of it. So a server that plays for this front and is silent, or to which no connection
// stands, gets a fresh one; if that fails again and again, it is gone.
void Servers::look(Server& server) {
    const Micros now = net_.now();
    if (server.standing.empty() || now < server.lookAt) return;
    const bool connecting = std::any_of(server.links.begin(), server.links.end(), [](const auto& link) {
        return !link->wire.isOpen() && !link->wire.isClosed();
    });
    if (connecting) return;
    const bool silent = now - server.heardAt > limits_.silent;
    const bool none = std::none_of(server.links.begin(), server.links.end(),
                                   [](const auto& link) { return link->wire.isOpen() && !link->doubted; });
    if (!silent && !none) return;
    if (silent)
        for (const auto& link : server.links) link->doubted = true;
    ++counts_.lookedFor;
    server.lookAt = now + limits_.lookAgain;
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
        for (Link* link : idle) {
            link->wire.close();
            linkGone(*link, Gone::Closed);
        }
    }
}

}  // namespace valekeel::node
