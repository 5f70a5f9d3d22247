// grademux: the HTTP door's messages; see messages.h.
#include "messages.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http/status.hpp>
#include <ctime>

#include "../../core/json_fields.h"

namespace grademux::http_listener {

namespace {

constexpr const char kPrefix[] = "/v1/messages/", kBatch[] = "/v1/messages:batch";
constexpr std::size_t kLongestBody = 65536;  // bytes, as the calls to endpoints have it

int hexOf(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::optional<std::string> percentDecoded(std::string_view s) {
  std::string out;
  for (std::size_t i = 0; i < s.size(); ++i) {
    if (s[i] != '%') {
      out.push_back(s[i]);
      continue;
    }
    if (i + 2 >= s.size() || hexOf(s[i + 1]) < 0 || hexOf(s[i + 2]) < 0)
      return std::nullopt;
    out.push_back(static_cast<char>(16 * hexOf(s[i + 1]) + hexOf(s[i + 2])));
    i += 2;
  }
  return out;
}

// Strict RFC 4648, section 4: the alphabet, full groups, padding at the end alone.
std::optional<std::string> base64Decoded(const std::string& s) {
  namespace base64 = boost::beast::detail::base64;
  static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  const std::size_t body = s.find_last_not_of('=') == std::string::npos ? 0 : s.find_last_not_of('=') + 1;
  if (s.size() % 4 != 0 || s.size() - body > 2 || s.find_first_not_of(alphabet) < body)
    return std::nullopt;
  std::string out(base64::decoded_size(s.size()), '\0');
  out.resize(base64::decode(out.data(), s.data(), s.size()).first);
  return out;
}

const std::string* field(const Fields& fields, const char* name) {
  for (const auto& [n, v] : fields)
    if (n == name)
      return &v;
  return nullptr;
}

Problem unusable(const std::string& detail) {
  return {400, "malformed-message", detail};
}

// What holds for a message wherever its fields stood.
std::optional<Problem> checked(const Submission& s) {
  if (!isValidToken(s.message.id) || s.message.id.empty())
    return unusable("id: 1 to 256 printable ASCII characters without spaces are expected");
  if (s.message.message_class.empty())
    return unusable("class: a name is expected");
  if (!isValidToken(s.message.idempotency_key))
    return unusable("key: at most 256 printable ASCII characters without spaces are expected");
  if (s.message.ordering_key.size() > kMaxTokenBytes)
    return unusable("order_key: at most 256 bytes are expected");
  if (s.time_to_live < 1000 || s.time_to_live > kMaxTimeToLive)
    return unusable("deadline_ms: a whole number of milliseconds from 1 to 86400000 is expected");
  if (s.message.body.size() > kLongestBody)
    return Problem{413, "body-too-long", "the message's body may have 65536 bytes"};
  return std::nullopt;
}

std::int64_t wholeIn(const json& o, const char* name) {
  const json& v = grademux::field(o, name);
  if (!v.is_number_integer() || v > 1e15)
    bad(std::string(name) + ": a whole number is expected");
  return v.get<std::int64_t>();
}

std::optional<std::int64_t> wholeNumber(const std::string& s) {
  if (s.empty() || s.size() > 15 || s.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::stoll(s);
}

std::variant<Submission, Problem> readDocument(const json& o, const std::string& id) {
  try {
    for (const auto& item : o.items()) {
      static const char* const known[] = {"id",        "class",  "destination", "deadline_ms", "key",
                                          "order_key", "repeat", "body",        "body_base64"};
      bool found = false;
      for (const char* k : known)
        found = found || item.key() == k;
      if (!found)
        return unusable("unknown field " +
                        json(item.key()).dump(-1, ' ', true, json::error_handler_t::replace));
    }
    Submission s;
    s.message.id = id;
    s.message.message_class = text(o, "class");
    const json& destination = grademux::field(o, "destination");
    const bool named = destination.is_string() && !destination.get<std::string>().empty();
    if (named && !wholeNumber(destination))
      s.destination_name = destination;
    else
      s.message.destination = wholeIn(o, "destination");
    const std::int64_t ms = wholeIn(o, "deadline_ms");
    s.time_to_live = ms > 0 && ms <= kMaxTimeToLive / 1000 ? ms * 1000 : 0;
    s.message.idempotency_key = text(o, "key", "");
    s.message.ordering_key = text(o, "order_key", "");
    s.message.resubmitted = truth(o, "repeat", false);
    if (o.contains("body") && o.contains("body_base64"))
      return unusable("body and body_base64 are both there: one is expected");
    s.message.body = text(o, "body", "");
    if (o.contains("body_base64")) {
      auto body = base64Decoded(text(o, "body_base64"));
      if (!body)
        return unusable("body_base64: base64 (RFC 4648, section 4) is expected");
      s.message.body = std::move(*body);
    }
    if (auto wrong = checked(s))
      return *wrong;
    return s;
  } catch (const BadInput& e) {
    return unusable(e.what());
  }
}

std::variant<Submission, Problem> readRaw(const std::string& id, const Fields& fields, std::string body) {
  Submission s;
  s.message.id = id;
  s.message.message_class = *field(fields, "grademux-class");
  s.message.body = std::move(body);
  const std::string* destination = field(fields, "grademux-destination");
  const auto number = destination ? wholeNumber(*destination) : std::nullopt;
  if (!destination || destination->empty())
    return unusable("Grademux-Destination: a whole number or a partner's name is expected");
  if (number)
    s.message.destination = *number;
  else
    s.destination_name = *destination;
  const std::string* deadline = field(fields, "grademux-deadline-ms");
  const auto ms = deadline ? wholeNumber(*deadline) : std::nullopt;
  s.time_to_live = ms && *ms <= kMaxTimeToLive / 1000 ? *ms * 1000 : 0;
  if (const std::string* key = field(fields, "idempotency-key"))
    s.message.idempotency_key = *key;
  if (const std::string* key = field(fields, "grademux-order-key"))
    s.message.ordering_key = *key;
  if (const std::string* repeat = field(fields, "grademux-repeat")) {
    if (*repeat != "true" && *repeat != "false")
      return unusable("Grademux-Repeat: true or false is expected");
    s.message.resubmitted = *repeat == "true";
  }
  if (auto wrong = checked(s))
    return *wrong;
  return s;
}

const char* titleOf(const std::string& code) {
  static const std::pair<const char*, const char*> titles[] = {
      {"malformed-message", "The message can't be read"},
      {"malformed-request", "The request can't be read"},
      {"unknown-resource", "There is nothing here"},
      {"unknown-message", "No such message is known"},
      {"method-not-allowed", "The method is not for this resource"},
      {"unsupported-media-type", "The type of the body is not known here"},
      {"body-too-long", "The body is too long"},
      {"header-too-long", "The header is too long"},
      {"too-slow", "The request did not come to its end in time"},
      {"unknown-class", "There is no such class"},
      {"missing-key", "The class asks for an idempotency key"},
      {"unknown-destination", "There is no such destination"},
      {"id-conflict", "The id is another message's"},
      {"given-up", "It can't be delivered in its time"},
      {"refused", "Not taken on for now"},
      {"draining", "This sender is about to end"},
      {"unsupported-encoding", "The transfer coding is not known here"},
      {"too-many-problems", "Too many requests that can't be used"}};
  for (const auto& [c, title] : titles)
    if (code == c)
      return title;
  return "The request can't be carried out";
}

std::string dumped(const json& o) {
  return o.dump(-1, ' ', false, json::error_handler_t::replace);
}

void comeBack(Response& r, json& o, Micros pause) {
  if (pause <= 0)
    return;
  const std::int64_t ms = (pause + 999) / 1000;
  o["retry_after_ms"] = ms;
  r.fields.emplace_back("Retry-After", std::to_string((ms + 999) / 1000));  // RFC 9110: whole seconds
}

Response problemWith(const Problem& p, const std::string& id, Micros pause) {
  Response r;
  r.status = p.status;
  r.type = "application/problem+json";
  json o{{"type", "urn:grademux:problem:" + p.code},
         {"title", titleOf(p.code)},
         {"status", p.status},
         {"detail", p.detail}};
  if (!id.empty())
    o["id"] = id;
  comeBack(r, o, pause);
  r.body = dumped(o);
  return r;
}

std::string dateOf(std::int64_t now) {
  static std::int64_t last = -1;
  static std::string text;
  if (now != last) {
    const auto t = static_cast<std::time_t>(now);
    std::tm parts{};
    ::gmtime_r(&t, &parts);
    char out[40];
    text.assign(out, std::strftime(out, sizeof out, "%a, %d %b %Y %H:%M:%S GMT", &parts));
    last = now;
  }
  return text;
}

std::string headOf(int status, std::int64_t now) {
  const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason.data(), reason.size());
  return out + "\r\nDate: " + dateOf(now) + "\r\n";
}

}  // namespace

std::variant<Target, Problem> readTarget(std::string_view target) {
  if (target == kBatch)
    return Target{Resource::batch, {}};
  const std::size_t prefix = sizeof kPrefix - 1;
  if (target.substr(0, prefix) != kPrefix || target.size() == prefix)
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
  if (field(fields, "grademux-class"))
    return readRaw(id, fields, std::move(body));
  const std::string* type = field(fields, "content-type");
  if (type && type->substr(0, type->find(';')) != "application/json")
    return Problem{415, "unsupported-media-type",
                   "application/json is expected, or the message's own body with its fields as headers"};
  const json o = json::parse(body, nullptr, false);
  if (!o.is_object())
    return unusable("a JSON object is expected");
  if (o.contains("id") && o["id"] != id)
    return unusable("id: another one than the target's");
  return readDocument(o, id);
}

std::variant<Submission, Problem> readLine(const std::string& line, std::string& id) {
  const json o = json::parse(line, nullptr, false);
  if (!o.is_object())
    return unusable("a JSON object is expected");
  if (!o.contains("id") || !o["id"].is_string())
    return unusable("id: a text is expected");
  id = o["id"].get<std::string>();
  return readDocument(o, id);
}

std::optional<std::int64_t> waitAsked(const std::string& prefer) {
  for (std::size_t at = 0; at < prefer.size();) {
    const std::size_t end = std::min(prefer.find_first_of(",;", at), prefer.size());
    std::string item = prefer.substr(at, end - at);
    at = end + 1;
    const auto from = item.find_first_not_of(" \t");
    if (from == std::string::npos || item.compare(from, 5, "wait=") != 0)
      continue;
    item = item.substr(from + 5);
    item.erase(item.find_last_not_of(" \t") + 1);
    return wholeNumber(item);
  }
  return std::nullopt;
}

Response endOf(const std::string& id, const FinalOutcome& e) {
  Response r;
  json o{{"id", id}, {"state", nameOf(e.status)}, {"ended_ms", e.at / 1000}};
  if (e.status == FinalStatus::returned)
    comeBack(r, o, e.retry_after);
  r.body = dumped(o);
  return r;
}

Response answerOf(const std::string& id, const SubmissionResult& a) {
  switch (a.kind) {
    case SubmissionResult::Kind::accepted: {
      if (a.final_outcome)
        return endOf(id, *a.final_outcome);
      Response r;
      r.status = 202;
      r.body = dumped({{"id", id}, {"state", "open"}});
      return r;
    }
    case SubmissionResult::Kind::rejected:
      return problemWith({429, "refused", "nothing ran: handing it in again is harmless"}, id, a.retry_after);
    case SubmissionResult::Kind::invalid:
      return problemOf({422, a.code, a.reason}, id);
    case SubmissionResult::Kind::conflict:
      return problemOf({409, "id-conflict", "a message with other content was handed in under this id"}, id);
    case SubmissionResult::Kind::failed:
      break;
  }
  return problemOf({422, "given-up", "it was not taken on; its time does not suffice"}, id);
}

Response statusOf(const std::string& id, const MessageStatus& s) {
  if (s.state == MessageStatus::State::finished)
    return endOf(id, s.outcome);
  if (s.state == MessageStatus::State::unknown)
    return problemOf({404, "unknown-message", "it was never taken on, or ended too long ago"}, id);
  Response r;
  r.body = dumped({{"id", id}, {"state", "open"}});
  return r;
}

Response problemOf(const Problem& p, const std::string& id) {
  return problemWith(p, id, 0);
}

Response draining(const std::string& id) {
  return problemWith({503, "draining", "nothing ran: hand it in elsewhere, or here again later"}, id,
                     1'000'000);
}

std::string lineOf(const std::string& id, const Response& r) {
  json o = json::parse(r.body);
  if (!id.empty())
    o["id"] = id;
  o["status"] = r.status;
  return dumped(o) + "\n";
}

std::string bytesOf(const Response& r, bool close, std::int64_t now) {
  std::string out = headOf(r.status, now);
  out += "Content-Type: " + r.type + "\r\nContent-Length: " + std::to_string(r.body.size()) + "\r\n";
  for (const auto& [name, value] : r.fields)
    out += name + ": " + value + "\r\n";
  if (close)
    out += "Connection: close\r\n";
  return out + "\r\n" + r.body;
}

std::string chunkedHead(const char* type, bool close, std::int64_t now) {
  return headOf(200, now) + "Content-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n" +
         (close ? "Connection: close\r\n" : "") + "\r\n";
}

}  // namespace grademux::http_listener
