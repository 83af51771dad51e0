// HTTP/1.1 messages as both sides see them (RFC 9110, RFC 9112).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace valekeel::http {

struct Field {
    std::string name, value;
};

// In the order they came. Names compare without regard to case.
class Fields {
  public:
    void add(std::string_view name, std::string_view value) {
        all_.push_back({std::string(name), std::string(value)});
    }
    // The first of that name, or nothing.
    const std::string* find(std::string_view name) const;
    // All of that name, joined by ", " as section 5.3 of RFC 9110 allows; empty if there is none.
    std::optional<std::string> joined(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Field>& all() const { return all_; }
    void clear() { all_.clear(); }

  private:
    std::vector<Field> all_;
};

struct RequestHead {
    std::string method, target;
    Fields fields;
    std::string path() const;   // percent-decoded, without the query; empty if it is broken
    std::string query() const;  // as it came, without the "?"
};

struct ResponseHead {
    int status = 0;
    Fields fields;
    std::optional<std::uint64_t> length;
};

bool sameName(std::string_view a, std::string_view b);
// Percent-decoding (RFC 3986, section 2.1); nothing if a sequence is broken or yields a NUL.
std::optional<std::string> percentDecoded(std::string_view text, bool plusIsSpace = false);
std::string percentEncoded(std::string_view text);  // all but unreserved characters
// The value of one key of a query, decoded; the first where there are several.
std::optional<std::string> queryValue(std::string_view query, std::string_view key);
std::string_view reasonOf(int status);

// Named limits; what each one guards is said beside it. Over a limit a request is answered 400, 408, 413, 414
// or 431 and the connection closed; a response over a limit fails the fetch.
struct HttpLimits {
    std::uint32_t headBytes = 16'384;
    std::uint32_t fields = 64;
    std::uint32_t targetBytes = 8'192;
    std::uint64_t bodyBytes = 65'536;        // of a request; answers are streamed
    std::uint32_t outBytes = 262'144;        // unsent on one connection before the sender must wait
    std::int64_t headTimeout = 5'000'000;    // a request must be whole by then: slow senders are cut off
    std::int64_t idleTimeout = 30'000'000;   // between requests
    std::int64_t stallTimeout = 10'000'000;  // a reader that takes nothing for so long is cut off
    std::uint32_t connections = 20'000;      // accepted and open at once; more are closed at once
};

}  // namespace valekeel::http
