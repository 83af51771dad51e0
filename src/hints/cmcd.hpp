// Common Media Client Data (CTA-5004, version 1): hints that a player sends with its requests, in four
// request headers, as the query argument CMCD, or as JSON. A bad hint never fails a request: one that is
// malformed, duplicate, too long or contradictory is dropped and counted by reason, and the rest is used.
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

// Why a hint was dropped; a hint with WrongHeader is counted, but used.
enum class DropReason : std::size_t {
    Malformed,      // the value violates the grammar of its key
    WrongType,      // for example a number instead of a string
    OutOfRange,     // negative, over the limit, or not among the values that the key allows
    Duplicate,      // a repeated key; its first value is kept
    TooLong,        // a string over the limit of its key, or a whole field over the limit
    UnknownKey,     // neither in the specification nor a custom key with a prefix
    WrongHeader,    // a key in another header than its own
    Contradictory,  // refuted by another hint, or of a later version
    TooMany,        // over HintLimits::keys
    Count_
};
constexpr std::size_t kDropReasonCount = static_cast<std::size_t>(DropReason::Count_);
std::string_view nameOf(DropReason);  // the name in logs and status
// Dropped hints, indexed by DropReason.
using DropCounts = std::array<std::uint64_t, kDropReasonCount>;

// Limits on the hints of one request.
struct HintLimits {
    std::size_t fieldBytes = 4'096;  // of one header, or of the decoded query argument
    std::size_t keys = 64;
    std::size_t customBytes = 128;  // of the value of a custom key
};

// The value of a custom key.
using CustomValue = std::variant<bool, std::int64_t, Decimal, std::string, Token>;

// The hints of one request, named by their keys in CTA-5004, table 1. Times are in milliseconds, rates in
// kbit/s.
struct Cmcd {
    std::optional<std::int64_t> br, bl, bs, d, dl, mtp, rtp, tb;
    std::optional<std::string> cid, sid, nor, nrr;
    std::optional<std::string> ot, sf, st;  // tokens that the specification lists
    std::optional<Decimal> pr;
    std::optional<bool> su, starved;  // `starved` is key bs: the buffer ran empty since the last request
    std::optional<std::int64_t> v;
    std::vector<std::pair<std::string, CustomValue>> custom;
};

// The four header names, in the order of the specification. Each key belongs to one of them.
inline constexpr std::array<std::string_view, 4> kCmcdHeaders{"CMCD-Object", "CMCD-Request", "CMCD-Session",
                                                              "CMCD-Status"};

// Collects the hints of one request. All the read functions may be called for it; the first value of a key
// wins.
class CmcdReader {
  public:
    explicit CmcdReader(const HintLimits& limits = {}) : limits_(limits) {}
    void readHeader(std::size_t index, std::string_view value);  // `index` into kCmcdHeaders
    void readQuery(std::string_view decoded);                    // the value of CMCD=, percent-decoded
    void readJson(std::string_view body);
    // Drops hints that contradict each other, and returns the rest.
    Cmcd finish();
    const DropCounts& dropped() const { return dropped_; }

  private:
    void readPairs(std::string_view text, std::optional<std::size_t> header);
    void accept(std::string_view key, const BareItem& value, std::optional<std::size_t> header);
    void drop(DropReason why) { ++dropped_[static_cast<std::size_t>(why)]; }
    HintLimits limits_;
    Cmcd out_;
    std::vector<std::string> seenKeys_;
    DropCounts dropped_{};
};

// Serialize hints: keys in alphabetical order, defaults left out.
std::string writeCmcdHeader(const Cmcd&, std::size_t index);  // empty if no hint belongs into that header
std::string writeCmcdQuery(const Cmcd&);                      // not yet percent-encoded
std::string writeCmcdJson(const Cmcd&);

}  // namespace valekeel::hints
