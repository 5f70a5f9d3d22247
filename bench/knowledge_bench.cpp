// What it costs to keep what was learned: the module's answer for a slice of 256 destinations, in a turn, and
// encoding and writing the whole file, off the loop.
#include <benchmark/benchmark.h>

#include <cstdio>

#include "../src/core/file.h"
#include "../src/knowledge/learned_state_file.h"

namespace {

using namespace grademux;

constexpr Micros kSecond = 1'000'000;

LearnedEndpoint lessonOf(std::int64_t d, bool endpoint) {
  LearnedEndpoint l;
  if (endpoint)
    l.endpoint = "partner-" + std::to_string(d) + "@10.0.0.1:9001";
  l.destination = d;
  l.rate_limit = 42.5;
  l.limit_is_reported = true;
  l.quota_fraction = 0.25;
  l.typical_latency = 180'000;
  l.samples = 1000;
  l.unknown_outcome_fraction = 0.01;
  l.message_rate = 3.2;
  l.last_outcome_at = 1'700'000'000 * kSecond + d;
  l.last_message_at = l.last_outcome_at;
  return l;
}

// The destination and one endpoint of each.
knowledge::LearnedStateFile bookOf(std::int64_t destinations) {
  knowledge::LearnedStateFile book;
  book.sender = "n0";
  book.written = 1'700'000'000 * kSecond;
  for (std::int64_t d = 0; d < destinations; ++d) {
    book.records.push_back({lessonOf(d, false), ""});
    book.records.push_back({lessonOf(d, true), "10.0.0.1:9001"});
  }
  return book;
}

void BM_KnowledgeEncode(benchmark::State& state) {
  const knowledge::LearnedStateFile book = bookOf(state.range(0));
  std::size_t left_out = 0, bytes = 0;
  for (auto _ : state)
    bytes = knowledge::encode(book, UINT64_MAX, left_out).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_KnowledgeEncode)->Arg(20)->Arg(2000)->Arg(20000)->Unit(benchmark::kMicrosecond);

void BM_KnowledgeWrite(benchmark::State& state) {
  std::size_t left_out = 0;
  const std::string bytes = knowledge::encode(bookOf(state.range(0)), UINT64_MAX, left_out);
  const std::string path = "/tmp/grademux-knowledge-bench";
  for (auto _ : state)
    if (!replaceFile(path, bytes).empty())
      state.SkipWithError("can't be written");
  std::remove(path.c_str());
}
BENCHMARK(BM_KnowledgeWrite)->Arg(20)->Arg(2000)->Arg(20000)->Unit(benchmark::kMicrosecond);

void BM_KnowledgeSurveySlice(benchmark::State& state) {
  Settings s;
  s.classes = {MessageClass{}};
  s.classes[0].name = "notice";
  s.classes[0].latency_objective = kSecond;
  s.classes[0].deadline = 20 * kSecond;
  s.kinds = {{"partner", false, 1}};
  s.zones = {"a"};
  s.max_in_flight = 64;
  s.max_open_messages = 1000;
  s.max_attempts = 3;
  s.slow_start_time = 11 * kSecond;
  s.overload_collapse_time = 2 * kSecond;
  s.cold_capacity_fraction = 0.3;
  s.overload_factor = 1.5;
  Sender sender(s, 1);
  EndpointListUpdate list;
  std::vector<Event> events;
  for (std::int64_t d = 0; d < state.range(0); ++d) {
    Endpoint e;
    e.id = "partner-" + std::to_string(d) + "@10.0.0.1:9001";
    e.zone = "a";
    e.kind = "partner";
    e.destination = d;
    list.endpoints.push_back(e);
  }
  events.push_back(std::move(list));
  for (std::int64_t d = 0; d < state.range(0); ++d) {
    LearnedEndpoint l = lessonOf(d, false);
    l.last_outcome_at = l.last_message_at = 1;
    events.push_back(l);
  }
  Micros now = kSecond;
  sender.decide(now, events);
  std::int64_t after = INT64_MIN;
  std::size_t lessons = 0, turns = 0;
  for (auto _ : state) {
    const auto actions = sender.decide(++now, {ExportLearned{after, 256}});
    ++turns;
    for (const Action& a : actions) {
      if (std::holds_alternative<LearnedEndpoint>(a))
        ++lessons;
      if (const auto* end = std::get_if<LearnedExported>(&a))
        after = end->complete ? INT64_MIN : end->after;
    }
  }
  state.counters["lessons_a_turn"] = static_cast<double>(lessons) / static_cast<double>(turns);
}
BENCHMARK(BM_KnowledgeSurveySlice)->Arg(20)->Arg(20000)->Unit(benchmark::kMicrosecond);

}  // namespace
