// grademux: the request MSG.PUT; see put_request.h.
#include "put_request.h"

#include <algorithm>
#include <cstdlib>

namespace grademux {

namespace {

constexpr std::size_t kMostDigits = 18;
constexpr Micros kMicrosPerMilli = 1000;

bool wholeNumber(const std::string& s, std::int64_t& out) {
  if (s.empty() || s.size() > kMostDigits || s.find_first_not_of("0123456789") != std::string::npos)
    return false;
  out = std::strtoll(s.c_str(), nullptr, 10);
  return true;
}

// "c=notice,d=8000,..."; answers what is wrong, or null.
const char* readFields(const std::string& list, Submission& put) {
  bool timed = false, addressed = false;
  for (std::size_t at = 0; at < list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    const std::string item = list.substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos)
      return "malformed list of values";
    const std::string name = item.substr(0, equals), value = item.substr(equals + 1);
    std::int64_t n = 0;
    if (name == "c") {
      put.message.message_class = value;
    } else if (name == "d") {
      if (!wholeNumber(value, n) || n > kMaxTimeToLive / kMicrosPerMilli)
        return "malformed d";
      put.time_to_live = n * kMicrosPerMilli;
      timed = true;
    } else if (name == "dest") {
      // What begins like a number is one, or wrong: partners' names don't.
      const bool named = !value.empty() && value.find_first_not_of("+-0123456789.") != std::string::npos;
      if (named)
        put.destination_name = value;
      else if (!wholeNumber(value, put.message.destination))
        return "malformed dest";
      addressed = true;
    } else if (name == "k") {
      put.message.idempotency_key = value;
    } else if (name == "r" || name == "again") {
      put.message.resubmitted = put.message.resubmitted || value == "1";
    }
  }
  if (put.message.message_class.empty())
    return "no class";
  if (!timed)
    return "no d";
  if (!addressed)
    return "no dest";
  return nullptr;
}

}  // namespace

PutRequest readPut(std::vector<std::string>& words) {
  PutRequest put;
  AcceptedMessage& message = put.submission.message;
  if (words[1].find_first_not_of('0') != std::string::npos)
    message.ordering_key = words[1];
  message.id = words[2];
  message.body = std::move(words[4]);
  put.submission.listener_kind = "resp";
  if (message.id.empty() || !isValidToken(message.id))
    put.error = "malformed id";
  else if (const char* wrong = readFields(words[3], put.submission))
    put.error = wrong;
  else if (!isValidToken(message.idempotency_key))
    put.error = "malformed k";
  return put;
}

std::string replyTo(const SubmissionResult& answer) {
  switch (answer.kind) {
    case SubmissionResult::Kind::accepted:
      return "+OK\r\n";
    case SubmissionResult::Kind::rejected:
      return answer.retry_after > 0 ? "-BUSY " + std::to_string((answer.retry_after + 999) / 1000) + "\r\n"
                                    : "-BUSY\r\n";
    case SubmissionResult::Kind::invalid:
      return "-ERR " + answer.reason + "\r\n";
    case SubmissionResult::Kind::conflict:
      return "-ERR the id is another message's\r\n";
    case SubmissionResult::Kind::failed:
      break;
  }
  return "-ERR given up\r\n";
}

}  // namespace grademux
