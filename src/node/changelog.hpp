// The platform's change log: numbered events of the list of media servers, as frames over TCP. FrameReader
// turns bytes into events and knows no clock; ChangeLog keeps a connection to it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "discovery/server_list.hpp"
#include "net/net.hpp"
#include "setup/values.hpp"

namespace valekeel::node {

struct ChangeEvent {
    std::uint64_t number = 0;
    bool whole = false;                               // the whole list, else changes
    std::vector<discovery::ServerListEntry> entries;  // `launched` in Unix microseconds
};

// What `known` of the configuration holds. Throws setup::Bad.
std::vector<ChangeEvent> knownEvents(const setup::Json& known, const discovery::ListNames&);

class FrameReader {
  public:
    FrameReader(std::size_t kinds, std::size_t zones, std::size_t mostRecords)
        : kinds_(kinds), zones_(zones), most_(mostRecords) {}
    // Calls back for each whole frame; an empty one has no boxes and says the last number. False where the
    // bytes are no frames: nothing more can be read of them.
    bool feed(std::string_view bytes, const std::function<void(const ChangeEvent&, bool empty)>&);
    void reset() { held_.clear(); }

  private:
    std::size_t kinds_, zones_, most_;
    std::string held_;
};

struct ChangeLogTimes {
    Micros connectWithin = 1'200'000;  // some come up late, by up to a second
    Micros beat = kSecond;             // an empty frame is due so often
    Micros silent = 1'500'000;         // without a whole frame; doubled where one asked said none, up to
    Micros silentAtMost = 6 * kSecond;
    Micros again = 100'000;  // after a break, give or take a half of it, and doubled up to
    Micros againAtMost = 400'000;
};

class ChangeLogHandler {
  public:
    virtual ~ChangeLogHandler() = default;
    virtual void changed(const ChangeEvent&) = 0;
    virtual void current() = 0;                            // all that there was has been told
    virtual void unreachable(const std::string& why) = 0;  // at the first failure: of a start, or since well
};

class ChangeLog final : private net::StreamHandler {
  public:
    ChangeLog(net::Net&, const net::Endpoint&, std::uint64_t last, FrameReader, const ChangeLogTimes&,
              ChangeLogHandler&);
    ~ChangeLog() override;
    void start() { open(); }
    // From here on it is asked there; also from within a call to the user.
    void moveTo(const net::Endpoint&);
    std::uint64_t last() const { return last_; }

  private:
    void open();
    void lost(const std::string& why);
    void silence();
    void frame(const ChangeEvent&, bool empty);
    void onConnected() override;
    void onConnectFailed(net::ConnectError) override { lost("no connection"); }
    void onReadable() override;
    void onWritable() override {}

    net::Net& net_;
    net::Endpoint at_;
    std::uint64_t last_;
    FrameReader reader_;
    ChangeLogTimes times_;
    ChangeLogHandler& user_;
    std::unique_ptr<net::Stream> stream_;
    net::Timer silent_, again_, more_;
    Micros wait_, patience_, askedAt_ = 0;
    bool well_ = true, gap_ = false;
    bool sent_ = false, heard_ = false;  // on this connection: the question, a whole frame
    std::uint64_t gapFrom_ = 0;
};

}  // namespace valekeel::node
