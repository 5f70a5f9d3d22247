// grademux audit: what trails and journals say; see command.h.
#include "command.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <map>

#include "../core/clock.h"
#include "../core/journal.h"
#include "audit_reader.h"

namespace grademux::audit {

namespace {

std::string whatOf(const json& r) {
  std::string all = r.value("kind", std::string("?"));
  for (const auto& [key, value] : r.items()) {
    if (key == "kind" || key == "at" || key == "seq" || key == "ahead")
      continue;
    if (value.is_string() && value.get<std::string>().empty())
      continue;
    all += " " + key + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return all;
}

void tell(const AuditQuery& q, const json& line, const std::string& text) {
  std::cout << (q.as_json ? line.dump() : text) << '\n';
}

void tellGap(const AuditQuery& q, const std::string& sender, const AuditGap& g) {
  tell(q, {{"sender", sender}, {"unknown_from", g.from}, {"to", g.to}, {"why", g.reason}},
       sender + ": unknown from " + utcText(g.from, true) + " to " + utcText(g.to, true) + ": " + g.reason);
}

// How far the order of two senders' records can be trusted, said once.
void tellClocks(const AuditQuery& q, std::size_t unpaired, Micros widest) {
  if (q.as_json)
    return;
  if (unpaired > 0)
    std::cout
        << unpaired
        << " of the trails have no time of the store: their place in the order is by their own clocks\n";
  if (widest > 2'000'000)
    std::cout << "clocks of senders differ by up to " << widest / 1000
              << " ms; the order is by the store's clock, which is known to within 2 s\n";
}

struct Seen {  // of one sender, up to where the reading has come
  std::string sender, standing = "?";
  json own;
  Micros since = 0;
  bool running = false, any = false;
  std::vector<AuditGap> gaps;
};

void hear(Seen& s, const AuditRecord& e) {
  const std::string kind = e.record.value("kind", std::string());
  s.any = true;
  s.sender = e.sender;
  if (kind == "start")
    s.running = true;
  if (kind == "end")
    s.running = false;
  if (kind == "standing") {
    s.standing = e.record.value("standing", std::string("?"));
    s.since = e.storeTime();
  }
  if (e.record.contains("own"))
    s.own = e.record["own"];
}

int ofMessage(const AuditQuery& q) {
  bool found = false;
  for (const std::string& folder : q.folders) {
    JournaledMessage w;
    try {
      w = Journal::readMessage(folder, q.message);
    } catch (const std::exception& e) {
      std::cerr << "grademux: " << e.what() << '\n';
      continue;
    }
    if (!w.found)
      continue;
    found = true;
    const auto version = [&](std::uint32_t n) {
      const auto at = w.versions.find(n);
      return n == 0                   ? json()
             : at == w.versions.end() ? json("unknown")
                                      : json::parse(at->second, nullptr, false);
    };
    const std::string sender = readAuditLog(
                                   folder + "/trail", "", [](const AuditRecord&) {}, [](const AuditGap&) {})
                                   .sender;
    if (w.finished) {
      tell(q,
           {{"sender", sender},
            {"folder", folder},
            {"message", q.message},
            {"end", nameOf(w.outcome.outcome.status)},
            {"at", w.outcome.outcome.at},
            {"version", w.outcome.version},
            {"own", version(w.outcome.version)}},
           sender + ": " + nameOf(w.outcome.outcome.status) + " at " + utcText(w.outcome.outcome.at, true) +
               ", its last attempt under version " + std::to_string(w.outcome.version) + " " +
               version(w.outcome.version).dump());
      continue;
    }
    for (std::size_t i = 0; i < w.attempts.size(); ++i) {
      const JournaledAttempt& a = w.attempts[i];
      tell(q,
           {{"sender", sender},
            {"folder", folder},
            {"message", q.message},
            {"attempt", i},
            {"endpoint", a.endpoint},
            {"at", a.sent_at},
            {"never_ran", a.never_executed},
            {"version", a.version},
            {"own", version(a.version)}},
           sender + ": attempt " + std::to_string(i) + " at " + a.endpoint + ", " + utcText(a.sent_at, true) +
               (a.never_executed ? ", never ran" : "") + ", under version " + std::to_string(a.version) +
               " " + version(a.version).dump());
    }
    tell(q, {{"sender", sender}, {"folder", folder}, {"message", q.message}, {"end", nullptr}},
         sender + ": open, " + std::to_string(w.attempts.size()) + " attempts");
  }
  if (!found)
    std::cerr << "grademux: no journal here knows " << q.message << '\n';
  return found ? 0 : 1;
}

// What the store knows of one whose folder is not here. False: nothing for the time that was asked for.
bool ofSummary(const AuditQuery& q, const SenderSummary& s) {
  const std::string now = s.live ? "" : ", gone since: unknown from " + utcText(s.at, true) + " on";
  if (q.at) {
    const SenderSummary::ActionPeriod* then = nullptr;
    for (const SenderSummary::ActionPeriod& a : s.action_history)
      if (a.from <= *q.at)
        then = &a;
    const bool known = then && (s.live || *q.at <= s.at);
    tell(q,
         {{"sender", s.sender},
          {"from", "the store"},
          {"known", known},
          {"plan", then ? json(then->plan) : json()},
          {"may_act", then ? json(then->allowed) : json()},
          {"since", then ? then->from : 0},
          {"told", s.at},
          {"live", s.live}},
         s.sender + ", by the store: " +
             (!then ? "unknown: nothing is on record before"
                    : "plan " + std::to_string(then->plan) + (then->allowed ? "" : ", might not act") +
                          " since " + utcText(then->from, true)) +
             now);
    return known;
  }
  if (q.plan) {
    for (const SenderSummary::ActionPeriod& a : s.action_history)
      if (a.plan == *q.plan && a.allowed) {
        tell(q, {{"sender", s.sender}, {"from", "the store"}, {"plan", a.plan}, {"since", a.from}},
             utcText(a.from, true) + "  " + s.sender + "  by the store: plan " + std::to_string(a.plan));
        break;
      }
    return s.live;
  }
  if (q.gaps) {
    tellGap(q, s.sender, {s.at, 0, "its folder is not here, and the store tells no more"});
    return false;
  }
  tell(q,
       {{"sender", s.sender},
        {"from", "the store"},
        {"standing", s.compliance},
        {"why", s.reason},
        {"own", s.versions},
        {"told", s.at},
        {"live", s.live}},
       utcText(s.at, true) + "  " + s.sender + "  by the store: " + s.compliance + " " + s.versions.dump() +
           (s.reason.empty() ? "" : " " + s.reason) + now);
  return true;
}

}  // namespace

std::optional<Micros> readTime(const std::string& text) {
  char* end = nullptr;
  const double seconds = std::strtod(text.c_str(), &end);
  if (end && *end == 0 && end != text.c_str() && seconds >= 0)
    return static_cast<Micros>(seconds * 1e6);
  std::tm t{};
  const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &t);
  if (!rest)
    return std::nullopt;
  double part = 0;
  if (*rest == '.')
    part = std::strtod(rest, &end), rest = end;
  if (std::string(rest) != "Z")
    return std::nullopt;
  return static_cast<Micros>(::timegm(&t)) * 1'000'000 + static_cast<Micros>(part * 1e6);
}

int audit(const AuditQuery& q) {
  if (!q.message.empty())
    return ofMessage(q);
  std::vector<std::string> trails;
  for (const std::string& f : q.folders)
    trails.push_back(f + "/trail");
  std::vector<Seen> seen(trails.size());
  std::vector<bool> paired(trails.size());
  Micros least = 0, most = 0;
  bool any_clock = false, bad = false;
  const auto wanted = [&](const std::string& sender) { return q.sender.empty() || sender == q.sender; };
  readAuditLogs(
      trails,
      [&](std::size_t n, const AuditRecord& e) {
        if (e.store_clock_known) {
          paired[n] = true;
          least = any_clock ? std::min(least, e.store_clock_offset) : e.store_clock_offset;
          most = any_clock ? std::max(most, e.store_clock_offset) : e.store_clock_offset;
          any_clock = true;
        }
        Seen& s = seen[n];
        if (q.at && e.storeTime() > *q.at)
          return;
        hear(s, e);
        if (q.at || q.gaps || !wanted(e.sender))
          return;
        if (q.plan) {
          const json& own = e.record.contains("own") ? e.record["own"] : json::object();
          const bool of =
              e.record.value("kind", "") == "taken over" && own.value("plan", std::int64_t{-1}) == *q.plan;
          if (!of)
            return;
        }
        tell(q, {{"sender", e.sender}, {"at", e.at}, {"common", e.storeTime()}, {"record", e.record}},
             utcText(e.storeTime(), true) + "  " + e.sender + "  " + whatOf(e.record));
      },
      [&](std::size_t n, const AuditGap& g) {
        const std::string sender = seen[n].sender.empty() ? q.folders[n] : seen[n].sender;
        if (q.at) {
          if (g.from <= *q.at && (g.to == 0 || *q.at <= g.to))
            seen[n].gaps.push_back(g);
          return;
        }
        if (!wanted(sender))
          return;
        bad = true;
        tellGap(q, sender, g);
      });
  for (const SenderSummary& s : q.reports) {
    const auto same = [&](const Seen& here) { return here.sender == s.sender; };
    if (wanted(s.sender) && std::none_of(seen.begin(), seen.end(), same))
      bad = !ofSummary(q, s) || bad;
  }
  std::size_t unpaired = 0;
  for (std::size_t n = 0; n < trails.size(); ++n) {
    unpaired += seen[n].any && !paired[n];
    if (!seen[n].any && !q.at) {
      std::cerr << "grademux: no trail in " << q.folders[n] << '\n';
      bad = true;
    }
    if (!q.at || !wanted(seen[n].sender))
      continue;
    const Seen& s = seen[n];
    for (const AuditGap& g : s.gaps) {
      tellGap(q, s.sender.empty() ? q.folders[n] : s.sender, g);
      bad = true;
    }
    tell(q,
         {{"sender", s.sender},
          {"running", s.running},
          {"standing", s.standing},
          {"since", s.since},
          {"own", s.own}},
         (s.sender.empty() ? q.folders[n] : s.sender) + ": " +
             (!s.any      ? "unknown: nothing is on record before"
              : s.running ? s.standing
                          : "not running") +
             " since " + utcText(s.since, true) + " " + s.own.dump());
  }
  tellClocks(q, unpaired, most - least);
  return bad ? 1 : 0;
}

}  // namespace grademux::audit
