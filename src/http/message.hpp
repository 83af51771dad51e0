// Heads of HTTP/1.1 messages, percent-encoding and message limits, for client and server (RFC 9110, RFC
// 9112).
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

// Header fields in the order they were added. Names are compared case-insensitively.
class Fields {
  public:
    void add(std::string_view name, std::string_view value) {
        all_.push_back({std::string(name), std::string(value)});
    }
    // Returns the value of the first field of that name, or null.
    const std::string* find(std::string_view name) const;
    // Returns the values of all fields of that name, joined by ", " (RFC 9110, section 5.3); empty if none.
    std::optional<std::string> joined(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Field>& all() const { return all_; }
    void clear() { all_.clear(); }

  private:
    std::vector<Field> all_;
};

// The request line and header fields.
struct RequestHead {
    std::string method, target;
    Fields fields;
    std::string path() const;   // percent-decoded, without the query; empty if the encoding is invalid
    std::string query() const;  // still encoded, without the "?"
};

// The status line and header fields.
struct ResponseHead {
    int status = 0;
    Fields fields;
    std::optional<std::uint64_t> length;  // of the body, in bytes, if the head states it
};

bool sameName(std::string_view a, std::string_view b);  // ASCII case-insensitive
// Percent-decodes `text` (RFC 3986, section 2.1). Empty if a sequence is invalid or decodes to NUL.
std::optional<std::string> percentDecoded(std::string_view text, bool plusIsSpace = false);
std::string percentEncoded(std::string_view text);  // encodes all but unreserved characters
// Returns the decoded value of the first occurrence of `key`. Empty if it is missing or its encoding is
// invalid.
std::optional<std::string> queryValue(std::string_view query, std::string_view key);
std::string_view reasonPhrase(int status);  // "Status" if unknown

// Limits and timeouts; timeouts are in microseconds. A request over a limit is answered 400, 408, 413, 414 or
// 431 and its connection is closed; a response over a limit fails the fetch.
struct HttpLimits {
    std::uint32_t headBytes = 16'384;
    std::uint32_t fields = 64;
    std::uint32_t targetBytes = 8'192;
    std::uint64_t bodyBytes = 65'536;  // of a request; responses are streamed
    std::uint32_t outBytes = 262'144;  // unsent on one connection before the sender must wait
    std::int64_t headTimeout =
        5'000'000;  // from the first byte of a request until it is complete: guards against slow senders
    std::int64_t idleTimeout = 30'000'000;  // without a request on a connection
    std::int64_t stallTimeout =
        10'000'000;  // without progress in sending: guards against readers that stop reading
    std::uint64_t bufferedBytes =
        64 * 1024 * 1024;                // unfinished requests and unsent responses, of all connections
    std::uint32_t connections = 20'000;  // open at the same time; further ones are reset on accept
};

}  // namespace valekeel::http
