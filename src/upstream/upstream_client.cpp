#include "upstream/upstream_client.hpp"

#include <algorithm>

namespace valekeel::upstream {

struct UpstreamClient::PooledConnection {
    std::unique_ptr<http::Connection> connection;
    net::Endpoint address;  // of the server when it was opened
    bool busy = false;
};

struct UpstreamClient::Server {
    net::Endpoint address;
    ConnectionReusePolicy reuse;
    std::map<ConnId, PooledConnection> connections;
    std::deque<PendingRequest*> queue;  // requests that wait for a connection
    Server(const net::Endpoint& address, const UpstreamLimits& limits)
        : address(address), reuse(limits.connections, limits.idleTimeout, limits.recentUse) {}
};

// A request that waits for a connection, or uses one.
class UpstreamClient::PendingRequest final : public UpstreamRequest, private http::FetchHandler {
  public:
    PendingRequest(UpstreamClient& client, Server& server, std::string bytes, bool headOnly, bool avoidStale,
                   Micros timeout, UpstreamRequestHandler& handler)
        : client_(client),
          server_(&server),
          clientAlive_(client.alive_),
          bytes_(std::move(bytes)),
          headOnly_(headOnly),
          avoidStale_(avoidStale),
          handler_(handler),
          timeoutTimer_(client.net_, [this] { onTimeout(); }),
          startTimer_(client.net_, [this] { start(); }) {
        timeoutTimer_.after(timeout);
        startTimer_.after(0);
    }
    ~PendingRequest() override {
        if (*clientAlive_ && !done_) abandon(false);
    }

    void pause() override {
        if (connection_) connection_->pause();
    }
    void resume() override {
        if (connection_) connection_->resume();
    }
    bool wroteAny() const override { return connection_ && connection_->hasWritten(); }
    RequestResult cancel() override {
        const bool sent = wroteAny();
        abandon(false);
        return sent ? RequestResult::CancelledSent : RequestResult::CancelledUnsent;
    }
    bool avoidStale() const { return avoidStale_; }
    void useConnection(ConnId id, http::Connection& connection, bool reused) {
        id_ = id;
        connection_ = &connection;
        reused_ = reused;
        queued_ = false;
        connection.fetch(std::move(bytes_), headOnly_, *this);
    }

    void start() {
        if (server_->queue.size() >= client_.limits_.pendingRequests) {
            finish();
            handler_.onFailed(RequestResult::NoFreeConnection);
            return;
        }
        queued_ = true;
        server_->queue.push_back(this);
        client_.serveQueue(*server_);
    }

  private:
    void onHead(const http::ResponseHead& head) override { handler_.onHead(head); }
    void onBody(std::string_view bytes) override { handler_.onBody(bytes); }
    void onFetched(bool kept) override {
        finish();
        returnConnection(kept);
        handler_.onComplete();
    }
    void onFailed(http::FetchError error) override {
        const bool reused = reused_;
        finish();
        returnConnection(false);
        handler_.onFailed(resultOf(error, reused));
    }
    static RequestResult resultOf(http::FetchError error, bool reused) {
        switch (error) {
            case http::FetchError::Refused:
                return RequestResult::ConnectRefused;
            case http::FetchError::NoConnection:
                return RequestResult::ConnectFailed;
            case http::FetchError::NeverWritten:
                return RequestResult::NeverWritten;
            case http::FetchError::BrokenOut:
                return reused ? RequestResult::BrokenOnReused : RequestResult::BrokenOnFresh;
            case http::FetchError::BrokenAnswer:
                return RequestResult::BrokenAnswer;
            case http::FetchError::BadAnswer:
                return RequestResult::BadAnswer;
        }
        return RequestResult::BadAnswer;
    }

    void onTimeout() {
        const bool noConnection = !connection_, sent = wroteAny();
        abandon(false);
        handler_.onFailed(noConnection ? RequestResult::NoFreeConnection
                          : sent       ? RequestResult::TimedOut
                                       : RequestResult::ConnectFailed);
    }
    void finish() {
        done_ = true;
        timeoutTimer_.cancel();
        startTimer_.cancel();
    }
    void abandon(bool keep) {
        if (done_) return;
        finish();
        if (queued_) std::erase(server_->queue, this);
        queued_ = false;
        returnConnection(keep);
    }
    void returnConnection(bool keep) {
        if (!connection_) return;
        connection_ = nullptr;
        const auto it = server_->connections.find(id_);
        if (it == server_->connections.end()) return;
        // After a move another process may have the old address: its connections are not used again.
        if (keep && it->second.connection->isIdle() && it->second.address == server_->address) {
            it->second.busy = false;
            server_->reuse.onIdle(client_.net_.now(), id_);
        } else {
            server_->reuse.onClosed(id_, true);
            it->second.connection->abandon();
            client_.closed_.push_back(std::move(it->second.connection));
            server_->connections.erase(it);
            client_.deleteTimer_.soon();
        }
        if (!server_->queue.empty()) client_.serveQueue(*server_);
    }

    UpstreamClient& client_;
    Server* server_;
    std::shared_ptr<bool> clientAlive_;
    std::string bytes_;
    bool headOnly_, avoidStale_;
    UpstreamRequestHandler& handler_;
    net::Timer timeoutTimer_, startTimer_;
    ConnId id_;
    http::Connection* connection_ = nullptr;
    bool reused_ = false, queued_ = false, done_ = false;
};

// A notification, until it has been answered or given up.
struct UpstreamClient::Notification final : UpstreamRequestHandler {
    UpstreamClient& client;
    std::uint64_t key;
    SfuId server;
    std::string method, target;
    http::Fields fields;
    int attempts = 0;
    std::unique_ptr<UpstreamRequest> request;
    net::Timer retryTimer, doneTimer;  // the latter deletes this outside its callbacks
    Notification(UpstreamClient& client, std::uint64_t key, SfuId server, std::string_view method,
                 const std::string& target, const http::Fields& fields)
        : client(client),
          key(key),
          server(server),
          method(method),
          target(target),
          fields(fields),
          retryTimer(client.net_, [this] { send(); }),
          doneTimer(client.net_, [this] { this->client.notifications_.erase(this->key); }) {}
    void send() {
        ++attempts;
        request = client.send(server, method, target, fields, false, 2 * kSecond, *this);
    }
    void onHead(const http::ResponseHead&) override {}
    void onBody(std::string_view) override {}
    void onComplete() override { doneTimer.after(0); }
    void onFailed(RequestResult) override {
        if (attempts >= client.limits_.releaseAttempts) return doneTimer.after(0);
        // Exponential backoff: 200 ms, 800 ms and so on, 12.8 s at most.
        retryTimer.after(Micros{50'000} << std::min(2 * attempts, 8));
    }
};

UpstreamClient::UpstreamClient(net::Net& net, const http::HttpLimits& httpLimits,
                               const UpstreamLimits& limits)
    : net_(net),
      httpLimits_(httpLimits),
      limits_(limits),
      deleteTimer_(net, [this] { closed_.clear(); }),
      expiryTimer_(net, [this] { closeExpired(); }) {
    expiryTimer_.after(kSecond);
}

UpstreamClient::~UpstreamClient() {
    notifications_.clear();
    *alive_ = false;
}

UpstreamClient::Server* UpstreamClient::find(SfuId id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : it->second.get();
}

void UpstreamClient::setAddress(SfuId id, const net::Endpoint& address) {
    Server* server = find(id);
    if (!server) {
        servers_[id] = std::make_unique<Server>(address, limits_);
        return;
    }
    if (server->address == address) return;
    server->address = address;
    for (auto it = server->connections.begin(); it != server->connections.end();) {
        if (it->second.busy) {
            ++it;
            continue;
        }
        server->reuse.onClosed(it->first, false);
        it = server->connections.erase(it);
    }
}

const net::Endpoint* UpstreamClient::addressOf(SfuId id) const {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second->address;
}

std::unique_ptr<UpstreamRequest> UpstreamClient::send(SfuId id, std::string_view method,
                                                      const std::string& target, const http::Fields& fields,
                                                      bool avoidStale, Micros timeout,
                                                      UpstreamRequestHandler& handler) {
    Server* server = find(id);
    if (!server) {  // never listed: use an address at which nobody listens, so that the request fails
        setAddress(id, net::Endpoint{boost::asio::ip::make_address("127.0.0.1"), 1});
        server = find(id);
    }
    return std::make_unique<PendingRequest>(
        *this, *server, http::requestBytes(method, target, server->address, fields), method == "HEAD",
        avoidStale, std::max<Micros>(timeout, 0), handler);
}

void UpstreamClient::notify(SfuId id, std::string_view method, const std::string& target,
                            const http::Fields& fields) {
    if (notifications_.size() >= limits_.releases) return;
    const std::uint64_t key = nextNotification_++;
    auto& notification = notifications_[key] =
        std::make_unique<Notification>(*this, key, id, method, target, fields);
    notification->send();
}

void UpstreamClient::serveQueue(Server& server) {
    while (!server.queue.empty()) {
        PendingRequest* next = server.queue.front();
        const auto choice =
            server.reuse.choose(net_.now(), next->avoidStale() ? ConnectionReusePolicy::Need::RecentlyUsed
                                                               : ConnectionReusePolicy::Need::Any);
        using Action = ConnectionReusePolicy::Choice::Action;
        if (choice.action == Action::Wait) return;
        if (choice.action == Action::Use) {
            const auto it = server.connections.find(choice.connection);
            if (it->second.connection->isClosed()) {  // closed by the media server while it was idle
                server.reuse.onClosed(choice.connection, false);
                server.connections.erase(it);
                continue;
            }
            server.queue.pop_front();
            server.reuse.onTaken(choice.connection);
            it->second.busy = true;
            next->useConnection(choice.connection, *it->second.connection, true);
            continue;
        }
        if (choice.action == Action::CloseAndOpen) {
            server.reuse.onClosed(choice.connection, false);
            server.connections.erase(choice.connection);
        }
        server.queue.pop_front();
        const ConnId id{nextConn_++};
        PooledConnection& pooled = server.connections[id];
        pooled.connection =
            std::make_unique<http::Connection>(net_, server.address, httpLimits_, limits_.connectTimeout);
        pooled.address = server.address;
        pooled.busy = true;
        server.reuse.onOpened(id);
        next->useConnection(id, *pooled.connection, false);
    }
}

void UpstreamClient::closeExpired() {
    for (auto& [id, server] : servers_) {
        while (const auto expired = server->reuse.expired(net_.now())) {
            server->reuse.onClosed(*expired, false);
            server->connections.erase(*expired);
        }
        for (auto it = server->connections.begin(); it != server->connections.end();) {
            if (!it->second.busy && it->second.connection->isClosed()) {
                server->reuse.onClosed(it->first, false);
                it = server->connections.erase(it);
            } else {
                ++it;
            }
        }
    }
    expiryTimer_.after(kSecond);
}

std::size_t UpstreamClient::connections() const {
    std::size_t sum = 0;
    for (const auto& [id, server] : servers_) sum += server->connections.size();
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
