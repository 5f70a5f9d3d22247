// The class versions that a journal stores, each by the number under which accepted messages name it. No I/O.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "message.h"

namespace grademux {

class ClassVersionTable {
 public:
  // Does nothing if a version with this number is stored already.
  void add(std::int64_t number, const ClassVersion& version);
  // 0 if the version is not stored.
  std::int64_t numberOf(const ClassVersion& version) const;
  // Null if no version has this number.
  ClassVersion find(std::int64_t number) const;
  std::int64_t nextNumber() const { return last_number_ + 1; }
  // Removes all versions but those with these numbers.
  void retain(const std::set<std::int64_t>& numbers);

  // The size of the stored versions' records in the journal.
  std::uint64_t bytes() const { return bytes_; }

 private:
  std::map<std::int64_t, ClassVersion> versions_;
  std::unordered_map<const MessageClass*, std::int64_t> numbers_;
  std::int64_t last_number_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace grademux
