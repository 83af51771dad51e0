// Stand-in for the list of boxes: server-sent events over HTTP, with faults. Ledger lines: "told" for each
// line of a box as it goes out to a front (status 0: on, 1: fading, 2: off), by the front's own name in the
// query.
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

struct ListedBox {
    int id = 0, cell = 0;
    std::string at, kind, standing = "on";
    double size = 1;
    std::string zone{};  // none: not told
    Micros launchedWall = 0;
};

class ListServer final : public http::Handler {
  public:
    ListServer(net::Net&, const net::Endpoint&, Ledger&);
    ~ListServer() override;
    net::Endpoint endpoint() const { return server_->endpoint(); }
    void put(const std::vector<ListedBox>&);  // changes; told to all that follow
    // ---- faults ----
    Micros late = 0;         // each event goes out so much later
    bool repeats = false;    // each event is sent twice, the second time late
    bool skips = false;      // every other change is not sent
    void unreachable(bool);  // connections are reset, and nobody listens
    void cutShort();         // half an event, then a reset

  private:
    class Stream;
    void onRequest(http::Exchange&) override;
    std::string text(const std::vector<ListedBox>&) const;
    void send(const std::string& type, std::int64_t version, const std::vector<ListedBox>&);
    net::Net& net_;
    Ledger& ledger_;
    std::unique_ptr<http::Server> server_;
    std::map<int, ListedBox> boxes_;
    std::int64_t version_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
    std::vector<std::unique_ptr<Stream>> dead_;
    std::uint64_t next_ = 1;
    net::Timer beat_, bury_;
    std::vector<std::unique_ptr<net::Timer>> later_;
};

}  // namespace valekeel::fakes
