// grademux, decision: what the module remembers, and what all of its sections ask of it. The sections stand
// on one another: state, 1 tags, 2 bound, 3 health, 4 attempts, 5 admission, 6 membership, logic.cpp (turn).
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "classes.h"
#include "containers.h"
#include "grademux/sender.h"

namespace grademux::decision {

constexpr double kSecond = 1e6;
constexpr Micros kNever = INT64_MAX / 4;

struct Tag {
  double local = 0, global = 0;
};

struct Guard {       // upper bound and health of a destination, a route, or one endpoint of a destination
  double limit = 0;  // calls a second from all senders: told, listed or learned; 0: none known
  bool told = false;
  double part = 1;  // of the limit that this sender takes
  Micros part_at = 0, cut_at = -kNever;
  double u = 0;                  // the paper's upper-bound tag
  Micros wait_until = 0;         // told to wait
  Rate sent;                     // own calls
  double usual = 0, recent = 1;  // latency in micros; recent one over usual
  int samples = 0;
  double failed = 0, risk = 0;  // shares of late outcomes: failed, ended in the unknown
  int streak = 0, refused = 0;  // failures, refusals since the last success
  Micros last_ok = -kNever, first_bad = kNever, last_end = -kNever;
  bool down = false;
  Micros noted = -kNever, noted_wait = 0;  // cold_since, wait_until as last given to the host to keep
  Micros cold_since = -kNever;             // the latest moment at which it was not known to be back
  int overdue = 0;                         // calls out far too long, with none answered since they left
};

struct Dest;
struct Server {
  std::string id, zone;
  Dest* dest = nullptr;
  const DestinationKind* kind = nullptr;
  EndpointState state = EndpointState::gone;
  double weight = 0;
  int out = 0;       // calls out
  int attempts = 0;  // of messages that are not over, out or not
  Micros gone_at = 0;
  Micros used = -kNever;
  Micros no_connect = -kNever;  // the last connect that failed
  Micros stale_at = -kNever;    // a kept connection was found dead by a call
  std::deque<Micros> idle;      // since when each connection of this sender idles, oldest first
  Guard guard;
};

struct Attempt {
  Server* server = nullptr;
  Micros sent = 0;
  std::uint64_t call = 0, order = 0;
  bool out = true, may_have_run = true;
  Micros idled = -1;  // how long its connection had idled; -1: a fresh one
  bool late = false;  // counted as overdue
  bool called_off = false;
};

struct Message {
  std::string id, key;
  ClassVersion cls;
  int tenant = -1;
  Dest* dest = nullptr;
  Micros handed_in = 0, end_at = 0, not_before = 0, aim = 0;
  std::uint64_t order = 0, held_as = 0;  // when it came, and came to be held, among all
  std::vector<Attempt> attempts;
  bool held = false, ended = false;
  int out = 0;
};

struct Dest {
  std::int64_t id = 0;
  std::vector<Server*> servers;
  Line<Message, &Message::held_as> held;
  std::multiset<double> aims;  // of the classes of the held ones
  std::deque<Tag> tags;        // one for each held message, in order; what is worth most takes the first
  double last_local = -1e18, last_global = -1e18;  // l_prev, g_prev
  double raised = 0;                               // added to the global tags of all held ones
  double period = 1;                               // 1/M
  Rate traffic;                                    // own messages
  Micros lost_idle = -1;  // a call was lost on a connection that had idled so long, none answered since
  int messages = 0;       // known ones, held or not
  std::uint64_t blocked_in = 0;  // the turn in which nothing could leave
  Guard guard;
};

struct KeyLine {
  std::deque<Message*> line;
  Micros quiet_until = 0;
};

// Tuned values, here and in the sections: ratios of settings and observations, never absolute times or rates.
constexpr double kRare = 0.05;       // of a limit: with less traffic there a sender is one of many
constexpr double kTimeoutRatio = 8;  // a call may take so many usual latencies
constexpr double kRemember = 3;      // times RampTimeMs: what is gone is remembered at least so long

struct State {
  Settings set;
  std::vector<ClassVersion> classes;  // of the settings
  std::mt19937_64 random;
  Micros now = 0;
  std::vector<Action> acts;
  std::map<std::string, Message> messages;  // also ended ones with an attempt out
  std::map<std::string, Server> servers;
  std::map<std::int64_t, Dest> dests;
  std::map<std::string, KeyLine> keys;
  std::set<std::pair<Micros, std::string>> ends;
  std::unordered_map<std::uint64_t, int> calls;                        // attempts out in each call
  std::unordered_map<Server*, std::pair<std::uint64_t, int>> forming;  // this turn's calls with room
  std::vector<Rate> tenant_rate;
  // What is listed no more, and order keys without a message: see retention.h.
  Revisit<std::string> old_servers, old_keys;
  Revisit<std::int64_t> old_dests;
  // Running sets, so that a turn costs what changed or is out, not what is listed.
  TwoKeyIndex<Dest> backlog;  // destinations with held messages, by their first local and global tags
  std::map<std::uint64_t, std::pair<Message*, std::size_t>> outs;  // attempts out, oldest first
  RecentMedian<Server*> paces;  // recent over usual latency, of those with a recent outcome
  double typical = 0;           // mean latency of all answered calls
  int typical_of = 0;
  double shift = 0;  // added to every stored global tag
  std::uint64_t next_order = 0, next_held = 0, next_call = 0, next_attempt = 0, turn = 0;
  std::size_t held_all = 0, blocked = 0;  // messages; of them those that nothing of can leave in this turn
  int open = 0;
  Micros wake_at = kNever, next_wake = kNever;
  Micros ask_at = 0;
  Micros stop_at = kNever;  // no outcome is heard later than this
  int ask_failures = 0;
  double common_slow = 1, least_aim = 0;
  double dead_score = 0;  // signs of connections that die idle, decayed; the shortest that died
  Micros dead_least = kNever, dead_at = -kNever;
  DestinationKind plain_kind;

  State(Settings s, std::uint64_t seed) : set(std::move(s)), random(seed) {
    tenant_rate.resize(set.tenants.size());
    classes = classesOf(set);
    least_aim = leastAim(set);
    ask_at = set.list_mode == ListMode::poll ? 0 : kNever;
  }

  bool apart(const Server& s) const { return s.kind->has_separate_routes; }
  Guard& scope(Server& s) { return apart(s) ? s.guard : s.dest->guard; }

  // The list told of a drain or removal: nothing new goes there from that moment, well inside the grace.
  bool usable(const Server& s) const { return s.state == EndpointState::ready; }

  bool cold(const Guard& g) const { return g.down || now - g.cold_since < set.slow_start_time; }
  bool many() const { return kRare * set.sender_count > 1; }

  double readyServers(const Dest& d) const {
    const auto n =
        std::count_if(d.servers.begin(), d.servers.end(), [this](Server* s) { return usable(*s); });
    return std::max(1.0, static_cast<double>(n));
  }

  // What is gone is remembered at least so long: an id that returns before finds its state.
  Micros kept() const {
    return 1 +
           std::max(2 * set.overload_collapse_time, static_cast<Micros>(kRemember * trafficSpan() * kSecond));
  }

  double fallSpan() const { return static_cast<double>(std::max<Micros>(1, set.overload_collapse_time)); }
  double trafficSpan() const {
    return static_cast<double>(std::max<Micros>(1, set.slow_start_time)) / kSecond;
  }
  double perSecond(const Rate& r) const { return r.perSecond(now, trafficSpan()); }
  void count(Rate& r) { r.count(now, trafficSpan()); }

  double usualLatency(const Server& s) const {
    if (s.guard.samples > 0)
      return s.guard.usual;
    if (s.dest->guard.samples > 0)
      return s.dest->guard.usual;
    return typical_of > 0 ? typical : least_aim / kTimeoutRatio;
  }
};

}  // namespace grademux::decision
