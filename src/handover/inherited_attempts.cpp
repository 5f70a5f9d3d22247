// Attempts in flight in an earlier process; see inherited_attempts.h.
#include "inherited_attempts.h"

#include <utility>

namespace grademux::handover {

namespace {

constexpr Micros kUnknownRoundTrip = 1;

AttemptOutcome cancelledOutcome(const AttemptId& id) {
  AttemptOutcome outcome;
  outcome.id = id.message_id;
  outcome.attempt = id.attempt;
  outcome.result = AttemptResult::cancelled;
  outcome.round_trip = kUnknownRoundTrip;
  return outcome;
}

}  // namespace

InheritedAttempts::InheritedAttempts(Transport& transport, OnOutcome on_outcome, SendMessage send_message)
    : transport_(transport), on_outcome_(std::move(on_outcome)), send_message_(std::move(send_message)) {}

void InheritedAttempts::inherit(const std::vector<AttemptId>& attempts) {
  inherited_.insert(attempts.begin(), attempts.end());
}

void InheritedAttempts::onAttemptFinished(const AttemptOutcome& outcome) {
  if (inherited_.erase({outcome.id, outcome.attempt}) > 0)
    on_outcome_(outcome);
}

void InheritedAttempts::onPeerClosed() {
  for (const AttemptId& id : std::exchange(inherited_, {}))
    on_outcome_(cancelledOutcome(id));
}

void InheritedAttempts::setAddress(const std::string& endpoint, const std::string& address,
                                   Micros started_at) {
  transport_.setAddress(endpoint, address, started_at);
}

void InheritedAttempts::removeEndpoint(const std::string& endpoint) {
  transport_.removeEndpoint(endpoint);
}

void InheritedAttempts::cancelUnwritten(const std::string& endpoint) {
  transport_.cancelUnwritten(endpoint);
}

void InheritedAttempts::startAttempt(const AttemptRequest& request) {
  transport_.startAttempt(request);
}

void InheritedAttempts::cancelAttempt(const std::string& message_id, int attempt) {
  const AttemptId id{message_id, attempt};
  if (inherited_.count(id) > 0)
    send_message_(CancelInherited{id});
  else
    transport_.cancelAttempt(message_id, attempt);
}

void InheritedAttempts::closeIdleConnections(const std::string& endpoint) {
  transport_.closeIdleConnections(endpoint);
}

std::size_t InheritedAttempts::attemptsInFlight() const {
  return transport_.attemptsInFlight() + inherited_.size();
}

}  // namespace grademux::handover
