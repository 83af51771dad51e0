// Common Media Client Data (CTA-5004, version 1): what a player says with its requests, in four request
// headers, as the query argument CMCD, or as JSON. A hint never costs a request: what is missing, broken,
// doubled, too long or against the rest is dropped, its reason counted, and the rest used.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "hints/structured.hpp"

namespace valekeel::hints {

enum class DropReason : std::size_t {
    Malformed,      // the value breaks the grammar of its key
    WrongType,      // a number where a string belongs, and the like
    OutOfRange,     // negative, over the limit, or not among the values that the key allows
    Duplicate,      // a key given again: the first is kept
    TooLong,        // a string over the limit of its key, or a whole field over the limit
    UnknownKey,     // neither of the specification nor with a prefix of its own
    WrongHeader,    // a key in another header than its own: used all the same, and counted
    Contradictory,  // says what another hint shows to be untrue
    TooMany,        // over the number of keys that are read
    Count_
};
constexpr std::size_t kDropReasonCount = static_cast<std::size_t>(DropReason::Count_);
std::string_view nameOf(DropReason);
using DropCounts = std::array<std::uint64_t, kDropReasonCount>;

struct HintLimits {
    std::size_t fieldBytes = 4'096;  // of one header, or of the decoded query argument
    std::size_t keys = 64;
    std::size_t customBytes = 128;  // of the value of a custom key
};

using CustomValue = std::variant<bool, std::int64_t, Decimal, std::string, Token>;

// Times in milliseconds, rates in kbit/s, as the specification has them.
struct Cmcd {
    std::optional<std::int64_t> br, bl, bs, d, dl, mtp, rtp, tb;
    std::optional<std::string> cid, sid, nor, nrr;
    std::optional<std::string> ot, sf, st;  // one of the tokens that the specification lists
    std::optional<Decimal> pr;
    std::optional<bool> su, starved;  // `starved` is bs: the buffer ran empty since the last request
    std::optional<std::int64_t> v;
    std::vector<std::pair<std::string, CustomValue>> custom;
};

// The four headers' names, in the order of the specification; keys belong to one each.
inline constexpr std::array<std::string_view, 4> kCmcdHeaders{"CMCD-Object", "CMCD-Request", "CMCD-Session",
                                                              "CMCD-Status"};

class CmcdReader {
  public:
    explicit CmcdReader(const HintLimits& limits = {}) : limits_(limits) {}
    // Each may be called for one request; what came first wins.
    void header(std::size_t which, std::string_view value);
    void query(std::string_view decoded);  // the value of CMCD=, percent-decoded
    void json(std::string_view body);
    // Checks what hints say of each other, and gives them out.
    Cmcd finish();
    const DropCounts& dropped() const { return dropped_; }

  private:
    void read(std::string_view text, std::optional<std::size_t> header);
    void take(std::string_view key, const BareItem& value, std::optional<std::size_t> header);
    void drop(DropReason why) { ++dropped_[static_cast<std::size_t>(why)]; }
    HintLimits limits_;
    Cmcd out_;
    std::vector<std::string> seen_;
    DropCounts dropped_{};
};

// Back to bytes: keys in alphabetical order, nothing that is default.
std::string writeCmcdHeader(const Cmcd&, std::size_t which);  // empty if nothing belongs there
std::string writeCmcdQuery(const Cmcd&);                      // not yet percent-encoded
std::string writeCmcdJson(const Cmcd&);

}  // namespace valekeel::hints
