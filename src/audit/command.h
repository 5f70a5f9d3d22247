// The audit command: answers queries on many senders from their audit logs, journals and last reports, as
// text or JSON on standard output. Blocking; for command-line programs only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../core/json_fields.h"

namespace grademux::audit {

/// The last report at the store of a sender whose folder may not be available.
struct SenderSummary {
  struct ActionPeriod {
    Micros from = 0;  ///< Unix time by the sender's clock.
    std::int64_t plan = 0;
    bool allowed = false;  ///< Whether the sender was allowed to act.
  };
  std::string sender, compliance, reason;
  json versions;
  Micros at = 0;      ///< Time of the report; later actions are unknown.
  bool live = false;  ///< The sender still renews its session.
  std::vector<ActionPeriod> action_history;
};

struct AuditQuery {
  std::vector<std::string> folders;  ///< State folders, each with an audit log and a journal.
  /// Of all senders that the store knows; reports of senders whose folder is given are ignored.
  std::vector<SenderSummary> reports;
  std::optional<Micros> at;          ///< Asks for each sender's state at this Unix time.
  std::optional<std::int64_t> plan;  ///< Asks which senders adopted this plan, and when.
  std::string message, sender;  ///< Asks for this message; limits the answer to this sender. Empty: none.
  bool gaps = false, as_json = false;
};

/// Parses "2026-12-01T10:00:00Z", or seconds since 1970 with or without a fraction, as Unix time; empty if
/// the text is neither.
std::optional<Micros> readTime(const std::string& text);

/// Prints the answer. Returns the exit status: 0 if the answer is complete, 1 if there are gaps or no data.
int audit(const AuditQuery& query);

}  // namespace grademux::audit
