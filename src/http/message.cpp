#include "http/message.hpp"

#include <algorithm>
#include <cctype>

namespace valekeel::http {
namespace {

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}
int hexDigit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

}  // namespace

bool sameName(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

const std::string* Fields::find(std::string_view name) const {
    for (const Field& f : all_)
        if (sameName(f.name, name)) return &f.value;
    return nullptr;
}

std::optional<std::string> Fields::joined(std::string_view name) const {
    std::optional<std::string> out;
    for (const Field& f : all_) {
        if (!sameName(f.name, name)) continue;
        if (out)
            *out += ", " + f.value;
        else
            out = f.value;
    }
    return out;
}

std::size_t Fields::count(std::string_view name) const {
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [&](const Field& f) { return sameName(f.name, name); }));
}

std::optional<std::string> percentDecoded(std::string_view text, bool plusIsSpace) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%') {
            const int high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
            const int low = high >= 0 ? hexDigit(text[i + 2]) : -1;
            if (low < 0 || (high == 0 && low == 0)) return std::nullopt;
            out += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            out += plusIsSpace && text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

std::string percentEncoded(std::string_view text) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || c == '-' || c == '.' || c == '_' || c == '~') {
            out += c;
        } else {
            out += '%';
            out += kHex[byte >> 4];
            out += kHex[byte & 15];
        }
    }
    return out;
}

std::string RequestHead::path() const {
    const std::string_view whole = target;
    return percentDecoded(whole.substr(0, whole.find('?'))).value_or("");
}

std::string RequestHead::query() const {
    const auto questionMark = target.find('?');
    return questionMark == std::string::npos ? "" : target.substr(questionMark + 1);
}

std::optional<std::string> queryValue(std::string_view query, std::string_view key) {
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (percentDecoded(pair.substr(0, equals), true) == key)
            return equals == std::string_view::npos ? std::string()
                                                    : percentDecoded(pair.substr(equals + 1), true);
        if (end == std::string_view::npos) break;
        query.remove_prefix(end + 1);
    }
    return std::nullopt;
}

std::string_view reasonPhrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 202:
            return "Accepted";
        case 204:
            return "No Content";
        case 206:
            return "Partial Content";
        case 400:
            return "Bad Request";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 410:
            return "Gone";
        case 413:
            return "Content Too Large";
        case 414:
            return "URI Too Long";
        case 416:
            return "Range Not Satisfiable";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

}  // namespace valekeel::http
