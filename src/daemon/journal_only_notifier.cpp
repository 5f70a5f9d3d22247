// The delivery notifier of a standalone program; see journal_only_notifier.h.
#include "journal_only_notifier.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace grademux {

JournalOnlyNotifier::JournalOnlyNotifier(boost::asio::io_context& io, OnDelivered on_delivered)
    : io_(io), on_delivered_(std::move(on_delivered)) {}

void JournalOnlyNotifier::enqueueNotice(const std::string& message_id, const Notice&) {
  ++pending_notices_;
  boost::asio::post(io_, [this, message_id] {
    --pending_notices_;
    on_delivered_(message_id);
  });
}

}  // namespace grademux
