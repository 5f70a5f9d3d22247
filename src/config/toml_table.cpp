// Reading of TOML tables; see toml_table.h.
#include "toml_table.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "../net/address.h"

namespace grademux {

namespace {

struct Unit {
  const char* name;
  double factor;
};
constexpr Unit kTimeUnits[] = {{"us", 1},     {"ms", 1e3},   {"s", 1e6},
                               {"min", 60e6}, {"h", 3600e6}, {"d", 86400e6}};
constexpr Unit kSizeUnits[] = {{"B", 1},
                               {"KB", 1e3},
                               {"MB", 1e6},
                               {"GB", 1e9},
                               {"KiB", 1024.0},
                               {"MiB", 1024 * 1024.0},
                               {"GiB", 1024 * 1024 * 1024.0}};

// Parses a number and a unit, with or without blanks between them, and returns the number in the base unit.
// False if `text` has another form.
template <std::size_t N>
bool parseQuantity(const std::string& text, const Unit (&units)[N], double& out) {
  const std::size_t digit_count = text.find_first_not_of("0123456789.");
  if (digit_count == 0 || digit_count == std::string::npos || digit_count > 15)
    return false;
  const std::string number = text.substr(0, digit_count);
  if (number.find('.') != number.rfind('.') || number == ".")
    return false;
  const std::size_t unit_start = text.find_first_not_of(' ', digit_count);
  for (const Unit& unit : units)
    if (unit_start != std::string::npos && text.substr(unit_start) == unit.name) {
      out = std::strtod(number.c_str(), nullptr) * unit.factor;
      return true;
    }
  return false;
}

// Formats the value with the largest unit of which the value is a whole multiple, in quotes as in a file.
template <std::size_t N>
std::string formatQuantity(double value, const Unit (&units)[N]) {
  const Unit* best = &units[0];
  for (const Unit& unit : units)
    if (value >= unit.factor && value / unit.factor < value / best->factor &&
        value / unit.factor == std::floor(value / unit.factor))
      best = &unit;
  const std::string count = std::to_string(static_cast<std::int64_t>(value / best->factor));
  return "\"" + count + " " + best->name + "\"";
}

}  // namespace

std::string nearestName(const std::string& word, const std::vector<std::string>& names) {
  std::string best;
  std::size_t min_distance = SIZE_MAX;
  for (const std::string& name : names) {
    std::vector<std::size_t> row(name.size() + 1);
    for (std::size_t j = 0; j <= name.size(); ++j)
      row[j] = j;
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= name.size(); ++j) {
        const std::size_t substitution = diagonal + (word[i - 1] != name[j - 1]);
        diagonal = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
      }
    }
    if (row.back() < min_distance && row.back() * 3 <= std::max(word.size(), name.size())) {
      min_distance = row.back();
      best = name;
    }
  }
  return best;
}

std::string Mistake::format(const std::string& path) const {
  return path + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + what;
}

void TomlTable::reportMistake(const toml::source_region& at, const std::string& what) {
  mistakes_.push_back({at.begin.line, at.begin.column, what});
}
void TomlTable::reportExpected(const char* key, const std::string& what) {
  const toml::node* found = table_.get(key);
  reportMistake(found ? found->source() : table_.source(), qualifiedName(key) + ": " + what);
}
const toml::node* TomlTable::node(const char* key) {
  known_keys_.insert(key);
  return table_.get(key);
}

template <class Value>
Value TomlTable::recordEffective(const char* key, Value value, const std::string& shown) {
  const toml::node* found = table_.get(key);
  if (effective_)
    effective_->push_back({qualifiedName(key), shown, found ? found->source().begin.line : 0});
  return value;
}

std::int64_t TomlTable::integer(const char* key, std::int64_t default_value, std::int64_t min_value,
                                std::int64_t max_value) {
  const toml::node* found = node(key);
  if (!found)
    return recordEffective(key, default_value, std::to_string(default_value));
  const auto value = found->is_integer() ? found->value<std::int64_t>() : std::nullopt;
  if (value && *value >= min_value && *value <= max_value)
    return recordEffective(key, *value, std::to_string(*value));
  reportExpected(key, "a whole number from " + std::to_string(min_value) + " to " +
                          std::to_string(max_value) + " is expected");
  return default_value;
}
double TomlTable::number(const char* key, double default_value, double min_value, double max_value) {
  const toml::node* found = node(key);
  const auto format = [](double value) {
    std::ostringstream out;
    out << value;
    return out.str();
  };
  if (!found)
    return recordEffective(key, default_value, format(default_value));
  const auto value = found->is_number() ? found->value<double>() : std::nullopt;
  if (value && *value >= min_value && *value <= max_value)
    return recordEffective(key, *value, format(*value));
  std::ostringstream range;
  range << "a number from " << min_value << " to " << max_value << " is expected";
  reportExpected(key, range.str());
  return default_value;
}
bool TomlTable::boolean(const char* key, bool default_value) {
  const toml::node* found = node(key);
  const bool value = found && found->is_boolean() ? *found->value<bool>() : default_value;
  if (!found || found->is_boolean())
    return recordEffective(key, value, value ? "true" : "false");
  reportExpected(key, "true or false is expected");
  return default_value;
}
std::string TomlTable::string(const char* key, const std::string& default_value) {
  const toml::node* found = node(key);
  if (!found && !default_value.empty())
    return recordEffective(key, default_value, "\"" + default_value + "\"");
  const auto value = found && found->is_string() ? found->value<std::string>() : std::nullopt;
  if (value && !value->empty())
    return recordEffective(key, *value, "\"" + *value + "\"");
  reportExpected(key, "a text is expected");
  return default_value;
}
std::string TomlTable::oneOf(const char* key, std::initializer_list<const char*> words,
                             const char* default_value) {
  const toml::node* found = node(key);
  if (!found && default_value)
    return recordEffective(key, std::string(default_value), "\"" + std::string(default_value) + "\"");
  const auto value = found && found->is_string() ? found->value<std::string>() : std::nullopt;
  std::string all;
  std::vector<std::string> names;
  for (const char* word : words) {
    if (value && *value == word)
      return recordEffective(key, *value, "\"" + *value + "\"");
    all += (all.empty() ? "\"" : " or \"") + std::string(word) + "\"";
    names.emplace_back(word);
  }
  const std::string meant = value ? nearestName(*value, names) : "";
  reportExpected(key, all + " is expected" + (meant.empty() ? "" : "; \"" + meant + "\" may be meant"));
  return {};
}
std::vector<std::string> TomlTable::strings(const char* key) {
  std::vector<std::string> all;
  const toml::node* found = node(key);
  if (!found)
    return all;
  const toml::array* list = found->as_array();
  if (!list || (!list->empty() && !list->is_homogeneous(toml::node_type::string)))
    reportExpected(key, "a list of texts is expected");
  else
    for (const toml::node& element : *list)
      all.push_back(*element.value<std::string>());
  std::string joined;
  for (const std::string& text : all)
    joined += (joined.empty() ? "\"" : ", \"") + text + "\"";
  return recordEffective(key, all, "[" + joined + "]");
}
Micros TomlTable::duration(const char* key, Micros default_value, Micros min_value, Micros max_value) {
  const toml::node* found = node(key);
  if (!found)
    return recordEffective(key, default_value,
                           formatQuantity(static_cast<double>(default_value), kTimeUnits));
  const auto value = found->is_string() ? found->value<std::string>() : std::nullopt;
  double us = 0;
  if (value && parseQuantity(*value, kTimeUnits, us) && us >= static_cast<double>(min_value) &&
      us <= static_cast<double>(max_value))
    return recordEffective(key, Micros{std::llround(us)}, "\"" + *value + "\"");
  reportExpected(key, "a time with its unit (us, ms, s, min, h, d) from " +
                          formatQuantity(static_cast<double>(min_value), kTimeUnits) + " to " +
                          formatQuantity(static_cast<double>(max_value), kTimeUnits) +
                          " is expected, as \"250 ms\"");
  return default_value;
}
std::pair<double, double> TomlTable::numberRange(const char* key, std::pair<double, double> default_value,
                                                 double min_value, double max_value) {
  const auto read = [&](const toml::node& node, double& result) {
    const auto value = node.is_number() ? node.value<double>() : std::nullopt;
    result = value.value_or(0);
    return value && result >= min_value && result <= max_value;
  };
  std::ostringstream what;
  what << "a number from " << min_value << " to " << max_value << ", or [LEAST, MOST] of them, is expected";
  return readRange<double>(key, default_value, read, what.str());
}
std::pair<Micros, Micros> TomlTable::durationRange(const char* key, std::pair<Micros, Micros> default_value,
                                                   Micros min_value, Micros max_value) {
  const auto read = [&](const toml::node& node, Micros& result) {
    const auto value = node.is_string() ? node.value<std::string>() : std::nullopt;
    double us = 0;
    if (!value || !parseQuantity(*value, kTimeUnits, us))
      return false;
    result = std::llround(us);
    return result >= min_value && result <= max_value;
  };
  return readRange<Micros>(key, default_value, read,
                           "a time with its unit (us, ms, s, min, h, d) from " +
                               formatQuantity(static_cast<double>(min_value), kTimeUnits) + " to " +
                               formatQuantity(static_cast<double>(max_value), kTimeUnits) +
                               ", or [LEAST, MOST] of them, is expected");
}
template <class Value, class Read>
std::pair<Value, Value> TomlTable::readRange(const char* key, std::pair<Value, Value> default_value,
                                             const Read& read, const std::string& what) {
  const toml::node* found = node(key);
  if (!found)
    return default_value;
  std::pair<Value, Value> range;
  const toml::array* both = found->as_array();
  const bool good = both ? both->size() == 2 && read((*both)[0], range.first) &&
                               read((*both)[1], range.second) && range.first <= range.second
                         : read(*found, range.first);
  if (!good) {
    reportExpected(key, what);
    return default_value;
  }
  if (!both)
    range.second = range.first;
  return range;
}
std::int64_t TomlTable::byteSize(const char* key, std::int64_t default_value, std::int64_t min_value,
                                 std::int64_t max_value) {
  const toml::node* found = node(key);
  if (!found)
    return recordEffective(key, default_value,
                           formatQuantity(static_cast<double>(default_value), kSizeUnits));
  const auto value = found->is_string() ? found->value<std::string>() : std::nullopt;
  double bytes = 0;
  if (value && parseQuantity(*value, kSizeUnits, bytes) && bytes >= static_cast<double>(min_value) &&
      bytes <= static_cast<double>(max_value))
    return recordEffective(key, std::int64_t{std::llround(bytes)}, "\"" + *value + "\"");
  reportExpected(key, "a size with its unit (B, KB, MB, GB, KiB, MiB, GiB) from " +
                          formatQuantity(static_cast<double>(min_value), kSizeUnits) + " to " +
                          formatQuantity(static_cast<double>(max_value), kSizeUnits) +
                          " is expected, as \"256 MiB\"");
  return default_value;
}

bool TomlTable::listenAddress(const char* key, boost::asio::ip::tcp::endpoint& address) {
  const toml::node* found = node(key);
  const auto value = found && found->is_string() ? found->value<std::string>() : std::nullopt;
  try {
    if (value)
      address = parseAddress(*value);
  } catch (const std::invalid_argument&) {
  }
  if (value && address.port() != 0)
    return recordEffective(key, true, "\"" + *value + "\"");
  reportExpected(key, "an address and a port from 1 to 65535 are expected, as \"127.0.0.1:8080\"");
  return false;
}

std::vector<const toml::table*> TomlTable::tables(const char* key) {
  std::vector<const toml::table*> all;
  const toml::node* found = node(key);
  if (!found)
    return all;
  const toml::array* list = found->as_array();
  if (!list || !list->is_homogeneous(toml::node_type::table))
    reportExpected(key, "tables are expected, each begun by [[" + std::string(key) + "]]");
  else
    for (const toml::node& element : *list)
      all.push_back(element.as_table());
  return all;
}

void TomlTable::reportUnknownKeys(const std::string& where) {
  std::string all;
  for (const std::string& known_key : known_keys_)
    all += (all.empty() ? "" : ", ") + known_key;
  for (const auto& [key, value] : table_) {
    const std::string name(key.str());
    if (known_keys_.count(name))
      continue;
    const std::string meant = nearestName(name, {known_keys_.begin(), known_keys_.end()});
    std::string message = "unknown key ";
    message.append(name).append(where).append(": one of ").append(all).append(" is expected");
    if (!meant.empty())
      message.append("; ").append(meant).append(" may be meant");
    reportMistake(key.source(), message);
  }
}

}  // namespace grademux
