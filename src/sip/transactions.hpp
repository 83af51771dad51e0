// SIP server transactions (RFC 3261, section 17.2, with RFC 6026's Accepted state). No sockets: the SIP
// frontend passes in requests and sends the responses. osip2's own transaction machines are not used, because
// they read the wall clock and keep their own timer lists, out of reach of a virtual clock and of this
// project's limits.
//
// Retransmissions are absorbed here: each costs a look-up and at most one resend of the last response.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/net.hpp"
#include "sip/message.hpp"

namespace valekeel::sip {

// The base timers of section 17.1.1.1 in microseconds; longer ones are multiples of them.
struct SipTimers {
    Micros t1 = 500'000, t2 = 4'000'000, t4 = 5'000'000;
};

// The source of a request, to which responses are sent.
struct ReplyRoute {
    bool stream = false;           // a stream connection, otherwise datagrams
    std::uint64_t connection = 0;  // id of the stream connection
    net::Endpoint peer;
    auto operator<=>(const ReplyRoute&) const = default;
};

// The states of section 17.2 and of RFC 6026.
enum class TransactionState { Proceeding, Completed, Confirmed, Accepted, Terminated };

// Callbacks of Transactions.
class TransactionHandler {
  public:
    virtual ~TransactionHandler() = default;
    virtual void sendTo(const ReplyRoute&, const std::string& bytes) = 0;
    // Called when a 200 to an INVITE was not acknowledged in time, after the transaction was deleted.
    virtual void onAckTimeout(const std::string& key) = 0;
};

// The set of active server transactions, by key. The handler must outlive it.
class Transactions {
  public:
    Transactions(net::Net&, const SipTimers&, std::size_t maxTransactions, TransactionHandler&);
    ~Transactions();

    // Returns the key that matches a request to its transaction (section 17.2.3): by branch, sent-by and
    // method, where an ACK has its INVITE's key and a CANCEL a variant of it. Without the magic cookie in the
    // branch, by the fields of the older rules.
    static std::string keyOf(const Message&);

    enum class RequestDisposition { New, Absorbed, Full };
    // Takes a request other than ACK. New: the caller must answer it by respond(). Absorbed: a
    // retransmission. Full: `maxTransactions` are active; no transaction was created.
    RequestDisposition request(const Message&, const ReplyRoute&);
    // Takes an ACK. Returns true if it was absorbed, as the ACK to a failure is; false if it is for the
    // dialog.
    bool ack(const Message&);
    // Sends a provisional or final response. Returns false if there is no such transaction, or if it has its
    // final response.
    bool respond(const std::string& key, int status, std::string bytes);
    // Called when the dialog has received the ACK to its 200, to stop retransmissions of it.
    void onAcknowledged(const std::string& key);
    bool contains(const std::string& key) const { return all_.count(key) > 0; }
    std::optional<TransactionState> stateOf(const std::string& key) const;
    std::size_t size() const { return all_.size(); }
    bool isFull() const { return all_.size() >= maxTransactions_; }
    std::uint64_t absorbed() const { return absorbed_; }  // retransmitted requests so far

  private:
    struct Transaction {
        bool invite = false;
        ReplyRoute route;
        TransactionState state = TransactionState::Proceeding;
        std::string lastResponse;
        Micros retransmitInterval = 0, until = 0;
        std::unique_ptr<net::Timer> retransmit, end;
    };
    void retransmitResponse(const std::string& key);
    void terminate(const std::string& key);
    net::Net& net_;
    SipTimers timers_;
    std::size_t maxTransactions_;
    TransactionHandler& handler_;
    std::map<std::string, Transaction> all_;
    std::vector<std::unique_ptr<net::Timer>> expiredTimers_;
    std::uint64_t absorbed_ = 0;
};

}  // namespace valekeel::sip
