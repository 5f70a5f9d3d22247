#include "journaled_endpoint_list.h"

#include "json_fields.h"

namespace grademux {

Result<void, RecordError> JournaledEndpointList::apply(const EndpointChangesRecord& record) {
  if (record.replaces_list) {
    clear();
    has_base_ = true;
  }
  if (!has_base_)
    return ok();
  for (const auto& [name, entry] : record.changes)
    set(name, entry);
  if (!record.complete)
    return RecordError{RecordError::Reason::truncated, {}};
  index_ = record.index;
  return ok();
}

Result<void, RecordError> JournaledEndpointList::apply(const LegacyEndpointListRecord& record) {
  clear();
  const json list = json::parse(record.json, nullptr, false);
  if (!list.is_object())
    return ok();
  has_base_ = true;
  try {
    index_ = integer(list, "index");
    for (const json& entry : array(list, "endpoints"))
      set(text(entry, "name"), entry.dump());
  } catch (const BadInput&) {
    return RecordError{RecordError::Reason::invalid_value, {}};
  }
  return ok();
}

void JournaledEndpointList::invalidate() {
  clear();
  has_base_ = false;
}

void JournaledEndpointList::set(const std::string& name, const std::string& entry) {
  const auto known = entries_.find(name);
  if (known != entries_.end()) {
    bytes_ -= endpointBytes(name, known->second);
    entries_.erase(known);
  }
  if (entry.empty())
    return;
  bytes_ += endpointBytes(name, entry);
  entries_[name] = entry;
}

void JournaledEndpointList::clear() {
  entries_.clear();
  bytes_ = 0;
  index_ = -1;
}

}  // namespace grademux
