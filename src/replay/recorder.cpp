// See recorder.h.
#include "recorder.h"

#include <stdexcept>

#include "../log/log.h"

namespace grademux::replay {

namespace {

constexpr Micros kFlushInterval =
    1'000'000;  // microseconds; bounds the iterations lost by a kill while iterations keep coming

bool endsWithPartialLine(const std::string& path) {
  std::ifstream in(path, std::ios::binary | std::ios::ate);
  if (!in || in.tellg() <= 0)
    return false;
  in.seekg(-1, std::ios::end);
  return in.get() != '\n';
}

}  // namespace

Recorder::Recorder(const std::string& path, std::uint64_t max_bytes, const Settings& settings,
                   std::uint64_t seed)
    : path_(path), max_bytes_(max_bytes) {
  const bool has_torn_tail = endsWithPartialLine(path);  // left by a process that was killed
  out_.open(path, std::ios::binary | std::ios::app);
  if (!out_)
    throw std::runtime_error("can't write the recording " + path);
  bytes_ = static_cast<std::uint64_t>(std::max<std::streamoff>(0, out_.tellp()));
  write((has_torn_tail ? "\n" : "") + headLine(settings, seed));
  out_.flush();
}

void Recorder::recordIteration(Micros now, const std::vector<Event>& events,
                               const std::vector<Action>& actions) {
  if (is_stopped_)
    return;
  write(iterationLine(now, events, actions));
  if (now - last_flush_at_ < kFlushInterval)
    return;
  last_flush_at_ = now;
  out_.flush();
}

void Recorder::write(const std::string& line) {
  if (bytes_ + line.size() + 1 <= max_bytes_ && out_ << line << '\n') {
    bytes_ += line.size() + 1;
    return;
  }
  is_stopped_ = true;
  log::write(log::Event::record_stopped,
             {{"file", path_},
              {"cause", out_ ? "the file has reached its maximum size" : "the file can't be written"}});
  out_.close();
}

}  // namespace grademux::replay
