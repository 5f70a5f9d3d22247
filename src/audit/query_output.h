// Output of the audit command: one line of text, or one JSON object, per result. Writes to standard output.
#pragma once

#include <string>

#include "audit_reader.h"
#include "command.h"

namespace grademux::audit {

/// Prints the JSON object if the query asks for JSON, else the text.
void printResult(const AuditQuery& query, const json& object, const std::string& text);
void printGap(const AuditQuery& query, const std::string& sender, const AuditGap& gap);
/// The kind and the fields of a record as text.
std::string describeRecord(const json& record);

/// Prints what the journals contain about the queried message. Returns whether any contains it.
bool queryMessage(const AuditQuery& query);
/// Prints the answer from a sender's last report. Returns whether the report answers the query.
bool queryReport(const AuditQuery& query, const SenderSummary& report);

}  // namespace grademux::audit
