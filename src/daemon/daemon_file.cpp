// grademux: the daemon file; see daemon_file.h.
#include "daemon_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <set>
#include <sstream>

#include "../net/address.h"

namespace grademux {

namespace {

using boost::asio::ip::tcp;

// A table of the file whose keys are asked for one by one; what was not asked for is unknown.
class Table {
 public:
  Table(const toml::table& t, std::string name, std::vector<Mistake>& mistakes)
      : table_(t), name_(std::move(name)), mistakes_(mistakes) {}

  void mistake(const toml::source_region& at, const std::string& what) {
    mistakes_.push_back({at.begin.line, at.begin.column, what});
  }
  const toml::node* node(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }
  std::int64_t whole(const char* key, std::int64_t otherwise, std::int64_t least, std::int64_t most) {
    const toml::node* n = node(key);
    if (!n) return otherwise;
    const auto v = n->is_integer() ? n->value<std::int64_t>() : std::nullopt;
    if (v && *v >= least && *v <= most) return *v;
    mistake(n->source(), named(key) + ": a whole number from " + std::to_string(least) + " to " +
                             std::to_string(most) + " is expected");
    return otherwise;
  }
  std::string word(const char* key, std::initializer_list<const char*> words) {
    const toml::node* n = node(key);
    const auto v = n && n->is_string() ? n->value<std::string>() : std::nullopt;
    std::string all;
    for (const char* w : words) {
      if (v && *v == w) return *v;
      all += (all.empty() ? "\"" : " or \"") + std::string(w) + "\"";
    }
    mistake(n ? n->source() : table_.source(), named(key) + ": " + all + " is expected");
    return {};
  }
  bool listen(const char* key, tcp::endpoint& out) {
    const toml::node* n = node(key);
    const auto v = n && n->is_string() ? n->value<std::string>() : std::nullopt;
    try {
      if (v) out = parseAddress(*v);
    } catch (const std::invalid_argument&) {}
    if (v && out.port() != 0) return true;
    mistake(n ? n->source() : table_.source(),
            named(key) + ": an address and a port from 1 to 65535 are expected, as \"127.0.0.1:8080\"");
    return false;
  }
  void unknown(const std::string& where) {
    std::string all;
    for (const std::string& k : known_) all += (all.empty() ? "" : ", ") + k;
    for (const auto& [key, value] : table_)
      if (!known_.count(std::string(key.str())))
        mistake(key.source(),
                "unknown key " + std::string(key.str()) + where + ": one of " + all + " is expected");
  }

 private:
  std::string named(const char* key) const { return name_.empty() ? key : name_ + "." + key; }

  const toml::table& table_;
  std::string name_;
  std::vector<Mistake>& mistakes_;
  std::set<std::string> known_;
};

bool sameAddress(const tcp::endpoint& a, const tcp::endpoint& b) {
  return a.port() == b.port() &&
         (a.address() == b.address() || a.address().is_unspecified() || b.address().is_unspecified());
}

void readDoor(const toml::table& t, DaemonFile& file, std::vector<Mistake>& mistakes) {
  Table door(t, "door", mistakes);
  DoorSpec spec;
  const std::string kind = door.word("kind", {"http", "resp"});
  spec.kind = kind == "resp" ? DoorKind::resp : DoorKind::http;
  const bool placed = door.listen("listen", spec.listen);
  auto size = [&](const char* key, std::size_t& value, std::int64_t least, std::int64_t most) {
    value = static_cast<std::size_t>(door.whole(key, static_cast<std::int64_t>(value), least, most));
  };
  auto seconds = [&](const char* key, Micros& value, std::int64_t least, std::int64_t most) {
    value = door.whole(key, value / 1'000'000, least, most) * 1'000'000;
  };
  spec.limits.connections = 128;
  size("max_connections", spec.limits.connections, 1, 100'000);
  if (kind != "resp") {
    size("pipeline", spec.limits.pipeline, 1, 1024);
    size("batch_window", spec.limits.batch_window, 1, 4096);
    size("max_request_bytes", spec.limits.request_bytes, 1024, 1 << 20);
    seconds("max_wait_s", spec.limits.longest_wait, 0, 3600);
    seconds("idle_s", spec.limits.idle, 1, 3600);
  }
  door.unknown(kind == "resp" ? " in a door of kind resp" : " in a door");
  if (!placed) return;
  for (const DoorSpec& other : file.doors)
    if (sameAddress(other.listen, spec.listen))
      return door.mistake(t.get("listen")->source(),
                          "door.listen: an address of its own is expected, another door listens there");
  file.doors.push_back(spec);
}

}  // namespace

std::int64_t DaemonFile::connections() const {
  std::int64_t sum = 0;
  for (const DoorSpec& d : doors) sum += static_cast<std::int64_t>(d.limits.connections);
  return sum;
}

std::string Mistake::in(const std::string& path) const {
  return path + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + what;
}

DaemonFile readDaemonText(const std::string& text, const std::string& path, std::vector<Mistake>& mistakes) {
  DaemonFile file;
  file.path = path;
  try {
    const toml::table root = toml::parse(text, path);
    Table top(root, "", mistakes);
    if (const toml::node* doors = top.node("door")) {
      const toml::array* list = doors->as_array();
      if (!list || !list->is_homogeneous(toml::node_type::table))
        top.mistake(doors->source(), "door: tables are expected, each begun by [[door]]");
      else
        for (const toml::node& d : *list) readDoor(*d.as_table(), file, mistakes);
    }
    top.unknown("");
  } catch (const toml::parse_error& e) {
    mistakes.push_back({e.source().begin.line, e.source().begin.column,
                        "TOML is expected: " + std::string(e.description())});
  }
  std::stable_sort(mistakes.begin(), mistakes.end(), [](const Mistake& a, const Mistake& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  });
  return file;
}

DaemonFile readDaemonFile(const std::string& path, std::vector<Mistake>& mistakes) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream all;
  if (in) all << in.rdbuf();
  if (!in || in.bad()) {
    mistakes.push_back({0, 0, "a file that can be read is expected"});
    return {};
  }
  return readDaemonText(all.str(), path, mistakes);
}

}  // namespace grademux
