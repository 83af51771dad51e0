// The ledger of events that the fakes (boxes, list server, players, callers) saw on their own sockets. It is
// the only input of the audit.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::fakes {

// One event. Fields that don't apply keep their defaults and are not written.
struct Line {
    Micros at = 0;     // microseconds of the monotonic clock that all fakes share
    std::string what;  // kind of event: see the header of each fake
    std::string trace, front, sub, room, title;
    std::string face;  // "sip" for callers
    int member = -1;   // index of the member whose link it watches through
    int box = -1, player = -1, rung = -1, join = -1, status = 0, attempt = 0;
    bool told = false;  // the answer has a Retry-After
    double number = 0;  // meaning and unit depend on `what`
};

// Returns 16 hexadecimal digits, from which the fakes build ids.
std::string hex(std::uint64_t);

// Events in the order in which they were added.
class Ledger {
  public:
    void add(Line line) { lines_.push_back(std::move(line)); }
    const std::vector<Line>& lines() const { return lines_; }
    // Writes one JSON object per line.
    void write(std::ostream&) const;
    // Parses what write() wrote; throws std::runtime_error with the line number on anything but a JSON
    // object.
    static Ledger read(std::istream&);

  private:
    std::vector<Line> lines_;
};

}  // namespace valekeel::fakes
