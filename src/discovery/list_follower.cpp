#include "discovery/list_follower.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

#include "settings/document.hpp"
#include "settings/kdl.hpp"

namespace valekeel::discovery {
namespace {

class FileFollower final : public Follower {
  public:
    FileFollower(net::Net& net, std::string path, Names names, const ListLimits& limits,
                 const FollowTimes& times, ListUser& user)
        : path_(std::move(path)),
          names_(std::move(names)),
          limits_(limits),
          times_(times),
          user_(user),
          look_(net, [this] { look(); }) {}

    void follow() override {
        if (!look_.isSet()) look_.after(0);
    }

  private:
    void look() {
        look_.after(times_.lookEvery);
        std::ifstream in(path_, std::ios::binary);
        if (!in) {
            // Told once for each time that it goes: the module asks again by itself.
            if (!std::exchange(missing_, true)) user_.listUnreachable(path_ + ": cannot be read");
            return;
        }
        missing_ = false;
        std::ostringstream text;
        text << in.rdbuf();
        if (text.str() == last_) return;
        last_ = text.str();
        try {
            const BoxList list = parseList(path_, last_, names_, limits_);
            if (list.version > 0 && list.version <= version_ && version_ > 0) {
                user_.listOdd(path_ + ": version " + std::to_string(list.version) + " is not newer than " +
                              std::to_string(version_) + "; passed over");
                return;
            }
            version_ = list.version;
            user_.listIs(list.boxes, false);
        } catch (const settings::Wrong& wrong) {
            user_.listOdd(wrong.brief);  // half written, or mistaken: the one held still applies
        }
    }

    std::string path_;
    Names names_;
    ListLimits limits_;
    FollowTimes times_;
    ListUser& user_;
    net::Timer look_;
    std::string last_;
    std::int64_t version_ = 0;
    bool missing_ = false;
};

class StreamFollower final : public Follower, http::FetchUser {
  public:
    StreamFollower(net::Net& net, const net::Endpoint& at, std::string target, Names names,
                   const ListLimits& limits, const FollowTimes& times, ListUser& user)
        : net_(net),
          at_(at),
          target_(std::move(target)),
          names_(std::move(names)),
          limits_(limits),
          times_(times),
          user_(user),
          reader_(limits.bytes, [this](const Event& e) { heard(e); }),
          silent_(net, [this] { lost("the list's stream is silent"); }),
          again_(net, [this] { open(); }),
          bury_(net, [this] { dead_.reset(); }) {}

    void follow() override {
        if (!conn_ && !again_.isSet()) again_.after(0);
    }

  private:
    void open() {
        reader_.reset();
        conn_ = std::make_unique<http::Connection>(net_, at_, http::WireLimits{}, times_.connectWithin);
        http::Fields fields;
        fields.add("Accept", "text/event-stream");
        fields.add("Cache-Control", "no-store");
        if (version_ > 0 && !wantWhole_) fields.add("Last-Event-ID", std::to_string(version_));
        conn_->fetch(http::requestBytes("GET", target_, at_, fields), false, *this);
        silent_.after(times_.silentFor);
        status_ = 0;
    }

    void answered(const http::ResponseHead& head) override {
        status_ = head.status;
        const std::string* type = head.fields.find("Content-Type");
        if (status_ == 200 && (!type || type->compare(0, 17, "text/event-stream") != 0)) status_ = 0;
    }
    void piece(std::string_view bytes) override {
        silent_.after(times_.silentFor);
        if (status_ == 200) reader_.feed(bytes);
        if (gap_) {
            gap_ = false;
            wantWhole_ = true;
            close();
            again_.after(0);
        }
    }
    void fetched(bool) override {
        lost(status_ == 200 ? "the list's stream ended" : "the list is answered " + std::to_string(status_));
    }
    void failed(http::Failed how) override {
        lost(how == http::Failed::Refused        ? "nobody listens where the list should be"
             : how == http::Failed::NoConnection ? "no connection to the list"
                                                 : "the list's stream broke");
    }

    void heard(const Event& event) {
        std::int64_t version = 0;
        const auto [end, bad] = std::from_chars(event.id.data(), event.id.data() + event.id.size(), version);
        if (bad != std::errc{} || end != event.id.data() + event.id.size()) {
            user_.listOdd("an event of the list without a number as its id; passed over");
            return;
        }
        const bool whole = event.type == "list";
        if (!whole && event.type != "change") return;  // a kind of event from a later day
        if (version <= version_ && !(whole && wantWhole_)) {
            user_.listOdd("version " + std::to_string(version) +
                          " of the list came again or late; passed over");
            return;
        }
        if (!whole && version != version_ + 1) {
            user_.listOdd("between versions " + std::to_string(version_) + " and " + std::to_string(version) +
                          " of the list something is missing; the whole is asked for");
            gap_ = true;
            return;
        }
        try {
            const BoxList list = parseList("list", event.data, names_, limits_);
            version_ = version;
            if (whole) {
                wantWhole_ = false;
                user_.listIs(list.boxes, false);
            } else {
                user_.listChangedBy(list.boxes);
            }
        } catch (const settings::Wrong& wrong) {
            user_.listOdd(wrong.brief);
            if (!whole) gap_ = true;  // what it should have changed is not known
        }
    }

    void lost(const std::string& why) {
        close();
        user_.listUnreachable(why);
    }
    void close() {
        silent_.cancel();
        if (conn_) conn_->abandon();
        dead_ = std::move(conn_);
        bury_.soon();
    }

    net::Net& net_;
    net::Endpoint at_;
    std::string target_;
    Names names_;
    ListLimits limits_;
    FollowTimes times_;
    ListUser& user_;
    EventReader reader_;
    std::unique_ptr<http::Connection> conn_, dead_;
    net::Timer silent_, again_, bury_;
    std::int64_t version_ = 0;
    int status_ = 0;
    bool wantWhole_ = false, gap_ = false;
};

}  // namespace

std::unique_ptr<Follower> followFile(net::Net& net, const std::string& path, const Names& names,
                                     const ListLimits& limits, const FollowTimes& times, ListUser& user) {
    return std::make_unique<FileFollower>(net, path, names, limits, times, user);
}

std::unique_ptr<Follower> followStream(net::Net& net, const net::Endpoint& at, const std::string& target,
                                       const Names& names, const ListLimits& limits, const FollowTimes& times,
                                       ListUser& user) {
    return std::make_unique<StreamFollower>(net, at, target, names, limits, times, user);
}

void keepList(const std::string& path, const BoxList& list, const Names& names) {
    settings::keepText(path, writeList(list, names));
}

}  // namespace valekeel::discovery
