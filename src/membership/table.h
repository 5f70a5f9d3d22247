// The partners of a program with several sources: which source owns each partner, which partners are in
// force, and which changes the core must receive. No I/O, no clock; one thread.
//
// A unit is replaced as a whole: the daemon file, or one file of a folder. A partner belongs to the unit that
// declared it first, an address to the partner that claimed it first. Another claim is reported as a conflict
// and waits; when the owner releases the name or address, the next claimant becomes the owner in the same
// change, so a partner that moves from file to file is never absent in between. The cost of a change depends
// on the size of the unit, not of the table.
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
    std::string partner, unit, endpoint, owner;  // owner: a unit, or a partner for an endpoint or number
  };
  // A change for the core, the log and the resolution of DNS names.
  struct Change {
    std::vector<EndpointChange> entries;
    std::vector<Conflict> conflicts;    // conflicts not reported before
    std::vector<std::string> partners;  // partners in force that were added, changed or removed
  };

  // Replaces all partners of a unit; without partners the unit is removed. The resolved addresses of a
  // partner are kept while any unit declares it.
  void declare(const std::string& unit, std::vector<Partner> partners);
  // Sets the addresses of a partner's DNS name. Ignored if the partner is not in force or has no DNS name.
  void setResolved(const std::string& partner, std::vector<std::string> addresses);
  // Returns the changes since the last call.
  Change takeChanges();

  // The partner in force with this name or former name; null if none.
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

  const Partner* findDeclared(const std::string& unit, const std::string& name) const;
  void putInForce(const std::string& name);
  void removeFromForce(const std::string& name);
  void releaseAddresses(const std::string& name);
  void claimAddresses(const std::string& name);
  std::map<std::string, Entry> wantedEntries(const InForce& in_force, Change& change);
  static EndpointChange endpointChange(const std::string& base, const std::string& name,
                                       const std::string& address, const Entry* entry);
  void appendEndpointChanges(const std::string& name, Change& change);
  std::vector<std::string> releaseUndecided();
  void putInForceOrReport(const std::string& name, Change& change);
  std::set<std::string> wantedAddresses(const std::string& name) const;
  void reportConflict(const Conflict& conflict, Change& change);
  void forgetConflicts(const std::string& prefix);

  std::map<std::string, std::map<std::string, Partner>> units_;
  Claims by_name_;     // partner name -> units, the owner first
  Claims by_address_;  // address -> partners in force that list it, the owner first
  std::map<std::int64_t, std::string> by_number_;                // number -> partner in force
  std::unordered_map<std::string, std::string> by_former_name_;  // former name -> partner in force
  std::unordered_map<std::string, InForce> in_force_;
  std::unordered_map<std::string, std::vector<std::string>> resolved_;  // by partner
  std::unordered_map<std::string, std::set<std::string>> claimed_;      // by partner: addresses
  // The entries that the core has: by base name of the partner, then by address.
  std::unordered_map<std::string, std::map<std::string, Entry>> listed_;
  std::unordered_map<std::string, std::string> base_;  // base name by listed partner
  // Partners whose declarations or addresses changed, and partners whose entries must be compared with the
  // core's.
  std::set<std::string> undecided_, dirty_;
  std::map<std::int64_t, std::set<std::string>> waiting_by_number_;  // partners whose number another has
  std::set<std::string> conflicts_;                                  // reported, still present
  std::size_t endpoints_ = 0;
};

// An entry of the endpoint list that an earlier process stored in the journal, with its part of the partner.
struct StoredEntry {
  std::string unit, partner, formerly, address, zone;
  std::int64_t number = 0;
  double rate = 0;
  bool draining = false;
};
// Returns false if the text is not an entry of a partner: the platform's, an older version's or malformed.
bool parseStoredEntry(const std::string& text, StoredEntry& entry);

}  // namespace grademux
