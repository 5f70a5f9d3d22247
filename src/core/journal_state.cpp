#include "journal_state.h"

#include <algorithm>
#include <memory>

namespace grademux {

namespace {

constexpr std::uint64_t kFollowUpBytes = 1536;  // attempts, final outcome and notice of one message
constexpr Micros kFallbackDeadline = 60'000'000;

// The fallback for messages whose class version record is damaged: non-idempotent, with a single attempt.
ClassVersion strictestClass(const std::string& name) {
  MessageClass fallback;
  fallback.name = name;
  fallback.latency_objective = kFallbackDeadline;
  fallback.deadline = kFallbackDeadline;
  fallback.idempotency = Idempotency::non_idempotent;
  fallback.max_attempts = 1;
  return std::make_shared<const MessageClass>(std::move(fallback));
}

// Whether the health equals that of a destination without a record: up, its slow start in the past (a time
// before 1970), and no Retry-After pending.
bool isDefault(const DestinationHealth& health) {
  return !health.down && health.warming_since < 0 && health.retry_after_until == 0;
}

}  // namespace

std::uint64_t reservedBytes(const AcceptedMessage& message) {
  return acceptedBytes(message) + kFollowUpBytes + message.ordering_key.size();
}

Result<void, RecordError> JournalState::apply(std::string_view payload) {
  Result<JournalRecord, RecordError> record = decodeRecord(payload);
  if (record.has_value())
    return std::visit([this](auto& decoded) { return applyRecord(decoded); }, record.value());
  const RecordError& error = record.error();
  if (!error.open_message_id.empty() && !findOpen(error.open_message_id))
    return ok();
  return error;
}

void JournalState::onRecordsLost() {
  endpoint_list_.invalidate();  // a lost record may have changed an endpoint to draining
  for (auto& [id, entry] : entries_) {
    if (entry.notice_pending)
      continue;
    const Micros last_sent_at = entry.attempts.empty() ? 0 : entry.attempts.back().sent_at;
    entry.attempts.push_back({"", last_sent_at, false});
  }
}

Result<void, RecordError> JournalState::applyRecord(AcceptedRecord& record) {
  JournalEntry entry;
  entry.message = std::move(record.message);
  const std::int64_t number = record.class_version_number;
  if (number != 0) {
    if (!class_versions_.find(number))
      class_versions_.add(number, strictestClass(entry.message.message_class));
    entry.message.class_version = class_versions_.find(number);
  }
  entry.order = ++last_order_;
  eraseEntry(entry.message.id);
  entry_bytes_ += reservedBytes(entry.message);
  std::string id = entry.message.id;
  entries_[std::move(id)] = std::move(entry);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(AttemptRecord& record) {
  if (JournalEntry* entry = findEntry(record.message_id))
    entry->attempts.push_back(std::move(record.attempt));
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(NeverExecutedRecord& record) {
  JournalEntry* entry = findEntry(record.message_id);
  if (entry && record.attempt < entry->attempts.size())
    entry->attempts[record.attempt].never_executed = true;
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(NoticePendingRecord& record) {
  if (JournalEntry* entry = findEntry(record.message_id)) {
    entry->notice_pending = true;
    entry->notice = record.notice;
  }
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(DiscardedRecord& record) {
  eraseEntry(record.message_id);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(FinishedRecord& record) {
  eraseEntry(record.message_id);
  finished_.remember(record.message_id, record.finished);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(FinishedBatchRecord& record) {
  for (const FinishedRecord& message : record.messages)
    finished_.remember(message.message_id, message.finished);
  if (!record.complete)
    return RecordError{RecordError::Reason::truncated, {}};
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(EndpointChangesRecord& record) {
  return endpoint_list_.apply(record);
}

Result<void, RecordError> JournalState::applyRecord(LegacyEndpointListRecord& record) {
  return endpoint_list_.apply(record);
}

Result<void, RecordError> JournalState::applyRecord(HealthRecord& record) {
  HealthKey key{record.health.destination, record.health.endpoint};
  if (isDefault(record.health))
    health_.erase(key);
  else
    health_[std::move(key)] = std::move(record.health);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(OrderingBlockRecord& record) {
  OrderingKeyBlocked& block = record.block;
  eraseOrderingBlock(block.ordering_key);
  if (block.until == 0 && block.finished_message.empty())
    return ok();
  ordering_block_bytes_ += orderingBlockBytes(block);
  std::string key = block.ordering_key;
  ordering_blocks_[std::move(key)] = std::move(block);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(EpochRecord& record) {
  epoch_ = std::max(epoch_, record.epoch);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(DecisionVersionRecord& record) {
  decision_version_bytes_ += decisionVersionBytes(record.text);
  decision_versions_[record.number] = std::move(record.text);
  return ok();
}

Result<void, RecordError> JournalState::applyRecord(ClassVersionRecord& record) {
  class_versions_.add(record.number, std::make_shared<const MessageClass>(std::move(record.message_class)));
  return ok();
}

const JournalEntry* JournalState::findOpen(const std::string& message_id) const {
  const auto found = entries_.find(message_id);
  return found == entries_.end() ? nullptr : &found->second;
}

JournalEntry* JournalState::findEntry(const std::string& message_id) {
  const auto found = entries_.find(message_id);
  return found == entries_.end() ? nullptr : &found->second;
}

void JournalState::eraseEntry(const std::string& message_id) {
  const auto found = entries_.find(message_id);
  if (found == entries_.end())
    return;
  entry_bytes_ -= reservedBytes(found->second.message);
  entries_.erase(found);
}

void JournalState::eraseOrderingBlock(const std::string& ordering_key) {
  const auto found = ordering_blocks_.find(ordering_key);
  if (found == ordering_blocks_.end())
    return;
  ordering_block_bytes_ -= orderingBlockBytes(found->second);
  ordering_blocks_.erase(found);
}

void JournalState::expireOrderingBlocks(Micros now) {
  for (auto it = ordering_blocks_.begin(); it != ordering_blocks_.end();) {
    const auto block = it++;
    if (block->second.finished_message.empty() && block->second.until <= now)
      eraseOrderingBlock(std::string(block->first));
  }
}

std::vector<const JournalEntry*> JournalState::entriesInOrder() const {
  std::vector<const JournalEntry*> ordered;
  ordered.reserve(entries_.size());
  for (const auto& [id, entry] : entries_)
    ordered.push_back(&entry);
  std::sort(ordered.begin(), ordered.end(),
            [](const JournalEntry* left, const JournalEntry* right) { return left->order < right->order; });
  return ordered;
}

RecoveredJournal JournalState::contents() const {
  RecoveredJournal contents;
  for (const JournalEntry* entry : entriesInOrder())
    contents.entries.push_back(*entry);
  for (const auto& [name, entry] : endpoint_list_.entries())
    contents.endpoint_list.push_back(entry);
  contents.list_index = endpoint_list_.index();
  for (const auto& [key, health] : health_)
    contents.health.push_back(health);
  for (const auto& [key, block] : ordering_blocks_)
    contents.ordering_blocks.push_back(block);
  return contents;
}

ReferencedVersions JournalState::referencedVersions() const {
  ReferencedVersions referenced;
  if (!decision_versions_.empty())  // the last version is kept, so that no number is assigned twice
    referenced.decision_versions.insert(decision_versions_.rbegin()->first);
  for (const FinishedMessages::Item& item : finished_.items())
    referenced.decision_versions.insert(item.message.version);
  for (const auto& [id, entry] : entries_) {
    for (const JournaledAttempt& attempt : entry.attempts)
      referenced.decision_versions.insert(attempt.version);
    if (entry.message.class_version)
      referenced.class_versions.insert(class_versions_.numberOf(entry.message.class_version));
  }
  return referenced;
}

void JournalState::retainVersions(const ReferencedVersions& referenced) {
  decision_version_bytes_ = 0;
  for (auto it = decision_versions_.begin(); it != decision_versions_.end();) {
    if (!referenced.decision_versions.count(it->first)) {
      it = decision_versions_.erase(it);
      continue;
    }
    decision_version_bytes_ += decisionVersionBytes(it->second);
    ++it;
  }
  class_versions_.retain(referenced.class_versions);
}

void JournalState::expireHealth(Micros before) {
  for (auto it = health_.begin(); it != health_.end();) {
    const DestinationHealth& health = it->second;
    const Micros last = std::max({health.warming_since, health.retry_after_until, health.observed_at});
    it = last < before ? health_.erase(it) : std::next(it);
  }
}

std::uint64_t JournalState::liveBytes() const {
  return kFixedRecordsBytes + endpointListBytes(endpoint_list_.bytes()) +
         health_.size() * kHealthRecordBytes + finished_.bytes() + entry_bytes_ + class_versions_.bytes() +
         decision_version_bytes_ + ordering_block_bytes_;
}

}  // namespace grademux
