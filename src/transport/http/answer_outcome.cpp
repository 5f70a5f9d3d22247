// grademux: outcomes of answers; see answer_outcome.h.
#include "answer_outcome.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace grademux {

namespace {

constexpr Micros kLongestWait = 24LL * 3600 * 1000000;
constexpr double kMostLimit = 1e7;  // calls a second; more is no sane report
constexpr std::size_t kLongestNumber = 32;
constexpr int kOk = 200, kGone = 410, kTooManyRequests = 429, kUnavailable = 503, kGatewayTimeout = 504;

// A plain decimal number and nothing else: no sign, exponent, "inf" or rest. Guards against a field that
// can't be read and is taken for a number by its beginning.
std::optional<double> numberIn(const std::string& s) {
  const auto dot = s.find('.');
  const bool digits = s.find_first_not_of("0123456789.") == std::string::npos && dot == s.rfind('.') &&
                      s.size() <= kLongestNumber && s.find_first_of("0123456789") != std::string::npos;
  if (!digits)
    return std::nullopt;
  return std::strtod(s.c_str(), nullptr);
}

}  // namespace

AttemptResult resultOf(const HttpAnswer& answer) {
  if (answer.how == Exchanged::not_written)
    return AttemptResult::connect_failed;
  if (answer.how == Exchanged::broken)
    return AttemptResult::reset;
  if (answer.how == Exchanged::timed_out)
    return AttemptResult::timeout;
  switch (answer.status) {
    case kOk:
      return AttemptResult::ok;
    case kTooManyRequests:
      return AttemptResult::rejected;
    case kUnavailable:
      return answer.field("x-egress-full") ? AttemptResult::not_sent : AttemptResult::rejected;
    case kGatewayTimeout:
    case kGone:
      return AttemptResult::not_sent;
    default:
      return AttemptResult::error;
  }
}

Micros waitOf(const HttpAnswer& answer) {
  const bool refusal = answer.head_status == kTooManyRequests ||
                       (answer.head_status == kUnavailable && !answer.field("x-egress-full"));
  if (!refusal)
    return 0;
  const std::string* told = answer.field("retry-after");
  const auto seconds = told ? numberIn(*told) : std::nullopt;
  if (!seconds)
    return 0;
  return static_cast<Micros>(std::ceil(std::min(*seconds * 1e6, static_cast<double>(kLongestWait))));
}

// "x0=0.4,x1=25"; one that can't be read throughout is no report: zeros would say that there is no limit.
std::optional<LimitReport> reportOf(const HttpAnswer& answer) {
  const std::string* told = answer.field("x-pressure");
  if (!told)
    return std::nullopt;
  std::optional<double> left, limit;
  for (std::size_t at = 0; at <= told->size();) {
    const std::size_t end = std::min(told->find(',', at), told->size());
    const std::string item = told->substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos)
      return std::nullopt;
    std::string value = item.substr(equals + 1);
    const bool negative = value.size() > 1 && value[0] == '-';  // noise around nothing left
    const auto v = numberIn(negative ? value.substr(1) : value);
    if (!v)
      return std::nullopt;
    if (item.compare(0, equals, "x0") == 0)
      left = negative ? 0 : *v;
    if (item.compare(0, equals, "x1") == 0)
      limit = negative ? 0 : *v;
  }
  if (!left || !limit || *limit > kMostLimit)
    return std::nullopt;
  return LimitReport{*left, *limit};
}

}  // namespace grademux
