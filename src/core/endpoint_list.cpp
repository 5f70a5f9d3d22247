// Parses the endpoint list of the discovery agent and computes its changes; see endpoint_list.h.
#include "endpoint_list.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace grademux {

namespace {

EndpointState parseState(const json& entry) {
  return oneOf<EndpointState>(text(entry, "status"),
                              {{"Ready", EndpointState::ready},
                               {"Terminating", EndpointState::draining},
                               {"Gone", EndpointState::gone}},
                              "status");
}

ListedEndpoint parseEntry(const json& entry) {
  if (!entry.is_object())
    bad("an entry of endpoints is not an object");
  ListedEndpoint listed;
  listed.endpoint.id = text(entry, "name");
  listed.endpoint.zone = text(entry, "zone", "");
  listed.endpoint.kind = text(entry, "type", "");
  listed.endpoint.destination = integer(entry, "group");
  listed.endpoint.weight = number(entry, "weight", 0);
  listed.endpoint.state = parseState(entry);
  listed.address = text(entry, "address", "");
  listed.started_at = span(entry, "since_ms", 0);
  return listed;
}

bool isSameEntry(const ListedEndpoint& a, const ListedEndpoint& b) {
  return a.endpoint.zone == b.endpoint.zone && a.endpoint.kind == b.endpoint.kind &&
         a.endpoint.destination == b.endpoint.destination && a.endpoint.state == b.endpoint.state &&
         a.endpoint.weight == b.endpoint.weight && a.address == b.address && a.started_at == b.started_at;
}

// Whether the endpoint gets no new messages after the change.
bool isStop(const EndpointChange& change) {
  return change.entry.endpoint.state != EndpointState::ready;
}

}  // namespace

EndpointListAnswer parseEndpointList(const json& answer) {
  if (!answer.is_object())
    bad("the endpoint list is not an object");
  EndpointListAnswer parsed;
  parsed.index = integer(answer, "index");
  parsed.is_snapshot = truth(answer, "snapshot", false);
  const json& endpoints = array(answer, "endpoints");
  parsed.changes.reserve(endpoints.size());
  for (const json& entry : endpoints) {
    EndpointChange change;
    change.entry = parseEntry(entry);
    if (change.entry.endpoint.state != EndpointState::gone)
      change.text = entry.dump();
    parsed.changes.push_back(std::move(change));
  }
  return parsed;
}

void EndpointList::apply(EndpointListAnswer answer) {
  if (answer.is_snapshot) {
    std::unordered_set<std::string_view> named;
    named.reserve(answer.changes.size());
    for (const EndpointChange& change : answer.changes)
      named.insert(change.entry.endpoint.id);
    std::vector<EndpointChange> removed;
    for (const auto& [name, listed] : listed_) {
      if (named.count(name))
        continue;
      removed.push_back({listed, {}});
      removed.back().entry.endpoint.state = EndpointState::gone;
    }
    listed_.reserve(answer.changes.size());
    pending_.reserve(answer.changes.size());
    // Sorted by name: the same lists in the same order give the same slices.
    std::sort(removed.begin(), removed.end(), [](const EndpointChange& a, const EndpointChange& b) {
      return a.entry.endpoint.id < b.entry.endpoint.id;
    });
    for (EndpointChange& change : removed)
      applyChange(std::move(change));
  }
  for (EndpointChange& change : answer.changes)
    applyChange(std::move(change));
  index_ = answer.index;
}

// Whether another endpoint is listed whose process started at the same address later.
bool EndpointList::isDisplaced(const ListedEndpoint& entry) const {
  auto latest = claims_.lower_bound({entry.address, std::numeric_limits<Micros>::max(), {}});
  while (latest != claims_.begin()) {
    --latest;
    const auto& [address, started_at, name] = *latest;
    if (address != entry.address || started_at <= entry.started_at)
      return false;
    if (name != entry.endpoint.id)
      return true;
  }
  return false;
}

// The removals of endpoints whose processes started earlier at the address of the entry.
std::vector<EndpointChange> EndpointList::removalsOfDisplaced(const ListedEndpoint& entry) const {
  std::vector<EndpointChange> removals;
  for (auto claim = claims_.lower_bound({entry.address, std::numeric_limits<Micros>::min(), {}});
       claim != claims_.end(); ++claim) {
    const auto& [address, started_at, name] = *claim;
    if (address != entry.address || started_at >= entry.started_at)
      break;
    if (name == entry.endpoint.id)
      continue;
    removals.push_back({listed_.at(std::string(name)), {}});
    removals.back().entry.endpoint.state = EndpointState::gone;
  }
  return removals;
}

void EndpointList::applyChange(EndpointChange change) {
  if (change.entry.endpoint.state != EndpointState::gone) {
    if (isDisplaced(change.entry)) {
      change.entry.endpoint.state = EndpointState::gone;
      change.text.clear();
    }
    for (EndpointChange& removal : removalsOfDisplaced(change.entry))
      applyChange(std::move(removal));
  }
  const Endpoint& endpoint = change.entry.endpoint;
  const auto known = listed_.find(endpoint.id);
  const bool gone = endpoint.state == EndpointState::gone;
  if (known == listed_.end() ? gone : isSameEntry(known->second, change.entry))
    return;
  if (known != listed_.end()) {  // the endpoint may have moved to another destination
    const auto count = endpoint_counts_.find(known->second.endpoint.destination);
    if (--count->second == 0) {
      removed_destinations_.push_back(count->first);
      endpoint_counts_.erase(count);
    }
  }
  if (known != listed_.end())
    claims_.erase(claimOf(known->second));
  if (gone) {
    listed_.erase(known);
  } else {
    ++endpoint_counts_[endpoint.destination];
    ListedEndpoint& listed = listed_[endpoint.id];
    listed = change.entry;
    claims_.insert(claimOf(listed));
  }
  (isStop(change) ? stop_queue_ : other_queue_).push_back(endpoint.id);
  std::string id = endpoint.id;
  pending_[std::move(id)] = std::move(change);
}

EndpointListUpdate EndpointList::snapshot(const std::function<EndpointState(const Endpoint&)>& state) const {
  EndpointListUpdate update;
  update.kind = EndpointListKind::delta;
  for (const auto& [name, listed] : listed_) {
    update.endpoints.push_back(listed.endpoint);
    update.endpoints.back().state = state(listed.endpoint);
  }
  std::sort(update.endpoints.begin(), update.endpoints.end(),
            [](const Endpoint& a, const Endpoint& b) { return a.id < b.id; });
  return update;
}

EndpointList::Slice EndpointList::next(std::size_t max_changes) {
  Slice slice;
  slice.is_first = !first_slice_taken_;
  slice.removed_destinations.swap(removed_destinations_);
  first_slice_taken_ = true;
  for (std::deque<std::string>* queue : {&stop_queue_, &other_queue_}) {
    for (; !queue->empty() && slice.changes.size() < max_changes; queue->pop_front()) {
      const auto pending = pending_.find(queue->front());
      if (pending == pending_.end() || isStop(pending->second) != (queue == &stop_queue_))
        continue;
      slice.changes.push_back(std::move(pending->second));
      pending_.erase(pending);
    }
  }
  if (pending_.empty())
    delivered_index_ = index_;
  slice.index = delivered_index_;
  return slice;
}

}  // namespace grademux
