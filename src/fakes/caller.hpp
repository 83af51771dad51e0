// A fake SIP caller over UDP, behind a simulated network that loses, delays, duplicates and reorders
// datagrams by a seeded random generator. Ledger lines as those of a player: "ask", "answer" (status),
// "no-answer", "second-answer" (two different final responses), "leave", and also "bye" (the front hung up),
// "rung" (an UPDATE; number: bit/s), "gave-up" and "refused" (the call ended without playing).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "fakes/ledger.hpp"
#include "net/net.hpp"

namespace valekeel::fakes {

// Network faults in each direction: probabilities of loss and duplication, and the maximum random delay.
struct NetworkConditions {
    double lose = 0, twice = 0;
    Micros delayMost = 0;
};

// What a caller does. Times in microseconds.
struct CallPlan {
    std::string title, room;
    Micros timeout = 5'000'000, talk = 1'000'000;
    Micros t1 = 500'000;                              // T1 of RFC 3261, as at the front
    Micros cancelAfter = 0;                           // 0: never
    bool loses100 = false;                            // loses every provisional response
    bool acks = true, refreshes = true, says = true;  // says: sends BYE at the end
    Micros sessionExpires = 0;                        // 0: no session timer
    std::string more;  // additional header lines of the INVITE, each ended by CRLF
};

// One call. net and ledger must outlive it; `done` is called once, when the call is over.
class Caller final : net::DatagramHandler {
  public:
    Caller(net::Net&, int number, const net::Endpoint& front, std::string frontName, const CallPlan&,
           const NetworkConditions&, std::uint64_t seed, Ledger&, std::function<void()> done);
    ~Caller() override;
    void start();
    // Returns how many different final responses arrived.
    int finals() const { return static_cast<int>(finals_.size()); }
    // Returns the highest final status so far, 0 if none.
    int lastFinal() const { return finals_.empty() ? 0 : finals_.rbegin()->first; }
    // Returns whether the front has sent a BYE.
    bool byed() const { return byed_; }

  private:
    void onDatagram(const net::Endpoint&, std::string_view) override;
    void handleMessage(std::string);  // by value: the timer that owns the text may be deleted meanwhile
    void send(const std::string&);
    void passNetwork(std::function<void()>);
    std::string request(const std::string& method, std::uint32_t cseq, const std::string& branch,
                        const std::string& more, const std::string& body, bool inDialog);
    void finish(const char* why);
    Line line(const char* what) const;

    net::Net& net_;
    int number_;
    net::Endpoint front_;
    std::string frontName_;
    CallPlan plan_;
    NetworkConditions conditions_;
    std::mt19937_64 random_;
    Ledger& ledger_;
    std::function<void()> done_;
    std::unique_ptr<net::DatagramSocket> socket_;
    std::string callId_, tag_, toTag_, branch_, trace_, invite_, ack_, bye_;
    net::Timer retransmit_, cancel_, giveUp_, end_, refresh_, byeRetransmit_;
    Micros retransmitInterval_, askedAt_ = 0, byeInterval_;
    std::uint32_t cseq_ = 1;
    bool provisional_ = false, over_ = false, byed_ = false, answered_ = false;
    std::map<int, int> finals_;
    std::vector<std::unique_ptr<net::Timer>> inTransit_;
};

}  // namespace valekeel::fakes
