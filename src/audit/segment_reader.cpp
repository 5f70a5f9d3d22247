#include "segment_reader.h"

#include "audit_log.h"
#include "record_format.h"

namespace grademux::audit {

namespace {
constexpr std::size_t kReadBytes = 65536;
}  // namespace

void SegmentReader::open(const std::string& path, std::int64_t segment) {
  file_ = std::make_unique<std::ifstream>(path, std::ios::binary);
  buffer_.clear();
  position_ = 0;
  checksum_ = static_cast<std::uint64_t>(segment);
}

SegmentReader::Status SegmentReader::next(json& record) {
  if (!fill(kRecordHeaderSize)) {
    file_.reset();
    return available() > 0 ? Status::torn : Status::end;
  }
  const std::uint64_t size = readLittleEndian(buffer_, position_ + kRecordMagicSize, kLengthBytes);
  const bool has_mark = buffer_.compare(position_, kRecordMagicSize, kRecordMagic, kRecordMagicSize) == 0 &&
                        size <= kMaxRecordBytes;
  if (!has_mark || !fill(kRecordHeaderSize + size))
    return skipToNextMark();
  const std::uint64_t checksum =
      readLittleEndian(buffer_, position_ + kRecordMagicSize + kLengthBytes, kChecksumBytes);
  const char* payload = buffer_.data() + position_ + kRecordHeaderSize;
  const std::uint64_t previous = checksum_;
  checksum_ = checksum;  // If only the payload is damaged, the next record is still verified.
  if (recordChecksum(previous, payload, size) != checksum)
    return skipToNextMark();
  record = json::from_msgpack(payload, payload + size, true, false);
  position_ += kRecordHeaderSize + size;
  return record.is_object() ? Status::record : Status::unreadable;
}

SegmentReader::Status SegmentReader::skipToNextMark() {
  const std::string mark(kRecordMagic, kRecordMagicSize);
  std::size_t found = buffer_.find(mark, position_ + 1);
  while (found == std::string::npos && fill(available() + kReadBytes))
    found = buffer_.find(mark, position_ + 1);
  if (found == std::string::npos)
    file_.reset();
  else
    position_ = found;
  return Status::damaged;
}

// Returns whether that many bytes are available.
bool SegmentReader::fill(std::size_t bytes) {
  if (available() >= bytes || !file_)
    return available() >= bytes;
  buffer_.erase(0, position_);
  position_ = 0;
  while (buffer_.size() < bytes) {
    const std::size_t before = buffer_.size();
    buffer_.resize(before + kReadBytes);
    file_->read(buffer_.data() + before, kReadBytes);
    buffer_.resize(before + static_cast<std::size_t>(file_->gcount()));
    if (buffer_.size() == before)
      return false;
  }
  return true;
}

}  // namespace grademux::audit
