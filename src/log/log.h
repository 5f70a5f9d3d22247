// grademux: the log: one line for each event, with its fields, as text or as JSON, by spdlog. Any thread may
// write; a line is on its way to the file when write() returns. No body, key or secret of a message is a
// field of any event.
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
  std::variant<std::int64_t, std::string_view> value;  // what it views lasts until write() returns
};

struct Spec {
  bool json = false;
  std::string file;  // empty: standard error
  Level level = Level::info;
  std::map<std::string, Level> parts;  // instead, for these
  double rate = 20;                    // lines a second of each event in the long run; 0: no bound
  double burst = 100;                  // at once
};

// From now on; the file is opened anew, as it may have been renamed. Throws std::runtime_error if it can't be
// opened; then all is as before.
void configure(const Spec& spec);
// Tells what was left out and not told yet: before the process ends.
void finish();

// Whether an event would be written by its level. For those that stand in the way of each message.
bool on(Event e);
// Fields are those of the event's entry in kEvents; an empty text is left out.
void write(Event e, std::initializer_list<Field> fields = {});

const EventSpec& specOf(Event e);
const char* nameOf(Level l);
bool levelOf(const std::string& name, Level& out);
// One line without time and level, as it is written: for tests and for those who read logs by program.
std::string shown(Event e, std::initializer_list<Field> fields, bool json);

}  // namespace grademux::log
