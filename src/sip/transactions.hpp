// Server transactions (RFC 3261, section 17.2, with RFC 6026's Accepted state). No I/O and no clock of its
// own: the face hands in what came, and sends what it is told to. osip2's own transaction machines read the
// wall clock and keep their own timer lists, which neither a virtual clock nor our limits could reach; so
// only its parser is used.
//
// A retransmission is absorbed here: it costs a look-up and, at most, the last answer sent again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/net.hpp"
#include "sip/message.hpp"

namespace valekeel::sip {

struct SipTimers {  // section 17.1.1.1; longer ones are multiples
    Micros t1 = 500'000, t2 = 4'000'000, t4 = 5'000'000;
};

// Where a request came from, and answers go.
struct ReplyRoute {
    bool stream = false;
    std::uint64_t connection = 0;  // of a stream
    net::Endpoint peer;
    auto operator<=>(const ReplyRoute&) const = default;
};

enum class TransactionState { Proceeding, Completed, Confirmed, Accepted, Terminated };

class TransactionHandler {
  public:
    virtual ~TransactionHandler() = default;
    virtual void sendTo(const ReplyRoute&, const std::string& bytes) = 0;
    // A 200 to an INVITE was never acknowledged; or a failure's ACK never came (nothing more is done then).
    virtual void onAckTimeout(const std::string& key) = 0;
};

class Transactions {
  public:
    Transactions(net::Net&, const SipTimers&, std::size_t atMost, TransactionHandler&);
    ~Transactions();

    // Matched as section 17.2.3 says: by branch, sent-by and method (an ACK's and a CANCEL's by the
    // INVITE's). Without the magic cookie, by the older rules' fields.
    static std::string keyOf(const Message&);

    enum class RequestDisposition { New, Absorbed, Full };
    // A request that is no ACK. New: the user owes it an answer by respond().
    RequestDisposition request(const Message&, const ReplyRoute&);
    // An ACK to a failure is absorbed; one to a 200 is for the dialog, and tells so by false.
    bool ack(const Message&);
    // A provisional answer, or the final one. Each transaction takes one final answer; more are refused.
    bool respond(const std::string& key, int status, std::string bytes);
    // The dialog heard the ACK of its 200: it is sent no more.
    void onAcknowledged(const std::string& key);
    bool contains(const std::string& key) const { return all_.count(key) > 0; }
    std::optional<TransactionState> stateOf(const std::string& key) const;
    std::size_t size() const { return all_.size(); }
    std::uint64_t absorbed() const { return absorbed_; }

  private:
    struct One {
        bool invite = false;
        ReplyRoute way;
        TransactionState state = TransactionState::Proceeding;
        std::string last;
        Micros wait = 0, until = 0;
        std::unique_ptr<net::Timer> again, end;
    };
    void repeat(const std::string& key);
    void over(const std::string& key);
    net::Net& net_;
    SipTimers times_;
    std::size_t atMost_;
    TransactionHandler& user_;
    std::map<std::string, One> all_;
    std::vector<std::unique_ptr<net::Timer>> spent_;
    std::uint64_t absorbed_ = 0;
};

}  // namespace valekeel::sip
