// Storage of the learned state; see learned_state_store.h.
#include "learned_state_store.h"

#include <unistd.h>

#include <algorithm>
#include <memory>

#include "../core/clock.h"
#include "../core/file.h"
#include "../core/record_time.h"
#include "../log/log.h"

namespace grademux::knowledge {

LearnedStateStore::LearnedStateStore(boost::asio::io_context& io, Worker& worker, LearnedStateConfig config,
                                     const std::string& folder, std::string sender, Export export_records,
                                     AvailableBytes available_bytes, ReportBytes report_bytes)
    : worker_(worker),
      config_(config),
      path_(pathIn(folder)),
      sender_(std::move(sender)),
      export_(std::move(export_records)),
      available_bytes_(std::move(available_bytes)),
      report_bytes_(std::move(report_bytes)),
      timer_(io) {}

LearnedStateFile LearnedStateStore::load() {
  ::unlink((path_ + ".new").c_str());  // left by an interrupted write; the old file is complete
  if (!config_.enabled)
    return {};
  const Micros started_at = monotonicNow();
  DecodedFile decoded = loadLearnedState(path_, sender_);
  if (!decoded.error.empty()) {
    log::write(log::Event::knowledge_rejected, {{"cause", decoded.error}});
    return {};
  }
  if (!decoded.found)
    return {};
  if (decoded.damaged > 0)
    log::write(log::Event::knowledge_damaged, {{"records", decoded.damaged}});
  const Micros age = recordTimeNow() - decoded.state.written;
  log::write(log::Event::knowledge_read, {{"records", decoded.state.records.size()},
                                          {"age_ms", age / 1000},
                                          {"took_us", monotonicNow() - started_at}});
  return std::move(decoded.state);
}

void LearnedStateStore::start() {
  if (config_.enabled)
    schedule(config_.interval);
}

void LearnedStateStore::applyConfig(LearnedStateConfig config) {
  if (config == config_)
    return;
  config_ = config;
  if (config_.enabled)
    return schedule(std::min(config_.interval, kMinWriteInterval));
  next_write_at_ = 0;
  timer_.cancel();
}

void LearnedStateStore::scheduleWrite() {
  if (!config_.enabled || stopped_)
    return;
  if (next_write_at_ == 0 || next_write_at_ - monotonicNow() > kMinWriteInterval)
    schedule(kMinWriteInterval);
}

void LearnedStateStore::schedule(Micros delay) {
  if (stopped_)
    return;
  next_write_at_ = monotonicNow() + delay;
  timer_.expires_after(std::chrono::microseconds(delay));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || stopped_ || !config_.enabled)
      return;
    if (saving_)
      return schedule(kMinWriteInterval);
    saving_ = true;
    next_write_at_ = 0;
    state_ = {};
    exportBatch(INT64_MIN);
  });
}

void LearnedStateStore::exportBatch(std::int64_t after) {
  export_(after, kExportBatch, [this](std::vector<LearnedRecord> records, const LearnedExported& exported) {
    state_.records.insert(state_.records.end(), std::make_move_iterator(records.begin()),
                          std::make_move_iterator(records.end()));
    if (stopped_)
      return;
    if (!exported.complete)
      return exportBatch(exported.after);
    state_.pool = exported.pool;
    write();
  });
}

// Returns at most half of the space, because a write keeps the old file until the new one is complete.
std::uint64_t LearnedStateStore::maxFileBytes() const {
  // available_bytes_() counts the old file as used space.
  const std::uint64_t available = available_bytes_() + sizeOnDisk(file_bytes_);
  return std::min(config_.max_bytes, available / 2 / kFileBlockBytes * kFileBlockBytes);
}

LearnedStateStore::WriteResult LearnedStateStore::writeFile(const std::string& path,
                                                            const LearnedStateFile& file,
                                                            std::uint64_t max_bytes) {
  const Micros started_at = monotonicNow();
  WriteResult result;
  result.records = file.records.size();
  const std::string bytes = encode(file, max_bytes, result.left_out);
  result.records -= result.left_out;
  result.bytes = bytes.size();
  result.error =
      bytes.empty() ? "the disk budget leaves no space beside the journal" : replaceFile(path, bytes);
  result.duration = monotonicNow() - started_at;
  return result;
}

void LearnedStateStore::write() {
  state_.sender = sender_;
  state_.written = recordTimeNow();
  const std::uint64_t max_bytes = maxFileBytes();
  report_bytes_(2 * max_bytes);
  writing_ = true;
  worker_.run(
      [this, path = path_, file = std::make_shared<const LearnedStateFile>(std::move(state_)), max_bytes] {
        return [this, result = writeFile(path, *file, max_bytes)] {
          writing_ = saving_ = false;
          onWritten(result);
          if (next_write_at_ == 0 && config_.enabled)
            schedule(config_.interval);
        };
      });
}

void LearnedStateStore::onWritten(const WriteResult& result) {
  if (result.error.empty())
    file_bytes_ = result.bytes;
  if (remove_after_write_) {
    ::unlink(path_.c_str());
    file_bytes_ = 0;
    remove_after_write_ = false;
  }
  report_bytes_(sizeOnDisk(file_bytes_));
  if (result.error.empty())
    log::write(log::Event::knowledge_written, {{"records", result.records},
                                               {"left_out", result.left_out},
                                               {"bytes", result.bytes},
                                               {"took_us", result.duration}});
  else if (!last_write_failed_)
    log::write(log::Event::knowledge_write_failed, {{"cause", result.error}});
  last_write_failed_ = !result.error.empty();
}

void LearnedStateStore::finish(LearnedState state) {
  stopped_ = true;
  timer_.cancel();
  if (!config_.enabled || writing_)
    return;  // a write in progress has nearly the same content
  LearnedStateFile file{std::move(state), sender_, recordTimeNow()};
  onWritten(writeFile(path_, file, maxFileBytes()));
}

void LearnedStateStore::resume() {
  stopped_ = false;
  start();
}

bool LearnedStateStore::freeSpace() {
  remove_after_write_ = writing_;
  if (writing_)
    return false;
  ::unlink(path_.c_str());
  file_bytes_ = 0;
  return true;
}

}  // namespace grademux::knowledge
