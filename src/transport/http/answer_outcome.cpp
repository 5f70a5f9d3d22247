// See answer_outcome.h.
#include "answer_outcome.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace grademux {

namespace {

constexpr Micros kMaxRetryAfter = 24LL * 3600 * 1000000;
constexpr double kMaxReportedLimit = 1e7;  // attempts a second; a larger one is malformed
constexpr std::size_t kMaxNumberLength = 32;
constexpr int kOk = 200, kGone = 410, kTooManyRequests = 429, kUnavailable = 503, kGatewayTimeout = 504;

// Header fields of the platform's protocol, in lower case.
constexpr char kRetryAfterField[] = "retry-after";
constexpr char kLoadReportField[] = "x-pressure";     // LimitReport, as "x0=...,x1=..."
constexpr char kEgressFullField[] = "x-egress-full";  // on a 503: the request was not sent on

// Parses a plain decimal number: no sign, exponent, "inf" or trailing text.
std::optional<double> parseDecimal(const std::string& text) {
  const auto dot = text.find('.');
  const bool digits = text.find_first_not_of("0123456789.") == std::string::npos && dot == text.rfind('.') &&
                      text.size() <= kMaxNumberLength &&
                      text.find_first_of("0123456789") != std::string::npos;
  if (!digits)
    return std::nullopt;
  return std::strtod(text.c_str(), nullptr);
}

}  // namespace

AttemptResult attemptResult(const HttpAnswer& answer) {
  if (answer.how == ExchangeResult::not_written)
    return AttemptResult::connect_failed;
  if (answer.how == ExchangeResult::broken)
    return AttemptResult::reset;
  if (answer.how == ExchangeResult::timed_out)
    return AttemptResult::timeout;
  switch (answer.status) {
    case kOk:
      return AttemptResult::ok;
    case kTooManyRequests:
      return AttemptResult::rejected;
    case kUnavailable:
      return answer.field(kEgressFullField) ? AttemptResult::not_sent : AttemptResult::rejected;
    case kGatewayTimeout:
    case kGone:
      return AttemptResult::not_sent;
    default:
      return AttemptResult::error;
  }
}

Micros retryAfterOf(const HttpAnswer& answer) {
  const bool is_rejection = answer.head_status == kTooManyRequests ||
                            (answer.head_status == kUnavailable && !answer.field(kEgressFullField));
  if (!is_rejection)
    return 0;
  const std::string* header = answer.field(kRetryAfterField);
  const auto seconds = header ? parseDecimal(*header) : std::nullopt;
  if (!seconds)
    return 0;
  return static_cast<Micros>(std::ceil(std::min(*seconds * 1e6, static_cast<double>(kMaxRetryAfter))));
}

// Parses "x0=0.4,x1=25". A report with a malformed part is ignored: a limit read as zero would mean no limit.
std::optional<LimitReport> limitReportOf(const HttpAnswer& answer) {
  const std::string* header = answer.field(kLoadReportField);
  if (!header)
    return std::nullopt;
  std::optional<double> left, limit;
  for (std::size_t at = 0; at <= header->size();) {
    const std::size_t end = std::min(header->find(',', at), header->size());
    const std::string item = header->substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos)
      return std::nullopt;
    std::string value = item.substr(equals + 1);
    const bool negative = value.size() > 1 && value[0] == '-';  // measurement noise around zero
    const auto number = parseDecimal(negative ? value.substr(1) : value);
    if (!number)
      return std::nullopt;
    if (item.compare(0, equals, "x0") == 0)
      left = negative ? 0 : *number;
    if (item.compare(0, equals, "x1") == 0)
      limit = negative ? 0 : *number;
  }
  if (!left || !limit || *limit > kMaxReportedLimit)
    return std::nullopt;
  return LimitReport{*left, *limit};
}

}  // namespace grademux
