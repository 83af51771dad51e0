#include "discovery/sse_reader.hpp"

#include <algorithm>

namespace valekeel::discovery {

void SseReader::reset() {
    line_.clear();
    data_.clear();
    type_.clear();
    sawCr_ = dropping_ = any_ = false;
    first_ = true;
}

void SseReader::feed(std::string_view bytes) {
    for (const char c : bytes) {
        if (sawCr_ && c == '\n') {  // the second half of CRLF
            sawCr_ = false;
            continue;
        }
        sawCr_ = c == '\r';
        if (c != '\r' && c != '\n') {
            if (line_.size() + data_.size() >= most_)
                dropping_ = true;
            else
                line_ += c;
            continue;
        }
        std::string whole;
        whole.swap(line_);
        if (first_) {
            first_ = false;
            if (whole.compare(0, 3, "\xef\xbb\xbf") == 0) whole.erase(0, 3);
        }
        line(whole);
    }
}

void SseReader::line(std::string_view text) {
    if (text.empty()) {
        if (dropping_)
            ++tooLong_;
        else if (any_) {
            if (!data_.empty() && data_.back() == '\n') data_.pop_back();
            SseEvent event;
            if (!type_.empty()) event.type = type_;
            event.data = data_;
            event.id = lastId_;
            data_.clear();
            type_.clear();
            any_ = false;
            heard_(event);
            return;
        }
        data_.clear();
        type_.clear();
        dropping_ = any_ = false;
        return;
    }
    if (text.front() == ':') return;
    const auto colon = text.find(':');
    const std::string_view field = text.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (field == "data") {
        data_ += value;
        data_ += '\n';
        any_ = true;
    } else if (field == "event") {
        type_ = value;
    } else if (field == "id") {
        if (value.find('\0') == std::string_view::npos) lastId_ = value;
    } else if (field == "retry") {
        if (!value.empty() && value.size() < 10 &&
            std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; }))
            retryMs_ = std::stoll(std::string(value));
    }
}

}  // namespace valekeel::discovery
