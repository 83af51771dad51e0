// Joins on the wire: the front's first fetch of a talk at the box that the module chose. What its end proves
// is read off the table in request_result.hpp, here and nowhere else.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/core.hpp"
#include "hls/playlist.hpp"
#include "upstream/upstream_client.hpp"

namespace valekeel::upstream {

// What a join says. The face that asked for the subscription knows it.
struct JoinRequest {
    std::string title, room;
    http::Fields fields;           // hints and trace, carried on
    std::string idempotencyToken;  // where not empty: a box that began this once answers 409, and does not
                                   // begin again
};
class JoinRequestSource {
  public:
    virtual ~JoinRequestSource() = default;
    virtual JoinRequest joinRequestFor(SubId, int joinNo) = 0;
};

// What a box answered to the join that plays.
struct JoinResponse {
    hls::Multivariant variants;  // in the order of the rungs
    std::string path;            // that it was found at
    std::string cmsdStatic, cmsdDynamic;
    Micros toHead = 0;
};

class JoinClient final : public core::JoinSender {
  public:
    // `name`: of this front, unlike that of any other and of its own earlier life: it names subscriptions at
    // boxes. `follow`: begins to follow the list.
    JoinClient(net::Net&, UpstreamClient&, std::string name, std::size_t rungs, const hls::PlaylistLimits&,
               std::function<void()> follow);
    ~JoinClient() override;
    void connect(core::Core& core) { core_ = &core; }
    void setRequestSource(SubId id, JoinRequestSource& one) { scribes_[id] = &one; }
    void forget(SubId);

    // Tells a box, the first time that it is heard of, that what earlier lives of this front hold there is
    // over: a front that was killed could not, and its seats would count beside those of this life.
    void releaseEarlierSessions(SfuId);

    std::string keyOf(SubId) const;  // under which boxes know it
    const JoinResponse* responseOf(SubId) const;

    void join(SubId, int joinNo, SfuId, int rung, Micros timeOut, bool paid) override;
    void cancel(SubId, int joinNo) override;
    void withdraw(SubId, int joinNo) override;
    void release(SubId, SfuId) override;
    void followList() override { follow_(); }

  private:
    class Out;
    void ended(SubId, int joinNo, RequestResult, LoadReport, Micros took);
    net::Net& net_;
    UpstreamClient& boxes_;
    std::string name_;
    std::size_t rungs_;
    hls::PlaylistLimits limits_;
    std::function<void()> follow_;
    core::Core* core_ = nullptr;
    std::set<SfuId> told_;  // of this life
    std::map<SubId, JoinRequestSource*> scribes_;
    std::map<SubId, std::unique_ptr<Out>> out_;
    std::map<SubId, JoinResponse> answers_;
    std::vector<std::unique_ptr<Out>> dead_;
    net::Timer bury_;
};

}  // namespace valekeel::upstream
