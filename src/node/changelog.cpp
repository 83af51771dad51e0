#include "node/changelog.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace valekeel::node {
namespace {

constexpr std::size_t kHead = 9;  // number and kind
constexpr std::size_t kRecord = 27;

std::uint64_t bigEndian(const char* from, std::size_t bytes) {
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < bytes; ++i) out = out << 8 | static_cast<unsigned char>(from[i]);
    return out;
}

std::uint32_t idOf(const std::string& text, const std::string& where) {
    std::uint32_t id = 0;
    if (text.size() == 10 && text.compare(0, 2, "s-") == 0) {
        const auto [end, wrong] = std::from_chars(text.data() + 2, text.data() + 10, id, 16);
        if (wrong == std::errc{} && end == text.data() + 10) return id;
    }
    setup::throwInvalid(where, "'instanceId' is not 's-' and 8 hex digits");
}

ServerState standingOf(const std::string& text, const std::string& where) {
    if (text == "active") return ServerState::On;
    if (text == "leaving") return ServerState::Draining;
    if (text == "left") return ServerState::Off;
    setup::throwInvalid(where, "lifecycle '" + text + "' is none of active, leaving, left");
}

}  // namespace

std::vector<ChangeEvent> knownEvents(const setup::Json& known, const discovery::ListNames& names) {
    std::vector<ChangeEvent> out;
    std::size_t at = 0;
    for (const setup::Json& result : setup::array(known, "results", "known")) {
        const std::string where = "known.results[" + std::to_string(at++) + "]";
        ChangeEvent event;
        event.number = static_cast<std::uint64_t>(setup::integer(result, "seq", where));
        const setup::Json& fleet = setup::objectAt(result, "fleet", where);
        event.whole = setup::flag(fleet, "reset", where) || out.empty();
        for (const setup::Json& one : setup::array(fleet, "instances", where)) {
            discovery::ServerListEntry line;
            line.sfu.id = SfuId{idOf(setup::text(one, "instanceId", where), where)};
            line.sfu.standing = standingOf(setup::text(one, "lifecycle", where), where);
            if (const auto to = net::parseEndpoint(setup::textOr(one, "hostPort", "", where)))
                line.endpoint = *to;
            else if (line.sfu.standing != ServerState::Off)
                setup::throwInvalid(where, "'hostPort' is no address and port");
            if (setup::find(one, "zone"))
                line.sfu.zone = ZoneId{setup::indexOf(names.zones, setup::text(one, "zone", where), where)};
            if (setup::find(one, "machineType"))
                line.sfu.kind =
                    MachineKindId{setup::indexOf(names.kinds, setup::text(one, "machineType", where), where)};
            line.sfu.cell = Cell{setup::find(one, "cell") ? setup::uint32(one, "cell", where) : 0};
            line.sfu.size = setup::numberOr(one, "weight", 1, where);
            line.sfu.launched = static_cast<Micros>(setup::numberOr(one, "startedAtMs", 0, where)) * 1000;
            event.boxes.push_back(line);
        }
        out.push_back(std::move(event));
    }
    return out;
}

bool FrameReader::feed(std::string_view bytes,
                       const std::function<void(const ChangeEvent&, bool empty)>& heard) {
    held_ += bytes;
    std::size_t from = 0;
    const auto left = [&] { return held_.size() - from; };
    while (left() >= 4) {
        const std::uint64_t length = bigEndian(held_.data() + from, 4);
        if (length < kHead || length > kHead + most_ * kRecord || (length - kHead) % kRecord != 0)
            return false;
        if (left() < 4 + length) break;
        const char* at = held_.data() + from + 4;
        ChangeEvent event;
        event.number = bigEndian(at, 8);
        const int kind = at[8];
        if (kind < 0 || kind > 2 || (kind == 0 && length != kHead)) return false;
        event.whole = kind == 1;
        for (std::size_t record = kHead; record < length; record += kRecord) {
            const char* r = at + record;
            discovery::ServerListEntry line;
            const auto state = bigEndian(r + 10, 1), zone = bigEndian(r + 11, 1),
                       kindOf = bigEndian(r + 12, 1);
            if (state > 2 || zone >= std::max<std::size_t>(1, zones_) || kindOf >= kinds_) return false;
            line.sfu.id = SfuId{static_cast<std::uint32_t>(bigEndian(r, 4))};
            line.endpoint.ip =
                net::IpAddress(boost::asio::ip::address_v4(static_cast<std::uint32_t>(bigEndian(r + 4, 4))));
            line.endpoint.port = static_cast<std::uint16_t>(bigEndian(r + 8, 2));
            line.sfu.standing = state == 0   ? ServerState::On
                                : state == 1 ? ServerState::Draining
                                             : ServerState::Off;
            line.sfu.zone = ZoneId{static_cast<std::uint32_t>(zone)};
            line.sfu.kind = MachineKindId{static_cast<std::uint32_t>(kindOf)};
            line.sfu.cell = Cell{static_cast<std::uint32_t>(bigEndian(r + 13, 2))};
            line.sfu.size = static_cast<double>(bigEndian(r + 15, 4)) / 1000;
            line.sfu.launched = static_cast<Micros>(bigEndian(r + 19, 8)) * 1000;
            event.boxes.push_back(line);
        }
        heard(event, kind == 0);
        from += 4 + length;
    }
    held_.erase(0, from);
    return true;
}

ChangeLog::ChangeLog(net::Net& net, const net::Endpoint& at, std::uint64_t last, FrameReader reader,
                     const ChangeLogTimes& times, ChangeLogHandler& user)
    : net_(net),
      at_(at),
      last_(last),
      reader_(std::move(reader)),
      times_(times),
      user_(user),
      silent_(net, [this] { silence(); }),
      again_(net, [this] { open(); }),
      more_(net, [this] { onReadable(); }),
      wait_(times.again),
      patience_(times.silent) {}
ChangeLog::~ChangeLog() = default;

void ChangeLog::open() {
    // What lies unread on a connection that is left was told in time, and the next one to ask may not be up.
    if (stream_) onReadable();
    again_.cancel();
    more_.cancel();
    reader_.reset();
    sent_ = heard_ = false;
    stream_ = net_.connect(at_, *this);
    silent_.after(times_.connectWithin);
}

// The connection that stands is heard until the next is opened: no call of it meets a half-made move.
// All fronts are told to move at once: a little apart.
void ChangeLog::moveTo(const net::Endpoint& to) {
    if (to == at_ && stream_) return;  // if it is about to end there, that shows
    at_ = to;
    wait_ = times_.again;
    patience_ = times_.silent;
    well_ = true;
    again_.after(static_cast<Micros>(net_.randomBits() % static_cast<std::uint64_t>(times_.again)));
}

void ChangeLog::onConnected() {
    std::array<char, 8> number;
    for (std::size_t i = 0; i < 8; ++i) number[i] = static_cast<char>(last_ >> (56 - 8 * i) & 0xff);
    const net::IoResult put = stream_->write(std::string_view(number.data(), number.size()));
    if (put.bytes != number.size()) return lost("can't be asked");
    sent_ = true;
    askedAt_ = net_.now();
    silent_.after(patience_);
}

void ChangeLog::onReadable() {
    if (!stream_ || !sent_) return;
    std::array<char, 8192> buffer;
    for (int portion = 0; portion < 16; ++portion) {
        const net::IoResult got = stream_->read(buffer);
        if (got.status == net::IoResult::Status::WouldBlock) return;
        if (got.status != net::IoResult::Status::Ready) return lost("it broke off");
        gap_ = false;
        const bool readable =
            reader_.feed(std::string_view(buffer.data(), got.bytes),
                         [this](const ChangeEvent& event, bool empty) { frame(event, empty); });
        if (!readable) return lost("what it says is no frame");
        if (gap_) return lost("an event is missing");
    }
    more_.soon();
}

void ChangeLog::frame(const ChangeEvent& event, bool empty) {
    if (gap_) return;
    // Only whole frames count: guards against a peer that says half of one, or a byte now and then.
    heard_ = true;
    patience_ = times_.silent;
    silent_.after(patience_);
    if (empty) {
        if (event.number > last_ && gapFrom_ != last_ + 1) {
            gapFrom_ = last_ + 1;
            gap_ = true;
            return;
        }
        well_ = true;
        return user_.current();
    }
    if (event.number <= last_) return;  // told twice
    // Asked for once more from where it is missing; if it is missing there too, it does not exist.
    if (!event.whole && event.number != last_ + 1 && gapFrom_ != last_ + 1) {
        gapFrom_ = last_ + 1;
        gap_ = true;
        return;
    }
    well_ = true;
    last_ = event.number;
    user_.changed(event);
}

// Guards against asking for ever where each answer takes a little longer than is waited for it: a long list
// over a slow path, a change log that is late with its first word.
void ChangeLog::silence() {
    if (sent_ && !heard_) patience_ = std::min(2 * patience_, times_.silentAtMost);
    lost(sent_ ? "silent" : "no connection");
}

void ChangeLog::lost(const std::string& why) {
    silent_.cancel();
    more_.cancel();
    // At once: what it would call later meets nobody. It may be calling right now, which a stream allows for.
    stream_.reset();
    // Only one that has held is asked again at once: guards against a handshake for each word of one that
    // breaks whenever it is asked, times all fronts.
    if (heard_ && net_.now() - askedAt_ >= times_.beat) wait_ = times_.again;
    const Micros apart = static_cast<Micros>(net_.randomBits() % static_cast<std::uint64_t>(wait_));
    again_.after(wait_ / 2 + apart);  // all fronts may have lost it at once
    wait_ = std::min(2 * wait_, times_.againAtMost);
    if (std::exchange(well_, false)) user_.unreachable(why);
}

}  // namespace valekeel::node
