#include "journal.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

#include "file.h"
#include "journal_compaction.h"
#include "journal_frame.h"
#include "journal_recovery.h"

namespace grademux {

namespace {

// This margin stays free in the disk budget. A compaction is worth its writes once the obsolete records take
// more than four times this size and more than half of the file.
constexpr std::uint64_t kMarginBytes = 64u << 10;
constexpr std::uint64_t kEndpointListBudgetDivisor = 4;

std::string pathIn(const std::string& folder) {
  return folder + "/journal";
}

[[noreturn]] void throwErrno(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

const char* nameOf(JournalError error) {
  switch (error) {
    case JournalError::released:
      return "released";
    case JournalError::owned_by_other:
      return "owned by another process";
    case JournalError::disk_budget_exhausted:
      return "disk budget exhausted";
    case JournalError::write_failed:
      return "write failed";
    case JournalError::endpoint_list_too_large:
      return "endpoint list too large";
  }
  return "unknown";
}

Journal::Journal(const std::string& folder, std::uint64_t disk_bytes)
    : path_(pathIn(folder)), compaction_path_(path_ + ".new"), budget_(disk_bytes) {
  ::unlink(compaction_path_.c_str());  // an interrupted compaction leaves this file; the old file is complete
  openFile();
  recover();
  state_.startEpoch();
  if (recovered_.damaged_ranges > 0 && compact())
    return;
  appendFrame(buffer_, encodeEpoch(state_.epoch()));
  // If the epoch record does not fit, no message fits either, and all messages are rejected.
  static_cast<void>(flush());
}

Journal::~Journal() {
  release();
}

void Journal::openFile() {
  fd_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_APPEND, 0644);
  if (fd_ < 0)
    throwErrno("journal: " + path_);
}

void Journal::recover() {
  std::string data;
  if (!readAll(fd_, data))
    throwErrno("journal: can't read the file");
  const RecoveryReport report = recoverJournal(data, state_);
  size_ = report.intact_bytes;
  if (report.torn_tail && ::ftruncate(fd_, static_cast<off_t>(size_)) != 0)
    throwErrno("journal: can't truncate the torn tail");
  recovered_ = state_.contents();
  recovered_.damaged_ranges = report.damaged_ranges;
  recovered_.torn_tail = report.torn_tail;
}

JournaledMessage Journal::readMessage(const std::string& folder, const std::string& id) {
  const std::string path = pathIn(folder);
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    throwErrno("journal: " + path);
  std::string data;
  const bool read = readAll(fd, data);
  ::close(fd);
  if (!read)
    throwErrno("journal: " + path);
  JournalState state;
  recoverJournal(data, state);
  JournaledMessage result;
  result.versions = state.decisionVersions();
  if (const FinishedMessage* finished = state.finished().find(id)) {
    result.found = true;
    result.finished = true;
    result.outcome = *finished;
  }
  if (const JournalEntry* entry = state.findOpen(id)) {
    result.found = true;
    result.message = entry->message;
    result.attempts = entry->attempts;
  }
  return result;
}

void Journal::release() {
  if (fd_ < 0)
    return;
  static_cast<void>(flush());
  struct stat status {};
  released_inode_ = ::fstat(fd_, &status) == 0 ? status.st_ino : 0;
  ::close(fd_);
  fd_ = -1;
}

Result<void, JournalError> Journal::reacquire() {
  if (fd_ >= 0)
    return ok();
  const int fd = ::open(path_.c_str(), O_RDWR | O_CLOEXEC | O_APPEND);
  struct stat status {};
  const bool unchanged = fd >= 0 && ::fstat(fd, &status) == 0 && status.st_ino == released_inode_ &&
                         static_cast<std::uint64_t>(status.st_size) == size_;
  if (unchanged) {
    fd_ = fd;
    return ok();
  }
  if (fd >= 0)
    ::close(fd);
  return JournalError::owned_by_other;
}

// Right after a compaction the file contains only live records, and the next compaction needs the same space
// again for its new file.
Result<void, JournalError> Journal::reserveSpace(const AcceptedMessage& message) {
  const ClassVersion& version = message.class_version;
  const bool new_version = version && state_.classVersions().numberOf(version) == 0;
  const std::uint64_t reserved =
      reserved_ + reservedBytes(message) + (new_version ? classVersionBytes(*version) : 0);
  const std::uint64_t live = state_.liveBytes() + reserved;
  const auto fits = [&](std::uint64_t file_bytes) {
    return sizeOnDisk(file_bytes) + sizeOnDisk(live) + kMarginBytes <= budget_.available();
  };
  const auto has_space = [&] {
    return fits(live) && (fits(size_ + buffer_.size() + reserved) || (compact() && fits(size_ + reserved)));
  };
  if (!has_space() && (!budget_.reclaim() || !has_space()))
    return JournalError::disk_budget_exhausted;
  reserved_ = reserved;
  return ok();
}

std::uint64_t Journal::spareBytes() const {
  const std::uint64_t used =
      sizeOnDisk(size_ + buffer_.size()) + sizeOnDisk(state_.liveBytes()) + 4 * kMarginBytes;
  return used < budget_.total() ? budget_.total() - used : 0;
}

void Journal::append(const std::string& payload) {
  appendFrame(buffer_, payload);
  static_cast<void>(state_.apply(payload));  // always readable: the record was encoded by this version
}

void Journal::recordAccepted(const AcceptedMessage& message) {
  append(encodeAccepted(message, recordClassVersion(message.class_version)));
}

std::int64_t Journal::recordClassVersion(const ClassVersion& version) {
  if (!version)
    return 0;
  ClassVersionTable& versions = state_.classVersions();
  if (const std::int64_t known = versions.numberOf(version); known != 0)
    return known;
  const std::int64_t number = versions.nextNumber();
  appendFrame(buffer_, encodeClassVersion(number, *version));
  versions.add(number, version);
  return number;
}

void Journal::recordAttempt(const std::string& id, const JournaledAttempt& attempt) {
  append(encodeAttempt(id, attempt));
}

void Journal::recordNeverExecuted(const std::string& id, std::size_t attempt) {
  append(encodeNeverExecuted(id, attempt));
}

void Journal::recordNoticePending(const std::string& id, const Notice& notice) {
  append(encodeNoticePending(id, notice));
}

void Journal::recordFinished(const std::string& id, const FinishedMessage& finished) {
  const JournalEntry* entry = state_.findOpen(id);
  if (!entry)
    return;
  FinishedMessage recorded = finished;
  if (!entry->attempts.empty())
    recorded.version = entry->attempts.back().version;
  append(encodeFinished(id, recorded));
}

void Journal::dropUnwritten(const std::string& id) {
  if (state_.findOpen(id))
    append(encodeDiscarded(id));
}

std::uint32_t Journal::versionOf(const std::string& text) {
  const DecisionVersions& versions = state_.decisionVersions();
  if (!versions.empty() && versions.rbegin()->second == text)
    return versions.rbegin()->first;
  const std::uint32_t number = versions.empty() ? 1 : versions.rbegin()->first + 1;
  append(encodeDecisionVersion(number, text));
  return number;
}

Result<void, JournalError> Journal::recordEndpointList(const EndpointChanges& changes, std::int64_t index,
                                                       bool replaces_list) {
  if (replaces_list)
    endpoint_list_fits_ = true;
  if (!endpoint_list_fits_)
    return ok();
  const std::int64_t index_before = replaces_list ? -1 : state_.endpointList().index();
  EndpointChangesEncoder encoder(index_before, index, replaces_list,
                                 [this](const std::string& payload) { append(payload); });
  for (const auto& [name, entry] : changes)
    encoder.add(name, entry);
  encoder.finish();
  if (state_.endpointList().bytes() <= budget_.total() / kEndpointListBudgetDivisor)
    return ok();
  endpoint_list_fits_ = false;
  append(encodeEndpointListRemoved());
  return JournalError::endpoint_list_too_large;
}

void Journal::recordHealth(const DestinationHealth& health) {
  append(encodeHealth(health));
}

// Blocks that have ended are removed each time that the number of blocks has doubled.
void Journal::recordOrderingBlock(const OrderingKeyBlocked& block, Micros now) {
  append(encodeOrderingBlock(block));
  if (state_.orderingBlocks().size() < blocks_until_expiry_)
    return;
  state_.expireOrderingBlocks(now);
  blocks_until_expiry_ = std::max(kMinBlocksUntilExpiry, 2 * state_.orderingBlocks().size());
}

// The old and the new file exist at the same time for a moment, so a compaction must start while both fit
// into the budget.
bool Journal::needsCompaction(std::uint64_t size_after, std::uint64_t live) const {
  const bool later_compaction_might_not_fit =
      sizeOnDisk(size_after) + sizeOnDisk(live) + kMarginBytes > budget_.available();
  const bool mostly_obsolete = size_after > 2 * live && size_after - live > 4 * kMarginBytes;
  return later_compaction_might_not_fit || mostly_obsolete;
}

Result<void, JournalError> Journal::flush() {
  reserved_ = 0;
  if (fd_ < 0)
    return JournalError::released;
  if (buffer_.empty())
    return ok();
  const std::uint64_t size_after = size_ + buffer_.size();
  if (needsCompaction(size_after, state_.liveBytes()) && compact())
    return ok();
  const bool fits = budget_.ensure(sizeOnDisk(size_after));
  if (!fits || !writeAll(fd_, buffer_)) {
    // If the truncation fails, recovery truncates the incomplete write.
    static_cast<void>(::ftruncate(fd_, static_cast<off_t>(size_)));
    return fits ? JournalError::write_failed : JournalError::disk_budget_exhausted;
  }
  size_ = size_after;
  buffer_.clear();
  return ok();
}

Result<void, JournalError> Journal::compact() {
  if (fd_ < 0)
    return JournalError::released;
  const ReferencedVersions referenced = state_.referencedVersions();
  const std::uint64_t live = state_.liveBytes();
  const std::string data = encodeCompacted(state_, referenced, live < budget_.total() ? live : 0);
  if (!budget_.ensure(sizeOnDisk(size_) + sizeOnDisk(data.size())))
    return JournalError::disk_budget_exhausted;
  if (const Result<void, JournalError> replaced = replaceWith(data); !replaced)
    return replaced;
  buffer_.clear();
  state_.retainVersions(referenced);
  return ok();
}

// If the process is killed at any point, either the old or the new file is in place, and that file is
// complete.
Result<void, JournalError> Journal::replaceWith(const std::string& data) {
  const int fd = ::open(compaction_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC | O_APPEND, 0644);
  if (fd < 0)
    return JournalError::write_failed;
  if (!writeAll(fd, data) || std::rename(compaction_path_.c_str(), path_.c_str()) != 0) {
    ::close(fd);
    ::unlink(compaction_path_.c_str());
    return JournalError::write_failed;
  }
  ::close(fd_);
  fd_ = fd;
  size_ = data.size();
  return ok();
}

}  // namespace grademux
