// grademux model: what decides in a sender: the project's module, and what it is compared with, behind one
// seam. A policy hears the events of one sender and answers with actions, as the module does.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "grademux/sender.h"
#include "tuned.h"

namespace grademux::model {

// Called once a turn, by the sender that owns it, on the run's thread. It must end each message once and keep
// the rules; the checker holds it to them.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual std::vector<Action> decide(Micros now, const std::vector<Event>& events) = 0;
};

// The true state of the partners, for a policy that may see it.
class Truth {
 public:
  virtual ~Truth() = default;
  // Would a call that is sent now be served?
  virtual bool takes(std::int64_t partner, Micros now) const = 0;
  // Tells that one is on its way, so that others count on it.
  virtual void taking(std::int64_t partner, Micros now) = 0;
};

// What a policy is made with. `truth` outlives it.
struct Making {
  const Settings& settings;
  std::uint64_t seed;
  Truth& truth;
  std::shared_ptr<const Tuning> tuning;  // of the policy "tuned"; null: the module's own values
};
struct PolicySpec {
  std::string name, says;
  std::unique_ptr<Policy> (*make)(const Making& m);
};
const std::vector<PolicySpec>& policies();
const PolicySpec* policy(const std::string& name);  // null: there is none

}  // namespace grademux::model
