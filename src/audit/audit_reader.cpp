#include "audit_reader.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <variant>

#include "segment_reader.h"

namespace grademux::audit {

namespace {

std::int64_t integerOrZero(const json& record, const char* key) {
  const auto found = record.find(key);
  return found != record.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

std::string textOrEmpty(const json& record, const char* key) {
  const auto found = record.find(key);
  return found != record.end() && found->is_string() ? found->get<std::string>() : "";
}

// Returns the records and gaps of one folder in order. Sequence numbers and segment headers show which
// records are missing.
class LogReader {
 public:
  using Item = std::variant<AuditRecord, AuditGap>;

  LogReader(std::string folder, std::string expected_sender)
      : folder_(std::move(folder)),
        expected_sender_(std::move(expected_sender)),
        segments_(listSegments(folder_)) {}

  // Sets `item` to the next record or gap. Returns false at the end of the log.
  bool next(Item& item) {
    while (ready_.empty() && !ended_)
      readNext();
    if (ready_.empty())
      return false;
    item = std::move(ready_.front());
    ready_.pop();
    return true;
  }
  const AuditSummary& summary() const { return summary_; }

 private:
  void readNext() {
    if (!reader_.isOpen() && !openNextSegment()) {
      ended_ = true;
      if (!gap_reason_.empty())
        addGap(0, gap_reason_);
      return;
    }
    json record;
    switch (reader_.next(record)) {
      case SegmentReader::Status::record:
        return addRecord(std::move(record));
      case SegmentReader::Status::unreadable:
        gap_reason_ = "a record that can't be read in " + segment_name_;
        return;
      case SegmentReader::Status::damaged:
        gap_reason_ = "damage in " + segment_name_;
        return;
      case SegmentReader::Status::torn:
        gap_reason_ = "a torn end in " + segment_name_;
        return;
      case SegmentReader::Status::end:
        return;
    }
  }

  bool openNextSegment() {
    if (next_segment_ >= segments_.size())
      return false;
    const std::int64_t number = segments_[next_segment_];
    if (next_segment_ > 0 && number != segments_[next_segment_ - 1] + 1 && gap_reason_.empty())
      gap_reason_ = segmentName(segments_[next_segment_ - 1] + 1) + " is missing";
    ++next_segment_;
    segment_name_ = segmentName(number);
    reader_.open(folder_ + "/" + segment_name_, number);
    return true;
  }

  void addGap(Micros until, const std::string& reason) {
    ready_.push(AuditGap{summary_.last, until, reason});
  }

  void flushGap(Micros until) {
    if (!gap_reason_.empty())
      addGap(until, gap_reason_);
    gap_reason_.clear();
  }

  void addSegmentHeader(const json& record, Micros at, std::int64_t sequence) {
    const std::string sender = textOrEmpty(record, "sender");
    if (summary_.sender.empty())
      summary_.sender = sender;
    if (!expected_sender_.empty() && sender != expected_sender_)
      gap_reason_ = segment_name_ + " is of " + sender;
    else if (sender != summary_.sender)
      gap_reason_ = segment_name_ + " is of " + sender + ", not of " + summary_.sender;
    if (started_ && sequence > sequence_ && gap_reason_.empty())
      gap_reason_ = std::to_string(sequence - sequence_) + " records are missing before " + segment_name_;
    if (!started_ && sequence > 0)
      gap_reason_ = "what came before " + segment_name_ + " is gone";
    flushGap(at);
    started_ = true;
    sequence_ = std::max(sequence_, sequence);
  }

  void addRecord(json record) {
    const Micros at = integerOrZero(record, "at");
    const std::int64_t sequence = integerOrZero(record, "seq");
    const std::string kind = textOrEmpty(record, "kind");
    if (kind == "segment")
      return addSegmentHeader(record, at, sequence);
    if (gap_reason_.empty() && started_ && sequence != sequence_ + 1)
      gap_reason_ =
          "records " + std::to_string(sequence_ + 1) + " to " + std::to_string(sequence - 1) + " are missing";
    flushGap(at);
    if (kind == "missing")
      addGap(at, std::to_string(integerOrZero(record, "records")) + " records could not be written");
    started_ = true;
    sequence_ = sequence;
    if (record.contains("ahead")) {
      store_clock_offset_ = integerOrZero(record, "ahead");
      store_clock_known_ = true;
    }
    if (summary_.records++ == 0)
      summary_.first = at;
    summary_.last = at;
    ready_.push(AuditRecord{summary_.sender, sequence, at, store_clock_offset_, store_clock_known_,
                            std::move(record)});
  }

  std::string folder_;
  std::string expected_sender_;
  std::vector<std::int64_t> segments_;
  std::size_t next_segment_ = 0;
  SegmentReader reader_;
  std::string segment_name_;
  std::string gap_reason_;  // reason of the gap before the next record; empty: none
  std::int64_t sequence_ = 0;
  bool started_ = false;
  bool ended_ = false;
  bool store_clock_known_ = false;
  Micros store_clock_offset_ = 0;
  AuditSummary summary_;
  std::queue<Item> ready_;
};

// One log of several, with its next item.
struct Head {
  std::unique_ptr<LogReader> log;
  LogReader::Item item;
  Micros at = 0;  // place of the item in the common order
};

// Reads the next item of a log. No item is placed before its predecessor in the same log; a gap has the place
// of its predecessor.
bool advance(Head& head) {
  if (!head.log->next(head.item))
    return false;
  if (const auto* record = std::get_if<AuditRecord>(&head.item))
    head.at = std::max(head.at, record->storeTime());
  return true;
}

}  // namespace

AuditSummary readAuditLog(const std::string& folder, const std::string& expected_sender,
                          const std::function<void(const AuditRecord&)>& on_record,
                          const std::function<void(const AuditGap&)>& on_gap) {
  LogReader log(folder, expected_sender);
  LogReader::Item item;
  while (log.next(item)) {
    if (const auto* record = std::get_if<AuditRecord>(&item))
      on_record(*record);
    else
      on_gap(std::get<AuditGap>(item));
  }
  return log.summary();
}

void readAuditLogs(const std::vector<std::string>& folders,
                   const std::function<void(std::size_t, const AuditRecord&)>& on_record,
                   const std::function<void(std::size_t, const AuditGap&)>& on_gap) {
  std::vector<Head> heads(folders.size());
  using Place = std::pair<Micros, std::size_t>;  // time and index of the log
  std::priority_queue<Place, std::vector<Place>, std::greater<>> order;
  for (std::size_t index = 0; index < folders.size(); ++index) {
    heads[index].log = std::make_unique<LogReader>(folders[index], "");
    if (advance(heads[index]))
      order.emplace(heads[index].at, index);
  }
  while (!order.empty()) {
    const std::size_t index = order.top().second;
    order.pop();
    const LogReader::Item item = std::move(heads[index].item);
    if (const auto* record = std::get_if<AuditRecord>(&item))
      on_record(index, *record);
    else
      on_gap(index, std::get<AuditGap>(item));
    if (advance(heads[index]))
      order.emplace(heads[index].at, index);
  }
}

}  // namespace grademux::audit
