// The responses of one HTTP connection, in the order of its requests: a later one that is ready waits for the
// earlier ones. No I/O. Loop thread only.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "grademux/sender.h"
#include "response_messages.h"

namespace grademux::http_listener {

// The response to one request.
struct PendingResponse {
  std::string bytes;                   // may be written once this response is the first
  std::function<Response()> deferred;  // makes the response when it is the first: it sees what came before
  bool complete = false;               // nothing follows `bytes`
  bool closes_connection = false;      // the connection ends after it
  // A request that waits for the final outcome of a message: until when (monotonic, microseconds), and which.
  Micros wait_until = 0;
  std::string message_id;
};

class ResponseQueue {
 public:
  using Pointer = std::shared_ptr<PendingResponse>;
  // Completes a response that was deferred.
  using Render = std::function<void(const Pointer&, const Response&)>;

  // What may be written now.
  struct Ready {
    std::string bytes;
    std::size_t completed = 0;       // responses of which the last byte is in `bytes`
    bool closes_connection = false;  // the last of them ends the connection
  };

  // The response to a request that was read just now.
  Pointer append();
  bool empty() const { return responses_.empty(); }
  std::size_t size() const { return responses_.size(); }
  // Bytes that are held back.
  std::size_t heldBytes() const;
  bool isLast(const Pointer& response) const { return response == responses_.back(); }
  const Pointer& last() const { return responses_.back(); }
  // No request follows: the connection ends after the response that is the last now.
  void closeAfterLast();
  // Takes what may be written now.
  Ready takeReady(const Render& render);
  void clear() { responses_.clear(); }

 private:
  std::deque<Pointer> responses_;
};

}  // namespace grademux::http_listener
