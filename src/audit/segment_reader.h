// Reads the records of one audit log segment in bounded memory and verifies their checksums. After damage it
// continues at the next record mark. Not thread-safe; owns the open file.
#pragma once

#include <fstream>
#include <memory>
#include <string>

#include "../core/json_fields.h"

namespace grademux::audit {

class SegmentReader {
 public:
  enum class Status {
    record,      ///< `record` was read.
    unreadable,  ///< A record with a correct checksum is not an object.
    damaged,     ///< Bytes were skipped.
    torn,        ///< The segment ends within a record.
    end
  };

  /// Starts with another segment. If the file does not exist, next() returns `end`.
  void open(const std::string& path, std::int64_t segment);
  /// Whether next() may return more records.
  bool isOpen() const { return file_ != nullptr; }
  Status next(json& record);

 private:
  std::size_t available() const { return buffer_.size() - position_; }
  bool fill(std::size_t bytes);
  Status skipToNextMark();

  std::unique_ptr<std::ifstream> file_;
  std::string buffer_;
  std::size_t position_ = 0;
  std::uint64_t checksum_ = 0;  // of the record before; of the first: the segment number
};

}  // namespace grademux::audit
