// Scripted players: a standard HLS client each, with give-up times, returns and hints good and bad. Thin on
// purpose; whole crowds are src/simulation's.
//
// Ledger lines of a player: "ask" (status 0; number: join objective in us), "answer" (status as it came;
// number: us since the ask), "no-answer" (the connection broke, or nothing came by the client timeout: status
// 1 or 2), "second-answer", "segment" (number: us it took), "segment-lost", "leave" (number: mean worth
// delivered).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fakes/ledger.hpp"
#include "hls/playlist.hpp"
#include "http/client.hpp"
#include "net/net.hpp"
#include "workload/viewer.hpp"

namespace valekeel::fakes {

struct PlayerRoom {
    std::string name;
    Micros clientTimeout = 0, joinObjective = 0;
    bool paid = false;
    double benefit = 1;
};

enum class HintStyle { Headers, Query, None, Broken, Doubled, Oversized, Contradicting, Json };

struct PlayerPlan {
    std::string title;
    PlayerRoom room;
    Micros watch = 0;
    HintStyle hints = HintStyle::Headers;
    int returns = 1;            // times it comes again after a 503 or a break
    Micros back = 500'000;      // and after how long, where no time is told
    bool honours = true;        // Retry-After
    std::int64_t topKbits = 0;  // of its device
    // What a modelled viewer has beyond a scripted one.
    bool atOnce = false;                         // comes again at once, whatever it was told
    int member = -1;                             // whose link it watches through
    std::optional<workload::Patience> patience;  // none: it waits as long as its client timeout
    Micros startWith = 0, bufferMost = 0;        // of its playout buffer; 0: it fetches without a pause
    std::vector<double> ownLadderKb;             // with it, its own measure lowers what it says it can use
    std::function<void(const std::string& trace)> asking;  // called with each ask
};

class Player final : http::FetchHandler {
  public:
    // `pick`: a front to ask now, by name and place.
    struct FrontAt {
        std::string name;
        net::Endpoint at;
    };
    using Pick = std::function<std::optional<FrontAt>()>;
    Player(net::Net&, int number, const PlayerPlan&, Pick, std::uint64_t seed,
           const std::vector<double>& worth, Ledger&, std::function<void(Player&)> done);
    ~Player() override;
    void start();
    void endSoon();  // it goes, once what it asked for is answered
    int number() const { return number_; }
    bool over() const { return state_ == State::Over; }
    std::uint64_t segments() const { return segments_; }

  private:
    enum class State { Idle, Asking, Playlist, Init, Segment, Waiting, Over };
    void ask();
    void fetch(const std::string& target);
    void next();
    void leave();
    void comeAgain(bool mayRepeat, std::optional<Micros> told);
    void gaveUp();
    void heldOut();  // what the buffer bore, and whether the viewer still does
    http::Fields fields(const char* ot, std::string& target);
    Line line(const char* what) const;
    void closeConnection();

    void onHead(const http::ResponseHead&) override;
    void onBody(std::string_view) override;
    void onFetched(bool kept) override;
    void onFailed(http::FetchError) override;

    net::Net& net_;
    int number_;
    PlayerPlan plan_;
    Pick pick_;
    std::mt19937_64 chance_;
    std::vector<double> worth_;
    Ledger& ledger_;
    std::function<void(Player&)> done_;
    std::unique_ptr<http::Connection> conn_, dead_;
    net::Timer timer_, bury_;
    State state_ = State::Idle;
    int attempt_ = 0, returns_ = 0;
    std::string sid_, trace_, front_, media_, base_;
    net::Endpoint at_;
    Micros askedAt_ = 0, sentAt_ = 0, startedAt_ = 0, until_ = 0;
    http::ResponseHead head_;
    std::string body_;
    hls::MediaPlaylist list_;
    std::uint64_t nextNo_ = 0;
    std::string map_;
    double buffered_ = 0;
    std::optional<workload::Playout> playout_;
    std::optional<workload::Abr> abr_;
    Micros waited_ = 0, stalledTold_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t segments_ = 0;
    bool haveNo_ = false;
};

}  // namespace valekeel::fakes
