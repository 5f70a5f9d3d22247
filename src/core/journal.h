// grademux: the journal of what this sender has taken on. Append-only records, each checksummed, written
// before what they promise; compacted by writing anew and renaming. Times in it are Unix time, which holds
// across processes. It keeps what happened and decides nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "message.h"

namespace grademux {

struct JournaledAttempt {
  std::string endpoint;
  Micros sent_at = 0;  // Unix time
  bool never_executed = false;
  std::uint32_t version = 0;  // that it was decided under; 0: none was kept
};

struct Notice {
  bool returned = false;  // else given up
  std::int64_t retry_after_ms = 0;
  Micros at = 0;  // Unix time
};

// A message that is over, kept as long as its id may come again.
struct FinishedMessage {
  FinalOutcome outcome;
  std::uint64_t digest = 0;    // of its content
  Micros remember_until = 0;   // Unix time
  bool legacy_digest = false;  // the digest is of a version before 0.4, see digestByFnv()
  std::uint32_t version = 0;   // of its last attempt; 0: none was kept
};

class Journal {
 public:
  struct OpenEntry {
    AcceptedMessage message;
    std::vector<JournaledAttempt> attempts;
    bool notice_pending = false;  // its notice is owed
    Notice notice;
    std::uint64_t order = 0;
  };
  struct Recovered {
    std::vector<OpenEntry> entries;          // in the order in which they were taken on
    std::vector<std::string> endpoint_list;  // the entries of discovery's last list, as JSON
    std::int64_t list_index = -1;            // its version; -1: none is kept
    std::vector<DestinationHealth> health;   // times in Unix time
    std::size_t damaged_ranges = 0;          // stretches that could not be read
    bool torn_tail = false;                  // the tail was cut
  };

  // Opens or creates the journal in `folder`. Throws std::runtime_error when that can't be done.
  Journal(const std::string& folder, std::uint64_t disk_bytes);
  ~Journal();
  // What a journal holds of one message, read without a change to it, also while a process owns it.
  struct MessageRecord {
    bool found = false, finished = false;
    AcceptedMessage message;                 // while it is open
    std::vector<JournaledAttempt> attempts;  // the same
    FinishedMessage outcome;                 // once it has ended
    std::map<std::uint32_t, std::string> versions;
  };
  // Throws std::runtime_error when the file can't be read.
  static MessageRecord readMessage(const std::string& folder, const std::string& id);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // How many processes have owned this journal, with this one: each start counts one on.
  std::int64_t epoch() const { return epoch_; }
  // Gives the file up: what waits is written, and from then on nothing is, whoever asks.
  void release();
  // Takes it back, as it was left; false if another process has written to it.
  bool reacquire();

  const Recovered& recovered() const { return recovered_; }
  void clearRecovered() { recovered_ = {}; }

  // Keeps room to take this on and to see it through, old and new file together. It holds until the next
  // flush, by when the message is either taken on or refused. False: there is none.
  bool reserveSpace(const AcceptedMessage& m);

  // The number by which attempts name a version; written once for all that have the same.
  std::uint32_t versionOf(const std::string& text);
  const std::map<std::uint32_t, std::string>& versions() const { return versions_; }

  // Each of these appends to a buffer; flush() writes it. False: nothing was written, the buffer waits for
  // the next flush, and what it promises must not be done.
  void recordAccepted(
      const AcceptedMessage& m);  // with the rules of its class, once for all that have the same
  void recordAttempt(const std::string& id, const JournaledAttempt& a);
  void recordNeverExecuted(const std::string& id, std::size_t attempt);
  void recordNoticePending(const std::string& id, const Notice& n);
  // Delivered, withdrawn, or its notice was answered: nothing more is owed, and its id is remembered.
  void recordFinished(const std::string& id, const FinishedMessage& past);
  void dropUnwritten(const std::string& id);  // it was not taken on after all
  // Endpoints by name, as JSON, empty for one that is gone; `index` is the version of the list once these
  // have been taken over. Costs what changed; the whole list is written by a compaction alone. False: the
  // list takes more than a quarter of the disk budget, and is kept no more until one that fits is listed
  // whole.
  bool recordEndpointList(const std::vector<std::pair<std::string, std::string>>& changes, std::int64_t index,
                          bool whole);
  void recordHealth(const DestinationHealth& a);  // in Unix time; one that is healthy since
                                                  // before 1970, and waits for nothing, is kept no more
  void expireHealth(Micros before);               // Unix time: not heard of since
  bool flush();

  // Other files in the folder, which count against its budget: so many bytes of them. Where the journal needs
  // that room `give_way` is asked to remove them; false: they can't go now.
  void setOtherFilesBytes(std::uint64_t bytes) { other_files_bytes_ = bytes; }
  void onSpaceNeeded(std::function<bool()> give_way) { free_space_ = std::move(give_way); }
  // Bytes that the journal leaves of its budget, with some to spare for what comes next.
  std::uint64_t spareBytes() const;

  // What is known of the end of `id`: null if it is open, unknown, or forgotten.
  const FinishedMessage* findFinished(const std::string& id) const;
  void expireFinished(Micros now);  // Unix time: what may not come again

 private:
  Journal() = default;
  bool acquire();
  std::uint64_t availableBytes() const { return disk_ > other_files_bytes_ ? disk_ - other_files_bytes_ : 0; }
  void remember(const std::string& id, const FinishedMessage& past);
  void setEntry(const std::string& name, std::string text);
  void dropList();
  void eraseEntry(const std::string& id);
  void applyList(const std::string& payload);
  void append(const std::string& payload);
  void apply(const std::string& payload);
  std::int64_t classVersionNumber(const ClassVersion& rules);
  void storeClassVersion(std::int64_t number, ClassVersion rules);
  void replay(const std::string& data);
  void assumeExecuted();
  std::uint64_t liveBytes() const;
  bool compact();

  std::string path_, fresh_path_;
  std::uint64_t other_files_bytes_ = 0;
  std::function<bool()> free_space_;
  std::uint64_t disk_ = 0, size_ = 0, reserved_ = 0, next_order_ = 0;
  std::int64_t epoch_ = 0;
  std::uint64_t left_inode_ = 0;  // of the file that was given up
  int fd_ = -1;
  std::string buffer_;
  // Versions of classes that the file has, by the number that its messages name.
  std::map<std::int64_t, ClassVersion> class_versions_;
  std::unordered_map<const MessageClass*, std::int64_t> class_version_numbers_;
  std::int64_t next_class_version_ = 0;
  std::uint64_t class_version_bytes_ = 0;
  std::map<std::uint32_t, std::string> versions_;  // the last, and those that attempts name
  std::uint64_t versions_bytes_ = 0;
  std::unordered_map<std::string, OpenEntry> entries_;
  std::uint64_t entry_bytes_ = 0;  // of those, with what each is seen through by
  // Ends in the order in which they may be forgotten, and where each stands (a deque moves none of them).
  std::deque<std::pair<std::string, FinishedMessage>> finished_;
  std::unordered_map<std::string_view, FinishedMessage*> finished_by_id_;
  std::uint64_t finished_bytes_ = 0;
  std::map<std::string, std::string> list_;  // by name
  std::int64_t list_index_ = -1;
  std::uint64_t list_bytes_ = 0;
  bool list_fits_ = true, list_begun_ = false;
  std::map<std::pair<std::int64_t, std::string>, DestinationHealth> health_;  // the latest of each
  Recovered recovered_;
};

}  // namespace grademux
