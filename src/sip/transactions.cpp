#include "sip/transactions.hpp"

#include <algorithm>

namespace valekeel::sip {

Transactions::Transactions(net::Net& net, const SipTimers& times, std::size_t atMost,
                           TransactionHandler& user)
    : net_(net), times_(times), atMost_(atMost), user_(user) {}
Transactions::~Transactions() = default;

std::string Transactions::keyOf(const Message& m) {
    const Via& via = m.vias.front();
    const std::string method = m.method == "ACK" || m.method == "CANCEL" ? "INVITE" : m.method;
    const std::string own = m.method == "CANCEL" ? "|CANCEL" : "";
    if (via.branch.compare(0, 7, "z9hG4bK") == 0)
        return via.branch + "|" + via.host + ":" + std::to_string(via.port) + "|" + method + own;
    return m.callId + "|" + std::to_string(m.cseq) + "|" + m.from.tag + "|" + m.requestUri + "|" +
           via.written + "|" + method + own;
}

Transactions::RequestDisposition Transactions::request(const Message& m, const ReplyRoute& way) {
    const std::string key = keyOf(m);
    const auto it = all_.find(key);
    if (it != all_.end()) {
        ++absorbed_;
        One& one = it->second;
        one.way = way;  // from another port, after a NAT's whim: the answer goes where it was last asked
        const bool still =
            one.state == TransactionState::Proceeding || one.state == TransactionState::Completed;
        if (still && !one.last.empty()) user_.sendTo(one.way, one.last);
        return RequestDisposition::Absorbed;
    }
    if (all_.size() >= atMost_) return RequestDisposition::Full;
    One& one = all_[key];
    one.invite = m.method == "INVITE";
    one.way = way;
    return RequestDisposition::New;
}

bool Transactions::respond(const std::string& key, int status, std::string bytes) {
    const auto it = all_.find(key);
    if (it == all_.end() || it->second.state != TransactionState::Proceeding) return false;
    One& one = it->second;
    one.last = std::move(bytes);
    user_.sendTo(one.way, one.last);
    if (status < 200) return true;
    one.end = std::make_unique<net::Timer>(net_, [this, key] { over(key); });
    if (!one.invite) {
        one.state = TransactionState::Completed;
        one.end->after(one.way.stream ? 0 : 64 * times_.t1);  // timer J
        return true;
    }
    one.state = status < 300 ? TransactionState::Accepted : TransactionState::Completed;
    one.end->after(64 * times_.t1);  // timers H and L
    // Timer G; a 200 is sent again by its dialog over any transport (section 13.3.1.4), which is done here
    // too.
    if (status < 300 || !one.way.stream) {
        one.wait = times_.t1;
        one.again = std::make_unique<net::Timer>(net_, [this, key] { repeat(key); });
        one.again->after(one.wait);
    }
    return true;
}

void Transactions::repeat(const std::string& key) {
    const auto it = all_.find(key);
    if (it == all_.end()) return;
    One& one = it->second;
    user_.sendTo(one.way, one.last);
    one.wait = std::min(2 * one.wait, times_.t2);
    one.again->after(one.wait);
}

bool Transactions::ack(const Message& m) {
    const auto it = all_.find(keyOf(m));
    if (it == all_.end()) return false;
    One& one = it->second;
    if (one.state == TransactionState::Completed) {
        one.state = TransactionState::Confirmed;
        if (one.again) one.again->cancel();
        one.end->after(one.way.stream ? 0 : times_.t4);  // timer I: later ACKs are absorbed
    }
    return one.state != TransactionState::Accepted;
}

void Transactions::onAcknowledged(const std::string& key) {
    const auto it = all_.find(key);
    if (it == all_.end() || it->second.state != TransactionState::Accepted) return;
    if (it->second.again) it->second.again->cancel();
    it->second.state = TransactionState::Confirmed;
}

std::optional<TransactionState> Transactions::stateOf(const std::string& key) const {
    const auto it = all_.find(key);
    if (it == all_.end()) return std::nullopt;
    return it->second.state;
}

void Transactions::over(const std::string& key) {
    const auto it = all_.find(key);
    if (it == all_.end()) return;
    const bool unheard = it->second.state == TransactionState::Accepted;
    spent_.clear();
    spent_.push_back(std::move(it->second.end));  // this very call lies in it
    if (it->second.again) it->second.again->cancel();
    all_.erase(it);
    if (unheard) user_.onAckTimeout(key);
}

}  // namespace valekeel::sip
