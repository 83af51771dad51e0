#include "fakes/caller.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace valekeel::fakes {
namespace {

// Returns the first header of that name, empty if there is none. A text search suffices for a fake.
std::string header(const std::string& text, const std::string& name) {
    const auto at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 4;
    return text.substr(from, text.find("\r\n", from) - from);
}

}  // namespace

Caller::Caller(net::Net& net, int number, const net::Endpoint& front, std::string frontName,
               const CallPlan& plan, const NetworkConditions& conditions, std::uint64_t seed, Ledger& ledger,
               std::function<void()> done)
    : net_(net),
      number_(number),
      front_(front),
      frontName_(std::move(frontName)),
      plan_(plan),
      conditions_(conditions),
      random_(seed),
      ledger_(ledger),
      done_(std::move(done)),
      retransmit_(net,
                  [this] {  // timer A
                      if (provisional_ || answered_) return;
                      send(invite_);
                      retransmitInterval_ *= 2;
                      retransmit_.after(retransmitInterval_);
                  }),
      cancel_(net,
              [this] {
                  if (answered_) return;
                  send(request("CANCEL", 1, branch_, "", "", false));
                  if (retransmitInterval_ < 8 * plan_.t1)
                      cancel_.after(retransmitInterval_ = std::max<Micros>(plan_.t1, retransmitInterval_));
              }),
      giveUp_(net,
              [this] {
                  if (answered_) return;
                  Line l = line("no-answer");
                  l.status = 2;
                  l.number = static_cast<double>(net_.now() - askedAt_);
                  ledger_.add(l);
                  finish("gave-up");
              }),
      end_(net,
           [this] {
               refresh_.cancel();
               if (!plan_.says || byed_) return finish("leave");
               bye_ = request("BYE", ++cseq_, "z9hG4bK" + hex(random_()), "", "", true);
               send(bye_);
               byeRetransmit_.after(byeInterval_);
           }),
      refresh_(net,
               [this] {
                   send(request("UPDATE", ++cseq_, "z9hG4bK" + hex(random_()),
                                "Session-Expires: " + std::to_string(plan_.sessionExpires / kSecond) +
                                    ";refresher=uac\r\nSupported: timer\r\n",
                                "", true));
                   refresh_.after(plan_.sessionExpires / 3);
               }),
      byeRetransmit_(net,
                     [this] {
                         if (over_) return;
                         byeInterval_ = std::min<Micros>(2 * byeInterval_, 8 * plan_.t1);
                         if (byeInterval_ >= 8 * plan_.t1) return finish("leave");
                         send(bye_);
                         byeRetransmit_.after(byeInterval_);
                     }),
      retransmitInterval_(plan.t1),
      byeInterval_(plan.t1) {
    socket_ = net.bind(*net::parseEndpoint("127.0.0.1:0"), *this);
    callId_ = hex(random_()) + "@caller";
    tag_ = hex(random_());
    branch_ = "z9hG4bK" + hex(random_());
    trace_ = hex(random_() | 1) + hex(random_());
}
Caller::~Caller() = default;

Line Caller::line(const char* what) const {
    Line l;
    l.at = net_.now();
    l.what = what;
    l.player = number_;
    l.trace = trace_;
    l.front = frontName_;
    l.face = "sip";
    l.room = plan_.room;
    l.title = plan_.title;
    l.attempt = 1;
    return l;
}

std::string Caller::request(const std::string& method, std::uint32_t cseq, const std::string& branch,
                            const std::string& more, const std::string& body, bool inDialog) {
    const std::string me = net::toString(socket_->endpoint());
    const std::string uri = inDialog
                                ? "sip:" + net::toString(front_)
                                : "sip:" + plan_.title + "@" + net::toString(front_) + ";room=" + plan_.room;
    return method + " " + uri + " SIP/2.0\r\nVia: SIP/2.0/UDP " + me + ";branch=" + branch +
           "\r\nMax-Forwards: 70\r\nFrom: <sip:caller@" + me + ">;tag=" + tag_ +
           "\r\nTo: <sip:" + plan_.title + "@" + net::toString(front_) + ">" +
           (inDialog ? ";tag=" + toTag_ : "") + "\r\nCall-ID: " + callId_ +
           "\r\nCSeq: " + std::to_string(cseq) + " " + method + "\r\nContact: <sip:caller@" + me + ">\r\n" +
           more + (body.empty() ? "" : "Content-Type: application/sdp\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Caller::start() {
    const std::string sdp =
        "v=0\r\no=c 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=video 40000 RTP/AVP "
        "96\r\na=recvonly\r\n";
    std::string more = "Allow: INVITE, ACK, CANCEL, BYE, UPDATE\r\ntraceparent: 00-" + trace_ + "-" +
                       hex(random_() | 1) + "-01\r\n" + plan_.more;
    if (plan_.sessionExpires > 0)
        more += "Supported: timer\r\nSession-Expires: " + std::to_string(plan_.sessionExpires / kSecond) +
                ";refresher=uac\r\n";
    invite_ = request("INVITE", 1, branch_, more, sdp, false);
    askedAt_ = net_.now();
    ledger_.add(line("ask"));
    send(invite_);
    retransmit_.after(retransmitInterval_);
    // Gives up when no final response can arrive any more: after its own timeout plus the possible network
    // delay and retransmissions of a lost response.
    giveUp_.after(plan_.timeout + 64 * plan_.t1 + 8 * kSecond);
    if (plan_.cancelAfter > 0) cancel_.after(plan_.cancelAfter);
}

// Passes a datagram through the simulated network; random delays also reorder.
void Caller::passNetwork(std::function<void()> deliver) {
    const auto roll = [&] { return std::uniform_real_distribution<double>(0, 1)(random_); };
    for (int copies = roll() < conditions_.twice ? 2 : 1; copies > 0; --copies) {
        if (roll() < conditions_.lose) continue;
        const Micros delay = conditions_.delayMost > 0
                                 ? std::uniform_int_distribution<Micros>(0, conditions_.delayMost)(random_)
                                 : 0;
        std::erase_if(inTransit_, [](const auto& t) { return !t->isSet(); });
        inTransit_.push_back(std::make_unique<net::Timer>(net_, deliver));
        inTransit_.back()->after(delay);
    }
}

void Caller::send(const std::string& bytes) {
    passNetwork([this, bytes] { socket_->send(front_, bytes); });
}
void Caller::onDatagram(const net::Endpoint&, std::string_view bytes) {
    passNetwork([this, text = std::string(bytes)] { handleMessage(text); });
}

void Caller::handleMessage(std::string text) {
    if (text.compare(0, 8, "SIP/2.0 ") != 0) {  // a request from the front
        const std::string method = text.substr(0, text.find(' '));
        if (method == "ACK") return;
        if (method == "BYE" && !std::exchange(byed_, true)) ledger_.add(line("bye"));
        if (method == "UPDATE") {
            const auto at = text.find("b=TIAS:");
            Line l = line("rung");
            if (at != std::string::npos) l.number = std::atof(text.c_str() + at + 7);
            ledger_.add(l);
        }
        std::string response = "SIP/2.0 200 OK\r\n";
        for (const char* name : {"Via", "From", "To", "Call-ID", "CSeq"})
            response += std::string(name) + ": " + header(text, name) + "\r\n";
        send(response + "Content-Length: 0\r\n\r\n");
        if (byed_ && answered_) finish("bye");
        return;
    }
    const int status = std::atoi(text.c_str() + 8);
    const std::string cseq = header(text, "CSeq");
    if (cseq.find("BYE") != std::string::npos) {
        if (status >= 200) finish("leave");
        return;
    }
    if (cseq.find("INVITE") == std::string::npos) return;
    if (status < 200) {
        provisional_ = !plan_.loses100;
        return;
    }
    const std::string to = header(text, "To");
    const auto tag = to.find(";tag=");
    if (tag != std::string::npos) toTag_ = to.substr(tag + 5);
    const bool isNew = ++finals_[status] == 1;
    if (isNew && finals_.size() > 1) ledger_.add(line("second-answer"));
    if (!std::exchange(answered_, true)) {
        retransmit_.cancel();
        giveUp_.cancel();
        Line l = line("answer");
        l.status = status;
        // The answer time is recorded only without network faults, which the front isn't responsible for.
        l.number = conditions_.lose > 0 || conditions_.delayMost > 0
                       ? 0
                       : static_cast<double>(net_.now() - askedAt_);
        ledger_.add(l);
    }
    if (status >= 300) {
        send(request("ACK", 1, branch_, "", "", true));
        finish("refused");
        return;
    }
    if (!plan_.acks) {
        if (isNew) end_.after(plan_.talk + 3'600 * kSecond);
        return;
    }
    send(request("ACK", 1, "z9hG4bK" + hex(random_()), "", "", true));
    if (!isNew) return;
    end_.after(plan_.talk);
    if (plan_.refreshes && plan_.sessionExpires > 0) refresh_.after(plan_.sessionExpires / 3);
}

void Caller::finish(const char* why) {
    if (std::exchange(over_, true)) return;
    for (net::Timer* t : {&retransmit_, &cancel_, &giveUp_, &end_, &refresh_, &byeRetransmit_}) t->cancel();
    ledger_.add(line(why));
    done_();
}

}  // namespace valekeel::fakes
