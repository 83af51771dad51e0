#include "fakes/box.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace valekeel::fakes {
namespace {

constexpr Micros kTickInterval = 20'000;
constexpr double kPaceFactor = 1.15;  // a segment is sent a little faster than it plays if capacity allows
constexpr std::size_t kMaxUnsentBytes = 64'000;

const std::string& filler() {
    static const std::string kBytes(65'536, '\x5a');
    return kBytes;
}
void sendFiller(http::Exchange& to, std::uint64_t bytes) {
    while (bytes > 0) {
        const auto part = std::min<std::uint64_t>(bytes, filler().size());
        to.send(std::string_view(filler()).substr(0, part));
        bytes -= part;
    }
}
std::string be32(std::uint64_t v) {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(v >> shift & 0xff);
    return out;
}
// Returns the head of a fragment: a styp box, and the header of an mdat box that holds the rest.
std::string fragmentHead(std::uint64_t bytes) {
    return be32(16) + "stypmsdh" + be32(0) + be32(bytes - 16) + "mdat";
}
std::string initOf(int rung) {
    return be32(20) + "ftypiso6" + be32(1) + "cmfc" + be32(12) + "free" +
           be32(static_cast<std::uint64_t>(rung));
}
std::string traceOf(const http::RequestHead& head) {
    const std::string* parent = head.fields.find("traceparent");
    return parent && parent->size() >= 35 ? parent->substr(3, 32) : "";
}

}  // namespace

// One request in progress.
class Box::Job final : public http::ExchangeHandler {
  public:
    Job(Box& box, std::uint64_t key, http::Exchange& exchange)
        : box(box),
          key(key),
          exchange(&exchange),
          due(box.fleet_.net_, [this] { this->box.finishSetUp(*this); }) {
        exchange.setHandler(this);
    }
    ~Job() override {
        if (exchange) exchange->setHandler(nullptr);
        if (transfer) {
            box.fleet_.linkModel_->jobs.erase(transfer);
            box.fleet_.linkModel_->transfers.cancel(box.fleet_.net_.now(), transfer);
            box.fleet_.transferEnd_.soon();
        }
    }
    void onConnectionLost() override {
        exchange = nullptr;
        if (kind == Kind::SetUp) {
            Line l = line;
            l.at = box.fleet_.net_.now();
            l.what = "called-off";
            box.fleet_.ledger_.add(l);
            if (working) {
                --box.runningSetUps_;
                working = false;
            }
            std::erase(box.setUpQueue_, key);
        }
        box.removeJob(key);
    }
    enum class Kind { Held, SetUp, Transfer } kind = Kind::Held;
    Box& box;
    std::uint64_t key;
    http::Exchange* exchange;
    net::Timer due;
    Line line;
    std::string title, query;
    std::string sub;
    bool working = false;
    double kb = 0;
    double credit = 0;
    std::uint64_t left = 0;
    workload::Transfers::Id transfer = 0;
};

Box::Box(BoxFleet& fleet, int id, int cell, int rack, double linkKb, int places, const net::Endpoint& at)
    : fleet_(fleet),
      id_(id),
      cell_(cell),
      rack_(rack),
      linkKb_(linkKb),
      places_(places),
      endpoint_(at),
      cleanup_(fleet.net_, [this] {
          closedJobs_.clear();
          dying_.reset();
      }) {}
Box::~Box() {
    jobs_.clear();
    closedJobs_.clear();
}

Line Box::line(const char* what) const {
    Line l;
    l.at = fleet_.net_.now();
    l.what = what;
    l.box = id_;
    return l;
}

void Box::start(bool cold) {
    if (server_) return;
    http::HttpLimits limits;
    limits.idleTimeout = 30 * kSecond;
    server_ = std::make_unique<http::Server>(fleet_.net_, endpoint_, limits, *this);
    endpoint_ = server_->endpoint();
    startedAt_ = fleet_.net_.now();
    cold_ = cold;
    arrivals_.clear();
    trouble.draining = trouble.silent = false;
    Line l = line("started");
    l.number = cold ? places_ : 0;
    fleet_.ledger_.add(l);
}

void Box::die(const std::string& why) {
    if (!server_) return;
    fleet_.ledger_.add(line(why.c_str()));
    for (const auto& [key, sub] : subscriptions_) {
        Line l = line("gone");
        l.sub = key;
        l.trace = sub.trace;
        l.room = sub.room;
        l.title = sub.title;
        l.front = sub.front;
        fleet_.ledger_.add(l);
    }
    subscriptions_.clear();
    setUpQueue_.clear();
    runningSetUps_ = 0;
    server_->stopListening();
    dying_ = std::move(server_);
    dying_->resetAll();
    cleanup_.soon();
}

void Box::removeJob(std::uint64_t key) {
    const auto it = jobs_.find(key);
    if (it == jobs_.end()) return;
    it->second->due.cancel();
    closedJobs_.push_back(std::move(it->second));
    jobs_.erase(it);
    cleanup_.soon();
}

double Box::warmUpShare() const {
    const Micros age = fleet_.net_.now() - startedAt_;
    const BoxConfig& m = fleet_.config_;
    if (!cold_ || m.warmUp <= 0 || age >= m.warmUp) return 1;
    return m.firstShare + (1 - m.firstShare) * seconds(age) / seconds(m.warmUp);
}
double Box::requestedKb() const {
    double sum = 0;
    for (const auto& [key, sub] : subscriptions_) sum += sub.kb;
    return sum;
}
double Box::availableKb() const {
    return std::max(1e-3, linkKb_ * trouble.linkFactor * warmUpShare());
}
double Box::linkUse() const {
    return requestedKb() / availableKb();
}

http::Fields Box::fields(const char* ot, int rung, bool unseen) {
    http::Fields out;
    double link = linkUse(), uplink = fleet_.uplinkUse(rack_);
    if (trouble.reportsLate > 0) {
        for (const auto& [at, l, u] : reports_) {
            if (at > fleet_.net_.now() - trouble.reportsLate) break;
            link = l;
            uplink = u;
        }
    }
    if (trouble.liesIdle) link = 0.01;
    char text[256];
    std::snprintf(text, sizeof text, "\"box-%d\";etp=%lld%s;org.valekeel-lu=%.3f;org.valekeel-uu=%.3f%s", id_,
                  std::llround(availableKb() * 8), link > 1 ? ";du" : "", std::min(link, 900.0),
                  std::min(uplink, 900.0), unseen ? ";org.valekeel-unseen" : "");
    out.add("CMSD-Static",
            std::string("ot=") + ot + ", sf=h, st=v, n=\"box-" + std::to_string(id_) + "\", br=" +
                std::to_string(std::llround(fleet_.config_.rungKb[static_cast<std::size_t>(rung)] * 8)));
    out.add("CMSD-Dynamic", text);
    return out;
}

// ================= requests =================

void Box::onRequest(http::Exchange& exchange) {
    const Micros now = fleet_.net_.now();
    const bool isUnresponsive = trouble.silent || now < trouble.pausedUntil;
    const bool isRelease = exchange.head().method == "DELETE";
    const Micros delay = trouble.answersLate + (isRelease ? trouble.releasesLate : 0);
    if (!isUnresponsive && delay == 0) return serve(exchange);
    const std::uint64_t key = nextJob_++;
    auto& job = jobs_[key] = std::make_unique<Job>(*this, key, exchange);
    if (!isUnresponsive) {
        job->due.after(delay);
    }
}

void Box::resume() {
    trouble.silent = false;
    trouble.pausedUntil = 0;
    std::vector<std::uint64_t> held;
    for (auto& [key, job] : jobs_)
        if (job->kind == Job::Kind::Held && !job->due.isSet()) held.push_back(key);
    for (const std::uint64_t key : held) {
        const auto it = jobs_.find(key);
        if (it == jobs_.end() || !it->second->exchange) continue;
        http::Exchange* exchange = std::exchange(it->second->exchange, nullptr);
        exchange->setHandler(nullptr);
        removeJob(key);
        serve(*exchange);
    }
}

void Box::release(std::map<std::string, Subscription>::iterator it) {
    Line l = line("release");
    l.sub = it->first;
    l.trace = it->second.trace;
    l.room = it->second.room;
    l.title = it->second.title;
    l.front = it->second.front;
    fleet_.ledger_.add(l);
    subscriptions_.erase(it);
}

void Box::serve(http::Exchange& exchange) {
    const http::RequestHead& head = exchange.head();
    const std::string path = head.path(), query = head.query();
    if (head.method == "DELETE" && path.compare(0, 5, "/sub/") == 0) {
        const auto it = subscriptions_.find(path.substr(5));
        if (it != subscriptions_.end()) release(it);
        return exchange.respond(204, {}, "");
    }
    if (head.method == "DELETE" && path.compare(0, 9, "/earlier/") == 0) {
        // NAME.LIFE names one run of a front: releases what other runs of that front hold here.
        const std::string run = path.substr(9) + ".", front = run.substr(0, run.find('.'));
        for (auto it = subscriptions_.begin(); it != subscriptions_.end();) {
            const auto current = it++;
            if (current->second.front == front && current->first.compare(0, run.size(), run) != 0)
                release(current);
        }
        return exchange.respond(204, {}, "");
    }
    if (path.compare(0, 5, "/sub/") == 0) {  // keep-alive: is it still held?
        const auto it = subscriptions_.find(path.substr(5));
        if (it == subscriptions_.end()) return exchange.respond(410, fields("m", 0, false), "");
        it->second.lastSeenAt = fleet_.net_.now();
        return exchange.respond(204, fields("m", it->second.rung, false), "");
    }
    if (path.compare(0, 6, "/talk/") != 0) return exchange.respond(404, {}, "");
    const auto slash = path.find('/', 6);
    if (slash == std::string::npos) return exchange.respond(404, {}, "");
    const std::string title = path.substr(6, slash - 6), rest = path.substr(slash + 1);
    if (rest == "main.m3u8") return setUp(exchange, title, query);
    const auto next = rest.find('/');
    const int rung = next == std::string::npos ? -1 : std::atoi(rest.c_str());
    if (rung < 0 || rung >= static_cast<int>(fleet_.config_.rungKb.size()))
        return exchange.respond(404, {}, "");
    segment(exchange, title, rung, rest.substr(next + 1), query);
}

void Box::rejectUnseen(http::Exchange& exchange, const Line& arrived) {
    Line l = arrived;
    l.what = "unseen";
    fleet_.ledger_.add(l);
    exchange.respond(503, fields("m", 0, true), "");
}

void Box::setUp(http::Exchange& exchange, const std::string& title, const std::string& query) {
    const BoxConfig& config = fleet_.config_;
    const Micros now = fleet_.net_.now();
    Line l = line("arrive");
    l.trace = traceOf(exchange.head());
    l.sub = http::queryValue(query, "sub").value_or("");
    l.front = l.sub.substr(0, l.sub.find('.'));
    l.room = http::queryValue(query, "room").value_or("");
    l.title = title;
    l.rung = std::atoi(http::queryValue(query, "rung").value_or("0").c_str());
    l.join = std::atoi(http::queryValue(query, "join").value_or("0").c_str());
    fleet_.ledger_.add(l);
    arrivals_.push_back(now);
    while (!arrivals_.empty() && arrivals_.front() <= now - config.tipAfter) arrivals_.pop_front();
    if (cold_ && warmUpShare() < 1) {
        const double pace = static_cast<double>(places_) / seconds(config.warmUp) * warmUpShare();
        if (static_cast<double>(arrivals_.size()) >
            config.fallMultiple * pace * seconds(config.tipAfter) + 1) {
            die("fell");
            return;
        }
    }
    if (trouble.draining ||
        static_cast<int>(subscriptions_.size() + setUpQueue_.size()) + runningSetUps_ >= places_)
        return rejectUnseen(exchange, l);
    if (std::uniform_real_distribution<double>(0, 1)(fleet_.random_) < trouble.failPart) {
        l.what = "error";
        fleet_.ledger_.add(l);
        return exchange.respond(500, fields("m", 0, false), "");
    }
    if (const std::string once = http::queryValue(query, "once").value_or(""); !once.empty()) {
        std::erase_if(startedOnce_, [&](const auto& b) { return now - b.second > 60 * kSecond; });
        if (!startedOnce_.emplace(once, now).second) {
            l.what = "once";
            fleet_.ledger_.add(l);
            return exchange.respond(409, fields("m", 0, false), "");
        }
    }
    const std::uint64_t key = nextJob_++;
    auto& job = jobs_[key] = std::make_unique<Job>(*this, key, exchange);
    job->kind = Job::Kind::SetUp;
    job->line = l;
    job->title = title;
    job->query = query;
    setUpQueue_.push_back(key);
    l.what = "charged";
    fleet_.ledger_.add(l);
    startSetUps();
}

void Box::startSetUps() {
    while (runningSetUps_ < fleet_.config_.setUpsAtOnce && !setUpQueue_.empty()) {
        const auto it = jobs_.find(setUpQueue_.front());
        setUpQueue_.pop_front();
        if (it == jobs_.end()) continue;
        ++runningSetUps_;
        it->second->working = true;
        const double spread = std::uniform_real_distribution<double>(0.7, 1.5)(fleet_.random_);
        it->second->due.after(static_cast<Micros>(static_cast<double>(fleet_.config_.setUp) * spread *
                                                  trouble.setUpFactor / warmUpShare()));
    }
}

void Box::finishSetUp(Job& job) {
    if (job.kind == Job::Kind::Held) {  // only its answer was delayed
        http::Exchange* exchange = std::exchange(job.exchange, nullptr);
        if (exchange) exchange->setHandler(nullptr);
        removeJob(job.key);
        if (exchange) serve(*exchange);
        return;
    }
    if (trouble.silent || fleet_.net_.now() < trouble.pausedUntil) {  // not responsive: try again later
        job.due.after(50'000);
        return;
    }
    --runningSetUps_;
    job.working = false;
    http::Exchange* exchange = std::exchange(job.exchange, nullptr);
    if (exchange) exchange->setHandler(nullptr);
    Line l = job.line;
    l.at = fleet_.net_.now();
    removeJob(job.key);
    startSetUps();
    if (!exchange) return;
    if (std::uniform_real_distribution<double>(0, 1)(fleet_.random_) < trouble.losePart) {
        l.what = "answer-lost";
        fleet_.ledger_.add(l);
        exchange->abort();
        return;
    }
    const BoxConfig& config = fleet_.config_;
    const auto factor = config.rateFactors.find(l.room);
    const int rung = std::clamp(l.rung, 0, static_cast<int>(config.rungKb.size()) - 1);
    Subscription& sub = subscriptions_[l.sub];
    sub = Subscription{l.room, l.title, l.front, l.trace, rung, 0, fleet_.net_.now()};
    sub.kb = config.rungKb[static_cast<std::size_t>(rung)] *
             (factor == config.rateFactors.end() ? 1 : factor->second);
    l.what = "plays";
    fleet_.ledger_.add(l);
    std::string list = "#EXTM3U\n#EXT-X-VERSION:7\n";
    for (std::size_t r = 0; r < config.rungKb.size(); ++r)
        list += "#EXT-X-STREAM-INF:BANDWIDTH=" + std::to_string(std::llround(config.rungKb[r] * 8'000)) +
                ",CODECS=\"avc1.640028,mp4a.40.2\"\n" + std::to_string(r) + "/media.m3u8\n";
    http::Fields f = fields("m", rung, false);
    f.add("Content-Type", "application/vnd.apple.mpegurl");
    exchange->respond(200, f, list);
}

void Box::segment(http::Exchange& exchange, const std::string&, int rung, const std::string& file,
                  const std::string& query) {
    const BoxConfig& config = fleet_.config_;
    const std::string key = http::queryValue(query, "sub").value_or("");
    const auto it = subscriptions_.find(key);
    if (it == subscriptions_.end()) return exchange.respond(410, fields("m", 0, false), "");
    Subscription& sub = it->second;
    sub.lastSeenAt = fleet_.net_.now();
    const auto factor = config.rateFactors.find(sub.room);
    const double kb = config.rungKb[static_cast<std::size_t>(rung)] *
                      (factor == config.rateFactors.end() ? 1 : factor->second);
    const auto bytes = static_cast<std::uint64_t>(std::max(64.0, kb * 1000 * seconds(config.segment)));
    if (file == "media.m3u8") {
        std::string list = "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-PLAYLIST-TYPE:VOD\n#EXT-X-TARGETDURATION:" +
                           std::to_string((config.segment + kSecond - 1) / kSecond) +
                           "\n#EXT-X-MAP:URI=\"init.mp4\"\n";
        char inf[64];
        std::snprintf(inf, sizeof inf, "#EXTINF:%.3f,\n", seconds(config.segment));
        for (int n = 0; n < config.segments; ++n) {
            if (config.byteRanges)
                list += "#EXT-X-BYTERANGE:" + std::to_string(bytes) + "@" +
                        std::to_string(static_cast<std::uint64_t>(n) * bytes) + "\n";
            list += inf;
            list += config.byteRanges ? std::string("all.mp4\n") : std::to_string(n) + ".m4s\n";
        }
        list += "#EXT-X-ENDLIST\n";
        http::Fields f = fields("m", rung, false);
        f.add("Content-Type", "application/vnd.apple.mpegurl");
        return exchange.respond(200, f, list);
    }
    if (file == "init.mp4") {
        http::Fields f = fields("i", rung, false);
        f.add("Content-Type", "video/mp4");
        return exchange.respond(200, f, initOf(rung));
    }
    int number = std::atoi(file.c_str());
    int status = 200;
    if (file == "all.mp4") {
        const std::string* range = exchange.head().fields.find("Range");
        unsigned long long first = 0, last = 0;
        if (!range || std::sscanf(range->c_str(), "bytes=%llu-%llu", &first, &last) != 2 || last < first)
            return exchange.respond(416, {}, "");
        number = static_cast<int>(first / bytes);
        status = 206;
    }
    if (number < 0 || number >= config.segments) return exchange.respond(404, {}, "");
    sub.rung = rung;
    sub.kb = kb;
    Line l = line("segment");
    l.sub = key;
    l.trace = traceOf(exchange.head());
    l.room = sub.room;
    l.title = sub.title;
    l.front = sub.front;
    l.rung = rung;
    l.number = number;
    fleet_.ledger_.add(l);
    http::Fields f = fields("av", rung, false);
    f.add("Content-Type", "video/mp4");
    const std::uint64_t jobKey = nextJob_++;
    auto& job = jobs_[jobKey] = std::make_unique<Job>(*this, jobKey, exchange);
    job->kind = Job::Kind::Transfer;
    job->sub = key;
    job->kb = kb;
    const std::string head = fragmentHead(bytes);
    if (unpaced) {
        http::Exchange* out = std::exchange(job->exchange, nullptr);
        out->setHandler(nullptr);
        removeJob(jobKey);
        out->begin(status, f, bytes);
        out->send(head);
        sendFiller(*out, bytes - head.size());
        return out->finish();
    }
    job->left = bytes - head.size();
    exchange.begin(status, f, bytes);
    exchange.send(head);
    if (fleet_.hasLinkModel() && jobs_.count(jobKey)) startTransfer(*jobs_.at(jobKey));
}

void Box::startTransfer(Job& job) {
    BoxFleet::LinkModel& model = *fleet_.linkModel_;
    std::vector<workload::LinkNo> path{model.boxes.at(id_)};
    if (!model.racks.empty()) path.push_back(model.racks[static_cast<std::size_t>(rack_)]);
    const auto sub = subscriptions_.find(job.sub);
    const int member = sub == subscriptions_.end() ? -1 : model.memberOf(sub->second.trace);
    if (member >= 0) path.push_back(model.members[static_cast<std::size_t>(member)]);
    job.transfer = model.transfers.start(fleet_.net_.now(), path, job.kb * 1000 * kPaceFactor,
                                         static_cast<double>(job.left));
    model.jobs[job.transfer] = {id_, job.key};
    fleet_.transferEnd_.soon();
}

void Box::finishTransfer(std::uint64_t key) {
    const auto it = jobs_.find(key);
    if (it == jobs_.end()) return;
    it->second->transfer = 0;
    http::Exchange* exchange = std::exchange(it->second->exchange, nullptr);
    const std::uint64_t left = it->second->left;
    if (exchange) exchange->setHandler(nullptr);
    removeJob(key);
    if (!exchange) return;
    fleet_.sentBytes += left;
    sendFiller(*exchange, left);
    exchange->finish();
}

// ================= streaming =================

void Box::tick(double dt) {
    if (!server_) return;
    const Micros now = fleet_.net_.now();
    reports_.emplace_back(now, linkUse(), fleet_.uplinkUse(rack_));
    while (reports_.size() > 400) reports_.pop_front();
    for (auto it = subscriptions_.begin(); it != subscriptions_.end();) {
        if (now - it->second.lastSeenAt < fleet_.config_.forgetAfter) {
            ++it;
            continue;
        }
        Line l = line("expired");
        l.sub = it->first;
        l.trace = it->second.trace;
        l.room = it->second.room;
        l.title = it->second.title;
        l.front = it->second.front;
        fleet_.ledger_.add(l);
        it = subscriptions_.erase(it);
    }
    if (fleet_.hasLinkModel() || trouble.silent || now < trouble.pausedUntil) return;
    // All transfers get the same share of their rates, limited by the narrower of link and uplink.
    const double share =
        std::min({1.0, 1 / std::max(1e-9, linkUse()), 1 / std::max(1e-9, fleet_.uplinkUse(rack_))});
    std::vector<std::uint64_t> transfers;
    for (auto& [key, job] : jobs_)
        if (job->kind == Job::Kind::Transfer) transfers.push_back(key);
    for (const std::uint64_t key : transfers) {
        const auto it = jobs_.find(key);
        if (it == jobs_.end() || !it->second->exchange) continue;
        Job& job = *it->second;
        job.credit = std::min(job.credit + job.kb * 1000 * share * kPaceFactor * dt, job.kb * 1000);
        while (job.left > 0 && job.credit >= 1 && job.exchange && job.exchange->unsent() < kMaxUnsentBytes) {
            const auto part = static_cast<std::size_t>(
                std::min({static_cast<double>(job.left), job.credit, static_cast<double>(filler().size())}));
            job.credit -= static_cast<double>(part);
            job.left -= part;
            fleet_.sentBytes += part;
            job.exchange->send(std::string_view(filler()).substr(0, part));
            if (!jobs_.count(key)) break;
        }
        if (!jobs_.count(key) || job.left > 0 || !job.exchange) continue;
        http::Exchange* exchange = std::exchange(job.exchange, nullptr);
        exchange->setHandler(nullptr);
        removeJob(key);
        exchange->finish();
    }
}

BoxFleet::BoxFleet(net::Net& net, const BoxConfig& config, int racks, double uplinkKb, std::uint64_t seed,
                   Ledger& ledger)
    : uplinkFactor(static_cast<std::size_t>(racks), 1.0),
      net_(net),
      config_(config),
      racks_(racks),
      uplinkKb_(uplinkKb),
      random_(seed),
      ledger_(ledger),
      tick_(net, [this] { tick(); }),
      transferEnd_(net, [this] { finishTransfers(); }),
      lastTick_(net.now()) {
    tick_.after(kTickInterval);
}

Box& BoxFleet::add(int id, int cell, double linkKb, int places, const net::Endpoint& at) {
    auto& box = boxes_[id] = std::make_unique<Box>(*this, id, cell, cell % racks_, linkKb, places, at);
    box->start(false);
    if (linkModel_) linkModel_->boxes[id] = linkModel_->links.addLink(linkKb * 1000);
    return *box;
}

double BoxFleet::uplinkUse(int rack) const {
    if (uplinkKb_ <= 0) return 0;
    double demand = 0;
    for (const auto& [id, box] : boxes_)
        if (box->rack() == rack) demand += std::min(box->requestedKb(), box->availableKb());
    return demand / (uplinkKb_ * uplinkFactor[static_cast<std::size_t>(rack)]);
}

void BoxFleet::useLinkModel(const std::vector<double>& memberKb,
                            std::function<int(const std::string&)> memberOf) {
    linkModel_ = std::make_unique<LinkModel>();
    linkModel_->memberOf = std::move(memberOf);
    linkModel_->memberKb = memberKb;
    memberFactor.assign(memberKb.size(), 1.0);
    for (const double kb : memberKb) linkModel_->members.push_back(linkModel_->links.addLink(kb * 1000));
    if (uplinkKb_ > 0)
        for (int rack = 0; rack < racks_; ++rack)
            linkModel_->racks.push_back(linkModel_->links.addLink(uplinkKb_ * 1000));
    for (const auto& [id, box] : boxes_)
        linkModel_->boxes[id] = linkModel_->links.addLink(box->linkKb() * 1000);
}

void BoxFleet::updateCapacities() {
    const Micros now = net_.now();
    const auto set = [&](workload::LinkNo link, double bytes) {
        if (std::abs(linkModel_->links.capacity(link) - bytes) > 1e-9 * bytes)
            linkModel_->transfers.setCapacity(now, link, bytes);
    };
    for (std::size_t i = 0; i < linkModel_->members.size(); ++i)
        set(linkModel_->members[i], linkModel_->memberKb[i] * memberFactor[i] * 1000);
    for (std::size_t i = 0; i < linkModel_->racks.size(); ++i)
        set(linkModel_->racks[i], uplinkKb_ * uplinkFactor[i] * 1000);
    for (const auto& [id, box] : boxes_) {
        const bool isStopped = !box->up() || box->trouble.silent || now < box->trouble.pausedUntil;
        set(linkModel_->boxes.at(id), isStopped ? 0 : box->availableKb() * 1000);
    }
}

void BoxFleet::finishTransfers() {
    for (const workload::Transfers::Id id : linkModel_->transfers.takeEnded(net_.now())) {
        const auto it = linkModel_->jobs.find(id);
        if (it == linkModel_->jobs.end()) continue;
        const auto [box, job] = it->second;
        linkModel_->jobs.erase(it);
        boxes_.at(box)->finishTransfer(job);
    }
    if (const auto next = linkModel_->transfers.nextEnd()) transferEnd_.at(*next);
}

void BoxFleet::tick() {
    tick_.after(linkModel_ ? 10 * kTickInterval : kTickInterval);
    if (linkModel_) {
        updateCapacities();
        finishTransfers();
    }
    const double dt = seconds(net_.now() - lastTick_);
    lastTick_ = net_.now();
    for (auto& [id, box] : boxes_) box->tick(dt);
}

}  // namespace valekeel::fakes
