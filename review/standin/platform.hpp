// Stand-ins of the platform round one front node, by its protocol page: media servers, the change log and
// viewers. They record what crossed their sockets.
#pragma once

#include "loop.hpp"

namespace review {

inline Json message(const std::string& verb, const std::string& tag, int cause = -1) {
    Json out{{"verb", verb}, {"tag", tag}, {"opts", Json::object()}};
    if (cause >= 0) out["rc"] = cause;
    return out;
}

// A media server. It sets up what it is asked for, tells it on the connection of the set-up, and sends a
// release with cause 31 for what its front node cuts.
class MediaServer {
  public:
    struct Setup {
        double arrivedAt = 0, startedAt = 0, endedAt = 0;  // 0: not yet
        std::string how;                                   // it ended
    };
    double setupTime = 0.06;
    // Called when an answer is written, before it is sent.
    std::function<void(Connection&, const std::string& tag, int number)> beforeAnswer;
    std::map<std::string, std::vector<Setup>> setups;  // by id
    int finishes = 0;                                  // received from the front node
    bool isQuiet = false;                              // connections are not recorded

    MediaServer(Loop& loop, Record& record, std::string id) : loop_(loop), record_(record), id_(std::move(id)) {
        listener_ = listenOnLoopback(port_);
        watchListener();
        report();
    }
    double linkUse = 0.4, toldEvery = 2.5;  // told at set-up, and then on one session that plays
    std::uint16_t port() const { return port_; }
    const std::string& id() const { return id_; }
    // A session that plays here already when the test begins.
    void adopt(const std::string& tag) { standing_[tag] = nullptr; }
    bool isStanding(const std::string& tag) const { return standing_.count(tag) > 0; }
    std::size_t openConnections() const {
        std::size_t count = 0;
        for (const auto& connection : connections_) count += connection->isOpen();
        return count;
    }
    // Takes no new connection: the next ones are refused.
    void refuseConnections() {
        if (listener_ < 0) return;
        loop_.forget(listener_);
        close(listener_);
        listener_ = -1;
        record_.line("%s refuses new connections from now on; %zu are open", id_.c_str(), openConnections());
    }
    void note(const std::string& tag, const std::string& kind, double value) {
        Json note = message("NOTICE", tag);
        note["opts"] = {{"note", kind}, {"value", value}};
        if (const auto connection = connectionFor(tag)) sendOn(*connection, note);
    }
    // The session has come to its end.
    void finish(const std::string& tag) {
        const auto it = standing_.find(tag);
        if (it == standing_.end()) return;
        const auto connection = connectionFor(tag);
        standing_.erase(it);
        if (!setups[tag].empty()) end(setups[tag].back(), "ok");
        if (connection) sendOn(*connection, message("FINISH", tag, 16));
    }

  private:
    void watchListener() {
        loop_.watch(listener_, [this](short) {
            for (;;) {
                const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) return;
                onAccepted(Connection::accepted(loop_, fd));
            }
        });
    }
    void onAccepted(const std::shared_ptr<Connection>& connection) {
        if (!isQuiet) record_.line("%s accepts connection %zu", id_.c_str(), connections_.size());
        connections_.push_back(connection);
        auto reader = std::make_shared<LineReader>();
        connection->onBytes = [this, raw = connection.get(), reader](const std::string& bytes) {
            for (const Json& received : reader->feed(bytes)) onMessage(raw->shared_from_this(), received);
        };
    }
    void onMessage(const std::shared_ptr<Connection>& connection, const Json& received) {
        const std::string verb = received.value("verb", ""), tag = received.value("tag", "");
        record_.line("%s <- %s", id_.c_str(), received.dump().c_str());
        if (verb == "FINISH") {
            ++finishes;
            pending_.erase(tag);
            if (standing_.erase(tag)) {
                if (!setups[tag].empty()) end(setups[tag].back(), "ended by the front node");
                sendOn(*connection, message("FINISH", tag, 31));
            }
        }
        if (verb != "START") return;
        setups[tag].push_back({record_.elapsed(), 0, 0, ""});
        const int number = ++number_;
        pending_[tag] = number;
        loop_.after(setupTime, [this, connection, tag, number] {
            const auto it = pending_.find(tag);
            if (it == pending_.end() || it->second != number) return;  // given up meanwhile
            pending_.erase(it);
            if (!connection->isOpen()) return;  // its connection has closed: given up
            setups[tag].back().startedAt = record_.elapsed();
            standing_[tag] = connection;
            record_.line("%s plays %s", id_.c_str(), tag.c_str());
            if (beforeAnswer) beforeAnswer(*connection, tag, static_cast<int>(setups[tag].size()));
            Json answer = message("STARTED", tag);
            answer["blob"] = "v=0 " + tag + " at " + id_;
            sendOn(*connection, answer);
            note(tag, "link_use", linkUse);
        });
    }
    void report() {
        if (!standing_.empty()) note(standing_.begin()->first, "link_use", linkUse);
        loop_.after(toldEvery, [this] { report(); });
    }
    void end(Setup& setup, const char* how) {
        setup.endedAt = record_.elapsed();
        setup.how = how;
    }
    void sendOn(Connection& connection, const Json& sent) {
        record_.line("%s writes %s", id_.c_str(), sent.dump().c_str());
        connection.send(sent.dump() + "\n");
    }
    std::shared_ptr<Connection> connectionFor(const std::string& tag) {
        const auto it = standing_.find(tag);
        if (it != standing_.end() && it->second && it->second->isOpen()) return it->second;
        for (const auto& connection : connections_)
            if (connection->isOpen()) return connection;
        return nullptr;
    }
    Loop& loop_;
    Record& record_;
    std::string id_;
    std::uint16_t port_ = 0;
    int listener_ = -1, number_ = 0;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::map<std::string, std::shared_ptr<Connection>> standing_;  // with the connection of the set-up
    std::map<std::string, int> pending_;
};

// A change log that has nothing to tell beyond the configuration's events: an empty frame each second.
class ChangeLog {
  public:
    ChangeLog(Loop& loop, std::uint64_t last) : loop_(loop), last_(last) {
        listener_ = listenOnLoopback(port_);
        loop_.watch(listener_, [this](short) {
            for (;;) {
                const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) return;
                connections_.push_back(Connection::accepted(loop_, fd));
                connections_.back()->onBytes = [this, raw = connections_.back().get()](const std::string&) {
                    raw->send(emptyFrame());
                };
            }
        });
        beat();
    }
    std::uint16_t port() const { return port_; }

  private:
    std::string emptyFrame() const {
        std::string frame("\0\0\0\x09", 4);
        for (int shift = 56; shift >= 0; shift -= 8) frame += static_cast<char>(last_ >> shift & 0xff);
        return frame + '\0';
    }
    void beat() {
        for (const auto& connection : connections_) connection->send(emptyFrame());
        loop_.after(1, [this] { beat(); });
    }
    Loop& loop_;
    std::uint64_t last_;
    std::uint16_t port_ = 0;
    int listener_;
    std::vector<std::shared_ptr<Connection>> connections_;
};

// A connection of viewers to the front node, and what came back on it.
class Viewers {
  public:
    Viewers(Loop& loop, Record& record, std::string name, std::uint16_t port)
        : record_(record), name_(std::move(name)), connection_(Connection::connect(loop, port)) {
        auto reader = std::make_shared<LineReader>();
        connection_->onBytes = [this, reader](const std::string& bytes) {
            for (const Json& received : reader->feed(bytes)) {
                record_.line("%s <- %s", name_.c_str(), received.dump().c_str());
                answers[received.value("tag", "")].push_back({record_.elapsed(), received});
                if (received.value("verb", "") == "FINISH") send(message("FINISHED", received.value("tag", "")));
            }
        };
        connection_->onClosed = [this] {
            closedAt = record_.elapsed();
            record_.line("%s: its connection has ended", name_.c_str());
        };
    }
    void send(const Json& sent) {
        record_.line("%s writes %s", name_.c_str(), sent.dump().c_str());
        connection_->send(sent.dump() + "\n");
    }
    Connection& connection() { return *connection_; }
    // The time of the first message with this verb for this id, or -1.
    double timeOf(const std::string& tag, const std::string& verb) const {
        const auto it = answers.find(tag);
        if (it != answers.end())
            for (const auto& [at, received] : it->second)
                if (received.value("verb", "") == verb) return at;
        return -1;
    }
    std::map<std::string, std::vector<std::pair<double, Json>>> answers;  // by id
    double closedAt = -1;

  private:
    Record& record_;
    std::string name_;
    std::shared_ptr<Connection> connection_;
};

// The settings of a small, made-up deployment: one room, two classes, a ladder of four rungs. Each figure lies in
// the range that the first deployment's site file gives for it, but for the numbers of media servers and of cores.
inline Json smallSettings(int cells) {
    return Json{
        {"balancers", 2},
        {"index", 0},
        {"host_types", {"m1"}},
        {"zones", {"room"}},
        {"zone", "room"},
        {"weights", "nominal"},
        {"discovery", "push"},
        {"allowed",
         {{"attempts_cap", 3},
          {"cancel", true},
          {"conn_idle", 30.0},
          {"connect_timeout", 0.25},
          {"max_open", 1000000},
          {"max_retry_after", 0.5},
          {"max_streams", 32},
          {"parallel_tries", false},
          {"peers", false},
          {"probes", false},
          {"retry_after", true}}},
        {"report", {{"fields", {"x0"}}, {"source", "answers"}}},
        {"request_classes",
         {{{"name", "talk"}, {"promise", 1.5}, {"deadline", 3.0}, {"idempotency", "pure"}, {"group", "all"},
           {"repeat_window", 5.0}, {"importance", 1.0}, {"stream", true}},
          {{"name", "course"}, {"promise", 0.8}, {"deadline", 5.0}, {"idempotency", "side_effect"},
           {"group", "all"}, {"repeat_window", 5.0}, {"importance", 3.0}, {"stream", true}}}},
        {"rules",
         {{"answer_slack", 0.04}, {"ask_every", 10.0}, {"cold", 10.0}, {"fall_multiple", 2.5}, {"look_back", 10.0},
          {"resend_ratio", 0.1}, {"spare_attempts", 5.0}, {"start_capacity", 0.4}, {"stop_sending_within", 0.5},
          {"tip_after", 3.0}}},
        {"specifics",
         {{"cells", cells}, {"racks", 1}, {"ladder_kb", {160, 340, 700, 1400}}, {"ladder_worth", {0.25, 0.5, 0.75, 1}},
          {"rate_factor", {1, 1.4}}, {"lowest_rung", {0, 0}}, {"highest_rung", {2, 3}}, {"licence_cap", {0, 8}},
          {"is_live", {false, false}}, {"links_kb", 2400.0 * cells}, {"rack_link_kb", 2880.0 * cells},
          {"places_by_kind", {12}}, {"weight_kb", 2400}, {"stall", 8}, {"switch_cost_s", 0.5}, {"told_late", 1.0},
          {"told_every", 2.5}, {"join", 1.0}, {"full_from", 0.0}}}};
}

// A front node as on the platform, started by the deploy file's command.
class FrontNode {
  public:
    FrontNode(Loop& loop, Record& record, const Arguments& arguments, const Json& settings,
              const std::vector<MediaServer*>& servers, std::uint16_t changeLog)
        : loop_(loop), port_(freePort()) {
        Json instances = Json::array();
        for (std::size_t i = 0; i < servers.size(); ++i)
            instances.push_back({{"instanceId", servers[i]->id()},
                                 {"hostPort", loopback(servers[i]->port())},
                                 {"zone", "room"},
                                 {"machineType", "m1"},
                                 {"cell", i},
                                 {"lifecycle", "active"},
                                 {"weight", 1},
                                 {"startedAtMs", 0}});
        const Json configuration{
            {"name", "n0"},
            {"listen", loopback(port_)},
            {"seed", "5a1f30d27a5be9" + std::to_string(10 + getpid() % 90)},
            {"limits", {{"cores", 1.0}, {"memory_mb", 128}, {"sockets", 512}}},
            {"changelog", loopback(changeLog)},
            {"known",
             {{"seq", 1}, {"results", {{{"seq", 1}, {"fleet", {{"generation", 1}, {"reset", true}, {"instances", instances}}}}}}}},
            {"settings", settings}};
        const std::string file = arguments.work + "/config.json";
        std::ofstream(file) << configuration.dump();
        record.line("starts: BALANCER_CONFIG=config.json %s", arguments.run.c_str());
        child_ = std::make_unique<Child>(arguments.run, arguments.root, arguments.work + "/front.log",
                                         std::vector<std::pair<std::string, std::string>>{
                                             {"BALANCER_CONFIG", file},
                                             {"BALANCER_NAME", "n0"},
                                             {"BALANCER_LISTEN", loopback(port_)}});
    }
    // Waits until it passes a test. Returns false if it does not within 30 s.
    bool isReady(Record& record) {
        for (int i = 0; i < 300 && child_->isAlive(); ++i) {
            Viewers probe(loop_, record, "test", port_);
            probe.send(message("ECHO", "00000000000000ec", 0));
            if (loop_.runUntil(0.1, [&] { return probe.timeOf("00000000000000ec", "ECHOED") >= 0; })) return true;
        }
        return false;
    }
    std::uint16_t port() const { return port_; }
    Child& child() { return *child_; }

  private:
    Loop& loop_;
    std::uint16_t port_;
    std::unique_ptr<Child> child_;
};

inline Json setup(const std::string& tag, const std::string& room, int leftMs, const std::string& title, int copies,
                  const std::string& at = "") {
    Json out = message("START", tag);
    out["opts"] = {{"class", room},
                   {"left", std::to_string(leftMs)},
                   {"key", title},
                   {"hint", "30000.0"},
                   {"extras", "home:0;copies:" + std::to_string(copies) + ";top:3;viewer:" + tag +
                                  (at.empty() ? "" : ";at:" + at)}};
    out["blob"] = "c=IN IP4 127.0.0.1 m=video 31000 RTP/AVP 96";
    return out;
}

}  // namespace review
