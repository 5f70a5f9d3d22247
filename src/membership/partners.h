// grademux: partners as a daemon file names them: the first source of membership beside the platform's
// discovery. Each is one destination with its endpoints. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "../admission/admission.h"
#include "list.h"

namespace grademux {

struct Partner {
  std::string name;
  std::int64_t number = 0;             // of its destination
  std::vector<std::string> endpoints;  // HOST:PORT
  std::vector<std::string> draining;   // of those: listed, and sent nothing new
  double rate = 0;                     // calls a second that it takes, of all senders; 0: not known
};

// The number of a partner that was given none: of its name alone, so that it stays the same over restarts,
// moves in the file and machines (FNV-1a, 31 bits of it). Two names may share one: the file then has to give
// a number.
std::int64_t numberOfName(const std::string& name);

// All of them as a whole list. An endpoint's id is its partner's name and its address: one that moves is a
// new one.
ListAnswer listOf(const std::vector<Partner>& partners, std::int64_t index);

// An admission step: puts a destination's number in place of a partner's name.
class PartnerNames : public AdmissionStep {
 public:
  void set(const std::vector<Partner>& partners);
  const char* name() const override { return "partners"; }
  void take(const std::shared_ptr<Submission>& s, Next next) override;

 private:
  std::map<std::string, std::int64_t> numbers_;
};

}  // namespace grademux
