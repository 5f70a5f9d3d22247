#include "endpoint_table.h"

#include <algorithm>
#include <cmath>

namespace grademux::decision {

namespace {

constexpr int kMostPollFailures = 6;      // the backoff doubles up to this many times
constexpr double kPollBackoffParts = 64;  // base backoff: Settings::poll_notified_within / 64

}  // namespace

EndpointTable::EndpointTable(DecisionContext& context, const RateLimiter& rate_limiter)
    : context_(context),
      rate_limiter_(rate_limiter),
      poll_at_(context.settings.list_mode == ListMode::poll ? 0 : kNever) {}

void EndpointTable::onEndpointListUpdate(const EndpointListUpdate& update) {
  if (update.kind == EndpointListKind::failed)
    return backOffPolling();
  poll_failures_ = 0;
  if (update.kind != EndpointListKind::delta)
    for (auto& [id, endpoint] : endpoints_)
      setEndpointState(endpoint, EndpointState::gone);
  for (const Endpoint& listed : update.endpoints)
    updateEndpoint(listed);
}

// Backs off exponentially with jitter, so that many senders do not overload the registry.
void EndpointTable::backOffPolling() {
  poll_failures_ = std::min(poll_failures_ + 1, kMostPollFailures);
  const double base =
      static_cast<double>(std::max<Micros>(1, context_.settings.poll_notified_within)) / kPollBackoffParts;
  const double jitter = 0.5 + std::uniform_real_distribution<double>(0, 1)(context_.random);
  if (context_.settings.list_mode == ListMode::poll)
    poll_at_ = context_.now + static_cast<Micros>(base * std::exp2(poll_failures_) * jitter / 2);
}

void EndpointTable::updateEndpoint(const Endpoint& listed) {
  EndpointEntry& endpoint = endpoints_[listed.id];
  endpoint.id = listed.id;
  endpoint.zone = listed.zone;
  setEndpointState(endpoint, listed.state);
  endpoint.weight = listed.weight;
  endpoint.kind = &context_.default_kind;
  for (const DestinationKind& kind : context_.settings.kinds)
    if (kind.name == listed.kind)
      endpoint.kind = &kind;
  attachToDestination(endpoint, listed.destination);
  RateLimitState& rate_limit = limitScope(endpoint).rate_limit;
  if (!rate_limit.limit_is_reported && listed.weight > 0 && context_.settings.weight_kind != WeightKind::none)
    rate_limit.limit = listed.weight;
  if (rate_limit.quota_updated_at == 0)
    rate_limit.quota_fraction =
        std::min(1.0, kInitialQuotaShares * rate_limiter_.quotaShare(rate_limit.limit, 1e12));
  rate_limit.quota_updated_at = context_.now;
}

void EndpointTable::attachToDestination(EndpointEntry& endpoint, std::int64_t id) {
  Destination& destination = destinations_[id];
  if (endpoint.destination == &destination)
    return;
  if (endpoint.destination)
    detachFromDestination(endpoint);
  endpoint.destination = &destination;
  // The order of first use is random: otherwise all senders start with the first endpoint of the list.
  endpoint.last_used_at = -kNever + static_cast<Micros>(context_.random() % 1000);
  destination.id = id;
  destination.endpoints.push_back(&endpoint);
}

void EndpointTable::pollEndpointList() {
  if (poll_at_ > context_.now)
    return context_.requestTimer(poll_at_);
  context_.actions.push_back(WatchEndpoints{});
  poll_at_ = kNever;
}

void EndpointTable::onSettingsChanged(ListMode old_list_mode) {
  if (context_.settings.list_mode != old_list_mode)
    poll_at_ = context_.settings.list_mode == ListMode::poll ? 0 : kNever;
  for (auto& [id, endpoint] : endpoints_) {
    const DestinationKind* old_kind = endpoint.kind;
    endpoint.kind = &context_.default_kind;
    for (const DestinationKind& kind : context_.settings.kinds)
      if (old_kind != &context_.default_kind && kind.name == old_kind->name)
        endpoint.kind = &kind;
  }
}

EndpointEntry* EndpointTable::find(const std::string& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

Destination& EndpointTable::destination(std::int64_t id) {
  Destination& destination = destinations_[id];
  destination.id = id;
  return destination;
}

void EndpointTable::retainUnlisted(std::int64_t destination) {
  unlisted_destinations_.schedule(context_.now + context_.retentionTime(), destination);
}

void EndpointTable::eraseUnused() {
  eraseUnusedEndpoints();
  eraseUnusedDestinations();
}

void EndpointTable::setEndpointState(EndpointEntry& endpoint, EndpointState state) {
  if (state == EndpointState::gone) {
    if (endpoint.state != state)
      endpoint.removed_at = context_.now;
    removed_endpoints_.schedule(context_.now + context_.retentionTime(), endpoint.id);
  }
  endpoint.state = state;
}

void EndpointTable::detachFromDestination(EndpointEntry& endpoint) {
  Destination& destination = *endpoint.destination;
  destination.endpoints.erase(
      std::find(destination.endpoints.begin(), destination.endpoints.end(), &endpoint));
  if (destination.endpoints.empty())
    unlisted_destinations_.schedule(context_.now, destination.id);
}

bool EndpointTable::isNeeded(const TargetState& target, Micros used_at) const {
  if (target.rate_limit.retry_after_until > context_.now)
    return true;
  const Micros latest = std::max({target.outlier.warming_since, target.outlier.last_outcome_at, used_at});
  return context_.now - latest < context_.retentionTime();
}

void EndpointTable::withdrawHealth(const TargetState& target, const std::string& endpoint,
                                   std::int64_t destination) {
  if (target.exported_warming_since != -kNever)
    context_.actions.push_back(DestinationHealth{endpoint, destination, false, -kNever, 0, context_.now});
}

void EndpointTable::eraseUnusedEndpoints() {
  std::string id;
  while (removed_endpoints_.popDue(context_.now, id)) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.state != EndpointState::gone)
      continue;
    EndpointEntry& endpoint = found->second;
    if (endpoint.open_attempts > 0 || isNeeded(endpoint.target, endpoint.removed_at)) {
      removed_endpoints_.schedule(context_.now + context_.retentionTime(), id);
      continue;
    }
    withdrawHealth(endpoint.target, id, endpoint.destination->id);
    detachFromDestination(endpoint);
    endpoints_.erase(found);
  }
}

void EndpointTable::eraseUnusedDestinations() {
  std::int64_t id = 0;
  while (unlisted_destinations_.popDue(context_.now, id)) {
    const auto found = destinations_.find(id);
    if (found == destinations_.end() || !found->second.endpoints.empty())
      continue;
    if (found->second.open_messages > 0 ||
        isNeeded(found->second.target, found->second.message_rate.latest())) {
      unlisted_destinations_.schedule(context_.now + context_.retentionTime(), id);
      continue;
    }
    withdrawHealth(found->second.target, "", id);
    destinations_.erase(found);
  }
}

}  // namespace grademux::decision
