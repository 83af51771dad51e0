#include "fakes/list_server.hpp"

namespace valekeel::fakes {

class ListServer::Stream final : public http::ExchangeHandler {
  public:
    Stream(ListServer& list, std::uint64_t key, std::string front, http::Exchange& exchange)
        : list(list), key(key), front(std::move(front)), exchange(&exchange) {
        exchange.setHandler(this);
    }
    ~Stream() override {
        if (exchange) exchange->setHandler(nullptr);
    }
    void onConnectionLost() override {
        exchange = nullptr;
        const auto it = list.streams_.find(key);
        if (it == list.streams_.end()) return;
        list.closed_.push_back(std::move(it->second));
        list.streams_.erase(it);
        list.cleanup_.soon();
    }
    // Sends one event and records each of its boxes in the ledger.
    void sendEvent(const std::string& type, std::int64_t version, const std::string& data,
                   const std::vector<ListedBox>& boxes) {
        if (!exchange) return;
        std::string out = "event: " + type + "\nid: " + std::to_string(version) + "\n";
        std::size_t start = 0;
        while (start < data.size()) {
            const auto end = std::min(data.find('\n', start), data.size());
            out += "data: " + data.substr(start, end - start) + "\n";
            start = end + 1;
        }
        for (const ListedBox& box : boxes) {
            Line l;
            l.at = list.net_.now();
            l.what = "told";
            l.front = front;
            l.box = box.id;
            l.status = box.standing == "on" ? 0 : box.standing == "fading" ? 1 : 2;
            list.ledger_.add(l);
        }
        exchange->send(out + "\n");
    }
    ListServer& list;
    std::uint64_t key;
    std::string front;
    http::Exchange* exchange;
};

ListServer::ListServer(net::Net& net, const net::Endpoint& at, Ledger& ledger)
    : net_(net),
      ledger_(ledger),
      keepAlive_(net,
                 [this] {
                     // Writing to a closed connection removes its stream from streams_.
                     std::vector<Stream*> all;
                     for (auto& [key, stream] : streams_) all.push_back(stream.get());
                     for (Stream* stream : all)
                         if (stream->exchange) stream->exchange->send(": still here\n\n");
                     keepAlive_.after(kSecond);
                 }),
      cleanup_(net, [this] { closed_.clear(); }) {
    server_ = std::make_unique<http::Server>(net, at, http::HttpLimits{}, *this);
    keepAlive_.after(kSecond);
}
ListServer::~ListServer() {
    streams_.clear();
    closed_.clear();
}

std::string ListServer::format(const std::vector<ListedBox>& boxes) const {
    std::string out;
    for (const ListedBox& b : boxes) {
        out += "box " + std::to_string(b.id) + " at=\"" + b.at + "\" standing=\"" + b.standing +
               "\" cell=" + std::to_string(b.cell) + " kind=\"" + b.kind +
               "\" size=" + std::to_string(b.size);
        if (!b.zone.empty()) out += " zone=\"" + b.zone + "\"";
        if (b.launchedWall > 0) out += " launched-us=" + std::to_string(b.launchedWall);
        out += "\n";
    }
    return out;
}

void ListServer::onRequest(http::Exchange& exchange) {
    http::Fields fields;
    fields.add("Content-Type", "text/event-stream");
    fields.add("Cache-Control", "no-store");
    const std::string front = http::queryValue(exchange.head().query(), "front").value_or("");
    const std::string* last = exchange.head().fields.find("Last-Event-ID");
    const std::uint64_t key = nextKey_++;
    auto& stream = streams_[key] = std::make_unique<Stream>(*this, key, front, exchange);
    exchange.beginChunked(200, fields);
    // A client that is up to date gets only further changes, any other one the whole list.
    if (last && *last == std::to_string(version_)) return;
    std::vector<ListedBox> all;
    for (const auto& [id, box] : boxes_)
        if (box.standing != "off") all.push_back(box);
    stream->sendEvent("list", version_, format(all), all);
}

void ListServer::broadcast(const std::string& type, std::int64_t version,
                           const std::vector<ListedBox>& boxes) {
    std::vector<Stream*> all;
    for (auto& [key, stream] : streams_) all.push_back(stream.get());
    const std::string data = format(boxes);
    for (Stream* stream : all) stream->sendEvent(type, version, data, boxes);
}

void ListServer::put(const std::vector<ListedBox>& boxes) {
    for (const ListedBox& box : boxes) boxes_[box.id] = box;
    const std::int64_t version = ++version_;
    if (skips && version % 2 == 0) return;
    const auto sendAfter = [&](Micros wait) {
        std::erase_if(delayed_, [](const auto& t) { return !t->isSet(); });
        delayed_.push_back(std::make_unique<net::Timer>(
            net_, [this, version, boxes] { broadcast("change", version, boxes); }));
        delayed_.back()->after(wait);
    };
    if (late > 0)
        sendAfter(late);
    else
        broadcast("change", version, boxes);
    if (repeats) sendAfter(late + 300'000);
}

void ListServer::unreachable(bool isUnreachable) {
    if (isUnreachable) {
        server_->stopListening();
        server_->resetAll();
    } else {
        server_->listenAgain();
    }
}

void ListServer::cutShort() {
    std::vector<Stream*> all;
    for (auto& [key, stream] : streams_) all.push_back(stream.get());
    for (Stream* stream : all) {
        if (stream->exchange) stream->exchange->send("event: change\nid: 999999\ndata: box 1 at=\"127.");
        if (stream->exchange) stream->exchange->abort();
        stream->onConnectionLost();
    }
}

}  // namespace valekeel::fakes
