// The resting connection of a viewer ends; the viewer connects again. Its session comes to its end then.
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
    front.start();
    std::vector<std::unique_ptr<Viewer>> viewers;  // the last is the one in use
    viewers.push_back(std::make_unique<Viewer>(front.port));
    loop.run(300);
    const std::string tag = tagOf(1);
    viewers.back()->ask(tag, "paid");
    if (!loop.runUntil(4000, [&] { return told[tag].answers == 1; })) throw CannotRun{"no session stands"};
    loop.run(2000);
    // A viewer whose connection ends opens another at once, as what ends its session may come on any.
    const auto connectAgain = [&] {
        if (viewers.back()->isOpen() || viewers.size() > 10) return;
        record("the viewer connects again");
        viewers.push_back(std::make_unique<Viewer>(front.port));
    };
    if (trouble()) {
        record("the viewer's resting connection is reset");
        viewers.back()->connection->reset();
    }
    connectAgain();
    loop.run(700);
    MediaServer& server = one.stands(tag) ? one : two;
    server.finish(tag);
    const Ms overAt = now();
    while (now() < overAt + 12'000) {
        connectAgain();
        loop.run(50);
    }
    if (front.hasExited()) return kBroken;
    if (told[tag].releases == 0) {
        record("session %s is over since %lld ms and was never released", tag.c_str(),
               static_cast<long long>(now() - overAt));
        return kBroken;
    }
    const Ms took = told[tag].releasedAt - overAt;
    record("session %s was released %lld ms after its end", tag.c_str(), static_cast<long long>(took));
    return took <= 1050 ? kHeld : kBroken;
}

int main() {
    return runCase(play);
}
