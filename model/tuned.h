// grademux model: the decision module with its tuned values as variables, for experiments that ask what each
// of them is worth. With no value changed it decides as the module does; a test holds the two against each
// other.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux::model {

struct TunedValue {
  std::string name;
  double value = 0;  // as the module has it
};
// In the order of the policy files.
const std::vector<TunedValue>& tunedValues();

using Tuning = std::map<std::string, double>;  // what differs

// Not to be used on two threads at once; several may live on one.
class TunedModule {
 public:
  TunedModule(const Settings& settings, std::uint64_t seed, std::shared_ptr<const Tuning> tuning);
  ~TunedModule();
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace grademux::model
