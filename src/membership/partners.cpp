// See partners.h.
#include "partners.h"

#include <stdexcept>
#include <tuple>

#include "../core/message.h"
#include "../net/address.h"

namespace grademux {

bool NameSpec::operator==(const NameSpec& o) const {
  return std::tie(host, srv, port, family, allow, keep) ==
         std::tie(o.host, o.srv, o.port, o.family, o.allow, o.keep);
}

bool Partner::operator==(const Partner& o) const {
  return std::tie(name, formerly, number, endpoints, draining, rate, dns, zone, zones) ==
         std::tie(o.name, o.formerly, o.number, o.endpoints, o.draining, o.rate, o.dns, o.zone, o.zones);
}

std::int64_t numberOfName(const std::string& name) {
  const std::uint64_t h = fnv1a(name.data(), name.size());
  return static_cast<std::int64_t>((h ^ h >> 32) & 0x7fffffff);
}

bool isEndpointAddress(const std::string& s) {
  try {
    return parseAddress(s).port() != 0;
  } catch (const std::invalid_argument&) {
    return false;
  }
}

}  // namespace grademux
