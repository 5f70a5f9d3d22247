// Parses HTTP/1.1 requests (RFC 9112) from bytes as they arrive, one request at a time, with Boost.Beast.
// Checks the framing of requests only; the session interprets them. No I/O. Loop thread only.
#pragma once

#include <array>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "problem.h"
#include "request_messages.h"

namespace grademux::http_listener {

class RequestParser {
 public:
  using Head = boost::beast::http::request_header<>;

  // The result of one parse step.
  struct Step {
    std::size_t consumed = 0;  // number of bytes of the input
    std::optional<Problem>
        problem;                 // the request is invalid; apart from `consumed`, nothing else has a meaning
    bool head_complete = false;  // the head became complete in this step
    std::string_view body;       // bytes of the body, valid until the next step
    bool complete = false;       // the request is complete
  };

  // Starts to parse a request.
  void start();
  // Drops the request, whether complete or not.
  void reset() { parser_.reset(); }
  // Whether a request is being read.
  bool isActive() const { return parser_.has_value(); }
  // Whether the head of the request has been read. Meaningless before the first start().
  bool isHeadComplete() const { return head_complete_; }

  // Parses the next bytes of the request. Requires isActive().
  Step parse(std::string_view input);

  // The functions below require isActive(), and a complete head.

  // Checks the version and the framing; none if both are valid.
  std::optional<Problem> checkHead() const;
  const Head& head() const { return parser_->get(); }
  // Header fields, names in lower case.
  Fields fields() const;
  std::string_view target() const;
  bool isHttp11() const { return head().version() == 11; }
  // Whether the client waits for an interim response before it sends the body (RFC 9110, section 10.1.1).
  bool expectsContinue() const;
  // Whether the client keeps the connection open after this request.
  bool keepsAlive() const { return parser_->keep_alive(); }
  // The announced length of the body in bytes; 0 if there is none.
  std::uint64_t contentLength() const;
  // The memory of the head in bytes, about; 0 before it is complete. Also allowed without an active request.
  std::size_t headBytes() const { return isActive() && head_complete_ ? head_bytes_ : 0; }

 private:
  std::optional<Problem> countFields();

  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  std::optional<Parser> parser_;
  // Small, since each line of a batch may have a result that is longer than the line.
  std::array<char, 1024> body_buffer_{};
  bool head_complete_ = false;
  std::size_t head_bytes_ = 0;
};

}  // namespace grademux::http_listener
