#include "record_time.h"

#include <fstream>
#include <optional>
#include <sstream>

#include "clock.h"

namespace grademux {

namespace {

constexpr const char* kFileName = "/record_time";

struct TimeBase {
  std::string machine_start;  // identifies the start of the machine
  Micros offset = 0;          // of the time base from boottimeNow()
};

// The base of this process; unset until useRecordTimeOf() is called.
std::optional<Micros> base_offset;

std::string currentMachineStart() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  file >> id;
  return id;
}

// Nothing if the file is missing or damaged.
std::optional<TimeBase> readBase(const std::string& path) {
  std::ifstream file(path);
  TimeBase base;
  std::string end;
  if (!(file >> base.machine_start >> base.offset >> end) || end != "end")
    return std::nullopt;
  return base;
}

std::string format(const TimeBase& base) {
  std::ostringstream text;
  text << base.machine_start << ' ' << base.offset << " end\n";
  return text.str();
}

}  // namespace

std::string useRecordTimeOf(const std::string& state_folder) {
  const std::string path = state_folder + kFileName;
  const std::string machine_start = currentMachineStart();
  const std::optional<TimeBase> stored = readBase(path);
  if (stored && !machine_start.empty() && stored->machine_start == machine_start) {
    base_offset = stored->offset;
    return "";
  }
  base_offset = unixNow() - boottimeNow();
  if (machine_start.empty())
    return "the start of the machine is not known";
  return replaceFile(path, format({machine_start, *base_offset}));
}

Micros recordTimeNow() {
  return base_offset ? boottimeNow() + *base_offset : unixNow();
}

}  // namespace grademux
