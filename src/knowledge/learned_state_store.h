// Stores what the decision module has learned in the file `knowledge` of the state folder. Exports a batch of
// destinations per turn of the loop, writes the file on the worker thread, and removes the file when the
// journal needs its space. Without the file, or with an unreadable one, the process starts with no learned
// state. Used on the loop thread only.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "../core/worker.h"
#include "learned_state_file.h"

namespace grademux::knowledge {

// `[knowledge]` of the daemon file.
struct LearnedStateConfig {
  bool enabled = false;
  Micros interval = 10'000'000;       // from one write to the next
  std::uint64_t max_bytes = 4 << 20;  // size limit of the file; a write takes up to twice as much
  bool operator==(const LearnedStateConfig& other) const {
    return enabled == other.enabled && interval == other.interval && max_bytes == other.max_bytes;
  }
};

class LearnedStateStore {
 public:
  // Receives the records of one batch of destinations, and where the next batch starts.
  using ExportCallback = std::function<void(std::vector<LearnedRecord>, const LearnedExported&)>;
  // Exports up to `max_destinations` destinations with ids above `after`; as DeliveryEngine::exportLearned().
  using Export = std::function<void(std::int64_t after, int max_destinations, ExportCallback)>;
  // Returns the disk space in bytes that is free for a new file, beside the current one.
  using AvailableBytes = std::function<std::uint64_t()>;
  // Receives the number of bytes of the disk budget that the file takes, or may take during a write.
  using ReportBytes = std::function<void(std::uint64_t bytes)>;

  // `io` and `worker` outlive this object.
  LearnedStateStore(boost::asio::io_context& io, Worker& worker, LearnedStateConfig config,
                    const std::string& folder, std::string sender, Export export_records,
                    AvailableBytes available_bytes, ReportBytes report_bytes);

  // Reads the file of the earlier process, blocking. Returns an empty state and logs the cause if the file
  // can't be used.
  LearnedStateFile load();
  void start();
  // Schedules the next write within kMinWriteInterval, after a change that the next process has to see.
  void scheduleWrite();
  // Applies a daemon file that was reloaded.
  void applyConfig(LearnedStateConfig config);
  // Stops the store and writes `state`, blocking, because the process ends or releases the folder to another
  // process. Writes nothing if a write is in progress already, which has nearly the same content.
  void finish(LearnedState state);
  // Restarts the store after finish(), when the folder stayed with this process.
  void resume();
  // Removes the file, because the journal needs its space. Returns false while a write is in progress; the
  // file is then removed when the write ends.
  bool freeSpace();

  static std::string pathIn(const std::string& folder) { return folder + "/knowledge"; }

 private:
  static constexpr int kExportBatch = 256;                // destinations per turn of the loop
  static constexpr Micros kMinWriteInterval = 1'000'000;  // between two writes
  struct WriteResult {
    std::string error;  // empty: the file was written
    std::uint64_t bytes = 0;
    std::size_t records = 0, left_out = 0;
    Micros duration = 0;
  };
  void schedule(Micros delay);
  void exportBatch(std::int64_t after);
  void write();
  void onWritten(const WriteResult& result);
  static WriteResult writeFile(const std::string& path, const LearnedStateFile& file,
                               std::uint64_t max_bytes);
  std::uint64_t maxFileBytes() const;

  Worker& worker_;
  LearnedStateConfig config_;
  std::string path_, sender_;
  Export export_;
  AvailableBytes available_bytes_;
  ReportBytes report_bytes_;
  boost::asio::steady_timer timer_;
  Micros next_write_at_ = 0;      // monotonic; 0: no write is scheduled
  LearnedStateFile state_;        // records exported so far for the next write
  std::uint64_t file_bytes_ = 0;  // size of the current file
  // saving_ is set from the start of the export to the end of the write, writing_ only during the write on
  // the worker thread.
  bool saving_ = false, writing_ = false, remove_after_write_ = false, last_write_failed_ = false,
       stopped_ = false;
};

}  // namespace grademux::knowledge
