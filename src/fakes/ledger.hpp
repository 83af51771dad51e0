// What a stand-in saw on its own sockets, line by line. The audit judges by these lines alone.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "model/ids.hpp"

namespace valekeel::fakes {

struct Line {
    Micros at = 0;     // monotonic, one clock for all on this machine
    std::string what;  // see each stand-in
    std::string trace, front, sub, room, title;
    std::string face;  // "sip" for callers
    int member = -1;   // whose link it watches through
    int box = -1, player = -1, rung = -1, join = -1, status = 0, attempt = 0;
    bool told = false;  // an answer that says when to come again
    double number = 0;
};

std::string hex(std::uint64_t);  // 16 digits: what stand-ins make ids of

class Ledger {
  public:
    void add(Line line) { lines_.push_back(std::move(line)); }
    const std::vector<Line>& lines() const { return lines_; }
    void write(std::ostream&) const;    // JSON lines
    static Ledger read(std::istream&);  // throws std::runtime_error, naming the line

  private:
    std::vector<Line> lines_;
};

}  // namespace valekeel::fakes
