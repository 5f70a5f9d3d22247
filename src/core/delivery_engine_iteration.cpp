// The iterations of the engine: each passes events to the decision module and performs the resulting actions.
// Rejections come first, then the journal is written, and only then the actions that depend on journal
// records are performed.
#include <algorithm>
#include <utility>

#include "../log/log.h"
#include "clock.h"
#include "clock_offset.h"
#include "delivery_engine.h"
#include "engine_log.h"
#include "engine_recovery.h"
#include "record_time.h"

namespace grademux {

void DeliveryEngine::enqueueEvent(Event event) {
  events_.push_back(std::move(event));
  scheduler_.request(settings_.min_decide_interval);
}

void DeliveryEngine::runIteration() {
  const Micros now = scheduler_.begin();
  dropAbandonedArrivals();
  const std::vector<Event> events = std::exchange(events_, {});
  endpoints_.onIteration();
  const std::vector<Action> actions = sender_.decide(now, events);
  if (observer_)
    observer_(now, events, actions);
  applyActions(actions);
  if (endpoints_.isNextDue())
    enqueueListSlice(kListSliceChanges, EndpointListKind::delta);
}

// A client that has gone away got no answer, and may have submitted its messages elsewhere. Its connection
// learns of the rejection, and closes.
void DeliveryEngine::dropAbandonedArrivals() {
  const std::set<std::string> abandoned = registry_.abandonedArrivals();
  if (abandoned.empty())
    return;
  const auto is_abandoned = [&abandoned](const Event& event) {
    const auto* arrival = std::get_if<MessageArrival>(&event);
    return arrival && abandoned.count(arrival->id) > 0;
  };
  events_.erase(std::remove_if(events_.begin(), events_.end(), is_abandoned), events_.end());
  for (const std::string& id : abandoned) {
    const std::vector<SubmissionCallback> replies = std::move(registry_.findOpen(id)->replies);
    registry_.eraseOpen(id);
    for (const SubmissionCallback& reply : replies)
      reply(SubmissionResult::rejected(0));
  }
  registry_.dropFinishedArrivals();
  log::write(log::Event::message_abandoned, {{"messages", abandoned.size()}});
}

void DeliveryEngine::applyActions(const std::vector<Action>& actions) {
  applyFinalActions(actions);
  std::set<std::string> rejected;
  if (action_guard_ && !action_guard_->isActionAllowed())
    rejected = rejectNewArrivals();
  // In the order of arrival, which is the order of messages with the same ordering key after a restart, too.
  for (const std::string& id : registry_.newArrivals())
    journal_.recordAccepted(registry_.findOpen(id)->message);
  const std::vector<PlannedAttempt> planned = recordAttempts(actions, rejected);
  const bool journaled = journal_.flush().has_value();
  if (!journaled)
    log::write(log::Event::journal_write_failed);
  answerNewArrivals(journaled);
  if (journaled)
    registry_.publishFinished();
  performActions(actions, planned, journaled);
  scheduler_.armTimers();
  completeExport(actions);
}

void DeliveryEngine::applyFinalActions(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* reject = std::get_if<RejectMessage>(&action))
      rejectOrFail(reject->id, FinalStatus::returned, reject->retry_after);
    else if (const auto* fail = std::get_if<FailMessage>(&action))
      rejectOrFail(fail->id, FinalStatus::failed, 0);
    else if (const auto* health = std::get_if<DestinationHealth>(&action))
      recordHealth(*health);
    else if (const auto* block = std::get_if<OrderingKeyBlocked>(&action))
      recordOrderingBlock(*block);
  }
  registry_.dropFinishedArrivals();
}

// A submission that is not answered yet gets its answer at once; the client of an accepted message gets a
// notice.
void DeliveryEngine::rejectOrFail(const std::string& id, FinalStatus status, Micros retry_after) {
  OpenMessage* open = registry_.findOpen(id);
  if (!open)
    return;
  if (open->replies.empty()) {
    logIfOrphaned(open->message, status, settings_, endpoints_.list());
    outcomes_.recordUndelivered(id, status, retry_after);
    return;
  }
  const std::vector<SubmissionCallback> replies = std::move(open->replies);
  registry_.eraseOpen(id);
  SubmissionResult result = SubmissionResult::rejected(retry_after);
  if (status == FinalStatus::failed)
    result.kind = SubmissionResult::Kind::failed;
  for (const SubmissionCallback& reply : replies)
    reply(result);
}

void DeliveryEngine::recordHealth(DestinationHealth health) {
  logHealth(log::Event::destination_health_changed, health, scheduler_.lastIteration(),
            settings_.slow_start_time);
  shiftMoments(health, recordTimeNow() - scheduler_.lastIteration());
  journal_.recordHealth(health);
  if (on_health_changed_)
    on_health_changed_();
}

void DeliveryEngine::recordOrderingBlock(OrderingKeyBlocked block) {
  const Micros now = recordTimeNow();
  shiftMoments(block, now - scheduler_.lastIteration());
  journal_.recordOrderingBlock(block, now);
}

// A process that may no longer act could not deliver the messages that it accepts.
std::set<std::string> DeliveryEngine::rejectNewArrivals() {
  const std::vector<std::string> arrivals = registry_.takeNewArrivals();
  for (const std::string& id : arrivals) {
    const std::vector<SubmissionCallback> replies = std::move(registry_.findOpen(id)->replies);
    registry_.eraseOpen(id);
    enqueueEvent(MessageWithdrawn{id});
    for (const SubmissionCallback& reply : replies)
      reply(SubmissionResult::rejected(settings_.max_retry_after));
  }
  return {arrivals.begin(), arrivals.end()};
}

std::vector<DeliveryEngine::PlannedAttempt> DeliveryEngine::recordAttempts(
    const std::vector<Action>& actions, const std::set<std::string>& rejected) {
  std::vector<PlannedAttempt> planned;
  for (const Action& action : actions) {
    const auto* start = std::get_if<StartAttempt>(&action);
    if (!start)
      continue;
    OpenMessage* open = registry_.findOpen(start->id);
    if (!open) {
      if (rejected.count(start->id))
        reportNotSent(start->id, 0);
      continue;
    }
    const std::uint32_t version = action_guard_ ? journal_.versionOf(action_guard_->version()) : 0;
    journal_.recordAttempt(start->id, {start->endpoint, recordTimeNow(), false, version});
    planned.push_back({start, open->attempts++, version});
  }
  return planned;
}

// A message is accepted only if its record was written: otherwise a restart would lose it.
void DeliveryEngine::answerNewArrivals(bool journaled) {
  for (const std::string& id : registry_.takeNewArrivals()) {
    OpenMessage& open = *registry_.findOpen(id);
    open.abandoned_checks.clear();
    const std::vector<SubmissionCallback> replies = std::exchange(open.replies, {});
    if (!journaled) {
      journal_.dropUnwritten(id);
      registry_.eraseOpen(id);
      enqueueEvent(MessageWithdrawn{id});
    }
    for (const SubmissionCallback& reply : replies)
      reply(journaled ? SubmissionResult::accepted() : SubmissionResult::rejected(settings_.max_retry_after));
  }
}

void DeliveryEngine::performActions(const std::vector<Action>& actions,
                                    const std::vector<PlannedAttempt>& planned, bool journaled) {
  auto next = planned.begin();
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      if (next != planned.end() && next->action == start)
        startAttempt(*next++, journaled);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      transport_.cancelAttempt(cancel->id, cancel->attempt);
    } else if (const auto* idle = std::get_if<CloseIdleConnections>(&action)) {
      transport_.closeIdleConnections(idle->endpoint);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      scheduler_.addTimer(timer->delay);
    }
  }
}

void DeliveryEngine::startAttempt(const PlannedAttempt& planned, bool journaled) {
  const StartAttempt& start = *planned.action;
  const OpenMessage* open = registry_.findOpen(start.id);
  if (!journaled || !isAttemptAllowed({start.id, planned.attempt}, *open, start.endpoint)) {
    reportNotSent(start.id, planned.attempt);
    return;
  }
  const Micros write_within = start.write_within > 0 ? start.write_within : kNoWriteLimit;
  logAttemptStarted(start, planned.attempt);
  const std::string version_stamp = action_guard_ ? action_guard_->versionStamp(planned.version) : "";
  const bool may_have_run = planned.attempt > open->attempts_never_executed;
  transport_.startAttempt({open->message, planned.attempt, start.endpoint, start.timeout, write_within,
                           version_stamp, may_have_run});
}

bool DeliveryEngine::isAttemptAllowed(const AttemptId& id, const OpenMessage& open,
                                      const std::string& endpoint) {
  if (!action_guard_)
    return true;
  Endpoint unlisted;
  unlisted.id = endpoint;
  const ListedEndpoint* listed = endpoints_.list().find(endpoint);
  const ClassVersion& version = open.message.class_version;
  const bool repeatable = version && version->idempotency != Idempotency::non_idempotent;
  return action_guard_->admitAttempt(id, listed ? listed->endpoint : unlisted, repeatable);
}

// The decision module counts an attempt as in flight until it gets the outcome, so an attempt that was not
// started gets one as well.
void DeliveryEngine::reportNotSent(const std::string& id, int attempt) {
  AttemptOutcome outcome;
  outcome.id = id;
  outcome.attempt = attempt;
  outcome.result = AttemptResult::not_sent;
  onAttemptFinished(std::move(outcome));
}

void DeliveryEngine::completeExport(const std::vector<Action>& actions) {
  const auto end = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
    return std::holds_alternative<LearnedExported>(action);
  });
  if (end == actions.end() || !export_callback_)
    return;
  const Micros to_unix = recordTimeNow() - monotonicNow();
  std::vector<LearnedRecord> records;
  for (const Action& action : actions)
    if (const auto* learned = std::get_if<LearnedEndpoint>(&action))
      records.push_back(toLearnedRecord(*learned, endpoints_.list(), to_unix));
  LearnedExported exported = std::get<LearnedExported>(*end);
  shiftMoments(exported.pool, to_unix);
  const ExportCallback callback = std::exchange(export_callback_, nullptr);
  callback(std::move(records), exported);
}

}  // namespace grademux
