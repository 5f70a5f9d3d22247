// grademux: the recorder; see recorder.h.
#include "recorder.h"

#include <stdexcept>

#include "../log/log.h"

namespace grademux::replay {

namespace {

constexpr Micros kFlush = 1'000'000;  // what a kill may cost at most, with turns that come

bool endsWithinALine(const std::string& path) {
  std::ifstream in(path, std::ios::binary | std::ios::ate);
  if (!in || in.tellg() <= 0)
    return false;
  in.seekg(-1, std::ios::end);
  return in.get() != '\n';
}

}  // namespace

Recorder::Recorder(const std::string& path, std::uint64_t most_bytes, const Settings& settings,
                   std::uint64_t seed)
    : path_(path), most_(most_bytes) {
  const bool torn = endsWithinALine(path);  // of a process that was killed
  out_.open(path, std::ios::binary | std::ios::app);
  if (!out_)
    throw std::runtime_error("the record " + path + " can't be written");
  bytes_ = static_cast<std::uint64_t>(std::max<std::streamoff>(0, out_.tellp()));
  write((torn ? "\n" : "") + headLine(settings, seed));
  out_.flush();
}

void Recorder::turn(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions) {
  if (ended_)
    return;
  write(turnLine(now, events, actions));
  if (now - flushed_ < kFlush)
    return;
  flushed_ = now;
  out_.flush();
}

void Recorder::write(const std::string& line) {
  if (bytes_ + line.size() + 1 <= most_ && out_ << line << '\n') {
    bytes_ += line.size() + 1;
    return;
  }
  ended_ = true;
  log::write(log::Event::record_stopped,
             {{"file", path_}, {"cause", out_ ? "it has reached its size" : "it can't be written"}});
  out_.close();
}

}  // namespace grademux::replay
