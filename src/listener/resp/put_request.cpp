// See put_request.h.
#include "put_request.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace grademux {

namespace {

constexpr std::size_t kMaxDigits = 18;
constexpr Micros kMicrosPerMilli = 1000;

// The names of the values in the list of a MSG.PUT.
constexpr char kMessageClass[] = "c";         // Message::message_class
constexpr char kDeadlineMs[] = "d";           // Submission::time_to_live, milliseconds
constexpr char kDestination[] = "dest";       // Message::destination, or Submission::destination_name
constexpr char kIdempotencyKey[] = "k";       // Message::idempotency_key
constexpr char kResubmitted[] = "r";          // Message::resubmitted
constexpr char kResubmittedLong[] = "again";  // the same

std::optional<std::int64_t> parseInteger(const std::string& text) {
  const bool digits = text.find_first_not_of("0123456789") == std::string::npos;
  if (text.empty() || text.size() > kMaxDigits || !digits)
    return std::nullopt;
  return std::strtoll(text.c_str(), nullptr, 10);
}

Result<void, PutError> readDeadline(const std::string& value, Submission& submission) {
  const auto milliseconds = parseInteger(value);
  if (!milliseconds || *milliseconds > kMaxTimeToLive / kMicrosPerMilli)
    return PutError{"malformed d"};
  submission.time_to_live = *milliseconds * kMicrosPerMilli;
  return ok();
}

// A value that consists of digits, signs and dots must be a number; any other is the name of a partner.
Result<void, PutError> readDestination(const std::string& value, Submission& submission) {
  const bool is_name = !value.empty() && value.find_first_not_of("+-0123456789.") != std::string::npos;
  if (is_name) {
    submission.destination_name = value;
    return ok();
  }
  const auto number = parseInteger(value);
  if (!number)
    return PutError{"malformed dest"};
  submission.message.destination = *number;
  return ok();
}

// Reads one value of the list; unknown names are ignored.
Result<void, PutError> readValue(const std::string& name, const std::string& value, Submission& submission) {
  AcceptedMessage& message = submission.message;
  if (name == kDeadlineMs)
    return readDeadline(value, submission);
  if (name == kDestination)
    return readDestination(value, submission);
  if (name == kMessageClass)
    message.message_class = value;
  else if (name == kIdempotencyKey)
    message.idempotency_key = value;
  else if (name == kResubmitted || name == kResubmittedLong)
    message.resubmitted = message.resubmitted || value == "1";
  return ok();
}

// Reads the list of values, such as "c=notice,d=8000,dest=7".
Result<void, PutError> readValues(const std::string& list, Submission& submission) {
  bool has_deadline = false, has_destination = false;
  for (std::size_t at = 0; at < list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    const std::string item = list.substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos)
      return PutError{"malformed list of values"};
    const std::string name = item.substr(0, equals);
    const auto read = readValue(name, item.substr(equals + 1), submission);
    if (!read.has_value())
      return read.error();
    has_deadline = has_deadline || name == kDeadlineMs;
    has_destination = has_destination || name == kDestination;
  }
  if (submission.message.message_class.empty())
    return PutError{"no class"};
  if (!has_deadline)
    return PutError{"no d"};
  if (!has_destination)
    return PutError{"no dest"};
  return ok();
}

}  // namespace

Result<Submission, PutError> readPut(std::vector<std::string>& words) {
  Submission submission;
  AcceptedMessage& message = submission.message;
  if (words[1].find_first_not_of('0') != std::string::npos)
    message.ordering_key = words[1];
  message.id = words[2];
  message.body = std::move(words[4]);
  submission.listener_kind = "resp";
  if (message.id.empty() || !isValidToken(message.id))
    return PutError{"malformed id"};
  const auto values = readValues(words[3], submission);
  if (!values.has_value())
    return values.error();
  if (!isValidToken(message.idempotency_key))
    return PutError{"malformed k"};
  return submission;
}

std::string putReply(const SubmissionResult& result) {
  switch (result.kind) {
    case SubmissionResult::Kind::accepted:
      return "+OK\r\n";
    case SubmissionResult::Kind::rejected:
      return result.retry_after > 0 ? "-BUSY " + std::to_string((result.retry_after + 999) / 1000) + "\r\n"
                                    : "-BUSY\r\n";
    case SubmissionResult::Kind::invalid:
      return "-ERR " + result.reason + "\r\n";
    case SubmissionResult::Kind::conflict:
      return "-ERR the id is another message's\r\n";
    case SubmissionResult::Kind::failed:
      break;
  }
  return "-ERR given up\r\n";
}

}  // namespace grademux
