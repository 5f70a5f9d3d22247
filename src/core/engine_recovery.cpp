#include "engine_recovery.h"

#include <utility>

#include "clock_offset.h"
#include "engine_log.h"
#include "record_time.h"

namespace grademux {

namespace {

// Whether the record's destination is still listed and its endpoint, if any, is listed at the same address
// and has not started there since: the learned state of an endpoint is valid for one process only.
bool isListed(const LearnedRecord& record, const EndpointList& endpoints) {
  const LearnedEndpoint& learned = record.learned;
  if (!learned.endpoint.empty()) {
    const ListedEndpoint* listed = endpoints.find(learned.endpoint);
    if (!listed || listed->address != record.address || listed->started_at > learned.last_outcome_at)
      return false;
  }
  return endpoints.containsDestination(learned.destination);
}

bool hasContent(const LearnedEndpoint& learned) {
  return learned.rate_limit > 0 || learned.samples != 0 || learned.unknown_outcome_fraction > 0 ||
         learned.message_rate > 0;
}

}  // namespace

json newestEndpointList(const json& configured, const RecoveredJournal& journal) {
  const bool journal_is_newer =
      journal.list_index >= 0 &&
      (!configured.is_object() || static_cast<double>(journal.list_index) >= number(configured, "index", -1));
  if (!journal_is_newer)
    return configured;
  json entries = json::array();
  for (const std::string& entry : journal.endpoint_list)
    entries.push_back(json::parse(entry, nullptr, false));
  return {{"index", journal.list_index}, {"snapshot", true}, {"endpoints", std::move(entries)}};
}

RecoveredMessage toRecoveredMessage(const JournalEntry& entry, Micros to_monotonic,
                                    const EarlierProcess& earlier) {
  RecoveredMessage recovered;
  MessageArrival& message = recovered.message;
  message.id = entry.message.id;
  message.message_class = entry.message.message_class;
  message.ordering_key = entry.message.ordering_key;
  message.destination = entry.message.destination;
  message.deadline = entry.message.deadline + to_monotonic;
  message.resubmitted = true;
  recovered.class_version = entry.message.class_version;
  for (const JournaledAttempt& attempt : entry.attempts) {
    const AttemptId id{entry.message.id, static_cast<int>(recovered.attempts.size())};
    const bool in_flight = earlier.in_flight.count(id) > 0;
    const bool may_have_run = !attempt.never_executed;
    const bool outcome_lost = may_have_run && !earlier.has_released;
    recovered.attempts.push_back(
        {attempt.endpoint, attempt.sent_at + to_monotonic, may_have_run, in_flight, outcome_lost});
  }
  return recovered;
}

OrderingKeyBlocked toRecoveredBlock(OrderingKeyBlocked block, Micros to_monotonic,
                                    const EarlierProcess& earlier) {
  shiftMoments(block, to_monotonic);
  for (const AttemptId& id : earlier.in_flight)
    block.attempts_in_flight += !block.finished_message.empty() && id.message_id == block.finished_message;
  return block;
}

FinishedMessage toFinishedMessage(const JournalEntry& entry) {
  FinishedMessage finished;
  finished.outcome.status = entry.notice.returned ? FinalStatus::returned : FinalStatus::failed;
  finished.outcome.at = entry.notice.at;
  finished.outcome.retry_after = entry.notice.retry_after_ms * 1000;
  finished.digest = contentDigest(entry.message);
  return finished;
}

void appendTrustedState(std::vector<Event>& events, const LearnedState& learned,
                        const EndpointList& endpoints, const TrustPolicy& policy, Micros to_monotonic) {
  const Micros now = recordTimeNow();
  LearnedPool pool = policy.trustedPart(learned.pool, now);
  shiftMoments(pool, to_monotonic);
  if (pool.latency_samples > 0 || pool.stale_connection_score > 0)
    events.emplace_back(pool);
  for (const LearnedRecord& record : learned.records) {
    if (!isListed(record, endpoints))
      continue;
    LearnedEndpoint trusted = policy.trustedPart(record.learned, now);
    if (!hasContent(trusted))
      continue;
    shiftMoments(trusted, to_monotonic);
    events.emplace_back(std::move(trusted));
  }
}

void appendTrustedHealth(std::vector<Event>& events, const std::vector<DestinationHealth>& health,
                         const TrustPolicy& policy, Micros slow_start_time, Micros to_monotonic) {
  for (DestinationHealth trusted : health) {
    if (!policy.reduceToTrusted(trusted, recordTimeNow(), slow_start_time))
      continue;
    logHealth(log::Event::destination_health_restored, trusted, recordTimeNow(), slow_start_time);
    shiftMoments(trusted, to_monotonic);
    events.emplace_back(std::move(trusted));
  }
}

LearnedRecord toLearnedRecord(const LearnedEndpoint& learned, const EndpointList& endpoints, Micros to_unix) {
  LearnedRecord record{learned, ""};
  shiftMoments(record.learned, to_unix);
  if (!learned.endpoint.empty())
    if (const ListedEndpoint* listed = endpoints.find(learned.endpoint))
      record.address = listed->address;
  return record;
}

}  // namespace grademux
