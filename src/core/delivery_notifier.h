// grademux: the seam of what is told the ends of messages that were taken on and not delivered.
#pragma once

#include <cstddef>
#include <string>

#include "journal.h"

namespace grademux {

class DeliveryNotifier {
 public:
  virtual ~DeliveryNotifier() = default;
  // Called once for each such end, in the turn that writes it to the journal, and again after a restart if it
  // was not told before. The host's told() is to be called once it is, from the loop and not from within
  // this; until then the journal keeps the message.
  virtual void enqueueNotice(const std::string& id, const Notice& notice) = 0;
  virtual std::size_t pendingNotices() const = 0;  // not told yet
};

}  // namespace grademux
