// Fakes of media servers: boxes in racks, each with a link, and one uplink per rack. They stream at a real
// rate, warm up, fall over when overloaded while cold, reject when full, record set-ups in a ledger and
// inject faults. They depend on nothing of the front's implementation.
//
// Ledger lines of a box: "arrive" (a set-up was requested), "unseen" (rejected without being processed),
// "once" (rejected: this `once` id was started before), "charged" (the set-up was started: paid for from here
// on), "plays", "answer-lost", "error", "called-off" (the client disconnected before it played), "release",
// "expired", "gone" (lost with its box), "segment", "started" (number: places, 0 if warm), "fell", "died".
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

// Settings of all boxes of a fleet. Times in microseconds.
struct BoxConfig {
    std::vector<double> rungKb;                 // kB/s of each rung
    std::map<std::string, double> rateFactors;  // by room type
    std::map<std::string, int> floors;
    Micros segment = kSecond;  // duration of a segment
    int segments = 600;        // per title
    Micros setUp = 60'000;     // duration when warm, scaled by a random 0.7 to 1.5
    int setUpsAtOnce = 8;
    // A cold box has the share firstShare of its capacity, rising linearly to 1 over warmUp. It falls over
    // when the set-ups within tipAfter exceed fallMultiple times its pace.
    Micros warmUp = 0;
    double firstShare = 1, fallMultiple = 1e9;
    Micros tipAfter = kSecond;
    Micros forgetAfter = 30'000'000;  // an idle subscription expires
    bool byteRanges = false;
};

// Faults to inject; may be changed at any time.
struct BoxFaults {
    // Probabilities that a set-up fails with 500 or loses its answer; factors on link rate and set-up time.
    double failPart = 0, losePart = 0, linkFactor = 1, setUpFactor = 1;
    // Reports an almost idle link; answers nothing; rejects set-ups.
    bool liesIdle = false, silent = false, draining = false;
    // Age of the reported load; delay of each answer, and on top of that of each release; when a pause ends.
    Micros reportsLate = 0, answersLate = 0, releasesLate = 0, pausedUntil = 0;
};

class BoxFleet;

// One fake media server, owned by its BoxFleet.
class Box final : public http::Handler {
  public:
    Box(BoxFleet&, int id, int cell, int rack, double linkKb, int places, const net::Endpoint&);
    ~Box() override;
    int id() const { return id_; }
    int cell() const { return cell_; }
    int rack() const { return rack_; }
    double linkKb() const { return linkKb_; }
    int places() const { return places_; }
    net::Endpoint endpoint() const { return endpoint_; }
    BoxFaults trouble;
    bool unpaced = false;  // sends segments as fast as the socket accepts them
    bool up() const { return server_ != nullptr; }
    Micros startedAt() const { return startedAt_; }
    std::size_t playing() const { return subscriptions_.size(); }
    // Stops listening, resets all connections and drops all subscriptions; `why` is the ledger line.
    void die(const std::string& why);
    // Starts listening; does nothing if it is up.
    void start(bool cold);
    // Ends silence or a pause and answers the held requests.
    void resume();
    // Returns the demand of all subscriptions relative to the link's present capacity.
    double linkUse() const;

  private:
    friend class BoxFleet;
    class Job;
    struct Subscription {
        std::string room, title, front, trace;
        int rung = 0;
        double kb = 0;
        Micros lastSeenAt = 0;
    };
    void onRequest(http::Exchange&) override;
    void serve(http::Exchange&);
    void setUp(http::Exchange&, const std::string& title, const std::string& query);
    void segment(http::Exchange&, const std::string& title, int rung, const std::string& file,
                 const std::string& query);
    void finishSetUp(Job&);
    void startSetUps();
    void rejectUnseen(http::Exchange&, const Line&);
    http::Fields fields(const char* ot, int rung, bool unseen);
    double requestedKb() const;
    double availableKb() const;
    double warmUpShare() const;
    void tick(double dt);
    void startTransfer(Job&);
    void finishTransfer(std::uint64_t job);
    Line line(const char* what) const;
    void removeJob(std::uint64_t key);
    void release(std::map<std::string, Subscription>::iterator);

    BoxFleet& fleet_;
    int id_, cell_, rack_;
    double linkKb_;
    int places_;
    net::Endpoint endpoint_;
    std::unique_ptr<http::Server> server_, dying_;
    Micros startedAt_ = 0;
    bool cold_ = false;
    std::map<std::string, Subscription> subscriptions_;
    std::map<std::uint64_t, std::unique_ptr<Job>> jobs_;
    std::vector<std::unique_ptr<Job>> closedJobs_;
    std::deque<std::uint64_t> setUpQueue_;
    int runningSetUps_ = 0;
    std::uint64_t nextJob_ = 1;
    std::deque<Micros> arrivals_;
    std::map<std::string, Micros> startedOnce_;               // start times by `once` id, kept for 60 s
    std::deque<std::tuple<Micros, double, double>> reports_;  // time, link use, uplink use
    net::Timer cleanup_;
};

// Owns the boxes, their racks and, optionally, a model of the links. net and ledger must outlive it.
class BoxFleet {
  public:
    BoxFleet(net::Net&, const BoxConfig&, int racks, double uplinkKb, std::uint64_t seed, Ledger&);
    // Adds a box in rack `cell` modulo racks and starts it warm. `linkKb`: kB/s.
    Box& add(int id, int cell, double linkKb, int places, const net::Endpoint&);
    // Returns a box; throws std::out_of_range for an unknown id.
    Box& box(int id) { return *boxes_.at(id); }
    std::map<int, std::unique_ptr<Box>>& boxes() { return boxes_; }
    std::vector<double> uplinkFactor;  // injected fault: factor on each rack's uplink
    double uplinkUse(int rack) const;
    std::uint64_t sentBytes = 0;

    // Makes segments take as long as a model of the links says: max-min fair over the member's link, the
    // box's link and the rack's uplink, each capped a little above the rate of its rung. `memberKb`: kB/s of
    // each member's link. `memberOf` returns the member by the trace id of the request, -1 for none.
    void useLinkModel(const std::vector<double>& memberKb,
                      std::function<int(const std::string& trace)> memberOf);
    bool hasLinkModel() const { return linkModel_ != nullptr; }
    std::vector<double> memberFactor;  // injected fault: factor on each member's link

  private:
    friend class Box;
    struct LinkModel {
        workload::FairShare links;
        workload::Transfers transfers{links};
        std::vector<workload::LinkNo> members, racks;
        std::map<int, workload::LinkNo> boxes;
        std::vector<double> memberKb;
        std::function<int(const std::string&)> memberOf;
        std::map<workload::Transfers::Id, std::pair<int, std::uint64_t>> jobs;  // box id and job key
    };
    void tick();
    void finishTransfers();  // completes the jobs whose transfers have ended
    void updateCapacities();
    net::Net& net_;
    std::unique_ptr<LinkModel> linkModel_;
    BoxConfig config_;
    int racks_;
    double uplinkKb_;
    std::mt19937_64 random_;
    Ledger& ledger_;
    std::map<int, std::unique_ptr<Box>> boxes_;
    net::Timer tick_, transferEnd_;
    Micros lastTick_;
};

}  // namespace valekeel::fakes
