#include "sip/transactions.hpp"

#include <algorithm>

namespace valekeel::sip {

Transactions::Transactions(net::Net& net, const SipTimers& timers, std::size_t maxTransactions,
                           TransactionHandler& handler)
    : net_(net), timers_(timers), maxTransactions_(maxTransactions), handler_(handler) {}
Transactions::~Transactions() = default;

std::string Transactions::keyOf(const Message& m) {
    const Via& via = m.vias.front();
    const std::string method = m.method == "ACK" || m.method == "CANCEL" ? "INVITE" : m.method;
    const std::string suffix = m.method == "CANCEL" ? "|CANCEL" : "";
    if (via.branch.compare(0, 7, "z9hG4bK") == 0)
        return via.branch + "|" + via.host + ":" + std::to_string(via.port) + "|" + method + suffix;
    return m.callId + "|" + std::to_string(m.cseq) + "|" + m.from.tag + "|" + m.requestUri + "|" +
           via.written + "|" + method + suffix;
}

Transactions::RequestDisposition Transactions::request(const Message& m, const ReplyRoute& route) {
    const std::string key = keyOf(m);
    const auto it = all_.find(key);
    if (it != all_.end()) {
        ++absorbed_;
        Transaction& transaction = it->second;
        transaction.route = route;  // a NAT may have changed the port: answer to the latest source
        const bool canResend = transaction.state == TransactionState::Proceeding ||
                               transaction.state == TransactionState::Completed;
        if (canResend && !transaction.lastResponse.empty())
            handler_.sendTo(transaction.route, transaction.lastResponse);
        return RequestDisposition::Absorbed;
    }
    if (isFull()) return RequestDisposition::Full;
    Transaction& transaction = all_[key];
    transaction.invite = m.method == "INVITE";
    transaction.route = route;
    return RequestDisposition::New;
}

bool Transactions::respond(const std::string& key, int status, std::string bytes) {
    const auto it = all_.find(key);
    if (it == all_.end() || it->second.state != TransactionState::Proceeding) return false;
    Transaction& transaction = it->second;
    transaction.lastResponse = std::move(bytes);
    handler_.sendTo(transaction.route, transaction.lastResponse);
    if (status < 200) return true;
    transaction.end = std::make_unique<net::Timer>(net_, [this, key] { terminate(key); });
    if (!transaction.invite) {
        transaction.state = TransactionState::Completed;
        transaction.end->after(transaction.route.stream ? 0 : 64 * timers_.t1);  // timer J
        return true;
    }
    transaction.state = status < 300 ? TransactionState::Accepted : TransactionState::Completed;
    transaction.end->after(64 * timers_.t1);  // timers H and L
    // Timer G. The dialog retransmits a 200 over any transport (section 13.3.1.4); that is done here too.
    if (status < 300 || !transaction.route.stream) {
        transaction.retransmitInterval = timers_.t1;
        transaction.retransmit = std::make_unique<net::Timer>(net_, [this, key] { retransmitResponse(key); });
        transaction.retransmit->after(transaction.retransmitInterval);
    }
    return true;
}

void Transactions::retransmitResponse(const std::string& key) {
    const auto it = all_.find(key);
    if (it == all_.end()) return;
    Transaction& transaction = it->second;
    handler_.sendTo(transaction.route, transaction.lastResponse);
    transaction.retransmitInterval = std::min(2 * transaction.retransmitInterval, timers_.t2);
    transaction.retransmit->after(transaction.retransmitInterval);
}

bool Transactions::ack(const Message& m) {
    const auto it = all_.find(keyOf(m));
    if (it == all_.end()) return false;
    Transaction& transaction = it->second;
    if (transaction.state == TransactionState::Completed) {
        transaction.state = TransactionState::Confirmed;
        if (transaction.retransmit) transaction.retransmit->cancel();
        // Timer I: later ACKs are absorbed.
        transaction.end->after(transaction.route.stream ? 0 : timers_.t4);
    }
    return transaction.state != TransactionState::Accepted;
}

void Transactions::onAcknowledged(const std::string& key) {
    const auto it = all_.find(key);
    if (it == all_.end() || it->second.state != TransactionState::Accepted) return;
    if (it->second.retransmit) it->second.retransmit->cancel();
    it->second.state = TransactionState::Confirmed;
}

std::optional<TransactionState> Transactions::stateOf(const std::string& key) const {
    const auto it = all_.find(key);
    if (it == all_.end()) return std::nullopt;
    return it->second.state;
}

void Transactions::terminate(const std::string& key) {
    const auto it = all_.find(key);
    if (it == all_.end()) return;
    const bool unacknowledged = it->second.state == TransactionState::Accepted;
    expiredTimers_.clear();
    expiredTimers_.push_back(std::move(it->second.end));  // its callback is running
    if (it->second.retransmit) it->second.retransmit->cancel();
    all_.erase(it);
    if (unacknowledged) handler_.onAckTimeout(key);
}

}  // namespace valekeel::sip
