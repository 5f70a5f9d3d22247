// The delivery notifier of a standalone program: nobody is notified of final outcomes. The journal has them,
// and clients ask for the status of their messages. Used on the loop thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "../core/delivery_notifier.h"

namespace grademux {

/// Reports each notice as delivered in the next iteration of the loop.
class JournalOnlyNotifier : public DeliveryNotifier {
 public:
  using OnDelivered = std::function<void(const std::string& message_id)>;
  JournalOnlyNotifier(boost::asio::io_context& io, OnDelivered on_delivered);

  void enqueueNotice(const std::string& message_id, const Notice& notice) override;
  std::size_t pendingNotices() const override { return pending_notices_; }

 private:
  boost::asio::io_context& io_;
  OnDelivered on_delivered_;
  std::size_t pending_notices_ = 0;
};

}  // namespace grademux
