#include "upstream/upstream_client.hpp"

#include <algorithm>

namespace valekeel::upstream {

struct UpstreamClient::Kept {
    std::unique_ptr<http::Connection> conn;
    bool busy = false;
};

struct UpstreamClient::Box {
    net::Endpoint at;
    ConnectionReusePolicy reuse;
    std::map<ConnId, Kept> conns;
    std::deque<Exchange*> waiting;
    Box(const net::Endpoint& at, const UpstreamLimits& l)
        : at(at), reuse(l.connections, l.idleTimeout, l.recentUse) {}
};

// One request on its way: it waits for a connection, or holds one.
class UpstreamClient::Exchange final : public UpstreamRequest, private http::FetchHandler {
  public:
    Exchange(UpstreamClient& all, Box& box, std::string bytes, bool headOnly, bool sure, Micros within,
             UpstreamRequestHandler& user)
        : all_(all),
          box_(&box),
          alive_(all.alive_),
          bytes_(std::move(bytes)),
          headOnly_(headOnly),
          sure_(sure),
          user_(user),
          late_(all.net_, [this] { tooLate(); }),
          start_(all.net_, [this] { start(); }) {
        late_.after(within);
        start_.after(0);
    }
    ~Exchange() override {
        if (*alive_ && !done_) letGo(false);
    }

    void pause() override {
        if (conn_) conn_->pause();
    }
    void resume() override {
        if (conn_) conn_->resume();
    }
    bool wroteAny() const override { return conn_ && conn_->hasWritten(); }
    RequestResult cancel() override {
        const bool out = wroteAny();
        letGo(false);
        return out ? RequestResult::CancelledSent : RequestResult::CancelledUnsent;
    }
    bool sure() const { return sure_; }
    void useConn(ConnId id, http::Connection& conn, bool kept) {
        id_ = id;
        conn_ = &conn;
        kept_ = kept;
        waits_ = false;
        conn.fetch(std::move(bytes_), headOnly_, *this);
    }

    void start() {
        if (box_->waiting.size() >= all_.limits_.pendingRequests) {
            finish();
            user_.onFailed(RequestResult::NoFreeConnection);
            return;
        }
        waits_ = true;
        box_->waiting.push_back(this);
        all_.serveWaiting(*box_);
    }

  private:
    void onHead(const http::ResponseHead& head) override { user_.onHead(head); }
    void onBody(std::string_view bytes) override { user_.onBody(bytes); }
    void onFetched(bool kept) override {
        finish();
        giveBack(kept);
        user_.onComplete();
    }
    void onFailed(http::FetchError how) override {
        const bool kept = kept_;
        finish();
        giveBack(false);
        user_.onFailed(meaningFor(how, kept));
    }
    static RequestResult meaningFor(http::FetchError how, bool kept) {
        switch (how) {
            case http::FetchError::Refused:
                return RequestResult::ConnectRefused;
            case http::FetchError::NoConnection:
                return RequestResult::ConnectFailed;
            case http::FetchError::NeverWritten:
                return RequestResult::NeverWritten;
            case http::FetchError::BrokenOut:
                return kept ? RequestResult::BrokenOnReused : RequestResult::BrokenOnFresh;
            case http::FetchError::BrokenAnswer:
                return RequestResult::BrokenAnswer;
            case http::FetchError::BadAnswer:
                return RequestResult::BadAnswer;
        }
        return RequestResult::BadAnswer;
    }

    void tooLate() {
        const bool waited = !conn_, out = wroteAny();
        letGo(false);
        user_.onFailed(waited ? RequestResult::NoFreeConnection
                       : out  ? RequestResult::TimedOut
                              : RequestResult::ConnectFailed);
    }
    void finish() {
        done_ = true;
        late_.cancel();
        start_.cancel();
    }
    void letGo(bool kept) {
        if (done_) return;
        finish();
        if (waits_) std::erase(box_->waiting, this);
        waits_ = false;
        giveBack(kept);
    }
    void giveBack(bool kept) {
        if (!conn_) return;
        conn_ = nullptr;
        const auto it = box_->conns.find(id_);
        if (it == box_->conns.end()) return;
        if (kept && it->second.conn->isIdle()) {
            it->second.busy = false;
            box_->reuse.idle(all_.net_.now(), id_);
        } else {
            box_->reuse.closed(id_, true);
            it->second.conn->abandon();
            all_.dead_.push_back(std::move(it->second.conn));
            box_->conns.erase(it);
            all_.bury_.soon();
        }
        if (!box_->waiting.empty()) all_.serveWaiting(*box_);
    }

    UpstreamClient& all_;
    Box* box_;
    std::shared_ptr<bool> alive_;
    std::string bytes_;
    bool headOnly_, sure_;
    UpstreamRequestHandler& user_;
    net::Timer late_, start_;
    ConnId id_;
    http::Connection* conn_ = nullptr;
    bool kept_ = false, waits_ = false, done_ = false;
};

struct UpstreamClient::Told final : UpstreamRequestHandler {
    UpstreamClient& all;
    std::uint64_t key;
    SfuId box;
    std::string method, target;
    http::Fields fields;
    int tries = 0;
    std::unique_ptr<UpstreamRequest> request;
    net::Timer again, over;
    Told(UpstreamClient& all, std::uint64_t key, SfuId box, std::string_view method,
         const std::string& target, const http::Fields& fields)
        : all(all),
          key(key),
          box(box),
          method(method),
          target(target),
          fields(fields),
          again(all.net_, [this] { go(); }),
          over(all.net_, [this] { this->all.told_.erase(this->key); }) {}
    void go() {
        ++tries;
        request = all.send(box, method, target, fields, false, 2 * kSecond, *this);
    }
    void onHead(const http::ResponseHead&) override {}
    void onBody(std::string_view) override {}
    void onComplete() override { over.after(0); }
    void onFailed(RequestResult) override {
        if (tries >= all.limits_.releaseAttempts) return over.after(0);
        again.after(Micros{50'000} << std::min(2 * tries, 8));  // 200 ms, 800 ms, and so on
    }
};

UpstreamClient::UpstreamClient(net::Net& net, const http::HttpLimits& wire, const UpstreamLimits& limits)
    : net_(net), wire_(wire), limits_(limits), bury_(net, [this] { dead_.clear(); }), tidy_(net, [this] {
          tidy();
      }) {
    tidy_.after(kSecond);
}

UpstreamClient::~UpstreamClient() {
    told_.clear();
    *alive_ = false;
}

UpstreamClient::Box* UpstreamClient::find(SfuId id) {
    const auto it = boxes_.find(id);
    return it == boxes_.end() ? nullptr : it->second.get();
}

void UpstreamClient::setAddress(SfuId id, const net::Endpoint& where) {
    Box* box = find(id);
    if (!box) {
        boxes_[id] = std::make_unique<Box>(where, limits_);
        return;
    }
    if (box->at == where) return;
    box->at = where;
    for (auto it = box->conns.begin(); it != box->conns.end();) {
        if (it->second.busy) {
            ++it;
            continue;
        }
        box->reuse.closed(it->first, false);
        it = box->conns.erase(it);
    }
}

const net::Endpoint* UpstreamClient::addressOf(SfuId id) const {
    const auto it = boxes_.find(id);
    return it == boxes_.end() ? nullptr : &it->second->at;
}

std::unique_ptr<UpstreamRequest> UpstreamClient::send(SfuId id, std::string_view method,
                                                      const std::string& target, const http::Fields& fields,
                                                      bool sure, Micros within,
                                                      UpstreamRequestHandler& user) {
    Box* box = find(id);
    if (!box) {  // never listed: a place that nobody answers at
        setAddress(id, net::Endpoint{boost::asio::ip::make_address("127.0.0.1"), 1});
        box = find(id);
    }
    return std::make_unique<Exchange>(*this, *box, http::requestBytes(method, target, box->at, fields),
                                      method == "HEAD", sure, std::max<Micros>(within, 0), user);
}

void UpstreamClient::notify(SfuId id, std::string_view method, const std::string& target,
                            const http::Fields& fields) {
    if (told_.size() >= limits_.releases) return;
    const std::uint64_t key = nextTold_++;
    auto& told = told_[key] = std::make_unique<Told>(*this, key, id, method, target, fields);
    told->go();
}

void UpstreamClient::serveWaiting(Box& box) {
    while (!box.waiting.empty()) {
        Exchange* next = box.waiting.front();
        const auto choice = box.reuse.choose(
            net_.now(), next->sure() ? ConnectionReusePolicy::Need::Sure : ConnectionReusePolicy::Need::Any);
        using What = ConnectionReusePolicy::Choice::What;
        if (choice.what == What::Wait) return;
        if (choice.what == What::Use) {
            const auto it = box.conns.find(choice.conn);
            if (it->second.conn->isClosed()) {  // closed by the box while it lay idle: seen in time
                box.reuse.closed(choice.conn, false);
                box.conns.erase(it);
                continue;
            }
            box.waiting.pop_front();
            box.reuse.taken(choice.conn);
            it->second.busy = true;
            next->useConn(choice.conn, *it->second.conn, true);
            continue;
        }
        if (choice.what == What::CloseAndOpen) {
            box.reuse.closed(choice.conn, false);
            box.conns.erase(choice.conn);
        }
        box.waiting.pop_front();
        const ConnId id{nextConn_++};
        Kept& kept = box.conns[id];
        kept.conn = std::make_unique<http::Connection>(net_, box.at, wire_, limits_.connectTimeout);
        kept.busy = true;
        box.reuse.opened(id);
        next->useConn(id, *kept.conn, false);
    }
}

void UpstreamClient::tidy() {
    for (auto& [id, box] : boxes_) {
        while (const auto old = box->reuse.stale(net_.now())) {
            box->reuse.closed(*old, false);
            box->conns.erase(*old);
        }
        for (auto it = box->conns.begin(); it != box->conns.end();) {
            if (!it->second.busy && it->second.conn->isClosed()) {
                box->reuse.closed(it->first, false);
                it = box->conns.erase(it);
            } else {
                ++it;
            }
        }
    }
    tidy_.after(kSecond);
}

std::size_t UpstreamClient::connections() const {
    std::size_t sum = 0;
    for (const auto& [id, box] : boxes_) sum += box->conns.size();
    return sum;
}

LoadReport loadOf(const http::Fields& fields) {
    LoadReport load;
    const auto dynamic = fields.joined("CMSD-Dynamic");
    if (!dynamic) return load;
    for (const hints::CmsdEntry& entry : hints::parseCmsdDynamic(*dynamic)) {
        if (const auto use = hints::customNumber(entry, hints::kLinkUseKey)) load.linkUse = use;
        if (const auto use = hints::customNumber(entry, hints::kUplinkUseKey)) load.uplinkUse = use;
    }
    return load;
}

}  // namespace valekeel::upstream
