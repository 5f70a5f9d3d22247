// Writes the audit log of one sender: the versions that the sender acted by and since when, in records that
// are chained by checksums. The log has its own folder beside the journal and its own budget; no message
// waits for a record. Segments are files `trail-NNNNNNNN`; a record is the record mark, the payload's length
// (4 bytes, little-endian), XXH3-64 over the checksum of the record before and the payload (8 bytes), and the
// payload, one object as MessagePack. The first record of a segment names the sender. docs/design/fleet.md
// specifies the format.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "../core/json_fields.h"

namespace grademux::audit {

struct AuditBudget {
  std::uint64_t bytes = 8u << 20;             ///< Of all segments together.
  Micros age = 30LL * 24 * 3600 * 1'000'000;  ///< Older segments are removed.
};

constexpr char kRecordMagic[] = "\xA7GT1";
constexpr std::size_t kRecordMagicSize = 4, kRecordHeaderSize = kRecordMagicSize + 4 + 8;
constexpr std::uint32_t kMaxRecordBytes = 1u << 20;

std::string segmentName(std::int64_t number);
/// The numbers of the segments in a folder, in order; empty if the folder can't be read.
std::vector<std::int64_t> listSegments(const std::string& folder);
/// `checksum`: in: of the record before; out: of this record.
std::string encodeRecord(const json& record, std::uint64_t& checksum);

/// Used by one thread at a time, which is not the loop thread: writes block. Records that can't be written
/// are counted; a record before the next one that is written has their number and the time of the first.
class AuditLog {
 public:
  /// Continues the log of `sender` in a new segment, even if the last one is damaged. A folder with the log
  /// of another sender is renamed first; foreignFolder() returns the new name.
  AuditLog(std::string folder, std::string sender, AuditBudget budget);
  ~AuditLog();
  AuditLog(const AuditLog&) = delete;
  AuditLog& operator=(const AuditLog&) = delete;

  /// `now`: Unix time. Returns false if the record could not be written.
  bool write(json record, Micros now);
  /// The folder that another sender's log was moved to; empty: there was none.
  const std::string& foreignFolder() const { return foreign_folder_; }

 private:
  void prepareFolder();
  bool openSegment(Micros now);
  void prune();
  bool append(const json& record);

  std::string folder_, sender_, foreign_folder_;
  AuditBudget budget_;
  int fd_ = -1;
  std::int64_t segment_ = 0, sequence_ = 0;         // numbers of the open segment and of the last record
  std::uint64_t checksum_ = 0, segment_bytes_ = 0;  // of the last record; size of the open segment
  std::int64_t missing_records_ = 0;
  Micros missing_since_ = 0;
};

}  // namespace grademux::audit
