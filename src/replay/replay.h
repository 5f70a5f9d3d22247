// Replays recorded decisions against the decision module and finds the first action that differs.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace grademux::replay {

struct Difference {
  std::size_t line = 0, action = 0;  // line of the file, from 1; action of the iteration, from 0
  std::int64_t now = 0;              // time of the iteration, microseconds
  std::string recorded, decided;     // as JSON; empty: no action at this index
};
struct Report {
  std::size_t runs = 0, iterations = 0, actions = 0;
  std::size_t truncated = 0;  // lines truncated by a kill of the process, which are skipped
  std::optional<Difference> difference;
  std::string unreadable;  // the first line that can't be read, and why; empty: all lines were read
};

// Stops at the first difference or the first line that can't be read. The last line before a head or before
// the end of the file may be truncated.
Report replay(std::istream& in);

}  // namespace grademux::replay
