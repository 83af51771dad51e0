// A machine vanishes while the front node holds as many connections to media servers as it allows itself.
#include "../standin-2/rig.hpp"

using namespace rig;

static Verdict play() {
    constexpr int kServers = 100, kSetups = 400, kVanishing = 5;
    constexpr Ms kLimit = 8050;  // 8 s from its end, and the 50 ms of the protocol page
    std::vector<std::unique_ptr<MediaServer>> servers;
    std::vector<MediaServer*> all;
    for (int i = 0; i < kServers; ++i) {
        char name[16];
        std::snprintf(name, sizeof name, "s-%08x", 0x00c41000 + i);
        servers.push_back(std::make_unique<MediaServer>(name, i % 3));
        all.push_back(servers.back().get());
        all.back()->noteEvery = 2500;
        all.back()->noteOn();
    }
    ChangeLog log;
    Front front;
    front.sockets = 256;
    front.configure(all, log, settings());
    front.start();
    Viewer viewer(front.port);
    loop.run(300);
    for (int i = 0; i < kSetups; ++i) {
        viewer.ask(tagOf(i), "talk", "title-" + std::to_string(i % 40));
        loop.run(20);
    }
    loop.run(2000);
    std::size_t standing = 0, playingServers = 0, open = 0;
    for (const MediaServer* server : all) {
        standing += server->standing();
        playingServers += server->standing() > 0;
        open += server->openCount();
    }
    record("%zu sessions stand at %zu media servers; the front node holds %zu connections to them", standing,
           playingServers, open);
    if (standing < 50) throw CannotRun{"too few sessions stand"};

    std::map<std::string, Ms> over;  // by tag: when it ended
    int vanished = 0;
    if (trouble())
        for (MediaServer* server : all) {
            if (server->standing() == 0 || vanished == kVanishing) continue;
            ++vanished;
            server->vanish();
            for (const auto& [tag, session] : server->sessions)
                if (session.overBy == "the loss of its machine") over[tag] = session.overAt;
        }
    loop.run(20'000);
    if (front.hasExited()) return kBroken;

    int never = 0, late = 0, wrong = 0;
    for (const auto& [tag, overAt] : over) {
        const Told& one = told[tag];
        if (one.releases == 0) {
            ++never;
            record("session %s is over since %lld ms and was never released", tag.c_str(),
                   static_cast<long long>(now() - overAt));
        } else if (one.releasedAt - overAt > kLimit) {
            ++late;
            record("session %s was released %lld ms after its end", tag.c_str(),
                   static_cast<long long>(one.releasedAt - overAt));
        }
    }
    for (const MediaServer* server : all)
        for (const auto& [tag, session] : server->sessions)
            if (session.stands && told[tag].releases > 0) ++wrong;
    record("over %zu, never released %d, released late %d; released though they stand %d", over.size(), never,
           late, wrong);
    return never + late + wrong > 0 ? kBroken : kHeld;
}

int main() {
    return runCase(play);
}
