#include "upstream/join_client.hpp"

namespace valekeel::upstream {

// One join in flight; collects its response.
class JoinClient::PendingJoin final : public UpstreamRequestHandler {
  public:
    PendingJoin(JoinClient& owner, SubId id, int joinNo, std::string path)
        : owner_(owner), id_(id), joinNo_(joinNo), path_(std::move(path)), startedAt_(owner.net_.now()) {}
    std::unique_ptr<UpstreamRequest> request;
    int joinNo() const { return joinNo_; }

  private:
    void onHead(const http::ResponseHead& head) override {
        head_ = head;
        toHead_ = owner_.net_.now() - startedAt_;
    }
    void onBody(std::string_view bytes) override {
        if (body_.size() <= owner_.limits_.bytes) body_ += bytes;
    }
    void onComplete() override {
        const LoadReport load = loadOf(head_.fields);
        RequestResult result = RequestResult::ErrorStatus;
        if (head_.status == 200) {
            auto playlist = hls::parseMultivariantPlaylist(body_, owner_.limits_);
            result = playlist.playlist && playlist.playlist->variants.size() >= owner_.rungs_
                         ? RequestResult::Answered200
                         : RequestResult::BadAnswer;
            if (result == RequestResult::Answered200)
                owner_.responses_[id_] = JoinResponse{owner_.makeSessionKey(id_, joinNo_),
                                                      std::move(*playlist.playlist),
                                                      path_,
                                                      head_.fields.joined("CMSD-Static").value_or(""),
                                                      head_.fields.joined("CMSD-Dynamic").value_or(""),
                                                      toHead_};
        } else if (head_.status == 503) {
            result = RequestResult::Rejected;
            for (const auto& entry :
                 hints::parseCmsdDynamic(head_.fields.joined("CMSD-Dynamic").value_or(""))) {
                const hints::BareItem* unseen = entry.custom.find("org.valekeel-unseen");
                if (unseen && *unseen == hints::BareItem(true)) result = RequestResult::RejectedUnseen;
            }
        }
        owner_.finish(id_, joinNo_, result, load, owner_.net_.now() - startedAt_);
    }
    void onFailed(RequestResult result) override {
        // A request that failed after the response head arrived has run, however it failed.
        if (head_.status != 0 && result == RequestResult::TimedOut) result = RequestResult::BrokenAnswer;
        owner_.finish(id_, joinNo_, result, LoadReport{}, owner_.net_.now() - startedAt_);
    }

    JoinClient& owner_;
    SubId id_;
    int joinNo_;
    std::string path_, body_;
    http::ResponseHead head_;
    Micros startedAt_, toHead_ = 0;
};

JoinClient::JoinClient(net::Net& net, UpstreamClient& client, std::string name, std::size_t rungs,
                       const hls::PlaylistLimits& limits, std::function<void()> follow)
    : net_(net),
      client_(client),
      name_(std::move(name)),
      rungs_(rungs),
      limits_(limits),
      follow_(std::move(follow)),
      deleteTimer_(net, [this] { finished_.clear(); }) {}
JoinClient::~JoinClient() = default;

std::string JoinClient::sessionKeyOf(SubId id) const {
    const JoinResponse* response = responseOf(id);
    return response ? response->sessionKey : std::string{};
}
std::string JoinClient::makeSessionKey(SubId id, int joinNo) const {
    return name_ + "." + std::to_string(id.v) + "." + std::to_string(joinNo);
}
const JoinResponse* JoinClient::responseOf(SubId id) const {
    const auto it = responses_.find(id);
    return it == responses_.end() ? nullptr : &it->second;
}
void JoinClient::forget(SubId id) {
    requestSources_.erase(id);
    responses_.erase(id);
}

void JoinClient::releaseEarlierSessions(SfuId server) {
    if (releasedEarlier_.insert(server).second) client_.notify(server, "DELETE", "/earlier/" + name_, {});
}

void JoinClient::join(SubId id, int joinNo, SfuId server, int rung, Micros timeOut, bool paid) {
    const auto source = requestSources_.find(id);
    JoinRequest request;
    if (source != requestSources_.end()) request = source->second->joinRequestFor(id, joinNo);
    const std::string target = "/talk/" + http::percentEncoded(request.title) +
                               "/main.m3u8?sub=" + makeSessionKey(id, joinNo) +
                               "&room=" + http::percentEncoded(request.room) +
                               "&rung=" + std::to_string(rung) + "&join=" + std::to_string(joinNo) +
                               (request.idempotencyToken.empty() ? "" : "&once=" + request.idempotencyToken);
    auto join = std::make_unique<PendingJoin>(*this, id, joinNo, target);
    join->request = client_.send(server, "GET", target, request.fields, paid, timeOut, *join);
    pending_[id] = std::move(join);
}

void JoinClient::cancel(SubId id, int joinNo) {
    const auto it = pending_.find(id);
    if (it == pending_.end() || it->second->joinNo() != joinNo) return;
    const RequestResult result = it->second->request->cancel();
    finish(id, joinNo, result, LoadReport{}, 0);
}

void JoinClient::withdraw(SubId id, int joinNo) {
    const auto it = pending_.find(id);
    if (it != pending_.end() && !it->second->request->wroteAny()) cancel(id, joinNo);
}

void JoinClient::finish(SubId id, int joinNo, RequestResult result, LoadReport load, Micros duration) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) return;
    finished_.push_back(std::move(it->second));
    pending_.erase(it);
    deleteTimer_.soon();
    const ResultMeaning& meaning = meaningOf(result);
    core_->onJoinOutcome(id, joinNo,
                         core::JoinOutcome{meaning.end, meaning.neverRan, duration, load, meaning.name});
}

void JoinClient::release(SubId id, int joinNo, SfuId server) {
    client_.notify(server, "DELETE", "/sub/" + makeSessionKey(id, joinNo), {});
}

}  // namespace valekeel::upstream
