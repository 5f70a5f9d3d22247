#include "journal_recovery.h"

#include "journal_frame.h"

namespace grademux {

RecoveryReport recoverJournal(std::string_view data, JournalState& state) {
  RecoveryReport report;
  FrameScanner scanner(data);
  while (const std::optional<FrameScanner::Frame> frame = scanner.next()) {
    if (frame->follows_damage) {
      ++report.damaged_ranges;
      state.onRecordsLost();
    }
    if (!state.apply(frame->payload))
      ++report.damaged_ranges;
  }
  report.intact_bytes = scanner.intactBytes();
  report.torn_tail = report.intact_bytes < data.size();
  return report;
}

}  // namespace grademux
