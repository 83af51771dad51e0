#include "fakes/caller.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace valekeel::fakes {
namespace {

// The first header of that name, by plain search: a stand-in reads no more than it must.
std::string header(const std::string& text, const std::string& name) {
    const auto at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 4;
    return text.substr(from, text.find("\r\n", from) - from);
}

}  // namespace

Caller::Caller(net::Net& net, int number, const net::Endpoint& front, std::string frontName,
               const CallPlan& plan, const NetworkConditions& weather, std::uint64_t seed, Ledger& ledger,
               std::function<void()> done)
    : net_(net),
      number_(number),
      front_(front),
      frontName_(std::move(frontName)),
      plan_(plan),
      weather_(weather),
      chance_(seed),
      ledger_(ledger),
      done_(std::move(done)),
      again_(net,
             [this] {  // timer A
                 if (provisional_ || answered_) return;
                 put(invite_);
                 wait_ *= 2;
                 again_.after(wait_);
             }),
      cancel_(net,
              [this] {
                  if (answered_) return;
                  put(request("CANCEL", 1, branch_, "", "", false));
                  if (wait_ < 8 * plan_.t1) cancel_.after(wait_ = std::max<Micros>(plan_.t1, wait_));
              }),
      giveUp_(net,
              [this] {
                  if (answered_) return;
                  Line l = line("no-answer");
                  l.status = 2;
                  l.number = static_cast<double>(net_.now() - askedAt_);
                  ledger_.add(l);
                  over("gave-up");
              }),
      end_(net,
           [this] {
               refresh_.cancel();
               if (!plan_.says || byed_) return over("leave");
               bye_ = request("BYE", ++cseq_, "z9hG4bK" + hex(chance_()), "", "", true);
               put(bye_);
               byeAgain_.after(byeWait_);
           }),
      refresh_(net,
               [this] {
                   put(request("UPDATE", ++cseq_, "z9hG4bK" + hex(chance_()),
                               "Session-Expires: " + std::to_string(plan_.sessionExpires / kSecond) +
                                   ";refresher=uac\r\nSupported: timer\r\n",
                               "", true));
                   refresh_.after(plan_.sessionExpires / 3);
               }),
      byeAgain_(net,
                [this] {
                    if (over_) return;
                    byeWait_ = std::min<Micros>(2 * byeWait_, 8 * plan_.t1);
                    if (byeWait_ >= 8 * plan_.t1) return over("leave");
                    put(bye_);
                    byeAgain_.after(byeWait_);
                }),
      wait_(plan.t1),
      byeWait_(plan.t1) {
    socket_ = net.bind(*net::parseEndpoint("127.0.0.1:0"), *this);
    callId_ = hex(chance_()) + "@caller";
    tag_ = hex(chance_());
    branch_ = "z9hG4bK" + hex(chance_());
    trace_ = hex(chance_() | 1) + hex(chance_());
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
                       hex(chance_() | 1) + "-01\r\n" + plan_.more;
    if (plan_.sessionExpires > 0)
        more += "Supported: timer\r\nSession-Expires: " + std::to_string(plan_.sessionExpires / kSecond) +
                ";refresher=uac\r\n";
    invite_ = request("INVITE", 1, branch_, more, sdp, false);
    askedAt_ = net_.now();
    ledger_.add(line("ask"));
    put(invite_);
    again_.after(wait_);
    // The call is given up on when no final answer can come any more: its own timeout, and what the weather
    // and the retransmissions of a lost answer may add.
    giveUp_.after(plan_.timeout + 64 * plan_.t1 + 8 * kSecond);
    if (plan_.cancelAfter > 0) cancel_.after(plan_.cancelAfter);
}

// The weather between the two: what is delayed by chance also overtakes.
void Caller::through(std::function<void()> what) {
    const auto roll = [&] { return std::uniform_real_distribution<double>(0, 1)(chance_); };
    for (int copies = roll() < weather_.twice ? 2 : 1; copies > 0; --copies) {
        if (roll() < weather_.lose) continue;
        const Micros delay = weather_.delayMost > 0
                                 ? std::uniform_int_distribution<Micros>(0, weather_.delayMost)(chance_)
                                 : 0;
        std::erase_if(onTheWay_, [](const auto& t) { return !t->isSet(); });
        onTheWay_.push_back(std::make_unique<net::Timer>(net_, what));
        onTheWay_.back()->after(delay);
    }
}

void Caller::put(const std::string& bytes) {
    through([this, bytes] { socket_->send(front_, bytes); });
}
void Caller::onDatagram(const net::Endpoint&, std::string_view bytes) {
    through([this, text = std::string(bytes)] { heard(text); });
}

void Caller::heard(std::string text) {
    if (text.compare(0, 8, "SIP/2.0 ") != 0) {  // a request of the front's
        const std::string method = text.substr(0, text.find(' '));
        if (method == "ACK") return;
        if (method == "BYE" && !std::exchange(byed_, true)) ledger_.add(line("bye"));
        if (method == "UPDATE") {
            const auto at = text.find("b=TIAS:");
            Line l = line("rung");
            if (at != std::string::npos) l.number = std::atof(text.c_str() + at + 7);
            ledger_.add(l);
        }
        std::string answer = "SIP/2.0 200 OK\r\n";
        for (const char* name : {"Via", "From", "To", "Call-ID", "CSeq"})
            answer += std::string(name) + ": " + header(text, name) + "\r\n";
        put(answer + "Content-Length: 0\r\n\r\n");
        if (byed_ && answered_) over("bye");
        return;
    }
    const int status = std::atoi(text.c_str() + 8);
    const std::string cseq = header(text, "CSeq");
    if (cseq.find("BYE") != std::string::npos) {
        if (status >= 200) over("leave");
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
    const bool fresh = ++finals_[status] == 1;
    if (fresh && finals_.size() > 1) ledger_.add(line("second-answer"));
    if (!std::exchange(answered_, true)) {
        again_.cancel();
        giveUp_.cancel();
        Line l = line("answer");
        l.status = status;
        // Of the front's own time: what the weather did to either way is not its doing.
        l.number =
            weather_.lose > 0 || weather_.delayMost > 0 ? 0 : static_cast<double>(net_.now() - askedAt_);
        ledger_.add(l);
    }
    if (status >= 300) {
        put(request("ACK", 1, branch_, "", "", true));
        over("refused");
        return;
    }
    if (!plan_.acks) {
        if (fresh) end_.after(plan_.talk + 3'600 * kSecond);
        return;
    }
    put(request("ACK", 1, "z9hG4bK" + hex(chance_()), "", "", true));
    if (!fresh) return;
    end_.after(plan_.talk);
    if (plan_.refreshes && plan_.sessionExpires > 0) refresh_.after(plan_.sessionExpires / 3);
}

void Caller::over(const char* why) {
    if (std::exchange(over_, true)) return;
    for (net::Timer* t : {&again_, &cancel_, &giveUp_, &end_, &refresh_, &byeAgain_}) t->cancel();
    ledger_.add(line(why));
    done_();
}

}  // namespace valekeel::fakes
