// Encoding of journal records and their sizes; see journal_record.h.
#include <utility>

#include "journal_record.h"
#include "journal_record_format.h"

namespace grademux {

using namespace journal_format;

namespace {

constexpr std::size_t kBatchBytes = 32768;  // a batch record is emitted once it has this size

void appendFinished(std::string& out, const std::string& message_id, const FinishedMessage& finished) {
  const std::int64_t flags =
      (finished.legacy_digest ? 0 : kXxh3DigestFlag) + (finished.version ? kVersionFlag : 0);
  RecordWriter::appendText(out, message_id);
  RecordWriter::appendNumber(out, static_cast<std::int64_t>(finished.outcome.status) + flags);
  RecordWriter::appendNumber(out, finished.outcome.at);
  RecordWriter::appendNumber(out, finished.outcome.retry_after);
  RecordWriter::appendNumber(out, static_cast<std::int64_t>(finished.digest));
  RecordWriter::appendNumber(out, finished.remember_until);
  if (finished.version)
    RecordWriter::appendNumber(out, finished.version);
}

}  // namespace

std::string encodeAccepted(const AcceptedMessage& message, std::int64_t class_version_number) {
  return RecordWriter(kind_accepted)
      .text(message.id)
      .text(message.message_class)
      .text(message.ordering_key)
      .text(message.idempotency_key)
      .text(message.body)
      .number(message.destination)
      .number(message.deadline)
      .number(message.resubmitted)
      .number(class_version_number)
      .take();
}

std::string encodeAttempt(const std::string& message_id, const JournaledAttempt& attempt) {
  RecordWriter writer(kind_attempt);
  writer.text(message_id).text(attempt.endpoint).number(attempt.sent_at);
  if (attempt.version)
    writer.number(attempt.version);
  return writer.take();
}

std::string encodeNeverExecuted(const std::string& message_id, std::size_t attempt) {
  return RecordWriter(kind_never_executed).text(message_id).number(static_cast<std::int64_t>(attempt)).take();
}

std::string encodeNoticePending(const std::string& message_id, const Notice& notice) {
  return RecordWriter(kind_notice_pending)
      .text(message_id)
      .number(notice.returned)
      .number(notice.retry_after_ms)
      .number(notice.at)
      .take();
}

std::string encodeDiscarded(const std::string& message_id) {
  return RecordWriter(kind_discarded).text(message_id).take();
}

std::string encodeFinished(const std::string& message_id, const FinishedMessage& finished) {
  std::string payload(1, kind_finished);
  appendFinished(payload, message_id, finished);
  return payload;
}

std::string encodeHealth(const DestinationHealth& health) {
  return RecordWriter(kind_health)
      .text(health.endpoint)
      .number(health.destination)
      .number(health.down)
      .number(health.warming_since)
      .number(health.retry_after_until)
      .number(health.observed_at)
      .take();
}

// The key comes first: earlier program versions, which do not know this kind, take the first field for the id
// of a message, and skip the record unless such a message is open.
std::string encodeOrderingBlock(const OrderingKeyBlocked& block) {
  return RecordWriter(kind_ordering_block)
      .text(block.ordering_key)
      .number(block.until)
      .text(block.finished_message)
      .take();
}

std::string encodeEpoch(std::int64_t epoch) {
  return RecordWriter(kind_epoch).number(epoch).take();
}

std::string encodeDecisionVersion(std::uint32_t number, const std::string& text) {
  return RecordWriter(kind_decision_version).number(number).text(text).take();
}

std::string encodeClassVersion(std::int64_t number, const MessageClass& message_class) {
  return RecordWriter(kind_class_version)
      .number(number)
      .text(message_class.name)
      .number(message_class.latency_objective)
      .number(message_class.deadline)
      .real(message_class.latency_objective_stretch)
      .real(message_class.priority_weight)
      .real(message_class.late_weight_fraction)
      .number(static_cast<std::int64_t>(message_class.idempotency))
      .number(static_cast<std::int64_t>(message_class.idempotency_scope))
      .number(message_class.idempotency_window)
      .number(message_class.ordered)
      .number(message_class.max_attempts)
      .take();
}

std::string encodeEndpointListRemoved() {
  return RecordWriter(kind_endpoint_changes).number(-1).number(true).take();
}

EndpointChangesEncoder::EndpointChangesEncoder(std::int64_t index_before, std::int64_t index,
                                               bool replaces_list, PayloadSink sink)
    : index_before_(index_before), index_(index), replaces_list_(replaces_list), sink_(std::move(sink)) {}

void EndpointChangesEncoder::add(const std::string& name, const std::string& entry) {
  RecordWriter::appendText(changes_, name);
  RecordWriter::appendText(changes_, entry);
  if (changes_.size() >= kBatchBytes)
    emit(index_before_);
}

void EndpointChangesEncoder::finish() {
  emit(index_);
}

void EndpointChangesEncoder::emit(std::int64_t index) {
  sink_(RecordWriter(kind_endpoint_changes).number(index).number(replaces_list_).take() + changes_);
  changes_.clear();
  replaces_list_ = false;
}

FinishedBatchEncoder::FinishedBatchEncoder(PayloadSink sink)
    : sink_(std::move(sink)), payload_(1, kind_finished_batch) {}

void FinishedBatchEncoder::add(const std::string& message_id, const FinishedMessage& finished) {
  appendFinished(payload_, message_id, finished);
  if (payload_.size() >= kBatchBytes)
    emit();
}

void FinishedBatchEncoder::finish() {
  if (payload_.size() > kKindBytes)
    emit();
}

void FinishedBatchEncoder::emit() {
  sink_(payload_);
  payload_.assign(1, kind_finished_batch);
}

std::uint64_t acceptedBytes(const AcceptedMessage& message) {
  return kFrameHeaderBytes + kKindBytes + 9 * kNumberBytes + message.id.size() +
         message.message_class.size() + message.ordering_key.size() + message.idempotency_key.size() +
         message.body.size();
}

std::uint64_t finishedBytes(const std::string& message_id, const FinishedMessage& finished) {
  return kFrameHeaderBytes + kKindBytes + (finished.version ? 7 : 6) * kNumberBytes + message_id.size();
}

std::uint64_t endpointBytes(const std::string& name, const std::string& entry) {
  return 2 * kNumberBytes + name.size() + entry.size();
}

std::uint64_t endpointListBytes(std::uint64_t endpoint_bytes) {
  constexpr std::uint64_t kBatchOverhead = kFrameHeaderBytes + kKindBytes + 2 * kNumberBytes;
  return endpoint_bytes + endpoint_bytes / kBatchBytes * kBatchOverhead;
}

std::uint64_t classVersionBytes(const MessageClass& message_class) {
  return kFrameHeaderBytes + kKindBytes + 12 * kNumberBytes + message_class.name.size();
}

std::uint64_t orderingBlockBytes(const OrderingKeyBlocked& block) {
  return kFrameHeaderBytes + kKindBytes + 3 * kNumberBytes + block.ordering_key.size() +
         block.finished_message.size();
}

std::uint64_t decisionVersionBytes(const std::string& text) {
  return kFrameHeaderBytes + kKindBytes + 2 * kNumberBytes + text.size();
}

}  // namespace grademux
