// A transport that combines this process's attempts with the attempts that an earlier process of this sender
// still has in flight. An inherited attempt finishes when the earlier process reports its outcome, or when
// that process ends; in the second case the endpoint may have executed the attempt. Used on the loop thread
// only.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "../core/transport.h"
#include "messages.h"

namespace grademux::handover {

class InheritedAttempts : public Transport {
 public:
  /// Sends a message to the earlier process.
  using SendMessage = std::function<void(const Message&)>;
  /// `transport` outlives this object.
  InheritedAttempts(Transport& transport, OnOutcome on_outcome, SendMessage send_message);

  /// Adds attempts that the earlier process has in flight.
  void inherit(const std::vector<AttemptId>& attempts);
  /// Attempts of the earlier process that have no outcome yet.
  const std::set<AttemptId>& inherited() const { return inherited_; }
  /// Handles an outcome that the earlier process reports. Outcomes of other attempts are ignored.
  void onAttemptFinished(const AttemptOutcome& outcome);
  /// Finishes the remaining inherited attempts as cancelled, because the earlier process ended: each may have
  /// been executed.
  void onPeerClosed();

  void setAddress(const std::string& endpoint, const std::string& address, Micros started_at) override;
  void removeEndpoint(const std::string& endpoint) override;
  /// Does not affect inherited attempts: only the earlier process can tell which of them are written.
  void cancelUnwritten(const std::string& endpoint) override;
  void startAttempt(const AttemptRequest& request) override;
  void cancelAttempt(const std::string& message_id, int attempt) override;
  void closeIdleConnections(const std::string& endpoint) override;
  std::size_t attemptsInFlight() const override;

 private:
  Transport& transport_;
  OnOutcome on_outcome_;
  SendMessage send_message_;
  std::set<AttemptId> inherited_;
};

}  // namespace grademux::handover
