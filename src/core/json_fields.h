// Strict reading of fields from JSON objects, shared by all modules that read JSON. Every function throws
// BadInput with the name of the field if the field is missing or has the wrong type. Functions with a
// `fallback` return it if the field is missing or null.
#pragma once

#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "grademux/sender.h"

namespace grademux {

using nlohmann::json;

// Input that is malformed; the text names the field.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] inline void bad(const std::string& what) {
  throw BadInput(what);
}

inline const json& field(const json& parent, const char* name) {
  auto it = parent.find(name);
  if (it == parent.end())
    bad(std::string("missing field ") + name);
  return *it;
}

// Whether the field is missing or null.
inline bool absent(const json& parent, const char* name) {
  auto it = parent.find(name);
  return it == parent.end() || it->is_null();
}

inline double number(const json& parent, const char* name) {
  const json& value = field(parent, name);
  if (!value.is_number())
    bad(std::string("not a number: ") + name);
  return value.get<double>();
}
inline double number(const json& parent, const char* name, double fallback) {
  return absent(parent, name) ? fallback : number(parent, name);
}
inline std::int64_t integer(const json& parent, const char* name) {
  const json& value = field(parent, name);
  if (!value.is_number_integer())
    bad(std::string("not an integer: ") + name);
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max())
    bad(std::string("out of range: ") + name);
  return value.get<std::int64_t>();
}
inline std::string text(const json& parent, const char* name) {
  const json& value = field(parent, name);
  if (!value.is_string())
    bad(std::string("not a text: ") + name);
  return value.get<std::string>();
}
inline std::string text(const json& parent, const char* name, const char* fallback) {
  return absent(parent, name) ? fallback : text(parent, name);
}
inline bool truth(const json& parent, const char* name) {
  const json& value = field(parent, name);
  if (!value.is_boolean())
    bad(std::string("not true or false: ") + name);
  return value.get<bool>();
}
inline bool truth(const json& parent, const char* name, bool fallback) {
  return absent(parent, name) ? fallback : truth(parent, name);
}
inline const json& array(const json& parent, const char* name) {
  const json& value = field(parent, name);
  if (!value.is_array())
    bad(std::string("not an array: ") + name);
  return value;
}
inline const json& object(const json& parent, const char* name) {
  const json& value = field(parent, name);
  if (!value.is_object())
    bad(std::string("not an object: ") + name);
  return value;
}
// An empty object if the field is missing or null.
inline const json& optionalObject(const json& parent, const char* name) {
  static const json empty = json::object();
  return absent(parent, name) ? empty : object(parent, name);
}

constexpr double kMaxSpanMs = 9e15;  // in microseconds it fits into 64 bits

inline Micros toMicros(double ms) {
  return static_cast<Micros>(std::llround(ms * 1000.0));
}
// A time span that is stored in milliseconds.
inline Micros span(const json& parent, const char* name) {
  const double ms = number(parent, name);
  if (!(std::abs(ms) <= kMaxSpanMs))
    bad(std::string("out of range: ") + name);
  return toMicros(ms);
}
inline Micros span(const json& parent, const char* name, Micros fallback) {
  return absent(parent, name) ? fallback : span(parent, name);
}
inline double toMs(Micros duration) {
  return static_cast<double>(duration) / 1000.0;
}

// The value that `words` assigns to `word`; `name` is the field, for the error text.
template <class T>
T oneOf(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, const char* name) {
  for (const auto& [candidate, value] : words)
    if (word == candidate)
      return value;
  bad(std::string("unknown value of ") + name + ": " + word);
}

}  // namespace grademux
