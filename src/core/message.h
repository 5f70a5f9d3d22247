// grademux: what a message is on its way through the program: handed in, answered, taken on, ended. Plain
// data that doors, admission, host and journal share; nothing here does I/O or decides.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "grademux/sender.h"

namespace grademux {

struct TakenOn {  // what a client handed in, as it goes on to the endpoint
  std::string id, message_class, order_key, idempotency_key, body;
  std::int64_t destination = 0;
  Micros give_up_at = 0;  // Unix time
  bool repeat = false;
  ClassVersion rules;  // its class as it was when it was taken on; null: before versions were kept
};

// One call: its message's id, and which of the message's attempts it is.
using CallId = std::pair<std::string, int>;

// FNV-1a, 64 bits (draft-eastlake-fnv), going on from `from`. Its values are destinations' numbers, and
// digests in journals of versions before 0.4: they stay as they are.
std::uint64_t fnv1a(const void* data, std::size_t size, std::uint64_t from = 14695981039346656037ull);

// What tells one message from another under the same id: class, destination, keys and body (XXH3, 64 bits;
// the same in each process and on each machine). Time and marks of repetition are no part of it.
std::uint64_t digestOf(const TakenOn& m);
std::uint64_t digestByFnv(const TakenOn& m);  // as versions before 0.4 made it

// Ids and idempotency keys go on as HTTP field values: printable ASCII without spaces, or nothing.
constexpr std::size_t kLongestToken = 256;                // bytes
constexpr Micros kLongestLife = 24LL * 3600 * 1'000'000;  // that a client may ask for
bool usableToken(const std::string& s);

// What a door hands in: read, not yet admitted.
struct Submission {
  TakenOn message;
  std::string partner;    // named in place of the destination, until an admission step has its number
  Micros may_last = 0;    // how long it may still be delivered, from when it was read
  const char* door = "";  // the kind of door that it came by
};

enum class Ending : std::uint8_t {
  delivered,
  handed_back,  // refused after it was taken on: handing it in anew is harmless
  given_up,     // no such promise
  withdrawn     // the endpoint said that it was over already
};
const char* nameOf(Ending e);
const char* nameOf(Result r);

struct End {
  Ending how = Ending::delivered;
  Micros at = 0;     // Unix time
  Micros pause = 0;  // handed back: come again after this; 0: none told
};

// The one answer to a submission.
struct Answer {
  enum class Kind {
    accepted,  // taken on, now or by an earlier submission of the same message
    refused,   // nothing ran: handing it in again is harmless
    rejected,  // it can't be used as it is
    conflict,  // the id is another message's
    given_up   // the module sees no way to deliver it in its time
  };
  Kind kind = Kind::accepted;
  Micros pause = 0;        // refused: come again after this; 0: none told
  std::string code, why;   // rejected: a short word for programs, and a line for people
  std::optional<End> end;  // accepted: it is over already

  static Answer accepted() { return {}; }
  static Answer refused(Micros pause) { return {Kind::refused, pause, {}, {}, {}}; }
  static Answer rejected(std::string code, std::string why) {
    return {Kind::rejected, 0, std::move(code), std::move(why), {}};
  }
};
using Reply = std::function<void(const Answer&)>;

// What is known of an id.
struct Status {
  enum class State { unknown, open, ended } state = State::unknown;
  End end;
};

// What a door hands submissions to: the core, or the admission chain in front of it. All on the loop thread.
class Intake {
 public:
  virtual ~Intake() = default;
  // `reply` is called exactly once, from within this call or later, while the loop runs. After an accepted
  // answer the message is on record and has exactly one end.
  virtual void submit(Submission s, Reply reply) = 0;
  // Only what is on record counts: a message that has ended is open until its end is written.
  virtual Status status(const std::string& id) const = 0;
  // `then` is called once, with the end of a message that is open, after the end is on record; never for one
  // that is not open, nor if the process ends first.
  virtual void whenEnded(const std::string& id, std::function<void(const End&)> then) = 0;
};

}  // namespace grademux
