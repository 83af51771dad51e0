// Follows the server list, from a stream of server-sent events or from a watched file, and reports it to a
// handler. Detects events that are late, repeated, missing or truncated; does not interpret the entries. The
// handler may save the last complete list and start from it, as stale, the next time.
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

// Receives what a follower finds. Called from the event loop; must outlive the follower.
class ServerListHandler {
  public:
    virtual ~ServerListHandler() = default;
    virtual void onList(const std::vector<ServerListEntry>&, bool stale) = 0;  // the complete list
    virtual void onListChange(const std::vector<ServerListEntry>&) = 0;        // the changed entries
    virtual void onListUnreachable(const std::string& why) = 0;
    virtual void onListAnomaly(const std::string& why) = 0;  // faulty input, which was ignored
};

// Owned by the caller; deleting it stops following.
class ListFollower {
  public:
    virtual ~ListFollower() = default;
    virtual void follow() = 0;  // starts, or restarts after onListUnreachable()
};

struct FollowTimings {
    Micros pollInterval = 200'000;  // of the file
    Micros connectTimeout = 1'000'000;
    Micros silenceTimeout = 15'000'000;  // a stream without a byte for so long has failed
};

// Reads the file whenever it has changed. A faulty file is reported, and the last list stays in force.
std::unique_ptr<ListFollower> followFile(net::Net&, const std::string& path, const ListNames&,
                                         const ServerListLimits&, const FollowTimings&, ServerListHandler&);
// Reads the event stream at the path `target`. Its events are "list" (the complete list) and "change" (some
// entries), with the version as id. A version that is not newer is ignored; after a gap, the complete list
// is requested.
std::unique_ptr<ListFollower> followStream(net::Net&, const net::Endpoint&, const std::string& target,
                                           const ListNames&, const ServerListLimits&, const FollowTimings&,
                                           ServerListHandler&);

// Replaces the file atomically (temporary file, sync, rename): a reader sees the complete old or new list.
// Throws std::runtime_error.
void saveServerList(const std::string& path, const ServerList&, const ListNames&);

}  // namespace valekeel::discovery
