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
                 const FollowTimings& timings, ServerListHandler& handler)
        : path_(std::move(path)),
          names_(std::move(names)),
          limits_(limits),
          timings_(timings),
          handler_(handler),
          pollTimer_(net, [this] { poll(); }) {}

    void follow() override {
        if (!pollTimer_.isSet()) pollTimer_.after(0);
    }

  private:
    void poll() {
        pollTimer_.after(timings_.pollInterval);
        std::ifstream in(path_, std::ios::binary);
        if (!in) {
            // Reported only once per disappearance: the module asks again by itself.
            if (!std::exchange(missing_, true)) handler_.onListUnreachable(path_ + ": cannot be read");
            return;
        }
        missing_ = false;
        std::ostringstream text;
        text << in.rdbuf();
        if (text.str() == lastText_) return;
        lastText_ = text.str();
        try {
            const ServerList list = parseServerList(path_, lastText_, names_, limits_);
            if (list.version > 0 && list.version <= version_ && version_ > 0) {
                handler_.onListAnomaly(path_ + ": version " + std::to_string(list.version) +
                                       " is not newer than " + std::to_string(version_) + "; ignored");
                return;
            }
            version_ = list.version;
            handler_.onList(list.servers, false);
        } catch (const settings::SettingsError& error) {
            handler_.onListAnomaly(error.brief);  // half written, or faulty: the last list stays in force
        }
    }

    std::string path_;
    ListNames names_;
    ServerListLimits limits_;
    FollowTimings timings_;
    ServerListHandler& handler_;
    net::Timer pollTimer_;
    std::string lastText_;
    std::int64_t version_ = 0;
    bool missing_ = false;
};

class StreamFollower final : public ListFollower, http::FetchHandler {
  public:
    StreamFollower(net::Net& net, const net::Endpoint& address, std::string target, ListNames names,
                   const ServerListLimits& limits, const FollowTimings& timings, ServerListHandler& handler)
        : net_(net),
          address_(address),
          target_(std::move(target)),
          names_(std::move(names)),
          limits_(limits),
          timings_(timings),
          handler_(handler),
          reader_(limits.bytes, [this](const SseEvent& event) { onEvent(event); }),
          silenceTimer_(net, [this] { onLost("the list stream is silent"); }),
          reconnectTimer_(net, [this] { open(); }),
          deleteTimer_(net, [this] { closedConnection_.reset(); }) {}

    void follow() override {
        if (!connection_ && !reconnectTimer_.isSet()) reconnectTimer_.after(0);
    }

  private:
    void open() {
        reader_.reset();
        connection_ =
            std::make_unique<http::Connection>(net_, address_, http::HttpLimits{}, timings_.connectTimeout);
        http::Fields fields;
        fields.add("Accept", "text/event-stream");
        fields.add("Cache-Control", "no-store");
        if (version_ > 0 && !wantCompleteList_) fields.add("Last-Event-ID", std::to_string(version_));
        connection_->fetch(http::requestBytes("GET", target_, address_, fields), false, *this);
        silenceTimer_.after(timings_.silenceTimeout);
        status_ = 0;
    }

    void onHead(const http::ResponseHead& head) override {
        status_ = head.status;
        const std::string* type = head.fields.find("Content-Type");
        if (status_ == 200 && (!type || type->compare(0, 17, "text/event-stream") != 0)) status_ = 0;
    }
    void onBody(std::string_view bytes) override {
        silenceTimer_.after(timings_.silenceTimeout);
        if (status_ == 200) reader_.feed(bytes);
        if (versionMissing_) {
            versionMissing_ = false;
            wantCompleteList_ = true;
            close();
            reconnectTimer_.after(0);
        }
    }
    void onFetched(bool) override {
        onLost(status_ == 200 ? "the list stream ended"
                              : "the list stream was answered with status " + std::to_string(status_));
    }
    void onFailed(http::FetchError error) override {
        onLost(error == http::FetchError::Refused        ? "the list server refused the connection"
               : error == http::FetchError::NoConnection ? "no connection to the list server"
                                                         : "the list stream broke off");
    }

    void onEvent(const SseEvent& event) {
        std::int64_t version = 0;
        const auto [end, error] =
            std::from_chars(event.id.data(), event.id.data() + event.id.size(), version);
        if (error != std::errc{} || end != event.id.data() + event.id.size()) {
            handler_.onListAnomaly("a list event whose id is not a number; ignored");
            return;
        }
        const bool complete = event.type == "list";
        if (!complete && event.type != "change") return;  // an event type of a later version of the protocol
        if (version <= version_ && !(complete && wantCompleteList_)) {
            handler_.onListAnomaly("version " + std::to_string(version) +
                                   " of the list is repeated or late; ignored");
            return;
        }
        if (!complete && version != version_ + 1) {
            handler_.onListAnomaly("versions of the list between " + std::to_string(version_) + " and " +
                                   std::to_string(version) + " are missing; requesting the complete list");
            versionMissing_ = true;
            return;
        }
        try {
            const ServerList list = parseServerList("list", event.data, names_, limits_);
            version_ = version;
            if (complete) {
                wantCompleteList_ = false;
                handler_.onList(list.servers, false);
            } else {
                handler_.onListChange(list.servers);
            }
        } catch (const settings::SettingsError& error) {
            handler_.onListAnomaly(error.brief);
            if (!complete) versionMissing_ = true;  // its changes are unknown
        }
    }

    void onLost(const std::string& why) {
        close();
        handler_.onListUnreachable(why);
    }
    void close() {
        silenceTimer_.cancel();
        if (connection_) connection_->abandon();
        closedConnection_ = std::move(connection_);
        deleteTimer_.soon();
    }

    net::Net& net_;
    net::Endpoint address_;
    std::string target_;
    ListNames names_;
    ServerListLimits limits_;
    FollowTimings timings_;
    ServerListHandler& handler_;
    SseReader reader_;
    std::unique_ptr<http::Connection> connection_, closedConnection_;
    net::Timer silenceTimer_, reconnectTimer_, deleteTimer_;
    std::int64_t version_ = 0;
    int status_ = 0;
    bool wantCompleteList_ = false, versionMissing_ = false;
};

}  // namespace

std::unique_ptr<ListFollower> followFile(net::Net& net, const std::string& path, const ListNames& names,
                                         const ServerListLimits& limits, const FollowTimings& timings,
                                         ServerListHandler& handler) {
    return std::make_unique<FileFollower>(net, path, names, limits, timings, handler);
}

std::unique_ptr<ListFollower> followStream(net::Net& net, const net::Endpoint& address,
                                           const std::string& target, const ListNames& names,
                                           const ServerListLimits& limits, const FollowTimings& timings,
                                           ServerListHandler& handler) {
    return std::make_unique<StreamFollower>(net, address, target, names, limits, timings, handler);
}

void saveServerList(const std::string& path, const ServerList& list, const ListNames& names) {
    settings::writeFileAtomically(path, formatServerList(list, names));
}

}  // namespace valekeel::discovery
