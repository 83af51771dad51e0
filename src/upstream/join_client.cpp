#include "upstream/join_client.hpp"

namespace valekeel::upstream {

class JoinClient::Out final : public UpstreamRequestHandler {
  public:
    Out(JoinClient& all, SubId id, int joinNo, std::string path)
        : all_(all), id_(id), joinNo_(joinNo), path_(std::move(path)), began_(all.net_.now()) {}
    std::unique_ptr<UpstreamRequest> request;
    int joinNo() const { return joinNo_; }

  private:
    void onHead(const http::ResponseHead& head) override {
        head_ = head;
        toHead_ = all_.net_.now() - began_;
    }
    void onBody(std::string_view bytes) override {
        if (body_.size() <= all_.limits_.bytes) body_ += bytes;
    }
    void onComplete() override {
        const LoadReport load = loadOf(head_.fields);
        RequestResult end = RequestResult::ErrorStatus;
        if (head_.status == 200) {
            auto read = hls::parseMultivariantPlaylist(body_, all_.limits_);
            end = read.playlist && read.playlist->variants.size() >= all_.rungs_ ? RequestResult::Answered200
                                                                                 : RequestResult::BadAnswer;
            if (end == RequestResult::Answered200)
                all_.answers_[id_] = JoinResponse{std::move(*read.playlist), path_,
                                                  head_.fields.joined("CMSD-Static").value_or(""),
                                                  head_.fields.joined("CMSD-Dynamic").value_or(""), toHead_};
        } else if (head_.status == 503) {
            end = RequestResult::Rejected;
            for (const auto& entry :
                 hints::parseCmsdDynamic(head_.fields.joined("CMSD-Dynamic").value_or(""))) {
                const hints::BareItem* unseen = entry.custom.find("org.valekeel-unseen");
                if (unseen && *unseen == hints::BareItem(true)) end = RequestResult::RejectedUnseen;
            }
        }
        all_.ended(id_, joinNo_, end, load, all_.net_.now() - began_);
    }
    void onFailed(RequestResult end) override {
        // What failed after a head was read ran, whatever way it broke.
        if (head_.status != 0 && end == RequestResult::TimedOut) end = RequestResult::BrokenAnswer;
        all_.ended(id_, joinNo_, end, LoadReport{}, all_.net_.now() - began_);
    }

    JoinClient& all_;
    SubId id_;
    int joinNo_;
    std::string path_, body_;
    http::ResponseHead head_;
    Micros began_, toHead_ = 0;
};

JoinClient::JoinClient(net::Net& net, UpstreamClient& boxes, std::string name, std::size_t rungs,
                       const hls::PlaylistLimits& limits, std::function<void()> follow)
    : net_(net),
      boxes_(boxes),
      name_(std::move(name)),
      rungs_(rungs),
      limits_(limits),
      follow_(std::move(follow)),
      bury_(net, [this] { dead_.clear(); }) {}
JoinClient::~JoinClient() = default;

std::string JoinClient::keyOf(SubId id) const {
    return name_ + "." + std::to_string(id.v);
}
const JoinResponse* JoinClient::responseOf(SubId id) const {
    const auto it = answers_.find(id);
    return it == answers_.end() ? nullptr : &it->second;
}
void JoinClient::forget(SubId id) {
    scribes_.erase(id);
    answers_.erase(id);
}

void JoinClient::releaseEarlierSessions(SfuId at) {
    if (told_.insert(at).second) boxes_.notify(at, "DELETE", "/earlier/" + name_, {});
}

void JoinClient::join(SubId id, int joinNo, SfuId at, int rung, Micros timeOut, bool paid) {
    const auto scribe = scribes_.find(id);
    JoinRequest words;
    if (scribe != scribes_.end()) words = scribe->second->joinRequestFor(id, joinNo);
    const std::string target = "/talk/" + http::percentEncoded(words.title) + "/main.m3u8?sub=" + keyOf(id) +
                               "&room=" + http::percentEncoded(words.room) + "&rung=" + std::to_string(rung) +
                               "&join=" + std::to_string(joinNo) +
                               (words.idempotencyToken.empty() ? "" : "&once=" + words.idempotencyToken);
    auto out = std::make_unique<Out>(*this, id, joinNo, target);
    out->request = boxes_.send(at, "GET", target, words.fields, paid, timeOut, *out);
    out_[id] = std::move(out);
}

void JoinClient::cancel(SubId id, int joinNo) {
    const auto it = out_.find(id);
    if (it == out_.end() || it->second->joinNo() != joinNo) return;
    const RequestResult end = it->second->request->cancel();
    ended(id, joinNo, end, LoadReport{}, 0);
}

void JoinClient::withdraw(SubId id, int joinNo) {
    const auto it = out_.find(id);
    if (it != out_.end() && !it->second->request->wroteAny()) cancel(id, joinNo);
}

void JoinClient::ended(SubId id, int joinNo, RequestResult end, LoadReport load, Micros took) {
    const auto it = out_.find(id);
    if (it == out_.end()) return;
    dead_.push_back(std::move(it->second));
    out_.erase(it);
    bury_.soon();
    const ResultMeaning& meaning = meaningOf(end);
    core_->onJoinOutcome(id, joinNo,
                         core::JoinOutcome{meaning.end, meaning.neverRan, took, load, meaning.name});
}

void JoinClient::release(SubId id, SfuId at) {
    boxes_.notify(at, "DELETE", "/sub/" + keyOf(id), {});
}

}  // namespace valekeel::upstream
