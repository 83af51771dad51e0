// Stand-ins for media servers: boxes in racks, each with a link, behind an uplink for each rack. They stream
// at a real rate, warm up, fall over when pushed cold, turn away when full, charge set-ups in a ledger, and
// obey a script. A box tells its own story only: nothing here knows how a front works.
//
// Ledger lines of a box: "arrive" (a set-up was asked for), "unseen" (turned away before a look), "once"
// (begun before: not again), "charged" (it was begun: paid for from here on), "plays", "answer-lost",
// "error", "called-off" (the asker hung up before it played), "release", "expired", "gone" (with its box),
// "segment", "started" (number: places), "fell", "died".
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/ledger.hpp"
#include "http/server.hpp"
#include "net/net.hpp"
#include "workload/fairshare.hpp"

namespace valekeel::fakes {

struct BoxConfig {  // of all boxes of a fleet
    std::vector<double> rungKb;
    std::map<std::string, double> rateFactors;  // by room type
    std::map<std::string, int> floors;
    Micros segment = kSecond;
    int segments = 600;
    Micros setUp = 60'000;
    int setUpsAtOnce = 8;
    Micros warmUp = 0;
    double firstShare = 1, fallMultiple = 1e9;
    Micros tipAfter = kSecond;
    Micros forgetAfter = 30'000'000;
    bool byteRanges = false;
};

struct BoxFaults {  // what a script may set, at any time
    double failPart = 0, losePart = 0, linkFactor = 1, setUpFactor = 1;
    bool liesIdle = false, silent = false, draining = false;
    Micros reportsLate = 0, answersLate = 0, pausedUntil = 0;
};

class BoxFleet;

class Box final : public http::Handler {
  public:
    Box(BoxFleet&, int id, int cell, int rack, double linkKb, int places, const net::Endpoint&);
    ~Box() override;
    int id() const { return id_; }
    int cell() const { return cell_; }
    int rack() const { return rack_; }
    double linkKb() const { return linkKb_; }
    int places() const { return places_; }
    net::Endpoint endpoint() const { return at_; }
    BoxFaults trouble;
    bool unpaced = false;  // segments come as fast as the socket takes them
    bool up() const { return server_ != nullptr; }
    Micros startedAt() const { return startedAt_; }
    std::size_t playing() const { return subs_.size(); }
    void die(const std::string& why);  // connections are reset, nothing listens
    void start(bool cold);
    void resume();  // after silence or a pause: what waited is answered at once
    double linkUse() const;

  private:
    friend class BoxFleet;
    class Job;
    struct Sub {
        std::string room, title, front, trace;
        int rung = 0;
        double kb = 0;
        Micros heardAt = 0;
    };
    void onRequest(http::Exchange&) override;
    void serve(http::Exchange&);
    void setUp(http::Exchange&, const std::string& title, const std::string& query);
    void segment(http::Exchange&, const std::string& title, int rung, const std::string& file,
                 const std::string& query);
    void finishSetUp(Job&);
    void beginSetUps();
    void unseen(http::Exchange&, const Line&);
    http::Fields fields(const char* ot, int rung, bool unseen);
    double askedKb() const;
    double givenKb() const;
    double warmShare() const;
    void tick(double dt);
    void travel(Job&);
    void arrived(std::uint64_t job);
    Line line(const char* what) const;
    void drop(std::uint64_t key);
    void giveBack(std::map<std::string, Sub>::iterator);

    BoxFleet& fleet_;
    int id_, cell_, rack_;
    double linkKb_;
    int places_;
    net::Endpoint at_;
    std::unique_ptr<http::Server> server_, dying_;
    Micros startedAt_ = 0;
    bool cold_ = false;
    std::map<std::string, Sub> subs_;
    std::map<std::uint64_t, std::unique_ptr<Job>> jobs_;
    std::vector<std::unique_ptr<Job>> dead_;
    std::deque<std::uint64_t> setUpQueue_;
    int setUpsNow_ = 0;
    std::uint64_t nextJob_ = 1;
    std::deque<Micros> arrivals_;
    std::map<std::string, Micros> begun_;                     // by `once`: kept for a minute
    std::deque<std::tuple<Micros, double, double>> reports_;  // link and uplink use, as they were
    net::Timer bury_;
};

class BoxFleet {
  public:
    BoxFleet(net::Net&, const BoxConfig&, int racks, double uplinkKb, std::uint64_t seed, Ledger&);
    Box& add(int id, int cell, double linkKb, int places, const net::Endpoint&);
    Box& box(int id) { return *boxes_.at(id); }
    std::map<int, std::unique_ptr<Box>>& boxes() { return boxes_; }
    std::vector<double> uplinkFactor;  // of each rack: a script's
    double uplinkUse(int rack) const;
    std::uint64_t sentBytes = 0;

    // From now on segments take as long as a model of the links says: max-min fair over the member's link,
    // the box's and the rack's uplink, each no faster than a little over its rung. `memberOf`: by the trace
    // id of the ask; -1: of no member with a link of its own.
    void useLinkModel(const std::vector<double>& memberKb,
                      std::function<int(const std::string& trace)> memberOf);
    bool paved() const { return roads_ != nullptr; }
    std::vector<double> memberFactor;  // of each member's link: a script's

  private:
    friend class Box;
    struct Roads {
        workload::FairShare links;
        workload::Transfers transfers{links};
        std::vector<workload::LinkNo> members, racks;
        std::map<int, workload::LinkNo> boxes;
        std::vector<double> memberKb;
        std::function<int(const std::string&)> memberOf;
        std::map<workload::Transfers::Id, std::pair<int, std::uint64_t>> jobs;  // box, and job there
    };
    void tick();
    void arrive();  // of what the roads brought to an end
    void capacities();
    net::Net& net_;
    std::unique_ptr<Roads> roads_;
    BoxConfig make_;
    int racks_;
    double uplinkKb_;
    std::mt19937_64 chance_;
    Ledger& ledger_;
    std::map<int, std::unique_ptr<Box>> boxes_;
    net::Timer tick_, arrive_;
    Micros lastTick_;
};

}  // namespace valekeel::fakes
