// What a turn of the decision module costs: one arrival and one outcome, all slots in use, so many
// destinations listed and so many messages held. No sockets. The last line of its output is one JSON object.
#include <benchmark/benchmark.h>

#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "grademux/sender.h"

namespace {

using namespace grademux;

constexpr Micros kMs = 1000, kSecond = 1'000'000;

class World {
 public:
  World(std::int64_t destinations, std::int64_t held) : destinations_(destinations), sender_(settings(), 1) {
    EndpointListUpdate list;
    for (std::int64_t d = 0; d < destinations; ++d) {
      Endpoint e;
      e.id = "e" + std::to_string(d);
      e.zone = "a";
      e.destination = d;
      list.endpoints.push_back(std::move(e));
    }
    turn({std::move(list)});
    std::vector<Event> arrivals;
    for (std::int64_t i = 0; i < held + kSlots; ++i)
      arrivals.push_back(arrival());
    turn(arrivals);
  }
  // Prepares a turn, which is not timed; decide() is.
  std::vector<Event> next() {
    now_ += kMs;
    std::vector<Event> events;
    if (!out_.empty()) {
      AttemptOutcome o;
      o.id = out_.front().first;
      o.attempt = out_.front().second;
      o.already_finished = true;
      o.round_trip = 50 * kMs;
      attempts_.erase(o.id);
      out_.pop_front();
      events.push_back(std::move(o));
    }
    events.push_back(arrival());
    return events;
  }
  std::vector<Action> decide(const std::vector<Event>& events) { return sender_.decide(now_, events); }
  void take(const std::vector<Action>& actions) {
    for (const Action& a : actions)
      if (const auto* s = std::get_if<StartAttempt>(&a))
        out_.emplace_back(s->id, attempts_[s->id]++);
  }

 private:
  static constexpr int kSlots = 64;
  static Settings settings() {
    Settings s;
    MessageClass c;
    c.name = "safe";
    c.latency_objective = 2 * kSecond;
    c.deadline = 3600 * kSecond;
    s.classes = {c};
    s.max_in_flight = kSlots;
    s.max_open_messages = 1'000'000;
    s.max_attempts = 12;
    s.min_decide_interval = kMs;
    s.overload_collapse_time = 2 * kSecond;
    s.slow_start_time = 11 * kSecond;
    s.idle_connection_timeout = 60 * kSecond;
    return s;
  }
  MessageArrival arrival() {
    MessageArrival a;
    a.id = "m" + std::to_string(next_);
    a.message_class = "safe";
    a.destination = next_++ % destinations_;
    a.deadline = now_ + 3600 * kSecond;
    return a;
  }
  void turn(const std::vector<Event>& events) { take(decide(events)); }

  std::int64_t destinations_, next_ = 0;
  Sender sender_;
  Micros now_ = kSecond;
  std::deque<std::pair<std::string, int>> out_;
  std::map<std::string, int> attempts_;
};

void decide(benchmark::State& state) {
  World world(state.range(0), state.range(1));
  for (auto _ : state) {
    const std::vector<Event> events = world.next();
    const auto begun = std::chrono::steady_clock::now();
    const std::vector<Action> actions = world.decide(events);
    state.SetIterationTime(std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count());
    world.take(actions);
  }
}
BENCHMARK(decide)
    ->ArgNames({"destinations", "held"})
    ->Args({20, 200})
    ->Args({200, 2'000})
    ->Args({2'000, 20'000})
    ->Args({20'000, 20'000})
    ->Args({20'000, 100'000})
    ->Args({10, 20'000})
    ->Iterations(20'000)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

// Prints as usual and gathers the figures.
class Reporter : public benchmark::ConsoleReporter {
 public:
  Reporter() : ConsoleReporter(OO_None) {}  // no colours: the last line is JSON
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& r : runs)
      figures[r.benchmark_name()] = r.GetAdjustedRealTime();
    ConsoleReporter::ReportRuns(runs);
  }
  nlohmann::json figures = nlohmann::json::object();
};

}  // namespace

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv))
    return 2;
  Reporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  std::cout << nlohmann::json{{"us", reporter.figures}}.dump() << '\n';
  return 0;
}
