// grademux: strict reading of fields from JSON; errors name the field. Shared by all that reads JSON.
#pragma once

#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "grademux/sender.h"

namespace grademux {

using nlohmann::json;

struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] inline void bad(const std::string& what) {
  throw BadInput(what);
}

inline const json& field(const json& o, const char* name) {
  auto it = o.find(name);
  if (it == o.end())
    bad(std::string("missing field ") + name);
  return *it;
}

inline bool absent(const json& o, const char* name) {
  auto it = o.find(name);
  return it == o.end() || it->is_null();
}

inline double number(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_number())
    bad(std::string("not a number: ") + name);
  return v.get<double>();
}
inline double number(const json& o, const char* name, double otherwise) {
  return absent(o, name) ? otherwise : number(o, name);
}
inline std::int64_t integer(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_number_integer())
    bad(std::string("not a whole number: ") + name);
  return v.get<std::int64_t>();
}
inline std::string text(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_string())
    bad(std::string("not a text: ") + name);
  return v.get<std::string>();
}
inline std::string text(const json& o, const char* name, const char* otherwise) {
  return absent(o, name) ? otherwise : text(o, name);
}
inline bool truth(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_boolean())
    bad(std::string("not true or false: ") + name);
  return v.get<bool>();
}
inline bool truth(const json& o, const char* name, bool otherwise) {
  return absent(o, name) ? otherwise : truth(o, name);
}
inline const json& array(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_array())
    bad(std::string("not an array: ") + name);
  return v;
}
inline const json& object(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_object())
    bad(std::string("not an object: ") + name);
  return v;
}
inline const json& optionalObject(const json& o, const char* name) {
  static const json none = json::object();
  return absent(o, name) ? none : object(o, name);
}

inline Micros toMicros(double ms) {
  return static_cast<Micros>(std::llround(ms * 1000.0));
}
inline Micros span(const json& o, const char* name) {
  return toMicros(number(o, name));
}
inline Micros span(const json& o, const char* name, Micros otherwise) {
  return absent(o, name) ? otherwise : span(o, name);
}
inline double toMs(Micros t) {
  return static_cast<double>(t) / 1000.0;
}

template <class T>
T oneOf(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, const char* name) {
  for (const auto& [w, value] : words)
    if (word == w)
      return value;
  bad(std::string("unknown value of ") + name + ": " + word);
}

}  // namespace grademux
