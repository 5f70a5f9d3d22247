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
  Micros sent = 0;  // Unix time
  bool never_ran = false;
  std::uint32_t version = 0;  // that it was decided under; 0: none was kept
};

struct Notice {
  bool handed_back = false;  // else given up
  std::int64_t retry_in_ms = 0;
  Micros at = 0;  // Unix time
};

// A message that is over, kept as long as its id may come again.
struct Past {
  End end;
  std::uint64_t digest = 0;   // of its content
  Micros until = 0;           // Unix time
  bool by_fnv = false;        // the digest is of a version before 0.4, see digestByFnv()
  std::uint32_t version = 0;  // of its last attempt; 0: none was kept
};

class Journal {
 public:
  struct Entry {
    TakenOn message;
    std::vector<JournaledAttempt> attempts;
    bool ended = false;  // its notice is owed
    Notice notice;
    std::uint64_t order = 0;
  };
  struct Recovered {
    std::vector<Entry> entries;     // in the order in which they were taken on
    std::vector<std::string> list;  // the entries of discovery's last list, as JSON
    std::int64_t list_index = -1;   // its version; -1: none is kept
    std::vector<Ailment> ailments;  // times in Unix time
    std::size_t damaged = 0;        // stretches that could not be read
    bool torn = false;              // the tail was cut
  };

  // Opens or creates the journal in `folder`. Throws std::runtime_error when that can't be done.
  Journal(const std::string& folder, std::uint64_t disk_bytes);
  ~Journal();
  // What a journal holds of one message, read without a change to it, also while a process owns it.
  struct Witness {
    bool known = false, ended = false;
    TakenOn message;                         // while it is open
    std::vector<JournaledAttempt> attempts;  // the same
    Past past;                               // once it has ended
    std::map<std::uint32_t, std::string> versions;
  };
  // Throws std::runtime_error when the file can't be read.
  static Witness look(const std::string& folder, const std::string& id);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // How many processes have owned this journal, with this one: each start counts one on.
  std::int64_t epoch() const { return epoch_; }
  // Gives the file up: what waits is written, and from then on nothing is, whoever asks.
  void release();
  // Takes it back, as it was left; false if another process has written to it.
  bool retake();

  const Recovered& recovered() const { return recovered_; }
  void forgetRecovered() { recovered_ = {}; }

  // Keeps room to take this on and to see it through, old and new file together. It holds until the next
  // flush, by when the message is either taken on or refused. False: there is none.
  bool reserve(const TakenOn& m);

  // The number by which attempts name a version; written once for all that have the same.
  std::uint32_t versionOf(const std::string& text);
  const std::map<std::uint32_t, std::string>& versions() const { return versions_; }

  // Each of these appends to a buffer; flush() writes it. False: nothing was written, the buffer waits for
  // the next flush, and what it promises must not be done.
  void accepted(const TakenOn& m);  // with the rules of its class, once for all that have the same
  void attempted(const std::string& id, const JournaledAttempt& a);
  void neverRan(const std::string& id, std::size_t attempt);
  void noticeOwed(const std::string& id, const Notice& n);
  // Delivered, withdrawn, or its notice was answered: nothing more is owed, and its id is remembered.
  void over(const std::string& id, const Past& past);
  void drop(const std::string& id);  // it was not taken on after all
  // Endpoints by name, as JSON, empty for one that is gone; `index` is the version of the list once these
  // have been taken over. Costs what changed; the whole list is written by a compaction alone. False: the
  // list takes more than a quarter of the disk budget, and is kept no more until one that fits is listed
  // whole.
  bool listed(const std::vector<std::pair<std::string, std::string>>& changes, std::int64_t index,
              bool whole);
  void ailing(const Ailment& a);       // in Unix time; one that is healthy since
                                       // before 1970, and waits for nothing, is kept no more
  void forgetAilments(Micros before);  // Unix time: not heard of since
  bool flush();

  // Other files in the folder, which count against its budget: so many bytes of them. Where the journal needs
  // that room `give_way` is asked to remove them; false: they can't go now.
  void beside(std::uint64_t bytes) { beside_ = bytes; }
  void onTight(std::function<bool()> give_way) { give_way_ = std::move(give_way); }
  // Bytes that the journal leaves of its budget, with some to spare for what comes next.
  std::uint64_t spare() const;

  // What is known of the end of `id`: null if it is open, unknown, or forgotten.
  const Past* past(const std::string& id) const;
  void forgetPast(Micros now);  // Unix time: what may not come again

 private:
  Journal() = default;
  bool claim();
  std::uint64_t room() const { return disk_ > beside_ ? disk_ - beside_ : 0; }
  void remember(const std::string& id, const Past& past);
  void setEntry(const std::string& name, std::string text);
  void dropList();
  void eraseEntry(const std::string& id);
  void applyList(const std::string& payload);
  void append(const std::string& payload);
  void apply(const std::string& payload);
  std::int64_t numberOf(const ClassVersion& rules);
  void keepRules(std::int64_t number, ClassVersion rules);
  void replay(const std::string& data);
  void doubt();
  std::uint64_t liveBytes() const;
  bool compact();

  std::string path_, fresh_path_;
  std::uint64_t beside_ = 0;
  std::function<bool()> give_way_;
  std::uint64_t disk_ = 0, size_ = 0, reserved_ = 0, next_order_ = 0;
  std::int64_t epoch_ = 0;
  std::uint64_t left_inode_ = 0;  // of the file that was given up
  int fd_ = -1;
  std::string buffer_;
  // Versions of classes that the file has, by the number that its messages name.
  std::map<std::int64_t, ClassVersion> rules_;
  std::unordered_map<const MessageClass*, std::int64_t> rules_at_;
  std::int64_t next_rules_ = 0;
  std::uint64_t rules_bytes_ = 0;
  std::map<std::uint32_t, std::string> versions_;  // the last, and those that attempts name
  std::uint64_t versions_bytes_ = 0;
  std::unordered_map<std::string, Entry> entries_;
  std::uint64_t entry_bytes_ = 0;  // of those, with what each is seen through by
  // Ends in the order in which they may be forgotten, and where each stands (a deque moves none of them).
  std::deque<std::pair<std::string, Past>> past_;
  std::unordered_map<std::string_view, Past*> past_at_;
  std::uint64_t past_bytes_ = 0;
  std::map<std::string, std::string> list_;  // by name
  std::int64_t list_index_ = -1;
  std::uint64_t list_bytes_ = 0;
  bool list_fits_ = true, list_begun_ = false;
  std::map<std::pair<std::int64_t, std::string>, Ailment> ailments_;  // the latest of each
  Recovered recovered_;
};

}  // namespace grademux
