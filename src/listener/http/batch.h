// One batch request: splits the body into lines as it arrives, and releases the results in the order of the
// lines. The session interprets the lines. No I/O and no clock. Loop thread only.
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
  std::size_t request_bytes = 0;  // of the line, until the engine has answered
};

class Batch {
 public:
  // A line of the request, without its line end. The text of a line that is too long is empty.
  struct Line {
    std::string text;
    bool too_long = false;
  };
  using OnLine = std::function<void(const Line&)>;

  // `response` receives the results, as chunks (RFC 9112, section 7.1). `now`: monotonic, microseconds.
  Batch(ResponseQueue::Pointer response, Micros now) : response_(std::move(response)), line_since_(now) {}

  // Adds bytes of the body. Calls `on_line` for each complete line; blank lines are skipped. Before each line
  // `may_continue` is called, and false ends the call.
  void addInput(std::string_view bytes, std::size_t max_line_bytes, Micros now, const OnLine& on_line,
                const std::function<bool()>& may_continue);
  // Called at the end of the body: the remaining bytes are the last line.
  void finishInput(const OnLine& on_line);
  // Called when the rest of the body can't be read: an incomplete line is dropped.
  void abortInput();
  bool isInputComplete() const { return input_complete_; }

  // Adds a place for the result of the next line.
  std::shared_ptr<BatchResult> appendResult();
  // The number of lines whose results have not been released.
  std::size_t openLines() const { return results_.size(); }
  // Moves complete results, in order, into the response; completes the response after the last one.
  void releaseResults();
  const ResponseQueue::Pointer& response() const { return response_; }
  // The memory of the batch without its response: the current line, and lines without a released result.
  std::size_t memoryBytes() const;

  // Whether a line has been read in part.
  bool isInLine() const { return !line_.empty() || too_long_; }
  // When the current line began or, between lines, when the last one began; restartLineTimer() replaces it.
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
