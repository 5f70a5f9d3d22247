// See losses.h.
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

constexpr std::size_t kPhases = static_cast<std::size_t>(Phase::count);
constexpr const char* kPhaseNames[kPhases] = {"before it came",        "held before its first call",
                                              "held for another call", "in calls that failed",
                                              "the process was away",  "in the call that delivered"};
constexpr std::size_t kMaxPrintedDestinations = 10;

struct AttemptState {
  Micros sent_at = 0;
  bool in_flight = true;
};

struct MessageTimeline {
  const MessageClass* message_class = nullptr;
  std::int64_t destination = 0;
  Micros submitted_at = 0, arrived_at = 0;
  Micros accounted_until = 0;  // the time before this is assigned to phases
  std::vector<AttemptState> attempts;
  int in_flight = 0;  // number of attempts
  bool unhealthy = false, recently_started = false, attempted = false;
  Micros phase_times[kPhases] = {};
};

struct DestinationState {
  bool down = false;
  Micros warming_since = 0;
};

class LossAnalyzer {
 public:
  explicit LossAnalyzer(Losses& l) : losses_(l) {}

  void onHead(Head h) {
    ++losses_.runs;
    settings_.push_back(std::make_unique<Settings>(std::move(h.settings)));
    run_started_at_ = -1;
    // No process received the outcomes of attempts that were in flight at the end of the previous run.
    for (auto& [id, timeline] : open_) {
      if (timeline.in_flight > 0)
        addTime(timeline, Phase::failed_attempt, last_iteration_at_);
      timeline.in_flight = 0;
      for (AttemptState& c : timeline.attempts)
        c.in_flight = false;
    }
  }

  void onIteration(const Iteration& t) {
    now_ = t.now;
    if (run_started_at_ < 0)
      run_started_at_ = now_;
    for (const Event& e : t.events)
      std::visit([this](const auto& x) { on(x); }, e);
    for (const Action& action : t.actions)
      std::visit([this](const auto& x) { on(x); }, action);
    last_iteration_at_ = now_;
  }

  void finish() {
    for (auto& [id, timeline] : open_) {
      // A message that may still meet its latency objective is not a loss.
      if (now_ - timeline.submitted_at > timeline.message_class->latency_objective)
        recordEnd(timeline, "unfinished", lostWeight(timeline, now_));
    }
  }

 private:
  const Settings& settings() const { return *settings_.back(); }
  double lostWeight(const MessageTimeline& timeline, Micros at) const {
    const double elapsed = static_cast<double>(at - timeline.submitted_at),
                 objective = static_cast<double>(timeline.message_class->latency_objective),
                 deadline = static_cast<double>(timeline.message_class->deadline);
    if (elapsed <= objective)
      return 0;
    if (settings().lateness_penalty == LatenessPenalty::halving)
      return timeline.message_class->priority_weight * (1 - std::exp2(-(elapsed - objective) / objective));
    if (elapsed >= deadline)
      return timeline.message_class->priority_weight;
    return timeline.message_class->priority_weight * (1 - timeline.message_class->late_weight_fraction) *
           (elapsed - objective) / std::max(1.0, deadline - objective);
  }

  bool isUnhealthy(std::int64_t destination) const {
    const auto at = health_.find(destination);
    return at != health_.end() &&
           (at->second.down || now_ - at->second.warming_since < settings().slow_start_time);
  }
  void updateHealth(MessageTimeline& timeline) {
    timeline.unhealthy = timeline.unhealthy || isUnhealthy(timeline.destination);
    timeline.recently_started = timeline.recently_started ||
                                (losses_.runs > 1 && now_ - run_started_at_ < settings().slow_start_time);
  }
  // Assigns the time up to `until` that is not assigned yet to a phase.
  static void addTime(MessageTimeline& timeline, Phase phase, Micros until) {
    timeline.phase_times[static_cast<std::size_t>(phase)] +=
        std::max<Micros>(0, until - timeline.accounted_until);
    timeline.accounted_until = std::max(timeline.accounted_until, until);
  }
  void addHeldTime(MessageTimeline& timeline) {
    addTime(timeline, timeline.attempted ? Phase::before_retry : Phase::before_first_attempt, now_);
  }

  void recordEnd(MessageTimeline& timeline, std::string cause, double lost_weight) {
    updateHealth(timeline);
    losses_.lost_weight += lost_weight;
    if (lost_weight <= 0 && cause.empty())
      ++losses_.on_time;
    if (lost_weight <= 0)
      return;
    if (cause.empty()) {
      const auto longest =
          std::max_element(std::begin(timeline.phase_times), std::end(timeline.phase_times)) -
          std::begin(timeline.phase_times);
      cause = std::string("late: ") + kPhaseNames[longest];
    }
    for (Loss* loss : {&losses_.by_cause[cause], &losses_.by_destination[timeline.destination]}) {
      ++loss->messages;
      loss->lost_weight += lost_weight;
      loss->unhealthy += timeline.unhealthy;
      loss->recently_started += timeline.recently_started;
      for (std::size_t i = 0; i < kPhases; ++i)
        loss->phase_times[i] += timeline.phase_times[i];
    }
  }

  MessageTimeline* find(const std::string& id) {
    const auto at = open_.find(id);
    return at == open_.end() ? nullptr : &at->second;
  }
  MessageTimeline* addMessage(const MessageArrival& e) {
    const auto c = std::find_if(settings().classes.begin(), settings().classes.end(),
                                [&](const MessageClass& k) { return k.name == e.message_class; });
    if (c == settings().classes.end())
      return nullptr;
    MessageTimeline& timeline = open_[e.id];
    timeline.message_class = &*c;
    timeline.destination = e.destination;
    timeline.submitted_at = std::min(now_, e.deadline - c->deadline);
    timeline.arrived_at = now_;
    timeline.accounted_until = timeline.submitted_at;
    ++losses_.messages;
    losses_.total_weight += c->priority_weight;
    return &timeline;
  }

  void on(const MessageArrival& e) {
    if (MessageTimeline* timeline = addMessage(e)) {
      addTime(*timeline, Phase::before_decision, now_);
      updateHealth(*timeline);
    }
  }
  void on(const RecoveredMessage& e) {
    MessageTimeline* timeline = find(e.message.id);
    if (!timeline)
      timeline = addMessage(e.message);  // accepted before the recording began
    if (!timeline)
      return;
    for (const MessageClass& c : settings().classes)
      if (c.name == e.message.message_class)
        timeline->message_class = &c;
    if (e.class_version)
      timeline->message_class = versions_.emplace_back(e.class_version).get();
    addTime(*timeline, Phase::no_process, now_);
    timeline->attempted = timeline->attempted || !e.attempts.empty();
    timeline->attempts.resize(e.attempts.size());
    for (AttemptState& c : timeline->attempts)
      c.in_flight = false;
    updateHealth(*timeline);
  }
  void on(const MessageWithdrawn& e) { open_.erase(e.id); }
  void on(const SettingsChanged& e) { settings_.push_back(std::make_unique<Settings>(e.settings)); }
  void on(const AttemptOutcome& e) {
    MessageTimeline* timeline = find(e.id);
    if (!timeline || e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= timeline->attempts.size())
      return;
    AttemptState& c = timeline->attempts[static_cast<std::size_t>(e.attempt)];
    if (!c.in_flight)
      return;
    c.in_flight = false;
    --timeline->in_flight;
    const bool is_delivered = e.already_finished || e.result == AttemptResult::ok;
    addTime(*timeline, is_delivered ? Phase::delivering_attempt : Phase::failed_attempt, now_);
    if (!is_delivered) {
      ++losses_.results[nameOf(e.result)];
      return;
    }
    recordEnd(*timeline, "", lostWeight(*timeline, now_));
    open_.erase(e.id);
  }
  void on(const StartAttempt& s) {
    MessageTimeline* timeline = find(s.id);
    if (!timeline)
      return;
    if (timeline->in_flight == 0)
      addHeldTime(*timeline);
    timeline->attempts.push_back({now_, true});
    ++timeline->in_flight;
    timeline->attempted = true;
    updateHealth(*timeline);
  }
  void finishUndelivered(const std::string& id, const std::string& how) {
    MessageTimeline* timeline = find(id);
    if (!timeline)
      return;
    timeline->in_flight > 0 ? addTime(*timeline, Phase::failed_attempt, now_) : addHeldTime(*timeline);
    recordEnd(*timeline, how, timeline->message_class->priority_weight);
    open_.erase(id);
  }
  void on(const RejectMessage& r) {
    const MessageTimeline* timeline = find(r.id);
    if (timeline)
      finishUndelivered(r.id, timeline->arrived_at == now_ ? "refused at once"
                              : timeline->attempted        ? "handed back after calls"
                                                           : "handed back");
  }
  void on(const FailMessage& f) { finishUndelivered(f.id, "given up"); }
  void on(const DestinationHealth& health) {
    if (health.endpoint.empty())
      health_[health.destination] = {health.down, health.warming_since};
  }
  template <class Other>
  void on(const Other&) {}

  Losses& losses_;
  std::vector<std::unique_ptr<Settings>> settings_;
  std::vector<ClassVersion> versions_;  // of recovered messages
  std::unordered_map<std::string, MessageTimeline> open_;
  std::unordered_map<std::int64_t, DestinationState> health_;
  Micros now_ = 0, last_iteration_at_ = 0, run_started_at_ = -1;
};

nlohmann::json toJson(const Loss& l) {
  nlohmann::json mean_times = nlohmann::json::object();
  for (std::size_t i = 0; i < kPhases; ++i)
    if (l.phase_times[i] > 0 && l.messages > 0)
      mean_times[kPhaseNames[i]] =
          static_cast<double>(l.phase_times[i]) / 1000 / static_cast<double>(l.messages);
  return {{"messages", l.messages},
          {"worth", l.lost_weight},
          {"ailing", l.unhealthy},
          {"after_start", l.recently_started},
          {"mean_ms", std::move(mean_times)}};
}

template <class Map>
auto byLostWeight(const Map& map) {
  std::vector<std::pair<typename Map::key_type, const Loss*>> all;
  all.reserve(map.size());
  for (const auto& [key, l] : map)
    all.emplace_back(key, &l);
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.second->lost_weight > b.second->lost_weight;
  });
  return all;
}

}  // namespace

Losses analyzeLosses(std::istream& in) {
  Losses l;
  LossAnalyzer analyzer(l);
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const nlohmann::json j = nlohmann::json::parse(line, nullptr, false);
    if (j.is_discarded())
      continue;  // truncated by a kill; replay() reports malformed lines elsewhere
    try {
      if (isHead(j))
        analyzer.onHead(readHead(j));
      else if (l.runs == 0)
        throw std::runtime_error("a head is expected first");
      else
        analyzer.onIteration(readIteration(j));
    } catch (const std::exception& e) {
      l.unreadable = "line " + std::to_string(number) + ": " + e.what();
      return l;
    }
  }
  if (l.runs == 0)
    l.unreadable = "line 1: a head is expected first";
  analyzer.finish();
  return l;
}

nlohmann::json toJson(const Losses& l) {
  nlohmann::json causes = nlohmann::json::object(), destinations = nlohmann::json::object();
  for (const auto& [cause, loss] : l.by_cause)
    causes[cause] = toJson(loss);
  for (const auto& [d, loss] : l.by_destination)
    destinations[std::to_string(d)] = toJson(loss);
  return {{"runs", l.runs},        {"messages", l.messages},
          {"in_time", l.on_time},  {"worth", l.total_weight},
          {"lost", l.lost_weight}, {"by_cause", std::move(causes)},
          {"results", l.results},  {"by_destination", std::move(destinations)}};
}

void print(const Losses& l, std::ostream& out) {
  const auto row = [&](const std::string& name, const Loss& x) {
    out << "  " << std::left << std::setw(38) << name << std::right << std::setw(7) << x.messages
        << std::setw(10) << std::fixed << std::setprecision(1) << x.lost_weight << std::setw(7)
        << (l.total_weight > 0 ? 100 * x.lost_weight / l.total_weight : 0) << " %" << std::setw(8)
        << x.unhealthy << std::setw(12) << x.recently_started;
    for (const Micros time : x.phase_times)
      out << std::setw(9) << std::setprecision(0)
          << static_cast<double>(time) / 1000 / static_cast<double>(std::max<std::size_t>(1, x.messages));
    out << '\n';
  };
  out << l.messages << " messages in " << l.runs << " runs, " << l.on_time << " in time; worth " << std::fixed
      << std::setprecision(1) << l.total_weight << ", lost " << l.lost_weight << "\n  " << std::left
      << std::setw(38) << "cause" << std::right
      << "messages    worth  of all  ailing after start   before    first    again"
      << "   failed     away   answer (mean ms)\n";
  for (const auto& [cause, loss] : byLostWeight(l.by_cause))
    row(cause, *loss);
  out << "  destinations\n";
  std::size_t n = 0;
  for (const auto& [d, loss] : byLostWeight(l.by_destination))
    if (++n <= kMaxPrintedDestinations)
      row(std::to_string(d), *loss);
  out << "  calls that did not deliver:";
  for (const auto& [result, count] : l.results)
    out << ' ' << result << ' ' << count;
  out << '\n';
}

}  // namespace grademux::replay
