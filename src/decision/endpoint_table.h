// Endpoint table: the endpoints of the endpoint list and their destinations. The state of removed endpoints
// and destinations is retained for a while.
#pragma once

#include <map>
#include <string>

#include "decision_context.h"
#include "rate_limiter.h"

namespace grademux::decision {

class EndpointTable {
 public:
  EndpointTable(DecisionContext& context, const RateLimiter& rate_limiter);

  // Applies a snapshot or delta of the list, or backs off after a failed poll.
  void onEndpointListUpdate(const EndpointListUpdate& update);
  // Requests the endpoint list when the next poll is due.
  void pollEndpointList();
  // Points the endpoints at the kinds of the current settings, by name. `old_list_mode`: list mode of the
  // previous settings.
  void onSettingsChanged(ListMode old_list_mode);

  // Returns null for an unknown id. The pointer is valid until eraseUnused() erases the endpoint.
  EndpointEntry* find(const std::string& id);
  // Returns the destination, and adds it if it is unknown.
  Destination& destination(std::int64_t id);
  std::map<std::int64_t, Destination>& destinations() { return destinations_; }

  // Retains the state of a destination without endpoints for the retention time.
  void retainUnlisted(std::int64_t destination);
  // Erases removed endpoints and destinations without endpoints whose retention time is over, unless a
  // message, a Retry-After or a slow start still needs them. Withdraws the health that was exported for them.
  void eraseUnused();

 private:
  void backOffPolling();
  void updateEndpoint(const Endpoint& listed);
  void setEndpointState(EndpointEntry& endpoint, EndpointState state);
  void attachToDestination(EndpointEntry& endpoint, std::int64_t id);
  void detachFromDestination(EndpointEntry& endpoint);
  bool isNeeded(const TargetState& target, Micros used_at) const;
  void withdrawHealth(const TargetState& target, const std::string& endpoint, std::int64_t destination);
  void eraseUnusedEndpoints();
  void eraseUnusedDestinations();

  DecisionContext& context_;
  const RateLimiter& rate_limiter_;
  std::map<std::string, EndpointEntry> endpoints_;
  std::map<std::int64_t, Destination> destinations_;
  RevisitQueue<std::string> removed_endpoints_;
  RevisitQueue<std::int64_t> unlisted_destinations_;
  Micros poll_at_;
  int poll_failures_ = 0;  // consecutive
};

}  // namespace grademux::decision
