// The interface of the component that notifies the final outcomes of accepted messages that were not
// delivered.
#pragma once

#include <cstddef>
#include <string>

#include "journal.h"

namespace grademux {

class DeliveryNotifier {
 public:
  virtual ~DeliveryNotifier() = default;
  // Called once for each such final outcome, in the iteration that writes it to the journal, and again after
  // a restart if the notice was not delivered before. Once the notice is delivered,
  // DeliveryEngine::onNoticeDelivered() must be called on the loop thread, not from within this function;
  // until then the journal keeps the message.
  virtual void enqueueNotice(const std::string& id, const Notice& notice) = 0;
  // The number of notices that have not been delivered yet.
  virtual std::size_t pendingNotices() const = 0;
};

}  // namespace grademux
