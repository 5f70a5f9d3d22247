// Parses HTTP/1.1 requests (RFC 9112) from bytes as they arrive, one request at a time, on Boost.Beast.
// Checks how requests are framed; what they ask for is none of its business. No I/O. Loop thread only.
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

  // What one step has found.
  struct Step {
    std::size_t consumed = 0;        // bytes of the input
    std::optional<Problem> problem;  // the request can't be read; nothing else is set
    bool head_complete = false;      // the head came to its end in this step
    std::string_view body;           // bytes of the body, valid until the next step
    bool complete = false;           // the request came to its end
  };

  // Starts a request.
  void start();
  // Ends it, whether complete or not.
  void reset() { parser_.reset(); }
  // A request is being read.
  bool isActive() const { return parser_.has_value(); }
  // Its head has been read. Meaningless when no request has been started.
  bool isHeadComplete() const { return head_complete_; }

  // Reads on. Requires isActive().
  Step parse(std::string_view input);

  // The functions below require isActive(), and a complete head.

  // What is wrong with version and framing; none: nothing.
  std::optional<Problem> checkHead() const;
  const Head& head() const { return parser_->get(); }
  // Header fields, names in lower case.
  Fields fields() const;
  std::string_view target() const;
  bool isHttp11() const { return head().version() == 11; }
  // The client waits for an interim response before it sends the body (RFC 9110, section 10.1.1).
  bool expectsContinue() const;
  // The client keeps the connection open after this request.
  bool keepsAlive() const { return parser_->keep_alive(); }
  // The announced length of the body in bytes; 0 if there is none.
  std::uint64_t contentLength() const;

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  std::optional<Parser> parser_;
  std::array<char, 4096> body_buffer_{};
  bool head_complete_ = false;
};

}  // namespace grademux::http_listener
