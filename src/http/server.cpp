#include "http/server.hpp"

#include <array>
#include <cstdio>
#include <optional>

#include "http/parse.hpp"

namespace valekeel::http {
namespace {

constexpr std::size_t kReadBytes = 16'384;
constexpr std::size_t kKeptBytes = 4 * 1024;  // of an empty buffer
constexpr Micros kTurnWaitRecheck = 10'000;
// Parsing, answering and logging a request, in the bytes that are handled in the same time.
constexpr std::size_t kWorkPerRequest = 4 * net::TurnQueue::kWorkPerMessage;

std::string serializeHead(int status, const Fields& fields, std::optional<std::uint64_t> length,
                          bool keepAlive) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += reasonPhrase(status);
    out += "\r\n";
    for (const Field& f : fields.all()) {
        out += f.name;
        out += ": ";
        for (const char c : f.value) out += c == '\r' || c == '\n' || c == '\0' ? ' ' : c;
        out += "\r\n";
    }
    if (!length)
        out += "Transfer-Encoding: chunked\r\n";
    else if (status != 204)
        out += "Content-Length: " + std::to_string(*length) + "\r\n";
    out += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    return out;
}

}  // namespace

class Server::ServerConnection final : public net::StreamHandler, public Exchange, private ParserHandler {
  public:
    ServerConnection(Server& server, std::uint64_t key, std::unique_ptr<net::Stream> stream)
        : server_(server),
          key(key),
          peer_(stream->peer()),
          stream_(std::move(stream)),
          timeout_(server.net_, [this] { onTimeout(); }),
          turn_(server.turns_, [this] { return process(); }),
          buffered_(server.buffers_, [this] { onOverMemoryLimit(); }) {
        stream_->setHandler(*this);
        startRequest();
        timeout_.after(server_.limits_.idleTimeout);
    }

    // ---- net::StreamHandler ----

    void onReadable() override {
        mayRead_ = true;
        processUnlessWaiting();
    }
    void onWritable() override {
        if (isClosed()) return;
        flush();
        processUnlessWaiting();
    }

    // ---- Exchange ----

    const RequestHead& head() const override { return parser_->request(); }
    const std::string& body() const override { return body_; }
    net::Endpoint peer() const override { return peer_; }
    void setHandler(ExchangeHandler* handler) override { exchangeHandler_ = handler; }

    void respond(int status, const Fields& fields, std::string_view body) override {
        if (state_ != State::Pending) return;
        decideKeepAlive();
        out_ += serializeHead(status, fields, body.size(), keepAlive_);
        if (head().method != "HEAD" && status != 204) out_ += body;
        finish();
    }
    void begin(int status, const Fields& fields, std::uint64_t length) override {
        if (state_ != State::Pending) return;
        decideKeepAlive();
        out_ += serializeHead(status, fields, length, keepAlive_);
        state_ = State::Sending;
        flush();
    }
    void beginChunked(int status, const Fields& fields) override {
        if (state_ != State::Pending) return;
        decideKeepAlive();
        chunked_ = true;
        out_ += serializeHead(status, fields, std::nullopt, keepAlive_);
        state_ = State::Sending;
        flush();
    }
    void send(std::string_view bytes) override {
        if (state_ != State::Sending || bytes.empty() || isClosed()) return;
        if (!chunked_ && unsent() == 0) {  // the usual case of a relay: written without copying
            const net::IoResult written = stream_->write(bytes);
            bytes.remove_prefix(written.bytes);
            if (written.status == net::IoResult::Status::Broken) return close();
            if (bytes.empty()) return;
        }
        if (chunked_) {
            char size[24];
            std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
            out_ += size;
        }
        out_ += bytes;
        if (chunked_) out_ += "\r\n";
        flush();
    }
    void finish() override {
        if (state_ != State::Pending && state_ != State::Sending) return;
        if (std::exchange(chunked_, false)) out_ += "0\r\n\r\n";
        state_ = State::Done;
        exchangeHandler_ = nullptr;
        flush();
        processUnlessWaiting();
    }
    std::size_t unsent() const override { return out_.size() - sent_; }
    void abort() override {
        exchangeHandler_ = nullptr;
        if (stream_) stream_->reset();
        close();
    }

    bool isBusy() const { return state_ == State::Pending || state_ == State::Sending || unsent() > 0; }
    bool isClosed() const { return !stream_; }
    void closeIfIdle() {
        if (!isClosed() && !isBusy() && in_.empty() && !requestStarted_) close();
    }
    void resetNow() {
        if (isClosed()) return;
        stream_->reset();
        close();
    }

  private:
    enum class State { Reading, Pending, Sending, Done };

    void onHeadParsed() override {}
    void onBodyParsed(std::string_view piece) override { body_ += piece; }
    void onEndParsed() override {}

    void startRequest() {
        parser_ = std::make_unique<Parser>(Parser::Kind::Request, server_.limits_,
                                           static_cast<ParserHandler&>(*this));
        std::string().swap(body_);
        headBytes_ = 0;
        requestStarted_ = false;
        state_ = State::Reading;
    }
    void decideKeepAlive() {
        keepAlive_ = parser_->keepsConnection() && !server_.shuttingDown_ && !peerEnded_;
    }

    void processUnlessWaiting() {
        if (!turn_.isWaiting()) process();
    }

    // Processes buffered input as far as one turn allows, and waits for the next turn if more is left. Calls
    // from within itself, such as by a handler that responds at once, only set `repeat_`. Returns the work
    // that was done.
    std::size_t process() {
        if (isClosed()) return 0;
        if (processing_) {
            repeat_ = true;
            return 0;
        }
        processing_ = true;
        work_ = 0;
        do {
            repeat_ = false;
            processOnce();
        } while (repeat_ && !isClosed() && work_ < net::TurnQueue::kWorkPerTurn);
        processing_ = false;
        updateBuffered();
        if (repeat_ && !isClosed()) turn_.wait();
        return work_;
    }

    void processOnce() {
        if (isClosed()) return;
        if (state_ == State::Done) {
            if (unsent() > 0) return;
            if (!keepAlive_) {
                stream_->shutdownWrite();
                close();
                return;
            }
            startRequest();
            timeout_.after(server_.limits_.idleTimeout);
            if (in_.empty()) in_.shrink_to_fit();
        }
        readInput();
        if (isClosed() || state_ != State::Reading) return;
        if (!in_.empty()) {
            if (!requestStarted_) {
                requestStarted_ = true;
                timeout_.after(server_.limits_.headTimeout);
            }
            const bool isHead = !parser_->isHeadDone();
            if (isHead) replaceControlCharacters();
            const Parser::FeedResult result = parser_->feed(in_);
            in_.erase(0, result.used);
            if (isHead) headBytes_ += result.used;
            if (result.errorStatus) {
                reject(result.errorStatus, result.why);
                return;
            }
        }
        if (parser_->isDone()) {
            state_ = State::Pending;
            timeout_.cancel();
            work_ += kWorkPerRequest;
            server_.handler_.onRequest(*this);
            if (!isClosed() && state_ == State::Done) repeat_ = true;
            return;
        }
        if (peerEnded_) {
            close();  // no more input: a request that was begun is cut short
            return;
        }
        if (mayRead_) repeat_ = true;
    }

    // Replaces control characters in the head, as RFC 9110, section 5.5, allows, so that a viewer with broken
    // hints is still served. CR, LF and NUL are kept; the parser rejects them where they are not allowed.
    void replaceControlCharacters() {
        const auto end = std::min(in_.find("\r\n\r\n"), in_.size());
        for (std::size_t i = 0; i < end; ++i) {
            const char c = in_[i];
            if ((c > 0 && c < 0x20 && c != '\t' && c != '\r' && c != '\n') || c == 0x7f) in_[i] = '?';
        }
    }

    // Reads what is available. What is buffered behind a pending response is bounded by the limit of the
    // head.
    void readInput() {
        const std::size_t maxBuffered = server_.limits_.headBytes + kReadBytes;
        while (mayRead_ && in_.size() < maxBuffered) {
            std::array<char, kReadBytes> buffer;
            const net::IoResult received = stream_->read(buffer);
            in_.append(buffer.data(), received.bytes);
            work_ += received.bytes;
            if (received.status == net::IoResult::Status::Ready) {
                if (state_ == State::Reading) return;
                continue;
            }
            mayRead_ = false;
            if (received.status == net::IoResult::Status::EndOfStream) peerEnded_ = true;
            if (received.status == net::IoResult::Status::Broken) close();
        }
    }

    void reject(int status, const std::string& why) {
        server_.handler_.onMalformedRequest(peer_, status, why);
        keepAlive_ = false;
        out_ += serializeHead(status, {}, 0, false);
        state_ = State::Done;
        flush();
        if (!isClosed()) repeat_ = true;
    }

    void flush() {
        if (isClosed()) return;
        const std::size_t before = unsent();
        while (unsent() > 0) {
            const net::IoResult written = stream_->write(std::string_view(out_).substr(sent_));
            sent_ += written.bytes;
            if (written.status == net::IoResult::Status::Broken) {
                close();
                return;
            }
            if (written.status == net::IoResult::Status::WouldBlock) break;
        }
        const bool progress = unsent() < before;
        if (unsent() == 0) {
            out_.clear();
            if (out_.capacity() > kKeptBytes) out_.shrink_to_fit();
            sent_ = 0;
        } else if (sent_ > out_.size() / 2) {
            out_.erase(0, sent_);
            sent_ = 0;
        }
        updateBuffered();
        if (unsent() > 0 && (progress || !timeout_.isSet())) timeout_.after(server_.limits_.stallTimeout);
        if (unsent() == 0 && (state_ == State::Pending || state_ == State::Sending)) timeout_.cancel();
        if (state_ == State::Sending && exchangeHandler_ && progress &&
            unsent() < server_.limits_.outBytes / 2)
            exchangeHandler_->onDrained();
    }

    void updateBuffered() {
        const std::size_t head = headBytes_ + parser_->request().fields.all().size() * sizeof(Field);
        buffered_.set(isClosed() ? 0 : head + in_.capacity() + body_.capacity() + out_.capacity());
    }

    // All connections together hold too much, and this one the most.
    void onOverMemoryLimit() {
        if (isClosed()) return;
        const std::string why = "all connections together hold too much unfinished input or unsent output";
        if (state_ == State::Reading) {
            reject(503, why);
            process();
        } else {
            server_.handler_.onMalformedRequest(peer_, 503, why);
            stream_->reset();  // the peer does not read
            close();
        }
    }

    void onTimeout() {
        if (isClosed()) return;
        if (turn_.isWaiting()) {  // its input is there, but unread
            timeout_.after(kTurnWaitRecheck);
            return;
        }
        if (state_ == State::Reading && requestStarted_) {
            reject(408, "the request was not whole in time");
            process();
            return;
        }
        if (unsent() > 0) stream_->reset();  // the peer does not read
        close();
    }

    void close() {
        if (isClosed()) return;
        timeout_.cancel();
        turn_.cancel();
        buffered_.set(0);
        std::string().swap(out_);
        sent_ = 0;
        stream_.reset();
        if (ExchangeHandler* handler = std::exchange(exchangeHandler_, nullptr)) handler->onConnectionLost();
        state_ = State::Done;
        server_.drop(*this);
    }

    Server& server_;

  public:
    const std::uint64_t key;

  private:
    net::Endpoint peer_;
    std::unique_ptr<net::Stream> stream_;
    net::Timer timeout_;
    net::TurnQueue::Member turn_;
    net::BufferBudget::Holder buffered_;
    std::size_t work_ = 0;       // in this turn
    std::size_t headBytes_ = 0;  // of the request's head that were parsed
    std::unique_ptr<Parser> parser_;
    std::string in_, out_, body_;
    std::size_t sent_ = 0;
    State state_ = State::Reading;
    ExchangeHandler* exchangeHandler_ = nullptr;
    bool mayRead_ = false, peerEnded_ = false, keepAlive_ = true, requestStarted_ = false;
    bool processing_ = false, repeat_ = false, chunked_ = false;
};

Server::Server(net::Net& net, const net::Endpoint& endpoint, const HttpLimits& limits, Handler& handler)
    : net_(net),
      limits_(limits),
      handler_(handler),
      turns_(net),
      buffers_(net, limits.bufferedBytes),
      deletion_(net, [this] { closed_.clear(); }) {
    listener_ = net_.listen(endpoint, *this);
    endpoint_ = listener_->endpoint();
}
Server::~Server() = default;

void Server::listenAgain() {
    if (!listener_) listener_ = net_.listen(endpoint_, *this);
}

void Server::onAccepted(std::unique_ptr<net::Stream> stream) {
    const net::Endpoint peer = stream->peer();
    if (open_.size() >= limits_.connections || shuttingDown_ || !handler_.acceptsConnection(peer)) {
        stream->reset();
        return;
    }
    const std::uint64_t key = nextKey_++;
    open_[key] = std::make_unique<ServerConnection>(*this, key, std::move(stream));
}

void Server::drop(ServerConnection& connection) {
    const auto it = open_.find(connection.key);
    if (it == open_.end()) return;
    handler_.onConnectionClosed(connection.peer());
    closed_.push_back(std::move(it->second));  // may be on the call stack: deleted later
    open_.erase(it);
    deletion_.soon();
    if (shuttingDown_ && open_.empty() && onIdle_) std::exchange(onIdle_, nullptr)();
}

void Server::shutDown(std::function<void()> onIdle) {
    listener_.reset();
    shuttingDown_ = true;
    onIdle_ = std::move(onIdle);
    std::vector<ServerConnection*> connections;
    for (auto& [key, connection] : open_) connections.push_back(connection.get());
    for (ServerConnection* connection : connections) connection->closeIfIdle();
    if (open_.empty() && onIdle_) std::exchange(onIdle_, nullptr)();
}

void Server::resetAll() {
    std::vector<ServerConnection*> connections;
    for (auto& [key, connection] : open_) connections.push_back(connection.get());
    for (ServerConnection* connection : connections) connection->resetNow();
}

}  // namespace valekeel::http
