// grademux: keeps what the decision module has learned, in GW_STATE/knowledge: asks for it some destinations
// at a time, writes it off the loop, and gives way where the journal needs the room. Without it, or with a
// file that can't be read, the program runs as if nothing had been learned.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "../core/worker.h"
#include "book.h"

namespace grademux::knowledge {

// `[knowledge]` of the daemon file.
struct KeeperSpec {
  bool keep = false;
  Micros interval = 10'000'000;
  std::uint64_t most_bytes = 4 << 20;  // of the file; twice as much while it is written
  bool operator==(const KeeperSpec& o) const {
    return keep == o.keep && interval == o.interval && most_bytes == o.most_bytes;
  }
};

class Keeper {
 public:
  // What is known of some destinations, and Surveyed; as Host::survey().
  using Learned = std::function<void(std::vector<Known>, const Surveyed&)>;
  using Survey = std::function<void(std::int64_t after, int most, Learned)>;
  using Room = std::function<std::uint64_t()>;              // bytes left to it and its old file
  using Beside = std::function<void(std::uint64_t bytes)>;  // is told how many it takes

  Keeper(boost::asio::io_context& io, Worker& worker, KeeperSpec spec, const std::string& folder,
         std::string sender, Survey survey, Room room, Beside beside);

  // What an earlier process left, at once; why it is not used goes to the log.
  Book read();
  void start();
  // Something that matters was learned: the next write comes soon.
  void soon();
  // A daemon file that was read again.
  void change(KeeperSpec spec);
  // The process ends, or gives its folder to another: writes this on the spot.
  void finish(Book book);
  void resume();  // after finish(): the folder stayed with this process
  // The file goes, for the journal's sake. False while it is being written: it goes then.
  bool giveWay();

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
  void gather(std::int64_t after);
  void write();
  void told(const Written& w);
  static Written put(const std::string& path, const Book& book, std::uint64_t most_bytes);
  std::uint64_t mostBytes() const;

  Worker& worker_;
  KeeperSpec spec_;
  std::string path_, sender_;
  Survey survey_;
  Room room_;
  Beside beside_;
  boost::asio::steady_timer timer_;
  Micros due_ = 0;
  Book book_;
  std::uint64_t bytes_ = 0;  // of the file that is there
  bool busy_ = false, writing_ = false, gave_way_ = false, failing_ = false, stopped_ = false;
};

}  // namespace grademux::knowledge
