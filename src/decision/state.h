// grademux: what the decision module remembers, and the check of its settings. No decision stands here.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

constexpr double kSecond = 1e6;
constexpr Micros kNever = INT64_MAX / 4;

struct Tag {
  double local = 0, global = 0;
};

struct Rate {  // events a second, decayed, as of a moment
  double rate = 0;
  Micros at = 0;
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
  Micros noted = -kNever;       // cold_since as last given to the host to keep
  Micros cold_since = -kNever;  // the latest moment at which it was not known to be back
  int overdue = 0;              // calls out far too long, with none answered since they left
};

struct Dest;
struct Server {
  std::string id, zone;
  Dest* dest = nullptr;
  const Kind* kind = nullptr;
  EndpointState state = EndpointState::gone;
  double weight = 0;
  int out = 0;  // calls out
  Micros used = -kNever;
  Micros no_connect = -kNever;  // the last connect that failed
  std::deque<Micros> idle;      // since when each connection of this sender idles, oldest first
  Guard guard;
};

struct Message;
struct Dest {
  std::int64_t id = 0;
  std::vector<Server*> servers;
  std::vector<Message*> held;  // in the order of held_as
  std::multiset<double> aims;  // of the classes of the held ones
  std::deque<Tag>
      tags;  // one for each held message, in order; the message that is worth most takes the first
  double last_local = -1e18, last_global = -1e18;  // l_prev, g_prev
  double period = 1;                               // 1/M
  Rate traffic;                                    // own messages
  Micros lost_idle = -1;  // a call was lost on a connection that had idled so long, none answered since
  std::uint64_t blocked_in = 0;  // the turn in which nothing could leave
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
  const MessageClass* cls = nullptr;
  int tenant = -1;
  Dest* dest = nullptr;
  Micros handed_in = 0, end_at = 0, not_before = 0, aim = 0;
  std::uint64_t order = 0, held_as = 0;  // when it came, and came to be held, among all
  std::vector<Attempt> attempts;
  bool held = false, ended = false, streaming = false;
  int out = 0;
};

struct KeyLine {
  std::deque<Message*> line;
  Micros quiet_until = 0;
};

inline void require(bool good, const char* field) {
  if (!good) throw std::invalid_argument(std::string("settings: ") + field);
}

inline void validate(const Settings& s) {
  require(!s.classes.empty(), "classes");
  for (const auto& c : s.classes) {
    require(c.aim > 0, "classes.aim");
    require(c.deadline >= c.aim, "classes.deadline");
    require(c.memory >= 0, "classes.memory");
    require(c.worth >= 0 && c.late_worth >= 0 && c.aim_stretch >= 0, "classes.worth");
  }
  for (const auto& t : s.tenants) require(t.quota >= 0, "tenants.quota");
  for (const auto& k : s.kinds) require(k.per_call >= 1, "kinds.per_call");
  require(s.senders >= 1, "senders");
  require(s.slots >= 1, "slots");
  require(s.max_open >= 1, "max_open");
  require(s.max_attempts >= 1, "max_attempts");
  require(s.tick >= 0, "tick");
  require(s.drain_grace >= 0 && s.ask_within >= 0 && s.order_pause >= 0, "rules");
  require(s.dial_timeout >= 0 && s.conn_idle >= 0, "dial_timeout");
  require(s.max_pause >= 0, "max_pause");
  require(s.fall_span >= 0 && s.ramp_time >= 0, "fall_span");
  require(s.cold_share > 0 && s.cold_share <= 1 && s.overload_factor > 0, "cold_share");
}

}  // namespace grademux
