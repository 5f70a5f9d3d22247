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

void PartnerTable::reportConflict(const Conflict& c, Change& change) {
  if (conflicts_.insert(c.partner + "\n" + c.unit + "\n" + c.endpoint + "\n" + c.owner).second)
    change.conflicts.push_back(c);
}

void PartnerTable::forgetConflicts(const std::string& prefix) {
  auto it = conflicts_.lower_bound(prefix);
  while (it != conflicts_.end() && it->compare(0, prefix.size(), prefix) == 0)
    it = conflicts_.erase(it);
}

std::map<std::string, PartnerTable::Entry> PartnerTable::wantedEntries(const InForce& in_force,
                                                                       Change& change) {
  const Partner& partner = in_force.partner;
  std::map<std::string, Entry> wanted;
  for (const std::string& address : partner.endpoints) {
    const std::string& owner = by_address_.at(address).front();
    if (owner != partner.name) {
      reportConflict({partner.name, in_force.unit, address, owner}, change);
      continue;
    }
    forgetConflicts(partner.name + "\n" + in_force.unit + "\n" + address + "\n");
    const bool draining =
        std::find(partner.draining.begin(), partner.draining.end(), address) != partner.draining.end();
    wanted[address] = {partner.number, partner.rate, draining, in_force.unit, partner.zoneOf(address)};
  }
  return wanted;
}

// An entry that is new, changed or (null) gone. `base`: the first part of its id; `name`: of the partner in
// force.
EndpointChange PartnerTable::endpointChange(const std::string& base, const std::string& name,
                                            const std::string& address, const Entry* entry) {
  EndpointChange change;
  Endpoint& endpoint = change.entry.endpoint;
  endpoint.id = base;
  endpoint.id.append("@").append(address);
  endpoint.kind = "partner";
  change.entry.address = address;
  if (!entry) {
    endpoint.state = EndpointState::gone;
    return change;
  }
  endpoint.zone = entry->zone;
  endpoint.destination = entry->number;
  endpoint.weight = entry->rate;
  endpoint.state = entry->draining ? EndpointState::draining : EndpointState::ready;
  json stored{{"name", endpoint.id},    {"address", address},
              {"zone", entry->zone},    {"type", "partner"},
              {"group", entry->number}, {"status", entry->draining ? "Terminating" : "Ready"},
              {"weight", entry->rate},  {"unit", entry->unit},
              {"partner", name}};
  if (base != name)
    stored["formerly"] = base;
  change.text = stored.dump(-1, ' ', false, json::error_handler_t::replace);
  return change;
}

// Adds to `change` what of one partner's endpoints is other than the core knows it.
void PartnerTable::appendEndpointChanges(const std::string& name, Change& change) {
  change.partners.push_back(name);
  const auto in_force = in_force_.find(name);
  const bool exists = in_force != in_force_.end();
  const std::string base = exists ? in_force->second.partner.base() : base_[name];
  const Partner* heir = exists ? nullptr : find(base);
  if (heir && heir->base() == base) {  // renamed: what the core knows is its heir's
    base_.erase(name);
    return;
  }
  std::map<std::string, Entry> wanted;
  if (exists) {
    wanted = wantedEntries(in_force->second, change);
    base_[name] = base;
  } else {
    base_.erase(name);
  }
  std::map<std::string, Entry>& listed = listed_[base];
  for (const auto& [address, entry] : listed)
    if (!wanted.count(address)) {
      change.entries.push_back(endpointChange(base, name, address, nullptr));
      --endpoints_;
    }
  for (const auto& [address, entry] : wanted) {
    const auto before = listed.find(address);
    if (before != listed.end() && before->second == entry)
      continue;
    if (before == listed.end())
      ++endpoints_;
    change.entries.push_back(endpointChange(base, name, address, &entry));
  }
  if (wanted.empty())
    listed_.erase(base);
  else
    listed = std::move(wanted);
}

// Takes the unsettled partners out of force, so that others can take over their names, numbers and addresses
// in the same change. Gives the partners to settle: those that were in force first, to keep their numbers if
// they still want them, then the new ones, then those that waited for a number that is free now.
std::vector<std::string> PartnerTable::releaseUnsettled() {
  const std::set<std::string> unsettled = std::move(unsettled_);
  unsettled_.clear();
  std::set<std::int64_t> freed_numbers;
  std::set<std::string> were_in_force;
  std::vector<std::string> to_settle;
  for (const std::string& name : unsettled) {
    const auto in_force = in_force_.find(name);
    if (in_force == in_force_.end())
      continue;
    freed_numbers.insert(in_force->second.partner.number);
    to_settle.push_back(name);
    were_in_force.insert(name);
    drop(name);
  }
  for (const std::string& name : unsettled)
    if (!were_in_force.count(name))
      to_settle.push_back(name);
  for (const std::int64_t number : freed_numbers)
    if (const auto waiting = waiting_.find(number); waiting != waiting_.end()) {
      to_settle.insert(to_settle.end(), waiting->second.begin(), waiting->second.end());
      waiting_.erase(waiting);
    }
  return to_settle;
}

// Puts the partner in force, or reports whose its name or number is.
void PartnerTable::settleOrReport(const std::string& name, Change& change) {
  settle(name);
  const auto claims = by_name_.find(name);
  if (claims == by_name_.end()) {
    resolved_.erase(name);
    forgetConflicts(name + "\n");
    return;
  }
  const std::string& owner = claims->second.front();
  for (std::size_t i = 1; i < claims->second.size(); ++i)
    reportConflict({name, claims->second[i], "", owner}, change);
  if (in_force_.count(name))
    return;
  const std::int64_t number = declared(owner, name)->number;
  waiting_[number].insert(name);
  reportConflict({name, owner, "", by_number_.at(number)}, change);
}

PartnerTable::Change PartnerTable::take() {
  Change change;
  for (const std::string& name : releaseUnsettled())
    settleOrReport(name, change);
  const std::set<std::string> touched = dirty_;
  for (const std::string& name : touched)
    releaseAddresses(name);  // all before any is claimed: a partner that is split in two is no conflict
  for (const std::string& name : touched)
    claimAddresses(name);
  const std::set<std::string> dirty = std::move(dirty_);
  dirty_.clear();
  // Where one partner goes and another takes its base name over, the core is to see the one that goes first.
  for (const bool in_force : {false, true})
    for (const std::string& name : dirty)
      if ((in_force_.count(name) > 0) == in_force)
        appendEndpointChanges(name, change);
  return change;
}

}  // namespace grademux
