// The life cycle of the engine, endpoints, submissions and outcomes. The iterations are in
// delivery_engine_iteration.cpp.
#include "delivery_engine.h"

#include <algorithm>
#include <utility>

#include "../log/log.h"
#include "clock.h"
#include "engine_recovery.h"
#include "grademux/class_versions.h"
#include "record_time.h"

namespace grademux {

namespace {

constexpr Micros kHealthRetention = 30LL * 24 * 3600 * 1'000'000;  // from the last observation
constexpr Micros kHandoverRetryAfter = 100'000;  // sent to clients while another process owns the journal

int countNeverExecuted(const std::vector<JournaledAttempt>& attempts) {
  return static_cast<int>(
      std::count_if(attempts.begin(), attempts.end(),
                    [](const JournaledAttempt& attempt) { return attempt.never_executed; }));
}

}  // namespace

DeliveryEngine::DeliveryEngine(boost::asio::io_context& io, Settings settings, std::uint64_t seed,
                               Journal& journal, Transport& transport, DeliveryNotifier& notifier)
    : settings_(settings),
      classes_(classVersionsOf(settings_)),
      sender_(std::move(settings), seed),
      journal_(journal),
      transport_(transport),
      registry_(journal),
      endpoints_(journal, transport),
      outcomes_(registry_, journal, notifier),
      scheduler_(
          io, [this] { runIteration(); }, [this] { enqueueEvent(TimerFired{}); }) {
  raiseMaxLifetime();
}

// The maximum is never lowered: ids of messages that were accepted under a longer deadline may be submitted
// again until that deadline.
void DeliveryEngine::raiseMaxLifetime() {
  for (const MessageClass& message_class : settings_.classes)
    max_lifetime_ = std::max(max_lifetime_, message_class.deadline);
}

void DeliveryEngine::recover(const json& configured_list, const TrustPolicy& policy,
                             const LearnedState& learned, const EarlierProcess& earlier) {
  const RecoveredJournal& recovered = journal_.recovered();
  EarlierProcess known = earlier;
  if (recovered.damaged_ranges > 0) {
    known.has_released = false;
    log::write(log::Event::journal_damaged, {{"stretches", recovered.damaged_ranges}});
  }
  if (recovered.torn_tail)
    log::write(log::Event::journal_tail_truncated);
  const json list = newestEndpointList(configured_list, recovered);
  if (list.is_object() && !list.empty()) {
    endpoints_.apply(parseEndpointList(list));
    enqueueListSlice(SIZE_MAX, EndpointListKind::cached);
  }
  journal_.expireHealth(recordTimeNow() - kHealthRetention);
  const Micros to_monotonic = monotonicNow() - recordTimeNow();
  appendTrustedState(events_, learned, endpoints_.list(), policy, to_monotonic);
  appendTrustedHealth(events_, recovered.health, policy, settings_.slow_start_time, to_monotonic);
  journal_.expireOrderingBlocks(recordTimeNow());
  for (const OrderingKeyBlocked& block : recovered.ordering_blocks)
    if (!block.finished_message.empty() || block.until > recordTimeNow())
      events_.emplace_back(toRecoveredBlock(block, to_monotonic, known));
  for (const JournalEntry& entry : recovered.entries) {
    if (entry.notice_pending) {
      outcomes_.recoverNotice(entry);
      continue;
    }
    registry_.addOpen({entry.message,
                       contentDigest(entry.message),
                       static_cast<int>(entry.attempts.size()),
                       {},
                       {},
                       countNeverExecuted(entry.attempts)});
    if (const ClassVersion& version = entry.message.class_version)
      max_lifetime_ = std::max(max_lifetime_, version->deadline);
    events_.emplace_back(toRecoveredMessage(entry, to_monotonic, known));
  }
  if (!recovered.entries.empty())
    log::write(log::Event::journal_resumed, {{"messages", recovered.entries.size()}});
  journal_.clearRecovered();
  if (!events_.empty())
    runIteration();
}

void DeliveryEngine::suspend() {
  if (scheduler_.isRequested() || !events_.empty())
    runIteration();
  if (!events_.empty())
    runIteration();  // for new events of the first iteration, e.g. attempts that were not journaled
  scheduler_.suspend();
  journal_.release();
}

void DeliveryEngine::resume() {
  scheduler_.resume();
  enqueueEvent(TimerFired{});
  if (endpoints_.isNextDue())
    enqueueListSlice(kListSliceChanges, EndpointListKind::delta);
  scheduler_.armTimers();
}

void DeliveryEngine::applySettings(Settings settings) {
  settings_ = std::move(settings);
  classes_ = classVersionsOf(settings_);
  raiseMaxLifetime();
  enqueueEvent(SettingsChanged{settings_});
}

void DeliveryEngine::scheduleStop(Micros at) {
  enqueueEvent(ShutdownScheduled{at});
}

void DeliveryEngine::setActionGuard(ActionGuard* guard) {
  action_guard_ = guard;
  if (guard)  // the call makes the guard create its state of each endpoint
    endpoints_.list().snapshot([guard](const Endpoint& endpoint) { return guard->visibleState(endpoint); });
}

void DeliveryEngine::close() {
  if (closed_)
    return;
  closed_ = true;
  enqueueEndpointSnapshot();
}

void DeliveryEngine::open() {
  if (!closed_)
    return;
  closed_ = false;
  enqueueEndpointSnapshot();
}

void DeliveryEngine::enqueueEndpointSnapshot() {
  enqueueEvent(
      endpoints_.list().snapshot([this](const Endpoint& endpoint) { return visibleState(endpoint); }));
}

EndpointState DeliveryEngine::visibleState(const Endpoint& endpoint) const {
  const EndpointState state = action_guard_ ? action_guard_->visibleState(endpoint) : endpoint.state;
  return closed_ && state == EndpointState::ready ? EndpointState::draining : state;
}

void DeliveryEngine::refreshEndpoints(const std::vector<std::string>& endpoints) {
  EndpointListUpdate update;
  update.kind = EndpointListKind::delta;
  for (const std::string& id : endpoints) {
    const ListedEndpoint* listed = endpoints_.list().find(id);
    if (!listed)
      continue;
    update.endpoints.push_back(listed->endpoint);
    update.endpoints.back().state = visibleState(listed->endpoint);
  }
  if (!update.endpoints.empty())
    enqueueEvent(std::move(update));
}

std::int64_t DeliveryEngine::onEndpointList(EndpointListAnswer answer) {
  endpoints_.apply(std::move(answer));
  if (!isSuspended() && endpoints_.isNextDue())
    enqueueListSlice(kListSliceChanges, EndpointListKind::delta);
  return listVersion();
}

void DeliveryEngine::enqueueListSlice(std::size_t max_changes, EndpointListKind kind) {
  enqueueEvent(endpoints_.next(
      max_changes, kind, [this](const Endpoint& endpoint) { return visibleState(endpoint); }, max_lifetime_));
}

std::string DeliveryEngine::retryAfterScope(const std::string& endpoint) const {
  std::string endpoint_scope = "endpoint " + endpoint;
  const ListedEndpoint* listed = endpoints_.list().find(endpoint);
  if (!listed)
    return endpoint_scope;
  const auto kind =
      std::find_if(settings_.kinds.begin(), settings_.kinds.end(),
                   [&](const DestinationKind& candidate) { return candidate.name == listed->endpoint.kind; });
  const bool has_separate_routes = kind != settings_.kinds.end() && kind->has_separate_routes;
  return has_separate_routes ? endpoint_scope : "destination " + std::to_string(listed->endpoint.destination);
}

Result<ClassVersion, SubmissionResult> DeliveryEngine::classOf(const Submission& submission) const {
  if (isSuspended())
    return SubmissionResult::rejected(kHandoverRetryAfter);
  if (closed_)
    return SubmissionResult::rejected(settings_.max_retry_after);
  if (!submission.destination_name.empty())
    return SubmissionResult::invalid("unknown-destination", "unknown partner");
  const AcceptedMessage& message = submission.message;
  const auto found = std::find_if(classes_.begin(), classes_.end(), [&](const ClassVersion& candidate) {
    return candidate->name == message.message_class;
  });
  if (found == classes_.end())
    return SubmissionResult::invalid("unknown-class", "unknown class");
  if ((*found)->idempotency == Idempotency::idempotency_key && message.idempotency_key.empty())
    return SubmissionResult::invalid("missing-key", "no k");
  return *found;
}

void DeliveryEngine::submit(Submission submission, SubmissionCallback reply) {
  AcceptedMessage& message = submission.message;
  const Result<ClassVersion, SubmissionResult> message_class = classOf(submission);
  if (!message_class)
    return reply(message_class.error());
  // The id is checked first: an accepted message stays accepted even if its destination is no longer listed.
  const std::uint64_t digest = contentDigest(message);
  SubmissionResult known;
  switch (registry_.findSubmission(submission, digest, reply, known)) {
    case MessageRegistry::KnownSubmission::answered:
      return reply(known);
    case MessageRegistry::KnownSubmission::waiting:
      return;
    case MessageRegistry::KnownSubmission::new_id:
      break;
  }
  if (!endpoints_.isAnyDestinationKnown())
    return reply(SubmissionResult::rejected(settings_.max_retry_after));
  if (!endpoints_.isDestinationKnown(message.destination, max_lifetime_))
    return reply(SubmissionResult::invalid("unknown-destination", "unknown destination"));
  message.class_version = message_class.value();
  if (!journal_.reserveSpace(message))
    return reply(SubmissionResult::rejected(settings_.max_retry_after));
  acceptSubmission(std::move(submission), digest, std::move(reply));
}

void DeliveryEngine::acceptSubmission(Submission submission, std::uint64_t digest, SubmissionCallback reply) {
  AcceptedMessage& message = submission.message;
  MessageArrival arrival;
  arrival.id = message.id;
  arrival.message_class = message.message_class;
  arrival.ordering_key = message.ordering_key;
  arrival.destination = message.destination;
  arrival.deadline = monotonicNow() + submission.time_to_live;
  arrival.resubmitted = message.resubmitted;
  message.deadline = recordTimeNow() + submission.time_to_live;
  OpenMessage open;
  open.message = std::move(message);
  open.digest = digest;
  open.replies.push_back(std::move(reply));
  open.abandoned_checks.push_back(std::move(submission.is_abandoned));
  registry_.addOpen(std::move(open));
  registry_.addArrival(arrival.id);
  enqueueEvent(std::move(arrival));
}

void DeliveryEngine::onAttemptFinished(AttemptOutcome outcome) {
  if (action_guard_)
    action_guard_->onAttemptFinished(outcome);
  if (OpenMessage* open = registry_.findOpen(outcome.id)) {
    const bool never_executed = !outcome.is_unverified && (outcome.result == AttemptResult::rejected ||
                                                           outcome.result == AttemptResult::connect_failed ||
                                                           outcome.result == AttemptResult::not_sent);
    if (outcome.already_finished) {
      outcomes_.recordReported(outcome.id, outcome.result, max_lifetime_);
    } else if (never_executed) {
      journal_.recordNeverExecuted(outcome.id, static_cast<std::size_t>(outcome.attempt));
      ++open->attempts_never_executed;
    }
  }
  enqueueEvent(std::move(outcome));
}

void DeliveryEngine::onResponseSetAside(ResponseSetAside response) {
  enqueueEvent(std::move(response));
}

void DeliveryEngine::exportLearned(std::int64_t after, int max_destinations, ExportCallback callback) {
  export_callback_ = std::move(callback);
  enqueueEvent(ExportLearned{after, max_destinations});
}

LearnedState DeliveryEngine::learnedState() {
  LearnedState state;
  export_callback_ = [&](std::vector<LearnedRecord> records, const LearnedExported& exported) {
    state.records = std::move(records);
    state.pool = exported.pool;
  };
  // A pending export would return the same records a second time.
  const auto is_export = [](const Event& event) { return std::holds_alternative<ExportLearned>(event); };
  events_.erase(std::remove_if(events_.begin(), events_.end(), is_export), events_.end());
  events_.emplace_back(ExportLearned{INT64_MIN, INT32_MAX});
  runIteration();
  return state;
}

}  // namespace grademux
