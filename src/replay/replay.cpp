// See replay.h.
#include "replay.h"

#include <istream>

#include "../core/json_fields.h"
#include "stream_codec.h"

namespace grademux::replay {

Report replay(std::istream& in) {
  Report r;
  std::optional<Sender> sender;
  // parse_error: set by a malformed line until the next line shows whether the line was the last of its run.
  std::string line, parse_error;
  Micros previous_time = 0;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    try {
      const json j = json::parse(line, nullptr, false);
      if (!parse_error.empty() && !isHead(j))
        bad(parse_error);
      if (!parse_error.empty())
        ++r.truncated;
      parse_error.clear();
      if (j.is_discarded()) {
        parse_error = "expected JSON, or the previous line is truncated in the middle of a run";
        continue;
      }
      if (isHead(j)) {
        Head h = readHead(j);
        sender.emplace(std::move(h.settings), h.seed);
        previous_time = 0;
        ++r.runs;
        continue;
      }
      if (!sender)
        bad("a head is expected first");
      const Iteration iteration = readIteration(j);
      if (iteration.now < previous_time)
        bad("its time is before that of the previous iteration");
      previous_time = iteration.now;
      const std::vector<Action> decided = sender->decide(iteration.now, iteration.events);
      ++r.iterations;
      for (std::size_t i = 0; i < std::max(decided.size(), iteration.actions.size()); ++i) {
        const std::string recorded_action =
            i < iteration.actions.size() ? actionJson(iteration.actions[i]).dump() : "";
        const std::string decided_action = i < decided.size() ? actionJson(decided[i]).dump() : "";
        if (recorded_action != decided_action) {
          r.difference = Difference{number, i, iteration.now, recorded_action, decided_action};
          return r;
        }
        ++r.actions;
      }
    } catch (const std::exception& e) {
      r.unreadable = "line " + std::to_string(number) + ": " + e.what();
      return r;
    }
  }
  if (!parse_error.empty())
    ++r.truncated;
  if (r.runs == 0)
    r.unreadable = "line 1: a head is expected first";
  return r;
}

}  // namespace grademux::replay
