// Converts requests of the HTTP listener (target, header fields and JSON) to a Submission, or to a Problem if
// a request is invalid. No I/O; any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "../../core/message.h"
#include "problem.h"

namespace grademux::http_listener {

// Header fields; names in lower case.
using Fields = std::vector<std::pair<std::string, std::string>>;

enum class Resource { message, batch, none };
struct Target {
  Resource resource = Resource::none;
  std::string id;  // id of the message, percent-decoded
};
// Reads "/v1/messages/ID" and "/v1/messages:batch". A target with a query is a problem: no resource has one.
std::variant<Target, Problem> readTarget(std::string_view target);

// Reads one message. The body is a JSON document of the fields or, where the header Grademux-Class is
// present, the message's own body with the fields as headers.
std::variant<Submission, Problem> readMessage(const std::string& id, const Fields& fields, std::string body);

// Reads a line of a batch: the document of readMessage() with an additional field "id". `id` is set as soon
// as that field has been read, also if the line is invalid.
std::variant<Submission, Problem> readBatchLine(const std::string& line, std::string& id);

// The seconds of "wait=SECONDS" among the preferences (RFC 7240); none if the preference is absent or
// malformed.
std::optional<std::int64_t> preferredWaitSeconds(const std::string& prefer);

}  // namespace grademux::http_listener
