// Answers a query on one message from the journals: its attempts and final outcome, each with the versions
// that the sender acted by.
#include <iostream>

#include "../core/clock.h"
#include "../core/journal.h"
#include "query_output.h"

namespace grademux::audit {

namespace {

// The version with this number in the journal as JSON; null for 0.
json versionOf(const JournaledMessage& message, std::uint32_t number) {
  if (number == 0)
    return {};
  const auto found = message.versions.find(number);
  return found == message.versions.end() ? json("unknown") : json::parse(found->second, nullptr, false);
}

std::string senderOf(const std::string& folder) {
  return readAuditLog(
             folder + "/trail", "", [](const AuditRecord&) {}, [](const AuditGap&) {})
      .sender;
}

struct Source {
  std::string sender;
  std::string folder;
};

void printOutcome(const AuditQuery& query, const Source& source, const JournaledMessage& message) {
  const std::uint32_t number = message.outcome.version;
  const json version = versionOf(message, number);
  const char* status = nameOf(message.outcome.outcome.status);
  printResult(query,
              {{"sender", source.sender},
               {"folder", source.folder},
               {"message", query.message},
               {"end", status},
               {"at", message.outcome.outcome.at},
               {"version", number},
               {"own", version}},
              source.sender + ": " + status + " at " + utcText(message.outcome.outcome.at, true) +
                  ", its last attempt under version " + std::to_string(number) + " " + version.dump());
}

void printAttempt(const AuditQuery& query, const Source& source, const JournaledMessage& message,
                  std::size_t index) {
  const JournaledAttempt& attempt = message.attempts[index];
  const json version = versionOf(message, attempt.version);
  printResult(query,
              {{"sender", source.sender},
               {"folder", source.folder},
               {"message", query.message},
               {"attempt", index},
               {"endpoint", attempt.endpoint},
               {"at", attempt.sent_at},
               {"never_ran", attempt.never_executed},
               {"version", attempt.version},
               {"own", version}},
              source.sender + ": attempt " + std::to_string(index) + " at " + attempt.endpoint + ", " +
                  utcText(attempt.sent_at, true) + (attempt.never_executed ? ", never ran" : "") +
                  ", under version " + std::to_string(attempt.version) + " " + version.dump());
}

void printMessage(const AuditQuery& query, const Source& source, const JournaledMessage& message) {
  if (message.finished)
    return printOutcome(query, source, message);
  for (std::size_t index = 0; index < message.attempts.size(); ++index)
    printAttempt(query, source, message, index);
  printResult(
      query,
      {{"sender", source.sender}, {"folder", source.folder}, {"message", query.message}, {"end", nullptr}},
      source.sender + ": open, " + std::to_string(message.attempts.size()) + " attempts");
}

}  // namespace

bool queryMessage(const AuditQuery& query) {
  bool found = false;
  for (const std::string& folder : query.folders) {
    JournaledMessage message;
    try {
      message = Journal::readMessage(folder, query.message);
    } catch (const std::exception& error) {
      std::cerr << "grademux: " << error.what() << '\n';
      continue;
    }
    if (!message.found)
      continue;
    found = true;
    printMessage(query, {senderOf(folder), folder}, message);
  }
  if (!found)
    std::cerr << "grademux: no journal of the given folders has message " << query.message << '\n';
  return found;
}

}  // namespace grademux::audit
