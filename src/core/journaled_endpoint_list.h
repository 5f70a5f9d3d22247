// The endpoint list as the journal stores it: entries as JSON by name, and the list's version. No I/O.
#pragma once

#include <map>
#include <string>

#include "journal_record.h"

namespace grademux {

class JournaledEndpointList {
 public:
  // The part of an incomplete record that could be read is applied, without its version; then the error is
  // returned.
  Result<void, RecordError> apply(const EndpointChangesRecord& record);
  Result<void, RecordError> apply(const LegacyEndpointListRecord& record);
  // Changes may have been lost: the list is unusable until a record replaces it.
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
  bool has_base_ = false;    // a whole list was stored, so that changes can be applied
};

}  // namespace grademux
