// grademux: the interface of the decision module. Types only: no decision and no tuned value stands here.
// One Sender decides for one sending process. It does no I/O and reads no clock: the host hands it what
// happened (events) and carries out what it answers (actions).
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
  double weight = 0;  // calls a second that the destination (or route) takes, see WeightKind
};

struct LimitReport {              // what an answer told of the destination's limit
  double remaining_fraction = 0;  // share of the allowance left
  double rate_limit = 0;          // calls a second; 0: no limit
};

enum class AttemptResult { ok, error, rejected, timeout, connect_failed, reset, cancelled, not_sent };

// ---- events
struct MessageArrival {
  std::string id, message_class, tenant, ordering_key;
  std::int64_t destination = 0;
  Micros deadline = 0;
  Micros estimated_work = 0;  // guess of its own work, 0: none
  bool resubmitted = false;   // a client's next try, or held before by a sender that died
};
// A message that this sender had taken on before its process ended, with its attempts.
struct PastAttempt {
  std::string endpoint;                         // may be listed no more, or unknown
  Micros sent_at = 0;                           // may be before the first turn
  bool may_have_run = true, in_flight = false;  // out: its outcome is still to come
};
struct RecoveredMessage {
  MessageArrival message;
  std::vector<PastAttempt> attempts;
  ClassVersion class_version;  // that it was taken on under; null: its class as it is now
};
// This process ends at `at`: an outcome that comes later is not heard.
struct ShutdownScheduled {
  Micros at = 0;
};
struct MessageWithdrawn {
  std::string id;
};  // nobody wants it any more
struct AttemptOutcome {
  std::string id;
  int attempt = 0;
  AttemptResult result = AttemptResult::ok;
  bool already_finished = false;
  Micros retry_after = 0;  // with any result: nothing to this destination for so long; 0: none told
  Micros round_trip = 0;
  std::optional<LimitReport> limit_report;
  bool stale_connection =
      false;  // reset, on a kept connection, with no byte answered: it may have been dead before
};
enum class EndpointListKind { delta, snapshot, cached, failed };
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::snapshot;
  std::vector<Endpoint> endpoints;
};
struct TimerFired {};
using Event = std::variant<MessageArrival, RecoveredMessage, DestinationHealth, ShutdownScheduled,
                           MessageWithdrawn, AttemptOutcome, EndpointListUpdate, TimerFired, LearnedEndpoint,
                           LearnedPool, ExportLearned, SettingsChanged>;

// ---- actions
struct StartAttempt {
  std::string id, endpoint;
  Micros timeout = 0;
  Micros write_within = 0;  // a repeat: its last byte is written by then, or it is not made; 0: no limit
};
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
struct RejectMessage {
  std::string id;
  Micros retry_after = 0;
};  // final: handing it in again is harmless
struct FailMessage {
  std::string id;
};                         // final: no such promise
struct WatchEndpoints {};  // subscribe to membership changes
struct CloseIdleConnections {
  std::string endpoint;
};
struct SetTimer {
  Micros delay = 0;
};
using Action =
    std::variant<StartAttempt, CancelAttempt, RejectMessage, FailMessage, WatchEndpoints,
                 CloseIdleConnections, SetTimer, DestinationHealth, LearnedEndpoint, LearnedExported>;

class Sender {
 public:
  // Throws std::invalid_argument naming the field when the settings can't be.
  Sender(Settings settings, std::uint64_t seed);
  ~Sender();
  Sender(Sender&&) noexcept;
  Sender& operator=(Sender&&) noexcept;

  // All that happened at `now`, in order; answers what to do at the same moment. `now` never goes back.
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace grademux
