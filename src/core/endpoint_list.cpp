// grademux: the list of endpoints; see list.h.
#include "endpoint_list.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace grademux {

namespace {

EndpointState stateOf(const json& e) {
  return oneOf<EndpointState>(text(e, "status"),
                              {{"Ready", EndpointState::ready},
                               {"Terminating", EndpointState::draining},
                               {"Gone", EndpointState::gone}},
                              "status");
}

ListedEndpoint entryOf(const json& e) {
  if (!e.is_object())
    bad("an endpoint is not an object");
  ListedEndpoint l;
  l.endpoint.id = text(e, "name");
  l.endpoint.zone = text(e, "zone", "");
  l.endpoint.kind = text(e, "type", "");
  l.endpoint.destination = integer(e, "group");
  l.endpoint.weight = number(e, "weight", 0);
  l.endpoint.state = stateOf(e);
  l.address = text(e, "address", "");
  return l;
}

bool same(const ListedEndpoint& a, const ListedEndpoint& b) {
  return a.endpoint.zone == b.endpoint.zone && a.endpoint.kind == b.endpoint.kind &&
         a.endpoint.destination == b.endpoint.destination && a.endpoint.state == b.endpoint.state &&
         a.endpoint.weight == b.endpoint.weight && a.address == b.address;
}

bool stops(const EndpointChange& c) {
  return c.entry.endpoint.state != EndpointState::ready;
}

}  // namespace

EndpointListAnswer parseEndpointList(const json& answer) {
  if (!answer.is_object())
    bad("the list is not an object");
  EndpointListAnswer a;
  a.index = integer(answer, "index");
  a.whole = truth(answer, "snapshot", false);
  const json& endpoints = array(answer, "endpoints");
  a.changes.reserve(endpoints.size());
  for (const json& e : endpoints) {
    EndpointChange c;
    c.entry = entryOf(e);
    if (c.entry.endpoint.state != EndpointState::gone)
      c.text = e.dump();
    a.changes.push_back(std::move(c));
  }
  return a;
}

void EndpointList::apply(EndpointListAnswer answer) {
  if (answer.whole) {
    std::unordered_set<std::string_view> named;
    named.reserve(answer.changes.size());
    for (const EndpointChange& c : answer.changes)
      named.insert(c.entry.endpoint.id);
    std::vector<EndpointChange> lost;
    for (const auto& [name, e] : known_) {
      if (named.count(name))
        continue;
      lost.push_back({e, {}});
      lost.back().entry.endpoint.state = EndpointState::gone;
    }
    known_.reserve(answer.changes.size());
    pending_.reserve(answer.changes.size());
    // In the order of names: the same lists in the same order give the same slices.
    std::sort(lost.begin(), lost.end(), [](const EndpointChange& a, const EndpointChange& b) {
      return a.entry.endpoint.id < b.entry.endpoint.id;
    });
    for (EndpointChange& c : lost)
      change(std::move(c));
  }
  for (EndpointChange& c : answer.changes)
    change(std::move(c));
  index_ = answer.index;
}

void EndpointList::change(EndpointChange c) {
  const Endpoint& e = c.entry.endpoint;
  const auto known = known_.find(e.id);
  const bool gone = e.state == EndpointState::gone;
  if (known == known_.end() ? gone : same(known->second, c.entry))
    return;
  if (known != known_.end()) {  // its place in the list may be another now
    const auto at = destinations_.find(known->second.endpoint.destination);
    if (--at->second == 0) {
      unlisted_.push_back(at->first);
      destinations_.erase(at);
    }
  }
  if (gone) {
    known_.erase(known);
  } else {
    ++destinations_[e.destination];
    if (known != known_.end())
      known->second = c.entry;
    else
      known_.emplace(e.id, c.entry);
  }
  (stops(c) ? stops_ : others_).push_back(e.id);
  std::string id = e.id;
  pending_[std::move(id)] = std::move(c);
}

EndpointListUpdate EndpointList::snapshot(const std::function<EndpointState(const Endpoint&)>& state) const {
  EndpointListUpdate u;
  u.kind = EndpointListKind::delta;
  for (const auto& [name, e] : known_) {
    u.endpoints.push_back(e.endpoint);
    u.endpoints.back().state = state(e.endpoint);
  }
  std::sort(u.endpoints.begin(), u.endpoints.end(),
            [](const Endpoint& a, const Endpoint& b) { return a.id < b.id; });
  return u;
}

EndpointList::Slice EndpointList::next(std::size_t most) {
  Slice s;
  s.whole = !begun_;
  s.unlisted.swap(unlisted_);
  begun_ = true;
  for (std::deque<std::string>* line : {&stops_, &others_}) {
    for (; !line->empty() && s.changes.size() < most; line->pop_front()) {
      const auto at = pending_.find(line->front());
      if (at == pending_.end() || stops(at->second) != (line == &stops_))
        continue;
      s.changes.push_back(std::move(at->second));
      pending_.erase(at);
    }
  }
  if (pending_.empty())
    delivered_index_ = index_;
  s.index = delivered_index_;
  return s;
}

}  // namespace grademux
