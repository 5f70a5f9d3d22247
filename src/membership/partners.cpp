// grademux: partners of a daemon file; see partners.h.
#include "partners.h"

#include <algorithm>

namespace grademux {

std::int64_t numberOfName(const std::string& name) {
  const std::uint64_t h = fnv1a(name.data(), name.size());
  return static_cast<std::int64_t>((h ^ h >> 32) & 0x7fffffff);
}

ListAnswer listOf(const std::vector<Partner>& partners, std::int64_t index) {
  json endpoints = json::array();
  for (const Partner& p : partners)
    for (const std::string& address : p.endpoints) {
      const bool drains = std::find(p.draining.begin(), p.draining.end(), address) != p.draining.end();
      endpoints.push_back({{"name", p.name + "@" + address},
                           {"address", address},
                           {"zone", ""},
                           {"type", "partner"},
                           {"group", p.number},
                           {"status", drains ? "Terminating" : "Ready"},
                           {"weight", p.rate}});
    }
  return readList({{"index", index}, {"snapshot", true}, {"endpoints", std::move(endpoints)}});
}

void PartnerNames::set(const std::vector<Partner>& partners) {
  numbers_.clear();
  for (const Partner& p : partners) numbers_[p.name] = p.number;
}

void PartnerNames::take(const std::shared_ptr<Submission>& s, Next next) {
  if (s->partner.empty()) return next(Verdict::pass());
  const auto known = numbers_.find(s->partner);
  if (known == numbers_.end()) return next(Verdict::reject("unknown-destination", "unknown partner"));
  s->message.destination = known->second;
  s->partner.clear();
  next(Verdict::pass());
}

}  // namespace grademux
