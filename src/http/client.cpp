#include "http/client.hpp"

#include <array>

namespace valekeel::http {

Connection::Connection(net::Net& net, const net::Endpoint& to, const HttpLimits& limits, Micros within)
    : net_(net), limits_(limits), connecting_(net, [this] { fail(FetchError::NoConnection); }) {
    stream_ = net_.connect(to, *this);
    connecting_.after(within);
    idleSince_ = net.now();
}

Connection::~Connection() {
    *alive_ = false;
}

void Connection::fetch(std::string head, bool headOnly, FetchHandler& user) {
    user_ = &user;
    ++fetches_;
    out_ = std::move(head);
    wroteAny_ = gotAny_ = headTold_ = paused_ = false;
    parser_ = std::make_unique<Parser>(Parser::Kind::Response, limits_, static_cast<ParserHandler&>(*this));
    if (headOnly) parser_->answersHead();
    if (connected_) flush();
}

void Connection::onConnected() {
    connecting_.cancel();
    connected_ = true;
    flush();
}

void Connection::onConnectFailed(net::ConnectError why) {
    fail(why == net::ConnectError::Refused ? FetchError::Refused : FetchError::NoConnection);
}

void Connection::onWritable() {
    if (connected_) flush();
}

void Connection::flush() {
    if (!stream_ || out_.empty()) return;
    const net::IoResult put = stream_->write(out_);
    if (put.bytes > 0) wroteAny_ = true;
    out_.erase(0, put.bytes);
    if (put.status == net::IoResult::Status::Broken) {
        mayRead_ = true;  // an answer may have come before the peer broke (a turn-away, say): read that first
        work();
    }
}

void Connection::onReadable() {
    mayRead_ = true;
    work();
}

void Connection::abandon() {
    connecting_.cancel();
    user_ = nullptr;
    ended_ = true;
    // Not a mere close: a server may take that for the end of the asking alone, and go on with what was
    // asked.
    if (stream_) stream_->reset();
    stream_.reset();
}

void Connection::pause() {
    paused_ = true;
}

void Connection::resume() {
    if (!paused_) return;
    paused_ = false;
    work();
}

// What was parsed is told after the parser has returned: its user may delete this object, or ask anew.
bool Connection::tell() {
    const auto alive = alive_;
    if (parser_->headDone() && !headTold_) {
        headTold_ = true;
        user_->onHead(parser_->response());
        if (!*alive) return false;
    }
    if (!pieces_.empty() && user_) {
        std::string pieces;
        pieces.swap(pieces_);
        user_->onBody(pieces);
        if (!*alive) return false;
        if (pieces_.empty()) {
            pieces.clear();
            pieces.swap(pieces_);  // keeps its room for the next
        }
    }
    return true;
}

void Connection::finished(bool kept) {
    idleSince_ = net_.now();
    parser_.reset();
    std::string().swap(pieces_);
    if (!kept) {
        ended_ = true;
        stream_.reset();
    }
    if (FetchHandler* user = std::exchange(user_, nullptr)) user->onFetched(kept);
}

void Connection::work() {
    if (working_ || paused_) return;
    const auto alive = alive_;
    working_ = true;
    std::array<char, 65'536> buffer;
    while (stream_ && mayRead_ && !paused_) {
        const net::IoResult got = stream_->read(buffer);
        if (got.bytes > 0) {
            if (!user_) {  // bytes that nobody asked for: this connection can't be trusted any more
                ended_ = unasked_ = true;
                stream_.reset();
                break;
            }
            gotAny_ = true;
            // What lies there is parsed where it lies; only what the parser leaves is kept.
            std::string_view bytes(buffer.data(), got.bytes);
            if (!in_.empty()) bytes = in_.append(bytes);
            const Parser::Fed fed = parser_->feed(bytes);
            std::string left(bytes.substr(fed.used));
            in_.swap(left);
            if (!tell()) return;
            if (fed.badStatus || in_.size() > limits_.headBytes) {
                fail(FetchError::BadAnswer);
                if (!*alive) return;
                break;
            }
            if (user_ && parser_ && parser_->done()) {
                if (parser_->response().status / 100 == 1) {  // interim: the answer is still to come
                    parser_ = std::make_unique<Parser>(Parser::Kind::Response, limits_,
                                                       static_cast<ParserHandler&>(*this));
                    headTold_ = false;
                    continue;
                }
                const bool kept = parser_->keepsConnection() && in_.empty() && out_.empty();
                working_ = false;
                finished(kept);
                if (!*alive) return;
                working_ = true;
            }
            continue;
        }
        mayRead_ = false;
        if (got.status == net::IoResult::Status::WouldBlock) break;
        if (!user_) {
            ended_ = true;
            stream_.reset();
            break;
        }
        if (got.status == net::IoResult::Status::EndOfStream &&
            parser_->ended()) {  // an answer that ends with the connection
            if (!tell()) return;
            working_ = false;
            finished(false);
            return;
        }
        fail(gotAny_     ? FetchError::BrokenAnswer
             : wroteAny_ ? FetchError::BrokenOut
                         : FetchError::NeverWritten);
        if (!*alive) return;
    }
    working_ = false;
}

void Connection::fail(FetchError how) {
    connecting_.cancel();
    ended_ = true;
    stream_.reset();
    if (FetchHandler* user = std::exchange(user_, nullptr)) user->onFailed(how);
}

std::string requestBytes(std::string_view method, std::string_view target, const net::Endpoint& host,
                         const Fields& fields, std::string_view body) {
    std::string out(method);
    out += ' ';
    for (const char c : target) {
        const auto byte = static_cast<unsigned char>(c);
        out += byte <= ' ' || byte == 127 ? '_' : c;
    }
    out += " HTTP/1.1\r\nHost: " + net::toString(host) + "\r\n";
    for (const Field& f : fields.all()) {
        out += f.name;
        out += ": ";
        for (const char c : f.value) out += c == '\r' || c == '\n' || c == '\0' ? ' ' : c;
        out += "\r\n";
    }
    if (!body.empty()) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n";
    out += body;
    return out;
}

}  // namespace valekeel::http
