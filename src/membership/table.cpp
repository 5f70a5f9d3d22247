// See table.h.
#include "table.h"

#include <algorithm>

namespace grademux {

bool parseStoredEntry(const std::string& text, StoredEntry& entry) {
  const json stored = json::parse(text, nullptr, false);
  if (!stored.is_object() || !stored.contains("partner"))
    return false;  // an entry of the platform, or of an older version
  try {
    entry.unit = stored.value("unit", "");
    entry.partner = stored.value("partner", "");
    entry.formerly = stored.value("formerly", "");
    entry.address = stored.value("address", "");
    entry.zone = stored.value("zone", "");
    entry.number = stored.value("group", std::int64_t{0});
    entry.rate = stored.value("weight", 0.0);
    entry.draining = stored.value("status", "") == "Terminating";
  } catch (const json::exception&) {
    return false;
  }
  return !entry.partner.empty() && isEndpointAddress(entry.address);
}

const Partner* PartnerTable::findDeclared(const std::string& unit, const std::string& name) const {
  const auto u = units_.find(unit);
  if (u == units_.end())
    return nullptr;
  const auto p = u->second.find(name);
  return p == u->second.end() ? nullptr : &p->second;
}

const Partner* PartnerTable::find(const std::string& name) const {
  auto at = in_force_.find(name);
  if (at == in_force_.end()) {
    const auto former = by_former_name_.find(name);
    if (former != by_former_name_.end())
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
    undecided_.insert(name);
  }
  for (const auto& [name, p] : fresh) {
    const auto before = old.find(name);
    if (before == old.end())
      by_name_[name].push_back(unit);
    else if (before->second == p)
      continue;
    undecided_.insert(name);
  }
  if (fresh.empty())
    units_.erase(unit);
  else
    old = std::move(fresh);
}

void PartnerTable::setResolved(const std::string& partner, std::vector<std::string> addresses) {
  const auto at = in_force_.find(partner);
  if (at == in_force_.end() || !at->second.partner.dns)
    return;
  std::sort(addresses.begin(), addresses.end());
  if (resolved_[partner] == addresses)
    return;
  resolved_[partner] = std::move(addresses);
  undecided_.insert(partner);
}

// Removes a partner from force, which releases its number and former name; releaseAddresses() releases its
// addresses later.
void PartnerTable::removeFromForce(const std::string& name) {
  const auto at = in_force_.find(name);
  if (at == in_force_.end())
    return;
  const Partner& p = at->second.partner;
  by_number_.erase(p.number);
  if (!p.formerly.empty())
    by_former_name_.erase(p.formerly);
  in_force_.erase(at);
  dirty_.insert(name);
}

// Puts the first declaration of a partner in force, unless another partner has its number.
void PartnerTable::putInForce(const std::string& name) {
  removeFromForce(name);
  const auto claims = by_name_.find(name);
  if (claims == by_name_.end())
    return;
  const std::string& unit = claims->second.front();
  Partner p = *findDeclared(unit, name);
  const auto number = by_number_.find(p.number);
  if (number != by_number_.end())
    return;  // reported as a conflict; tried again when the number is released
  if (p.dns) {
    const auto known = resolved_.find(name);
    if (known != resolved_.end())
      p.endpoints = known->second;
  }
  by_number_[p.number] = name;
  if (!p.formerly.empty())
    by_former_name_[p.formerly] = name;
  in_force_[name] = {unit, std::move(p)};
  dirty_.insert(name);
}

std::set<std::string> PartnerTable::wantedAddresses(const std::string& name) const {
  const auto at = in_force_.find(name);
  if (at == in_force_.end())
    return {};
  return {at->second.partner.endpoints.begin(), at->second.partner.endpoints.end()};
}

// Releases the addresses that a partner no longer lists; the other claimants are marked to be listed again.
void PartnerTable::releaseAddresses(const std::string& name) {
  const auto claimed = claimed_.find(name);
  if (claimed == claimed_.end())
    return;
  const std::set<std::string> wants = wantedAddresses(name);
  std::set<std::string>& had = claimed->second;
  for (auto it = had.begin(); it != had.end();) {
    if (wants.count(*it)) {
      ++it;
      continue;
    }
    const std::string& a = *it;
    auto& claimants = by_address_[a];
    claimants.erase(std::remove(claimants.begin(), claimants.end(), name), claimants.end());
    for (const std::string& next : claimants)
      dirty_.insert(next);
    if (claimants.empty())
      by_address_.erase(a);
    it = had.erase(it);
  }
  if (had.empty())
    claimed_.erase(claimed);
}

void PartnerTable::claimAddresses(const std::string& name) {
  for (const std::string& a : wantedAddresses(name))
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

// Returns the change for an entry that is new or changed, or removed (`entry` is null). `base`: the first
// part of the endpoint id; `name`: the partner in force.
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

// Adds to `change` the endpoints of one partner that differ from the entries that the core has.
void PartnerTable::appendEndpointChanges(const std::string& name, Change& change) {
  change.partners.push_back(name);
  const auto in_force = in_force_.find(name);
  const bool exists = in_force != in_force_.end();
  const std::string base = exists ? in_force->second.partner.base() : base_[name];
  const Partner* successor = exists ? nullptr : find(base);
  if (successor && successor->base() == base) {  // renamed: the core's entries belong to the successor
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

// Removes the undecided partners from force, so that others can claim their names, numbers and addresses in
// the same change. Returns the partners to decide: first those that were in force, so that they keep their
// numbers if they still declare them, then the new ones, then those that waited for a number that is now
// free.
std::vector<std::string> PartnerTable::releaseUndecided() {
  const std::set<std::string> undecided = std::move(undecided_);
  undecided_.clear();
  std::set<std::int64_t> freed_numbers;
  std::set<std::string> were_in_force;
  std::vector<std::string> to_decide;
  for (const std::string& name : undecided) {
    const auto in_force = in_force_.find(name);
    if (in_force == in_force_.end())
      continue;
    freed_numbers.insert(in_force->second.partner.number);
    to_decide.push_back(name);
    were_in_force.insert(name);
    removeFromForce(name);
  }
  for (const std::string& name : undecided)
    if (!were_in_force.count(name))
      to_decide.push_back(name);
  for (const std::int64_t number : freed_numbers)
    if (const auto waiting = waiting_by_number_.find(number); waiting != waiting_by_number_.end()) {
      to_decide.insert(to_decide.end(), waiting->second.begin(), waiting->second.end());
      waiting_by_number_.erase(waiting);
    }
  return to_decide;
}

// Puts the partner in force, or reports the owner of its name or number.
void PartnerTable::putInForceOrReport(const std::string& name, Change& change) {
  putInForce(name);
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
  const std::int64_t number = findDeclared(owner, name)->number;
  waiting_by_number_[number].insert(name);
  reportConflict({name, owner, "", by_number_.at(number)}, change);
}

PartnerTable::Change PartnerTable::takeChanges() {
  Change change;
  for (const std::string& name : releaseUndecided())
    putInForceOrReport(name, change);
  const std::set<std::string> touched = dirty_;
  for (const std::string& name : touched)
    releaseAddresses(name);  // before any claim: a partner split in two is no conflict
  for (const std::string& name : touched)
    claimAddresses(name);
  const std::set<std::string> dirty = std::move(dirty_);
  dirty_.clear();
  // If a partner is removed and another inherits its base name, the core must receive the removal first.
  for (const bool in_force : {false, true})
    for (const std::string& name : dirty)
      if ((in_force_.count(name) > 0) == in_force)
        appendEndpointChanges(name, change);
  return change;
}

}  // namespace grademux
