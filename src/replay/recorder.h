// grademux: writes what the decision module hears and answers to a file, for `grademux_replay`. For finding
// out, not for every day: it costs some microseconds a message, and the disk that the file takes.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>

#include "stream_codec.h"

namespace grademux::replay {

class Recorder {
 public:
  // Adds to `path`, a new head first. Throws std::runtime_error when it can't be written. At `most_bytes` of
  // the file, or when a write fails, recording ends with one line in the log; the program goes on.
  Recorder(const std::string& path, std::uint64_t most_bytes, const Settings& settings, std::uint64_t seed);
  void turn(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions);
  bool ended() const { return ended_; }

 private:
  void write(const std::string& line);

  std::string path_;
  std::ofstream out_;
  std::uint64_t bytes_ = 0, most_;
  Micros flushed_ = 0;
  bool ended_ = false;
};

}  // namespace grademux::replay
