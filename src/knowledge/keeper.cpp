// grademux: keeping what was learned; see keeper.h.
#include "keeper.h"

#include <unistd.h>

#include <algorithm>
#include <memory>

#include "../core/clock.h"
#include "../core/file.h"
#include "../log/log.h"

namespace grademux::knowledge {

Keeper::Keeper(boost::asio::io_context& io, Worker& worker, KeeperSpec spec, const std::string& folder,
               std::string sender, Survey survey, Room room, Beside beside)
    : worker_(worker),
      spec_(spec),
      path_(pathIn(folder)),
      sender_(std::move(sender)),
      survey_(std::move(survey)),
      room_(std::move(room)),
      beside_(std::move(beside)),
      timer_(io) {}

Book Keeper::read() {
  ::unlink((path_ + ".new").c_str());  // a write that was cut short: the old file is whole
  if (!spec_.keep)
    return {};
  const Micros began = monotonicNow();
  Reading r = readBook(path_, sender_);
  if (!r.refused.empty()) {
    log::write(log::Event::knowledge_refused, {{"cause", r.refused}});
    return {};
  }
  if (!r.there)
    return {};
  if (r.damaged > 0)
    log::write(log::Event::knowledge_damaged, {{"records", r.damaged}});
  const Micros age = unixNow() - r.book.written;
  log::write(log::Event::knowledge_read,
             {{"records", r.book.known.size()}, {"age_ms", age / 1000}, {"took_us", monotonicNow() - began}});
  return std::move(r.book);
}

void Keeper::start() {
  if (spec_.keep)
    schedule(spec_.interval);
}

void Keeper::change(KeeperSpec spec) {
  if (spec == spec_)
    return;
  spec_ = spec;
  if (spec_.keep)
    return schedule(std::min(spec_.interval, kSoon));
  due_ = 0;
  timer_.cancel();
}

void Keeper::soon() {
  if (!spec_.keep || stopped_)
    return;
  if (due_ == 0 || due_ - monotonicNow() > kSoon)
    schedule(kSoon);
}

void Keeper::schedule(Micros span) {
  if (stopped_)
    return;
  due_ = monotonicNow() + span;
  timer_.expires_after(std::chrono::microseconds(span));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (e || stopped_ || !spec_.keep)
      return;
    if (busy_)
      return schedule(kSoon);
    busy_ = true;
    due_ = 0;
    book_ = {};
    gather(INT64_MIN);
  });
}

void Keeper::gather(std::int64_t after) {
  survey_(after, kSlice, [this](std::vector<Known> known, const Surveyed& end) {
    book_.known.insert(book_.known.end(), std::make_move_iterator(known.begin()),
                       std::make_move_iterator(known.end()));
    if (stopped_)
      return;
    if (!end.all)
      return gather(end.after);
    book_.pool = end.pool;
    write();
  });
}

// Old and new file are there together for a moment.
std::uint64_t Keeper::mostBytes() const {
  const std::uint64_t room = room_() + blocks(bytes_);  // the old one is counted among what takes room
  return std::min(spec_.most_bytes, room / 2 / kFileBlock * kFileBlock);
}

Keeper::Written Keeper::put(const std::string& path, const Book& book, std::uint64_t most_bytes) {
  const Micros began = monotonicNow();
  Written w;
  w.records = book.known.size();
  const std::string bytes = encode(book, most_bytes, w.left_out);
  w.records -= w.left_out;
  w.bytes = bytes.size();
  w.wrong = bytes.empty() ? "the disk budget leaves no room beside the journal" : replaceFile(path, bytes);
  w.took = monotonicNow() - began;
  return w;
}

void Keeper::write() {
  book_.sender = sender_;
  book_.written = unixNow();
  const std::uint64_t most = mostBytes();
  beside_(2 * most);
  writing_ = true;
  worker_.run([this, path = path_, book = std::make_shared<const Book>(std::move(book_)), most] {
    return [this, w = put(path, *book, most)] {
      writing_ = busy_ = false;
      told(w);
      if (due_ == 0 && spec_.keep)
        schedule(spec_.interval);
    };
  });
}

void Keeper::told(const Written& w) {
  if (w.wrong.empty())
    bytes_ = w.bytes;
  if (gave_way_) {
    ::unlink(path_.c_str());
    bytes_ = 0;
    gave_way_ = false;
  }
  beside_(blocks(bytes_));
  if (w.wrong.empty())
    log::write(log::Event::knowledge_written,
               {{"records", w.records}, {"left_out", w.left_out}, {"bytes", w.bytes}, {"took_us", w.took}});
  else if (!failing_)
    log::write(log::Event::knowledge_write_failed, {{"cause", w.wrong}});
  failing_ = !w.wrong.empty();
}

void Keeper::finish(Book book) {
  stopped_ = true;
  timer_.cancel();
  if (!spec_.keep || writing_)
    return;  // one that is under way is as new as this one, nearly
  book.sender = sender_;
  book.written = unixNow();
  told(put(path_, book, mostBytes()));
}

void Keeper::resume() {
  stopped_ = false;
  start();
}

bool Keeper::giveWay() {
  gave_way_ = writing_;
  if (writing_)
    return false;
  ::unlink(path_.c_str());
  bytes_ = 0;
  return true;
}

}  // namespace grademux::knowledge
