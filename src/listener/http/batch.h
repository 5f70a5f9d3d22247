// One batch request: splits its body into lines as it arrives, and releases the results of lines in their
// order. What a line means is up to the session. No I/O and no clock. Loop thread only.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "response_queue.h"

namespace grademux::http_listener {

// The result of one line.
struct BatchResult {
  std::string text;  // one line of the response
  bool complete = false;
};

class Batch {
 public:
  // A line of the request, without its end. Too long ones come without their text.
  struct Line {
    std::string text;
    bool too_long = false;
  };
  using OnLine = std::function<void(const Line&)>;

  // `response`: where results go, in chunks (RFC 9112, section 7.1). `now`: monotonic, microseconds.
  Batch(ResponseQueue::Pointer response, Micros now) : response_(std::move(response)), line_since_(now) {}

  // Takes bytes of the body. `on_line` is called for each line that came to its end; lines without content
  // are skipped. `may_go_on` is asked before each line.
  void take(std::string_view bytes, std::size_t max_line_bytes, Micros now, const OnLine& on_line,
            const std::function<bool()>& may_go_on);
  // The body came to its end: what is left is the last line.
  void finishInput(const OnLine& on_line);
  // The body can't be read on: what has come of a line is dropped.
  void abortInput();
  bool isInputComplete() const { return input_complete_; }

  // The place of the next line's result.
  std::shared_ptr<BatchResult> appendResult();
  // Lines without a complete result.
  std::size_t openLines() const { return results_.size(); }
  // Moves complete results, in order, into the response; completes it after the last.
  void releaseResults();
  const ResponseQueue::Pointer& response() const { return response_; }

  // A line has begun and not ended.
  bool isInLine() const { return !line_.empty() || too_long_; }
  // When the current line began, or the last one ended.
  Micros lineSince() const { return line_since_; }
  void restartLineTimer(Micros now) { line_since_ = now; }

 private:
  void endLine(const OnLine& on_line);

  ResponseQueue::Pointer response_;
  std::deque<std::shared_ptr<BatchResult>> results_;
  std::string line_;
  bool too_long_ = false;  // the rest of the current line is skipped
  bool input_complete_ = false;
  Micros line_since_;
};

}  // namespace grademux::http_listener
