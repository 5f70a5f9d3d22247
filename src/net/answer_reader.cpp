// grademux: reading of HTTP answers; see answer_reader.h.
#include "answer_reader.h"

#include <boost/asio/buffer.hpp>

namespace grademux {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {
constexpr std::size_t kHeaderLimit = 16384;  // bytes
constexpr std::size_t kFirstLineKept = 64;   // bytes in which the status is looked for
constexpr int kMostInterimAnswers = 16;      // 1xx ahead of the answer
constexpr int kMostIdleSteps = 3;            // of the parser, which then needs more bytes
}  // namespace

AnswerReader::AnswerReader(std::size_t body_limit) : body_limit_(body_limit) {
  begin();
}

void AnswerReader::begin() {
  first_line_.clear();
  parser_.emplace();
  // Step by step: an eager parser (Beast of Boost 1.74) overlooks that a length is over the limit, and takes
  // as much memory as it says.
  parser_->eager(false);
  parser_->body_limit(body_limit_);
  parser_->header_limit(kHeaderLimit);
}

AnswerReader::State AnswerReader::take(std::string& in) {
  for (int idle_steps = 0; !in.empty() && idle_steps < kMostIdleSteps;) {
    if (first_line_.size() < kFirstLineKept)
      first_line_.append(in, 0, kFirstLineKept - first_line_.size());
    error_code error;
    const std::size_t used = parser_->put(boost::asio::buffer(in), error);
    in.erase(0, used);
    if (error == http::error::need_more)
      return in.size() > kHeaderLimit ? State::spoilt : State::partial;
    if (error)
      return State::spoilt;
    if (parser_->is_done()) {
      if (!isInterim())
        return State::whole;
      if (++interim_answers_ > kMostInterimAnswers)
        return State::spoilt;
      begin();
    }
    idle_steps = used == 0 ? idle_steps + 1 : 0;
  }
  return State::partial;
}

AnswerReader::State AnswerReader::end() {
  if (!parser_->got_some() || !parser_->is_header_done())
    return State::spoilt;
  error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done() && !isInterim() ? State::whole : State::spoilt;
}

bool AnswerReader::says200() const {
  const std::string& line = first_line_;
  return line.size() > 12 && line.compare(0, 7, "HTTP/1.") == 0 && line[7] >= '0' && line[7] <= '9' &&
         line.compare(8, 4, " 200") == 0 && (line[12] == ' ' || line[12] == '\r' || line[12] == '\n');
}

bool AnswerReader::headDone() const {
  return parser_->is_header_done() && !isInterim();
}

}  // namespace grademux
