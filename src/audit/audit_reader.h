// Reads audit logs record by record in bounded memory, also while the sender runs. Missing, damaged and
// foreign records are reported as gaps, never skipped silently.
#pragma once

#include <functional>

#include "audit_log.h"

namespace grademux::audit {

struct AuditGap {
  /// Unix time by the sender's clock of the records before and after the gap; 0: there is no such record.
  Micros from = 0, to = 0;
  std::string reason;
};

struct AuditRecord {
  std::string sender;
  std::int64_t sequence = 0;
  Micros at = 0;                   ///< Unix time by the sender's clock.
  Micros store_clock_offset = 0;   ///< The store's clock minus the sender's, as last known.
  bool store_clock_known = false;  ///< Whether `store_clock_offset` is known.
  json record;
  /// Time by the store's clock if the offset is known, else by the sender's clock. The store's clock orders
  /// the records of several senders.
  Micros storeTime() const { return at + (store_clock_known ? store_clock_offset : 0); }
};

struct AuditSummary {
  std::string sender;  ///< Empty: there is no audit log.
  std::int64_t records = 0;
  Micros first = 0, last = 0;  ///< Unix time of the first and of the last record, by the sender's clock.
};

/// Passes records and gaps on in the order of writing. Segments of a sender other than `expected_sender` are
/// reported as gaps; empty: any sender.
AuditSummary readAuditLog(const std::string& folder, const std::string& expected_sender,
                          const std::function<void(const AuditRecord&)>& on_record,
                          const std::function<void(const AuditGap&)>& on_gap);

/// Merges several logs in the order of the store's clock. The callbacks' first argument is the log's index in
/// `folders`.
void readAuditLogs(const std::vector<std::string>& folders,
                   const std::function<void(std::size_t, const AuditRecord&)>& on_record,
                   const std::function<void(std::size_t, const AuditGap&)>& on_gap);

}  // namespace grademux::audit
