#include "query_output.h"

#include <iostream>

#include "../core/clock.h"

namespace grademux::audit {

void printResult(const AuditQuery& query, const json& object, const std::string& text) {
  std::cout << (query.as_json ? object.dump() : text) << '\n';
}

void printGap(const AuditQuery& query, const std::string& sender, const AuditGap& gap) {
  printResult(query, {{"sender", sender}, {"unknown_from", gap.from}, {"to", gap.to}, {"why", gap.reason}},
              sender + ": unknown from " + utcText(gap.from, true) + " to " + utcText(gap.to, true) + ": " +
                  gap.reason);
}

std::string describeRecord(const json& record) {
  std::string text = record.value("kind", std::string("?"));
  for (const auto& [key, value] : record.items()) {
    if (key == "kind" || key == "at" || key == "seq" || key == "ahead")
      continue;
    if (value.is_string() && value.get<std::string>().empty())
      continue;
    text += " " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

}  // namespace grademux::audit
