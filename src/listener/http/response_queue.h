// The responses of one HTTP connection, in the order of its requests: a response that is ready waits until
// the earlier ones are complete. No I/O. Loop thread only.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "../../core/message.h"
#include "response_messages.h"

namespace grademux::http_listener {

// The response to one request.
struct PendingResponse {
  std::string bytes;  // to be written once this response is first in the queue
  // Makes the response once it is first in the queue, so that the response reflects the earlier requests.
  std::function<Response()> deferred;
  bool complete = false;           // no more bytes follow
  bool closes_connection = false;  // the connection is closed after this response
  // Of a request that waits for a final outcome: the end of the wait (monotonic, microseconds) and the id of
  // the message.
  Micros wait_until = 0;
  std::string message_id;
  OutcomeSubscription outcome_subscription;
  std::size_t request_bytes = 0;  // of the request that the engine has not answered
};

class ResponseQueue {
 public:
  using Pointer = std::shared_ptr<PendingResponse>;
  // Completes a deferred response.
  using Render = std::function<void(const Pointer&, const Response&)>;

  // The bytes that can be written now.
  struct Ready {
    std::string bytes;
    std::size_t completed = 0;       // number of responses whose last byte is in `bytes`
    bool closes_connection = false;  // the connection is closed after the last of them
  };

  // Adds the pending response to the newest request.
  Pointer append();
  bool empty() const { return responses_.empty(); }
  std::size_t size() const { return responses_.size(); }
  // Number of bytes that wait in the queue.
  std::size_t heldBytes() const;
  // The memory of the queue: the bytes that wait, and the requests that the engine has not answered.
  std::size_t memoryBytes() const;
  bool isLast(const Pointer& response) const { return response == responses_.back(); }
  const Pointer& last() const { return responses_.back(); }
  // Called when no request follows: the connection is closed after the last response in the queue.
  void closeAfterLast();
  // Removes and returns the bytes that can be written now; `render` completes deferred responses.
  Ready takeReady(const Render& render);
  void clear() { responses_.clear(); }

 private:
  std::deque<Pointer> responses_;
};

}  // namespace grademux::http_listener
