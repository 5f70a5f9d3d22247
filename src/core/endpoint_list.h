// grademux: the list of endpoints as its source last told it, and what of it the core has still to hear. It
// keeps what is listed, finds what an answer changes, and hands the changes on in slices, so that a list of
// any length costs each turn of the loop a bounded part: what must stop (draining, gone) first, then what is
// new. No I/O, no clock; used from one thread, but readList() may run on any.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "grademux/sender.h"
#include "json_fields.h"

namespace grademux {

struct ListedEndpoint {
  Endpoint endpoint;
  std::string address;  // HOST:PORT, not read here
};

// An entry that is new, changed, or (by its state) gone. `text`: the entry as JSON, to be kept; empty if it
// is gone.
struct EndpointChange {
  ListedEndpoint entry;
  std::string text;
};

// What a source answered: the whole list, or what has changed since an earlier version.
struct EndpointListAnswer {
  std::int64_t index = -1;  // the list's version
  bool whole = false;
  std::vector<EndpointChange> changes;
};

// Reads discovery's form. Throws BadInput that names the field.
EndpointListAnswer parseEndpointList(const json& answer);

class EndpointList {
 public:
  // What the core is to hear next. `index` is the version that is complete once this has been heard: that of
  // the answer with its last slice, the one before until then. A process that ends between asks again from
  // there.
  struct Slice {
    bool whole = false;  // all that there is begins here: nothing was known before
    std::int64_t index = -1;
    std::vector<EndpointChange> changes;
    std::vector<std::int64_t> unlisted;  // destinations that no entry names any more
  };

  // What an answer changes waits to be heard. What a whole list does not name is gone. An entry that waits
  // and comes again is heard once, as it came last.
  void apply(EndpointListAnswer answer);
  bool hasPending() const { return !pending_.empty() || index_ != delivered_index_; }
  Slice next(std::size_t most);

  // All that is listed, each in the state that `state` gives it: for the module alone.
  EndpointListUpdate snapshot(const std::function<EndpointState(const Endpoint&)>& state) const;

  std::int64_t index() const { return index_; }  // of the last answer
  std::size_t size() const { return known_.size(); }
  bool lists(std::int64_t destination) const { return destinations_.count(destination) > 0; }
  const ListedEndpoint* find(const std::string& endpoint) const {
    const auto at = known_.find(endpoint);
    return at == known_.end() ? nullptr : &at->second;
  }

 private:
  void change(EndpointChange c);

  std::int64_t index_ = -1, delivered_index_ = -1;
  bool begun_ = false;  // something was told
  std::unordered_map<std::string, ListedEndpoint> known_;
  std::unordered_map<std::int64_t, std::size_t> destinations_;  // entries of each
  std::unordered_map<std::string, EndpointChange> pending_;
  std::vector<std::int64_t> unlisted_;
  std::deque<std::string> stops_,
      others_;  // in which order; one that waits no more, or in the other, is skipped
};

}  // namespace grademux
