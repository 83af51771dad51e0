#include "node/viewers.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>

namespace valekeel::node {
namespace {

constexpr int kNormal = 16, kCut = 41, kBusy = 42, kFailed = 41, kUnusable = 95, kTimedOut = 110;
constexpr Micros kTidyEvery = 100'000;
constexpr double kMostHint = 1e10;  // ms
constexpr int kMostUseless = 4;     // set-ups that can't be used, on one connection

// "home:4;copies:3;top:4": nothing where it can't be read.
std::optional<std::map<std::string, std::string, std::less<>>> extrasOf(std::string_view all) {
    std::map<std::string, std::string, std::less<>> out;
    while (!all.empty()) {
        const auto end = all.find(';');
        const std::string_view one = all.substr(0, end);
        all = end == std::string_view::npos ? std::string_view{} : all.substr(end + 1);
        const auto colon = one.find(':');
        if (colon == std::string_view::npos) return std::nullopt;
        out[std::string(one.substr(0, colon))] = one.substr(colon + 1);
    }
    return out;
}

std::optional<int> wholeOf(std::string_view text, int least, int most) {
    int value = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (wrong != std::errc{} || end != text.data() + text.size() || value < least || value > most)
        return std::nullopt;
    return value;
}

std::optional<SfuId> serverOf(std::string_view text) {
    if (text.size() != 10 || text.substr(0, 2) != "s-") return std::nullopt;
    std::uint32_t id = 0;
    const auto [end, wrong] = std::from_chars(text.data() + 2, text.data() + 10, id, 16);
    if (wrong != std::errc{} || end != text.data() + 10) return std::nullopt;
    return SfuId{id};
}

Message finish(const std::string& tag, int cause) {
    Message out;
    out.verb = "FINISH";
    out.tag = tag;
    out.cause = cause;
    return out;
}

// What a set-up asks for; nothing, and why, where that can't be used.
struct Request {
    SubscriptionRequest wish;
    Micros left = 0;
    std::optional<SfuId> playsAt;
};
std::optional<Request> requestOf(const Message& m, const Asked& asked, Micros longest, const char*& why) {
    Request out;
    const auto no = [&](const char* what) {
        why = what;
        return std::nullopt;
    };
    const std::string *room = m.text("class"), *title = m.text("key"), *extras = m.text("extras");
    if (!room) return no("no class");
    const auto found = std::find(asked.rooms.begin(), asked.rooms.end(), *room);
    if (found == asked.rooms.end()) return no("unknown class");
    out.wish.room = RoomTypeId{static_cast<std::uint32_t>(found - asked.rooms.begin())};
    if (!title || title->empty()) return no("no title");
    out.wish.title = TitleId{*title};
    if (!m.description) return no("no description");
    if (m.opts.contains("hint")) {
        const auto hint = m.number("hint");
        if (!hint || *hint < 0 || *hint > kMostHint) return no("no usable 'hint'");
        out.wish.watchSeconds = *hint / 1000;
    }
    if (!extras) return no("no extras");
    const auto parts = extrasOf(*extras);
    if (!parts) return no("extras can't be read");
    const auto figure = [&](const char* name, int least, int most) -> std::optional<int> {
        const auto it = parts->find(name);
        return it == parts->end() ? std::nullopt : wholeOf(it->second, least, most);
    };
    const auto home = figure("home", 0, asked.cells - 1), copies = figure("copies", 1, asked.cells),
               top = figure("top", 0, 1000);
    if (!home || !copies || !top) return no("no usable 'home', 'copies' or 'top'");
    out.wish.firstCell = Cell{static_cast<std::uint32_t>(*home)};
    out.wish.holders = *copies;
    out.wish.maxRung = std::min(*top, asked.rungs - 1);
    if (const auto at = parts->find("at"); at != parts->end()) {
        out.playsAt = serverOf(at->second);
        if (!out.playsAt) return no("no usable 'at'");
        return out;  // nobody waits for it: its 'left' says nothing
    }
    const auto left = m.number("left");
    if (!left || *left <= 0 || *left * 1000 > static_cast<double>(longest)) return no("no usable 'left'");
    out.left = static_cast<Micros>(*left * 1000);
    return out;
}

}  // namespace

class Viewers::Conn final : public LineConnectionHandler {
  public:
    Conn(Viewers& all, std::uint64_t key, std::unique_ptr<net::Stream> stream)
        : all(all),
          key(key),
          since(all.net_.now()),
          wire(all.net_, std::move(stream),
               LineConnection::Limits{kLongestLine, all.limits_.unsent, all.limits_.unfinished}, *this,
               all.lingering_) {}
    // By which it may be closed for room, the least first.
    auto brought() const { return std::tuple(played, asked, proven, wire.heardAt()); }
    bool needed() const { return !open.empty() || standing > 0; }
    void line(std::string_view bytes) override { all.heard(*this, bytes); }
    void gone(DisconnectReason how) override {
        if (how == DisconnectReason::Garbled) ++all.counts_.unreadable;
        all.connGone(*this);
    }
    Viewers& all;
    std::uint64_t key;
    Micros since;
    // It has brought something of use; a set-up; one that played.
    bool proven = false, asked = false, played = false;
    bool silent = false;   // at the last look
    bool tooMany = false;  // accepted where there was no room: its set-ups are refused
    std::set<SubId> open;  // set-ups without an answer
    int useless = 0;
    std::size_t standing = 0;  // subscriptions that were set up on it
    LineConnection wire;
};

struct Viewers::Asking {
    SetupRequest words;
    std::uint64_t conn = 0;
    bool plays = false, leaving = false, gone = false;
    std::string answer;  // the media server's description, until it has been passed on
    std::unique_ptr<net::Timer> cut;
};

Viewers::Viewers(net::Net& net, const net::Endpoint& where, const ViewerLimits& limits, Asked asked)
    : net_(net),
      where_(where),
      limits_(limits),
      asked_(std::move(asked)),
      lingering_(net, {limits.connections, limits.linger, limits.lingerBytes}),
      buryTimer_(net, [this] { dead_.clear(); }),
      tidyTimer_(net, [this] { tidy(); }) {}
Viewers::~Viewers() = default;

void Viewers::listen() {
    listener_ = net_.listen(where_, *this);
    at_ = listener_->endpoint();
    tidyTimer_.after(kTidyEvery);
}

// ================= connections =================

// Some places are kept for those that come while all others are needed: they are heard, refused and closed.
void Viewers::onAccepted(std::unique_ptr<net::Stream> stream) {
    ++counts_.accepted;
    const std::size_t kept = std::max<std::size_t>(1, limits_.connections / 16);
    const bool room = makeRoom(limits_.connections - kept, false);
    const bool bounded = room || makeRoom(limits_.connections, true);
    const std::uint64_t key = nextConn_++;
    Conn& conn = *(conns_[key] = std::make_unique<Conn>(*this, key, std::move(stream)));
    conn.tooMany = !room;
    // What it has brought already is read before anything ends it: most ask as soon as they are connected.
    conn.wire.readNow();
    if (!bounded && !conn.wire.isClosed()) drop(conn);
}

// A crowd that connects and says nothing, or no more than a test, must not keep out those that ask, nor cut
// off those that play: the least that it has brought goes first, then the longest silent. One on which
// something plays is never taken, as its end must be said there. What lies unread on the one to go is read
// first, as it may be a set-up; it goes if that brought nothing. False where there is none to go.
bool Viewers::makeRoom(std::size_t limit, bool alsoTooMany) {
    for (std::size_t looks = conns_.size(); conns_.size() + lingering_.size() >= limit;) {
        if (lingering_.size() > 0) {
            lingering_.freeOldest();
            continue;
        }
        Conn* pick = nullptr;
        for (const auto& [key, conn] : conns_)
            if (!conn->needed() && (alsoTooMany || !conn->tooMany) &&
                (!pick || conn->brought() < pick->brought()))
                pick = conn.get();
        if (!pick) return false;
        const auto before = pick->brought();
        pick->wire.readNow();
        if (pick->wire.isClosed()) continue;  // by what it had brought
        if (pick->needed() || pick->brought() != before) {
            if (looks-- > 0) continue;
            return false;  // guards against a crowd that says something at each look
        }
        ++counts_.evicted;
        drop(*pick);
    }
    return true;
}

void Viewers::drop(Conn& conn) {
    conn.wire.close();
    connGone(conn);
}

// Whoever hangs up on a set-up has given it up.
void Viewers::connGone(Conn& conn) {
    const std::set<SubId> open = std::move(conn.open);
    conn.open.clear();
    const auto it = conns_.find(conn.key);
    if (it == conns_.end()) return;
    dead_.push_back(std::move(it->second));
    conns_.erase(it);
    buryTimer_.soon();
    for (auto told = unheard_.begin(); told != unheard_.end();) {
        if (told->second.conn != conn.key) {
            ++told;
            continue;
        }
        tellLater(told->second.at, told->first, std::move(told->second.line));
        told = unheard_.erase(told);
    }
    for (const SubId id : open) {
        ++counts_.givenUp;
        core_->unsubscribe(id);
    }
}

void Viewers::tidy() {
    tidyTimer_.after(kTidyEvery);
    const Micros now = net_.now();
    std::vector<Conn*> idle;
    for (const auto& [key, conn] : conns_) {
        if (!conn->open.empty()) continue;
        const Micros rest = now - std::max(conn->wire.heardAt(), conn->wire.usedAt());
        const bool silent = conn->proven ? rest > limits_.idle && conn->standing == 0
                                         : now - conn->since > limits_.provenWithin;
        // At the second look that finds it so: a process that had no turn for a while looks before it reads.
        if (std::exchange(conn->silent, silent) && silent) idle.push_back(conn.get());
    }
    for (Conn* conn : idle) {
        counts_.silent += !conn->proven;
        drop(*conn);
    }
    sayWaiting();
    while (!toTell_.empty() && now - toTell_.front().since > limits_.tellFor) {
        ++counts_.untold;
        toTell_.pop_front();
    }
    std::erase_if(unheard_, [&](const auto& told) { return now - told.second.at > limits_.heardWithin; });
}

// ================= in =================

void Viewers::heard(Conn& conn, std::string_view line) {
    ++lines_;
    const auto message = parseMessage(line);
    if (!message) {
        ++counts_.unreadable;
        odd_("a viewer's line can't be read", line.substr(0, 200));
        return drop(conn);
    }
    if (message->verb == "START") return setup(conn, *message);
    if (message->verb == "FINISH") return ending(conn, *message);
    if (message->verb == "ECHO") {
        ++counts_.tests;
        conn.proven = true;
        Message passed;
        passed.verb = "ECHOED";
        passed.tag = message->tag;
        passed.cause = 1;
        conn.wire.say(formatMessage(passed));
    } else if (message->verb == "FINISHED") {
        if (const auto told = unheard_.find(message->tag); told != unheard_.end()) unheard_.erase(told);
    } else if (message->verb != "PENDING") {
        return useless(conn, *message, "unknown verb");
    }
}

// Refused as unusable. Nothing of it reaches the core, and no media server is asked.
void Viewers::useless(Conn& conn, const Message& m, const char* why) {
    ++counts_.unusable;
    odd_(why, formatMessage(m));
    const std::string& tag = m.tag;
    conn.wire.say(formatMessage(finish(wellFormedTag(tag) ? tag : "", kUnusable)));
    // Whoever sends the same again as soon as it is turned away must not take up the core.
    if (++conn.useless >= kMostUseless) drop(conn);
}

void Viewers::setup(Conn& conn, const Message& m) {
    if (!wellFormedTag(m.tag)) return useless(conn, m, "no id");
    const char* why = "";
    const auto request = requestOf(m, asked_, limits_.longestWait, why);
    const auto known = byTag_.find(m.tag);
    if (known != byTag_.end()) {
        if (request && request->playsAt) return;  // handed over, and held already
        // One id, two set-ups: which of them an answer would be for can't be told, so neither is served. The
        // first goes on if it came on another connection: nobody ends it by guessing its id.
        ++counts_.twice;
        const SubId id = known->second;
        if (conn.open.count(id)) {
            conn.wire.say(formatMessage(finish(m.tag, kUnusable)));
            conn.open.erase(id);
            core_->unsubscribe(id);
        }
        return drop(conn);
    }
    if (!request) return useless(conn, m, why);
    conn.proven = conn.asked = true;
    SetupRequest words{m.tag, *m.text("class"), *m.text("key"), *m.description};
    if (request->playsAt) {
        ++counts_.handedOver;
        const auto id = servers_->knows(*request->playsAt)
                            ? core_->adopt(*this, request->wish, *request->playsAt)
                            : std::nullopt;
        if (!id) {  // what plays at a server that is gone is over
            conn.wire.say(formatMessage(finish(m.tag, kCut)));
            return;
        }
        Asking& asking = asking_[*id];
        asking.words = std::move(words);
        asking.conn = conn.key;
        asking.plays = conn.played = true;
        ++conn.standing;
        byTag_[m.tag] = *id;
        servers_->adopt(*id, *request->playsAt);
        return;
    }
    ++counts_.setups;
    const bool taken = !draining_ && !conn.tooMany && conn.open.size() < limits_.openOnOne;
    const auto id = taken ? core_->subscribe(*this, request->wish, request->left) : std::nullopt;
    if (!id) {
        conn.wire.say(formatMessage(finish(m.tag, kBusy)));
        if (conn.tooMany) drop(conn);
        return;
    }
    Asking& asking = asking_[*id];
    asking.words = std::move(words);
    asking.conn = conn.key;
    byTag_[m.tag] = *id;
    conn.open.insert(*id);
    core_->start(*id);
}

void Viewers::ending(Conn& conn, const Message& m) {
    const auto known = byTag_.find(m.tag);
    if (known == byTag_.end()) {
        Message heard;
        heard.verb = "FINISHED";
        heard.tag = m.tag;
        conn.wire.say(formatMessage(heard));
        return;
    }
    const SubId id = known->second;
    Asking& asking = asking_.at(id);
    if (!asking.plays) {
        ++counts_.givenUp;
        if (const auto it = conns_.find(asking.conn); it != conns_.end()) it->second->open.erase(id);
        core_->unsubscribe(id);
        return;
    }
    if (asking.leaving) return;
    ++counts_.leftStanding;
    endThere(id, asking);
}

// Its seat counts until its media server has ended it, or has had time to.
void Viewers::endThere(SubId id, Asking& asking) {
    asking.leaving = true;
    asking.cut = std::make_unique<net::Timer>(net_, [this, id] { core_->unsubscribe(id); });
    asking.cut->after(limits_.cutWithin);
    servers_->cut(id);
}

// ================= out =================

// On the connection that it was set up on, if that stands. A release may go out on any.
void Viewers::tell(SubId id, const Message& message, bool release) {
    const auto it = asking_.find(id);
    if (it == asking_.end()) return;
    const std::string line = formatMessage(message);
    if (const auto conn = conns_.find(it->second.conn); conn != conns_.end()) {
        conn->second->open.erase(id);
        if (release)
            sayRelease(*conn->second, message.tag, line);
        else
            conn->second->wire.say(line);
        return;
    }
    if (!release) return;
    tellLater(net_.now(), message.tag, line);
    sayWaiting();
}

void Viewers::sayRelease(Conn& conn, const std::string& tag, const std::string& line) {
    conn.wire.say(line);
    if (unheard_.size() < limits_.toTell) unheard_[tag] = {net_.now(), conn.key, line};
}

void Viewers::tellLater(Micros since, std::string tag, std::string line) {
    if (toTell_.size() >= limits_.toTell) {  // the oldest has had its chance
        ++counts_.untold;
        toTell_.pop_front();
    }
    toTell_.push_back({since, std::move(tag), std::move(line)});
}

// Releases whose own connection is gone: on one that belongs to viewers whose subscriptions play. Another may
// be anybody's, and what is said there is lost; it is taken only once no better one has come for a while.
void Viewers::sayWaiting() {
    if (toTell_.empty()) return;
    Conn* pick = nullptr;
    const auto rank = [](const Conn& c) {
        return std::tuple(c.standing > 0, c.played, c.asked, c.wire.heardAt());
    };
    for (const auto& [key, conn] : conns_)
        if (conn->proven && (!pick || rank(*conn) > rank(*pick))) pick = conn.get();
    // Not more than it has room for: else it would be taken for one that does not read, and closed with them.
    while (pick && !toTell_.empty() && pick->wire.unsent() < limits_.unsent / 2 &&
           (pick->played || net_.now() - toTell_.front().since > limits_.tellAnyAfter)) {
        const Untold next = std::move(toTell_.front());
        toTell_.pop_front();
        sayRelease(*pick, next.tag, next.line);
    }
}

void Viewers::release(SubId id, int cause) {
    const auto it = asking_.find(id);
    if (it == asking_.end() || it->second.leaving) return;
    ++counts_.released;
    tell(id, finish(it->second.words.tag, cause), true);
}

void Viewers::onPlaying(SubId id, SfuId, int) {
    const auto it = asking_.find(id);
    if (it == asking_.end()) return;
    ++counts_.played;
    it->second.plays = true;
    if (const auto conn = conns_.find(it->second.conn); conn != conns_.end()) {
        ++conn->second->standing;
        conn->second->played = true;
    }
    Message answer;
    answer.verb = "STARTED";
    answer.tag = it->second.words.tag;
    answer.description = std::move(it->second.answer);
    it->second.answer.clear();
    it->second.words.description.clear();  // no other join will need it
    it->second.words.description.shrink_to_fit();
    tell(id, answer, false);
}

void Viewers::onThrottled(SubId id, Micros retryAfter) {
    ++counts_.throttled;
    const auto it = asking_.find(id);
    if (it == asking_.end()) return;
    Message refusal = finish(it->second.words.tag, kBusy);
    if (retryAfter > 0) refusal.opts["wait"] = std::to_string((retryAfter + 999) / 1000);
    tell(id, refusal, false);
}

void Viewers::onTerminated(SubId id, core::TerminationReason how) {
    ++counts_.terminated;
    const auto it = asking_.find(id);
    if (it != asking_.end())
        tell(id, finish(it->second.words.tag, how == core::TerminationReason::TimedOut ? kTimedOut : kFailed),
             false);
}

void Viewers::onRungChanged(SubId id, int rung) {
    servers_->setRung(id, rung);
}
void Viewers::onServerLost(SubId id) {
    release(id, kCut);
}
void Viewers::onFinished(SubId id) {
    release(id, kNormal);
}

void Viewers::releaseAll() {
    draining_ = true;
    for (auto& [id, asking] : asking_) {
        if (!asking.plays || asking.leaving) continue;
        release(id, kCut);
        endThere(id, asking);
    }
}

void Viewers::answerAll() {
    std::vector<SubId> open;
    for (const auto& [key, conn] : conns_) open.insert(open.end(), conn->open.begin(), conn->open.end());
    for (const SubId id : open) {
        tell(id, finish(asking_.at(id).words.tag, kFailed), false);
        core_->unsubscribe(id);
    }
}

void Viewers::closeAll() {
    draining_ = true;
    if (listener_) listener_->acceptPending();
    listener_.reset();
    while (!conns_.empty()) {
        Conn& conn = *conns_.begin()->second;
        conn.wire.readNow();
        if (!conn.wire.isClosed()) drop(conn);
    }
}

// ================= from media servers =================

const SetupRequest* Viewers::wordsOf(SubId id) {
    const auto it = asking_.find(id);
    return it == asking_.end() ? nullptr : &it->second.words;
}
void Viewers::answered(SubId id, const std::string& description) {
    const auto it = asking_.find(id);
    if (it != asking_.end()) it->second.answer = description;
}
void Viewers::over(SubId id, JoinResult end, int, const LoadReport& load) {
    const auto it = asking_.find(id);
    if (it != asking_.end() && it->second.leaving)
        core_->unsubscribe(id);  // its viewer has left, and is owed no release
    else
        core_->onPlaybackEnded(id, end, load);
}

void Viewers::forget(SubId id) {
    const auto it = asking_.find(id);
    if (it == asking_.end()) return;
    if (const auto conn = conns_.find(it->second.conn); conn != conns_.end()) {
        conn->second->open.erase(id);
        if (it->second.plays && conn->second->standing > 0) --conn->second->standing;
    }
    byTag_.erase(it->second.words.tag);
    asking_.erase(it);
}

}  // namespace valekeel::node
