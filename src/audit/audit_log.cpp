#include "audit_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <string_view>

#include "../core/file.h"
#include "audit_reader.h"

namespace grademux::audit {

namespace fs = std::filesystem;

namespace {

constexpr int kSegmentsPerBudget = 8;
constexpr std::string_view kSegmentPrefix = "trail-";

std::string unusedFolder(const std::string& name) {
  constexpr int kMaxTries = 1000;
  std::string folder = name;
  std::error_code error;
  for (int number = 2; number < kMaxTries && fs::exists(folder, error); ++number)
    folder = name + "-" + std::to_string(number);
  return folder;
}

}  // namespace

std::string segmentName(std::int64_t number) {
  char name[32];
  std::snprintf(name, sizeof name, "trail-%08lld", static_cast<long long>(number));
  return name;
}

std::vector<std::int64_t> listSegments(const std::string& folder) {
  std::vector<std::int64_t> segments;
  std::error_code error;
  for (fs::directory_iterator entry(folder, error), end; !error && entry != end; entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    if (name.compare(0, kSegmentPrefix.size(), kSegmentPrefix) != 0)
      continue;
    std::int64_t number = 0;
    const char* name_end = name.data() + name.size();
    const auto [rest, code] = std::from_chars(name.data() + kSegmentPrefix.size(), name_end, number);
    if (code == std::errc() && rest == name_end)
      segments.push_back(number);
  }
  std::sort(segments.begin(), segments.end());
  return segments;
}

AuditLog::AuditLog(std::string folder, std::string sender, AuditBudget budget)
    : folder_(std::move(folder)), sender_(std::move(sender)), budget_(budget) {
  prepareFolder();
}

AuditLog::~AuditLog() {
  if (fd_ >= 0)
    ::close(fd_);
}

// Renames the folder if its log was copied from another sender: its records would be mistaken for this
// sender's.
void AuditLog::prepareFolder() {
  std::error_code error;
  std::int64_t last_sequence = 0;
  const AuditSummary existing = readAuditLog(
      folder_, "",
      [&](const AuditRecord& record) { last_sequence = std::max(last_sequence, record.sequence); },
      [](const AuditGap&) {});
  if (!existing.sender.empty() && existing.sender != sender_) {
    foreign_folder_ = unusedFolder(folder_ + "-of-" + existing.sender);
    fs::rename(folder_, foreign_folder_, error);
    if (!error)
      last_sequence = 0;
  }
  fs::create_directories(folder_, error);
  const std::vector<std::int64_t> segments = listSegments(folder_);
  segment_ = segments.empty() ? 0 : segments.back();
  sequence_ = last_sequence;
}

// Each segment starts a new chain of checksums from its number. The reader detects a removed segment by the
// segment numbers and by the sequence numbers of the records.
bool AuditLog::openSegment(Micros now) {
  if (fd_ >= 0)
    ::close(fd_);
  ++segment_;
  const std::string path = folder_ + "/" + segmentName(segment_);
  fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0644);
  segment_bytes_ = 0;
  checksum_ = static_cast<std::uint64_t>(segment_);
  if (fd_ < 0)
    return false;
  if (append(
          {{"kind", "segment"}, {"sender", sender_}, {"segment", segment_}, {"at", now}, {"seq", sequence_}}))
    return true;
  ::close(fd_);
  ::unlink(path.c_str());
  --segment_;
  fd_ = -1;
  return false;
}

// Removes the oldest segments until the budget has room for another segment and no segment is too old.
void AuditLog::prune() {
  const std::vector<std::int64_t> segments = listSegments(folder_);
  std::error_code error;
  std::uint64_t total = 0;
  for (const std::int64_t segment : segments)
    total += fs::file_size(folder_ + "/" + segmentName(segment), error);
  for (const std::int64_t segment : segments) {
    if (segment == segment_)
      break;
    const std::string path = folder_ + "/" + segmentName(segment);
    const auto written_at = fs::last_write_time(path, error);
    const auto age =
        std::chrono::duration_cast<std::chrono::microseconds>(fs::file_time_type::clock::now() - written_at)
            .count();
    const bool has_room = total + budget_.bytes / kSegmentsPerBudget <= budget_.bytes;
    if (has_room && (error || age <= budget_.age))
      break;
    total -= std::min<std::uint64_t>(total, fs::file_size(path, error));
    fs::remove(path, error);
  }
}

bool AuditLog::append(const json& record) {
  std::uint64_t checksum = checksum_;
  const std::string bytes = encodeRecord(record, checksum);
  if (!writeAll(fd_, bytes)) {
    // A partial record would be read as damage: the segment is cut back to its last complete record.
    if (::ftruncate(fd_, static_cast<off_t>(segment_bytes_)) != 0) {
      ::close(fd_);
      fd_ = -1;
    }
    return false;
  }
  segment_bytes_ += bytes.size();
  checksum_ = checksum;
  return true;
}

bool AuditLog::write(json record, Micros now) {
  const auto count_missing = [&] {
    if (missing_records_++ == 0)
      missing_since_ = now;
    return false;
  };
  if (fd_ < 0 || segment_bytes_ >= budget_.bytes / kSegmentsPerBudget) {
    if (!openSegment(now))
      return count_missing();
    prune();
  }
  if (missing_records_ > 0) {
    if (!append({{"kind", "missing"},
                 {"records", missing_records_},
                 {"since", missing_since_},
                 {"at", now},
                 {"seq", sequence_ + 1}}))
      return count_missing();
    ++sequence_;
    missing_records_ = 0;
  }
  record["at"] = now;
  record["seq"] = sequence_ + 1;
  if (!append(record))
    return count_missing();
  ++sequence_;
  return true;
}

}  // namespace grademux::audit
