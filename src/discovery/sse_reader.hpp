// Incremental parser of server-sent events, as defined by the WHATWG HTML standard (section 9.2). No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace valekeel::discovery {

// One event; `id` is the last id that the stream has sent, which may be that of an earlier event.
struct SseEvent {
    std::string type = "message", data, id;
};

class SseReader {
  public:
    // `maxBytes`: of one event; a longer one is dropped as a whole and counted. `onEvent` is called from
    // within feed().
    SseReader(std::size_t maxBytes, std::function<void(const SseEvent&)> onEvent)
        : maxBytes_(maxBytes), onEvent_(std::move(onEvent)) {}
    // Consumes the next bytes of the stream, split anywhere.
    void feed(std::string_view bytes);
    // The stream ended: drops an incomplete event, as the standard requires. Keeps the last id.
    void reset();
    const std::string& lastId() const { return lastId_; }
    long long retryMs() const { return retryMs_; }    // reconnection time; -1: none sent
    std::size_t tooLong() const { return tooLong_; }  // events dropped for their length

  private:
    void handleLine(std::string_view);
    std::size_t maxBytes_;
    std::function<void(const SseEvent&)> onEvent_;
    std::string line_, data_, type_, lastId_;
    bool sawCr_ = false, firstLine_ = true, dropping_ = false, hasData_ = false;
    long long retryMs_ = -1;
    std::size_t tooLong_ = 0;
};

}  // namespace valekeel::discovery
