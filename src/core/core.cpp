#include "core/core.hpp"

#include <algorithm>

namespace valekeel::core {

Core::Core(net::Net& net, const std::vector<RoomType>& rooms, const CoreLimits& limits, Micros deliveryWindow,
           JoinSender& sender, CoreObserver& observer, const ModuleFactory& decide)
    : net_(net),
      rooms_(rooms),
      limits_(limits),
      delivery_(deliveryWindow),
      sender_(sender),
      observer_(observer),
      reportTimer_(net, [this] { report(); }) {
    callModule([&] { module_ = decide(*this, net_.now()); });
    reportTimer_.after(delivery_.window());
}

Core::~Core() = default;

// The module calls back while it is told something. What that sets off outside is done once it has returned:
// an answer that finds its connection broken must not come back into the module from below.
template <class Call>
void Core::callModule(Call&& call) {
    ++telling_;
    call();
    --telling_;
    if (telling_ > 0 || draining_) return;
    draining_ = true;
    while (!after_.empty()) {
        const std::function<void()> next = std::move(after_.front());
        after_.pop_front();
        next();
    }
    draining_ = false;
}

void Core::after(std::function<void()> what) {
    after_.push_back(std::move(what));
    if (telling_ == 0 && !draining_) callModule([] {});
}

// ================= from a face =================

std::optional<SubId> Core::subscribe(SubscriptionHandler& handler, SubscriptionRequest wish,
                                     Micros clientTimeout) {
    if (subs_.size() >= limits_.subs) {
        ++counts_.refusedFull;
        return std::nullopt;
    }
    const Micros now = net_.now();
    const SubId id{nextSub_++};
    Sub& sub = subs_[id];
    sub.handler = &handler;
    wish.deadline = now + clientTimeout - limits_.answerMargin;
    sub.wish = wish;
    sub.askedAt = now;
    sub.guard = std::make_unique<net::Timer>(net_, [this, id] { guard(id); });
    sub.guard->at(now + clientTimeout - limits_.answerMargin / 2);
    ++unanswered_;
    ++counts_.asked;
    observer_.onRequest(id, wish);
    return id;
}

std::optional<SubId> Core::adopt(SubscriptionHandler& handler, const SubscriptionRequest& wish, SfuId at) {
    if (subs_.size() >= limits_.subs) return std::nullopt;
    const SubId id{nextSub_++};
    Sub& sub = subs_[id];
    sub.handler = &handler;
    sub.wish = wish;
    sub.state = State::Answered;
    sub.begun = sub.plays = true;
    sub.joins = 1;
    sub.at = at;
    sub.rung = rooms_[wish.room.v].floor;
    sub.askedAt = sub.playsSince = net_.now();
    callModule([&] { module_->onAdopted(net_.now(), id, wish, at); });
    return id;
}

void Core::start(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.begun) return;
    it->second.begun = true;
    const SubscriptionRequest wish = it->second.wish;
    callModule([&] { module_->onSubscribe(net_.now(), id, wish); });
}

void Core::unsubscribe(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.left) return;
    Sub& sub = it->second;
    sub.left = true;
    ++counts_.left;
    const Micros now = net_.now();
    if (sub.state == State::Asked) {
        sub.state = State::Answered;
        --unanswered_;
    }
    sub.guard.reset();
    if (sub.plays) {
        sender_.release(id, sub.at);
        callModule([&] {
            module_->onJoinEnded(now, id, sub.joins - 1, sub.at, JoinResult::Played, true,
                                 now - sub.playsSince, LoadReport{});
        });
        drop(id, "left");
    } else {
        callModule([&] { module_->onViewerLeft(now, id); });
        // What a join that is out comes to is still awaited. One that may be repeated is called off. A paid
        // one that may have left runs to its end, and its place is given back then.
        if (!sub.joinOut)
            drop(id, "left");
        else
            after([this, id, joinNo = sub.joins - 1, paid = rooms_[sub.wish.room.v].paid] {
                paid ? sender_.withdraw(id, joinNo) : sender_.cancel(id, joinNo);
            });
    }
}

void Core::onRungFetched(SubId id, int rung) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || !it->second.plays || it->second.rung != rung) return;
    callModule([&] { module_->onRungInForce(net_.now(), id, rung); });
}

void Core::onPlaybackEnded(SubId id, JoinResult end, const LoadReport& load) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || !it->second.plays) return;
    Sub& sub = it->second;
    const Micros now = net_.now();
    if (end != JoinResult::Played) ++counts_.broke;
    sub.plays = false;
    SubscriptionHandler* handler = sub.left ? nullptr : sub.handler;
    callModule([&] {
        module_->onJoinEnded(now, id, sub.joins - 1, sub.at, end, true, now - sub.playsSince, load);
        if (handler)
            after([handler, id, end] {
                end == JoinResult::Played ? handler->onFinished(id) : handler->onServerLost(id);
            });
    });
    drop(id, end == JoinResult::Played ? "finished" : "broke");
}

void Core::onRungInForce(SubId id, int rung) {
    const auto it = subs_.find(id);
    if (it != subs_.end() && it->second.plays)
        callModule([&] { module_->onRungInForce(net_.now(), id, rung); });
}

void Core::onShareDelivered(SubId id, SfuId at, double share) {
    callModule([&] { module_->onShareDelivered(net_.now(), id, at, share); });
}

// ================= from what is sent =================

void Core::onJoinOutcome(SubId id, int joinNo, const JoinOutcome& outcome) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || !it->second.joinOut || joinNo != it->second.joins - 1) return;
    Sub& sub = it->second;
    const Micros now = net_.now();
    sub.joinOut = false;
    observer_.onJoinEnded(id, joinNo, sub.at, outcome);
    if (outcome.end == JoinResult::Played) {
        sub.plays = true;
        sub.playsSince = now;
        const SfuId at = sub.at;
        bool wanted = false;
        callModule([&] {
            wanted = !sub.left && answer(id, sub, "plays");
            if (wanted) {
                ++counts_.played;
                after([this, id] {
                    const auto found = subs_.find(id);
                    if (found != subs_.end() && !found->second.left)
                        found->second.handler->onPlaying(id, found->second.at, found->second.rung);
                });
            }
            module_->onPlaying(now, id, joinNo, at, outcome.took);
            // Nobody waits for it any more: its place is given back at once.
            if (!wanted)
                module_->onJoinEnded(now, id, joinNo, at, JoinResult::Played, true, outcome.took,
                                     outcome.load);
        });
        if (!wanted) {
            sender_.release(id, at);
            drop(id, "left");
        } else if (subs_.count(id)) {
            onLoadReport(id, at, outcome.load.linkUse, outcome.load.uplinkUse);
        }
        return;
    }
    const bool over = sub.left || sub.state == State::Answered;
    // A try that may have run and is given up on leaves nothing behind if that can be helped.
    if (!outcome.neverRan) sender_.release(id, sub.at);
    const SfuId at = sub.at;
    callModule(
        [&] { module_->onJoinEnded(now, id, joinNo, at, outcome.end, over, outcome.took, outcome.load); });
    const auto again = subs_.find(id);
    if (over && again != subs_.end()) drop(id, "left");
}

void Core::onLoadReport(SubId id, SfuId at, std::optional<double> link, std::optional<double> uplink) {
    if (!link && !uplink) return;
    const Micros now = net_.now();
    auto& [linkAt, uplinkAt] =
        figuresAt_.try_emplace(at, -limits_.reportEvery, -limits_.reportEvery).first->second;
    const bool tellLink = link && now - linkAt >= limits_.reportEvery;
    const bool tellUplink = uplink && now - uplinkAt >= limits_.reportEvery;
    if (tellLink) linkAt = now;
    if (tellUplink) uplinkAt = now;
    callModule([&] {
        if (tellLink) module_->onLinkUse(now, id, at, *link);
        if (tellUplink) module_->onUplinkUse(now, id, at, *uplink);
    });
}

void Core::report() {
    const Micros now = net_.now();
    for (const DeliveryMeter::ShareReport& t : delivery_.takeReports(now))
        callModule([&] { module_->onShareDelivered(now, t.sub, t.at, t.share); });
    reportTimer_.after(delivery_.window());
}

// ================= from the list =================

void Core::onServerList(std::span<const SfuEntry> all, bool stale) {
    std::erase_if(figuresAt_, [&](const auto& told) {  // gone without a word of it
        return std::none_of(all.begin(), all.end(),
                            [&](const SfuEntry& one) { return one.id == told.first; });
    });
    callModule([&] { module_->onServerList(net_.now(), all, stale); });
}
void Core::onServerListChange(std::span<const SfuEntry> some) {
    for (const SfuEntry& one : some)
        if (one.state == ServerState::Off) figuresAt_.erase(one.id);
    callModule([&] { module_->onServerListChange(net_.now(), some); });
}
std::vector<ServerEvidence> Core::serverEvidence() const {
    return module_->serverEvidence(net_.now());
}
void Core::restoreServerEvidence(std::span<const ServerEvidence> all) {
    callModule([&] { module_->restoreServerEvidence(net_.now(), all); });
}
void Core::onServerListFailure() {
    callModule([&] { module_->onServerListFailure(net_.now()); });
}

// ================= Host =================

void Core::join(SubId id, SfuId at, Micros timeOut) {
    const auto it = subs_.find(id);
    // One join out, and none after an answer: the module holds to it; this is where it would show.
    if (it == subs_.end() || it->second.joinOut || it->second.plays) return;
    Sub& sub = it->second;
    sub.at = at;
    sub.joinOut = true;
    sub.joinedAt = net_.now();
    const int joinNo = sub.joins++;
    ++counts_.joins;
    const Micros until = net_.now() + timeOut;
    after([this, id, joinNo, at, until] {
        const auto found = subs_.find(id);
        if (found == subs_.end()) return;
        const Sub& s = found->second;
        // Whoever has gone since, or has been answered, gets nothing set up.
        if (s.left || s.state == State::Answered)
            return onJoinOutcome(id, joinNo, {JoinResult::NeverSent, true, 0, {}, "its viewer has gone"});
        observer_.onJoinSent(id, joinNo, at, s.rung, until - net_.now());
        sender_.join(id, joinNo, at, s.rung, until - net_.now(), rooms_[s.wish.room.v].paid);
    });
}

void Core::setRung(SubId id, int rung) {
    const auto it = subs_.find(id);
    if (it == subs_.end()) return;
    it->second.rung = rung;
    if (!it->second.plays || it->second.left) return;
    after([this, id, rung] {
        const auto found = subs_.find(id);
        if (found != subs_.end() && found->second.plays && !found->second.left)
            found->second.handler->onRungChanged(id, rung);
    });
}

// The one place through which each answer goes: true for the first, and for the first only.
bool Core::answer(SubId id, Sub& sub, std::string_view how) {
    if (sub.state == State::Answered) return false;
    sub.state = State::Answered;
    sub.guard.reset();
    --unanswered_;
    observer_.onAnswer(id, how, net_.now() - sub.askedAt);
    return true;
}

void Core::throttle(SubId id, Micros retryAfter) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.left || !answer(id, it->second, "throttled")) return;
    ++counts_.throttled;
    SubscriptionHandler* handler = it->second.handler;
    after([this, handler, id, retryAfter] {
        handler->onThrottled(id, retryAfter);
        drop(id, "throttled");
    });
}

void Core::terminate(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.left || !answer(id, it->second, "terminated")) return;
    ++counts_.terminated;
    SubscriptionHandler* handler = it->second.handler;
    const TerminationReason how =
        net_.now() >= it->second.wish.deadline ? TerminationReason::TimedOut : TerminationReason::SetupFailed;
    after([this, handler, id, how] {
        handler->onTerminated(id, how);
        drop(id, "terminated");
    });
}

void Core::wakeAfter(Micros wait, const std::string& why) {
    wakes_.emplace_back();
    const auto it = std::prev(wakes_.end());
    it->why = why;
    it->timer = std::make_unique<net::Timer>(net_, [this, it] {
        spent_ = std::move(*it);  // kept for a while: this very call lies in it
        wakes_.erase(it);
        const std::string why = spent_.why;
        if (why == "slot") ++slot_;
        callModule([&] { module_->onWake(net_.now(), why); });
    });
    it->timer->after(wait);
}

void Core::followList() {
    after([this] { sender_.followList(); });
}
void Core::log(const std::string& words) {
    observer_.onModuleLog(words);
}

// The module answers in time by itself. Should it ever not, the viewer is still owed an answer.
void Core::guard(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.state != State::Asked) return;
    ++counts_.guarded;
    observer_.onGuardTriggered(id);
    SubscriptionHandler* handler = it->second.handler;
    if (!answer(id, it->second, "terminated")) return;
    ++counts_.terminated;
    callModule([&] { module_->onViewerLeft(net_.now(), id); });
    after([this, handler, id] {
        handler->onTerminated(id, TerminationReason::TimedOut);
        const auto found = subs_.find(id);
        if (found != subs_.end() && !found->second.joinOut) drop(id, "guarded");
    });
}

void Core::drop(SubId id, std::string_view why) {
    const auto it = subs_.find(id);
    if (it == subs_.end()) return;
    if (it->second.joinOut && it->second.left) return;
    observer_.onClosed(id, why);
    subs_.erase(it);
}

}  // namespace valekeel::core
