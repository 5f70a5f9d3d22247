// grademux: what the HTTP door's requests and answers mean: bytes of a request to a Submission or a problem,
// answers of the core to status, fields and JSON. No I/O and no sockets. Problems are those of RFC 9457.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "../../core/message.h"

namespace grademux::http_listener {

// A problem document (RFC 9457): `code` ends its type, urn:grademux:problem:CODE.
struct Problem {
  int status = 400;
  std::string code, detail;
};

// What an answer says, before it has a frame.
struct Response {
  int status = 200;
  std::string type = "application/json", body;
  std::vector<std::pair<std::string, std::string>> fields;
};

using Fields = std::vector<std::pair<std::string, std::string>>;  // names in lower case

enum class Resource { message, batch, none };
struct Target {
  Resource resource = Resource::none;
  std::string id;  // of a message, decoded
};
// "/v1/messages/ID", "/v1/messages:batch"; a query is a problem, since there is none here.
std::variant<Target, Problem> readTarget(std::string_view target);

// The body is a JSON document of the fields, or, where the header Grademux-Class is there, the message's own
// body with the fields as headers.
std::variant<Submission, Problem> readMessage(const std::string& id, const Fields& fields, std::string body);
// A line of a batch: the same document with "id" in it. `id` is set as soon as it is known.
std::variant<Submission, Problem> readLine(const std::string& line, std::string& id);

// "wait=SECONDS" among the preferences of RFC 7240; none if it isn't there or can't be read.
std::optional<std::int64_t> waitAsked(const std::string& prefer);

// An answer to a submission, as one document; `id` goes into it.
Response answerOf(const std::string& id, const SubmissionResult& a);
Response endOf(const std::string& id, const FinalOutcome& e);
Response statusOf(const std::string& id, const MessageStatus& s);
Response problemOf(const Problem& p, const std::string& id = {});
Response draining(const std::string& id = {});
// The same as one line of a batch's answer: the document with id and status in it, and its end.
std::string lineOf(const std::string& id, const Response& r);

// Head and body as bytes. `now` is Unix time in seconds, for the field Date.
std::string bytesOf(const Response& r, bool close, std::int64_t now);
// The head of an answer whose body follows in chunks.
std::string chunkedHead(const char* type, bool close, std::int64_t now);

}  // namespace grademux::http_listener
