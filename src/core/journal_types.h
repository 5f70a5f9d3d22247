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
  released,                 // this process has released the file
  owned_by_other,           // another process has written to the file since it was released
  disk_budget_exhausted,    // the write would exceed the disk budget
  write_failed,             // a system call failed
  endpoint_list_too_large,  // the endpoint list exceeds its share of the disk budget
};
const char* nameOf(JournalError error);

// One attempt of a message.
struct JournaledAttempt {
  std::string endpoint;
  Micros sent_at = 0;  // in the time base of the state folder (record_time.h)
  bool never_executed = false;
  std::uint32_t version = 0;  // number of the decision version that it was decided under; 0: none recorded
};

// The notice of the final outcome of a message that was accepted and not delivered.
struct Notice {
  bool returned = false;  // false: the message failed
  std::int64_t retry_after_ms = 0;
  Micros at = 0;  // Unix time of the final outcome
};

// A message that has its final outcome. Its id is remembered as long as the id may be submitted again.
struct FinishedMessage {
  FinalOutcome outcome;
  std::uint64_t digest = 0;    // contentDigest() of the message
  Micros remember_until = 0;   // in the time base of the state folder
  bool legacy_digest = false;  // `digest` is legacyContentDigest() instead
  std::uint32_t version = 0;   // decision version of the last attempt; 0: none recorded
};

// A message that is open, or whose notice has not been delivered yet.
struct JournalEntry {
  AcceptedMessage message;
  std::vector<JournaledAttempt> attempts;
  bool notice_pending = false;  // `notice` has not been delivered yet
  Notice notice;
  std::uint64_t order = 0;  // position in the order of acceptance
};

// Decision versions as text, by the number by which attempts refer to them.
using DecisionVersions = std::map<std::uint32_t, std::string>;

// Endpoints by name, each as JSON text; the text is empty for an endpoint that was removed.
using EndpointChanges = std::vector<std::pair<std::string, std::string>>;

// The contents of a journal when it was opened.
struct RecoveredJournal {
  std::vector<JournalEntry> entries;                // in the order of acceptance
  std::vector<std::string> endpoint_list;           // entries of the last endpoint list, as JSON
  std::int64_t list_index = -1;                     // version of that list; -1: no list is stored
  std::vector<DestinationHealth> health;            // times are Unix time
  std::vector<OrderingKeyBlocked> ordering_blocks;  // times are Unix time
  std::size_t damaged_ranges = 0;                   // byte ranges and records that could not be read
  bool torn_tail = false;                           // an incomplete last write was truncated
};

// The contents of a journal for one message.
struct JournaledMessage {
  bool found = false;
  bool finished = false;
  AcceptedMessage message;                 // set while the message is open
  std::vector<JournaledAttempt> attempts;  // set while the message is open
  FinishedMessage outcome;                 // set once the message is finished
  DecisionVersions versions;               // all decision versions in the journal
};

}  // namespace grademux
