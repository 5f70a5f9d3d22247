// grademux model: one run; see fleet.h.
#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace grademux::model {

namespace {

constexpr double kSecond = 1e6;
constexpr Micros kFlush = 500'000;  // a clump comes within this

double drawn(Stream& s, const Range& r) {
  return s.between(r.least, r.most);
}

// The first place whose cumulated share lies above a drawn one.
std::size_t pick(Stream& s, const std::vector<double>& cumulated) {
  const double x = s.uniform() * cumulated.back();
  const auto at = std::upper_bound(cumulated.begin(), cumulated.end(), x);
  return std::min(cumulated.size() - 1, static_cast<std::size_t>(at - cumulated.begin()));
}
std::vector<double> cumulated(std::vector<double> shares) {
  std::partial_sum(shares.begin(), shares.end(), shares.begin());
  return shares;
}

}  // namespace

Fleet::Fleet(World w, Choice c)
    : world(std::move(w)),
      choice(c),
      settings(world.settings),
      checker(settings),
      clients_(c.seed, "clients"),
      network_(c.seed, "network"),
      troubles_(c.seed, "troubles"),
      services_(c.seed, "services"),
      seed_(c.seed) {
  clock.run(kBegin, 1);
  drawPartners();
  for (int i = 0; i < world.senders; ++i)
    nodes_.push_back(std::make_unique<Node>(*this, i, c.seed));
  std::vector<Endpoint> all;
  for (std::size_t e = 0; e < endpoints.size(); ++e)
    all.push_back(told(e));
  for (auto& n : nodes_) {
    n->hear(all);
    n->start();
  }
  drawTraffic();
  drawTroubles();
}

void Fleet::drawPartners() {
  Stream s(seed_, "partners");
  const double full_load = world.rate / drawn(s, world.load), exponent = drawn(s, world.zipf);
  std::vector<double> shares;
  for (int i = 0; i < world.partners; ++i)
    shares.push_back(std::pow(i + 1.0, -exponent));
  const double all = std::accumulate(shares.begin(), shares.end(), 0.0);
  double kinds = 0, service = 0, classes = 0;
  for (const PartnerKind& k : world.kinds)
    kinds += k.share;
  for (const ClassSpec& k : world.classes) {
    service += k.share * (k.service.least + k.service.most) / 2 / kSecond;
    classes += k.share;
    class_share_.push_back(k.share);
  }
  class_share_ = cumulated(class_share_);
  service /= std::max(1e-9, classes);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    traffic_.push_back(shares[i] / all);
    double x = s.uniform() * kinds;
    const PartnerKind* kind = &world.kinds.back();
    for (const PartnerKind& k : world.kinds) {
      if (x < k.share) {
        kind = &k;
        break;
      }
      x -= k.share;
    }
    Partner::Traits t;
    t.kind = kind;
    t.limit = std::max(drawn(s, kind->least_rate), traffic_[i] * full_load * drawn(s, kind->headroom));
    t.capacity = t.limit * drawn(s, kind->spare);
    t.pace = s.lognormal(1, 0.4);
    t.tells_wait = drawn(s, kind->tells_wait);
    t.depth = static_cast<Micros>(drawn(s, kind->depth));
    int n = 1;
    while (n < 4 && s.chance((world.endpoints - 1) / 2))
      ++n;
    if (kind->conns > 0)
      t.connections =
          std::max(kind->least_conns, static_cast<int>(kind->conns * t.capacity * service * t.pace / n) + 1);
    // The list's figure, off by up to so much either way.
    const double off = 1 + std::max(0.0, world.listed_off) * s.uniform();
    listed_.push_back(world.listed_off < 0 ? 0 : s.chance(0.5) ? t.limit * off : t.limit / off);
    partners.push_back(std::make_unique<Partner>(static_cast<std::int64_t>(i), t, world.settings, seed_));
    for (int e = 0; e < n; ++e) {
      ListedEndpoint x2;
      x2.name = "p" + std::to_string(i) + "-" + std::to_string(e);
      x2.partner = i;
      endpoint_of[x2.name] = endpoints.size();
      endpoints.push_back(std::move(x2));
    }
  }
  on_way_.resize(partners.size());
  announced_.resize(partners.size());
  // All senders have the same settings, by the busiest one's part.
  std::vector<double> parts;
  for (int i = 0; i < world.senders; ++i)
    parts.push_back(std::pow(i + 1.0, -world.sender_skew));
  const double busiest = parts[0] / std::accumulate(parts.begin(), parts.end(), 0.0);
  client_share_ = cumulated(parts);
  settings.max_in_flight = std::max(
      world.least_slots, static_cast<int>(std::ceil(busiest * full_load * service * world.slots_room)));
  settings.max_open_messages = std::max(world.least_open, static_cast<int>(busiest * full_load * world.hold));
}

// One arrival plans the next; what is drawn for clients doesn't depend on what senders do.
void Fleet::drawTraffic() {
  const double share = drawn(clients_, world.clumps);
  clump_ = drawn(clients_, world.clump);
  to_ = cumulated(traffic_);
  double size = 0;
  for (std::size_t i = 0; i < partners.size(); ++i)
    size += traffic_[i] * partners[i]->traits().limit * clump_;
  if (share < 1) {
    gap_ = kSecond / (world.rate * (1 - share));
    clock.in(static_cast<Micros>(clients_.exponential(gap_)), [this] { nextMessage(); });
  }
  if (share <= 0)
    return;
  clump_gap_ = kSecond * std::max(1.0, size) / (world.rate * share);
  clock.in(static_cast<Micros>(clients_.exponential(clump_gap_)), [this] { nextClump(); });
}

void Fleet::nextMessage() {
  if (now() >= kBegin + world.length)
    return;
  arrive(pick(clients_, to_), now());
  clock.in(static_cast<Micros>(clients_.exponential(gap_)), [this] { nextMessage(); });
}

void Fleet::nextClump() {
  if (now() >= kBegin + world.length)
    return;
  const std::size_t p = pick(clients_, to_);
  const long n = std::max(1L, std::lround(partners[p]->traits().limit * clump_));
  for (long i = 0; i < n; ++i) {
    const Micros at = now() + static_cast<Micros>(clients_.between(0, kFlush));
    clock.at(at, [this, p, at] { arrive(p, at); });
  }
  clock.in(static_cast<Micros>(clients_.exponential(clump_gap_)), [this] { nextClump(); });
}

void Fleet::arrive(std::size_t partner, Micros at) {
  Submission s;
  s.cls = pick(clients_, class_share_);
  s.partner = partner;
  s.sender = static_cast<int>(pick(clients_, client_share_));
  s.born = s.since = at;
  s.give_up_at = at + settings.classes[s.cls].deadline;
  submissions.push_back(s);
  handIn(submissions.size() - 1);
}

void Fleet::handIn(std::size_t submission) {
  clock.in(static_cast<Micros>(drawn(network_, world.front)), [this, submission] {
    if (!nodes_[static_cast<std::size_t>(submissions[submission].sender)]->submit(submission))
      unheard(submission);
  });
}

void Fleet::again(std::size_t submission, Micros in) {
  Submission& s = submissions[submission];
  ++s.tries;
  if (now() + in >= s.give_up_at)
    return over(submission, false, s.how);
  clock.in(in, [this, submission] { handIn(submission); });
}

void Fleet::refused(std::size_t submission, Micros pause, Micros until) {
  Submission& s = submissions[submission];
  s.give_up_at = std::min(s.give_up_at, until);
  if (s.tries >= world.client_tries)
    return over(submission, false, s.how);
  const bool heeds = pause > 0 && network_.chance(world.heed);
  again(submission, heeds ? pause : static_cast<Micros>(drawn(network_, world.again)));
}

void Fleet::unheard(std::size_t submission) {
  submissions[submission].how = Cause::count;
  again(submission, static_cast<Micros>(drawn(network_, world.again)));
}

void Fleet::over(std::size_t submission, bool delivered, Cause how) {
  Submission& s = submissions[submission];
  if (s.over)
    return;
  s.over = true;
  s.ended = now();
  if (s.since < now())
    s.parts[static_cast<std::size_t>(Cause::client)] += now() - s.since;
  const MessageClass& c = settings.classes[s.cls];
  const double left = delivered ? worthAt(c, settings.lateness_penalty, now() - s.born) : 0;
  ledger.close(c, s.born - kBegin, s.parts, left, delivered ? Cause::count : how);
}

Micros Fleet::wayTo() {
  return static_cast<Micros>(drawn(network_, world.way));
}

Micros Fleet::serviceOf(std::size_t cls) {
  return static_cast<Micros>(drawn(services_, world.classes[cls].service) * common_slow);
}

bool Fleet::takes(std::int64_t partner, Micros at) const {
  const auto p = static_cast<std::size_t>(partner);
  return partners[p]->room(at, on_way_[p] + std::max(0, announced_[p]));
}
void Fleet::taking(std::int64_t partner, Micros) {
  ++announced_[static_cast<std::size_t>(partner)];
}

// ---- troubles

Endpoint Fleet::told(std::size_t e) const {
  Endpoint x;
  x.id = endpoints[e].name;
  x.zone = "a";
  x.kind = partners[endpoints[e].partner]->traits().kind->name;
  x.destination = static_cast<std::int64_t>(endpoints[e].partner);
  x.state = endpoints[e].state;
  x.weight = listed_[endpoints[e].partner];
  return x;
}

void Fleet::tellAll(const std::vector<Endpoint>& entries) {
  for (auto& n : nodes_) {
    Node* node = n.get();
    clock.in(static_cast<Micros>(drawn(troubles_, world.notice)), [node, entries] { node->hear(entries); });
  }
}

void Fleet::drawTroubles() {
  for (const Trouble& t : world.troubles) {
    const Micros at =
        t.at >= 0 ? t.at
                  : static_cast<Micros>(troubles_.between(0.15, 0.6) * static_cast<double>(world.length));
    clock.at(kBegin + at, [this, &t] { begin(t); });
  }
}

// Partners that together get about this part of the traffic.
std::set<std::size_t> Fleet::struck(const Trouble& t, double part) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < partners.size(); ++i)
    if (t.partners.empty() || partners[i]->traits().kind->name == t.partners)
      all.push_back(i);
  for (std::size_t i = all.size(); i > 1; --i)
    std::swap(all[i - 1], all[troubles_.below(i)]);
  std::set<std::size_t> chosen;
  double sum = 0;
  for (const std::size_t i : all) {
    if (sum >= part)
      break;
    if (sum + traffic_[i] > part + 0.1 && !chosen.empty())
      continue;
    chosen.insert(i);
    sum += traffic_[i];
  }
  return chosen;
}

void Fleet::begin(const Trouble& t) {
  const double part = drawn(troubles_, t.part), size = drawn(troubles_, t.size);
  const Micros length = static_cast<Micros>(drawn(troubles_, t.length)), until = now() + length;
  const TroubleKind kind = t.kind;
  if (kind == TroubleKind::common_slow) {
    common_slow = size;
    return clock.at(until, [this] { common_slow = 1; });
  }
  if (kind == TroubleKind::cut) {
    for (auto& n : nodes_)
      n->cutIdle();
    return;
  }
  if (kind == TroubleKind::kill || kind == TroubleKind::stop) {
    std::vector<std::size_t> all(nodes_.size());
    std::iota(all.begin(), all.end(), 0);
    for (std::size_t i = all.size(); i > 1; --i)
      std::swap(all[i - 1], all[troubles_.below(i)]);
    all.resize(static_cast<std::size_t>(std::ceil(part * static_cast<double>(all.size()))));
    for (const std::size_t i : all) {
      Node* n = nodes_[i].get();
      if (!n->up())
        continue;
      const bool kills = kind == TroubleKind::kill;
      if (kills)
        n->die();
      else
        n->stop();
      clock.at(kills ? until : std::max(until, now() + Node::kLinger + 1), [n] {
        if (!n->up())
          n->start();
      });
    }
    return;
  }
  const std::set<std::size_t> chosen = struck(t, part);
  if (kind == TroubleKind::leave) {
    std::vector<Endpoint> drains, gone;
    const std::size_t known = endpoints.size();
    for (std::size_t e = 0; e < known; ++e) {
      if (!endpoints[e].there || endpoints[e].state != EndpointState::ready ||
          !chosen.count(endpoints[e].partner))
        continue;
      endpoints[e].state = EndpointState::draining;
      drains.push_back(told(e));
      ListedEndpoint next;
      next.name = endpoints[e].name + "'";
      next.partner = endpoints[e].partner;
      endpoint_of[next.name] = endpoints.size();
      endpoints.push_back(next);
      drains.push_back(told(endpoints.size() - 1));
    }
    tellAll(drains);
    return clock.at(until, [this, drains] {
      std::vector<Endpoint> left;
      for (const Endpoint& d : drains) {
        ListedEndpoint& e = endpoints[endpoint_of.at(d.id)];
        if (e.state != EndpointState::draining)
          continue;
        e.state = EndpointState::gone;
        e.there = false;
        left.push_back(told(endpoint_of.at(d.id)));
      }
      tellAll(left);
    });
  }
  const auto changed = [this](std::size_t p) {
    for (auto& n : nodes_)
      n->partnerChanged(p);
  };
  for (const std::size_t p : chosen) {
    partners[p]->begin(kind, size, until);
    changed(p);
    clock.at(until, [this, p, kind, changed] {
      partners[p]->end(kind, now());
      changed(p);
      clock.in(settings.slow_start_time, [p, changed] { changed(p); });
    });
  }
}

// ---- the end

json Fleet::play() {
  Micros longest = 0;
  for (const MessageClass& c : settings.classes)
    longest = std::max(longest, c.deadline);
  Micros trouble = 0;
  for (const Trouble& t : world.troubles)
    trouble = std::max(trouble, static_cast<Micros>(t.length.most));
  clock.run(kBegin + world.length + longest + std::max<Micros>(trouble, 10'000'000), world.most_steps);
  checker.finish(now());
  for (std::size_t i = 0; i < submissions.size(); ++i)
    if (!submissions[i].over)
      over(i, false, Cause::count);
  return figures();
}

}  // namespace grademux::model
