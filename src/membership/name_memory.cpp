// See name_memory.h.
#include "name_memory.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <stdexcept>

namespace grademux {

namespace ip = boost::asio::ip;

Networks::Networks(const std::vector<std::string>& texts) {
  for (const std::string& t : texts) {
    boost::system::error_code e;
    const auto v4 = ip::make_network_v4(t, e);
    if (!e) {
      v4_.push_back(v4);
      continue;
    }
    const auto v6 = ip::make_network_v6(t, e);
    if (e)
      throw std::invalid_argument("not a network: " + t);
    v6_.push_back(v6);
  }
}

bool Networks::allow(const ip::address& a) const {
  if (a.is_unspecified() || a.is_multicast() || (a.is_v4() && a.to_v4() == ip::address_v4::broadcast()))
    return false;
  if (v4_.empty() && v6_.empty())
    return true;
  // An address belongs to a network if masking it with the prefix length gives the same network. (Boost's
  // hosts() excludes the first and the last address.)
  if (a.is_v4())
    return std::any_of(v4_.begin(), v4_.end(), [&](const ip::network_v4& n) {
      return ip::network_v4(a.to_v4(), n.prefix_length()).canonical() == n.canonical();
    });
  return std::any_of(v6_.begin(), v6_.end(), [&](const ip::network_v6& n) {
    return ip::network_v6(a.to_v6(), n.prefix_length()).canonical() == n.canonical();
  });
}

std::string endpointText(const std::string& address, int port) {
  const bool v6 = address.find(':') != std::string::npos;
  return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

NameMemory::NameMemory(NameSpec spec, DnsLimits limits)
    : spec_(std::move(spec)), limits_(limits), networks_(spec_.allow), retry_delay_(limits.least_retry) {}

void NameMemory::adopt(const std::vector<std::string>& endpoints) {
  if (!targets_.empty() || endpoints.empty())
    return;
  endpoints_ = endpoints;
  std::sort(endpoints_.begin(), endpoints_.end());
  stale_ = true;
}

namespace {

void appendProblem(std::string& problem, const std::string& name, const DnsRecords& records) {
  if (records.kind == DnsRecords::Kind::records)
    return;
  if (!problem.empty())
    problem += "; ";
  problem += name + ": " + (records.kind == DnsRecords::Kind::no_name ? "no such name" : records.cause);
}

}  // namespace

// Returns the allowed addresses of one family of a target; the previous addresses if the query failed. Lowers
// `ttl` to the TTL of the records if they contain addresses.
NameMemory::Addresses NameMemory::usableAddresses(const DnsTarget& target, const DnsRecords& records,
                                                  const Addresses* known, Result& result, Micros& ttl) const {
  if (records.kind == DnsRecords::Kind::failed)
    return known ? *known : Addresses{};
  if (!records.addresses.empty())
    ttl = std::min(ttl, records.ttl);
  Addresses usable;
  for (const std::string& address : records.addresses) {
    boost::system::error_code error;
    const ip::address parsed = ip::make_address(address, error);
    if (!error && networks_.allow(parsed))
      usable.push_back(address);
    else
      result.forbidden.push_back(endpointText(address, target.port));
  }
  return usable;
}

std::map<NameMemory::Key, NameMemory::Target> NameMemory::readTargets(const DnsAnswer& answer, Result& result,
                                                                      Micros& ttl) const {
  std::map<Key, Target> targets;
  for (const DnsTarget& target : answer.targets) {
    const auto before = targets_.find({target.host, target.port});
    const Target* known = before == targets_.end() ? nullptr : &before->second;
    Target fresh;
    fresh.priority = target.priority;
    appendProblem(result.problem, target.host + " A", target.v4);
    fresh.v4 = usableAddresses(target, target.v4, known ? &known->v4 : nullptr, result, ttl);
    appendProblem(result.problem, target.host + " AAAA", target.v6);
    fresh.v6 = usableAddresses(target, target.v6, known ? &known->v6 : nullptr, result, ttl);
    targets[{target.host, target.port}] = std::move(fresh);
  }
  return targets;
}

void NameMemory::scheduleRetry(Micros now) {
  next_query_ = now + retry_delay_;
  retry_delay_ = std::min(2 * retry_delay_, limits_.most_retry);
}

NameMemory::Result NameMemory::onAnswer(const DnsAnswer& answer, Micros now) {
  Result result;
  Micros ttl = answer.ttl;
  std::map<Key, Target> fresh;
  if (answer.kind == DnsRecords::Kind::records) {
    fresh = readTargets(answer, result, ttl);
  } else {
    DnsRecords failed;
    failed.kind = answer.kind;
    failed.cause = answer.cause;
    appendProblem(result.problem, spec_.srv, failed);
  }
  const bool any = std::any_of(fresh.begin(), fresh.end(),
                               [](const auto& t) { return !t.second.v4.empty() || !t.second.v6.empty(); });
  if (!any) {
    if (result.problem.empty())
      result.problem = result.forbidden.empty() ? "no address" : "no address that `allow` permits";
    scheduleRetry(now);
    next_due_ = next_query_;
    for (const auto& [endpoint, until] : kept_until_)
      next_due_ = std::min(next_due_, until);
    return result;
  }
  targets_ = std::move(fresh);
  // After a partial failure the whole name is queried again after the retry delay, not after the TTL.
  if (!result.problem.empty()) {
    scheduleRetry(now);
  } else {
    next_query_ = now + std::clamp(ttl, limits_.least_ttl, limits_.most_ttl);
    retry_delay_ = limits_.least_retry;
  }
  result.changed = updateEndpoints(now);
  stale_ = false;
  return result;
}

// Lists the addresses of the targets with the lowest priority value that has an address (RFC 2782); the other
// targets are standby. Returns whether the endpoints changed.
bool NameMemory::updateEndpoints(Micros now) {
  int best = INT32_MAX;
  for (const auto& [key, t] : targets_)
    if (!t.v4.empty() || !t.v6.empty())
      best = std::min(best, t.priority);
  std::set<std::string> named;
  for (const auto& [key, t] : targets_) {
    if (t.priority != best)
      continue;
    for (const Addresses* p : {&t.v4, &t.v6})
      for (const std::string& a : *p)
        if (named.size() < limits_.most_addresses)
          named.insert(endpointText(a, key.second));
  }
  if (spec_.keep > 0)
    for (const std::string& e : endpoints_)
      if (!named.count(e))
        kept_until_.emplace(e, now + spec_.keep);
  for (auto it = kept_until_.begin(); it != kept_until_.end();) {
    if (named.count(it->first) || it->second <= now)
      it = kept_until_.erase(it);
    else
      named.insert((it++)->first);
  }
  next_due_ = next_query_;
  for (const auto& [endpoint, until] : kept_until_)
    next_due_ = std::min(next_due_, until);
  std::vector<std::string> all(named.begin(), named.end());
  if (all == endpoints_)
    return false;
  endpoints_ = std::move(all);
  return true;
}

void NameMemory::setLimits(const DnsLimits& limits, Micros now) {
  limits_ = limits;
  retry_delay_ = std::clamp(retry_delay_, limits.least_retry, limits.most_retry);
  next_query_ = std::min(next_query_, now + limits.most_ttl);
  next_due_ = std::min(next_due_, next_query_);
}

bool NameMemory::expire(Micros now) {
  return !targets_.empty() && !kept_until_.empty() && updateEndpoints(now);
}

}  // namespace grademux
