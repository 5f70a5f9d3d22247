// Decoding of journal records; see journal_record.h.
#include <utility>

#include "journal_record.h"
#include "journal_record_format.h"

namespace grademux {

using namespace journal_format;

namespace {

FinishedRecord readFinished(RecordReader& reader) {
  FinishedRecord record;
  record.message_id = reader.text();
  FinishedMessage& finished = record.finished;
  std::int64_t status = reader.number();
  const bool has_version = status >= kVersionFlag;
  if (has_version)
    status -= kVersionFlag;
  finished.legacy_digest = status < kXxh3DigestFlag;
  if (!finished.legacy_digest)
    status -= kXxh3DigestFlag;
  if (status < 0 || status > static_cast<std::int64_t>(FinalStatus::withdrawn)) {
    reader.fail(RecordError::Reason::invalid_value);
    return record;
  }
  finished.outcome.status = static_cast<FinalStatus>(status);
  finished.outcome.at = reader.number();
  finished.outcome.retry_after = reader.number();
  finished.digest = static_cast<std::uint64_t>(reader.number());
  finished.remember_until = reader.number();
  if (has_version)
    finished.version = static_cast<std::uint32_t>(reader.number());
  return record;
}

FinishedBatchRecord readFinishedBatch(RecordReader& reader) {
  FinishedBatchRecord record;
  while (reader.hasMore()) {
    FinishedRecord finished = readFinished(reader);
    if (!reader.failed())
      record.messages.push_back(std::move(finished));
  }
  record.complete = !reader.takeFailure();
  return record;
}

EndpointChangesRecord readEndpointChanges(RecordReader& reader) {
  EndpointChangesRecord record;
  record.index = reader.number();
  record.replaces_list = reader.flag();
  if (reader.failed())
    return record;
  while (reader.hasMore()) {
    std::string name = reader.text();
    std::string entry = reader.text();
    if (!reader.failed())
      record.changes.emplace_back(std::move(name), std::move(entry));
  }
  record.complete = !reader.takeFailure();
  return record;
}

AcceptedRecord readAccepted(RecordReader& reader) {
  AcceptedRecord record;
  AcceptedMessage& message = record.message;
  message.id = reader.text();
  message.message_class = reader.text();
  message.ordering_key = reader.text();
  message.idempotency_key = reader.text();
  message.body = reader.text();
  message.destination = reader.number();
  message.deadline = reader.number();
  message.resubmitted = reader.flag();
  if (reader.hasMore())  // absent before version 0.5
    record.class_version_number = reader.number();
  return record;
}

AttemptRecord readAttempt(RecordReader& reader) {
  AttemptRecord record;
  record.message_id = reader.text();
  record.attempt.endpoint = reader.text();
  record.attempt.sent_at = reader.number();
  if (reader.hasMore())  // absent where no decision version was recorded
    record.attempt.version = static_cast<std::uint32_t>(reader.number());
  return record;
}

NeverExecutedRecord readNeverExecuted(RecordReader& reader) {
  NeverExecutedRecord record;
  record.message_id = reader.text();
  record.attempt = static_cast<std::size_t>(reader.number());
  return record;
}

NoticePendingRecord readNoticePending(RecordReader& reader) {
  NoticePendingRecord record;
  record.message_id = reader.text();
  record.notice.returned = reader.flag();
  record.notice.retry_after_ms = reader.number();
  if (reader.hasMore())  // absent in earlier versions
    record.notice.at = reader.number();
  return record;
}

HealthRecord readHealth(RecordReader& reader) {
  HealthRecord record;
  DestinationHealth& health = record.health;
  health.endpoint = reader.text();
  health.destination = reader.number();
  health.down = reader.flag();
  health.warming_since = reader.number();
  health.observed_at = health.warming_since;
  if (reader.hasMore()) {  // absent before version 0.5
    health.retry_after_until = reader.number();
    health.observed_at = reader.number();
  }
  return record;
}

OrderingBlockRecord readOrderingBlock(RecordReader& reader) {
  OrderingBlockRecord record;
  record.block.ordering_key = reader.text();
  record.block.until = reader.number();
  record.block.finished_message = reader.text();
  return record;
}

DecisionVersionRecord readDecisionVersion(RecordReader& reader) {
  DecisionVersionRecord record;
  record.number = static_cast<std::uint32_t>(reader.number());
  record.text = reader.text();
  return record;
}

ClassVersionRecord readClassVersion(RecordReader& reader) {
  ClassVersionRecord record;
  record.number = reader.number();
  MessageClass& message_class = record.message_class;
  message_class.name = reader.text();
  message_class.latency_objective = reader.number();
  message_class.deadline = reader.number();
  message_class.latency_objective_stretch = reader.real();
  message_class.priority_weight = reader.real();
  message_class.late_weight_fraction = reader.real();
  message_class.idempotency = reader.enumeration(Idempotency::non_idempotent);
  message_class.idempotency_scope = reader.enumeration(IdempotencyScope::cell);
  message_class.idempotency_window = reader.number();
  message_class.ordered = reader.flag();
  message_class.max_attempts = static_cast<int>(reader.number());
  if (message_class.latency_objective <= 0 || message_class.deadline < message_class.latency_objective ||
      message_class.max_attempts < 1)
    reader.fail(RecordError::Reason::invalid_value);
  return record;
}

JournalRecord readRecord(char kind, RecordReader& reader) {
  switch (kind) {
    case kind_accepted:
      return readAccepted(reader);
    case kind_attempt:
      return readAttempt(reader);
    case kind_never_executed:
      return readNeverExecuted(reader);
    case kind_notice_pending:
      return readNoticePending(reader);
    case kind_discarded:
      return DiscardedRecord{reader.text()};
    case kind_finished:
      return readFinished(reader);
    case kind_finished_batch:
      return readFinishedBatch(reader);
    case kind_legacy_endpoint_list:
      return LegacyEndpointListRecord{reader.text()};
    case kind_endpoint_changes:
      return readEndpointChanges(reader);
    case kind_health:
      return readHealth(reader);
    case kind_epoch:
      return EpochRecord{reader.number()};
    case kind_decision_version:
      return readDecisionVersion(reader);
    case kind_class_version:
      return readClassVersion(reader);
    case kind_ordering_block:
      return readOrderingBlock(reader);
    default:
      reader.fail(RecordError::Reason::unknown_kind);
      return DiscardedRecord{};
  }
}

// The message id of records that are relevant only while the message is open; empty for other kinds. Records
// of unknown kinds, which a later version may have written, count as records of open messages: the id is
// their first field.
std::string openMessageId(std::string_view payload) {
  switch (payload[0]) {
    case kind_accepted:
    case kind_finished:
    case kind_finished_batch:
    case kind_legacy_endpoint_list:
    case kind_endpoint_changes:
    case kind_health:
    case kind_epoch:
    case kind_decision_version:
    case kind_class_version:
    case kind_ordering_block:
      return {};
    default:
      return RecordReader(payload).text();
  }
}

}  // namespace

Result<JournalRecord, RecordError> decodeRecord(std::string_view payload) {
  RecordReader reader(payload);
  JournalRecord record = readRecord(payload[0], reader);
  if (reader.failed())
    return RecordError{reader.reason(), openMessageId(payload)};
  return record;
}

}  // namespace grademux
