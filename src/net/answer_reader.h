// Incremental parser of one HTTP/1.1 response, used by HttpConnection. It decides which parts of a response
// can be trusted. No I/O.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace grademux {

// A response shows whether the request was executed only if it is complete and well-formed, or if its status
// line has status 200. Trusting a malformed 429, 503 or 410 could cause a second payment or a lost message.
// The fields of a complete head (above all Retry-After) are valid even if the body is truncated.
class AnswerReader {
 public:
  enum class State { partial, complete, malformed };
  static constexpr std::size_t kFirstLineLimit = 64;  // bytes of the status line that are kept
  using Head = boost::beast::http::response<boost::beast::http::string_body>;

  // `body_limit` is in bytes; a response with a longer body is malformed. Without `keeps_body` the bytes of a
  // body are dropped as they come, and head().body() is empty.
  explicit AnswerReader(std::size_t body_limit, bool keeps_body = true);

  // Consumes bytes from `in`. Bytes that remain after a complete response do not belong to the response.
  State parse(std::string& in);
  // Handles the end of the stream: the peer has closed the connection.
  State parseEnd();

  // Whether the status line is well-formed and has status 200, regardless of the bytes after it.
  bool hasStatus200() const;
  // Whether an interim response has come, or the bytes so far can be the beginning of a response; false for
  // other bytes, and if there are none.
  bool hasBegunResponse() const;
  // The status line of the response that is read, without its end, at most kFirstLineLimit bytes. May be
  // malformed or incomplete.
  std::string statusLine() const { return first_line_.substr(0, first_line_.find_first_of("\r\n")); }
  // Whether a response has begun that is not complete. False between an interim response (1xx) and the next
  // response.
  bool isWithinResponse() const { return parser_->got_some(); }
  // Whether the head of the final response (not 1xx) is complete.
  bool isHeadComplete() const;
  // Requires isHeadComplete().
  const Head& head() const { return parser_->get(); }
  // A digest of the part of the body that was dropped, in whatever pieces it came.
  std::uint64_t droppedBodyDigest() const { return dropped_body_digest_; }
  bool keepAlive() const { return parser_->keep_alive(); }

 private:
  void resetParser();
  void dropBody();
  bool isInterim() const { return parser_->get().result_int() / 100 == 1; }

  std::size_t body_limit_;
  bool keeps_body_;
  std::uint64_t dropped_body_digest_ = 0;
  int interim_responses_ = 0;
  std::string first_line_;  // the first bytes of the response; more than the line if the line is short
  bool is_first_line_consumed_ = false;  // by the parser
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace grademux
