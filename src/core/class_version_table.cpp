#include "class_version_table.h"

#include <algorithm>

#include "journal_record.h"

namespace grademux {

void ClassVersionTable::add(std::int64_t number, const ClassVersion& version) {
  last_number_ = std::max(last_number_, number);
  if (!versions_.emplace(number, version).second)
    return;
  bytes_ += classVersionBytes(*version);
  numbers_[version.get()] = number;
}

std::int64_t ClassVersionTable::numberOf(const ClassVersion& version) const {
  const auto known = numbers_.find(version.get());
  return known == numbers_.end() ? 0 : known->second;
}

ClassVersion ClassVersionTable::find(std::int64_t number) const {
  const auto known = versions_.find(number);
  return known == versions_.end() ? nullptr : known->second;
}

void ClassVersionTable::retain(const std::set<std::int64_t>& numbers) {
  for (auto it = versions_.begin(); it != versions_.end();) {
    if (numbers.count(it->first)) {
      ++it;
      continue;
    }
    bytes_ -= classVersionBytes(*it->second);
    numbers_.erase(it->second.get());
    it = versions_.erase(it);
  }
}

}  // namespace grademux
