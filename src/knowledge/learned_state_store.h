// grademux: keeps what the decision module has learned, in GW_STATE/knowledge: asks for it some destinations
// at a time, writes it off the loop, and gives way where the journal needs the room. Without it, or with a
// file that can't be read, the program runs as if nothing had been learned.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "../core/worker.h"
#include "learned_state_file.h"

namespace grademux::knowledge {

// `[knowledge]` of the daemon file.
struct LearnedStateConfig {
  bool enabled = false;
  Micros interval = 10'000'000;
  std::uint64_t max_bytes = 4 << 20;  // of the file; twice as much while it is written
  bool operator==(const LearnedStateConfig& o) const {
    return enabled == o.enabled && interval == o.interval && max_bytes == o.max_bytes;
  }
};

class LearnedStateStore {
 public:
  // What is known of some destinations, and LearnedExported; as DeliveryEngine::survey().
  using Learned = std::function<void(std::vector<LearnedRecord>, const LearnedExported&)>;
  using Export = std::function<void(std::int64_t after, int most, Learned)>;
  using AvailableBytes = std::function<std::uint64_t()>;         // bytes left to it and its old file
  using ReportBytes = std::function<void(std::uint64_t bytes)>;  // is told how many it takes

  LearnedStateStore(boost::asio::io_context& io, Worker& worker, LearnedStateConfig spec,
                    const std::string& folder, std::string sender, Export survey, AvailableBytes room,
                    ReportBytes beside);

  // What an earlier process left, at once; why it is not used goes to the log.
  LearnedStateFile load();
  void start();
  // Something that matters was learned: the next write comes soon.
  void writeSoon();
  // A daemon file that was read again.
  void applyConfig(LearnedStateConfig spec);
  // The process ends, or gives its folder to another: writes this on the spot.
  void finish(LearnedState state);
  void resume();  // after finish(): the folder stayed with this process
  // The file goes, for the journal's sake. False while it is being written: it goes then.
  bool freeSpace();

  static std::string pathIn(const std::string& folder) { return folder + "/knowledge"; }

 private:
  static constexpr int kSlice = 256;          // destinations in a turn
  static constexpr Micros kSoon = 1'000'000;  // between writes at least
  struct Written {
    std::string wrong;
    std::uint64_t bytes = 0;
    std::size_t records = 0, left_out = 0;
    Micros took = 0;
  };
  void schedule(Micros span);
  void collect(std::int64_t after);
  void write();
  void onWritten(const Written& w);
  static Written writeFile(const std::string& path, const LearnedStateFile& book, std::uint64_t most_bytes);
  std::uint64_t mostBytes() const;

  Worker& worker_;
  LearnedStateConfig spec_;
  std::string path_, sender_;
  Export export_;
  AvailableBytes available_bytes_;
  ReportBytes report_bytes_;
  boost::asio::steady_timer timer_;
  Micros due_ = 0;
  LearnedStateFile state_;
  std::uint64_t bytes_ = 0;  // of the file that is there
  bool busy_ = false, writing_ = false, space_freed_ = false, failing_ = false, stopped_ = false;
};

}  // namespace grademux::knowledge
