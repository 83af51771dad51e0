// The SIP front end (RFC 3261): an INVITE to a talk's room is a subscription request. Placement, retries and
// seat limits are left to the core and the decision module; the admission controller and the upstream
// connections are shared with the HTTP front end.
//
//   INVITE sip:TITLE@front;room=ROOM   100 immediately; then 200 with the media server's address and the
//                                      rung's bandwidth in SDP, 486 if throttled (Retry-After where a time is
//                                      known), 500 or 504 if terminated, 503 with Retry-After on overload
//   CANCEL, BYE, UPDATE, re-INVITE, OPTIONS
//
// A change of rung is signalled by UPDATE to callers that allow it. During a call the front end probes the
// media server periodically; if the server no longer holds the subscription, the caller gets a BYE.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "frontends/frontend_context.hpp"
#include "logging/trace_context.hpp"
#include "net/buffer_budget.hpp"
#include "net/turn_queue.hpp"
#include "sip/overload.hpp"
#include "sip/prefilter.hpp"
#include "sip/transactions.hpp"

namespace valekeel::frontends {

// Limits and timeouts of the SIP front end. Durations are in microseconds.
struct SipFrontendSettings {
    sip::SipTimers times;
    sip::SipLimits limits;
    sip::OverloadSettings overload;
    bool shed = true;                            // overload control; if off, only the hard limits apply
    std::size_t maxRememberedRefusals = 65'536;  // refused INVITEs without a transaction
    std::size_t transactions = 20'000, calls = 20'000, streams = 2'000;
    std::size_t maxBufferedBytes = 64 * 1024 * 1024;  // unfinished and unsent, of all streams
    // Session timers (RFC 4028): the default Session-Expires and the smallest one accepted (Min-SE).
    Micros sessionExpires = 120'000'000, minSe = 90'000'000;
    // Probes of the media server during a call.
    Micros probeInterval = 4'000'000, probeTimeout = 3'000'000;
    Micros streamIdleTimeout = 120'000'000;
    Micros retryAfterWhenFull = 1'000'000;
};

// Counters since the start.
struct SipCounts {
    std::uint64_t messages = 0, malformed = 0, invites = 0, shed = 0, merged = 0, cancelled = 0,
                  unacknowledged = 0, expired = 0, updates = 0;
};

// Serves callers over UDP and TCP from construction on.
class SipFrontend final : public core::SubscriptionHandler,
                          public upstream::JoinRequestSource,
                          sip::TransactionHandler,
                          net::DatagramHandler,
                          net::ListenerHandler,
                          FrontendContext {
  public:
    // Listens for datagrams and streams at the same endpoint; throws std::runtime_error if it cannot. `seed`
    // keys the hashes by which refused INVITEs are remembered.
    SipFrontend(const FrontendContext&, const net::Endpoint&, const SipFrontendSettings&, std::uint64_t seed);
    ~SipFrontend() override;
    net::Endpoint endpoint() const { return datagrams_->endpoint(); }
    // Refuses new calls with 503 from now on; existing ones continue.
    void stopAccepting() { stopping_ = true; }
    void shutDown();  // sends BYE on all established calls
    std::size_t calls() const { return calls_.size(); }
    std::size_t transactions() const { return transactions_.size(); }
    // The number of retransmissions absorbed by the transaction layer.
    std::uint64_t absorbed() const { return transactions_.absorbed(); }
    const SipCounts& counts() const { return counts_; }
    const sip::Overload& overload() const { return overload_; }
    // The trace of a call, owned by it; nullptr if this front end does not hold it.
    const logging::TraceContext* traceOf(SubId) const;

  private:
    struct Call;
    class Stream;
    class SessionProbe;
    struct ClientTransaction;

    void onDatagram(const net::Endpoint& from, std::string_view bytes) override;
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void onMessage(std::string_view bytes, const sip::ReplyRoute&);
    using ExtraFields = std::vector<std::pair<std::string, std::string>>;
    // A final answer that keeps no state.
    struct Refusal {
        int status;
        ExtraFields fields = {};
        bool isRemembered = false;  // a retransmission is refused too, whatever has changed by then
    };
    void onRequest(sip::Message, const sip::ReplyRoute&);
    std::optional<Refusal> answerWithoutState(const sip::Message&);
    void onAnswer(const sip::Message&);
    std::optional<Refusal> onInvite(sip::Message&, const sip::ReplyRoute&);
    void onCancel(const sip::Message&, const std::string& key);
    void inDialog(Call&, const sip::Message&, const std::string& key);
    void reply(const std::string& key, const sip::Message&, int status, ExtraFields extraFields = {},
               const std::string& body = "");
    sip::Message withControl(sip::Message) const;
    bool shedByPrefilter(const sip::PrefilteredRequest&, const sip::ReplyRoute&);
    bool shouldShed(std::uint64_t hash, bool supportsOverloadControl, bool emergency, const sip::ReplyRoute&);
    void replyStateless(const sip::Message&, const sip::ReplyRoute&, const Refusal&);
    Refusal refusalWithRetry(Micros retryAfter) const;

    void onPlaying(SubId, SfuId, int rung) override;
    void onThrottled(SubId, Micros retryAfter) override;
    void onTerminated(SubId, core::TerminationReason) override;
    void onRungChanged(SubId, int rung) override;
    void onServerLost(SubId) override;
    upstream::JoinRequest joinRequestFor(SubId, int joinNo) override;

    void sendTo(const sip::ReplyRoute&, const std::string& bytes) override;
    void onAckTimeout(const std::string& key) override;

    std::string answerBody(const Call&) const;
    std::vector<std::pair<std::string, std::string>> dialogFields(const Call&) const;
    void sendInDialog(Call&, const char* method, const std::string& body);
    void sendUpdate(Call&);
    void hangUp(Call&, bool notifyCore);  // sends BYE and forgets the call
    void forget(Call&, bool notifyCore);
    void startSessionTimer(Call&);
    void probeServer(Call&);
    Call* bySub(SubId);
    Call* byDialog(const sip::Message&);
    void updateOverload();

    SipFrontendSettings settings_;
    std::uint64_t hashSalt_;
    sip::Transactions transactions_;
    sip::Overload overload_;
    sip::RefusedRequests refusedRequests_;
    std::unique_ptr<net::DatagramSocket> datagrams_;
    std::unique_ptr<net::Listener> listener_;
    net::TurnQueue turns_;  // of streams with more input than one turn handles
    net::BufferBudget buffers_;
    std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
    std::vector<std::unique_ptr<Stream>> retiredStreams_;
    std::uint64_t nextStreamId_ = 1;
    std::map<SubId, std::unique_ptr<Call>> calls_;
    std::map<std::string, Call*> callsByKey_, callsByDialog_;
    std::map<std::string, std::string> firstTransactionByMergeKey_;  // by Call-ID, tag and CSeq
    std::deque<std::pair<Micros, std::string>> mergedExpiry_;        // when to check each, oldest first
    std::map<std::string, std::unique_ptr<ClientTransaction>>
        clientTransactions_;  // requests sent by the front, by branch
    std::vector<std::unique_ptr<Call>> retiredCalls_;
    std::vector<std::unique_ptr<ClientTransaction>> retiredTransactions_;
    std::vector<std::unique_ptr<SessionProbe>> retiredProbes_;
    net::Timer cleanupTimer_, overloadTimer_;
    SipCounts counts_;
    std::uint64_t arrivals_ = 0, served_ = 0;
    Micros queueingDelaySum_ = 0;  // of datagrams since the last overload update
    std::int64_t queueingDelayCount_ = 0;
    bool stopping_ = false;
};

}  // namespace valekeel::frontends
