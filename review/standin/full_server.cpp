// Case: a media server holds all the connections that it accepts. See claim.txt of the case.
#include <sys/resource.h>

#include "platform.hpp"

using namespace review;

int main(int count, char** values) {
    const Arguments arguments(count, values);
    Record record(arguments.folder + "/record.txt");
    record.line("TROUBLE=%d", arguments.trouble);
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    const rlimit own = descriptors;
    descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_max, 4096);
    Loop loop;
    // What a media server of one core accepts, and how often it tells of its link: both lie within the ranges of
    // the first deployment.
    const std::size_t accepted = 510;
    const double toldEvery = 4.8;
    const std::string viewer = "7c30000000000001";
    MediaServer a(loop, record, "s-00000001"), b(loop, record, "s-00000002"), c(loop, record, "s-00000003");
    for (MediaServer* server : {&a, &b, &c}) server->toldEvery = toldEvery;
    ChangeLog changeLog(loop, 1);
    Json settings = smallSettings(3);
    settings["specifics"]["told_every"] = toldEvery;
    FrontNode front(loop, record, arguments, settings, {&a, &b, &c}, changeLog.port());
    if (!front.isReady(record)) {
        record.line("the front node was not ready");
        return 2;
    }
    setrlimit(RLIMIT_NOFILE, &descriptors);  // of this process alone; the front node has started before
    Viewers viewers(loop, record, "viewers", front.port());
    viewers.send(setup(viewer, "course", 5000, "course-1", 3));
    if (!loop.runUntil(4, [&] { return viewers.timeOf(viewer, "STARTED") >= 0; })) {
        record.line("the session was not set up");
        setrlimit(RLIMIT_NOFILE, &own);
        return 2;
    }
    MediaServer& server = a.isStanding(viewer) ? a : b.isStanding(viewer) ? b : c;

    // Other front nodes hold connections to the same media server, and it takes no more.
    std::vector<std::shared_ptr<Connection>> others;
    if (arguments.trouble) {
        server.isQuiet = true;  // in the record
        while (server.openConnections() < accepted) {
            others.push_back(Connection::connect(loop, server.port()));
            if (!others.back()->isOpen() || !loop.runUntil(2, [&] { return server.openConnections() > others.size(); })) {
                record.line("could not open the other front nodes' connections");
                return 2;
            }
        }
        server.refuseConnections();
    }
    loop.runFor(20);  // the session lasts longer

    const double overAt = viewers.timeOf(viewer, "FINISH");
    const bool standing = server.isStanding(viewer);
    record.line("STARTED at %.3f, FINISH at %.3f; at %s it %s", viewers.timeOf(viewer, "STARTED"), overAt,
                server.id().c_str(), standing ? "plays on" : server.setups[viewer].back().how.c_str());
    if (!front.child().isAlive()) {
        record.line("BROKEN: the front node has ended");
        return 1;
    }
    if (overAt >= 0 && standing && record.elapsed() - overAt > 8.05) {
        record.line("BROKEN: its viewer was told that it is over %.1f s ago; it is left standing at %s, whose connection "
                    "to the front node never closed",
                    record.elapsed() - overAt, server.id().c_str());
        return 1;
    }
    if (overAt < 0 && !standing) {
        record.line("BROKEN: it is over, and its viewer was not told");
        return 1;
    }
    record.line("held");
    return 0;
}
