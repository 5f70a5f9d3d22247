// grademux: replays recorded decisions against the decision module and finds the first action that differs.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace grademux::replay {

struct Difference {
  std::size_t line = 0, action = 0;  // of the file, from 1; of the turn, from 0
  std::int64_t now = 0;              // of the turn, microseconds
  std::string recorded, decided;     // as JSON; empty: there is none
};
struct Report {
  std::size_t runs = 0, turns = 0, actions = 0;
  std::size_t cut = 0;  // lines cut short by a process that was killed, passed over
  std::optional<Difference> difference;
  std::string unreadable;  // a line of the file, and why; empty: all could be read
};

// Stops at the first difference, or line that can't be read. The last line before a head or the end may be
// cut off.
Report replay(std::istream& in);

}  // namespace grademux::replay
