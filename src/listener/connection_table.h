// The connections of one listener, in groups that the listener defines, such as "idle" or "writing". Each
// group is ordered by the time at which its connections entered it, so that the connection that has been idle
// longest is found without a scan. All operations but forEach() take constant time. Loop thread only.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace grademux {

// The table shares ownership of each connection until remove(). Group numbers run from 0 to GroupCount - 1.
template <class Connection, std::size_t GroupCount>
class ConnectionTable {
 public:
  using Pointer = std::shared_ptr<Connection>;

  // Adds a connection that is not in the table yet, at the end of `group`.
  void add(const Pointer& connection, std::size_t group) {
    std::list<Pointer>& members = groups_[group];
    members.push_back(connection);
    places_[connection.get()] = {group, std::prev(members.end())};
  }

  // Moves a connection to the end of `group`, also if it is in that group already. A connection that is not
  // in the table is ignored.
  void move(const Connection& connection, std::size_t group) {
    const auto found = places_.find(&connection);
    if (found == places_.end())
      return;
    Place& place = found->second;
    groups_[group].splice(groups_[group].end(), groups_[place.group], place.position);
    place.group = group;
  }

  // Removes a connection; does nothing if it is not in the table.
  void remove(const Connection& connection) {
    const auto found = places_.find(&connection);
    if (found == places_.end())
      return;
    groups_[found->second.group].erase(found->second.position);
    places_.erase(found);
  }

  std::size_t size() const { return places_.size(); }
  std::size_t count(std::size_t group) const { return groups_[group].size(); }

  // The members of a group, in the order in which they entered it.
  const std::list<Pointer>& members(std::size_t group) const { return groups_[group]; }

  // The member that entered the group first; null if the group is empty.
  Pointer oldest(std::size_t group) const {
    return groups_[group].empty() ? nullptr : groups_[group].front();
  }

  // Calls `action` with each connection. `action` may move and remove connections, because the iteration runs
  // over a copy of the list.
  template <class Action>
  void forEach(const Action& action) const {
    std::vector<Pointer> all;
    all.reserve(places_.size());
    for (const std::list<Pointer>& group : groups_)
      all.insert(all.end(), group.begin(), group.end());
    for (const Pointer& connection : all)
      action(*connection);
  }

 private:
  struct Place {
    std::size_t group = 0;
    typename std::list<Pointer>::iterator position;
  };

  std::array<std::list<Pointer>, GroupCount> groups_;
  std::unordered_map<const Connection*, Place> places_;
};

}  // namespace grademux
