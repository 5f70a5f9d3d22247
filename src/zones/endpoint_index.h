// The listed endpoints of one sender, by id, zone and destination. Used on the loop thread only.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "grademux/sender.h"

namespace grademux::zones {

/// Entries are immutable and shared: an attempt keeps the entry with which the attempt started.
class EndpointIndex {
 public:
  using Entry = std::shared_ptr<const Endpoint>;
  using Ids = std::set<std::string>;

  void insert(const Endpoint& endpoint);
  /// Returns the removed entry, or null if the endpoint was not listed.
  Entry erase(const std::string& id);

  /// Null if the endpoint is not listed.
  Entry find(const std::string& id) const;
  /// The endpoint must be listed.
  const Endpoint& at(const std::string& id) const { return *by_id_.at(id); }
  const Ids& inZone(const std::string& zone) const;
  const Ids& ofDestination(std::int64_t destination) const;
  const std::map<std::string, Ids>& byZone() const { return by_zone_; }
  std::size_t size() const { return by_id_.size(); }

 private:
  std::unordered_map<std::string, Entry> by_id_;
  std::map<std::string, Ids> by_zone_;
  std::map<std::int64_t, Ids> by_destination_;
};

}  // namespace grademux::zones
