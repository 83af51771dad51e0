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

class ListUser {
  public:
    virtual ~ListUser() = default;
    virtual void listIs(const std::vector<BoxLine>&, bool stale) = 0;
    virtual void listChangedBy(const std::vector<BoxLine>&) = 0;
    virtual void listUnreachable(const std::string& why) = 0;
    virtual void listOdd(const std::string& why) = 0;  // something was wrong with it, and passed over
};

class Follower {
  public:
    virtual ~Follower() = default;
    virtual void follow() = 0;  // begin, or begin again after a failure
};

struct FollowTimes {
    Micros lookEvery = 200'000;  // at the file
    Micros connectWithin = 1'000'000;
    Micros silentFor = 15'000'000;  // a stream that says nothing, not even a comment, is given up on
};

// `keptAt`: where the last list is kept; empty for nowhere.
std::unique_ptr<Follower> followFile(net::Net&, const std::string& path, const Names&, const ListLimits&,
                                     const FollowTimes&, ListUser&);
// `target`: path of the stream. Events: "list" (the whole) and "change" (some lines), each with its version
// as id. A version that is not newer is passed over; a gap makes the stream be asked for the whole.
std::unique_ptr<Follower> followStream(net::Net&, const net::Endpoint&, const std::string& target,
                                       const Names&, const ListLimits&, const FollowTimes&, ListUser&);

// Written beside, synced, then renamed: a reader finds the old one or the new one, whole.
void keepList(const std::string& path, const BoxList&, const Names&);

}  // namespace valekeel::discovery
