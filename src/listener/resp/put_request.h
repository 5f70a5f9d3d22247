// The request MSG.PUT: its words to a Submission, and the result to a reply. The only place that knows the
// field letters of the protocol. No I/O.
#pragma once

#include <string>
#include <vector>

#include "../../core/message.h"
#include "../../core/result.h"

namespace grademux {

// Why a MSG.PUT can't be used, for people.
struct PutError {
  std::string reason;
};

// Reads the words of a MSG.PUT: command, ordering key, id, list of values, body. Takes the body out of
// `words`.
Result<Submission, PutError> readPut(std::vector<std::string>& words);

// The reply to a MSG.PUT, with its line end.
std::string putReply(const SubmissionResult& result);

}  // namespace grademux
