// grademux zones: how the whole fleet stands to a zone, as its plan has it, and what a sender tells of what
// it saw there. Data and its JSON form. docs/design/zones.md has the rules that follow from it.
#pragma once

#include <map>
#include <set>
#include <string>

#include "../core/json_fields.h"

namespace grademux::zones {

enum class ZonePhase {
  active,     // as ever: the module alone decides
  evacuated,  // no call goes in
  recovering  // on its way back in: calls go in up to a stated share
};

struct ZoneState {
  ZonePhase phase = ZonePhase::active;
  int stage = 0;                    // back: 0 is the trial by a few; then each has a larger share
  std::set<std::string> probers;    // back, stage 0: who tries
  double traffic_fraction = 0;      // back, from stage 1: of the calls that each sender used to send there
  int failed_recoveries = 0;        // returns in a row that ended in leaving again
  bool pinned_by_operator = false;  // by an operator: nothing but a word changes it
  std::string reason;

  bool operator==(const ZoneState& o) const {
    return phase == o.phase && stage == o.stage && probers == o.probers &&
           traffic_fraction == o.traffic_fraction && failed_recoveries == o.failed_recoveries &&
           pinned_by_operator == o.pinned_by_operator;
  }
};
using ZoneStates = std::map<std::string, ZoneState>;  // a zone that is not named is in

// What one sender used to send to the endpoints of a zone before it was left: its part of each stage of the
// return. It outlasts the process, in a file of its own folder: nobody else has it.
struct BaselineRate {
  std::int64_t destination = 0;
  double rate = 0;  // calls a second
  bool operator==(const BaselineRate& o) const { return destination == o.destination && rate == o.rate; }
};
using TrafficBaseline = std::map<std::string, std::map<std::string, BaselineRate>>;  // by zone and endpoint
json toJson(const TrafficBaseline& p);
TrafficBaseline parseTrafficBaseline(const json& o);  // throws BadInput

// Throws BadInput that names the field.
ZoneState parseState(const json& o);
json toJson(const ZoneState& s);
std::string toString(const ZoneState& s);  // for people

// What one sender saw of a zone lately.
enum class Observation {
  unknown,  // or not enough to tell: it has no say
  healthy,
  failing  // there, and not elsewhere
};
struct ZoneVote {
  Observation observation = Observation::unknown;
  double traffic = 0;            // calls a second that it sends there in good times
  int failing_destinations = 0;  // destinations that fail there and not elsewhere

  bool operator==(const ZoneVote& o) const {
    return observation == o.observation && traffic == o.traffic &&
           failing_destinations == o.failing_destinations;
  }
};
ZoneVote parseVote(const json& o);
json toJson(const ZoneVote& v);

}  // namespace grademux::zones
