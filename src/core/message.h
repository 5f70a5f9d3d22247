// The types of a message from its submission to its final outcome, and the interface by which listeners
// submit messages. Plain data shared by listeners, admission chain, engine and journal; no I/O and no
// decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "grademux/sender.h"

namespace grademux {

// A message as the client submitted it and as it is sent to the endpoint.
struct AcceptedMessage {
  std::string id, message_class, ordering_key, idempotency_key, body;
  std::int64_t destination = 0;
  Micros deadline = 0;  // in the time base of the state folder (record_time.h)
  bool resubmitted = false;
  // The class as it was when the message was accepted; null in journals from before class versions were
  // stored.
  ClassVersion class_version;
};

// One attempt of one message.
struct AttemptId {
  std::string message_id;
  int attempt = 0;  // position among the attempts of the message, from 0

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return a.attempt == b.attempt && a.message_id == b.message_id;
  }
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.message_id, a.attempt) < std::tie(b.message_id, b.attempt);
  }
};

// FNV-1a, 64 bits (draft-eastlake-fnv); `hash` is the hash of the preceding bytes. The results must never
// change: they are destination numbers, and digests in journals of program versions before 0.4.
std::uint64_t fnv1a(const void* data, std::size_t size, std::uint64_t hash = 14695981039346656037ull);

// Distinguishes different messages that are submitted under the same id: a digest of class, destination, keys
// and body (XXH3, 64 bits; the same in each process and on each machine). The deadline and the resubmission
// mark are not included.
std::uint64_t contentDigest(const AcceptedMessage& message);
std::uint64_t legacyContentDigest(const AcceptedMessage& message);  // the digest of versions before 0.4

// Ids and idempotency keys are sent as HTTP field values: printable ASCII without spaces, or empty.
constexpr std::size_t kMaxTokenBytes = 256;
constexpr Micros kMaxTimeToLive = 24LL * 3600 * 1'000'000;  // the longest that a client may request
bool isValidToken(const std::string& token);

// A message that a listener has read and that is not admitted yet.
struct Submission {
  AcceptedMessage message;
  std::string destination_name;  // given instead of `destination`, until an admission step resolves the name
  Micros time_to_live = 0;       // remaining time for the delivery when the message was read
  const char* listener_kind = "";  // kind of the listener that received the message
  // Whether the client has gone away: a submission that is not accepted yet is then dropped without an
  // answer. Empty: not known.
  std::function<bool()> is_abandoned;
};

enum class FinalStatus : std::uint8_t {
  delivered,
  returned,  // rejected after it was accepted: it can safely be submitted again
  failed,    // not delivered; submitting it again may execute it a second time
  withdrawn  // the endpoint reported that the message had been finished already
};
const char* nameOf(FinalStatus status);
const char* nameOf(AttemptResult result);

struct FinalOutcome {
  FinalStatus status = FinalStatus::delivered;
  Micros at = 0;           // Unix time
  Micros retry_after = 0;  // returned: submit again after this time; 0: not specified
};

// The answer to a submission. Each submission gets exactly one.
struct SubmissionResult {
  enum class Kind {
    accepted,  // accepted, by this or by an earlier submission of the same message
    rejected,  // not executed: it can safely be submitted again
    invalid,   // the submission is malformed or names an unknown class or destination
    conflict,  // the id belongs to a message with other content
    failed     // the decision module can't deliver it before its deadline
  };
  Kind kind = Kind::accepted;
  Micros retry_after = 0;                     // rejected: submit again after this time; 0: not specified
  std::string code, reason;                   // invalid: a code for programs, and a text for people
  std::optional<FinalOutcome> final_outcome;  // accepted: set if the message has its final outcome already

  static SubmissionResult accepted() { return {}; }
  static SubmissionResult rejected(Micros retry_after) { return {Kind::rejected, retry_after, {}, {}, {}}; }
  static SubmissionResult invalid(std::string code, std::string reason) {
    return {Kind::invalid, 0, std::move(code), std::move(reason), {}};
  }
};
using SubmissionCallback = std::function<void(const SubmissionResult&)>;

// The state of a message, by its id.
struct MessageStatus {
  enum class State { unknown, open, finished } state = State::unknown;
  FinalOutcome outcome;
};

// A callback that waits for the final outcome of a message as long as somebody holds this.
using OutcomeSubscription = std::shared_ptr<const std::function<void(const FinalOutcome&)>>;

// Receives submissions from listeners: the engine, or the admission chain in front of the engine. All
// functions are called on the loop thread.
class SubmissionHandler {
 public:
  virtual ~SubmissionHandler() = default;
  // `reply` is called exactly once, from within this call or later, while the loop runs. Once `reply` gets an
  // accepted result, the message is in the journal and gets exactly one final outcome.
  virtual void submit(Submission submission, SubmissionCallback reply) = 0;
  // The state according to the journal: a message stays open until its final outcome is written.
  virtual MessageStatus status(const std::string& id) const = 0;
  // `callback` is called once with the final outcome of an open message, after the outcome is written to the
  // journal, if the subscription is held until then. It is never called for a message that is not open, nor
  // if the process ends first.
  [[nodiscard]] virtual OutcomeSubscription notifyWhenFinished(
      const std::string& id, std::function<void(const FinalOutcome&)> callback) = 0;
};

}  // namespace grademux
