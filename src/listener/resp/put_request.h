// grademux: the request `MSG.PUT` of the RESP2 protocol: its words to a submission, the answer to a reply. No
// I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../../core/message.h"

namespace grademux {

// The submission that `words` (command, order key, id, list of values, body) hand in, or what is wrong with
// them, for people. Takes the body out of `words`.
struct PutRequest {
  Submission submission;
  std::optional<std::string> error;
};
PutRequest readPut(std::vector<std::string>& words);

// The reply line to a submission, with its end.
std::string replyTo(const SubmissionResult& answer);

}  // namespace grademux
