// What a line of the log costs: left out by its level, cut by its rate, and written to a file.
#include <benchmark/benchmark.h>

#include <cstdio>

#include "../src/log/log.h"

namespace {

using namespace grademux;

void write(benchmark::State& state, log::Level level, double rate, bool json) {
  log::Config config;
  config.file = "/tmp/grademux-log-bench";
  config.level = level;
  config.rate = rate;
  config.burst = 1;
  config.json = json;
  log::configure(config);
  for (auto _ : state)
    log::write(log::Event::attempt_finished, {{"message", "0123456789abcdef"},
                                              {"endpoint", "print-shop@127.0.0.1:9001"},
                                              {"attempt", 1},
                                              {"outcome", "ok"}});
  log::configure({});
  std::remove(config.file.c_str());
}
void BM_LogLineOffByLevel(benchmark::State& s) {
  write(s, log::Level::info, 0, false);
}
void BM_LogLineCutByRate(benchmark::State& s) {
  write(s, log::Level::debug, 1e-6, false);
}
void BM_LogLineText(benchmark::State& s) {
  write(s, log::Level::debug, 0, false);
}
void BM_LogLineJson(benchmark::State& s) {
  write(s, log::Level::debug, 0, true);
}
BENCHMARK(BM_LogLineOffByLevel)->Unit(benchmark::kMicrosecond);
BENCHMARK(BM_LogLineCutByRate)->Unit(benchmark::kMicrosecond);
BENCHMARK(BM_LogLineText)->Unit(benchmark::kMicrosecond);
BENCHMARK(BM_LogLineJson)->Unit(benchmark::kMicrosecond);

}  // namespace
