#include "discovery/sse_reader.hpp"

#include <algorithm>

namespace valekeel::discovery {

void SseReader::reset() {
    line_.clear();
    data_.clear();
    type_.clear();
    sawCr_ = dropping_ = hasData_ = false;
    firstLine_ = true;
}

void SseReader::feed(std::string_view bytes) {
    for (const char c : bytes) {
        if (sawCr_ && c == '\n') {  // the second half of CRLF
            sawCr_ = false;
            continue;
        }
        sawCr_ = c == '\r';
        if (c != '\r' && c != '\n') {
            if (line_.size() + data_.size() >= maxBytes_)
                dropping_ = true;
            else
                line_ += c;
            continue;
        }
        std::string line;
        line.swap(line_);
        if (firstLine_) {
            firstLine_ = false;
            if (line.compare(0, 3, "\xef\xbb\xbf") == 0) line.erase(0, 3);  // byte order mark
        }
        handleLine(line);
    }
}

void SseReader::handleLine(std::string_view text) {
    if (text.empty()) {
        if (dropping_)
            ++tooLong_;
        else if (hasData_) {
            if (!data_.empty() && data_.back() == '\n') data_.pop_back();
            SseEvent event;
            if (!type_.empty()) event.type = type_;
            event.data = data_;
            event.id = lastId_;
            data_.clear();
            type_.clear();
            hasData_ = false;
            onEvent_(event);
            return;
        }
        data_.clear();
        type_.clear();
        dropping_ = hasData_ = false;
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
        hasData_ = true;
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
