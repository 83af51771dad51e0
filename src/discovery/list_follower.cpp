#include "discovery/list_follower.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

#include "settings/document.hpp"
#include "settings/kdl.hpp"

namespace valekeel::discovery {
namespace {

class FileFollower final : public ListFollower {
  public:
    FileFollower(net::Net& net, std::string path, ListNames names, const ServerListLimits& limits,
                 const FollowTimings& times, ServerListHandler& user)
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
        look_.after(times_.pollInterval);
        std::ifstream in(path_, std::ios::binary);
        if (!in) {
            // Told once for each time that it goes: the module asks again by itself.
            if (!std::exchange(missing_, true)) user_.onListUnreachable(path_ + ": cannot be read");
            return;
        }
        missing_ = false;
        std::ostringstream text;
        text << in.rdbuf();
        if (text.str() == last_) return;
        last_ = text.str();
        try {
            const ServerList list = parseServerList(path_, last_, names_, limits_);
            if (list.version > 0 && list.version <= version_ && version_ > 0) {
                user_.onListAnomaly(path_ + ": version " + std::to_string(list.version) +
                                    " is not newer than " + std::to_string(version_) + "; passed over");
                return;
            }
            version_ = list.version;
            user_.onList(list.servers, false);
        } catch (const settings::SettingsError& wrong) {
            user_.onListAnomaly(wrong.brief);  // half written, or mistaken: the one held still applies
        }
    }

    std::string path_;
    ListNames names_;
    ServerListLimits limits_;
    FollowTimings times_;
    ServerListHandler& user_;
    net::Timer look_;
    std::string last_;
    std::int64_t version_ = 0;
    bool missing_ = false;
};

class StreamFollower final : public ListFollower, http::FetchHandler {
  public:
    StreamFollower(net::Net& net, const net::Endpoint& at, std::string target, ListNames names,
                   const ServerListLimits& limits, const FollowTimings& times, ServerListHandler& user)
        : net_(net),
          at_(at),
          target_(std::move(target)),
          names_(std::move(names)),
          limits_(limits),
          times_(times),
          user_(user),
          reader_(limits.bytes, [this](const SseEvent& e) { heard(e); }),
          silent_(net, [this] { lost("the list's stream is silent"); }),
          again_(net, [this] { open(); }),
          bury_(net, [this] { dead_.reset(); }) {}

    void follow() override {
        if (!conn_ && !again_.isSet()) again_.after(0);
    }

  private:
    void open() {
        reader_.reset();
        conn_ = std::make_unique<http::Connection>(net_, at_, http::HttpLimits{}, times_.connectTimeout);
        http::Fields fields;
        fields.add("Accept", "text/event-stream");
        fields.add("Cache-Control", "no-store");
        if (version_ > 0 && !wantWhole_) fields.add("Last-Event-ID", std::to_string(version_));
        conn_->fetch(http::requestBytes("GET", target_, at_, fields), false, *this);
        silent_.after(times_.silenceTimeout);
        status_ = 0;
    }

    void onHead(const http::ResponseHead& head) override {
        status_ = head.status;
        const std::string* type = head.fields.find("Content-Type");
        if (status_ == 200 && (!type || type->compare(0, 17, "text/event-stream") != 0)) status_ = 0;
    }
    void onBody(std::string_view bytes) override {
        silent_.after(times_.silenceTimeout);
        if (status_ == 200) reader_.feed(bytes);
        if (gap_) {
            gap_ = false;
            wantWhole_ = true;
            close();
            again_.after(0);
        }
    }
    void onFetched(bool) override {
        lost(status_ == 200 ? "the list's stream ended" : "the list is answered " + std::to_string(status_));
    }
    void onFailed(http::FetchError how) override {
        lost(how == http::FetchError::Refused        ? "nobody listens where the list should be"
             : how == http::FetchError::NoConnection ? "no connection to the list"
                                                     : "the list's stream broke");
    }

    void heard(const SseEvent& event) {
        std::int64_t version = 0;
        const auto [end, bad] = std::from_chars(event.id.data(), event.id.data() + event.id.size(), version);
        if (bad != std::errc{} || end != event.id.data() + event.id.size()) {
            user_.onListAnomaly("an event of the list without a number as its id; passed over");
            return;
        }
        const bool whole = event.type == "list";
        if (!whole && event.type != "change") return;  // a kind of event from a later day
        if (version <= version_ && !(whole && wantWhole_)) {
            user_.onListAnomaly("version " + std::to_string(version) +
                                " of the list came again or late; passed over");
            return;
        }
        if (!whole && version != version_ + 1) {
            user_.onListAnomaly("between versions " + std::to_string(version_) + " and " +
                                std::to_string(version) +
                                " of the list something is missing; the whole is asked for");
            gap_ = true;
            return;
        }
        try {
            const ServerList list = parseServerList("list", event.data, names_, limits_);
            version_ = version;
            if (whole) {
                wantWhole_ = false;
                user_.onList(list.servers, false);
            } else {
                user_.onListChange(list.servers);
            }
        } catch (const settings::SettingsError& wrong) {
            user_.onListAnomaly(wrong.brief);
            if (!whole) gap_ = true;  // what it should have changed is not known
        }
    }

    void lost(const std::string& why) {
        close();
        user_.onListUnreachable(why);
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
    ListNames names_;
    ServerListLimits limits_;
    FollowTimings times_;
    ServerListHandler& user_;
    SseReader reader_;
    std::unique_ptr<http::Connection> conn_, dead_;
    net::Timer silent_, again_, bury_;
    std::int64_t version_ = 0;
    int status_ = 0;
    bool wantWhole_ = false, gap_ = false;
};

}  // namespace

std::unique_ptr<ListFollower> followFile(net::Net& net, const std::string& path, const ListNames& names,
                                         const ServerListLimits& limits, const FollowTimings& times,
                                         ServerListHandler& user) {
    return std::make_unique<FileFollower>(net, path, names, limits, times, user);
}

std::unique_ptr<ListFollower> followStream(net::Net& net, const net::Endpoint& at, const std::string& target,
                                           const ListNames& names, const ServerListLimits& limits,
                                           const FollowTimings& times, ServerListHandler& user) {
    return std::make_unique<StreamFollower>(net, at, target, names, limits, times, user);
}

void saveServerList(const std::string& path, const ServerList& list, const ListNames& names) {
    settings::writeFileAtomically(path, formatServerList(list, names));
}

}  // namespace valekeel::discovery
