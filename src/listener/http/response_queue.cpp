// See response_queue.h.
#include "response_queue.h"

#include <utility>

#include "../../core/release_buffer.h"

namespace grademux::http_listener {

ResponseQueue::Pointer ResponseQueue::append() {
  responses_.push_back(std::make_shared<PendingResponse>());
  return responses_.back();
}

std::size_t ResponseQueue::heldBytes() const {
  std::size_t bytes = 0;
  for (const Pointer& response : responses_)
    bytes += response->bytes.size();
  return bytes;
}

std::size_t ResponseQueue::memoryBytes() const {
  std::size_t bytes = 0;
  for (const Pointer& response : responses_)
    bytes += sizeof(PendingResponse) + response->bytes.capacity() + response->request_bytes;
  return bytes;
}

void ResponseQueue::closeAfterLast() {
  for (const Pointer& response : responses_)
    response->closes_connection = isLast(response);
}

ResponseQueue::Ready ResponseQueue::takeReady(const Render& render) {
  Ready ready;
  while (!responses_.empty() && !ready.closes_connection) {
    const Pointer first = responses_.front();
    if (first->deferred) {
      const auto make = std::exchange(first->deferred, nullptr);
      render(first, make());
    }
    ready.bytes += first->bytes;
    releaseBuffer(first->bytes);
    if (!first->complete)
      break;
    ready.closes_connection = first->closes_connection;
    responses_.pop_front();
    ++ready.completed;
  }
  return ready;
}

}  // namespace grademux::http_listener
