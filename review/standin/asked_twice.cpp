// Case: a viewer asks for a talk on two connections and drops one of them while the box pauses. See claim.txt of
// the case. The front and the box are the project's own program; this is the viewer.
#include "loop.hpp"

using namespace review;

namespace {

// A site like the example's, with one box.
std::string site(std::uint16_t port, const std::string& work) {
    return "front \"shelf\" fronts=1 stop-within=\"2s\"\n"
           "http listen=\"" + loopback(port) + "\"\n"
           "list file=\"" + work + "/boxes.kdl\"\n"
           "log file=\"" + work + "/front.log\" level=\"info\"\n"
           "ladder stall-loss=7 switch=\"700ms\" {\n"
           "    rung kb=10 worth=0.25\n"
           "    rung kb=30 worth=0.6\n"
           "    rung kb=60 worth=1.0\n"
           "}\n"
           "room-type \"paid-workshop\" client-timeout=\"5s\" join-objective=\"800ms\" benefit=3 set-up=\"paid\" seats=10\n"
           "fleet cells=1 racks=1 links-kb=1000 link-kb-per-size=1000 uplink-kb=1000 {\n"
           "    kind \"m2\" places=20\n"
           "}\n"
           "cold warm-up=\"4s\" first-share=0.5 fall-multiple=2.5 tip-after=\"3s\"\n"
           "join-budget free=5 share=0.1 window=\"10s\"\n"
           "tidings late=\"200ms\" every=\"1s\"\n"
           "allowed joins=3 come-back-at-most=\"2s\"\n"
           "talk \"workshop\" first-cell=0 holders=1\n";
}

bool hasText(const std::string& file) {
    std::ifstream in(file);
    return in && in.peek() != std::ifstream::traits_type::eof();
}

// One connection of the player, with one request for the talk on it.
struct Request {
    Record& record;
    std::string name, got;
    double askedAt, answeredAt = -1, closedAt = -1;
    std::shared_ptr<Connection> connection;
    Request(Loop& loop, Record& record, std::string name, std::uint16_t port, const std::string& sid)
        : record(record), name(std::move(name)), askedAt(record.elapsed()), connection(Connection::connect(loop, port)) {
        connection->onBytes = [this](const std::string& bytes) {
            got += bytes;
            if (answeredAt >= 0 || got.find("\r\n\r\n") == std::string::npos) return;
            answeredAt = this->record.elapsed();
            this->record.line("%s <- %s", this->name.c_str(), got.substr(0, got.find("\r\n")).c_str());
        };
        connection->onClosed = [this] {
            closedAt = this->record.elapsed();
            this->record.line("%s: closed by the front", this->name.c_str());
        };
        record.line("%s asks: GET /talk/workshop/main.m3u8?room=paid-workshop, CMCD sid=\"%s\"", this->name.c_str(),
                    sid.c_str());
        connection->send("GET /talk/workshop/main.m3u8?room=paid-workshop HTTP/1.1\r\nHost: front\r\n"
                         "CMCD-Session: sid=\"" + sid + "\",sf=h,st=v\r\n\r\n");
    }
};

}  // namespace

int main(int count, char** values) {
    const Arguments arguments(count, values);
    Record record(arguments.folder + "/record.txt");
    record.line("TROUBLE=%d", arguments.trouble);
    Loop loop;
    const double clientTimeout = 5, pause = 3.85;
    std::string program = arguments.run;  // "exec build/src/valekeel node" without its last word
    program.erase(program.rfind(' '));
    const std::uint16_t port = freePort();
    const std::string settings = arguments.work + "/site.kdl", list = arguments.work + "/boxes.kdl",
                      ledger = arguments.work + "/ledger", ready = arguments.work + "/port";
    std::ofstream(settings) << site(port, arguments.work);
    const auto quoted = [](const std::string& path) { return "'" + path + "'"; };

    Child box(program + " box " + quoted(settings) + " --count 1 --list " + quoted(list) + " --ledger " + quoted(ledger),
              arguments.root, arguments.work + "/box.out");
    record.line("starts: %s box site.kdl --count 1", program.c_str());
    if (!loop.runUntil(10, [&] { return hasText(list) || !box.isAlive(); }) || !box.isAlive()) return 2;
    Child front(program + " serve " + quoted(settings) + " --port-file " + quoted(ready), arguments.root,
                arguments.work + "/front.out");
    record.line("starts: %s serve site.kdl", program.c_str());
    if (!loop.runUntil(10, [&] { return hasText(ready) || !front.isAlive(); }) || !front.isAlive()) return 2;
    loop.runFor(6);  // the box is warm

    // All is well: another viewer of the talk gets its playlist.
    Request earlier(loop, record, "an earlier viewer", port, "e0000000-0000-4000-8000-000000000001");
    if (!loop.runUntil(3, [&] { return earlier.answeredAt >= 0; }) || earlier.got.find(" 200 ") == std::string::npos) {
        record.line("no playlist before the test");
        return 2;
    }

    const std::string sid = "f0000000-0000-4000-8000-000000000002";
    const double stoppedAt = record.elapsed();
    if (arguments.trouble) {
        box.signal(SIGSTOP);
        record.line("the box pauses (SIGSTOP)");
        loop.after(pause, [&] {
            record.line("the box goes on after %.2f s (SIGCONT)", record.elapsed() - stoppedAt);
            box.signal(SIGCONT);
        });
    }
    loop.runFor(0.05);
    Request first(loop, record, "connection 1", port, sid);
    loop.runFor(0.1);
    Request second(loop, record, "connection 2", port, sid);
    loop.runFor(0.1);
    record.line("the viewer cancels on connection 1 (reset) and waits on connection 2");
    first.connection->reset();
    // Twice the client timeout: whatever is not answered by then is not answered.
    loop.runUntil(2 * clientTimeout, [&] { return second.answeredAt >= 0 || second.closedAt >= 0; });
    loop.runFor(1);
    const bool alive = front.isAlive();
    front.end();
    box.end();
    std::ifstream lines(ledger);
    for (std::string line; std::getline(lines, line);)
        if (line.find("\"what\"") == std::string::npos || line.find("segment") == std::string::npos)
            record.line("the box's ledger: %s", line.substr(0, 200).c_str());
    std::ifstream log(arguments.work + "/front.log");
    for (std::string line; std::getline(log, line);) record.line("the front's log: %s", line.substr(0, 240).c_str());
    if (!alive) {
        record.line("BROKEN: the front has ended");
        return 1;
    }
    if (second.answeredAt < 0) {
        record.line("BROKEN: connection 2 asked %.1f s ago and has no answer; the client timeout is %.0f s",
                    record.elapsed() - second.askedAt, clientTimeout);
        return 1;
    }
    record.line("held: answered %.3f s after it asked", second.answeredAt - second.askedAt);
    return 0;
}
