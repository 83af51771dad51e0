// Fake players: each is a standard HLS client with a timeout, retries and valid or malformed hints.
// src/simulation creates crowds of them.
//
// Ledger lines of a player: "wants" (at the first request; number: time to watch in us), "ask" (number: join
// objective in us), "answer" (status: as received; number: us since the request), "no-answer" (status 1: the
// connection broke, 2: nothing arrived within the client timeout), "second-answer", "segment" (number: us it
// took), "segment-lost", "gap" (segments skipped in the playlist), "switch" (of the rung), "stall" (number:
// us), "abandon" (the viewer gave up), "return" (it will retry), "leave" (number: segments played).
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

// The room type that a player requests. Times in microseconds.
struct PlayerRoom {
    std::string name;
    Micros clientTimeout = 0, joinObjective = 0;
    bool paid = false;
    double benefit = 1;
};

// How a player sends its CMCD hints: in headers, in the query, not at all, or malformed in some way.
enum class HintStyle { Headers, Query, None, Broken, Doubled, Oversized, Contradicting, Json };

// What a player does. Times in microseconds.
struct PlayerPlan {
    std::string title;
    PlayerRoom room;
    Micros watch = 0;  // time to watch, from the first answer that plays
    HintStyle hints = HintStyle::Headers;
    int returns = 1;            // retries at most, after a 503 or a broken connection
    Micros back = 500'000;      // delay of a retry without a Retry-After
    bool honours = true;        // waits as long as Retry-After says
    std::int64_t topKbits = 0;  // limit of its device in kbit/s; 0: none
    // For modelled viewers only.
    bool atOnce = false;                         // retries at once, whatever Retry-After says
    int member = -1;                             // index of the member whose link it uses; -1: none
    std::optional<workload::Patience> patience;  // empty: it waits for the client timeout
    Micros startWith = 0, bufferMost = 0;        // playout buffer; 0: fetches without pausing
    std::vector<double> ownLadderKb;             // kB/s; not empty: its own rate adaptation limits tb
    std::function<void(const std::string& trace)> asking;  // called before each request
};

// One player. net and ledger must outlive it.
class Player final : http::FetchHandler {
  public:
    // A front by name and address.
    struct FrontAt {
        std::string name;
        net::Endpoint at;
    };
    // Chooses the front of the next request, empty if none is available.
    using Pick = std::function<std::optional<FrontAt>()>;
    // `done` is called once, when the player leaves.
    Player(net::Net&, int number, const PlayerPlan&, Pick, std::uint64_t seed,
           const std::vector<double>& worth, Ledger&, std::function<void(Player&)> done);
    ~Player() override;
    void start();
    void endSoon();  // leaves, at the latest after the pending request is answered
    int number() const { return number_; }
    bool over() const { return state_ == State::Over; }
    std::uint64_t segments() const { return segments_; }

  private:
    enum class State { Idle, Asking, Playlist, Init, Segment, Waiting, Over };
    void sendRequest();
    void fetch(const std::string& target);
    void fetchNext();
    void leave();
    void scheduleRetry(bool mayRetry, std::optional<Micros> retryAfter);
    void handleRequestTimeout();
    void recordStall();  // and leaves if the viewer has lost patience
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
    std::mt19937_64 random_;
    std::vector<double> worth_;
    Ledger& ledger_;
    std::function<void(Player&)> done_;
    std::unique_ptr<http::Connection> conn_, closedConn_;
    net::Timer timer_, cleanup_;
    State state_ = State::Idle;
    int attempt_ = 0, retries_ = 0;
    std::string sid_, trace_, front_, mediaUrl_, baseUrl_;
    net::Endpoint endpoint_;
    Micros askedAt_ = 0, sentAt_ = 0, startedAt_ = 0, until_ = 0;
    http::ResponseHead head_;
    std::string body_;
    hls::MediaPlaylist playlist_;
    std::uint64_t nextSequence_ = 0;
    std::string initUrl_;
    double buffered_ = 0;
    std::optional<workload::Playout> playout_;
    std::optional<workload::Abr> abr_;
    Micros waited_ = 0, reportedStall_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t segments_ = 0;
    bool hasSequence_ = false;
};

}  // namespace valekeel::fakes
