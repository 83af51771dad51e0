// Follows the list of media servers and tells the core of it: from a stream of server-sent events, or from a
// watched file. Interprets nothing; late, repeated, out of order and cut short are told apart here. The last
// whole list is kept on disk and handed in as stale at a start.
#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "discovery/server_list.hpp"
#include "discovery/sse_reader.hpp"
#include "http/client.hpp"
#include "net/net.hpp"

namespace valekeel::discovery {

class ServerListHandler {
  public:
    virtual ~ServerListHandler() = default;
    virtual void onList(const std::vector<ServerListEntry>&, bool stale) = 0;
    virtual void onListChange(const std::vector<ServerListEntry>&) = 0;
    virtual void onListUnreachable(const std::string& why) = 0;
    virtual void onListAnomaly(const std::string& why) = 0;  // something was wrong with it, and passed over
};

class ListFollower {
  public:
    virtual ~ListFollower() = default;
    virtual void follow() = 0;  // begin, or begin again after a failure
};

struct FollowTimings {
    Micros pollInterval = 200'000;  // at the file
    Micros connectTimeout = 1'000'000;
    Micros silenceTimeout = 15'000'000;  // a stream that says nothing, not even a comment, is given up on
};

// `keptAt`: where the last list is kept; empty for nowhere.
std::unique_ptr<ListFollower> followFile(net::Net&, const std::string& path, const ListNames&,
                                         const ServerListLimits&, const FollowTimings&, ServerListHandler&);
// `target`: path of the stream. Events: "list" (the whole) and "change" (some lines), each with its version
// as id. A version that is not newer is passed over; a gap makes the stream be asked for the whole.
std::unique_ptr<ListFollower> followStream(net::Net&, const net::Endpoint&, const std::string& target,
                                           const ListNames&, const ServerListLimits&, const FollowTimings&,
                                           ServerListHandler&);

// Written beside, synced, then renamed: a reader finds the old one or the new one, whole.
void saveServerList(const std::string& path, const ServerList&, const ListNames&);

}  // namespace valekeel::discovery
