#include "final_outcomes.h"

#include <algorithm>

#include "../log/log.h"
#include "clock.h"
#include "engine_recovery.h"
#include "record_time.h"

namespace grademux {

namespace {

std::int64_t toMsRoundedUp(Micros span) {
  return (span + 999) / 1000;
}

}  // namespace

void FinalOutcomes::recordReported(const std::string& id, AttemptResult result, Micros remember_for) {
  const FinalStatus status = result == AttemptResult::ok ? FinalStatus::delivered : FinalStatus::withdrawn;
  const FinalOutcome outcome{status, unixNow(), 0};
  journal_.recordFinished(id, {outcome, registry_.findOpen(id)->digest, recordTimeNow() + remember_for});
  finish(id, outcome);
}

void FinalOutcomes::recordUndelivered(const std::string& id, FinalStatus status, Micros retry_after) {
  const FinalOutcome outcome{status, unixNow(), retry_after};
  const Notice notice{status == FinalStatus::returned, toMsRoundedUp(retry_after), outcome.at};
  journal_.recordNoticePending(id, notice);
  registry_.addPendingNotice(id, {outcome, registry_.findOpen(id)->digest, 0});
  finish(id, outcome);
  notifier_.enqueueNotice(id, notice);
}

void FinalOutcomes::finish(const std::string& id, const FinalOutcome& outcome) {
  if (log::isEnabled(log::Event::message_finished))
    log::write(log::Event::message_finished, {{"message", id},
                                              {"outcome", nameOf(outcome.status)},
                                              {"attempts", registry_.findOpen(id)->attempts}});
  registry_.finish(id, outcome);
  journal_.expireFinished(recordTimeNow());
}

void FinalOutcomes::onNoticeDelivered(const std::string& id, Micros remember_for) {
  std::optional<FinishedMessage> finished = registry_.takePendingNotice(id);
  if (!finished)
    return;
  finished->remember_until = recordTimeNow() + remember_for;
  journal_.recordFinished(id, *finished);
}

void FinalOutcomes::recoverNotice(const JournalEntry& entry) {
  registry_.addPendingNotice(entry.message.id, toFinishedMessage(entry));
  notifier_.enqueueNotice(entry.message.id, entry.notice);
}

void logIfOrphaned(const AcceptedMessage& message, FinalStatus status, const Settings& settings,
                   const EndpointList& endpoints) {
  const auto has_message_class = [&](const MessageClass& candidate) {
    return candidate.name == message.message_class;
  };
  const bool class_removed =
      !message.class_version &&
      std::none_of(settings.classes.begin(), settings.classes.end(), has_message_class);
  if (!class_removed && endpoints.containsDestination(message.destination))
    return;
  log::write(log::Event::message_orphaned, {{"message", message.id},
                                            {"class", message.message_class},
                                            {"destination", message.destination},
                                            {"outcome", nameOf(status)},
                                            {"cause", class_removed ? "its class is no longer configured"
                                                                    : "its partner is no longer listed"}});
}

}  // namespace grademux
