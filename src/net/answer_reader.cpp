// See answer_reader.h.
#include "answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <string_view>

#include "../core/message.h"
#include "../core/release_buffer.h"

namespace grademux {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {
constexpr std::size_t kHeaderLimit = 16384;  // bytes
constexpr int kMaxInterimResponses = 16;     // 1xx responses before the final response
constexpr int kMaxIdleSteps = 3;  // parser calls in a row that consume nothing; then it needs more bytes
}  // namespace

AnswerReader::AnswerReader(std::size_t body_limit, bool keeps_body)
    : body_limit_(body_limit), keeps_body_(keeps_body) {
  resetParser();
}

void AnswerReader::resetParser() {
  first_line_.clear();
  is_first_line_consumed_ = false;
  parser_.emplace();
  // The parser is not eager: an eager parser (Beast of Boost 1.74) does not check Content-Length against the
  // body limit and allocates as much memory as the header declares.
  parser_->eager(false);
  parser_->body_limit(body_limit_);
  parser_->header_limit(kHeaderLimit);
  dropped_body_digest_ = fnv1a(nullptr, 0);
}

// Also gives back what the parser has reserved for a body of the announced length.
void AnswerReader::dropBody() {
  std::string& body = parser_->get().body();
  if (!body.empty())
    dropped_body_digest_ = fnv1a(body.data(), body.size(), dropped_body_digest_);
  releaseBuffer(body);
}

AnswerReader::State AnswerReader::parse(std::string& in) {
  for (int idle_steps = 0; !in.empty() && idle_steps < kMaxIdleSteps;) {
    // The parser consumes nothing of an incomplete status line: `in` then still begins with the bytes of the
    // earlier pieces.
    if (!is_first_line_consumed_)
      first_line_.assign(in, 0, kFirstLineLimit);
    error_code error;
    const std::size_t used = parser_->put(boost::asio::buffer(in), error);
    if (used > 0)
      is_first_line_consumed_ = true;
    in.erase(0, used);
    if (!keeps_body_)
      dropBody();
    if (error == http::error::need_more)
      return in.size() > kHeaderLimit ? State::malformed : State::partial;
    if (error)
      return State::malformed;
    if (parser_->is_done()) {
      if (!isInterim())
        return State::complete;
      if (++interim_responses_ > kMaxInterimResponses)
        return State::malformed;
      resetParser();
    }
    idle_steps = used == 0 ? idle_steps + 1 : 0;
  }
  return State::partial;
}

AnswerReader::State AnswerReader::parseEnd() {
  if (!parser_->got_some() || !parser_->is_header_done())
    return State::malformed;
  error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done() && !isInterim() ? State::complete : State::malformed;
}

bool AnswerReader::hasStatus200() const {
  const std::string& line = first_line_;
  return line.size() > 12 && line.compare(0, 7, "HTTP/1.") == 0 && line[7] >= '0' && line[7] <= '9' &&
         line.compare(8, 4, " 200") == 0 && (line[12] == ' ' || line[12] == '\r' || line[12] == '\n');
}

bool AnswerReader::hasBegunResponse() const {
  constexpr std::string_view kVersionPrefix = "HTTP/1.";
  const std::string_view begun = std::string_view(first_line_).substr(0, kVersionPrefix.size());
  return interim_responses_ > 0 || (!begun.empty() && begun == kVersionPrefix.substr(0, begun.size()));
}

bool AnswerReader::isHeadComplete() const {
  return parser_->is_header_done() && !isInterim();
}

}  // namespace grademux
