// Plain data that the journal stores and recovers, and the errors of its operations. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "message.h"

namespace grademux {

// Why an operation of the journal was not carried out.
enum class JournalError : std::uint8_t {
  released,                 // this process doesn't own the file at present
  owned_by_other,           // another process has written to the file since it was released
  disk_budget_exhausted,    // the write would exceed the disk budget
  write_failed,             // a system call failed
  endpoint_list_too_large,  // the endpoint list exceeds its part of the disk budget
};
const char* nameOf(JournalError error);

// One attempt of a message.
struct JournaledAttempt {
  std::string endpoint;
  Micros sent_at = 0;  // Unix time
  bool never_executed = false;
  std::uint32_t version = 0;  // number of the decision version that it was decided under; 0: none recorded
};

// The notification of the final outcome of a message that was accepted and not delivered.
struct Notice {
  bool returned = false;  // otherwise the message failed
  std::int64_t retry_after_ms = 0;
  Micros at = 0;  // of the final outcome, Unix time
};

// A message that has its final outcome. It is remembered as long as its id may be submitted again.
struct FinishedMessage {
  FinalOutcome outcome;
  std::uint64_t digest = 0;    // of the content, by contentDigest()
  Micros remember_until = 0;   // Unix time
  bool legacy_digest = false;  // `digest` is by legacyContentDigest()
  std::uint32_t version = 0;   // decision version of the last attempt; 0: none recorded
};

// A message that is open, or whose final outcome has still to be notified.
struct JournalEntry {
  AcceptedMessage message;
  std::vector<JournaledAttempt> attempts;
  bool notice_pending = false;  // `notice` has still to be delivered
  Notice notice;
  std::uint64_t order = 0;  // position in the order of acceptance
};

// Decision versions as text, by the number under which attempts name them.
using DecisionVersions = std::map<std::uint32_t, std::string>;

// Endpoints by name, each as JSON text; the text is empty for an endpoint that was removed.
using EndpointChanges = std::vector<std::pair<std::string, std::string>>;

// The contents of a journal when it was opened.
struct RecoveredJournal {
  std::vector<JournalEntry> entries;       // in the order of acceptance
  std::vector<std::string> endpoint_list;  // entries of the last endpoint list, as JSON
  std::int64_t list_index = -1;            // version of that list; -1: no list is stored
  std::vector<DestinationHealth> health;   // times are Unix time
  std::size_t damaged_ranges = 0;          // byte ranges and records that could not be read
  bool torn_tail = false;                  // an incomplete last write was cut off
};

// What a journal holds of one message.
struct JournaledMessage {
  bool found = false;
  bool finished = false;
  AcceptedMessage message;                 // while it is open
  std::vector<JournaledAttempt> attempts;  // while it is open
  FinishedMessage outcome;                 // once it is finished
  DecisionVersions versions;               // all of the journal
};

}  // namespace grademux
