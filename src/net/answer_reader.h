// grademux: reads one HTTP/1.1 answer from bytes as they arrive, and decides how far it can be trusted. No
// I/O.
#pragma once

#include <boost/beast/http.hpp>
#include <optional>
#include <string>

namespace grademux {

// An answer is whole and sound, or its first line says 200, or it says nothing of whether the request ran.
// Guards against a spoilt 429, 503 or 410 that is believed: a second payment or a lost message. What a
// complete head tells (a time to wait above all) counts even if the body breaks off.
class AnswerReader {
 public:
  enum class State { partial, whole, spoilt };
  using Head = boost::beast::http::response<boost::beast::http::string_body>;

  // `body_limit`: in bytes; a longer body spoils the answer.
  explicit AnswerReader(std::size_t body_limit);

  // Consumes `in`. What is left of it when the answer is whole was not part of the answer.
  State take(std::string& in);
  // The other side has ended the connection.
  State end();

  // The first line is readable and says 200, whatever comes after it.
  bool says200() const;
  // The head of the answer proper (no 1xx) has been read to its end.
  bool headDone() const;
  // Requires headDone().
  const Head& head() const { return parser_->get(); }
  bool keepAlive() const { return parser_->keep_alive(); }

 private:
  void begin();
  bool isInterim() const { return parser_->get().result_int() / 100 == 1; }

  std::size_t body_limit_;
  int interim_answers_ = 0;
  std::string first_line_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace grademux
