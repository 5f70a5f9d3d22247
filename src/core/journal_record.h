// The record format of the journal: the only module that defines the stored kinds, numbers and field order.
// Encodes each kind of record into a payload and decodes payloads, those of earlier versions included. No
// state, no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "journal_frame.h"
#include "journal_types.h"
#include "result.h"

namespace grademux {

// A message was accepted.
struct AcceptedRecord {
  AcceptedMessage message;                // without its class version
  std::int64_t class_version_number = 0;  // 0: none recorded
};

// An attempt of an open message was started.
struct AttemptRecord {
  std::string message_id;
  JournaledAttempt attempt;
};

// An attempt of an open message did not execute at the endpoint.
struct NeverExecutedRecord {
  std::string message_id;
  std::size_t attempt = 0;  // its place among the attempts of the message
};

// An open message has its final outcome, and its notice has not been delivered yet.
struct NoticePendingRecord {
  std::string message_id;
  Notice notice;
};

// A message is removed and its id is not remembered. Program versions that did not remember final outcomes
// wrote this record for each finished message.
struct DiscardedRecord {
  std::string message_id;
};

// A message has its final outcome, and no notice is pending.
struct FinishedRecord {
  std::string message_id;
  FinishedMessage finished;
};

// Several finished messages in one record, as written by a compaction.
struct FinishedBatchRecord {
  std::vector<FinishedRecord> messages;
  bool complete = true;  // false: the rest of the record could not be read
};

// Changes of the endpoint list.
struct EndpointChangesRecord {
  std::int64_t index = -1;     // version of the list once the changes are applied
  bool replaces_list = false;  // the changes apply to an empty list
  EndpointChanges changes;
  bool complete = true;  // false: the rest of the record could not be read
};

// The complete endpoint list as one JSON text, as earlier program versions wrote it at each change.
struct LegacyEndpointListRecord {
  std::string json;
};

// The health of a destination or endpoint; times are Unix time.
struct HealthRecord {
  DestinationHealth health;
};

// The latest block of an ordering key; the time is Unix time. Neither a time nor a message: the key is not
// blocked.
struct OrderingBlockRecord {
  OrderingKeyBlocked block;
};

// Another process owns the journal from this record on.
struct EpochRecord {
  std::int64_t epoch = 0;
};

// A decision version, to which attempts refer by number.
struct DecisionVersionRecord {
  std::uint32_t number = 0;
  std::string text;
};

// A version of a message class.
struct ClassVersionRecord {
  std::int64_t number = 0;
  MessageClass message_class;
};

using JournalRecord =
    std::variant<AcceptedRecord, AttemptRecord, NeverExecutedRecord, NoticePendingRecord, DiscardedRecord,
                 FinishedRecord, FinishedBatchRecord, EndpointChangesRecord, LegacyEndpointListRecord,
                 HealthRecord, EpochRecord, DecisionVersionRecord, ClassVersionRecord, OrderingBlockRecord>;

// Why a payload is not a record.
struct RecordError {
  enum class Reason : std::uint8_t {
    truncated,
    unknown_kind,
    invalid_value,
  };
  Reason reason = Reason::truncated;
  // The message of a record that is relevant only while that message is open; empty: the record is relevant
  // in any case.
  std::string open_message_id;
};

// `payload` must not be empty.
Result<JournalRecord, RecordError> decodeRecord(std::string_view payload);

std::string encodeAccepted(const AcceptedMessage& message, std::int64_t class_version_number);
std::string encodeAttempt(const std::string& message_id, const JournaledAttempt& attempt);
std::string encodeNeverExecuted(const std::string& message_id, std::size_t attempt);
std::string encodeNoticePending(const std::string& message_id, const Notice& notice);
std::string encodeDiscarded(const std::string& message_id);
std::string encodeFinished(const std::string& message_id, const FinishedMessage& finished);
std::string encodeHealth(const DestinationHealth& health);
std::string encodeOrderingBlock(const OrderingKeyBlocked& block);
std::string encodeEpoch(std::int64_t epoch);
std::string encodeDecisionVersion(std::uint32_t number, const std::string& text);
std::string encodeClassVersion(std::int64_t number, const MessageClass& message_class);
// A record by which the endpoint list is no longer stored.
std::string encodeEndpointListRemoved();

using PayloadSink = std::function<void(const std::string& payload)>;

// Encodes changes of the endpoint list as records of bounded size. Only the last record contains the new list
// version, the others contain the previous version, so that an incomplete write never claims changes that it
// lacks.
class EndpointChangesEncoder {
 public:
  EndpointChangesEncoder(std::int64_t index_before, std::int64_t index, bool replaces_list, PayloadSink sink);
  void add(const std::string& name, const std::string& entry);
  void finish();

 private:
  void emit(std::int64_t index);

  std::int64_t index_before_;
  std::int64_t index_;
  bool replaces_list_;
  PayloadSink sink_;
  std::string changes_;
};

// Encodes finished messages as batch records of bounded size.
class FinishedBatchEncoder {
 public:
  explicit FinishedBatchEncoder(PayloadSink sink);
  void add(const std::string& message_id, const FinishedMessage& finished);
  void finish();

 private:
  void emit();

  PayloadSink sink_;
  std::string payload_;
};

// Sizes of the framed records in bytes, for the disk budget. `endpoint_bytes` is the sum of endpointBytes()
// of all entries.
std::uint64_t acceptedBytes(const AcceptedMessage& message);
std::uint64_t finishedBytes(const std::string& message_id, const FinishedMessage& finished);
std::uint64_t endpointBytes(const std::string& name, const std::string& entry);
std::uint64_t endpointListBytes(std::uint64_t endpoint_bytes);
std::uint64_t classVersionBytes(const MessageClass& message_class);
std::uint64_t orderingBlockBytes(const OrderingKeyBlocked& block);
std::uint64_t decisionVersionBytes(const std::string& text);
constexpr std::uint64_t kHealthRecordBytes = 144;  // at most, except for long endpoint names
constexpr std::uint64_t kFixedRecordsBytes =
    3 * (kFrameHeaderBytes + 16);  // the epoch, and the last record of the endpoint list and of the batches

}  // namespace grademux
