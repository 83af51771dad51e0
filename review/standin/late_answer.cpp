// Case: the answer of one set-up reaches the front node late. See claim.txt of the case.
#include "platform.hpp"

using namespace review;

int main(int count, char** values) {
    const Arguments arguments(count, values);
    Record record(arguments.folder + "/record.txt");
    record.line("TROUBLE=%d", arguments.trouble);
    Loop loop;
    const double heldBack = 0.9;  // seconds that the one answer is late
    const std::string viewer = "7a10000000000001";
    MediaServer a(loop, record, "s-00000001"), b(loop, record, "s-00000002"), c(loop, record, "s-00000003");
    ChangeLog changeLog(loop, 1);
    b.linkUse = c.linkUse = 1.4;
    // The path of the connection that carries the first answer of this session delivers it late, and all that
    // follows on that connection behind it.
    if (arguments.trouble)
        a.beforeAnswer = [&](Connection& connection, const std::string& tag, int number) {
            if (tag != viewer || number != 1) return;
            record.line("the path to the front node is slow from here on: %.1f s", heldBack);
            connection.holdFor(heldBack);
        };
    FrontNode front(loop, record, arguments, smallSettings(3), {&a, &b, &c}, changeLog.port());
    if (!front.isReady(record)) {
        record.line("the front node was not ready");
        return 2;
    }
    // b and c play a session of this front node each, and report that their links are full.
    Viewers viewers(loop, record, "viewers", front.port());
    viewers.send(message("ECHO", "00000000000000ed", 0));
    const std::string atB = "7a1000000000000b", atC = "7a1000000000000c";
    b.adopt(atB);
    c.adopt(atC);
    viewers.send(setup(atB, "talk", 1000, "other", 3, b.id()));
    viewers.send(setup(atC, "talk", 1000, "other", 3, c.id()));
    if (!loop.runUntil(5, [&] { return b.openConnections() > 0 && c.openConnections() > 0; })) {
        record.line("the front node holds no connection to the media servers that play");
        return 2;
    }
    b.note(atB, "link_use", b.linkUse);
    c.note(atC, "link_use", c.linkUse);
    loop.runFor(0.5);

    const double askedAt = record.elapsed();
    viewers.send(setup(viewer, "talk", 3000, "talk-1", 3));
    loop.runFor(14);  // longer than every limit; sessions last longer than that

    // What can be seen: the viewer's messages, and what plays where.
    const double playsAt = viewers.timeOf(viewer, "STARTED"), overAt = viewers.timeOf(viewer, "FINISH");
    std::string standing;
    for (MediaServer* server : {&a, &b, &c})
        if (server->isStanding(viewer)) standing = server->id();
    record.line("asked at %.3f, STARTED at %.3f, FINISH at %.3f; set-ups at a: %zu; plays at the end at: %s", askedAt,
                playsAt, overAt, a.setups[viewer].size(), standing.empty() ? "none" : standing.c_str());
    if (!front.child().isAlive()) {
        record.line("BROKEN: the front node has ended");
        return 1;
    }
    if (a.setups[viewer].empty()) {
        record.line("the set-up went elsewhere");
        return 2;
    }
    if (playsAt < 0 && overAt < 0) {
        record.line("BROKEN: no answer");
        return 1;
    }
    // Told that it is over, while a media server plays it on and was never told to end it.
    if (overAt >= 0 && !standing.empty() && record.elapsed() - overAt > 8.05) {
        record.line("BROKEN: its viewer was told that it is over %.1f s ago; it is left standing at %s",
                    record.elapsed() - overAt, standing.c_str());
        return 1;
    }
    // Still playing for its viewer, while no media server plays it.
    if (playsAt >= 0 && overAt < 0 && standing.empty()) {
        record.line("BROKEN: it is over, and its viewer was not told");
        return 1;
    }
    record.line("held");
    return 0;
}
