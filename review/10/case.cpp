// Sessions that play when the service begins are handed over; two of them have just come to their end.
#include "../standin-2/rig.hpp"

using namespace rig;

static Verdict play() {
    MediaServer one("s-00c41f7a", 0), two("s-00c41f7b", 1);
    for (MediaServer* server : {&one, &two}) {
        server->noteEvery = 2500;
        server->noteOn();
    }
    ChangeLog log;
    Front front;
    front.configure({&one, &two}, log, settings());
    constexpr int kSessions = 60;
    const auto serverOf = [&](int i) -> MediaServer& { return i % 2 ? one : two; };
    for (int i = 0; i < kSessions; ++i) {
        MediaServer::Session& session = serverOf(i).sessions[tagOf(i)];
        session.stands = true;
        session.stoodAt = now();
        session.title = "title-" + std::to_string(i % 9);
        session.room = "talk";
    }
    const std::vector<int> ending{kSessions - 1, kSessions - 2};  // one at each media server
    front.start();
    if (trouble())
        for (const int i : ending) serverOf(i).finish(tagOf(i));
    Viewer viewer(front.port);
    viewer.test();
    if (!loop.runUntil(3000, [&] { return viewer.echoed; })) throw CannotRun{"no test has passed"};
    for (int i = 0; i < kSessions; ++i) {  // at once after the test, within 0.3 s
        viewer.handOver(tagOf(i), serverOf(i).name, "talk", serverOf(i).sessions[tagOf(i)].title);
        loop.run(5);
    }
    loop.run(2000);
    if (!trouble())
        for (const int i : ending) serverOf(i).finish(tagOf(i));
    loop.run(12'000);
    if (front.hasExited()) return kBroken;

    int never = 0, wrong = 0;
    for (int i = 0; i < kSessions; ++i) {
        const MediaServer::Session& session = serverOf(i).sessions[tagOf(i)];
        if (session.over && told[tagOf(i)].releases == 0) {
            ++never;
            record("session %s is over since %lld ms and was never released", tagOf(i).c_str(),
                   static_cast<long long>(now() - session.overAt));
        }
        wrong += session.stands && told[tagOf(i)].releases > 0;
    }
    record("over and never released: %d; released though they stand: %d", never, wrong);
    return never + wrong > 0 ? kBroken : kHeld;
}

int main() {
    return runCase(play);
}
