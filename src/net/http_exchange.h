// The request and the result of one exchange on an HttpConnection. No I/O.
#pragma once

#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();
constexpr Micros kDefaultStallLimit = 400'000;  // microseconds

struct HttpAnswer;

struct HttpRequest {
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // Whether HttpAnswer::body is needed: if not, the body of the response is dropped as it comes.
  bool needs_response_body = true;
  // Called right before the first byte is written, once the connection is established. False: nothing is
  // written and the exchange ends as not_written. An empty function allows the write.
  std::function<bool()> is_write_allowed;
  // Time limit for writing the last byte, in microseconds from the call of exchange(). When the limit passes,
  // the exchange ends as not_written.
  Micros write_within = kNoLimit;
  // On a reused connection, a response that begins sooner than this after the last byte was written and
  // repeats an earlier response of the connection is likely a late copy of it. It is set aside until another
  // response comes, which is then the request's own; it is taken only if none has begun when the exchange
  // ends by its limit or by the end of the connection. A part of a response that begins so soon confirms
  // nothing, unless no earlier response of the connection has its status. Microseconds; 0: every response is
  // taken at once.
  Micros earliest_response = 0;
  // Called when a response is set aside, with that response; may be empty. Must not use the connection.
  std::function<void(const HttpAnswer&)> on_set_aside;
  // Time limit for the first byte of the response, in microseconds from the call of exchange().
  Micros begin_within = kNoLimit;
  // A response that has begun is read to its end as long as each next piece comes within this time, and the
  // limit of the exchange has not passed. Microseconds.
  Micros stall_limit = kDefaultStallLimit;
  // Whether the body of a response with this status is awaited; if not, the exchange ends with the complete
  // head. An empty function awaits every body.
  std::function<bool(int status)> is_body_awaited;
  // Called with the first byte of the response; may be empty. Must not use the connection.
  std::function<void()> on_response_begun;
};

// How far the response of an exchange has come. Times in microseconds.
struct ExchangeProgress {
  std::size_t bytes_received = 0;
  Micros since_start = 0;                              // since the call of exchange()
  Micros since_first_byte = -1, since_last_byte = -1;  // -1: no byte has come
};

enum class ExchangeResult {
  answered,     // a response arrived that can be trusted: see HttpAnswer::complete
  not_written,  // the connection was not made, or failed before the last byte was written
  // The connection failed after the last byte, or the response is malformed: the request may have run.
  broken,
  timed_out  // the response did not start in time
};

// The name of the result, as it appears in the log.
const char* nameOf(ExchangeResult result);

struct HttpAnswer {
  ExchangeResult how = ExchangeResult::not_written;
  int status = 0;                 // of a response that can be trusted
  bool response_started = false;  // at least one byte of the response arrived
  // The response is complete and well-formed. If false on `answered`, only the status line with 200 is valid,
  // or the head, if HttpRequest::is_body_awaited asks for no more.
  bool complete = false;
  bool reused = false;  // the request used the connection of an earlier exchange
  // The response repeats an earlier one of the same connection: it may be a late copy.
  bool repeats_earlier = false;
  bool discarded_copy = false;  // a likely late copy of an earlier response came, and was not taken
  bool was_set_aside = false;   // this response may be a late copy; no other one came
  Micros set_aside_for = 0;     // how long this response was set aside before it was taken, in microseconds
  // How long the reused connection had been idle when the last byte of the request was written, and how long
  // after that the first byte of the response arrived, in microseconds; -1: neither happened.
  Micros idle_time = -1, first_byte_delay = -1;
  ExchangeProgress progress;  // when the exchange ended
  std::string status_line;    // as received, also if malformed; at most AnswerReader::kFirstLineLimit bytes
  int head_status = 0;        // of a complete head, also if the body is truncated; 0: no complete head
  std::vector<std::pair<std::string, std::string>> fields;  // of that head, with names in lower case
  std::string body;                                         // of a complete response, if needed
  // The value of a field, whose name is given in lower case; null if the head has no such field.
  const std::string* field(const std::string& name) const;
};

// The bytes of a request to the host, with the fields that HTTP/1.1 requires.
std::string serializeRequest(HttpRequest request, const std::string& host);

}  // namespace grademux
