// grademux: the journal; see journal.h. A record is a mark, the payload's length, its CRC and the payload.
#include "journal.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <stdexcept>

#include "file.h"
#include "json_fields.h"

namespace grademux {
namespace {

constexpr char kMark[] = "\xA7GJ1";  // lets the reader find the next record after a damaged one
constexpr std::size_t kMarkSize = 4, kHeader = kMarkSize + 8;
constexpr std::uint32_t kLargest = 4u << 20;
// Bytes kept free for each message taken on: its attempts, their ends and its notice.
constexpr std::uint64_t kSeeThrough = 1536;
// Compaction is worth its writes once this much, and more than half of the file, is of messages long over.
constexpr std::size_t kBatch = 32768;  // bytes of ends in one record
constexpr std::uint64_t kLeastWaste = 64u << 10;

enum Type : char {
  kAccepted = 'A',
  kAttempted = 'T',
  kNeverRan = 'N',
  kOwed = 'W',
  kOver = 'O',  // and not remembered: earlier versions wrote it for every end
  kEnded = 'E',
  kPast = 'P',    // many ends in one record, as a compaction writes them
  kList = 'L',    // the whole list as one JSON text: earlier versions wrote it at
                  // each change
  kListed = 'D',  // its version, 1 if it begins anew, then name and entry of
                  // what has changed
  kAiling = 'H',
  kEpoch = 'G',    // another process owns the journal from here on
  kVersion = 'V',  // a version that attempts are decided under, and the number by which they name it
  kRules = 'C'     // a version of a class, and the number by which messages name it
};

std::uint32_t crcOf(const char* data, std::size_t size) {
  return static_cast<std::uint32_t>(
      ::crc32_z(0, reinterpret_cast<const unsigned char*>(data), size));  // CRC-32/ISO-HDLC
}

// Beside how a message ended: its digest is by XXH3. Without it, by FNV-1a, as versions before 0.4 wrote it.
constexpr std::int64_t kByXxh3 = 16;
constexpr std::int64_t kVersioned = 32;  // the version of its last attempt follows

class Writer {
 public:
  explicit Writer(Type t) { out_.push_back(t); }
  Writer& number(std::int64_t v) {
    const auto u = static_cast<std::uint64_t>(v);
    char bytes[8];
    for (int i = 0; i < 8; ++i)
      bytes[i] = static_cast<char>(u >> (8 * i) & 0xff);
    out_.append(bytes, sizeof bytes);
    return *this;
  }
  Writer& text(const std::string& s) {
    number(static_cast<std::int64_t>(s.size()));
    out_ += s;
    return *this;
  }
  Writer& past(const FinishedMessage& p) {
    number(static_cast<std::int64_t>(p.outcome.status) + (p.legacy_digest ? 0 : kByXxh3) +
           (p.version ? kVersioned : 0))
        .number(p.outcome.at)
        .number(p.outcome.retry_after)
        .number(static_cast<std::int64_t>(p.digest))
        .number(p.remember_until);
    return p.version ? number(p.version) : *this;
  }
  const std::string& out() const { return out_; }

 private:
  std::string out_;
};

class Reader {
 public:
  explicit Reader(const std::string& in) : in_(in) {}
  std::int64_t number() {
    if (in_.size() - at_ < 8)
      throw std::runtime_error("short record");
    std::uint64_t u = 0;
    for (int i = 0; i < 8; ++i)
      u |= static_cast<std::uint64_t>(static_cast<unsigned char>(in_[at_++])) << (8 * i);
    return static_cast<std::int64_t>(u);
  }
  bool more() const { return at_ < in_.size(); }
  FinishedMessage past() {
    FinishedMessage p;
    std::int64_t how = number();
    const bool versioned = how >= kVersioned;
    if (versioned)
      how -= kVersioned;
    p.legacy_digest = how < kByXxh3;
    if (!p.legacy_digest)
      how -= kByXxh3;
    if (how < 0 || how > static_cast<std::int64_t>(FinalStatus::withdrawn))
      throw std::runtime_error("unknown end");
    p.outcome.status = static_cast<FinalStatus>(how);
    p.outcome.at = number();
    p.outcome.retry_after = number();
    p.digest = static_cast<std::uint64_t>(number());
    p.remember_until = number();
    if (versioned)
      p.version = static_cast<std::uint32_t>(number());
    return p;
  }
  std::string text() {
    const auto n = static_cast<std::uint64_t>(number());
    if (n > in_.size() - at_)
      throw std::runtime_error("short record");
    std::string s = in_.substr(at_, n);
    at_ += n;
    return s;
  }

 private:
  const std::string& in_;
  std::size_t at_ = 1;  // past the type
};

void frame(std::string& out, const std::string& payload) {
  out.append(kMark, kMarkSize);
  const std::uint32_t words[2] = {static_cast<std::uint32_t>(payload.size()),
                                  crcOf(payload.data(), payload.size())};
  for (std::uint32_t w : words)
    for (int i = 0; i < 4; ++i)
      out.push_back(static_cast<char>(w >> (8 * i) & 0xff));
  out += payload;
}

std::uint32_t wordAt(const std::string& d, std::size_t at) {
  std::uint32_t w = 0;
  for (int i = 0; i < 4; ++i)
    w |= static_cast<std::uint32_t>(static_cast<unsigned char>(d[at + static_cast<std::size_t>(i)]))
         << (8 * i);
  return w;
}

std::string epochPayload(std::int64_t epoch) {
  return Writer(kEpoch).number(epoch).out();
}
std::int64_t bitsOf(double v) {
  std::int64_t bits;
  static_assert(sizeof bits == sizeof v);
  std::memcpy(&bits, &v, sizeof v);
  return bits;
}
double ofBits(std::int64_t bits) {
  double v;
  std::memcpy(&v, &bits, sizeof v);
  return v;
}

std::string rulesPayload(std::int64_t number, const MessageClass& c) {
  return Writer(kRules)
      .number(number)
      .text(c.name)
      .number(c.latency_objective)
      .number(c.deadline)
      .number(bitsOf(c.latency_objective_stretch))
      .number(bitsOf(c.priority_weight))
      .number(bitsOf(c.late_weight_fraction))
      .number(static_cast<std::int64_t>(c.idempotency))
      .number(static_cast<std::int64_t>(c.idempotency_scope))
      .number(c.idempotency_window)
      .number(c.ordered)
      .number(c.max_attempts)
      .out();
}
std::uint64_t sizeOfRules(const MessageClass& c) {
  return kHeader + 1 + 12 * 8 + c.name.size();
}

template <class E>
E readEnum(Reader& r, E last) {
  const std::int64_t v = r.number();
  if (v < 0 || v > static_cast<std::int64_t>(last))
    throw std::runtime_error("unknown rule");
  return static_cast<E>(v);
}

MessageClass readRules(Reader& r) {
  MessageClass c;
  c.name = r.text();
  c.latency_objective = r.number();
  c.deadline = r.number();
  c.latency_objective_stretch = ofBits(r.number());
  c.priority_weight = ofBits(r.number());
  c.late_weight_fraction = ofBits(r.number());
  c.idempotency = readEnum(r, Idempotency::non_idempotent);
  c.idempotency_scope = readEnum(r, IdempotencyScope::cell);
  c.idempotency_window = r.number();
  c.ordered = r.number() != 0;
  c.max_attempts = static_cast<int>(r.number());
  if (c.latency_objective <= 0 || c.deadline < c.latency_objective || c.max_attempts < 1)
    throw std::runtime_error("unusable rules");
  return c;
}

// Damage took the rules that messages name: they are held to the strictest.
ClassVersion strictest(const std::string& name) {
  MessageClass c;
  c.name = name;
  c.latency_objective = c.deadline = 60'000'000;
  c.idempotency = Idempotency::non_idempotent;
  c.max_attempts = 1;
  return std::make_shared<const MessageClass>(std::move(c));
}

std::string acceptedPayload(const AcceptedMessage& m, std::int64_t rules) {
  return Writer(kAccepted)
      .text(m.id)
      .text(m.message_class)
      .text(m.ordering_key)
      .text(m.idempotency_key)
      .text(m.body)
      .number(m.destination)
      .number(m.deadline)
      .number(m.resubmitted)
      .number(rules)
      .out();
}
std::string attemptedPayload(const std::string& id, const JournaledAttempt& a) {
  Writer w(kAttempted);
  w.text(id).text(a.endpoint).number(a.sent_at);
  return (a.version ? w.number(a.version) : w).out();
}
std::string versionPayload(std::uint32_t number, const std::string& text) {
  return Writer(kVersion).number(number).text(text).out();
}
std::uint64_t sizeOfVersion(const std::string& text) {
  return kHeader + 1 + 2 * 8 + text.size();
}
std::string neverRanPayload(const std::string& id, std::size_t attempt) {
  return Writer(kNeverRan).text(id).number(static_cast<std::int64_t>(attempt)).out();
}
std::string owedPayload(const std::string& id, const Notice& n) {
  return Writer(kOwed).text(id).number(n.returned).number(n.retry_after_ms).number(n.at).out();
}
std::string endedPayload(const std::string& id, const FinishedMessage& p) {
  return Writer(kEnded).text(id).past(p).out();
}
std::uint64_t sizeOfPast(const std::string& id, const FinishedMessage& p) {
  return kHeader + 1 + (p.version ? 7 : 6) * 8 + id.size();
}
std::uint64_t sizeOfListed(const std::string& name, const std::string& entry) {
  return 2 * 8 + name.size() + entry.size();
}
// The records of a change of the list, in order. The version stands in the last alone, in the others the one
// before: a write that is cut short must not claim what it lacks.
template <class Entries, class Take>
void eachListRecord(const Entries& entries, std::int64_t before, std::int64_t index, bool anew,
                    const Take& take) {
  std::string part;
  const auto record = [&](std::int64_t version) {
    take(Writer(kListed).number(version).number(anew).out() + part);
    part.clear();
    anew = false;
  };
  for (const auto& [name, entry] : entries) {
    part += Writer(kListed).text(name).text(entry).out().substr(1);
    if (part.size() >= kBatch)
      record(before);
  }
  record(index);
}
constexpr std::uint64_t kAilment = 144;  // bytes, at most but for a long name
std::string ailingPayload(const DestinationHealth& a) {
  return Writer(kAiling)
      .text(a.endpoint)
      .number(a.destination)
      .number(a.down)
      .number(a.warming_since)
      .number(a.retry_after_until)
      .number(a.observed_at)
      .out();
}

std::uint64_t sizeOf(const AcceptedMessage& m) {
  return kHeader + 1 + 9 * 8 + m.id.size() + m.message_class.size() + m.ordering_key.size() +
         m.idempotency_key.size() + m.body.size();
}

[[noreturn]] void fault(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t disk_bytes)
    : path_(folder + "/journal"), fresh_path_(folder + "/journal.new"), disk_(disk_bytes) {
  ::unlink(fresh_path_.c_str());  // a compaction that was cut short: the old file still holds all
  fd_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_APPEND, 0644);
  if (fd_ < 0)
    fault("journal: " + path_);
  std::string data;
  if (!readAll(fd_, data))
    fault("journal: read");
  replay(data);
  for (const auto& [id, e] : entries_)
    recovered_.entries.push_back(e);
  std::sort(recovered_.entries.begin(), recovered_.entries.end(),
            [](const OpenEntry& a, const OpenEntry& b) { return a.order < b.order; });
  for (const auto& [name, entry] : list_)
    recovered_.endpoint_list.push_back(entry);
  recovered_.list_index = list_index_;
  for (const auto& [key, a] : health_)
    recovered_.health.push_back(a);
  ++epoch_;
  if (recovered_.damaged_ranges > 0 && compact())
    return;
  frame(buffer_, epochPayload(epoch_));
  flush();  // where there is no room for it there is none for messages either
}

Journal::~Journal() {
  release();
}

Journal::MessageRecord Journal::readMessage(const std::string& folder, const std::string& id) {
  const std::string path = folder + "/journal";
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    fault("journal: " + path);
  std::string data;
  const bool read = readAll(fd, data);
  ::close(fd);
  if (!read)
    fault("journal: " + path);
  Journal j;  // without a file: it writes nothing
  j.replay(data);
  MessageRecord w;
  w.versions = j.versions_;
  if (const FinishedMessage* past = j.findFinished(id)) {
    w.found = w.finished = true;
    w.outcome = *past;
  }
  if (const auto it = j.entries_.find(id); it != j.entries_.end()) {
    w.found = true;
    w.message = it->second.message;
    w.attempts = it->second.attempts;
  }
  return w;
}

void Journal::release() {
  if (fd_ < 0)
    return;
  flush();
  struct stat s {};
  left_inode_ = ::fstat(fd_, &s) == 0 ? s.st_ino : 0;
  ::close(fd_);
  fd_ = -1;
}

bool Journal::reacquire() {
  if (fd_ >= 0)
    return true;
  const int fd = ::open(path_.c_str(), O_RDWR | O_CLOEXEC | O_APPEND);
  struct stat s {};
  const bool same = fd >= 0 && ::fstat(fd, &s) == 0 && s.st_ino == left_inode_ &&
                    static_cast<std::uint64_t>(s.st_size) == size_;
  if (same)
    fd_ = fd;
  else if (fd >= 0)
    ::close(fd);
  return same;
}

// Reads what is sound. Damage in the middle is passed over up to the next sound record; what follows the last
// sound one is a torn tail, of a write that a kill cut short, and is cut off.
void Journal::replay(const std::string& data) {
  const std::string mark(kMark, kMarkSize);
  std::size_t at = 0, sound_end = 0;
  bool gap = false;
  while (at + kHeader <= data.size()) {
    if (data.compare(at, kMarkSize, mark) == 0) {
      const std::uint32_t size = wordAt(data, at + kMarkSize), crc = wordAt(data, at + kMarkSize + 4);
      if (size >= 1 && size <= kLargest && size <= data.size() - at - kHeader &&
          crcOf(data.data() + at + kHeader, size) == crc) {
        if (gap)
          assumeExecuted();
        gap = false;
        try {
          apply(data.substr(at + kHeader, size));
        } catch (const std::runtime_error&) {
          ++recovered_.damaged_ranges;
        }
        at += kHeader + size;
        sound_end = at;
        continue;
      }
    }
    gap = true;
    const std::size_t next = data.find(mark, at + 1);
    if (next == std::string::npos)
      break;
    at = next;
  }
  size_ = sound_end;
  if (sound_end < data.size()) {
    recovered_.torn_tail = true;
    if (fd_ >= 0 && ::ftruncate(fd_, static_cast<off_t>(sound_end)) != 0)
      fault("journal: cut the torn tail");
  }
}

// A record in the middle is lost. It may have been an attempt of any message open then: each counts as tried
// at the moment it was sent last, or long ago. Guards against a second effect after damage. Harm: unsafe ones
// among them are given up though they may never have been sent.
void Journal::assumeExecuted() {
  ++recovered_.damaged_ranges;
  dropList();  // what is lost may have been a drain: the list counts again from
               // where it begins anew
  list_begun_ = false;
  for (auto& [id, e] : entries_)
    if (!e.notice_pending)
      e.attempts.push_back({"", e.attempts.empty() ? 0 : e.attempts.back().sent_at, false});
}

void Journal::apply(const std::string& payload) {
  Reader r(payload);
  const char type = payload[0];
  if (type == kList || type == kListed)
    return applyList(payload);
  if (type == kPast) {
    while (r.more()) {
      const std::string over = r.text();
      remember(over, r.past());
    }
    return;
  }
  if (type == kEpoch) {
    epoch_ = std::max(epoch_, r.number());
    return;
  }
  if (type == kVersion) {
    const auto number = static_cast<std::uint32_t>(r.number());
    std::string text = r.text();
    versions_bytes_ += sizeOfVersion(text);
    versions_[number] = std::move(text);
    return;
  }
  if (type == kRules) {
    const std::int64_t number = r.number();
    return storeClassVersion(number, std::make_shared<const MessageClass>(readRules(r)));
  }
  const std::string id = r.text();
  if (type == kAiling) {
    DestinationHealth a;
    a.endpoint = id;
    a.destination = r.number();
    a.down = r.number() != 0;
    a.warming_since = r.number();
    a.observed_at = a.warming_since;
    if (r.more()) {  // versions before 0.5 kept no waits
      a.retry_after_until = r.number();
      a.observed_at = r.number();
    }
    if (!a.down && a.warming_since < 0 && a.retry_after_until == 0)
      health_.erase({a.destination, a.endpoint});
    else
      health_[{a.destination, a.endpoint}] = a;
    return;
  }
  if (type == kAccepted) {
    OpenEntry e;
    e.message.id = id;
    e.message.message_class = r.text();
    e.message.ordering_key = r.text();
    e.message.idempotency_key = r.text();
    e.message.body = r.text();
    e.message.destination = r.number();
    e.message.deadline = r.number();
    e.message.resubmitted = r.number() != 0;
    if (const std::int64_t rules = r.more() ? r.number() : 0; rules != 0) {  // versions before 0.5 kept none
      if (class_versions_.count(rules) == 0)
        storeClassVersion(rules, strictest(e.message.message_class));
      e.message.class_version = class_versions_.at(rules);
    }
    e.order = ++next_order_;
    eraseEntry(id);
    entry_bytes_ += sizeOf(e.message) + kSeeThrough;
    entries_[id] = std::move(e);
    return;
  }
  if (type == kEnded) {
    const FinishedMessage p = r.past();
    eraseEntry(id);
    return remember(id, p);
  }
  auto it = entries_.find(id);
  if (it == entries_.end())
    return;
  OpenEntry& e = it->second;
  if (type == kAttempted) {
    JournaledAttempt a;
    a.endpoint = r.text();
    a.sent_at = r.number();
    if (r.more())
      a.version = static_cast<std::uint32_t>(r.number());
    e.attempts.push_back(a);
  } else if (type == kNeverRan) {
    const auto n = static_cast<std::size_t>(r.number());
    if (n < e.attempts.size())
      e.attempts[n].never_executed = true;
  } else if (type == kOwed) {
    e.notice_pending = true;
    e.notice.returned = r.number() != 0;
    e.notice.retry_after_ms = r.number();
    if (r.more())
      e.notice.at = r.number();  // earlier versions kept no time
  } else if (type == kOver) {
    eraseEntry(id);
  } else {
    throw std::runtime_error("unknown record");
  }
}

void Journal::eraseEntry(const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end())
    return;
  entry_bytes_ -= sizeOf(it->second.message) + kSeeThrough;
  entries_.erase(it);
}

// What a compaction would write, at most.
std::uint64_t Journal::liveBytes() const {
  return 3 * (kHeader + 16) + list_bytes_ + list_bytes_ / kBatch * (kHeader + 17) +
         health_.size() * kAilment + finished_bytes_ + entry_bytes_ + class_version_bytes_ + versions_bytes_;
}

// Guards against a message that is taken on and then can't be kept. Right after a compaction the file holds
// what is live, and the next one writes as much again beside it.
bool Journal::reserveSpace(const AcceptedMessage& m) {
  const std::uint64_t rules = m.class_version && class_version_numbers_.count(m.class_version.get()) == 0
                                  ? sizeOfRules(*m.class_version)
                                  : 0;
  const std::uint64_t more = reserved_ + sizeOf(m) + kSeeThrough + rules, live = liveBytes() + more;
  auto fits = [&](std::uint64_t file) {
    return blocks(file) + blocks(live) + kLeastWaste <= availableBytes();
  };
  const auto has_room = [&] {
    return fits(live) && (fits(size_ + buffer_.size() + more) || (compact() && fits(size_ + more)));
  };
  if (!has_room() && (!acquire() || !has_room()))
    return false;
  reserved_ = more;
  return true;
}

// What stands beside the journal gives way: what was taken on goes first.
bool Journal::acquire() {
  if (other_files_bytes_ == 0 || !free_space_ || !free_space_())
    return false;
  other_files_bytes_ = 0;
  return true;
}
std::uint64_t Journal::spareBytes() const {
  const std::uint64_t need = blocks(size_ + buffer_.size()) + blocks(liveBytes()) + 4 * kLeastWaste;
  return need < disk_ ? disk_ - need : 0;
}

void Journal::append(const std::string& payload) {
  frame(buffer_, payload);
  apply(payload);
}

void Journal::recordAccepted(const AcceptedMessage& m) {
  append(acceptedPayload(m, classVersionNumber(m.class_version)));
}
std::int64_t Journal::classVersionNumber(const ClassVersion& rules) {
  if (!rules)
    return 0;
  const auto known = class_version_numbers_.find(rules.get());
  if (known != class_version_numbers_.end())
    return known->second;
  const std::int64_t number = next_class_version_ + 1;
  frame(buffer_, rulesPayload(number, *rules));
  storeClassVersion(number, rules);
  return number;
}
void Journal::storeClassVersion(std::int64_t number, ClassVersion rules) {
  next_class_version_ = std::max(next_class_version_, number);
  if (!class_versions_.emplace(number, rules).second)
    return;
  class_version_bytes_ += sizeOfRules(*rules);
  class_version_numbers_[rules.get()] = number;
}
void Journal::recordAttempt(const std::string& id, const JournaledAttempt& a) {
  append(attemptedPayload(id, a));
}
void Journal::recordNeverExecuted(const std::string& id, std::size_t attempt) {
  append(neverRanPayload(id, attempt));
}
void Journal::recordNoticePending(const std::string& id, const Notice& n) {
  append(owedPayload(id, n));
}
void Journal::recordFinished(const std::string& id, const FinishedMessage& past) {
  const auto it = entries_.find(id);
  if (it == entries_.end())
    return;
  FinishedMessage kept = past;
  if (!it->second.attempts.empty())
    kept.version = it->second.attempts.back().version;
  append(endedPayload(id, kept));
}
std::uint32_t Journal::versionOf(const std::string& text) {
  if (!versions_.empty() && versions_.rbegin()->second == text)
    return versions_.rbegin()->first;
  const std::uint32_t number = versions_.empty() ? 1 : versions_.rbegin()->first + 1;
  append(versionPayload(number, text));
  return number;
}
void Journal::dropUnwritten(const std::string& id) {
  if (entries_.count(id))
    append(Writer(kOver).text(id).out());
}

void Journal::remember(const std::string& id, const FinishedMessage& past) {
  const auto known = finished_by_id_.find(id);
  if (known != finished_by_id_.end()) {
    finished_bytes_ -= sizeOfPast(id, *known->second);
    finished_bytes_ += sizeOfPast(id, past);
    *known->second = past;
    return;
  }
  finished_.emplace_back(id, past);
  finished_by_id_[finished_.back().first] = &finished_.back().second;
  finished_bytes_ += sizeOfPast(id, past);
}
const FinishedMessage* Journal::findFinished(const std::string& id) const {
  const auto it = finished_by_id_.find(id);
  return it == finished_by_id_.end() ? nullptr : it->second;
}
void Journal::expireFinished(Micros now) {
  while (!finished_.empty() && finished_.front().second.remember_until <= now) {
    const std::string& id = finished_.front().first;
    finished_bytes_ -= sizeOfPast(id, finished_.front().second);
    finished_by_id_.erase(id);
    finished_.pop_front();
  }
}
void Journal::setEntry(const std::string& name, std::string entry) {
  const auto known = list_.find(name);
  if (known != list_.end()) {
    list_bytes_ -= sizeOfListed(name, known->second);
    list_.erase(known);
  }
  if (entry.empty())
    return;
  list_bytes_ += sizeOfListed(name, entry);
  list_[name] = std::move(entry);
}
void Journal::dropList() {
  list_.clear();
  list_bytes_ = 0;
  list_index_ = -1;
}

void Journal::applyList(const std::string& payload) {
  Reader r(payload);
  if (payload[0] == kListed) {
    const std::int64_t index = r.number();
    if (r.number() != 0) {
      dropList();
      list_begun_ = true;
    }
    if (!list_begun_)
      return;
    while (r.more()) {
      const std::string name = r.text();
      setEntry(name, r.text());
    }
    list_index_ = index;
    return;
  }
  dropList();
  const json list = json::parse(r.text(), nullptr, false);
  if (!list.is_object())
    return;
  list_begun_ = true;
  list_index_ = integer(list, "index");
  for (const json& e : array(list, "endpoints"))
    setEntry(text(e, "name"), e.dump());
}

bool Journal::recordEndpointList(const std::vector<std::pair<std::string, std::string>>& changes,
                                 std::int64_t index, bool whole) {
  if (whole)
    list_fits_ = true;
  if (!list_fits_)
    return true;
  eachListRecord(changes, whole ? -1 : list_index_, index, whole,
                 [this](const std::string& r) { append(r); });
  if (list_bytes_ <= disk_ / 4)
    return true;
  list_fits_ = false;
  append(Writer(kListed).number(-1).number(1).out());
  return false;
}

void Journal::recordHealth(const DestinationHealth& a) {
  append(ailingPayload(a));
}
void Journal::expireHealth(Micros before) {
  for (auto it = health_.begin(); it != health_.end();)
    it = std::max({it->second.warming_since, it->second.retry_after_until, it->second.observed_at}) < before
             ? health_.erase(it)
             : std::next(it);
}

// Old and new file are there together for a moment, so compaction comes while both still fit the budget.
bool Journal::flush() {
  reserved_ = 0;
  if (fd_ < 0)
    return false;
  if (buffer_.empty())
    return true;
  const std::uint64_t after = size_ + buffer_.size();
  const std::uint64_t live = liveBytes();
  const bool must = blocks(after) + blocks(live) + kLeastWaste > availableBytes();
  if (must || (after > 2 * live && after - live > 4 * kLeastWaste)) {
    if (compact())
      return true;
  }
  if ((blocks(after) > availableBytes() && (!acquire() || blocks(after) > availableBytes())) ||
      !writeAll(fd_, buffer_)) {
    if (::ftruncate(fd_, static_cast<off_t>(size_)) != 0)
      return false;
    return false;
  }
  size_ = after;
  buffer_.clear();
  return true;
}

// Writes anew what is open, then renames: a kill at any moment leaves the old file or the new one, whole.
bool Journal::compact() {
  if (fd_ < 0)
    return false;
  std::vector<const OpenEntry*> order;
  for (const auto& [id, e] : entries_)
    order.push_back(&e);
  std::sort(order.begin(), order.end(),
            [](const OpenEntry* a, const OpenEntry* b) { return a->order < b->order; });
  std::string data;
  const std::uint64_t live = liveBytes();
  data.reserve(live < disk_ ? live : 0);
  frame(data, epochPayload(epoch_));
  if (list_index_ >= 0)
    eachListRecord(list_, list_index_, list_index_, true, [&](const std::string& r) { frame(data, r); });
  for (const auto& [key, a] : health_)
    frame(data, ailingPayload(a));
  Writer ends(kPast);
  for (const auto& [id, past] : finished_) {
    ends.text(id).past(past);
    if (ends.out().size() < kBatch)
      continue;
    frame(data, ends.out());
    ends = Writer(kPast);
  }
  if (ends.out().size() > 1)
    frame(data, ends.out());
  // Rules that no message has any more are left out, and forgotten.
  std::set<std::uint32_t> versions;
  if (!versions_.empty())
    versions.insert(versions_.rbegin()->first);  // no number comes twice
  for (const auto& [id, past] : finished_)
    versions.insert(past.version);
  for (const OpenEntry* e : order)
    for (const JournaledAttempt& a : e->attempts)
      versions.insert(a.version);
  std::map<std::uint32_t, std::string> kept_versions;
  std::uint64_t kept_bytes = 0;
  for (const auto& [number, text] : versions_) {
    if (!versions.count(number))
      continue;
    frame(data, versionPayload(number, text));
    kept_versions.emplace(number, text);
    kept_bytes += sizeOfVersion(text);
  }
  std::set<std::int64_t> used;
  for (const OpenEntry* e : order)
    if (e->message.class_version)
      used.insert(class_version_numbers_.at(e->message.class_version.get()));
  for (const std::int64_t number : used)
    frame(data, rulesPayload(number, *class_versions_.at(number)));
  for (const OpenEntry* e : order) {
    frame(data, acceptedPayload(e->message, classVersionNumber(e->message.class_version)));
    for (std::size_t i = 0; i < e->attempts.size(); ++i) {
      frame(data, attemptedPayload(e->message.id, e->attempts[i]));
      if (e->attempts[i].never_executed)
        frame(data, neverRanPayload(e->message.id, i));
    }
    if (e->notice_pending)
      frame(data, owedPayload(e->message.id, e->notice));
  }
  if (blocks(size_) + blocks(data.size()) > availableBytes() &&
      (!acquire() || blocks(size_) + blocks(data.size()) > availableBytes()))
    return false;
  const int fd = ::open(fresh_path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC | O_APPEND, 0644);
  if (fd < 0)
    return false;
  if (!writeAll(fd, data) || ::rename(fresh_path_.c_str(), path_.c_str()) != 0) {
    ::close(fd);
    ::unlink(fresh_path_.c_str());
    return false;
  }
  ::close(fd_);
  fd_ = fd;
  size_ = data.size();
  buffer_.clear();
  versions_ = std::move(kept_versions);
  versions_bytes_ = kept_bytes;
  for (auto it = class_versions_.begin(); it != class_versions_.end();) {
    if (used.count(it->first)) {
      ++it;
      continue;
    }
    class_version_bytes_ -= sizeOfRules(*it->second);
    class_version_numbers_.erase(it->second.get());
    it = class_versions_.erase(it);
  }
  return true;
}

}  // namespace grademux
