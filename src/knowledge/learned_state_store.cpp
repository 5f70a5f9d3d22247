// grademux: keeping what was learned; see keeper.h.
#include "learned_state_store.h"

#include <unistd.h>

#include <algorithm>
#include <memory>

#include "../core/clock.h"
#include "../core/file.h"
#include "../log/log.h"

namespace grademux::knowledge {

LearnedStateStore::LearnedStateStore(boost::asio::io_context& io, Worker& worker, LearnedStateConfig spec,
                                     const std::string& folder, std::string sender, Export survey,
                                     AvailableBytes room, ReportBytes beside)
    : worker_(worker),
      spec_(spec),
      path_(pathIn(folder)),
      sender_(std::move(sender)),
      export_(std::move(survey)),
      available_bytes_(std::move(room)),
      report_bytes_(std::move(beside)),
      timer_(io) {}

LearnedStateFile LearnedStateStore::load() {
  ::unlink((path_ + ".new").c_str());  // a write that was cut short: the old file is whole
  if (!spec_.enabled)
    return {};
  const Micros began = monotonicNow();
  DecodedFile r = loadLearnedState(path_, sender_);
  if (!r.error.empty()) {
    log::write(log::Event::knowledge_rejected, {{"cause", r.error}});
    return {};
  }
  if (!r.found)
    return {};
  if (r.damaged > 0)
    log::write(log::Event::knowledge_damaged, {{"records", r.damaged}});
  const Micros age = unixNow() - r.state.written;
  log::write(
      log::Event::knowledge_read,
      {{"records", r.state.records.size()}, {"age_ms", age / 1000}, {"took_us", monotonicNow() - began}});
  return std::move(r.state);
}

void LearnedStateStore::start() {
  if (spec_.enabled)
    schedule(spec_.interval);
}

void LearnedStateStore::applyConfig(LearnedStateConfig spec) {
  if (spec == spec_)
    return;
  spec_ = spec;
  if (spec_.enabled)
    return schedule(std::min(spec_.interval, kSoon));
  due_ = 0;
  timer_.cancel();
}

void LearnedStateStore::writeSoon() {
  if (!spec_.enabled || stopped_)
    return;
  if (due_ == 0 || due_ - monotonicNow() > kSoon)
    schedule(kSoon);
}

void LearnedStateStore::schedule(Micros span) {
  if (stopped_)
    return;
  due_ = monotonicNow() + span;
  timer_.expires_after(std::chrono::microseconds(span));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (e || stopped_ || !spec_.enabled)
      return;
    if (busy_)
      return schedule(kSoon);
    busy_ = true;
    due_ = 0;
    state_ = {};
    collect(INT64_MIN);
  });
}

void LearnedStateStore::collect(std::int64_t after) {
  export_(after, kSlice, [this](std::vector<LearnedRecord> known, const LearnedExported& end) {
    state_.records.insert(state_.records.end(), std::make_move_iterator(known.begin()),
                          std::make_move_iterator(known.end()));
    if (stopped_)
      return;
    if (!end.complete)
      return collect(end.after);
    state_.pool = end.pool;
    write();
  });
}

// Old and new file are there together for a moment.
std::uint64_t LearnedStateStore::mostBytes() const {
  const std::uint64_t room =
      available_bytes_() + sizeOnDisk(bytes_);  // the old one is counted among what takes room
  return std::min(spec_.max_bytes, room / 2 / kFileBlockBytes * kFileBlockBytes);
}

LearnedStateStore::Written LearnedStateStore::writeFile(const std::string& path, const LearnedStateFile& book,
                                                        std::uint64_t most_bytes) {
  const Micros began = monotonicNow();
  Written w;
  w.records = book.records.size();
  const std::string bytes = encode(book, most_bytes, w.left_out);
  w.records -= w.left_out;
  w.bytes = bytes.size();
  w.wrong = bytes.empty() ? "the disk budget leaves no room beside the journal" : replaceFile(path, bytes);
  w.took = monotonicNow() - began;
  return w;
}

void LearnedStateStore::write() {
  state_.sender = sender_;
  state_.written = unixNow();
  const std::uint64_t most = mostBytes();
  report_bytes_(2 * most);
  writing_ = true;
  worker_.run([this, path = path_, book = std::make_shared<const LearnedStateFile>(std::move(state_)), most] {
    return [this, w = writeFile(path, *book, most)] {
      writing_ = busy_ = false;
      onWritten(w);
      if (due_ == 0 && spec_.enabled)
        schedule(spec_.interval);
    };
  });
}

void LearnedStateStore::onWritten(const Written& w) {
  if (w.wrong.empty())
    bytes_ = w.bytes;
  if (space_freed_) {
    ::unlink(path_.c_str());
    bytes_ = 0;
    space_freed_ = false;
  }
  report_bytes_(sizeOnDisk(bytes_));
  if (w.wrong.empty())
    log::write(log::Event::knowledge_written,
               {{"records", w.records}, {"left_out", w.left_out}, {"bytes", w.bytes}, {"took_us", w.took}});
  else if (!failing_)
    log::write(log::Event::knowledge_write_failed, {{"cause", w.wrong}});
  failing_ = !w.wrong.empty();
}

void LearnedStateStore::finish(LearnedState state) {
  stopped_ = true;
  timer_.cancel();
  if (!spec_.enabled || writing_)
    return;  // one that is under way is as new as this one, nearly
  LearnedStateFile book{std::move(state), sender_, unixNow()};
  onWritten(writeFile(path_, book, mostBytes()));
}

void LearnedStateStore::resume() {
  stopped_ = false;
  start();
}

bool LearnedStateStore::freeSpace() {
  space_freed_ = writing_;
  if (writing_)
    return false;
  ::unlink(path_.c_str());
  bytes_ = 0;
  return true;
}

}  // namespace grademux::knowledge
