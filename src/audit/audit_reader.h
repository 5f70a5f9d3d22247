// grademux audit: reads trails, also of a sender that runs, record by record in bounded memory. What can't be
// vouched for is told as a gap, never passed over.
#pragma once

#include <functional>

#include "audit_log.h"

namespace grademux::audit {

struct AuditGap {
  Micros from = 0, to = 0;  // Unix time of the records around it, by the sender's clock; 0: open
  std::string reason;
};

struct AuditRecord {
  std::string sender;
  std::int64_t sequence = 0;
  Micros at = 0;                   // Unix time, by the sender's clock
  Micros store_clock_offset = 0;   // the store's clock less the sender's, when last known
  bool store_clock_known = false;  // `ahead` is known
  json record;
  // On the store's clock where that is known: the one on which records of several senders have an order.
  Micros storeTime() const { return at + (store_clock_known ? store_clock_offset : 0); }
};

struct AuditSummary {
  std::string sender;  // empty: there is no trail
  std::int64_t records = 0;
  Micros first = 0, last = 0;
};

// In the order of writing. `expected`: whose it should be; empty: anybody's.
AuditSummary readAuditLog(const std::string& folder, const std::string& expected,
                          const std::function<void(const AuditRecord&)>& entry,
                          const std::function<void(const AuditGap&)>& gap);

// Several trails as one, by the clock of the store; `each` gives the trail's place in `folders`, too.
void readAuditLogs(const std::vector<std::string>& folders,
                   const std::function<void(std::size_t, const AuditRecord&)>& entry,
                   const std::function<void(std::size_t, const AuditGap&)>& gap);

}  // namespace grademux::audit
