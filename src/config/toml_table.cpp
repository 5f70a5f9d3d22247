// grademux: a table of the daemon file; see toml_table.h.
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
  double times;
};
constexpr Unit kTimes[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}, {"d", 86400e6}};
constexpr Unit kSizes[] = {{"B", 1},
                           {"KB", 1e3},
                           {"MB", 1e6},
                           {"GB", 1e9},
                           {"KiB", 1024.0},
                           {"MiB", 1024 * 1024.0},
                           {"GiB", 1024 * 1024 * 1024.0}};

// A number, blanks or none, and a unit.
template <std::size_t N>
bool quantity(const std::string& s, const Unit (&units)[N], double& out) {
  const std::size_t digits = s.find_first_not_of("0123456789.");
  if (digits == 0 || digits == std::string::npos || digits > 15)
    return false;
  const std::string number = s.substr(0, digits);
  if (number.find('.') != number.rfind('.') || number == ".")
    return false;
  const std::size_t at = s.find_first_not_of(' ', digits);
  for (const Unit& u : units)
    if (at != std::string::npos && s.substr(at) == u.name) {
      out = std::strtod(number.c_str(), nullptr) * u.times;
      return true;
    }
  return false;
}

template <std::size_t N>
std::string shown(double value, const Unit (&units)[N]) {
  const Unit* best = &units[0];
  for (const Unit& u : units)
    if (value >= u.times && value / u.times < value / best->times &&
        value / u.times == std::floor(value / u.times))
      best = &u;
  const std::string n = std::to_string(static_cast<std::int64_t>(value / best->times));
  return "\"" + n + " " + best->name + "\"";
}

}  // namespace

std::string nearest(const std::string& word, const std::vector<std::string>& names) {
  std::string best;
  std::size_t least = SIZE_MAX;
  for (const std::string& name : names) {
    std::vector<std::size_t> row(name.size() + 1);
    for (std::size_t j = 0; j <= name.size(); ++j)
      row[j] = j;
    for (std::size_t i = 1; i <= word.size(); ++i) {
      std::size_t diagonal = row[0];
      row[0] = i;
      for (std::size_t j = 1; j <= name.size(); ++j) {
        const std::size_t other = diagonal + (word[i - 1] != name[j - 1]);
        diagonal = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, other});
      }
    }
    if (row.back() < least && row.back() * 3 <= std::max(word.size(), name.size())) {
      least = row.back();
      best = name;
    }
  }
  return best;
}

std::string Mistake::in(const std::string& path) const {
  return path + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + what;
}

void Table::mistake(const toml::source_region& at, const std::string& what) {
  mistakes_.push_back({at.begin.line, at.begin.column, what});
}
void Table::expected(const char* key, const std::string& what) {
  const toml::node* n = table_.get(key);
  mistake(n ? n->source() : table_.source(), named(key) + ": " + what);
}
const toml::node* Table::node(const char* key) {
  known_.insert(key);
  return table_.get(key);
}

template <class Value>
Value Table::inForce(const char* key, Value value, const std::string& shown) {
  const toml::node* n = table_.get(key);
  if (effective_)
    effective_->push_back({named(key), shown, n ? n->source().begin.line : 0});
  return value;
}

std::int64_t Table::whole(const char* key, std::int64_t otherwise, std::int64_t least, std::int64_t most) {
  const toml::node* n = node(key);
  if (!n)
    return inForce(key, otherwise, std::to_string(otherwise));
  const auto v = n->is_integer() ? n->value<std::int64_t>() : std::nullopt;
  if (v && *v >= least && *v <= most)
    return inForce(key, *v, std::to_string(*v));
  expected(key,
           "a whole number from " + std::to_string(least) + " to " + std::to_string(most) + " is expected");
  return otherwise;
}
double Table::real(const char* key, double otherwise, double least, double most) {
  const toml::node* n = node(key);
  const auto text_of = [](double x) {
    std::ostringstream out;
    out << x;
    return out.str();
  };
  if (!n)
    return inForce(key, otherwise, text_of(otherwise));
  const auto v = n->is_number() ? n->value<double>() : std::nullopt;
  if (v && *v >= least && *v <= most)
    return inForce(key, *v, text_of(*v));
  std::ostringstream range;
  range << "a number from " << least << " to " << most << " is expected";
  expected(key, range.str());
  return otherwise;
}
bool Table::truth(const char* key, bool otherwise) {
  const toml::node* n = node(key);
  const bool v = n && n->is_boolean() ? *n->value<bool>() : otherwise;
  if (!n || n->is_boolean())
    return inForce(key, v, v ? "true" : "false");
  expected(key, "true or false is expected");
  return otherwise;
}
std::string Table::text(const char* key, const std::string& otherwise) {
  const toml::node* n = node(key);
  if (!n && !otherwise.empty())
    return inForce(key, otherwise, "\"" + otherwise + "\"");
  const auto v = n && n->is_string() ? n->value<std::string>() : std::nullopt;
  if (v && !v->empty())
    return inForce(key, *v, "\"" + *v + "\"");
  expected(key, "a text is expected");
  return otherwise;
}
std::string Table::word(const char* key, std::initializer_list<const char*> words, const char* otherwise) {
  const toml::node* n = node(key);
  if (!n && otherwise)
    return inForce(key, std::string(otherwise), "\"" + std::string(otherwise) + "\"");
  const auto v = n && n->is_string() ? n->value<std::string>() : std::nullopt;
  std::string all;
  std::vector<std::string> names;
  for (const char* w : words) {
    if (v && *v == w)
      return inForce(key, *v, "\"" + *v + "\"");
    all += (all.empty() ? "\"" : " or \"") + std::string(w) + "\"";
    names.emplace_back(w);
  }
  const std::string meant = v ? nearest(*v, names) : "";
  expected(key, all + " is expected" + (meant.empty() ? "" : "; \"" + meant + "\" may be meant"));
  return {};
}
std::vector<std::string> Table::texts(const char* key) {
  std::vector<std::string> all;
  const toml::node* n = node(key);
  if (!n)
    return all;
  const toml::array* list = n->as_array();
  if (!list || (!list->empty() && !list->is_homogeneous(toml::node_type::string)))
    expected(key, "a list of texts is expected");
  else
    for (const toml::node& i : *list)
      all.push_back(*i.value<std::string>());
  std::string joined;
  for (const std::string& s : all)
    joined += (joined.empty() ? "\"" : ", \"") + s + "\"";
  return inForce(key, all, "[" + joined + "]");
}
Micros Table::span(const char* key, Micros otherwise, Micros least, Micros most) {
  const toml::node* n = node(key);
  if (!n)
    return inForce(key, otherwise, shown(static_cast<double>(otherwise), kTimes));
  const auto v = n->is_string() ? n->value<std::string>() : std::nullopt;
  double us = 0;
  if (v && quantity(*v, kTimes, us) && us >= static_cast<double>(least) && us <= static_cast<double>(most))
    return inForce(key, Micros{std::llround(us)}, "\"" + *v + "\"");
  expected(key, "a time with its unit (us, ms, s, min, h, d) from " +
                    shown(static_cast<double>(least), kTimes) + " to " +
                    shown(static_cast<double>(most), kTimes) + " is expected, as \"250 ms\"");
  return otherwise;
}
std::pair<double, double> Table::range(const char* key, std::pair<double, double> otherwise, double least,
                                       double most) {
  const auto read = [&](const toml::node& n, double& x) {
    const auto v = n.is_number() ? n.value<double>() : std::nullopt;
    x = v.value_or(0);
    return v && x >= least && x <= most;
  };
  std::ostringstream what;
  what << "a number from " << least << " to " << most << ", or [LEAST, MOST] of them, is expected";
  return pair<double>(key, otherwise, read, what.str());
}
std::pair<Micros, Micros> Table::spans(const char* key, std::pair<Micros, Micros> otherwise, Micros least,
                                       Micros most) {
  const auto read = [&](const toml::node& n, Micros& x) {
    const auto v = n.is_string() ? n.value<std::string>() : std::nullopt;
    double us = 0;
    if (!v || !quantity(*v, kTimes, us))
      return false;
    x = std::llround(us);
    return x >= least && x <= most;
  };
  return pair<Micros>(
      key, otherwise, read,
      "a time with its unit (us, ms, s, min, h, d) from " + shown(static_cast<double>(least), kTimes) +
          " to " + shown(static_cast<double>(most), kTimes) + ", or [LEAST, MOST] of them, is expected");
}
template <class Value, class Read>
std::pair<Value, Value> Table::pair(const char* key, std::pair<Value, Value> otherwise, const Read& read,
                                    const std::string& what) {
  const toml::node* n = node(key);
  if (!n)
    return otherwise;
  std::pair<Value, Value> v;
  const toml::array* both = n->as_array();
  const bool good = both ? both->size() == 2 && read((*both)[0], v.first) && read((*both)[1], v.second) &&
                               v.first <= v.second
                         : read(*n, v.first);
  if (!good) {
    expected(key, what);
    return otherwise;
  }
  if (!both)
    v.second = v.first;
  return v;
}
std::int64_t Table::size(const char* key, std::int64_t otherwise, std::int64_t least, std::int64_t most) {
  const toml::node* n = node(key);
  if (!n)
    return inForce(key, otherwise, shown(static_cast<double>(otherwise), kSizes));
  const auto v = n->is_string() ? n->value<std::string>() : std::nullopt;
  double bytes = 0;
  if (v && quantity(*v, kSizes, bytes) && bytes >= static_cast<double>(least) &&
      bytes <= static_cast<double>(most))
    return inForce(key, std::int64_t{std::llround(bytes)}, "\"" + *v + "\"");
  expected(key, "a size with its unit (B, KB, MB, GB, KiB, MiB, GiB) from " +
                    shown(static_cast<double>(least), kSizes) + " to " +
                    shown(static_cast<double>(most), kSizes) + " is expected, as \"256 MiB\"");
  return otherwise;
}

bool Table::listen(const char* key, boost::asio::ip::tcp::endpoint& out) {
  const toml::node* n = node(key);
  const auto v = n && n->is_string() ? n->value<std::string>() : std::nullopt;
  try {
    if (v)
      out = parseAddress(*v);
  } catch (const std::invalid_argument&) {
  }
  if (v && out.port() != 0)
    return inForce(key, true, "\"" + *v + "\"");
  expected(key, "an address and a port from 1 to 65535 are expected, as \"127.0.0.1:8080\"");
  return false;
}

std::vector<const toml::table*> Table::tables(const char* key) {
  std::vector<const toml::table*> all;
  const toml::node* n = node(key);
  if (!n)
    return all;
  const toml::array* list = n->as_array();
  if (!list || !list->is_homogeneous(toml::node_type::table))
    expected(key, "tables are expected, each begun by [[" + std::string(key) + "]]");
  else
    for (const toml::node& t : *list)
      all.push_back(t.as_table());
  return all;
}

void Table::unknown(const std::string& where) {
  std::string all;
  for (const std::string& k : known_)
    all += (all.empty() ? "" : ", ") + k;
  for (const auto& [key, value] : table_) {
    const std::string name(key.str());
    if (known_.count(name))
      continue;
    const std::string meant = nearest(name, {known_.begin(), known_.end()});
    std::string message = "unknown key ";
    message.append(name).append(where).append(": one of ").append(all).append(" is expected");
    if (!meant.empty())
      message.append("; ").append(meant).append(" may be meant");
    mistake(key.source(), message);
  }
}

}  // namespace grademux
