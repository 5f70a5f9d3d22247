// grademux: what two processes of one sender say to each other while one replaces the other: one JSON object
// a line over a Unix socket in the folder that lasts. No I/O here. docs/design/handover.md has the order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "../core/message.h"

namespace grademux::handover {

constexpr std::int64_t kProtocolVersion = 1;    // of this channel; another one is refused
constexpr std::size_t kMaxLineBytes = 4 << 20;  // bytes of a line

// From the process that comes:
struct HandoverRequest {  // it is prepared, and asks for folder and journal
  std::int64_t version = kProtocolVersion;
};
struct OwnershipAcquired {};  // it owns both, which is on record: there is no way back
struct CancelInherited {      // of a call that is out still
  AttemptId attempt;
};

// From the one that goes:
struct HandoverRejected {  // not now; the caller may ask again
  std::string reason;
};
struct OwnershipReleased {  // folder and journal are free, and nothing is written there any more
  bool standby = false;
  std::vector<AttemptId> in_flight;  // calls that stay with it to their end
};
struct AttemptFinished {  // one of these calls is over
  AttemptOutcome outcome;
};

using Message = std::variant<HandoverRequest, OwnershipAcquired, CancelInherited, HandoverRejected,
                             OwnershipReleased, AttemptFinished>;

std::string serialize(const Message& m);        // with its end
Message parseMessage(const std::string& line);  // without its end; throws BadInput saying what is wrong

}  // namespace grademux::handover
