// Reads and serializes the files in a fleet member's folder: the adopted plan and the traffic baseline. Each
// file is one JSON document with a digest; the field names are the stored format and must not change. File
// access blocks.
#pragma once

#include <optional>
#include <string>

#include "../zones/traffic_baseline.h"
#include "plan.h"

namespace grademux::fleet {

/// The file with the adopted plan, in the member's folder.
std::string planFilePath(const std::string& folder);
std::string serializePlanFile(const Plan& plan);
/// The plan that an earlier process had adopted; empty if the file is missing, damaged or of an unknown form.
std::optional<Plan> loadPlan(const std::string& path);

/// The file with the traffic baseline of zones that are not active, in the member's folder.
std::string trafficBaselineFilePath(const std::string& folder);
std::string serializeTrafficBaseline(const zones::TrafficBaseline& baseline);
/// Empty if the file is missing, damaged or of an unknown form.
zones::TrafficBaseline loadTrafficBaseline(const std::string& path);

}  // namespace grademux::fleet
