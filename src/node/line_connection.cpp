#include "node/line_connection.hpp"

#include <algorithm>
#include <array>

namespace valekeel::node {
namespace {

constexpr std::size_t kPortion = 32 * 1024;  // read of one connection in one turn
constexpr Micros kLookAgain = 10'000;

}  // namespace

const char* nameOf(DisconnectReason gone) {
    static constexpr const char* kNames[] = {"refused", "no connection", "no descriptor", "closed",
                                             "broken",  "garbled",       "slow"};
    return kNames[static_cast<int>(gone)];
}

LineConnection::LineConnection(net::Net& net, State state, const Limits& limits, LineConnectionHandler& user)
    : net_(net),
      limits_(limits),
      user_(user),
      state_(state),
      heardAt_(net.now()),
      usedAt_(net.now()),
      late_(net, [this] { lose(DisconnectReason::NoConnect); }),
      more_(net, [this] { onReadable(); }),
      unfinished_(net, [this] { stillUnfinished(); }) {}

// ================= lingering close =================

class LingeringCloser::One final : public net::StreamHandler {
  public:
    One(LingeringCloser& all, std::unique_ptr<net::Stream> stream, std::string unsent)
        : all_(all),
          stream_(std::move(stream)),
          out_(std::move(unsent)),
          late_(all.net_, [this] { all_.end(*this); }),
          more_(all.net_, [this] { onReadable(); }) {
        stream_->setHandler(*this);
        late_.after(all_.limits_.time);
        more_.soon();  // what lies there unread makes no further edge
        onWritable();
    }
    void onReadable() override {
        std::array<char, 8192> buffer;
        for (std::size_t left = kPortion; left > 0 && stream_;) {
            const net::IoResult got = stream_->read(buffer);
            if (got.status == net::IoResult::Status::WouldBlock) return;
            // After the end of its writing it may still read: what is unsent here goes on.
            if (got.status == net::IoResult::Status::EndOfStream && !out_.empty()) return;
            discarded_ += got.bytes;
            if (got.status != net::IoResult::Status::Ready || discarded_ > all_.limits_.discarded)
                return all_.end(*this);
            left -= std::min(left, got.bytes);
        }
        if (stream_) more_.soon();
    }
    void onWritable() override {
        if (!stream_ || finished_) return;
        const net::IoResult put = stream_->write(out_);
        out_.erase(0, put.bytes);
        if (put.status == net::IoResult::Status::Broken)
            return more_.soon();  // reading finds it, and ends this
        if (!out_.empty()) return;
        finished_ = true;
        stream_->shutdownWrite();
        more_.soon();
    }
    void free() {
        late_.cancel();
        more_.cancel();
        stream_.reset();
    }

  private:
    LingeringCloser& all_;
    std::unique_ptr<net::Stream> stream_;
    std::string out_;
    std::size_t discarded_ = 0;
    bool finished_ = false;
    net::Timer late_, more_;
};

LingeringCloser::LingeringCloser(net::Net& net, const Limits& limits)
    : net_(net), limits_(limits), bury_(net, [this] { dead_.clear(); }) {}
LingeringCloser::~LingeringCloser() = default;

void LingeringCloser::take(std::unique_ptr<net::Stream> stream, std::string unsent) {
    if (all_.size() >= limits_.most) freeOldest();
    all_.push_back(std::make_unique<One>(*this, std::move(stream), std::move(unsent)));
}

void LingeringCloser::freeOldest() {
    if (!all_.empty()) end(*all_.front());
}

// The descriptor is free at once; the rest a turn later, as this may be called from within.
void LingeringCloser::end(One& one) {
    one.free();
    const auto it =
        std::find_if(all_.begin(), all_.end(), [&](const auto& held) { return held.get() == &one; });
    dead_.splice(dead_.end(), all_, it);
    bury_.soon();
}

// ================= wires =================

LineConnection::LineConnection(net::Net& net, std::unique_ptr<net::Stream> stream, const Limits& limits,
                               LineConnectionHandler& user, LingeringCloser& lingering)
    : LineConnection(net, State::Open, limits, user) {
    lingering_ = &lingering;
    stream_ = std::move(stream);
    stream_->setHandler(*this);
}

LineConnection::LineConnection(net::Net& net, const net::Endpoint& to, Micros connectWithin,
                               const Limits& limits, LineConnectionHandler& user)
    : LineConnection(net, State::Connecting, limits, user) {
    stream_ = net.connect(to, *this);
    late_.after(connectWithin);
}

LineConnection::~LineConnection() = default;

std::uint64_t LineConnection::say(std::string_view line) {
    const std::uint64_t at = said_;
    if (state_ == State::Closed) return at;
    said_ += line.size();
    usedAt_ = net_.now();
    out_ += line;
    if (state_ == State::Open) flush();
    return at;
}

// A write that finds the connection broken is told of by the next turn's edge, or by a slow reader's limit:
// never from within say(), whose caller is in the middle of something.
void LineConnection::flush() {
    if (out_.empty() || state_ != State::Open) return;
    const net::IoResult put = stream_->write(out_);
    taken_ += put.bytes;
    out_.erase(0, put.bytes);
    if (out_.empty() && out_.capacity() > 4096) std::string().swap(out_);
    if (put.status == net::IoResult::Status::Broken || out_.size() > limits_.unsent) more_.soon();
}

void LineConnection::onConnected() {
    state_ = State::Open;
    late_.cancel();
    heardAt_ = net_.now();
    flush();
    user_.opened();
}

void LineConnection::onConnectFailed(net::ConnectError why) {
    lose(why == net::ConnectError::Refused            ? DisconnectReason::Refused
         : why == net::ConnectError::OutOfDescriptors ? DisconnectReason::NoSocket
                                                      : DisconnectReason::NoConnect);
}

void LineConnection::onWritable() {
    const bool waited = !out_.empty();
    flush();
    if (waited && canSend()) user_.onDrained();
}

void LineConnection::onReadable() {
    if (state_ != State::Open) return;
    // Guards against a peer that asks on and on and never reads what it is told.
    if (out_.size() > limits_.unsent) return lose(DisconnectReason::Slow);
    std::array<char, 8192> buffer;
    for (std::size_t left = kPortion; left > 0;) {
        const net::IoResult got = stream_->read(buffer);
        if (got.status == net::IoResult::Status::WouldBlock) return;
        if (got.status == net::IoResult::Status::EndOfStream)
            return lose(in_.empty() ? DisconnectReason::Closed : DisconnectReason::Garbled);
        if (got.status == net::IoResult::Status::Broken) return lose(DisconnectReason::Broken);
        heardAt_ = net_.now();
        if (!takeLines(std::string_view(buffer.data(), got.bytes))) return;
        left -= std::min(left, got.bytes);
    }
    more_.soon();
}

// False once the wire is closed.
bool LineConnection::takeLines(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (in_.size() + std::min(end, bytes.size()) > limits_.line) {
            lose(DisconnectReason::Garbled);
            return false;
        }
        if (end == std::string_view::npos) {
            if (in_.empty()) {
                unfinishedLooks_ = 0;
                unfinished_.after(limits_.unfinished);
            }
            in_ += bytes;
            return true;
        }
        if (in_.empty()) {
            user_.line(bytes.substr(0, end));
        } else {
            unfinished_.cancel();
            std::string whole;
            whole.swap(in_);
            whole += bytes.substr(0, end);
            user_.line(whole);
        }
        if (state_ != State::Open) return false;
        bytes.remove_prefix(end + 1);
    }
    return true;
}

// Its rest may lie unread: a process that had no turn for a while comes to its timers before it reads. So it
// is read, a turn of the loop passes, and only then is it too late.
void LineConnection::stillUnfinished() {
    if (++unfinishedLooks_ > 1) return lose(DisconnectReason::Garbled);
    unfinished_.after(kLookAgain);
    onReadable();
}

void LineConnection::lose(DisconnectReason how) {
    if (state_ == State::Closed) return;
    // One that has gone, or does not read, is owed nothing more; one that has only finished writing may still
    // read what is unsent here.
    const bool reads = how == DisconnectReason::Garbled || (how == DisconnectReason::Closed && !out_.empty());
    shut(reads ? How::Lingering : How::AtOnce);
    user_.gone(how);
}

void LineConnection::close(bool hard) {
    shut(hard ? How::Reset : How::Lingering);
}

void LineConnection::shut(How how) {
    if (state_ == State::Closed) return;
    // A connect that failed is told from within the stream: that one dies with this wire. Its descriptor is
    // free at once, as the next connect may come before that.
    if (state_ == State::Connecting) {
        failed_ = std::move(stream_);
        failed_->reset();
    } else if (how == How::Reset) {
        stream_->reset();
    } else if (how == How::Lingering && lingering_ &&
               (!out_.empty() || (said_ > 0 && net_.now() - usedAt_ < lingering_->time()))) {
        lingering_->take(std::move(stream_), std::move(out_));
    }
    state_ = State::Closed;
    late_.cancel();
    more_.cancel();
    unfinished_.cancel();
    stream_.reset();
    std::string().swap(in_);
    std::string().swap(out_);
}

}  // namespace valekeel::node
