// Interface of the decision module. One Sender decides for one sending process which messages are attempted,
// where and when, and which are retried, rejected or failed. The module does no I/O and reads no clock: the
// caller passes events with the time, and carries out the actions. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "grademux/learned_state.h"
#include "grademux/settings.h"

namespace grademux {

enum class EndpointState { ready, draining, gone };

struct Endpoint {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t destination = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;  // calls a second of the destination (or route), see WeightKind
};

// The rate limit of a destination as reported by one of its answers.
struct LimitReport {
  double remaining_fraction = 0;  // share of the allowance that is left
  double rate_limit = 0;          // calls a second; 0: no limit
};

enum class AttemptResult { ok, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// ---- events
struct MessageArrival {
  std::string id, message_class, tenant, ordering_key;
  std::int64_t destination = 0;
  Micros deadline = 0;
  Micros estimated_work = 0;  // estimated execution time; 0: unknown
  bool resubmitted = false;   // submitted before by the client, or accepted before by a process that ended
};
// A message that an earlier process of this sender accepted, with its attempts.
struct PastAttempt {
  std::string endpoint;                         // may be removed from the endpoint list, or unknown
  Micros sent_at = 0;                           // may be before the first call of decide()
  bool may_have_run = true, in_flight = false;  // in_flight: its outcome has not arrived
  // The earlier process ended before the outcome arrived: the attempt may still be executing.
  bool outcome_lost = false;
};
struct RecoveredMessage {
  MessageArrival message;
  std::vector<PastAttempt> attempts;
  ClassVersion class_version;  // as of its acceptance; null: its class in the current settings
};
// Blocks the next message with an ordering key, because an attempt of an earlier one may still be executing.
// As an action, to be kept for the next process; as an event, what an earlier process kept.
struct OrderingKeyBlocked {
  std::string ordering_key;
  Micros until = 0;  // end of the pause; 0: none
  // A message that has its final outcome and attempts without an outcome, which also block; empty: none.
  std::string finished_message;
  // Event: how many attempts of that message the earlier process has still to report. 0: their outcomes are
  // lost.
  int attempts_in_flight = 0;
};
// The process ends at `at`: outcomes that arrive later are lost.
struct ShutdownScheduled {
  Micros at = 0;
};
// The engine did not accept the message after all: no later action names the message.
struct MessageWithdrawn {
  std::string id;
};
struct AttemptOutcome {
  std::string id;
  int attempt = 0;
  AttemptResult result = AttemptResult::ok;
  // The endpoint reported the message as finished, by this attempt or by an earlier one.
  bool already_finished = false;
  Micros retry_after = 0;  // with any result: no attempts to this destination for this span; 0: none
  Micros round_trip = 0;
  std::optional<LimitReport> limit_report;
  bool stale_connection = false;  // the reused connection was reset before any byte of the answer arrived
  // The response may be a late copy of an earlier one on its connection: the message may have run, whatever
  // `result` says.
  bool is_unverified = false;
};
// A response to an attempt in flight has arrived that may be a late copy of an earlier one on its connection.
// The attempt's outcome follows: it has another response, or this one if none comes until the attempt ends.
struct ResponseSetAside {
  std::string id;
  int attempt = 0;
  Micros retry_after = 0;  // as AttemptOutcome::retry_after; counts from now on
};
enum class EndpointListKind { delta, snapshot, cached, failed };
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::snapshot;
  std::vector<Endpoint> endpoints;
};
struct TimerFired {};
using Event = std::variant<MessageArrival, RecoveredMessage, DestinationHealth, ShutdownScheduled,
                           MessageWithdrawn, AttemptOutcome, EndpointListUpdate, TimerFired, LearnedEndpoint,
                           LearnedPool, ExportLearned, SettingsChanged, OrderingKeyBlocked, ResponseSetAside>;

// ---- actions
// Which limit decided when an attempt may start: the usual rate limit, the slow start budget of a target that
// is down or that has come back, or none, as the message could not have waited for the rate limit.
enum class AttemptPacing { rate_limit, outage_trial, slow_start, unpaced };
struct StartAttempt {
  std::string id, endpoint;
  Micros timeout = 0;
  Micros write_within = 0;  // a retry that is not fully written within this span is dropped; 0: no limit
  AttemptPacing pacing = AttemptPacing::rate_limit;  // for logs and figures alone; not recorded
};
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
// Final outcome: the message may be submitted again without a second effect.
struct RejectMessage {
  std::string id;
  Micros retry_after = 0;
};
// Final outcome: the message may have been executed.
struct FailMessage {
  std::string id;
};
struct WatchEndpoints {};  // subscribe to membership changes
struct CloseIdleConnections {
  std::string endpoint;
};
struct SetTimer {
  Micros delay = 0;
};
using Action = std::variant<StartAttempt, CancelAttempt, RejectMessage, FailMessage, WatchEndpoints,
                            CloseIdleConnections, SetTimer, DestinationHealth, LearnedEndpoint,
                            LearnedExported, OrderingKeyBlocked>;

class Sender {
 public:
  // Throws std::invalid_argument that names the first field whose value is out of range. Equal settings,
  // seeds and events give equal actions.
  Sender(Settings settings, std::uint64_t seed);
  ~Sender();
  Sender(Sender&&) noexcept;
  Sender& operator=(Sender&&) noexcept;

  // Processes the events in order at the time `now`, and returns the actions to carry out at that time. `now`
  // must not decrease from call to call.
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace grademux
