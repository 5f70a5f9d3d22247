// See json_file.h.
#include "json_file.h"

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

#include "../core/json_fields.h"

namespace grademux {

namespace {

// Follows a parse and rejects a key that its object has already.
class UniqueKeys {
 public:
  bool operator()(int, json::parse_event_t event, const json& parsed) {
    if (event == json::parse_event_t::object_start)
      open_objects_.emplace_back();
    else if (event == json::parse_event_t::object_end)
      open_objects_.pop_back();
    else if (event == json::parse_event_t::key)
      add(parsed.get_ref<const std::string&>());
    return true;
  }

 private:
  void add(const std::string& key) {
    if (!open_objects_.back().insert(key).second)
      bad("duplicate key: " + key);
  }

  std::vector<std::set<std::string>> open_objects_;  // the keys so far, the innermost object last
};

}  // namespace

json readJsonFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    bad("can't be read: " + path);
  std::stringstream content;
  content << file.rdbuf();
  json document = json::parse(content.str(), UniqueKeys(), false);
  if (!document.is_object())
    bad("not a JSON object: " + path);
  return document;
}

}  // namespace grademux
