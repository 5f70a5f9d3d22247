// Converts the words of a MSG.PUT request to a Submission, and the submission's result to a reply. The names
// of the protocol's values are defined only in this module. No I/O.
#pragma once

#include <string>
#include <vector>

#include "../../core/message.h"
#include "../../core/result.h"

namespace grademux {

// The reason for which a MSG.PUT is invalid; human-readable.
struct PutError {
  std::string reason;
};

// Reads the words of a MSG.PUT: command, ordering key, id, list of values, body. Moves the body out of
// `words`.
Result<Submission, PutError> readPut(std::vector<std::string>& words);

// The reply to a MSG.PUT, including the line end.
std::string putReply(const SubmissionResult& result);

}  // namespace grademux
