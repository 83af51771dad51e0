// Sends joins over HTTP: the front's first fetch of a title's playlist at the media server that the module
// chose. What the result of a join proves is looked up in the table of request_result.hpp, here and nowhere
// else.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/core.hpp"
#include "hls/playlist.hpp"
#include "upstream/upstream_client.hpp"

namespace valekeel::upstream {

// The contents of a join request, as known to the front end that owns the subscription.
struct JoinRequest {
    std::string title, room;
    http::Fields fields;  // viewer hints and trace context, passed on
    // Optional. A media server that has already started a join with this token answers 409 and does not start
    // again.
    std::string idempotencyToken;
};

// Implemented by front ends. Called when a join is sent.
class JoinRequestSource {
  public:
    virtual ~JoinRequestSource() = default;
    virtual JoinRequest joinRequestFor(SubId, int joinNo) = 0;
};

// The response of the media server to the join that succeeded.
struct JoinResponse {
    std::string sessionKey;      // at the media server
    hls::Multivariant variants;  // in the order of the rungs
    std::string path;            // request target of the join
    std::string cmsdStatic, cmsdDynamic;
    Micros toHead = 0;  // from the request to the response head
};

// Reports each outcome to the core given to connect(). Sources must stay valid until forget().
class JoinClient final : public core::JoinSender {
  public:
    // `name`: of this front, part of the keys of its subscriptions at media servers. Must differ from the
    // name of any other front and of earlier processes of this one. `rungs`: variants that a playlist must
    // have at least. `follow`: starts following the server list.
    JoinClient(net::Net&, UpstreamClient&, std::string name, std::size_t rungs, const hls::PlaylistLimits&,
               std::function<void()> follow);
    ~JoinClient() override;
    void connect(core::Core& core) { core_ = &core; }  // to be called before the first join
    void setRequestSource(SubId id, JoinRequestSource& source) { requestSources_[id] = &source; }
    void forget(SubId);  // drops the source and the response of a subscription

    // Asks a media server, on the first call for it, to release all sessions of earlier processes of this
    // front: a front that was killed could not release them, and they would occupy seats beside those of this
    // process.
    void releaseEarlierSessions(SfuId);

    // The key at the media server of the session that the subscription's successful join set up; empty
    // without one. Each join has its own key, so that the release of a join that failed, however late it
    // arrives, does not end the session of the next one.
    std::string sessionKeyOf(SubId) const;
    const JoinResponse* responseOf(SubId) const;  // null unless a join succeeded; valid until forget()

    void join(SubId, int joinNo, SfuId, int rung, Micros timeOut, bool paid) override;
    void cancel(SubId, int joinNo) override;
    void withdraw(SubId, int joinNo) override;
    void release(SubId, int joinNo, SfuId) override;
    void followList() override { follow_(); }

  private:
    class PendingJoin;
    std::string makeSessionKey(SubId, int joinNo) const;
    void finish(SubId, int joinNo, RequestResult, LoadReport, Micros duration);
    net::Net& net_;
    UpstreamClient& client_;
    std::string name_;
    std::size_t rungs_;
    hls::PlaylistLimits limits_;
    std::function<void()> follow_;
    core::Core* core_ = nullptr;
    std::set<SfuId> releasedEarlier_;  // media servers that releaseEarlierSessions() has notified
    std::map<SubId, JoinRequestSource*> requestSources_;
    std::map<SubId, std::unique_ptr<PendingJoin>> pending_;
    std::map<SubId, JoinResponse> responses_;
    // Finished joins, deleted on the next turn of the loop: they may be on the call stack.
    std::vector<std::unique_ptr<PendingJoin>> finished_;
    net::Timer deleteTimer_;
};

}  // namespace valekeel::upstream
