// grademux zones: one sender's part; see desk.h.
#include "desk.h"

#include <algorithm>
#include <functional>

namespace grademux::zones {

namespace {
const State kIn;

// So coarse that a report is no news each second.
double rounded(double traffic) {
  return traffic < 0.01 ? 0 : std::exp2(std::round(std::log2(traffic)));
}
}  // namespace

const State& Desk::stateOf(const std::string& zone) const {
  const auto at = states_.find(zone);
  return at == states_.end() ? kIn : at->second;
}

// As this process saw it; as an earlier one did if the zone was left before this one began.
Desk::Kept Desk::usual(const std::string& zone, Micros now) const {
  Kept k;
  const auto add = [&k](const std::string& id, const Used& used) {
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
      add(id, {listed_.at(id)->destination, evidence_.usual(now, zone, id)});
  if (const auto r = remembered_.find(zone); r != remembered_.end() && k.all <= 0)
    for (const auto& [id, used] : r->second)
      add(id, used);
  return k;
}

Parts Desk::parts() const {
  Parts all;
  for (const auto& [zone, k] : kept_)
    if (!k.endpoints.empty())
      all[zone] = k.endpoints;
  return all;
}

bool Desk::follow(const States& states, Micros now) {
  bool other = false;
  std::set<std::string> names;
  for (const auto& [zone, s] : states_)
    names.insert(zone);
  for (const auto& [zone, s] : states)
    names.insert(zone);
  for (const std::string& zone : names) {
    const State before = stateOf(zone);
    const auto at = states.find(zone);
    const State next = at == states.end() ? kIn : at->second;
    if (next == before)
      continue;
    other = true;
    dirty_.insert(zone);
    if (before.way == Way::in && next.way != Way::in)
      kept_[zone] = usual(zone, now);
    if (next.way == Way::in) {
      kept_.erase(zone);
      remembered_.erase(zone);
    }
    // What was seen before is no evidence of how it stands now; and no part is saved up.
    if (next.way != before.way || next.stage != before.stage || next.carriers != before.carriers) {
      evidence_.forget(zone);
      since_[zone] = now;
      if (const auto z = by_zone_.find(zone); z != by_zone_.end())
        for (const std::string& id : z->second) {
          valves_.erase(id);
          if (next.way == Way::in && !well_.count(id)) {
            unproven_[id] = kKnockAgain;
            // Not all senders at one moment.
            const auto late = static_cast<Micros>(std::hash<std::string>()(name_ + id) % kKnockAgain);
            knocks_[listed_.at(id)->destination] = {now + late - kKnockAgain, 0};
          }
          if (next.way != Way::in)
            unproven_.erase(id);
          if (next.way != before.way)
            well_.erase(id);
        }
    }
  }
  states_ = states;
  return other;
}

Micros Desk::since(const std::string& zone) const {
  const auto at = since_.find(zone);
  return at == since_.end() ? 0 : at->second;
}

void Desk::listed(const Endpoint& e) {
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
      valves_.erase(e.id);
    listed_.erase(at);
  }
  if (e.state == EndpointState::gone) {
    valves_.erase(e.id);
    shown_.erase(e.id);
    well_.erase(e.id);
    unproven_.erase(e.id);
    return;
  }
  listed_[e.id] = std::make_shared<const Endpoint>(e);
  by_zone_[e.zone].insert(e.id);
  by_destination_[e.destination].insert(e.id);
}

std::map<std::string, double> Desk::shares() const {
  std::map<std::string, double> all;
  for (const auto& [zone, ids] : by_zone_)
    all[zone] = static_cast<double>(ids.size()) / static_cast<double>(listed_.size());
  return all;
}

double Desk::rateOf(const Endpoint& e, const State& s) const {
  if (s.stage == 0) {
    const auto z = by_zone_.find(e.zone);
    if (!s.carriers.count(name_) || z == by_zone_.end())
      return 0;
    return kTrialRate / static_cast<double>(s.carriers.size()) / static_cast<double>(z->second.size());
  }
  const auto k = kept_.find(e.zone);
  if (k == kept_.end())
    return 0;
  const auto own = k->second.endpoints.find(e.id);
  if (own != k->second.endpoints.end())
    return s.share * own->second.rate;
  // One that was not there then: as much as the others of its destination.
  const auto d = k->second.destinations.find(e.destination);
  return d == k->second.destinations.end() ? 0 : s.share * d->second.first / d->second.second;
}

Valve& Desk::valveOf(const Endpoint& e, Micros now) {
  Valve& v = valves_[e.id];
  const double rate = rateOf(e, stateOf(e.zone));
  if (rate != v.rate())
    v.set(now, rate);
  return v;
}

EndpointState Desk::shows(const Endpoint& e, Micros now) {
  const State& s = stateOf(e.zone);
  if (s.way == Way::in && !hidden(e, now)) {
    shown_.erase(e.id);
    return e.state;
  }
  EndpointState state = e.state;
  const bool opens = s.way == Way::back && leased_ && valveOf(e, now).open(now);
  if (state == EndpointState::ready && !opens)
    state = EndpointState::draining;
  shown_[e.id] = state;
  return state;
}

bool Desk::begins(const CallId& id, const Endpoint& e, bool repeatable, Micros now) {
  const State& s = stateOf(e.zone);
  if (s.way == Way::out || (s.way == Way::back && !leased_))
    return false;
  if (s.way == Way::back) {
    const bool may = valveOf(e, now).take(now);
    knocked(e, now);
    // What may not run twice does not try; it has used the turn up, or it would come back at once.
    if (!may || (s.stage == 0 && !repeatable))
      return false;
  }
  if (unproven_.count(e.id)) {
    const auto k = knocks_.find(e.destination);
    const bool knocks = k != knocks_.end() && now < k->second.until;
    knocked(e, now);
    if (knocks && !repeatable)
      return false;
  }
  const auto listed = listed_.find(e.id);
  out_[id] = listed != listed_.end() ? listed->second : std::make_shared<const Endpoint>(e);
  return true;
}

// Its turn is over.
void Desk::knocked(const Endpoint& e, Micros now) {
  if (const auto k = knocks_.find(e.destination); k != knocks_.end())
    k->second.until = now;
}

bool Desk::still(const std::string& endpoint) const {
  const auto e = listed_.find(endpoint);
  if (e == listed_.end())
    return true;
  const State& s = stateOf(e->second->zone);
  return s.way == Way::in || (s.way == Way::back && leased_);
}

void Desk::ended(const Outcome& o, Micros now) {
  const auto at = out_.find({o.id, o.attempt});
  if (at == out_.end())
    return;
  const Listed e = std::move(at->second);
  out_.erase(at);
  const Way way = stateOf(e->zone).way;
  if (o.result == Result::ok) {
    if (way == Way::back)
      well_.insert(e->id);
    unproven_.erase(e->id);
  }
  // Of a zone that is left it may be no more than that.
  if (way == Way::in || (way == Way::back && leased_))
    evidence_.ended(now, *e, o);
}

bool Desk::hidden(const Endpoint& e, Micros now) const {
  const auto k = knocks_.find(e.destination);
  return k != knocks_.end() && now < k->second.until && !unproven_.count(e.id);
}

void Desk::knock(const Endpoint& e, Micros now, Micros again) {
  Knock& k = knocks_[e.destination];
  if (now - k.begun >= again)
    k = {now, now + kKnock};
}

void Desk::knock(Micros now) {
  for (const auto& [zone, s] : states_) {
    const auto z = by_zone_.find(zone);
    if (s.way != Way::back || !leased_ || z == by_zone_.end())
      continue;
    const bool enough = evidence_.enough(zone);
    for (const std::string& id : z->second) {
      const Endpoint& e = *listed_.at(id);
      if (e.state == EndpointState::ready && !(enough && well_.count(id)) && valveOf(e, now).open(now))
        knock(e, now);
    }
  }
  for (const auto& [id, again] : unproven_)
    if (const Endpoint& e = *listed_.at(id); e.state == EndpointState::ready)
      knock(e, now, again);
}

void Desk::sweep(Micros now) {
  evidence_.sweep(now);
  for (const auto& [zone, ids] : by_zone_) {
    if (stateOf(zone).way != Way::in)
      continue;
    const auto struck = evidence_.struck(zone);
    if (struck.size() < static_cast<std::size_t>(kStruck))
      continue;
    for (const std::string& id : ids)
      if (const auto d = struck.find(listed_.at(id)->destination);
          d != struck.end() && now - d->second >= kLookAgain)
        unproven_.emplace(id, kLookAgain);
  }
}

void Desk::lookAt(const std::string& id, Micros now, std::vector<std::string>& changed) {
  const Endpoint& e = *listed_.at(id);
  const auto was = shown_.find(id);
  const EndpointState before = was == shown_.end() ? e.state : was->second;
  if (shows(e, now) != before)
    changed.push_back(id);
}

std::vector<std::string> Desk::changed(Micros now) {
  std::vector<std::string> all;
  knock(now);
  std::set<std::string> zones = std::move(dirty_);
  dirty_.clear();
  for (const auto& [zone, s] : states_)
    zones.insert(zone);
  for (const std::string& zone : zones)
    if (const auto z = by_zone_.find(zone); z != by_zone_.end())
      for (const std::string& id : z->second)
        lookAt(id, now, all);
  for (auto k = knocks_.begin(); k != knocks_.end();) {
    if (const auto d = by_destination_.find(k->first); d != by_destination_.end())
      for (const std::string& id : d->second)
        if (stateOf(listed_.at(id)->zone).way == Way::in)
          lookAt(id, now, all);
    k = now - k->second.begun >= 2 * kLookAgain ? knocks_.erase(k) : std::next(k);
  }
  return all;
}

bool Desk::returning() const {
  return !unproven_.empty() ||
         std::any_of(states_.begin(), states_.end(), [](const auto& s) { return s.second.way == Way::back; });
}

std::map<std::string, Vote> Desk::votes(Micros now, const Regions& regions) {
  std::map<std::string, Vote> all;
  for (const auto& [zone, ids] : by_zone_) {
    const State& s = stateOf(zone);
    Vote v = s.way == Way::in     ? evidence_.against(now, zone, regions)
             : s.way == Way::back ? evidence_.within(now, zone)
                                  : Vote();
    // Who has seen it fail for a while sends little there now, and has a say for what it used to send.
    if (s.way != Way::in)
      held_.erase(zone);
    else if (v.sight == Sight::fine)
      held_[zone] = v.traffic;
    else if (const auto h = held_.find(zone); h != held_.end())
      v.traffic = std::max(v.traffic, h->second);
    const auto k = kept_.find(zone);
    v.traffic = rounded(k == kept_.end() ? v.traffic : k->second.all);
    all[zone] = v;
  }
  return all;
}

}  // namespace grademux::zones
