#include "http/client.hpp"

#include <array>

namespace valekeel::http {

Connection::Connection(net::Net& net, const net::Endpoint& to, const HttpLimits& limits,
                       Micros connectTimeout)
    : net_(net), limits_(limits), connecting_(net, [this] { fail(FetchError::NoConnection); }) {
    stream_ = net_.connect(to, *this);
    connecting_.after(connectTimeout);
    idleSince_ = net.now();
}

Connection::~Connection() {
    *alive_ = false;
}

void Connection::fetch(std::string request, bool headOnly, FetchHandler& handler) {
    handler_ = &handler;
    ++fetches_;
    out_ = std::move(request);
    wroteAny_ = gotAny_ = headReported_ = paused_ = false;
    parser_ = std::make_unique<Parser>(Parser::Kind::Response, limits_, static_cast<ParserHandler&>(*this));
    if (headOnly) parser_->expectNoBody();
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
    const net::IoResult written = stream_->write(out_);
    if (written.bytes > 0) wroteAny_ = true;
    out_.erase(0, written.bytes);
    if (written.status == net::IoResult::Status::Broken) {
        // The peer may have sent a response, such as a refusal, before it closed: read that first.
        mayRead_ = true;
        readResponse();
    }
}

void Connection::onReadable() {
    mayRead_ = true;
    readResponse();
}

void Connection::abandon() {
    connecting_.cancel();
    handler_ = nullptr;
    ended_ = true;
    // A reset, not a close: a server may take a close for the end of the request only and go on serving it.
    if (stream_) stream_->reset();
    stream_.reset();
}

void Connection::pause() {
    paused_ = true;
}

void Connection::resume() {
    if (!paused_) return;
    paused_ = false;
    readResponse();
}

// Reports only after the parser has returned, because the handler may delete this object or start another
// fetch.
bool Connection::report() {
    const auto alive = alive_;
    if (parser_->isHeadDone() && !headReported_) {
        headReported_ = true;
        handler_->onHead(parser_->response());
        if (!*alive) return false;
    }
    if (!body_.empty() && handler_) {
        std::string body;
        body.swap(body_);
        handler_->onBody(body);
        if (!*alive) return false;
        if (body_.empty()) {
            body.clear();
            body.swap(body_);  // keeps the capacity for the next piece
        }
    }
    return true;
}

void Connection::complete(bool kept) {
    idleSince_ = net_.now();
    parser_.reset();
    std::string().swap(body_);
    if (!kept) {
        ended_ = true;
        stream_.reset();
    }
    if (FetchHandler* handler = std::exchange(handler_, nullptr)) handler->onFetched(kept);
}

void Connection::readResponse() {
    if (reading_ || paused_) return;
    const auto alive = alive_;
    reading_ = true;
    std::array<char, 65'536> buffer;
    while (stream_ && mayRead_ && !paused_) {
        const net::IoResult received = stream_->read(buffer);
        if (received.bytes > 0) {
            if (!handler_) {  // unsolicited bytes: the connection must not be used again
                ended_ = receivedUnsolicited_ = true;
                stream_.reset();
                break;
            }
            gotAny_ = true;
            // Parsed in place; only the bytes that the parser leaves are copied.
            std::string_view bytes(buffer.data(), received.bytes);
            if (!in_.empty()) bytes = in_.append(bytes);
            const Parser::FeedResult result = parser_->feed(bytes);
            std::string rest(bytes.substr(result.used));
            in_.swap(rest);
            if (!report()) return;
            if (result.errorStatus || in_.size() > limits_.headBytes) {
                fail(FetchError::BadAnswer);
                if (!*alive) return;
                break;
            }
            if (handler_ && parser_ && parser_->isDone()) {
                if (parser_->response().status / 100 == 1) {  // an interim response: the final one follows
                    parser_ = std::make_unique<Parser>(Parser::Kind::Response, limits_,
                                                       static_cast<ParserHandler&>(*this));
                    headReported_ = false;
                    continue;
                }
                const bool kept = parser_->keepsConnection() && in_.empty() && out_.empty();
                reading_ = false;
                complete(kept);
                if (!*alive) return;
                reading_ = true;
            }
            continue;
        }
        mayRead_ = false;
        if (received.status == net::IoResult::Status::WouldBlock) break;
        if (!handler_) {
            ended_ = true;
            stream_.reset();
            break;
        }
        if (received.status == net::IoResult::Status::EndOfStream &&
            parser_->finish()) {  // the body extends to the end of the connection
            if (!report()) return;
            reading_ = false;
            complete(false);
            return;
        }
        fail(gotAny_     ? FetchError::BrokenAnswer
             : wroteAny_ ? FetchError::BrokenOut
                         : FetchError::NeverWritten);
        if (!*alive) return;
    }
    reading_ = false;
}

void Connection::fail(FetchError error) {
    connecting_.cancel();
    ended_ = true;
    stream_.reset();
    if (FetchHandler* handler = std::exchange(handler_, nullptr)) handler->onFailed(error);
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
