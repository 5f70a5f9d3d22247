// Output of the audit command: one line of text, or one JSON object, per result. Writes to standard output.
#pragma once

#include <string>

#include "audit_reader.h"
#include "command.h"

namespace grademux::audit {

/// Prints the JSON object or the text, as the query asks.
void printResult(const AuditQuery& query, const json& object, const std::string& text);
void printGap(const AuditQuery& query, const std::string& sender, const AuditGap& gap);
/// A record's kind and fields as text.
std::string describeRecord(const json& record);

/// Prints what the journals know of the queried message. Returns whether any knows it.
bool queryMessage(const AuditQuery& query);
/// Prints what a sender's last report says. Returns whether it answers the query.
bool queryReport(const AuditQuery& query, const SenderSummary& report);

}  // namespace grademux::audit
