// The messages that two processes of one sender exchange while one replaces the other: one JSON object a line
// over a Unix socket in the state folder. No I/O. messages.cpp alone knows the names on the wire;
// docs/design/handover.md has the order of the messages.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "../core/message.h"

namespace grademux::handover {

/// A process that asks with another version is rejected.
constexpr std::int64_t kProtocolVersion = 1;
constexpr std::size_t kMaxLineBytes = 4 << 20;

/// From the new process: it is prepared, and asks for folder and journal.
struct HandoverRequest {
  std::int64_t version = kProtocolVersion;
};
/// From the new process: the journal records it as owner; there is no way back.
struct OwnershipAcquired {};
/// From the new process: cancels an attempt that is still in flight in the old one.
struct CancelInherited {
  AttemptId attempt;
};

/// From the old process: no handover now. The new process may ask again.
struct HandoverRejected {
  std::string reason;
};
/// From the old process: folder and journal are free, and it writes nothing there any more.
struct OwnershipReleased {
  bool standby = false;              // operators have sent its clients away
  std::vector<AttemptId> in_flight;  // attempts that it finishes
};
/// From the old process: the outcome of one of the attempts in flight.
struct AttemptFinished {
  AttemptOutcome outcome;
};

using Message = std::variant<HandoverRequest, OwnershipAcquired, CancelInherited, HandoverRejected,
                             OwnershipReleased, AttemptFinished>;

/// The line of a message, with its LF.
std::string serialize(const Message& message);
/// Parses a line without its LF. Throws BadInput with a reason.
Message parseMessage(const std::string& line);

}  // namespace grademux::handover
