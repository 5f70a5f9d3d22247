// grademux fleet: the operators' commands; see command.h.
#include "command.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "../core/clock.h"
#include "../zones/zone_transitions.h"
#include "consul.h"

namespace grademux::fleet {

namespace {

using Ask = std::function<void(Store&, Store::Callback)>;

// One call, tried at each address once, and one more time where that says nothing.
StoreResult call(const Where& where, const Ask& ask) {
  boost::asio::io_context io;
  Consul store(io, where.store);
  StoreResult last;
  for (std::size_t tries = 0; tries <= where.store.size() && !last.ok; ++tries) {
    io.restart();
    bool over = false;
    ask(store, [&](const StoreResult& a) {
      last = a;
      over = true;
    });
    while (!over && io.run_one() > 0)
      continue;
  }
  if (!last.ok)
    throw std::runtime_error("the store does not answer: " + last.error);
  return last;
}

struct Known {
  Plan plan;  // number 0: none
  std::int64_t changed = 0;
  std::vector<SenderReport> senders;
  Micros clock = 0;
};

Known look(const Where& where) {
  FleetConfig spec;
  spec.prefix = where.prefix;
  Known k;
  const StoreResult all =
      call(where, [&](Store& s, Store::Callback done) { s.listPrefix(where.prefix + "/", std::move(done)); });
  k.clock = all.store_time;
  for (const StoreEntry& e : all.entries) {
    if (e.key == spec.planKey()) {
      k.plan = parsePlan(json::parse(e.value));
      k.changed = e.modify_index;
    } else if (e.key.compare(0, spec.sendersPrefix().size(), spec.sendersPrefix()) == 0) {
      try {
        k.senders.push_back(parseReport(json::parse(e.value)));
        k.senders.back().live = !e.session.empty();
      } catch (const std::exception& wrong) {
        std::cerr << "grademux: " << e.key << " is no report: " << wrong.what() << '\n';
      }
    }
  }
  return k;
}

std::string whoAmI() {
  char host[256] = "";
  ::gethostname(host, sizeof host - 1);
  const char* user = std::getenv("USER");
  return std::string(user && *user ? user : "operator") + "@" + host;
}

std::string needsText(const PlanRequirements& n) {
  std::string all;
  const auto add = [&](const std::string& what, const std::string& value) {
    if (!value.empty())
      all += (all.empty() ? "" : ", ") + what + " " + value;
  };
  add("program", n.program);
  add("settings", n.settings);
  add("daemon file", n.daemon);
  if (n.list_version >= 0)
    add("list", std::to_string(n.list_version));
  return all.empty() ? "nothing" : all;
}

// The senders that the plan is waited for from: those that live and are not shut out by word.
std::size_t behind(const Known& k) {
  return static_cast<std::size_t>(
      std::count_if(k.senders.begin(), k.senders.end(), [&](const SenderReport& r) {
        return r.live && !k.plan.fenced.count(r.name) && r.versions.plan < k.plan.number;
      }));
}

std::string planText(const Known& k) {
  const Plan& p = k.plan;
  if (p.number == 0)
    return "no plan\n";
  std::string text = "plan " + std::to_string(p.number) + (p.halted ? " HALTED" : "") + ", " +
                     (p.strict ? "strict" : "lenient") + ", lease " + std::to_string(p.lease / 1000) +
                     " ms, binds after " + std::to_string(p.effective_after / 1000) + " ms\n  asks for " +
                     needsText(p.requirements) + "\n  by " + p.author + " at " +
                     utcText(p.changed_at, false) + ": " + p.reason + "\n";
  for (const std::string& name : p.fenced)
    text += "  shut out by word: " + name + "\n";
  for (const auto& [name, s] : p.zones)
    text += "  zone " + name + " " + grademux::zones::toString(s) + "\n";
  for (const std::string& f : p.unknown_fields)
    text += "  a field this program does not know: " + f + "\n";
  const Micros binds = p.changed_at + p.effective_after;
  if (p.strict && k.clock > 0)
    text += binds > k.clock ? "  binds in " + std::to_string((binds - k.clock) / 1'000'000) + " s\n"
                            : "  binds\n";
  return text;
}

// What the next plan follows. No number is used twice, and no lease forgotten that a sender may act on still,
// where the store has lost what it knew.
Plan latest(const Known& k) {
  Plan now = k.plan;
  Micros lease = k.plan.number > 0 ? now.lease : 0;
  for (const SenderReport& r : k.senders) {
    now.number = std::max({now.number, r.versions.plan, r.newest_plan});
    if (r.versions.plan <= k.plan.number)
      continue;
    lease = std::max(lease, r.lease);
    now.strict = now.strict || r.strict;
  }
  if (lease > 0)
    now.lease = lease;
  return now;
}

// By compare-and-swap: of two operators one wins, and the other is told by whom and with what.
int put(const Where& where, const Known& known, const Plan& next) {
  parsePlan(toJson(next));  // the bounds of its fields
  const std::string wrong = transitionError(latest(known), next);
  if (!wrong.empty())
    throw std::runtime_error("plan " + std::to_string(next.number) + " is refused: " + wrong);
  FleetConfig spec;
  spec.prefix = where.prefix;
  // An answer that was lost says nothing: what stands there then is what counts.
  std::string lost;
  StoreResult a;
  try {
    a = call(where, [&](Store& s, Store::Callback done) {
      s.compareAndSwap(spec.planKey(), toJson(next).dump(), known.changed, std::move(done));
    });
  } catch (const std::exception& e) {
    lost = e.what();
  }
  if (!a.applied) {
    const Known now = look(where);
    if (planDigest(now.plan) != planDigest(next)) {
      if (now.changed == known.changed)
        throw std::runtime_error(lost.empty() ? "the store took nothing" : lost);
      std::cerr << "grademux: not done: meanwhile " << now.plan.author << " made plan " << now.plan.number
                << " (" << now.plan.reason << "), which asks for " << needsText(now.plan.requirements)
                << '\n';
      return 1;
    }
  }
  Known done = known;
  done.plan = next;
  done.clock = 0;
  std::cout << planText(done);
  return 0;
}

Plan after(const Known& k, const Change& c) {
  if (c.why.empty())
    throw std::runtime_error("--why is expected: it stands in the plan and in every trail");
  Plan next = nextPlan(latest(k), c.by.empty() ? whoAmI() : c.by, c.why, unixNow());
  if (c.strict)
    next.strict = *c.strict;
  if (c.lease)
    next.lease = *c.lease;
  if (c.binds_after)
    next.effective_after = *c.binds_after;
  if (c.most_shut_out)
    next.max_fenced_fraction = *c.most_shut_out;
  return next;
}

}  // namespace

std::vector<SenderReport> reports(const Where& where) {
  return look(where).senders;
}

int status(const Where& where, bool as_json) {
  const Known k = look(where);
  if (as_json) {
    json senders = json::array();
    for (const SenderReport& r : k.senders) {
      senders.push_back(toJson(r));
      senders.back()["live"] = r.live;
    }
    std::cout << json{{"plan", k.plan.number > 0 ? toJson(k.plan) : json()},
                      {"behind", behind(k)},
                      {"senders", std::move(senders)}}
                     .dump()
              << '\n';
    return 0;
  }
  std::cout << planText(k);
  std::size_t live = 0, out = 0, widest = 6;
  for (const SenderReport& r : k.senders) {
    live += r.live;
    out += r.compliance == kFencedName;
    widest = std::max(widest, r.name.size());
  }
  const auto cell = [](std::string s, std::size_t width) {
    s.resize(std::max(s.size(), width), ' ');
    return s + "  ";
  };
  if (!k.senders.empty())
    std::cout << cell("sender", widest) << cell("standing", 11) << cell("plan", 6) << cell("program", 8)
              << cell("settings", 16) << cell("daemon file", 16) << cell("list", 6) << cell("since", 20)
              << cell("last seen", 20) << "why\n";
  for (const SenderReport& r : k.senders)
    std::cout << cell(r.name, widest)
              << cell(r.live || r.compliance == kFencedName ? r.compliance : "gone", 11)
              << cell(std::to_string(r.versions.plan), 6) << cell(r.versions.program, 8)
              << cell(r.versions.settings, 16) << cell(r.versions.daemon, 16)
              << cell(r.versions.list_version < 0 ? "-" : std::to_string(r.versions.list_version), 6)
              << cell(utcText(r.since, false), 20) << cell(utcText(r.at, false), 20) << r.reason << '\n';
  std::cout << live << " of " << k.senders.size() << " senders live, " << behind(k) << " behind, " << out
            << " shut out\n";
  return 0;
}

int showPlan(const Where& where, bool as_json) {
  const Known k = look(where);
  std::cout << (as_json ? toJson(k.plan).dump() + "\n" : planText(k));
  return k.plan.number > 0 ? 0 : 1;
}

int propose(const Where& where, const Change& c) {
  const Known k = look(where);
  Plan next = after(k, c);
  if (!c.like.empty()) {
    const auto of = std::find_if(k.senders.begin(), k.senders.end(),
                                 [&](const SenderReport& r) { return r.name == c.like; });
    if (of == k.senders.end())
      throw std::runtime_error("no sender " + c.like + " has reported");
    next.requirements.settings = of->versions.settings;
    next.requirements.daemon = of->versions.daemon;
  }
  if (c.settings)
    next.requirements.settings = *c.settings;
  if (c.daemon)
    next.requirements.daemon = *c.daemon;
  if (c.program)
    next.requirements.program = *c.program;
  if (c.list_version)
    next.requirements.list_version = *c.list_version;
  return put(where, k, next);
}

int bind(const Where& where, const Change& c) {
  const Known k = look(where);
  if (k.plan.number == 0)
    throw std::runtime_error("there is no plan to bind");
  Plan next = after(k, c);
  next.strict = true;
  return put(where, k, next);
}

int revert(const Where& where, const Change& c, bool halt) {
  const Known k = look(where);
  if (k.plan.number == 0)
    throw std::runtime_error("there is no plan to go back from");
  Plan next = after(k, c);
  next.requirements = next.previous_requirements = k.plan.previous_requirements;
  next.halted = halt;
  return put(where, k, next);
}

int zones(const Where& where, bool as_json) {
  const Known k = look(where);
  std::map<std::string, std::string> regions;
  std::map<std::string, json> all;
  for (const auto& [name, s] : k.plan.zones)
    all[name] = {{"plan", toJson(s)}};
  for (const SenderReport& r : k.senders)
    for (const auto& [name, v] : r.zones) {
      json o = toJson(v);
      o["live"] = r.live;
      all[name]["senders"][r.name] = std::move(o);
      const auto region = r.regions.find(name);
      if (region != r.regions.end())
        regions[name] = all[name]["region"] = region->second;
    }
  if (as_json) {
    std::cout << json(all).dump() << '\n';
    return 0;
  }
  for (const auto& [name, o] : all) {
    const auto in_plan = k.plan.zones.find(name);
    std::cout << name << (regions.count(name) ? " (" + regions[name] + ")" : "") << ": "
              << (in_plan == k.plan.zones.end() ? "in" : grademux::zones::toString(in_plan->second)) << '\n';
    for (const SenderReport& r : k.senders) {
      const auto v = r.zones.find(name);
      if (v == r.zones.end())
        continue;
      const char* sees = v->second.observation == grademux::zones::Observation::failing   ? "sees it fail"
                         : v->second.observation == grademux::zones::Observation::healthy ? "sees it well"
                                                                                          : "can't tell";
      std::cout << "  " << r.name << (r.live ? "" : " (gone)") << ' ' << sees << ", about "
                << v->second.traffic << " calls a second";
      if (v->second.failing_destinations > 0)
        std::cout << ", " << v->second.failing_destinations << " partners struck";
      std::cout << '\n';
    }
  }
  if (all.empty())
    std::cout << "no sender has told of a zone\n";
  return 0;
}

namespace {

// The zones that a word is for, by what the senders told.
std::vector<std::string> named(const Known& k, const std::string& name, bool region) {
  std::set<std::string> all;
  std::map<std::string, std::string> regions;
  for (const SenderReport& r : k.senders) {
    for (const auto& [zone, vote] : r.zones)
      all.insert(zone);
    for (const auto& [zone, of] : r.regions)
      if (const auto other = regions.emplace(zone, of); !other.second && other.first->second != of)
        throw std::runtime_error("zone " + zone + " is of " + other.first->second + ", and of " + of +
                                 " at " + r.name);
  }
  for (const auto& [zone, s] : k.plan.zones)
    all.insert(zone);
  if (!region) {
    if (all.count(name) == 0)
      throw std::runtime_error("no sender has told of a zone " + name);
    return {name};
  }
  std::vector<std::string> zones;
  for (const auto& [zone, of] : regions)
    if (of == name)
      zones.push_back(zone);
  if (zones.empty())
    throw std::runtime_error("no sender has told of a region " + name);
  return zones;
}

// How the zone stands after the word; nothing if it does not apply to one that stands so.
std::optional<grademux::zones::ZoneState> told(const Known& k, const Plan& next, const std::string& zone,
                                               ZoneWord word) {
  using grademux::zones::ZonePhase;
  const auto at = next.zones.find(zone);
  grademux::zones::ZoneState s = at == next.zones.end() ? grademux::zones::ZoneState() : at->second;
  switch (word) {
    case ZoneWord::leave:
      s = {};
      s.phase = ZonePhase::evacuated;
      s.pinned_by_operator = true;
      break;
    case ZoneWord::at_once:
      s = {};
      break;
    case ZoneWord::come_back: {
      if (s.phase != ZonePhase::evacuated)
        return std::nullopt;
      std::vector<grademux::zones::Observer> voters;
      for (const SenderReport& r : k.senders) {
        const auto v = r.zones.find(zone);
        voters.push_back({r.name, v == r.zones.end() ? grademux::zones::ZoneVote() : v->second,
                          r.live && !next.fenced.count(r.name)});
      }
      s.probers =
          grademux::zones::chooseProbers(voters, grademux::zones::ZonePolicy(),
                                         [&](const std::string& n) { return probeRank(next.number, n); });
      if (s.probers.empty())
        throw std::runtime_error("no sender is live");
      s.phase = ZonePhase::recovering;
      s.stage = 0;
      s.pinned_by_operator = false;
      break;
    }
    case ZoneWord::hold:
    case ZoneWord::release:
      s.pinned_by_operator = word == ZoneWord::hold;
      break;
  }
  return s;
}

}  // namespace

int zone(const Where& where, const Change& c, const std::string& name, ZoneWord word, bool region) {
  const Known k = look(where);
  if (k.plan.number == 0)
    throw std::runtime_error("there is no plan yet: fleet plan propose");
  Plan next = after(k, c);
  std::string stands;
  bool applies = false, other = false;
  for (const std::string& zone : named(k, name, region)) {
    auto s = told(k, next, zone, word);
    if (!s)
      continue;
    applies = true;
    const auto before = next.zones.find(zone);
    if (*s == (before == next.zones.end() ? grademux::zones::ZoneState() : before->second)) {
      stands += (stands.empty() ? "" : ", ") + zone + " " + toString(*s);
      continue;
    }
    other = true;
    s->reason = c.why;
    grademux::zones::apply({{zone, *s}}, next.zones);
  }
  const std::string what = (region ? "region " : "zone ") + name;
  if (!applies)
    throw std::runtime_error(what + " is not out");
  if (!other)
    throw std::runtime_error(what + " stands so already: " + stands);
  return put(where, k, next);
}

int shutOut(const Where& where, const Change& c, const std::string& name, bool out) {
  const Known k = look(where);
  Plan next = after(k, c);
  const bool known =
      std::any_of(k.senders.begin(), k.senders.end(), [&](const SenderReport& r) { return r.name == name; });
  if (out && !known)
    throw std::runtime_error("no sender " + name + " has reported");
  if (out == (next.fenced.count(name) > 0))
    throw std::runtime_error(name + (out ? " is shut out already" : " is not shut out"));
  if (out)
    next.fenced.insert(name);
  else
    next.fenced.erase(name);
  return put(where, k, next);
}

}  // namespace grademux::fleet
