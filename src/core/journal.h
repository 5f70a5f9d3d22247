// The journal of the messages that this sender has accepted: an append-only file of checksummed records,
// written before what they promise is done, and compacted by writing a new file and renaming it. Times in it
// are Unix time, which holds across processes. The journal decides nothing.
//
// Used from the loop thread alone, but readMessage() from any thread or process. The caller owns the journal.
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

  // Reads what a journal holds of one message without changing the file, also while a process owns it. Throws
  // std::runtime_error if the file can't be read.
  static JournaledMessage readMessage(const std::string& folder, const std::string& id);

  // The number of processes that have owned this journal, with this one.
  std::int64_t epoch() const { return state_.epoch(); }
  // Writes what is buffered and closes the file. Nothing is written from then on.
  void release();
  // Opens the file again. Fails with owned_by_other if another process has written to it.
  Result<void, JournalError> reacquire();

  // What the file held when it was opened.
  const RecoveredJournal& recovered() const { return recovered_; }
  void clearRecovered() { recovered_ = {}; }

  // Reserves the space of a message until it is finished, for the old and the new file of a compaction
  // together. The reservation holds until the next flush, by when the message is either accepted or rejected.
  Result<void, JournalError> reserveSpace(const AcceptedMessage& message);

  // The number by which attempts name a decision version. Each version is recorded once.
  std::uint32_t versionOf(const std::string& text);
  const DecisionVersions& versions() const { return state_.decisionVersions(); }

  // Each of these appends a record to a buffer, which flush() writes.

  // The class version of the message is recorded once for all messages that share it.
  void recordAccepted(const AcceptedMessage& message);
  void recordAttempt(const std::string& id, const JournaledAttempt& attempt);
  void recordNeverExecuted(const std::string& id, std::size_t attempt);
  void recordNoticePending(const std::string& id, const Notice& notice);
  // The message was delivered or withdrawn, or its notice was delivered: its id is remembered, nothing else
  // remains.
  void recordFinished(const std::string& id, const FinishedMessage& finished);
  // The message was not accepted after all.
  void dropUnwritten(const std::string& id);
  // `index` is the version of the list once these changes are applied; `whole`: they are the whole list.
  // Fails with endpoint_list_too_large if the list takes more than a quarter of the disk budget: the list is
  // then not stored until a whole one that fits is recorded.
  Result<void, JournalError> recordEndpointList(const EndpointChanges& changes, std::int64_t index,
                                                bool whole);
  // Times are Unix time. Health that says no more than a destination without a record is removed.
  void recordHealth(const DestinationHealth& health);
  // Removes health that was last observed before this Unix time.
  void expireHealth(Micros before) { state_.expireHealth(before); }

  // Writes the buffer. On an error nothing was written, the buffer waits for the next flush, and what the
  // records promise must not be done.
  Result<void, JournalError> flush();

  // The bytes of other files in the folder, which count against the same budget.
  void setOtherFilesBytes(std::uint64_t bytes) { budget_.setOtherFiles(bytes); }
  // `free_space` is called from within reserveSpace() and flush() when the journal needs the space of the
  // other files; it returns false if they can't be removed at the moment.
  void onSpaceNeeded(std::function<bool()> free_space) { budget_.onSpaceNeeded(std::move(free_space)); }
  // Bytes that the journal leaves of its budget, less a margin for the next records.
  std::uint64_t spareBytes() const;

  // The final outcome of `id`; null if the message is open, unknown or expired.
  const FinishedMessage* findFinished(const std::string& id) const { return state_.finished().find(id); }
  // Removes finished messages that need not be remembered after `now`, in Unix time.
  void expireFinished(Micros now) { state_.finished().expire(now); }

 private:
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
  std::uint64_t size_ = 0;            // of the file
  std::uint64_t reserved_ = 0;        // bytes for messages that wait for the next flush
  std::uint64_t released_inode_ = 0;  // of the file that was released
  int fd_ = -1;                       // -1: released
  bool endpoint_list_fits_ = true;
};

}  // namespace grademux
