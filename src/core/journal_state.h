// The contents of a journal in memory, built by applying the records in order: at recovery and at each
// append. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "class_version_table.h"
#include "finished_messages.h"
#include "journal_record.h"
#include "journaled_endpoint_list.h"

namespace grademux {

// The numbers of the versions to which open or remembered messages refer.
struct ReferencedVersions {
  std::set<std::uint32_t> decision_versions;
  std::set<std::int64_t> class_versions;
};

class JournalState {
 public:
  // Applies one record. An error means that the record, or a part of it, could not be applied.
  Result<void, RecordError> apply(std::string_view payload);
  // Handles the loss of records, which may have included an attempt of any open message. Each open message
  // counts as attempted once more at the time of its last known attempt, so that damage never causes a second
  // execution. As a consequence, a non-idempotent message can fail although it was never sent.
  void onRecordsLost();

  // The entry of an open message, or null.
  const JournalEntry* findOpen(const std::string& message_id) const;
  std::vector<const JournalEntry*> entriesInOrder() const;
  RecoveredJournal contents() const;
  ReferencedVersions referencedVersions() const;
  void retainVersions(const ReferencedVersions& referenced);
  void expireHealth(Micros before);  // Unix time of the last observation
  // Removes blocks of ordering keys that end before `now`, in Unix time.
  void expireOrderingBlocks(Micros now);

  // The most bytes that a compaction would write.
  std::uint64_t liveBytes() const;

  std::int64_t epoch() const { return epoch_; }
  void startEpoch() { ++epoch_; }
  FinishedMessages& finished() { return finished_; }
  const FinishedMessages& finished() const { return finished_; }
  ClassVersionTable& classVersions() { return class_versions_; }
  const ClassVersionTable& classVersions() const { return class_versions_; }
  const DecisionVersions& decisionVersions() const { return decision_versions_; }
  const JournaledEndpointList& endpointList() const { return endpoint_list_; }

  using HealthKey = std::pair<std::int64_t, std::string>;  // destination, endpoint
  const std::map<HealthKey, DestinationHealth>& health() const { return health_; }
  const std::map<std::string, OrderingKeyBlocked>& orderingBlocks() const { return ordering_blocks_; }

 private:
  Result<void, RecordError> applyRecord(AcceptedRecord& record);
  Result<void, RecordError> applyRecord(AttemptRecord& record);
  Result<void, RecordError> applyRecord(NeverExecutedRecord& record);
  Result<void, RecordError> applyRecord(NoticePendingRecord& record);
  Result<void, RecordError> applyRecord(DiscardedRecord& record);
  Result<void, RecordError> applyRecord(FinishedRecord& record);
  Result<void, RecordError> applyRecord(FinishedBatchRecord& record);
  Result<void, RecordError> applyRecord(EndpointChangesRecord& record);
  Result<void, RecordError> applyRecord(LegacyEndpointListRecord& record);
  Result<void, RecordError> applyRecord(HealthRecord& record);
  Result<void, RecordError> applyRecord(OrderingBlockRecord& record);
  Result<void, RecordError> applyRecord(EpochRecord& record);
  Result<void, RecordError> applyRecord(DecisionVersionRecord& record);
  Result<void, RecordError> applyRecord(ClassVersionRecord& record);
  void eraseOrderingBlock(const std::string& ordering_key);
  JournalEntry* findEntry(const std::string& message_id);
  void eraseEntry(const std::string& message_id);

  std::int64_t epoch_ = 0;
  std::unordered_map<std::string, JournalEntry> entries_;
  std::uint64_t entry_bytes_ = 0;  // sum of reservedBytes() of the entries
  std::uint64_t last_order_ = 0;
  FinishedMessages finished_;
  JournaledEndpointList endpoint_list_;
  std::map<HealthKey, DestinationHealth> health_;              // the latest record of each key
  std::map<std::string, OrderingKeyBlocked> ordering_blocks_;  // by ordering key
  std::uint64_t ordering_block_bytes_ = 0;                     // sum of orderingBlockBytes()
  ClassVersionTable class_versions_;
  DecisionVersions decision_versions_;  // the last version, and the versions to which messages refer
  std::uint64_t decision_version_bytes_ = 0;
};

// The bytes that an accepted message may take until it is finished: for the message, its attempts, its final
// outcome and its notice.
std::uint64_t reservedBytes(const AcceptedMessage& message);

}  // namespace grademux
