// The names of the HTTP listener's protocol on the wire: JSON fields, header fields (in lower case) and
// resources. They are defined only here; docs/openapi.yaml is the published description.
#pragma once

namespace grademux::http_listener::wire {

// Resources.
constexpr char kMessagePrefix[] = "/v1/messages/";
constexpr char kBatchTarget[] = "/v1/messages:batch";

// JSON fields of a submitted message; the comment names the member that receives the value.
constexpr char kId[] = "id";                    // Message::id
constexpr char kMessageClass[] = "class";       // Message::message_class
constexpr char kDestination[] = "destination";  // Message::destination, or Submission::destination_name
constexpr char kDeadlineMs[] = "deadline_ms";   // Submission::time_to_live
constexpr char kIdempotencyKey[] = "key";       // Message::idempotency_key
constexpr char kOrderingKey[] = "order_key";    // Message::ordering_key
constexpr char kResubmitted[] = "repeat";       // Message::resubmitted
constexpr char kBody[] = "body";                // Message::body, as text
constexpr char kBodyBase64[] = "body_base64";   // Message::body, encoded

// Header fields of a message whose body is the request's body.
constexpr char kMessageClassHeader[] = "grademux-class";
constexpr char kDestinationHeader[] = "grademux-destination";
constexpr char kDeadlineHeader[] = "grademux-deadline-ms";
constexpr char kIdempotencyKeyHeader[] = "idempotency-key";
constexpr char kOrderingKeyHeader[] = "grademux-order-key";
constexpr char kResubmittedHeader[] = "grademux-repeat";
constexpr char kContentTypeHeader[] = "content-type";

// JSON fields of responses.
constexpr char kState[] = "state";  // nameOf(FinalStatus), or kStateOpen
constexpr char kStateOpen[] = "open";
constexpr char kEndedMs[] = "ended_ms";             // FinalOutcome::at
constexpr char kRetryAfterMs[] = "retry_after_ms";  // FinalOutcome::retry_after
constexpr char kStatus[] = "status";                // HTTP status of a problem or of a batch line

}  // namespace grademux::http_listener::wire
