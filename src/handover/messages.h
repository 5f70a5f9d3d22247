// The messages that two processes of one sender exchange while one replaces the other: one JSON object per
// line over a Unix socket in the state folder. No I/O. Only messages.cpp contains the names on the wire;
// docs/design/handover.md has the order of the messages.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "../core/message.h"

namespace grademux::handover {

/// A request with another version is rejected.
constexpr std::int64_t kProtocolVersion = 1;
constexpr std::size_t kMaxLineBytes = 4 << 20;

/// From the new process: the process is ready to serve, and requests folder and journal.
struct HandoverRequest {
  std::int64_t version = kProtocolVersion;
};
/// From the new process: the journal records the process as owner. The handover can't be undone.
struct OwnershipAcquired {};
/// From the new process: cancels an attempt that is still in flight in the old process.
struct CancelInherited {
  AttemptId attempt;
};

/// From the old process: rejects the request. The new process may request again.
struct HandoverRejected {
  std::string reason;
};
/// From the old process: folder and journal are released, and the process no longer writes to them.
struct OwnershipReleased {
  bool standby = false;              // operators have put this sender into standby
  std::vector<AttemptId> in_flight;  // attempts that the old process finishes
  // The epoch of the journal in which this process owned it: the journal has all that followed from its
  // outcomes. 0: unknown; earlier program versions kept less.
  std::int64_t journal_epoch = 0;
};
/// From the old process: the outcome of one of the attempts in flight.
struct AttemptFinished {
  AttemptOutcome outcome;
};

using Message = std::variant<HandoverRequest, OwnershipAcquired, CancelInherited, HandoverRejected,
                             OwnershipReleased, AttemptFinished>;

/// Returns the message as a line with its LF.
std::string serialize(const Message& message);
/// Parses a line without its LF. Throws BadInput with a reason.
Message parseMessage(const std::string& line);

}  // namespace grademux::handover
