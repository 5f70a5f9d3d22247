// What it costs to keep what was learned: the module's answer for a slice of 256 destinations, in a turn, and
// encoding and writing the whole file, off the loop.
#include <benchmark/benchmark.h>

#include <cstdio>

#include "../src/core/file.h"
#include "../src/knowledge/book.h"

namespace {

using namespace grademux;

constexpr Micros kSecond = 1'000'000;

Lesson lessonOf(std::int64_t d, bool endpoint) {
  Lesson l;
  if (endpoint)
    l.endpoint = "partner-" + std::to_string(d) + "@10.0.0.1:9001";
  l.destination = d;
  l.limit = 42.5;
  l.told = true;
  l.part = 0.25;
  l.usual = 180'000;
  l.samples = 1000;
  l.risk = 0.01;
  l.traffic = 3.2;
  l.heard = 1'700'000'000 * kSecond + d;
  l.came = l.heard;
  return l;
}

// The destination and one endpoint of each.
knowledge::Book bookOf(std::int64_t destinations) {
  knowledge::Book book;
  book.sender = "n0";
  book.written = 1'700'000'000 * kSecond;
  for (std::int64_t d = 0; d < destinations; ++d) {
    book.known.push_back({lessonOf(d, false), ""});
    book.known.push_back({lessonOf(d, true), "10.0.0.1:9001"});
  }
  return book;
}

void BM_KnowledgeEncode(benchmark::State& state) {
  const knowledge::Book book = bookOf(state.range(0));
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
  s.classes[0].aim = kSecond;
  s.classes[0].deadline = 20 * kSecond;
  s.kinds = {{"partner", false, 1}};
  s.zones = {"a"};
  s.slots = 64;
  s.max_open = 1000;
  s.max_attempts = 3;
  s.ramp_time = 11 * kSecond;
  s.fall_span = 2 * kSecond;
  s.cold_share = 0.3;
  s.overload_factor = 1.5;
  Sender sender(s, 1);
  ListUpdate list;
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
    Lesson l = lessonOf(d, false);
    l.heard = l.came = 1;
    events.push_back(l);
  }
  Micros now = kSecond;
  sender.decide(now, events);
  std::int64_t after = INT64_MIN;
  std::size_t lessons = 0, turns = 0;
  for (auto _ : state) {
    const auto actions = sender.decide(++now, {Survey{after, 256}});
    ++turns;
    for (const Action& a : actions) {
      if (std::holds_alternative<Lesson>(a))
        ++lessons;
      if (const auto* end = std::get_if<Surveyed>(&a))
        after = end->all ? INT64_MIN : end->after;
    }
  }
  state.counters["lessons_a_turn"] = static_cast<double>(lessons) / static_cast<double>(turns);
}
BENCHMARK(BM_KnowledgeSurveySlice)->Arg(20)->Arg(20000)->Unit(benchmark::kMicrosecond);

}  // namespace
