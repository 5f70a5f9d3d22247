// grademux: replays recorded decisions; see replay.h.
#include "replay.h"

#include <istream>

#include "../core/json_fields.h"
#include "stream_codec.h"

namespace grademux::replay {

Report replay(std::istream& in) {
  Report r;
  std::optional<Sender> sender;
  std::string line,
      torn;  // why a line could not be parsed, until it is known whether it was the last of its run
  Micros latest = 0;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    try {
      const json j = json::parse(line, nullptr, false);
      if (!torn.empty() && !isHead(j))
        bad(torn);
      if (!torn.empty())
        ++r.cut;
      torn.clear();
      if (j.is_discarded()) {
        torn = "JSON is expected, or the line before was cut short in the middle of a run";
        continue;
      }
      if (isHead(j)) {
        Head h = readHead(j);
        sender.emplace(std::move(h.settings), h.seed);
        latest = 0;
        ++r.runs;
        continue;
      }
      if (!sender)
        bad("a head is expected first");
      const Turn t = readTurn(j);
      if (t.now < latest)
        bad("its time is before that of the turn before");
      latest = t.now;
      const std::vector<Action> decided = sender->decide(t.now, t.events);
      ++r.turns;
      for (std::size_t i = 0; i < std::max(decided.size(), t.actions.size()); ++i) {
        const std::string was = i < t.actions.size() ? actionJson(t.actions[i]).dump() : "";
        const std::string is = i < decided.size() ? actionJson(decided[i]).dump() : "";
        if (was != is) {
          r.difference = Difference{number, i, t.now, was, is};
          return r;
        }
        ++r.actions;
      }
    } catch (const std::exception& e) {
      r.unreadable = "line " + std::to_string(number) + ": " + e.what();
      return r;
    }
  }
  if (!torn.empty())
    ++r.cut;
  if (r.runs == 0)
    r.unreadable = "line 1: a head is expected first";
  return r;
}

}  // namespace grademux::replay
