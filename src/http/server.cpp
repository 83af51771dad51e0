#include "http/server.hpp"

#include <array>
#include <cstdio>
#include <optional>

#include "http/parse.hpp"

namespace valekeel::http {
namespace {

constexpr std::size_t kChunk = 16'384;

std::string headOf(int status, const Fields& fields, std::optional<std::uint64_t> length, bool keep) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += reasonOf(status);
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
    out += keep ? "\r\n" : "Connection: close\r\n\r\n";
    return out;
}

}  // namespace

class Server::Conn final : public net::StreamHandler, public Exchange, private ParserHandler {
  public:
    Conn(Server& server, std::uint64_t key, std::unique_ptr<net::Stream> stream)
        : server_(server),
          key(key),
          peer_(stream->peer()),
          stream_(std::move(stream)),
          guard_(server.net_, [this] { tooSlow(); }) {
        stream_->setHandler(*this);
        freshParser();
        guard_.after(server_.limits_.idleTimeout);
    }

    // ---- what the stream says ----

    void onReadable() override {
        mayRead_ = true;
        work();
    }
    void onWritable() override {
        if (dead()) return;
        flush();
        if (!dead()) work();
    }

    // ---- what who answers says ----

    const RequestHead& head() const override { return parser_->request(); }
    const std::string& body() const override { return body_; }
    net::Endpoint peer() const override { return peer_; }
    void setHandler(ExchangeHandler* user) override { user_ = user; }

    void respond(int status, const Fields& fields, std::string_view body) override {
        if (state_ != State::Owed) return;
        decideKeep();
        out_ += headOf(status, fields, body.size(), keep_);
        if (head().method != "HEAD" && status != 204) out_ += body;
        finish();
    }
    void begin(int status, const Fields& fields, std::uint64_t length) override {
        if (state_ != State::Owed) return;
        decideKeep();
        out_ += headOf(status, fields, length, keep_);
        state_ = State::Sending;
        flush();
    }
    void beginChunked(int status, const Fields& fields) override {
        if (state_ != State::Owed) return;
        decideKeep();
        chunked_ = true;
        out_ += headOf(status, fields, std::nullopt, keep_);
        state_ = State::Sending;
        flush();
    }
    void send(std::string_view bytes) override {
        if (state_ != State::Sending || bytes.empty() || dead()) return;
        if (!chunked_ && unsent() == 0) {  // the usual case of a relay: nothing is copied
            const net::IoResult put = stream_->write(bytes);
            bytes.remove_prefix(put.bytes);
            if (put.status == net::IoResult::Status::Broken) return die();
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
        if (state_ != State::Owed && state_ != State::Sending) return;
        if (std::exchange(chunked_, false)) out_ += "0\r\n\r\n";
        state_ = State::Done;
        user_ = nullptr;
        flush();
        if (!dead()) work();
    }
    std::size_t unsent() const override { return out_.size() - sent_; }
    void abort() override {
        user_ = nullptr;
        if (stream_) stream_->reset();
        die();
    }

    bool busy() const { return state_ == State::Owed || state_ == State::Sending || unsent() > 0; }
    bool dead() const { return !stream_; }
    void closeIfIdle() {
        if (!dead() && !busy() && in_.empty() && !started_) die();
    }
    void resetNow() {
        if (dead()) return;
        stream_->reset();
        die();
    }

  private:
    enum class State { Reading, Owed, Sending, Done };

    void onHeadParsed() override {}
    void onBodyParsed(std::string_view piece) override { body_ += piece; }
    void onEndParsed() override {}

    void freshParser() {
        parser_ = std::make_unique<Parser>(Parser::Kind::Request, server_.limits_,
                                           static_cast<ParserHandler&>(*this));
        body_.clear();
        started_ = false;
        state_ = State::Reading;
    }
    void decideKeep() { keep_ = parser_->keepsConnection() && !server_.finishing_ && !peerEnded_; }

    // Goes on as far as bytes and room allow. Never re-enters itself: an answer given at once comes back
    // here.
    void work() {
        if (working_) {
            again_ = true;
            return;
        }
        working_ = true;
        do {
            again_ = false;
            step();
        } while (again_ && !dead());
        working_ = false;
    }

    void step() {
        if (dead()) return;
        if (state_ == State::Done) {
            if (unsent() > 0) return;
            if (!keep_) {
                stream_->shutdownWrite();
                die();
                return;
            }
            freshParser();
            guard_.after(server_.limits_.idleTimeout);
            if (in_.empty()) in_.shrink_to_fit();
        }
        take();
        if (dead() || state_ != State::Reading) return;
        if (!in_.empty()) {
            if (!started_) {
                started_ = true;
                guard_.after(server_.limits_.headTimeout);
            }
            if (!parser_->headDone()) softenHead();
            const Parser::Fed fed = parser_->feed(in_);
            in_.erase(0, fed.used);
            if (fed.badStatus) {
                refuse(fed.badStatus, fed.why);
                return;
            }
        }
        if (parser_->done()) {
            state_ = State::Owed;
            guard_.cancel();
            server_.handler_.onRequest(*this);
            if (!dead() && state_ == State::Done) again_ = true;
            return;
        }
        if (peerEnded_) {
            die();  // nothing more can come: whatever was begun was cut short
            return;
        }
        if (mayRead_) again_ = true;
    }

    // Control characters within a head are no reason to lose a viewer whose hints are broken: RFC 9110,
    // section 5.5, lets them be replaced. CR, LF and NUL stay as they are, and are refused where they don't
    // belong.
    void softenHead() {
        const auto end = std::min(in_.find("\r\n\r\n"), in_.size());
        for (std::size_t i = 0; i < end; ++i) {
            const char c = in_[i];
            if ((c > 0 && c < 0x20 && c != '\t' && c != '\r' && c != '\n') || c == 0x7f) in_[i] = '?';
        }
    }

    // Reads on while there is room: what waits behind an answer that is owed is bounded by the head's limit.
    void take() {
        const std::size_t room = server_.limits_.headBytes + kChunk;
        while (mayRead_ && in_.size() < room) {
            std::array<char, kChunk> buffer;
            const net::IoResult got = stream_->read(buffer);
            in_.append(buffer.data(), got.bytes);
            if (got.status == net::IoResult::Status::Ready) {
                if (state_ == State::Reading) return;
                continue;
            }
            mayRead_ = false;
            if (got.status == net::IoResult::Status::EndOfStream) peerEnded_ = true;
            if (got.status == net::IoResult::Status::Broken) die();
        }
    }

    void refuse(int status, const std::string& why) {
        server_.handler_.onMalformedRequest(peer_, status, why);
        keep_ = false;
        out_ += headOf(status, {}, 0, false);
        state_ = State::Done;
        flush();
        if (!dead()) again_ = true;
    }

    void flush() {
        if (dead()) return;
        const std::size_t before = unsent();
        while (unsent() > 0) {
            const net::IoResult put = stream_->write(std::string_view(out_).substr(sent_));
            sent_ += put.bytes;
            if (put.status == net::IoResult::Status::Broken) {
                die();
                return;
            }
            if (put.status == net::IoResult::Status::WouldBlock) break;
        }
        const bool moved = unsent() < before;
        if (unsent() == 0) {
            out_.clear();
            if (out_.capacity() > 4 * kChunk) out_.shrink_to_fit();
            sent_ = 0;
        } else if (sent_ > out_.size() / 2) {
            out_.erase(0, sent_);
            sent_ = 0;
        }
        if (unsent() > 0 && (moved || !guard_.isSet())) guard_.after(server_.limits_.stallTimeout);
        if (unsent() == 0 && (state_ == State::Owed || state_ == State::Sending)) guard_.cancel();
        if (state_ == State::Sending && user_ && moved && unsent() < server_.limits_.outBytes / 2)
            user_->onDrained();
    }

    void tooSlow() {
        if (dead()) return;
        if (state_ == State::Reading && started_) {
            refuse(408, "the request was not whole in time");
            work();
            return;
        }
        if (unsent() > 0) stream_->reset();  // a reader that takes nothing
        die();
    }

    void die() {
        if (dead()) return;
        guard_.cancel();
        stream_.reset();
        if (ExchangeHandler* user = std::exchange(user_, nullptr)) user->onConnectionLost();
        state_ = State::Done;
        server_.drop(*this);
    }

    Server& server_;

  public:
    const std::uint64_t key;

  private:
    net::Endpoint peer_;
    std::unique_ptr<net::Stream> stream_;
    net::Timer guard_;
    std::unique_ptr<Parser> parser_;
    std::string in_, out_, body_;
    std::size_t sent_ = 0;
    State state_ = State::Reading;
    ExchangeHandler* user_ = nullptr;
    bool mayRead_ = false, peerEnded_ = false, keep_ = true, started_ = false;
    bool working_ = false, again_ = false, chunked_ = false;
};

Server::Server(net::Net& net, const net::Endpoint& at, const HttpLimits& limits, Handler& handler)
    : net_(net), limits_(limits), handler_(handler), bury_(net, [this] { dead_.clear(); }) {
    listener_ = net_.listen(at, *this);
    at_ = listener_->endpoint();
}
Server::~Server() = default;

void Server::listenAgain() {
    if (!listener_) listener_ = net_.listen(at_, *this);
}

void Server::onAccepted(std::unique_ptr<net::Stream> stream) {
    const net::Endpoint peer = stream->peer();
    if (open_.size() >= limits_.connections || finishing_ || !handler_.acceptsConnection(peer)) {
        stream->reset();
        return;
    }
    const std::uint64_t key = next_++;
    open_[key] = std::make_unique<Conn>(*this, key, std::move(stream));
}

void Server::drop(Conn& conn) {
    const auto it = open_.find(conn.key);
    if (it == open_.end()) return;
    handler_.onConnectionClosed(conn.peer());
    dead_.push_back(std::move(it->second));  // it may be on the stack: buried a moment later
    open_.erase(it);
    bury_.soon();
    if (finishing_ && open_.empty() && idle_) std::exchange(idle_, nullptr)();
}

void Server::shutDown(std::function<void()> idle) {
    listener_.reset();
    finishing_ = true;
    idle_ = std::move(idle);
    std::vector<Conn*> all;
    for (auto& [key, conn] : open_) all.push_back(conn.get());
    for (Conn* conn : all) conn->closeIfIdle();
    if (open_.empty() && idle_) std::exchange(idle_, nullptr)();
}

void Server::resetAll() {
    std::vector<Conn*> all;
    for (auto& [key, conn] : open_) all.push_back(conn.get());
    for (Conn* conn : all) conn->resetNow();
}

}  // namespace valekeel::http
