#include "core/core.hpp"

#include <algorithm>

namespace valekeel::core {

Core::Core(net::Net& net, const std::vector<RoomType>& rooms, const CoreLimits& limits, Micros deliveryWindow,
           JoinSender& sender, CoreObserver& observer, const ModuleFactory& makeModule)
    : net_(net),
      rooms_(rooms),
      limits_(limits),
      delivery_(deliveryWindow),
      sender_(sender),
      observer_(observer),
      reportTimer_(net, [this] { reportShares(); }) {
    callModule([&] { module_ = makeModule(*this, net_.now()); });
    reportTimer_.after(delivery_.window());
}

Core::~Core() = default;

// The module calls its Host from within calls to it. The external effects of those are deferred until it has
// returned: an answer that finds its connection broken must not re-enter the module.
template <class Call>
void Core::callModule(Call&& call) {
    ++moduleCallDepth_;
    call();
    --moduleCallDepth_;
    if (moduleCallDepth_ > 0 || runningDeferred_) return;
    runningDeferred_ = true;
    while (!deferred_.empty()) {
        const std::function<void()> next = std::move(deferred_.front());
        deferred_.pop_front();
        next();
    }
    runningDeferred_ = false;
}

void Core::defer(std::function<void()> action) {
    deferred_.push_back(std::move(action));
    if (moduleCallDepth_ == 0 && !runningDeferred_) callModule([] {});
}

// ================= Called by front ends =================

std::optional<SubId> Core::subscribe(SubscriptionHandler& handler, SubscriptionRequest request,
                                     Micros clientTimeout) {
    if (subs_.size() >= limits_.subscriptions) {
        ++counts_.rejectedAtLimit;
        return std::nullopt;
    }
    const Micros now = net_.now();
    const SubId id{nextSub_++};
    Subscription& sub = subs_[id];
    sub.handler = &handler;
    request.deadline = now + clientTimeout - limits_.answerMargin;
    sub.request = request;
    sub.requestedAt = now;
    sub.guardTimer = std::make_unique<net::Timer>(net_, [this, id] { onGuardTimer(id); });
    sub.guardTimer->at(now + clientTimeout - limits_.answerMargin / 2);
    ++unanswered_;
    ++counts_.requested;
    observer_.onRequest(id, request);
    return id;
}

std::optional<SubId> Core::adopt(SubscriptionHandler& handler, const SubscriptionRequest& request,
                                 SfuId server) {
    if (subs_.size() >= limits_.subscriptions) return std::nullopt;
    const SubId id{nextSub_++};
    Subscription& sub = subs_[id];
    sub.handler = &handler;
    sub.request = request;
    sub.state = State::Answered;
    sub.started = sub.playing = true;
    sub.joins = 1;
    sub.server = server;
    sub.rung = rooms_[request.room.v].floor;
    sub.requestedAt = sub.playingSince = net_.now();
    callModule([&] { module_->onAdopted(net_.now(), id, request, server); });
    return id;
}

void Core::start(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.started) return;
    it->second.started = true;
    const SubscriptionRequest request = it->second.request;
    callModule([&] { module_->onSubscribe(net_.now(), id, request); });
}

void Core::unsubscribe(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.left) return;
    Subscription& sub = it->second;
    sub.left = true;
    ++counts_.left;
    const Micros now = net_.now();
    if (sub.state == State::Pending) {
        sub.state = State::Answered;
        --unanswered_;
    }
    sub.guardTimer.reset();
    if (sub.playing) {
        sender_.release(id, sub.joins - 1, sub.server);
        callModule([&] {
            module_->onJoinEnded(now, id, sub.joins - 1, sub.server, JoinResult::Played, true,
                                 now - sub.playingSince, LoadReport{});
        });
        close(id, "left");
    } else {
        callModule([&] { module_->onViewerLeft(now, id); });
        // The outcome of a join in flight is still awaited. A join that may be repeated is cancelled. A paid
        // one that may already have left runs to its end, and its place is released then.
        if (!sub.joinInFlight)
            close(id, "left");
        else
            defer([this, id, joinNo = sub.joins - 1, paid = rooms_[sub.request.room.v].paid] {
                paid ? sender_.withdraw(id, joinNo) : sender_.cancel(id, joinNo);
            });
    }
}

void Core::onRungFetched(SubId id, int rung) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || !it->second.playing || it->second.rung != rung) return;
    callModule([&] { module_->onRungInForce(net_.now(), id, rung); });
}

void Core::onPlaybackEnded(SubId id, JoinResult end, const LoadReport& load) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || !it->second.playing) return;
    Subscription& sub = it->second;
    const Micros now = net_.now();
    if (end != JoinResult::Played) ++counts_.lost;
    sub.playing = false;
    SubscriptionHandler* handler = sub.left ? nullptr : sub.handler;
    callModule([&] {
        module_->onJoinEnded(now, id, sub.joins - 1, sub.server, end, true, now - sub.playingSince, load);
        if (handler)
            defer([handler, id, end] {
                end == JoinResult::Played ? handler->onFinished(id) : handler->onServerLost(id);
            });
    });
    close(id, end == JoinResult::Played ? "finished" : "broke");
}

void Core::onRungInForce(SubId id, int rung) {
    const auto it = subs_.find(id);
    if (it != subs_.end() && it->second.playing)
        callModule([&] { module_->onRungInForce(net_.now(), id, rung); });
}

void Core::onShareDelivered(SubId id, SfuId server, double share) {
    callModule([&] { module_->onShareDelivered(net_.now(), id, server, share); });
}

// ================= Called by the senders of joins and fetches =================

void Core::onJoinOutcome(SubId id, int joinNo, const JoinOutcome& outcome) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || !it->second.joinInFlight || joinNo != it->second.joins - 1) return;
    Subscription& sub = it->second;
    const Micros now = net_.now();
    sub.joinInFlight = false;
    observer_.onJoinEnded(id, joinNo, sub.server, outcome);
    if (outcome.result == JoinResult::Played) {
        sub.playing = true;
        sub.playingSince = now;
        const SfuId server = sub.server;
        bool wanted = false;
        callModule([&] {
            wanted = !sub.left && answer(id, sub, "plays");
            if (wanted) {
                ++counts_.played;
                defer([this, id] {
                    const auto found = subs_.find(id);
                    if (found != subs_.end() && !found->second.left)
                        found->second.handler->onPlaying(id, found->second.server, found->second.rung);
                });
            }
            module_->onPlaying(now, id, joinNo, server, outcome.took);
            // Nobody waits for it any more: its place is released at once.
            if (!wanted)
                module_->onJoinEnded(now, id, joinNo, server, JoinResult::Played, true, outcome.took,
                                     outcome.load);
        });
        if (!wanted) {
            sender_.release(id, joinNo, server);
            close(id, "left");
        } else if (subs_.count(id)) {
            onLoadReport(id, server, outcome.load.linkUse, outcome.load.uplinkUse);
        }
        return;
    }
    const bool over = sub.left || sub.state == State::Answered;
    // A failed join that may have run on the media server must not leave a session behind.
    if (!outcome.neverRan) sender_.release(id, joinNo, sub.server);
    const SfuId server = sub.server;
    callModule([&] {
        module_->onJoinEnded(now, id, joinNo, server, outcome.result, over, outcome.took, outcome.load);
    });
    const auto found = subs_.find(id);
    if (over && found != subs_.end()) close(id, "left");
}

void Core::onLoadReport(SubId id, SfuId server, std::optional<double> link, std::optional<double> uplink) {
    if (!link && !uplink) return;
    const Micros now = net_.now();
    auto& [linkAt, uplinkAt] =
        lastLoadReportAt_.try_emplace(server, -limits_.reportInterval, -limits_.reportInterval).first->second;
    const bool reportLink = link && now - linkAt >= limits_.reportInterval;
    const bool reportUplink = uplink && now - uplinkAt >= limits_.reportInterval;
    if (reportLink) linkAt = now;
    if (reportUplink) uplinkAt = now;
    callModule([&] {
        if (reportLink) module_->onLinkUse(now, id, server, *link);
        if (reportUplink) module_->onUplinkUse(now, id, server, *uplink);
    });
}

void Core::reportShares() {
    const Micros now = net_.now();
    for (const DeliveryMeter::ShareReport& report : delivery_.takeReports(now))
        callModule([&] { module_->onShareDelivered(now, report.sub, report.server, report.share); });
    reportTimer_.after(delivery_.window());
}

// ================= Called by the follower of the server list =================

void Core::onServerList(std::span<const SfuEntry> all, bool stale) {
    std::erase_if(lastLoadReportAt_, [&](const auto& reported) {  // removed without a change event
        return std::none_of(all.begin(), all.end(),
                            [&](const SfuEntry& entry) { return entry.id == reported.first; });
    });
    callModule([&] { module_->onServerList(net_.now(), all, stale); });
}
void Core::onServerListChange(std::span<const SfuEntry> changed) {
    for (const SfuEntry& entry : changed)
        if (entry.state == ServerState::Off) lastLoadReportAt_.erase(entry.id);
    callModule([&] { module_->onServerListChange(net_.now(), changed); });
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

void Core::join(SubId id, SfuId server, Micros timeOut) {
    const auto it = subs_.find(id);
    // At most one join in flight, and none while it plays. The module keeps to that; this ignores violations.
    if (it == subs_.end() || it->second.joinInFlight || it->second.playing) return;
    Subscription& sub = it->second;
    sub.server = server;
    sub.joinInFlight = true;
    sub.joinedAt = net_.now();
    const int joinNo = sub.joins++;
    ++counts_.joins;
    const Micros joinDeadline = net_.now() + timeOut;
    defer([this, id, joinNo, server, joinDeadline] {
        const auto found = subs_.find(id);
        if (found == subs_.end()) return;
        const Subscription& current = found->second;
        // The viewer may have left, or been answered, since the join was decided: then nothing is sent.
        if (current.left || current.state == State::Answered)
            return onJoinOutcome(id, joinNo, {JoinResult::NeverSent, true, 0, {}, "its viewer has gone"});
        observer_.onJoinSent(id, joinNo, server, current.rung, joinDeadline - net_.now());
        sender_.join(id, joinNo, server, current.rung, joinDeadline - net_.now(),
                     rooms_[current.request.room.v].paid);
    });
}

void Core::setRung(SubId id, int rung) {
    const auto it = subs_.find(id);
    if (it == subs_.end()) return;
    it->second.rung = rung;
    if (!it->second.playing || it->second.left) return;
    defer([this, id, rung] {
        const auto found = subs_.find(id);
        if (found != subs_.end() && found->second.playing && !found->second.left)
            found->second.handler->onRungChanged(id, rung);
    });
}

// Every answer passes through here. Returns true for the first one of a subscription, false for any other.
bool Core::answer(SubId id, Subscription& sub, std::string_view how) {
    if (sub.state == State::Answered) return false;
    sub.state = State::Answered;
    sub.guardTimer.reset();
    --unanswered_;
    observer_.onAnswer(id, how, net_.now() - sub.requestedAt);
    return true;
}

void Core::throttle(SubId id, Micros retryAfter) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.left || !answer(id, it->second, "throttled")) return;
    ++counts_.throttled;
    SubscriptionHandler* handler = it->second.handler;
    defer([this, handler, id, retryAfter] {
        handler->onThrottled(id, retryAfter);
        close(id, "throttled");
    });
}

void Core::terminate(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.left || !answer(id, it->second, "terminated")) return;
    ++counts_.terminated;
    SubscriptionHandler* handler = it->second.handler;
    const TerminationReason reason = net_.now() >= it->second.request.deadline
                                         ? TerminationReason::TimedOut
                                         : TerminationReason::SetupFailed;
    defer([this, handler, id, reason] {
        handler->onTerminated(id, reason);
        close(id, "terminated");
    });
}

void Core::wakeAfter(Micros wait, const std::string& why) {
    wakes_.emplace_back();
    const auto it = std::prev(wakes_.end());
    it->why = why;
    it->timer = std::make_unique<net::Timer>(net_, [this, it] {
        firedWake_ = std::move(*it);  // kept alive: this lambda is owned by its timer
        wakes_.erase(it);
        const std::string why = firedWake_.why;
        if (why == "slot") ++endedSlots_;
        callModule([&] { module_->onWake(net_.now(), why); });
    });
    it->timer->after(wait);
}

void Core::followList() {
    defer([this] { sender_.followList(); });
}
void Core::log(const std::string& message) {
    observer_.onModuleLog(message);
}

// Answers in place of a module that has not answered in time, which a correct module never lets happen.
void Core::onGuardTimer(SubId id) {
    const auto it = subs_.find(id);
    if (it == subs_.end() || it->second.state != State::Pending) return;
    ++counts_.guardAnswers;
    observer_.onGuardTriggered(id);
    SubscriptionHandler* handler = it->second.handler;
    if (!answer(id, it->second, "terminated")) return;
    ++counts_.terminated;
    callModule([&] { module_->onViewerLeft(net_.now(), id); });
    defer([this, handler, id] {
        handler->onTerminated(id, TerminationReason::TimedOut);
        const auto found = subs_.find(id);
        if (found != subs_.end() && !found->second.joinInFlight) close(id, "guarded");
    });
}

void Core::close(SubId id, std::string_view why) {
    const auto it = subs_.find(id);
    if (it == subs_.end()) return;
    if (it->second.joinInFlight && it->second.left) return;
    observer_.onClosed(id, why);
    subs_.erase(it);
}

}  // namespace valekeel::core
