// The journal of the messages that this sender has accepted: an append-only file of checksummed records. Each
// record is written before any action that depends on it; a compaction writes a new file and renames it over
// the old one. Stored times are in the time base of the folder (record_time.h), which is comparable across
// processes; below it is called Unix time. The journal makes no decisions. The caller must hold the lock of
// the state folder, but not for readMessage().
//
// Used from the loop thread alone, but readMessage() from any thread or process.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "disk_budget.h"
#include "journal_state.h"
#include "journal_types.h"
#include "result.h"

namespace grademux {

class Journal {
 public:
  // Opens or creates the journal in `folder`. `disk_bytes` is the disk budget of the folder. Throws
  // std::runtime_error if the file can't be opened or read.
  Journal(const std::string& folder, std::uint64_t disk_bytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Reads the records of one message without changing the file, also while another process owns the journal.
  // Throws std::runtime_error if the file can't be read.
  static JournaledMessage readMessage(const std::string& folder, const std::string& id);

  // The number of processes that have owned this journal, including this process.
  std::int64_t epoch() const { return state_.epoch(); }
  // Writes the buffer and closes the file. Nothing is written until reacquire().
  void release();
  // Opens the file again. Fails with owned_by_other if another process has written to it.
  Result<void, JournalError> reacquire();

  // The contents of the file when it was opened.
  const RecoveredJournal& recovered() const { return recovered_; }
  void clearRecovered() { recovered_ = {}; }

  // Reserves the disk space that a message needs until it is finished, in the old and in the new file of a
  // compaction together. The reservation ends at the next flush(); by then the message is accepted or
  // rejected.
  Result<void, JournalError> reserveSpace(const AcceptedMessage& message);

  // The number by which attempt records refer to a decision version. A version is recorded if it differs from
  // the last recorded one.
  std::uint32_t versionOf(const std::string& text);
  const DecisionVersions& versions() const { return state_.decisionVersions(); }

  // Each record function appends to a buffer, which flush() writes.

  // The class version of the message is recorded once for all messages that share it.
  void recordAccepted(const AcceptedMessage& message);
  void recordAttempt(const std::string& id, const JournaledAttempt& attempt);
  void recordNeverExecuted(const std::string& id, std::size_t attempt);
  void recordNoticePending(const std::string& id, const Notice& notice);
  // The message was delivered or withdrawn, or its notice was delivered. Only its id and final outcome are
  // remembered.
  void recordFinished(const std::string& id, const FinishedMessage& finished);
  // Discards a message that was not accepted because its record could not be written.
  void dropUnwritten(const std::string& id);
  // `index` is the version of the list once these changes are applied; `replaces_list`: the changes are the
  // complete list. Fails with endpoint_list_too_large if the list takes more than a quarter of the disk
  // budget. From then on the list is not stored until a complete list that fits is recorded.
  Result<void, JournalError> recordEndpointList(const EndpointChanges& changes, std::int64_t index,
                                                bool replaces_list);
  // Times are Unix time. Health that equals the default state of a destination without a record is removed.
  void recordHealth(const DestinationHealth& health);
  // Replaces what is recorded of the key. Both times are Unix time.
  void recordOrderingBlock(const OrderingKeyBlocked& block, Micros now);
  // Removes health that was last observed before this Unix time.
  void expireHealth(Micros before) { state_.expireHealth(before); }

  // Writes the buffer. After an error nothing was written, the buffer is kept for the next flush, and the
  // actions that depend on its records must not be performed.
  Result<void, JournalError> flush();

  // Sets the size of the other files in the folder, which count against the same disk budget.
  void setOtherFilesBytes(std::uint64_t bytes) { budget_.setOtherFiles(bytes); }
  // `free_space` is called from within reserveSpace() and flush() when the journal needs the space of the
  // other files; it returns false if they can't be removed at the moment.
  void onSpaceNeeded(std::function<bool()> free_space) { budget_.onSpaceNeeded(std::move(free_space)); }
  // The bytes of the disk budget that the journal does not need, less a margin for the next records.
  std::uint64_t spareBytes() const;

  // The final outcome of `id`; null if the message is open, unknown or expired.
  const FinishedMessage* findFinished(const std::string& id) const { return state_.finished().find(id); }
  // Removes finished messages that need not be remembered after `now`, in Unix time.
  void expireFinished(Micros now) { state_.finished().expire(now); }
  // Removes blocks of ordering keys that end before `now`, in Unix time.
  void expireOrderingBlocks(Micros now) { state_.expireOrderingBlocks(now); }

 private:
  static constexpr std::size_t kMinBlocksUntilExpiry = 64;

  void openFile();
  void recover();
  void append(const std::string& payload);
  std::int64_t recordClassVersion(const ClassVersion& version);
  bool needsCompaction(std::uint64_t size_after, std::uint64_t live) const;
  Result<void, JournalError> compact();
  Result<void, JournalError> replaceWith(const std::string& data);

  std::string path_;
  std::string compaction_path_;
  DiskBudget budget_;
  JournalState state_;
  RecoveredJournal recovered_;
  std::string buffer_;
  std::uint64_t size_ = 0;                                   // bytes in the file
  std::size_t blocks_until_expiry_ = kMinBlocksUntilExpiry;  // ordering blocks that are looked through
  std::uint64_t reserved_ = 0;        // bytes for messages that are not accepted or rejected yet
  std::uint64_t released_inode_ = 0;  // inode of the file that was released
  int fd_ = -1;                       // -1: released
  bool endpoint_list_fits_ = true;
};

}  // namespace grademux
