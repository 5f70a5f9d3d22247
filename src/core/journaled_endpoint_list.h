// The endpoint list as stored in the journal: entries as JSON by name, and the list's version. No I/O.
#pragma once

#include <map>
#include <string>

#include "journal_record.h"

namespace grademux {

class JournaledEndpointList {
 public:
  // Applies the readable part of an incomplete record without its version, and then returns the error.
  Result<void, RecordError> apply(const EndpointChangesRecord& record);
  Result<void, RecordError> apply(const LegacyEndpointListRecord& record);
  // Discards the list because changes may have been lost. Changes are ignored until a record replaces the
  // list.
  void invalidate();

  const std::map<std::string, std::string>& entries() const { return entries_; }
  std::int64_t index() const { return index_; }  // -1: no list is stored
  std::uint64_t bytes() const { return bytes_; }

 private:
  void set(const std::string& name, const std::string& entry);
  void clear();

  std::map<std::string, std::string> entries_;
  std::int64_t index_ = -1;
  std::uint64_t bytes_ = 0;  // sum of endpointBytes()
  bool has_base_ = false;    // a complete list was stored, so that changes can be applied to it
};

}  // namespace grademux
