// Server-sent events as the WHATWG's HTML standard has them (section 9.2): bytes in, events out. No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace valekeel::discovery {

struct SseEvent {
    std::string type = "message", data, id;
};

class SseReader {
  public:
    // `most`: bytes of one event; a longer one is dropped whole and counted.
    SseReader(std::size_t most, std::function<void(const SseEvent&)> heard)
        : most_(most), heard_(std::move(heard)) {}
    void feed(std::string_view bytes);
    // The stream ended: what was begun is dropped, as the standard says.
    void reset();
    const std::string& lastId() const { return lastId_; }
    long long retryMs() const { return retryMs_; }  // -1: never told
    std::size_t tooLong() const { return tooLong_; }

  private:
    void line(std::string_view);
    std::size_t most_;
    std::function<void(const SseEvent&)> heard_;
    std::string line_, data_, type_, lastId_;
    bool sawCr_ = false, first_ = true, dropping_ = false, any_ = false;
    long long retryMs_ = -1;
    std::size_t tooLong_ = 0;
};

}  // namespace valekeel::discovery
