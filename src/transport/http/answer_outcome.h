// grademux: what an endpoint's answer says, by the platform protocol's table of outcomes. No I/O and no
// clock.
#pragma once

#include <optional>

#include "../../net/http_connection.h"

namespace grademux {

// What is not in the table was at least answered: an error.
AttemptResult resultOf(const HttpAnswer& answer);
// The time to wait that a refusal tells, in microseconds; 0: none. It counts also if the body broke off,
// since the other side has said it.
Micros waitOf(const HttpAnswer& answer);
// The report of load of the head, if there is one that can be read throughout.
std::optional<LimitReport> reportOf(const HttpAnswer& answer);

}  // namespace grademux
