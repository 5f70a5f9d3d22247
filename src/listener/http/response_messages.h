// Converts results of the engine and problems to HTTP responses (status, header fields, JSON), and serializes
// responses. No I/O; loop thread only (the formatted date is cached).
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "../../core/message.h"
#include "problem.h"

namespace grademux::http_listener {

// A response before it is framed.
struct Response {
  int status = 200;
  std::string type = "application/json", body;
  std::vector<std::pair<std::string, std::string>> fields;
};

// The result of a submission, as a JSON document that contains `id`.
Response submissionResponse(const std::string& id, const SubmissionResult& result);
// The final outcome of a message.
Response outcomeResponse(const std::string& id, const FinalOutcome& outcome);
// The state of a message; a 404 problem for an unknown message.
Response statusResponse(const std::string& id, const MessageStatus& status);
// A problem document; an empty `id` is left out.
Response problemResponse(const Problem& problem, const std::string& id = {});
// 503: this process accepts no more submissions.
Response drainingResponse(const std::string& id = {});
// A response as one line of a batch's response, with its line end: the document with its id and status added.
std::string batchResponseLine(const std::string& id, const Response& response);

// Serializes head and body. `close` announces the end of the connection; `now`: Unix time in seconds, for
// Date.
std::string serializeResponse(const Response& response, bool close, std::int64_t now);
// The head of a response whose body follows in chunks.
std::string chunkedResponseHead(const char* type, bool close, std::int64_t now);

}  // namespace grademux::http_listener
