// grademux: the partners of a program that has several sources: whose each is, what is in force, and what the
// core has to hear of a change. No I/O, no clock; one thread.
//
// A unit is what is replaced as a whole: the daemon file, or one file of a folder. A partner belongs to the
// unit that named it first, an address to the partner that did. Another claim is told as a conflict and
// waits; when the owner gives up, the next takes over in the same change, so a partner that moves from file
// to file is never gone in between. The cost of a change follows what the unit says, not what there is.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../core/endpoint_list.h"
#include "partners.h"

namespace grademux {

class PartnerTable {
 public:
  struct Conflict {
    std::string partner, unit, endpoint, owner;  // owner: a unit, or with an endpoint a partner
  };
  // What the core is told, and what a look-up of names has to follow.
  struct Change {
    std::vector<EndpointChange> entries;
    std::vector<Conflict> conflicts;    // new ones
    std::vector<std::string> partners;  // whose entry in force is another now, or gone
  };

  // All partners of a unit, in place of what it had; none: the unit is gone. What a name was resolved to is
  // kept, if the unit still asks for the same name.
  void declare(const std::string& unit, std::vector<Partner> partners);
  // What a partner's name in DNS stands for now. Ignored if it isn't in force, or has no such name.
  void resolved(const std::string& partner, std::vector<std::string> addresses);
  // What has changed since this was asked last.
  Change take();

  // The partner in force by this name or the one that it had; null: none.
  const Partner* find(const std::string& name) const;
  std::vector<std::string> units() const;
  bool declares(const std::string& unit) const { return units_.count(unit) > 0; }
  std::size_t partners() const { return in_force_.size(); }
  std::size_t endpoints() const { return endpoints_; }

 private:
  struct InForce {
    std::string unit;
    Partner partner;
  };
  struct Entry {
    std::int64_t number;
    double rate;
    bool draining;
    std::string unit, zone;
    bool operator==(const Entry& o) const {
      return number == o.number && rate == o.rate && draining == o.draining && unit == o.unit &&
             zone == o.zone;
    }
  };
  using Claims = std::unordered_map<std::string, std::vector<std::string>>;

  const Partner* declared(const std::string& unit, const std::string& name) const;
  void settle(const std::string& name);
  void drop(const std::string& name);
  void releaseAddresses(const std::string& name);
  void claimAddresses(const std::string& name);
  std::map<std::string, Entry> wantedEntries(const InForce& in_force, Change& change);
  static EndpointChange endpointChange(const std::string& base, const std::string& name,
                                       const std::string& address, const Entry* entry);
  void appendEndpointChanges(const std::string& name, Change& change);
  std::vector<std::string> releaseUnsettled();
  void settleOrReport(const std::string& name, Change& change);
  std::set<std::string> wanted(const std::string& name) const;
  void reportConflict(const Conflict& conflict, Change& change);
  void forgetConflicts(const std::string& prefix);

  std::map<std::string, std::map<std::string, Partner>> units_;
  Claims by_name_;     // partner's name -> units, the owner first
  Claims by_address_;  // address -> partners in force that name it, the owner first
  std::map<std::int64_t, std::string> by_number_;        // number -> partner in force
  std::unordered_map<std::string, std::string> former_;  // former name -> partner in force
  std::unordered_map<std::string, InForce> in_force_;
  std::unordered_map<std::string, std::vector<std::string>> resolved_;  // by partner
  std::unordered_map<std::string, std::set<std::string>> claimed_;      // by partner: addresses
  // What the core was told: by partner's base name, then by address.
  std::unordered_map<std::string, std::map<std::string, Entry>> listed_;
  std::unordered_map<std::string, std::string> base_;  // of a partner that is listed
  std::set<std::string> unsettled_, dirty_;
  std::map<std::int64_t, std::set<std::string>> waiting_;  // for a number that is another's
  std::set<std::string> conflicts_;                        // that were told and last
  std::size_t endpoints_ = 0;
};

// What an earlier process kept of an entry: so much of a partner as one entry tells.
struct KeptEntry {
  std::string unit, partner, formerly, address, zone;
  std::int64_t number = 0;
  double rate = 0;
  bool draining = false;
};
bool readKept(const std::string& text, KeptEntry& entry);

}  // namespace grademux
