// Maps an endpoint's response to an attempt outcome by the platform protocol's outcome table. Only this
// module uses the protocol's status codes and response header fields. No I/O and no clock.
#pragma once

#include <optional>

#include "../../net/http_connection.h"

namespace grademux {

// The result of an attempt; a status that is not in the table is an error.
AttemptResult attemptResult(const HttpAnswer& answer);
// The Retry-After of a rejection, in microseconds, or 0 without one. It is valid even if the body is
// truncated.
Micros retryAfterOf(const HttpAnswer& answer);
// The load report in the head; empty if the report is absent or any part of it is malformed.
std::optional<LimitReport> limitReportOf(const HttpAnswer& answer);

}  // namespace grademux
