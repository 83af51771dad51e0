// A scripted SIP caller over datagrams, thin, with a network between it and the front that loses, delays,
// repeats and reorders by seed. Ledger lines as a player's: "ask", "answer" (status), "no-answer",
// "second-answer" (two different finals), "leave", and "bye" (the front hung up), "rung" (an UPDATE; number:
// bits).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "fakes/ledger.hpp"
#include "net/net.hpp"

namespace valekeel::fakes {

struct NetworkConditions {  // each way
    double lose = 0, twice = 0;
    Micros delayMost = 0;
};

struct CallPlan {
    std::string title, room;
    Micros timeout = 5'000'000, talk = 1'000'000;
    Micros t1 = 500'000;                              // of RFC 3261, as at the front
    Micros cancelAfter = 0;                           // 0: never
    bool loses100 = false;                            // every provisional answer to it is lost
    bool acks = true, refreshes = true, says = true;  // says: BYE at the end
    Micros sessionExpires = 0;
    std::string more;  // further header lines
};

class Caller final : net::DatagramHandler {
  public:
    Caller(net::Net&, int number, const net::Endpoint& front, std::string frontName, const CallPlan&,
           const NetworkConditions&, std::uint64_t seed, Ledger&, std::function<void()> done);
    ~Caller() override;
    void start();
    int finals() const { return static_cast<int>(finals_.size()); }
    int lastFinal() const { return finals_.empty() ? 0 : finals_.rbegin()->first; }
    bool byed() const { return byed_; }

  private:
    void onDatagram(const net::Endpoint&, std::string_view) override;
    void heard(std::string);  // by value: the timer that brought it may be gone meanwhile
    void put(const std::string&);
    void through(std::function<void()>);
    std::string request(const std::string& method, std::uint32_t cseq, const std::string& branch,
                        const std::string& more, const std::string& body, bool inDialog);
    void over(const char* why);
    Line line(const char* what) const;

    net::Net& net_;
    int number_;
    net::Endpoint front_;
    std::string frontName_;
    CallPlan plan_;
    NetworkConditions weather_;
    std::mt19937_64 chance_;
    Ledger& ledger_;
    std::function<void()> done_;
    std::unique_ptr<net::DatagramSocket> socket_;
    std::string callId_, tag_, toTag_, branch_, trace_, invite_, ack_, bye_;
    net::Timer again_, cancel_, giveUp_, end_, refresh_, byeAgain_;
    Micros wait_, askedAt_ = 0, byeWait_;
    std::uint32_t cseq_ = 1;
    bool provisional_ = false, over_ = false, byed_ = false, answered_ = false;
    std::map<int, int> finals_;
    std::vector<std::unique_ptr<net::Timer>> onTheWay_;
};

}  // namespace valekeel::fakes
