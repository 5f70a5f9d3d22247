// Records the final outcomes of accepted messages: in the journal, in the registry and, for messages that
// were not delivered, as notices. Used on the loop thread.
#pragma once

#include <string>

#include "delivery_notifier.h"
#include "endpoint_list.h"
#include "grademux/settings.h"
#include "journal.h"
#include "message_registry.h"

namespace grademux {

class FinalOutcomes {
 public:
  // All must outlive this object.
  FinalOutcomes(MessageRegistry& registry, Journal& journal, DeliveryNotifier& notifier)
      : registry_(registry), journal_(journal), notifier_(notifier) {}

  // Records that the endpoint reported the message as finished. The id is remembered for `remember_for`.
  void recordReported(const std::string& id, AttemptResult result, Micros remember_for);
  // Records that an accepted message was not delivered, and queues its notice. `status` is `returned` or
  // `failed`.
  void recordUndelivered(const std::string& id, FinalStatus status, Micros retry_after);
  // The notice was delivered. The record is written with the next iteration; a restart before that iteration
  // repeats the notice, which is harmless.
  void onNoticeDelivered(const std::string& id, Micros remember_for);
  // Queues a notice that an earlier process did not deliver.
  void recoverNotice(const JournalEntry& entry);

 private:
  void finish(const std::string& id, const FinalOutcome& outcome);

  MessageRegistry& registry_;
  Journal& journal_;
  DeliveryNotifier& notifier_;
};

// Logs why a message could not be delivered if its class or its destination is no longer configured.
void logIfOrphaned(const AcceptedMessage& message, FinalStatus status, const Settings& settings,
                   const EndpointList& endpoints);

}  // namespace grademux
