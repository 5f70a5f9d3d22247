// Codec of the handover messages; see messages.h.
#include "messages.h"

#include "../core/json_fields.h"

namespace grademux::handover {

namespace {

// Names on the wire, which processes of other versions also use.
namespace wire {
constexpr const char* kHandoverRequest = "take";
constexpr const char* kOwnershipAcquired = "taken";
constexpr const char* kCancelInherited = "cancel";
constexpr const char* kHandoverRejected = "refused";
constexpr const char* kOwnershipReleased = "given";
constexpr const char* kAttemptFinished = "ended";

constexpr const char* kVersion = "version";
constexpr const char* kAttempt = "call";
constexpr const char* kReason = "why";
constexpr const char* kStandby = "standby";
constexpr const char* kInFlight = "out";
constexpr const char* kJournalEpoch = "epoch";
constexpr const char* kResult = "result";
constexpr const char* kAlreadyFinished = "finished";
constexpr const char* kRetryAfter = "wait";
constexpr const char* kRoundTrip = "rtt";
constexpr const char* kStaleConnection = "stale";
constexpr const char* kUnverified = "unverified";  // absent: false, as in messages of earlier versions
constexpr const char* kLimitReport = "report";
constexpr const char* kRemainingFraction = "left";
constexpr const char* kRateLimit = "limit";
}  // namespace wire

json toJson(const AttemptId& id) {
  return json::array({id.message_id, id.attempt});
}

AttemptId parseAttemptId(const json& value) {
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() || !value[1].is_number_integer())
    bad("call: [message id, attempt number] is expected");
  return {value[0].get<std::string>(), value[1].get<int>()};
}

json toJson(const AttemptOutcome& outcome) {
  json object{{wire::kAttempt, toJson(AttemptId{outcome.id, outcome.attempt})},
              {wire::kResult, static_cast<int>(outcome.result)},
              {wire::kAlreadyFinished, outcome.already_finished},
              {wire::kRetryAfter, outcome.retry_after},
              {wire::kRoundTrip, outcome.round_trip},
              {wire::kStaleConnection, outcome.stale_connection}};
  if (outcome.is_unverified)
    object[wire::kUnverified] = true;
  if (outcome.limit_report)
    object[wire::kLimitReport] = {{wire::kRemainingFraction, outcome.limit_report->remaining_fraction},
                                  {wire::kRateLimit, outcome.limit_report->rate_limit}};
  return object;
}

AttemptResult parseResult(const json& value) {
  const std::int64_t result = integer(value, wire::kResult);
  if (result < 0 || result > static_cast<std::int64_t>(AttemptResult::not_sent))
    bad("result: unknown value");
  return static_cast<AttemptResult>(result);
}

AttemptOutcome parseOutcome(const json& value) {
  AttemptOutcome outcome;
  AttemptId id = parseAttemptId(field(value, wire::kAttempt));
  outcome.id = std::move(id.message_id);
  outcome.attempt = id.attempt;
  outcome.result = parseResult(value);
  outcome.already_finished = truth(value, wire::kAlreadyFinished);
  outcome.retry_after = integer(value, wire::kRetryAfter);
  outcome.round_trip = integer(value, wire::kRoundTrip);
  outcome.stale_connection = truth(value, wire::kStaleConnection);
  outcome.is_unverified = !absent(value, wire::kUnverified) && truth(value, wire::kUnverified);
  if (!absent(value, wire::kLimitReport)) {
    const json& report = object(value, wire::kLimitReport);
    outcome.limit_report =
        LimitReport{number(report, wire::kRemainingFraction), number(report, wire::kRateLimit)};
  }
  return outcome;
}

OwnershipReleased parseReleased(const json& value) {
  OwnershipReleased released;
  released.standby = truth(value, wire::kStandby);
  for (const json& attempt : array(value, wire::kInFlight))
    released.in_flight.push_back(parseAttemptId(attempt));
  if (!absent(value, wire::kJournalEpoch))
    released.journal_epoch = integer(value, wire::kJournalEpoch);
  return released;
}

// Each overload returns an object with the message's name as its only key.
struct Serializer {
  json operator()(const HandoverRequest& request) const {
    return {{wire::kHandoverRequest, {{wire::kVersion, request.version}}}};
  }
  json operator()(const OwnershipAcquired&) const { return {{wire::kOwnershipAcquired, json::object()}}; }
  json operator()(const CancelInherited& cancel) const {
    return {{wire::kCancelInherited, {{wire::kAttempt, toJson(cancel.attempt)}}}};
  }
  json operator()(const HandoverRejected& rejected) const {
    return {{wire::kHandoverRejected, {{wire::kReason, rejected.reason}}}};
  }
  json operator()(const OwnershipReleased& released) const {
    json in_flight = json::array();
    for (const AttemptId& id : released.in_flight)
      in_flight.push_back(toJson(id));
    json body{{wire::kStandby, released.standby}, {wire::kInFlight, std::move(in_flight)}};
    if (released.journal_epoch != 0)
      body[wire::kJournalEpoch] = released.journal_epoch;
    return {{wire::kOwnershipReleased, std::move(body)}};
  }
  json operator()(const AttemptFinished& finished) const {
    return {{wire::kAttemptFinished, toJson(finished.outcome)}};
  }
};

}  // namespace

std::string serialize(const Message& message) {
  return std::visit(Serializer{}, message).dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

Message parseMessage(const std::string& line) {
  const json parsed = json::parse(line, nullptr, false);
  if (!parsed.is_object() || parsed.size() != 1)
    bad("an object with one message is expected");
  const std::string kind = parsed.begin().key();
  const json& body = object(parsed, kind.c_str());
  if (kind == wire::kHandoverRequest)
    return HandoverRequest{integer(body, wire::kVersion)};
  if (kind == wire::kOwnershipAcquired)
    return OwnershipAcquired{};
  if (kind == wire::kCancelInherited)
    return CancelInherited{parseAttemptId(field(body, wire::kAttempt))};
  if (kind == wire::kHandoverRejected)
    return HandoverRejected{text(body, wire::kReason)};
  if (kind == wire::kAttemptFinished)
    return AttemptFinished{parseOutcome(body)};
  if (kind == wire::kOwnershipReleased)
    return parseReleased(body);
  bad("unknown message: " + kind);
}

}  // namespace grademux::handover
