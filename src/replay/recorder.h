// Records the events and actions of the decision module in a file for `grademux_replay`. Intended for
// diagnosis rather than permanent use: recording costs some microseconds per message and the disk space of
// the file.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>

#include "stream_codec.h"

namespace grademux::replay {

class Recorder {
 public:
  // Appends a new head to the file `path`. Throws std::runtime_error when the file can't be written.
  // Recording stops, with one log line, when the file reaches `max_bytes` or a write fails; the program
  // continues.
  Recorder(const std::string& path, std::uint64_t max_bytes, const Settings& settings, std::uint64_t seed);
  void recordIteration(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions);
  bool isStopped() const { return is_stopped_; }

 private:
  void write(const std::string& line);

  std::string path_;
  std::ofstream out_;
  std::uint64_t bytes_ = 0, max_bytes_;
  Micros last_flush_at_ = 0;
  bool is_stopped_ = false;
};

}  // namespace grademux::replay
