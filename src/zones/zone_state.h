// Zone states in the plan, one sender's vote on a zone, and the JSON form of both. Plain data
// without a thread rule. docs/design/zones.md has the rules by which states change.
#pragma once

#include <map>
#include <set>
#include <string>

#include "../core/json_fields.h"

namespace grademux::zones {

enum class ZonePhase {
  active,     ///< Only the decision module selects endpoints.
  evacuated,  ///< No attempt starts.
  recovering  ///< Attempts start up to a fraction of the baseline.
};

/// The fleet's state of one zone.
struct ZoneState {
  ZonePhase phase = ZonePhase::active;
  int stage = 0;                    ///< Recovering: 0 is the probe stage; later stages allow more traffic.
  std::set<std::string> probers;    ///< Recovering, stage 0: the senders that probe.
  double traffic_fraction = 0;      ///< Recovering, from stage 1: of each sender's baseline.
  int failed_recoveries = 0;        ///< Consecutive recoveries that were aborted.
  bool pinned_by_operator = false;  ///< Only operator commands change the state.
  std::string reason;               ///< For operators; not part of the comparison.

  bool operator==(const ZoneState& other) const;
};
/// States by zone; a zone without an entry is active.
using ZoneStates = std::map<std::string, ZoneState>;

/// Throws BadInput, which names the invalid field.
ZoneState parseState(const json& object);
json toJson(const ZoneState& state);
/// Returns the text for logs and command output.
std::string toString(const ZoneState& state);

/// What one sender has recently observed of a zone.
enum class Observation {
  unknown,  ///< Not enough evidence: the vote does not count.
  healthy,
  failing  ///< Destinations fail in this zone and not in others.
};

/// One sender's vote on a zone.
struct ZoneVote {
  Observation observation = Observation::unknown;
  double traffic = 0;            ///< Baseline messages per second into the zone: the weight of the vote.
  int failing_destinations = 0;  ///< Destinations that fail in this zone and not in others.

  bool operator==(const ZoneVote& other) const;
};
/// Throws BadInput, which names the invalid field.
ZoneVote parseVote(const json& object);
json toJson(const ZoneVote& vote);

}  // namespace grademux::zones
