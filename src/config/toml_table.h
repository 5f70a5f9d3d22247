// Reads a TOML table key by key and checks types and ranges. Mistakes are collected with their position and
// what was expected. Keys that the reader never requests are reported as unknown.
#pragma once

#include <toml++/toml.h>

#include <boost/asio/ip/tcp.hpp>
#include <initializer_list>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

/// A mistake in a file.
struct Mistake {
  std::int64_t line = 0, column = 0;  // from 1; 0: the file can't be read
  std::string what;                   // what was expected
  /// Formats the mistake for people as "FILE:LINE:COLUMN: what was expected".
  std::string format(const std::string& path) const;
};

/// The value of a key that is in force, and where the value comes from.
struct EffectiveValue {
  std::string key;        // with the name of its table, as "limits.calls"
  std::string value;      // as the file writes it
  std::int64_t line = 0;  // 0: the file lacks the key, and the value is the program's default
};

/// The name that is closest to `word` by Levenshtein's edit distance, which may be at most a third of the
/// length of the longer of the two. Empty if there is no such name.
std::string nearestName(const std::string& word, const std::vector<std::string>& names);

/// A table of a TOML file. Each function that reads a key records the key as known. When a value is missing,
/// the function returns the default value. When the value has a wrong type or is out of range, the function
/// reports a mistake and returns the default value.
class TomlTable {
 public:
  /// `table` and `mistakes` outlive this object, and so does `effective`, to which the values in force are
  /// appended unless it is null. `name` is the table's name in messages; empty for the root.
  TomlTable(const toml::table& table, std::string name, std::vector<Mistake>& mistakes,
            std::vector<EffectiveValue>* effective = nullptr)
      : table_(table), name_(std::move(name)), mistakes_(mistakes), effective_(effective) {}

  /// Reports a mistake at a position of the file, or at the table.
  void reportMistake(const toml::source_region& at, const std::string& what);
  void reportMistake(const std::string& what) { reportMistake(table_.source(), what); }
  /// Reports "TABLE.KEY: what is expected" at a key, or at the table if the table lacks the key.
  void reportExpected(const char* key, const std::string& what);
  /// Records the key as known. Returns its value, or null if the table lacks the key.
  const toml::node* node(const char* key);

  std::int64_t integer(const char* key, std::int64_t default_value, std::int64_t min_value,
                       std::int64_t max_value);
  double number(const char* key, double default_value, double min_value, double max_value);
  bool boolean(const char* key, bool default_value);
  /// A text that isn't empty. An empty `default_value` makes the key mandatory.
  std::string string(const char* key, const std::string& default_value);
  /// One of `words`. Mandatory if `default_value` is null; empty after a mistake.
  std::string oneOf(const char* key, std::initializer_list<const char*> words,
                    const char* default_value = nullptr);
  /// A list of texts; empty if the table lacks the key.
  std::vector<std::string> strings(const char* key);
  /// A duration as "250 ms", "4 s", "2 min" or "1 h", in microseconds.
  Micros duration(const char* key, Micros default_value, Micros min_value, Micros max_value);
  /// A number or a duration, or a range of them as [0.5, 2] or ["1 s", "5 s"].
  std::pair<double, double> numberRange(const char* key, std::pair<double, double> default_value,
                                        double min_value, double max_value);
  std::pair<Micros, Micros> durationRange(const char* key, std::pair<Micros, Micros> default_value,
                                          Micros min_value, Micros max_value);
  /// A size as "64 KiB", "256 MiB" or "3 MB", in bytes.
  std::int64_t byteSize(const char* key, std::int64_t default_value, std::int64_t min_value,
                        std::int64_t max_value);
  /// An address and a port that isn't 0. Mandatory; false after a mistake.
  bool listenAddress(const char* key, boost::asio::ip::tcp::endpoint& address);
  /// The tables of an array of tables, each begun by [[KEY]].
  std::vector<const toml::table*> tables(const char* key);
  /// Reports each key that no call has read. `where` follows the key in the message, as " in limits".
  void reportUnknownKeys(const std::string& where);

 private:
  /// Records the value of a key as in force, and returns `value`. `shown`: the value as a file writes it.
  template <class Value>
  Value recordEffective(const char* key, Value value, const std::string& shown);
  template <class Value, class Read>
  std::pair<Value, Value> readRange(const char* key, std::pair<Value, Value> default_value, const Read& read,
                                    const std::string& what);
  std::string qualifiedName(const char* key) const { return name_.empty() ? key : name_ + "." + key; }

  const toml::table& table_;
  std::string name_;
  std::vector<Mistake>& mistakes_;
  std::vector<EffectiveValue>* effective_;
  std::set<std::string> known_keys_;
};

}  // namespace grademux
