// See response_messages.h.
#include "response_messages.h"

#include <boost/beast/http/status.hpp>
#include <ctime>

#include "../../core/json_fields.h"
#include "wire_names.h"

namespace grademux::http_listener {

namespace {

const char* titleOfProblem(const std::string& code) {
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
      {"overloaded", "No memory is left for requests that have not come to their end"},
      {"unknown-class", "There is no such class"},
      {"missing-key", "The class asks for an idempotency key"},
      {"unknown-destination", "There is no such destination"},
      {"id-conflict", "The id is another message's"},
      {"given-up", "It can't be delivered in its time"},
      {"refused", "Not taken on for now"},
      {"draining", "This sender is about to end"},
      {"unsupported-encoding", "The transfer coding is not known here"},
      {"too-many-problems", "Too many requests that can't be used"}};
  for (const auto& [known, title] : titles)
    if (code == known)
      return title;
  return "The request can't be carried out";
}

std::string dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Adds the time to wait to the header fields and to the document, rounded up; adds nothing if it is 0.
void addRetryAfter(Response& response, json& document, Micros retry_after) {
  if (retry_after <= 0)
    return;
  const std::int64_t milliseconds = (retry_after + 999) / 1000;
  const std::int64_t seconds = (milliseconds + 999) / 1000;  // RFC 9110, section 10.2.3: whole seconds
  document[wire::kRetryAfterMs] = milliseconds;
  response.fields.emplace_back("Retry-After", std::to_string(seconds));
}

Response retryableProblem(const Problem& problem, const std::string& id, Micros retry_after) {
  Response response;
  response.status = problem.status;
  response.type = "application/problem+json";
  json document{{"type", "urn:grademux:problem:" + problem.code},
                {"title", titleOfProblem(problem.code)},
                {wire::kStatus, problem.status},
                {"detail", problem.detail}};
  if (!id.empty())
    document[wire::kId] = id;
  addRetryAfter(response, document, retry_after);
  response.body = dump(document);
  return response;
}

std::string formatDate(std::int64_t now) {
  static std::int64_t last = -1;
  static std::string text;
  if (now != last) {
    const auto time = static_cast<std::time_t>(now);
    std::tm parts{};
    ::gmtime_r(&time, &parts);
    char out[40];
    text.assign(out, std::strftime(out, sizeof out, "%a, %d %b %Y %H:%M:%S GMT", &parts));
    last = now;
  }
  return text;
}

std::string responseHead(int status, std::int64_t now) {
  const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason.data(), reason.size());
  return out + "\r\nDate: " + formatDate(now) + "\r\n";
}

}  // namespace

Response outcomeResponse(const std::string& id, const FinalOutcome& outcome) {
  Response response;
  json document{{wire::kId, id}, {wire::kState, nameOf(outcome.status)}, {wire::kEndedMs, outcome.at / 1000}};
  if (outcome.status == FinalStatus::returned)
    addRetryAfter(response, document, outcome.retry_after);
  response.body = dump(document);
  return response;
}

Response submissionResponse(const std::string& id, const SubmissionResult& result) {
  switch (result.kind) {
    case SubmissionResult::Kind::accepted: {
      if (result.final_outcome)
        return outcomeResponse(id, *result.final_outcome);
      Response response;
      response.status = 202;
      response.body = dump({{wire::kId, id}, {wire::kState, wire::kStateOpen}});
      return response;
    }
    case SubmissionResult::Kind::rejected:
      return retryableProblem({429, "refused", "nothing ran: handing it in again is harmless"}, id,
                              result.retry_after);
    case SubmissionResult::Kind::invalid:
      return problemResponse({422, result.code, result.reason}, id);
    case SubmissionResult::Kind::conflict:
      return problemResponse({409, "id-conflict", "a message with other content was handed in under this id"},
                             id);
    case SubmissionResult::Kind::failed:
      break;
  }
  return problemResponse({422, "given-up", "it was not taken on; its time does not suffice"}, id);
}

Response statusResponse(const std::string& id, const MessageStatus& status) {
  if (status.state == MessageStatus::State::finished)
    return outcomeResponse(id, status.outcome);
  if (status.state == MessageStatus::State::unknown)
    return problemResponse({404, "unknown-message", "it was never taken on, or ended too long ago"}, id);
  Response response;
  response.body = dump({{wire::kId, id}, {wire::kState, wire::kStateOpen}});
  return response;
}

Response problemResponse(const Problem& problem, const std::string& id) {
  return retryableProblem(problem, id, 0);
}

Response drainingResponse(const std::string& id) {
  return retryableProblem({503, "draining", "nothing ran: hand it in elsewhere, or here again later"}, id,
                          1'000'000);
}

std::string batchResponseLine(const std::string& id, const Response& response) {
  json document = json::parse(response.body);
  if (!id.empty())
    document[wire::kId] = id;
  document[wire::kStatus] = response.status;
  return dump(document) + "\n";
}

std::string serializeResponse(const Response& response, bool close, std::int64_t now) {
  std::string out = responseHead(response.status, now);
  out += "Content-Type: " + response.type + "\r\nContent-Length: " + std::to_string(response.body.size()) +
         "\r\n";
  for (const auto& [name, value] : response.fields)
    out.append(name).append(": ").append(value).append("\r\n");
  if (close)
    out += "Connection: close\r\n";
  return out + "\r\n" + response.body;
}

std::string chunkedResponseHead(const char* type, bool close, std::int64_t now) {
  return responseHead(200, now) + "Content-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n" +
         (close ? "Connection: close\r\n" : "") + "\r\n";
}

}  // namespace grademux::http_listener
