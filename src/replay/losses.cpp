// grademux: where worth went; see losses.h.
#include "losses.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <istream>
#include <memory>
#include <ostream>
#include <unordered_map>
#include <vector>

#include "../core/message.h"
#include "stream_codec.h"

namespace grademux::replay {

namespace {

constexpr std::size_t kParts = static_cast<std::size_t>(Part::count);
constexpr const char* kPartNames[kParts] = {"before it came",        "held before its first call",
                                            "held for another call", "in calls that failed",
                                            "the process was away",  "in the call that delivered"};
constexpr std::size_t kMostShown = 10;  // destinations

struct Call {
  Micros sent = 0;
  bool out = true;
};

struct Account {
  const MessageClass* cls = nullptr;
  std::int64_t destination = 0;
  Micros handed_in = 0, heard = 0, since = 0;  // since: what passed before has its part
  std::vector<Call> calls;
  int out = 0;
  bool ailing = false, started = false, tried = false;
  Micros parts[kParts] = {};
};

struct Ailing {
  bool down = false;
  Micros cold_since = 0;
};

class Reader {
 public:
  explicit Reader(Losses& l) : l_(l) {}

  void head(Head h) {
    ++l_.runs;
    settings_.push_back(std::make_unique<Settings>(std::move(h.settings)));
    begun_ = -1;
    for (auto& [id, a] : open_) {  // out when the process ended: nobody heard
      if (a.out > 0)
        spend(a, Part::failed, last_);
      a.out = 0;
      for (Call& c : a.calls)
        c.out = false;
    }
  }

  void turn(const Turn& t) {
    now_ = t.now;
    if (begun_ < 0)
      begun_ = now_;
    for (const Event& e : t.events)
      std::visit([this](const auto& x) { on(x); }, e);
    for (const Action& a : t.actions)
      std::visit([this](const auto& x) { on(x); }, a);
    last_ = now_;
  }

  void finish() {
    for (auto& [id, a] : open_) {
      // One that may still come in time is no loss.
      if (now_ - a.handed_in > a.cls->latency_objective)
        close(a, "unfinished", lostAt(a, now_));
    }
  }

 private:
  const Settings& settings() const { return *settings_.back(); }
  double lostAt(const Account& a, Micros at) const {
    const double span = static_cast<double>(at - a.handed_in),
                 aim = static_cast<double>(a.cls->latency_objective),
                 deadline = static_cast<double>(a.cls->deadline);
    if (span <= aim)
      return 0;
    if (settings().lateness_penalty == LatenessPenalty::halving)
      return a.cls->priority_weight * (1 - std::exp2(-(span - aim) / aim));
    if (span >= deadline)
      return a.cls->priority_weight;
    return a.cls->priority_weight * (1 - a.cls->late_weight_fraction) * (span - aim) /
           std::max(1.0, deadline - aim);
  }

  bool ails(std::int64_t destination) const {
    const auto at = ailing_.find(destination);
    return at != ailing_.end() &&
           (at->second.down || now_ - at->second.cold_since < settings().slow_start_time);
  }
  void look(Account& a) {
    a.ailing = a.ailing || ails(a.destination);
    a.started = a.started || (l_.runs > 1 && now_ - begun_ < settings().slow_start_time);
  }
  // The time up to `until` belongs to this part.
  static void spend(Account& a, Part part, Micros until) {
    a.parts[static_cast<std::size_t>(part)] += std::max<Micros>(0, until - a.since);
    a.since = std::max(a.since, until);
  }
  void spendHeld(Account& a) { spend(a, a.tried ? Part::again : Part::first, now_); }

  void close(Account& a, std::string cause, double lost) {
    look(a);
    l_.lost += lost;
    if (lost <= 0 && cause.empty())
      ++l_.in_time;
    if (lost <= 0)
      return;
    if (cause.empty()) {
      const auto longest = std::max_element(std::begin(a.parts), std::end(a.parts)) - std::begin(a.parts);
      cause = std::string("late: ") + kPartNames[longest];
    }
    for (Loss* loss : {&l_.by_cause[cause], &l_.by_destination[a.destination]}) {
      ++loss->messages;
      loss->worth += lost;
      loss->ailing += a.ailing;
      loss->started += a.started;
      for (std::size_t i = 0; i < kParts; ++i)
        loss->parts[i] += a.parts[i];
    }
  }

  Account* find(const std::string& id) {
    const auto at = open_.find(id);
    return at == open_.end() ? nullptr : &at->second;
  }
  Account* arrive(const MessageArrival& e) {
    const auto c = std::find_if(settings().classes.begin(), settings().classes.end(),
                                [&](const MessageClass& k) { return k.name == e.message_class; });
    if (c == settings().classes.end())
      return nullptr;
    Account& a = open_[e.id];
    a.cls = &*c;
    a.destination = e.destination;
    a.handed_in = std::min(now_, e.deadline - c->deadline);
    a.heard = now_;
    a.since = a.handed_in;
    ++l_.messages;
    l_.worth += c->priority_weight;
    return &a;
  }

  void on(const MessageArrival& e) {
    if (Account* a = arrive(e)) {
      spend(*a, Part::before, now_);
      look(*a);
    }
  }
  void on(const RecoveredMessage& e) {
    Account* a = find(e.message.id);
    if (!a)
      a = arrive(e.message);  // taken on before the record begins
    if (!a)
      return;
    for (const MessageClass& c : settings().classes)
      if (c.name == e.message.message_class)
        a->cls = &c;
    if (e.class_version)
      a->cls = versions_.emplace_back(e.class_version).get();
    spend(*a, Part::away, now_);
    a->tried = a->tried || !e.attempts.empty();
    a->calls.resize(e.attempts.size());
    for (Call& c : a->calls)
      c.out = false;
    look(*a);
  }
  void on(const MessageWithdrawn& e) { open_.erase(e.id); }
  void on(const SettingsChanged& e) { settings_.push_back(std::make_unique<Settings>(e.settings)); }
  void on(const AttemptOutcome& e) {
    Account* a = find(e.id);
    if (!a || e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= a->calls.size())
      return;
    Call& c = a->calls[static_cast<std::size_t>(e.attempt)];
    if (!c.out)
      return;
    c.out = false;
    --a->out;
    const bool over = e.already_finished || e.result == AttemptResult::ok;
    spend(*a, over ? Part::answer : Part::failed, now_);
    if (!over) {
      ++l_.results[nameOf(e.result)];
      return;
    }
    close(*a, "", lostAt(*a, now_));
    open_.erase(e.id);
  }
  void on(const StartAttempt& s) {
    Account* a = find(s.id);
    if (!a)
      return;
    if (a->out == 0)
      spendHeld(*a);
    a->calls.push_back({now_, true});
    ++a->out;
    a->tried = true;
    look(*a);
  }
  void end(const std::string& id, const std::string& how) {
    Account* a = find(id);
    if (!a)
      return;
    a->out > 0 ? spend(*a, Part::failed, now_) : spendHeld(*a);
    close(*a, how, a->cls->priority_weight);
    open_.erase(id);
  }
  void on(const RejectMessage& r) {
    const Account* a = find(r.id);
    if (a)
      end(r.id, a->heard == now_ ? "refused at once" : a->tried ? "handed back after calls" : "handed back");
  }
  void on(const FailMessage& f) { end(f.id, "given up"); }
  void on(const DestinationHealth& a) {
    if (a.endpoint.empty())
      ailing_[a.destination] = {a.down, a.warming_since};
  }
  template <class Other>
  void on(const Other&) {}

  Losses& l_;
  std::vector<std::unique_ptr<Settings>> settings_;
  std::vector<ClassVersion> versions_;  // of resumed messages
  std::unordered_map<std::string, Account> open_;
  std::unordered_map<std::int64_t, Ailing> ailing_;
  Micros now_ = 0, last_ = 0, begun_ = -1;
};

nlohmann::json shown(const Loss& l) {
  nlohmann::json parts = nlohmann::json::object();
  for (std::size_t i = 0; i < kParts; ++i)
    if (l.parts[i] > 0 && l.messages > 0)
      parts[kPartNames[i]] = static_cast<double>(l.parts[i]) / 1000 / static_cast<double>(l.messages);
  return {{"messages", l.messages},
          {"worth", l.worth},
          {"ailing", l.ailing},
          {"after_start", l.started},
          {"mean_ms", std::move(parts)}};
}

template <class Map>
auto mostFirst(const Map& map) {
  std::vector<std::pair<typename Map::key_type, const Loss*>> all;
  all.reserve(map.size());
  for (const auto& [key, l] : map)
    all.emplace_back(key, &l);
  std::stable_sort(all.begin(), all.end(),
                   [](const auto& a, const auto& b) { return a.second->worth > b.second->worth; });
  return all;
}

}  // namespace

Losses losses(std::istream& in) {
  Losses l;
  Reader reader(l);
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const nlohmann::json j = nlohmann::json::parse(line, nullptr, false);
    if (j.is_discarded())
      continue;  // cut short by a kill; a replay tells of others
    try {
      if (isHead(j))
        reader.head(readHead(j));
      else if (l.runs == 0)
        throw std::runtime_error("a head is expected first");
      else
        reader.turn(readTurn(j));
    } catch (const std::exception& e) {
      l.unreadable = "line " + std::to_string(number) + ": " + e.what();
      return l;
    }
  }
  if (l.runs == 0)
    l.unreadable = "line 1: a head is expected first";
  reader.finish();
  return l;
}

nlohmann::json shown(const Losses& l) {
  nlohmann::json causes = nlohmann::json::object(), destinations = nlohmann::json::object();
  for (const auto& [cause, loss] : l.by_cause)
    causes[cause] = shown(loss);
  for (const auto& [d, loss] : l.by_destination)
    destinations[std::to_string(d)] = shown(loss);
  return {{"runs", l.runs},       {"messages", l.messages},
          {"in_time", l.in_time}, {"worth", l.worth},
          {"lost", l.lost},       {"by_cause", std::move(causes)},
          {"results", l.results}, {"by_destination", std::move(destinations)}};
}

void print(const Losses& l, std::ostream& out) {
  const auto row = [&](const std::string& name, const Loss& x) {
    out << "  " << std::left << std::setw(38) << name << std::right << std::setw(7) << x.messages
        << std::setw(10) << std::fixed << std::setprecision(1) << x.worth << std::setw(7)
        << (l.worth > 0 ? 100 * x.worth / l.worth : 0) << " %" << std::setw(8) << x.ailing << std::setw(12)
        << x.started;
    for (const Micros part : x.parts)
      out << std::setw(9) << std::setprecision(0)
          << static_cast<double>(part) / 1000 / static_cast<double>(std::max<std::size_t>(1, x.messages));
    out << '\n';
  };
  out << l.messages << " messages in " << l.runs << " runs, " << l.in_time << " in time; worth " << std::fixed
      << std::setprecision(1) << l.worth << ", lost " << l.lost << "\n  " << std::left << std::setw(38)
      << "cause" << std::right << "messages    worth  of all  ailing after start   before    first    again"
      << "   failed     away   answer (mean ms)\n";
  for (const auto& [cause, loss] : mostFirst(l.by_cause))
    row(cause, *loss);
  out << "  destinations\n";
  std::size_t n = 0;
  for (const auto& [d, loss] : mostFirst(l.by_destination))
    if (++n <= kMostShown)
      row(std::to_string(d), *loss);
  out << "  calls that did not deliver:";
  for (const auto& [result, count] : l.results)
    out << ' ' << result << ' ' << count;
  out << '\n';
}

}  // namespace grademux::replay
