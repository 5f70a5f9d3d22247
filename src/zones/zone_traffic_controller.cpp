// grademux zones: one sender's part; see desk.h.
#include "zone_traffic_controller.h"

#include <algorithm>
#include <functional>

namespace grademux::zones {

namespace {
const ZoneState kIn;

// So coarse that a report is no news each second.
double rounded(double traffic) {
  return traffic < 0.01 ? 0 : std::exp2(std::round(std::log2(traffic)));
}
}  // namespace

const ZoneState& ZoneTrafficController::stateOf(const std::string& zone) const {
  const auto at = states_.find(zone);
  return at == states_.end() ? kIn : at->second;
}

// As this process saw it; as an earlier one did if the zone was left before this one began.
ZoneTrafficController::ZoneBaseline ZoneTrafficController::baselineOf(const std::string& zone,
                                                                      Micros now) const {
  ZoneBaseline k;
  const auto add = [&k](const std::string& id, const BaselineRate& used) {
    if (used.rate <= 0)
      return;
    k.endpoints[id] = used;
    auto& [sum, of] = k.destinations[used.destination];
    sum += used.rate;
    ++of;
    k.all += used.rate;
  };
  if (const auto z = by_zone_.find(zone); z != by_zone_.end())
    for (const std::string& id : z->second)
      add(id, {listed_.at(id)->destination, health_.baselineRate(now, zone, id)});
  if (const auto r = restored_.find(zone); r != restored_.end() && k.all <= 0)
    for (const auto& [id, used] : r->second)
      add(id, used);
  return k;
}

TrafficBaseline ZoneTrafficController::baseline() const {
  TrafficBaseline all;
  for (const auto& [zone, k] : baselines_)
    if (!k.endpoints.empty())
      all[zone] = k.endpoints;
  return all;
}

bool ZoneTrafficController::applyStates(const ZoneStates& states, Micros now) {
  bool other = false;
  std::set<std::string> names;
  for (const auto& [zone, s] : states_)
    names.insert(zone);
  for (const auto& [zone, s] : states)
    names.insert(zone);
  for (const std::string& zone : names) {
    const ZoneState before = stateOf(zone);
    const auto at = states.find(zone);
    const ZoneState next = at == states.end() ? kIn : at->second;
    if (next == before)
      continue;
    other = true;
    unsettled_zones_.insert(zone);
    if (before.phase == ZonePhase::active && next.phase != ZonePhase::active)
      baselines_[zone] = baselineOf(zone, now);
    if (next.phase == ZonePhase::active) {
      baselines_.erase(zone);
      restored_.erase(zone);
    }
    // What was seen before is no evidence of how it stands now; and no part is saved up.
    if (next.phase != before.phase || next.stage != before.stage || next.probers != before.probers) {
      health_.resetZone(zone);
      since_[zone] = now;
      if (const auto z = by_zone_.find(zone); z != by_zone_.end())
        for (const std::string& id : z->second) {
          buckets_.erase(id);
          if (next.phase == ZonePhase::active && !healthy_.count(id)) {
            health_check_intervals_[id] = kHealthCheckInterval;
            // Not all senders at one moment.
            const auto late =
                static_cast<Micros>(std::hash<std::string>()(name_ + id) % kHealthCheckInterval);
            health_checks_[listed_.at(id)->destination] = {now + late - kHealthCheckInterval, 0};
          }
          if (next.phase != ZonePhase::active)
            health_check_intervals_.erase(id);
          if (next.phase != before.phase)
            healthy_.erase(id);
        }
    }
  }
  states_ = states;
  return other;
}

Micros ZoneTrafficController::stateSince(const std::string& zone) const {
  const auto at = since_.find(zone);
  return at == since_.end() ? 0 : at->second;
}

void ZoneTrafficController::onEndpointListed(const Endpoint& e) {
  const auto at = listed_.find(e.id);
  if (at != listed_.end()) {
    const Endpoint& before = *at->second;
    const auto z = by_zone_.find(before.zone);
    z->second.erase(e.id);
    if (z->second.empty())
      by_zone_.erase(z);
    const auto d = by_destination_.find(before.destination);
    d->second.erase(e.id);
    if (d->second.empty())
      by_destination_.erase(d);
    if (before.zone != e.zone)
      buckets_.erase(e.id);
    listed_.erase(at);
  }
  if (e.state == EndpointState::gone) {
    buckets_.erase(e.id);
    visible_states_.erase(e.id);
    healthy_.erase(e.id);
    health_check_intervals_.erase(e.id);
    return;
  }
  listed_[e.id] = std::make_shared<const Endpoint>(e);
  by_zone_[e.zone].insert(e.id);
  by_destination_[e.destination].insert(e.id);
}

std::map<std::string, double> ZoneTrafficController::endpointFractions() const {
  std::map<std::string, double> all;
  for (const auto& [zone, ids] : by_zone_)
    all[zone] = static_cast<double>(ids.size()) / static_cast<double>(listed_.size());
  return all;
}

double ZoneTrafficController::rateOf(const Endpoint& e, const ZoneState& s) const {
  if (s.stage == 0) {
    const auto z = by_zone_.find(e.zone);
    if (!s.probers.count(name_) || z == by_zone_.end())
      return 0;
    return kProbeRate / static_cast<double>(s.probers.size()) / static_cast<double>(z->second.size());
  }
  const auto k = baselines_.find(e.zone);
  if (k == baselines_.end())
    return 0;
  const auto own = k->second.endpoints.find(e.id);
  if (own != k->second.endpoints.end())
    return s.traffic_fraction * own->second.rate;
  // One that was not there then: as much as the others of its destination.
  const auto d = k->second.destinations.find(e.destination);
  return d == k->second.destinations.end() ? 0 : s.traffic_fraction * d->second.first / d->second.second;
}

TokenBucket& ZoneTrafficController::bucketOf(const Endpoint& e, Micros now) {
  TokenBucket& v = buckets_[e.id];
  const double rate = rateOf(e, stateOf(e.zone));
  if (rate != v.rate())
    v.setRate(now, rate);
  return v;
}

EndpointState ZoneTrafficController::visibleState(const Endpoint& e, Micros now) {
  const ZoneState& s = stateOf(e.zone);
  if (s.phase == ZonePhase::active && !isHidden(e, now)) {
    visible_states_.erase(e.id);
    return e.state;
  }
  EndpointState state = e.state;
  const bool opens = s.phase == ZonePhase::recovering && lease_valid_ && bucketOf(e, now).hasToken(now);
  if (state == EndpointState::ready && !opens)
    state = EndpointState::draining;
  visible_states_[e.id] = state;
  return state;
}

bool ZoneTrafficController::admitAttempt(const AttemptId& id, const Endpoint& e, bool repeatable,
                                         Micros now) {
  const ZoneState& s = stateOf(e.zone);
  if (s.phase == ZonePhase::evacuated || (s.phase == ZonePhase::recovering && !lease_valid_))
    return false;
  if (s.phase == ZonePhase::recovering) {
    const bool may = bucketOf(e, now).takeToken(now);
    onHealthCheckEnded(e, now);
    // What may not run twice does not try; it has used the turn up, or it would come back at once.
    if (!may || (s.stage == 0 && !repeatable))
      return false;
  }
  if (health_check_intervals_.count(e.id)) {
    const auto k = health_checks_.find(e.destination);
    const bool knocks = k != health_checks_.end() && now < k->second.until;
    onHealthCheckEnded(e, now);
    if (knocks && !repeatable)
      return false;
  }
  const auto listed = listed_.find(e.id);
  out_[id] = listed != listed_.end() ? listed->second : std::make_shared<const Endpoint>(e);
  return true;
}

// Its turn is over.
void ZoneTrafficController::onHealthCheckEnded(const Endpoint& e, Micros now) {
  if (const auto k = health_checks_.find(e.destination); k != health_checks_.end())
    k->second.until = now;
}

bool ZoneTrafficController::isSendAllowed(const std::string& endpoint) const {
  const auto e = listed_.find(endpoint);
  if (e == listed_.end())
    return true;
  const ZoneState& s = stateOf(e->second->zone);
  return s.phase == ZonePhase::active || (s.phase == ZonePhase::recovering && lease_valid_);
}

void ZoneTrafficController::onAttemptFinished(const AttemptOutcome& o, Micros now) {
  const auto at = out_.find({o.id, o.attempt});
  if (at == out_.end())
    return;
  const Listed e = std::move(at->second);
  out_.erase(at);
  const ZonePhase way = stateOf(e->zone).phase;
  if (o.result == AttemptResult::ok) {
    if (way == ZonePhase::recovering)
      healthy_.insert(e->id);
    health_check_intervals_.erase(e->id);
  }
  // Of a zone that is left it may be no more than that.
  if (way == ZonePhase::active || (way == ZonePhase::recovering && lease_valid_))
    health_.recordOutcome(now, *e, o);
}

bool ZoneTrafficController::isHidden(const Endpoint& e, Micros now) const {
  const auto k = health_checks_.find(e.destination);
  return k != health_checks_.end() && now < k->second.until && !health_check_intervals_.count(e.id);
}

void ZoneTrafficController::startHealthChecks(const Endpoint& e, Micros now, Micros again) {
  HealthCheck& k = health_checks_[e.destination];
  if (now - k.begun >= again)
    k = {now, now + kHealthCheckTime};
}

void ZoneTrafficController::startHealthChecks(Micros now) {
  for (const auto& [zone, s] : states_) {
    const auto z = by_zone_.find(zone);
    if (s.phase != ZonePhase::recovering || !lease_valid_ || z == by_zone_.end())
      continue;
    const bool enough = health_.hasEnoughSamples(zone);
    for (const std::string& id : z->second) {
      const Endpoint& e = *listed_.at(id);
      if (e.state == EndpointState::ready && !(enough && healthy_.count(id)) &&
          bucketOf(e, now).hasToken(now))
        startHealthChecks(e, now);
    }
  }
  for (const auto& [id, again] : health_check_intervals_)
    if (const Endpoint& e = *listed_.at(id); e.state == EndpointState::ready)
      startHealthChecks(e, now, again);
}

void ZoneTrafficController::expire(Micros now) {
  health_.expire(now);
  for (const auto& [zone, ids] : by_zone_) {
    if (stateOf(zone).phase != ZonePhase::active)
      continue;
    const auto struck = health_.failingDestinations(zone);
    if (struck.size() < static_cast<std::size_t>(kStruck))
      continue;
    for (const std::string& id : ids)
      if (const auto d = struck.find(listed_.at(id)->destination);
          d != struck.end() && now - d->second >= kFailedZoneCheckInterval)
        health_check_intervals_.emplace(id, kFailedZoneCheckInterval);
  }
}

void ZoneTrafficController::appendIfChanged(const std::string& id, Micros now,
                                            std::vector<std::string>& changed) {
  const Endpoint& e = *listed_.at(id);
  const auto was = visible_states_.find(id);
  const EndpointState before = was == visible_states_.end() ? e.state : was->second;
  if (visibleState(e, now) != before)
    changed.push_back(id);
}

std::vector<std::string> ZoneTrafficController::takeChangedEndpoints(Micros now) {
  std::vector<std::string> all;
  startHealthChecks(now);
  std::set<std::string> zones = std::move(unsettled_zones_);
  unsettled_zones_.clear();
  for (const auto& [zone, s] : states_)
    zones.insert(zone);
  for (const std::string& zone : zones)
    if (const auto z = by_zone_.find(zone); z != by_zone_.end())
      for (const std::string& id : z->second)
        appendIfChanged(id, now, all);
  for (auto k = health_checks_.begin(); k != health_checks_.end();) {
    if (const auto d = by_destination_.find(k->first); d != by_destination_.end())
      for (const std::string& id : d->second)
        if (stateOf(listed_.at(id)->zone).phase == ZonePhase::active)
          appendIfChanged(id, now, all);
    k = now - k->second.begun >= 2 * kFailedZoneCheckInterval ? health_checks_.erase(k) : std::next(k);
  }
  return all;
}

bool ZoneTrafficController::isRecovering() const {
  return !health_check_intervals_.empty() || std::any_of(states_.begin(), states_.end(), [](const auto& s) {
    return s.second.phase == ZonePhase::recovering;
  });
}

std::map<std::string, ZoneVote> ZoneTrafficController::votes(Micros now, const Regions& regions) {
  std::map<std::string, ZoneVote> all;
  for (const auto& [zone, ids] : by_zone_) {
    const ZoneState& s = stateOf(zone);
    ZoneVote v = s.phase == ZonePhase::active       ? health_.compareWithOtherZones(now, zone, regions)
                 : s.phase == ZonePhase::recovering ? health_.within(now, zone)
                                                    : ZoneVote();
    // Who has seen it fail for a while sends little there now, and has a say for what it used to send.
    if (s.phase != ZonePhase::active)
      traffic_before_failure_.erase(zone);
    else if (v.observation == Observation::healthy)
      traffic_before_failure_[zone] = v.traffic;
    else if (const auto h = traffic_before_failure_.find(zone); h != traffic_before_failure_.end())
      v.traffic = std::max(v.traffic, h->second);
    const auto k = baselines_.find(zone);
    v.traffic = rounded(k == baselines_.end() ? v.traffic : k->second.all);
    all[zone] = v;
  }
  return all;
}

}  // namespace grademux::zones
