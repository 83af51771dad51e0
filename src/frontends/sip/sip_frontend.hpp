// The SIP face (RFC 3261): a call to a talk's room is a subscription's request. It places nothing, retries no
// set-up and counts no seats; the core, the module, the boxes and the gate are those of the HTTP face.
//
//   INVITE sip:TITLE@front;room=ROOM   100 at once; then 200 with the box's address and the rung's bandwidth
//   in
//                                      SDP; 486 with Retry-After where the module throttles; 500 or 504 where
//                                      it terminates; 503 with Retry-After where this front is overloaded
//   CANCEL, BYE, UPDATE, re-INVITE, OPTIONS
//
// A change of rung is told by UPDATE to callers that allow it. While a call lasts, the box is asked now and
// then whether it still holds it; if not, the caller gets a BYE.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "frontends/frontend_context.hpp"
#include "logging/trace_context.hpp"
#include "sip/overload.hpp"
#include "sip/prefilter.hpp"
#include "sip/transactions.hpp"

namespace valekeel::frontends {

struct SipFrontendSettings {
    sip::SipTimers times;
    sip::SipLimits limits;
    sip::OverloadSettings overload;
    bool shed = true;                  // overload control; without it only the bounds hold
    std::size_t refusedKept = 65'536;  // refusals without a transaction that are remembered
    std::size_t transactions = 20'000, calls = 20'000, streams = 2'000;
    Micros sessionExpires = 120'000'000, minSe = 90'000'000;
    Micros holdEvery = 4'000'000, holdWithin = 3'000'000;
    Micros streamIdle = 120'000'000;
    Micros retryWhenFull = 1'000'000;
};

struct SipCounts {
    std::uint64_t messages = 0, malformed = 0, invites = 0, shed = 0, merged = 0, cancelled = 0,
                  unacknowledged = 0, expired = 0, updates = 0;
};

class SipFrontend final : public core::SubscriptionHandler,
                          public upstream::JoinRequestSource,
                          sip::TransactionHandler,
                          net::DatagramHandler,
                          net::ListenerHandler,
                          FrontendContext {
  public:
    // Listens for datagrams and streams at the same place.
    SipFrontend(const FrontendContext&, const net::Endpoint&, const SipFrontendSettings&, std::uint64_t seed);
    ~SipFrontend() override;
    net::Endpoint endpoint() const { return datagrams_->endpoint(); }
    void stopAccepting() { stopping_ = true; }
    void shutDown();  // BYE to all that play
    std::size_t calls() const { return calls_.size(); }
    std::size_t transactions() const { return transactions_.size(); }
    std::uint64_t absorbed() const { return transactions_.absorbed(); }
    const SipCounts& counts() const { return counts_; }
    const sip::Overload& overload() const { return overload_; }
    const logging::TraceContext* traceOf(SubId) const;

  private:
    struct Call;
    class Stream;
    class Hold;
    struct Out;

    void onDatagram(const net::Endpoint& from, std::string_view bytes) override;
    void onAccepted(std::unique_ptr<net::Stream>) override;
    void heard(std::string_view bytes, const sip::ReplyRoute&);
    void onRequest(sip::Message, const sip::ReplyRoute&);
    void onAnswer(const sip::Message&);
    void onInvite(sip::Message, const sip::ReplyRoute&);
    void onCancel(const sip::Message&, const std::string& key);
    void inDialog(Call&, const sip::Message&, const std::string& key);
    void reply(const std::string& key, const sip::Message&, int status,
               std::vector<std::pair<std::string, std::string>> more = {}, const std::string& body = "");
    sip::Message withControl(sip::Message) const;
    bool turnedAwayAtAGlance(const sip::PrefilteredRequest&, const sip::ReplyRoute&);
    bool turnedAway(std::uint64_t name, bool listens, bool emergency, const sip::ReplyRoute&);
    void replyStateless(const sip::Message&, const sip::ReplyRoute&, int status, Micros retryAfter = 0);

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
    void hangUp(Call&, bool tellCore);  // BYE, and forget
    void forget(Call&, bool tellCore);
    void armSession(Call&);
    void askHold(Call&);
    Call* bySub(SubId);
    Call* byDialog(const sip::Message&);
    void look();

    SipFrontendSettings terms_;
    std::uint64_t salt_;
    sip::Transactions transactions_;
    sip::Overload overload_;
    sip::RefusedRequests refused_;
    std::unique_ptr<net::DatagramSocket> datagrams_;
    std::unique_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
    std::vector<std::unique_ptr<Stream>> deadStreams_;
    std::uint64_t nextStream_ = 1;
    std::map<SubId, std::unique_ptr<Call>> calls_;
    std::map<std::string, Call*> byKey_, byDialog_;
    std::map<std::string, std::string> merged_;  // Call-ID, tag and CSeq: the transaction that came first
    std::deque<std::pair<Micros, std::string>> mergedUntil_;  // when each is worth a look, oldest first
    std::map<std::string, std::unique_ptr<Out>> out_;         // own requests, by branch
    std::vector<std::unique_ptr<Call>> deadCalls_;
    std::vector<std::unique_ptr<Out>> deadOut_;
    std::vector<std::unique_ptr<Hold>> deadHolds_;
    net::Timer bury_, look_;
    SipCounts counts_;
    std::uint64_t cameNow_ = 0, servedNow_ = 0;
    Micros unreadSum_ = 0;  // of those since the last look
    std::int64_t unreadOf_ = 0;
    bool stopping_ = false;
};

}  // namespace valekeel::frontends
