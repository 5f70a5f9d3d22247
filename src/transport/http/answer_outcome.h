// What an endpoint's response means, by the platform protocol's table of outcomes: the only place that knows
// its status codes and header fields. No I/O and no clock.
#pragma once

#include <optional>

#include "../../net/http_connection.h"

namespace grademux {

// The result of an attempt; a status that is not in the table is an error.
AttemptResult attemptResult(const HttpAnswer& answer);
// The Retry-After of a rejection, in microseconds; 0: none. It counts also if the body broke off.
Micros retryAfterOf(const HttpAnswer& answer);
// The load report in the head; none if it is absent or any part of it is malformed.
std::optional<LimitReport> limitReportOf(const HttpAnswer& answer);

}  // namespace grademux
