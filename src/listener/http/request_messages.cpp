// See request_messages.h.
#include "request_messages.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <set>

#include "../../core/json_fields.h"
#include "wire_names.h"

namespace grademux::http_listener {

namespace {

constexpr std::size_t kMaxBodyBytes = 65536;  // the limit of requests to endpoints, too
constexpr double kMaxInteger = 1e15;
constexpr std::size_t kMaxIntegerDigits = 15;

// The value of a hexadecimal digit; -1 for any other character.
int hexDigit(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
}

std::optional<std::string> percentDecoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size() || hexDigit(text[i + 1]) < 0 || hexDigit(text[i + 2]) < 0)
      return std::nullopt;
    out.push_back(static_cast<char>(16 * hexDigit(text[i + 1]) + hexDigit(text[i + 2])));
    i += 2;
  }
  return out;
}

// Decodes strictly as of RFC 4648, section 4: only the alphabet, full groups, padding only at the end.
std::optional<std::string> base64Decoded(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  const std::size_t last = text.find_last_not_of('=');
  const std::size_t body = last == std::string::npos ? 0 : last + 1;
  if (text.size() % 4 != 0 || text.size() - body > 2 || text.find_first_not_of(alphabet) < body)
    return std::nullopt;
  std::string out(base64::decoded_size(text.size()), '\0');
  out.resize(base64::decode(out.data(), text.data(), text.size()).first);
  return out;
}

// The value of the first field of that name; null if there is none.
const std::string* headerField(const Fields& fields, const char* name) {
  for (const auto& [known, value] : fields)
    if (known == name)
      return &value;
  return nullptr;
}

Problem malformedMessage(const std::string& detail) {
  return {400, "malformed-message", detail};
}

// The checks that apply to documents and to header fields alike.
std::optional<Problem> checkSubmission(const Submission& submission) {
  if (!isValidToken(submission.message.id) || submission.message.id.empty())
    return malformedMessage("id: 1 to 256 printable ASCII characters without spaces are expected");
  if (submission.message.message_class.empty())
    return malformedMessage("class: a name is expected");
  if (!isValidToken(submission.message.idempotency_key))
    return malformedMessage("key: at most 256 printable ASCII characters without spaces are expected");
  if (submission.message.ordering_key.size() > kMaxTokenBytes)
    return malformedMessage("order_key: at most 256 bytes are expected");
  if (submission.time_to_live < 1000 || submission.time_to_live > kMaxTimeToLive)
    return malformedMessage("deadline_ms: a whole number of milliseconds from 1 to 86400000 is expected");
  if (submission.message.body.size() > kMaxBodyBytes)
    return Problem{413, "body-too-long", "the message's body may have 65536 bytes"};
  return std::nullopt;
}

std::int64_t integerField(const json& document, const char* name) {
  const json& value = grademux::field(document, name);
  if (!value.is_number_integer() || value > kMaxInteger)
    bad(std::string(name) + ": a whole number is expected");
  return value.get<std::int64_t>();
}

std::optional<std::int64_t> parseInteger(const std::string& text) {
  const bool digits = text.find_first_not_of("0123456789") == std::string::npos;
  if (text.empty() || text.size() > kMaxIntegerDigits || !digits)
    return std::nullopt;
  return std::stoll(text);
}

// The time to live of `milliseconds`, in microseconds; 0, which checkSubmission() rejects, if out of range.
Micros timeToLive(std::int64_t milliseconds) {
  return milliseconds > 0 && milliseconds <= kMaxTimeToLive / 1000 ? milliseconds * 1000 : 0;
}

// The name of the first field that a message document doesn't define; none if all are defined.
std::optional<std::string> unknownField(const json& document) {
  static const std::set<std::string> known = {wire::kId,          wire::kMessageClass,   wire::kDestination,
                                              wire::kDeadlineMs,  wire::kIdempotencyKey, wire::kOrderingKey,
                                              wire::kResubmitted, wire::kBody,           wire::kBodyBase64};
  for (const auto& item : document.items())
    if (known.count(item.key()) == 0)
      return item.key();
  return std::nullopt;
}

std::optional<Problem> readBody(const json& document, std::string& body) {
  if (document.contains(wire::kBody) && document.contains(wire::kBodyBase64))
    return malformedMessage("body and body_base64 are both there: one is expected");
  body = text(document, wire::kBody, "");
  if (!document.contains(wire::kBodyBase64))
    return std::nullopt;
  auto decoded = base64Decoded(text(document, wire::kBodyBase64));
  if (!decoded)
    return malformedMessage("body_base64: base64 (RFC 4648, section 4) is expected");
  body = std::move(*decoded);
  return std::nullopt;
}

// Throws BadInput for a field that is missing or of another type.
std::variant<Submission, Problem> readFields(const json& document, const std::string& id) {
  if (const auto unknown = unknownField(document))
    return malformedMessage("unknown field " +
                            json(*unknown).dump(-1, ' ', true, json::error_handler_t::replace));
  Submission submission;
  submission.message.id = id;
  submission.message.message_class = text(document, wire::kMessageClass);
  const json& destination = grademux::field(document, wire::kDestination);
  const bool named = destination.is_string() && !destination.get<std::string>().empty();
  if (named && !parseInteger(destination))
    submission.destination_name = destination;
  else
    submission.message.destination = integerField(document, wire::kDestination);
  submission.time_to_live = timeToLive(integerField(document, wire::kDeadlineMs));
  submission.message.idempotency_key = text(document, wire::kIdempotencyKey, "");
  submission.message.ordering_key = text(document, wire::kOrderingKey, "");
  submission.message.resubmitted = truth(document, wire::kResubmitted, false);
  if (const auto problem = readBody(document, submission.message.body))
    return *problem;
  if (const auto problem = checkSubmission(submission))
    return *problem;
  return submission;
}

std::variant<Submission, Problem> readDocument(const json& document, const std::string& id) {
  try {
    return readFields(document, id);
  } catch (const BadInput& error) {
    return malformedMessage(error.what());
  }
}

std::variant<Submission, Problem> readHeaderMessage(const std::string& id, const Fields& fields,
                                                    std::string body) {
  Submission submission;
  submission.message.id = id;
  submission.message.message_class = *headerField(fields, wire::kMessageClassHeader);
  submission.message.body = std::move(body);
  const std::string* destination = headerField(fields, wire::kDestinationHeader);
  const auto number = destination ? parseInteger(*destination) : std::nullopt;
  if (!destination || destination->empty())
    return malformedMessage("Grademux-Destination: a whole number or a partner's name is expected");
  if (number)
    submission.message.destination = *number;
  else
    submission.destination_name = *destination;
  const std::string* deadline = headerField(fields, wire::kDeadlineHeader);
  const auto milliseconds = deadline ? parseInteger(*deadline) : std::nullopt;
  submission.time_to_live = timeToLive(milliseconds.value_or(0));
  if (const std::string* key = headerField(fields, wire::kIdempotencyKeyHeader))
    submission.message.idempotency_key = *key;
  if (const std::string* key = headerField(fields, wire::kOrderingKeyHeader))
    submission.message.ordering_key = *key;
  if (const std::string* resubmitted = headerField(fields, wire::kResubmittedHeader)) {
    if (*resubmitted != "true" && *resubmitted != "false")
      return malformedMessage("Grademux-Repeat: true or false is expected");
    submission.message.resubmitted = *resubmitted == "true";
  }
  if (const auto problem = checkSubmission(submission))
    return *problem;
  return submission;
}

}  // namespace

std::variant<Target, Problem> readTarget(std::string_view target) {
  if (target == wire::kBatchTarget)
    return Target{Resource::batch, {}};
  const std::size_t prefix = sizeof wire::kMessagePrefix - 1;
  if (target.substr(0, prefix) != wire::kMessagePrefix || target.size() == prefix)
    return Problem{404, "unknown-resource", "/v1/messages/ID and /v1/messages:batch are known"};
  if (target.find('?') != std::string_view::npos)
    return Problem{400, "malformed-request", "this resource has no query"};
  const auto id = percentDecoded(target.substr(prefix));
  if (!id || !isValidToken(*id))
    return Problem{400, "malformed-request",
                   "id: 1 to 256 printable ASCII characters without spaces are expected"};
  return Target{Resource::message, *id};
}

std::variant<Submission, Problem> readMessage(const std::string& id, const Fields& fields, std::string body) {
  if (headerField(fields, wire::kMessageClassHeader))
    return readHeaderMessage(id, fields, std::move(body));
  const std::string* type = headerField(fields, wire::kContentTypeHeader);
  if (type && type->substr(0, type->find(';')) != "application/json")
    return Problem{415, "unsupported-media-type",
                   "application/json is expected, or the message's own body with its fields as headers"};
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object())
    return malformedMessage("a JSON object is expected");
  if (document.contains(wire::kId) && document[wire::kId] != id)
    return malformedMessage("id: another one than the target's");
  return readDocument(document, id);
}

std::variant<Submission, Problem> readBatchLine(const std::string& line, std::string& id) {
  const json document = json::parse(line, nullptr, false);
  if (!document.is_object())
    return malformedMessage("a JSON object is expected");
  if (!document.contains(wire::kId) || !document[wire::kId].is_string())
    return malformedMessage("id: a text is expected");
  id = document[wire::kId].get<std::string>();
  return readDocument(document, id);
}

std::optional<std::int64_t> preferredWaitSeconds(const std::string& prefer) {
  for (std::size_t at = 0; at < prefer.size();) {
    const std::size_t end = std::min(prefer.find_first_of(",;", at), prefer.size());
    std::string item = prefer.substr(at, end - at);
    at = end + 1;
    const auto from = item.find_first_not_of(" \t");
    if (from == std::string::npos || item.compare(from, 5, "wait=") != 0)
      continue;
    item = item.substr(from + 5);
    item.erase(item.find_last_not_of(" \t") + 1);
    return parseInteger(item);
  }
  return std::nullopt;
}

}  // namespace grademux::http_listener
