// Rebuilds a journal's state from the bytes of its file. No I/O.
#pragma once

#include <string_view>

#include "journal_state.h"

namespace grademux {

struct RecoveryReport {
  std::size_t intact_bytes = 0;    // position after the last intact record
  std::size_t damaged_ranges = 0;  // byte ranges and records that could not be read
  bool torn_tail = false;          // bytes of an incomplete write follow the last intact record
};

// Applies the intact records to `state`. Damaged ranges before an intact record are skipped; bytes after the
// last intact record are an incomplete write of a process that was killed.
RecoveryReport recoverJournal(std::string_view data, JournalState& state);

}  // namespace grademux
