#include "zone_traffic_controller.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace grademux::zones {

namespace {

// Rounds to a power of two, so that a sender's report does not change every second.
double roundTraffic(double traffic) {
  constexpr double kLeastTraffic = 0.01;
  return traffic < kLeastTraffic ? 0 : std::exp2(std::round(std::log2(traffic)));
}

const ZoneState& stateIn(const ZoneStates& states, const std::string& zone) {
  static const ZoneState active_state;
  const auto found = states.find(zone);
  return found == states.end() ? active_state : found->second;
}

std::set<std::string> zonesOf(const ZoneStates& states, const ZoneStates& other_states) {
  std::set<std::string> zones;
  for (const auto& [zone, state] : states)
    zones.insert(zone);
  for (const auto& [zone, state] : other_states)
    zones.insert(zone);
  return zones;
}

}  // namespace

std::size_t ZoneTrafficController::AttemptIdHash::operator()(const AttemptId& id) const {
  constexpr std::size_t kGoldenRatio = 0x9e3779b97f4a7c15;
  return std::hash<std::string>()(id.message_id) ^ static_cast<std::size_t>(id.attempt) * kGoldenRatio;
}

// ---- Zone states

const ZoneState& ZoneTrafficController::stateOf(const std::string& zone) const {
  return stateIn(states_, zone);
}

Micros ZoneTrafficController::stateSince(const std::string& zone) const {
  const auto found = state_since_.find(zone);
  return found == state_since_.end() ? 0 : found->second;
}

bool ZoneTrafficController::applyStates(const ZoneStates& states, Micros now) {
  bool changed = false;
  for (const std::string& zone : zonesOf(states_, states)) {
    const ZoneState& before = stateOf(zone);
    const ZoneState& next = stateIn(states, zone);
    if (next == before)
      continue;
    changed = true;
    applyState(zone, before, next, now);
  }
  states_ = states;
  return changed;
}

void ZoneTrafficController::applyState(const std::string& zone, const ZoneState& before,
                                       const ZoneState& next, Micros now) {
  changed_zones_.insert(zone);
  if (before.phase == ZonePhase::active && next.phase != ZonePhase::active)
    baselines_[zone] = measureBaseline(zone, now);
  if (next.phase == ZonePhase::active) {
    baselines_.erase(zone);
    restored_baseline_.by_zone.erase(zone);
  }
  if (next.phase == before.phase && next.stage == before.stage && next.probers == before.probers)
    return;
  health_.resetZone(zone);
  state_since_[zone] = now;
  resetEndpoints(zone, before.phase, next.phase, now);
}

void ZoneTrafficController::resetEndpoints(const std::string& zone, ZonePhase before, ZonePhase next,
                                           Micros now) {
  for (const std::string& id : endpoints_.inZone(zone)) {
    buckets_.erase(id);
    if (next == ZonePhase::active && !healthy_.count(id)) {
      // Spreads the first checks of the senders over one interval.
      const auto delay = static_cast<Micros>(std::hash<std::string>()(name_ + id) % kHealthCheckInterval);
      health_checks_.requireFrom(now + delay, endpoints_.at(id));
    }
    if (next != ZonePhase::active)
      health_checks_.stop(id);
    if (next != before)
      healthy_.erase(id);
  }
}

void ZoneTrafficController::onEndpointListed(const Endpoint& endpoint) {
  const EndpointEntry before = endpoints_.erase(endpoint.id);
  if (before && before->zone != endpoint.zone)
    buckets_.erase(endpoint.id);
  if (endpoint.state != EndpointState::gone) {
    endpoints_.insert(endpoint);
    return;
  }
  buckets_.erase(endpoint.id);
  visible_states_.erase(endpoint.id);
  healthy_.erase(endpoint.id);
  health_checks_.stop(endpoint.id);
}

std::map<std::string, double> ZoneTrafficController::endpointFractions() const {
  std::map<std::string, double> fractions;
  for (const auto& [zone, ids] : endpoints_.byZone())
    fractions[zone] = static_cast<double>(ids.size()) / static_cast<double>(endpoints_.size());
  return fractions;
}

// ---- Baselines and rates

// Uses the restored baseline if the zone was evacuated before this process measured anything.
ZoneBaseline ZoneTrafficController::measureBaseline(const std::string& zone, Micros now) const {
  ZoneBaseline baseline;
  for (const std::string& id : endpoints_.inZone(zone))
    baseline.add(id, {endpoints_.at(id).destination, health_.baselineRate(now, zone, id)});
  const auto restored = restored_baseline_.by_zone.find(zone);
  if (restored != restored_baseline_.by_zone.end() && baseline.totalRate() <= 0)
    for (const auto& [id, rate] : restored->second)
      baseline.add(id, rate);
  return baseline;
}

TrafficBaseline ZoneTrafficController::baseline() const {
  TrafficBaseline all;
  for (const auto& [zone, baseline] : baselines_)
    if (!baseline.endpoints().empty())
      all.by_zone[zone] = baseline.endpoints();
  return all;
}

double ZoneTrafficController::allowedRate(const Endpoint& endpoint, const ZoneState& state) const {
  if (state.stage == 0) {
    const std::size_t endpoint_count = endpoints_.inZone(endpoint.zone).size();
    if (!state.probers.count(name_) || endpoint_count == 0)
      return 0;
    return kProbeRate / static_cast<double>(state.probers.size()) / static_cast<double>(endpoint_count);
  }
  const auto baseline = baselines_.find(endpoint.zone);
  if (baseline == baselines_.end())
    return 0;
  return baseline->second.fractionOfRate(state.traffic_fraction, endpoint.id, endpoint.destination);
}

TokenBucket& ZoneTrafficController::bucketOf(const Endpoint& endpoint, Micros now) {
  TokenBucket& bucket = buckets_[endpoint.id];
  const double rate = allowedRate(endpoint, stateOf(endpoint.zone));
  if (rate != bucket.rate())
    bucket.setRate(now, rate);
  return bucket;
}

// ---- Attempts

EndpointState ZoneTrafficController::visibleState(const Endpoint& endpoint, Micros now) {
  const ZoneState& zone_state = stateOf(endpoint.zone);
  if (zone_state.phase == ZonePhase::active && !isHidden(endpoint, now)) {
    visible_states_.erase(endpoint.id);
    return endpoint.state;
  }
  EndpointState state = endpoint.state;
  const bool has_token =
      zone_state.phase == ZonePhase::recovering && lease_valid_ && bucketOf(endpoint, now).hasToken(now);
  if (state == EndpointState::ready && !has_token)
    state = EndpointState::draining;
  visible_states_[endpoint.id] = state;
  return state;
}

bool ZoneTrafficController::admitAttempt(const AttemptId& id, const Endpoint& endpoint, bool idempotent,
                                         Micros now) {
  const ZoneState& state = stateOf(endpoint.zone);
  if (state.phase == ZonePhase::evacuated)
    return false;
  if (state.phase == ZonePhase::recovering && !admitToRecoveringZone(endpoint, state, idempotent, now))
    return false;
  if (health_checks_.isRequired(endpoint.id)) {
    const bool is_check = health_checks_.isWindowOpen(endpoint.destination, now);
    health_checks_.closeWindow(endpoint.destination, now);
    if (is_check && !idempotent)
      return false;
  }
  EndpointEntry listed = endpoints_.find(endpoint.id);
  attempts_[id] = listed ? std::move(listed) : std::make_shared<const Endpoint>(endpoint);
  return true;
}

// A non-idempotent message does not probe, but takes the token: otherwise the decision module would select
// the endpoint again at once.
bool ZoneTrafficController::admitToRecoveringZone(const Endpoint& endpoint, const ZoneState& state,
                                                  bool idempotent, Micros now) {
  if (!lease_valid_)
    return false;
  const bool has_token = bucketOf(endpoint, now).takeToken(now);
  health_checks_.closeWindow(endpoint.destination, now);
  return has_token && (state.stage != 0 || idempotent);
}

bool ZoneTrafficController::isSendAllowed(const std::string& endpoint) const {
  const EndpointEntry entry = endpoints_.find(endpoint);
  if (!entry)
    return true;
  const ZonePhase phase = stateOf(entry->zone).phase;
  return phase == ZonePhase::active || (phase == ZonePhase::recovering && lease_valid_);
}

void ZoneTrafficController::onAttemptFinished(const AttemptOutcome& outcome, Micros now) {
  const auto found = attempts_.find({outcome.id, outcome.attempt});
  if (found == attempts_.end())
    return;
  const EndpointEntry endpoint = std::move(found->second);
  attempts_.erase(found);
  const ZonePhase phase = stateOf(endpoint->zone).phase;
  if (outcome.result == AttemptResult::ok) {
    if (phase == ZonePhase::recovering)
      healthy_.insert(endpoint->id);
    health_checks_.stop(endpoint->id);
  }
  // In an evacuated zone the evacuation itself may be the cause of the outcome.
  if (phase == ZonePhase::active || (phase == ZonePhase::recovering && lease_valid_))
    health_.recordOutcome(now, *endpoint, outcome);
}

// ---- Health checks

bool ZoneTrafficController::isHidden(const Endpoint& endpoint, Micros now) const {
  return health_checks_.isWindowOpen(endpoint.destination, now) && !health_checks_.isRequired(endpoint.id);
}

void ZoneTrafficController::openHealthCheckWindows(Micros now) {
  for (const auto& [zone, state] : states_)
    if (state.phase == ZonePhase::recovering && lease_valid_)
      openHealthCheckWindows(zone, now);
  for (const auto& [id, interval] : health_checks_.intervals())
    if (const Endpoint& endpoint = endpoints_.at(id); endpoint.state == EndpointState::ready)
      health_checks_.openWindow(endpoint.destination, now, interval);
}

// Opens windows for the endpoints of a recovering zone until each has a success and the zone has enough
// samples for a vote.
void ZoneTrafficController::openHealthCheckWindows(const std::string& zone, Micros now) {
  const bool has_samples = health_.hasEnoughSamples(zone);
  for (const std::string& id : endpoints_.inZone(zone)) {
    const Endpoint& endpoint = endpoints_.at(id);
    const bool is_checked = has_samples && healthy_.count(id);
    if (endpoint.state == EndpointState::ready && !is_checked && bucketOf(endpoint, now).hasToken(now))
      health_checks_.openWindow(endpoint.destination, now, kHealthCheckInterval);
  }
}

void ZoneTrafficController::expire(Micros now) {
  health_.expire(now);
  for (const auto& [zone, ids] : endpoints_.byZone()) {
    if (stateOf(zone).phase != ZonePhase::active)
      continue;
    const std::map<std::int64_t, Micros> failing = health_.failingDestinations(zone);
    if (failing.size() < static_cast<std::size_t>(kMinFailingDestinations))
      continue;
    for (const std::string& id : ids) {
      const auto failed = failing.find(endpoints_.at(id).destination);
      if (failed != failing.end() && now - failed->second >= kFailedZoneCheckInterval)
        health_checks_.require(id, kFailedZoneCheckInterval);
    }
  }
}

// ---- Changes and votes

void ZoneTrafficController::appendIfChanged(const std::string& id, Micros now,
                                            std::vector<std::string>& changed) {
  const Endpoint& endpoint = endpoints_.at(id);
  const auto last = visible_states_.find(id);
  const EndpointState before = last == visible_states_.end() ? endpoint.state : last->second;
  if (visibleState(endpoint, now) != before)
    changed.push_back(id);
}

std::vector<std::string> ZoneTrafficController::takeChangedEndpoints(Micros now) {
  std::vector<std::string> changed;
  openHealthCheckWindows(now);
  std::set<std::string> zones = std::move(changed_zones_);
  changed_zones_.clear();
  for (const auto& [zone, state] : states_)
    zones.insert(zone);
  for (const std::string& zone : zones)
    for (const std::string& id : endpoints_.inZone(zone))
      appendIfChanged(id, now, changed);
  health_checks_.visitAndExpireWindows(now, [&](std::int64_t destination) {
    for (const std::string& id : endpoints_.ofDestination(destination))
      if (stateOf(endpoints_.at(id).zone).phase == ZonePhase::active)
        appendIfChanged(id, now, changed);
  });
  return changed;
}

bool ZoneTrafficController::isRecovering() const {
  if (!health_checks_.intervals().empty())
    return true;
  return std::any_of(states_.begin(), states_.end(),
                     [](const auto& entry) { return entry.second.phase == ZonePhase::recovering; });
}

std::map<std::string, ZoneVote> ZoneTrafficController::votes(Micros now, const Regions& regions) {
  std::map<std::string, ZoneVote> votes;
  for (const auto& [zone, ids] : endpoints_.byZone()) {
    ZoneVote vote = voteOn(zone, now, regions);
    keepTrafficBeforeFailure(zone, vote);
    const auto baseline = baselines_.find(zone);
    vote.traffic = roundTraffic(baseline == baselines_.end() ? vote.traffic : baseline->second.totalRate());
    votes[zone] = vote;
  }
  return votes;
}

ZoneVote ZoneTrafficController::voteOn(const std::string& zone, Micros now, const Regions& regions) const {
  switch (stateOf(zone).phase) {
    case ZonePhase::active:
      return health_.compareWithOtherZones(now, zone, regions);
    case ZonePhase::recovering:
      return health_.evaluateRecovery(now, zone);
    case ZonePhase::evacuated:
      break;
  }
  return {};
}

// A sender that sees an active zone fail soon sends little traffic to the zone, so its vote keeps the weight
// of the traffic before the failure.
void ZoneTrafficController::keepTrafficBeforeFailure(const std::string& zone, ZoneVote& vote) {
  if (stateOf(zone).phase != ZonePhase::active)
    traffic_before_failure_.erase(zone);
  else if (vote.observation == Observation::healthy)
    traffic_before_failure_[zone] = vote.traffic;
  else if (const auto before = traffic_before_failure_.find(zone); before != traffic_before_failure_.end())
    vote.traffic = std::max(vote.traffic, before->second);
}

}  // namespace grademux::zones
