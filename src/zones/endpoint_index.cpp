#include "endpoint_index.h"

namespace grademux::zones {

namespace {

template <class Key>
const EndpointIndex::Ids& idsOf(const std::map<Key, EndpointIndex::Ids>& index, const Key& key) {
  static const EndpointIndex::Ids no_ids;
  const auto found = index.find(key);
  return found == index.end() ? no_ids : found->second;
}

template <class Key>
void eraseId(std::map<Key, EndpointIndex::Ids>& index, const Key& key, const std::string& id) {
  const auto found = index.find(key);
  found->second.erase(id);
  if (found->second.empty())
    index.erase(found);
}

}  // namespace

void EndpointIndex::insert(const Endpoint& endpoint) {
  erase(endpoint.id);
  by_id_[endpoint.id] = std::make_shared<const Endpoint>(endpoint);
  by_zone_[endpoint.zone].insert(endpoint.id);
  by_destination_[endpoint.destination].insert(endpoint.id);
}

EndpointIndex::Entry EndpointIndex::erase(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end())
    return nullptr;
  Entry entry = found->second;
  eraseId(by_zone_, entry->zone, entry->id);
  eraseId(by_destination_, entry->destination, entry->id);
  by_id_.erase(found);
  return entry;
}

EndpointIndex::Entry EndpointIndex::find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

const EndpointIndex::Ids& EndpointIndex::inZone(const std::string& zone) const {
  return idsOf(by_zone_, zone);
}

const EndpointIndex::Ids& EndpointIndex::ofDestination(std::int64_t destination) const {
  return idsOf(by_destination_, destination);
}

}  // namespace grademux::zones
