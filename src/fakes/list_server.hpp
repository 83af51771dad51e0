// Fake of the server list: server-sent events over HTTP, with fault injection. Writes a ledger line "told"
// for each box entry sent to a front (status 0: on, 1: fading, 2: off), with the front's name from its query.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/ledger.hpp"
#include "http/server.hpp"
#include "net/net.hpp"

namespace valekeel::fakes {

// One entry of the server list.
struct ListedBox {
    int id = 0, cell = 0;
    std::string at, kind, standing = "on";
    double size = 1;
    std::string zone{};       // empty: not sent
    Micros launchedWall = 0;  // launch time, wall clock; 0: not sent
};

// Listens from construction on; net and ledger must outlive it.
class ListServer final : public http::Handler {
  public:
    ListServer(net::Net&, const net::Endpoint&, Ledger&);
    ~ListServer() override;
    net::Endpoint endpoint() const { return server_->endpoint(); }
    // Adds or replaces entries and sends the change to all streams.
    void put(const std::vector<ListedBox>&);
    // ---- fault injection ----
    Micros late = 0;         // delay of each event
    bool repeats = false;    // sends each event again 300 ms later
    bool skips = false;      // drops every other change
    void unreachable(bool);  // true: resets connections and stops listening; false: listens again
    void cutShort();         // sends half an event, then resets

  private:
    class Stream;
    void onRequest(http::Exchange&) override;
    std::string format(const std::vector<ListedBox>&) const;
    void broadcast(const std::string& type, std::int64_t version, const std::vector<ListedBox>&);
    net::Net& net_;
    Ledger& ledger_;
    std::unique_ptr<http::Server> server_;
    std::map<int, ListedBox> boxes_;
    std::int64_t version_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
    std::vector<std::unique_ptr<Stream>> closed_;
    std::uint64_t nextKey_ = 1;
    net::Timer keepAlive_, cleanup_;
    std::vector<std::unique_ptr<net::Timer>> delayed_;
};

}  // namespace valekeel::fakes
