// The endpoint list as last received from its source, and the changes that the decision module has not got
// yet. The list computes what each answer changes and returns the changes in slices, so that a list of any
// length costs each iteration a bounded amount of work. Changes to draining or gone endpoints come before all
// others. No I/O, no clock; used from one thread, but parseEndpointList() may run on any thread.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "grademux/sender.h"
#include "json_fields.h"

namespace grademux {

struct ListedEndpoint {
  Endpoint endpoint;
  std::string address;    // HOST:PORT; the list does not parse it
  Micros started_at = 0;  // when the endpoint's process started, Unix time; 0: long ago
};

// An entry that was added, changed or removed; the state of a removed entry is `gone`.
struct EndpointChange {
  ListedEndpoint entry;
  std::string text;  // the entry as JSON, for the journal; empty if the endpoint is gone
};

// An answer of the list's source: the complete list, or the changes since an earlier version.
struct EndpointListAnswer {
  std::int64_t index = -1;   // version of the list
  bool is_snapshot = false;  // the complete list: endpoints without an entry are gone
  std::vector<EndpointChange> changes;
};

// Parses an endpoint list in the JSON format of the discovery agent. Throws BadInput with the name of the
// malformed field.
EndpointListAnswer parseEndpointList(const json& answer);

// An address belongs to the process that started there last: while one is listed, an endpoint whose process
// started there earlier counts as gone, even if the list still names it.
class EndpointList {
 public:
  // A part of the pending changes. `index` is the list version that is complete once this slice is applied:
  // the version of the latest answer if no changes are pending after the slice, the last complete version
  // otherwise. A process that stops between slices requests the list again from that version.
  struct Slice {
    bool is_first = false;  // the first slice of this process: no endpoint was known before
    std::int64_t index = -1;
    std::vector<EndpointChange> changes;
    std::vector<std::int64_t> removed_destinations;  // destinations that lost their last endpoint
  };

  // Adds the changes of an answer to the pending ones. An endpoint that a snapshot does not name is gone. An
  // entry that changes again while it is pending is returned once, in its latest form.
  void apply(EndpointListAnswer answer);
  bool hasPending() const { return !pending_.empty() || index_ != delivered_index_; }
  // The next slice, with at most `max_changes` changes.
  Slice next(std::size_t max_changes);

  // All listed endpoints, each in the state that `state` returns for it, as an update for the decision
  // module. The pending changes stay pending.
  EndpointListUpdate snapshot(const std::function<EndpointState(const Endpoint&)>& state) const;

  std::int64_t index() const { return index_; }  // version of the last answer
  std::size_t size() const { return listed_.size(); }
  bool containsDestination(std::int64_t destination) const { return endpoint_counts_.count(destination) > 0; }
  // Null if the endpoint is not listed.
  const ListedEndpoint* find(const std::string& endpoint) const {
    const auto found = listed_.find(endpoint);
    return found == listed_.end() ? nullptr : &found->second;
  }

 private:
  void applyChange(EndpointChange change);
  bool isDisplaced(const ListedEndpoint& entry) const;
  std::vector<EndpointChange> removalsOfDisplaced(const ListedEndpoint& entry) const;

  std::int64_t index_ = -1, delivered_index_ = -1;
  bool first_slice_taken_ = false;
  std::unordered_map<std::string, ListedEndpoint> listed_;
  // An endpoint at an address, ordered by address, then by the start of the process. The views are into
  // `listed_`.
  using AddressClaim = std::tuple<std::string_view, Micros, std::string_view>;
  static AddressClaim claimOf(const ListedEndpoint& listed) {
    return {listed.address, listed.started_at, listed.endpoint.id};
  }
  std::set<AddressClaim> claims_;
  std::unordered_map<std::int64_t, std::size_t> endpoint_counts_;  // by destination
  std::unordered_map<std::string, EndpointChange> pending_;
  std::vector<std::int64_t> removed_destinations_;
  // Names of pending endpoints in the order of delivery. A name that is no longer pending, or whose pending
  // change belongs to the other queue, is skipped.
  std::deque<std::string> stop_queue_, other_queue_;
};

}  // namespace grademux
