// grademux: what a message is on its way through the program: handed in, answered, taken on, ended. Plain
// data that doors, admission, host and journal share; nothing here does I/O or decides.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "grademux/sender.h"

namespace grademux {

struct AcceptedMessage {  // what a client handed in, as it goes on to the endpoint
  std::string id, message_class, ordering_key, idempotency_key, body;
  std::int64_t destination = 0;
  Micros deadline = 0;  // Unix time
  bool resubmitted = false;
  ClassVersion class_version;  // its class as it was when it was taken on; null: before versions were kept
};

// One attempt of one message.
struct AttemptId {
  std::string message_id;
  int attempt = 0;  // its place among the attempts of the message

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return a.attempt == b.attempt && a.message_id == b.message_id;
  }
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.message_id, a.attempt) < std::tie(b.message_id, b.attempt);
  }
};

// FNV-1a, 64 bits (draft-eastlake-fnv), going on from `from`. Its values are destinations' numbers, and
// digests in journals of versions before 0.4: they stay as they are.
std::uint64_t fnv1a(const void* data, std::size_t size, std::uint64_t from = 14695981039346656037ull);

// What tells one message from another under the same id: class, destination, keys and body (XXH3, 64 bits;
// the same in each process and on each machine). Time and marks of repetition are no part of it.
std::uint64_t contentDigest(const AcceptedMessage& m);
std::uint64_t legacyContentDigest(const AcceptedMessage& m);  // as versions before 0.4 made it

// Ids and idempotency keys go on as HTTP field values: printable ASCII without spaces, or nothing.
constexpr std::size_t kMaxTokenBytes = 256;                 // bytes
constexpr Micros kMaxTimeToLive = 24LL * 3600 * 1'000'000;  // that a client may ask for
bool isValidToken(const std::string& s);

// What a door hands in: read, not yet admitted.
struct Submission {
  AcceptedMessage message;
  std::string destination_name;  // named in place of the destination, until an admission step has its number
  Micros time_to_live = 0;       // how long it may still be delivered, from when it was read
  const char* listener_kind = "";  // the kind of door that it came by
};

enum class FinalStatus : std::uint8_t {
  delivered,
  returned,  // refused after it was taken on: handing it in anew is harmless
  failed,    // no such promise
  withdrawn  // the endpoint said that it was over already
};
const char* nameOf(FinalStatus e);
const char* nameOf(AttemptResult r);

struct FinalOutcome {
  FinalStatus status = FinalStatus::delivered;
  Micros at = 0;           // Unix time
  Micros retry_after = 0;  // handed back: come again after this; 0: none told
};

// The one answer to a submission.
struct SubmissionResult {
  enum class Kind {
    accepted,  // taken on, now or by an earlier submission of the same message
    rejected,  // nothing ran: handing it in again is harmless
    invalid,   // it can't be used as it is
    conflict,  // the id is another message's
    failed     // the module sees no way to deliver it in its time
  };
  Kind kind = Kind::accepted;
  Micros retry_after = 0;                     // refused: come again after this; 0: none told
  std::string code, reason;                   // rejected: a short word for programs, and a line for people
  std::optional<FinalOutcome> final_outcome;  // accepted: it is over already

  static SubmissionResult accepted() { return {}; }
  static SubmissionResult rejected(Micros pause) { return {Kind::rejected, pause, {}, {}, {}}; }
  static SubmissionResult invalid(std::string code, std::string why) {
    return {Kind::invalid, 0, std::move(code), std::move(why), {}};
  }
};
using SubmissionCallback = std::function<void(const SubmissionResult&)>;

// What is known of an id.
struct MessageStatus {
  enum class State { unknown, open, finished } state = State::unknown;
  FinalOutcome outcome;
};

// What a door hands submissions to: the core, or the admission chain in front of it. All on the loop thread.
class SubmissionHandler {
 public:
  virtual ~SubmissionHandler() = default;
  // `reply` is called exactly once, from within this call or later, while the loop runs. After an accepted
  // answer the message is on record and has exactly one end.
  virtual void submit(Submission s, SubmissionCallback reply) = 0;
  // Only what is on record counts: a message that has ended is open until its end is written.
  virtual MessageStatus status(const std::string& id) const = 0;
  // `then` is called once, with the end of a message that is open, after the end is on record; never for one
  // that is not open, nor if the process ends first.
  virtual void notifyWhenFinished(const std::string& id, std::function<void(const FinalOutcome&)> then) = 0;
};

}  // namespace grademux
