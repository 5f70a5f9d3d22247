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

#include "grademux/lessons.h"
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

struct LimitReport {  // what an answer told of the destination's limit
  double left = 0;    // share of the allowance left
  double limit = 0;   // calls a second; 0: no limit
};

enum class Result { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent };

// ---- events
struct Arrival {
  std::string id, message_class, tenant, order_key;
  std::int64_t destination = 0;
  Micros give_up_at = 0;
  Micros estimate = 0;  // guess of its own work, 0: none
  bool repeat = false;  // a client's next try, or held before by a sender that died
};
// A message that this sender had taken on before its process ended, with its attempts.
struct PastAttempt {
  std::string endpoint;                   // may be listed no more, or unknown
  Micros sent = 0;                        // may be before the first turn
  bool may_have_run = true, out = false;  // out: its outcome is still to come
};
struct Resumed {
  Arrival message;
  std::vector<PastAttempt> attempts;
  ClassVersion rules;  // that it was taken on under; null: its class as it is now
};
// This process ends at `at`: an outcome that comes later is not heard.
struct Stopping {
  Micros at = 0;
};
struct Gone {
  std::string id;
};  // nobody wants it any more
struct Outcome {
  std::string id;
  int attempt = 0;
  Result result = Result::ok;
  bool finished = false;
  Micros wait = 0;  // with any result: nothing to this destination for so long; 0: none told
  Micros rtt = 0;
  std::optional<LimitReport> report;
  bool stale = false;  // reset, on a kept connection, with no byte answered: it may have been dead before
};
enum class ListKind { delta, full, cached, failed };
struct ListUpdate {
  ListKind kind = ListKind::full;
  std::vector<Endpoint> endpoints;
};
struct Wake {};
using Event = std::variant<Arrival, Resumed, Ailment, Stopping, Gone, Outcome, ListUpdate, Wake, Lesson,
                           Experience, Survey, Retuned>;

// ---- actions
struct Send {
  std::string id, endpoint;
  Micros timeout = 0;
  Micros write_within = 0;  // a repeat: its last byte is written by then, or it is not made; 0: no limit
};
struct Cancel {
  std::string id;
  int attempt = 0;
};
struct Refuse {
  std::string id;
  Micros pause = 0;
};  // final: handing it in again is harmless
struct Fail {
  std::string id;
};                // final: no such promise
struct Watch {};  // subscribe to membership changes
struct CloseIdle {
  std::string endpoint;
};
struct WakeIn {
  Micros span = 0;
};
using Action = std::variant<Send, Cancel, Refuse, Fail, Watch, CloseIdle, WakeIn, Ailment, Lesson, Surveyed>;

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
