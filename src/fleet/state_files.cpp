#include "state_files.h"

#include <fcntl.h>
#include <unistd.h>

#include "../core/file.h"

namespace grademux::fleet {

namespace {

constexpr std::size_t kMaxPlanFileBytes = 1 << 20;
constexpr std::size_t kMaxTrafficBaselineFileBytes = 16 << 20;

// Null if the file can't be read or is no JSON.
json readDocument(const std::string& path, std::size_t max_bytes) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0)
    return {};
  std::string bytes;
  const bool complete = readAll(descriptor, bytes, max_bytes);
  ::close(descriptor);
  return complete ? json::parse(bytes, nullptr, false) : json();
}

}  // namespace

std::string planFilePath(const std::string& folder) {
  return folder + "/fleet-plan";
}

std::string serializePlanFile(const Plan& plan) {
  return json{{"plan", toJson(plan)}, {"check", planDigest(plan)}}.dump() + "\n";
}

std::optional<Plan> loadPlan(const std::string& path) {
  const json document = readDocument(path, kMaxPlanFileBytes);
  if (!document.is_object() || !document.contains("plan"))
    return std::nullopt;
  try {
    Plan plan = parsePlan(document["plan"]);
    if (planDigest(plan) == text(document, "check", ""))
      return plan;
  } catch (const std::exception&) {
    return std::nullopt;  // The next read of the store gives the plan.
  }
  return std::nullopt;
}

std::string trafficBaselineFilePath(const std::string& folder) {
  return folder + "/fleet-zones";
}

std::string serializeTrafficBaseline(const zones::TrafficBaseline& baseline) {
  const json by_zone = zones::toJson(baseline);
  return json{{"parts", by_zone}, {"check", planDigest(by_zone.dump())}}.dump() + "\n";
}

zones::TrafficBaseline loadTrafficBaseline(const std::string& path) {
  const json document = readDocument(path, kMaxTrafficBaselineFileBytes);
  if (!document.is_object() || !document.contains("parts"))
    return {};
  try {
    if (planDigest(document["parts"].dump()) == text(document, "check", ""))
      return zones::parseTrafficBaseline(document["parts"]);
  } catch (const std::exception&) {
    return {};  // This sender sends nothing to those zones until they are active.
  }
  return {};
}

}  // namespace grademux::fleet
