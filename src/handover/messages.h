// grademux: what two processes of one sender say to each other while one replaces the other: one JSON object
// a line over a Unix socket in the folder that lasts. No I/O here. docs/design/handover.md has the order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "../core/message.h"

namespace grademux::handover {

constexpr std::int64_t kVersion = 1;       // of this channel; another one is refused
constexpr std::size_t kLongest = 4 << 20;  // bytes of a line

// From the process that comes:
struct Take {  // it is prepared, and asks for folder and journal
  std::int64_t version = kVersion;
};
struct Taken {};     // it owns both, which is on record: there is no way back
struct CancelCall {  // of a call that is out still
  CallId call;
};

// From the one that goes:
struct Refused {  // not now; the caller may ask again
  std::string why;
};
struct Given {  // folder and journal are free, and nothing is written there any more
  bool standby = false;
  std::vector<CallId> out;  // calls that stay with it to their end
};
struct Ended {  // one of these calls is over
  Outcome outcome;
};

using Message = std::variant<Take, Taken, CancelCall, Refused, Given, Ended>;

std::string lineOf(const Message& m);          // with its end
Message readMessage(const std::string& line);  // without its end; throws BadInput saying what is wrong

}  // namespace grademux::handover
