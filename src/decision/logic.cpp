// grademux: THE decision module. Its interface stands in include/grademux/sender.h.
// The design is RBFQ of "RePAIR" (dual real-time tags); docs/design.md lists what was kept and what was
// added. Sections: 1 tags, 2 upper bound, 3 health, 4 attempts, 5 admission, 6 membership, then the turn.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

#include "containers.h"
#include "grademux/sender.h"
#include "state.h"

namespace grademux {
namespace {

// ---- Tuned values: ratios and multiples of settings and observations, never absolute times or rates.
constexpr double kIdleCredit = 2;      // sigma: starts that an idle destination may catch up, globally
constexpr double kLaneShare = 0.5;     // of the slots, for all sick destinations together (1 slot at least)
constexpr double kBurst = 0.5;         // of a second's calls under a limit may leave at once
constexpr double kShareMost = 0.25;    // of a limit is the most that a busy one of many senders counts on
constexpr double kShareStart = 2;      // portions of a limit that a sender starts from
constexpr double kShareCut = 0.75;     // this sender's part of a limit after a refusal ...
constexpr double kShareFloor = 0.5;    // ... but at least this much of a portion
constexpr double kShareGrowth = 0.05;  // and it grows by so much of a portion each FallMs without one
constexpr double kRare = 0.05;         // of a limit: with less traffic there a sender is one of many
constexpr double kStretchMost = 4;     // refusals in a row stretch the gap up to so many times
constexpr double kTrialGap = 0.25;     // of FallMs: trials of a dead destination are stretched up to this gap
constexpr double kFailMost = 0.5;      // a larger share of failed calls is an outage
constexpr double kFailGain = 0.25;     // weight of the newest outcome in that share
constexpr int kStreak = 3;             // so many failures in a row are an outage; among many senders just one
constexpr double kSlowRatio = 4;       // recent over usual latency, against the common slowdown: sick
constexpr double kRecentGain = 0.25;   // weight of the newest latency in the recent one
constexpr double kUsualGain = 0.04;    // and in the usual one
constexpr double kTimeoutRatio = 8;    // a call may take so many usual latencies
constexpr double kStallRatio = 4;      // unanswered for so many usual latencies: overdue
constexpr double kUnsafePatience = 2;  // a call that can't be repeated waits so many times longer
constexpr double kRiskMost = 0.3;      // no unsafe message where so many calls ended in the unknown
constexpr double kDeadSigns = 2.5;  // signs in RampTimeMs that connections die idle; half among many senders
constexpr Micros kSuspect = 3;      // of RampTimeMs: so long a sign against idle connections is heeded
constexpr double kReuseLeast = 2;   // an idle connection with fewer uses to expect is closed ...
constexpr double kCrowd = 10;       // ... where so many senders or more share an endpoint, less so below
constexpr double kQueue = 0.5;      // of the shortest aim may the wait for a slot be ...
constexpr double kWorthKept = 0.9;  // ... for messages that lose more than the rest of their worth by it
constexpr double kHoldReserve = 0.06;  // of MaxOpen is kept free for better messages

}  // namespace

struct Sender::Impl {
  Settings set;
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
  double common_slow = 1, least_aim = 1e300;
  double dead_score = 0;  // signs of connections that die idle, decayed; the shortest that died
  Micros dead_least = kNever, dead_at = -kNever;
  Kind plain_kind;

  Impl(Settings s, std::uint64_t seed) : set(std::move(s)), random(seed) {
    validate(set);
    tenant_rate.resize(set.tenants.size());
    for (const auto& c : set.classes) least_aim = std::min(least_aim, static_cast<double>(c.aim));
    ask_at = set.list == ListMode::ask ? 0 : kNever;
  }

  // ==== 1. Tags

  // On arrival all global tags move so that the smallest is now: else new ones starve or rule.
  void adjustGlobalTags() {
    if (!backlog.empty()) shift += static_cast<double>(now) - (backlog.bySecond().begin()->first + shift);
  }

  double weightOf(const Dest& d) const {
    for (const Server* s : d.servers)
      if (s->state == EndpointState::ready && set.weights != WeightKind::none && s->weight > 0)
        return s->weight;
    return 1;
  }

  void retag(Dest& d) {
    if (d.tags.empty()) return backlog.drop(d.id);
    backlog.put(d.id, &d, d.tags.front().local, d.tags.front().global);
  }

  void hold(Message& m, Micros not_before) {
    Dest& d = *m.dest;
    adjustGlobalTags();
    m.held = true;
    m.not_before = not_before;
    m.held_as = ++next_held;
    d.held.push_back(&m);
    d.aims.insert(static_cast<double>(m.cls->aim));
    ++held_all;
    d.period = *d.aims.begin();  // M: one start for each aim of the most urgent held class
    const double step = kSecond / weightOf(d), t = static_cast<double>(now);
    // Idle credit, sigma/w at most; none after an outage: with its backlog that would push it over.
    const double credit = d.tags.empty() && d.last_global > -1e17 && !cold(d.guard) ? kIdleCredit * step : 0;
    d.last_local = std::max(d.last_local + d.period, t);
    d.last_global = std::max(d.last_global + step, t - shift - credit);
    d.tags.push_back({d.last_local, d.last_global});
    retag(d);
  }

  // Takes a message out of the held ones. A start takes the first tag; one that leaves unserved the last.
  void unhold(Message& m, bool started) {
    Dest& d = *m.dest;
    d.held.erase(std::lower_bound(d.held.begin(), d.held.end(), m.held_as,
                                  [](const Message* h, std::uint64_t as) { return h->held_as < as; }));
    d.aims.erase(d.aims.find(static_cast<double>(m.cls->aim)));
    --held_all;
    m.held = false;
    if (started) {
      d.tags.pop_front();
    } else {
      d.tags.pop_back();
      d.last_local -= d.period;
      d.last_global -= kSecond / weightOf(d);
    }
    retag(d);
  }

  void dropLocalTags(Dest& d) {
    for (Tag& t : d.tags) t.local -= d.period;
    d.last_local -= d.period;
    retag(d);
  }

  // The order in which destinations may use a free slot: due local tags first, then global ones; ties by
  // destination. A place: by its global tag?, the tag, the destination.
  using Place = std::tuple<bool, double, std::int64_t>;
  Place placeOf(const Dest& d) const {
    const Tag& t = d.tags.front();
    const bool due = t.local <= static_cast<double>(now);
    return {!due, due ? t.local : t.global, d.id};
  }
  // The first from a place on where something may still leave in this turn.
  Dest* nextFrom(const Place& from) const {
    for (const bool global : {false, true}) {
      if (global < std::get<0>(from)) continue;
      const auto& order = global ? backlog.bySecond() : backlog.byFirst();
      auto it = global == std::get<0>(from) ? order.lower_bound({std::get<1>(from), std::get<2>(from)})
                                            : order.begin();
      for (; it != order.end() && (global || it->first <= static_cast<double>(now)); ++it) {
        Dest* d = backlog.at(it->second);
        if (d->blocked_in != turn && std::get<0>(placeOf(*d)) == global) return d;
      }
    }
    return nullptr;
  }

  // Which held message of a destination takes its tag: the one that loses most by waiting for the backlog.
  double worthAt(const Message& m, Micros when) const {
    const MessageClass& c = *m.cls;
    const double age = static_cast<double>(when - m.handed_in), aim = static_cast<double>(m.aim);
    const double deadline = std::max(aim, static_cast<double>(c.deadline));
    double share = 1;
    if (age >= deadline) return 0;
    if (age > aim && set.late == LateRule::line)
      share = 1 - (1 - c.late_worth) * (age - aim) / (deadline - aim);
    else if (age > aim) share = std::max(c.late_worth, std::exp2(-(age - aim) / aim));
    return c.worth * share * tenantFactor(m.tenant);
  }

  // ==== 2. Upper bound

  bool apart(const Server& s) const { return s.kind->routes_apart; }
  Guard& scope(Server& s) { return apart(s) ? s.guard : s.dest->guard; }

  double readyServers(const Dest& d) const {
    const auto n =
        std::count_if(d.servers.begin(), d.servers.end(), [this](Server* s) { return usable(*s); });
    return std::max(1.0, static_cast<double>(n));
  }

  bool cold(const Guard& g) const { return g.down || now - g.cold_since < set.ramp_time; }

  // What this sender may count on of a limit: an even part, or what it wants up to a fixed part. Guards busy
  // ones of many against starving on even parts. Harm: if all are busy the limit is overrun until refusals.
  double portion(double limit, double want) const {
    return std::max(1.0 / set.senders, std::min(want / std::max(limit, 1e-9), kShareMost));
  }

  // Calls a second that a guard lets this sender send. The limit is the whole destination's, `own` this
  // sender's traffic there; an endpoint that shares them counts on its part of both.
  double rateOf(Guard& g, double limit, double own) {
    double rate = 1e12;
    if (g.limit > 0) {
      const double spans = static_cast<double>(now - g.part_at) / fallSpan();
      g.part = std::min(g.told ? 1.0 : 1e3, g.part + kShareGrowth * portion(g.limit, own) * spans);
      g.part_at = now;
      rate = g.limit * g.part;
    }
    return cold(g) ? std::min(rate, coldRate(g, limit, own)) : rate;
  }

  // Fail-back rule: what all senders together send stays inside cold share x factor x what they usually send,
  // each by its own traffic; it grows as the destination warms. Even parts would let the busy starve and the
  // rare never try. Harm: a destination that was never away is slowed for RampTimeMs.
  double coldRate(const Guard& g, double limit, double own) const {
    const double warmth = std::min(1.0, static_cast<double>(now - g.cold_since) / kSecond / trafficSpan());
    const double share = set.cold_share + (1 - set.cold_share) * (g.down ? 0 : warmth);
    if (limit > 0) own = limit * portion(limit, own);
    return std::max(own, 1 / trafficSpan()) * share * set.overload_factor;
  }

  // How much later this sender comes back to a destination that is away, so that all do not come as one.
  double comeBack(const Guard& g, const Dest& d) {
    const double most = std::min(trafficSpan(), 1 / coldRate(g, g.limit, perSecond(d.traffic)));
    return g.down ? std::uniform_real_distribution<double>(0, most * kSecond)(random) : 0;
  }

  double fallSpan() const { return static_cast<double>(std::max<Micros>(1, set.fall_span)); }
  double trafficSpan() const { return static_cast<double>(std::max<Micros>(1, set.ramp_time)) / kSecond; }
  double perSecond(const Rate& r) const {
    return r.rate * std::exp(-static_cast<double>(now - r.at) / kSecond / trafficSpan());
  }
  void count(Rate& r) { r = {perSecond(r) + 1 / trafficSpan(), now}; }

  bool many() const { return kRare * set.senders > 1; }

  // When a guard next lets a call pass; `must_by` is set for a first try that may pass pacing, see below.
  Micros opens(const Guard& g, Micros must_by) const {
    const auto paced = static_cast<Micros>(std::ceil(g.u));
    const bool pass = must_by != kNever && !g.down && paced >= must_by;
    return pass ? g.wait_until : std::max(g.wait_until, paced);
  }

  // Where this sender is one of many, first tries pass pacing that would outlast the message, but not while
  // the destination is down: the usual traffic of those that saw an outage pushed it over. Guards against
  // ramps and parts that last for rare senders. Harm: calls above a limit, which may use it up.
  Micros opensAt(Server& s, const Message* m) {
    const double limit = scope(s).limit, held = static_cast<double>(s.dest->held.size()) / trafficSpan();
    const double own = std::max(perSecond(s.dest->traffic), held);
    const bool rare = many() && own < (limit > 0 ? kRare * limit : 2 / trafficSpan());
    const Micros must_by =
        m && m->attempts.empty() && rare ? m->end_at - static_cast<Micros>(usualLatency(s)) : kNever;
    return apart(s) ? opens(s.guard, must_by)
                    : std::max(opens(s.guard, must_by), opens(s.dest->guard, must_by));
  }

  void charge(Guard& g, double limit, double own) {
    const double t = static_cast<double>(now), rate = rateOf(g, limit, own);
    const double burst = cold(g) ? 0 : kBurst * kSecond;
    double gap = kSecond / rate;
    if (g.down) gap = std::max(gap, std::min(kTrialGap * fallSpan(), gap * g.streak));
    g.u = std::clamp(g.u, t - burst, t) + gap;  // a call that passed the pacing leaves no debt
    count(g.sent);
  }

  void learnLimit(Server& s, const std::optional<LimitReport>& report) {
    if (!report || report->limit <= 0) return;
    Guard& g = scope(s);
    g.limit = g.told ? 0.75 * g.limit + 0.25 * report->limit : report->limit;
    g.told = true;
  }

  // Refused: take a smaller part. Guards against many that each think theirs harmless, and untold limits.
  void refusedAt(Server& s, bool told_wait) {
    Guard& g = scope(s);
    const double own = perSecond(s.dest->traffic) / (apart(s) ? readyServers(*s.dest) : 1);
    if (g.limit <= 0) {
      // Nobody told one: start from what was sent, or from one call at a time.
      g.limit = std::max(perSecond(g.sent), kSecond / std::max(1.0, g.samples > 0 ? g.usual : least_aim));
      g.part = 1;
    }
    const double gap = std::min<double>(kStretchMost, g.refused) * kSecond / rateOf(g, g.limit, own);
    if (now - g.cut_at > set.fall_span / 4) {
      const double most = std::min(g.part, kShareStart * portion(g.limit, perSecond(g.sent)));
      g.part = std::max(kShareFloor * portion(g.limit, own), most * kShareCut);
      g.cut_at = now;
    }
    if (!told_wait) g.u = std::max(g.u, static_cast<double>(now) + gap);
  }

  // ==== 3. Health

  bool slow(const Guard& g) const { return g.samples > 4 && g.recent > kSlowRatio * common_slow; }
  // The last that was seen of it is no answer: a call out far too long, or a failed one.
  bool stalled(const Guard& g) const { return g.overdue > 0 || g.streak > 0; }
  bool sick(const Guard& g) const { return g.down || slow(g) || stalled(g); }
  bool sick(const Server& s) const { return sick(s.guard) || (!apart(s) && sick(s.dest->guard)); }

  // Calls that stay out far too long are evidence before any time-out: guards against a hanging destination
  // that fills the slots meanwhile. Harm: a chance long call shifts it into the lane until one is answered.
  void countOverdue() {
    for (auto& [order, o] : outs) {
      Server& s = *o.first->attempts[o.second].server;
      s.guard.overdue = s.dest->guard.overdue = 0;
    }
    for (auto& [order, o] : outs) {
      Attempt& a = o.first->attempts[o.second];
      Server& s = *a.server;
      if (static_cast<double>(now - a.sent) < kStallRatio * common_slow * usualLatency(s)) continue;
      a.late = true;
      s.guard.overdue += s.guard.last_ok < a.sent;
      if (!apart(s)) s.dest->guard.overdue += s.dest->guard.last_ok < a.sent;
    }
  }

  double usualLatency(const Server& s) const {
    if (s.guard.samples > 0) return s.guard.usual;
    if (s.dest->guard.samples > 0) return s.dest->guard.usual;
    return typical_of > 0 ? typical : least_aim / kTimeoutRatio;
  }

  void noteLatency(Guard& g, double rtt, bool ended_well) {
    if (g.samples == 0) {
      if (!ended_well) return;
      g.usual = rtt;
    }
    const double ratio = rtt / std::max(1.0, g.usual);
    if (!ended_well && ratio < g.recent) return;  // a quick failure says nothing of pace
    g.recent += kRecentGain * (ratio - g.recent);
    if (ended_well && !sick(g)) {
      const double gain = std::max(kUsualGain, 1.0 / (g.samples + 1));
      g.usual += gain * (std::min(rtt, kSlowRatio * g.usual) - g.usual);
    }
    if (ended_well) ++g.samples;
  }

  // Failures, time-outs, failed connects and unbroken refusals are one kind of evidence: the destination does
  // not serve. Guards against crashes, hangs, shut doors, silence and mostly failing calls alike, and against
  // pushing over whatever returns. Harm: chance failures start a ramp.
  void noteOutcome(Guard& g, Result r, bool hard) {
    g.last_end = now;
    const bool unknown = r == Result::error || r == Result::timeout || r == Result::reset;
    g.risk += kFailGain * ((unknown ? 1.0 : 0.0) - g.risk);
    if (r == Result::ok) {
      const bool brief = g.failed <= kFailMost && now - g.first_bad < set.fall_span / 2;
      g.failed -= kFailGain * g.failed;
      if (g.down) {
        g.down = false;
        g.cold_since = brief ? -kNever : now;
        g.u = static_cast<double>(now);  // trials of a dead one were paced far apart
      } else if (g.streak > 0 && g.first_bad != kNever && now - g.last_ok > set.fall_span) {
        g.cold_since = now;
      }
      g.streak = g.refused = 0;
      g.first_bad = kNever;
      g.last_ok = now;
      return;
    }
    if (g.first_bad == kNever) g.first_bad = now;
    if (hard) {
      ++g.streak;
      g.failed += kFailGain * (1 - g.failed);
    } else {
      ++g.refused;
    }
    const Micros bad_for = now - std::max(g.last_ok, g.first_bad);
    const bool shut = g.refused >= kStreak && bad_for > set.fall_span / 2;
    const bool dead = g.streak > 0 && (many() || g.streak >= kStreak || bad_for > set.fall_span);
    if (g.failed > kFailMost || shut || dead) {
      if (shut && !hard) g.streak = std::max(g.streak, 1);
      g.down = true;
      g.cold_since = now;
      g.u = std::max(g.u, static_cast<double>(now));
    }
  }

  void learn(Server& s, Result r, Micros rtt, Micros wait) {
    if (r == Result::cancelled || r == Result::not_sent) return;
    const bool hard = r != Result::ok && r != Result::full, was_down = scope(s).down;
    if (r == Result::ok) typical += (static_cast<double>(rtt) - typical) / ++typical_of;
    Guard* levels[2] = {&s.guard, apart(s) ? nullptr : &s.dest->guard};
    for (Guard* g : levels) {
      if (!g) continue;
      if (r == Result::ok || r == Result::timeout) noteLatency(*g, static_cast<double>(rtt), r == Result::ok);
      noteOutcome(*g, r, hard);
      if (many() && hard && g->down) g->u = std::max(g->u, static_cast<double>(now) + comeBack(*g, *s.dest));
    }
    if (s.guard.samples > 4) paces.set(&s, s.guard.recent, now);
    if (r == Result::full) {
      Guard& g = scope(s);
      if (!g.down) refusedAt(s, wait > 0);
      // Nothing goes there before a told wait is over; after a long one, an outage, each adds its spread.
      double spread = 0;
      if (wait > set.fall_span / 2) {
        g.down = true;
        g.cold_since = now;
        spread = comeBack(g, *s.dest);
      }
      if (wait > 0) g.wait_until = std::max(g.wait_until, now + wait + static_cast<Micros>(spread));
    }
    keepHealth(s, was_down);
  }

  // What a restart must not forget: the next process resumes a backlog, and would push over what returns
  // cold.
  void keepHealth(Server& s, bool was_down) {
    Guard& g = scope(s);
    if (g.down == was_down && std::abs(g.cold_since - g.noted) <= set.fall_span / 2) return;
    g.noted = g.cold_since;
    acts.push_back(Ailment{apart(s) ? s.id : "", s.dest->id, g.down, g.cold_since});
  }

  void onAilment(const Ailment& a) {
    auto s = servers.find(a.endpoint);
    if (!a.endpoint.empty() && s == servers.end()) return;
    Guard& g = a.endpoint.empty() ? dests[a.destination].guard : s->second.guard;
    dests[a.destination].id = a.destination;
    g.down = a.down;
    g.cold_since = g.noted = a.cold_since;
    if (a.down) g.streak = std::max(g.streak, 1);
  }

  int laneSlots() const { return std::max(1, static_cast<int>(kLaneShare * set.slots)); }
  int laneUsed() const {
    std::set<std::uint64_t> used;  // calls, not messages: several may share one
    for (auto& [order, o] : outs)
      if (sick(*o.first->attempts[o.second].server)) used.insert(o.first->attempts[o.second].call);
    return static_cast<int>(used.size());
  }

  // Calls that were out when their destination fell sick may hold more than the lane. With no slot left for
  // the healthy the most overdue are called off, those first that may go again: guards the slots of all
  // others against several destinations that hang together. Harm: a slow answer that would have come is lost.
  void clearLane() {
    if (!set.may_cancel || static_cast<int>(calls.size()) < set.slots) return;
    int excess = laneUsed() - laneSlots();
    std::vector<std::pair<Message*, std::size_t>> late;
    for (auto& [order, o] : outs) {
      const Attempt& a = o.first->attempts[o.second];
      if (a.called_off) --excess;
      else if (a.late && sick(*a.server)) late.push_back(o);
    }
    std::stable_sort(late.begin(), late.end(), [](const auto& a, const auto& b) {
      return a.first->cls->effect < b.first->cls->effect;
    });
    for (auto& [m, i] : late) {
      if (excess-- <= 0) return;
      m->attempts[i].called_off = true;
      acts.push_back(Cancel{m->id, static_cast<int>(i)});
    }
  }

  // ==== 4. Attempts

  static bool mayHaveRun(const Message& m) {
    return std::any_of(m.attempts.begin(), m.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }

  // THE effect rule. No repeat of what may have run, but: safe ones at will; keyed ones only where and while
  // the destination drops repeats; never two out at once unless the site allows copies.
  bool maySend(const Message& m, const Server& s) const {
    if (static_cast<int>(m.attempts.size()) >= set.max_attempts || m.streaming) return false;
    if (m.out > 0 && !set.may_copy) return false;
    if (m.cls->effect == Effect::safe || !mayHaveRun(m)) return true;
    if (m.cls->effect == Effect::unsafe) return false;
    for (const Attempt& a : m.attempts) {
      if (!a.may_have_run) continue;
      if (m.cls->group != RepeatGroup::all && (!a.server || a.server->zone != s.zone)) return false;
      if (m.cls->group == RepeatGroup::cell && a.server->dest != s.dest) return false;
      if (now > a.sent + m.cls->memory - 2 * set.tick) return false;
    }
    return true;
  }

  // A refusal promises that handing the message in again does no harm.
  bool mayRefuse(const Message& m) const {
    if (m.cls->effect == Effect::safe || !mayHaveRun(m)) return true;
    return m.cls->effect == Effect::keyed && m.cls->group == RepeatGroup::all;
  }

  bool anySendLeft(const Message& m) const {
    for (const Server* s : m.dest->servers)
      if (maySend(m, *s)) return true;
    return m.attempts.empty();
  }

  bool hasTurn(const Message& m) const {
    if (m.key.empty()) return true;
    const KeyLine& k = keys.at(m.key);
    return k.line.front() == &m && (!m.attempts.empty() || now >= k.quiet_until);
  }

  // The list told of a drain or removal: nothing new goes there from that moment, well inside the grace.
  bool usable(const Server& s) const { return s.state == EndpointState::ready; }

  // Time-out: many usual latencies, stretched by what the destination and everything show now. An unsafe
  // message could not be sent again, so it waits longer; but not for all its time, or the calls at a hanging
  // destination would hold the slots of all others.
  Micros timeoutFor(const Message& m, const Server& s) const {
    const Micros left = m.end_at - now;
    const Guard& g = s.guard;
    const double slowness = std::max({1.0, common_slow, g.samples > 0 ? g.recent : 1.0});
    const double patience = m.cls->effect == Effect::unsafe ? kUnsafePatience : 1;
    const double most = kTimeoutRatio * patience * usualLatency(s) * slowness;
    return static_cast<Micros>(std::clamp(most, 1.0, static_cast<double>(std::max<Micros>(1, left))));
  }

  // Idle connections may die unseen (no answer, no reset: a firewall that forgets them). It shows as calls
  // lost on a reused connection and the destination's next, on a fresh one, answered. Then connections that
  // idled about as long are closed before the next call. Also covers destinations that drop idle connections
  // silently. Harm: more handshakes while a hang is mistaken for it.
  void noteConnection(Dest& d, Micros idled, bool lost) {
    if (lost) {
      d.lost_idle = idled;  // a lost fresh call clears the suspicion: the destination itself hangs
      return;
    }
    if (d.lost_idle < 0 || (idled >= 0 && idled < d.lost_idle)) return;
    if (idled < 0) {
      dead_score *= std::exp(-static_cast<double>(now - dead_at) / static_cast<double>(set.ramp_time + 1));
      ++dead_score;
      dead_least = now - dead_at < set.ramp_time ? std::min(dead_least, d.lost_idle) : d.lost_idle;
      dead_at = now;
    }
    d.lost_idle = -1;
  }

  Micros deadIdle() const {
    const bool dead = dead_score > kDeadSigns / (many() ? 2 : 1) && now - dead_at < kSuspect * set.ramp_time;
    return dead ? dead_least / 2 : kNever;
  }

  Micros takeConnection(Server& s) {
    while (!s.idle.empty() && set.conn_idle > 0 && now - s.idle.front() >= set.conn_idle) s.idle.pop_front();
    if (!s.idle.empty() && now - s.idle.front() >= deadIdle()) {
      acts.push_back(CloseIdle{s.id});
      s.idle.clear();
    }
    if (s.idle.empty()) return -1;
    const Micros idled = now - s.idle.back();
    s.idle.pop_back();
    return idled;
  }

  // An endpoint takes so many connections, idle ones counted: none is kept for a call that won't come soon,
  // nor where a connect failed of late. Guards against tables full of the idle ones of many, which look like
  // an outage to all others. Harm: a handshake a call after a crash.
  void keepConnection(Server& s) {
    s.idle.push_back(now);
    const double others =
        std::max(0.0, perSecond(s.dest->traffic) - 1 / trafficSpan()) / readyServers(*s.dest);
    const double least = kReuseLeast * std::min(1.0, set.senders / kCrowd);
    const bool full_table = many() && now - s.no_connect < kSuspect * set.ramp_time;
    if (!full_table && others * static_cast<double>(set.conn_idle) / kSecond >= least) return;
    acts.push_back(CloseIdle{s.id});
    s.idle.clear();
  }

  void send(Message& m, Server& s, bool global_phase) {
    Dest& d = *m.dest;
    unhold(m, true);
    if (global_phase) dropLocalTags(d);
    auto room = forming.find(&s);
    std::uint64_t call;
    Micros idled = -1;
    if (room != forming.end() && room->second.second > 0) {
      call = room->second.first;
      --room->second.second;
    } else {
      call = ++next_call;
      idled = takeConnection(s);
      forming[&s] = {call, s.kind->per_call - 1};
      ++s.out;
      const double n = readyServers(d), own = perSecond(d.traffic);
      charge(s.guard, apart(s) ? s.guard.limit : d.guard.limit / n, own / n);
      if (!apart(s)) charge(d.guard, d.guard.limit, own);
    }
    ++calls[call];
    s.used = now;
    outs[++next_attempt] = {&m, m.attempts.size()};
    m.attempts.push_back({&s, now, call, next_attempt, true, true, idled, false, false});
    ++m.out;
    acts.push_back(Send{m.id, s.id, timeoutFor(m, s)});
  }

  void settle(Message& m, Attempt& a) {
    a.out = false;
    --m.out;
    outs.erase(a.order);
    a.server->guard.overdue = a.server->dest->guard.overdue = 0;  // counted anew each turn
    auto c = calls.find(a.call);
    if (--c->second > 0) return;
    calls.erase(c);
    --a.server->out;
  }

  bool serverOpen(Server& s, const Message& m) {
    if (!usable(s) || !maySend(m, s)) return false;
    // Before the process ends only what will be heard is started; guards against attempts lost in the
    // unknown.
    const double heard = kStallRatio * kUnsafePatience * common_slow * usualLatency(s);
    if (stop_at != kNever && (sick(s) || static_cast<double>(stop_at - now) < heard)) return false;
    const Guard& g = scope(s);
    // A message that can't be repeated is no trial: it would be lost where calls end in the unknown. It goes
    // after all when half of its time is used up.
    const bool risky = std::max(g.risk, s.guard.risk) > kRiskMost;
    return !(m.cls->effect == Effect::unsafe && risky && now - m.handed_in < m.cls->deadline / 2);
  }

  // The fewest calls out; then a kept connection, then the one that rested longest, at first a random one:
  // else all senders would crowd the endpoint that the list names first.
  Server* chooseServer(Dest& d, const Message& m) {
    Server* best = nullptr;
    auto key = [&](Server& s) {
      std::size_t zone = 0;
      while (zone < set.zones.size() && set.zones[zone] != s.zone) ++zone;
      const double fee = apart(s) && zone < set.zone_fee.size() ? set.zone_fee[zone] : 0;
      return std::make_tuple(sick(s) ? 1 : 0, fee, s.out, s.idle.empty(), s.used);
    };
    for (Server* s : d.servers) {
      if (opensAt(*s, &m) > now || !serverOpen(*s, m)) continue;
      if (!best || key(*s) < key(*best)) best = s;
    }
    return best;
  }

  using Pick = std::pair<Message*, Server*>;
  Pick choose(Dest& d) {
    Pick best{nullptr, nullptr};
    double best_loss = -1;
    for (Server* s : d.servers) {
      const Micros later = usable(*s) ? opensAt(*s, nullptr) : now;
      if (later > now) next_wake = std::min(next_wake, later);
    }
    const Micros drain = drainTime(d);
    for (Message* m : d.held) {
      if (m->not_before > now) {
        next_wake = std::min(next_wake, m->not_before);
        continue;
      }
      if (!hasTurn(*m)) continue;
      const double worth = worthAt(*m, now), loss = worth - worthAt(*m, now + drain) + 1e-3 * worth;
      if (loss <= best_loss) continue;
      Server* s = chooseServer(d, *m);
      if (!s) continue;
      best_loss = loss;
      best = {m, s};
    }
    return best;
  }

  Micros drainTime(Dest& d) {
    double rate = 0;
    for (Server* s : d.servers)
      if (usable(*s))
        rate = apart(*s) ? rate + rateOf(s->guard, s->guard.limit, perSecond(d.traffic) / readyServers(d))
                         : rateOf(d.guard, d.guard.limit, perSecond(d.traffic));
    const double wait = static_cast<double>(d.held.size()) * kSecond / std::max(rate, 1e-6);
    return static_cast<Micros>(std::clamp(wait, static_cast<double>(set.tick), 1e12));
  }

  void release() {
    forming.clear();
    ++turn;
    blocked = 0;
    Place place{false, -1e300, 0};
    while (static_cast<int>(calls.size()) < set.slots) {
      Dest* d = nextFrom(place);
      if (!d) return;
      place = placeOf(*d);
      Pick p = choose(*d);
      if (!p.first || (sick(*p.second) && laneUsed() >= laneSlots())) {
        d->blocked_in = turn;  // a start elsewhere opens nothing here
        blocked += d->held.size();
        continue;
      }
      send(*p.first, *p.second, std::get<0>(place));
      fillCall(*d, *p.second);
      // All before this place are blocked; only the one that has sent may stand before it now.
      if (!d->tags.empty()) place = std::min(place, placeOf(*d));
    }
  }

  void fillCall(Dest& d, Server& s) {
    while (forming[&s].second > 0 && !d.held.empty()) {
      Message* next = nullptr;
      for (Message* m : d.held)
        if (m->not_before <= now && hasTurn(*m) && serverOpen(s, *m) && (!next || m->order < next->order))
          next = m;
      if (!next) return;
      send(*next, s, d.tags.front().local > static_cast<double>(now));
    }
  }

  void onOutcome(const Outcome& o) {
    auto it = messages.find(o.id);
    if (it == messages.end()) return;
    Message& m = it->second;
    if (o.attempt < 0 || o.attempt >= static_cast<int>(m.attempts.size())) return;
    Attempt& a = m.attempts[static_cast<std::size_t>(o.attempt)];
    if (!a.out) return;
    settle(m, a);
    if (o.result == Result::ok || o.result == Result::error || o.result == Result::full)
      keepConnection(*a.server);
    if (o.result == Result::ok || (a.late && (o.result == Result::timeout || a.called_off)))
      noteConnection(*a.server->dest, a.idled, o.result != Result::ok);
    a.may_have_run =
        !(o.result == Result::full || o.result == Result::connect_failed || o.result == Result::not_sent);
    if (o.result == Result::connect_failed) a.server->no_connect = now;
    learnLimit(*a.server, o.report);
    learn(*a.server, o.result, o.rtt > 0 ? o.rtt : now - a.sent, o.wait);
    const bool runs_on = a.may_have_run && o.result != Result::ok && o.result != Result::error;
    if (runs_on && !m.key.empty()) {
      KeyLine& k = keys[m.key];
      k.quiet_until = std::max(k.quiet_until, now + set.order_pause);
      next_wake = std::min(next_wake, k.quiet_until);
    }
    if (o.finished || o.result == Result::ok) close(m);
    if (!m.ended) again(m, *a.server);
    forget(m);
  }

  // A further try: fresh tags, after pauses that double so that the attempts last for the time left; among
  // many senders an aim later at least: they would take the place of first tries still in time, and those
  // of a clump came back as one and pushed over what returned. Also guards against limits that eat all tries.
  void again(Message& m, Server& s) {
    if (m.held || m.out > 0 || m.streaming) return;
    if (now >= m.end_at || !anySendLeft(m)) return finish(m, now < m.end_at);
    const double left = static_cast<double>(m.end_at - now);
    const int tries = set.max_attempts - static_cast<int>(m.attempts.size());
    const double least = many() ? least_aim + comeBack(scope(s), *m.dest) : usualLatency(s);
    hold(m, now + static_cast<Micros>(std::max(least, left * std::exp2(-std::min(tries, 60)))));
  }

  void close(Message& m) {
    if (m.ended) return;
    if (m.held) unhold(m, false);
    m.ended = true;
    --open;
    ends.erase({m.end_at, m.id});
  }

  void finish(Message& m, bool worth_a_return) {
    if (m.ended) return;
    if (worth_a_return && mayRefuse(m)) {
      const Micros pause = set.told_pause ? std::min(set.max_pause, drainTime(*m.dest)) : 0;
      acts.push_back(Refuse{m.id, pause});
    } else {
      acts.push_back(Fail{m.id});
    }
    close(m);
  }

  void forget(Message& m) {
    if (!m.ended || m.out > 0) return;
    if (!m.key.empty()) {
      KeyLine& k = keys[m.key];
      k.line.erase(std::find(k.line.begin(), k.line.end(), &m));
      if (k.line.empty() && now >= k.quiet_until) keys.erase(m.key);
    }
    messages.erase(messages.find(m.id));
  }

  // ==== 5. Admission

  // What a message of a tenant is worth, as far as this sender can tell: the part inside its share in full.
  double tenantFactor(int t) const {
    if (t < 0) return 1;
    const double quota = set.tenants[static_cast<std::size_t>(t)].quota / set.senders;
    const double rate = perSecond(tenant_rate[static_cast<std::size_t>(t)]);
    if (quota <= 0 || rate <= quota) return 1;
    return quota / rate + (1 - quota / rate) * set.over_share_worth;
  }

  void onArrival(const Arrival& a) {
    if (messages.count(a.id)) return;
    const auto c = std::find_if(set.classes.begin(), set.classes.end(),
                                [&](const MessageClass& k) { return k.name == a.message_class; });
    if (c == set.classes.end()) {
      acts.push_back(Fail{a.id});
      return;
    }
    Message& m = messages[a.id];
    m.id = a.id;
    m.cls = &*c;
    for (std::size_t i = 0; i < set.tenants.size(); ++i)
      if (set.tenants[i].name == a.tenant) m.tenant = static_cast<int>(i);
    if (m.tenant >= 0) count(tenant_rate[static_cast<std::size_t>(m.tenant)]);
    m.dest = &dests[a.destination];
    m.dest->id = a.destination;
    count(m.dest->traffic);
    m.handed_in = std::min(now, a.give_up_at - c->deadline);
    const auto stretched = static_cast<Micros>(c->aim_stretch * static_cast<double>(a.estimate));
    m.aim = std::min(c->deadline, c->aim + stretched);
    m.end_at = a.give_up_at - 2 * set.tick;
    m.order = ++next_order;
    if (c->ordered && !a.order_key.empty()) {
      m.key = a.order_key;
      keys[m.key].line.push_back(&m);
    }
    ++open;
    ends.insert({m.end_at, m.id});
    hold(m, now);
    if (open > set.max_open) {
      finish(m, true);
      forget(m);
    }
  }

  // What an earlier process of this sender took on. Its attempts count as made; one whose end was not heard
  // may have run. Guards against a second effect after a restart.
  void onResumed(const Resumed& r) {
    onArrival(r.message);
    auto it = messages.find(r.message.id);
    if (it == messages.end()) return;
    Message& m = it->second;
    for (const PastAttempt& p : r.attempts) {
      auto s = servers.find(p.endpoint);
      Attempt a;
      a.server = s == servers.end() ? nullptr : &s->second;
      a.sent = p.sent;
      a.out = false;
      a.may_have_run = p.may_have_run;
      m.attempts.push_back(a);
    }
    if (anySendLeft(m)) return;
    finish(m, now < m.end_at);
    forget(m);
  }

  // Near MaxOpen the least worth is refused, so that better messages are not turned away at the door. Worth
  // is what is left when the destination's backlog has drained: the queues of dead destinations go first.
  // With all slots busy so are those that would come late, down to a short queue: else all come late. Only
  // for one of many, with few slots: of few senders all are busy in an outage only. Harm: refused in a short
  // burst.
  void shed() {
    const int most = std::max(1, set.max_open - std::max(1, static_cast<int>(kHoldReserve * set.max_open)));
    const bool busy = many() && static_cast<int>(calls.size()) >= set.slots;
    const double each = busy ? typical * common_slow / set.slots : 0;
    double wait =
        each * static_cast<double>(held_all - blocked);  // for a slot, of those that lack nothing else
    if (open <= most && wait <= kQueue * least_aim) return;
    std::vector<std::tuple<double, std::uint64_t, Message*>> least;
    for (auto& [id, b] : backlog) {
      const Micros then = now + std::max(drainTime(*b.item), static_cast<Micros>(wait));
      for (Message* m : b.item->held)
        if (mayRefuse(*m)) least.push_back({worthAt(*m, then) + 1e-3 * worthAt(*m, now), m->order, m});
    }
    std::sort(least.begin(), least.end());
    for (auto& [worth, order, m] : least) {
      const bool late = wait > kQueue * least_aim && m->dest->blocked_in != turn &&
                        worth < kWorthKept * worthAt(*m, m->handed_in);
      if (open <= most && !late) continue;
      wait -= late ? each : 0;
      finish(*m, true);
      forget(*m);
    }
  }

  // Everything is answered before its time is up, whatever is full, silent or not listed.
  void endLate() {
    while (!ends.empty() && ends.begin()->first <= now) {
      Message& m = messages.at(ends.begin()->second);
      finish(m, false);
      forget(m);
    }
  }

  // ==== 6. Membership

  void onList(const ListUpdate& u) {
    if (u.kind == ListKind::failed) {
      // The registry turned the call away: ask again, ever later, so that many senders don't hammer it.
      ask_failures = std::min(ask_failures + 1, 6);
      const double base = static_cast<double>(std::max<Micros>(1, set.ask_within)) / 64;
      const double jitter = 0.5 + std::uniform_real_distribution<double>(0, 1)(random);
      if (set.list == ListMode::ask)
        ask_at = now + static_cast<Micros>(base * std::exp2(ask_failures) * jitter / 2);
      return;
    }
    ask_failures = 0;
    if (u.kind != ListKind::delta)
      for (auto& [id, s] : servers) s.state = EndpointState::gone;
    for (const Endpoint& e : u.endpoints) {
      Server& s = servers[e.id];
      s.id = e.id;
      s.zone = e.zone;
      s.state = e.state;
      s.weight = e.weight;
      s.kind = &plain_kind;
      for (const Kind& k : set.kinds)
        if (k.name == e.kind) s.kind = &k;
      Dest& d = dests[e.destination];
      if (s.dest != &d) {
        if (s.dest) s.dest->servers.erase(std::find(s.dest->servers.begin(), s.dest->servers.end(), &s));
        s.dest = &d;
        s.used = -kNever + static_cast<Micros>(random() % 1000);
        d.id = e.destination;
        d.servers.push_back(&s);
      }
      Guard& g = scope(s);
      if (!g.told && e.weight > 0 && set.weights != WeightKind::none) g.limit = e.weight;
      if (g.part_at == 0) g.part = std::min(1.0, kShareStart * portion(g.limit, 1e12));
      g.part_at = now;
    }
  }

  void askForList() {
    if (ask_at > now) {
      next_wake = std::min(next_wake, ask_at);
      return;
    }
    acts.push_back(Watch{});
    ask_at = kNever;
  }

  // ==== The turn

  void on(const Arrival& e) { onArrival(e); }
  void on(const Resumed& e) { onResumed(e); }
  void on(const Ailment& e) { onAilment(e); }
  void on(const Stopping& e) { stop_at = e.at; }
  void on(const Outcome& e) { onOutcome(e); }
  void on(const ListUpdate& e) { onList(e); }
  void on(const Wake&) {}
  void on(const Probed& e) {
    auto it = servers.find(e.endpoint);
    if (it == servers.end()) return;
    learnLimit(it->second, e.report);
    learn(it->second, e.result, e.rtt, 0);
  }
  void on(const Started& e) {
    auto it = messages.find(e.id);
    if (it != messages.end()) it->second.streaming = true;
  }
  void on(const Gone& e) {
    auto it = messages.find(e.id);
    if (it == messages.end()) return;
    close(it->second);
    forget(it->second);
  }

  void setWake() {
    if (!ends.empty()) next_wake = std::min(next_wake, ends.begin()->first);
    if (next_wake == kNever) return;
    next_wake = std::max(next_wake, now + std::max<Micros>(1, set.tick));
    if (wake_at > now && wake_at <= next_wake) return;
    wake_at = next_wake;
    acts.push_back(WakeIn{wake_at - now});
  }

  std::vector<Action> decide(Micros at, const std::vector<Event>& events) {
    now = at;
    acts.clear();
    next_wake = kNever;
    for (const Event& e : events) std::visit([this](const auto& x) { on(x); }, e);
    // A slowdown common to all is no sickness: each is held against the median of what all show.
    paces.expire(now - 2 * set.fall_span);
    common_slow = paces.size() < 3 ? 1 : std::max(1.0, paces.median());
    countOverdue();
    endLate();
    askForList();
    release();
    clearLane();
    shed();
    setWake();
    return std::move(acts);
  }
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

std::vector<Action> Sender::decide(Micros now, const std::vector<Event>& events) {
  return impl_->decide(now, events);
}

}  // namespace grademux
