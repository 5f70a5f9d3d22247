// grademux: partners of several sources; see table.h.
#include "table.h"

#include <algorithm>

namespace grademux {

bool readKept(const std::string& text, KeptEntry& k) {
  const json e = json::parse(text, nullptr, false);
  if (!e.is_object() || !e.contains("partner"))
    return false;  // the platform's, or an older version's
  try {
    k.unit = e.value("unit", "");
    k.partner = e.value("partner", "");
    k.formerly = e.value("formerly", "");
    k.address = e.value("address", "");
    k.zone = e.value("zone", "");
    k.number = e.value("group", std::int64_t{0});
    k.rate = e.value("weight", 0.0);
    k.draining = e.value("status", "") == "Terminating";
  } catch (const json::exception&) {
    return false;
  }
  return !k.partner.empty() && isEndpointAddress(k.address);
}

const Partner* PartnerTable::declared(const std::string& unit, const std::string& name) const {
  const auto u = units_.find(unit);
  if (u == units_.end())
    return nullptr;
  const auto p = u->second.find(name);
  return p == u->second.end() ? nullptr : &p->second;
}

const Partner* PartnerTable::find(const std::string& name) const {
  auto at = in_force_.find(name);
  if (at == in_force_.end()) {
    const auto former = former_.find(name);
    if (former != former_.end())
      at = in_force_.find(former->second);
  }
  return at == in_force_.end() ? nullptr : &at->second.partner;
}

std::vector<std::string> PartnerTable::units() const {
  std::vector<std::string> all;
  for (const auto& [unit, partners] : units_)
    all.push_back(unit);
  return all;
}

void PartnerTable::declare(const std::string& unit, std::vector<Partner> partners) {
  std::map<std::string, Partner> fresh;
  for (Partner& p : partners) {
    std::string name = p.name;
    fresh.emplace(std::move(name), std::move(p));
  }
  std::map<std::string, Partner>& old = units_[unit];
  for (const auto& [name, p] : old) {
    if (fresh.count(name))
      continue;
    auto& claims = by_name_[name];
    claims.erase(std::remove(claims.begin(), claims.end(), unit), claims.end());
    if (claims.empty())
      by_name_.erase(name);
    unsettled_.insert(name);
  }
  for (const auto& [name, p] : fresh) {
    const auto before = old.find(name);
    if (before == old.end())
      by_name_[name].push_back(unit);
    else if (before->second == p)
      continue;
    unsettled_.insert(name);
  }
  if (fresh.empty())
    units_.erase(unit);
  else
    old = std::move(fresh);
}

void PartnerTable::resolved(const std::string& partner, std::vector<std::string> addresses) {
  const auto at = in_force_.find(partner);
  if (at == in_force_.end() || !at->second.partner.dns)
    return;
  std::sort(addresses.begin(), addresses.end());
  if (resolved_[partner] == addresses)
    return;
  resolved_[partner] = std::move(addresses);
  unsettled_.insert(partner);
}

// Takes a partner out of force: its number, its former name and its addresses are free for others.
void PartnerTable::drop(const std::string& name) {
  const auto at = in_force_.find(name);
  if (at == in_force_.end())
    return;
  const Partner& p = at->second.partner;
  by_number_.erase(p.number);
  if (!p.formerly.empty())
    former_.erase(p.formerly);
  in_force_.erase(at);
  dirty_.insert(name);
}

// Whose it is, and whether it can be in force.
void PartnerTable::settle(const std::string& name) {
  drop(name);
  const auto claims = by_name_.find(name);
  if (claims == by_name_.end())
    return;
  const std::string& unit = claims->second.front();
  Partner p = *declared(unit, name);
  const auto number = by_number_.find(p.number);
  if (number != by_number_.end())
    return;  // told with the conflicts; tried again when that one is gone
  if (p.dns) {
    const auto known = resolved_.find(name);
    if (known != resolved_.end())
      p.endpoints = known->second;
  }
  by_number_[p.number] = name;
  if (!p.formerly.empty())
    former_[p.formerly] = name;
  in_force_[name] = {unit, std::move(p)};
  dirty_.insert(name);
}

std::set<std::string> PartnerTable::wanted(const std::string& name) const {
  const auto at = in_force_.find(name);
  if (at == in_force_.end())
    return {};
  return {at->second.partner.endpoints.begin(), at->second.partner.endpoints.end()};
}

// Gives up the addresses that a partner names no more; who is next in line for one has to be listed anew.
void PartnerTable::releaseAddresses(const std::string& name) {
  const auto claimed = claimed_.find(name);
  if (claimed == claimed_.end())
    return;
  const std::set<std::string> wants = wanted(name);
  std::set<std::string>& had = claimed->second;
  for (auto it = had.begin(); it != had.end();) {
    if (wants.count(*it)) {
      ++it;
      continue;
    }
    const std::string& a = *it;
    auto& line = by_address_[a];
    line.erase(std::remove(line.begin(), line.end(), name), line.end());
    for (const std::string& next : line)
      dirty_.insert(next);
    if (line.empty())
      by_address_.erase(a);
    it = had.erase(it);
  }
  if (had.empty())
    claimed_.erase(claimed);
}

void PartnerTable::claimAddresses(const std::string& name) {
  for (const std::string& a : wanted(name))
    if (claimed_[name].insert(a).second)
      by_address_[a].push_back(name);
}

void PartnerTable::told(const Conflict& c, Change& change) {
  if (conflicts_.insert(c.partner + "\n" + c.unit + "\n" + c.endpoint + "\n" + c.owner).second)
    change.conflicts.push_back(c);
}

void PartnerTable::forgetConflicts(const std::string& prefix) {
  auto it = conflicts_.lower_bound(prefix);
  while (it != conflicts_.end() && it->compare(0, prefix.size(), prefix) == 0)
    it = conflicts_.erase(it);
}

// What the core has to hear of one partner.
void PartnerTable::list(const std::string& name, Change& change) {
  change.partners.push_back(name);
  const auto at = in_force_.find(name);
  std::map<std::string, Entry> wanted;
  const std::string base = at == in_force_.end() ? base_[name] : at->second.partner.base();
  const Partner* heir = at == in_force_.end() ? find(base) : nullptr;
  if (heir && heir->base() == base) {  // renamed: what the core knows is its heir's
    base_.erase(name);
    return;
  }
  if (at != in_force_.end()) {
    const Partner& p = at->second.partner;
    for (const std::string& a : p.endpoints) {
      const std::string& owner = by_address_.at(a).front();
      if (owner != name) {
        told({name, at->second.unit, a, owner}, change);
        continue;
      }
      forgetConflicts(name + "\n" + at->second.unit + "\n" + a + "\n");
      const bool drains = std::find(p.draining.begin(), p.draining.end(), a) != p.draining.end();
      wanted[a] = {p.number, p.rate, drains, at->second.unit, p.zoneOf(a)};
    }
    base_[name] = base;
  } else {
    base_.erase(name);
  }
  std::map<std::string, Entry>& had = listed_[base];
  const auto tell = [&](const std::string& address, const Entry* e) {
    EndpointChange c;
    c.entry.endpoint.id = base + "@" + address;
    c.entry.endpoint.kind = "partner";
    c.entry.address = address;
    if (!e) {
      c.entry.endpoint.state = EndpointState::gone;
      return change.entries.push_back(std::move(c));
    }
    c.entry.endpoint.zone = e->zone;
    c.entry.endpoint.destination = e->number;
    c.entry.endpoint.weight = e->rate;
    c.entry.endpoint.state = e->draining ? EndpointState::draining : EndpointState::ready;
    json kept{{"name", c.entry.endpoint.id},
              {"address", address},
              {"zone", e->zone},
              {"type", "partner"},
              {"group", e->number},
              {"status", e->draining ? "Terminating" : "Ready"},
              {"weight", e->rate},
              {"unit", e->unit},
              {"partner", name}};
    if (base != name)
      kept["formerly"] = base;
    c.text = kept.dump(-1, ' ', false, json::error_handler_t::replace);
    change.entries.push_back(std::move(c));
  };
  for (const auto& [address, e] : had)
    if (!wanted.count(address)) {
      tell(address, nullptr);
      --endpoints_;
    }
  for (const auto& [address, e] : wanted) {
    const auto before = had.find(address);
    if (before != had.end() && before->second == e)
      continue;
    if (before == had.end())
      ++endpoints_;
    tell(address, &e);
  }
  if (wanted.empty())
    listed_.erase(base);
  else
    had = std::move(wanted);
}

PartnerTable::Change PartnerTable::take() {
  Change change;
  // What is given up first: names, numbers and addresses that others take over in the same change.
  const std::set<std::string> unsettled = std::move(unsettled_);
  unsettled_.clear();
  std::set<std::int64_t> freed;
  std::set<std::string> were;
  std::vector<std::string> todo;  // those that were in force keep their numbers, if they still want them
  for (const std::string& name : unsettled) {
    const auto at = in_force_.find(name);
    if (at == in_force_.end())
      continue;
    freed.insert(at->second.partner.number);
    todo.push_back(name);
    were.insert(name);
    drop(name);
  }
  for (const std::string& name : unsettled)
    if (!were.count(name))
      todo.push_back(name);
  // Those that wait for a number that is free now; there are few numbers that two names share.
  for (const std::int64_t n : freed)
    if (const auto line = waiting_.find(n); line != waiting_.end()) {
      todo.insert(todo.end(), line->second.begin(), line->second.end());
      waiting_.erase(line);
    }
  for (const std::string& name : todo) {
    settle(name);
    const auto claims = by_name_.find(name);
    if (claims == by_name_.end()) {
      resolved_.erase(name);
      forgetConflicts(name + "\n");
      continue;
    }
    const std::string& owner = claims->second.front();
    for (std::size_t i = 1; i < claims->second.size(); ++i)
      told({name, claims->second[i], "", owner}, change);
    if (!in_force_.count(name)) {
      const std::int64_t number = declared(owner, name)->number;
      waiting_[number].insert(name);
      told({name, owner, "", by_number_.at(number)}, change);
    }
  }
  const std::set<std::string> touched = dirty_;
  const auto gives = [&](const std::string& name) { return !in_force_.count(name); };
  for (const std::string& name : touched)
    releaseAddresses(name);  // all before any is claimed: a partner that is split in two is no conflict
  for (const std::string& name : touched)
    claimAddresses(name);
  const std::set<std::string> dirty = std::move(dirty_);
  dirty_.clear();
  // A partner that goes and one that takes its base name over: the one that goes is heard first.
  for (const std::string& name : dirty)
    if (gives(name))
      list(name, change);
  for (const std::string& name : dirty)
    if (!gives(name))
      list(name, change);
  return change;
}

}  // namespace grademux
