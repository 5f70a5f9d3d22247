// Event log on spdlog: one line for each event with its fields, as text or JSON. Any thread may write; a line
// has been passed to the file when write() returns. No field of any event contains a message body, key or
// secret.
#pragma once

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "events.h"

namespace grademux::log {

struct Field {
  Field(const char* n, std::string_view v) : name(n), value(v) {}
  Field(const char* n, const std::string& v) : name(n), value(std::string_view(v)) {}
  Field(const char* n, const char* v) : name(n), value(std::string_view(v)) {}
  template <class Number, class = std::enable_if_t<std::is_integral_v<Number>>>
  Field(const char* n, Number v) : name(n), value(static_cast<std::int64_t>(v)) {}

  const char* name;
  std::variant<std::int64_t, std::string_view> value;  // a view must stay valid until write() returns
};

struct Config {
  bool json = false;
  std::string file;  // empty: standard error
  Level level = Level::info;
  std::map<std::string, Level> parts;  // levels of these parts, which override `level`
  double rate = 20;                    // lines per second of each event in the long run; 0: no limit
  double burst = 100;                  // lines of each event at once
};

// Applies a configuration. The file is reopened, as it may have been renamed. Throws std::runtime_error if
// the file can't be opened; the previous configuration then stays in effect.
void configure(const Config& config);
// Logs the counts of suppressed lines that are not logged yet. Called before the process ends.
void writeSuppressedCounts();

// Whether the level of an event is enabled. Callers on the path of each message check this before they build
// fields.
bool isEnabled(Event e);
// Writes a line. The fields are those of the event's entry in kEvents; a field with an empty text is omitted.
void write(Event e, std::initializer_list<Field> fields = {});

const EventSpec& specOf(Event e);
const char* nameOf(Level l);
bool levelOf(const std::string& name, Level& out);
// Formats a line as it is written, without the time. Used by tests and by programs that read logs.
std::string formatLine(Event e, std::initializer_list<Field> fields, bool json);

}  // namespace grademux::log
